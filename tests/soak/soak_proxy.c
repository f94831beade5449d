/* A loopback proxy whose connections can be delayed, blocked in one direction or reset.  */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "soak.h"

#define READ_BYTES 65536
#define FLUSH_INTERVAL_S 0.005 /* interval for sending delayed and held data */

struct chunk
{
  STAILQ_ENTRY (chunk) link;
  int64_t due_ms;
  size_t len, written;
  char data[];
};

/* One direction of a connection.  */
struct stream
{
  struct proxy_conn *conn;
  int from, to;
  bool inbound; /* from the client */
  bool ended;   /* the sender has closed its side */
  bool end_forwarded;
  ev_io readable;
  STAILQ_HEAD (, chunk) chunks;
};

struct proxy_conn
{
  LIST_ENTRY (proxy_conn) link;
  struct proxy_link *owner;
  struct stream streams[2];
};

struct proxy_link
{
  struct ev_loop *loop;
  int listener;
  struct sockaddr_in target;
  enum link_mode mode;
  int64_t delay_ms;
  ev_io accepting;
  ev_timer flush_timer;
  LIST_HEAD (, proxy_conn) conns;
};

static void
close_conn (struct proxy_conn *c, bool reset)
{
  const struct linger reset_on_close = { .l_onoff = 1 };
  for (int i = 0; i < 2; i++)
    {
      struct stream *s = &c->streams[i];
      struct chunk *k;
      ev_io_stop (c->owner->loop, &s->readable);
      while ((k = STAILQ_FIRST (&s->chunks)) != NULL)
        {
          STAILQ_REMOVE_HEAD (&s->chunks, link);
          free (k);
        }
      if (reset)
        setsockopt (s->from, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    }
  close (c->streams[0].from);
  close (c->streams[1].from);
  LIST_REMOVE (c, link);
  free (c);
}

static bool
is_blocked (const struct proxy_link *l, const struct stream *s)
{
  return l->mode == LINK_BLOCK || (l->mode == LINK_BLOCK_IN && s->inbound)
         || (l->mode == LINK_BLOCK_OUT && !s->inbound);
}

/* Sends the data that is due; returns false on a connection error.  */
static bool
flush_stream (struct stream *s)
{
  struct proxy_link *l = s->conn->owner;
  struct chunk *k;
  int64_t now_ms = clock_now_ms (clock_real ());
  while ((k = STAILQ_FIRST (&s->chunks)) != NULL && k->due_ms <= now_ms && !is_blocked (l, s))
    {
      ssize_t n = send (s->to, k->data + k->written, k->len - k->written, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      k->written += (size_t)n;
      if (k->written < k->len)
        return true;
      STAILQ_REMOVE_HEAD (&s->chunks, link);
      free (k);
    }
  if (s->ended && !s->end_forwarded && STAILQ_EMPTY (&s->chunks) && !is_blocked (l, s))
    {
      shutdown (s->to, SHUT_WR);
      s->end_forwarded = true;
    }
  return true;
}

static bool
is_closed (const struct proxy_conn *c)
{
  return c->streams[0].end_forwarded && c->streams[1].end_forwarded;
}

static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
  struct stream *s = w->data;
  struct proxy_conn *c = s->conn;
  struct chunk *k = malloc (sizeof *k + READ_BYTES);
  (void)events;
  ssize_t n = recv (s->from, k->data, READ_BYTES, 0);
  if (n > 0)
    {
      k->due_ms = clock_now_ms (clock_real ()) + c->owner->delay_ms;
      k->len = (size_t)n;
      k->written = 0;
      STAILQ_INSERT_TAIL (&s->chunks, k, link);
    }
  else
    free (k);
  if (n == 0)
    {
      s->ended = true;
      ev_io_stop (loop, &s->readable);
    }
  bool broken = n < 0 && errno != EAGAIN && errno != EINTR;
  if (broken || !flush_stream (s) || is_closed (c))
    close_conn (c, broken);
}

static void
on_flush (struct ev_loop *loop, ev_timer *w, int events)
{
  struct proxy_link *l = w->data;
  struct proxy_conn *c = LIST_FIRST (&l->conns);
  (void)loop;
  (void)events;
  while (c)
    {
      struct proxy_conn *next = LIST_NEXT (c, link);
      if (!flush_stream (&c->streams[0]) || !flush_stream (&c->streams[1]) || is_closed (c))
        close_conn (c, false);
      c = next;
    }
}

static void
init_stream (struct stream *s, struct proxy_conn *c, int from, int to, bool inbound)
{
  s->conn = c;
  s->from = from;
  s->to = to;
  s->inbound = inbound;
  STAILQ_INIT (&s->chunks);
  ev_io_init (&s->readable, on_readable, from, EV_READ);
  s->readable.data = s;
  ev_io_start (c->owner->loop, &s->readable);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  struct proxy_link *l = w->data;
  int client_fd = accept4 (l->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int target_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  (void)loop;
  (void)events;
  /* A blocking connect is safe: on loopback it succeeds or fails at once.  */
  bool open = client_fd >= 0 && l->mode != LINK_RESET
              && connect (target_fd, (struct sockaddr *)&l->target, sizeof l->target) == 0;
  if (!open)
    {
      const struct linger reset_on_close = { .l_onoff = 1 };
      if (client_fd >= 0)
        {
          setsockopt (client_fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
          close (client_fd);
        }
      close (target_fd);
      return;
    }
  fcntl (target_fd, F_SETFL, O_NONBLOCK);
  struct proxy_conn *c = calloc (1, sizeof *c);
  c->owner = l;
  LIST_INSERT_HEAD (&l->conns, c, link);
  init_stream (&c->streams[0], c, client_fd, target_fd, true);
  init_stream (&c->streams[1], c, target_fd, client_fd, false);
}

struct proxy_link *
proxy_open (struct ev_loop *loop, const char *listen_address, const char *target)
{
  struct proxy_link *l = calloc (1, sizeof *l);
  struct sockaddr_in address;
  int on = 1;
  l->loop = loop;
  LIST_INIT (&l->conns);
  l->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (l->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (http_parse_address (listen_address, &address, NULL) < 0
      || http_parse_address (target, &l->target, NULL) < 0
      || bind (l->listener, (struct sockaddr *)&address, sizeof address) < 0
      || listen (l->listener, 256) < 0)
    {
      fprintf (stderr, "proxy at %s: %s\n", listen_address, strerror (errno));
      exit (2);
    }
  ev_io_init (&l->accepting, on_accept, l->listener, EV_READ);
  l->accepting.data = l;
  ev_io_start (loop, &l->accepting);
  ev_timer_init (&l->flush_timer, on_flush, FLUSH_INTERVAL_S, FLUSH_INTERVAL_S);
  l->flush_timer.data = l;
  ev_timer_start (loop, &l->flush_timer);
  return l;
}

void
proxy_set (struct proxy_link *l, enum link_mode mode, int64_t delay_ms)
{
  struct proxy_conn *c;
  l->mode = mode;
  l->delay_ms = delay_ms;
  while (mode == LINK_RESET && (c = LIST_FIRST (&l->conns)) != NULL)
    close_conn (c, true);
}

void
proxy_close (struct proxy_link *l)
{
  struct proxy_conn *c;
  while ((c = LIST_FIRST (&l->conns)) != NULL)
    close_conn (c, false);
  ev_io_stop (l->loop, &l->accepting);
  ev_timer_stop (l->loop, &l->flush_timer);
  close (l->listener);
  free (l);
}
