/* Task moves between cells: hand-off, replacement replicas, standby copies, closed cell epochs.  */
#include <stdlib.h>
#include <string.h>

#include "cell_internal.h"

static char no_checkpoint[] = "";

void
cell_make_transfer (const struct cell *c, const struct cell_task *t, cell_transfer *out)
{
  const struct cell_job *j = t->job;
  memset (out, 0, sizeof *out);
  out->from_cell = c->number;
  out->from_epoch = c->epoch;
  out->job = j->id;
  out->task = t->id;
  out->index = t->index;
  out->task_epoch = t->epoch;
  out->progress_ms = t->progress_ms;
  out->checkpoint = t->checkpoint ? t->checkpoint : no_checkpoint;
  out->deadline_left_ms = j->deadline_ms - c->now_ms;
  out->cancelled = j->cancelled;
  out->spec = j->spec;
}

struct cell_handoff *
cell_find_handoff (const struct cell *c, uint64_t task)
{
  struct cell_map_node *n = cell_map_first (&c->handoffs, cell_hash_id (task));
  for (; n; n = cell_map_next (n))
    {
      struct cell_handoff *h = CELL_CONTAINER (n, struct cell_handoff, node);
      if (h->task == task)
        return h;
    }
  return NULL;
}

void
cell_add_handoff (struct cell *c, struct cell_handoff *h)
{
  cell_map_add (&c->handoffs, &h->node, cell_hash_id (h->task));
  TAILQ_INSERT_TAIL (&c->handoff_list, h, link);
}

static void
free_handoff (struct cell *c, struct cell_handoff *h)
{
  cell_map_remove (&c->handoffs, &h->node);
  TAILQ_REMOVE (&c->handoff_list, h, link);
  free (h);
}

void
cell_expire_handoffs (struct cell *c)
{
  struct cell_handoff *h;
  while ((h = TAILQ_FIRST (&c->handoff_list)) && c->now_ms - h->at_ms > CELL_HANDOFF_RETENTION_MS)
    free_handoff (c, h);
}

void
cell_free_handoffs (struct cell *c)
{
  struct cell_handoff *h;
  while ((h = TAILQ_FIRST (&c->handoff_list)))
    free_handoff (c, h);
}

/* Records the answer to transfer A, replacing an older one for the same task.  */
static void
record_handoff (struct cell *c, const cell_transfer *a, bool accepted, uint64_t local_task)
{
  struct cell_handoff *h = cell_find_handoff (c, a->task);
  if (h)
    free_handoff (c, h);
  h = xcalloc (1, sizeof *h);
  h->task = a->task;
  h->epoch = a->task_epoch;
  h->accepted = accepted;
  h->local_task = local_task;
  h->at_ms = c->now_ms;
  cell_add_handoff (c, h);
}

void
cell_apply_offer (struct cell *c, const cell_offer *a, cell_result *r)
{
  struct cell_task *t = cell_find_task (c, a->task);
  if (!t || t->epoch != a->epoch || t->state != CELL_PENDING)
    {
      cell_set_error (r, STATUS_STALE_EPOCH, "the task is not pending at this epoch");
      return;
    }
  if (a->to_cell == c->number || (t->other_cell != 0 && t->other_cell != a->to_cell))
    {
      cell_set_error (r, STATUS_BAD_REQUEST, "the standby copy is in another cell");
      return;
    }
  t->epoch = cell_next_epoch (c, t->epoch);
  t->other_cell = a->to_cell;
  r->epoch = t->epoch;
  cell_set_state (c, t, CELL_OFFERED);
}

static struct cell_job *
find_or_create_job (struct cell *c, cell_transfer *a)
{
  struct cell_job *j = cell_find_job (c, a->job);
  return j ? j : cell_new_job (c, a->job, &a->spec, a->deadline_left_ms);
}

/* Creates or updates the task of A in this cell as PENDING or STANDBY.  */
static struct cell_task *
adopt_task (struct cell *c, cell_transfer *a, enum cell_task_state state)
{
  struct cell_task *t = cell_find_task (c, a->task);
  if (!t)
    t = cell_new_task (c, find_or_create_job (c, a), a->task, a->index, state);
  if (a->task_epoch > t->epoch)
    t->epoch = a->task_epoch;
  t->stop = CELL_STOP_NONE;
  t->other_cell = state == CELL_STANDBY ? a->from_cell : 0;
  t->other_epoch = state == CELL_STANDBY ? a->from_epoch : 0;
  cell_set_checkpoint (t, a->checkpoint, a->progress_ms);
  cell_set_state (c, t, state);
  if (state == CELL_PENDING && t->job->cancelled)
    cell_set_state (c, t, t->job->reason ? CELL_FAILED : CELL_CANCELLED);
  return t;
}

/* True if this cell owns the task at or above the epoch of A, or has finished it.  */
static bool
already_owned (const struct cell_task *t, const cell_transfer *a)
{
  if (!t || t->state == CELL_STANDBY)
    return false;
  return t->epoch >= a->task_epoch || t->state == CELL_DONE || t->state == CELL_FAILED;
}

/* True if the standby copy here has a newer epoch: the offer was already settled.  */
static bool
stale_offer (const struct cell_task *t, const cell_transfer *a)
{
  return t && t->state == CELL_STANDBY && t->epoch > a->task_epoch;
}

static void
accept_task (struct cell *c, cell_transfer *a, cell_result *r)
{
  const struct cell_handoff *h = cell_find_handoff (c, a->task);
  r->task = a->task;
  if (h && h->epoch >= a->task_epoch)
    {
      r->repeated = true;
      if (!h->accepted && h->epoch == a->task_epoch)
        cell_set_error (r, STATUS_OVERLOADED, "the task was refused at this epoch");
      else if (!h->accepted)
        cell_set_error (r, STATUS_STALE_EPOCH, "a later offer was refused");
      return;
    }
  const struct cell_task *t = cell_find_task (c, a->task);
  if (already_owned (t, a))
    r->repeated = true;
  else if (stale_offer (t, a))
    cell_set_error (r, STATUS_STALE_EPOCH, "the owner has gone on since this offer");
  else if (t && (t->state == CELL_PENDING || cell_task_on_worker (t)))
    cell_set_error (r, STATUS_IN_PROGRESS, "the task is owned here until the closing is applied");
  else
    adopt_task (c, a, CELL_PENDING);
  if (r->status == STATUS_OK)
    record_handoff (c, a, true, a->task);
}

void
cell_apply_accept (struct cell *c, cell_transfer *a, cell_result *r)
{
  accept_task (c, a, r);
  if (a->cancelled && r->status == STATUS_OK)
    cell_cancel_job (c, a->job);
}

void
cell_apply_refuse (struct cell *c, const cell_transfer *a, cell_result *r)
{
  const struct cell_handoff *h = cell_find_handoff (c, a->task);
  struct cell_task *t = cell_find_task (c, a->task);
  bool accepted = h && h->accepted && h->epoch >= a->task_epoch;
  if (accepted || already_owned (t, a))
    {
      cell_set_error (r, STATUS_VERSION_CONFLICT, "the task was already accepted");
      return;
    }
  if (stale_offer (t, a))
    {
      cell_set_error (r, STATUS_STALE_EPOCH, "the owner has gone on since this offer");
      return;
    }
  r->repeated = h && h->epoch >= a->task_epoch;
  if (r->repeated)
    return;
  record_handoff (c, a, false, 0);
  if (!t || t->state != CELL_STANDBY)
    return;
  /* The sender keeps the task: a later STANDBY_START must not start this copy, even if the sender's
     cell epoch is closed before the refusal reaches it.  */
  t->epoch = a->task_epoch;
  cell_set_state (c, t, CELL_MOVED);
}

static struct cell_task *
offered_task (const struct cell *c, const cell_handoff_end *a, cell_result *r)
{
  struct cell_task *t = cell_find_task (c, a->task);
  if (!t)
    cell_set_error (r, STATUS_NOT_FOUND, "no such task");
  else if (t->epoch != a->epoch)
    cell_set_error (r, STATUS_STALE_EPOCH, "the task has another epoch");
  else if (t->state != CELL_OFFERED)
    r->repeated = true;
  else
    return t;
  return NULL;
}

void
cell_apply_handoff_done (struct cell *c, const cell_handoff_end *a, cell_result *r)
{
  struct cell_task *t = offered_task (c, a, r);
  if (t)
    cell_set_state (c, t, CELL_MOVED);
}

void
cell_apply_handoff_abort (struct cell *c, const cell_handoff_end *a, cell_result *r)
{
  struct cell_task *t = offered_task (c, a, r);
  if (!t)
    return;
  t->epoch = cell_next_epoch (c, t->epoch);
  if (!t->job->spec.repeat_elsewhere)
    t->other_cell = 0;
  if (t->job->cancelled)
    cell_set_state (c, t, t->job->reason ? CELL_FAILED : CELL_CANCELLED);
  else
    cell_set_state (c, t, CELL_PENDING);
}

/* One replacement per replica: a repeat at a newer epoch returns the first one until it ends.  */
void
cell_apply_replica_add (struct cell *c, cell_transfer *a, cell_result *r)
{
  const struct cell_handoff *h = cell_find_handoff (c, a->task);
  const struct cell_task *replacement = h ? cell_find_task (c, h->local_task) : NULL;
  if (h && (h->epoch >= a->task_epoch || (replacement && !cell_task_final (replacement))))
    {
      r->repeated = true;
      r->task = h->local_task;
      return;
    }
  if (a->spec.kind != CELL_URGENT)
    {
      cell_set_error (r, STATUS_BAD_REQUEST, "only replicas of services are replaced");
      return;
    }
  struct cell_job *j = find_or_create_job (c, a);
  if (j->cancelled)
    {
      cell_set_error (r, STATUS_NOT_FOUND, "the job is cancelled");
      return;
    }
  struct cell_task *t = cell_new_task (c, j, cell_allocate_id (c), a->index, CELL_PENDING);
  t->replaces = a->task;
  cell_set_state (c, t, CELL_PENDING);
  r->task = t->id;
  record_handoff (c, a, true, t->id);
}

void
cell_apply_replaced (struct cell *c, const cell_handoff_end *a, cell_result *r)
{
  struct cell_task *t = cell_find_task (c, a->task);
  if (!t)
    {
      cell_set_error (r, STATUS_NOT_FOUND, "no such task");
      return;
    }
  if (cell_task_on_worker (t) && t->stop != CELL_STOP_CANCEL && t->stop != CELL_STOP_REPLACED)
    {
      t->stop = CELL_STOP_REPLACED;
      cell_set_state (c, t, CELL_STOPPING);
    }
  else if (t->state == CELL_PENDING)
    cell_set_state (c, t, CELL_MOVED);
  else
    r->repeated = true;
}

void
cell_apply_standby_sent (struct cell *c, const cell_offer *a, cell_result *r)
{
  struct cell_task *t = cell_find_task (c, a->task);
  if (!t || cell_task_final (t) || t->state == CELL_STANDBY || !t->job->spec.repeat_elsewhere)
    {
      cell_set_error (r, STATUS_BAD_REQUEST, "the task cannot have a standby copy");
      return;
    }
  if (t->other_cell != 0 && t->other_cell != a->to_cell)
    {
      cell_set_error (r, STATUS_VERSION_CONFLICT, "the standby copy is in another cell");
      return;
    }
  r->repeated = t->other_cell == a->to_cell;
  t->other_cell = a->to_cell;
}

void
cell_apply_standby_put (struct cell *c, cell_transfer *a, cell_result *r)
{
  if (!a->spec.repeat_elsewhere)
    {
      cell_set_error (r, STATUS_BAD_REQUEST, "the job is not safe to repeat elsewhere");
      return;
    }
  const struct cell_task *t = cell_find_task (c, a->task);
  const struct cell_handoff *h = cell_find_handoff (c, a->task);
  r->task = a->task;
  if (h && h->epoch >= a->task_epoch)
    r->repeated = true;
  else if (t && t->state != CELL_STANDBY && !(t->state == CELL_MOVED && t->epoch < a->task_epoch))
    r->repeated = true;
  else if (t && (t->epoch > a->task_epoch || t->other_epoch > a->from_epoch))
    r->repeated = true;
  else
    adopt_task (c, a, CELL_STANDBY);
}

static void
start_standby_copy (struct cell *c, struct cell_task *t, uint64_t closed_epoch)
{
  uint64_t prefix = t->epoch >> CELL_EPOCH_SHIFT;
  if (prefix < closed_epoch)
    prefix = closed_epoch;
  t->epoch = ((prefix + 1) << CELL_EPOCH_SHIFT) + CELL_STANDBY_EPOCH_BASE;
  t->other_cell = 0;
  cell_set_state (c, t, t->job->cancelled ? CELL_CANCELLED : CELL_PENDING);
}

void
cell_apply_standby_start (struct cell *c, const cell_standby_start *a, cell_result *r)
{
  if (a->closed_ago_ms < CELL_CLOSE_WAIT_MS)
    {
      cell_set_error (r, STATUS_OVERLOADED, "leases under the closed epoch may still run");
      return;
    }
  struct cell_job *j;
  struct cell_job *next;
  for (j = TAILQ_FIRST (&c->job_list); j; j = next)
    {
      struct cell_task *t;
      next = TAILQ_NEXT (j, link);
      STAILQ_FOREACH (t, &j->tasks, link)
      if (t->state == CELL_STANDBY && t->other_cell == a->cell && t->other_epoch <= a->closed_epoch)
        {
          start_standby_copy (c, t, a->closed_epoch);
          r->count++;
        }
    }
}

void
cell_apply_standby_drop (struct cell *c, const cell_standby_drop *a, cell_result *r)
{
  struct cell_job *j = cell_find_job (c, a->job);
  r->repeated = true;
  if (!j)
    return;
  struct cell_task *t;
  STAILQ_FOREACH (t, &j->tasks, link)
  if (t->state == CELL_STANDBY)
    {
      cell_set_state (c, t, CELL_MOVED);
      r->repeated = false;
    }
}

/* A task with a standby copy may have been started in the copy's cell: stops it and offers it to
   that cell, whose answer determines the owner.  */
static void
release_task_with_standby (struct cell *c, struct cell_task *t)
{
  if (t->other_cell == 0 || !t->job->spec.repeat_elsewhere)
    return;
  if (cell_task_on_worker (t))
    {
      t->stop = CELL_STOP_CLOSED;
      cell_set_state (c, t, CELL_STOPPING);
    }
  else if (t->state == CELL_PENDING)
    {
      t->epoch = cell_next_epoch (c, t->epoch);
      cell_set_state (c, t, CELL_OFFERED);
    }
}

void
cell_apply_epoch_closed (struct cell *c, const cell_epoch_closed *a, cell_result *r)
{
  r->epoch = c->epoch;
  if (a->closed_epoch < c->epoch)
    {
      r->repeated = true;
      return;
    }
  c->epoch = a->closed_epoch + 1;
  r->epoch = c->epoch;
  struct cell_job *j;
  struct cell_job *next;
  for (j = TAILQ_FIRST (&c->job_list); j; j = next)
    {
      struct cell_task *t;
      next = TAILQ_NEXT (j, link);
      STAILQ_FOREACH (t, &j->tasks, link)
      if (t->state != CELL_STANDBY)
        release_task_with_standby (c, t);
    }
}
