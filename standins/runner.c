/* runner_standin: a small HTTP backend server for tests.

   Serves any path.  Query parameters of a request override the flags: ms (service time), bytes
   (length of the answer), tag (text that the answer repeats), code, mode.  Modes: normal,
   normal-close, echo, chunked, chunked-truncated, truncated, overlong, overlong-close, garbage,
   two-lengths, no-length, not-run, reset, hang, trickle.  GET /standin/executions?key=K returns how
   often requests with Idempotency-Key K were executed; GET /standin/stats returns totals.

   Announces itself every 500 ms to an entry address; after a failure it uses the next one.  On
   SIGTERM it departs, accepts requests for 2.5 s more, finishes those in flight and exits.  */
#include <argtable2.h>
#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "rng.h"

#define ANNOUNCE_S 0.5
#define DRAIN_S 2.5
#define MAX_ENTRIES 32
#define MAX_BODY (64 * 1024 * 1024)
#define READ_BYTES 65536
#define EXCESS_BYTES 10
#define TRICKLE_BYTES 1024
#define TRICKLE_S 0.02

struct executions
{
  char *key;
  unsigned count;
  SLIST_ENTRY (executions) link;
};

struct runner_standin
{
  struct ev_loop *loop;
  int listener;
  ev_io accept_watch;
  ev_timer announce_timer;
  ev_timer drain_timer;
  ev_signal term_watch;
  struct http_client *client;
  struct rng rng;
  const char *entries[MAX_ENTRIES];
  unsigned entry_count;
  unsigned entry;
  char id[64];
  char service[64];
  char data_centre[64];
  char address[64];
  long long incarnation;
  int slots;
  int connections;
  double service_ms;
  double error_rate;
  const char *mode;
  unsigned in_service;
  unsigned queued;
  unsigned busy_connections; /* connections whose request is being executed or answered */
  unsigned long executed;
  unsigned open_connections;
  bool departing;
  bool drain_time_over;
  SLIST_HEAD (, executions) executions;
  TAILQ_HEAD (, conn) queue;
  LIST_HEAD (, conn) conns;
};

/* A connection and its current request.  */
struct conn
{
  struct runner_standin *s;
  int fd;
  ev_io io;
  ev_timer timer;
  struct buffer in;
  struct buffer out;
  struct buffer body;
  char *head;
  char mode[24];
  int code;
  double ms;
  long bytes;
  char tag[64];
  bool queued;
  bool serving;
  bool busy; /* a request is being executed or answered */
  bool close_after;
  bool hang;
  bool trickle;
  TAILQ_ENTRY (conn) link; /* in the queue */
  LIST_ENTRY (conn) conn_link;
};

static void on_conn (struct ev_loop *loop, ev_io *w, int events);
static void next_request (struct conn *c);

static void
check_exit (struct runner_standin *s)
{
  if (s->departing && s->drain_time_over && s->busy_connections == 0)
    ev_break (s->loop, EVBREAK_ALL);
}

static void
set_busy (struct conn *c, bool busy)
{
  if (c->busy == busy)
    return;
  c->busy = busy;
  if (busy)
    c->s->busy_connections++;
  else
    c->s->busy_connections--;
}

static void start_queued (struct runner_standin *s);

static void
release_slot (struct conn *c)
{
  if (c->queued)
    {
      TAILQ_REMOVE (&c->s->queue, c, link);
      c->queued = false;
      c->s->queued--;
    }
  if (c->serving)
    {
      c->serving = false;
      c->s->in_service--;
      start_queued (c->s);
    }
}

static void
close_conn (struct conn *c)
{
  struct runner_standin *s = c->s;
  ev_io_stop (s->loop, &c->io);
  ev_timer_stop (s->loop, &c->timer);
  close (c->fd);
  LIST_REMOVE (c, conn_link);
  release_slot (c);
  set_busy (c, false);
  buffer_close (&c->in);
  buffer_close (&c->out);
  buffer_close (&c->body);
  free (c->head);
  free (c);
  s->open_connections--;
  check_exit (s);
}

static void
watch (struct conn *c, int events)
{
  ev_io_stop (c->s->loop, &c->io);
  ev_io_set (&c->io, c->fd, events);
  ev_io_start (c->s->loop, &c->io);
}

static const char *
find_header (const char *head, const char *name)
{
  size_t len = strlen (name);
  for (const char *p = strstr (head, "\r\n"); p; p = strstr (p + 2, "\r\n"))
    if (strncasecmp (p + 2, name, len) == 0 && p[2 + len] == ':')
      return p + 3 + len + strspn (p + 3 + len, " ");
  return NULL;
}

static void
copy_value (const char *from, const char *stop, char *to, size_t size)
{
  size_t n = strcspn (from, stop);
  if (n >= size)
    n = size - 1;
  memcpy (to, from, n);
  to[n] = '\0';
}

/* Copies the value of NAME in the query of the request line to OUT; false when it is absent.  */
static bool
query_parameter (const char *head, const char *name, char *out, size_t size)
{
  char line[2048];
  char wanted[32];
  copy_value (head, "\r", line, sizeof line);
  for (const char *prefix = "?&"; *prefix; prefix++)
    {
      snprintf (wanted, sizeof wanted, "%c%s=", *prefix, name);
      const char *p = strstr (line, wanted);
      if (p)
        {
          copy_value (p + strlen (wanted), "& ", out, size);
          return true;
        }
    }
  return false;
}

static struct executions *
find_or_add_executions (struct runner_standin *s, const char *key)
{
  struct executions *e;
  SLIST_FOREACH (e, &s->executions, link)
  if (strcmp (e->key, key) == 0)
    return e;
  e = xcalloc (1, sizeof *e);
  e->key = xstrdup (key);
  SLIST_INSERT_HEAD (&s->executions, e, link);
  return e;
}

static void
count_execution (struct conn *c)
{
  char key[256];
  const char *value = find_header (c->head, "Idempotency-Key");
  c->s->executed++;
  if (!value)
    return;
  copy_value (value, "\r", key, sizeof key);
  find_or_add_executions (c->s, key)->count++;
}

static void
fill_body (struct conn *c, struct buffer *out)
{
  if (strcmp (c->mode, "echo") == 0)
    {
      buffer_append (out, c->body.data, c->body.len);
      return;
    }
  size_t len = strlen (c->tag);
  for (long left = c->bytes; left > 0; left -= (long)len)
    buffer_append (out, c->tag, left < (long)len ? (size_t)left : len);
}

static void
write_head (struct conn *c, const char *framing)
{
  buffer_printf (&c->out, "HTTP/1.1 %d Answer\r\nSassafras-In-Flight: %u\r\nX-Tag: %s\r\n%s%s\r\n",
                 c->code, c->s->in_service + c->s->queued, c->tag,
                 c->close_after ? "Connection: close\r\n" : "", framing);
}

static void
write_chunked (struct conn *c, const struct buffer *body, bool complete)
{
  write_head (c, "Transfer-Encoding: chunked\r\n");
  buffer_printf (&c->out, "%zx\r\n", body->len);
  buffer_append (&c->out, body->data, body->len);
  buffer_printf (&c->out, complete ? "\r\n0\r\n\r\n" : "\r\n");
}

static void
write_lengths (struct conn *c, const struct buffer *body)
{
  char framing[128];
  bool two = strcmp (c->mode, "two-lengths") == 0;
  bool none = strcmp (c->mode, "no-length") == 0;
  snprintf (framing, sizeof framing,
            two ? "Content-Length: %zu\r\nContent-Length: 3\r\n" : "Content-Length: %zu\r\n",
            body->len);
  write_head (c, none ? "" : framing);
  if (strncmp (c->head, "HEAD ", 5) == 0)
    return;
  buffer_append (&c->out, body->data,
                 strcmp (c->mode, "truncated") == 0 ? body->len / 2 : body->len);
  if (strncmp (c->mode, "overlong", 8) == 0)
    buffer_append (&c->out, "excess bytes", EXCESS_BYTES);
}

static void
write_answer (struct conn *c)
{
  struct buffer body;
  buffer_init (&body);
  fill_body (c, &body);
  static const char *const closing[] = { "truncated", "chunked-truncated", "overlong-close",
                                         "no-length", "garbage",           "normal-close" };
  for (size_t i = 0; i < sizeof closing / sizeof *closing; i++)
    c->close_after |= strcmp (c->mode, closing[i]) == 0;
  c->trickle = strcmp (c->mode, "trickle") == 0;
  if (strcmp (c->mode, "garbage") == 0)
    buffer_printf (&c->out, "\001\002 no HTTP at all\r\n\r\n");
  else if (strcmp (c->mode, "not-run") == 0)
    {
      c->code = 503;
      write_head (c, "Sassafras-Not-Run: 1\r\nContent-Length: 0\r\n");
    }
  else if (strncmp (c->mode, "chunked", 7) == 0)
    write_chunked (c, &body, strcmp (c->mode, "chunked") == 0);
  else
    write_lengths (c, &body);
  buffer_close (&body);
}

static void
send_answer (struct conn *c)
{
  if (strcmp (c->mode, "reset") == 0)
    {
      struct linger abort_on_close = { 1, 0 };
      setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
      close_conn (c);
      return;
    }
  c->hang = strcmp (c->mode, "hang") == 0;
  if (c->hang)
    return;
  write_answer (c);
  release_slot (c);
  watch (c, EV_READ | EV_WRITE);
}

static void
on_service_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  struct conn *c = w->data;
  (void)loop;
  (void)events;
  if (c->serving)
    send_answer (c);
  else
    watch (c, EV_READ | EV_WRITE); /* next part of a trickled answer */
}

static void
execute (struct conn *c)
{
  c->serving = true;
  c->s->in_service++;
  if (strcmp (c->mode, "not-run") != 0)
    count_execution (c);
  if (c->code == 200 && rng_chance (&c->s->rng, c->s->error_rate))
    c->code = 500;
  ev_timer_set (&c->timer, c->ms / 1000.0, 0.0);
  ev_timer_start (c->s->loop, &c->timer);
}

static void
start_queued (struct runner_standin *s)
{
  while (!TAILQ_EMPTY (&s->queue) && s->in_service < (unsigned)s->slots)
    {
      struct conn *c = TAILQ_FIRST (&s->queue);
      TAILQ_REMOVE (&s->queue, c, link);
      c->queued = false;
      s->queued--;
      execute (c);
    }
}

static void
read_parameters (struct conn *c)
{
  char text[64];
  struct runner_standin *s = c->s;
  snprintf (c->mode, sizeof c->mode, "%s", s->mode);
  snprintf (c->tag, sizeof c->tag, "answer ");
  c->code = 200;
  c->ms = s->service_ms;
  c->bytes = 64;
  c->close_after = false;
  query_parameter (c->head, "mode", c->mode, sizeof c->mode);
  query_parameter (c->head, "tag", c->tag, sizeof c->tag);
  if (query_parameter (c->head, "ms", text, sizeof text))
    c->ms = strtod (text, NULL);
  if (query_parameter (c->head, "bytes", text, sizeof text))
    c->bytes = strtol (text, NULL, 10);
  if (query_parameter (c->head, "code", text, sizeof text))
    c->code = (int)strtol (text, NULL, 10);
}

static void
answer_control (struct conn *c)
{
  char key[256] = "";
  char text[128];
  query_parameter (c->head, "key", key, sizeof key);
  if (strstr (c->head, "/standin/executions"))
    snprintf (text, sizeof text, "%u", find_or_add_executions (c->s, key)->count);
  else
    snprintf (text, sizeof text, "{\"executed\":%lu,\"open\":%u,\"in_service\":%u}", c->s->executed,
              c->s->open_connections, c->s->in_service);
  buffer_printf (&c->out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (text), text);
  watch (c, EV_READ | EV_WRITE);
}

static void
run_request (struct conn *c)
{
  set_busy (c, true);
  if (strncmp (c->head, "GET /standin/", 13) == 0)
    {
      answer_control (c);
      return;
    }
  read_parameters (c);
  c->queued = true;
  c->s->queued++;
  TAILQ_INSERT_TAIL (&c->s->queue, c, link);
  start_queued (c->s);
}

/* Moves complete chunks to the body: 1 after the last chunk, 0 for more input, -1 on an error.  */
static int
consume_chunks (struct conn *c)
{
  for (;;)
    {
      char *end = c->in.len > 0 ? strstr (c->in.data, "\r\n") : NULL;
      if (!end)
        return 0;
      size_t size = strtoul (c->in.data, NULL, 16);
      size_t line = (size_t)(end - c->in.data) + 2;
      if (size > MAX_BODY)
        return -1;
      if (c->in.len < line + size + 2)
        return 0;
      buffer_append (&c->body, c->in.data + line, size);
      buffer_consume (&c->in, line + size + 2);
      if (size == 0)
        return 1;
    }
}

static int
consume_body (struct conn *c)
{
  const char *coding = find_header (c->head, "Transfer-Encoding");
  const char *length = find_header (c->head, "Content-Length");
  size_t n = length ? strtoul (length, NULL, 10) : 0;
  if (coding)
    return consume_chunks (c);
  if (n > MAX_BODY)
    return -1;
  size_t missing = n - c->body.len;
  size_t have = c->in.len < missing ? c->in.len : missing;
  buffer_append (&c->body, c->in.data, have);
  buffer_consume (&c->in, have);
  return c->body.len == n ? 1 : 0;
}

static void
next_request (struct conn *c)
{
  if (c->busy)
    return;
  if (!c->head)
    {
      char *end = c->in.len > 0 ? strstr (c->in.data, "\r\n\r\n") : NULL;
      if (!end)
        return;
      size_t len = (size_t)(end - c->in.data) + 4;
      c->head = xcalloc (1, len + 1);
      memcpy (c->head, c->in.data, len);
      buffer_consume (&c->in, len);
    }
  int result = consume_body (c);
  if (result < 0)
    close_conn (c);
  else if (result > 0)
    run_request (c);
}

static void
end_answer (struct conn *c)
{
  struct runner_standin *s = c->s;
  if (c->close_after)
    {
      close_conn (c);
      return;
    }
  free (c->head);
  c->head = NULL;
  buffer_close (&c->body);
  set_busy (c, false);
  watch (c, EV_READ);
  next_request (c);
  check_exit (s);
}

static void
write_some (struct conn *c)
{
  size_t n = c->trickle && c->out.len > TRICKLE_BYTES ? TRICKLE_BYTES : c->out.len;
  ssize_t sent = send (c->fd, c->out.data, n, MSG_NOSIGNAL);
  if (sent < 0)
    {
      close_conn (c);
      return;
    }
  buffer_consume (&c->out, (size_t)sent);
  if (c->out.len == 0)
    end_answer (c);
  else if (c->trickle)
    {
      watch (c, EV_READ);
      ev_timer_set (&c->timer, TRICKLE_S, 0.0);
      ev_timer_start (c->s->loop, &c->timer);
    }
}

static bool
read_some (struct conn *c)
{
  char data[READ_BYTES];
  ssize_t n = recv (c->fd, data, sizeof data, 0);
  if (n <= 0)
    {
      close_conn (c);
      return false;
    }
  buffer_append (&c->in, data, (size_t)n);
  return true;
}

static void
on_conn (struct ev_loop *loop, ev_io *w, int events)
{
  struct conn *c = w->data;
  (void)loop;
  if ((events & EV_READ) && !read_some (c))
    return;
  if (c->busy && (events & EV_WRITE) && c->out.len > 0)
    write_some (c);
  else if (!c->busy)
    next_request (c);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  struct runner_standin *s = w->data;
  int on = 1;
  (void)events;
  int fd = accept4 (s->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct conn *c = xcalloc (1, sizeof *c);
  c->s = s;
  c->fd = fd;
  s->open_connections++;
  LIST_INSERT_HEAD (&s->conns, c, conn_link);
  ev_timer_init (&c->timer, on_service_timer, 0.0, 0.0);
  ev_io_init (&c->io, on_conn, fd, EV_READ);
  c->timer.data = c;
  c->io.data = c;
  ev_io_start (loop, &c->io);
}

static void
post (struct runner_standin *s, const char *path, const char *body, http_answer_fn *done)
{
  char url[128];
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  snprintf (url, sizeof url, "http://%s%s", s->entries[s->entry], path);
  struct http_call call = { .method = "POST",
                            .url = url,
                            .headers = headers,
                            .body = body,
                            .body_len = strlen (body),
                            .timeout_ms = 400,
                            .done = done,
                            .done_arg = s };
  http_client_send (s->client, &call);
}

static void
on_announced (void *arg, const struct http_answer *a)
{
  struct runner_standin *s = arg;
  if (a->code != 200)
    s->entry = (s->entry + 1) % s->entry_count;
}

static void
on_announce_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  struct runner_standin *s = w->data;
  char body[512];
  (void)loop;
  (void)events;
  if (s->departing || s->entry_count == 0)
    return;
  snprintf (body, sizeof body,
            "{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"data_centre\":\"%s\","
            "\"slots\":%d,\"connections\":%d,\"in_flight\":%u,\"incarnation\":%lld}",
            s->id, s->service, s->address, s->data_centre, s->slots, s->connections,
            s->in_service + s->queued, s->incarnation);
  post (s, "/v1/runners/announce", body, on_announced);
}

static void depart (struct runner_standin *s);

static void
on_departed (void *arg, const struct http_answer *a)
{
  struct runner_standin *s = arg;
  if (a->code == 200 || s->drain_time_over)
    return;
  s->entry = (s->entry + 1) % s->entry_count;
  depart (s);
}

static void
depart (struct runner_standin *s)
{
  char body[160];
  snprintf (body, sizeof body, "{\"id\":\"%s\",\"incarnation\":%lld}", s->id, s->incarnation);
  post (s, "/v1/runners/depart", body, on_departed);
}

static void
on_drain_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  struct runner_standin *s = w->data;
  (void)loop;
  (void)events;
  s->drain_time_over = true;
  check_exit (s);
}

static void
on_term (struct ev_loop *loop, ev_signal *w, int events)
{
  struct runner_standin *s = w->data;
  (void)events;
  if (s->departing)
    return;
  s->departing = true;
  if (s->entry_count > 0)
    depart (s);
  ev_timer_set (&s->drain_timer, s->entry_count > 0 ? DRAIN_S : 0.0, 0.0);
  ev_timer_start (loop, &s->drain_timer);
}

static int
open_listener (struct runner_standin *s, const char *text)
{
  struct sockaddr_in address;
  struct status st;
  socklen_t len = sizeof address;
  int on = 1;
  if (http_parse_address (text, &address, &st) < 0)
    {
      fprintf (stderr, "%s\n", st.message);
      return -1;
    }
  s->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (s->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (s->listener, (struct sockaddr *)&address, sizeof address) < 0
      || listen (s->listener, 512) < 0
      || getsockname (s->listener, (struct sockaddr *)&address, &len) < 0)
    {
      perror ("runner_standin: listen");
      return -1;
    }
  char host[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &address.sin_addr, host, sizeof host);
  snprintf (s->address, sizeof s->address, "%s:%d", host, ntohs (address.sin_port));
  return 0;
}

static void
start_watchers (struct runner_standin *s)
{
  ev_io_init (&s->accept_watch, on_accept, s->listener, EV_READ);
  ev_timer_init (&s->announce_timer, on_announce_timer, 0.0, ANNOUNCE_S);
  ev_timer_init (&s->drain_timer, on_drain_timer, 0.0, 0.0);
  ev_signal_init (&s->term_watch, on_term, SIGTERM);
  s->accept_watch.data = s;
  s->announce_timer.data = s;
  s->drain_timer.data = s;
  s->term_watch.data = s;
  ev_io_start (s->loop, &s->accept_watch);
  ev_timer_start (s->loop, &s->announce_timer);
  ev_signal_start (s->loop, &s->term_watch);
}

static void
free_executions (struct runner_standin *s)
{
  while (!SLIST_EMPTY (&s->executions))
    {
      struct executions *e = SLIST_FIRST (&s->executions);
      SLIST_REMOVE_HEAD (&s->executions, link);
      free (e->key);
      free (e);
    }
}

static int
run (struct runner_standin *s, const char *listen_address)
{
  s->loop = ev_loop_new (EVFLAG_AUTO);
  s->client = http_client_open (s->loop, 4);
  rng_init (&s->rng, (uint64_t)s->incarnation);
  TAILQ_INIT (&s->queue);
  SLIST_INIT (&s->executions);
  if (open_listener (s, listen_address) < 0)
    return 1;
  start_watchers (s);
  printf ("listening %s\n", s->address);
  fflush (stdout);
  ev_run (s->loop, 0);
  while (!LIST_EMPTY (&s->conns))
    close_conn (LIST_FIRST (&s->conns));
  http_client_close (s->client);
  free_executions (s);
  close (s->listener);
  ev_loop_destroy (s->loop);
  return 0;
}

static void
split_entries (struct runner_standin *s, char *list)
{
  char *rest = NULL;
  for (char *e = strtok_r (list, ",", &rest); e && s->entry_count < MAX_ENTRIES;
       e = strtok_r (NULL, ",", &rest))
    s->entries[s->entry_count++] = e;
}

int
main (int argc, char **argv)
{
  struct arg_str *id = arg_str0 (NULL, "id", "ID", "runner id (default runner-PID)");
  struct arg_str *service = arg_str0 (NULL, "service", "NAME", "service (default echo)");
  struct arg_str *centre = arg_str0 (NULL, "data-centre", "NAME", "data centre (default dc1)");
  struct arg_str *address = arg_str0 (NULL, "listen", "IP:PORT", "default 127.0.0.1:0");
  struct arg_str *entries = arg_str0 (NULL, "entries", "LIST", "ip:port,... of entry VMs");
  struct arg_str *mode = arg_str0 (NULL, "mode", "MODE", "mode of answers (default normal)");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "parallel requests (default 8)");
  struct arg_int *connections = arg_int0 (NULL, "connections", "N", "default 64");
  struct arg_dbl *ms = arg_dbl0 (NULL, "service-ms", "MS", "service time (default 0)");
  struct arg_dbl *errors
      = arg_dbl0 (NULL, "error-rate", "P", "fraction of answers with status 500 (default 0)");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { id, service, centre, address, entries, mode, slots, connections, ms, errors, end };
  static struct runner_standin s;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "runner_standin");
      arg_print_glossary (stderr, table, "  %-25s %s\n");
      return 2;
    }
  snprintf (s.id, sizeof s.id, "runner-%d", (int)getpid ());
  if (id->count > 0)
    snprintf (s.id, sizeof s.id, "%s", id->sval[0]);
  snprintf (s.service, sizeof s.service, "%s", service->count > 0 ? service->sval[0] : "echo");
  snprintf (s.data_centre, sizeof s.data_centre, "%s", centre->count > 0 ? centre->sval[0] : "dc1");
  s.mode = mode->count > 0 ? mode->sval[0] : "normal";
  s.slots = slots->count > 0 ? slots->ival[0] : 8;
  s.connections = connections->count > 0 ? connections->ival[0] : 64;
  s.service_ms = ms->count > 0 ? ms->dval[0] : 0.0;
  s.error_rate = errors->count > 0 ? errors->dval[0] : 0.0;
  s.incarnation = clock_wall_ms ();
  char *list = xstrdup (entries->count > 0 ? entries->sval[0] : "");
  split_entries (&s, list);
  int result = run (&s, address->count > 0 ? address->sval[0] : "127.0.0.1:0");
  free (list);
  arg_freetable (table, sizeof table / sizeof *table);
  return result;
}
