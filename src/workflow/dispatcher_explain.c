#include "dispatcher_explain.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher_internal.h"
#include "json_fields.h"

#define MAX_LISTED 10 /* workers */
#define MILLI 1000

static const char *const fields[]
    = { "queue",          "account",      "kind",        "millicores",
        "memory_mb",      "accelerators", "estimate_ms", "max_per_worker",
        "required_label", "data_rack",    "image",       NULL };

static int
check_fields (json_t *request, struct status *st)
{
  for (void *i = json_object_iter (request); i; i = json_object_iter_next (request, i))
    {
      const char *name = json_object_iter_key (i);
      bool known = false;
      for (int k = 0; fields[k]; k++)
        known = known || strcmp (fields[k], name) == 0;
      if (!known)
        return status_set (st, STATUS_BAD_REQUEST, "field '%.64s' is not known", name);
    }
  return 0;
}

static int
read_kind (const char *kind, workflow_step *s, struct status *st)
{
  if (strcmp (kind, "lasting") == 0)
    s->flags = WORKFLOW_STEP_LASTING;
  else if (strcmp (kind, "fill") == 0)
    s->flags = WORKFLOW_STEP_FILL;
  else if (strcmp (kind, "short") != 0)
    return status_set (st, STATUS_BAD_REQUEST, "field 'kind' is not short, lasting or fill");
  return 0;
}

/* Strings of S belong to REQUEST.  */
static int
read_step (json_t *request, workflow_step *s, const char **queue, const char **account,
           struct status *st)
{
  struct json_fields f = json_fields_begin (request, st);
  memset (s, 0, sizeof *s);
  if (f.failed || check_fields (request, st) < 0)
    return -1;
  *queue = json_field_string (&f, "queue", WORKFLOW_NAME_BYTES);
  *account = json_field_string_or (&f, "account", WORKFLOW_NAME_BYTES, "");
  const char *kind = json_field_string_or (&f, "kind", WORKFLOW_NAME_BYTES, "short");
  s->count = 1;
  s->millicores = json_field_u32_or (&f, "millicores", 0);
  s->memory_mb = json_field_u32_or (&f, "memory_mb", 0);
  s->accelerators = json_field_u32_or (&f, "accelerators", 0);
  s->estimate_ms = json_field_u32_or (&f, "estimate_ms", 0);
  s->max_per_worker = json_field_u32_or (&f, "max_per_worker", 0);
  s->required_label
      = (char *)(uintptr_t)json_field_string_or (&f, "required_label", WORKFLOW_NAME_BYTES, "");
  s->data_rack = (char *)(uintptr_t)json_field_string_or (&f, "data_rack", WORKFLOW_NAME_BYTES, "");
  s->image = (char *)(uintptr_t)json_field_string_or (&f, "image", WORKFLOW_NAME_BYTES, "");
  return f.failed ? -1 : read_kind (kind, s, st);
}

/* Whether a job of the task would be accepted.  */
static json_t *
explain_admission (const struct dispatcher *d, const workflow_spec *spec, const workflow_queue *q,
                   const struct account *a)
{
  const char *reason = "accepted";
  int64_t wait_ms = a ? dispatcher_account_wait_ms (d, d->now_ms, a) : 0;
  if (q->needs_advice)
    reason = "queues with advice are not supported";
  else if (!dispatcher_can_ever_fit (d, spec, q->pool))
    reason = "no worker of the pool is large enough or has the label";
  else if (a && !dispatcher_fits_cap (a, spec))
    reason = "the task is larger than the cap of the account";
  else if (wait_ms > 0)
    reason = "the account is beyond its weight, and the pool is full";
  return json_pack ("{s:s, s:I}", "outcome", reason, "retry_after_ms", (json_int_t)wait_ms);
}

static json_t *
explain_worker (const struct dispatcher *d, const struct probed_worker *p)
{
  const struct dispatch_worker *w = p->worker;
  json_t *row = json_pack (
      "{s:s, s:s, s:b, s:s, s:I, s:I, s:I, s:I, s:I}", "worker", w->id, "data_centre",
      w->zone ? w->zone : "", "near", (int)p->near, "reason", worker_obstacle_text (p->obstacle),
      "millicores", (json_int_t)w->millicores, "lasting_millicores",
      (json_int_t)w->lasting_millicores, "short_millicores", (json_int_t)w->short_millicores,
      "fill_millicores", (json_int_t)w->fill_millicores, "heard_ms_ago",
      (json_int_t)(d->now_ms - w->last_answer_ms));
  if (isfinite (p->score))
    json_object_set_new (row, "score", json_real (p->score));
  return row;
}

static json_t *
explain_workers (const struct dispatcher *d, const struct placement_probe *p)
{
  json_t *passed_over = json_object ();
  json_t *list = json_array ();
  int64_t oldest_ms = 0;
  for (int i = WORKER_FITS + 1; i < WORKER_OBSTACLES; i++)
    if (p->obstacles[i] > 0)
      json_object_set_new (passed_over, worker_obstacle_text ((enum worker_obstacle)i),
                           json_integer ((json_int_t)p->obstacles[i]));
  for (size_t i = 0; i < p->count; i++)
    {
      int64_t age_ms = d->now_ms - p->workers[i].worker->last_answer_ms;
      oldest_ms = age_ms > oldest_ms ? age_ms : oldest_ms;
      if (i < MAX_LISTED && i != p->best)
        json_array_append_new (list, explain_worker (d, &p->workers[i]));
    }
  json_t *chosen
      = p->best == WORKER_SELECT_NONE ? json_null () : explain_worker (d, &p->workers[p->best]);
  return json_pack ("{s:o, s:I, s:o, s:o, s:I}", "worker", chosen, "fitting",
                    (json_int_t)p->obstacles[WORKER_FITS], "passed_over", passed_over, "others",
                    list, "oldest_fact_ms", (json_int_t)oldest_ms);
}

static json_t *
explain_place (struct dispatcher *d, const struct workflow_task *t, const workflow_queue *q)
{
  const workflow_step *s = workflow_step_of (t);
  int64_t left_ms = (int64_t)s->estimate_ms * q->stretch_milli / MILLI + q->target_ms;
  const struct place_wait_facts f = dispatch_place_facts (d, t, s->data_rack, left_ms);
  json_t *place = json_pack ("{s:s, s:b, s:I, s:I}", "rack", s->data_rack, "would_wait",
                             (int)place_wait_pays (&f), "near_ms", (json_int_t)f.near_ms,
                             "elsewhere_ms", (json_int_t)f.remote_ms);
  if (f.predicted_ms != INT64_MAX)
    json_object_set_new (place, "predicted_wait_ms", json_integer ((json_int_t)f.predicted_ms));
  if (isfinite (f.load))
    json_object_set_new (place, "load", json_real (f.load));
  return place;
}

static json_t *
explain (struct dispatcher *d, const workflow_step *s, const workflow_queue *q,
         const struct account *a)
{
  workflow_step step = *s;
  struct workflow_task task = { .state = WORKFLOW_TASK_WAITING };
  struct workflow_stage stage = { .tasks = &task };
  struct workflow_job job = { .spec.steps = { 1, &step }, .stages = &stage, .seen_ms = d->now_ms };
  struct placement_probe probe;
  task.job = &job;
  dispatch_probe (d, &task, q, &probe);
  json_t *out = explain_workers (d, &probe);
  json_object_set_new (out, "queue", json_string (q->name));
  json_object_set_new (out, "pool", json_string (q->pool));
  json_object_set_new (out, "account", a ? json_string (a->name) : json_null ());
  json_object_set_new (out, "version",
                       json_integer ((json_int_t)d->config.workflow->configuration.revision));
  json_object_set_new (out, "admission", explain_admission (d, &job.spec, q, a));
  json_object_set_new (out, "longest_wait_ms", json_integer ((json_int_t)d->longest_wait_ms));
  json_object_set_new (out, "image_known", json_boolean (probe.knows_image));
  task.job->account = (struct account *)(uintptr_t)a;
  json_object_set_new (out, "held_by_cap", json_boolean (!dispatch_cap_allows (&task)));
  if (s->data_rack[0] && d->config.remote_run_factor > 1 && probe.best != WORKER_SELECT_NONE
      && !probe.workers[probe.best].near)
    json_object_set_new (out, "place", explain_place (d, &task, q));
  free (probe.workers);
  return out;
}

json_t *
dispatcher_explain (struct dispatcher *d, int64_t now_ms, json_t *request, struct status *st)
{
  workflow_step s;
  const char *queue;
  const char *account;
  const struct account *a = NULL;
  if (!d->leading)
    {
      status_set (st, STATUS_NOT_LEADER, "this VM does not lead");
      return NULL;
    }
  d->now_ms = now_ms;
  if (read_step (request, &s, &queue, &account, st) < 0)
    return NULL;
  const workflow_queue *q = workflow_find_queue (d->config.workflow, queue);
  if (!q)
    {
      status_set (st, STATUS_NOT_FOUND, "queue '%.64s' is not configured", queue);
      return NULL;
    }
  if (account[0])
    a = accounts_find (&d->config.workflow->accounts, account);
  if (account[0] && !a)
    {
      status_set (st, STATUS_NOT_FOUND, "account '%.64s' is not known", account);
      return NULL;
    }
  return explain (d, &s, q, a);
}
