/* dispatcher_candidates: the workers of one tick that can take tasks, for dispatcher_place.c only.
 */

#ifndef SASSAFRAS_DISPATCHER_CANDIDATES_H
#define SASSAFRAS_DISPATCHER_CANDIDATES_H

#include "dispatcher_internal.h"
#include "waiting_order.h"

struct waiting_task
{
  struct workflow_task *task;
  const workflow_queue *queue;
  struct waiting_key key;
  bool is_copy; /* TASK has a run, and this is its second one */
};

struct candidates
{
  struct dispatch_worker **workers;
  struct worker_candidate *candidates;
  double *scores; /* of the step of SCORED; INFINITY where its tasks do not fit */
  size_t count;
  /* Request that SCORES were computed for; SCORED is NULL before the first.  */
  const struct workflow_task *scored;
  int image; /* of its step, see dispatch_image_id */
  bool scored_restart;
  bool scored_interference;
  bool scored_isolated;
  bool scored_avoided;
  size_t placed_at;  /* worker that got a task since; WORKER_SELECT_NONE if none did */
  size_t reserved;   /* workers reserved in this tick */
  size_t restricted; /* workers that are avoided or may lose ends */
  bool mostly_free;  /* much less than the processors are declared */
  /* Request that USABLE and NEAR_DATA were set for; NULL before the first task.  */
  const char *pool;
  const char *label;
  const char *rack;
};

/* Same job, step and occurrence: the same order and requirements.  */
bool dispatch_is_same_step (const struct workflow_task *a, const struct workflow_task *b);
bool dispatch_is_isolated (const struct workflow_task *t); /* It may crash its worker. */
bool dispatch_has_label (const struct dispatch_worker *w, const char *label);
bool dispatch_list_candidates (struct dispatcher *d,
                               struct candidates *c); /* False if there are none. */
void dispatch_free_candidates (struct candidates *c);
void dispatch_update_candidate (const struct dispatcher *d, const struct dispatch_worker *w,
                                struct worker_candidate *candidate); /* After a placement. */
/* T has waited so long that it may go to a worker that is avoided or may lose ends.  */
bool dispatch_may_use_restricted (const struct dispatcher *d, const struct candidates *c,
                                  const struct workflow_task *t);
/* Index of the worker for T, or WORKER_SELECT_NONE; may reserve one for a restart.  */
size_t dispatch_choose (struct dispatcher *d, struct candidates *c, const struct waiting_task *t);
/* The same for a second run, which goes to another worker than the first.  */
size_t dispatch_choose_for_copy (struct dispatcher *d, struct candidates *c,
                                 const struct waiting_task *t);

#endif
