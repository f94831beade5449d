/* draining_workers: workers that drain and still have runs, part of the replicated state.

   A worker that has drained leaves, and its machine may be gone with it.  Only a leader that knows
   of the drain can tell the departure of that incarnation from a late one of an earlier
   incarnation, and only one that knows of the departure takes a refused connection for the end.
   Both are therefore committed before they are acknowledged.  A record names one incarnation.  It
   is obsolete once a run is placed on the worker, which only a later incarnation gets.

   The set holds the WORKFLOW_MAX_DRAINING newest records.  */

#ifndef SASSAFRAS_DRAINING_WORKERS_H
#define SASSAFRAS_DRAINING_WORKERS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "workflow_proto.h"

struct draining_worker
{
  struct cell_map_node node; /* by the worker's id */
  TAILQ_ENTRY (draining_worker) link;
  workflow_drain drain;
  int64_t seen_ms; /* when this VM first knew of it, by its own clock; not replicated */
};

TAILQ_HEAD (draining_worker_list, draining_worker);

struct draining_workers
{
  struct cell_map map;
  struct draining_worker_list list; /* oldest first */
};

void draining_workers_init (struct draining_workers *s);
void draining_workers_close (struct draining_workers *s);
void draining_workers_clear (struct draining_workers *s); /* Empties the set. */
/* Moves the content of DRAIN.  NULL: a later incarnation of the worker drains.  */
struct draining_worker *draining_workers_add (struct draining_workers *s, workflow_drain *drain);
void draining_workers_remove (struct draining_workers *s, const char *worker);
struct draining_worker *draining_workers_find (const struct draining_workers *s,
                                               const char *worker); /* Or NULL. */

#endif
