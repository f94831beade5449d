#include "worker_api.h"

#include <stdlib.h>
#include <string.h>

#include "json_fields.h"

#define URL_BYTES 160

static const char *const report_names[] = {
  [CELL_REPORT_RUNNING] = "running", [CELL_REPORT_CHECKPOINT] = "checkpoint",
  [CELL_REPORT_DONE] = "done",       [CELL_REPORT_FAILED] = "failed",
  [CELL_REPORT_STOPPED] = "stopped", [CELL_REPORT_REFUSED] = "refused",
};

static const char *const command_names[] = {
  [WORKER_START] = "start", [WORKER_CHECKPOINT] = "checkpoint", [WORKER_THROTTLE] = "throttle",
  [WORKER_STOP] = "stop",   [WORKER_FORGET] = "forget",
};

static int
read_report_kind (const char *name, enum cell_report_kind *out, struct status *st)
{
  for (int i = CELL_REPORT_RUNNING; i <= CELL_REPORT_REFUSED; i++)
    if (name && strcmp (name, report_names[i]) == 0)
      {
        *out = (enum cell_report_kind)i;
        return 0;
      }
  return status_set (st, STATUS_BAD_REQUEST, "tasks[].state '%s' is unknown", name ? name : "");
}

static int
read_task (json_t *object, struct worker_task *out, struct status *st)
{
  const char *state = NULL;
  struct json_fields f = json_fields_begin (object, st);
  out->task = json_field_u64 (&f, "task", UINT64_MAX >> 1);
  out->epoch = json_field_u64 (&f, "epoch", UINT64_MAX >> 1);
  state = json_field_string (&f, "state", CELL_NAME_BYTES);
  out->used_millicores = json_field_u32_or (&f, "used_millicores", 0);
  out->used_memory_mb = json_field_u32_or (&f, "used_memory_mb", 0);
  out->slowdown_milli = json_field_u32_or (&f, "slowdown_milli", 0);
  out->progress_ms = json_field_u64_or (&f, "progress_ms", 0);
  out->checkpoint = json_field_string_or (&f, "checkpoint", CELL_CHECKPOINT_BYTES, "");
  out->reason = json_field_string_or (&f, "reason", CELL_REASON_BYTES, "");
  if (f.failed)
    return -1;
  return read_report_kind (state, &out->state, st);
}

/* Reads "tasks"; the caller frees the array.  */
static struct worker_task *
read_tasks (json_t *body, size_t *count, struct status *st)
{
  json_t *list = json_object_get (body, "tasks");
  size_t n = json_array_size (list);
  if (list && (!json_is_array (list) || n > SCHEDULER_MAX_WORKER_TASKS))
    {
      status_set (st, STATUS_BAD_REQUEST, "tasks must be an array of at most %d entries",
                  SCHEDULER_MAX_WORKER_TASKS);
      return NULL;
    }
  struct worker_task *tasks = xcalloc (n, sizeof *tasks);
  for (size_t i = 0; i < n; i++)
    if (read_task (json_array_get (list, i), &tasks[i], st) < 0)
      {
        free (tasks);
        return NULL;
      }
  *count = n;
  return tasks;
}

static json_t *
start_json (const struct worker_command *c)
{
  const cell_job_spec *spec = c->spec;
  return json_pack ("{s:i, s:b, s:i, s:I, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:s}", "valid_ms",
                    (int)c->valid_ms, "covered", c->covered ? 1 : 0, "index", (int)c->index,
                    "progress_ms", (json_int_t)c->progress_ms, "checkpoint",
                    c->checkpoint ? c->checkpoint : "", "customer", spec->customer, "service",
                    spec->service, "kind", spec->kind == CELL_URGENT ? "urgent" : "batch",
                    "millicores", (int)spec->size.millicores, "memory_mb",
                    (int)spec->size.memory_mb, "accelerators", (int)spec->size.accelerators,
                    "run_time_ms", (json_int_t)spec->run_ms, "payload", spec->payload);
}

static json_t *
command_json (const struct worker_command *c)
{
  json_t *o = c->kind == WORKER_START ? start_json (c) : json_object ();
  json_object_set_new (o, "type", json_string (command_names[c->kind]));
  json_object_set_new (o, "task", json_integer ((json_int_t)c->task));
  json_object_set_new (o, "epoch", json_integer ((json_int_t)c->epoch));
  if (c->kind == WORKER_THROTTLE)
    json_object_set_new (o, "limit_millicores", json_integer (c->limit_millicores));
  if (c->kind == WORKER_STOP)
    json_object_set_new (o, "grace_ms", json_integer (c->grace_ms));
  return o;
}

static json_t *
answer_json (const struct worker_answer *a)
{
  json_t *commands = json_array ();
  for (size_t i = 0; i < a->count; i++)
    json_array_append_new (commands, command_json (&a->commands[i]));
  return json_pack ("{s:I, s:i, s:i, s:i, s:o}", "incarnation", (json_int_t)a->incarnation,
                    "lease_ms", (int)a->lease_ms, "covered_lease_ms", (int)a->covered_lease_ms,
                    "heartbeat_ms", SCHEDULER_HEARTBEAT_MS, "commands", commands);
}

static void
on_poll_answer (void *arg, const struct status *st, const struct worker_answer *answer)
{
  struct http_request *req = arg;
  if (status_ok (st))
    http_reply_json (req, 200, answer_json (answer));
  else
    http_reply_status (req, st);
}

static void
announce (struct cell_service *cell, struct http_request *req, json_t *body)
{
  struct status st;
  struct worker_announce a = { 0 };
  struct json_fields f = json_fields_begin (body, &st);
  a.id = json_field_string (&f, "id", CELL_NAME_BYTES);
  a.rack = json_field_string (&f, "rack", CELL_NAME_BYTES);
  a.incarnation = json_field_u64 (&f, "incarnation", UINT64_MAX >> 1);
  a.millicores = json_field_u32 (&f, "millicores");
  a.memory_mb = json_field_u32 (&f, "memory_mb");
  a.accelerators = json_field_u32_or (&f, "accelerators", 0);
  struct worker_task *tasks = f.failed ? NULL : read_tasks (body, &a.task_count, &st);
  a.tasks = tasks;
  if (!tasks || cell_service_announce (cell, &a, &st) < 0)
    http_reply_status (req, &st);
  else
    http_reply_json (req, 200, json_pack ("{s:i}", "heartbeat_ms", SCHEDULER_HEARTBEAT_MS));
  free (tasks);
}

static void
poll (struct cell_service *cell, struct http_request *req, json_t *body)
{
  struct status st;
  struct worker_poll p = { 0 };
  struct json_fields f = json_fields_begin (body, &st);
  p.id = json_field_string (&f, "id", CELL_NAME_BYTES);
  p.incarnation = json_field_u64 (&f, "incarnation", UINT64_MAX >> 1);
  p.sequence = json_field_u64 (&f, "sequence", UINT64_MAX >> 1);
  p.measured_ago_ms = json_field_u32_or (&f, "measured_ago_ms", 0);
  p.used_millicores = json_field_u32_or (&f, "used_millicores", 0);
  bool wait = json_field_u32_or (&f, "wait", 0) != 0;
  struct worker_task *tasks = f.failed ? NULL : read_tasks (body, &p.task_count, &st);
  p.tasks = tasks;
  if (!tasks || cell_service_poll (cell, &p, wait, on_poll_answer, req, &st) < 0)
    http_reply_status (req, &st);
  free (tasks);
}

/* Redirects the worker to the leader of the cell.  */
static void
redirect_to_leader (const struct worker_api *api, const struct cell_service *cell,
                    struct http_request *req)
{
  char url[URL_BYTES];
  uint64_t leader = cell ? cell_service_leader (cell) : 0;
  const registry_member *m = leader ? registry_find_node (api->registry, leader) : NULL;
  /* A leader that has not applied its own log yet must not redirect to itself.  */
  if (!m || cell_service_elected (cell))
    {
      http_reply_error (req, STATUS_NO_QUORUM, "the cell has no leader that is ready yet");
      return;
    }
  snprintf (url, sizeof url, "http://%s%s?data_centre=%s", m->backend, req->path,
            cell_service_data_centre (cell));
  http_reply_redirect (req, url);
}

/* Cell of the worker; NULL if this VM is not a member of it.  */
static struct cell_service *
find_cell (const struct worker_api *api, struct http_request *req)
{
  const char *name = http_query (req, "data_centre");
  for (size_t i = 0; i < *api->cell_count; i++)
    if (!name || strcmp (name, cell_service_data_centre (api->cells[i])) == 0)
      return api->cells[i];
  return NULL;
}

static void
handle_body (struct cell_service *cell, struct http_request *req, bool is_announce)
{
  struct status st;
  json_t *body = http_body_json (req, &st);
  if (!body)
    http_reply_status (req, &st);
  else if (is_announce)
    announce (cell, req, body);
  else
    poll (cell, req, body);
  json_decref (body);
}

bool
worker_api_handle (struct worker_api *api, struct http_request *req)
{
  bool is_announce = strcmp (req->path, "/v1/workers/announce") == 0;
  if (!is_announce && strcmp (req->path, "/v1/workers/poll") != 0)
    return false;
  struct cell_service *cell = find_cell (api, req);
  if (strcmp (req->method, "POST") != 0)
    http_reply_error (req, STATUS_METHOD_NOT_ALLOWED, "use POST");
  else if (!cell || !cell_service_leading (cell))
    redirect_to_leader (api, cell, req);
  else
    handle_body (cell, req, is_announce);
  return true;
}
