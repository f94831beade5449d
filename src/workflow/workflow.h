/* workflow: the durable state of one workflow group, a struct machine.

   A job is a list of steps; a step has COUNT equal tasks and may wait for earlier steps.  A job
   with repetitions has one set of tasks an occurrence.  Steps run on called workers (see
   dispatcher.h); this module knows only what was committed.

   Task states: WAITING -> PLACED (one run, or two copies of a speculative step) -> WAITING again
   after an end that is not final, or DONE, or FAILED.  Every placement raises the task's run
   number, so each order names one run only.  A lasting task never becomes DONE or FAILED: it waits
   again.

   Job states: OPEN -> COMPLETED (all tasks done), FAILED (one task failed max_attempts times) or
   CANCELLED.  Runs of a job that is no longer open go on until an END is committed for them.  A job
   that has ended and has no runs left may be pruned; who prunes decides when.

   A worker that was silent may list an end of a run that counted as lapsed.  An end DONE is then
   taken all the same: the task is done, and a later run of it is not needed.

   A cancelled id stays cancelled: a repeat of its submission does not revive it, and a cancel of an
   id that was never submitted is refused with STATUS_NOT_FOUND.

   Errors in results: STATUS_NOT_FOUND (no such job, queue or task), STATUS_STALE_EPOCH (a run that
   is not the expected one), STATUS_VERSION_CONFLICT (a configuration that is not newer; nothing
   changes), STATUS_BAD_REQUEST (malformed).  */

#ifndef SASSAFRAS_WORKFLOW_H
#define SASSAFRAS_WORKFLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "machine.h"
#include "workflow_proto.h"

struct workflow_job;
struct workflow_task;

enum workflow_task_state
{
  WORKFLOW_TASK_WAITING,
  WORKFLOW_TASK_PLACED,
  WORKFLOW_TASK_DONE,
  WORKFLOW_TASK_FAILED,
};

enum workflow_job_state
{
  WORKFLOW_JOB_OPEN,
  WORKFLOW_JOB_COMPLETED,
  WORKFLOW_JOB_FAILED,
  WORKFLOW_JOB_CANCELLED,
};

/* One run of a task that was placed and has no committed end.  */
struct workflow_run
{
  struct workflow_task *task;
  uint32_t run;
  char *worker;                    /* id */
  void *dispatch;                  /* the dispatcher's own state of this run, or NULL */
  TAILQ_ENTRY (workflow_run) link; /* in workflow.runs */
};

TAILQ_HEAD (workflow_runs, workflow_run);

struct workflow_task
{
  struct workflow_job *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  enum workflow_task_state state;
  uint32_t last_run; /* highest run number used */
  uint32_t failures;
  char *checkpoint; /* NULL: none */
  struct workflow_run *runs[WORKFLOW_MAX_RUNS];
  bool ready;            /* in workflow.ready */
  void *placing;         /* the dispatcher's: a placement that is proposed */
  int64_t done_until_ms; /* the dispatcher's: until then a listed end of it may commit; 0 is none */
  int64_t since_ms;      /* the dispatcher's: waits since then; 0: not seen waiting */
  int64_t retry_ms;      /* the dispatcher's: not before this time of its clock */
  TAILQ_ENTRY (workflow_task) link;
};

TAILQ_HEAD (workflow_tasks, workflow_task);

/* The tasks of one step in one occurrence.  */
struct workflow_stage
{
  struct workflow_task *tasks;
  uint32_t done;
};

struct workflow_job
{
  struct cell_node node; /* in workflow.jobs, by id */
  TAILQ_ENTRY (workflow_job) link;
  workflow_spec spec;
  enum workflow_job_state state;
  uint32_t occurrences;          /* at least 1 */
  uint32_t stages_done;          /* of occurrences x steps */
  uint32_t started;              /* runs placed, less those that never started */
  uint32_t runs;                 /* runs without an end */
  struct workflow_stage *stages; /* [occurrence * steps + step] */
  const workflow_queue *queue;   /* as of QUEUE_REVISION; use workflow_queue_of */
  uint64_t queue_revision;
  int64_t seen_ms;           /* the leader's: when it first saw the job */
  struct queue_sizes *sizes; /* the leader's: of the queue, once SEEN_MS is set */
  int size;                  /* the leader's: enum size_class among the jobs of its queue */
  bool start_counted;        /* the leader's: counted among the started jobs of its size */
  int64_t ended_ms;    /* the leader's: when it first saw that the job had ended; 0 while open */
  uint64_t chain_ms;   /* longest chain of estimates, from the spec */
  uint32_t *remain_ms; /* longest chain from each step to the end of the job, that step included */
};

TAILQ_HEAD (workflow_jobs, workflow_job);

/* Told of every change that apply or load makes; members may be NULL.  */
struct workflow_observer
{
  void (*placed) (void *arg, struct workflow_run *run);
  /* Before RUN is freed.  */
  void (*ended) (void *arg, struct workflow_run *run, enum workflow_outcome outcome);
  /* T is done by a run that had ended otherwise; runs it has now are not needed.  */
  void (*done_late) (void *arg, struct workflow_task *t);
  /* The job is no longer open, or is about to be freed when pruned.  */
  void (*job_ended) (void *arg, struct workflow_job *job);
  void *arg;
};

struct workflow
{
  struct machine machine; /* first member: the vtable */
  workflow_configuration configuration;
  char *zones_out[WORKFLOW_MAX_ZONES];
  size_t zone_count;
  struct cell_map jobs;          /* by id */
  struct workflow_jobs open;     /* in order of submission */
  struct workflow_jobs finished; /* in order of their end */
  struct workflow_tasks ready;   /* WAITING tasks of open jobs whose steps may run */
  struct workflow_runs runs;     /* all runs without an end */
  struct workflow_observer observer;
};

void workflow_init (struct workflow *w);  /* An empty state. */
void workflow_close (struct workflow *w); /* Frees everything. */
struct workflow_job *workflow_find_job (const struct workflow *w, uint64_t id); /* Or NULL. */
const workflow_queue *workflow_find_queue (const struct workflow *w,
                                           const char *name); /* By name, or NULL. */
const workflow_queue *workflow_queue_of (const struct workflow *w,
                                         struct workflow_job *j); /* Looked up once a revision. */
const workflow_queue *
workflow_match_queue (const struct workflow *w, const char *host,
                      const char *path); /* Longest prefix of PATH at HOST, or NULL. */
const workflow_pool *workflow_find_pool (const struct workflow *w, const char *name); /* Or NULL. */
bool workflow_zone_is_out (const struct workflow *w, const char *zone);
struct workflow_task *workflow_find_task (const struct workflow *w,
                                          const workflow_task_ref *ref); /* Or NULL. */
workflow_task_ref workflow_ref (const struct workflow_task *t);
const workflow_step *workflow_step_of (const struct workflow_task *t);
struct workflow_stage *workflow_stage_of (const struct workflow_task *t);
struct workflow_run *workflow_find_run (const struct workflow_task *t, uint32_t run); /* Or NULL. */
bool workflow_job_started (const struct workflow_job *j); /* Some task has started. */
int workflow_check_spec (const workflow_spec *spec,
                         struct status *st); /* Limits and dependencies; -1 and ST on a fault. */
int workflow_check_configuration (const workflow_configuration *c,
                                  struct status *st); /* Pools known, places unique. */
void workflow_encode (const workflow_command *c, struct buffer *out); /* Appends the entry. */
bool workflow_decode_result (const void *data, size_t len, workflow_result *out);

#endif
