/* Workers: announcements, polls, leases and free capacity.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

/* A lost worker without allocations or reservations is removed after this time.  */
#define LOST_WORKER_RETENTION_MS 600000

struct sched_worker *
sched_find_worker (const struct scheduler *s, const char *id)
{
  struct cell_map_node *n = cell_map_first (&s->worker_map, cell_hash_names (id, ""));
  for (; n; n = cell_map_next (n))
    {
      struct sched_worker *w = CELL_CONTAINER (n, struct sched_worker, node);
      if (strcmp (w->id, id) == 0)
        return w;
    }
  return NULL;
}

struct sched_worker *
sched_add_worker (struct scheduler *s, const char *id)
{
  if (s->worker_count == s->worker_capacity)
    {
      s->worker_capacity = s->worker_capacity ? 2 * s->worker_capacity : 64;
      s->workers = xrealloc (s->workers, s->worker_capacity * sizeof (void *));
      s->rows = xrealloc (s->rows, s->worker_capacity * sizeof *s->rows);
    }
  struct sched_worker *w = xcalloc (1, sizeof *w);
  snprintf (w->id, sizeof w->id, "%s", id);
  TAILQ_INIT (&w->tasks);
  w->row = s->worker_count;
  s->workers[s->worker_count] = w;
  memset (&s->rows[s->worker_count], 0, sizeof *s->rows);
  s->worker_count++;
  cell_map_add (&s->worker_map, &w->node, cell_hash_names (id, ""));
  return w;
}

static void
free_worker (struct scheduler *s, struct sched_worker *w)
{
  struct sched_worker *last = s->workers[--s->worker_count];
  s->workers[w->row] = last;
  s->rows[w->row] = s->rows[last->row];
  last->row = w->row;
  if (w->ready)
    TAILQ_REMOVE (&s->ready, w, ready_link);
  if (w->health.quarantined)
    s->quarantined--;
  cell_map_remove (&s->worker_map, &w->node);
  free (w->unmatched_tasks);
  free (w);
}

void
sched_free_workers (struct scheduler *s)
{
  while (s->worker_count > 0)
    free_worker (s, s->workers[s->worker_count - 1]);
}

static uint64_t
unused (uint64_t total, uint64_t allocated, uint64_t unmatched, uint64_t reserved)
{
  uint64_t used = allocated + unmatched + reserved;
  return used < total ? total - used : 0;
}

bool
sched_fits (const struct sched_worker *w, const struct resource_amount *need,
            const struct resource_amount *own)
{
  static const struct resource_amount none;
  const struct resource_amount *o = own ? own : &none;
  return need->millicores <= unused (w->total.millicores, w->allocated.millicores,
                                     w->unmatched.millicores,
                                     w->reserved.millicores - o->millicores)
         && need->memory_mb <= unused (w->total.memory_mb, w->allocated.memory_mb,
                                       w->unmatched.memory_mb, w->reserved.memory_mb - o->memory_mb)
         && need->accelerators <= unused (w->total.accelerators, w->allocated.accelerators,
                                          w->unmatched.accelerators,
                                          w->reserved.accelerators - o->accelerators);
}

bool
sched_within_capacity (const struct sched_worker *w)
{
  return w->allocated.millicores <= w->total.millicores
         && w->allocated.memory_mb <= w->total.memory_mb
         && w->allocated.accelerators <= w->total.accelerators;
}

void
sched_update_row (struct scheduler *s, struct sched_worker *w)
{
  struct placement_row *r = &s->rows[w->row];
  r->free_millicores = (uint32_t)unused (w->total.millicores, w->allocated.millicores,
                                         w->unmatched.millicores, w->reserved.millicores);
  r->free_memory_mb = (uint32_t)unused (w->total.memory_mb, w->allocated.memory_mb,
                                        w->unmatched.memory_mb, w->reserved.memory_mb);
  r->free_accelerators = (uint32_t)unused (w->total.accelerators, w->allocated.accelerators,
                                           w->unmatched.accelerators, w->reserved.accelerators);
  r->total_millicores = (uint32_t)w->total.millicores;
  r->total_memory_mb = (uint32_t)w->total.memory_mb;
  r->rack = w->rack;
  r->urgent = w->urgent_count < UINT8_MAX ? (uint8_t)w->urgent_count : UINT8_MAX;
  r->health_score = (float)w->health.score;
  w->over_capacity = w->over_capacity && !sched_within_capacity (w);
  r->usable = w->announced && w->alive && worker_health_usable (&w->health, s->now_ms);
}

void
sched_mark_ready (struct scheduler *s, struct sched_worker *w)
{
  if (!w->poll_open || w->ready)
    return;
  w->ready = true;
  TAILQ_INSERT_TAIL (&s->ready, w, ready_link);
}

static uint16_t
rack_id (struct scheduler *s, const char *rack)
{
  for (size_t i = 0; i < s->rack_count; i++)
    if (strcmp (s->racks[i], rack) == 0)
      return (uint16_t)i;
  if (s->rack_count == SCHED_MAX_RACKS)
    return SCHED_MAX_RACKS - 1;
  snprintf (s->racks[s->rack_count], sizeof s->racks[0], "%s", rack);
  return (uint16_t)s->rack_count++;
}

static void
set_alive (struct scheduler *s, struct sched_worker *w, bool alive)
{
  if (alive == w->alive)
    return;
  w->alive = alive;
  int64_t sign = alive ? 1 : -1;
  s->total.millicores += (uint64_t)(sign * (int64_t)w->total.millicores);
  s->total.memory_mb += (uint64_t)(sign * (int64_t)w->total.memory_mb);
  s->total.accelerators += (uint64_t)(sign * (int64_t)w->total.accelerators);
  w->lost_since_ms = s->now_ms;
  s->round_needed = true;
  sched_update_row (s, w);
}

static char *
copy_text (const char *text)
{
  return text && text[0] ? xstrdup (text) : NULL;
}

static void
record_listing (struct scheduler *s, struct sched_worker *w, struct sched_task *st,
                const struct worker_task *in)
{
  if (st->listed_epoch == in->epoch && st->listed >= CELL_REPORT_DONE && in->state < st->listed)
    return;
  if (st->run_from_ms == 0 && in->state == CELL_REPORT_RUNNING)
    {
      st->run_from_ms = s->now_ms;
      st->last_checkpoint_ms = s->now_ms;
      st->start_progress_ms = st->t->progress_ms;
    }
  st->listed_epoch = in->epoch;
  st->listed_poll = w->sequence;
  st->listed = in->state;
  st->used_millicores = in->used_millicores;
  st->used_memory_mb = in->used_memory_mb;
  st->slowdown_milli = in->slowdown_milli;
  if (in->progress_ms > st->progress_ms || !st->checkpoint)
    {
      free (st->checkpoint);
      st->checkpoint = copy_text (in->checkpoint);
      if (in->progress_ms > st->progress_ms)
        st->last_checkpoint_ms = s->now_ms;
      st->progress_ms = in->progress_ms;
    }
  free (st->reason);
  st->reason = copy_text (in->reason);
  sched_reconcile (s, st);
}

static void
add_unmatched (struct sched_worker *w, const struct worker_task *in, const struct cell_task *t)
{
  if (w->unmatched_count == w->unmatched_capacity)
    {
      w->unmatched_capacity = w->unmatched_capacity ? 2 * w->unmatched_capacity : 8;
      w->unmatched_tasks
          = xrealloc (w->unmatched_tasks, w->unmatched_capacity * sizeof *w->unmatched_tasks);
    }
  struct sched_unmatched *g = &w->unmatched_tasks[w->unmatched_count++];
  g->task = in->task;
  g->epoch = in->epoch;
  g->running = in->state < CELL_REPORT_DONE;
  /* An epoch above the log's belongs to a newer leader: leave it alone.  */
  g->epoch_in_log = t && in->epoch <= t->epoch;
  g->unknown = !t;
  if (!g->running)
    return;
  uint64_t millicores = t ? t->job->spec.size.millicores : in->used_millicores;
  uint64_t memory_mb = t ? t->job->spec.size.memory_mb : in->used_memory_mb;
  w->unmatched.millicores += millicores;
  w->unmatched.memory_mb += memory_mb;
  w->unmatched.accelerators += t ? t->job->spec.size.accelerators : 0;
}

static void
apply_task_list (struct scheduler *s, struct sched_worker *w, const struct worker_task *tasks,
                 size_t count)
{
  w->unmatched_count = 0;
  memset (&w->unmatched, 0, sizeof w->unmatched);
  for (size_t i = 0; i < count; i++)
    {
      const struct cell_task *t = cell_find_task (s->cell, tasks[i].task);
      struct sched_task *st = t ? t->observer_data : NULL;
      if (st && st->worker == w && st->allocated_epoch == tasks[i].epoch && cell_task_on_worker (t)
          && t->epoch == tasks[i].epoch)
        record_listing (s, w, st, &tasks[i]);
      else
        add_unmatched (w, &tasks[i], t);
    }
  sched_update_row (s, w);
}

static int
check_message (const struct scheduler *s, const char *id, size_t task_count, struct status *st)
{
  if (!s->leading)
    return status_set (st, STATUS_NOT_LEADER, "this VM does not lead the cell");
  if (!id || id[0] == '\0' || strlen (id) > CELL_NAME_BYTES)
    return status_set (st, STATUS_BAD_REQUEST, "the worker id is empty or too long");
  if (task_count > SCHEDULER_MAX_WORKER_TASKS)
    return status_set (st, STATUS_TOO_LARGE, "the worker lists %zu tasks, at most %d are allowed",
                       task_count, SCHEDULER_MAX_WORKER_TASKS);
  return 0;
}

static void
begin_incarnation (struct sched_worker *w, const struct worker_announce *a)
{
  if (w->lease_until_ms > w->previous_lease_until_ms)
    w->previous_lease_until_ms = w->lease_until_ms;
  w->incarnation = a->incarnation;
  w->sequence = 0;
  w->poll_open = false;
  memset (&w->unmatched, 0, sizeof w->unmatched);
  w->unmatched_count = 0;
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    st->listed_epoch = 0;
    st->listed_poll = 0;
  }
}

static void
set_capacity (struct scheduler *s, struct sched_worker *w, const struct worker_announce *a)
{
  set_alive (s, w, false);
  w->total.millicores = a->millicores;
  w->total.memory_mb = a->memory_mb;
  w->total.accelerators = a->accelerators;
  w->rack = rack_id (s, a->rack ? a->rack : "");
  w->announced = true;
  w->over_capacity = !sched_within_capacity (w);
  set_alive (s, w, true);
  if (w->total.millicores > s->largest.millicores)
    s->largest = w->total;
}

int
scheduler_announce (struct scheduler *s, int64_t now_ms, const struct worker_announce *a,
                    struct status *st)
{
  if (now_ms > s->now_ms)
    s->now_ms = now_ms;
  if (check_message (s, a->id, a->task_count, st) != 0)
    return -1;
  if (a->rack && strlen (a->rack) > CELL_NAME_BYTES)
    return status_set (st, STATUS_BAD_REQUEST, "the rack's name is too long");
  struct sched_worker *w = sched_find_worker (s, a->id);
  if (!w && s->worker_count >= SCHEDULER_MAX_WORKERS)
    return status_set (st, STATUS_OVERLOADED, "the cell has too many workers");
  if (!w)
    w = sched_add_worker (s, a->id);
  if (a->incarnation < w->incarnation)
    return status_set (st, STATUS_STALE_INCARNATION, "worker %s has a newer incarnation", a->id);
  if (a->incarnation > w->incarnation)
    begin_incarnation (w, a);
  set_capacity (s, w, a);
  /* A repeated announcement may be outdated: its list counts only before the first poll.  */
  if (w->sequence == 0)
    apply_task_list (s, w, a->tasks, a->task_count);
  if (w->lease_until_ms < now_ms + SCHEDULER_LEASE_MS && w->sequence == 0)
    w->lease_until_ms = now_ms + SCHEDULER_LEASE_MS;
  return 0;
}

/* Records as stopped each task that ran here and that a newer poll's complete list omits.  */
static void
report_unlisted_stopped (struct scheduler *s, struct sched_worker *w)
{
  struct sched_task *st;
  struct sched_task *next;
  for (st = TAILQ_FIRST (&w->tasks); st; st = next)
    {
      next = TAILQ_NEXT (st, link);
      const struct cell_task *t = st->t;
      if (st->listed_poll == w->sequence || st->allocated_epoch == 0 || !cell_task_on_worker (t))
        continue;
      bool listed = st->listed_epoch == t->epoch;
      if (t->incarnation != w->incarnation && !listed)
        continue;
      if (t->state == CELL_RUNNING || listed)
        {
          st->listed_epoch = t->epoch;
          st->listed_poll = w->sequence;
          if (st->listed < CELL_REPORT_DONE)
            st->listed = CELL_REPORT_STOPPED;
          sched_reconcile (s, st);
        }
    }
}

static bool
has_pending_command (const struct scheduler *s, const struct sched_worker *w)
{
  const struct sched_task *st;
  for (size_t i = 0; i < w->unmatched_count; i++)
    if (w->unmatched_tasks[i].running && w->unmatched_tasks[i].epoch_in_log)
      return true;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    bool here = st->listed_epoch == st->t->epoch && st->listed_epoch != 0;
    if (st->t->state == CELL_PLACED && !here && sched_may_start (s))
      return true;
    if (st->t->state == CELL_STOPPING && !(here && st->listed >= CELL_REPORT_DONE))
      return true;
    if (st->checkpoint_due || st->limit_sent != st->limit_millicores)
      return true;
  }
  return false;
}

int
scheduler_poll (struct scheduler *s, int64_t now_ms, const struct worker_poll *p, struct status *st)
{
  if (now_ms > s->now_ms)
    s->now_ms = now_ms;
  if (check_message (s, p->id, p->task_count, st) != 0)
    return -1;
  struct sched_worker *w = sched_find_worker (s, p->id);
  if (!w || !w->announced)
    return status_set (st, STATUS_NOT_FOUND, "worker %s has not announced itself", p->id);
  if (p->incarnation != w->incarnation || p->sequence <= w->sequence)
    return status_set (st, STATUS_STALE_INCARNATION, "an old poll of worker %s", p->id);
  w->sequence = p->sequence;
  w->handled_ms = now_ms;
  w->poll_open = true;
  set_alive (s, w, true);
  apply_task_list (s, w, p->tasks, p->task_count);
  report_unlisted_stopped (s, w);
  sched_learn_poll (s, w, p);
  sched_enforce_limits (s, w, p);
  if (has_pending_command (s, w))
    sched_mark_ready (s, w);
  return 0;
}

static void
propose_lost (struct scheduler *s, struct sched_task *st)
{
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_LOST;
  cmd.cell_command_u.lost = (cell_lost){ st->t->id, st->t->epoch };
  s->stats.lost_tasks++;
  sched_propose (s, &cmd, st);
}

/* Proposes the loss of tasks whose lease has expired: all tasks of a silent worker, and those of an
   earlier incarnation that the current one does not run.  */
static void
expire_leases (struct scheduler *s, struct sched_worker *w)
{
  bool silent = s->now_ms > w->lease_until_ms + SCHEDULER_LEASE_MARGIN_MS;
  bool earlier = s->now_ms > w->previous_lease_until_ms + SCHEDULER_LEASE_MARGIN_MS;
  if (silent)
    set_alive (s, w, false);
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    const struct cell_task *t = st->t;
    if (st->in_flight || st->allocated_epoch == 0 || !cell_task_on_worker (t))
      continue;
    bool of_earlier = w->announced && t->incarnation != w->incarnation
                      && st->listed_epoch != t->epoch && w->sequence > 0;
    if (silent || (earlier && of_earlier))
      propose_lost (s, st);
  }
}

static void
scan_worker (struct scheduler *s, struct sched_worker *w)
{
  bool has_tasks = !TAILQ_EMPTY (&w->tasks);
  if (has_tasks || w->alive)
    expire_leases (s, w);
  if (w->retry_at_ms && s->now_ms >= w->retry_at_ms)
    {
      w->retry_at_ms = 0;
      if (has_pending_command (s, w))
        sched_mark_ready (s, w);
    }
  if (w->poll_open && s->now_ms - w->handled_ms >= SCHEDULER_HEARTBEAT_MS)
    sched_mark_ready (s, w);
  if (w->health.quarantined)
    sched_update_row (s, w);
}

void
sched_scan_workers (struct scheduler *s)
{
  for (size_t i = s->worker_count; i-- > 0;)
    {
      struct sched_worker *w = s->workers[i];
      scan_worker (s, w);
      bool idle = TAILQ_EMPTY (&w->tasks) && w->reserved.millicores == 0;
      if (!w->alive && idle && s->now_ms - w->lost_since_ms > LOST_WORKER_RETENTION_MS)
        free_worker (s, w);
    }
}

const char *
scheduler_next_ready (struct scheduler *s)
{
  struct sched_worker *w = TAILQ_FIRST (&s->ready);
  if (!w)
    return NULL;
  TAILQ_REMOVE (&s->ready, w, ready_link);
  w->ready = false;
  return w->id;
}

bool
scheduler_answer_due (const struct scheduler *s, const char *worker)
{
  const struct sched_worker *w = sched_find_worker (s, worker);
  return w && w->ready;
}
