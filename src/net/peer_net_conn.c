#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "log.h"
#include "peer_net_internal.h"

#define WRITE_VECTORS 32
#define UNSENT_LOW_WATER_BYTES (128 * 1024) /* TCP_NOTSENT_LOWAT; more stays droppable */
#define HELLO_MAX_BYTES 1024                /* largest record accepted before the hello */
#define KEEP_INPUT_BYTES (64 * 1024)        /* larger input buffers are freed when empty */

static void on_io (struct ev_loop *loop, ev_io *w, int events);

void
conn_watch (struct conn *c, int events)
{
  if (c->events == events)
    return;
  ev_io_stop (c->net->loop, &c->io);
  ev_io_set (&c->io, c->io.fd, events);
  ev_io_start (c->net->loop, &c->io);
  c->events = events;
}

/* Both ends need TCP_NODELAY: without it an answer waits for the delayed ACK of the previous one,
   40 ms or more.  */
static void
set_options (int fd)
{
  int on = 1;
  int low_water = UNSENT_LOW_WATER_BYTES;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &low_water, sizeof low_water);
}

struct conn *
conn_open (struct peer_net *net, int fd, struct peer *peer, enum conn_state state)
{
  struct conn *c = xcalloc (1, sizeof *c);
  c->net = net;
  c->peer = peer;
  c->outbound = peer != NULL;
  c->state = state;
  c->last_received_ms = clock_now_ms (net->clock);
  set_options (fd);
  TAILQ_INIT (&c->send_queue);
  TAILQ_INIT (&c->calls);
  LIST_INIT (&c->replies);
  LIST_INSERT_HEAD (&net->conns, c, link);
  c->events = state == CONN_CONNECTING ? EV_WRITE : EV_READ;
  ev_io_init (&c->io, on_io, fd, c->events);
  c->io.data = c;
  ev_io_start (net->loop, &c->io);
  if (!c->outbound)
    net->awaiting_hello++;
  return c;
}

void
conn_dequeue (struct conn *c, struct record *r)
{
  TAILQ_REMOVE (&c->send_queue, r, link);
  c->queued_bytes -= r->len;
  c->queued_records--;
  if (r->call)
    r->call->record = NULL;
  free (r->bytes);
  free (r);
}

static void
detach_replies (struct conn *c)
{
  struct peer_reply *reply;
  while ((reply = LIST_FIRST (&c->replies)))
    {
      LIST_REMOVE (reply, link);
      reply->conn = NULL;
    }
}

static void
detach_peer (struct conn *c, const char *reason)
{
  struct peer *p = c->peer;
  if (!p)
    return;
  if (p->in == c)
    p->in = NULL;
  if (p->out != c)
    return;
  p->out = NULL;
  link_back_off (c->net, p);
  if (c->state != CONN_READY)
    return;
  p->lost = true;
  log_line (LOG_WARN, "connection to peer %s lost: %s", p->name, reason);
}

void
conn_close (struct conn *c, const char *reason)
{
  if (c->closed)
    return;
  c->closed = true;
  ev_io_stop (c->net->loop, &c->io);
  close (c->io.fd);
  if (!c->outbound && c->state == CONN_HELLO)
    c->net->awaiting_hello--;
  detach_peer (c, reason);
  calls_fail_all (c, reason);
  detach_replies (c);
  LIST_REMOVE (c, link);
  LIST_INSERT_HEAD (&c->net->closed_conns, c, link);
  peer_defer (c->net);
}

void
conn_free (struct conn *c)
{
  struct record *r;
  while ((r = TAILQ_FIRST (&c->send_queue)))
    conn_dequeue (c, r);
  if (c->dirty)
    STAILQ_REMOVE (&c->net->dirty, c, conn, dirty_link);
  LIST_REMOVE (c, link);
  buffer_close (&c->input);
  free (c);
}

static bool
queue_full (const struct conn *c, size_t len)
{
  return c->queued_bytes + len > PEER_QUEUE_BYTES || c->queued_records >= PEER_QUEUE_RECORDS;
}

static void
count_dropped_raft (struct conn *c)
{
  c->peer->stats.dropped_raft++;
  counter_add (&peer_dropped_raft, 1);
}

/* Raft replaces a lost message by a newer one, so the oldest are dropped first.  */
static void
drop_oldest_raft (struct conn *c, size_t len)
{
  struct record *r = TAILQ_FIRST (&c->send_queue);
  while (r && queue_full (c, len))
    {
      struct record *next = TAILQ_NEXT (r, link);
      if (r->kind == RECORD_RAFT && r->written == 0)
        {
          conn_dequeue (c, r);
          count_dropped_raft (c);
        }
      r = next;
    }
}

static void
mark_dirty (struct conn *c)
{
  /* While connecting or blocked, the write event flushes the queue.  */
  if (c->dirty || (c->events & EV_WRITE))
    return;
  c->dirty = true;
  STAILQ_INSERT_TAIL (&c->net->dirty, c, dirty_link);
  if (!ev_is_pending (&c->net->flush))
    ev_feed_event (c->net->loop, &c->net->flush, EV_CUSTOM);
}

int
conn_queue (struct conn *c, enum record_kind kind, char *bytes, size_t len, struct call *call)
{
  if (kind == RECORD_RAFT)
    drop_oldest_raft (c, len);
  if (queue_full (c, len))
    {
      if (kind == RECORD_RAFT)
        count_dropped_raft (c);
      free (bytes);
      return -1;
    }
  struct record *r = xcalloc (1, sizeof *r);
  r->kind = kind;
  r->bytes = bytes;
  r->len = len;
  r->call = call;
  TAILQ_INSERT_TAIL (&c->send_queue, r, link);
  c->queued_bytes += len;
  c->queued_records++;
  mark_dirty (c);
  return 0;
}

static void
count_sent (struct conn *c, size_t bytes, int messages)
{
  counter_add (&peer_sent_bytes, (int64_t)bytes);
  counter_add (&peer_sent_messages, messages);
  if (!c->peer)
    return;
  c->peer->stats.sent_bytes += bytes;
  c->peer->stats.sent_messages += (uint64_t)messages;
}

static void
advance_written (struct conn *c, size_t bytes)
{
  size_t left = bytes;
  int messages = 0;
  while (left > 0)
    {
      struct record *r = TAILQ_FIRST (&c->send_queue);
      size_t part = r->len - r->written < left ? r->len - r->written : left;
      left -= part;
      r->written += part;
      if (r->call)
        r->call->sent = true;
      if (r->written < r->len)
        break;
      conn_dequeue (c, r);
      messages++;
    }
  count_sent (c, bytes, messages);
}

static int
fill_vectors (struct conn *c, struct iovec *vectors)
{
  struct record *r;
  int n = 0;
  TAILQ_FOREACH (r, &c->send_queue, link)
  {
    if (n == WRITE_VECTORS)
      break;
    vectors[n].iov_base = r->bytes + r->written;
    vectors[n].iov_len = r->len - r->written;
    n++;
  }
  return n;
}

static void
conn_flush (struct conn *c)
{
  struct iovec vectors[WRITE_VECTORS];
  while (!TAILQ_EMPTY (&c->send_queue))
    {
      struct msghdr message = { .msg_iov = vectors };
      message.msg_iovlen = (size_t)fill_vectors (c, vectors);
      ssize_t n = sendmsg (c->io.fd, &message, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          conn_watch (c, EV_READ | EV_WRITE);
          return;
        }
      if (n < 0)
        {
          conn_close (c, "write failed");
          return;
        }
      advance_written (c, (size_t)n);
    }
  conn_watch (c, EV_READ);
  if (c->state == CONN_DRAINING)
    conn_close (c, "refused");
}

void
conn_flush_dirty (struct peer_net *net)
{
  struct conn *c;
  while ((c = STAILQ_FIRST (&net->dirty)))
    {
      STAILQ_REMOVE_HEAD (&net->dirty, dirty_link);
      c->dirty = false;
      if (!c->closed)
        conn_flush (c);
    }
}

static void
count_received (struct conn *c, size_t bytes, int messages)
{
  counter_add (&peer_received_bytes, (int64_t)bytes);
  counter_add (&peer_received_messages, messages);
  if (!c->peer)
    return;
  c->peer->stats.received_bytes += bytes;
  c->peer->stats.received_messages += (uint64_t)messages;
}

/* Handles all complete records in DATA and returns the number of bytes consumed.  */
static size_t
parse (struct conn *c, char *data, size_t len)
{
  size_t at = 0;
  struct peer_record record;
  while (!c->closed && c->state != CONN_DRAINING)
    {
      size_t max = c->state == CONN_READY ? PEER_MAX_RECORD_BYTES : HELLO_MAX_BYTES;
      int found = peer_record_next (data + at, len - at, max, &record);
      if (found == 0)
        return at;
      if (found > 0)
        {
          at += record.used;
          count_received (c, record.used, 1);
          found = calls_receive (c, record.data, record.len);
          peer_record_free (&record);
        }
      if (found < 0)
        {
          counter_add (&peer_malformed, 1);
          conn_close (c, "malformed record");
        }
    }
  return len;
}

static void
handle_input (struct conn *c, size_t len)
{
  struct buffer *in = &c->input;
  char *scratch = c->net->scratch;
  c->last_received_ms = clock_now_ms (c->net->clock);
  if (in->len == 0)
    {
      size_t used = parse (c, scratch, len);
      buffer_append (in, scratch + used, len - used);
    }
  else
    {
      buffer_append (in, scratch, len);
      buffer_consume (in, parse (c, in->data, in->len));
    }
  if (in->len == 0 && in->capacity > KEEP_INPUT_BYTES)
    buffer_close (in);
}

static void
conn_read (struct conn *c)
{
  ssize_t n = recv (c->io.fd, c->net->scratch, READ_BYTES, 0);
  if (n > 0)
    handle_input (c, (size_t)n);
  else if (n == 0)
    conn_close (c, "closed by the peer");
  else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    conn_close (c, "read failed");
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  struct conn *c = w->data;
  (void)loop;
  if (c->state == CONN_CONNECTING)
    {
      link_connected (c);
      return;
    }
  if (events & EV_READ)
    conn_read (c);
  if (!c->closed && (events & EV_WRITE))
    conn_flush (c);
}
