/* dispatcher: soft state of a workflow group's leader.  It chooses the worker of each task, sends
   the orders and tracks their outcomes.

   Pure: no I/O, the time is passed in (now_ms, monotonic; wall_ms, Unix time, for occurrences
   only). Commits arrive through the workflow's observer, which carries no time: their time is read
   from dispatcher_config.clock.  Orders go out through a struct worker_link, log entries through
   dispatcher_config.propose.

   States of a run:

   PLACING    its placement is proposed
   SENT       the start order has no answer yet
   UNCERTAIN  the order's outcome is unknown, or an earlier leader sent it
   RUNNING    the worker reported that it runs
   ENDING     its end is proposed

   Safety.  A start is sent only after its placement is committed, under authority (while no other
   leader can exist), and to a worker whose report and hold answer this leader has received.  A run
   is removed only with a committed end.  If the worker lists no end, the end needs a proof that the
   run doesn't run and never will: the answer to a hold sent after the run's last order was settled
   doesn't list it; that incarnation of the worker has ended; or its lease has expired even on the
   slowest clock that the worker may have.  An uncertain order is settled by a stop order for that
   run, after which the worker refuses a late start of it.  The first hold of a leader raises the
   worker's fence, which settles the orders of all earlier leaders; the first hold after a restart
   of the worker raises it again, which settles the orders to its earlier incarnation.

   Holds.  A hold is the periodic call to a worker: it renews the lease, returns the lists of
   running and ended runs, and acknowledges the ends that are committed.  An acknowledgement that
   reaches the next incarnation of the worker makes it forget ends that it has not listed, so each
   is carried until one hold with it was answered.  While one may have reached an incarnation, a
   task that must not run again after it is done is started there alone and stopped at once; an end
   that is listed shows that none is lost.

   Use: call dispatcher_tick every DISPATCHER_TICK_MS and after a group of inputs.  */

#ifndef SASSAFRAS_DISPATCHER_H
#define SASSAFRAS_DISPATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "status.h"
#include "worker_link.h"
#include "workflow.h"

#define DISPATCHER_TICK_MS 20
#define DISPATCHER_FENCES                                                                          \
  ((uint64_t)1 << 20) /* of one leadership; one for each restart of a worker */

struct dispatcher;

/* Called once per command to append to the log; the outcome is passed to dispatcher_proposed with
   the same token.  */
typedef void dispatcher_propose_fn (void *arg, const workflow_command *command, uint64_t token);

/* Outcome of a proposal.  */
enum dispatcher_proposal
{
  PROPOSAL_LOST, /* certain not to be applied; the same may be proposed again */
  PROPOSAL_APPLIED,
  PROPOSAL_REFUSED, /* by the state, or it can't be encoded: the same would be refused again */
};

struct dispatcher_config
{
  struct workflow *workflow;
  struct worker_link *link;
  struct clock *clock; /* the scale of now_ms */
  dispatcher_propose_fn *propose;
  void *propose_arg;
  int64_t lease_ms;              /* longest lease that workers accept */
  int64_t status_ms;             /* retention of ended jobs */
  uint64_t max_checkpoint_bytes; /* of all tasks and runs; 0: no limit */
  /* Run time away from its data or its group / near them.  Up to 1: tasks don't wait for a place.
   */
  double remote_run_factor;
  bool await_timeouts; /* no start is overdue, no uncertain run gets a copy */
  bool ignore_weights; /* client accounts have keys and caps, but no shares */
};

struct dispatcher *dispatcher_new (const struct dispatcher_config *config); /* Not leading. */
void dispatcher_free (struct dispatcher *d);

/* Leadership.  */
void dispatcher_become_leader (struct dispatcher *d, int64_t now_ms,
                               uint64_t fence); /* Own log applied; uses DISPATCHER_FENCES from
                                                   FENCE on, all above those of earlier leaders. */
void dispatcher_resign (struct dispatcher *d);  /* Drops all state. */
void dispatcher_set_authority (struct dispatcher *d,
                               int64_t until_ms); /* No other leader can exist before UNTIL_MS. */
bool dispatcher_has_authority (const struct dispatcher *d,
                               int64_t now_ms); /* Leads, and no other leader can exist now. */
/* Workers that are silent or drain have runs.  A next leader doesn't know since when, and waits for
   a whole lease of those that are gone by then.  */
bool dispatcher_awaits_workers (const struct dispatcher *d, int64_t now_ms);
void dispatcher_proposed (struct dispatcher *d, int64_t now_ms, uint64_t token,
                          enum dispatcher_proposal outcome);

/* Inputs from workers.  */
int dispatcher_report (struct dispatcher *d, int64_t now_ms, const struct worker_report *r,
                       struct status *st); /* -1: stale, or STATUS_BAD_REQUEST: not of a worker. */
void dispatcher_worker_left (struct dispatcher *d, int64_t now_ms,
                             const char *worker); /* Ended if its address refuses the next hold. */
/* True while WORKER, which has runs, drains or has left, and the log does not say so yet: an
   acknowledgement must wait, as a next leader would not know.  IS_PROPOSED: the commit is open.  */
bool dispatcher_awaits_drain (const struct dispatcher *d, const char *worker, bool *is_proposed);
void dispatcher_start_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                              const workflow_task_ref *task, uint32_t run,
                              enum worker_call_result result);
void dispatcher_stop_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                             const workflow_task_ref *task, uint32_t run,
                             enum worker_call_result result);
void dispatcher_pace_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                             const workflow_task_ref *task, uint32_t run, uint32_t percent,
                             enum worker_call_result result);
void dispatcher_hold_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                             enum worker_call_result result,
                             const struct worker_lists *lists); /* LISTS with OK only. */

void dispatcher_outcome (void *dispatcher, int64_t now_ms,
                         const struct worker_outcome *o);    /* Any of these four answers. */
size_t dispatcher_worker_count (const struct dispatcher *d); /* Known to this leader. */

void dispatcher_tick (struct dispatcher *d, int64_t now_ms, int64_t wall_ms); /* Periodic work. */
size_t dispatcher_wanted_places (const struct dispatcher *d); /* Racks that are tracked. */

/* Client accounts (accounts.h).  */
bool dispatcher_fits_cap (const struct account *a,
                          const workflow_spec *spec); /* No task is larger than the cap of A. */
/* 0 if a job of A may be accepted now, else the time until it may be: it is beyond A's weight, and
   tasks of accounts that are within theirs wait.  */
int64_t dispatcher_account_wait_ms (const struct dispatcher *d, int64_t now_ms,
                                    const struct account *a);

bool
dispatcher_can_ever_fit (const struct dispatcher *d, const workflow_spec *spec,
                         const char *pool); /* False: no known worker of POOL fits some step. */

#endif
