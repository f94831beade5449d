/* Workers that can take tasks, and the choice of one.  */
#include "dispatcher_candidates.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"

/* Declared / total processors below which a pool is mostly free: half, plus a margin.  */
#define MOSTLY_FREE_MAX_DECLARED_RATIO 0.6
#define STARVED_MS 1500            /* of 3 s that a job may wait there without a running task */
#define WORKERS_PER_RESERVATION 16 /* count / 16 + 1 workers may be reserved for restarts */
/* A stop follows a start within two round trips between regions and a tick: 140 ms.  */
#define PROBE_MIN_ESTIMATE_MS 500
#define TAIL_RATIO_CLOSED 1.0 /* above FILL_MAX_TAIL_RATIO: no more of that image there */

static struct counter workers_scored = { .name = "sassafras_placement_workers_scored_total",
                                         .help = "Workers scored for waiting tasks." };

/* Tasks of one step and occurrence have the same order and requirements.  */
bool
dispatch_is_same_step (const struct workflow_task *a, const struct workflow_task *b)
{
  return a->job == b->job && a->step == b->step && a->occurrence == b->occurrence;
}

bool
dispatch_is_isolated (const struct workflow_task *t)
{
  return t->blame.points >= CRASH_BLAME_ISOLATED;
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

void
dispatch_update_candidate (const struct dispatcher *d, const struct dispatch_worker *w,
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

bool
dispatch_list_candidates (struct dispatcher *d, struct candidates *c)
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
    dispatch_update_candidate (d, w, candidate);
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

bool
dispatch_has_label (const struct dispatch_worker *w, const char *label)
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
                          && (!s->required_label[0] || dispatch_has_label (w, s->required_label));
      candidate->near_data = !place[0] || dispatch_has_label (w, place);
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
  return c->scored && dispatch_is_same_step (c->scored, t->task)
         && c->scored_restart == q->is_restart && c->scored_interference == q->allow_interference
         && c->scored_isolated == q->is_isolated && c->scored_avoided == q->allow_avoided;
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
bool
dispatch_may_use_restricted (const struct dispatcher *d, const struct candidates *c,
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
                                  .is_isolated = dispatch_is_isolated (t),
                                  .is_repeatable = dispatch_is_repeatable (t),
                                  .can_probe = s->estimate_ms >= PROBE_MIN_ESTIMATE_MS
                                               || dispatch_may_use_restricted (d, c, t) };
}

size_t
dispatch_choose (struct dispatcher *d, struct candidates *c, const struct waiting_task *t)
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
  if (index == WORKER_SELECT_NONE && dispatch_may_use_restricted (d, c, t->task)
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
size_t
dispatch_choose_for_copy (struct dispatcher *d, struct candidates *c, const struct waiting_task *t)
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
  size_t index = dispatch_choose (d, c, t);
  c->pool = NULL; /* sets USABLE again */
  c->scored = NULL;
  return index;
}

void
dispatch_free_candidates (struct candidates *c)
{
  free (c->workers);
  free (c->candidates);
  free (c->scores);
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
  dispatch_list_candidates (d, &c);
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
  dispatch_free_candidates (&c);
}
