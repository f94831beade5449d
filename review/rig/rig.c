#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_EVENTS 200000
#define CLIENT_TIMEOUT_MS 3000 /* deadline_ms of the site's requests */
#define OPERATOR_TIMEOUT_MS 1000
#define CAPACITY_MILLICORES 16000

char core_ip[CORES][20], front_ip[FRONTS][20];
pid_t core_pid[CORES], front_pid[FRONTS];
struct runner runners[MAX_RUNNERS];
bool trouble = true;
const char *checkpoint_text = "";

static char folder[128];
static char seeds[128];
static char net[16];
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct event *events;
static size_t event_count;

static int64_t
steady_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  static int64_t began_ms;
  if (began_ms == 0)
    began_ms = steady_ms ();
  return steady_ms () - began_ms;
}

static int64_t
unix_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_ms (int64_t ms)
{
  if (ms > 0)
    usleep ((useconds_t)ms * 1000);
}

void
sleep_until (int64_t at_ms)
{
  while (now_ms () < at_ms)
    sleep_ms (at_ms - now_ms () < 100 ? at_ms - now_ms () : 100);
}

void
record (const char *format, ...)
{
  va_list args;
  int64_t at_ms = now_ms ();
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%3lld.%03lld  ", (long long)(at_ms / 1000), (long long)(at_ms % 1000));
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
add_event (const struct runner *r, bool is_start, const char *task, int run, const char *how)
{
  pthread_mutex_lock (&record_lock);
  if (event_count < MAX_EVENTS)
    {
      struct event *e = &events[event_count];
      *e = (struct event){
        .at_ms = now_ms (), .runner = r->number, .is_start = is_start, .run = run, .how = how
      };
      snprintf (e->task, sizeof e->task, "%s", task);
      event_count++;
    }
  pthread_mutex_unlock (&record_lock);
  if (is_start)
    record ("runner %d (%s, %s) starts %s run %d", r->number, r->id, r->zone, task, run);
  else
    record ("runner %d (%s, %s) ends %s run %d: %s", r->number, r->id, r->zone, task, run, how);
}

size_t
copy_events (const struct event **out)
{
  pthread_mutex_lock (&record_lock);
  size_t n = event_count;
  pthread_mutex_unlock (&record_lock);
  *out = events;
  return n;
}

/* HTTP.  */

static int
connect_to (const char *address, int64_t until_ms)
{
  char ip[32];
  int port;
  struct sockaddr_in to = { .sin_family = AF_INET };
  if (sscanf (address, "%31[0-9.]:%d", ip, &port) != 2)
    return -1;
  inet_pton (AF_INET, ip, &to.sin_addr);
  to.sin_port = htons ((uint16_t)port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) < 0 && errno == EINPROGRESS)
    {
      struct pollfd p = { .fd = fd, .events = POLLOUT };
      int64_t left_ms = until_ms - now_ms ();
      int error = 0;
      socklen_t len = sizeof error;
      if (left_ms <= 0 || poll (&p, 1, (int)left_ms) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error)
        {
          close (fd);
          return -1;
        }
    }
  return fd;
}

static bool
send_all (int fd, const char *data, size_t len, int64_t until_ms)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n > 0)
        {
          data += n;
          len -= (size_t)n;
          continue;
        }
      struct pollfd p = { .fd = fd, .events = POLLOUT };
      int64_t left_ms = until_ms - now_ms ();
      if ((n < 0 && errno != EAGAIN) || left_ms <= 0 || poll (&p, 1, (int)left_ms) != 1)
        return false;
    }
  return true;
}

/* Reads one message (head and body by Content-Length) into DATA; false on end or time-out.  */
static bool
read_message (int fd, char *data, size_t size, int64_t until_ms, char **body)
{
  size_t used = 0;
  for (;;)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int64_t left_ms = until_ms - now_ms ();
      if (left_ms <= 0 || poll (&p, 1, (int)left_ms) != 1)
        return false;
      ssize_t n = recv (fd, data + used, size - 1 - used, 0);
      if (n < 0 && errno == EAGAIN)
        continue;
      if (n <= 0)
        return false;
      used += (size_t)n;
      data[used] = '\0';
      char *end = strstr (data, "\r\n\r\n");
      if (!end)
        continue;
      char *length = strcasestr (data, "\r\ncontent-length:");
      size_t want = length && length < end ? (size_t)strtoul (length + 17, NULL, 10) : 0;
      if ((size_t)(data + used - (end + 4)) >= want)
        {
          *body = end + 4;
          return true;
        }
      if (used + 1 >= size)
        return false;
    }
}

static void
find_header (const char *head, const char *name, char *out, size_t size)
{
  char pattern[64];
  snprintf (pattern, sizeof pattern, "\r\n%s:", name);
  const char *at = strcasestr (head, pattern);
  out[0] = '\0';
  if (!at)
    return;
  at += strlen (pattern);
  at += strspn (at, " ");
  snprintf (out, size, "%.*s", (int)strcspn (at, "\r\n"), at);
}

static int
call_once (const char *address, const char *method, const char *path, const char *host,
           const char *body, int timeout_ms, char *answer, size_t size, char location[256])
{
  int64_t until_ms = now_ms () + timeout_ms;
  char *text = malloc (BODY_BYTES);
  char *at;
  int code = 0;
  location[0] = '\0';
  int fd = connect_to (address, until_ms);
  int n = snprintf (text, BODY_BYTES,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                    "Deadline-Ms: %d\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s",
                    method, path, host ? host : address, timeout_ms, strlen (body), body);
  if (fd >= 0 && send_all (fd, text, (size_t)n, until_ms)
      && read_message (fd, text, BODY_BYTES, until_ms, &at)
      && sscanf (text, "HTTP/1.1 %d", &code) == 1)
    {
      if (answer)
        snprintf (answer, size, "%s", at);
      find_header (text, "Location", location, 256);
    }
  if (fd >= 0)
    close (fd);
  free (text);
  return code;
}

/* Follows a 307 twice.  */
int
call (const char *address, const char *method, const char *path, const char *host, const char *body,
      int timeout_ms, char *answer, size_t size)
{
  char location[256], to[64];
  snprintf (to, sizeof to, "%s", address);
  for (int i = 0;; i++)
    {
      int code = call_once (to, method, path, host, body, timeout_ms, answer, size, location);
      if (code != 307 || i == 2 || sscanf (location, "http://%63[0-9.:]", to) != 1)
        return code;
    }
}

int
order (const char *method, const char *path, const char *body, int first)
{
  char address[32];
  for (int i = 0; i < 8; i++)
    {
      int core = (first + i) % CORES;
      snprintf (address, sizeof address, "%s:%d", core_ip[core], CONTROL_PORT);
      int code = call (address, method, path, NULL, body, OPERATOR_TIMEOUT_MS, NULL, 0);
      if (code)
        record ("operator %s %s to core %d: %d", method, path, core + 1, code);
      else
        record ("operator %s %s to core %d: no response", method, path, core + 1);
      if (code != 0 && code < 500 && code != 408 && code != 429)
        return code;
      sleep_ms (100 << i);
    }
  return 0;
}

int
client (const char *method, const char *path, const char *body, int first, char *answer,
        size_t size)
{
  char address[32];
  int code = 0;
  for (int i = 0; i < 5; i++)
    {
      int front = (first + i) % FRONTS;
      snprintf (address, sizeof address, "%s:%d", front_ip[front], CUSTOMER_PORT);
      code = call (address, method, path, "works.example", body, CLIENT_TIMEOUT_MS, answer, size);
      record ("client %s %s through front %d: %d%s", method, path, front + 1, code,
              code ? "" : " (no response)");
      if (code != 0 && code != 502 && code != 504)
        break;
    }
  return code;
}

void
put_config_until_accepted (const char *body)
{
  for (int i = 0; i < 40; i++)
    {
      if (order ("PUT", "/sassafrasstall/config", body, 0) == 200)
        return;
      sleep_ms (200);
    }
  finish (2, "the first configuration was not accepted");
}

/* Runners.  */

static int64_t
runner_clock (const struct runner *r)
{
  return now_ms () - r->clock_zero_ms + 1;
}

static struct run **
find_run (struct runner *r, const char *task)
{
  struct run **p = &r->runs;
  while (*p && strcmp ((*p)->task, task) != 0)
    p = &(*p)->next;
  return p;
}

static struct refused *
refused_of (struct runner *r, const char *task)
{
  struct refused *f = r->refused;
  while (f && strcmp (f->task, task) != 0)
    f = f->next;
  if (f)
    return f;
  f = calloc (1, sizeof *f);
  snprintf (f->task, sizeof f->task, "%s", task);
  f->next = r->refused;
  r->refused = f;
  return f;
}

static void
refuse_up_to (struct runner *r, const char *task, int run)
{
  struct refused *f = refused_of (r, task);
  if (run > f->run)
    f->run = run;
}

static void
end_run (struct runner *r, struct run **p, const char *how)
{
  struct run *run = *p;
  struct ended *e = calloc (1, sizeof *e);
  *e = (struct ended){ .number = ++r->ends, .run = run->run, .how = how };
  memcpy (e->task, run->task, sizeof e->task);
  *r->ended_tail = e;
  r->ended_tail = &e->next;
  refuse_up_to (r, run->task, run->run);
  add_event (r, false, run->task, run->run, how);
  *p = run->next;
  free (run);
  pthread_cond_broadcast (&r->changed);
}

/* Ends what is due.  */
static void
update_runs (struct runner *r)
{
  bool lapsed = r->runs && runner_clock (r) > r->lease_ms;
  struct run **p = &r->runs;
  while (*p)
    {
      struct run *run = *p;
      if (lapsed)
        end_run (r, p, "lapsed");
      else if (run->stop_ms && now_ms () >= run->stop_ms)
        end_run (r, p, "stopped");
      else if (now_ms () >= run->end_ms)
        end_run (r, p, run->fails ? "failed" : "done");
      else
        p = &run->next;
    }
}

static void *
run_clock (void *arg)
{
  struct runner *r = arg;
  for (;;)
    {
      pthread_mutex_lock (&r->lock);
      if (r->up)
        update_runs (r);
      pthread_mutex_unlock (&r->lock);
      sleep_ms (10);
    }
  return NULL;
}

static void
extend_lease (struct runner *r, const json_t *body)
{
  int64_t deadline_ms = json_integer_value (json_object_get (body, "deadline_ms"));
  int64_t limit_ms = runner_clock (r) + MAX_HOLD_MS;
  if (deadline_ms > limit_ms)
    deadline_ms = limit_ms;
  if (deadline_ms > r->lease_ms)
    r->lease_ms = deadline_ms;
}

static int
spec_number (const char *spec, const char *name, int fallback)
{
  const char *at = strstr (spec, name);
  return at ? atoi (at + strlen (name)) : fallback;
}

/* Returns the reason of a 409, or NULL.  */
static const char *
start_run (struct runner *r, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int run = (int)json_integer_value (json_object_get (body, "run"));
  int used = 0;
  if (json_integer_value (json_object_get (body, "deadline_ms")) < runner_clock (r))
    return "late";
  extend_lease (r, body);
  struct run *known = *find_run (r, task);
  if (known && known->run == run)
    return NULL;
  if (known || run <= refused_of (r, task)->run)
    return "old";
  for (struct run *o = r->runs; o; o = o->next)
    used += o->cpu;
  int cpu = spec_number (spec, "cpu=", 1000);
  if (used + cpu > CAPACITY_MILLICORES)
    return "room";
  int ms = spec_number (spec, "ms=", 500);
  struct run *n = calloc (1, sizeof *n);
  *n = (struct run){ .next = r->runs,
                     .run = run,
                     .cpu = cpu,
                     .end_ms = ms > 0 ? now_ms () + ms : INT64_MAX,
                     .fails = run <= spec_number (spec, "failing-runs=", 0) };
  snprintf (n->task, sizeof n->task, "%s", task);
  r->runs = n;
  add_event (r, true, task, run, NULL);
  return NULL;
}

static void
stop_run (struct runner *r, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int run = (int)json_integer_value (json_object_get (body, "run"));
  struct run *known = *find_run (r, task);
  refuse_up_to (r, task, run);
  if (known && known->run <= run && !known->stop_ms)
    known->stop_ms = now_ms () + STOP_GRACE_MS / 4;
}

static void
forget_ends (struct runner *r, int64_t up_to)
{
  while (r->ended && r->ended->number <= up_to)
    {
      struct ended *e = r->ended;
      r->ended = e->next;
      if (!r->ended)
        r->ended_tail = &r->ended;
      free (e);
    }
}

static json_t *
lists_of (const struct runner *r)
{
  json_t *running = json_array ();
  json_t *finished = json_array ();
  for (const struct run *o = r->runs; o; o = o->next)
    json_array_append_new (
        running, json_pack ("[s, i, s, i, i]", o->task, o->run, checkpoint_text, 100, o->cpu));
  for (const struct ended *e = r->ended; e; e = e->next)
    json_array_append_new (finished, json_pack ("[I, s, i, s, s]", (json_int_t)e->number, e->task,
                                                e->run, e->how, checkpoint_text));
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)runner_clock (r), "born",
                    (json_int_t)r->born_ms, "running", running, "finished", finished);
}

/* Handles one order under the lock; sets *CODE, returns the body.  */
static json_t *
handle (struct runner *r, int life, const char *head, const json_t *body, int *code)
{
  char instance[NAME_BYTES];
  const char *reason = NULL;
  int64_t fence = json_integer_value (json_object_get (body, "fence"));
  *code = 200;
  find_header (head, "Expect-Instance", instance, sizeof instance);
  if (instance[0] && strcmp (instance, r->id) != 0)
    *code = 421;
  else if (!body)
    *code = 400;
  else if (fence < r->fence)
    reason = "fence";
  else
    {
      r->fence = fence;
      if (strstr (head, "/run-start "))
        reason = start_run (r, body);
      else if (strstr (head, "/run-stop "))
        stop_run (r, body);
      else if (strstr (head, "/hold "))
        {
          int64_t until_ms = now_ms () + json_integer_value (json_object_get (body, "wait_ms"));
          extend_lease (r, body);
          forget_ends (r, json_integer_value (json_object_get (body, "ack_cursor")));
          while (r->up && r->life == life && !r->ended && now_ms () < until_ms)
            {
              struct timespec t;
              clock_gettime (CLOCK_REALTIME, &t);
              t.tv_nsec += 20 * 1000000;
              t.tv_sec += t.tv_nsec / 1000000000;
              t.tv_nsec %= 1000000000;
              pthread_cond_timedwait (&r->changed, &r->lock, &t);
            }
          return lists_of (r);
        }
    }
  if (reason)
    *code = 409;
  return json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)runner_clock (r), "reason",
                    reason ? reason : "");
}

struct connection
{
  struct runner *runner;
  int life;
  int fd;
  int slot;
};

static void *
serve_connection (void *arg)
{
  struct connection c = *(struct connection *)arg;
  struct runner *r = c.runner;
  char *text = malloc (BODY_BYTES);
  char *at;
  free (arg);
  while (read_message (c.fd, text, BODY_BYTES, now_ms () + 60000, &at))
    {
      json_t *body = json_loads (at, JSON_DISABLE_EOF_CHECK, NULL);
      int code;
      pthread_mutex_lock (&r->lock);
      bool alive = r->up && r->life == c.life;
      json_t *answer = alive ? handle (r, c.life, text, body, &code) : NULL;
      alive = r->up && r->life == c.life;
      bool late = alive && r->list_delay_ms > 0
                  && json_array_size (json_object_get (answer, "finished")) > 0;
      if (late)
        r->fds[c.slot] = -1; /* on its way: the end of the process doesn't take it back */
      pthread_mutex_unlock (&r->lock);
      json_decref (body);
      if (!alive)
        {
          json_decref (answer);
          break;
        }
      if (late)
        {
          record ("runner %d lists an end; the answer is on its way for %lld ms", r->number,
                  (long long)r->list_delay_ms);
          sleep_ms (r->list_delay_ms);
        }
      char *dump = json_dumps (answer, JSON_COMPACT);
      json_decref (answer);
      char *out = NULL;
      int n = asprintf (&out,
                        "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        code, strlen (dump), dump);
      free (dump);
      bool sent = send_all (c.fd, out, (size_t)n, now_ms () + 5000);
      free (out);
      if (!sent || late)
        break;
    }
  pthread_mutex_lock (&r->lock);
  if (r->life == c.life && r->fds[c.slot] == c.fd)
    r->fds[c.slot] = -1;
  pthread_mutex_unlock (&r->lock);
  close (c.fd);
  free (text);
  return NULL;
}

static void
start_thread (void *(*body) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  if (pthread_create (&thread, &attr, body, arg))
    finish (2, "no thread");
  pthread_attr_destroy (&attr);
}

static void *
accept_connections (void *arg)
{
  struct connection own = *(struct connection *)arg;
  struct runner *r = own.runner;
  free (arg);
  for (;;)
    {
      int fd = accept4 (own.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        break;
      struct connection *c = calloc (1, sizeof *c);
      *c = (struct connection){ .runner = r, .life = own.life, .fd = fd, .slot = -1 };
      pthread_mutex_lock (&r->lock);
      for (int i = 0; i < 64 && r->up && r->life == own.life && c->slot < 0; i++)
        if (r->fds[i] < 0)
          {
            r->fds[i] = fd;
            c->slot = i;
          }
      pthread_mutex_unlock (&r->lock);
      if (c->slot < 0)
        {
          close (fd);
          free (c);
        }
      else
        start_thread (serve_connection, c);
    }
  return NULL;
}

static void
start_life (struct runner *r)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (8367) };
  int one = 1;
  pthread_mutex_lock (&r->lock);
  r->life++;
  r->draining = false;
  snprintf (r->id, sizeof r->id, "i-%02d%04d", r->number, r->life);
  for (int i = 0; i < 64; i++)
    r->fds[i] = -1;
  r->born_ms = unix_ms ();
  r->clock_zero_ms = now_ms ();
  r->lease_ms = r->fence = r->ends = r->seq = 0;
  r->ended = NULL;
  r->ended_tail = &r->ended;
  r->refused = NULL;
  r->runs = NULL;
  inet_pton (AF_INET, r->ip, &at.sin_addr);
  r->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (r->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (r->listener, (struct sockaddr *)&at, sizeof at) < 0 || listen (r->listener, 64) < 0)
    finish (2, "a runner can't listen");
  r->up = true;
  struct connection *own = calloc (1, sizeof *own);
  *own = (struct connection){ .runner = r, .life = r->life, .fd = r->listener };
  pthread_mutex_unlock (&r->lock);
  record ("runner %d is up as %s in %s", r->number, r->id, r->zone);
  start_thread (accept_connections, own);
}

/* Writes the next heartbeat; the caller holds the lock.  */
static void
write_heartbeat (struct runner *r, char *path, size_t path_size, char *body, size_t size)
{
  snprintf (path, path_size, "/sassafrasstall/instances/%s", r->id);
  snprintf (body, size,
            "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
            "\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":%d,"
            "\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r%d-1\"],\"clock_ms\":%lld,"
            "\"born\":%lld,\"seq\":%lld}",
            r->address, r->zone, r->draining ? "draining" : "ready", CAPACITY_MILLICORES, r->number,
            (long long)runner_clock (r), (long long)r->born_ms, (long long)++r->seq);
}

static void *
send_heartbeats (void *arg)
{
  struct runner *r = arg;
  char to[64] = "", body[1024], path[128], answer[512];
  int node = r->number;
  int life = 0;
  for (;;)
    {
      pthread_mutex_lock (&r->lock);
      bool up = r->up;
      if (up && r->life != life)
        {
          life = r->life;
          snprintf (to, sizeof to, "%s:%d", core_ip[node % CORES], CONTROL_PORT);
        }
      if (up)
        write_heartbeat (r, path, sizeof path, body, sizeof body);
      pthread_mutex_unlock (&r->lock);
      if (!up)
        {
          sleep_ms (50);
          continue;
        }
      int code = call (to, "PUT", path, NULL, body, OPERATOR_TIMEOUT_MS, answer, sizeof answer);
      char *named = code == 200 ? strstr (answer, "\"heartbeat_addr\":\"") : NULL;
      if (code != 200)
        snprintf (to, sizeof to, "%s:%d", core_ip[++node % CORES], CONTROL_PORT);
      else if (named)
        sscanf (named + 18, "%63[0-9.:]", to);
      sleep_ms (code == 200 ? HEARTBEAT_MS : 200);
    }
  return NULL;
}

/* Calls the nodes in turn until one acknowledges.  */
static bool
call_control (const char *method, const char *path, const char *body)
{
  char to[64];
  for (int i = 0; i < 9; i++)
    {
      snprintf (to, sizeof to, "%s:%d", core_ip[i % CORES], CONTROL_PORT);
      if (call (to, method, path, NULL, body, OPERATOR_TIMEOUT_MS, NULL, 0) == 200)
        return true;
    }
  return false;
}

void
runner_drain (int number)
{
  struct runner *r = &runners[number];
  char body[1024], path[128];
  pthread_mutex_lock (&r->lock);
  r->draining = true;
  write_heartbeat (r, path, sizeof path, body, sizeof body);
  pthread_mutex_unlock (&r->lock);
  record ("runner %d (%s) reports draining: %s", number, r->id,
          call_control ("PUT", path, body) ? "acknowledged" : "not acknowledged");
}

void
runner_leave (int number)
{
  struct runner *r = &runners[number];
  char path[128];
  snprintf (path, sizeof path, "/sassafrasstall/instances/%s", r->id);
  bool acknowledged = call_control ("DELETE", path, "");
  record ("runner %d (%s) sends DELETE: %s", number, r->id,
          acknowledged ? "acknowledged" : "not acknowledged");
  pthread_mutex_lock (&r->lock);
  r->up = false;
  for (const struct run *o = r->runs; o; o = o->next)
    add_event (r, false, o->task, o->run, "ended with its runner");
  r->runs = NULL;
  shutdown (r->listener, SHUT_RDWR);
  close (r->listener);
  for (int i = 0; i < 64; i++)
    if (r->fds[i] >= 0)
      {
        shutdown (r->fds[i], SHUT_RDWR);
        r->fds[i] = -1;
      }
  pthread_cond_broadcast (&r->changed);
  pthread_mutex_unlock (&r->lock);
  record ("runner %d (%s) has left", number, r->id);
}

void
runner_open (int number, int zone)
{
  struct runner *r = &runners[number];
  r->number = number;
  pthread_mutex_init (&r->lock, NULL);
  pthread_cond_init (&r->changed, NULL);
  snprintf (r->zone, sizeof r->zone, "z%d", zone);
  snprintf (r->ip, sizeof r->ip, "%s.%d", net, 150 + number);
  snprintf (r->address, sizeof r->address, "%s.%d:8367", net, 150 + number);
  start_life (r);
  start_thread (run_clock, r);
  start_thread (send_heartbeats, r);
}

void
runner_crash (int number)
{
  struct runner *r = &runners[number];
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  pthread_mutex_lock (&r->lock);
  r->up = false;
  for (const struct run *o = r->runs; o; o = o->next)
    add_event (r, false, o->task, o->run, "lost with its runner");
  r->runs = NULL;
  shutdown (r->listener, SHUT_RDWR);
  close (r->listener);
  for (int i = 0; i < 64; i++)
    if (r->fds[i] >= 0)
      {
        setsockopt (r->fds[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown (r->fds[i], SHUT_RDWR);
        r->fds[i] = -1;
      }
  pthread_cond_broadcast (&r->changed);
  pthread_mutex_unlock (&r->lock);
  record ("runner %d (%s) crashes", number, r->id);
}

void
runner_restart (int number)
{
  start_life (&runners[number]);
}

/* Processes.  */

static pid_t
start_process (char *const *args, const char *name)
{
  char log[256];
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  pid_t pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execv (args[0], args);
      _exit (127);
    }
  return pid;
}

#define TEXT(name, ...)                                                                            \
  char name[200];                                                                                  \
  snprintf (name, sizeof name, __VA_ARGS__)

/* The commands of deploy/system.toml with the values of a small deployment.  */
static void
start_core (int i)
{
  TEXT (vm, "--vm=core-%d", i + 1);
  TEXT (zone, "--data-centre=z%d", i + 1);
  TEXT (ip, "--ip=%s", core_ip[i]);
  TEXT (listen, "--listen-control=%s:%d", core_ip[i], CONTROL_PORT);
  TEXT (seed, "--seeds=%s", seeds);
  TEXT (data, "--data-dir=%s/core-%d", folder, i + 1);
  char *const args[] = { "target/sassafras-platform",
                         "--role=core",
                         vm,
                         zone,
                         ip,
                         listen,
                         "--ports=7720,7735",
                         seed,
                         "--first-start=true",
                         data,
                         "--lease-ms=6000",
                         "--status-s=120",
                         "--grace-s=6",
                         NULL };
  core_pid[i] = start_process (args, vm + 5);
}

static void
start_front (int i)
{
  TEXT (vm, "--vm=front-%d", i + 1);
  TEXT (zone, "--data-centre=z%d", i + 1);
  TEXT (ip, "--ip=%s", front_ip[i]);
  TEXT (listen, "--listen-customers=%s:%d", front_ip[i], CUSTOMER_PORT);
  TEXT (ready, "--listen-ready=%s:%d", front_ip[i], CUSTOMER_PORT + 6);
  TEXT (seed, "--seeds=%s", seeds);
  char *const args[] = { "target/sassafras-platform",
                         "--role=front",
                         vm,
                         zone,
                         ip,
                         listen,
                         ready,
                         "--ports=7720,7735",
                         seed,
                         "--grace-s=6",
                         NULL };
  front_pid[i] = start_process (args, vm + 5);
}

void
rig_open (void)
{
  const char *tmp = getenv ("TMPDIR");
  signal (SIGPIPE, SIG_IGN);
  now_ms ();
  events = calloc (MAX_EVENTS, sizeof *events);
  const char *record_path = getenv ("RECORD");
  record_file = fopen (record_path ? record_path : "record.txt", "w");
  if (!record_file)
    exit (2);
  const char *with = getenv ("TROUBLE");
  trouble = !with || strcmp (with, "0") != 0;
  snprintf (folder, sizeof folder, "%s/review-XXXXXX", tmp ? tmp : "/tmp");
  if (!mkdtemp (folder))
    exit (2);
  snprintf (net, sizeof net, "127.%d.%d", 20 + (int)(getpid () / 250 % 200),
            1 + (int)(getpid () % 250));
  for (int i = 0; i < CORES; i++)
    snprintf (core_ip[i], sizeof core_ip[i], "%s.%d", net, i + 1);
  for (int i = 0; i < FRONTS; i++)
    snprintf (front_ip[i], sizeof front_ip[i], "%s.%d", net, 51 + i);
  snprintf (seeds, sizeof seeds, "%s:%d,%s:%d,%s:%d", core_ip[0], CONTROL_PORT, core_ip[1],
            CONTROL_PORT, core_ip[2], CONTROL_PORT);
  for (int i = 0; i < CORES; i++)
    start_core (i);
  for (int i = 0; i < FRONTS; i++)
    start_front (i);
}

static int
remove_entry (const char *path, const struct stat *sb, int type, struct FTW *ftw)
{
  (void)sb;
  (void)type;
  (void)ftw;
  return remove (path);
}

static void
end_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  kill (pid, SIGCONT);
  waitpid (pid, NULL, 0);
}

void
rig_close (void)
{
  for (int i = 0; i < CORES; i++)
    end_process (core_pid[i]);
  for (int i = 0; i < FRONTS; i++)
    end_process (front_pid[i]);
  if (getenv ("KEEP_LOGS"))
    fprintf (stderr, "logs: %s\n", folder);
  else
    nftw (folder, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
}

void
finish (int code, const char *verdict)
{
  int status;
  for (int i = 0; i < CORES; i++)
    if (core_pid[i] > 0 && waitpid (core_pid[i], &status, WNOHANG) == core_pid[i])
      {
        record ("core %d has ended by itself", i + 1);
        core_pid[i] = 0;
      }
  record ("%s", verdict);
  printf ("%s (exit %d)\n", verdict, code);
  rig_close ();
  fflush (NULL);
  _exit (code);
}
