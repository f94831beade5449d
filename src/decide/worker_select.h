/* worker_select: chooses the worker for a task.  Pure.

   Load pattern: lasting tasks (long-running services) declare about four fifths of all processors
   and use less than half of that; fill-in tasks bring most of the value and run on what is unused.
   A fill-in task is therefore placed by estimated use, where most is unused and no lasting task is
   close to its target.  Any other task is placed by declared size into the smallest gap that fits
   (best fit), which keeps gaps for large tasks.

   Each fill-in image slows some serving images strongly and others hardly.  On a worker that serves
   several images nearly every fill-in image slows one of them, so lasting tasks of one image share
   workers, and an empty worker is preferred to one that serves other images.  */

#ifndef SASSAFRAS_WORKER_SELECT_H
#define SASSAFRAS_WORKER_SELECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WORKER_SELECT_NONE SIZE_MAX
#define LASTING_USE_RATIO 0.5     /* used / declared processors of a lasting task */
#define FILL_MIN_UNUSED_RATIO 0.7 /* unused / requested processors that a fill-in task needs */
#define FILL_MAX_TAIL_RATIO 0.75  /* tail / target above which a worker gets no fill-in task */

struct worker_candidate
{
  uint32_t millicores;         /* of the worker */
  uint32_t lasting_millicores; /* declared by lasting tasks */
  uint32_t short_millicores;   /* declared by other tasks that aren't fill-in tasks */
  uint32_t fill_millicores;    /* requested by fill-in tasks */
  uint32_t free_memory_mb;
  uint32_t free_accelerators;
  uint32_t same_step;   /* tasks of the same step and occurrence there */
  bool usable;          /* alive, in the pool, has the label */
  bool avoided;         /* what was started there failed */
  bool may_lose_ends;   /* the end of a run may never be listed */
  bool probed;          /* with MAY_LOSE_ENDS: a run shows whether it is */
  bool reserved;        /* capacity reserved for a lasting task that must restart */
  bool isolated;        /* a task that may crash the worker was just started there */
  bool answering;       /* its last answer is younger than any order without one */
  bool near_data;       /* in the rack that holds the step's data */
  double tail_ratio;    /* largest tail / target; 0 without a sample, 1 closed to the image */
  double foreign_share; /* for a lasting task; see worker_select_foreign_share */
  double interference;  /* predicted loss of slack with the task / largest allowed loss */
};

struct worker_request
{
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  uint32_t max_per_worker; /* 0 is no limit */
  bool is_fill;
  bool is_lasting;
  bool is_isolated; /* may crash the worker: preferably started where least is at work */
  bool is_restart;  /* a lasting task that waits for reserved capacity */
  bool allow_avoided;
  bool is_repeatable; /* may run again after a run of it was done */
  bool can_probe;     /* runs for so long that a stop comes before its end */
  /* For a fill-in task that waited long while most of the pool is free; pacing limits the
     slowdown.  */
  bool allow_interference;
};

/* Why a worker can't take a task now.  */
enum worker_obstacle
{
  WORKER_FITS,
  WORKER_NOT_USABLE, /* of another pool, without the label, silent, draining or out of service */
  WORKER_ISOLATED,
  WORKER_MEMORY,
  WORKER_ACCELERATORS,
  WORKER_UNANSWERED, /* an order without an answer is open, and the task may crash workers */
  WORKER_AVOIDED,
  WORKER_MAY_LOSE_ENDS,
  WORKER_STEP_LIMIT, /* as many tasks of the step run there as may */
  WORKER_RESERVED,
  WORKER_PROCESSORS,
  WORKER_TAILS, /* a fill-in task would slow lasting tasks that are near their target */
  WORKER_OBSTACLES
};

/* Share of a worker's lasting tasks that are of other images, by declared size.  */
double worker_select_foreign_share (uint32_t lasting_millicores, uint32_t foreign_millicores);
enum worker_obstacle worker_select_obstacle (const struct worker_candidate *r,
                                             const struct worker_request *q); /* The first. */
const char *worker_obstacle_text (enum worker_obstacle o);                    /* For operators. */
bool worker_select_fits (const struct worker_candidate *r, const struct worker_request *q);
/* Lower is better; for a worker that the task fits on.  */
double worker_select_score (const struct worker_candidate *r, const struct worker_request *q);
/* True if a worker that is not avoided could take the task once the short tasks there have ended.
 */
bool worker_select_can_wait (const struct worker_candidate *candidates, size_t count,
                             const struct worker_request *q);
/* Index of the worker to reserve for Q, which fits on no worker now: with enough capacity beside
   its lasting tasks and the fewest short millicores; or WORKER_SELECT_NONE.  Without a reservation
   each gap that a short task leaves goes to the next short task, and a larger task never starts. */
size_t worker_select_reserve (const struct worker_candidate *candidates, size_t count,
                              const struct worker_request *q);
/* The score, or INFINITY if the task does not fit.  */
double worker_select_rate (const struct worker_candidate *r, const struct worker_request *q);
/* Index of the first of the least scores below INFINITY, or WORKER_SELECT_NONE.  */
size_t worker_select_least (const double *scores, size_t count);

#endif
