/* dispatcher_internal: shared by the dispatcher*.c files only.  */

#ifndef SASSAFRAS_DISPATCHER_INTERNAL_H
#define SASSAFRAS_DISPATCHER_INTERNAL_H

#include <sys/queue.h>

#include "buffer.h"
#include "dispatcher.h"
#include "slack_model.h"
#include "log.h"
#include "pacing.h"
#include "size_share.h"
#include "worker_select.h"

#define HOLD_IDLE_MS 1300 /* where no tail must be watched; silence is noticed in time */
#define HOLD_GAP_MS 30    /* ends that come within it share one look */
/* And half a millisecond for each worker: at most 2,000 looks a second, a third of what a leader
   with 0.4 of a processor can do (docs/CAPACITY.md, section 8).  */
#define HOLD_GAP_PER_WORKER_US 500
#define HOLD_GAP_LAG_FACTOR 4 /* and so many times what ticks come late, smoothed */
#define MAX_HOLD_GAP_MS 500   /* a third of RENEW_MAX_SILENCE_MS: the rest is for the leader's lag \
                               */
#define LAG_SMOOTHING 0.1     /* weight of one tick */
/* First looks of a leader in one tick: their lists are long, and the voters must hear from the
   leader meanwhile.  350 workers take 0.9 s.  */
#define FIRST_HOLDS_PER_TICK 8
#define MAX_FIRST_HOLDS 64 /* in a late tick; leases must not run out before all were asked */
#define HOLD_WAIT_MS 500   /* samples of tails come each half second */
#define HOLD_RETRY_MS 200  /* after a hold without an answer */
/* No answer to holds for this long: no new tasks.  An idle hold, a retry and the limit of a call.
 */
#define WORKER_SILENT_MS 2800
/* Leases are renewed this long after an answer: an idle hold and a margin.  */
#define RENEW_MAX_SILENCE_MS 1500
#define LATE_DONE_WAIT_MS 5000   /* a late end commits, or is listed again, well within this */
#define ORDER_MAX_DELAY_MS 15000 /* an order may be carried out 12 s late; with margin */
#define LEASE_MARGIN_MS 300      /* rounding and delays of the worker's own timer */
#define MIN_CLOCK_RATE 0.98      /* a worker's clock may be 2% slow */
#define STOP_RETRY_MS 300        /* between two stop orders for one run */
#define NO_ROOM_PAUSE_MS 400     /* a worker that refused for want of room gets nothing this long */
#define START_RETRY_MS 100       /* a task whose start was refused waits this long */
#define GONE_RETENTION_MS 60000  /* a worker that left is remembered against late reports */
#define AVOID_MIN_MS 1000        /* after the second failure in a row; doubles */
#define AVOID_MAX_MS 16000
/* Tails are averages over half a second: so is the mix they are matched with.  */
#define MIX_TIME_CONSTANT_MS 300.0
#define MAX_MIX 16             /* fill-in images on one worker that are told apart */
#define REPORT_MAX_AGE_MS 4000 /* a report whose clock is this far behind the last answer is late  \
                                */

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
  uint32_t number;          /* run number */
  enum dispatch_state state;
  uint64_t token;        /* of its open proposal; 0 is none */
  uint64_t settled_mark; /* a hold with a higher mark is final on whether it is there */
  bool inherited;        /* an earlier leader gave the order */
  bool stop_requested;   /* the job has ended, another copy is done, or to settle the order */
  bool stop_settled;     /* the worker has acknowledged a stop: it never starts from now on */
  bool stop_open;        /* a stop order is on its way */
  int64_t stop_next_ms;  /* next stop order */
  int64_t running_ms;    /* since when it is known to run; 0 while it isn't */
  int64_t sent_ms;       /* the last start order, or when leadership began */
  uint32_t paced;        /* percent that the worker has acknowledged */
  bool pace_open;
  uint32_t measure;
  int image;        /* id of what fills or serves, in the harm model; -1: neither */
  char *checkpoint; /* latest that the worker listed; NULL is none */
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

struct dispatch_worker
{
  struct cell_node node; /* in workers, by hash of the id */
  TAILQ_ENTRY (dispatch_worker) link;

  /* What it said of itself.  */
  char *id;
  char *address; /* NULL until it reported */
  char *zone;
  char *pool;
  char *labels[4];
  size_t label_count;
  int64_t born_ms;
  uint64_t sequence;
  int64_t gone_ms;
  uint32_t millicores, memory_mb, accelerators;
  bool reported; /* to this leader */
  bool draining;
  bool gone; /* it left, or another life has its address */

  /* Clock, lease and holds.  */
  bool clock_known;
  int64_t clock_ms;               /* of the worker, read not later than clock_at_ms */
  int64_t clock_at_ms;            /* our time */
  int64_t deadline_ms;            /* largest lease given to this life, on its clock */
  int64_t inherited_lease_end_ms; /* on our clock: for leases that an earlier leader gave */
  int64_t last_answer_ms;         /* last answer to a hold */
  int64_t listed_clock_ms;        /* worker's time of the newest lists */
  int64_t hold_next_ms;
  unsigned holds; /* on their way */
  bool fenced;    /* has answered a hold of this leader */
  bool hold_now;  /* do not wait for the usual time */

  /* Ends and what runs.  */
  uint64_t acknowledged; /* ends up to this number are recorded */
  struct listed_ends ends;
  struct dispatch_runs runs;
  uint32_t lasting_millicores, short_millicores, fill_millicores, used_memory_mb, used_accelerators;

  /* Harm and trust.  */
  uint32_t failures; /* in a row */
  int64_t no_room_until_ms;
  int64_t avoid_until_ms;
  struct pacing pacing;
  uint32_t fill_millicores_of[SLACK_MAX_IMAGES]; /* millicores by fill-in image */
  uint16_t serving_tasks_of[SLACK_MAX_IMAGES];   /* tasks by serving image */
  struct fill_share mix[MAX_MIX];                /* what filled lately, smoothed */
  size_t mix_count;
  int64_t mix_ms; /* time of the last change of MIX */
};

TAILQ_HEAD (dispatch_workers, dispatch_worker);

/* Sizes of the jobs of one queue.  */
struct queue_sizes
{
  SLIST_ENTRY (queue_sizes) link;
  char *queue;
  struct size_share share;
};

struct dispatcher
{
  struct dispatcher_config config;
  bool leading;
  uint64_t fence;
  int64_t lead_ms;
  int64_t authority_until_ms;
  int64_t now_ms;
  uint64_t mark;        /* counts holds and settled orders */
  int64_t tick_ms;      /* of the last tick; 0 before the first */
  double tick_lag_ms;   /* how late ticks come, smoothed */
  unsigned first_holds; /* left in this tick, to workers that have not answered this leader */
  uint64_t token;       /* of the last proposal */
  struct cell_map workers;
  struct dispatch_workers worker_list;
  uint64_t prune_token; /* of the open PRUNE; 0 is none */
  int64_t load_log_next_ms;
  struct slack_model *slack_model;
  SLIST_HEAD (, queue_sizes) sizes; /* of each queue that had a job under this leader */
  double fill_slowdown;             /* run time of tasks that fill over their estimate, smoothed */
  uint64_t waiting_fill;            /* millicores of waiting tasks that fill */
  uint32_t waiting;                 /* tasks that could run now and have no worker */
};

/* dispatcher.c */
bool dispatch_has_authority (const struct dispatcher *d);
uint64_t dispatch_propose (struct dispatcher *d,
                           const workflow_command *c); /* Proposes; the token. */
void dispatch_propose_end (struct dispatcher *d, struct dispatch_run *r,
                           enum workflow_outcome outcome, const char *checkpoint,
                           const char *why); /* Proposes the end of R. */
struct dispatch_run *dispatch_add_run (struct dispatcher *d, struct dispatch_worker *w,
                                       struct workflow_task *t, uint32_t number);
void dispatch_free_run (struct dispatch_run *r);
struct dispatch_run *dispatch_find_run (struct dispatcher *d, const char *worker,
                                        const workflow_task_ref *task,
                                        uint32_t number); /* NULL: not ours any more. */

/* dispatcher_worker.c */
struct dispatch_worker *dispatch_find_worker (const struct dispatcher *d, const char *id);
struct dispatch_worker *dispatch_add_worker (struct dispatcher *d, const char *id);
void dispatch_free_worker (struct dispatcher *d, struct dispatch_worker *w);
void dispatch_mark_gone (struct dispatcher *d, struct dispatch_worker *w,
                         const char *why); /* That life is over, with all that ran there. */
void dispatch_update_clock (struct dispatcher *d, struct dispatch_worker *w, int64_t clock_ms);
int64_t dispatch_lease_deadline (struct dispatcher *d,
                                 struct dispatch_worker *w); /* For the next order; noted. */
void dispatch_update_incarnation (struct dispatcher *d, struct dispatch_worker *w, int64_t born_ms);
struct worker_address dispatch_address (const struct dispatcher *d,
                                        const struct dispatch_worker *w); /* For an order. */
void dispatch_tick_worker (struct dispatcher *d, struct dispatch_worker *w);
bool dispatch_usable (const struct dispatcher *d, const struct dispatch_worker *w);

/* dispatcher_interference.c */
void dispatch_update_mix (struct dispatcher *d,
                          struct dispatch_worker *w); /* Before samples are learned. */
void dispatch_add_tail_sample (struct dispatcher *d, struct dispatch_worker *w,
                               const struct dispatch_run *r); /* A lasting run's new measure. */
int dispatch_image_id (struct dispatcher *d,
                       const workflow_step *s); /* Id in the harm model, or -1. */
double
dispatch_predict_interference (struct dispatcher *d, const struct dispatch_worker *w,
                               int fill_image,
                               uint32_t millicores); /* Predicted loss over what is allowed. */
bool dispatch_should_pace (struct dispatcher *d, const struct dispatch_worker *w,
                           int fill_image); /* A fill-in image to be paced there. */

/* dispatcher_sizes.c */
void dispatch_register_job (struct dispatcher *d,
                            struct workflow_job *j); /* This leader's first look. */
void dispatch_record_start (struct dispatcher *d,
                            struct workflow_job *j);       /* A task of J was placed. */
double dispatch_size_share (const struct workflow_job *j); /* Of the jobs of about its size. */
void dispatch_clear_sizes (struct dispatcher *d);

/* dispatcher_place.c */
void dispatch_place_tasks (struct dispatcher *d, int64_t wall_ms);
void dispatch_start (struct dispatcher *d,
                     struct dispatch_run *r); /* Its placement is committed. */

#endif
