/* Enforcement: slowdown of urgent tasks, oversize tasks, lowered plans, data centre out.  */
#include <math.h>
#include <string.h>

#include "scheduler_internal.h"

/* Hysteresis: throttle above 1.15 in two samples, relax below 1.06 in four.  Objective: 1.2.  */
#define THROTTLE_SLOWDOWN_MILLI 1150
#define RELAX_SLOWDOWN_MILLI 1060
#define SEVERE_SLOWDOWN_MILLI 1500
#define THROTTLE_SAMPLES 2
#define RELAX_SAMPLES 4
#define ACTION_SETTLE_MS 1000 /* from an action to the first sample that can show its effect */
#define MAX_THROTTLES_PER_ARRIVAL 8
#define MIN_KEPT_SHARE 0.25 /* of its processors, for a task throttled by the estimate */
#define OVERSIZE_USAGE_RATIO 1.15
#define OVERSIZE_POLLS 2 /* consecutive, before the allocation grows or the task is throttled */
#define OVERSIZE_EVICT_POLLS 6
#define MIN_THROTTLE_MILLICORES 100
#define MIN_CHECKPOINT_INTERVAL_MS 60000
#define MAX_CHECKPOINT_INTERVAL_MS 600000
#define CHECKPOINT_INTERVAL_FACTOR 20 /* checkpoints take at most 1/20 of the time */
#define PREEMPT_GRACE_MS 500
#define NEAR_DEADLINE_MS 60000
#define UNKNOWN_CUSTOMER_THROTTLE_RATIO 0.1
#define DRAIN_PERIOD_MS 500

void
sched_throttle (struct scheduler *s, struct sched_task *st, enum sched_throttle_reason reason,
                uint32_t millicores)
{
  struct sched_worker *w = st->worker;
  if (reason == SCHED_THROTTLE_NONE)
    millicores = 0;
  else if (millicores < MIN_THROTTLE_MILLICORES)
    millicores = MIN_THROTTLE_MILLICORES;
  if (st->limit_millicores == millicores)
    return;
  if (millicores)
    s->stats.throttles++;
  st->throttle_reason = reason;
  st->limit_millicores = millicores;
  sched_mix_remove (w, st);
  sched_mix_add (w, st);
  sched_mark_ready (s, w);
}

bool
sched_may_evict (const struct scheduler *s, const struct sched_task *st, uint32_t planned)
{
  uint32_t budget = st->customer->quota.evictions_per_hour;
  if (budget == UINT32_MAX || !st->customer->known || sched_has_policy (s, SCHEDULER_EVICT_NEWEST))
    return true;
  return eviction_budget_used (&st->customer->budget, s->now_ms) + planned < budget;
}

static bool
near_deadline (const struct scheduler *s, const struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  int64_t now = cell_log_time (s->cell, s->now_ms);
  return j->deadline_ms > 0
         && now + (int64_t)sched_remaining_ms (st) + NEAR_DEADLINE_MS > j->deadline_ms;
}

void
sched_eviction_candidate (struct scheduler *s, const struct sched_worker *w, struct sched_task *st,
                          struct eviction_candidate *out)
{
  const struct cell_task *t = st->t;
  uint32_t checkpoint_ms = t->job->spec.checkpoint_ms;
  memset (out, 0, sizeof *out);
  out->size = st->allocated;
  out->owner = st;
  out->evictions = t->evictions;
  out->started_ms = st->run_from_ms;
  int64_t since
      = st->last_checkpoint_ms > st->run_from_ms ? st->last_checkpoint_ms : st->run_from_ms;
  bool quick = checkpoint_ms > 0 && checkpoint_ms <= PREEMPT_GRACE_MS;
  if (since > 0 && !quick)
    out->lost_core_ms = (double)(s->now_ms - since) * (double)st->allocated.millicores / 1000.0;
  out->interference = sched_task_interference (s, w, st);
  out->near_deadline = near_deadline (s, st);
}

/* The running batch task that adds most to the slowdown; SPARE_DEADLINES skips tasks that have a
   deadline.  */
static struct sched_task *
worst_neighbour (struct scheduler *s, const struct sched_worker *w, bool spare_deadlines)
{
  struct sched_task *worst = NULL;
  double worst_interference = 0;
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    if (sched_is_urgent (st) || st->t->state != CELL_RUNNING
        || st->requested_stop != CELL_STOP_NONE)
      continue;
    if (spare_deadlines && st->t->job->deadline_ms > 0)
      continue;
    double interference = sched_task_interference (s, w, st);
    if (interference > worst_interference)
      {
        worst = st;
        worst_interference = interference;
      }
  }
  return worst;
}

static void
escalate (struct scheduler *s, struct sched_worker *w, uint32_t slowdown_milli)
{
  struct sched_task *st = worst_neighbour (s, w, false);
  if (!st)
    return;
  w->action_at_ms = s->now_ms;
  w->slow_samples = 0;
  uint32_t allocated = (uint32_t)st->allocated.millicores;
  if (st->throttle_reason != SCHED_THROTTLE_INTERFERENCE)
    sched_throttle (s, st, SCHED_THROTTLE_INTERFERENCE,
                    slowdown_milli > SEVERE_SLOWDOWN_MILLI ? allocated / 4 : allocated / 2);
  else if (sched_may_evict (s, st, 0))
    sched_stop (s, st, CELL_STOP_HARM);
  else
    sched_throttle (s, st, SCHED_THROTTLE_INTERFERENCE, allocated / 8);
}

/* Largest slowdown that ST adds to one service on W.  */
static double
worst_interference_of (const struct scheduler *s, const struct sched_worker *w,
                       const struct sched_task *st)
{
  double total = (double)w->total.millicores;
  double worst = 0;
  for (size_t i = 0; i < w->service_count; i++)
    worst = fmax (worst, interference_coefficient (s->model, w->services[i].id, st->cls->id,
                                                   w->used_millicores / total));
  return worst * st->mix_millicores / total;
}

/* Throttles noisy tasks beside a new urgent task by the estimate, before the first delayed sample
   shows a slowdown, and no further than the estimate requires.  */
void
sched_throttle_for_arrival (struct scheduler *s, struct sched_worker *w)
{
  for (int i = 0; i < MAX_THROTTLES_PER_ARRIVAL; i++)
    {
      double excess = sched_worst_predicted (s, w) - INTERFERENCE_SLOWDOWN_LIMIT;
      struct sched_task *st = excess > 0 ? worst_neighbour (s, w, true) : NULL;
      double interference = st ? worst_interference_of (s, w, st) : 0;
      if (!st || interference <= 0 || st->throttle_reason == SCHED_THROTTLE_INTERFERENCE)
        return;
      double keep = fmax (1 - excess / interference, MIN_KEPT_SHARE);
      sched_throttle (s, st, SCHED_THROTTLE_INTERFERENCE, (uint32_t)(keep * st->mix_millicores));
      w->action_at_ms = s->now_ms;
    }
}

/* Lifts one throttle if the predicted slowdown stays within the limit.  */
static void
relax (struct scheduler *s, struct sched_worker *w)
{
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  if (st->throttle_reason == SCHED_THROTTLE_INTERFERENCE)
    break;
  if (!st)
    return;
  w->action_at_ms = s->now_ms;
  w->normal_samples = 0;
  sched_mix_remove (w, st);
  bool acceptable = sched_batch_interference (s, w, st) < PLACEMENT_REFUSED;
  sched_mix_add (w, st);
  if (acceptable)
    sched_throttle (s, st, SCHED_THROTTLE_NONE, 0);
}

static uint32_t
worst_slowdown_milli (const struct sched_worker *w)
{
  uint32_t worst = 0;
  const struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  if (st->cls->urgent && st->listed_poll == w->sequence && st->slowdown_milli > worst)
    worst = st->slowdown_milli;
  return worst;
}

/* One action per measurement delay: only samples taken after the last action count.  */
static void
enforce_slowdown (struct scheduler *s, struct sched_worker *w, int64_t at_ms)
{
  uint32_t worst = worst_slowdown_milli (w);
  if (worst == 0 || at_ms < w->action_at_ms + ACTION_SETTLE_MS)
    return;
  w->slow_samples = worst > THROTTLE_SLOWDOWN_MILLI ? w->slow_samples + 1 : 0;
  w->normal_samples = worst < RELAX_SLOWDOWN_MILLI ? w->normal_samples + 1 : 0;
  if (w->slow_samples >= THROTTLE_SAMPLES)
    escalate (s, w, worst);
  else if (w->normal_samples >= RELAX_SAMPLES)
    relax (s, w);
}

/* Raises the allocation of a task to its usage while the worker has free capacity.  */
static bool
grow_to_use (struct scheduler *s, struct sched_task *st)
{
  struct resource_amount want = sched_need (s, st);
  if (st->used_millicores > want.millicores)
    want.millicores = st->used_millicores;
  if (st->used_memory_mb > want.memory_mb)
    want.memory_mb = st->used_memory_mb;
  if (!sched_grow_allocation (s, st, &want))
    return false;
  if (st->throttle_reason == SCHED_THROTTLE_SIZE)
    sched_throttle (s, st, SCHED_THROTTLE_NONE, 0);
  st->oversize_polls = 0;
  return true;
}

/* Oversize tasks are allocated more if possible, else throttled, and finally evicted.  */
static void
enforce_size (struct scheduler *s, struct sched_task *st)
{
  bool processors = st->used_millicores > OVERSIZE_USAGE_RATIO * (double)st->allocated.millicores;
  bool memory = st->used_memory_mb > OVERSIZE_USAGE_RATIO * (double)st->allocated.memory_mb;
  bool throttled = st->throttle_reason == SCHED_THROTTLE_SIZE;
  if (!processors && !memory && !throttled)
    {
      st->oversize_polls = 0;
      return;
    }
  if ((++st->oversize_polls >= OVERSIZE_POLLS || throttled) && grow_to_use (s, st))
    return;
  if (st->oversize_polls >= OVERSIZE_POLLS && processors
      && st->throttle_reason == SCHED_THROTTLE_NONE)
    sched_throttle (s, st, SCHED_THROTTLE_SIZE, (uint32_t)st->allocated.millicores);
  if (sched_is_urgent (st) || !sched_may_evict (s, st, 0) || (!processors && !memory))
    return;
  if (st->oversize_polls >= (memory ? OVERSIZE_POLLS : OVERSIZE_EVICT_POLLS))
    sched_stop (s, st, CELL_STOP_OVERSIZE);
}

static void
request_checkpoint (struct scheduler *s, struct sched_task *st)
{
  uint32_t cost = st->t->job->spec.checkpoint_ms;
  if (cost == 0 || sched_is_urgent (st) || st->t->state != CELL_RUNNING || st->run_from_ms == 0)
    return;
  int64_t interval = (int64_t)cost * CHECKPOINT_INTERVAL_FACTOR;
  if (interval < MIN_CHECKPOINT_INTERVAL_MS)
    interval = MIN_CHECKPOINT_INTERVAL_MS;
  if (interval > MAX_CHECKPOINT_INTERVAL_MS)
    interval = MAX_CHECKPOINT_INTERVAL_MS;
  if (s->now_ms - st->last_checkpoint_ms < interval)
    return;
  st->checkpoint_due = true;
  st->last_checkpoint_ms = s->now_ms;
}

void
sched_enforce_limits (struct scheduler *s, struct sched_worker *w, const struct worker_poll *p)
{
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  if (st->listed_poll == w->sequence && st->listed == CELL_REPORT_RUNNING)
    {
      request_checkpoint (s, st);
      if (!sched_has_policy (s, SCHEDULER_NO_LEARNING))
        enforce_size (s, st);
    }
  if (!sched_has_policy (s, SCHEDULER_NO_LEARNING))
    enforce_slowdown (s, w, s->now_ms - p->measured_ago_ms);
}

/* Lowered plans.  */

static uint64_t
excess (uint64_t used, uint64_t max)
{
  return used > max ? used - max : 0;
}

static bool
above_plan (const struct sched_customer *c, const struct resource_amount *used)
{
  const struct scheduler_quota *q = &c->quota;
  if (!c->known)
    return used->millicores > 0;
  return excess (used->millicores, q->max_millicores) || excess (used->memory_mb, q->max_memory_mb)
         || excess (used->accelerators, q->max_accelerators);
}

/* Throttles the batch tasks of C to RATIO, or lifts that throttle when RATIO is 1.  Returns the
   batch task that is cheapest to evict; subtracts tasks that are already stopping from USED.  */
static struct sched_task *
throttle_to_plan (struct scheduler *s, const struct sched_customer *c, double ratio,
                  struct resource_amount *used)
{
  struct sched_task *cheapest = NULL;
  double least = INFINITY;
  for (size_t i = 0; i < s->worker_count; i++)
    {
      struct sched_task *st;
      TAILQ_FOREACH (st, &s->workers[i]->tasks, link)
      {
        if (st->customer != c || sched_is_urgent (st) || st->allocated_epoch == 0)
          continue;
        if (st->t->state == CELL_STOPPING || st->requested_stop != CELL_STOP_NONE)
          {
            used->millicores -= st->allocated.millicores;
            used->memory_mb -= st->allocated.memory_mb;
            used->accelerators -= st->allocated.accelerators;
            continue;
          }
        if (ratio < 1
            && (st->throttle_reason == SCHED_THROTTLE_NONE
                || st->throttle_reason == SCHED_THROTTLE_PLAN))
          sched_throttle (s, st, SCHED_THROTTLE_PLAN,
                          (uint32_t)(ratio * (double)st->allocated.millicores));
        else if (ratio >= 1 && st->throttle_reason == SCHED_THROTTLE_PLAN)
          sched_throttle (s, st, SCHED_THROTTLE_NONE, 0);
        struct eviction_candidate e;
        sched_eviction_candidate (s, s->workers[i], st, &e);
        if (eviction_cost (&e) < least)
          {
            least = eviction_cost (&e);
            cheapest = st;
          }
      }
    }
  return cheapest;
}

static void
enforce_plan (struct scheduler *s, struct sched_customer *c)
{
  bool is_above = above_plan (c, &c->used);
  struct resource_amount used = c->used;
  if (!is_above && c->above_plan_since_ms == 0)
    return;
  if (!is_above)
    {
      c->above_plan_since_ms = 0;
      throttle_to_plan (s, c, 1, &used);
      return;
    }
  if (c->above_plan_since_ms == 0)
    c->above_plan_since_ms = s->now_ms;
  const struct scheduler_quota *q = &c->quota;
  double ratio = 1;
  if (excess (used.millicores, q->max_millicores))
    ratio = (double)q->max_millicores / (double)used.millicores;
  struct sched_task *st
      = throttle_to_plan (s, c, c->known ? ratio : UNKNOWN_CUSTOMER_THROTTLE_RATIO, &used);
  bool at_once = !c->known || excess (used.memory_mb, q->max_memory_mb)
                 || excess (used.accelerators, q->max_accelerators);
  if (!at_once && s->now_ms - c->above_plan_since_ms < SCHEDULER_PLAN_GRACE_MS)
    return;
  if (st && above_plan (c, &used) && sched_may_evict (s, st, 0))
    sched_stop (s, st, CELL_STOP_PLAN);
}

void
sched_enforce_plans (struct scheduler *s)
{
  struct sched_customer *c;
  LIST_FOREACH (c, &s->customers, link)
  enforce_plan (s, c);
}

/* Data centre out.  */

static struct scheduler_peer_cell *
peer_for (struct scheduler *s, const struct cell_task *t)
{
  const cell_size *size = &t->job->spec.size;
  bool batch = t->job->spec.kind == CELL_BATCH;
  bool covered = t->job->spec.repeat_elsewhere && batch;
  for (size_t i = 0; i < s->peer_count; i++)
    {
      struct scheduler_peer_cell *p = &s->peers[i];
      if (covered && !p->standby)
        continue;
      if (batch && t->other_cell != 0 && t->other_cell != p->cell)
        continue;
      if (sched_take_peer_capacity (p, size))
        return p;
    }
  return NULL;
}

static void
drain_task (struct scheduler *s, struct cell_task *t)
{
  struct sched_task *st = t->observer_data;
  if (!st || sched_is_urgent (st))
    return;
  if (cell_task_on_worker (t))
    {
      sched_stop (s, st, CELL_STOP_DRAIN);
      return;
    }
  if (t->state != CELL_PENDING || st->in_flight)
    return;
  const struct scheduler_peer_cell *p = peer_for (s, t);
  if (!p)
    return;
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_HANDOFF_OFFER;
  cmd.cell_command_u.offer = (cell_offer){ t->id, t->epoch, p->cell };
  sched_propose (s, &cmd, st);
}

void
sched_drain_data_centre (struct scheduler *s)
{
  if (s->now_ms - s->drain_ms < DRAIN_PERIOD_MS)
    return;
  s->drain_ms = s->now_ms;
  struct cell_job *j;
  struct cell_task *t;
  TAILQ_FOREACH (j, &s->cell->job_list, link)
  STAILQ_FOREACH (t, &j->tasks, link)
  drain_task (s, t);
}
