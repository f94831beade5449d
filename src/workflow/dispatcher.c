/* Leadership, proposals, workflow observer and tick of the dispatcher.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "dispatcher_internal.h"

#define PRUNE_BATCH 256
#define SLOWDOWN_SMOOTHING 0.02 /* averages over about 50 runs */
#define MAX_SLOWDOWN 5.0        /* limits the weight of one stuck run */
#define LOAD_LOG_PERIOD_MS 1000

static struct counter given_up = { .name = "sassafras_tasks_given_up_total",
                                   .help = "Tasks that crashed worker after worker." };

static bool
is_short (const workflow_step *s)
{
  return !(s->flags & (WORKFLOW_STEP_LASTING | WORKFLOW_STEP_FILL));
}

void
dispatch_add_stage (const struct dispatcher *d, const struct dispatch_run *r,
                    enum short_stage stage, int64_t since_ms)
{
  if (is_short (workflow_step_of (r->task)) && since_ms > 0)
    short_stages_add (stage, d->now_ms - since_ms);
}

bool
dispatch_is_repeatable (const struct workflow_task *t)
{
  return workflow_step_of (t)->flags & (WORKFLOW_STEP_LASTING | WORKFLOW_STEP_SPECULATIVE);
}

bool
dispatch_has_authority (const struct dispatcher *d)
{
  return dispatcher_has_authority (d, d->now_ms);
}

uint64_t
dispatch_propose (struct dispatcher *d, const workflow_command *c)
{
  uint64_t token = ++d->token;
  d->config.propose (d->config.propose_arg, c, token);
  return token;
}

bool
dispatcher_has_authority (const struct dispatcher *d, int64_t now_ms)
{
  return d->leading && now_ms < d->authority_until_ms;
}

static void
adjust_usage (struct dispatch_run *r, int sign)
{
  struct dispatch_worker *w = r->worker;
  const workflow_step *s = workflow_step_of (r->task);
  uint32_t *cores = &w->short_millicores;
  if (s->flags & WORKFLOW_STEP_FILL)
    cores = &w->fill_millicores;
  else if (s->flags & WORKFLOW_STEP_LASTING)
    cores = &w->lasting_millicores;
  *cores += (uint32_t)sign * s->millicores;
  w->served_tick = 0;
  if (r->image >= 0 && (s->flags & WORKFLOW_STEP_FILL))
    w->fill_millicores_of[r->image] += (uint32_t)sign * s->millicores;
  else if (r->image >= 0)
    w->serving_tasks_of[r->image] += (uint32_t)sign;
  w->used_memory_mb += (uint32_t)sign * s->memory_mb;
  w->used_accelerators += (uint32_t)sign * s->accelerators;
  dispatch_adjust_account (r, sign);
}

struct dispatch_run *
dispatch_add_run (struct dispatcher *d, struct dispatch_worker *w, struct workflow_task *t,
                  uint32_t number)
{
  struct dispatch_run *r = xcalloc (1, sizeof *r);
  r->worker = w;
  r->task = t;
  r->number = number;
  r->sent_ms = d->now_ms;
  r->paced_percent = PACING_FULL_PERCENT;
  r->is_fill = workflow_step_of (t)->flags & WORKFLOW_STEP_FILL;
  r->image = dispatch_image_id (d, workflow_step_of (t));
  TAILQ_INSERT_TAIL (&w->runs, r, link);
  adjust_usage (r, 1);
  return r;
}

void
dispatch_free_run (struct dispatcher *d, struct dispatch_run *r)
{
  adjust_usage (r, -1);
  if (r->run)
    r->run->dispatch = NULL;
  if (r->task->placing == r)
    r->task->placing = NULL;
  TAILQ_REMOVE (&r->worker->runs, r, link);
  dispatch_clear_checkpoint (d, r);
  free (r);
}

struct dispatch_run *
dispatch_find_run (struct dispatcher *d, const char *worker, const workflow_task_ref *task,
                   uint32_t number)
{
  const struct workflow_task *t = workflow_find_task (d->config.workflow, task);
  struct workflow_run *run = t ? workflow_find_run (t, number) : NULL;
  struct dispatch_run *r = run ? run->dispatch : NULL;
  return r && strcmp (r->worker->id, worker) == 0 ? r : NULL;
}

static const char *
outcome_name (enum workflow_outcome outcome)
{
  static const char *const names[]
      = { "",      "done",        "failed",  "stopped",        "lapsed",   "broken",
          "alone", "not-started", "crashed", "crashed-beside", "outlived", "crashed-unanswered" };
  return names[outcome];
}

void
dispatch_propose_end (struct dispatcher *d, struct dispatch_run *r, enum workflow_outcome outcome,
                      const char *checkpoint, const char *reason)
{
  if (r->state == DISPATCH_ENDING || r->state == DISPATCH_PLACING)
    return;
  checkpoint = dispatch_final_checkpoint (d, r, checkpoint);
  workflow_command c = { .kind = WORKFLOW_END };
  c.workflow_command_u.end = (workflow_end){ .task = workflow_ref (r->task),
                                             .run = r->number,
                                             .outcome = outcome,
                                             .checkpoint = (char *)(uintptr_t)checkpoint };
  log_event (LOG_INFO, "run-ended",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s outcome=%s reason=\"%s\"",
             r->task->job->spec.id, r->task->step, r->task->index, r->number, r->worker->id,
             outcome_name (outcome), reason);
  if (outcome == WORKFLOW_DONE)
    dispatch_add_stage (d, r, SHORT_STAGE_RUN, r->running_ms);
  r->state = DISPATCH_ENDING;
  r->ended_ms = d->now_ms;
  r->proposed_outcome = outcome;
  r->proposed_checkpoint = checkpoint[0] != '\0';
  r->token = dispatch_propose (d, &c);
}

static void
request_stops (struct workflow_task *t)
{
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    {
      struct dispatch_run *r = t->runs[i] ? t->runs[i]->dispatch : NULL;
      if (r)
        r->stop_requested = true;
    }
}

/* The process may have been paused, or its disk hung, between the last input and a commit.  */
static void
update_time (struct dispatcher *d)
{
  d->now_ms = clock_now_ms (d->config.clock);
}

static void
on_placed (void *arg, struct workflow_run *run)
{
  struct dispatcher *d = arg;
  struct dispatch_run *r = run->task->placing;
  update_time (d);
  if (!d->leading || !r || r->number != run->run || strcmp (r->worker->id, run->worker) != 0)
    return;
  run->task->placing = NULL;
  run->dispatch = r;
  r->run = run;
  r->token = 0;
  dispatch_start (d, r);
}

static void
count_failure (struct dispatch_worker *w, uint64_t job)
{
  int of_job = 0;
  for (size_t i = 0; i < w->failures; i++)
    of_job += w->failed_jobs[i] == job;
  if (of_job < MAX_COUNTED_FAILURES_PER_JOB && w->failures < MAX_COUNTED_FAILURES)
    w->failed_jobs[w->failures++] = job;
}

static void
record_failure (struct dispatcher *d, const struct dispatch_run *r)
{
  struct dispatch_worker *w = r->worker;
  int64_t pause_ms = AVOID_MIN_MS;
  if (r->running_ms > 0 && d->now_ms - r->running_ms > FAILURE_PROBATION_MS)
    return;
  count_failure (w, r->task->job->spec.id);
  if (w->failures < 2)
    return;
  for (size_t i = 2; i < w->failures && pause_ms < AVOID_MAX_MS; i++)
    pause_ms *= 2;
  w->avoid_until_ms = d->now_ms + pause_ms;
  log_event (LOG_INFO, "worker-avoided", "worker=%s failures=%zu for_ms=%" PRId64, w->id,
             w->failures, pause_ms);
}

/* A checkpoint or a change of leader hides a part of the run time: only whole runs count.  */
static void
update_slowdown (struct dispatcher *d, const struct dispatch_run *r)
{
  const workflow_step *s = workflow_step_of (r->task);
  if (!(s->flags & WORKFLOW_STEP_FILL) || r->running_ms == 0 || r->task->checkpoint
      || s->estimate_ms == 0)
    return;
  double slowdown = (double)(d->now_ms - r->running_ms) / s->estimate_ms;
  if (slowdown > MAX_SLOWDOWN)
    slowdown = MAX_SLOWDOWN;
  d->fill_slowdown += SLOWDOWN_SMOOTHING * (slowdown - d->fill_slowdown);
}

static void
log_blame (const struct workflow_run *run)
{
  const struct workflow_task *t = run->task;
  log_event (LOG_WARN, "task-crashed-worker",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s blame=%u", t->job->spec.id,
             t->step, t->index, run->run, run->worker, t->blame.points);
  if (!crash_blame_is_final (&t->blame) || t->job->state != WORKFLOW_JOB_OPEN)
    return;
  counter_add (&given_up, 1);
  log_event (LOG_WARN, "task-given-up", "job=%016" PRIx64 " step=%u task=%u runs=%u",
             t->job->spec.id, t->step, t->index, t->last_run);
}

/* The other outcomes are also those of runs that never started.  */
static bool
shows_a_start (enum workflow_outcome outcome)
{
  return outcome != WORKFLOW_NOT_STARTED && outcome != WORKFLOW_LAPSED
         && outcome != WORKFLOW_CRASHED_UNANSWERED;
}

static void
on_ended (void *arg, struct workflow_run *run, enum workflow_outcome outcome)
{
  struct dispatcher *d = arg;
  struct dispatch_run *r = run->dispatch;
  struct workflow_task *t = run->task;
  update_time (d);
  if (outcome == WORKFLOW_DONE && !(workflow_step_of (t)->flags & WORKFLOW_STEP_LASTING))
    request_stops (t);
  if (outcome != WORKFLOW_NOT_STARTED)
    t->since_ms = 0;
  if (shows_a_start (outcome))
    t->job->has_begun = true;
  if (!r)
    return;
  if (outcome == WORKFLOW_CRASHED || outcome == WORKFLOW_CRASHED_BESIDE
      || outcome == WORKFLOW_CRASHED_UNANSWERED)
    log_blame (run);
  if (r->end_number > 0 && outcome == r->proposed_outcome)
    dispatch_note_recorded (r->worker, r->end_number);
  if (outcome == WORKFLOW_FAILED)
    record_failure (d, r);
  else if (outcome == WORKFLOW_DONE)
    {
      dispatch_add_stage (d, r, SHORT_STAGE_COMMIT, r->ended_ms);
      r->worker->failures = 0;
      update_slowdown (d, r);
      dispatch_add_place_run (d, r);
    }
  dispatch_free_run (d, r);
}

static void
on_done_late (void *arg, struct workflow_task *t)
{
  (void)arg;
  request_stops (t);
}

/* Counts a completed job of one occurrence whose steps are all short.  */
static void
add_job_stage (const struct dispatcher *d, const struct workflow_job *j)
{
  for (u_int i = 0; i < j->spec.steps.steps_len; i++)
    if (!is_short (&j->spec.steps.steps_val[i]))
      return;
  if (j->state == WORKFLOW_JOB_COMPLETED && j->spec.repetitions == 0 && j->seen_ms > 0)
    short_stages_add (SHORT_STAGE_JOB, d->now_ms - j->seen_ms);
}

static void
on_job_ended (void *arg, struct workflow_job *j)
{
  struct dispatcher *d = arg;
  static const char *const names[] = { "open", "completed", "failed", "cancelled" };
  update_time (d);
  j->ended_ms = d->now_ms;
  if (!d->leading)
    return;
  log_event (LOG_INFO, "job-ended", "job=%016" PRIx64 " queue=%s state=%s age_ms=%" PRId64,
             j->spec.id, j->spec.queue, names[j->state], d->now_ms - j->seen_ms);
  add_job_stage (d, j);
  for (uint32_t i = 0; i < j->occurrences * j->spec.steps.steps_len; i++)
    for (uint32_t k = 0; k < j->spec.steps.steps_val[i % j->spec.steps.steps_len].count; k++)
      request_stops (&j->stages[i].tasks[k]);
}

static void
on_drained (void *arg, struct run_worker *on)
{
  struct dispatcher *d = arg;
  struct dispatch_worker *w = dispatch_find_worker (d, on->id);
  if (on->seen_ms == 0)
    on->seen_ms = clock_now_ms (d->config.clock);
  if (w)
    w->drain_token = 0;
}

struct dispatcher *
dispatcher_new (const struct dispatcher_config *config)
{
  struct dispatcher *d = xcalloc (1, sizeof *d);
  d->config = *config;
  cell_map_init (&d->workers);
  TAILQ_INIT (&d->worker_list);
  SLIST_INIT (&d->sizes);
  cell_map_init (&d->places);
  d->slack_model = slack_model_new ();
  d->fill_slowdown = 1;
  config->workflow->observer = (struct workflow_observer){ .placed = on_placed,
                                                           .ended = on_ended,
                                                           .done_late = on_done_late,
                                                           .job_ended = on_job_ended,
                                                           .drained = on_drained,
                                                           .arg = d };
  return d;
}

void
dispatcher_resign (struct dispatcher *d)
{
  struct dispatch_worker *w;
  d->leading = false;
  d->prune_token = 0;
  while ((w = TAILQ_FIRST (&d->worker_list)) != NULL)
    dispatch_free_worker (d, w);
  dispatch_clear_sizes (d);
  dispatch_clear_places (d);
}

void
dispatcher_free (struct dispatcher *d)
{
  dispatcher_resign (d);
  memset (&d->config.workflow->observer, 0, sizeof d->config.workflow->observer);
  cell_map_close (&d->workers);
  cell_map_close (&d->places);
  slack_model_free (d->slack_model);
  free (d->copies.tasks);
  free (d);
}

static void
inherit_run (struct dispatcher *d, struct workflow_run *run)
{
  struct dispatch_worker *w = dispatch_find_worker (d, run->worker);
  if (!w)
    {
      w = dispatch_add_worker (d, run->worker);
      dispatch_adopt_drain (d, w);
    }
  struct dispatch_run *r = dispatch_add_run (d, w, run->task, run->run);
  r->run = run;
  r->state = DISPATCH_UNCERTAIN;
  r->inherited = true;
  r->pace_unknown = r->is_fill;
  r->pace_late_ms = d->now_ms + ORDER_MAX_DELAY_MS;
  r->stop_requested
      = run->task->job->state != WORKFLOW_JOB_OPEN || run->task->state == WORKFLOW_TASK_DONE;
  run->dispatch = r;
}

void
dispatcher_become_leader (struct dispatcher *d, int64_t now_ms, uint64_t fence)
{
  struct workflow *w = d->config.workflow;
  struct workflow_run *run;
  struct workflow_job *j;
  dispatcher_resign (d);
  dispatch_clear_accounts (d);
  d->leading = true;
  d->first_fence = fence;
  d->last_fence = fence;
  d->now_ms = now_ms;
  d->lead_ms = now_ms;
  overdue_init (&d->start_overdue);
  d->tick_ms = 0;
  d->tick_lag_ms = 0;
  TAILQ_FOREACH (run, &w->runs, link)
  inherit_run (d, run);
  TAILQ_FOREACH (j, &w->open, link)
  {
    dispatch_register_job (d, j);
    /* The workers show whether its present runs have started.  */
    j->has_begun = j->started > j->runs;
    for (uint32_t i = 0; i < j->occurrences * j->spec.steps.steps_len; i++)
      for (uint32_t k = 0; k < j->spec.steps.steps_val[i % j->spec.steps.steps_len].count; k++)
        {
          j->stages[i].tasks[k].placing = NULL;
          j->stages[i].tasks[k].since_ms = 0;
          j->stages[i].tasks[k].retry_ms = 0;
          j->stages[i].tasks[k].done_until_ms = 0;
          j->stages[i].tasks[k].place_since_ms = 0;
        }
  }
  TAILQ_FOREACH (j, &w->finished, link)
  j->ended_ms = now_ms;
}

void
dispatcher_set_authority (struct dispatcher *d, int64_t until_ms)
{
  d->authority_until_ms = until_ms;
}

/* After a refused placement the task keeps waiting; an end that is not applied is proposed again
   when the worker lists it again, or when its proof is found again.  One that was refused has then
   no checkpoint, the only part of it that the worker chose.  */
void
dispatcher_proposed (struct dispatcher *d, int64_t now_ms, uint64_t token,
                     enum dispatcher_proposal outcome)
{
  struct dispatch_worker *w;
  struct dispatch_run *r;
  d->now_ms = now_ms;
  if (token == d->prune_token)
    d->prune_token = 0;
  if (outcome == PROPOSAL_APPLIED || !d->leading)
    return;
  TAILQ_FOREACH (w, &d->worker_list, link)
  if (w->drain_token == token)
    {
      w->drain_token = 0;
      w->drain_refused = outcome == PROPOSAL_REFUSED;
      return;
    }
  TAILQ_FOREACH (w, &d->worker_list, link)
  TAILQ_FOREACH (r, &w->runs, link)
  {
    if (r->token != token)
      continue;
    r->token = 0;
    if (r->state == DISPATCH_PLACING)
      {
        dispatch_free_run (d, r);
        return;
      }
    r->state = DISPATCH_UNCERTAIN;
    r->end_refused = r->end_refused || (outcome == PROPOSAL_REFUSED && r->proposed_checkpoint);
    return;
  }
}

static void
send_stop (struct dispatcher *d, struct dispatch_run *r)
{
  const struct dispatch_worker *w = r->worker;
  const struct worker_stop order
      = { .to = dispatch_address (w), .task = workflow_ref (r->task), .run = r->number };
  r->stop_pending = true;
  log_event (LOG_INFO, "stop-sent", "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s",
             r->task->job->spec.id, r->task->step, r->task->index, r->number, w->id);
  d->config.link->ops->stop (d->config.link, &order);
}

static uint32_t
target_pace (struct dispatcher *d, const struct dispatch_run *r)
{
  return r->is_fill ? dispatch_pace_of (d, r->worker, r->image) : PACING_FULL_PERCENT;
}

static void
send_pace (struct dispatcher *d, struct dispatch_run *r)
{
  const struct dispatch_worker *w = r->worker;
  const struct worker_pace order = { .to = dispatch_address (w),
                                     .task = workflow_ref (r->task),
                                     .run = r->number,
                                     .percent = target_pace (d, r) };
  r->pace_pending = true;
  d->config.link->ops->pace (d->config.link, &order);
}

static bool
needs_pace (struct dispatcher *d, const struct dispatch_run *r)
{
  if (r->paced_percent != target_pace (d, r))
    return true;
  if (!r->pace_unknown || d->now_ms < r->pace_repeat_ms || d->adopted_paces == 0)
    return false;
  d->adopted_paces--;
  return true;
}

static struct counter overdue_starts = { .name = "sassafras_starts_overdue_total",
                                         .help = "Starts that were asked for before their "
                                                 "answer came or their call timed out." };
/* R may run or not, or its worker may be lost, and its step allows a second run beside it.  */
static bool
wants_copy (const struct dispatcher *d, const struct dispatch_run *r)
{
  const struct workflow_task *t = r->task;
  u_int flags = workflow_step_of (t)->flags;
  bool silent
      = r->state == DISPATCH_RUNNING && d->now_ms - r->worker->last_answer_ms >= COPY_SILENCE_MS;
  return (r->state == DISPATCH_UNCERTAIN || silent) && flags & WORKFLOW_STEP_SPECULATIVE
         && !(flags & (WORKFLOW_STEP_LASTING | WORKFLOW_STEP_FILL))
         && t->job->state == WORKFLOW_JOB_OPEN && t->state == WORKFLOW_TASK_PLACED && !t->placing
         && (!t->runs[0] || !t->runs[1]);
}

static void
add_copy (struct dispatcher *d, struct workflow_task *t)
{
  struct copies *c = &d->copies;
  if (c->count == c->capacity)
    {
      c->capacity = c->capacity ? 2 * c->capacity : 64;
      c->tasks = xrealloc (c->tasks, c->capacity * sizeof (struct workflow_task *));
    }
  c->tasks[c->count++] = t;
}

static void
check_start (struct dispatcher *d, struct dispatch_run *r)
{
  if (r->state != DISPATCH_SENT || !overdue_is (&d->start_overdue, d->now_ms - r->sent_ms))
    return;
  counter_add (&overdue_starts, 1);
  log_event (LOG_INFO, "start-overdue", "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s",
             r->task->job->spec.id, r->task->step, r->task->index, r->number, r->worker->id);
  dispatch_mark_uncertain (d, r);
}

static void
tick_run (struct dispatcher *d, struct dispatch_run *r)
{
  if (!d->config.await_timeouts)
    {
      check_start (d, r);
      if (wants_copy (d, r))
        add_copy (d, r->task);
    }
  bool may_stop = r->state == DISPATCH_RUNNING || r->state == DISPATCH_UNCERTAIN;
  if (!r->worker->address || r->worker->gone)
    return;
  if (may_stop && r->stop_requested && !r->stop_settled && !r->stop_pending
      && d->now_ms >= r->stop_next_ms)
    send_stop (d, r);
  if (r->state == DISPATCH_RUNNING && !r->pace_pending && d->now_ms >= r->pace_next_ms
      && needs_pace (d, r))
    send_pace (d, r);
}

static void
prune (struct dispatcher *d)
{
  static uint64_t ids[PRUNE_BATCH];
  const struct workflow_job *j;
  workflow_command c = { .kind = WORKFLOW_PRUNE };
  u_int n = 0;
  TAILQ_FOREACH (j, &d->config.workflow->finished, link)
  {
    if (n == PRUNE_BATCH || d->now_ms - j->ended_ms < d->config.status_ms)
      break;
    if (j->runs == 0)
      ids[n++] = j->spec.id;
  }
  if (n == 0 || d->prune_token != 0)
    return;
  c.workflow_command_u.prune.prune_val = ids;
  c.workflow_command_u.prune.prune_len = n;
  d->prune_token = dispatch_propose (d, &c);
}

/* Logs the load of the pool and the pacing of fill-in tasks once a second.  */
static void
log_load (struct dispatcher *d)
{
  const struct dispatch_worker *w;
  const struct dispatch_run *r;
  uint64_t fill = 0;
  uint64_t fill_paced = 0;
  uint64_t used = 0;
  unsigned usable = 0;
  unsigned paced_workers = 0;
  if (d->now_ms < d->load_log_next_ms)
    return;
  d->load_log_next_ms = d->now_ms + LOAD_LOG_PERIOD_MS;
  TAILQ_FOREACH (w, &d->worker_list, link)
  {
    usable += dispatch_usable (d, w) && !dispatch_is_avoided (d, w);
    paced_workers += w->pacing.percent < PACING_FULL_PERCENT;
    fill += w->fill_millicores;
    fill_paced += (uint64_t)w->fill_millicores * w->pacing.percent / PACING_FULL_PERCENT;
    TAILQ_FOREACH (r, &w->runs, link)
    if (workflow_step_of (r->task)->flags & WORKFLOW_STEP_FILL)
      used += r->measure;
  }
  log_state ("load",
             "usable=%u held_back=%u waiting=%u waiting_fill=%" PRIu64 " fill=%" PRIu64
             " fill_paced=%" PRIu64 " fill_used=%" PRIu64 " tick_lag_ms=%.0f",
             usable, paced_workers, d->waiting, d->waiting_fill, fill, fill_paced, used,
             d->tick_lag_ms);
  short_stages_log (&d->short_stages);
  dispatch_log_accounts (d);
  dispatch_log_places (d);
}

static unsigned
first_holds_due (int64_t since_ms)
{
  int64_t due = since_ms * FIRST_HOLDS_PER_TICK / DISPATCHER_TICK_MS;
  if (due < 1)
    return 1;
  return (unsigned)(due < MAX_FIRST_HOLDS ? due : MAX_FIRST_HOLDS);
}

/* An overloaded event loop runs its ticks late.  */
static void
update_tick_lag (struct dispatcher *d)
{
  int64_t late_ms = d->tick_ms > 0 ? d->now_ms - d->tick_ms - DISPATCHER_TICK_MS : 0;
  d->tick_lag_ms += LAG_SMOOTHING * ((double)(late_ms > 0 ? late_ms : 0) - d->tick_lag_ms);
  d->tick_ms = d->now_ms;
}

void
dispatcher_tick (struct dispatcher *d, int64_t now_ms, int64_t wall_ms)
{
  struct dispatch_worker *w;
  struct dispatch_worker *next;
  struct dispatch_run *r;
  int64_t since_ms = d->tick_ms > 0 ? now_ms - d->tick_ms : DISPATCHER_TICK_MS;
  d->now_ms = now_ms;
  d->ticks++;
  update_tick_lag (d);
  if (!dispatch_has_authority (d))
    return;
  d->first_holds = first_holds_due (since_ms);
  d->adopted_paces = ADOPTED_PACES_PER_TICK;
  d->copies.count = 0;
  dispatch_update_accounts (d);
  for (w = TAILQ_FIRST (&d->worker_list); w; w = next)
    {
      next = TAILQ_NEXT (w, link);
      TAILQ_FOREACH (r, &w->runs, link)
      tick_run (d, r);
      dispatch_tick_worker (d, w);
    }
  dispatch_place_tasks (d, wall_ms);
  prune (d);
  log_load (d);
}
