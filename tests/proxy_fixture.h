/* Processes for tests and benchmarks of the request path: an entry VM (proxy and announcements) and
   stand-in runners, each in a forked child on loopback, and a blocking HTTP caller.  */

#ifndef SASSAFRAS_PROXY_FIXTURE_H
#define SASSAFRAS_PROXY_FIXTURE_H

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

int runner_main (int argc, char **argv); /* main of the stand-in */
#define main runner_main
#include "../standins/runner.c"
#undef main

#include "intent_memory.h"
#include "log.h"
#include "proxy.h"
#include "runner_api.h"

#define FIXTURE_TIMEOUT_S 20

struct child
{
  pid_t pid;
  int port;       /* of callers, or of the runner */
  int admin_port; /* of the entry: announcements and statistics */
  char address[32];
};

/* ---- the entry ---- */

#define FIXTURE_BEGIN_DELAY_S 0.1

/* An intent store that delays begin for keys that start with "slow".  */
struct delayed_store
{
  struct intent_store store; /* first member: the vtable */
  struct intent_store *memory;
  struct ev_loop *loop;
  int begun; /* delayed begins completed */
};

struct delayed_begin
{
  struct delayed_store *s;
  ev_timer timer;
  char *customer;
  char *key;
  uint64_t fingerprint;
  intent_begin_fn *done;
  void *arg;
};

static void
delayed_begin_run (struct ev_loop *loop, ev_timer *w, int events)
{
  struct delayed_begin *b = w->data;
  struct intent_key key = { b->customer, b->key, b->fingerprint };
  (void)loop;
  (void)events;
  b->s->memory->ops->begin (b->s->memory, &key, b->done, b->arg);
  b->s->begun++;
  free (b->customer);
  free (b->key);
  free (b);
}

static void
delayed_begin (struct intent_store *store, const struct intent_key *key, intent_begin_fn *done,
               void *arg)
{
  struct delayed_store *s = (struct delayed_store *)store;
  if (strncmp (key->key, "slow", 4) != 0)
    {
      s->memory->ops->begin (s->memory, key, done, arg);
      return;
    }
  struct delayed_begin *b = xcalloc (1, sizeof *b);
  *b = (struct delayed_begin){ .s = s, .fingerprint = key->fingerprint, .done = done, .arg = arg };
  b->customer = xstrdup (key->customer);
  b->key = xstrdup (key->key);
  ev_timer_init (&b->timer, delayed_begin_run, FIXTURE_BEGIN_DELAY_S, 0.0);
  b->timer.data = b;
  ev_timer_start (s->loop, &b->timer);
}

static void
delayed_finish (struct intent_store *store, const struct intent_key *key,
                const struct intent_outcome *outcome, intent_finish_fn *done, void *arg)
{
  struct delayed_store *s = (struct delayed_store *)store;
  s->memory->ops->finish (s->memory, key, outcome, done, arg);
}

static const struct intent_store_ops delayed_ops = { delayed_begin, delayed_finish };

struct entry
{
  struct ev_loop *loop;
  struct runner_table *table;
  struct router router;
  struct limit *limit;
  struct intent_store *intents;
  struct delayed_store delayed;
  struct runner_api api;
  struct proxy *proxy;
  struct http_server *admin;
  ev_timer tick;
  ev_signal term;
};

/* Customers: "small" has one request at a time, "stranger" is unknown, all others have no limit. */
static bool
entry_lookup (void *arg, const char *customer, struct limit_plan *out)
{
  (void)arg;
  memset (out, 0, sizeof *out);
  if (strcmp (customer, "small") == 0)
    out->concurrency = 1;
  return strcmp (customer, "stranger") != 0;
}

static void
entry_admin (void *arg, struct http_request *req)
{
  struct entry *e = arg;
  struct proxy_stats s;
  if (strcmp (req->path, "/v1/runners/announce") == 0)
    runner_api_announce (&e->api, req);
  else if (strcmp (req->path, "/v1/runners/depart") == 0)
    runner_api_depart (&e->api, req);
  else
    {
      proxy_stats (e->proxy, &s);
      http_reply_json (
          req, 200,
          json_pack ("{s:I,s:I,s:i,s:i,s:i,s:i,s:I,s:i}", "requests", (json_int_t)s.requests,
                     "tries", (json_int_t)s.tries, "open", (int)s.open, "queued", (int)s.queued,
                     "connections", (int)s.connections, "live",
                     (int)router_live (&e->router, "echo", clock_now_ms (clock_real ())), "broken",
                     (json_int_t)s.broken, "begun", e->delayed.begun));
    }
}

static void
entry_changed (void *arg)
{
  proxy_wake (((struct entry *)arg)->proxy);
}

static void
entry_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  struct entry *e = w->data;
  (void)loop;
  (void)events;
  runner_table_tick (e->table, clock_now_ms (clock_real ()));
}

static void
entry_drained (void *arg)
{
  ev_break (((struct entry *)arg)->loop, EVBREAK_ALL);
}

static void
entry_term (struct ev_loop *loop, ev_signal *w, int events)
{
  struct entry *e = w->data;
  (void)loop;
  (void)events;
  proxy_drain (e->proxy, entry_drained, e);
}

static int
entry_run (int report)
{
  static struct entry e;
  struct status st;
  int64_t now = clock_now_ms (clock_real ());
  struct router_config routing = {
    .data_centre = "dc1", .entries = 1, .far_bytes_per_s = ROUTER_FAR_BYTES_PER_S, .seed = 1
  };
  struct limit_source source = { .lookup = entry_lookup };
  struct log_config quiet = { .level = LOG_ERROR };
  log_configure (&quiet);
  signal (SIGPIPE, SIG_IGN);
  e.loop = ev_default_loop (0);
  e.table = runner_table_open (1, now);
  router_init (&e.router, &routing, e.table, now);
  e.limit = limit_open (&source, 1, now);
  e.intents = intent_memory_open ();
  e.delayed = (struct delayed_store){ { &delayed_ops }, e.intents, e.loop, 0 };
  struct proxy_config config = { .address = "127.0.0.1:0",
                                 .clock = clock_real (),
                                 .table = e.table,
                                 .router = &e.router,
                                 .limit = e.limit,
                                 .intents = &e.delayed.store,
                                 .seed = 1,
                                 .retry_tokens = 10.0 };
  e.proxy = proxy_open (e.loop, &config, &st);
  struct http_server_config admin
      = { .address = "127.0.0.1:0", .max_body = 4096, .handler = entry_admin, .handler_arg = &e };
  e.admin = http_server_open (e.loop, &admin, &st);
  e.api = (struct runner_api){ e.table, clock_real (), "dc1", entry_changed, &e };
  ev_timer_init (&e.tick, entry_tick, 0.1, 0.1);
  ev_signal_init (&e.term, entry_term, SIGTERM);
  e.tick.data = &e;
  e.term.data = &e;
  ev_timer_start (e.loop, &e.tick);
  ev_signal_start (e.loop, &e.term);
  dprintf (report, "%d %d\n", proxy_port (e.proxy), http_server_port (e.admin));
  ev_run (e.loop, 0);
  proxy_close (e.proxy);
  http_server_close (e.admin);
  intent_memory_close (e.intents);
  limit_close (e.limit);
  router_close (&e.router);
  runner_table_close (e.table);
  ev_loop_destroy (e.loop);
  return 0;
}

/* ---- processes ---- */

static void
read_line (int fd, char *out, size_t size)
{
  size_t n = 0;
  while (n + 1 < size && read (fd, out + n, 1) == 1 && out[n] != '\n')
    n++;
  out[n] = '\0';
}

static struct child
start_entry (void)
{
  struct child c = { 0 };
  char line[64];
  int ends[2];
  if (pipe (ends) < 0)
    abort ();
  c.pid = fork ();
  if (c.pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      close (ends[0]);
      exit (entry_run (ends[1]));
    }
  close (ends[1]);
  read_line (ends[0], line, sizeof line);
  close (ends[0]);
  if (sscanf (line, "%d %d", &c.port, &c.admin_port) != 2)
    abort ();
  snprintf (c.address, sizeof c.address, "127.0.0.1:%d", c.admin_port);
  return c;
}

static struct child
start_runner (const struct child *entry, const char *const *options)
{
  struct child c = { 0 };
  char line[64];
  int ends[2];
  char *argv[24] = { "runner", "--entries", (char *)entry->address };
  int argc = 3;
  for (; options && *options && argc < 23; options++)
    argv[argc++] = (char *)*options;
  if (pipe (ends) < 0)
    abort ();
  c.pid = fork ();
  if (c.pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      signal (SIGPIPE, SIG_IGN);
      dup2 (ends[1], STDOUT_FILENO);
      close (ends[0]);
      exit (runner_main (argc, argv));
    }
  close (ends[1]);
  read_line (ends[0], line, sizeof line);
  close (ends[0]);
  if (sscanf (line, "listening 127.0.0.1:%d", &c.port) != 1)
    abort ();
  return c;
}

static int
end_child (const struct child *c, int signal_number)
{
  int status = 0;
  if (c->pid <= 0)
    return -1;
  kill (c->pid, signal_number);
  waitpid (c->pid, &status, 0);
  return status;
}

/* ---- a blocking caller ---- */

struct reply
{
  int code; /* 0 when no head was received */
  struct buffer head;
  struct buffer body; /* decoded */
  bool whole;         /* complete according to its framing */
};

static int
dial (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval limit = { FIXTURE_TIMEOUT_S, 0 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
send_all (int fd, const void *data, size_t len)
{
  const char *p = data;
  while (len > 0)
    {
      ssize_t n = send (fd, p, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      p += n;
      len -= (size_t)n;
    }
  return true;
}

static bool
receive (int fd, struct buffer *in)
{
  char data[16384];
  ssize_t n = recv (fd, data, sizeof data, 0);
  if (n <= 0)
    return false;
  buffer_append (in, data, (size_t)n);
  return true;
}

static void
read_chunked (int fd, struct buffer *in, struct reply *r)
{
  for (;;)
    {
      char *end;
      while (!in->data || !(end = strstr (in->data, "\r\n")))
        if (!receive (fd, in))
          return;
      size_t size = strtoul (in->data, NULL, 16);
      size_t line = (size_t)(end - in->data) + 2;
      while (in->len < line + size + 2)
        if (!receive (fd, in))
          return;
      buffer_append (&r->body, in->data + line, size);
      buffer_consume (in, line + size + 2);
      if (size == 0)
        {
          r->whole = true;
          return;
        }
    }
}

static void
read_sized (int fd, struct buffer *in, struct reply *r, size_t size)
{
  while (in->len < size)
    if (!receive (fd, in))
      break;
  size_t n = in->len < size ? in->len : size;
  buffer_append (&r->body, in->data, n);
  buffer_consume (in, n);
  r->whole = r->body.len == size;
}

/* Reads one answer; bytes after it stay in IN.  */
static void
read_reply (int fd, struct buffer *in, struct reply *r, bool head_only)
{
  char *end;
  memset (r, 0, sizeof *r);
  while (!in->data || !(end = strstr (in->data, "\r\n\r\n")))
    if (!receive (fd, in))
      return;
  size_t len = (size_t)(end - in->data) + 4;
  buffer_append (&r->head, in->data, len);
  buffer_consume (in, len);
  sscanf (r->head.data, "HTTP/1.1 %d", &r->code);
  const char *length = find_header (r->head.data, "Content-Length");
  if (head_only || r->code == 204 || r->code == 304)
    r->whole = true;
  else if (length)
    read_sized (fd, in, r, strtoul (length, NULL, 10));
  else
    read_chunked (fd, in, r);
}

static void
free_reply (struct reply *r)
{
  buffer_close (&r->head);
  buffer_close (&r->body);
}

/* One exchange on a fresh connection.  */
static struct reply
exchange (int port, const char *request)
{
  struct reply r = { 0 };
  struct buffer in = { 0 };
  int fd = dial (port);
  if (fd >= 0 && send_all (fd, request, strlen (request)))
    read_reply (fd, &in, &r, strncmp (request, "HEAD ", 5) == 0);
  if (fd >= 0)
    close (fd);
  buffer_close (&in);
  return r;
}

static struct reply
get (int port, const char *target)
{
  char request[1024];
  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: entry\r\nSassafras-Customer: huron\r\n\r\n", target);
  return exchange (port, request);
}

/* A number from the JSON statistics of an entry or a runner.  */
static long
statistic (int port, const char *path, const char *name)
{
  char wanted[40];
  struct reply r = get (port, path);
  snprintf (wanted, sizeof wanted, "\"%s\":", name);
  const char *p = r.body.data ? strstr (r.body.data, wanted) : NULL;
  long value = p ? strtol (p + strlen (wanted) + (p[strlen (wanted)] == ' '), NULL, 10) : -1;
  free_reply (&r);
  return value;
}

/* Polls until the statistic equals VALUE; false after FIXTURE_TIMEOUT_S.  */
static bool
wait_statistic (int port, const char *path, const char *name, long value)
{
  int64_t end = clock_now_ms (clock_real ()) + FIXTURE_TIMEOUT_S * 1000;
  while (clock_now_ms (clock_real ()) < end)
    {
      if (statistic (port, path, name) == value)
        return true;
      poll (NULL, 0, 5);
    }
  return false;
}

#endif
