#include "scheduler_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

#define MAX_BATCH 512
#define WORKER_SCAN_PERIOD_MS 250
#define MODEL_DECAY_PERIOD_MS 60000
/* Per MODEL_DECAY_PERIOD_MS: halves an estimate's confidence in about 20 min without samples.  */
#define MODEL_DECAY_FACTOR 0.966
#define MAX_OUTBOX_COMMANDS 8192

bool
sched_has_policy (const struct scheduler *s, unsigned bit)
{
  return (s->config.policy & bit) != 0;
}

bool
sched_may_start (const struct scheduler *s)
{
  return s->leading && !s->data_centre_out && s->permit_until_ms > s->now_ms;
}

void
sched_invariant_failed (const char *rule)
{
  log_line (LOG_ERROR, "sched: invariant violated: %s", rule);
  abort ();
}

struct scheduler_quota
scheduler_unlimited_quota (void)
{
  return (struct scheduler_quota){ .weight = 1,
                                   .max_millicores = SCHEDULER_NO_LIMIT,
                                   .max_memory_mb = SCHEDULER_NO_LIMIT,
                                   .max_accelerators = SCHEDULER_NO_LIMIT,
                                   .evictions_per_hour = UINT32_MAX };
}

static void
load_quota (const struct scheduler *s, struct sched_customer *c)
{
  c->quota = scheduler_unlimited_quota ();
  c->known = !s->config.quota || s->config.quota (s->config.quota_ctx, c->name, &c->quota);
}

struct sched_customer *
sched_get_customer (struct scheduler *s, const char *name)
{
  uint64_t hash = cell_hash_names (name, "");
  struct cell_map_node *n = cell_map_first (&s->customer_map, hash);
  for (; n; n = cell_map_next (n))
    {
      struct sched_customer *c = CELL_CONTAINER (n, struct sched_customer, node);
      if (strcmp (c->name, name) == 0)
        return c;
    }
  struct sched_customer *c = xcalloc (1, sizeof *c);
  snprintf (c->name, sizeof c->name, "%s", name);
  LIST_INIT (&c->classes);
  load_quota (s, c);
  cell_map_add (&s->customer_map, &c->node, hash);
  LIST_INSERT_HEAD (&s->customers, c, link);
  return c;
}

struct sched_class *
sched_get_class (struct scheduler *s, struct sched_customer *customer, const cell_job_spec *spec)
{
  char key[2 * CELL_NAME_BYTES + 8];
  bool urgent = spec->kind == CELL_URGENT;
  snprintf (key, sizeof key, "%s %s/%s", urgent ? "urgent" : "batch", spec->customer,
            spec->service);
  uint64_t hash = cell_hash_names (key, "");
  struct cell_map_node *n = cell_map_first (&s->class_map, hash);
  for (; n; n = cell_map_next (n))
    {
      struct sched_class *c = CELL_CONTAINER (n, struct sched_class, node);
      if (strcmp (c->key, key) == 0)
        return c;
    }
  struct sched_class *c = xcalloc (1, sizeof *c);
  snprintf (c->key, sizeof c->key, "%s", key);
  c->urgent = urgent;
  c->processor_ratio = 1;
  c->memory_ratio = 1;
  c->usage_ratio = 1;
  c->id = urgent ? interference_service (s->model, strchr (key, ' ') + 1)
                 : interference_class (s->model, strchr (key, ' ') + 1);
  cell_map_add (&s->class_map, &c->node, hash);
  task_queue_init (&c->queue);
  LIST_INSERT_HEAD (&customer->classes, c, link);
  return c;
}

/* Proposals.  */

void
sched_propose (struct scheduler *s, cell_command *cmd, struct sched_task *st)
{
  if (s->outbox_count == s->outbox_capacity)
    {
      s->outbox_capacity = s->outbox_capacity ? 2 * s->outbox_capacity : MAX_BATCH;
      s->outbox = xrealloc (s->outbox, s->outbox_capacity * sizeof *s->outbox);
    }
  struct sched_command *c = &s->outbox[s->outbox_count++];
  c->command = *cmd;
  c->task = st ? st->t->id : 0;
  c->serial = ++s->next_serial;
  if (st)
    {
      st->in_flight = SCHED_QUEUED;
      st->serial = c->serial;
    }
}

static void
free_outbox (struct scheduler *s)
{
  for (size_t i = s->outbox_done; i < s->outbox_count; i++)
    xdr_free ((xdrproc_t)xdr_cell_command, (char *)&s->outbox[i].command);
  s->outbox_count = 0;
  s->outbox_done = 0;
}

static void
free_proposal (struct scheduler *s, struct sched_proposal *p)
{
  TAILQ_REMOVE (&s->proposals, p, link);
  free (p->tasks);
  free (p);
}

bool
scheduler_next_proposal (struct scheduler *s, int64_t now_ms, struct scheduler_proposal *out)
{
  size_t count = s->outbox_count - s->outbox_done;
  if (!s->leading || count == 0)
    return false;
  if (count > MAX_BATCH)
    count = MAX_BATCH;
  struct sched_proposal *p = xcalloc (1, sizeof *p);
  cell_command *commands = xcalloc (count, sizeof *commands);
  p->id = ++s->next_proposal;
  p->tasks = xcalloc (count, sizeof *p->tasks);
  p->count = count;
  for (size_t i = 0; i < count; i++)
    {
      const struct sched_command *c = &s->outbox[s->outbox_done + i];
      const struct cell_task *t = c->task ? cell_find_task (s->cell, c->task) : NULL;
      struct sched_task *st = t ? t->observer_data : NULL;
      commands[i] = c->command;
      p->tasks[i] = c->task;
      if (st && st->serial == c->serial)
        st->in_flight = p->id;
    }
  out->id = p->id;
  buffer_init (&out->entry);
  cell_encode (s->cell, now_ms, commands, count, &out->entry);
  for (size_t i = 0; i < count; i++)
    xdr_free ((xdrproc_t)xdr_cell_command, (char *)&commands[i]);
  free (commands);
  s->outbox_done += count;
  if (s->outbox_done == s->outbox_count)
    free_outbox (s);
  TAILQ_INSERT_TAIL (&s->proposals, p, link);
  return true;
}

void
scheduler_proposal_done (struct scheduler *s, int64_t now_ms, uint64_t id, bool applied)
{
  struct sched_proposal *p;
  (void)applied;
  if (now_ms > s->now_ms)
    s->now_ms = now_ms;
  TAILQ_FOREACH (p, &s->proposals, link)
  if (p->id == id)
    break;
  if (!p)
    return;
  for (size_t i = 0; i < p->count; i++)
    {
      const struct cell_task *t = p->tasks[i] ? cell_find_task (s->cell, p->tasks[i]) : NULL;
      struct sched_task *st = t ? t->observer_data : NULL;
      if (!st || st->in_flight != id)
        continue;
      st->in_flight = 0;
      sched_command_done (s, st);
    }
  free_proposal (s, p);
}

/* Observer of the cell.  */

static void
on_task_changed (void *ctx, struct cell_task *t)
{
  struct scheduler *s = ctx;
  if (s->leading)
    sched_sync_task (s, t);
}

static void
on_task_removed (void *ctx, struct cell_task *t)
{
  sched_drop_task (ctx, t);
}

static void
on_job_removed (void *ctx, struct cell_job *j)
{
  struct scheduler *s = ctx;
  if (s->move_job == j)
    s->move_job = NULL;
}

static void
clear_state (struct scheduler *s)
{
  struct cell_job *j;
  struct cell_task *t;
  TAILQ_FOREACH (j, &s->cell->job_list, link)
  STAILQ_FOREACH (t, &j->tasks, link)
  sched_drop_task (s, t);
  TAILQ_FOREACH (j, &s->cell->finished, link)
  STAILQ_FOREACH (t, &j->tasks, link)
  sched_drop_task (s, t);
  free_outbox (s);
  struct sched_proposal *p;
  while ((p = TAILQ_FIRST (&s->proposals)))
    free_proposal (s, p);
  sched_free_workers (s);
  s->move_job = NULL;
  memset (&s->total, 0, sizeof s->total);
}

static void
rebuild_state (struct scheduler *s)
{
  struct cell_job *j;
  struct cell_task *t;
  TAILQ_FOREACH (j, &s->cell->job_list, link)
  STAILQ_FOREACH (t, &j->tasks, link)
  sched_sync_task (s, t);
  s->round_needed = true;
}

static void
on_unloading (void *ctx)
{
  clear_state (ctx);
}

static void
on_reloaded (void *ctx)
{
  struct scheduler *s = ctx;
  if (s->leading)
    rebuild_state (s);
}

struct scheduler *
scheduler_new (const struct scheduler_config *config)
{
  struct scheduler *s = xcalloc (1, sizeof *s);
  s->config = *config;
  s->cell = config->cell;
  rng_init (&s->rng, config->seed);
  cell_map_init (&s->worker_map);
  cell_map_init (&s->customer_map);
  cell_map_init (&s->class_map);
  LIST_INIT (&s->customers);
  TAILQ_INIT (&s->ready);
  TAILQ_INIT (&s->reservations);
  TAILQ_INIT (&s->proposals);
  task_queue_init (&s->delayed);
  s->model = interference_new ();
  s->racks = xcalloc (SCHED_MAX_RACKS, sizeof *s->racks);
  s->rack_counts = xcalloc (SCHED_MAX_RACKS, sizeof *s->rack_counts);
  struct cell_observer o
      = { on_task_changed, on_task_removed, on_job_removed, on_reloaded, on_unloading, s };
  cell_set_observer (s->cell, &o);
  return s;
}

static void
free_customer (struct sched_customer *customer)
{
  while (!LIST_EMPTY (&customer->classes))
    {
      struct sched_class *c = LIST_FIRST (&customer->classes);
      LIST_REMOVE (c, link);
      task_queue_close (&c->queue);
      free (c);
    }
  LIST_REMOVE (customer, link);
  free (customer);
}

void
scheduler_free (struct scheduler *s)
{
  clear_state (s);
  cell_set_observer (s->cell, NULL);
  while (!LIST_EMPTY (&s->customers))
    free_customer (LIST_FIRST (&s->customers));
  cell_map_close (&s->worker_map);
  cell_map_close (&s->customer_map);
  cell_map_close (&s->class_map);
  task_queue_close (&s->delayed);
  interference_free (s->model);
  free (s->workers);
  free (s->rows);
  free (s->racks);
  free (s->rack_counts);
  free (s->peers);
  free (s->outbox);
  free (s->commands);
  free (s->skipped);
  free (s);
}

/* Inputs.  */

void
scheduler_set_leader (struct scheduler *s, int64_t now_ms, bool leader)
{
  s->now_ms = now_ms;
  if (leader == s->leading)
    return;
  clear_state (s);
  s->leading = leader;
  /* Without a permit of its own a new leader renews no task that may be started elsewhere.  */
  s->permit_until_ms = now_ms - CELL_ISOLATION_GRACE_MS;
  s->permit_lapsed = true;
  s->confirmed_until_ms = now_ms;
  if (!leader)
    return;
  cell_set_leader_time (s->cell, now_ms);
  rebuild_state (s);
}

void
scheduler_confirm_leadership (struct scheduler *s, int64_t until_ms)
{
  if (until_ms > s->confirmed_until_ms)
    s->confirmed_until_ms = until_ms;
}

/* Starts that waited for a permit are sent as soon as it is renewed.  */
void
scheduler_extend_permit (struct scheduler *s, int64_t until_ms)
{
  if (until_ms > s->permit_until_ms)
    s->permit_until_ms = until_ms;
  if (!s->permit_lapsed || until_ms <= s->now_ms)
    return;
  s->permit_lapsed = false;
  s->round_needed = true;
  for (size_t i = 0; i < s->worker_count; i++)
    if (!TAILQ_EMPTY (&s->workers[i]->tasks))
      sched_mark_ready (s, s->workers[i]);
}

void
scheduler_set_data_centre_out (struct scheduler *s, int64_t now_ms, bool out)
{
  s->now_ms = now_ms;
  s->data_centre_out = out;
  s->round_needed = true;
}

void
scheduler_set_peer_cells (struct scheduler *s, const struct scheduler_peer_cell *cells,
                          size_t count)
{
  free (s->peers);
  s->peers = xcalloc (count, sizeof *s->peers);
  if (count > 0)
    memcpy (s->peers, cells, count * sizeof *s->peers);
  s->peer_count = count;
}

void
scheduler_reload_quotas (struct scheduler *s, int64_t now_ms)
{
  struct sched_customer *c;
  s->now_ms = now_ms;
  LIST_FOREACH (c, &s->customers, link)
  load_quota (s, c);
  s->round_needed = true;
}

void
scheduler_tick (struct scheduler *s, int64_t now_ms)
{
  if (now_ms > s->now_ms)
    s->now_ms = now_ms;
  if (!s->leading)
    return;
  if (s->permit_until_ms <= s->now_ms)
    s->permit_lapsed = true;
  if (s->now_ms - s->scan_ms >= WORKER_SCAN_PERIOD_MS)
    {
      s->scan_ms = s->now_ms;
      sched_scan_workers (s);
      sched_enforce_plans (s);
    }
  if (s->now_ms - s->decay_ms >= MODEL_DECAY_PERIOD_MS)
    {
      s->decay_ms = s->now_ms;
      interference_decay (s->model, MODEL_DECAY_FACTOR);
    }
  if (s->data_centre_out)
    sched_drain_data_centre (s);
  if (s->outbox_count - s->outbox_done < MAX_OUTBOX_COMMANDS)
    sched_place_round (s);
}
