/* Jobs and tasks: records, states and life-cycle commands.  */
#include <stdlib.h>
#include <string.h>

#include "cell_internal.h"

uint64_t
cell_allocate_id (struct cell *c)
{
  return (c->number << CELL_ID_SHIFT) | c->next_id++;
}

uint64_t
cell_next_epoch (const struct cell *c, uint64_t epoch)
{
  uint64_t floor = (c->epoch << CELL_EPOCH_SHIFT) + 1;
  return epoch + 1 > floor ? epoch + 1 : floor;
}

bool
cell_task_final (const struct cell_task *t)
{
  return t->state >= CELL_DONE;
}

bool
cell_task_on_worker (const struct cell_task *t)
{
  return t->state == CELL_PLACED || t->state == CELL_RUNNING || t->state == CELL_STOPPING;
}

const char *
cell_state_name (enum cell_task_state state)
{
  static const char *const names[]
      = { "none",    "pending", "placed", "running",   "stopping", "offered",
          "standby", "done",    "failed", "cancelled", "moved" };
  size_t i = (size_t)state;
  return i < sizeof names / sizeof *names ? names[i] : "unknown";
}

enum cell_task_state
cell_job_state (const struct cell_job *j)
{
  static const enum cell_task_state order[]
      = { CELL_RUNNING, CELL_STOPPING, CELL_PLACED, CELL_PENDING,   CELL_OFFERED,
          CELL_STANDBY, CELL_FAILED,   CELL_MOVED,  CELL_CANCELLED, CELL_DONE };
  for (size_t i = 0; i < sizeof order / sizeof *order; i++)
    {
      const struct cell_task *t;
      STAILQ_FOREACH (t, &j->tasks, link)
      if (t->state == order[i])
        return order[i];
    }
  return CELL_DONE;
}

struct cell_job *
cell_find_job (const struct cell *c, uint64_t id)
{
  struct cell_map_node *n = cell_map_first (&c->jobs, cell_hash_id (id));
  for (; n; n = cell_map_next (n))
    {
      struct cell_job *j = CELL_CONTAINER (n, struct cell_job, node);
      if (j->id == id)
        return j;
    }
  return NULL;
}

struct cell_job *
cell_find_request (const struct cell *c, const char *customer, const char *request_id)
{
  struct cell_map_node *n = cell_map_first (&c->requests, cell_hash_names (customer, request_id));
  for (; n; n = cell_map_next (n))
    {
      struct cell_job *j = CELL_CONTAINER (n, struct cell_job, request_node);
      if (strcmp (j->spec.customer, customer) == 0 && strcmp (j->spec.request_id, request_id) == 0)
        return j;
    }
  return NULL;
}

struct cell_task *
cell_find_task (const struct cell *c, uint64_t id)
{
  struct cell_map_node *n = cell_map_first (&c->tasks, cell_hash_id (id));
  for (; n; n = cell_map_next (n))
    {
      struct cell_task *t = CELL_CONTAINER (n, struct cell_task, node);
      if (t->id == id)
        return t;
    }
  return NULL;
}

void
cell_notify_changed (struct cell *c, struct cell_task *t)
{
  if (c->observer.task_changed)
    c->observer.task_changed (c->observer.ctx, t);
}

struct cell_job *
cell_new_job (struct cell *c, uint64_t id, cell_job_spec *spec, int64_t deadline_left_ms)
{
  struct cell_job *j = xcalloc (1, sizeof *j);
  j->id = id;
  j->spec = *spec;
  memset (spec, 0, sizeof *spec);
  j->submitted_ms = c->now_ms;
  if (j->spec.deadline_ms > 0)
    j->deadline_ms = c->now_ms + deadline_left_ms;
  STAILQ_INIT (&j->tasks);
  cell_map_add (&c->jobs, &j->node, cell_hash_id (id));
  cell_map_add (&c->requests, &j->request_node,
                cell_hash_names (j->spec.customer, j->spec.request_id));
  TAILQ_INSERT_TAIL (&c->job_list, j, link);
  return j;
}

/* Moves the job between the lists of unfinished and finished jobs.  */
static void
update_job_list (struct cell *c, struct cell_job *j)
{
  if (j->open_tasks == 0 && !j->in_finished)
    {
      j->finished_ms = c->now_ms;
      TAILQ_REMOVE (&c->job_list, j, link);
      TAILQ_INSERT_TAIL (&c->finished, j, link);
      c->finished_count++;
      j->in_finished = true;
    }
  else if (j->open_tasks > 0 && j->in_finished)
    {
      j->finished_ms = 0;
      TAILQ_REMOVE (&c->finished, j, link);
      TAILQ_INSERT_TAIL (&c->job_list, j, link);
      c->finished_count--;
      j->in_finished = false;
    }
}

struct cell_task *
cell_new_task (struct cell *c, struct cell_job *j, uint64_t id, uint32_t index,
               enum cell_task_state state)
{
  struct cell_task *t = xcalloc (1, sizeof *t);
  t->id = id;
  t->job = j;
  t->index = index;
  t->state = state;
  t->state_ms = c->now_ms;
  cell_map_add (&c->tasks, &t->node, cell_hash_id (id));
  STAILQ_INSERT_TAIL (&j->tasks, t, link);
  c->task_count++;
  if (!cell_task_final (t))
    {
      j->open_tasks++;
      update_job_list (c, j);
    }
  return t;
}

static void
free_job (struct cell *c, struct cell_job *j)
{
  while (!STAILQ_EMPTY (&j->tasks))
    {
      struct cell_task *t = STAILQ_FIRST (&j->tasks);
      if (c->observer.task_removed)
        c->observer.task_removed (c->observer.ctx, t);
      STAILQ_REMOVE_HEAD (&j->tasks, link);
      cell_map_remove (&c->tasks, &t->node);
      free (t->checkpoint);
      free (t);
      c->task_count--;
    }
  if (c->observer.job_removed)
    c->observer.job_removed (c->observer.ctx, j);
  cell_map_remove (&c->jobs, &j->node);
  cell_map_remove (&c->requests, &j->request_node);
  xdr_free ((xdrproc_t)xdr_cell_job_spec, (char *)&j->spec);
  free (j->reason);
  free (j);
}

void
cell_set_state (struct cell *c, struct cell_task *t, enum cell_task_state state)
{
  struct cell_job *j = t->job;
  if (!cell_task_final (t))
    j->open_tasks--;
  t->state = state;
  t->state_ms = c->now_ms;
  if (!cell_task_final (t))
    j->open_tasks++;
  update_job_list (c, j);
  cell_notify_changed (c, t);
}

void
cell_set_checkpoint (struct cell_task *t, const char *checkpoint, uint64_t progress_ms)
{
  if (!checkpoint || checkpoint[0] == '\0' || progress_ms < t->progress_ms)
    return;
  free (t->checkpoint);
  t->checkpoint = xstrdup (checkpoint);
  t->progress_ms = progress_ms;
}

void
cell_expire_finished_jobs (struct cell *c)
{
  struct cell_job *j;
  while ((j = TAILQ_FIRST (&c->finished))
         && (c->finished_count > CELL_MAX_FINISHED
             || c->now_ms - j->finished_ms > CELL_FINISHED_RETENTION_MS))
    {
      TAILQ_REMOVE (&c->finished, j, link);
      c->finished_count--;
      free_job (c, j);
    }
}

void
cell_free_all (struct cell *c)
{
  if (c->observer.unloading)
    c->observer.unloading (c->observer.ctx);
  struct cell_job *j;
  while ((j = TAILQ_FIRST (&c->job_list)))
    {
      TAILQ_REMOVE (&c->job_list, j, link);
      free_job (c, j);
    }
  while ((j = TAILQ_FIRST (&c->finished)))
    {
      TAILQ_REMOVE (&c->finished, j, link);
      free_job (c, j);
    }
  c->finished_count = 0;
  cell_free_intents (c);
  cell_free_handoffs (c);
}

static const char *
spec_error (const cell_job_spec *s)
{
  if (s->customer[0] == '\0' || s->request_id[0] == '\0' || s->service[0] == '\0')
    return "customer, request id and service must not be empty";
  if (s->replicas == 0 || s->replicas > CELL_MAX_REPLICAS)
    return "the number of tasks is outside 1 to 1024";
  if (s->size.millicores == 0 || s->size.memory_mb == 0)
    return "a task needs processors and memory";
  if (s->deadline_ms > INT64_MAX / 4 || s->run_ms > INT64_MAX / 4)
    return "deadline or run time is too long";
  return NULL;
}

static bool
specs_equal (const cell_job_spec *a, const cell_job_spec *b)
{
  return strcmp (a->service, b->service) == 0 && a->kind == b->kind
         && a->size.millicores == b->size.millicores && a->size.memory_mb == b->size.memory_mb
         && a->size.accelerators == b->size.accelerators && a->replicas == b->replicas
         && strcmp (a->payload, b->payload) == 0;
}

static void
answer_repeated_submit (const struct cell_job *j, const cell_job_spec *spec, cell_result *r)
{
  r->repeated = true;
  if (!specs_equal (&j->spec, spec))
    {
      cell_set_error (r, STATUS_BAD_REQUEST, "the request id belongs to another job");
      return;
    }
  r->job = j->id;
  const struct cell_task *first = STAILQ_FIRST (&j->tasks);
  r->task = first ? first->id : 0;
}

void
cell_apply_submit (struct cell *c, cell_job_spec *spec, cell_result *r)
{
  const char *error = spec_error (spec);
  if (error)
    {
      cell_set_error (r, STATUS_BAD_REQUEST, error);
      return;
    }
  const struct cell_job *old = cell_find_request (c, spec->customer, spec->request_id);
  if (old)
    {
      answer_repeated_submit (old, spec, r);
      return;
    }
  if (c->task_count + spec->replicas > CELL_MAX_TASKS)
    {
      cell_set_error (r, STATUS_OVERLOADED, "the cell holds too many tasks");
      return;
    }
  struct cell_job *j = cell_new_job (c, cell_allocate_id (c), spec, (int64_t)spec->deadline_ms);
  for (uint32_t i = 0; i < j->spec.replicas; i++)
    {
      struct cell_task *t = cell_new_task (c, j, cell_allocate_id (c), i, CELL_PENDING);
      if (i == 0)
        r->task = t->id;
      cell_notify_changed (c, t);
    }
  r->job = j->id;
}

static void
end_cancelled_task (struct cell *c, struct cell_task *t)
{
  cell_set_state (c, t, t->job->reason ? CELL_FAILED : CELL_CANCELLED);
}

/* OFFERED tasks are skipped: until the receiver answers, it is unknown which cell must end them. */
static void
end_job (struct cell *c, struct cell_job *j)
{
  struct cell_task *t;
  STAILQ_FOREACH (t, &j->tasks, link)
  {
    if (t->state == CELL_PENDING || t->state == CELL_STANDBY)
      end_cancelled_task (c, t);
    else if (cell_task_on_worker (t))
      {
        t->stop = CELL_STOP_CANCEL;
        cell_set_state (c, t, CELL_STOPPING);
      }
  }
}

bool
cell_cancel_job (struct cell *c, uint64_t id)
{
  struct cell_job *j = cell_find_job (c, id);
  if (!j || j->cancelled || j->open_tasks == 0)
    return false;
  j->cancelled = true;
  end_job (c, j);
  return true;
}

void
cell_apply_cancel (struct cell *c, const cell_cancel *a, cell_result *r)
{
  for (u_int i = 0; i < a->jobs.jobs_len; i++)
    if (cell_cancel_job (c, a->jobs.jobs_val[i]))
      r->count++;
  r->repeated = r->count == 0;
}

void
cell_apply_fail_job (struct cell *c, const cell_fail_job *a, cell_result *r)
{
  struct cell_job *j = cell_find_job (c, a->job);
  if (!j)
    {
      cell_set_error (r, STATUS_NOT_FOUND, "no such job");
      return;
    }
  if (j->cancelled || j->open_tasks == 0)
    {
      r->repeated = true;
      return;
    }
  j->cancelled = true;
  j->reason = xstrdup (a->reason);
  end_job (c, j);
}

/* Returns the task if its epoch matches, otherwise NULL with the error in R.  */
static struct cell_task *
current_task (const struct cell *c, uint64_t id, uint64_t epoch, cell_result *r)
{
  struct cell_task *t = cell_find_task (c, id);
  if (!t)
    {
      cell_set_error (r, STATUS_NOT_FOUND, "no such task");
      return NULL;
    }
  r->epoch = t->epoch;
  if (t->epoch == epoch)
    return t;
  cell_set_error (r, STATUS_STALE_EPOCH, "the task has another epoch");
  return NULL;
}

void
cell_apply_place (struct cell *c, const cell_place *a, cell_result *r)
{
  struct cell_task *t = current_task (c, a->task, a->epoch, r);
  if (!t)
    return;
  if (t->state != CELL_PENDING)
    {
      cell_set_error (r, STATUS_STALE_EPOCH, "the task is not pending");
      return;
    }
  t->epoch = cell_next_epoch (c, t->epoch);
  snprintf (t->worker, sizeof t->worker, "%s", a->worker);
  t->incarnation = a->incarnation;
  t->stop = CELL_STOP_NONE;
  r->epoch = t->epoch;
  cell_set_state (c, t, CELL_PLACED);
}

void
cell_end_run (struct cell *c, struct cell_task *t)
{
  enum cell_stop_reason stop = t->stop;
  t->stop = CELL_STOP_NONE;
  if (t->job->cancelled)
    end_cancelled_task (c, t);
  else if (stop == CELL_STOP_REPLACED)
    cell_set_state (c, t, CELL_MOVED);
  else if (stop == CELL_STOP_CLOSED)
    cell_set_state (c, t, CELL_OFFERED);
  else
    cell_set_state (c, t, CELL_PENDING);
}

static void
record_failure (struct cell *c, struct cell_task *t, const cell_report *a)
{
  t->failures++;
  t->not_before_ms = c->now_ms + a->backoff_ms;
  for (int i = 0; i < CELL_FAILED_WORKERS; i++)
    if (strcmp (t->failed_on[i], t->worker) == 0)
      return;
  memmove (t->failed_on[0], t->failed_on[1], sizeof t->failed_on - sizeof t->failed_on[0]);
  memcpy (t->failed_on[CELL_FAILED_WORKERS - 1], t->worker, sizeof t->worker);
}

static bool
is_eviction (enum cell_stop_reason stop)
{
  return stop >= CELL_STOP_PREEMPT && stop <= CELL_STOP_PLAN;
}

static void
apply_final_report (struct cell *c, struct cell_task *t, const cell_report *a)
{
  if (a->kind == CELL_REPORT_DONE)
    {
      cell_set_state (c, t, CELL_DONE);
      return;
    }
  if (a->kind == CELL_REPORT_FAILED)
    record_failure (c, t, a);
  else if (a->kind == CELL_REPORT_STOPPED && is_eviction (t->stop))
    t->evictions++;
  cell_end_run (c, t);
}

void
cell_apply_report (struct cell *c, const cell_report *a, cell_result *r)
{
  struct cell_task *t = current_task (c, a->task, a->epoch, r);
  if (!t)
    return;
  if (!cell_task_on_worker (t))
    {
      r->repeated = true;
      return;
    }
  uint64_t before = t->progress_ms;
  cell_set_checkpoint (t, a->checkpoint, a->progress_ms);
  if (a->kind == CELL_REPORT_RUNNING && t->state == CELL_PLACED)
    cell_set_state (c, t, CELL_RUNNING);
  else if (a->kind >= CELL_REPORT_DONE)
    apply_final_report (c, t, a);
  else if (t->progress_ms != before)
    cell_notify_changed (c, t);
  else
    r->repeated = true;
}

void
cell_apply_stop (struct cell *c, const cell_stop *a, cell_result *r)
{
  struct cell_task *t = current_task (c, a->task, a->epoch, r);
  if (!t)
    return;
  if (t->state != CELL_PLACED && t->state != CELL_RUNNING)
    {
      r->repeated = true;
      return;
    }
  t->stop = a->reason;
  cell_set_state (c, t, CELL_STOPPING);
}

void
cell_apply_lost (struct cell *c, const cell_lost *a, cell_result *r)
{
  struct cell_task *t = current_task (c, a->task, a->epoch, r);
  if (!t)
    return;
  if (cell_task_on_worker (t))
    cell_end_run (c, t);
  else
    r->repeated = true;
}
