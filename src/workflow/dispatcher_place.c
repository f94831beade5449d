/* Order of waiting tasks, and their placements.  */
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "dispatcher_candidates.h"
#include "relocation.h"
#include "waiting_order.h"

#define WORKER_DISCOVERY_MS 5000 /* of leadership: three heartbeats of every worker */
#define MAX_UNPLACEABLE 64       /* images x a few sizes */
#define MAX_PLACED_PER_TICK 64   /* bounds the time of a tick; 3,200 placements a second */
#define MILLI 1000

static struct counter copied = { .name = "sassafras_copies_total",
                                 .help = "Second runs of tasks whose first run is uncertain." };

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
                                       .started = workflow_job_placed (j),
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
    if (n > 0 && !is_lasting && !(*out)[n - 1].is_copy
        && dispatch_is_same_step ((*out)[n - 1].task, t))
      (*out)[n].key = (*out)[n - 1].key;
    else
      set_key (d, &(*out)[n]);
    n++;
  }
  if (n > 0)
    qsort (*out, n, sizeof **out, compare_waiting);
  return n;
}

static void
isolate (const struct dispatcher *d, struct dispatch_worker *w, const struct workflow_task *t)
{
  if (dispatch_is_isolated (t))
    w->isolated_until_ms = d->now_ms + CRASH_ISOLATION_MS;
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
  if (dispatch_is_same_step (a->task, b->task))
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
  if (w->key.rank == WAITING_RESTART || dispatch_is_isolated (w->task))
    return false;
  if (n->last && dispatch_is_same_step (n->last->task, w->task))
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
  if (!t.queue || dispatch_choose (d, c, &t) == WORKER_SELECT_NONE)
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
  bool has_candidates = (n > 0 || has_slow_pace (d)) && dispatch_list_candidates (d, &c);
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
            = &unplaceables[dispatch_may_use_restricted (d, &c, waiting[i].task)];
        if (is_unplaceable (unplaceable, &waiting[i]))
          {
            unplaceable->last = &waiting[i];
            count_waiting (d, &waiting[i], false);
            continue;
          }
        size_t index = waiting[i].is_copy ? dispatch_choose_for_copy (d, &c, &waiting[i])
                                          : dispatch_choose (d, &c, &waiting[i]);
        if (index == WORKER_SELECT_NONE && waiting[i].is_copy)
          continue;
        if (index == WORKER_SELECT_NONE)
          {
            count_waiting (d, &waiting[i], false);
            if (dispatch_is_isolated (waiting[i].task))
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
        dispatch_update_candidate (d, c.workers[index], &c.candidates[index]);
        c.placed_at = index;
        placed++;
        d->waiting--;
      }
  dispatch_free_candidates (&c);
  free (waiting);
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
         && (!s->required_label[0] || dispatch_has_label (w, s->required_label));
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
        bool counts = w->described && !w->gone && strcmp (w->pool, pool) == 0;
        known += counts;
        fits = fits || (counts && could_run (w, &spec->steps.steps_val[i]));
      }
      if (known > 0 && !fits)
        return false;
    }
  return true;
}
