/* workflow: the replicated state machine of a workflow group, a struct machine.

   A job is a list of steps; a step consists of COUNT identical tasks and may depend on earlier
   steps.  A job with repetitions has one set of tasks per occurrence.  Steps run on workers that
   the leader calls (see dispatcher.h); this module contains committed state only.

   Task states: WAITING -> PLACED (one run, or two copies of a speculative step) -> WAITING again
   after a non-final end, or DONE, or FAILED.  Every placement increments the task's run number, so
   that an order identifies a single run.  A lasting task never becomes DONE, nor FAILED
   by failed runs: it returns to WAITING.  A task that is to blame for crashes of workers becomes
   FAILED too (crash_blame.h).

   Job states: OPEN -> COMPLETED (all tasks done), FAILED (one task failed max_attempts times, or is
   to blame for crashes) or CANCELLED.  The attempts are those of the configuration in force; while
   it is without the job's queue they are counted and not judged, and no run is placed.  Runs of a
   job that is no longer open continue until their END is committed.  A job that has ended and has
   no runs may be pruned; the caller decides when.

   A worker that was unreachable may report the end of a run that had been marked as lapsed.  An end
   with outcome DONE is accepted nevertheless: the task is done and needs no further run.

   A task keeps its last checkpoint until it is done or its job has ended.

   A cancelled id stays cancelled: submitting it again does not reopen the job.  Cancelling an id
   that was never submitted is answered with STATUS_NOT_FOUND and withdraws the id: a submission
   that comes later is refused (see withdrawn_ids.h).

   A configuration may hold client accounts (accounts.h).  A job that was submitted for one belongs
   to it for good, also when later configurations are without the account.

   Errors in results: STATUS_NOT_FOUND (no such job, queue or task; a withdrawn id),
   STATUS_STALE_EPOCH (not the expected run), STATUS_VERSION_CONFLICT (a configuration that is not
   newer; it has no effect), STATUS_TOO_LARGE (WORKFLOW_MAX_ZONES are out), STATUS_BAD_REQUEST
   (malformed), STATUS_UNAUTHORIZED (the account is no longer in force), STATUS_IN_PROGRESS (the id
   is of another account's job).  */

#ifndef SASSAFRAS_WORKFLOW_H
#define SASSAFRAS_WORKFLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "accounts.h"
#include "cell_map.h"
#include "crash_blame.h"
#include "job_origin.h"
#include "machine.h"
#include "run_workers.h"
#include "withdrawn_ids.h"
#include "workflow_proto.h"

#define WORKFLOW_MAX_START_MS 253402300799999 /* Unix time, end of the year 9999 */

struct workflow_job;
struct workflow_task;

enum workflow_task_state
{
  WORKFLOW_TASK_WAITING,
  WORKFLOW_TASK_PLACED,
  WORKFLOW_TASK_DONE,
  WORKFLOW_TASK_FAILED,
};

enum workflow_job_state
{
  WORKFLOW_JOB_OPEN,
  WORKFLOW_JOB_COMPLETED,
  WORKFLOW_JOB_FAILED,
  WORKFLOW_JOB_CANCELLED,
};

/* A placed run of a task whose end is not committed.  */
struct workflow_run
{
  struct workflow_task *task;
  uint32_t run;
  const char *worker; /* id, of ON */
  struct run_worker *on;
  void *dispatch;                  /* dispatcher state of this run, or NULL */
  TAILQ_ENTRY (workflow_run) link; /* in workflow.runs */
};

TAILQ_HEAD (workflow_runs, workflow_run);

struct workflow_task
{
  struct workflow_job *job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  enum workflow_task_state state;
  uint32_t last_run; /* highest run number ever used */
  uint32_t failures;
  struct crash_blame blame;
  char *checkpoint; /* NULL: none */
  struct workflow_run *runs[WORKFLOW_MAX_RUNS];
  bool ready;             /* in workflow.ready */
  void *placing;          /* dispatcher: the proposed placement */
  int64_t done_until_ms;  /* dispatcher: a reported end may commit until then; 0: none */
  int64_t since_ms;       /* dispatcher: waiting since then; 0: not seen waiting */
  int64_t retry_ms;       /* dispatcher: earliest next placement, on its clock */
  int64_t place_since_ms; /* dispatcher: waiting for its place since then; 0: it does not */
  TAILQ_ENTRY (workflow_task) link;
};

TAILQ_HEAD (workflow_tasks, workflow_task);

/* The tasks of a step in one occurrence.  */
struct workflow_stage
{
  struct workflow_task *tasks;
  uint32_t done;
};

struct workflow_job
{
  struct cell_map_node node; /* in workflow.jobs, by id */
  TAILQ_ENTRY (workflow_job) link;
  workflow_spec spec;
  enum workflow_job_state state;
  uint32_t occurrences;          /* at least 1 */
  uint32_t stages_done;          /* out of occurrences x steps */
  uint32_t started;              /* placed runs, without those that never started */
  uint32_t runs;                 /* runs without a committed end */
  struct workflow_stage *stages; /* [occurrence * steps + step] */
  struct job_origin *origin;     /* of its queue; use workflow_queue_of */
  struct account *account;       /* that it was submitted for; NULL: none */
  bool beyond_weight;            /* leader: it came beyond the weight of its account */
  int64_t seen_ms;               /* leader: when it first saw the job */
  struct queue_sizes *sizes;     /* leader: sizes of the queue, once SEEN_MS is set */
  int size;                      /* leader: enum size_class among the jobs of its queue */
  bool start_counted;            /* leader: counted among the started jobs of its size */
  bool has_begun;                /* leader: a worker has shown that a task of it started */
  int64_t ended_ms;              /* leader: when it first saw the job ended; 0 while open */
  uint64_t critical_path_ms;     /* critical path by the estimates in the spec */
  uint32_t *remain_ms; /* critical path from each step, inclusive, to the end of the job */
};

TAILQ_HEAD (workflow_jobs, workflow_job);

/* Notified of every change by apply or load; members may be NULL.  */
struct workflow_observer
{
  void (*placed) (void *arg, struct workflow_run *run);
  /* Called before RUN is freed.  */
  void (*ended) (void *arg, struct workflow_run *run, enum workflow_outcome outcome);
  /* A run of T that was committed as ended otherwise is DONE; T's current runs are obsolete.  */
  void (*done_late) (void *arg, struct workflow_task *t);
  /* The job is no longer open, or is pruned and about to be freed.  */
  void (*job_ended) (void *arg, struct workflow_job *job);
  void (*drained) (void *arg, struct run_worker *w); /* Its drain was recorded. */
  void *arg;
};

struct workflow
{
  struct machine machine; /* first member: the vtable */
  workflow_configuration configuration;
  char *zones_out[WORKFLOW_MAX_ZONES];
  size_t zone_count;
  struct cell_map jobs;      /* by id */
  uint64_t job_bytes;        /* of all jobs, by workflow_job_bytes */
  uint64_t checkpoint_bytes; /* of all tasks */
  struct job_origins origins;
  struct withdrawn_ids withdrawn;
  struct run_workers run_workers;
  struct accounts accounts;
  struct workflow_jobs open;     /* in submission order */
  struct workflow_jobs finished; /* in the order in which they ended */
  struct workflow_tasks ready;   /* WAITING tasks of open jobs whose dependencies are done */
  struct workflow_runs runs;     /* all runs without a committed end */
  struct workflow_observer observer;
};

void workflow_init (struct workflow *w);  /* Initializes an empty state. */
void workflow_close (struct workflow *w); /* Frees everything. */
struct workflow_job *workflow_find_job (const struct workflow *w, uint64_t id); /* Or NULL. */
const workflow_queue *workflow_find_queue (const struct workflow *w,
                                           const char *name); /* By name, or NULL. */
const workflow_queue *
workflow_queue_of (const struct workflow *w,
                   const struct workflow_job *j); /* The queue that J belongs to now, or NULL. */
const workflow_queue *
workflow_match_queue (const struct workflow *w, const char *host,
                      const char *path); /* Longest matching prefix of PATH at HOST, or NULL. */
const workflow_pool *workflow_find_pool (const struct workflow *w, const char *name); /* Or NULL. */
bool workflow_zone_is_out (const struct workflow *w, const char *zone);
struct workflow_task *workflow_find_task (const struct workflow *w,
                                          const workflow_task_ref *ref); /* Or NULL. */
workflow_task_ref workflow_ref (const struct workflow_task *t);
const workflow_step *workflow_step_of (const struct workflow_task *t);
struct workflow_stage *workflow_stage_of (const struct workflow_task *t);
struct workflow_run *workflow_find_run (const struct workflow_task *t, uint32_t run); /* Or NULL. */
/* A task of J was placed, and is not known not to have started.  */
bool workflow_job_placed (const struct workflow_job *j);
/* A task of J is known to have started; on the leader only.  */
bool workflow_job_started (const struct workflow_job *j);
int64_t workflow_start_ms (const workflow_spec *spec,
                           uint32_t occurrence); /* Unix time; INT64_MAX beyond its range. */
uint64_t workflow_job_bytes (const workflow_spec *spec); /* Memory for the job, estimated. */
/* For a new request: limits, dependencies and times; -1 and ST on error.  */
int workflow_check_spec (const workflow_spec *spec, struct status *st);
/* The part that commands and snapshots must pass too: what workflow_add_job allocates follows from
   it.  A time that is refused today may be in a log.  */
int workflow_check_size (const workflow_spec *spec, struct status *st);
int workflow_check_configuration (const workflow_configuration *c,
                                  struct status *st); /* Pools exist, routes are unique. */
bool workflow_encode (const workflow_command *c,
                      struct buffer *out); /* Appends C; false: beyond the limits of its type. */
bool workflow_decode_result (const void *data, size_t len, workflow_result *out);

#endif
