/* body_sender: clients and backend servers that don't keep to the limits; for
   tests/bodies/bodies.sh.

   Usage: body_sender KIND COUNT METHOD:PATH@IP:PORT...   COUNT connections, spread over the targets
          body_sender answers PORT   a backend server on all addresses

   Prints "settled connections=N closed=N sent=BYTES" once no connection makes progress, and keeps
   what is open, sending on when it can, until a signal ends it.  A closed connection is not
   replaced.  */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "buffer.h"

#define SENT_BYTES (24u << 20)      /* of a body that is announced longer */
#define BODY_LIMIT_BYTES (4u << 20) /* the largest body that a process accepts */
#define CHUNK_BYTES 4096
#define HEADER_LINE_BYTES 1024
#define PIPELINED_REQUESTS 64
#define MAX_CONNECTIONS 1024
#define SMALL_WINDOW_BYTES 4096
#define SETTLED_MS 1500 /* without progress on any connection */
#define POLL_MS 100
#define NS_PER_MS 1000000
#define MS_PER_S 1000

struct endpoint
{
  char method[8]; /* of a request with a body */
  char path[256];
};

/* What each connection of a kind sends: the same bytes, built once per target.  */
struct kind
{
  const char *name;
  void (*build) (struct buffer *out, const struct endpoint *e);
  size_t slow_bytes; /* the last bytes are sent one at a time, every POLL_MS */
  bool reads;        /* reads the answers */
};

struct target
{
  struct sockaddr_in address;
  struct buffer text;
};

struct connection
{
  int fd; /* -1: closed by the other side */
  const struct target *target;
  size_t sent;
};

struct crowd
{
  const struct kind *kind;
  struct connection connections[MAX_CONNECTIONS];
  size_t count;
  size_t closed;
  size_t sent_bytes;
  bool settled;
  int64_t progress_ms;
};

static int64_t
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * MS_PER_S + t.tv_nsec / NS_PER_MS;
}

static void
repeat (struct buffer *out, const char *unit, size_t total)
{
  size_t len = strlen (unit);
  for (size_t n = 0; n < total; n += len)
    buffer_append (out, unit, len);
}

static void
build_post (struct buffer *out, const struct endpoint *e, size_t length)
{
  buffer_printf (out,
                 "%s %s HTTP/1.1\r\nHost: h.example\r\nSassafras-Customer: schools\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 e->method, e->path, length);
}

static void
build_chunked_post (struct buffer *out, const struct endpoint *e)
{
  buffer_printf (out,
                 "%s %s HTTP/1.1\r\nHost: h.example\r\nSassafras-Customer: schools\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 e->method, e->path);
}

static void
build_announced (struct buffer *out, const struct endpoint *e)
{
  build_post (out, e, (size_t)1 << 30);
  repeat (out, " ", SENT_BYTES);
}

static void
build_large_chunk (struct buffer *out, const struct endpoint *e)
{
  build_chunked_post (out, e);
  buffer_printf (out, "80000000\r\n");
  repeat (out, " ", SENT_BYTES);
}

static void
build_chunks (struct buffer *out, const struct endpoint *e)
{
  char chunk[CHUNK_BYTES + 1];
  memset (chunk, ' ', CHUNK_BYTES);
  chunk[CHUNK_BYTES] = '\0';
  build_chunked_post (out, e);
  for (size_t n = 0; n < SENT_BYTES; n += CHUNK_BYTES)
    buffer_printf (out, "%x\r\n%s\r\n", CHUNK_BYTES, chunk);
}

/* All but the last byte of a body inside the limit.  */
static void
build_withheld (struct buffer *out, const struct endpoint *e)
{
  build_post (out, e, BODY_LIMIT_BYTES - 1);
  repeat (out, " ", BODY_LIMIT_BYTES - 2);
}

static void
build_headers (struct buffer *out, const struct endpoint *e)
{
  char line[HEADER_LINE_BYTES];
  memset (line, 'a', sizeof line);
  line[sizeof line - 1] = '\0';
  buffer_printf (out, "GET %s HTTP/1.1\r\nHost: h.example\r\n", e->path);
  while (out->len < SENT_BYTES)
    buffer_printf (out, "X-Filler: %s\r\n", line);
}

static void
build_nothing (struct buffer *out, const struct endpoint *e)
{
  (void)out;
  (void)e;
}

static void
build_pipelined (struct buffer *out, const struct endpoint *e)
{
  for (int i = 0; i < PIPELINED_REQUESTS; i++)
    buffer_printf (out, "GET %s HTTP/1.1\r\nHost: h.example\r\n\r\n", e->path);
}

/* A complete body inside the limit with as many JSON values as fit.  */
static void
build_values (struct buffer *out, const struct endpoint *e)
{
  const size_t pairs = (BODY_LIMIT_BYTES - 1) / 3 - 1;
  build_post (out, e, pairs * 3 + 4);
  buffer_append (out, "[", 1);
  repeat (out, "{},", pairs * 3);
  buffer_append (out, "{}]", 3);
}

/* A record of the protocol between VMs whose first fragment has the largest length.  */
static void
build_frame (struct buffer *out, const struct endpoint *e)
{
  (void)e;
  buffer_append (out, "\xff\xff\xff\xff", 4);
  repeat (out, "x", SENT_BYTES);
}

static void
build_answer (struct buffer *out, const struct endpoint *e)
{
  (void)e;
  buffer_printf (out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: 1073741824\r\n\r\n");
  repeat (out, " ", SENT_BYTES);
}

static const struct kind kinds[] = {
  { .name = "announced", .build = build_announced },
  { .name = "large-chunk", .build = build_large_chunk },
  { .name = "chunks", .build = build_chunks },
  { .name = "withheld", .build = build_withheld },
  { .name = "trickle", .build = build_withheld, .slow_bytes = CHUNK_BYTES },
  { .name = "headers", .build = build_headers },
  { .name = "idle", .build = build_nothing },
  { .name = "unread", .build = build_pipelined },
  { .name = "values", .build = build_values, .reads = true },
  { .name = "frames", .build = build_frame },
};
static const struct kind answers = { .name = "answers", .build = build_answer, .reads = true };

static const struct kind *
find_kind (const char *name)
{
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    if (strcmp (kinds[i].name, name) == 0)
      return &kinds[i];
  return NULL;
}

static int
parse_target (const struct kind *kind, const char *text, struct target *out)
{
  struct endpoint e;
  char ip[INET_ADDRSTRLEN];
  int port;
  if (sscanf (text, "%7[A-Z]:%255[^@]@%15[0-9.]:%d", e.method, e.path, ip, &port) != 4)
    return -1;
  out->address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  if (inet_pton (AF_INET, ip, &out->address.sin_addr) != 1)
    return -1;
  buffer_init (&out->text);
  kind->build (&out->text, &e);
  return 0;
}

static struct connection *
add_connection (struct crowd *crowd, int fd, const struct target *target)
{
  struct connection *c = &crowd->connections[crowd->count++];
  *c = (struct connection){ .fd = fd, .target = target };
  return c;
}

/* A connection that the other side doesn't accept counts as closed.  */
static void
open_connection (struct crowd *crowd, const struct target *target)
{
  int window = SMALL_WINDOW_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct connection *c = add_connection (crowd, fd, target);
  if (!crowd->kind->reads)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  if (connect (fd, (const struct sockaddr *)&target->address, sizeof target->address) == 0
      || errno == EINPROGRESS)
    return;
  close (fd);
  c->fd = -1;
  crowd->closed++;
}

static void
close_connection (struct crowd *crowd, struct connection *c)
{
  close (c->fd);
  c->fd = -1;
  crowd->closed++;
  crowd->progress_ms = now_ms ();
}

static bool
is_slow (const struct crowd *crowd, const struct connection *c)
{
  return c->sent + crowd->kind->slow_bytes >= c->target->text.len;
}

static void
send_part (struct crowd *crowd, struct connection *c)
{
  bool slow = crowd->kind->slow_bytes > 0 && is_slow (crowd, c);
  size_t left = c->target->text.len - c->sent;
  ssize_t n
      = send (c->fd, c->target->text.data + c->sent, slow && left > 1 ? 1 : left, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    close_connection (crowd, c);
  if (n <= 0)
    return;
  c->sent += (size_t)n;
  crowd->sent_bytes += (size_t)n;
  if (!slow)
    crowd->progress_ms = now_ms ();
}

static void
receive_part (struct crowd *crowd, struct connection *c)
{
  static char discarded[65536];
  ssize_t n = recv (c->fd, discarded, sizeof discarded, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    close_connection (crowd, c);
  else if (n > 0)
    crowd->progress_ms = now_ms ();
}

static void
handle_events (struct crowd *crowd, struct connection *c, short events)
{
  if (events & (POLLERR | POLLHUP))
    close_connection (crowd, c);
  else if (events & POLLIN)
    receive_part (crowd, c);
  if (c->fd >= 0 && (events & POLLOUT))
    send_part (crowd, c);
}

static short
wanted_events (const struct crowd *crowd, const struct connection *c, bool slow_due)
{
  short events = crowd->kind->reads ? POLLIN : 0;
  if (c->sent < c->target->text.len
      && (slow_due || crowd->kind->slow_bytes == 0 || !is_slow (crowd, c)))
    events |= POLLOUT;
  return events;
}

static void
run_once (struct crowd *crowd, int listener)
{
  static struct pollfd fds[MAX_CONNECTIONS + 1];
  static int64_t slow_due_ms;
  bool slow_due = now_ms () >= slow_due_ms;
  size_t count = crowd->count;
  if (slow_due)
    slow_due_ms = now_ms () + POLL_MS;
  for (size_t i = 0; i < count; i++)
    fds[i] = (struct pollfd){ .fd = crowd->connections[i].fd,
                              .events = wanted_events (crowd, &crowd->connections[i], slow_due) };
  fds[count] = (struct pollfd){ .fd = count < MAX_CONNECTIONS ? listener : -1, .events = POLLIN };
  if (poll (fds, count + 1, POLL_MS) < 0)
    return;
  for (size_t i = 0; i < count; i++)
    if (fds[i].fd >= 0 && fds[i].revents)
      handle_events (crowd, &crowd->connections[i], fds[i].revents);
  if (fds[count].revents & POLLIN)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        add_connection (crowd, fd, crowd->connections[0].target);
    }
}

static void
report_settled (struct crowd *crowd)
{
  if (crowd->settled || now_ms () - crowd->progress_ms < SETTLED_MS)
    return;
  crowd->settled = true;
  printf ("settled connections=%zu closed=%zu sent=%zu\n", crowd->count, crowd->closed,
          crowd->sent_bytes);
  fflush (stdout);
}

static int
serve_answers (struct crowd *crowd, int port)
{
  static struct target target;
  int on = 1;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  buffer_init (&target.text);
  crowd->kind->build (&target.text, NULL);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) < 0
      || listen (listener, MAX_CONNECTIONS) < 0)
    {
      perror ("listen");
      return 1;
    }
  /* Keeps the target for the connections that are accepted.  */
  add_connection (crowd, -1, &target);
  for (;;)
    run_once (crowd, listener);
}

int
main (int argc, char **argv)
{
  static struct crowd crowd;
  static struct target targets[8];
  size_t target_count = 0;
  signal (SIGPIPE, SIG_IGN);
  if (argc == 3 && strcmp (argv[1], answers.name) == 0)
    {
      crowd.kind = &answers;
      return serve_answers (&crowd, atoi (argv[2]));
    }
  crowd.kind = argc > 3 ? find_kind (argv[1]) : NULL;
  for (int i = 3; crowd.kind && i < argc && target_count < 8; i++)
    if (parse_target (crowd.kind, argv[i], &targets[target_count++]) < 0)
      crowd.kind = NULL;
  int count = crowd.kind ? atoi (argv[2]) : 0;
  if (count < 1 || count > MAX_CONNECTIONS)
    {
      fputs ("usage: body_sender KIND COUNT METHOD:PATH@IP:PORT... | answers PORT\n", stderr);
      return 2;
    }
  crowd.progress_ms = now_ms ();
  for (int i = 0; i < count; i++)
    open_connection (&crowd, &targets[(size_t)i % target_count]);
  for (;;)
    {
      run_once (&crowd, -1);
      report_settled (&crowd);
    }
}
