/* Admission, moves to other cells, statistics, invariant checks and the state dump.  */
#include <string.h>

#include "scheduler_internal.h"

#define MOVE_PERIOD_MS 2000 /* an unfinished move is repeated at this interval */

static bool
fits_empty (const struct sched_worker *w, const cell_size *size)
{
  return w->announced && w->total.millicores >= size->millicores
         && w->total.memory_mb >= size->memory_mb && w->total.accelerators >= size->accelerators;
}

static int
admit_size (const struct scheduler *s, const cell_job_spec *spec, struct status *st)
{
  bool announced = false;
  for (size_t i = 0; i < s->worker_count; i++)
    {
      if (fits_empty (s->workers[i], &spec->size))
        return 0;
      announced = announced || s->workers[i]->announced;
    }
  if (!announced)
    return 0;
  return status_set (st, STATUS_UNSATISFIABLE,
                     "no worker has %u millicores, %u MB and %u accelerators for one task",
                     spec->size.millicores, spec->size.memory_mb, spec->size.accelerators);
}

static int
admit_racks (const struct scheduler *s, const cell_job_spec *spec, struct status *st)
{
  if (spec->max_per_rack == 0 || s->rack_count == 0
      || (uint64_t)spec->max_per_rack * s->rack_count >= spec->replicas)
    return 0;
  return status_set (st, STATUS_UNSATISFIABLE,
                     "%u tasks with at most %u per rack need more than %zu racks", spec->replicas,
                     spec->max_per_rack, s->rack_count);
}

static bool
exceeds (uint64_t size, uint64_t max)
{
  return size > max;
}

int
scheduler_admit (struct scheduler *s, const cell_job_spec *spec, struct status *st)
{
  struct scheduler_quota q = scheduler_unlimited_quota ();
  if (s->config.quota && !s->config.quota (s->config.quota_ctx, spec->customer, &q))
    return status_set (st, STATUS_UNKNOWN_CUSTOMER, "customer %s is not in the list",
                       spec->customer);
  if (exceeds (spec->size.millicores, q.max_millicores)
      || exceeds (spec->size.memory_mb, q.max_memory_mb)
      || exceeds (spec->size.accelerators, q.max_accelerators))
    return status_set (st, STATUS_UNSATISFIABLE, "one task exceeds the plan of customer %s",
                       spec->customer);
  if (admit_size (s, spec, st) != 0)
    return -1;
  return admit_racks (s, spec, st);
}

bool
sched_take_peer_capacity (struct scheduler_peer_cell *p, const cell_size *size)
{
  if (p->free_millicores < size->millicores || p->free_memory_mb < size->memory_mb
      || p->free_accelerators < size->accelerators)
    return false;
  p->free_millicores -= size->millicores;
  p->free_memory_mb -= size->memory_mb;
  p->free_accelerators -= size->accelerators;
  return true;
}

static struct scheduler_peer_cell *
take_peer_with_capacity (struct scheduler *s, const cell_size *size)
{
  for (size_t i = 0; i < s->peer_count; i++)
    if (sched_take_peer_capacity (&s->peers[i], size))
      return &s->peers[i];
  return NULL;
}

static bool
move_of (struct scheduler *s, const struct cell_task *t, struct scheduler_move *out)
{
  out->task = t->id;
  if (t->state == CELL_OFFERED)
    {
      out->kind = SCHEDULER_MOVE_HANDOFF;
      out->to_cell = t->other_cell;
      return true;
    }
  bool live = t->state == CELL_PENDING || t->state == CELL_PLACED || t->state == CELL_RUNNING;
  if (!s->data_centre_out || !live || t->job->spec.kind != CELL_URGENT)
    return false;
  const struct scheduler_peer_cell *p = take_peer_with_capacity (s, &t->job->spec.size);
  if (!p)
    return false;
  out->kind = SCHEDULER_MOVE_REPLACE;
  out->to_cell = p->cell;
  return true;
}

/* Visits all jobs once per MOVE_PERIOD_MS; the position between calls is the job and the task.  */
bool
scheduler_next_move (struct scheduler *s, struct scheduler_move *out)
{
  if (!s->leading)
    return false;
  if (!s->move_job)
    {
      if (s->now_ms - s->move_ms < MOVE_PERIOD_MS)
        return false;
      s->move_ms = s->now_ms;
      s->move_job = TAILQ_FIRST (&s->cell->job_list);
      s->move_task = 0;
    }
  while (s->move_job)
    {
      const struct cell_task *t;
      STAILQ_FOREACH (t, &s->move_job->tasks, link)
      {
        if (t->id <= s->move_task || !move_of (s, t, out))
          continue;
        s->move_task = t->id;
        return true;
      }
      /* A job that has finished meanwhile is in the other list; the next pass starts over.  */
      s->move_job = s->move_job->in_finished ? NULL : TAILQ_NEXT (s->move_job, link);
      s->move_task = 0;
    }
  return false;
}

void
scheduler_stats (const struct scheduler *s, struct scheduler_stats *out)
{
  *out = s->stats;
  out->quarantined = (uint32_t)s->quarantined;
  const struct sched_customer *c;
  LIST_FOREACH (c, &s->customers, link)
  {
    const struct sched_class *cls;
    LIST_FOREACH (cls, &c->classes, link)
    out->pending += (uint32_t)cls->queue.count;
  }
  out->pending += (uint32_t)s->delayed.count + s->reservation_count;
  for (size_t i = 0; i < s->worker_count; i++)
    {
      const struct sched_worker *w = s->workers[i];
      if (!w->alive)
        continue;
      out->workers++;
      out->total_millicores += w->total.millicores;
      out->total_memory_mb += w->total.memory_mb;
      out->total_accelerators += w->total.accelerators;
      out->free_millicores += s->rows[i].free_millicores;
      out->free_memory_mb += s->rows[i].free_memory_mb;
      out->free_accelerators += s->rows[i].free_accelerators;
    }
}

static void
check_worker (const struct scheduler *s, const struct sched_worker *w)
{
  struct resource_amount allocated = { 0, 0, 0 };
  const struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    if (st->worker != w || st->t->observer_data != st)
      sched_invariant_failed ("a task is listed on a worker other than its own");
    if (st->allocated_epoch != 0 && strcmp (st->t->worker, w->id) != 0)
      sched_invariant_failed ("a task is allocated on another worker than in the log");
    if (st->allocated_epoch != 0 && st->allocated_epoch != st->t->epoch)
      sched_invariant_failed ("a task is allocated under an old epoch");
    allocated.millicores += st->allocated.millicores;
    allocated.memory_mb += st->allocated.memory_mb;
    allocated.accelerators += st->allocated.accelerators;
  }
  if (allocated.millicores != w->allocated.millicores
      || allocated.memory_mb != w->allocated.memory_mb
      || allocated.accelerators != w->allocated.accelerators)
    sched_invariant_failed ("the sum of the task allocations differs from the worker's allocation");
  if (!w->announced)
    return;
  if (!w->over_capacity && !sched_within_capacity (w))
    sched_invariant_failed ("the allocations of a worker exceed its capacity");
  if (s->workers[w->row] != w)
    sched_invariant_failed ("a worker's row index is wrong");
}

static void
check_task (const struct cell_task *t)
{
  const struct sched_task *st = t->observer_data;
  bool open = t->state == CELL_PENDING || cell_task_on_worker (t);
  if (open != (st != NULL))
    sched_invariant_failed ("an open task has no scheduler record, or a closed task has one");
  if (!st)
    return;
  if (cell_task_on_worker (t) && (!st->worker || st->allocated_epoch != t->epoch))
    sched_invariant_failed ("a placed task has no allocation");
  int places = (st->item.heap_position != 0) + (st->worker != NULL) + (st->reserved_worker != NULL);
  if (places > 1 || (places == 0 && st->in_flight == 0))
    sched_invariant_failed ("a task is not in exactly one of queue, worker and reservation");
}

void
scheduler_check (const struct scheduler *s)
{
  if (!s->leading)
    return;
  for (size_t i = 0; i < s->worker_count; i++)
    check_worker (s, s->workers[i]);
  const struct cell_job *j;
  const struct cell_task *t;
  TAILQ_FOREACH (j, &s->cell->job_list, link)
  STAILQ_FOREACH (t, &j->tasks, link)
  check_task (t);
}

static void
dump_worker (const struct scheduler *s, const struct sched_worker *w, struct buffer *out)
{
  buffer_printf (out, "worker %s incarnation %llu %s%s free %u millicores %u MB, tasks:", w->id,
                 (unsigned long long)w->incarnation, w->alive ? "alive" : "lost",
                 w->health.quarantined ? " quarantined" : "", s->rows[w->row].free_millicores,
                 s->rows[w->row].free_memory_mb);
  const struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  buffer_printf (out, " %llx/%llx:%s", (unsigned long long)st->t->id,
                 (unsigned long long)st->t->epoch, cell_state_name (st->t->state));
  buffer_printf (out, "\n");
}

void
scheduler_dump (const struct scheduler *s, struct buffer *out)
{
  struct scheduler_stats st;
  scheduler_stats (s, &st);
  buffer_printf (out, "scheduler %s, permit %lld ms left, %u workers, %u pending\n",
                 s->leading ? "leads" : "follows", (long long)(s->permit_until_ms - s->now_ms),
                 st.workers, st.pending);
  for (size_t i = 0; i < s->worker_count; i++)
    dump_worker (s, s->workers[i], out);
}
