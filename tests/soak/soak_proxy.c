/* A loopback proxy whose connections can be delayed, silenced one way or reset.  */
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
#define PUMP_S 0.005 /* delayed and silenced data is looked at this often */

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
  bool inbound; /* from the caller */
  bool ended;   /* the sender has closed */
  bool passed_end;
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
  ev_timer pump;
  LIST_HEAD (, proxy_conn) conns;
};

static void
close_conn (struct proxy_conn *c, bool reset)
{
  const struct linger hard = { .l_onoff = 1 };
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
        setsockopt (s->from, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }
  close (c->streams[0].from);
  close (c->streams[1].from);
  LIST_REMOVE (c, link);
  free (c);
}

static bool
is_silent (const struct proxy_link *l, const struct stream *s)
{
  return l->mode == LINK_SILENT || (l->mode == LINK_SILENT_IN && s->inbound)
         || (l->mode == LINK_SILENT_OUT && !s->inbound);
}

/* Writes what is due; false when the connection is broken.  */
static bool
pump_stream (struct stream *s)
{
  struct proxy_link *l = s->conn->owner;
  struct chunk *k;
  int64_t now_ms = clock_now_ms (clock_real ());
  while ((k = STAILQ_FIRST (&s->chunks)) != NULL && k->due_ms <= now_ms && !is_silent (l, s))
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
  if (s->ended && !s->passed_end && STAILQ_EMPTY (&s->chunks) && !is_silent (l, s))
    {
      shutdown (s->to, SHUT_WR);
      s->passed_end = true;
    }
  return true;
}

static bool
is_over (const struct proxy_conn *c)
{
  return c->streams[0].passed_end && c->streams[1].passed_end;
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
  if (broken || !pump_stream (s) || is_over (c))
    close_conn (c, broken);
}

static void
on_pump (struct ev_loop *loop, ev_timer *w, int events)
{
  struct proxy_link *l = w->data;
  struct proxy_conn *c = LIST_FIRST (&l->conns);
  (void)loop;
  (void)events;
  while (c)
    {
      struct proxy_conn *next = LIST_NEXT (c, link);
      if (!pump_stream (&c->streams[0]) || !pump_stream (&c->streams[1]) || is_over (c))
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
  int caller = accept4 (l->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int callee = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  (void)loop;
  (void)events;
  /* A refused loopback connect answers at once.  */
  bool open = caller >= 0 && l->mode != LINK_REFUSES
              && connect (callee, (struct sockaddr *)&l->target, sizeof l->target) == 0;
  if (!open)
    {
      const struct linger hard = { .l_onoff = 1 };
      if (caller >= 0)
        {
          setsockopt (caller, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
          close (caller);
        }
      close (callee);
      return;
    }
  fcntl (callee, F_SETFL, O_NONBLOCK);
  struct proxy_conn *c = calloc (1, sizeof *c);
  c->owner = l;
  LIST_INSERT_HEAD (&l->conns, c, link);
  init_stream (&c->streams[0], c, caller, callee, true);
  init_stream (&c->streams[1], c, callee, caller, false);
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
  ev_timer_init (&l->pump, on_pump, PUMP_S, PUMP_S);
  l->pump.data = l;
  ev_timer_start (loop, &l->pump);
  return l;
}

void
proxy_set (struct proxy_link *l, enum link_mode mode, int64_t delay_ms)
{
  struct proxy_conn *c;
  l->mode = mode;
  l->delay_ms = delay_ms;
  while (mode == LINK_REFUSES && (c = LIST_FIRST (&l->conns)) != NULL)
    close_conn (c, true);
}

void
proxy_close (struct proxy_link *l)
{
  struct proxy_conn *c;
  while ((c = LIST_FIRST (&l->conns)) != NULL)
    close_conn (c, false);
  ev_io_stop (l->loop, &l->accepting);
  ev_timer_stop (l->loop, &l->pump);
  close (l->listener);
  free (l);
}
