/* worker_select: which worker gets a task.  Pure.

   Load pattern: lasting tasks declare about four fifths of all processors and use less than half of
   that; fill-in tasks bring most of the worth and run in what is unused.  So a task that fills is
   placed by estimated use, where most is unused and where no lasting task is close to its target;
   any other task is placed by declared size into the smallest gap that holds it, which keeps gaps
   for large tasks.

   Each fill-in image disturbs some serving images heavily and others hardly.  On a worker that
   serves several images nearly every fill-in image disturbs one of them; so lasting tasks of one
   image share workers, and an empty worker is rather taken than one that serves other images.  */

#ifndef SASSAFRAS_WORKER_SELECT_H
#define SASSAFRAS_WORKER_SELECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WORKER_SELECT_NONE SIZE_MAX
#define LASTING_USE_RATIO 0.5     /* part of its declared processors that a lasting task uses */
#define FILL_MIN_UNUSED_RATIO 0.7 /* a task that fills needs this part of its processors unused */
#define FILL_MAX_TAIL_RATIO 0.75  /* tails over target above this take no more tasks that fill */

/* One worker that may be used for the task.  */
struct worker_candidate
{
  uint32_t millicores;         /* of the worker */
  uint32_t lasting_millicores; /* declared by lasting tasks */
  uint32_t short_millicores;   /* declared by other tasks that do not fill */
  uint32_t fill_millicores;    /* wanted by tasks that fill */
  uint32_t free_memory_mb;
  uint32_t free_accelerators;
  uint32_t same_step;   /* tasks of the same step and occurrence there */
  bool usable;          /* alive, of the pool, with the label, not avoided */
  bool reserved;        /* its room is kept for a lasting task that must restart */
  bool near_data;       /* holds the rack that the step's data is on */
  double tail_ratio;    /* largest tail over target; 0 without a sample */
  double foreign_share; /* a lasting task: what the worker serves of other images
                     (worker_select_foreign_share) */
  double interference;  /* predicted loss of slack with the task, over what is allowed */
};

struct worker_request
{
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  uint32_t max_per_worker; /* 0 is no limit */
  bool fills;
  bool lasts;
  bool restarts;           /* a lasting task that waits for reserved room */
  bool allow_interference; /* fills: waited long while most of the pool is free; pacing limits the
                              harm */
};

double worker_select_foreign_share (
    uint32_t lasting_millicores,
    uint32_t foreign_millicores); /* For worker_candidate.foreign, from declared sizes. */
bool worker_select_fits (const struct worker_candidate *r,
                         const struct worker_request *q); /* Room there. */
double worker_select_score (const struct worker_candidate *r,
                            const struct worker_request *q); /* Smaller is better. */
/* The worker to be kept free of short tasks until Q, which fits nowhere, fits there: with room
   beside its lasting tasks, and the fewest short ones.  Load pattern: every gap that a short task
   leaves is taken by the next, so a larger task never finds one.  */
size_t worker_select_reserve (const struct worker_candidate *rows, size_t count,
                              const struct worker_request *q); /* Row, or WORKER_SELECT_NONE. */
size_t worker_select_best (const struct worker_candidate *rows, size_t count,
                           const struct worker_request *q); /* Row, or WORKER_SELECT_NONE. */

#endif
