/* dispatcher: the soft state of a workflow group's leader.  It decides which task starts where,
   gives the orders and learns what became of them.

   Pure: no I/O, the time is passed in (now_ms, monotonic; wall_ms, Unix time, for occurrences
   only). Orders leave through a struct worker_link, log entries through dispatcher_config.propose.

   A run's life here:

   PLACING    its placement is proposed
   SENT       the start order is on its way
   UNCERTAIN  the order got no answer, or an earlier leader gave it
   RUNNING    the worker said that it runs
   ENDING     its end is proposed

   Safety.  A start is sent only after its placement is committed, under authority (no other leader
   can exist) and to a worker whose own report and hold this leader has heard.  A run leaves this
   list only with a committed end.  Without an end from the worker that takes a proof that it does
   not run and never will: a hold that was sent after the run's last order was settled and doesn't
   list it; the end of that life of the worker; or a lease that is over by the worker's clock at its
   slowest.  An uncertain order is settled by a stop order for that run: the worker then refuses a
   later start of it.  The first hold of a leader raises the worker's fence, which settles the
   orders of all earlier leaders.

   Acknowledgement.  An end is acknowledged to the worker after it is committed here.

   Use: call dispatcher_tick every DISPATCHER_TICK_MS and after a group of inputs.  */

#ifndef SASSAFRAS_DISPATCHER_H
#define SASSAFRAS_DISPATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"
#include "worker_link.h"
#include "workflow.h"

#define DISPATCHER_TICK_MS 20

struct dispatcher;

/* Called once per command that the dispatcher wants in the log; the outcome comes back by
   dispatcher_proposed with the same token.  */
typedef void dispatcher_propose (void *arg, const workflow_command *command, uint64_t token);

struct dispatcher_config
{
  struct workflow *workflow;
  struct worker_link *link;
  dispatcher_propose *propose;
  void *propose_arg;
  int64_t lease_ms;  /* longest lease that workers accept */
  int64_t status_ms; /* ended jobs stay known this long */
};

struct dispatcher *dispatcher_new (const struct dispatcher_config *config); /* Not leading. */
void dispatcher_free (struct dispatcher *d);

/* Leadership.  */
void dispatcher_lead (struct dispatcher *d, int64_t now_ms,
                      uint64_t fence);         /* Own log applied; FENCE is the term. */
void dispatcher_resign (struct dispatcher *d); /* Forgets everything. */
void dispatcher_authority (struct dispatcher *d,
                           int64_t until_ms); /* No other leader can exist before UNTIL_MS. */
bool dispatcher_may_act (const struct dispatcher *d,
                         int64_t now_ms); /* Leads, and no other leader can exist now. */
void dispatcher_proposed (struct dispatcher *d, int64_t now_ms, uint64_t token,
                          bool applied); /* A proposal was applied, or surely never will be. */

/* Inputs of workers.  */
int dispatcher_report (struct dispatcher *d, int64_t now_ms, const struct worker_report *r,
                       struct status *st); /* -1 for a report that is overtaken by a newer one. */
void dispatcher_worker_left (struct dispatcher *d, int64_t now_ms,
                             const char *worker); /* The worker ends now, with all that it runs. */
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

void dispatcher_tick (struct dispatcher *d, int64_t now_ms, int64_t wall_ms); /* Time passes. */
bool dispatcher_can_ever_fit (const struct dispatcher *d, const workflow_spec *spec,
                              const char *pool); /* False: no worker of POOL could. */

#endif
