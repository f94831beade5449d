/* crash_blame: which runs may have crashed their worker, and when a task is given up.  Pure.

   A task that crashes the worker that starts it, started again and again, takes one worker after
   the other down, with all that runs there.  A worker says nothing when it crashes, so the runs on
   it are judged by their start: the last one is suspected, other young runs less so, and runs that
   have been at work for longer than CRASH_PROBATION_MS are not to blame.

   The blame of a task is replicated (workflow_task.blame): it grows with each crash under a young
   run and returns to 0 with proof that a worker can run the task.  A suspected run adds four
   points, a young run beside it two, or three once its task is suspected.  CRASH_BLAME_LIMIT is
   reached after three crashes under the last start, and after five in any case.  A start without an
   answer is suspected too, but may never have reached the worker: a task is given up after two
   crashes under runs that are known to have started, or at CRASH_BLAME_MAX.  */

#ifndef SASSAFRAS_CRASH_BLAME_H
#define SASSAFRAS_CRASH_BLAME_H

#include <stdbool.h>
#include <stdint.h>

#include "workflow_proto.h"

#define CRASH_BLAME_LIMIT 12      /* given up, after CRASH_MIN_CRASHES */
#define CRASH_MIN_CRASHES 2       /* under runs known to have started */
#define CRASH_BLAME_MAX 18        /* given up in any case */
#define CRASH_BLAME_ISOLATED 4    /* the task is started apart from others */
#define CRASH_PROBATION_MS 10000  /* age from which a run is not blamed */
#define CRASH_SUSPECT_SPAN_MS 100 /* starts this close to each other can't be told apart */
#define CRASH_ISOLATION_MS 1000   /* after an isolated start nothing else is started there */

/* Replicated per task.  */
struct crash_blame
{
  uint32_t points;
  uint32_t crashes; /* under runs known to have started */
};

/* A run on a worker that crashed.  */
struct crash_run
{
  int64_t sent_ms; /* start order */
  bool answered;   /* it is known to have started */
  bool adopted;    /* started by an earlier leader, at an unknown time */
};

/* Bounds of the starts that are suspected.  */
struct crash_scene
{
  int64_t stopped_ms;       /* when the worker was first known not to answer */
  int64_t last_answered_ms; /* sent_ms of the last start with an answer */
  int64_t unanswered_ms;    /* sent_ms of the first start without one */
};

void crash_scene_init (struct crash_scene *s, int64_t stopped_ms);
void crash_scene_add (struct crash_scene *s, const struct crash_run *r); /* For each run. */
/* Outcome of R, after all runs of the worker were added.  */
enum workflow_outcome crash_scene_outcome (const struct crash_scene *s, const struct crash_run *r);
void crash_blame_add (struct crash_blame *b,
                      enum workflow_outcome outcome);    /* A run of the task ended. */
bool crash_blame_is_final (const struct crash_blame *b); /* The task is given up. */

#endif
