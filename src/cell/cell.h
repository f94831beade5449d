/* cell: replicated state machine of one cell (the Raft group that schedules one data centre).

   A cell implements struct machine.  Its log entries are encoded cell_batch values; the result of
   an entry is an encoded cell_results with one result per command, in order.

   Log time.  A batch carries the leader's log time: the log time of the last applied entry plus the
   time elapsed on the leader's monotonic clock since it gained leadership (cell_set_leader_time).
   It never decreases and does not advance while there is no leader.  All *_ms members of jobs,
   tasks and intents are log times.

   Task states: PENDING -> PLACED -> RUNNING -> STOPPING -> PENDING with the last checkpoint, or
   DONE, FAILED, CANCELLED.  OFFERED waits for the answer of another cell, then becomes MOVED or
   returns to PENDING.  STANDBY is a copy of a task that another cell owns.  Every placement raises
   the epoch of the task; commands with another epoch fail with STATUS_STALE_EPOCH.

   Ids of jobs and tasks are unique across all cells (cell number in the upper 16 bits).  The upper
   24 bits of a task epoch hold the cell epoch, so a standby copy that takes over starts above every
   epoch of the former owner.

   Hand-off.  The sender commits HANDOFF_OFFER and sends the task (cell_make_transfer) until it gets
   an answer.  The receiver proposes HANDOFF_ACCEPT or HANDOFF_REFUSE.  ACCEPT with STATUS_OK, or
   REFUSE with STATUS_VERSION_CONFLICT (already accepted): the sender proposes HANDOFF_DONE.  REFUSE
   with STATUS_OK, or ACCEPT with STATUS_OVERLOADED (refused at this epoch): HANDOFF_ABORT.  Both
   carry the task_epoch of the transfer.  Any other status: the sender retries.  If two cells claim
   a task after an epoch was closed, the one whose copy has started keeps it.

   Standby.  The owner commits STANDBY_SENT before it first sends STANDBY_PUT, and repeats the
   latter as checkpoints advance.  STANDBY_START is idempotent.  An owner that returns proposes
   EPOCH_CLOSED before it starts any task; its tasks with a copy become OFFERED to the copy's cell.

   Finished jobs are kept for CELL_FINISHED_RETENTION_MS, at most CELL_MAX_FINISHED of them; intents
   for CELL_INTENT_RETENTION_MS, at most CELL_MAX_INTENTS; new ones above the limit fail with
   STATUS_OVERLOADED.  A recorded outcome is final: a second finish returns the first outcome.  */

#ifndef SASSAFRAS_CELL_H
#define SASSAFRAS_CELL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "cell_proto.h"
#include "machine.h"

#define CELL_INTENT_RETENTION_MS (24LL * 3600 * 1000)
#define CELL_FINISHED_RETENTION_MS (24LL * 3600 * 1000)
#define CELL_HANDOFF_RETENTION_MS (24LL * 3600 * 1000)
#define CELL_MAX_INTENTS 200000
#define CELL_MAX_FINISHED 65536
#define CELL_MAX_TASKS 400000
#define CELL_MAX_INTENT_BYTES (64LL * 1024 * 1024) /* total size of recorded answers */

/* A standby copy starts only after every lease under the closed epoch has expired: the last permit
   (3 s), the time an isolated cell keeps renewing tasks that have a standby copy (20 s), the worker
   lease (10 s) and a margin (2 s).  */
#define CELL_ISOLATION_GRACE_MS 20000
#define CELL_CLOSE_WAIT_MS (3000 + CELL_ISOLATION_GRACE_MS + 10000 + 2000)

#define CELL_ID_SHIFT 48 /* ids of jobs and tasks: cell number above, counter below */

struct cell_job;

struct cell_task
{
  struct cell_map_node node; /* in cell.tasks, by id */
  STAILQ_ENTRY (cell_task) link;
  struct cell_job *job;
  uint64_t id;
  uint32_t index; /* replica number */
  enum cell_task_state state;
  uint64_t epoch;
  char worker[CELL_NAME_BYTES + 1]; /* of the last placement */
  uint64_t incarnation;             /* of that worker */
  int64_t state_ms;                 /* when the state was entered */
  int64_t not_before_ms;            /* end of the back-off after a failure */
  uint64_t progress_ms;             /* work saved in the checkpoint */
  char *checkpoint;                 /* NULL if none */
  enum cell_stop_reason stop;
  uint32_t failures;
  uint32_t evictions;
  char failed_on[CELL_FAILED_WORKERS][CELL_NAME_BYTES + 1]; /* distinct workers, oldest first */
  uint64_t other_cell;  /* OFFERED: receiver; STANDBY: owner; else cell of the standby copy or 0 */
  uint64_t other_epoch; /* epoch of the owner's cell */
  uint64_t replaces;    /* task of another cell that this replica replaces, 0 if none */
  void *observer_data;
};

STAILQ_HEAD (cell_task_list, cell_task);

struct cell_job
{
  struct cell_map_node node;         /* in cell.jobs, by id */
  struct cell_map_node request_node; /* in cell.requests, by customer and request id */
  TAILQ_ENTRY (cell_job) link;
  uint64_t id;
  cell_job_spec spec;
  int64_t submitted_ms;
  int64_t deadline_ms; /* log time, 0 if none */
  int64_t finished_ms; /* 0 until all tasks are finished */
  bool cancelled;
  bool in_finished;    /* in cell.finished rather than cell.job_list */
  uint32_t open_tasks; /* unfinished tasks */
  char *reason;        /* failure reason, NULL if not failed */
  struct cell_task_list tasks;
  void *observer_data;
};

TAILQ_HEAD (cell_job_list, cell_job);

struct cell_intent
{
  struct cell_map_node node; /* in cell.intents, by customer and key */
  TAILQ_ENTRY (cell_intent) link;
  char *customer;
  char *key;
  uint64_t request_hash;
  uint64_t attempt; /* of the INTENT_BEGIN that may run the request */
  int64_t begun_ms;
  bool finished;
  uint32_t outcome; /* enum status_ran */
  uint32_t code;
  void *answer;
  size_t answer_len;
};

TAILQ_HEAD (cell_intent_list, cell_intent);

struct cell_handoff
{
  struct cell_map_node node; /* in cell.handoffs, by task */
  TAILQ_ENTRY (cell_handoff) link;
  uint64_t task;
  uint64_t epoch; /* task epoch of the answered transfer */
  bool accepted;
  uint64_t local_task;
  int64_t at_ms;
};

TAILQ_HEAD (cell_handoff_list, cell_handoff);

/* Callbacks for changes made by applied commands.  */
struct cell_observer
{
  void (*task_changed) (void *ctx, struct cell_task *t); /* state, epoch or progress changed */
  void (*task_removed) (void *ctx, struct cell_task *t); /* T is about to be freed */
  void (*job_removed) (void *ctx, struct cell_job *j);   /* J is about to be freed */
  void (*reloaded) (void *ctx);                          /* a snapshot replaced the state */
  void (*unloading) (void *ctx);                         /* the whole state is about to be freed */
  void *ctx;
};

struct cell
{
  struct machine machine; /* first member: the vtable */
  uint64_t number;        /* of this cell, from 1 */
  uint64_t epoch;         /* cell epoch, increased when the registry closes one */
  uint64_t next_id;
  int64_t now_ms;       /* log time of the last applied entry */
  int64_t time_base_ms; /* log time minus the leader's monotonic clock */
  struct cell_map tasks;
  struct cell_map jobs;
  struct cell_map requests;
  struct cell_map intents;
  struct cell_map handoffs;
  struct cell_job_list job_list; /* unfinished jobs, oldest first */
  struct cell_job_list finished; /* by finish time */
  struct cell_intent_list intent_list;
  struct cell_handoff_list handoff_list;
  uint32_t task_count;
  uint32_t finished_count;
  uint32_t intent_count;
  int64_t intent_bytes;
  struct cell_observer observer;
};

void cell_init (struct cell *c, uint64_t number); /* Empty cell with the given NUMBER. */
void cell_close (struct cell *c);                 /* Frees everything. */
void cell_set_observer (struct cell *c,
                        const struct cell_observer *o); /* At most one; NULL removes it. */

/* Log time.  */
void cell_set_leader_time (struct cell *c, int64_t now_ms);   /* Call when leadership is gained. */
int64_t cell_log_time (const struct cell *c, int64_t now_ms); /* Log time at the leader's NOW_MS. */

/* Encoding of entries.  */
void
cell_encode (const struct cell *c, int64_t now_ms, cell_command *commands, size_t count,
             struct buffer *out); /* Appends one log entry; C may be NULL if cell_stamp follows. */
void cell_stamp (const struct cell *c, int64_t now_ms, void *entry,
                 size_t len); /* Sets the log time of an encoded ENTRY; leader only. */
int cell_decode_batch (const void *data, size_t len, cell_batch *out,
                       struct status *st); /* Free with cell_free_batch. */
void cell_free_batch (cell_batch *b);
int cell_decode_results (const void *data, size_t len, cell_results *out,
                         struct status *st); /* Free with cell_free_results. */
void cell_free_results (cell_results *r);

/* Reading the state.  */
struct cell_job *cell_find_job (const struct cell *c, uint64_t id); /* NULL when unknown. */
struct cell_job *cell_find_request (const struct cell *c, const char *customer,
                                    const char *request_id);          /* NULL when unknown. */
struct cell_task *cell_find_task (const struct cell *c, uint64_t id); /* NULL when unknown. */
const struct cell_intent *cell_find_intent (const struct cell *c, const char *customer,
                                            const char *key); /* Including expired ones; or NULL. */
const char *cell_state_name (enum cell_task_state state);     /* "pending", "running", ... */
enum cell_task_state
cell_job_state (const struct cell_job *j);            /* Summary state of all tasks, for reports. */
bool cell_task_final (const struct cell_task *t);     /* DONE, FAILED, CANCELLED or MOVED. */
bool cell_task_on_worker (const struct cell_task *t); /* PLACED, RUNNING or STOPPING. */
void cell_make_transfer (const struct cell *c, const struct cell_task *t,
                         cell_transfer *out); /* Points into T; valid until the next apply. */

#endif
