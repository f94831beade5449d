#include "ctl.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

#define MAX_ANSWER_BYTES ((size_t)256 << 20) /* the state of a VM with many jobs */
#define URL_BYTES 512
#define MAX_REDIRECTS 4

/* One request and its answer; the event loop runs until all exchanges have ended.  */
struct exchange
{
  struct ctl *ctl;
  struct ctl_reply *reply;
  char location[URL_BYTES];
  int code;
  bool answered;   /* a complete answer was received */
  size_t *running; /* exchanges in progress, shared */
};

void
ctl_reply_close (struct ctl_reply *reply)
{
  json_decref (reply->body);
  buffer_close (&reply->text);
  memset (reply, 0, sizeof *reply);
}

static void
read_error (struct ctl_reply *reply, int code)
{
  const char *kind = json_string_value (json_object_get (reply->body, "error"));
  const char *message = json_string_value (json_object_get (reply->body, "message"));
  if (kind)
    status_set (&reply->status, status_kind_from_name (kind), "%s", message ? message : "");
  else
    status_set (&reply->status, code == 404 ? STATUS_NOT_FOUND : STATUS_INTERNAL,
                "the server answered HTTP %d", code);
}

static void
on_answer (void *arg, const struct http_answer *answer)
{
  struct exchange *x = arg;
  struct ctl_reply *reply = x->reply;
  json_error_t error;
  x->code = answer->code;
  x->answered = status_ok (&answer->status);
  reply->maybe_sent = reply->maybe_sent || (!x->answered && answer->sent);
  reply->status = answer->status;
  if (x->answered)
    {
      buffer_append (&reply->text, answer->body.data, answer->body.len);
      reply->body = json_loadb (reply->text.data, reply->text.len, 0, &error);
      if (answer->code >= 300)
        read_error (reply, answer->code);
    }
  if (answer->location && strlen (answer->location) < sizeof x->location)
    memcpy (x->location, answer->location, strlen (answer->location) + 1);
  if (--*x->running == 0)
    ev_break (x->ctl->loop, EVBREAK_ONE);
}

static void
start (struct exchange *x, const char *method, const char *url, const char *body, long timeout_ms)
{
  const char *const headers[] = { "Content-Type: application/json",
                                  x->ctl->authorization[0] ? x->ctl->authorization : NULL, NULL };
  struct http_call call = {
    .method = method,
    .url = url,
    .headers = headers,
    .body = body,
    .body_len = body ? strlen (body) : 0,
    .max_answer = MAX_ANSWER_BYTES,
    .timeout_ms = timeout_ms,
    .done = on_answer,
    .done_arg = x,
  };
  http_client_send (x->ctl->client, &call);
}

static long
time_left (const struct ctl *c)
{
  int64_t left = c->deadline_ms - clock_now_ms (clock_real ());
  return left > 0 ? (long)left : 0;
}

bool
ctl_time_left (const struct ctl *c)
{
  return time_left (c) > 0;
}

/* Sends a request to one server and follows redirects; true on a complete answer.  */
static bool
try_server (struct ctl *c, const char *server, const char *method, const char *path,
            const char *body, struct ctl_reply *reply)
{
  char url[URL_BYTES];
  snprintf (url, sizeof url, "http://%s%s", server, path);
  for (int i = 0; i < MAX_REDIRECTS; i++)
    {
      bool maybe_sent = reply->maybe_sent;
      size_t running = 1;
      struct exchange x = { .ctl = c, .reply = reply, .running = &running };
      long limit = time_left (c) < CTL_ATTEMPT_TIMEOUT_MS ? time_left (c) : CTL_ATTEMPT_TIMEOUT_MS;
      ctl_reply_close (reply);
      reply->maybe_sent = maybe_sent;
      start (&x, method, url, body, limit > 0 ? limit : 1);
      ev_run (c->loop, 0);
      if (!x.answered || x.code / 100 != 3 || !x.location[0])
        return x.answered;
      snprintf (url, sizeof url, "%s", x.location);
    }
  status_set (&reply->status, STATUS_INTERNAL, "more than %d redirects", MAX_REDIRECTS);
  return true;
}

/* True for errors that may not recur on another server, or later on the same one.  */
static bool
is_retryable (enum status_kind kind)
{
  return kind == STATUS_NOT_LEADER || kind == STATUS_NO_QUORUM || kind == STATUS_OUTCOME_UNKNOWN
         || kind == STATUS_IN_PROGRESS || kind == STATUS_OVERLOADED || kind == STATUS_SHUTTING_DOWN
         || kind == STATUS_TIMEOUT;
}

static void
set_final_error (const struct ctl *c, bool changes, struct ctl_reply *reply)
{
  char last[128];
  snprintf (last, sizeof last, "%.120s", reply->status.message);
  if (changes && reply->maybe_sent)
    status_set (&reply->status, STATUS_OUTCOME_UNKNOWN,
                "no answer in %ld ms (%s); repeat with --request-id %s", c->timeout_ms, last,
                c->request_id);
  else if (changes)
    status_set (&reply->status, STATUS_NO_QUORUM, "not accepted in %ld ms: %s", c->timeout_ms,
                last);
  else
    status_set (&reply->status, STATUS_TIMEOUT, "no answer in %ld ms: %s", c->timeout_ms, last);
}

int
ctl_call (struct ctl *c, const char *method, const char *path, const json_t *body,
          struct ctl_reply *reply)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  size_t tried = 0;
  memset (reply, 0, sizeof *reply);
  for (;;)
    {
      const char *server = c->servers[c->next_server];
      bool answered = try_server (c, server, method, path, text, reply);
      if (answered && !is_retryable (reply->status.kind))
        break;
      if (answered && reply->status.kind == STATUS_OUTCOME_UNKNOWN)
        reply->maybe_sent = true;
      c->next_server = (c->next_server + 1) % c->server_count;
      if (++tried % c->server_count == 0 && ctl_time_left (c))
        ctl_sleep (c, CTL_POLL_INTERVAL_MS);
      if (!ctl_time_left (c))
        {
          set_final_error (c, strcmp (method, "GET") != 0, reply);
          break;
        }
    }
  free (text);
  return status_ok (&reply->status) ? 0 : -1;
}

void
ctl_get_all (struct ctl *c, struct ctl_probe *probes, size_t count, long timeout_ms)
{
  size_t running = count;
  struct exchange *list = xcalloc (count, sizeof *list);
  for (size_t i = 0; i < count; i++)
    {
      list[i].ctl = c;
      list[i].reply = &probes[i].reply;
      list[i].running = &running;
      start (&list[i], "GET", probes[i].url, NULL, timeout_ms);
    }
  if (count > 0)
    ev_run (c->loop, 0);
  free (list);
}

static void
on_wake (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

void
ctl_sleep (struct ctl *c, long ms)
{
  ev_timer timer;
  ev_timer_init (&timer, on_wake, (double)ms / 1000.0, 0.0);
  ev_now_update (c->loop);
  ev_timer_start (c->loop, &timer);
  ev_run (c->loop, 0);
  ev_timer_stop (c->loop, &timer);
}
