/* dispatcher_internal: shared by the dispatcher*.c files only.  */

#ifndef SASSAFRAS_DISPATCHER_INTERNAL_H
#define SASSAFRAS_DISPATCHER_INTERNAL_H

#include <sys/queue.h>

#include "buffer.h"
#include "dispatcher.h"
#include "slack_model.h"
#include "log.h"
#include "overdue.h"
#include "pacing.h"
#include "place_wait.h"
#include "short_stages.h"
#include "size_share.h"
#include "worker_select.h"

#define HOLD_IDLE_MS 1300 /* without tails to sample; short enough to notice a silent worker */
#define HOLD_GAP_MS 30    /* ends within it share one hold */
/* Added to the gap per worker, where no short task runs: at most 2,000 holds a second, a third of
   what a leader with 0.4 of a processor can do (docs/CAPACITY.md, section 8).  */
#define HOLD_GAP_PER_WORKER_US 500
#define HOLD_GAP_LAG_FACTOR 4 /* times the smoothed tick lag, added to the gap */
#define MAX_HOLD_GAP_MS 500   /* a third of RENEW_MAX_SILENCE_MS; the rest allows for lag */
#define LAG_SMOOTHING 0.1     /* weight of one tick */
/* First holds of a new leader bring long lists, and its heartbeats to the voters must go out
   meanwhile.  350 workers take 0.9 s.  */
#define FIRST_HOLDS_PER_TICK 8
#define MAX_FIRST_HOLDS 64 /* in a late tick; all workers must be asked before leases expire */
#define HOLD_WAIT_MS 500   /* tails are sampled every half second */
#define HOLD_RETRY_MS 200  /* after a failed hold */
/* A worker silent this long gets no new tasks: an idle hold, a retry and the call's time-out.  */
#define WORKER_SILENT_MS 2800
/* Leases are renewed this long after an answer: an idle hold and a margin.  */
#define RENEW_MAX_SILENCE_MS 1500
/* A draining worker is about to leave, and its machine may leave with it: only the end of its lease
   then proves that its runs are gone, and lasting tasks may be without a run for 6 s.  Longer than
   two elections without a leader that renews it.  */
#define DRAINING_LEASE_MS 4000
#define LATE_DONE_WAIT_MS 5000   /* a late end commits, or is listed again, well within it */
#define ORDER_MAX_DELAY_MS 15000 /* an order may be executed 12 s late; with a margin */
#define LEASE_MARGIN_MS 300      /* rounding and delays of the worker's timer */
#define MIN_CLOCK_RATE 0.98      /* a worker's clock may be 2% slow */
#define STOP_RETRY_MS 300        /* between two stop orders for one run */
#define PACE_RETRY_MS 300        /* after a refused share */
/* Between two orders of a reduced share that a late order may undo: one that harms a lasting task
   may be in force for less than four seconds.  A full share is ordered once more at the end.  */
#define PACE_REPEAT_MS 1500
#define NO_ROOM_PAUSE_MS 400 /* no tasks for a worker that refused for lack of capacity */
#define COPY_SILENCE_MS 1000 /* of a worker whose tasks allow copies: three holds */
#define START_RETRY_MS 100   /* wait of a task whose start was refused */
/* The last list of ends of a worker that is gone may arrive after the proof, on another connection;
   a hold's answer crosses two regions in 60 ms.  */
#define LAST_LIST_WAIT_MS 200
/* A worker ends within it after its departure; one that still answers then hasn't left.  */
#define DEPARTURE_END_MS 2000
#define GONE_RETENTION_MS 60000 /* gone workers are kept, to refuse late reports */
#define AVOID_MIN_MS 1000       /* after the second failure in a row; doubles */
#define AVOID_MAX_MS 16000
#define MAX_COUNTED_FAILURES 6 /* in a row; give AVOID_MAX_MS */
/* A job whose tasks always fail says little about a worker: two of its failures make its next tasks
   go elsewhere, more must not keep other jobs away.  */
#define MAX_COUNTED_FAILURES_PER_JOB 2
#define FAILURE_PROBATION_MS 10000 /* a run that was at work for longer doesn't count */
/* Tails are averages over half a second, so the fill-in mix is smoothed in the same way.  */
#define MIX_TIME_CONSTANT_MS 300.0
/* Shares that a new leader sets anew, where they need no change as far as it knows: 400 a second.
 */
#define ADOPTED_PACES_PER_TICK 8
#define MAX_MIX 16             /* fill-in images tracked per worker */
#define REPORT_MAX_AGE_MS 4000 /* a report this far behind the worker's expected clock is stale */

enum dispatch_state
{
  DISPATCH_PLACING,
  DISPATCH_SENT,
  DISPATCH_UNCERTAIN,
  DISPATCH_RUNNING,
  DISPATCH_ENDING,
};

struct dispatch_worker;

/* One run of a task on one worker.  */
struct dispatch_run
{
  TAILQ_ENTRY (dispatch_run) link; /* in worker->runs */
  struct dispatch_worker *worker;
  struct workflow_task *task;
  struct workflow_run *run; /* NULL while PLACING */
  uint32_t number;
  enum dispatch_state state;
  enum workflow_outcome proposed_outcome; /* while ENDING */
  bool proposed_checkpoint;               /* with a checkpoint */
  uint64_t token;                         /* of its open proposal; 0 is none */
  uint64_t settled_mark;  /* holds with a higher mark show for certain whether it runs */
  bool inherited;         /* an earlier leader sent the order */
  bool start_pending;     /* the start order has no answer yet */
  bool stop_requested;    /* the job has ended, another copy is done, or to settle the order */
  bool stop_settled;      /* the worker acknowledged a stop: it can't start any more */
  bool stop_pending;      /* a stop order has no answer yet */
  int64_t stop_next_ms;   /* next stop order */
  int64_t running_ms;     /* when it became known to run; 0 before */
  int64_t sent_ms;        /* last start order, or start of leadership; while PLACING: chosen */
  int64_t ended_ms;       /* when its end was proposed; 0 before */
  uint64_t end_number;    /* of the listed end that was proposed; 0: none */
  uint32_t paced_percent; /* acknowledged by the worker */
  bool pace_unknown;      /* the worker may work at another share */
  int64_t pace_late_ms;   /* until then an order without an answer may be carried out */
  int64_t pace_repeat_ms; /* next order while the share is unknown */
  bool pace_pending;
  int64_t pace_next_ms; /* next order after a refused one */
  uint32_t measure;     /* last listed; lasting: tail in ms, else millicores in use */
  bool is_fill;
  int image;                           /* id in the slack model; -1: neither fill-in nor serving */
  char *checkpoint;                    /* latest that the worker listed; NULL is none */
  bool checkpoint_dropped;             /* one that the worker listed was not kept */
  bool end_refused;                    /* the log refused its end, which had a checkpoint */
  bool wants_place;                    /* its step has a place */
  bool near_place;                     /* and it runs there */
  enum workflow_outcome crash_outcome; /* if the restarted worker doesn't list it; 0: none */
};

TAILQ_HEAD (dispatch_runs, dispatch_run);

/* An end that a worker listed.  */
struct listed_end
{
  STAILQ_ENTRY (listed_end) link;
  uint64_t number;
  bool recorded;
};

STAILQ_HEAD (listed_ends, listed_end);

/* What fill-in tasks do to the lasting tasks of one image on a worker.  */
struct served_image
{
  int image;
  double max_coefficient; /* of the fill-in images there */
  double loss;            /* predicted, of the fill-in tasks there at their pace */
  double max_loss;        /* largest allowed */
};

struct dispatch_worker
{
  struct cell_map_node node; /* in workers, by hash of the id */
  TAILQ_ENTRY (dispatch_worker) link;

  /* Its last report.  */
  char *id;
  char *address; /* NULL before its first report */
  char *zone;
  char *pool;
  char *labels[WORKER_MAX_LABELS];
  size_t label_count;
  int64_t born_ms;
  uint64_t sequence;
  int64_t gone_ms;
  int64_t reported_clock_ms; /* worker's time of its last report */
  uint64_t drain_token;      /* of the open proposal that it drains; 0: none */
  bool drain_refused;        /* such a proposal would be refused again */
  int64_t left_ms;    /* departure while it drains, until a call shows whose it is; 0: none */
  uint64_t left_mark; /* holds with a higher mark were sent after it */
  uint32_t millicores, memory_mb, accelerators;
  bool reported;  /* this incarnation, to this leader */
  bool described; /* capacity and labels are those of a report */
  bool draining;
  bool left_undrained; /* until its next report: the departure may be of an earlier incarnation */
  bool refuses;        /* its address refused a connection, and no hold was answered since */
  bool gone;           /* it left, or another worker has its address */

  /* Clock, lease and holds.  */
  int64_t clock_ms;        /* of the worker, read not later than clock_at_ms */
  int64_t clock_at_ms;     /* leader's time */
  int64_t deadline_ms;     /* latest lease of this incarnation, on its clock */
  int64_t lease_end_ms;    /* leader's clock; for leases that an earlier leader granted */
  int64_t last_answer_ms;  /* last answer to a hold */
  uint64_t answered_mark;  /* highest mark of an answered hold */
  int64_t failed_ms;       /* first order without an answer since the last answer; 0: none */
  int64_t listed_clock_ms; /* worker's time of the newest lists */
  int64_t hold_next_ms;
  uintptr_t order_epoch; /* of this incarnation in this term; tag of its orders */
  uint64_t fence;        /* of its orders; above those to its earlier incarnations */
  unsigned holds;        /* of this epoch, without an answer yet */
  bool clock_known;
  bool unreached;          /* a start found no connection since the last answer */
  bool was_unreached;      /* at any time: a helper may reach it where this VM doesn't */
  bool fenced;             /* has answered a hold of this leader */
  bool named_incarnation;  /* and named the incarnation that it is */
  bool hold_now;           /* don't wait for hold_next_ms */
  bool last_hold_answered; /* the last hold was answered: ACKNOWLEDGED counts ends of this
                              incarnation */
  bool may_lose_ends;      /* an acknowledgement may have reached this incarnation: its first ends
                              may never be listed */

  /* Ended and running tasks.  */
  uint64_t acknowledged; /* ends up to this number are committed */
  uint64_t confirmed;    /* a hold that acknowledged them up to this number was answered */
  uint64_t ack_mark;     /* open hold that carries an acknowledgement; 0: none */
  uint64_t ack_number;   /* that it carries */
  int64_t ack_sent_ms;
  int64_t ack_lost_ms; /* last hold with an acknowledgement and without an answer; 0: none that
                          may still be executed */
  struct listed_ends ends;
  struct dispatch_runs runs;
  uint32_t lasting_millicores, short_millicores, fill_millicores, used_memory_mb, used_accelerators;

  /* Failures, interference and pacing.  */
  uint64_t failed_jobs[MAX_COUNTED_FAILURES]; /* ids, by counted failure since an end as done */
  size_t failures;                            /* number of FAILED_JOBS */
  int64_t no_room_until_ms;
  int64_t avoid_until_ms;
  int64_t isolated_until_ms; /* nothing else is started there */
  struct pacing pacing;
  int64_t moved_ms;                              /* last attempt to move a fill-in task away */
  uint32_t fill_millicores_of[SLACK_MAX_IMAGES]; /* millicores by fill-in image */
  uint32_t serving_tasks_of[SLACK_MAX_IMAGES];   /* tasks by serving image */
  struct fill_share mix[MAX_MIX];                /* recent fill-in load, smoothed */
  size_t mix_count;
  int64_t mix_ms;                               /* last update of MIX */
  struct served_image served[SLACK_MAX_IMAGES]; /* use dispatch_served */
  size_t served_count;
  uint64_t served_tick; /* of SERVED; 0 after a change of what runs there */
};

TAILQ_HEAD (dispatch_workers, dispatch_worker);

/* Size classes of the jobs of one queue.  */
struct queue_sizes
{
  SLIST_ENTRY (queue_sizes) link;
  char *queue;
  struct size_share share;
};

/* A rack that tasks want.  */
struct wanted_place
{
  struct cell_map_node node; /* in dispatcher.places, by RACK */
  char *rack;
  struct place_demand demand;
  size_t held;      /* tasks that wait for it in this tick */
  int64_t *ends_ms; /* when room for OPENING_MILLICORES opens there, as of OPENINGS_TICK */
  size_t openings;
  uint32_t opening_millicores;
  uint64_t openings_tick;
};

/* Tasks that get a second run in this tick.  */
struct copies
{
  struct workflow_task **tasks;
  size_t count;
  size_t capacity;
};

struct dispatcher
{
  struct dispatcher_config config;
  bool leading;
  uint64_t first_fence; /* of this leadership */
  uint64_t last_fence;  /* highest in use */
  int64_t lead_ms;
  int64_t authority_until_ms;
  int64_t now_ms;
  uint64_t mark;              /* counter of holds and settled orders */
  uintptr_t last_order_epoch; /* counter of dispatch_worker.order_epoch; never restarts */
  uint64_t ticks;             /* since the start of the process */
  int64_t tick_ms;            /* of the last tick; 0 before the first */
  double tick_lag_ms;         /* delay of ticks, smoothed */
  unsigned adopted_paces;     /* allowed in this tick */
  unsigned first_holds; /* allowed in this tick, to workers that haven't answered this leader */
  uint64_t token;       /* of the last proposal */
  uint64_t checkpoint_bytes; /* of all runs */
  struct cell_map workers;
  struct dispatch_workers worker_list;
  uint64_t prune_token; /* of the open PRUNE; 0 is none */
  int64_t load_log_next_ms;
  struct short_stages short_stages;
  struct slack_model *slack_model;
  SLIST_HEAD (, queue_sizes) sizes; /* of each queue with a job under this leader */
  double fill_slowdown;             /* run time / estimate of fill-in tasks, smoothed */
  uint64_t waiting_fill;            /* millicores of waiting fill-in tasks */
  uint32_t waiting;                 /* due tasks without a worker */
  struct overdue start_overdue;
  struct copies copies;
  struct cell_map places;
  struct place_run_times place_run_times;
  int64_t longest_wait_ms;  /* of a task that waits for a worker within its account's weight */
  int64_t accounts_next_ms; /* next update of the client accounts */
};

/* dispatcher.c */
void dispatch_add_stage (const struct dispatcher *d, const struct dispatch_run *r,
                         enum short_stage stage,
                         int64_t since_ms); /* Counts a stage of a short task, which ends now. */
bool dispatch_has_authority (const struct dispatcher *d);
uint64_t dispatch_propose (struct dispatcher *d,
                           const workflow_command *c); /* Returns the token. */
void dispatch_propose_end (struct dispatcher *d, struct dispatch_run *r,
                           enum workflow_outcome outcome, const char *checkpoint,
                           const char *reason);
struct dispatch_run *dispatch_add_run (struct dispatcher *d, struct dispatch_worker *w,
                                       struct workflow_task *t, uint32_t number);
void dispatch_free_run (struct dispatcher *d, struct dispatch_run *r);
struct dispatch_run *dispatch_find_run (struct dispatcher *d, const char *worker,
                                        const workflow_task_ref *task,
                                        uint32_t number); /* NULL: no longer tracked. */

bool dispatch_is_repeatable (
    const struct workflow_task *t); /* T may run again after a run of it was done. */

/* dispatcher_worker.c */
struct dispatch_worker *dispatch_find_worker (const struct dispatcher *d, const char *id);
struct dispatch_worker *dispatch_add_worker (struct dispatcher *d, const char *id);
void dispatch_free_worker (struct dispatcher *d, struct dispatch_worker *w);
void dispatch_mark_gone (struct dispatcher *d, struct dispatch_worker *w,
                         const char *reason); /* That incarnation and its runs have ended. */
void dispatch_mark_crashed (struct dispatcher *d, struct dispatch_worker *w,
                            const char *reason); /* It did not leave: a run may be to blame. */
void dispatch_note_answer (struct dispatcher *d, struct dispatch_worker *w,
                           enum worker_call_result result);
void dispatch_note_hold (struct dispatcher *d, struct dispatch_worker *w,
                         enum worker_call_result result); /* What it says about a departure. */
void dispatch_update_clock (struct dispatcher *d, struct dispatch_worker *w, int64_t clock_ms);
int64_t dispatch_lease_deadline (struct dispatcher *d,
                                 struct dispatch_worker *w); /* For the next order; stored in W. */
bool dispatch_update_incarnation (struct dispatcher *d, struct dispatch_worker *w,
                                  int64_t born_ms); /* True if W has restarted. */
struct worker_address dispatch_address (const struct dispatch_worker *w); /* For an order. */
void dispatch_adopt_drain (struct dispatcher *d,
                           struct dispatch_worker *w); /* W was added with an inherited run. */
void dispatch_tick_worker (struct dispatcher *d, struct dispatch_worker *w);
bool dispatch_usable (const struct dispatcher *d, const struct dispatch_worker *w);
bool dispatch_is_avoided (const struct dispatcher *d,
                          const struct dispatch_worker *w); /* Only for tasks without a choice. */

/* dispatcher_answer.c */
void dispatch_mark_uncertain (struct dispatcher *d, struct dispatch_run *r);
void dispatch_note_recorded (struct dispatch_worker *w,
                             uint64_t number); /* That end is committed as listed. */

/* dispatcher_checkpoint.c */
void dispatch_note_checkpoint (struct dispatcher *d, struct dispatch_run *r,
                               const char *checkpoint); /* R's worker lists it; "" is none. */
/* To record with the end of R, whose worker listed LISTED with it (or NULL); "" keeps the task's.
 */
const char *dispatch_final_checkpoint (struct dispatcher *d, struct dispatch_run *r,
                                       const char *listed);
void dispatch_clear_checkpoint (struct dispatcher *d, struct dispatch_run *r);

/* dispatcher_interference.c */
void dispatch_update_mix (struct dispatcher *d,
                          struct dispatch_worker *w); /* Before samples are added. */
void dispatch_add_tail_sample (struct dispatcher *d, struct dispatch_worker *w,
                               const struct dispatch_run *r); /* A lasting run's new measure. */
int dispatch_image_id (struct dispatcher *d,
                       const workflow_step *s); /* Id in the slack model, or -1. */
/* These two only within a tick: paces, samples and capacity change between ticks.  */
double dispatch_predict_interference (const struct dispatcher *d, struct dispatch_worker *w,
                                      int fill_image,
                                      uint32_t millicores); /* Predicted / largest allowed loss. */
uint32_t dispatch_pace_of (const struct dispatcher *d, struct dispatch_worker *w,
                           int fill_image); /* Percent of its work that the image may do there. */

/* dispatcher_sizes.c */
void dispatch_register_job (struct dispatcher *d, struct workflow_job *j); /* New to this leader. */
void dispatch_record_start (struct dispatcher *d,
                            struct workflow_job *j);          /* A task of J was placed. */
double dispatch_started_ratio (const struct workflow_job *j); /* Started ratio of its size class. */
void dispatch_clear_sizes (struct dispatcher *d);

/* dispatcher_accounts.c */
void dispatch_adjust_account (const struct dispatch_run *r, int sign); /* R counts, or no more. */
bool dispatch_cap_allows (const struct workflow_task *t); /* T may start beside what runs. */
void dispatch_count_waiting (const struct dispatcher *d, const struct workflow_task *t,
                             bool held_by_cap); /* T got no worker in this tick. */
void dispatch_count_job (struct dispatcher *d, struct workflow_job *j); /* J has just come. */
void dispatch_update_accounts (struct dispatcher *d);                   /* In each tick. */
void dispatch_clear_accounts (struct dispatcher *d);                    /* Of a new leader. */
void dispatch_log_accounts (const struct dispatcher *d);

/* dispatcher_locality.c */
/* The rack where T's step runs fastest: that of its data, or of the step's other tasks if it is
   local to a rack; "": anywhere.  */
const char *dispatch_place_of (const struct dispatcher *d, const struct workflow_task *t);
void dispatch_add_demand (struct dispatcher *d, const struct workflow_task *t); /* T is due. */
bool dispatch_is_at (const struct dispatch_worker *w, const char *rack);
/* T could start elsewhere now: whether it waits for PLACE.  */
bool dispatch_waits_for_place (struct dispatcher *d, struct workflow_task *t, const char *place,
                               int64_t left_ms);
/* What that decision is made from, without a trace.  */
struct place_wait_facts dispatch_place_facts (struct dispatcher *d, const struct workflow_task *t,
                                              const char *place, int64_t left_ms);
void dispatch_begin_places (struct dispatcher *d); /* Of a tick. */
void dispatch_note_place (struct dispatcher *d, struct dispatch_run *r,
                          const char *place); /* R was placed. */
void dispatch_add_place_run (struct dispatcher *d, const struct dispatch_run *r); /* R is DONE. */
void dispatch_clear_places (struct dispatcher *d);
void dispatch_log_places (const struct dispatcher *d);

/* A worker, as a decision sees it.  */
struct probed_worker
{
  const struct dispatch_worker *worker;
  enum worker_obstacle obstacle;
  double score; /* lower is better; INFINITY where the task doesn't fit */
  bool near;    /* to the task's data or group */
};

/* What the decision for a task would be now.  */
struct placement_probe
{
  struct probed_worker *workers; /* usable ones, COUNT */
  size_t count;
  size_t best; /* index, or WORKER_SELECT_NONE */
  size_t obstacles[WORKER_OBSTACLES];
  bool knows_image;
};

/* dispatcher_candidates.c */
/* T is in no list, its step is the only one of its job.  Free OUT->workers.  */
void dispatch_probe (struct dispatcher *d, const struct workflow_task *t, const workflow_queue *q,
                     struct placement_probe *out);

/* dispatcher_place.c */
void dispatch_place_tasks (struct dispatcher *d, int64_t wall_ms);
void dispatch_start (struct dispatcher *d,
                     struct dispatch_run *r); /* Its placement is committed. */

#endif
