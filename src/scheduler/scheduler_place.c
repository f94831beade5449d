/* Rounds of placement: urgent first, customers by weighted dominant share, preemption.  */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

#define ROUND_MS 1000
#define MAX_PLACED 2048   /* per round; the next tick goes on */
#define MAX_ASIDE 32      /* tasks of one class that are passed over in a round */
#define MAX_FAILED 32     /* sizes known not to fit in this round */
#define PREEMPT_SAMPLE 64 /* workers looked at for victims */
#define MAX_CANDIDATES 64
#define ROOM_MS 5000           /* a preempted worker's room is kept this long */
#define COLLECT_LIFE_MS 300000 /* a batch task collects room this long */
#define COLLECT_MS 60000       /* before its latest start a task may collect room */
#define WORKERS_PER_ROOM 16

/* Replicas of one service share a worker only when nothing else is free.  */
#define SAME_WORKER_HARM 0.1

/* Batch tasks leave room for what urgent tasks are likely to ask for in one window.  */
#define DEMAND_WINDOW_MS 10000
#define DEMAND_RATE 0.1
#define DEMAND_DEVIATIONS 3.0
#define MAX_HEADROOM 0.08 /* of all processors */
#define CRITICAL_MS 5000  /* before its latest start a batch task may use the headroom */

struct failed_size
{
  const struct sched_class *cls;
  struct order_amount need;
};

struct round
{
  struct scheduler *s;
  bool urgent;
  size_t aside;
  size_t placed;
  double spare; /* free millicores beyond the headroom */
  struct failed_size failed[MAX_FAILED];
  size_t failed_count;
};

struct choice
{
  struct scheduler *s;
  struct sched_task *st;
};

static double
harm_at (void *ctx, size_t row)
{
  const struct choice *c = ctx;
  const struct sched_worker *w = c->s->workers[row];
  if (sched_is_urgent (c->st))
    return sched_harm_urgent (c->s, w, c->st) + (w->mark == c->s->mark ? SAME_WORKER_HARM : 0);
  return sched_harm_batch (c->s, w, c->st);
}

static bool
avoid_at (void *ctx, size_t row)
{
  const struct choice *c = ctx;
  const struct cell_task *t = c->st->t;
  const struct sched_worker *w = c->s->workers[row];
  if (w->health.quarantined && sched_is_urgent (c->st))
    return true;
  if (t->failures == 0 || c->s->worker_count <= CELL_FAILED_WORKERS
      || sched_policy (c->s, SCHEDULER_NO_QUARANTINE))
    return false;
  for (int i = 0; i < CELL_FAILED_WORKERS; i++)
    if (strcmp (t->failed_on[i], w->id) == 0)
      return true;
  return false;
}

/* Tasks of the job per rack, for the spread; NULL when it does not matter.  */
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
    const struct sched_worker *w = o ? (o->worker ? o->worker : o->room) : NULL;
    if (w && w->announced)
      s->rack_counts[w->rack]++;
  }
  return s->rack_counts;
}

static struct placement_request
request_for (struct choice *c, const struct order_amount *need)
{
  struct scheduler *s = c->s;
  struct placement_request q = {
    .millicores = (uint32_t)need->millicores,
    .memory_mb = (uint32_t)need->memory_mb,
    .accelerators = (uint32_t)need->accelerators,
    .urgent = sched_is_urgent (c->st),
    .noise = sched_is_urgent (c->st) ? 0 : fmin (interference_noise (s->model, c->st->cls->id), 1),
    .max_per_rack = c->st->t->job->spec.max_per_rack,
    .rack_counts = count_racks (s, c->st),
    .first_fit = sched_policy (s, SCHEDULER_FIRST_FIT),
    .harm = sched_policy (s, SCHEDULER_NO_LEARNING) ? NULL : harm_at,
    .avoid = avoid_at,
    .ctx = c,
  };
  return q;
}

static void
place (struct scheduler *s, struct sched_task *st, struct sched_worker *w)
{
  cell_command cmd;
  cell_place *p = &cmd.cell_command_u.place;
  sched_unreserve (s, st);
  sched_hold (s, st, w);
  if (sched_is_urgent (st))
    {
      s->demand_now += (double)st->hold.millicores;
      if (!sched_policy (s, SCHEDULER_NO_LEARNING))
        sched_guard_arrival (s, w);
    }
  if (w->health.quarantined)
    {
      worker_health_probe (&w->health);
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
over (uint64_t used, uint64_t need, uint64_t max)
{
  return need > 0 && used + need > max;
}

static bool
plan_allows (const struct sched_customer *c, const struct order_amount *need)
{
  const struct scheduler_quota *q = &c->quota;
  return c->known && !over (c->used.millicores, need->millicores, q->max_millicores)
         && !over (c->used.memory_mb, need->memory_mb, q->max_memory_mb)
         && !over (c->used.accelerators, need->accelerators, q->max_accelerators);
}

/* Preemption.  */

static uint64_t
short_of (uint64_t need, uint64_t total, uint64_t used)
{
  uint64_t room = used < total ? total - used : 0;
  return need > room ? need - room : 0;
}

static struct order_amount
missing_on (const struct sched_worker *w, const struct order_amount *need)
{
  struct order_amount m = {
    short_of (need->millicores, w->total.millicores,
              w->held.millicores + w->unplaced.millicores + w->reserved.millicores),
    short_of (need->memory_mb, w->total.memory_mb,
              w->held.memory_mb + w->unplaced.memory_mb + w->reserved.memory_mb),
    short_of (need->accelerators, w->total.accelerators,
              w->held.accelerators + w->unplaced.accelerators + w->reserved.accelerators),
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
    if (sched_is_urgent (st) || st->held_epoch == 0 || st->t->state == CELL_STOPPING
        || st->want_stop != CELL_STOP_NONE || count == MAX_CANDIDATES)
      continue;
    uint32_t planned = 0;
    for (size_t i = 0; i < count; i++)
      planned += ((struct sched_task *)out[i].owner)->customer == st->customer;
    if (sched_may_evict (s, st, planned))
      sched_candidate (s, w, st, &out[count++]);
  }
  return count;
}

static bool
victims_on (struct scheduler *s, const struct sched_worker *w, const struct order_amount *need,
            struct eviction_candidate *cs, struct eviction_choice *out)
{
  if (w->total.millicores < need->millicores || w->total.memory_mb < need->memory_mb
      || w->total.accelerators < need->accelerators)
    return false;
  struct order_amount missing = missing_on (w, need);
  size_t count = candidates_on (s, w, cs);
  return eviction_choose (cs, count, &missing, sched_policy (s, SCHEDULER_EVICT_NEWEST), out);
}

static bool
row_allows (const struct scheduler *s, size_t row, const struct placement_request *q)
{
  const struct placement_row *r = &s->rows[row];
  if (!r->usable || q->avoid (q->ctx, row))
    return false;
  return q->max_per_rack == 0 || !q->rack_counts || q->rack_counts[r->rack] < q->max_per_rack;
}

/* Stops the cheapest batch tasks that make room for an urgent task, and keeps the room for it.  */
static bool
preempt (struct scheduler *s, struct sched_task *st, const struct placement_request *q,
         const struct order_amount *need)
{
  struct eviction_candidate cs[MAX_CANDIDATES];
  struct eviction_choice choice;
  struct sched_worker *best = NULL;
  double best_cost = 0;
  size_t at = q->first_fit ? 0 : (size_t)rng_below (&s->rng, s->worker_count);
  for (size_t k = 0, seen = 0; k < s->worker_count && seen < PREEMPT_SAMPLE; k++, at++)
    {
      if (at >= s->worker_count)
        at = 0;
      struct sched_worker *w = s->workers[at];
      if (!row_allows (s, at, q) || !victims_on (s, w, need, cs, &choice))
        continue;
      seen++;
      if (best && choice.cost >= best_cost)
        continue;
      best = w;
      best_cost = choice.cost;
      if (q->first_fit)
        break;
    }
  if (!best || !victims_on (s, best, need, cs, &choice))
    return false;
  sched_reserve (s, st, best, s->now_ms + ROOM_MS);
  for (size_t i = 0; i < choice.count; i++)
    sched_stop (s, cs[choice.victims[i]].owner, CELL_STOP_PREEMPT);
  return true;
}

/* Rounds.  */

static bool
known_not_to_fit (const struct round *r, const struct sched_task *st,
                  const struct order_amount *need)
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
note_failed (struct round *r, const struct sched_task *st, const struct order_amount *need)
{
  /* A spread limit or earlier failures narrow the choice for this task alone.  */
  if (st->t->failures > 0 || st->t->job->spec.max_per_rack > 0 || r->failed_count == MAX_FAILED)
    return;
  r->failed[r->failed_count].cls = st->cls;
  r->failed[r->failed_count++].need = *need;
}

static bool
may_collect (const struct scheduler *s, const struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  if (sched_is_urgent (st) || sched_policy (s, SCHEDULER_FIFO)
      || s->room_count > s->worker_count / WORKERS_PER_ROOM)
    return false;
  int64_t now = cell_log_time (s->cell, s->now_ms);
  if (now - j->submitted_ms >= ORDER_AGE_BOUND_MS)
    return true;
  return j->deadline_ms > 0 && st->item.key <= now + COLLECT_MS;
}

/* A task that fits nowhere and is aged or close to its latest start collects the room that becomes
   free on one worker: small tasks would take each piece before it.  */
static bool
collect_room (struct scheduler *s, struct sched_task *st, const struct order_amount *need)
{
  if (!may_collect (s, st))
    return false;
  struct choice c = { s, st };
  struct sched_worker *best = NULL;
  for (size_t i = 0; i < s->worker_count; i++)
    {
      struct sched_worker *w = s->workers[i];
      if (!s->rows[i].usable || w->health.quarantined || w->reserved.millicores > 0
          || w->total.millicores < need->millicores || w->total.memory_mb < need->memory_mb
          || w->total.accelerators < need->accelerators || avoid_at (&c, i)
          || sched_harm_batch (s, w, st) >= PLACEMENT_REFUSED)
        continue;
      if (!best || s->rows[i].free_millicores > s->rows[best->row].free_millicores)
        best = w;
    }
  if (!best)
    return false;
  sched_reserve (s, st, best, s->now_ms + COLLECT_LIFE_MS);
  return true;
}

static void
follow_demand (struct scheduler *s)
{
  if (s->now_ms - s->demand_ms < DEMAND_WINDOW_MS)
    return;
  double error = s->demand_now - s->demand_mean;
  s->demand_mean += DEMAND_RATE * error;
  s->demand_deviation += DEMAND_RATE * (fabs (error) - s->demand_deviation);
  s->demand_now = 0;
  s->demand_ms = s->now_ms;
}

static double
spare_processors (const struct scheduler *s)
{
  if (sched_policy (s, SCHEDULER_NO_LEARNING))
    return INFINITY;
  double spare = 0;
  for (size_t i = 0; i < s->worker_count; i++)
    if (s->rows[i].usable)
      spare += s->rows[i].free_millicores;
  double headroom = s->demand_mean + DEMAND_DEVIATIONS * s->demand_deviation;
  return spare - fmin (headroom, MAX_HEADROOM * (double)s->total.millicores);
}

static bool
takes_headroom (const struct round *r, const struct sched_task *st, const struct order_amount *need)
{
  if (r->urgent || (double)need->millicores <= r->spare)
    return false;
  bool critical = st->t->job->deadline_ms > 0
                  && st->item.key <= cell_log_time (r->s->cell, r->s->now_ms) + CRITICAL_MS;
  return !critical;
}

static bool
try_place (struct round *r, struct sched_task *st)
{
  struct scheduler *s = r->s;
  struct choice c = { s, st };
  struct order_amount need = sched_need (s, st);
  if (known_not_to_fit (r, st, &need) || takes_headroom (r, st, &need))
    return collect_room (s, st, &need);
  struct placement_request q = request_for (&c, &need);
  size_t row = placement_choose (s->rows, s->worker_count, &q, &s->rng);
  if (row == PLACEMENT_NONE && r->urgent && preempt (s, st, &q, &need))
    return true;
  if (row == PLACEMENT_NONE && r->urgent && q.harm)
    {
      /* Late is worse than slowed down.  */
      q.harm = NULL;
      row = placement_choose (s->rows, s->worker_count, &q, &s->rng);
    }
  if (row != PLACEMENT_NONE)
    {
      place (s, st, s->workers[row]);
      r->spare -= (double)need.millicores;
      r->placed++;
      return true;
    }
  if (collect_room (s, st, &need))
    return true;
  note_failed (r, st, &need);
  return false;
}

/* The class with the most urgent waiting task; a class that does not fit hides no other.  */
static struct sched_class *
next_class (const struct sched_customer *c, bool urgent)
{
  struct sched_class *best = NULL;
  struct sched_class *cls;
  LIST_FOREACH (cls, &c->classes, link)
  {
    const struct order_item *first = order_first (&cls->queue);
    if (!first || cls->urgent != urgent || cls->aside >= MAX_ASIDE)
      continue;
    const struct order_item *other = best ? order_first (&best->queue) : NULL;
    if (!other || first->key < other->key || (first->key == other->key && first->tie < other->tie))
      best = cls;
  }
  return best;
}

/* The customer with the smallest share; OUT is its class to serve.  */
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
    double share = sched_policy (s, SCHEDULER_FIFO)
                       ? (double)order_first (&cls->queue)->key
                       : order_share (&c->used, &s->total, c->quota.weight);
    if (best && share >= best_share)
      continue;
    best = c;
    best_share = share;
    *out = cls;
  }
  return best;
}

static void
set_aside (struct round *r, struct sched_class *cls, struct order_item *i)
{
  struct scheduler *s = r->s;
  if (r->aside == s->aside_capacity)
    {
      s->aside_capacity = s->aside_capacity ? 2 * s->aside_capacity : 256;
      s->aside = xrealloc (s->aside, s->aside_capacity * sizeof (void *));
    }
  s->aside[r->aside++] = i;
  cls->aside++;
}

/* A deadline that was lost while the task waited no longer moves it forward.  */
static bool
rekeyed (struct scheduler *s, struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  if (j->deadline_ms == 0 || sched_is_urgent (st) || sched_policy (s, SCHEDULER_FIFO))
    return false;
  int64_t key = sched_key (s, st);
  if (key <= st->item.key)
    return false;
  st->item.key = key;
  order_push (&st->cls->queue, &st->item);
  return true;
}

static void
serve_class (struct round *r, struct sched_customer *c, struct sched_class *cls)
{
  struct order_item *i = order_pop (&cls->queue);
  struct sched_task *st = i->owner;
  if (rekeyed (r->s, st))
    return;
  struct order_amount need = sched_need (r->s, st);
  if (!plan_allows (c, &need) || !try_place (r, st))
    set_aside (r, cls, i);
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
    cls->aside = 0;
  }
  while (r.placed < MAX_PLACED && (c = next_customer (&r, &cls)))
    serve_class (&r, c, cls);
  for (size_t i = 0; i < r.aside; i++)
    {
      struct sched_task *st = s->aside[i]->owner;
      order_push (&st->cls->queue, &st->item);
    }
  if (r.placed >= MAX_PLACED)
    s->round_needed = true;
}

static void
place_waiting (struct scheduler *s)
{
  struct sched_task *st;
  struct sched_task *next;
  for (st = TAILQ_FIRST (&s->waiting); st; st = next)
    {
      next = TAILQ_NEXT (st, room_link);
      struct sched_worker *w = st->room;
      struct order_amount need = sched_need (s, st);
      bool usable = s->rows[w->row].usable && plan_allows (st->customer, &need);
      if (usable && sched_fits (w, &need, &st->room_amount))
        place (s, st, w);
      else if (!usable || s->now_ms >= st->room_until_ms)
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
  const struct order_item *i;
  while ((i = order_first (&s->delayed)) && i->key <= now)
    {
      struct sched_task *st = order_pop (&s->delayed)->owner;
      st->delayed = false;
      sched_enqueue (s, st);
    }
}

void
sched_place_round (struct scheduler *s)
{
  queue_delayed (s);
  follow_demand (s);
  if (!sched_permit (s) || s->worker_count == 0)
    return;
  place_waiting (s);
  if (!s->round_needed && s->now_ms - s->round_ms < ROUND_MS)
    return;
  s->round_needed = false;
  s->round_ms = s->now_ms;
  run_round (s, true);
  run_round (s, false);
}
