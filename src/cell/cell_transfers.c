#include "cell_transfers.h"

#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "propose_command.h"

#define SCAN_INTERVAL_MS 250
#define RETRY_MS 1000 /* before a step without outcome is retried */
#define MAX_STEPS_IN_FLIGHT 64
#define STEP_RECORD_MARGIN 1024 /* records kept in addition to two per task */

enum step_kind
{
  STEP_OFFER = 1,        /* offer an OFFERED task to its receiver */
  STEP_WITHDRAW = 2,     /* ask the receiver never to accept the task */
  STEP_REPLACE = 3,      /* ask another cell for a replacement replica */
  STEP_REPLACED = 4,     /* the replacement runs: let the old replica stop */
  STEP_MARK_STANDBY = 5, /* record the standby cell before the copy is sent */
  STEP_PUT_STANDBY = 6,  /* send the copy or its newer checkpoint */
  STEP_DROP_STANDBY = 7, /* drop the copies of a finished job */
};

/* Last step of one kind for one task; soft state of the leader.  */
struct step
{
  struct cell_map_node node; /* in steps, by kind and task */
  struct cell_transfers *transfers;
  enum step_kind kind;
  uint64_t task;
  uint64_t epoch;
  uint64_t progress_ms;
  uint64_t cell; /* the other cell */
  bool in_flight;
  bool done; /* succeeded for this epoch and progress */
  int64_t next_ms;
};

/* A cell whose epoch this leader has observed closed.  */
struct closed_cell
{
  uint64_t cell; /* 0: not observed under this leadership */
  uint64_t closed_epoch;
  int64_t seen_ms;
  bool in_flight;
  bool started;
  int64_t next_ms;
  struct cell_transfers *transfers;
};

struct cell_transfers
{
  struct cell_transfers_config config;
  bool leader;
  struct cell_map steps;
  unsigned steps_in_flight;
  int64_t next_scan_ms;
  struct scheduler_peer_cell cells[PEER_MAX_CELLS];
  size_t cell_count;
  struct closed_cell closed[PEER_MAX_CELLS]; /* by cell, since proposals in flight refer to them */
};

static struct counter moved_total
    = { .name = "sassafras_tasks_moved_total", .help = "Tasks that another cell has taken over." };
static struct counter standby_started_total
    = { .name = "sassafras_standby_started_total",
        .help = "Standby copies started for a closed cell." };

struct cell_transfers *
cell_transfers_open (const struct cell_transfers_config *config)
{
  struct cell_transfers *t = xcalloc (1, sizeof *t);
  t->config = *config;
  cell_map_init (&t->steps);
  return t;
}

/* Frees all steps that are not in flight; a later call frees the others.  */
static void
discard_idle_steps (struct cell_transfers *t)
{
  for (size_t i = 0; i < t->steps.size; i++)
    {
      struct cell_map_node *next;
      for (struct cell_map_node *n = t->steps.buckets[i]; n; n = next)
        {
          struct step *s = CELL_CONTAINER (n, struct step, node);
          next = n->next;
          if (s->in_flight)
            continue;
          cell_map_remove (&t->steps, n);
          free (s);
        }
    }
}

void
cell_transfers_close (struct cell_transfers *t)
{
  if (!t)
    return;
  for (size_t i = 0; i < t->steps.size; i++)
    {
      struct cell_map_node *next;
      for (struct cell_map_node *n = t->steps.buckets[i]; n; n = next)
        {
          next = n->next;
          free (CELL_CONTAINER (n, struct step, node));
        }
    }
  cell_map_close (&t->steps);
  free (t);
}

void
cell_transfers_set_leader (struct cell_transfers *t, bool leader)
{
  t->leader = leader;
  for (size_t i = 0; i < PEER_MAX_CELLS; i++)
    t->closed[i].cell = 0;
  discard_idle_steps (t);
}

static uint64_t
cell_number (const struct cell_transfers *t, const char *data_centre)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (t->config.registry, &all);
  for (size_t i = 0; i < n; i++)
    if (strcmp (all[i].name, data_centre) == 0)
      return i + 1;
  return 0;
}

static bool
cell_in_service (const struct cell_transfers *t, uint64_t number)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (t->config.registry, &all);
  return number >= 1 && number <= n && !all[number - 1].out;
}

/* The cell that holds the standby copies of this cell; 0 if there is no other cell.  */
static uint64_t
standby_cell (const struct cell_transfers *t)
{
  const registry_data_centre *all;
  uint64_t n = registry_data_centres (t->config.registry, &all);
  return n > 1 ? t->config.cell->number % n + 1 : 0;
}

void
cell_transfers_set_cells (struct cell_transfers *t, const cell_capacity *cells, size_t count)
{
  t->cell_count = 0;
  for (size_t i = 0; i < count && i < PEER_MAX_CELLS; i++)
    {
      uint64_t number = cell_number (t, cells[i].data_centre);
      if (number == 0 || number == t->config.cell->number || !cell_in_service (t, number))
        continue;
      t->cells[t->cell_count++]
          = (struct scheduler_peer_cell){ .cell = number,
                                          .standby = number == standby_cell (t),
                                          .free_millicores = cells[i].free_millicores,
                                          .free_memory_mb = cells[i].free_memory_mb,
                                          .free_accelerators = cells[i].free_accelerators };
    }
}

const struct scheduler_peer_cell *
cell_transfers_cells (const struct cell_transfers *t)
{
  return t->cells;
}

size_t
cell_transfers_cell_count (const struct cell_transfers *t)
{
  return t->cell_count;
}

static uint64_t
step_hash (enum step_kind kind, uint64_t task)
{
  return cell_hash_id (task * 8 + kind);
}

static struct step *
find_or_create_step (struct cell_transfers *t, enum step_kind kind, uint64_t task)
{
  uint64_t hash = step_hash (kind, task);
  for (struct cell_map_node *n = cell_map_first (&t->steps, hash); n; n = cell_map_next (n))
    {
      struct step *s = CELL_CONTAINER (n, struct step, node);
      if (s->kind == kind && s->task == task)
        return s;
    }
  struct step *s = xcalloc (1, sizeof *s);
  s->transfers = t;
  s->kind = kind;
  s->task = task;
  cell_map_add (&t->steps, &s->node, hash);
  return s;
}

/* True if a step may be sent: not in flight, not done for this state, retry delay elapsed.  */
static bool
step_due (struct cell_transfers *t, struct step *s, const struct cell_task *task, int64_t now_ms)
{
  if (s->epoch != task->epoch || s->progress_ms != task->progress_ms)
    s->done = false;
  if (s->in_flight || s->done || now_ms < s->next_ms || t->steps_in_flight >= MAX_STEPS_IN_FLIGHT)
    return false;
  s->epoch = task->epoch;
  s->progress_ms = task->progress_ms;
  s->next_ms = now_ms + RETRY_MS;
  return true;
}

static void
ignore_outcome (void *arg, const struct status *st, const void *result, size_t len)
{
  (void)arg;
  (void)st;
  (void)result;
  (void)len;
}

/* Completes an offer in this cell after the receiver has committed its answer.  */
static void
end_offer (struct step *s, bool accepted)
{
  cell_command c = { .kind = accepted ? CELL_HANDOFF_DONE : CELL_HANDOFF_ABORT };
  c.cell_command_u.handoff_end.task = s->task;
  c.cell_command_u.handoff_end.epoch = s->epoch;
  if (accepted)
    counter_add (&moved_total, 1);
  propose_cell_command (s->transfers->config.proposer, s->transfers->config.cell->number, &c,
                        ignore_outcome, NULL);
}

static void
on_step_applied (struct step *s, const cell_result *r)
{
  bool ok = r->status == STATUS_OK;
  switch (s->kind)
    {
    case STEP_OFFER:
      if (ok)
        end_offer (s, true);
      else if (r->status == STATUS_OVERLOADED)
        end_offer (s, false);
      break;
    case STEP_WITHDRAW:
      if (ok)
        end_offer (s, false);
      else if (r->status == STATUS_VERSION_CONFLICT)
        end_offer (s, true);
      break;
    default:
      break;
    }
  s->done = ok || s->kind == STEP_REPLACED;
}

static void
on_step_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct step *s = arg;
  cell_results results;
  s->in_flight = false;
  s->transfers->steps_in_flight--;
  if (!status_ok (st) || !s->transfers->leader
      || cell_decode_results (result, len, &results, NULL) < 0)
    return;
  if (results.results.results_len == 1)
    on_step_applied (s, &results.results.results_val[0]);
  cell_free_results (&results);
}

static void
send_step (struct step *s, uint64_t group, cell_command *command)
{
  s->cell = group;
  s->in_flight = true;
  s->transfers->steps_in_flight++;
  propose_cell_command (s->transfers->config.proposer, group, command, on_step_done, s);
}

static void
send_transfer (struct step *s, uint64_t group, enum cell_command_kind kind,
               const struct cell_task *task)
{
  cell_command c = { .kind = kind };
  cell_make_transfer (s->transfers->config.cell, task, &c.cell_command_u.transfer);
  send_step (s, group, &c);
}

/* Offers a task to its receiver, or withdraws the offer if the receiver's data centre is out.  */
static void
transfer_offered (struct cell_transfers *t, const struct cell_task *task, int64_t now_ms)
{
  bool in_service = cell_in_service (t, task->other_cell);
  struct step *s = find_or_create_step (t, in_service ? STEP_OFFER : STEP_WITHDRAW, task->id);
  if (step_due (t, s, task, now_ms))
    send_transfer (s, task->other_cell, in_service ? CELL_HANDOFF_ACCEPT : CELL_HANDOFF_REFUSE,
                   task);
}

void
cell_transfers_move (struct cell_transfers *t, const struct scheduler_move *move, int64_t now_ms)
{
  const struct cell_task *task = cell_find_task (t->config.cell, move->task);
  if (!task)
    return;
  if (move->kind == SCHEDULER_MOVE_HANDOFF)
    {
      transfer_offered (t, task, now_ms);
      return;
    }
  struct step *s = find_or_create_step (t, STEP_REPLACE, task->id);
  if (step_due (t, s, task, now_ms))
    send_transfer (s, s->cell ? s->cell : move->to_cell, CELL_REPLICA_ADD, task);
}

static void
report_replaced (struct cell_transfers *t, const struct cell_task *task, int64_t now_ms)
{
  struct step *s = find_or_create_step (t, STEP_REPLACED, task->id);
  if (!step_due (t, s, task, now_ms))
    return;
  cell_command c = { .kind = CELL_REPLICA_REPLACED };
  c.cell_command_u.handoff_end.task = task->replaces;
  send_step (s, task->replaces >> CELL_ID_SHIFT, &c);
}

/* Updates the standby copy of a task.  The cell of the copy is recorded in this cell's log first,
   so that a later leader knows that the task may be started there.  */
static void
update_standby (struct cell_transfers *t, const struct cell_task *task, int64_t now_ms)
{
  struct step *s
      = find_or_create_step (t, task->other_cell ? STEP_PUT_STANDBY : STEP_MARK_STANDBY, task->id);
  if (!step_due (t, s, task, now_ms))
    return;
  if (task->other_cell)
    {
      send_transfer (s, task->other_cell, CELL_STANDBY_PUT, task);
      return;
    }
  uint64_t cell = standby_cell (t);
  if (cell == 0)
    return;
  cell_command c = { .kind = CELL_STANDBY_SENT };
  c.cell_command_u.offer.task = task->id;
  c.cell_command_u.offer.epoch = task->epoch;
  c.cell_command_u.offer.to_cell = cell;
  send_step (s, t->config.cell->number, &c);
}

static void
drop_standby (struct cell_transfers *t, const struct cell_job *job, int64_t now_ms)
{
  const struct cell_task *task;
  STAILQ_FOREACH (task, &job->tasks, link)
  {
    if (task->other_cell == 0 || task->state == CELL_MOVED)
      continue;
    struct step *s = find_or_create_step (t, STEP_DROP_STANDBY, task->id);
    if (!step_due (t, s, task, now_ms))
      return;
    cell_command c = { .kind = CELL_STANDBY_DROP };
    c.cell_command_u.standby_drop.job = job->id;
    send_step (s, task->other_cell, &c);
    return;
  }
}

static void
scan_task (struct cell_transfers *t, const struct cell_task *task, int64_t now_ms)
{
  const cell_job_spec *spec = &task->job->spec;
  if (task->state == CELL_RUNNING && task->replaces != 0)
    report_replaced (t, task, now_ms);
  else if (spec->kind == CELL_BATCH && spec->repeat_elsewhere && !cell_task_final (task)
           && task->state != CELL_STANDBY)
    update_standby (t, task, now_ms);
}

static void
scan_jobs (struct cell_transfers *t, int64_t now_ms)
{
  const struct cell_job *job;
  const struct cell_task *task;
  TAILQ_FOREACH (job, &t->config.cell->job_list, link)
  STAILQ_FOREACH (task, &job->tasks, link)
  scan_task (t, task, now_ms);
  TAILQ_FOREACH (job, &t->config.cell->finished, link)
  if (job->spec.repeat_elsewhere)
    drop_standby (t, job, now_ms);
}

static void
on_standby_started (void *arg, const struct status *st, const void *result, size_t len)
{
  struct closed_cell *c = arg;
  cell_results results;
  c->in_flight = false;
  if (c->cell == 0 || !status_ok (st) || cell_decode_results (result, len, &results, NULL) < 0)
    return;
  if (results.results.results_len == 1 && results.results.results_val[0].status == STATUS_OK)
    {
      c->started = true;
      counter_add (&standby_started_total, results.results.results_val[0].count);
      log_line (LOG_INFO, "epoch %llu of cell %llu is closed: started %u standby copies",
                (unsigned long long)c->closed_epoch, (unsigned long long)c->cell,
                results.results.results_val[0].count);
    }
  cell_free_results (&results);
}

/* The record of CELL, or NULL while a proposal for an earlier epoch is in flight.  */
static struct closed_cell *
observe_closed (struct cell_transfers *t, uint64_t cell, uint64_t closed_epoch, int64_t now_ms)
{
  struct closed_cell *c = &t->closed[cell - 1];
  bool same = c->closed_epoch == closed_epoch;
  if (c->in_flight && !same)
    return NULL;
  if (c->cell == 0 || !same)
    *c = (struct closed_cell){ .cell = cell,
                               .closed_epoch = closed_epoch,
                               .seen_ms = now_ms,
                               .in_flight = c->in_flight,
                               .transfers = t };
  return c;
}

/* Starts the copies of cells whose epoch the registry has closed, once the leases under it have
   certainly expired.  The wait starts when this leader observes the closing.  */
static void
start_closed_cells (struct cell_transfers *t, int64_t now_ms)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (t->config.registry, &all);
  for (size_t i = 0; i < n && i < PEER_MAX_CELLS; i++)
    {
      if (all[i].epoch <= 1 || i + 1 == t->config.cell->number)
        continue;
      struct closed_cell *c = observe_closed (t, i + 1, all[i].epoch - 1, now_ms);
      int64_t elapsed_ms = c ? now_ms - c->seen_ms : 0;
      if (!c || c->started || c->in_flight || elapsed_ms < CELL_CLOSE_WAIT_MS
          || now_ms < c->next_ms)
        continue;
      cell_command command = { .kind = CELL_STANDBY_START };
      command.cell_command_u.standby_start.cell = c->cell;
      command.cell_command_u.standby_start.closed_epoch = c->closed_epoch;
      command.cell_command_u.standby_start.closed_ago_ms = (uint64_t)elapsed_ms;
      c->in_flight = true;
      c->next_ms = now_ms + RETRY_MS;
      propose_cell_command (t->config.proposer, t->config.cell->number, &command,
                            on_standby_started, c);
    }
}

void
cell_transfers_tick (struct cell_transfers *t, int64_t now_ms)
{
  if (!t->leader || now_ms < t->next_scan_ms)
    return;
  t->next_scan_ms = now_ms + SCAN_INTERVAL_MS;
  if (t->steps.count > 2 * (size_t)t->config.cell->task_count + STEP_RECORD_MARGIN)
    discard_idle_steps (t);
  scan_jobs (t, now_ms);
  start_closed_cells (t, now_ms);
}
