#include "ctl.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MS_PER_S 1000

void
ctl_print_json (const json_t *body)
{
  char *text = json_dumps (body, JSON_INDENT (2) | JSON_ENCODE_ANY);
  puts (text ? text : "{}");
  free (text);
}

static void
print_faults (const json_t *body)
{
  const json_t *list = json_object_get (body, "faults");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *f = json_array_get (list, i);
      fprintf (stderr, "%s:%d: %s: %s\n", ctl_text (f, "file"), (int)ctl_int (f, "line"),
               ctl_text (f, "path"), ctl_text (f, "reason"));
    }
}

int
ctl_fail (struct ctl *c, const struct status *st, const struct ctl_reply *reply)
{
  const json_t *body = reply ? reply->body : NULL;
  int code = status_answer (st->kind)->exit_code;
  if (!c->json)
    {
      print_faults (body);
      fprintf (stderr, "sassafrasctl: %s: %s\n", status_answer (st->kind)->name, st->message);
      return code;
    }
  json_t *out
      = json_pack ("{s:s, s:s, s:i, s:s, s:s}", "error", status_answer (st->kind)->name, "message",
                   st->message, "exit_code", code, "ran",
                   status_ran_name (status_answer (st->kind)->ran), "request_id", c->request_id);
  json_object_update_missing (out, (json_t *)body);
  ctl_print_json (out);
  json_decref (out);
  return code;
}

int
ctl_usage_error (struct ctl *c, const char *format, ...)
{
  struct status st;
  char message[STATUS_MESSAGE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  status_set (&st, STATUS_BAD_REQUEST, "%s", message);
  return ctl_fail (c, &st, NULL);
}

int
ctl_call_and_print (struct ctl *c, const char *method, const char *path, const json_t *body,
                    void (*print) (const json_t *body))
{
  struct ctl_reply reply;
  int code = 0;
  if (ctl_call (c, method, path, body, &reply) < 0)
    code = ctl_fail (c, &reply.status, &reply);
  else if (c->json || !print)
    ctl_print_json (reply.body);
  else
    print (reply.body);
  ctl_reply_close (&reply);
  return code;
}

void
ctl_progress (struct ctl *c, const char *format, ...)
{
  va_list args;
  if (c->json)
    return;
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
}

const char *
ctl_format_time (int64_t unix_ms, char out[CTL_TIME_BYTES])
{
  time_t seconds = (time_t)(unix_ms / MS_PER_S);
  struct tm tm;
  snprintf (out, CTL_TIME_BYTES, "-");
  if (unix_ms <= 0 || !gmtime_r (&seconds, &tm))
    return out;
  size_t n = strftime (out, CTL_TIME_BYTES, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out + n, CTL_TIME_BYTES - n, ".%03dZ", (int)(unix_ms % MS_PER_S));
  return out;
}

int64_t
ctl_int (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

const char *
ctl_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "-";
}
