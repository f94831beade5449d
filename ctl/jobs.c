/* jobs: submit, list, show and cancel.  */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

#define JOB_FILE_BYTES 65536
#define PATH_BYTES 256

static const char *const numbers[]
    = { "replicas", "millicores", "memory_mb", "accelerators", "run_time_ms", "deadline_ms" };
static const char *const fields[]
    = { "request_id", "customer",     "kind",        "class",       "replicas",   "millicores",
        "memory_mb",  "accelerators", "run_time_ms", "deadline_ms", "checkpoint", "safe_to_repeat",
        NULL };

/* Faults that every server would report; customer and plan are judged by the server.  */
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
      const json_t *own = json_object_get (job, "request_id");
      if (own)
        snprintf (c->request_id, sizeof c->request_id, "%s", json_string_value (own));
      else
        json_object_set_new (job, "request_id", json_string (c->request_id));
      code = ctl_finish (c, "POST", "/v1/jobs", job, NULL);
    }
  json_decref (job);
  json_faults_close (&faults);
  buffer_close (&text);
  return code;
}

static int
one_job (struct ctl *c, const char *method, const char *id)
{
  char path[PATH_BYTES];
  if (!json_name_valid (id))
    return ctl_usage (c, "'%s' is no job id", id);
  snprintf (path, sizeof path, "/v1/jobs/%s", id);
  json_t *body
      = strcmp (method, "DELETE") == 0 ? json_pack ("{s:s}", "request_id", c->request_id) : NULL;
  int code = ctl_finish (c, method, path, body, NULL);
  json_decref (body);
  return code;
}

int
command_jobs (struct ctl *c)
{
  const char *verb = c->word_count > 1 ? c->words[1] : "list";
  if (strcmp (verb, "list") == 0 && c->word_count <= 2)
    return ctl_finish (c, "GET", "/v1/jobs", NULL, NULL);
  if (strcmp (verb, "submit") == 0 && c->word_count == 3)
    return submit (c, c->words[2]);
  if (strcmp (verb, "show") == 0 && c->word_count == 3)
    return one_job (c, "GET", c->words[2]);
  if (strcmp (verb, "cancel") == 0 && c->word_count == 3)
    return one_job (c, "DELETE", c->words[2]);
  return ctl_usage (c, "usage: sassafrasctl jobs [list | submit FILE | show ID | cancel ID]");
}
