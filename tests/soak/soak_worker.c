/* A simulated worker: executes orders, sends reports, keeps a lease and lists its ended runs. */
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "cell_map.h"
#include "clock.h"
#include "soak.h"

#define REPORT_INTERVAL_MS 300
#define REPORT_TIMEOUT_MS 900
#define NAME_BYTES 64
#define CAPACITY_MILLICORES 16000
#define CAPACITY_MB 64000
#define SERVICE "pool"
#define FIRST_LEAVING 5 /* number of a worker; it and later ones leave again and again */
#define LIFE_MS 3000
#define LIFE_STEP_MS 300      /* times the number: they leave at different times */
#define SERVE_DRAINED_MS 1000 /* after the acknowledgement of a drain */
#define DOWN_AFTER_LEAVING_MS 500

struct run
{
  LIST_ENTRY (run) link;
  char task[NAME_BYTES];
  int run;
  int64_t end_ms;
};

struct ended
{
  STAILQ_ENTRY (ended) link;
  json_int_t number;
  char task[NAME_BYTES];
  int run;
  const char *outcome;
  bool invalid; /* the lease expired before the acknowledgement: not counted */
};

/* The highest run of a task that was stopped or has ended here; it and lower runs are refused.  */
struct refused_runs
{
  LIST_ENTRY (refused_runs) link;
  char task[NAME_BYTES];
  int max_run;
};

/* A long poll (hold) that waits for a run to end, or an order whose execution is delayed.  */
struct pending_request
{
  LIST_ENTRY (pending_request) link;
  struct http_request *request;
  int64_t until_ms;
};

struct soak_worker
{
  struct soak *soak;
  int number;
  int incarnation;
  char id[NAME_BYTES];
  struct http_server *server; /* NULL while it is down */
  struct proxy_link *link;
  int64_t up_at_ms, heal_at_ms, order_delay_ms, delay_until_ms;
  int64_t born_ms, next_report_ms;
  int64_t drain_at_ms;   /* when it begins to drain; 0: this incarnation doesn't leave */
  int64_t drained_ms;    /* acknowledgement of its drain */
  int64_t next_leave_ms; /* next departure */
  int64_t clock_zero_ms; /* its clock starts at 0 in each incarnation but the first */
  int64_t lease_ms;      /* on its clock */
  json_int_t fence, ends, sequence;
  int next_control;
  unsigned reports_pending;
  LIST_HEAD (, run) runs;
  STAILQ_HEAD (, ended) ended;
  LIST_HEAD (, refused_runs) refused;
  LIST_HEAD (, pending_request) holds;
  LIST_HEAD (, pending_request) delayed;
};

static int64_t
worker_clock_ms (const struct soak_worker *w)
{
  return w->soak->now_ms - w->clock_zero_ms;
}

/* Extends the lease to DEADLINE_MS, but to no more than SOAK_LEASE_MS from now.  */
static void
extend_lease (struct soak_worker *w, int64_t deadline_ms)
{
  int64_t max_ms = worker_clock_ms (w) + SOAK_LEASE_MS;
  if (deadline_ms > max_ms)
    deadline_ms = max_ms;
  if (deadline_ms > w->lease_ms)
    w->lease_ms = deadline_ms;
}

static struct refused_runs *
find_or_add_refused_runs (struct soak_worker *w, const char *task)
{
  struct refused_runs *o;
  LIST_FOREACH (o, &w->refused, link)
  if (strcmp (o->task, task) == 0)
    return o;
  o = xcalloc (1, sizeof *o);
  snprintf (o->task, sizeof o->task, "%s", task);
  LIST_INSERT_HEAD (&w->refused, o, link);
  return o;
}

static void
refuse_runs_up_to (struct soak_worker *w, const char *task, int run)
{
  struct refused_runs *o = find_or_add_refused_runs (w, task);
  if (run > o->max_run)
    o->max_run = run;
}

static void
end_run (struct soak_worker *w, struct run *r, const char *outcome)
{
  struct ended *e = xcalloc (1, sizeof *e);
  e->number = ++w->ends;
  memcpy (e->task, r->task, sizeof e->task);
  e->run = r->run;
  e->outcome = outcome;
  STAILQ_INSERT_TAIL (&w->ended, e, link);
  refuse_runs_up_to (w, r->task, r->run);
  task_ended (w->soak, r->task, strcmp (outcome, "done") == 0);
  LIST_REMOVE (r, link);
  free (r);
}

static json_int_t
integer_field (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

/* Checkpoint of RUN of TASK, free it.  Its length depends on the task; some are too long to be
 * kept. */
static char *
checkpoint_of (const char *task, int run)
{
  static const size_t lengths[] = { 0, 0, 16, 200, 300, 4000, 5000 };
  size_t kind = cell_hash_names (task, "") % (sizeof lengths / sizeof *lengths);
  if (lengths[kind] == 0)
    return xstrdup ("");
  struct buffer text;
  buffer_init (&text);
  buffer_printf (&text, "%s/%d/", task, run);
  while (text.len < lengths[kind])
    buffer_append (&text, "c", 1);
  return text.data;
}

/* A task resumes from a checkpoint of its own, of an earlier run, which is whole.  */
static void
check_checkpoint (struct soak_worker *w, const json_t *body, const char *task)
{
  const char *given = json_string_value (json_object_get (body, "checkpoint"));
  int run = 0;
  if (!given)
    return;
  const char *number = strchr (given, '/');
  if (number)
    run = atoi (number + 1);
  char *expected = checkpoint_of (task, run);
  if (run <= 0 || run >= integer_field (body, "run") || strcmp (given, expected) != 0)
    report_violation (w->soak, "CHECKPOINT: %s starts with one of %zu bytes that is not its own",
                      task, strlen (given));
  free (expected);
}

static json_t *
task_lists (const struct soak_worker *w)
{
  const struct run *r;
  const struct ended *e;
  json_t *running = json_array ();
  json_t *finished = json_array ();
  char *checkpoint;
  LIST_FOREACH (r, &w->runs, link)
  {
    checkpoint = checkpoint_of (r->task, r->run);
    json_array_append_new (running,
                           json_pack ("[s, i, s, i, i]", r->task, r->run, checkpoint, 50, 1000));
    free (checkpoint);
  }
  STAILQ_FOREACH (e, &w->ended, link)
  {
    checkpoint = checkpoint_of (e->task, e->run);
    json_array_append_new (finished, json_pack ("[I, s, i, s, s]", e->number, e->task, e->run,
                                                e->outcome, checkpoint));
    free (checkpoint);
  }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)worker_clock_ms (w), "born",
                    (json_int_t)w->born_ms, "running", running, "finished", finished);
}

static void
reply_clock (struct soak_worker *w, struct http_request *req, int code, const char *reason)
{
  http_reply_json (
      req, code,
      json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)worker_clock_ms (w), "reason", reason));
}

static struct run *
find_run (struct soak_worker *w, const char *task)
{
  struct run *r;
  LIST_FOREACH (r, &w->runs, link)
  if (strcmp (r->task, task) == 0)
    return r;
  return NULL;
}

static const char *
refusal_reason (struct soak_worker *w, const json_t *body, const char *task, const struct run *r)
{
  int run = (int)integer_field (body, "run");
  if (integer_field (body, "deadline_ms") < worker_clock_ms (w))
    return "late";
  if (run <= find_or_add_refused_runs (w, task)->max_run || (r && r->run != run))
    return "old";
  return NULL;
}

static void
start (struct soak_worker *w, struct http_request *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *payload = json_string_value (json_object_get (body, "spec"));
  struct run *r = find_run (w, task);
  const char *why = refusal_reason (w, body, task, r);
  check_checkpoint (w, body, task);
  extend_lease (w, integer_field (body, "deadline_ms"));
  if (why)
    {
      reply_clock (w, req, 409, why);
      return;
    }
  if (!r)
    {
      r = xcalloc (1, sizeof *r);
      snprintf (r->task, sizeof r->task, "%s", task);
      r->run = (int)integer_field (body, "run");
      r->end_ms = w->soak->now_ms + strtol (payload, NULL, 10);
      LIST_INSERT_HEAD (&w->runs, r, link);
      task_started (w->soak, r->task, r->run);
    }
  reply_clock (w, req, 200, "");
}

static void
stop (struct soak_worker *w, struct http_request *req, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  struct run *r = find_run (w, task);
  refuse_runs_up_to (w, task, (int)integer_field (body, "run"));
  if (r && r->run <= integer_field (body, "run"))
    end_run (w, r, "stopped");
  reply_clock (w, req, 200, "");
}

static void
hold (struct soak_worker *w, struct http_request *req, const json_t *body)
{
  struct ended *e;
  while ((e = STAILQ_FIRST (&w->ended)) != NULL && e->number <= integer_field (body, "ack_cursor"))
    {
      if (strcmp (e->outcome, "done") == 0 && !e->invalid)
        task_end_acknowledged (w->soak, e->task, e->run);
      STAILQ_REMOVE_HEAD (&w->ended, link);
      free (e);
    }
  extend_lease (w, integer_field (body, "deadline_ms"));
  struct pending_request *h = xcalloc (1, sizeof *h);
  h->request = req;
  h->until_ms = w->soak->now_ms + integer_field (body, "wait_ms");
  LIST_INSERT_HEAD (&w->holds, h, link);
}

static void
execute (struct soak_worker *w, struct http_request *req)
{
  const char *expected_id = http_header (req, "Expect-Instance");
  struct status st;
  json_t *body = http_body_json (req, &st);
  if (!body)
    http_reply_status (req, &st);
  else if (expected_id && strcmp (expected_id, w->id) != 0)
    reply_clock (w, req, 421, "");
  else if (integer_field (body, "fence") < w->fence)
    reply_clock (w, req, 409, "fence");
  else
    {
      w->fence = integer_field (body, "fence");
      if (strstr (req->path, "run-start"))
        start (w, req, body);
      else if (strstr (req->path, "run-stop"))
        stop (w, req, body);
      else if (strstr (req->path, "hold"))
        hold (w, req, body);
      else
        reply_clock (w, req, 200, "");
    }
  json_decref (body);
}

static void
handle (void *arg, struct http_request *req)
{
  struct soak_worker *w = arg;
  if (w->soak->now_ms >= w->delay_until_ms || strstr (req->path, "hold"))
    {
      execute (w, req);
      return;
    }
  struct pending_request *l = xcalloc (1, sizeof *l);
  l->request = req;
  l->until_ms = w->soak->now_ms + w->order_delay_ms;
  LIST_INSERT_HEAD (&w->delayed, l, link);
}

static void
on_reported (void *arg, const struct http_answer *a)
{
  struct soak_worker *w = arg;
  w->reports_pending--;
  if (a->code != 200)
    w->next_control++;
}

static bool
is_draining (const struct soak_worker *w)
{
  return w->drain_at_ms > 0 && w->soak->now_ms >= w->drain_at_ms;
}

static void
on_drain_reported (void *arg, const struct http_answer *a)
{
  struct soak_worker *w = arg;
  on_reported (arg, a);
  if (a->code == 200 && is_draining (w) && w->drained_ms == 0)
    w->drained_ms = w->soak->now_ms;
}

static void
on_left (void *arg, const struct http_answer *a)
{
  struct soak_worker *w = arg;
  on_reported (arg, a);
  if (a->code == 200 && w->server && w->drained_ms > 0)
    worker_crash (w, DOWN_AFTER_LEAVING_MS);
}

static void
leave (struct soak_worker *w)
{
  char url[SOAK_PATH_BYTES];
  snprintf (url, sizeof url, "http://%s.%d:%d/sassafrasstall/instances/%s", w->soak->net,
            HOST_CORE (w->next_control % SOAK_CORES + 1), CONTROL_PORT, w->id);
  const struct http_call call = {
    .method = "DELETE", .url = url, .timeout_ms = REPORT_TIMEOUT_MS, .done = on_left, .done_arg = w
  };
  w->next_leave_ms = w->soak->now_ms + REPORT_TIMEOUT_MS;
  w->reports_pending++;
  http_client_send (w->soak->client, &call);
}

static void
report (struct soak_worker *w)
{
  char url[SOAK_PATH_BYTES];
  char address[SOAK_ADDRESS_BYTES];
  char zone[NAME_BYTES];
  soak_address (w->soak, HOST_WORKER (w->number), 8080, address);
  snprintf (zone, sizeof zone, "z%d", w->number % SOAK_CORES + 1);
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:s, s:{s:i, s:i}, s:[s, s], s:I, s:I, s:I}", "service", SERVICE, "address",
      address, "zone", zone, "state", is_draining (w) ? "draining" : "ready", "capacity", "cpu",
      CAPACITY_MILLICORES, "mem_mb", CAPACITY_MB, "labels", "a", "r1-1", "clock_ms",
      (json_int_t)worker_clock_ms (w), "seq", ++w->sequence, "born", (json_int_t)w->born_ms);
  char *text = json_dumps (body, JSON_COMPACT);
  snprintf (url, sizeof url, "http://%s.%d:%d/sassafrasstall/instances/%s", w->soak->net,
            HOST_CORE (w->next_control % SOAK_CORES + 1), CONTROL_PORT, w->id);
  const struct http_call call = { .method = "PUT",
                                  .url = url,
                                  .body = text,
                                  .body_len = strlen (text),
                                  .timeout_ms = REPORT_TIMEOUT_MS,
                                  .done = is_draining (w) ? on_drain_reported : on_reported,
                                  .done_arg = w };
  w->reports_pending++;
  http_client_send (w->soak->client, &call);
  free (text);
  json_decref (body);
}

/* A restarted worker may have a new id, or the one that it had.  */
static bool
keeps_id (const struct soak_worker *w)
{
  return w->number % 2 == 0;
}

/* Some leave again and again, with a new id or with the one that they had.  */
static bool
leaves (const struct soak_worker *w)
{
  return w->number >= FIRST_LEAVING && !w->soak->faults_over;
}

static void
start_incarnation (struct soak_worker *w)
{
  struct status st;
  char address[SOAK_ADDRESS_BYTES];
  soak_address (w->soak, HOST_WORKER_TARGET (w->number), 8080, address);
  w->incarnation++;
  if (w->incarnation == 1 || !keeps_id (w))
    snprintf (w->id, sizeof w->id, "w%d-%d", w->number, w->incarnation);
  w->clock_zero_ms = w->incarnation == 1 ? 0 : w->soak->now_ms;
  w->up_at_ms = 0;
  w->born_ms = clock_wall_ms ();
  w->lease_ms = w->fence = w->ends = w->sequence = 0;
  w->drained_ms = 0;
  w->drain_at_ms = leaves (w) ? w->soak->now_ms + LIFE_MS + w->number * LIFE_STEP_MS : 0;
  const struct http_server_config config
      = { .address = address, .max_body = 1 << 20, .handler = handle, .handler_arg = w };
  w->server = http_server_open (w->soak->loop, &config, &st);
  if (!w->server)
    {
      fprintf (stderr, "%s\n", st.message);
      exit (2);
    }
}

struct soak_worker *
worker_open (struct soak *s, int n)
{
  struct soak_worker *w = xcalloc (1, sizeof *w);
  char listen_address[SOAK_ADDRESS_BYTES];
  char target[SOAK_ADDRESS_BYTES];
  w->soak = s;
  w->number = n;
  w->next_control = n;
  STAILQ_INIT (&w->ended);
  soak_address (s, HOST_WORKER (n), 8080, listen_address);
  soak_address (s, HOST_WORKER_TARGET (n), 8080, target);
  w->link = proxy_open (s->loop, listen_address, target);
  start_incarnation (w);
  return w;
}

static void
free_pending_requests (struct pending_request *first)
{
  while (first)
    {
      struct pending_request *next = LIST_NEXT (first, link);
      free (first);
      first = next;
    }
}

/* Discards the active runs and the ended runs that were not acknowledged.  */
static void
end_incarnation (struct soak_worker *w)
{
  struct run *r;
  struct ended *e;
  struct refused_runs *o;
  free_pending_requests (LIST_FIRST (&w->holds));
  free_pending_requests (LIST_FIRST (&w->delayed));
  LIST_INIT (&w->holds);
  LIST_INIT (&w->delayed);
  http_server_close (w->server);
  w->server = NULL;
  while ((r = LIST_FIRST (&w->runs)) != NULL)
    {
      task_ended (w->soak, r->task, false);
      LIST_REMOVE (r, link);
      free (r);
    }
  while ((e = STAILQ_FIRST (&w->ended)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&w->ended, link);
      free (e);
    }
  while ((o = LIST_FIRST (&w->refused)) != NULL)
    {
      LIST_REMOVE (o, link);
      free (o);
    }
}

void
worker_crash (struct soak_worker *w, int64_t down_ms)
{
  if (!w->server)
    return;
  end_incarnation (w);
  w->up_at_ms = w->soak->now_ms + down_ms;
}

void
worker_close (struct soak_worker *w)
{
  if (w->server)
    end_incarnation (w);
  proxy_close (w->link);
  free (w);
}

void
worker_delay (struct soak_worker *w, int64_t order_delay_ms, int64_t for_ms)
{
  w->order_delay_ms = order_delay_ms;
  w->delay_until_ms = w->soak->now_ms + for_ms;
}

void
worker_set_link_fault (struct soak_worker *w, enum link_mode mode, int64_t delay_ms, int64_t for_ms)
{
  proxy_set (w->link, mode, delay_ms);
  w->heal_at_ms = w->soak->now_ms + for_ms;
}

void
worker_heal (struct soak_worker *w)
{
  proxy_set (w->link, LINK_FORWARD, 0);
  w->heal_at_ms = 0;
  w->delay_until_ms = 0;
  if (!w->server)
    start_incarnation (w);
}

/* By the platform's rules an end is invalid if the lease expires before its acknowledgement.  */
static void
invalidate_ends (struct soak_worker *w)
{
  struct ended *e;
  if (worker_clock_ms (w) <= w->lease_ms)
    return;
  STAILQ_FOREACH (e, &w->ended, link)
  e->invalid = true;
}

static void
end_due_runs (struct soak_worker *w)
{
  struct run *r;
  struct run *next;
  for (r = LIST_FIRST (&w->runs); r; r = next)
    {
      next = LIST_NEXT (r, link);
      if (worker_clock_ms (w) > w->lease_ms)
        end_run (w, r, "lapsed");
      else if (w->soak->now_ms >= r->end_ms)
        end_run (w, r, "done");
    }
}

static void
answer_due_requests (struct soak_worker *w)
{
  struct pending_request *h;
  struct pending_request *next;
  for (h = LIST_FIRST (&w->holds); h; h = next)
    {
      next = LIST_NEXT (h, link);
      if (w->soak->now_ms < h->until_ms && STAILQ_EMPTY (&w->ended))
        continue;
      http_reply_json (h->request, 200, task_lists (w));
      LIST_REMOVE (h, link);
      free (h);
    }
  for (h = LIST_FIRST (&w->delayed); h; h = next)
    {
      next = LIST_NEXT (h, link);
      if (w->soak->now_ms < h->until_ms)
        continue;
      struct http_request *req = h->request;
      LIST_REMOVE (h, link);
      free (h);
      execute (w, req);
    }
}

void
worker_tick (struct soak_worker *w)
{
  if (w->heal_at_ms && w->soak->now_ms >= w->heal_at_ms)
    {
      proxy_set (w->link, LINK_FORWARD, 0);
      w->heal_at_ms = 0;
    }
  if (!w->server && w->soak->now_ms >= w->up_at_ms)
    start_incarnation (w);
  if (!w->server)
    return;
  invalidate_ends (w);
  end_due_runs (w);
  answer_due_requests (w);
  if (w->drained_ms > 0 && w->soak->now_ms >= w->drained_ms + SERVE_DRAINED_MS
      && w->soak->now_ms >= w->next_leave_ms)
    leave (w);
  if (w->soak->now_ms < w->next_report_ms)
    return;
  w->next_report_ms = w->soak->now_ms + REPORT_INTERVAL_MS;
  report (w);
}
