/* scheduler: the soft state of a cell's leader.  It decides what runs where.

   Pure: no I/O, the time is passed in (now_ms, monotonic milliseconds of this process).  It reads
   the struct cell it was given and changes it only by proposals.

   Inputs: leadership, its confirmation by a quorum, the start permit, plans, the data centre's
   state, worker announcements and polls, applied entries (through the cell's observer) and ticks.
   Outputs: encoded log entries to propose, answers to polls, and tasks offered to other cells.

   Use: after any group of inputs call scheduler_tick, then drain scheduler_next_proposal and
   scheduler_next_ready.  Call scheduler_tick at least every SCHEDULER_TICK_MS.

   Starts.  A start command goes out only for a placement that is committed and only under a
   permit.  It carries how long it stays valid, counted by the worker from when it sent the poll
   that the command answers: (now - time the poll was handled) + permit left.

   Leases.  The answer to a poll renews the worker's lease for lease_ms counted from when the
   worker sent the poll.  Only a leader that a quorum has confirmed renews it (scheduler_confirm):
   an unconfirmed answer carries lease 0.  A worker stops all its tasks when its lease ends, and
   the tasks marked covered when covered_lease_ms ends.  Capacity is free only after a confirmed
   stop, or when the worker was silent for lease + margin.

   Reports are repeated by the worker in each poll until a FORGET command for that task and epoch
   arrives; the list of tasks in a poll is complete, so lost, repeated and late commands or answers
   are repaired by comparing it with the log.  Polls carry a sequence number per incarnation; an
   older poll than the last one is refused with STATUS_STALE_INCARNATION.

   What a worker does: it starts a task only within valid_ms of the poll, only at a higher epoch
   than any it has seen for that task, and never while another epoch of the task runs; a start it
   refuses is listed as REFUSED.  A STOP for a task and epoch it does not run is listed as STOPPED,
   so that a late start of that epoch is refused.  Announcing itself again with a new incarnation
   does not free the capacity of tasks of the earlier one: that takes lease + margin, because a
   process of the earlier incarnation may still run.

   A lowered plan acts in this order: the customer's waiting tasks stay queued; its batch tasks are
   throttled to the new share of processors; after SCHEDULER_PLAN_GRACE_MS, and at once for memory
   and accelerators, batch tasks are evicted within the eviction budget.  Urgent tasks keep
   running.

   Data centre out: batch tasks checkpoint, stop and are offered to cells with room; urgent replicas
   run on until a replacement runs elsewhere.

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

#define SCHEDULER_NO_LIMIT UINT64_MAX /* in a max_ member of a quota */

/* What a customer's plan allows in this cell; 0 allows nothing.  */
struct scheduler_quota
{
  double weight; /* share against other customers, > 0 */
  uint64_t max_millicores;
  uint64_t max_memory_mb;
  uint64_t max_accelerators;
  uint32_t evictions_per_hour; /* budget for evictions of its batch tasks; UINT32_MAX is no limit */
};

/* Fills the quota of CUSTOMER; false when the customer is unknown (its tasks do not start).  */
typedef bool (*scheduler_quota_fn) (void *ctx, const char *customer, struct scheduler_quota *out);

/* Baselines for comparison; 0 is the product's policy.  */
enum scheduler_policy
{
  SCHEDULER_FIRST_FIT = 1,     /* first worker with room instead of the best score */
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
  uint64_t seed;   /* of the placement's random choices */
  unsigned policy; /* bits of enum scheduler_policy */
};

/* One task as a worker reports it.  */
struct worker_task
{
  uint64_t task;
  uint64_t epoch;
  enum cell_report_kind state; /* RUNNING while it runs; an end state until FORGET arrives */
  uint32_t used_millicores;
  uint32_t used_memory_mb;
  uint32_t
      slowdown_milli;     /* urgent: measured latency over latency alone, 1000 is none; 0 unknown */
  uint64_t progress_ms;   /* work the last checkpoint keeps */
  const char *checkpoint; /* NULL or "" when there is none */
  const char *reason;     /* of a failure */
};

/* POST /v1/workers/announce.  */
struct worker_announce
{
  const char *id;
  const char *rack;
  uint64_t incarnation; /* grows with every start of the worker */
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
  uint64_t sequence;               /* grows with every poll of this incarnation */
  uint32_t measured_ago_ms;        /* age of the usage and slowdown figures */
  uint32_t used_millicores;        /* of the whole worker */
  const struct worker_task *tasks; /* complete list */
  size_t task_count;
};

enum worker_command_kind
{
  WORKER_START = 1,
  WORKER_CHECKPOINT = 2, /* write a checkpoint, go on */
  WORKER_THROTTLE = 3,   /* cap the task at limit_millicores; the declared size lifts the cap */
  WORKER_STOP = 4,       /* stop; with a checkpoint first when grace_ms > 0 */
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
  bool covered;              /* start: a standby copy exists, see covered_lease_ms */
  const cell_job_spec *spec; /* start: valid until the next input */
  const char *checkpoint;    /* start: resume from here, NULL when there is none */
  uint64_t progress_ms;      /* start: work that checkpoint keeps */
  uint32_t index;            /* start: replica number */
};

struct worker_answer
{
  uint64_t incarnation;            /* of the worker; it drops answers to an earlier life */
  uint32_t lease_ms;               /* from when the worker sent the poll; 0 renews nothing */
  uint32_t covered_lease_ms;       /* same, for tasks with a standby copy */
  struct worker_command *commands; /* owned by the scheduler, valid until the next input */
  size_t count;
};

struct scheduler_proposal
{
  uint64_t id;         /* for scheduler_proposal_done */
  struct buffer entry; /* encoded batch; the taker closes it */
};

/* Another cell that can take tasks.  */
struct scheduler_peer_cell
{
  uint64_t cell;
  bool standby; /* holds this cell's standby copies; the only one that may take covered tasks */
  uint64_t free_millicores;
  uint64_t free_memory_mb;
  uint64_t free_accelerators;
};

enum scheduler_move_kind
{
  SCHEDULER_MOVE_HANDOFF = 1, /* send CELL_HANDOFF_ACCEPT, then propose DONE or ABORT here */
  SCHEDULER_MOVE_REPLACE = 2, /* send CELL_REPLICA_ADD; when the replica runs propose REPLACED */
};

/* A task that the caller takes to another cell; repeated until the log shows the end.  */
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
  uint64_t moves; /* evictions because of measured harm */
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

struct scheduler_quota scheduler_open_quota (void); /* Weight 1 and no limits. */
struct scheduler *scheduler_new (const struct scheduler_config *config); /* A follower. */
void scheduler_free (struct scheduler *s);

/* Inputs.  */
void scheduler_lead (struct scheduler *s, int64_t now_ms,
                     bool leader); /* Leadership gained (own log applied) or lost. */
void scheduler_confirm (struct scheduler *s,
                        int64_t until_ms); /* No other leader can exist before UNTIL_MS. */
void scheduler_permit (struct scheduler *s, int64_t until_ms); /* Starts allowed until then. */
void scheduler_data_centre (struct scheduler *s, int64_t now_ms,
                            bool out); /* The data centre was taken out or returned. */
void scheduler_peers (struct scheduler *s, const struct scheduler_peer_cell *cells,
                      size_t count); /* Cells that may receive tasks; may be none. */
void scheduler_plans (struct scheduler *s, int64_t now_ms); /* Quotas changed; asks again. */
int scheduler_announce (struct scheduler *s, int64_t now_ms, const struct worker_announce *a,
                        struct status *st); /* A worker introduces itself. */
int scheduler_poll (struct scheduler *s, int64_t now_ms, const struct worker_poll *p,
                    struct status *st);                    /* A worker's heartbeat and reports. */
void scheduler_tick (struct scheduler *s, int64_t now_ms); /* Time passes; decides. */

/* Outputs.  */
bool scheduler_next_proposal (struct scheduler *s, int64_t now_ms,
                              struct scheduler_proposal *out); /* False when there is none. */
void scheduler_proposal_done (struct scheduler *s, int64_t now_ms, uint64_t id,
                              bool applied);            /* Applied, or certain never to be. */
const char *scheduler_next_ready (struct scheduler *s); /* Next worker with commands, or NULL. */
bool scheduler_has_commands (const struct scheduler *s,
                             const char *worker); /* True: answer its poll now. */
int scheduler_answer (struct scheduler *s, int64_t now_ms, const char *worker,
                      struct worker_answer *out,
                      struct status *st); /* Answers the worker's last poll; takes its commands. */
int scheduler_admit (struct scheduler *s, const cell_job_spec *spec,
                     struct status *st); /* Check before CELL_SUBMIT is proposed. */
bool scheduler_next_move (struct scheduler *s, struct scheduler_move *out); /* False: none now. */
void scheduler_stats (const struct scheduler *s, struct scheduler_stats *out);
void scheduler_check (const struct scheduler *s); /* Aborts when a rule is broken. */
void scheduler_dump (const struct scheduler *s, struct buffer *out); /* State for operators. */

#endif
