/* worker_standin: a small stand-in for a worker, for tests, examples and the demo.

   It announces itself, polls for commands, runs tasks as timers and obeys its lease: when no poll
   sent within the last lease was answered, it stops all tasks.  Reports are repeated in every poll
   until a forget command for that task and epoch arrives.  Every start and end of a task is
   written to the events file, one line "unix_ms event task epoch worker", so that a test can check
   that no task ran in two places.  */

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include <argtable2.h>
#include <ev.h>
#include <jansson.h>

#include "buffer.h"
#include "clock.h"
#include "http_client.h"
#include "log.h"

#define MAX_ENTRIES 16
#define URL_BYTES 256
#define POLL_TIMEOUT_MS 5000L
#define RETRY_MS 200
#define TICK_MS 20

enum task_state
{
  TASK_RUNNING,
  TASK_ENDED, /* reported until a forget command arrives */
};

struct task
{
  json_int_t id;
  json_int_t epoch;
  enum task_state state;
  char report[16];      /* "running", "done", "failed", "stopped", "refused" */
  int64_t progress_ms;  /* work done at the last start or change of speed */
  int64_t started_ms;   /* when this run began or its speed changed */
  int64_t run_time_ms;  /* total work of the task; negative: runs until stopped */
  int throttle_percent; /* share of full speed */
  int millicores;
  int memory_mb;
  int64_t checkpoint_ms; /* work saved by the last checkpoint */
  bool covered;          /* a standby copy exists: the shorter lease applies */
  LIST_ENTRY (task) link;
};

struct worker
{
  struct ev_loop *loop;
  struct http_client *client;
  const char *id;
  const char *rack;
  int millicores;
  int memory_mb;
  int accelerators;
  double fail_share;  /* fraction of tasks that fail at start, without running */
  double time_factor; /* actual run time / declared run time */
  FILE *events;
  char *entries[MAX_ENTRIES];
  int entry_count;
  int entry;             /* index of the entry in use */
  char base[URL_BYTES];  /* "http://ip:port" of the VM that answers polls */
  char query[URL_BYTES]; /* query of the last redirect, identifies the cell */
  int64_t incarnation;
  int64_t sequence;
  bool announced;
  bool polling;   /* a long poll or an announcement is pending */
  bool reporting; /* a short poll is pending */
  bool report_due;
  int64_t lease_until_ms;
  int64_t covered_until_ms; /* end of the shorter lease, for tasks with a standby copy */
  unsigned random_state;
  ev_timer tick;
  ev_timer retry;
  ev_signal on_term;
  LIST_HEAD (task_list, task) tasks;
};

/* A pending poll or announcement.  */
struct poll
{
  struct worker *worker;
  int64_t sent_ms;
  bool wait;
  char *body;
};

static void announce (struct worker *w);
static void poll_cell (struct worker *w, bool wait);

static int64_t
now_ms (void)
{
  return clock_now_ms (clock_real ());
}

static void
write_event (struct worker *w, const char *event, const struct task *t)
{
  if (!w->events)
    return;
  fprintf (w->events, "%lld %s %lld %lld %s\n", (long long)clock_wall_ms (), event,
           (long long)t->id, (long long)t->epoch, w->id);
  fflush (w->events);
}

static int64_t
task_progress (const struct task *t)
{
  if (t->state != TASK_RUNNING)
    return t->progress_ms;
  return t->progress_ms + (now_ms () - t->started_ms) * t->throttle_percent / 100;
}

static struct task *
find_task (struct worker *w, json_int_t id)
{
  struct task *t;
  LIST_FOREACH (t, &w->tasks, link)
  if (t->id == id)
    return t;
  return NULL;
}

static void
end_task (struct worker *w, struct task *t, const char *report)
{
  t->progress_ms = task_progress (t);
  if (t->state == TASK_RUNNING)
    write_event (w, "end", t);
  t->state = TASK_ENDED;
  snprintf (t->report, sizeof t->report, "%s", report);
  w->report_due = true;
}

static void
drop_tasks (struct worker *w, const char *event)
{
  struct task *t;
  while ((t = LIST_FIRST (&w->tasks)))
    {
      if (t->state == TASK_RUNNING)
        write_event (w, event, t);
      LIST_REMOVE (t, link);
      free (t);
    }
}

/* Ends the tasks whose standby copy may soon be started elsewhere.  */
static void
stop_covered_tasks (struct worker *w)
{
  struct task *t;
  LIST_FOREACH (t, &w->tasks, link)
  if (t->covered && t->state == TASK_RUNNING)
    end_task (w, t, "stopped");
}

static json_int_t
get_int (json_t *object, const char *name, json_int_t fallback)
{
  json_t *value = json_object_get (object, name);
  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

static void
start_task (struct worker *w, json_t *command, int64_t sent_ms)
{
  json_int_t id = get_int (command, "task", 0);
  json_int_t epoch = get_int (command, "epoch", 0);
  struct task *t = find_task (w, id);
  if (t && t->epoch >= epoch)
    return;
  if (t && t->state == TASK_RUNNING)
    end_task (w, t, "stopped");
  if (!t)
    {
      t = xcalloc (1, sizeof *t);
      LIST_INSERT_HEAD (&w->tasks, t, link);
    }
  t->id = id;
  t->epoch = epoch;
  t->progress_ms = get_int (command, "progress_ms", 0);
  t->checkpoint_ms = t->progress_ms;
  t->covered = json_is_true (json_object_get (command, "covered"));
  const char *kind = json_string_value (json_object_get (command, "kind"));
  t->run_time_ms = get_int (command, "run_time_ms", 0);
  if (kind && strcmp (kind, "urgent") == 0)
    t->run_time_ms = -1;
  else
    t->run_time_ms = (int64_t)((double)t->run_time_ms * w->time_factor);
  t->millicores = (int)get_int (command, "millicores", 0);
  t->memory_mb = (int)get_int (command, "memory_mb", 0);
  t->throttle_percent = 100;
  t->state = TASK_ENDED;
  w->report_due = true;
  if (now_ms () > sent_ms + get_int (command, "valid_ms", 0))
    {
      end_task (w, t, "refused");
      return;
    }
  if ((double)rand_r (&w->random_state) / RAND_MAX < w->fail_share)
    {
      end_task (w, t, "failed");
      return;
    }
  t->state = TASK_RUNNING;
  t->started_ms = now_ms ();
  snprintf (t->report, sizeof t->report, "running");
  write_event (w, "start", t);
}

static void
change_task (struct worker *w, struct task *t, const char *type, json_t *command)
{
  if (strcmp (type, "stop") == 0)
    {
      if (get_int (command, "grace_ms", 0) > 0)
        t->checkpoint_ms = task_progress (t);
      end_task (w, t, "stopped");
    }
  else if (strcmp (type, "checkpoint") == 0)
    {
      t->checkpoint_ms = task_progress (t);
      w->report_due = true;
    }
  else if (strcmp (type, "throttle") == 0 && t->millicores > 0)
    {
      json_int_t limit = get_int (command, "limit_millicores", t->millicores);
      t->progress_ms = task_progress (t);
      t->started_ms = now_ms ();
      t->throttle_percent = limit >= t->millicores ? 100 : (int)(limit * 100 / t->millicores);
    }
}

static void
run_command (struct worker *w, json_t *command, int64_t sent_ms)
{
  const char *type = json_string_value (json_object_get (command, "type"));
  struct task *t = find_task (w, get_int (command, "task", 0));
  if (!type)
    return;
  if (strcmp (type, "start") == 0)
    {
      start_task (w, command, sent_ms);
      return;
    }
  if (!t || t->epoch != get_int (command, "epoch", 0))
    return;
  if (strcmp (type, "forget") == 0 && t->state == TASK_ENDED)
    {
      LIST_REMOVE (t, link);
      free (t);
    }
  else if (t->state == TASK_RUNNING)
    change_task (w, t, type, command);
}

static json_t *
task_report (const struct task *t)
{
  char checkpoint[32];
  bool running = t->state == TASK_RUNNING;
  snprintf (checkpoint, sizeof checkpoint, "%lld", (long long)t->checkpoint_ms);
  return json_pack ("{s:I, s:I, s:s, s:i, s:i, s:I, s:s, s:s}", "task", t->id, "epoch", t->epoch,
                    "state", t->report, "used_millicores",
                    running ? t->millicores * t->throttle_percent / 100 : 0, "used_memory_mb",
                    running ? t->memory_mb : 0, "progress_ms", (json_int_t)t->checkpoint_ms,
                    "checkpoint", t->checkpoint_ms > 0 ? checkpoint : "", "reason",
                    strcmp (t->report, "failed") == 0 ? "exit status 1" : "");
}

static json_t *
report_tasks (struct worker *w)
{
  json_t *list = json_array ();
  struct task *t;
  LIST_FOREACH (t, &w->tasks, link)
  json_array_append_new (list, task_report (t));
  return list;
}

static void
schedule_retry (struct worker *w)
{
  ev_timer_stop (w->loop, &w->retry);
  ev_timer_set (&w->retry, RETRY_MS / 1000.0, 0.0);
  ev_timer_start (w->loop, &w->retry);
}

static void
try_next_entry (struct worker *w)
{
  w->announced = false;
  w->query[0] = '\0';
  w->entry = (w->entry + 1) % w->entry_count;
  snprintf (w->base, sizeof w->base, "http://%s", w->entries[w->entry]);
  schedule_retry (w);
}

/* Stores "http://ip:port" and the query of a redirect's target.  */
static void
follow_redirect (struct worker *w, const char *location)
{
  const char *slash = strchr (location + strlen ("http://"), '/');
  const char *query = strchr (location, '?');
  size_t len = slash ? (size_t)(slash - location) : strlen (location);
  snprintf (w->base, sizeof w->base, "%.*s", (int)len, location);
  snprintf (w->query, sizeof w->query, "%s", query ? query : "");
}

static void
renew_lease (struct worker *w, int64_t sent_ms, json_t *answer)
{
  int64_t until = sent_ms + get_int (answer, "lease_ms", 0);
  int64_t covered_until = sent_ms + get_int (answer, "covered_lease_ms", 0);
  if (until > w->lease_until_ms)
    w->lease_until_ms = until;
  if (covered_until > w->covered_until_ms)
    w->covered_until_ms = covered_until;
}

static void
on_polled (void *arg, const struct http_answer *answer)
{
  struct poll *p = arg;
  struct worker *w = p->worker;
  if (p->wait)
    w->polling = false;
  else
    w->reporting = false;
  if (answer->code == 200 && status_ok (&answer->status))
    {
      json_t *body = json_loadb (answer->body.data, answer->body.len, 0, NULL);
      renew_lease (w, p->sent_ms, body);
      json_t *commands = json_object_get (body, "commands");
      for (size_t i = 0; i < json_array_size (commands); i++)
        run_command (w, json_array_get (commands, i), p->sent_ms);
      json_decref (body);
    }
  else if (answer->code == 307 && answer->location)
    {
      follow_redirect (w, answer->location);
      w->announced = false;
      schedule_retry (w);
    }
  else if (answer->code == 409 || answer->code == 404)
    {
      log_line (LOG_DEBUG, "%s poll refused: %.*s", p->wait ? "long" : "short",
                (int)answer->body.len, answer->body.data ? answer->body.data : "");
      w->announced = false;
    }
  else
    {
      log_line (LOG_DEBUG, "%s poll to %s failed: code %d %s", p->wait ? "long" : "short", w->base,
                answer->code, answer->status.message);
      try_next_entry (w);
    }
  free (p->body);
  free (p);
  if (w->announced && !w->polling)
    poll_cell (w, true);
  else if (!w->announced)
    schedule_retry (w);
}

static void
poll_cell (struct worker *w, bool wait)
{
  char url[2 * URL_BYTES + 32];
  struct poll *p = xcalloc (1, sizeof *p);
  json_t *body = json_pack ("{s:s, s:I, s:I, s:i, s:i, s:o}", "id", w->id, "incarnation",
                            (json_int_t)w->incarnation, "sequence", (json_int_t)++w->sequence,
                            "wait", wait ? 1 : 0, "measured_ago_ms", 0, "tasks", report_tasks (w));
  p->worker = w;
  p->wait = wait;
  p->sent_ms = now_ms ();
  p->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  if (wait)
    w->polling = true;
  else
    w->reporting = true;
  w->report_due = false;
  snprintf (url, sizeof url, "%s/v1/workers/poll%s", w->base, w->query);
  const struct http_call call = { .method = "POST",
                                  .url = url,
                                  .body = p->body,
                                  .body_len = strlen (p->body),
                                  .timeout_ms = POLL_TIMEOUT_MS,
                                  .done = on_polled,
                                  .done_arg = p };
  http_client_send (w->client, &call);
}

static void
on_announced (void *arg, const struct http_answer *answer)
{
  struct poll *p = arg;
  struct worker *w = p->worker;
  w->polling = false;
  if (answer->code == 200 && status_ok (&answer->status))
    {
      w->announced = true;
      poll_cell (w, true);
    }
  else if (answer->code == 307 && answer->location)
    {
      follow_redirect (w, answer->location);
      schedule_retry (w);
    }
  else
    {
      log_line (LOG_DEBUG, "announcement to %s failed: code %d %s %.*s", w->base, answer->code,
                answer->status.message, (int)answer->body.len,
                answer->body.data ? answer->body.data : "");
      try_next_entry (w);
    }
  free (p->body);
  free (p);
}

static void
announce (struct worker *w)
{
  char url[2 * URL_BYTES + 32];
  if (w->polling)
    return;
  struct poll *p = xcalloc (1, sizeof *p);
  json_t *body = json_pack ("{s:s, s:s, s:I, s:i, s:i, s:i, s:o}", "id", w->id, "rack", w->rack,
                            "incarnation", (json_int_t)w->incarnation, "millicores", w->millicores,
                            "memory_mb", w->memory_mb, "accelerators", w->accelerators, "tasks",
                            report_tasks (w));
  p->worker = w;
  p->sent_ms = now_ms ();
  p->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  w->polling = true;
  snprintf (url, sizeof url, "%s/v1/workers/announce%s", w->base, w->query);
  const struct http_call call = { .method = "POST",
                                  .url = url,
                                  .body = p->body,
                                  .body_len = strlen (p->body),
                                  .timeout_ms = POLL_TIMEOUT_MS,
                                  .done = on_announced,
                                  .done_arg = p };
  http_client_send (w->client, &call);
}

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct worker *w = timer->data;
  (void)loop;
  (void)events;
  if (!w->announced)
    announce (w);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct worker *w = timer->data;
  struct task *t;
  (void)loop;
  (void)events;
  int64_t now = now_ms ();
  if (now > w->lease_until_ms)
    drop_tasks (w, "lapse");
  else if (now > w->covered_until_ms)
    stop_covered_tasks (w);
  LIST_FOREACH (t, &w->tasks, link)
  if (t->state == TASK_RUNNING && t->run_time_ms >= 0 && task_progress (t) >= t->run_time_ms)
    end_task (w, t, "done");
  if (w->report_due && w->announced && !w->reporting)
    poll_cell (w, false);
}

static void
on_term (struct ev_loop *loop, ev_signal *signal_watcher, int events)
{
  struct worker *w = signal_watcher->data;
  (void)events;
  drop_tasks (w, "exit");
  ev_break (loop, EVBREAK_ALL);
}

static int
parse_entries (struct worker *w, const char *list)
{
  char *copy = xstrdup (list);
  char *rest = copy;
  char *entry;
  while ((entry = strsep (&rest, ",")) && w->entry_count < MAX_ENTRIES)
    w->entries[w->entry_count++] = xstrdup (entry);
  free (copy);
  snprintf (w->base, sizeof w->base, "http://%s", w->entries[0]);
  return w->entry_count;
}

static void
run (struct worker *w)
{
  ev_timer_init (&w->tick, on_tick, 0.0, TICK_MS / 1000.0);
  ev_timer_init (&w->retry, on_retry, 0.0, 0.0);
  ev_signal_init (&w->on_term, on_term, SIGTERM);
  w->tick.data = w;
  w->retry.data = w;
  w->on_term.data = w;
  ev_timer_start (w->loop, &w->tick);
  ev_signal_start (w->loop, &w->on_term);
  announce (w);
  ev_run (w->loop, 0);
}

static void
close_worker (struct worker *w)
{
  http_client_close (w->client);
  for (int i = 0; i < w->entry_count; i++)
    free (w->entries[i]);
  if (w->events)
    fclose (w->events);
}

int
main (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, "id", "NAME", "worker id");
  struct arg_str *rack = arg_str0 (NULL, "rack", "NAME", "rack (default rack-1)");
  struct arg_str *entries = arg_str1 (NULL, "entries", "LIST", "ip:port,... of entry VMs");
  struct arg_int *millicores = arg_int0 (NULL, "millicores", "N", "processors (default 16000)");
  struct arg_int *memory = arg_int0 (NULL, "memory-mb", "N", "memory (default 60000)");
  struct arg_int *accelerators = arg_int0 (NULL, "accelerators", "N", "accelerators (default 0)");
  struct arg_dbl *fail = arg_dbl0 (NULL, "fail-share", "X", "fraction of tasks that fail at start");
  struct arg_dbl *factor = arg_dbl0 (NULL, "time-factor", "X", "actual / declared run time");
  struct arg_lit *verbose = arg_lit0 (NULL, "verbose", "log every poll that fails");
  struct arg_file *events = arg_file0 (NULL, "events", "FILE", "append task starts and ends here");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { id, rack, entries, millicores, memory, accelerators, fail, factor, verbose, events, end };
  struct worker w
      = { .rack = "rack-1", .millicores = 16000, .memory_mb = 60000, .time_factor = 1.0 };
  if (arg_nullcheck (table) || arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "worker_standin");
      arg_print_glossary (stderr, table, "  %-24s %s\n");
      return 2;
    }
  if (verbose->count)
    log_configure (&(struct log_config){ .level = LOG_DEBUG });
  w.id = id->sval[0];
  w.rack = rack->count ? rack->sval[0] : w.rack;
  w.millicores = millicores->count ? millicores->ival[0] : w.millicores;
  w.memory_mb = memory->count ? memory->ival[0] : w.memory_mb;
  w.accelerators = accelerators->count ? accelerators->ival[0] : 0;
  w.fail_share = fail->count ? fail->dval[0] : 0.0;
  w.time_factor = factor->count ? factor->dval[0] : 1.0;
  if (events->count && !(w.events = fopen (events->filename[0], "a")))
    {
      fprintf (stderr, "cannot open %s: %s\n", events->filename[0], strerror (errno));
      return 2;
    }
  w.incarnation = clock_wall_ms ();
  w.random_state = (unsigned)getpid ();
  w.loop = ev_default_loop (0);
  w.client = http_client_open (w.loop, 0);
  LIST_INIT (&w.tasks);
  signal (SIGPIPE, SIG_IGN);
  parse_entries (&w, entries->sval[0]);
  run (&w);
  close_worker (&w);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
