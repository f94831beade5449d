/* scheduler: the soft state of a cell's leader, which decides where each task runs.

   Performs no I/O; the time is passed in (now_ms, monotonic milliseconds of this process).  It
   reads the struct cell it was given and changes it only through proposals.

   Inputs: leadership, its confirmation by a quorum, the start permit, plans, the data centre's
   state, worker announcements and polls, applied entries (through the cell's observer) and ticks.
   Outputs: encoded log entries to propose, answers to polls, and tasks offered to other cells.

   Use: after any group of inputs call scheduler_tick, then drain scheduler_next_proposal and
   scheduler_next_ready.  Call scheduler_tick at least every SCHEDULER_TICK_MS.

   Starts: a start command is sent only for a committed placement and only under a permit.  It
   carries its validity, which the worker counts from when it sent the poll that the command
   answers: (now - time the poll was handled) + permit left.

   Leases: the answer to a poll renews the worker's lease for lease_ms counted from when the
   worker sent the poll.  Only a leader confirmed by a quorum renews it
   (scheduler_confirm_leadership): an unconfirmed answer carries lease 0.  A worker stops all its
   tasks when its lease ends, and those with a standby copy when covered_lease_ms ends.  Capacity
   becomes free only after a confirmed stop, or after the worker was silent for lease + margin.

   Reports: a worker repeats a report in each poll until a FORGET command for that task and epoch
   arrives.  The task list of a poll is complete, so comparing it with the log repairs lost,
   repeated and late commands and answers.  Polls carry a sequence number per incarnation; a poll
   older than the last one is refused with STATUS_STALE_INCARNATION.

   Workers: a worker starts a task only within valid_ms of the poll, only at a higher epoch than
   any it has seen for that task, and never while another epoch of the task runs; a start that it
   refuses is listed as REFUSED.  A STOP for a task and epoch that it does not run is listed as
   STOPPED, so that a late start of that epoch is refused.  An announcement with a new incarnation
   does not free the capacity of the earlier one's tasks: that takes lease + margin, because a
   process of the earlier incarnation may still run.

   Lowered plans, in this order: the customer's waiting tasks stay queued; its batch tasks are
   throttled to the new share of processors; after SCHEDULER_PLAN_GRACE_MS, and at once for memory
   and accelerators, batch tasks are evicted within the eviction budget.  Urgent tasks keep running.

   Data centre out: batch tasks write a checkpoint, stop and are offered to cells with free
   capacity; urgent replicas run on until a replacement runs elsewhere.

   Errors: STATUS_STALE_INCARNATION, STATUS_NOT_FOUND (poll of a worker that has not announced
   itself; it announces itself again), STATUS_NOT_LEADER, STATUS_BAD_REQUEST, STATUS_UNSATISFIABLE,
   STATUS_LIMIT_EXCEEDED.  */

#ifndef SASSAFRAS_SCHEDULER_H
#define SASSAFRAS_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "cell.h"
#include "status.h"

#define SCHEDULER_LEASE_MS 10000
#define SCHEDULER_LEASE_MARGIN_MS 2000
#define SCHEDULER_HEARTBEAT_MS 3000
#define SCHEDULER_TICK_MS 100
#define SCHEDULER_PLAN_GRACE_MS 60000
#define SCHEDULER_MAX_WORKER_TASKS 1024
#define SCHEDULER_MAX_WORKERS 32768

#define SCHEDULER_NO_LIMIT UINT64_MAX /* for the max_ members of a quota */

/* What a customer's plan allows in this cell; 0 allows nothing.  */
struct scheduler_quota
{
  double weight; /* share relative to other customers, > 0 */
  uint64_t max_millicores;
  uint64_t max_memory_mb;
  uint64_t max_accelerators;
  uint32_t evictions_per_hour; /* evictions of its batch tasks; UINT32_MAX: no limit */
};

/* Fills the quota of CUSTOMER; false when the customer is unknown (its tasks do not start).  */
typedef bool (*scheduler_quota_fn) (void *ctx, const char *customer, struct scheduler_quota *out);

/* Baseline policies for comparison; 0 is the production policy.  */
enum scheduler_policy
{
  SCHEDULER_FIRST_FIT = 1,     /* first worker with free capacity instead of the best score */
  SCHEDULER_NO_LEARNING = 2,   /* no interference estimates, run times or size checks */
  SCHEDULER_EVICT_NEWEST = 4,  /* newest batch task first, no budgets */
  SCHEDULER_NO_QUARANTINE = 8, /* failures do not count against a worker */
  SCHEDULER_FIFO = 16,         /* order of submission only */
};

struct scheduler_config
{
  struct cell *cell;
  scheduler_quota_fn quota; /* NULL: every customer has weight 1 and no limits */
  void *quota_ctx;
  uint64_t seed;   /* of the random choices of placement */
  unsigned policy; /* bits of enum scheduler_policy */
};

/* A task as reported by its worker.  */
struct worker_task
{
  uint64_t task;
  uint64_t epoch;
  enum cell_report_kind state; /* RUNNING while it runs; an end state until FORGET arrives */
  uint32_t used_millicores;
  uint32_t used_memory_mb;
  uint32_t
      slowdown_milli;   /* urgent: measured latency / latency when alone; 1000 is none, 0 unknown */
  uint64_t progress_ms; /* work preserved by the last checkpoint */
  const char *checkpoint; /* NULL or "": none */
  const char *reason;     /* of a failure */
};

/* POST /v1/workers/announce.  */
struct worker_announce
{
  const char *id;
  const char *rack;
  uint64_t incarnation; /* increases with every start of the worker */
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  const struct worker_task *tasks;
  size_t task_count;
};

/* POST /v1/workers/poll.  */
struct worker_poll
{
  const char *id;
  uint64_t incarnation;
  uint64_t sequence;               /* increases with every poll of this incarnation */
  uint32_t measured_ago_ms;        /* age of the usage and slowdown measurements */
  uint32_t used_millicores;        /* of the whole worker */
  const struct worker_task *tasks; /* complete list */
  size_t task_count;
};

enum worker_command_kind
{
  WORKER_START = 1,
  WORKER_CHECKPOINT = 2, /* write a checkpoint and continue */
  WORKER_THROTTLE = 3,   /* cap the task at limit_millicores; the declared size lifts the cap */
  WORKER_STOP = 4,       /* stop; writes a checkpoint first when grace_ms > 0 */
  WORKER_FORGET = 5,     /* the report is recorded; drop the entry */
};

struct worker_command
{
  enum worker_command_kind kind;
  uint64_t task;
  uint64_t epoch;
  uint32_t valid_ms;         /* start: from when the worker sent the poll */
  uint32_t limit_millicores; /* throttle */
  uint32_t grace_ms;         /* stop */
  bool covered;              /* start: has a standby copy, see covered_lease_ms */
  const cell_job_spec *spec; /* start: valid until the next input */
  const char *checkpoint;    /* start: resume from here; NULL: none */
  uint64_t progress_ms;      /* start: work preserved by that checkpoint */
  uint32_t index;            /* start: replica number */
};

struct worker_answer
{
  uint64_t incarnation;      /* of the worker, which drops answers to an earlier incarnation */
  uint32_t lease_ms;         /* from when the worker sent the poll; 0 renews nothing */
  uint32_t covered_lease_ms; /* same, for tasks with a standby copy */
  struct worker_command *commands; /* owned by the scheduler, valid until the next input */
  size_t count;
};

struct scheduler_proposal
{
  uint64_t id;         /* for scheduler_proposal_done */
  struct buffer entry; /* encoded batch; the caller closes it */
};

/* Another cell that can take tasks.  */
struct scheduler_peer_cell
{
  uint64_t cell;
  bool standby; /* holds this cell's standby copies; the only cell that may take covered tasks */
  uint64_t free_millicores;
  uint64_t free_memory_mb;
  uint64_t free_accelerators;
};

enum scheduler_move_kind
{
  SCHEDULER_MOVE_HANDOFF = 1, /* send CELL_HANDOFF_ACCEPT, then propose DONE or ABORT here */
  SCHEDULER_MOVE_REPLACE = 2, /* send CELL_REPLICA_ADD; when the replica runs propose REPLACED */
};

/* A task that the caller moves to another cell; returned again until the log shows the end.  */
struct scheduler_move
{
  enum scheduler_move_kind kind;
  uint64_t task;
  uint64_t to_cell;
};

struct scheduler_stats
{
  uint64_t starts;
  uint64_t evictions;
  uint64_t throttles;
  uint64_t slowdown_evictions; /* because of measured slowdown; part of evictions */
  uint64_t quarantines;
  uint64_t refused_starts;
  uint64_t lost_tasks;
  uint64_t failed_jobs;
  uint32_t workers;     /* alive */
  uint32_t quarantined; /* now */
  uint32_t pending;
  uint64_t total_millicores, free_millicores;
  uint64_t total_memory_mb, free_memory_mb;
  uint64_t total_accelerators, free_accelerators;
};

struct scheduler;

struct scheduler_quota scheduler_unlimited_quota (void); /* Weight 1 and no limits. */
struct scheduler *scheduler_new (const struct scheduler_config *config); /* Starts as a follower. */
void scheduler_free (struct scheduler *s);

/* Inputs.  */
void scheduler_set_leader (struct scheduler *s, int64_t now_ms,
                           bool leader); /* Leadership gained (own log applied) or lost. */
void scheduler_confirm_leadership (struct scheduler *s,
                                   int64_t until_ms); /* No other leader before UNTIL_MS. */
void scheduler_extend_permit (struct scheduler *s,
                              int64_t until_ms); /* Starts are allowed until UNTIL_MS. */
void scheduler_set_data_centre_out (struct scheduler *s, int64_t now_ms,
                                    bool out); /* The data centre was taken out or returned. */
void scheduler_set_peer_cells (struct scheduler *s, const struct scheduler_peer_cell *cells,
                               size_t count); /* Cells that may receive tasks; may be none. */
void scheduler_reload_quotas (struct scheduler *s,
                              int64_t now_ms); /* Quotas changed: reads them again. */
int scheduler_announce (struct scheduler *s, int64_t now_ms, const struct worker_announce *a,
                        struct status *st); /* A worker registers. */
int scheduler_poll (struct scheduler *s, int64_t now_ms, const struct worker_poll *p,
                    struct status *st);                    /* Heartbeat and reports of a worker. */
void scheduler_tick (struct scheduler *s, int64_t now_ms); /* Advances the time and decides. */

/* Outputs.  */
bool scheduler_next_proposal (struct scheduler *s, int64_t now_ms,
                              struct scheduler_proposal *out); /* False when there is none. */
void scheduler_proposal_done (struct scheduler *s, int64_t now_ms, uint64_t id,
                              bool applied);            /* Applied, or can no longer be; unused. */
const char *scheduler_next_ready (struct scheduler *s); /* Next worker to answer, or NULL. */
bool scheduler_answer_due (const struct scheduler *s, const char *worker);
int scheduler_answer (struct scheduler *s, int64_t now_ms, const char *worker,
                      struct worker_answer *out,
                      struct status *st); /* Answers the worker's last poll with its commands. */
int scheduler_admit (struct scheduler *s, const cell_job_spec *spec,
                     struct status *st); /* Checks a job before CELL_SUBMIT is proposed. */
bool scheduler_next_move (struct scheduler *s, struct scheduler_move *out); /* False: none now. */
void scheduler_stats (const struct scheduler *s, struct scheduler_stats *out);
void scheduler_check (const struct scheduler *s); /* Aborts when an invariant is violated. */
void scheduler_dump (const struct scheduler *s, struct buffer *out); /* State for operators. */

#endif
