/* run_workers: the workers that have runs, and which of them drain; part of the replicated state.

   A worker that has drained leaves, and its machine may be gone with it.  Only a leader that knows
   of the drain can tell the departure of that incarnation from a late one of an earlier
   incarnation, and only one that knows of the departure takes a refused connection for the end.
   Both are therefore committed before they are acknowledged.  The record of a drain names one
   incarnation.  It is obsolete once another run is placed on the worker, which only a later
   incarnation gets, and ends with the worker's last run.  */

#ifndef SASSAFRAS_RUN_WORKERS_H
#define SASSAFRAS_RUN_WORKERS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "status.h"
#include "workflow_proto.h"

struct run_worker
{
  struct cell_map_node node;     /* by id */
  TAILQ_ENTRY (run_worker) link; /* while it drains */
  char *id;
  uint32_t runs;
  workflow_drain *drain; /* NULL: it is not known to drain */
  int64_t seen_ms;       /* when this VM first knew that it drains, by its own clock; else 0 */
};

TAILQ_HEAD (run_worker_list, run_worker);

struct run_workers
{
  struct cell_map map;
  struct run_worker_list draining; /* in the order of their records */
  size_t draining_count;           /* at most WORKFLOW_MAX_DRAINING */
};

void run_workers_init (struct run_workers *s);
void run_workers_close (struct run_workers *s); /* No worker has runs any more. */
struct run_worker *run_workers_find (const struct run_workers *s, const char *id); /* Or NULL. */
struct run_worker *run_workers_add_run (struct run_workers *s, const char *id);
void run_workers_remove_run (struct run_workers *s, struct run_worker *w); /* W may be freed. */
/* Moves the content of DRAIN.  NULL: STATUS_NOT_FOUND, its worker has no runs; STATUS_STALE_EPOCH,
   a later incarnation of it drains; STATUS_TOO_LARGE, too many workers drain.  */
struct run_worker *run_workers_set_drain (struct run_workers *s, workflow_drain *drain,
                                          enum status_kind *why);
void run_workers_clear_drain (struct run_workers *s, struct run_worker *w);

#endif
