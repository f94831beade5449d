#include "job_api.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "home_cell.h"
#include "json_fields.h"
#include "propose_command.h"

#define JOBS_PATH "/v1/jobs"
#define URL_BYTES 256
#define DEFAULT_CHECKPOINT_MS 1000
#define DEFAULT_LIST_LIMIT 100
#define MAX_LIST_LIMIT 10000

/* Pending submission or cancellation.  */
struct job_call
{
  struct http_request *req;
  char data_centre[CELL_NAME_BYTES + 1]; /* of the cell */
  unsigned pending_count;                /* cancel commands without an outcome; + 1 in cancel_ids */
  unsigned cancelled;
  struct status failure; /* the last failure */
};

static const struct cell *
find_cell (const struct job_api *api, uint64_t number)
{
  for (size_t i = 0; i < *api->cell_count; i++)
    if (cell_service_number (api->cells[i]) == number)
      return cell_service_cell (api->cells[i]);
  return NULL;
}

static int
read_kind (struct json_fields *f, cell_job_spec *spec)
{
  const char *kind = json_field_string (f, "kind", CELL_NAME_BYTES);
  if (f->failed)
    return -1;
  if (strcmp (kind, "urgent") != 0 && strcmp (kind, "batch") != 0)
    return status_set (f->st, STATUS_BAD_REQUEST, "kind must be \"urgent\" or \"batch\"");
  spec->kind = strcmp (kind, "urgent") == 0 ? CELL_URGENT : CELL_BATCH;
  return 0;
}

/* Reads SPEC from BODY, which owns its strings.  */
static int
read_spec (json_t *body, cell_job_spec *spec, struct status *st)
{
  struct json_fields f = json_fields_begin (body, st);
  memset (spec, 0, sizeof *spec);
  spec->customer = (char *)json_field_string (&f, "customer", CELL_NAME_BYTES);
  spec->request_id = (char *)json_field_string (&f, "request_id", CELL_NAME_BYTES);
  spec->service = (char *)json_field_string (&f, "class", CELL_NAME_BYTES);
  spec->size.millicores = json_field_u32 (&f, "millicores");
  spec->size.memory_mb = json_field_u32 (&f, "memory_mb");
  spec->size.accelerators = json_field_u32_or (&f, "accelerators", 0);
  spec->replicas = json_field_u32_or (&f, "replicas", 1);
  spec->max_per_rack = json_field_u32_or (&f, "max_per_rack", 0);
  spec->run_ms = json_field_u64_or (&f, "run_time_ms", 0);
  spec->deadline_ms = json_field_u64_or (&f, "deadline_ms", 0);
  spec->checkpoint_ms = json_field_bool_or (&f, "checkpoint", false) ? DEFAULT_CHECKPOINT_MS : 0;
  spec->checkpoint_ms = json_field_u32_or (&f, "checkpoint_ms", spec->checkpoint_ms);
  spec->repeat_elsewhere = json_field_bool_or (&f, "safe_to_repeat", false);
  spec->payload = (char *)json_field_string_or (&f, "payload", CELL_PAYLOAD_BYTES, "");
  return read_kind (&f, spec);
}

static void
on_submitted (void *arg, const struct status *st, const void *result, size_t len)
{
  struct job_call *call = arg;
  struct status failure = *st;
  cell_results results;
  if (!status_ok (st) || cell_decode_results (result, len, &results, &failure) < 0)
    {
      http_reply_status (call->req, &failure);
      free (call);
      return;
    }
  const cell_result *r = &results.results.results_val[0];
  if (r->status != STATUS_OK)
    {
      status_set (&failure, (enum status_kind)r->status, "%s", r->message);
      http_reply_status (call->req, &failure);
    }
  else
    http_reply_json (call->req, r->repeated ? 200 : 201,
                     json_pack ("{s:I, s:I, s:s, s:b}", "job", (json_int_t)r->job, "first_task",
                                (json_int_t)r->task, "data_centre", call->data_centre, "repeated",
                                r->repeated ? 1 : 0));
  cell_free_results (&results);
  free (call);
}

static void
submit_job (struct job_api *api, struct http_request *req)
{
  struct status st;
  cell_command c = { .kind = CELL_SUBMIT };
  json_t *body = http_body_json (req, &st);
  if (!body || read_spec (body, &c.cell_command_u.submit, &st) < 0)
    {
      http_reply_status (req, &st);
      json_decref (body);
      return;
    }
  const cell_job_spec *spec = &c.cell_command_u.submit;
  const char *data_centre = json_string_value (json_object_get (body, "data_centre"));
  uint64_t cell = data_centre ? cell_of_data_centre (api->registry, data_centre)
                              : home_cell (api->registry, spec->customer, spec->request_id);
  if (!*api->registry_known)
    http_reply_error (req, STATUS_NO_QUORUM, "the lists are not known here yet");
  else if (cell == 0)
    {
      status_set (&st, data_centre ? STATUS_NOT_FOUND : STATUS_NO_QUORUM,
                  "no data centre '%s' is known", data_centre ? data_centre : "");
      http_reply_status (req, &st);
    }
  else
    {
      struct job_call *call = xcalloc (1, sizeof *call);
      call->req = req;
      snprintf (call->data_centre, sizeof call->data_centre, "%s",
                cell_data_centre_name (api->registry, cell));
      propose_cell_command (api->proposer, cell, &c, on_submitted, call);
    }
  json_decref (body);
}

static json_t *
task_json (const struct cell_task *t)
{
  return json_pack ("{s:I, s:i, s:s, s:I, s:s, s:I, s:i, s:i}", "task", (json_int_t)t->id, "index",
                    (int)t->index, "state", cell_state_name (t->state), "epoch",
                    (json_int_t)t->epoch, "worker", t->worker, "progress_ms",
                    (json_int_t)t->progress_ms, "failures", (int)t->failures, "evictions",
                    (int)t->evictions);
}

/* Name of a cell's data centre; empty until the registry is known.  */
static const char *
data_centre_name (const struct job_api *api, uint64_t number)
{
  const char *name = cell_data_centre_name (api->registry, number);
  return name ? name : "";
}

static json_t *
job_json (const struct job_api *api, const struct cell *c, const struct cell_job *j, bool tasks)
{
  const struct cell_task *t;
  json_t *o = json_pack (
      "{s:I, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:b, s:s, s:s}", "job", (json_int_t)j->id,
      "customer", j->spec.customer, "request_id", j->spec.request_id, "kind",
      j->spec.kind == CELL_URGENT ? "urgent" : "batch", "class", j->spec.service, "state",
      cell_state_name (cell_job_state (j)), "replicas", (int)j->spec.replicas, "open_tasks",
      (int)j->open_tasks, "cancelled", j->cancelled ? 1 : 0, "reason", j->reason ? j->reason : "",
      "data_centre", data_centre_name (api, c->number));
  if (!tasks)
    return o;
  json_t *list = json_array ();
  STAILQ_FOREACH (t, &j->tasks, link)
  json_array_append_new (list, task_json (t));
  json_object_set_new (o, "tasks", list);
  return o;
}

/* Redirects a read to a VM of DATA_CENTRE.  */
static void
redirect_to (struct job_api *api, struct http_request *req, const char *data_centre)
{
  char url[URL_BYTES];
  const registry_member *all;
  size_t n = registry_members (api->registry, &all);
  for (size_t i = 0; i < n && data_centre; i++)
    if (strcmp (all[i].data_centre, data_centre) == 0 && !all[i].draining)
      {
        snprintf (url, sizeof url, "http://%s%s?data_centre=%s", all[i].operators, req->path,
                  data_centre);
        http_reply_redirect (req, url);
        return;
      }
  http_reply_error (req, STATUS_NOT_FOUND, "no VM of data centre '%s' is known",
                    data_centre ? data_centre : "");
}

/* Cell to which all tasks of a job have moved; 0 if any is still local or they are in several.  */
static uint64_t
moved_to_cell (const struct cell_job *j)
{
  const struct cell_task *t;
  uint64_t cell = 0;
  STAILQ_FOREACH (t, &j->tasks, link)
  {
    if (t->state != CELL_MOVED || (cell != 0 && cell != t->other_cell))
      return 0;
    cell = t->other_cell;
  }
  return cell;
}

static void
show_job (struct job_api *api, struct http_request *req, uint64_t id)
{
  const char *data_centre = http_query (req, "data_centre");
  uint64_t number
      = data_centre ? cell_of_data_centre (api->registry, data_centre) : id >> CELL_ID_SHIFT;
  const struct cell *c = find_cell (api, number);
  if (!c)
    {
      redirect_to (api, req, cell_data_centre_name (api->registry, number));
      return;
    }
  const struct cell_job *j = cell_find_job (c, id);
  uint64_t other = j ? moved_to_cell (j) : 0;
  if (!j)
    http_reply_error (req, STATUS_NOT_FOUND, "no job %llu in data centre '%s'",
                      (unsigned long long)id, cell_data_centre_name (api->registry, number));
  else if (other != 0 && !data_centre)
    redirect_to (api, req, cell_data_centre_name (api->registry, other));
  else
    http_reply_json (req, 200, job_json (api, c, j, true));
}

static size_t
append_jobs (const struct job_api *api, const struct cell *c, const struct cell_job_list *jobs,
             const char *customer, size_t limit, json_t *out)
{
  const struct cell_job *j;
  TAILQ_FOREACH (j, jobs, link)
  {
    if (limit == 0)
      return 0;
    if (customer && strcmp (customer, j->spec.customer) != 0)
      continue;
    json_array_append_new (out, job_json (api, c, j, false));
    limit--;
  }
  return limit;
}

static void
list_jobs (struct job_api *api, struct http_request *req)
{
  const char *data_centre = http_query (req, "data_centre");
  const char *customer = http_query (req, "customer");
  const char *limit_text = http_query (req, "limit");
  size_t limit = limit_text ? strtoul (limit_text, NULL, 10) : DEFAULT_LIST_LIMIT;
  uint64_t number = data_centre        ? cell_of_data_centre (api->registry, data_centre)
                    : *api->cell_count ? cell_service_number (api->cells[0])
                                       : 0;
  const struct cell *c = find_cell (api, number);
  if (!c)
    {
      redirect_to (api, req, data_centre);
      return;
    }
  if (limit > MAX_LIST_LIMIT)
    limit = MAX_LIST_LIMIT;
  json_t *jobs = json_array ();
  limit = append_jobs (api, c, &c->job_list, customer, limit, jobs);
  append_jobs (api, c, &c->finished, customer, limit, jobs);
  http_reply_json (
      req, 200,
      json_pack ("{s:s, s:o}", "data_centre", data_centre_name (api, number), "jobs", jobs));
}

static void
finish_cancel (struct job_call *call)
{
  if (status_ok (&call->failure))
    http_reply_json (call->req, 200, json_pack ("{s:i}", "cancelled", (int)call->cancelled));
  else
    http_reply_status (call->req, &call->failure);
  free (call);
}

static void
on_cancelled (void *arg, const struct status *st, const void *result, size_t len)
{
  struct job_call *call = arg;
  cell_results results;
  if (!status_ok (st))
    call->failure = *st;
  else if (cell_decode_results (result, len, &results, &call->failure) == 0)
    {
      const cell_result *r = &results.results.results_val[0];
      call->cancelled += r->count;
      if (r->status != STATUS_OK)
        status_set (&call->failure, (enum status_kind)r->status, "%s", r->message);
      cell_free_results (&results);
    }
  if (--call->pending_count == 0)
    finish_cancel (call);
}

static int
compare_ids (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

/* Cancels jobs; each command has up to CELL_MAX_CANCEL ids of one cell.  */
static void
cancel_ids (struct job_api *api, struct http_request *req, uint64_t *ids, size_t count)
{
  struct job_call *call = xcalloc (1, sizeof *call);
  call->req = req;
  call->pending_count = 1;
  qsort (ids, count, sizeof *ids, compare_ids);
  for (size_t i = 0, n; i < count; i += n)
    {
      uint64_t cell = ids[i] >> CELL_ID_SHIFT;
      for (n = 1; i + n < count && n < CELL_MAX_CANCEL && ids[i + n] >> CELL_ID_SHIFT == cell; n++)
        ;
      cell_command c = { .kind = CELL_CANCEL };
      c.cell_command_u.cancel.jobs.jobs_val = (u_quad_t *)&ids[i];
      c.cell_command_u.cancel.jobs.jobs_len = (u_int)n;
      call->pending_count++;
      propose_cell_command (api->proposer, cell, &c, on_cancelled, call);
    }
  if (--call->pending_count == 0)
    finish_cancel (call);
}

static void
cancel_jobs (struct job_api *api, struct http_request *req)
{
  struct status st;
  json_t *body = http_body_json (req, &st);
  json_t *jobs = json_object_get (body, "jobs");
  size_t n = json_array_size (jobs);
  uint64_t *ids = xcalloc (n, sizeof *ids);
  status_clear (&st);
  for (size_t i = 0; i < n; i++)
    ids[i] = (uint64_t)json_integer_value (json_array_get (jobs, i));
  if (n == 0)
    http_reply_error (req, STATUS_BAD_REQUEST, "jobs must be an array of job ids");
  else
    cancel_ids (api, req, ids, n);
  free (ids);
  json_decref (body);
}

static void
refuse_method (struct http_request *req)
{
  http_reply_error (req, STATUS_METHOD_NOT_ALLOWED, "%s is not allowed on %s", req->method,
                    req->path);
}

static void
handle_job (struct job_api *api, struct http_request *req, const char *id_text)
{
  char *end;
  errno = 0;
  uint64_t id = strtoull (id_text, &end, 10);
  if (*end || end == id_text || errno != 0)
    http_reply_error (req, STATUS_NOT_FOUND, "'%s' is not a job id", id_text);
  else if (strcmp (req->method, "GET") == 0)
    show_job (api, req, id);
  else if (strcmp (req->method, "DELETE") == 0)
    cancel_ids (api, req, &id, 1);
  else
    refuse_method (req);
}

bool
job_api_handle (struct job_api *api, struct http_request *req)
{
  size_t n = strlen (JOBS_PATH);
  if (strncmp (req->path, JOBS_PATH, n) != 0 || (req->path[n] != '\0' && req->path[n] != '/'))
    return false;
  bool get = strcmp (req->method, "GET") == 0;
  bool post = strcmp (req->method, "POST") == 0;
  if (strcmp (req->path + n, "/cancel") == 0 && post)
    cancel_jobs (api, req);
  else if (req->path[n] == '/')
    handle_job (api, req, req->path + n + 1);
  else if (post)
    submit_job (api, req);
  else if (get)
    list_jobs (api, req);
  else
    refuse_method (req);
  return true;
}
