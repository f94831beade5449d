/* called_worker: worker of the users' platform for tests; reports to core VMs, which call it.

   Usage: called_worker ID IP:PORT POOL ZONE CONTROL...
   CONTROL are ip:port of core VMs.  The payload of a task is its run time in milliseconds.  Each
   start and end prints one line: "start TASK RUN" or "end TASK RUN".  With SIGUSR1 it reports that
   it drains, until "drain-acknowledged MS"; with SIGUSR2 it leaves, and ends with "left MS".  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <curl/curl.h>
#include <ev.h>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"

#define TICK_S 0.01
#define REPORT_PERIOD_MS 300
#define MAX_CONTROL 8
#define NAME_BYTES 64
#define CAPACITY_MILLICORES 16000
#define CAPACITY_MEMORY_MB 64000
#define REPORT_TIMEOUT_MS 900

struct run
{
  LIST_ENTRY (run) link;
  char task[NAME_BYTES];
  json_int_t run;
  int64_t end_ms;
};

struct ended
{
  STAILQ_ENTRY (ended) link;
  json_int_t number;
  char task[NAME_BYTES];
  json_int_t run;
  const char *outcome;
};

struct pending_hold
{
  LIST_ENTRY (pending_hold) link;
  struct http_request *request;
  int64_t until_ms;
};

struct worker
{
  const char *id, *address, *pool, *zone;
  const char *control[MAX_CONTROL];
  int control_count, next_control;
  struct ev_loop *loop;
  struct http_client *client;
  struct http_server *server;
  int64_t born_ms, lease_until_ms, next_report_ms;
  json_int_t fence, last_end_number, sequence;
  bool draining, drain_acknowledged, leaving, departing;
  LIST_HEAD (run_list, run) runs;
  STAILQ_HEAD (ended_list, ended) ended;
  LIST_HEAD (pending_hold_list, pending_hold) pending_holds;
};

static int64_t
now_ms (void)
{
  return clock_now_ms (clock_real ());
}

static void
end_run (struct worker *w, struct run *r, const char *outcome)
{
  struct ended *e = xcalloc (1, sizeof *e);
  e->number = ++w->last_end_number;
  memcpy (e->task, r->task, sizeof e->task);
  e->run = r->run;
  e->outcome = outcome;
  STAILQ_INSERT_TAIL (&w->ended, e, link);
  printf ("end %s %d\n", r->task, (int)r->run);
  fflush (stdout);
  LIST_REMOVE (r, link);
  free (r);
}

static json_t *
lists_body (const struct worker *w)
{
  const struct run *r;
  const struct ended *e;
  json_t *running = json_array ();
  json_t *finished = json_array ();
  LIST_FOREACH (r, &w->runs, link)
  json_array_append_new (running, json_pack ("[s, I, s, i, i]", r->task, r->run, "", 50, 1000));
  STAILQ_FOREACH (e, &w->ended, link)
  json_array_append_new (finished,
                         json_pack ("[I, s, I, s, s]", e->number, e->task, e->run, e->outcome, ""));
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)now_ms (), "born",
                    (json_int_t)w->born_ms, "running", running, "finished", finished);
}

static struct run *
find_run (struct worker *w, const char *task)
{
  struct run *r;
  LIST_FOREACH (r, &w->runs, link)
  if (strcmp (r->task, task) == 0)
    return r;
  return NULL;
}

static json_int_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
reply_clock (struct http_request *req, int code, const char *reason)
{
  http_reply_json (req, code,
                   json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)now_ms (), "reason", reason));
}

static void
start (struct worker *w, struct http_request *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *payload = json_string_value (json_object_get (body, "spec"));
  struct run *r = find_run (w, task);
  if (number (body, "deadline_ms") < now_ms ())
    {
      reply_clock (req, 409, "late");
      return;
    }
  if (r && r->run != number (body, "run"))
    {
      reply_clock (req, 409, "old");
      return;
    }
  if (!r)
    {
      r = xcalloc (1, sizeof *r);
      snprintf (r->task, sizeof r->task, "%s", task);
      r->run = number (body, "run");
      r->end_ms = now_ms () + strtol (payload, NULL, 10);
      LIST_INSERT_HEAD (&w->runs, r, link);
      printf ("start %s %d\n", r->task, (int)r->run);
      fflush (stdout);
    }
  reply_clock (req, 200, "");
}

static void
stop (struct worker *w, struct http_request *req, const json_t *body)
{
  struct run *r = find_run (w, json_string_value (json_object_get (body, "task")));
  if (r && r->run <= number (body, "run"))
    end_run (w, r, "stopped");
  reply_clock (req, 200, "");
}

static void
hold (struct worker *w, struct http_request *req, const json_t *body)
{
  struct ended *e;
  while ((e = STAILQ_FIRST (&w->ended)) != NULL && e->number <= number (body, "ack_cursor"))
    {
      STAILQ_REMOVE_HEAD (&w->ended, link);
      free (e);
    }
  if (number (body, "deadline_ms") > w->lease_until_ms)
    w->lease_until_ms = number (body, "deadline_ms");
  struct pending_hold *h = xcalloc (1, sizeof *h);
  h->request = req;
  h->until_ms = now_ms () + number (body, "wait_ms");
  LIST_INSERT_HEAD (&w->pending_holds, h, link);
}

static void
handle (void *arg, struct http_request *req)
{
  struct worker *w = arg;
  const char *expected_instance = http_header (req, "Expect-Instance");
  struct status st;
  json_t *body = http_body_json (req, &st);
  if (!body)
    http_reply_status (req, &st);
  else if (expected_instance && strcmp (expected_instance, w->id) != 0)
    reply_clock (req, 421, "");
  else if (number (body, "fence") < w->fence)
    reply_clock (req, 409, "fence");
  else
    {
      w->fence = number (body, "fence");
      if (strstr (req->path, "run-start"))
        start (w, req, body);
      else if (strstr (req->path, "run-stop"))
        stop (w, req, body);
      else if (strstr (req->path, "hold"))
        hold (w, req, body);
      else
        reply_clock (req, 200, "");
    }
  json_decref (body);
}

static void
note (const char *event)
{
  printf ("%s %lld\n", event, (long long)now_ms ());
  fflush (stdout);
}

/* After a failed report the next one goes to the next core VM.  */
static void
on_reported (void *arg, const struct http_answer *a)
{
  struct worker *w = arg;
  if (a->code != 200)
    w->next_control++;
}

static void
on_drain_reported (void *arg, const struct http_answer *a)
{
  struct worker *w = arg;
  on_reported (arg, a);
  if (a->code == 200 && !w->drain_acknowledged)
    note ("drain-acknowledged");
  w->drain_acknowledged = w->drain_acknowledged || a->code == 200;
}

static void
on_departed (void *arg, const struct http_answer *a)
{
  struct worker *w = arg;
  on_reported (arg, a);
  w->departing = false;
  if (a->code != 200)
    return;
  note ("left");
  exit (0);
}

static void
depart (struct worker *w)
{
  char url[256];
  snprintf (url, sizeof url, "http://%s/sassafrasstall/instances/%s",
            w->control[w->next_control % w->control_count], w->id);
  const struct http_call call = { .method = "DELETE",
                                  .url = url,
                                  .timeout_ms = REPORT_TIMEOUT_MS,
                                  .done = on_departed,
                                  .done_arg = w };
  w->departing = true;
  http_client_send (w->client, &call);
}

static void
on_drain (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct worker *w = watcher->data;
  (void)loop;
  (void)events;
  w->draining = true;
  w->next_report_ms = 0;
}

static void
on_leave (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct worker *w = watcher->data;
  (void)loop;
  (void)events;
  w->leaving = true;
}

static void
report (struct worker *w)
{
  char url[256];
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:s, s:{s:i, s:i}, s:[s, s], s:I, s:I, s:I}", "service", w->pool, "address",
      w->address, "zone", w->zone, "state", w->draining ? "draining" : "ready", "capacity", "cpu",
      CAPACITY_MILLICORES, "mem_mb", CAPACITY_MEMORY_MB, "labels", "a", "r1-1", "clock_ms",
      (json_int_t)now_ms (), "seq", ++w->sequence, "born", (json_int_t)w->born_ms);
  char *text = json_dumps (body, JSON_COMPACT);
  snprintf (url, sizeof url, "http://%s/sassafrasstall/instances/%s",
            w->control[w->next_control % w->control_count], w->id);
  const struct http_call call = { .method = "PUT",
                                  .url = url,
                                  .body = text,
                                  .body_len = strlen (text),
                                  .timeout_ms = REPORT_TIMEOUT_MS,
                                  .done = w->draining ? on_drain_reported : on_reported,
                                  .done_arg = w };
  http_client_send (w->client, &call);
  free (text);
  json_decref (body);
}

static void
end_due_runs (struct worker *w)
{
  struct run *r;
  struct run *next;
  for (r = LIST_FIRST (&w->runs); r; r = next)
    {
      next = LIST_NEXT (r, link);
      if (w->lease_until_ms > 0 && now_ms () > w->lease_until_ms)
        end_run (w, r, "lapsed");
      else if (now_ms () >= r->end_ms)
        end_run (w, r, "done");
    }
}

static void
answer_holds (struct worker *w)
{
  struct pending_hold *h;
  struct pending_hold *next;
  for (h = LIST_FIRST (&w->pending_holds); h; h = next)
    {
      next = LIST_NEXT (h, link);
      if (now_ms () < h->until_ms && STAILQ_EMPTY (&w->ended))
        continue;
      http_reply_json (h->request, 200, lists_body (w));
      LIST_REMOVE (h, link);
      free (h);
    }
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct worker *w = timer->data;
  (void)loop;
  (void)events;
  end_due_runs (w);
  answer_holds (w);
  if (w->leaving && !w->departing)
    depart (w);
  if (w->leaving || now_ms () < w->next_report_ms)
    return;
  w->next_report_ms = now_ms () + REPORT_PERIOD_MS;
  report (w);
}

int
main (int argc, char **argv)
{
  static struct worker w;
  struct status st;
  ev_timer tick;
  ev_signal drain;
  ev_signal leave;
  if (argc < 6)
    {
      fprintf (stderr, "usage: called_worker ID IP:PORT POOL ZONE CONTROL...\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  w.id = argv[1];
  w.address = argv[2];
  w.pool = argv[3];
  w.zone = argv[4];
  for (int i = 5; i < argc && w.control_count < MAX_CONTROL; i++)
    w.control[w.control_count++] = argv[i];
  w.born_ms = clock_wall_ms ();
  STAILQ_INIT (&w.ended);
  w.loop = ev_default_loop (0);
  w.client = http_client_open (w.loop, 0);
  const struct http_server_config config
      = { .address = w.address, .max_body = 1 << 20, .handler = handle, .handler_arg = &w };
  w.server = http_server_open (w.loop, &config, &st);
  if (!w.server)
    {
      fprintf (stderr, "%s\n", st.message);
      return 1;
    }
  ev_signal_init (&drain, on_drain, SIGUSR1);
  ev_signal_init (&leave, on_leave, SIGUSR2);
  drain.data = &w;
  leave.data = &w;
  ev_signal_start (w.loop, &drain);
  ev_signal_start (w.loop, &leave);
  ev_timer_init (&tick, on_tick, 0.0, TICK_S);
  tick.data = &w;
  ev_timer_start (w.loop, &tick);
  ev_run (w.loop, 0);
  return 0;
}
