/* Soft records of tasks: allocation, queueing, and the next command to propose.  */
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

#define MAX_SIZE_RATIO 4.0
/* Back-off after the first failure of a task whose class mostly succeeds.  */
#define TRUSTED_SUCCESS_RATE 0.8
#define TRUSTED_BACKOFF_MS 100

static char no_text[] = "";

bool
sched_is_urgent (const struct sched_task *st)
{
  return st->t->job->spec.kind == CELL_URGENT;
}

uint64_t
sched_remaining_ms (const struct sched_task *st)
{
  uint64_t run = run_time_cautious (&st->cls->run, st->t->job->spec.run_ms);
  return run > st->t->progress_ms ? run - st->t->progress_ms : 0;
}

int64_t
sched_key (const struct scheduler *s, const struct sched_task *st)
{
  const struct cell_job *j = st->t->job;
  if (sched_is_urgent (st) || sched_has_policy (s, SCHEDULER_FIFO))
    return j->submitted_ms;
  uint64_t least = run_time_optimistic (&st->cls->run, j->spec.run_ms);
  least = least > st->t->progress_ms ? least - st->t->progress_ms : 0;
  return task_queue_key (cell_log_time (s->cell, s->now_ms), j->submitted_ms, j->deadline_ms,
                         sched_remaining_ms (st), least);
}

static uint64_t
scaled (uint64_t declared, double ratio, uint64_t largest)
{
  uint64_t want = (uint64_t)((double)declared * (ratio < MAX_SIZE_RATIO ? ratio : MAX_SIZE_RATIO));
  if (want > largest)
    want = largest;
  return want > declared ? want : declared;
}

/* Declared size, raised to the observed usage of the class.  */
struct resource_amount
sched_need (const struct scheduler *s, const struct sched_task *st)
{
  const cell_size *size = &st->t->job->spec.size;
  struct resource_amount need = { size->millicores, size->memory_mb, size->accelerators };
  if (sched_has_policy (s, SCHEDULER_NO_LEARNING) || sched_is_urgent (st))
    return need;
  need.millicores = scaled (need.millicores, st->cls->processor_ratio, s->largest.millicores);
  need.memory_mb = scaled (need.memory_mb, st->cls->memory_ratio, s->largest.memory_mb);
  return need;
}

static void
add (struct resource_amount *to, const struct resource_amount *a)
{
  to->millicores += a->millicores;
  to->memory_mb += a->memory_mb;
  to->accelerators += a->accelerators;
}

static void
subtract (struct resource_amount *from, const struct resource_amount *a)
{
  if (from->millicores < a->millicores || from->memory_mb < a->memory_mb
      || from->accelerators < a->accelerators)
    sched_invariant_failed ("released more than allocated");
  from->millicores -= a->millicores;
  from->memory_mb -= a->memory_mb;
  from->accelerators -= a->accelerators;
}

static void
allocate (struct scheduler *s, struct sched_task *st, struct sched_worker *w,
          struct resource_amount need)
{
  st->worker = w;
  st->allocated = need;
  add (&w->allocated, &need);
  add (&st->customer->used, &need);
  TAILQ_INSERT_TAIL (&w->tasks, st, link);
  if (sched_is_urgent (st))
    w->urgent_count++;
  sched_mix_add (w, st);
  sched_update_row (s, w);
}

void
sched_allocate (struct scheduler *s, struct sched_task *st, struct sched_worker *w)
{
  struct resource_amount need = sched_need (s, st);
  if (st->worker || !sched_fits (w, &need, NULL))
    sched_invariant_failed ("the allocations of a worker would exceed its capacity");
  allocate (s, st, w, need);
}

bool
sched_grow_allocation (struct scheduler *s, struct sched_task *st,
                       const struct resource_amount *want)
{
  struct sched_worker *w = st->worker;
  struct resource_amount more = { 0, 0, 0 };
  if (want->millicores > st->allocated.millicores)
    more.millicores = want->millicores - st->allocated.millicores;
  if (want->memory_mb > st->allocated.memory_mb)
    more.memory_mb = want->memory_mb - st->allocated.memory_mb;
  const struct scheduler_quota *q = &st->customer->quota;
  const struct resource_amount *used = &st->customer->used;
  if (used->millicores + more.millicores > q->max_millicores
      || used->memory_mb + more.memory_mb > q->max_memory_mb || !sched_fits (w, &more, NULL))
    return false;
  sched_mix_remove (w, st);
  add (&w->allocated, &more);
  add (&st->customer->used, &more);
  add (&st->allocated, &more);
  sched_mix_add (w, st);
  sched_update_row (s, w);
  return true;
}

/* Allocates a placement by an earlier leader unchecked: that leader has checked that it fits.  */
static void
adopt_placement (struct scheduler *s, struct sched_task *st)
{
  const cell_size *size = &st->t->job->spec.size;
  struct resource_amount need = { size->millicores, size->memory_mb, size->accelerators };
  struct sched_worker *w = sched_find_worker (s, st->t->worker);
  if (!w)
    {
      w = sched_add_worker (s, st->t->worker);
      w->lease_until_ms = s->now_ms + SCHEDULER_LEASE_MS;
    }
  allocate (s, st, w, need);
  st->allocated_epoch = st->t->epoch;
}

static void
reset_run (struct sched_task *st)
{
  st->allocated_epoch = 0;
  st->listed_epoch = 0;
  st->listed_poll = 0;
  st->run_from_ms = 0;
  st->stable = false;
  st->start_sent_ms = 0;
  st->stop_sent_ms = 0;
  st->last_checkpoint_ms = 0;
  st->checkpoint_due = false;
  st->limit_millicores = 0;
  st->limit_sent = 0;
  st->throttle_repeats = 0;
  st->throttle_reason = SCHED_THROTTLE_NONE;
  st->oversize_polls = 0;
  st->requested_stop = CELL_STOP_NONE;
  st->used_millicores = 0;
  st->used_memory_mb = 0;
  st->slowdown_milli = 0;
  st->progress_ms = 0;
  free (st->checkpoint);
  free (st->reason);
  st->checkpoint = NULL;
  st->reason = NULL;
}

void
sched_release (struct scheduler *s, struct sched_task *st)
{
  struct sched_worker *w = st->worker;
  if (!w)
    return;
  sched_record_run_end (s, st);
  sched_mix_remove (w, st);
  TAILQ_REMOVE (&w->tasks, st, link);
  if (sched_is_urgent (st))
    w->urgent_count--;
  subtract (&w->allocated, &st->allocated);
  subtract (&st->customer->used, &st->allocated);
  memset (&st->allocated, 0, sizeof st->allocated);
  st->worker = NULL;
  reset_run (st);
  sched_update_row (s, w);
  s->round_needed = true;
}

void
sched_reserve (struct scheduler *s, struct sched_task *st, struct sched_worker *w, int64_t until_ms)
{
  st->reserved_worker = w;
  st->reserved_amount = sched_need (s, st);
  st->reserved_until_ms = until_ms;
  add (&w->reserved, &st->reserved_amount);
  TAILQ_INSERT_TAIL (&s->reservations, st, reservation_link);
  s->reservation_count++;
  sched_update_row (s, w);
}

void
sched_unreserve (struct scheduler *s, struct sched_task *st)
{
  struct sched_worker *w = st->reserved_worker;
  if (!w)
    return;
  subtract (&w->reserved, &st->reserved_amount);
  TAILQ_REMOVE (&s->reservations, st, reservation_link);
  st->reserved_worker = NULL;
  s->reservation_count--;
  sched_update_row (s, w);
}

static void
dequeue (struct scheduler *s, struct sched_task *st)
{
  if (st->item.heap_position == 0)
    return;
  if (st->delayed)
    task_queue_remove (&s->delayed, &st->item);
  else
    task_queue_remove (&st->cls->queue, &st->item);
  st->delayed = false;
}

void
sched_enqueue (struct scheduler *s, struct sched_task *st)
{
  struct cell_task *t = st->t;
  if (st->item.heap_position || st->worker || st->reserved_worker || st->in_flight
      || t->state != CELL_PENDING)
    return;
  int64_t now = cell_log_time (s->cell, s->now_ms);
  st->item.tie_breaker = t->id;
  if (t->not_before_ms > now)
    {
      st->delayed = true;
      st->item.key = t->not_before_ms;
      task_queue_push (&s->delayed, &st->item);
      return;
    }
  st->delayed = false;
  st->item.key = sched_key (s, st);
  task_queue_push (&st->cls->queue, &st->item);
  s->round_needed = true;
}

void
sched_drop_task (struct scheduler *s, struct cell_task *t)
{
  struct sched_task *st = t->observer_data;
  if (!st)
    return;
  dequeue (s, st);
  sched_unreserve (s, st);
  sched_release (s, st);
  t->observer_data = NULL;
  free (st->checkpoint);
  free (st->reason);
  free (st);
}

static struct sched_task *
new_record (struct scheduler *s, struct cell_task *t)
{
  struct sched_task *st = xcalloc (1, sizeof *st);
  st->t = t;
  st->customer = sched_get_customer (s, t->job->spec.customer);
  st->cls = sched_get_class (s, st->customer, &t->job->spec);
  st->item.owner = st;
  st->seen_failures = t->failures;
  t->observer_data = st;
  return st;
}

static void
sync_placed_task (struct scheduler *s, struct sched_task *st)
{
  struct cell_task *t = st->t;
  dequeue (s, st);
  sched_unreserve (s, st);
  if (st->worker && st->allocated_epoch == 0)
    st->allocated_epoch = t->epoch;
  else if (st->worker && st->allocated_epoch != t->epoch)
    sched_release (s, st);
  if (!st->worker)
    adopt_placement (s, st);
  if (t->state != CELL_RUNNING)
    sched_mark_ready (s, st->worker);
}

void
sched_sync_task (struct scheduler *s, struct cell_task *t)
{
  struct sched_task *st = t->observer_data;
  bool open = t->state == CELL_PENDING || cell_task_on_worker (t);
  if (!open)
    {
      if (st && t->state == CELL_DONE)
        sched_learn_done (s, st);
      sched_drop_task (s, t);
      return;
    }
  if (!st)
    st = new_record (s, t);
  if (t->failures > st->seen_failures)
    {
      sched_learn_failed (s, st);
      st->seen_failures = t->failures;
    }
  if (cell_task_on_worker (t))
    {
      sync_placed_task (s, st);
      return;
    }
  if (st->allocated_epoch != 0)
    sched_release (s, st);
  sched_enqueue (s, st);
}

void
sched_command_done (struct scheduler *s, struct sched_task *st)
{
  if (cell_task_on_worker (st->t))
    {
      sched_reconcile (s, st);
      return;
    }
  sched_release (s, st);
  sched_enqueue (s, st);
}

static uint32_t
failure_backoff (const struct sched_task *st)
{
  if (st->t->failures == 0 && class_health_success_rate (&st->cls->health) > TRUSTED_SUCCESS_RATE)
    return TRUSTED_BACKOFF_MS;
  return worker_health_crash_backoff (st->t->failures, sched_is_urgent (st));
}

static void
propose_report (struct scheduler *s, struct sched_task *st, cell_report_kind kind)
{
  cell_command cmd;
  cell_report *r = &cmd.cell_command_u.report;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_REPORT;
  r->task = st->t->id;
  r->epoch = st->t->epoch;
  r->kind = kind;
  r->progress_ms = st->progress_ms;
  r->checkpoint = xstrdup (st->checkpoint ? st->checkpoint : no_text);
  r->reason = xstrdup (st->reason ? st->reason : no_text);
  if (kind == CELL_REPORT_FAILED)
    r->backoff_ms = failure_backoff (st);
  if (kind == CELL_REPORT_REFUSED)
    s->stats.refused_starts++;
  sched_propose (s, &cmd, st);
}

static void
propose_stop (struct scheduler *s, struct sched_task *st)
{
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_STOP;
  cmd.cell_command_u.stop = (cell_stop){ st->t->id, st->t->epoch, st->requested_stop };
  sched_propose (s, &cmd, st);
}

void
sched_reconcile (struct scheduler *s, struct sched_task *st)
{
  const struct cell_task *t = st->t;
  if (!s->leading || st->in_flight || !cell_task_on_worker (t))
    return;
  bool listed = st->listed_epoch == t->epoch;
  if (listed && st->listed >= CELL_REPORT_DONE)
    propose_report (s, st, st->listed);
  else if (st->requested_stop != CELL_STOP_NONE && t->state != CELL_STOPPING)
    propose_stop (s, st);
  else if (listed && t->state == CELL_PLACED)
    propose_report (s, st, CELL_REPORT_RUNNING);
  else if (listed && st->checkpoint && st->progress_ms > t->progress_ms)
    propose_report (s, st, CELL_REPORT_CHECKPOINT);
}

void
sched_stop (struct scheduler *s, struct sched_task *st, enum cell_stop_reason reason)
{
  if (st->requested_stop != CELL_STOP_NONE || st->t->state == CELL_STOPPING)
    return;
  st->requested_stop = reason;
  if (reason >= CELL_STOP_PREEMPT && reason <= CELL_STOP_PLAN)
    {
      s->stats.evictions++;
      eviction_budget_record (&st->customer->budget, s->now_ms);
    }
  if (reason == CELL_STOP_HARM)
    s->stats.slowdown_evictions++;
  sched_reconcile (s, st);
}
