/* scheduler_internal: soft state of the leader, shared by the scheduler's source files.  */

#ifndef SASSAFRAS_SCHEDULER_INTERNAL_H
#define SASSAFRAS_SCHEDULER_INTERNAL_H

#include "eviction.h"
#include "interference.h"
#include "placement.h"
#include "scheduler.h"
#include "task_queue.h"
#include "worker_health.h"

#define SCHED_MAX_RACKS 4096
#define SCHED_MIX_SIZE 24       /* batch classes and services kept per worker */
#define SCHED_RECENT_RUNS 16    /* ended batch runs kept per worker, to attribute delayed samples */
#define SCHED_QUEUED UINT64_MAX /* in_flight of a command that is not yet encoded */

struct sched_worker;

enum sched_throttle_reason
{
  SCHED_THROTTLE_NONE,
  SCHED_THROTTLE_SIZE,         /* uses more than its allocation */
  SCHED_THROTTLE_PLAN,         /* the customer's plan was lowered */
  SCHED_THROTTLE_INTERFERENCE, /* slows down an urgent task */
};

struct sched_customer
{
  struct cell_map_node node; /* by name */
  LIST_ENTRY (sched_customer) link;
  char name[CELL_NAME_BYTES + 1];
  struct scheduler_quota quota;
  bool known;                  /* listed in the plans */
  struct resource_amount used; /* allocated on workers */
  LIST_HEAD (, sched_class) classes;
  struct eviction_budget budget;
  bool blocked;                /* no further placements in this round */
  int64_t above_plan_since_ms; /* 0 when within its plan */
};

/* A service or batch class of one customer: its queue and the estimates learned for it.  */
struct sched_class
{
  struct cell_map_node node;     /* by customer and name */
  LIST_ENTRY (sched_class) link; /* of the customer's classes */
  struct task_queue queue;
  size_t skipped; /* tasks skipped in this round */
  char key[2 * CELL_NAME_BYTES + 8];
  bool urgent;
  int id; /* in the interference model */
  struct run_time_estimate run;
  struct class_health health;
  double processor_ratio; /* used / declared processors */
  double memory_ratio;
  double usage_ratio; /* used / allocated processors */
};

struct sched_task
{
  struct cell_task *t;
  struct sched_customer *customer;
  struct sched_class *cls;
  struct task_queue_item item;
  uint64_t in_flight; /* proposal with its last command; 0: none */
  uint64_t serial;    /* of that command */
  uint32_t seen_failures;

  struct sched_worker *worker; /* where its capacity is allocated */
  TAILQ_ENTRY (sched_task) link;
  struct resource_amount allocated;
  uint64_t allocated_epoch; /* 0 until the placement is applied */

  uint64_t listed_epoch; /* from the worker's polls; 0 when never listed */
  uint64_t listed_poll;  /* sequence of that poll */
  enum cell_report_kind listed;
  uint64_t progress_ms;
  char *checkpoint;
  char *reason;
  uint32_t used_millicores;
  uint32_t used_memory_mb;
  uint32_t slowdown_milli;

  int64_t run_from_ms; /* first poll that listed it as running; 0 when unknown */
  uint64_t start_progress_ms;
  int64_t start_sent_ms;
  int64_t stop_sent_ms;
  int64_t last_checkpoint_ms; /* last checkpoint seen or requested */
  uint32_t limit_millicores;  /* throttle; 0: none */
  uint32_t limit_sent;
  uint32_t throttle_repeats;
  enum sched_throttle_reason throttle_reason;
  double mix_millicores; /* expected use counted in the worker's mix */
  uint32_t oversize_polls;
  enum cell_stop_reason requested_stop;

  struct sched_worker *reserved_worker; /* where capacity is reserved for it */
  TAILQ_ENTRY (sched_task) reservation_link;
  struct resource_amount reserved_amount;
  int64_t reserved_until_ms;
  bool delayed; /* item is in the heap of delayed tasks */
  bool stable;  /* an urgent task that ran long enough to count as a success */
  bool checkpoint_due;
};

TAILQ_HEAD (sched_task_list, sched_task);

/* An entry of a poll that does not match the log.  */
struct sched_unmatched
{
  uint64_t task;
  uint64_t epoch;
  bool running;
  bool epoch_in_log; /* the log has reached this epoch or a later one */
  bool unknown;      /* the log does not contain the task */
};

struct sched_mix_entry
{
  int id;
  uint32_t count;
  double millicores; /* expected use */
};

struct sched_recent_run
{
  int class_id;
  double millicores;
  int64_t from_ms;
  int64_t to_ms;
};

struct sched_worker
{
  struct cell_map_node node; /* by id */
  size_t row;
  uint64_t incarnation;
  uint64_t sequence;
  int64_t handled_ms;              /* when the last poll was handled */
  int64_t lease_until_ms;          /* latest end of any lease granted to it */
  int64_t previous_lease_until_ms; /* same, for its earlier incarnations */
  int64_t lost_since_ms;           /* when it was declared lost */
  struct resource_amount total;
  struct resource_amount allocated;
  struct resource_amount unmatched;
  struct resource_amount reserved;
  struct sched_task_list tasks;
  struct sched_unmatched *unmatched_tasks;
  size_t unmatched_count;
  size_t unmatched_capacity;
  TAILQ_ENTRY (sched_worker) ready_link;
  int64_t retry_at_ms; /* when commands are due again; 0: none */
  struct worker_health health;
  uint64_t probe_task;
  struct sched_mix_entry classes[SCHED_MIX_SIZE]; /* mix: expected use per batch class */
  size_t class_count;
  struct sched_mix_entry services[SCHED_MIX_SIZE];
  size_t service_count;
  struct sched_recent_run recent[SCHED_RECENT_RUNS];
  size_t recent_next;
  double used_millicores;
  int64_t action_at_ms; /* last throttle or eviction because of slowdown */
  uint64_t mark;      /* scheduler.mark when a task of the job was last found here; never written */
  int64_t learned_ms; /* time of the newest sample learned from */
  uint32_t slow_samples;
  uint32_t normal_samples;
  uint32_t urgent_count;
  uint16_t rack;
  bool announced;
  bool alive;
  bool poll_open;
  bool over_capacity; /* announced with less capacity than allocated, until that fits again */
  bool ready;
  char id[CELL_NAME_BYTES + 1];
};

TAILQ_HEAD (sched_ready_list, sched_worker);

struct sched_proposal
{
  TAILQ_ENTRY (sched_proposal) link;
  uint64_t id;
  uint64_t *tasks;
  size_t count;
};

TAILQ_HEAD (sched_proposal_list, sched_proposal);

/* A command that waits to be encoded, and the task whose in_flight it clears.  */
struct sched_command
{
  cell_command command;
  uint64_t task;
  uint64_t serial;
};

struct scheduler
{
  struct scheduler_config config;
  struct cell *cell;
  struct rng rng;
  int64_t now_ms;
  bool leading;
  int64_t confirmed_until_ms;
  int64_t permit_until_ms;
  bool permit_lapsed; /* a tick found the permit expired */
  bool data_centre_out;
  struct scheduler_peer_cell *peers;
  size_t peer_count;
  struct resource_amount total;   /* of the workers that are alive */
  struct resource_amount largest; /* of the worker with the most processors announced so far */

  struct cell_map worker_map;
  struct sched_worker **workers; /* parallel to rows */
  struct placement_row *rows;
  size_t worker_count;
  size_t worker_capacity;
  struct sched_ready_list ready;
  char (*racks)[CELL_NAME_BYTES + 1];
  size_t rack_count;
  uint32_t *rack_counts; /* scratch buffer, per rack */
  uint64_t mark;         /* see sched_worker.mark */
  size_t quarantined;

  struct cell_map customer_map;
  LIST_HEAD (, sched_customer) customers;
  struct cell_map class_map;
  struct interference *model;
  struct task_queue delayed;           /* back-off; the key is not_before_ms */
  struct sched_task_list reservations; /* tasks with reserved capacity, oldest first */
  uint32_t reservation_count;
  bool round_needed;
  int64_t round_ms;
  double demand_now;  /* millicores placed for urgent tasks in the current window */
  double demand_mean; /* per window */
  double demand_deviation;
  int64_t demand_ms; /* start of the window */
  int64_t scan_ms;
  int64_t decay_ms;

  struct sched_command *outbox;
  size_t outbox_count;
  size_t outbox_capacity;
  size_t outbox_done;
  uint64_t next_proposal;
  uint64_t next_serial;
  struct sched_proposal_list proposals;
  struct worker_command *commands; /* of the last answer */
  size_t command_count;
  size_t command_capacity;
  struct task_queue_item **skipped; /* scratch buffer: tasks that did not fit in this round */
  size_t skipped_capacity;
  struct cell_job *move_job; /* position of scheduler_next_move */
  int64_t move_ms;
  uint64_t move_task;
  int64_t drain_ms;
  struct scheduler_stats stats;
};

/* scheduler.c */
bool sched_has_policy (const struct scheduler *s, unsigned bit);
bool sched_may_start (const struct scheduler *s); /* True when starts are allowed now. */
struct sched_customer *sched_get_customer (struct scheduler *s,
                                           const char *name); /* Finds or creates. */
struct sched_class *sched_get_class (struct scheduler *s, struct sched_customer *customer,
                                     const cell_job_spec *spec); /* Finds or creates. */
void sched_propose (struct scheduler *s, cell_command *cmd,
                    struct sched_task *st); /* Takes ownership of the strings of CMD. */
void sched_invariant_failed (const char *rule) __attribute__ ((noreturn)); /* Aborts. */

/* scheduler_task.c */
void sched_sync_task (struct scheduler *s, struct cell_task *t); /* Applies a change of the log. */
void sched_drop_task (struct scheduler *s, struct cell_task *t); /* Frees its scheduler record. */
void sched_enqueue (struct scheduler *s, struct sched_task *st);
void sched_allocate (struct scheduler *s, struct sched_task *st, struct sched_worker *w);
void sched_release (struct scheduler *s, struct sched_task *st);
bool sched_grow_allocation (struct scheduler *s, struct sched_task *st,
                            const struct resource_amount *want); /* False: no capacity. */
void sched_reserve (struct scheduler *s, struct sched_task *st, struct sched_worker *w,
                    int64_t until_ms); /* Reserves capacity on W. */
void sched_unreserve (struct scheduler *s, struct sched_task *st);
void sched_reconcile (struct scheduler *s,
                      struct sched_task *st); /* Proposes what the worker's list shows. */
void sched_command_done (struct scheduler *s,
                         struct sched_task *st); /* The outcome of its command is known. */
void sched_stop (struct scheduler *s, struct sched_task *st,
                 enum cell_stop_reason reason); /* Proposes a stop. */
struct resource_amount sched_need (const struct scheduler *s, const struct sched_task *st);
int64_t sched_key (const struct scheduler *s, const struct sched_task *st); /* See task_queue.h. */
bool sched_is_urgent (const struct sched_task *st);
uint64_t sched_remaining_ms (const struct sched_task *st); /* Expected remaining run time. */

/* scheduler_worker.c */
struct sched_worker *sched_find_worker (const struct scheduler *s, const char *id);
struct sched_worker *sched_add_worker (struct scheduler *s, const char *id);
void sched_free_workers (struct scheduler *s);
bool sched_within_capacity (const struct sched_worker *w);
void sched_update_row (struct scheduler *s, struct sched_worker *w);
void sched_mark_ready (struct scheduler *s, struct sched_worker *w);
void sched_scan_workers (struct scheduler *s); /* Leases, retries and probes. */
bool sched_fits (const struct sched_worker *w, const struct resource_amount *need,
                 const struct resource_amount *own); /* OWN: its reservation there. */

/* scheduler_place.c */
void sched_place_round (struct scheduler *s);

/* scheduler_learn.c */
void sched_learn_poll (struct scheduler *s, struct sched_worker *w, const struct worker_poll *p);
void sched_learn_done (struct scheduler *s, struct sched_task *st);
void sched_learn_failed (struct scheduler *s, struct sched_task *st);
void sched_record_run_end (struct scheduler *s, struct sched_task *st); /* Its run is over. */
void sched_mix_add (struct sched_worker *w, const struct sched_task *st);
void sched_mix_remove (struct sched_worker *w, const struct sched_task *st);
double sched_expected_use (const struct sched_task *st); /* Expected usage in millicores. */
double sched_batch_interference (struct scheduler *s, const struct sched_worker *w,
                                 const struct sched_task *st);
double sched_urgent_interference (struct scheduler *s, const struct sched_worker *w,
                                  const struct sched_task *st);
double sched_worst_predicted (const struct scheduler *s,
                              const struct sched_worker *w); /* Over all services on W. */
double sched_task_interference (
    struct scheduler *s, const struct sched_worker *w,
    const struct sched_task *st); /* Slowdown that a running batch task adds. */

/* scheduler_enforce.c */
void sched_enforce_limits (struct scheduler *s, struct sched_worker *w,
                           const struct worker_poll *p); /* Slowdown, sizes and checkpoints. */
void sched_throttle_for_arrival (struct scheduler *s,
                                 struct sched_worker *w); /* An urgent task was placed on W. */
void sched_throttle (struct scheduler *s, struct sched_task *st, enum sched_throttle_reason reason,
                     uint32_t millicores); /* Throttles; SCHED_THROTTLE_NONE lifts. */
bool sched_may_evict (const struct scheduler *s, const struct sched_task *st,
                      uint32_t planned); /* True when the budget allows one more than PLANNED. */
void sched_eviction_candidate (struct scheduler *s, const struct sched_worker *w,
                               struct sched_task *st, struct eviction_candidate *out);
void sched_enforce_plans (struct scheduler *s); /* Lowered plans. */
void sched_drain_data_centre (struct scheduler *s);

/* scheduler_report.c */
bool sched_take_peer_capacity (
    struct scheduler_peer_cell *p,
    const cell_size *size); /* Subtracts SIZE from P; false when it does not fit. */

#endif
