/* Placement rounds: urgent tasks first, customers by weighted dominant share, preemption.  */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

#define ROUND_PERIOD_MS 1000
#define MAX_PLACED 2048     /* per round; the next tick continues */
#define MAX_SKIPPED 32      /* tasks of one class skipped in a round */
#define MAX_FAILED_SIZES 32 /* sizes known not to fit in this round */
#define PREEMPT_SAMPLE 64   /* workers examined for victims */
#define MAX_CANDIDATES 64
#define PREEMPT_RESERVATION_MS 5000   /* capacity freed by preemption stays reserved this long */
#define BATCH_RESERVATION_MS 300000   /* free capacity is collected for a batch task this long */
#define RESERVE_BEFORE_START_MS 60000 /* before its latest start a task may reserve capacity */
#define WORKERS_PER_RESERVATION 16

/* Keeps replicas of one service apart.  Never applied: no code writes sched_worker.mark.  */
#define SAME_WORKER_ADDED_SLOWDOWN 0.1

/* Batch tasks leave headroom for the urgent demand expected in one window.  */
#define DEMAND_WINDOW_MS 10000
#define DEMAND_RATE_PER_WINDOW 0.1
#define DEMAND_DEVIATIONS 3.0
#define MAX_HEADROOM_SHARE 0.08       /* of all processors */
#define HEADROOM_START_MARGIN_MS 5000 /* before its latest start a task may use the headroom */

struct failed_size
{
  const struct sched_class *cls;
  struct resource_amount need;
};

struct round
{
  struct scheduler *s;
  bool urgent;
  size_t skipped;
  size_t placed;
  double spare; /* free millicores beyond the headroom */
  struct failed_size failed[MAX_FAILED_SIZES];
  size_t failed_count;
};

struct placement_context
{
  struct scheduler *s;
  struct sched_task *st;
};

static double
interference_at (void *ctx, size_t row)
{
  const struct placement_context *c = ctx;
  const struct sched_worker *w = c->s->workers[row];
  if (sched_is_urgent (c->st))
    return sched_urgent_interference (c->s, w, c->st)
           + (w->mark == c->s->mark ? SAME_WORKER_ADDED_SLOWDOWN : 0);
  return sched_batch_interference (c->s, w, c->st);
}

static bool
avoid_at (void *ctx, size_t row)
{
  const struct placement_context *c = ctx;
  const struct cell_task *t = c->st->t;
  const struct sched_worker *w = c->s->workers[row];
  if (w->health.quarantined && sched_is_urgent (c->st))
    return true;
  if (t->failures == 0 || c->s->worker_count <= CELL_FAILED_WORKERS
      || sched_has_policy (c->s, SCHEDULER_NO_QUARANTINE))
    return false;
  for (int i = 0; i < CELL_FAILED_WORKERS; i++)
    if (strcmp (t->failed_on[i], w->id) == 0)
      return true;
  return false;
}

/* Tasks of the job per rack, NULL when it need not be spread over racks.  Raises s->mark.  */
static const uint32_t *
count_racks (struct scheduler *s, const struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  s->mark++;
  if (j->spec.replicas < 2 || (j->spec.max_per_rack == 0 && j->spec.kind != CELL_URGENT))
    return NULL;
  memset (s->rack_counts, 0, s->rack_count * sizeof *s->rack_counts);
  const struct cell_task *t;
  STAILQ_FOREACH (t, &j->tasks, link)
  {
    const struct sched_task *o = t->observer_data;
    const struct sched_worker *w = o ? (o->worker ? o->worker : o->reserved_worker) : NULL;
    if (w && w->announced)
      s->rack_counts[w->rack]++;
  }
  return s->rack_counts;
}

static struct placement_request
request_for (struct placement_context *c, const struct resource_amount *need)
{
  struct scheduler *s = c->s;
  struct placement_request q = {
    .millicores = (uint32_t)need->millicores,
    .memory_mb = (uint32_t)need->memory_mb,
    .accelerators = (uint32_t)need->accelerators,
    .urgent = sched_is_urgent (c->st),
    .noise = sched_is_urgent (c->st)
                 ? 0
                 : fmin (interference_max_coefficient (s->model, c->st->cls->id), 1),
    .max_per_rack = c->st->t->job->spec.max_per_rack,
    .rack_counts = count_racks (s, c->st),
    .first_fit = sched_has_policy (s, SCHEDULER_FIRST_FIT),
    .interference = sched_has_policy (s, SCHEDULER_NO_LEARNING) ? NULL : interference_at,
    .avoid = avoid_at,
    .ctx = c,
  };
  return q;
}

static void
propose_placement (struct scheduler *s, struct sched_task *st, struct sched_worker *w)
{
  cell_command cmd;
  cell_place *p = &cmd.cell_command_u.place;
  sched_unreserve (s, st);
  sched_allocate (s, st, w);
  if (sched_is_urgent (st))
    {
      s->demand_now += (double)st->allocated.millicores;
      if (!sched_has_policy (s, SCHEDULER_NO_LEARNING))
        sched_throttle_for_arrival (s, w);
    }
  if (w->health.quarantined)
    {
      worker_health_begin_probe (&w->health);
      w->probe_task = st->t->id;
      sched_update_row (s, w);
    }
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_PLACE;
  p->task = st->t->id;
  p->epoch = st->t->epoch;
  p->worker = xstrdup (w->id);
  p->incarnation = w->incarnation;
  sched_propose (s, &cmd, st);
}

static bool
exceeds_plan (uint64_t used, uint64_t need, uint64_t max)
{
  return need > 0 && used + need > max;
}

static bool
plan_allows (const struct sched_customer *c, const struct resource_amount *need)
{
  const struct scheduler_quota *q = &c->quota;
  return c->known && !exceeds_plan (c->used.millicores, need->millicores, q->max_millicores)
         && !exceeds_plan (c->used.memory_mb, need->memory_mb, q->max_memory_mb)
         && !exceeds_plan (c->used.accelerators, need->accelerators, q->max_accelerators);
}

/* Preemption.  */

static uint64_t
shortfall (uint64_t need, uint64_t total, uint64_t used)
{
  uint64_t unused = used < total ? total - used : 0;
  return need > unused ? need - unused : 0;
}

static struct resource_amount
shortfall_on (const struct sched_worker *w, const struct resource_amount *need)
{
  struct resource_amount m = {
    shortfall (need->millicores, w->total.millicores,
               w->allocated.millicores + w->unmatched.millicores + w->reserved.millicores),
    shortfall (need->memory_mb, w->total.memory_mb,
               w->allocated.memory_mb + w->unmatched.memory_mb + w->reserved.memory_mb),
    shortfall (need->accelerators, w->total.accelerators,
               w->allocated.accelerators + w->unmatched.accelerators + w->reserved.accelerators),
  };
  return m;
}

static size_t
candidates_on (struct scheduler *s, const struct sched_worker *w, struct eviction_candidate *out)
{
  size_t count = 0;
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    if (sched_is_urgent (st) || st->allocated_epoch == 0 || st->t->state == CELL_STOPPING
        || st->requested_stop != CELL_STOP_NONE || count == MAX_CANDIDATES)
      continue;
    uint32_t planned = 0;
    for (size_t i = 0; i < count; i++)
      planned += ((struct sched_task *)out[i].owner)->customer == st->customer;
    if (sched_may_evict (s, st, planned))
      sched_eviction_candidate (s, w, st, &out[count++]);
  }
  return count;
}

static bool
victims_on (struct scheduler *s, const struct sched_worker *w, const struct resource_amount *need,
            struct eviction_candidate *candidates, struct eviction_choice *out)
{
  if (w->total.millicores < need->millicores || w->total.memory_mb < need->memory_mb
      || w->total.accelerators < need->accelerators)
    return false;
  struct resource_amount worker_shortfall = shortfall_on (w, need);
  size_t count = candidates_on (s, w, candidates);
  return eviction_choose (candidates, count, &worker_shortfall,
                          sched_has_policy (s, SCHEDULER_EVICT_NEWEST), out);
}

static bool
row_allows (const struct scheduler *s, size_t row, const struct placement_request *q)
{
  const struct placement_row *r = &s->rows[row];
  if (!r->usable || q->avoid (q->ctx, row))
    return false;
  return q->max_per_rack == 0 || !q->rack_counts || q->rack_counts[r->rack] < q->max_per_rack;
}

/* Stops the cheapest batch tasks that free capacity for an urgent task, and reserves it.  */
static bool
preempt (struct scheduler *s, struct sched_task *st, const struct placement_request *q,
         const struct resource_amount *need)
{
  struct eviction_candidate candidates[MAX_CANDIDATES];
  struct eviction_choice choice;
  struct sched_worker *best = NULL;
  double best_cost = 0;
  size_t at = q->first_fit ? 0 : (size_t)rng_below (&s->rng, s->worker_count);
  for (size_t k = 0, seen = 0; k < s->worker_count && seen < PREEMPT_SAMPLE; k++, at++)
    {
      if (at >= s->worker_count)
        at = 0;
      struct sched_worker *w = s->workers[at];
      if (!row_allows (s, at, q) || !victims_on (s, w, need, candidates, &choice))
        continue;
      seen++;
      if (best && choice.cost >= best_cost)
        continue;
      best = w;
      best_cost = choice.cost;
      if (q->first_fit)
        break;
    }
  if (!best || !victims_on (s, best, need, candidates, &choice))
    return false;
  sched_reserve (s, st, best, s->now_ms + PREEMPT_RESERVATION_MS);
  for (size_t i = 0; i < choice.count; i++)
    sched_stop (s, candidates[choice.victims[i]].owner, CELL_STOP_PREEMPT);
  return true;
}

/* Placement rounds.  */

static bool
known_not_to_fit (const struct round *r, const struct sched_task *st,
                  const struct resource_amount *need)
{
  for (size_t i = 0; i < r->failed_count; i++)
    {
      const struct failed_size *f = &r->failed[i];
      if (f->cls == st->cls && need->millicores >= f->need.millicores
          && need->memory_mb >= f->need.memory_mb && need->accelerators >= f->need.accelerators)
        return true;
    }
  return false;
}

static void
record_failed_size (struct round *r, const struct sched_task *st,
                    const struct resource_amount *need)
{
  /* A rack limit or earlier failures restrict the choice for this task only.  */
  if (st->t->failures > 0 || st->t->job->spec.max_per_rack > 0
      || r->failed_count == MAX_FAILED_SIZES)
    return;
  r->failed[r->failed_count].cls = st->cls;
  r->failed[r->failed_count++].need = *need;
}

static bool
may_reserve (const struct scheduler *s, const struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  if (sched_is_urgent (st) || sched_has_policy (s, SCHEDULER_FIFO)
      || s->reservation_count > s->worker_count / WORKERS_PER_RESERVATION)
    return false;
  int64_t now = cell_log_time (s->cell, s->now_ms);
  if (now - j->submitted_ms >= TASK_QUEUE_AGE_BOUND_MS)
    return true;
  return j->deadline_ms > 0 && st->item.key <= now + RESERVE_BEFORE_START_MS;
}

/* Reserves the capacity that becomes free on one worker for a task that fits nowhere and is aged or
   close to its latest start: otherwise small tasks would take each piece first.  */
static bool
reserve_worker (struct scheduler *s, struct sched_task *st, const struct resource_amount *need)
{
  if (!may_reserve (s, st))
    return false;
  struct placement_context c = { s, st };
  struct sched_worker *best = NULL;
  for (size_t i = 0; i < s->worker_count; i++)
    {
      struct sched_worker *w = s->workers[i];
      if (!s->rows[i].usable || w->health.quarantined || w->reserved.millicores > 0
          || w->total.millicores < need->millicores || w->total.memory_mb < need->memory_mb
          || w->total.accelerators < need->accelerators || avoid_at (&c, i)
          || sched_batch_interference (s, w, st) >= PLACEMENT_REFUSED)
        continue;
      if (!best || s->rows[i].free_millicores > s->rows[best->row].free_millicores)
        best = w;
    }
  if (!best)
    return false;
  sched_reserve (s, st, best, s->now_ms + BATCH_RESERVATION_MS);
  return true;
}

static void
update_demand (struct scheduler *s)
{
  if (s->now_ms - s->demand_ms < DEMAND_WINDOW_MS)
    return;
  double error = s->demand_now - s->demand_mean;
  s->demand_mean += DEMAND_RATE_PER_WINDOW * error;
  s->demand_deviation += DEMAND_RATE_PER_WINDOW * (fabs (error) - s->demand_deviation);
  s->demand_now = 0;
  s->demand_ms = s->now_ms;
}

static double
spare_processors (const struct scheduler *s)
{
  if (sched_has_policy (s, SCHEDULER_NO_LEARNING))
    return INFINITY;
  double spare = 0;
  for (size_t i = 0; i < s->worker_count; i++)
    if (s->rows[i].usable)
      spare += s->rows[i].free_millicores;
  double headroom = s->demand_mean + DEMAND_DEVIATIONS * s->demand_deviation;
  return spare - fmin (headroom, MAX_HEADROOM_SHARE * (double)s->total.millicores);
}

static bool
takes_headroom (const struct round *r, const struct sched_task *st,
                const struct resource_amount *need)
{
  if (r->urgent || (double)need->millicores <= r->spare)
    return false;
  bool critical
      = st->t->job->deadline_ms > 0
        && st->item.key <= cell_log_time (r->s->cell, r->s->now_ms) + HEADROOM_START_MARGIN_MS;
  return !critical;
}

static bool
try_place (struct round *r, struct sched_task *st)
{
  struct scheduler *s = r->s;
  struct placement_context c = { s, st };
  struct resource_amount need = sched_need (s, st);
  if (known_not_to_fit (r, st, &need) || takes_headroom (r, st, &need))
    return reserve_worker (s, st, &need);
  struct placement_request q = request_for (&c, &need);
  size_t row = placement_choose (s->rows, s->worker_count, &q, &s->rng);
  if (row == PLACEMENT_NONE && r->urgent && preempt (s, st, &q, &need))
    return true;
  if (row == PLACEMENT_NONE && r->urgent && q.interference)
    {
      /* A start beside noisy tasks is better than a late start.  */
      q.interference = NULL;
      row = placement_choose (s->rows, s->worker_count, &q, &s->rng);
    }
  if (row != PLACEMENT_NONE)
    {
      propose_placement (s, st, s->workers[row]);
      r->spare -= (double)need.millicores;
      r->placed++;
      return true;
    }
  if (reserve_worker (s, st, &need))
    return true;
  record_failed_size (r, st, &need);
  return false;
}

/* The class with the most urgent waiting task; one that does not fit does not block others.  */
static struct sched_class *
next_class (const struct sched_customer *c, bool urgent)
{
  struct sched_class *best = NULL;
  struct sched_class *cls;
  LIST_FOREACH (cls, &c->classes, link)
  {
    const struct task_queue_item *first = task_queue_first (&cls->queue);
    if (!first || cls->urgent != urgent || cls->skipped >= MAX_SKIPPED)
      continue;
    const struct task_queue_item *other = best ? task_queue_first (&best->queue) : NULL;
    if (!other || first->key < other->key
        || (first->key == other->key && first->tie_breaker < other->tie_breaker))
      best = cls;
  }
  return best;
}

/* The customer with the smallest share; OUT is the class to place from.  */
static struct sched_customer *
next_customer (const struct round *r, struct sched_class **out)
{
  struct scheduler *s = r->s;
  struct sched_customer *best = NULL;
  double best_share = 0;
  struct sched_customer *c;
  LIST_FOREACH (c, &s->customers, link)
  {
    struct sched_class *cls = c->blocked ? NULL : next_class (c, r->urgent);
    if (!cls)
      continue;
    double share = sched_has_policy (s, SCHEDULER_FIFO)
                       ? (double)task_queue_first (&cls->queue)->key
                       : dominant_share (&c->used, &s->total, c->quota.weight);
    if (best && share >= best_share)
      continue;
    best = c;
    best_share = share;
    *out = cls;
  }
  return best;
}

static void
skip_task (struct round *r, struct sched_class *cls, struct task_queue_item *i)
{
  struct scheduler *s = r->s;
  if (r->skipped == s->skipped_capacity)
    {
      s->skipped_capacity = s->skipped_capacity ? 2 * s->skipped_capacity : 256;
      s->skipped = xrealloc (s->skipped, s->skipped_capacity * sizeof (void *));
    }
  s->skipped[r->skipped++] = i;
  cls->skipped++;
}

/* A deadline that was lost while the task waited no longer advances the task.  */
static bool
requeue_after_lost_deadline (struct scheduler *s, struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  if (j->deadline_ms == 0 || sched_is_urgent (st) || sched_has_policy (s, SCHEDULER_FIFO))
    return false;
  int64_t key = sched_key (s, st);
  if (key <= st->item.key)
    return false;
  st->item.key = key;
  task_queue_push (&st->cls->queue, &st->item);
  return true;
}

static void
place_from_class (struct round *r, struct sched_customer *c, struct sched_class *cls)
{
  struct task_queue_item *i = task_queue_pop (&cls->queue);
  struct sched_task *st = i->owner;
  if (requeue_after_lost_deadline (r->s, st))
    return;
  struct resource_amount need = sched_need (r->s, st);
  if (!plan_allows (c, &need) || !try_place (r, st))
    skip_task (r, cls, i);
}

static void
run_round (struct scheduler *s, bool urgent)
{
  struct round r = { .s = s, .urgent = urgent, .spare = spare_processors (s) };
  struct sched_customer *c;
  struct sched_class *cls;
  LIST_FOREACH (c, &s->customers, link)
  {
    c->blocked = !c->known;
    LIST_FOREACH (cls, &c->classes, link)
    cls->skipped = 0;
  }
  while (r.placed < MAX_PLACED && (c = next_customer (&r, &cls)))
    place_from_class (&r, c, cls);
  for (size_t i = 0; i < r.skipped; i++)
    {
      struct sched_task *st = s->skipped[i]->owner;
      task_queue_push (&st->cls->queue, &st->item);
    }
  if (r.placed >= MAX_PLACED)
    s->round_needed = true;
}

static void
place_reserved (struct scheduler *s)
{
  struct sched_task *st;
  struct sched_task *next;
  for (st = TAILQ_FIRST (&s->reservations); st; st = next)
    {
      next = TAILQ_NEXT (st, reservation_link);
      struct sched_worker *w = st->reserved_worker;
      struct resource_amount need = sched_need (s, st);
      bool usable = s->rows[w->row].usable && plan_allows (st->customer, &need);
      if (usable && sched_fits (w, &need, &st->reserved_amount))
        propose_placement (s, st, w);
      else if (!usable || s->now_ms >= st->reserved_until_ms)
        {
          sched_unreserve (s, st);
          sched_enqueue (s, st);
        }
    }
}

static void
queue_delayed (struct scheduler *s)
{
  int64_t now = cell_log_time (s->cell, s->now_ms);
  const struct task_queue_item *i;
  while ((i = task_queue_first (&s->delayed)) && i->key <= now)
    {
      struct sched_task *st = task_queue_pop (&s->delayed)->owner;
      st->delayed = false;
      sched_enqueue (s, st);
    }
}

void
sched_place_round (struct scheduler *s)
{
  queue_delayed (s);
  update_demand (s);
  if (!sched_may_start (s) || s->worker_count == 0)
    return;
  place_reserved (s);
  if (!s->round_needed && s->now_ms - s->round_ms < ROUND_PERIOD_MS)
    return;
  s->round_needed = false;
  s->round_ms = s->now_ms;
  run_round (s, true);
  run_round (s, false);
}
