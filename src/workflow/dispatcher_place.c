/* Order and placement of waiting tasks.  */
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "dispatcher_internal.h"
#include "relocation.h"
#include "waiting_order.h"

/* Declared / total processors below which a pool is mostly free: half, plus a margin.  */
#define MOSTLY_FREE_MAX_DECLARED_RATIO 0.6
#define STARVED_MS 1500            /* of 3 s that a job may wait there without a running task */
#define WORKER_DISCOVERY_MS 5000   /* of leadership: three heartbeats of every worker */
#define MAX_UNPLACEABLE 64         /* images x a few sizes */
#define MAX_PLACED_PER_TICK 64     /* bounds the time of a tick; 3,200 placements a second */
#define WORKERS_PER_RESERVATION 16 /* count / 16 + 1 workers may be reserved for restarts */
/* A stop follows a start within two round trips between regions and a tick: 140 ms.  */
#define PROBE_MIN_ESTIMATE_MS 500
#define TAIL_RATIO_CLOSED 1.0 /* above FILL_MAX_TAIL_RATIO: no more of that image there */
#define MILLI 1000

static struct counter workers_scored = { .name = "sassafras_placement_workers_scored_total",
                                         .help = "Workers scored for waiting tasks." };

static struct counter copied = { .name = "sassafras_copies_total",
                                 .help = "Second runs of tasks whose first run is uncertain." };

struct waiting_task
{
  struct workflow_task *task;
  const workflow_queue *queue;
  struct waiting_key key;
  bool is_copy; /* TASK has a run, and this is its second one */
};

struct candidates
{
  struct dispatch_worker **workers;
  struct worker_candidate *candidates;
  double *scores; /* of the step of SCORED; INFINITY where its tasks do not fit */
  size_t count;
  /* Request that SCORES were computed for; SCORED is NULL before the first.  */
  const struct workflow_task *scored;
  int image; /* of its step, see dispatch_image_id */
  bool scored_restart;
  bool scored_interference;
  bool scored_isolated;
  bool scored_avoided;
  size_t placed_at;  /* worker that got a task since; WORKER_SELECT_NONE if none did */
  size_t reserved;   /* workers reserved in this tick */
  size_t restricted; /* workers that are avoided or may lose ends */
  bool mostly_free;  /* see MOSTLY_FREE_MAX_DECLARED_RATIO */
  /* Request that USABLE and NEAR_DATA were set for; NULL before the first task.  */
  const char *pool;
  const char *label;
  const char *rack;
};

static bool
is_due (const struct workflow_task *t, int64_t wall_ms)
{
  const workflow_spec *s = &t->job->spec;
  return s->repetitions == 0 || wall_ms >= workflow_start_ms (s, t->occurrence);
}

static int64_t
objective_ms (const struct workflow_job *j, const workflow_queue *q)
{
  return (int64_t)j->critical_path_ms * q->stretch_milli / MILLI + q->target_ms;
}

static void
set_key (struct dispatcher *d, struct waiting_task *w)
{
  const struct workflow_job *j = w->task->job;
  const workflow_step *s = workflow_step_of (w->task);
  bool is_fill = s->flags & WORKFLOW_STEP_FILL;
  const struct waiting_facts facts = { .now_ms = d->now_ms,
                                       .seen_ms = j->seen_ms,
                                       .objective_ms = objective_ms (j, w->queue),
                                       .remain_ms = (int64_t)((double)j->remain_ms[w->task->step]
                                                              * (is_fill ? d->fill_slowdown : 1)),
                                       .priority = w->queue->priority,
                                       .since_ms = w->task->since_ms,
                                       .has_run = w->task->last_run > 0,
                                       .is_lasting = s->flags & WORKFLOW_STEP_LASTING,
                                       .is_fill = is_fill,
                                       .started = workflow_job_started (j),
                                       .started_ratio = is_fill ? dispatch_started_ratio (j) : 0,
                                       .beyond = j->beyond_weight,
                                       .account_level = j->account ? j->account->level : 0 };
  w->key = waiting_key_of (&facts);
}

static int
compare_waiting (const void *a, const void *b)
{
  const struct waiting_task *x = a;
  const struct waiting_task *y = b;
  return waiting_compare (&x->key, &y->key);
}

/* Tasks of one step and occurrence have the same order and requirements.  */
static bool
is_same_step (const struct workflow_task *a, const struct workflow_task *b)
{
  return a->job == b->job && a->step == b->step && a->occurrence == b->occurrence;
}

/* The copies of this tick have no worker of their own yet.  */
static size_t
list_copies (struct dispatcher *d, struct waiting_task **out)
{
  size_t n = 0;
  *out = xcalloc (d->copies.count + 1, sizeof **out);
  for (size_t i = 0; i < d->copies.count; i++)
    {
      struct workflow_task *t = d->copies.tasks[i];
      const workflow_queue *q = workflow_queue_of (d->config.workflow, t->job);
      if (!q || q->needs_advice || t->placing || d->now_ms < t->retry_ms
          || d->now_ms < t->done_until_ms)
        continue;
      (*out)[n] = (struct waiting_task){ .task = t, .queue = q, .is_copy = true };
      set_key (d, &(*out)[n++]);
    }
  return n;
}

static size_t
list_waiting (struct dispatcher *d, int64_t wall_ms, struct waiting_task **out)
{
  struct workflow *w = d->config.workflow;
  struct workflow_task *t;
  size_t n = list_copies (d, out);
  size_t capacity = n + 1;
  TAILQ_FOREACH (t, &w->ready, link)
  {
    if (t->job->seen_ms == 0)
      {
        dispatch_register_job (d, t->job);
        dispatch_count_job (d, t->job);
      }
    if (t->placing || d->now_ms < t->done_until_ms || d->now_ms < t->retry_ms
        || !is_due (t, wall_ms))
      continue;
    const workflow_queue *q = workflow_queue_of (w, t->job);
    if (!q || q->needs_advice)
      continue;
    if (n == capacity)
      {
        capacity = capacity ? 2 * capacity : 256;
        *out = xrealloc (*out, capacity * sizeof **out);
      }
    (*out)[n] = (struct waiting_task){ .task = t, .queue = q };
    if (t->since_ms == 0)
      {
        t->since_ms = d->now_ms;
        dispatch_add_demand (d, t);
      }
    bool is_lasting = workflow_step_of (t)->flags & WORKFLOW_STEP_LASTING;
    if (n > 0 && !is_lasting && !(*out)[n - 1].is_copy && is_same_step ((*out)[n - 1].task, t))
      (*out)[n].key = (*out)[n - 1].key;
    else
      set_key (d, &(*out)[n]);
    n++;
  }
  if (n > 0)
    qsort (*out, n, sizeof **out, compare_waiting);
  return n;
}

static bool
is_isolated (const struct workflow_task *t)
{
  return t->blame.points >= CRASH_BLAME_ISOLATED;
}

static void
isolate (const struct dispatcher *d, struct dispatch_worker *w, const struct workflow_task *t)
{
  if (is_isolated (t))
    w->isolated_until_ms = d->now_ms + CRASH_ISOLATION_MS;
}

static bool
is_probed (const struct dispatch_worker *w)
{
  const struct dispatch_run *r;
  TAILQ_FOREACH (r, &w->runs, link)
  if (!dispatch_is_repeatable (r->task))
    return true;
  return false;
}

static void
update_candidate (const struct dispatcher *d, const struct dispatch_worker *w,
                  struct worker_candidate *candidate)
{
  uint32_t memory = w->used_memory_mb < w->memory_mb ? w->memory_mb - w->used_memory_mb : 0;
  uint32_t accelerators
      = w->used_accelerators < w->accelerators ? w->accelerators - w->used_accelerators : 0;
  candidate->millicores = w->millicores;
  candidate->lasting_millicores = w->lasting_millicores;
  candidate->short_millicores = w->short_millicores;
  candidate->fill_millicores = w->fill_millicores;
  candidate->free_memory_mb = memory;
  candidate->free_accelerators = accelerators;
  candidate->tail_ratio = w->pacing.worst_tail;
  candidate->answering = w->failed_ms == 0;
  candidate->isolated = d->now_ms < w->isolated_until_ms;
  candidate->avoided = dispatch_is_avoided (d, w);
  candidate->may_lose_ends = w->may_lose_ends;
  candidate->probed = w->may_lose_ends && is_probed (w);
}

static bool
list_candidates (struct dispatcher *d, struct candidates *c)
{
  struct dispatch_worker *w;
  uint64_t declared = 0;
  uint64_t total = 0;
  c->workers = xcalloc (d->workers.count + 1, sizeof (struct dispatch_worker *));
  c->candidates = xcalloc (d->workers.count + 1, sizeof *c->candidates);
  c->scores = xcalloc (d->workers.count + 1, sizeof *c->scores);
  c->scored = NULL;
  c->placed_at = WORKER_SELECT_NONE;
  c->count = 0;
  c->reserved = 0;
  c->restricted = 0;
  c->pool = NULL;
  c->label = NULL;
  c->rack = NULL;
  TAILQ_FOREACH (w, &d->worker_list, link)
  {
    if (!dispatch_usable (d, w))
      continue;
    struct worker_candidate *candidate = &c->candidates[c->count];
    update_candidate (d, w, candidate);
    c->restricted += candidate->avoided || candidate->may_lose_ends;
    if (!candidate->avoided)
      {
        declared += w->lasting_millicores + w->short_millicores;
        total += w->millicores;
      }
    c->workers[c->count++] = w;
  }
  c->mostly_free = (double)declared < MOSTLY_FREE_MAX_DECLARED_RATIO * (double)total;
  return c->count > 0;
}

static bool
has_label (const struct dispatch_worker *w, const char *label)
{
  for (size_t i = 0; i < w->label_count; i++)
    if (strcmp (w->labels[i], label) == 0)
      return true;
  return false;
}

static uint32_t
count_same_step (const struct dispatch_worker *w, const struct workflow_task *t)
{
  const struct dispatch_run *r;
  uint32_t n = 0;
  TAILQ_FOREACH (r, &w->runs, link)
  n += r->task->job == t->job && r->task->step == t->step && r->task->occurrence == t->occurrence;
  return n;
}

static double
foreign_share (const struct dispatch_worker *w, const char *image)
{
  const struct dispatch_run *r;
  uint32_t foreign = 0;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    const workflow_step *s = workflow_step_of (r->task);
    if ((s->flags & WORKFLOW_STEP_LASTING) && strcmp (s->image, image) != 0)
      foreign += s->millicores;
  }
  return worker_select_foreign_share (w->lasting_millicores, foreign);
}

static bool
is_same (const char *a, const char *b)
{
  return a == b || (a && strcmp (a, b) == 0);
}

/* Skipped when nothing changed: consecutive tasks mostly have the same requirements.  */
static void
update_eligibility (struct candidates *c, const char *pool, const workflow_step *s,
                    const char *place)
{
  if (is_same (c->pool, pool) && is_same (c->label, s->required_label) && is_same (c->rack, place))
    return;
  c->pool = pool;
  c->label = s->required_label;
  c->rack = place;
  c->scored = NULL;
  for (size_t i = 0; i < c->count; i++)
    {
      const struct dispatch_worker *w = c->workers[i];
      struct worker_candidate *candidate = &c->candidates[i];
      candidate->usable = strcmp (w->pool, pool) == 0
                          && (!s->required_label[0] || has_label (w, s->required_label));
      candidate->near_data = !place[0] || has_label (w, place);
    }
}

/* The number of reserved workers is bounded, so that most stay open for short tasks.  */
static void
reserve (struct candidates *c, const struct worker_request *q)
{
  if (c->reserved > c->count / WORKERS_PER_RESERVATION)
    return;
  size_t index = worker_select_reserve (c->candidates, c->count, q);
  if (index == WORKER_SELECT_NONE)
    return;
  c->candidates[index].reserved = true;
  c->scored = NULL;
  c->reserved++;
}

/* A paced worker is closed to the images that are paced there, and open to those that do not slow
   its lasting tasks: at any time nearly half of the workers pace some image.  */
static double
tail_ratio_for (const struct dispatcher *d, struct dispatch_worker *w, int fill_image)
{
  if (dispatch_pace_of (d, w, fill_image) < PACING_FULL_PERCENT)
    return TAIL_RATIO_CLOSED;
  return w->pacing.worst_tail;
}

/* Sets the fields of a candidate that depend on the task.  */
static void
set_task_fields (const struct dispatcher *d, struct candidates *c, const struct workflow_task *t,
                 const struct worker_request *q, size_t index)
{
  const workflow_step *s = workflow_step_of (t);
  struct worker_candidate *candidate = &c->candidates[index];
  struct dispatch_worker *w = c->workers[index];
  if (q->is_lasting)
    candidate->foreign_share = foreign_share (w, s->image);
  if (q->is_fill && c->image >= 0)
    {
      candidate->tail_ratio = tail_ratio_for (d, w, c->image);
      if (candidate->tail_ratio <= FILL_MAX_TAIL_RATIO || q->allow_interference)
        candidate->interference = dispatch_predict_interference (d, w, c->image, s->millicores);
    }
  if (s->max_per_worker > 0)
    candidate->same_step = count_same_step (w, t);
}

static void
reset_task_fields (struct candidates *c, size_t index)
{
  c->candidates[index].foreign_share = 0;
  c->candidates[index].tail_ratio = c->workers[index]->pacing.worst_tail;
  c->candidates[index].interference = 0;
}

/* Load pattern: thousands of waiting tasks and hundreds of nearly full workers.  The costly fields
   are computed only for workers that have capacity for the task, the others are not even read: the
   fields of a candidate that depend on the task are reset after use.  */
static double
score_worker (const struct dispatcher *d, struct candidates *c, const struct waiting_task *t,
              const struct worker_request *q, size_t index)
{
  struct worker_candidate *candidate = &c->candidates[index];
  bool counts_step = q->max_per_worker > 0 && (q->is_restart || c->restricted > 0);
  candidate->same_step = 0;
  if (!counts_step && !worker_select_fits (candidate, q))
    return INFINITY;
  set_task_fields (d, c, t->task, q, index);
  double score = worker_select_rate (candidate, q);
  reset_task_fields (c, index);
  return score;
}

/* Scores all workers for the step of T.  */
static void
score_workers (struct dispatcher *d, struct candidates *c, const struct waiting_task *t,
               const struct worker_request *q)
{
  c->image = dispatch_image_id (d, workflow_step_of (t->task));
  for (size_t i = 0; i < c->count; i++)
    c->scores[i] = score_worker (d, c, t, q, i);
  counter_add (&workers_scored, (int64_t)c->count);
}

static bool
has_scores_for (const struct candidates *c, const struct waiting_task *t,
                const struct worker_request *q)
{
  return c->scored && is_same_step (c->scored, t->task) && c->scored_restart == q->is_restart
         && c->scored_interference == q->allow_interference && c->scored_isolated == q->is_isolated
         && c->scored_avoided == q->allow_avoided;
}

/* Load pattern: steps of dozens of equal tasks, placed one after the other, and a thousand workers.
   A placement changes the score of one worker only, so the others are scored once per step.  */
static size_t
choose_for (struct dispatcher *d, struct candidates *c, const struct waiting_task *t,
            const struct worker_request *q)
{
  if (!has_scores_for (c, t, q))
    score_workers (d, c, t, q);
  else if (c->placed_at < c->count)
    {
      c->scores[c->placed_at] = score_worker (d, c, t, q, c->placed_at);
      counter_add (&workers_scored, 1);
    }
  c->scored = t->task;
  c->scored_restart = q->is_restart;
  c->scored_interference = q->allow_interference;
  c->scored_isolated = q->is_isolated;
  c->scored_avoided = q->allow_avoided;
  c->placed_at = WORKER_SELECT_NONE;
  return worker_select_least (c->scores, c->count);
}

/* A task that only restricted workers can take gets one after STARVED_MS: attempts are limited, and
   what makes the workers fail may be over by then; short tasks leave it to longer ones to be
   stopped at once where ends may be lost.  */
static bool
may_use_restricted (const struct dispatcher *d, const struct candidates *c,
                    const struct workflow_task *t)
{
  return c->restricted > 0 && t->since_ms > 0 && d->now_ms - t->since_ms >= STARVED_MS;
}

static struct worker_request
request_of (const struct dispatcher *d, const struct candidates *c, const struct workflow_task *t)
{
  const workflow_step *s = workflow_step_of (t);
  return (struct worker_request){ .millicores = s->millicores,
                                  .memory_mb = s->memory_mb,
                                  .accelerators = s->accelerators,
                                  .max_per_worker = s->max_per_worker,
                                  .is_fill = s->flags & WORKFLOW_STEP_FILL,
                                  .is_lasting = s->flags & WORKFLOW_STEP_LASTING,
                                  .is_isolated = is_isolated (t),
                                  .is_repeatable = dispatch_is_repeatable (t),
                                  .can_probe = s->estimate_ms >= PROBE_MIN_ESTIMATE_MS
                                               || may_use_restricted (d, c, t) };
}

static size_t
choose (struct dispatcher *d, struct candidates *c, const struct waiting_task *t)
{
  const workflow_step *s = workflow_step_of (t->task);
  const char *place = dispatch_place_of (d, t->task);
  struct worker_request q = request_of (d, c, t->task);
  q.is_restart = t->key.rank == WAITING_RESTART;
  bool starved = q.is_fill && c->mostly_free && t->task->job->runs == 0
                 && d->now_ms - t->task->job->seen_ms > STARVED_MS;
  update_eligibility (c, t->queue->pool, s, place);
  size_t index = choose_for (d, c, t, &q);
  if (index == WORKER_SELECT_NONE && starved)
    {
      q.allow_interference = true;
      index = choose_for (d, c, t, &q);
    }
  if (index == WORKER_SELECT_NONE && may_use_restricted (d, c, t->task)
      && !worker_select_can_wait (c->candidates, c->count, &q))
    {
      q.allow_avoided = true;
      index = choose_for (d, c, t, &q);
    }
  if (index == WORKER_SELECT_NONE && q.is_restart)
    reserve (c, &q);
  return index;
}

/* A copy on the worker of the first run would share its fate.  */
static size_t
choose_for_copy (struct dispatcher *d, struct candidates *c, const struct waiting_task *t)
{
  update_eligibility (c, t->queue->pool, workflow_step_of (t->task),
                      dispatch_place_of (d, t->task));
  for (size_t i = 0; i < c->count; i++)
    for (int k = 0; k < WORKFLOW_MAX_RUNS; k++)
      {
        const struct workflow_run *run = t->task->runs[k];
        if (run && strcmp (run->worker, c->workers[i]->id) == 0)
          c->candidates[i].usable = false;
      }
  c->scored = NULL;
  size_t index = choose (d, c, t);
  c->pool = NULL; /* sets USABLE again */
  c->scored = NULL;
  return index;
}

/* T has a worker away from its rack: whether it waits for the rack.  Tasks that last or ran before
   start where they can.  */
static bool
waits_for_place (struct dispatcher *d, const struct candidates *c, const struct waiting_task *t,
                 size_t index)
{
  const workflow_step *s = workflow_step_of (t->task);
  if (d->config.remote_run_factor <= 1 || c->candidates[index].near_data || t->task->last_run > 0
      || (s->flags & (WORKFLOW_STEP_LASTING | WORKFLOW_STEP_FILL)))
    return false;
  const struct workflow_job *j = t->task->job;
  int64_t end_by_ms = j->seen_ms + objective_ms (j, t->queue);
  int64_t after_step_ms = (int64_t)j->remain_ms[t->task->step] - s->estimate_ms;
  return dispatch_waits_for_place (d, t->task, c->rack, end_by_ms - after_step_ms - d->now_ms);
}

static void
propose_place (struct dispatcher *d, struct dispatch_worker *w, struct workflow_task *t)
{
  workflow_command c = { .kind = WORKFLOW_PLACE };
  struct dispatch_run *r = dispatch_add_run (d, w, t, t->last_run + 1);
  t->placing = r;
  if (t->state == WORKFLOW_TASK_WAITING)
    dispatch_add_stage (d, r, SHORT_STAGE_WAIT, t->since_ms);
  dispatch_note_place (d, r, dispatch_place_of (d, t));
  isolate (d, w, t);
  dispatch_record_start (d, t->job);
  c.workflow_command_u.place
      = (workflow_place){ .task = workflow_ref (t), .run = r->number, .worker = w->id };
  log_event (LOG_INFO, "placed",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s waited_ms=%" PRId64
             " lasting=%u short=%u fill=%u tail=%.2f heard_ms_ago=%" PRId64 " place=%s",
             t->job->spec.id, t->step, t->index, r->number, w->id, d->now_ms - t->job->seen_ms,
             w->lasting_millicores, w->short_millicores, w->fill_millicores, w->pacing.worst_tail,
             d->now_ms - w->last_answer_ms,
             !r->wants_place ? "any"
             : r->near_place ? "near"
                             : "elsewhere");
  r->token = dispatch_propose (d, &c);
}

/* Requests that fit on no worker in this tick.  Load pattern: thousands of waiting tasks of a few
   images and hundreds of workers; checking every worker for each task takes longer than a tick.  */
struct unplaceable
{
  const struct waiting_task *last; /* that fit nowhere, tried or inferred; NULL before any */
  const struct waiting_task *tasks[MAX_UNPLACEABLE];
  size_t count;
  bool mostly_free; /* if true, a job without a running task is always tried */
};

/* A task fits nowhere if one of the same image that needs no more has fit nowhere.  */
static bool
needs_at_least (const struct waiting_task *a, const struct waiting_task *b, bool mostly_free)
{
  const workflow_step *x = workflow_step_of (a->task);
  const workflow_step *y = workflow_step_of (b->task);
  bool simple
      = x->max_per_worker == 0 && !x->data_rack[0] && (!mostly_free || a->task->job->runs > 0);
  if (is_same_step (a->task, b->task))
    return true;
  return simple && x->flags == y->flags && x->millicores >= y->millicores
         && x->memory_mb >= y->memory_mb && x->accelerators >= y->accelerators
         && strcmp (x->image, y->image) == 0 && strcmp (x->required_label, y->required_label) == 0
         && strcmp (a->queue->pool, b->queue->pool) == 0;
}

static bool
is_unplaceable (const struct unplaceable *n, const struct waiting_task *w)
{
  /* A restart is always tried, so that choose can reserve a worker for it.  An isolated task may
     find no worker where others do.  */
  if (w->key.rank == WAITING_RESTART || is_isolated (w->task))
    return false;
  if (n->last && is_same_step (n->last->task, w->task))
    return true;
  for (size_t i = n->count; i > 0; i--)
    if (needs_at_least (w, n->tasks[i - 1], n->mostly_free))
      return true;
  return false;
}

static bool
may_move (const struct dispatcher *d, const struct dispatch_run *r)
{
  const workflow_step *s = workflow_step_of (r->task);
  if (!(s->flags & WORKFLOW_STEP_FILL) || r->state != DISPATCH_RUNNING || r->stop_requested)
    return false;
  const struct relocation_facts facts = { .now_ms = d->now_ms,
                                          .running_ms = r->running_ms,
                                          .worker_move_ms = r->worker->moved_ms,
                                          .percent = dispatch_pace_of (d, r->worker, r->image),
                                          .run_number = r->number,
                                          .checkpointing = s->flags & WORKFLOW_STEP_CHECKPOINTING };
  return relocation_is_due (&facts);
}

/* Requests the stop of one paced task of W for which another worker has capacity.  */
static bool
move_task (struct dispatcher *d, struct candidates *c, struct dispatch_worker *w)
{
  struct dispatch_run *r;
  TAILQ_FOREACH (r, &w->runs, link)
  if (may_move (d, r))
    break;
  if (!r)
    return false;
  struct waiting_task t = { .task = r->task,
                            .queue = workflow_queue_of (d->config.workflow, r->task->job),
                            .key.rank = WAITING_FILL };
  w->moved_ms = d->now_ms;
  if (!t.queue || choose (d, c, &t) == WORKER_SELECT_NONE)
    return false;
  r->stop_requested = true;
  log_event (LOG_INFO, "run-moved",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s percent=%u tail=%.2f",
             r->task->job->spec.id, r->task->step, r->task->index, r->number, w->id,
             w->pacing.percent, w->pacing.worst_tail);
  return true;
}

static bool
has_slow_pace (const struct dispatcher *d)
{
  const struct dispatch_worker *w;
  TAILQ_FOREACH (w, &d->worker_list, link)
  if (!w->gone && w->pacing.percent <= RELOCATION_MAX_PERCENT)
    return true;
  return false;
}

static void
move_paced_tasks (struct dispatcher *d, struct candidates *c)
{
  struct dispatch_worker *w;
  unsigned moves = 0;
  TAILQ_FOREACH (w, &d->worker_list, link)
  {
    if (w->gone || w->pacing.percent > RELOCATION_MAX_PERCENT)
      continue;
    moves += move_task (d, c, w);
    if (moves == RELOCATION_MAX_PER_TICK)
      return;
  }
}

/* W got no worker in this tick.  */
static void
count_waiting (struct dispatcher *d, const struct waiting_task *w, bool held_by_cap)
{
  const workflow_step *s = workflow_step_of (w->task);
  int64_t wait_ms = d->now_ms - w->task->since_ms;
  if (s->flags & WORKFLOW_STEP_FILL)
    d->waiting_fill += s->millicores;
  dispatch_count_waiting (d, w->task, held_by_cap);
  if (!held_by_cap && w->key.rank < WAITING_BEYOND && wait_ms > d->longest_wait_ms)
    d->longest_wait_ms = wait_ms;
}

static void
free_candidates (struct candidates *c)
{
  free (c->workers);
  free (c->candidates);
  free (c->scores);
}

void
dispatch_place_tasks (struct dispatcher *d, int64_t wall_ms)
{
  struct waiting_task *waiting;
  struct candidates c = { .workers = NULL };
  size_t n = list_waiting (d, wall_ms, &waiting);
  size_t placed = 0;
  /* Without and with the restricted workers.  */
  struct unplaceable unplaceables[2] = { { .count = 0 }, { .count = 0 } };
  d->waiting = (uint32_t)n;
  d->waiting_fill = 0;
  d->longest_wait_ms = 0;
  dispatch_begin_places (d);
  bool has_candidates = (n > 0 || has_slow_pace (d)) && list_candidates (d, &c);
  unplaceables[0].mostly_free = unplaceables[1].mostly_free = has_candidates && c.mostly_free;
  if (has_candidates)
    move_paced_tasks (d, &c);
  if (has_candidates)
    for (size_t i = 0; i < n && placed < MAX_PLACED_PER_TICK; i++)
      {
        if (!dispatch_cap_allows (waiting[i].task))
          {
            if (!waiting[i].is_copy)
              count_waiting (d, &waiting[i], true);
            continue;
          }
        struct unplaceable *unplaceable
            = &unplaceables[may_use_restricted (d, &c, waiting[i].task)];
        if (is_unplaceable (unplaceable, &waiting[i]))
          {
            unplaceable->last = &waiting[i];
            count_waiting (d, &waiting[i], false);
            continue;
          }
        size_t index = waiting[i].is_copy ? choose_for_copy (d, &c, &waiting[i])
                                          : choose (d, &c, &waiting[i]);
        if (index == WORKER_SELECT_NONE && waiting[i].is_copy)
          continue;
        if (index == WORKER_SELECT_NONE)
          {
            count_waiting (d, &waiting[i], false);
            if (is_isolated (waiting[i].task))
              continue;
            unplaceable->last = &waiting[i];
            if (unplaceable->count < MAX_UNPLACEABLE)
              unplaceable->tasks[unplaceable->count++] = &waiting[i];
            continue;
          }
        if (waits_for_place (d, &c, &waiting[i], index))
          {
            count_waiting (d, &waiting[i], false);
            continue;
          }
        propose_place (d, c.workers[index], waiting[i].task);
        if (waiting[i].is_copy)
          counter_add (&copied, 1);
        update_candidate (d, c.workers[index], &c.candidates[index]);
        c.placed_at = index;
        placed++;
        d->waiting--;
      }
  free_candidates (&c);
  free (waiting);
}

void
dispatch_probe (struct dispatcher *d, const struct workflow_task *t, const workflow_queue *q,
                struct placement_probe *out)
{
  struct candidates c = { .workers = NULL };
  const workflow_step *s = workflow_step_of (t);
  const struct dispatch_worker *w;
  *out = (struct placement_probe){ .best = WORKER_SELECT_NONE };
  TAILQ_FOREACH (w, &d->worker_list, link)
  out->obstacles[WORKER_NOT_USABLE] += w->address && !w->gone && !dispatch_usable (d, w);
  list_candidates (d, &c);
  out->knows_image
      = !(s->flags & WORKFLOW_STEP_FILL) || slack_model_knows_fill (d->slack_model, s->image);
  c.image = out->knows_image && s->flags & WORKFLOW_STEP_FILL ? dispatch_image_id (d, s) : -1;
  update_eligibility (&c, q->pool, s, dispatch_place_of (d, t));
  const struct worker_request request = request_of (d, &c, t);
  out->workers = xcalloc (c.count + 1, sizeof *out->workers);
  out->count = c.count;
  for (size_t i = 0; i < c.count; i++)
    {
      set_task_fields (d, &c, t, &request, i);
      out->workers[i]
          = (struct probed_worker){ .worker = c.workers[i],
                                    .obstacle = worker_select_obstacle (&c.candidates[i], &request),
                                    .score = worker_select_rate (&c.candidates[i], &request),
                                    .near = c.candidates[i].near_data };
      reset_task_fields (&c, i);
      c.scores[i] = out->workers[i].score;
      out->obstacles[out->workers[i].obstacle]++;
    }
  out->best = worker_select_least (c.scores, c.count);
  free_candidates (&c);
}

/* The worker's capacity may have shrunk since R, which is counted there, was placed.  */
static bool
exceeds_capacity (const struct dispatch_run *r)
{
  const struct dispatch_worker *w = r->worker;
  bool is_fill = workflow_step_of (r->task)->flags & WORKFLOW_STEP_FILL;
  uint64_t declared = (uint64_t)w->lasting_millicores + w->short_millicores;
  return w->used_memory_mb > w->memory_mb || w->used_accelerators > w->accelerators
         || (!is_fill && declared > w->millicores);
}

void
dispatch_start (struct dispatcher *d, struct dispatch_run *r)
{
  struct dispatch_worker *w = r->worker;
  struct workflow_task *t = r->task;
  r->state = DISPATCH_SENT;
  bool unwanted = t->job->state != WORKFLOW_JOB_OPEN || t->state == WORKFLOW_TASK_DONE
                  || d->now_ms < t->done_until_ms;
  bool unusable = w->draining || w->left_undrained || w->gone || !w->fenced || !w->reported
                  || workflow_zone_is_out (d->config.workflow, w->zone);
  const char *obstacle = NULL;
  if (unwanted)
    obstacle = "the job has ended or the task is done";
  else if (unusable)
    obstacle = "the worker is no longer usable";
  else if (exceeds_capacity (r))
    obstacle = "the worker's capacity has shrunk";
  else if (!dispatch_has_authority (d))
    obstacle = "the authority of this leader has ended";
  if (obstacle)
    {
      dispatch_propose_end (d, r, WORKFLOW_NOT_STARTED, NULL, obstacle);
      return;
    }
  /* What took its last worker may have taken W too: an order that is written to a lost worker stays
     uncertain for ORDER_MAX_DELAY_MS, one that finds no connection fails at once.  */
  bool is_restart = r->number > 1 && workflow_step_of (t)->flags & WORKFLOW_STEP_LASTING;
  const struct worker_start order = { .to = dispatch_address (w),
                                      .task = workflow_ref (t),
                                      .run = r->number,
                                      .payload = t->job->spec.payload,
                                      .checkpoint = t->checkpoint ? t->checkpoint : "",
                                      .deadline_ms = dispatch_lease_deadline (d, w),
                                      .on_new_connection = is_restart && !w->was_unreached };
  dispatch_add_stage (d, r, SHORT_STAGE_PLACE, r->sent_ms);
  r->sent_ms = d->now_ms;
  isolate (d, w, t);
  if (w->short_millicores > 0 && w->hold_next_ms > d->now_ms + HOLD_GAP_MS)
    w->hold_next_ms = d->now_ms + HOLD_GAP_MS;
  r->start_pending = true;
  d->config.link->ops->start (d->config.link, &order);
}

static bool
could_run (const struct dispatch_worker *w, const workflow_step *s)
{
  return w->millicores >= s->millicores && w->memory_mb >= s->memory_mb
         && w->accelerators >= s->accelerators
         && (!s->required_label[0] || has_label (w, s->required_label));
}

bool
dispatcher_can_ever_fit (const struct dispatcher *d, const workflow_spec *spec, const char *pool)
{
  const struct dispatch_worker *w;
  if (d->now_ms - d->lead_ms < WORKER_DISCOVERY_MS)
    return true;
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      size_t known = 0;
      bool fits = false;
      TAILQ_FOREACH (w, &d->worker_list, link)
      {
        bool counts = w->address && !w->gone && strcmp (w->pool, pool) == 0;
        known += counts;
        fits = fits || (counts && could_run (w, &spec->steps.steps_val[i]));
      }
      if (known > 0 && !fits)
        return false;
    }
  return true;
}
