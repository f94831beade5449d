/* Command jobs: submit, list, show and cancel.  */
#include "ctl.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

#define JOB_FILE_BYTES 65536
#define PATH_BYTES 256

static const char *const numbers[]
    = { "replicas", "millicores", "memory_mb", "accelerators", "run_time_ms", "deadline_ms" };
static const char *const fields[] = {
  "request_id",     "customer",     "kind",        "class",       "replicas",   "millicores",
  "memory_mb",      "accelerators", "run_time_ms", "deadline_ms", "checkpoint", "checkpoint_ms",
  "safe_to_repeat", "max_per_rack", "payload",     "data_centre", NULL
};

/* Finds faults that any server would report; the server checks the customer and its plan.  */
static void
check_job (struct json_check *check, const json_t *job)
{
  char name[64];
  if (!json_check_object (check, job, fields))
    return;
  json_check_name (check, job, "customer", name, sizeof name);
  const char *kind = json_check_string (check, job, "kind", sizeof name);
  if (kind && strcmp (kind, "urgent") != 0 && strcmp (kind, "batch") != 0)
    json_check_fault_at (check, "kind", "'%s' is unknown, allowed: urgent, batch", kind);
  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    {
      const json_t *value = json_object_get (job, numbers[i]);
      if (value && (!json_is_integer (value) || json_integer_value (value) < 0))
        json_check_fault_at (check, numbers[i], "must be a whole number, 0 or above");
    }
}

static int
submit (struct ctl *c, const char *file)
{
  struct buffer text;
  struct status st;
  struct json_faults faults = { 0 };
  struct json_check check;
  int code = 0;
  buffer_init (&text);
  if (settings_read_file (file, JOB_FILE_BYTES, &text, &st) < 0)
    return ctl_fail (c, &st, NULL);
  struct json_source source = { file, text.data ? text.data : "", text.len };
  json_t *job = json_check_load (&check, &source, &faults);
  if (job)
    check_job (&check, job);
  if (faults.count > 0)
    {
      struct ctl_reply reply = { 0 };
      reply.body = json_pack ("{s:o}", "faults", json_faults_json (&faults));
      status_set (&st, STATUS_BAD_REQUEST, "%zu faults", faults.count + faults.dropped);
      code = ctl_fail (c, &st, &reply);
      ctl_reply_close (&reply);
    }
  else
    {
      const json_t *given = json_object_get (job, "request_id");
      if (given)
        snprintf (c->request_id, sizeof c->request_id, "%s", json_string_value (given));
      else
        json_object_set_new (job, "request_id", json_string (c->request_id));
      code = ctl_call_and_print (c, "POST", "/v1/jobs", job, NULL);
    }
  json_decref (job);
  json_faults_close (&faults);
  buffer_close (&text);
  return code;
}

static int
show_job (struct ctl *c, const char *id)
{
  char path[PATH_BYTES];
  if (!json_name_valid (id))
    return ctl_usage_error (c, "'%s' is no job id", id);
  snprintf (path, sizeof path, "/v1/jobs/%s", id);
  return ctl_call_and_print (c, "GET", path, NULL, NULL);
}

static void
print_jobs (const json_t *body)
{
  const json_t *list = json_object_get (body, "jobs");
  printf ("%-20s %-16s %-7s %-16s %-10s %9s %s\n", "JOB", "CUSTOMER", "KIND", "CLASS", "STATE",
          "OPEN", "REASON");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *j = json_array_get (list, i);
      printf ("%-20" PRId64 " %-16s %-7s %-16s %-10s %4" PRId64 "/%-4" PRId64 " %s\n",
              ctl_int (j, "job"), ctl_text (j, "customer"), ctl_text (j, "kind"),
              ctl_text (j, "class"), ctl_text (j, "state"), ctl_int (j, "open_tasks"),
              ctl_int (j, "replicas"), ctl_text (j, "reason"));
    }
}

static int
list_jobs (struct ctl *c)
{
  char path[PATH_BYTES];
  size_t used = (size_t)snprintf (path, sizeof path, "/v1/jobs?limit=%" PRId64, c->limit);
  if (c->customer)
    used += (size_t)snprintf (path + used, sizeof path - used, "&customer=%s", c->customer);
  if (c->data_centre)
    snprintf (path + used, sizeof path - used, "&data_centre=%s", c->data_centre);
  return ctl_call_and_print (c, "GET", path, NULL, print_jobs);
}

static int
cancel_jobs (struct ctl *c)
{
  json_t *ids = json_array ();
  int code = 0;
  for (int i = 2; i < c->arg_count && code == 0; i++)
    {
      char *end;
      errno = 0;
      long long id = strtoll (c->args[i], &end, 10);
      if (*end || end == c->args[i] || id < 1 || errno != 0)
        code = ctl_usage_error (c, "'%s' is no job id", c->args[i]);
      json_array_append_new (ids, json_integer (id));
    }
  json_t *body = json_pack ("{s:o}", "jobs", ids);
  if (code == 0)
    code = ctl_call_and_print (c, "POST", "/v1/jobs/cancel", body, NULL);
  json_decref (body);
  return code;
}

int
command_jobs (struct ctl *c)
{
  const char *verb = c->arg_count > 1 ? c->args[1] : "list";
  if (strcmp (verb, "list") == 0 && c->arg_count <= 2)
    return list_jobs (c);
  if (strcmp (verb, "submit") == 0 && c->arg_count == 3)
    return submit (c, c->args[2]);
  if (strcmp (verb, "show") == 0 && c->arg_count == 3)
    return show_job (c, c->args[2]);
  if (strcmp (verb, "cancel") == 0 && c->arg_count >= 3)
    return cancel_jobs (c);
  return ctl_usage_error (c,
                          "usage: sassafrasctl jobs [list | submit FILE | show ID | cancel ID...]");
}
