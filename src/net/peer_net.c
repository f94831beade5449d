#include "peer_net.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server.h"
#include "log.h"
#include "peer_net_internal.h"

#define LISTEN_BACKLOG 128
#define ACCEPTS_PER_EVENT 16
#define MAX_AWAITING_HELLO 64 /* inbound connections before their hello */
#define LATE_TICK_MS 500      /* a longer tick interval means that the process was paused */
#define LATE_GRACE_MS 1000    /* time to read pending input before the receive timeout applies */
#define MS_PER_S 1000.0

struct counter peer_sent_bytes
    = { .name = "sassafras_peer_sent_bytes_total", .help = "Bytes sent to peers." };
struct counter peer_sent_messages
    = { .name = "sassafras_peer_sent_messages_total", .help = "Messages sent to peers." };
struct counter peer_received_bytes
    = { .name = "sassafras_peer_received_bytes_total", .help = "Bytes received from peers." };
struct counter peer_received_messages
    = { .name = "sassafras_peer_received_messages_total", .help = "Messages from peers." };
struct counter peer_dropped_raft = { .name = "sassafras_peer_dropped_raft_total",
                                     .help = "Raft messages dropped: queue full, no connection." };
struct counter peer_failed_calls
    = { .name = "sassafras_peer_failed_calls_total", .help = "Calls to peers without a result." };
struct counter peer_refused_hellos
    = { .name = "sassafras_peer_refused_hellos_total",
        .help = "Hellos refused: stranger, other deployment, earlier incarnation." };
struct counter peer_silent_closes = { .name = "sassafras_peer_silent_closes_total",
                                      .help = "Peer connections closed for silence." };
struct counter peer_malformed
    = { .name = "sassafras_peer_malformed_total", .help = "Connections closed for bad bytes." };

struct peer *
peer_find_name (struct peer_net *net, const char *name)
{
  struct peer *p;
  TAILQ_FOREACH (p, &net->peers, link)
  if (strcmp (p->name, name) == 0)
    return p;
  return NULL;
}

struct peer *
peer_find_node (struct peer_net *net, uint64_t node)
{
  struct peer *p;
  if (node == 0)
    return NULL;
  TAILQ_FOREACH (p, &net->peers, link)
  if (p->node == node)
    return p;
  return NULL;
}

void
peer_fill_info (const struct peer *p, struct peer_info *out)
{
  out->name = p->name;
  out->data_centre = p->data_centre;
  out->node = p->node;
  out->incarnation = p->incarnation;
  out->initialized = p->initialized;
  out->connected = p->out && p->out->state == CONN_READY;
  out->stats = p->stats;
}

void
peer_defer (struct peer_net *net)
{
  if (!ev_is_pending (&net->deferred))
    ev_feed_event (net->loop, &net->deferred, EV_CUSTOM);
}

static struct peer *
find_lost (struct peer_net *net)
{
  struct peer *p;
  TAILQ_FOREACH (p, &net->peers, link)
  if (p->lost)
    return p;
  return NULL;
}

void
peer_run_callbacks (struct peer_net *net)
{
  struct peer *p;
  struct call *call;
  struct peer_info info;
  while ((p = find_lost (net)))
    {
      p->lost = false;
      peer_fill_info (p, &info);
      if (net->config.handlers.lost)
        net->config.handlers.lost (net->config.handler_arg, &info);
    }
  while ((call = TAILQ_FIRST (&net->ended_calls)))
    {
      TAILQ_REMOVE (&net->ended_calls, call, link);
      calls_complete (call);
    }
}

static void
free_peer (struct peer *p)
{
  free (p->name);
  free (p->address);
  free (p->data_centre);
  free (p);
}

static void
free_deferred (struct peer_net *net)
{
  struct conn *c;
  struct peer *p;
  while ((c = LIST_FIRST (&net->closed_conns)))
    conn_free (c);
  while ((p = TAILQ_FIRST (&net->removed)))
    {
      TAILQ_REMOVE (&net->removed, p, link);
      free_peer (p);
    }
}

static void
on_deferred (struct ev_loop *loop, ev_prepare *w, int events)
{
  struct peer_net *net = w->data;
  (void)loop;
  (void)events;
  peer_run_callbacks (net);
  free_deferred (net);
}

static void
on_flush (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void)loop;
  (void)events;
  conn_flush_dirty (w->data);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  struct peer_net *net = w->data;
  (void)events;
  for (int i = 0; i < ACCEPTS_PER_EVENT; i++)
    {
      int fd = accept4 (w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      /* Out of descriptors or memory: the event would repeat at once, so wait for the next tick. */
      if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM))
        ev_io_stop (loop, w);
      if (fd < 0)
        return;
      if (net->awaiting_hello >= MAX_AWAITING_HELLO)
        close (fd);
      else
        conn_open (net, fd, NULL, CONN_HELLO);
    }
}

static void
check_receive_timeout (struct conn *c, int64_t now_ms)
{
  if (now_ms - c->last_received_ms < PEER_RECEIVE_TIMEOUT_MS)
    return;
  if (c->peer)
    c->peer->stats.silent_closes++;
  counter_add (&peer_silent_closes, 1);
  conn_close (c, "silent"); /* becomes part of call statuses */
}

static void
tick_conn (struct conn *c, int64_t now_ms, bool late)
{
  int64_t floor_ms = now_ms - PEER_RECEIVE_TIMEOUT_MS + LATE_GRACE_MS;
  if (late && c->last_received_ms < floor_ms)
    c->last_received_ms = floor_ms;
  calls_expire (c, now_ms);
  check_receive_timeout (c, now_ms);
  if (!c->closed)
    link_keepalive (c, now_ms);
}

void
peer_net_tick (struct peer_net *net)
{
  struct conn *c;
  struct conn *next;
  struct peer *p;
  int64_t now = clock_now_ms (net->clock);
  bool late = now - net->last_tick_ms > LATE_TICK_MS;
  net->last_tick_ms = now;
  for (c = LIST_FIRST (&net->conns); c; c = next)
    {
      next = LIST_NEXT (c, link);
      tick_conn (c, now, late);
    }
  TAILQ_FOREACH (p, &net->peers, link)
  link_dial_due (net, p, now);
  ev_io_start (net->loop, &net->accept_io);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  peer_net_tick (w->data);
}

static int
listen_on (struct peer_net *net, const char *text, struct status *st)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  int on = 1;
  if (http_parse_address (text, &address, st) < 0)
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return status_set (st, STATUS_INTERNAL, "cannot create socket: %s", strerror (errno));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 || listen (fd, LISTEN_BACKLOG) < 0
      || getsockname (fd, (struct sockaddr *)&address, &size) < 0)
    {
      status_set (st, STATUS_INTERNAL, "cannot listen on %s: %s", text, strerror (errno));
      close (fd);
      return -1;
    }
  net->listen_fd = fd;
  net->port = ntohs (address.sin_port);
  return 0;
}

static void
start_watchers (struct peer_net *net)
{
  ev_io_init (&net->accept_io, on_accept, net->listen_fd, EV_READ);
  net->accept_io.data = net;
  ev_io_start (net->loop, &net->accept_io);
  ev_timer_init (&net->timer, on_timer, 0.0, TICK_MS / MS_PER_S);
  net->timer.data = net;
  ev_timer_start (net->loop, &net->timer);
  ev_prepare_init (&net->flush, on_flush);
  ev_set_priority (&net->flush, EV_MINPRI);
  net->flush.data = net;
  ev_prepare_init (&net->deferred, on_deferred);
  net->deferred.data = net;
}

static int
check_config (const struct peer_net_config *config, struct status *st)
{
  const char *const names[] = { config->deployment, config->vm, config->data_centre };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (!names[i] || strlen (names[i]) > PEER_NAME_BYTES)
      return status_set (st, STATUS_INVALID_SETTING, "name '%s' is longer than %d bytes",
                         names[i] ? names[i] : "(none)", PEER_NAME_BYTES);
  if (config->node == 0)
    return status_set (st, STATUS_INVALID_SETTING, "node must not be 0");
  return 0;
}

static struct peer_net *
new_net (struct ev_loop *loop, const struct peer_net_config *config)
{
  struct peer_net *net = xcalloc (1, sizeof *net);
  net->loop = loop;
  net->config = *config;
  net->clock = config->clock ? config->clock : clock_real ();
  rng_init (&net->rng, config->seed);
  net->next_xid = (uint32_t)rng_next (&net->rng);
  net->deployment = xstrdup (config->deployment);
  net->vm = xstrdup (config->vm);
  net->data_centre = xstrdup (config->data_centre);
  net->scratch = xmalloc (READ_BYTES);
  net->last_tick_ms = clock_now_ms (net->clock);
  TAILQ_INIT (&net->peers);
  TAILQ_INIT (&net->removed);
  TAILQ_INIT (&net->ended_calls);
  LIST_INIT (&net->conns);
  LIST_INIT (&net->closed_conns);
  STAILQ_INIT (&net->dirty);
  return net;
}

static void
free_net (struct peer_net *net)
{
  struct peer *p;
  while ((p = TAILQ_FIRST (&net->peers)))
    {
      TAILQ_REMOVE (&net->peers, p, link);
      free_peer (p);
    }
  free (net->deployment);
  free (net->vm);
  free (net->data_centre);
  free (net->scratch);
  free (net);
}

struct peer_net *
peer_net_open (struct ev_loop *loop, const struct peer_net_config *config, struct status *st)
{
  if (check_config (config, st) < 0)
    return NULL;
  struct peer_net *net = new_net (loop, config);
  if (listen_on (net, config->listen_address, st) < 0)
    {
      free_net (net);
      return NULL;
    }
  start_watchers (net);
  for (size_t i = 0; i < config->peer_count; i++)
    if (peer_net_set_peer (net, &config->peers[i], st) < 0)
      {
        peer_net_close (net);
        return NULL;
      }
  return net;
}

void
peer_net_close (struct peer_net *net)
{
  struct conn *c;
  struct call *call;
  if (!net)
    return;
  while ((c = LIST_FIRST (&net->conns)))
    conn_close (c, "shutting down");
  while ((call = TAILQ_FIRST (&net->ended_calls)))
    {
      TAILQ_REMOVE (&net->ended_calls, call, link);
      calls_free (call);
    }
  free_deferred (net);
  ev_io_stop (net->loop, &net->accept_io);
  ev_timer_stop (net->loop, &net->timer);
  ev_clear_pending (net->loop, &net->flush);
  ev_clear_pending (net->loop, &net->deferred);
  close (net->listen_fd);
  free_net (net);
}

int
peer_net_port (const struct peer_net *net)
{
  return net->port;
}

void
peer_net_set_identity (struct peer_net *net, uint64_t node, bool initialized)
{
  net->config.node = node;
  net->config.initialized = initialized;
}

static void
close_peer_conns (struct peer *p, const char *reason)
{
  if (p->out)
    conn_close (p->out, reason);
  if (p->in)
    conn_close (p->in, reason);
}

static void
change_address (struct peer *p, const char *address)
{
  if (strcmp (p->address, address) == 0)
    return;
  free (p->address);
  p->address = xstrdup (address);
  if (p->out)
    conn_close (p->out, "address changed");
  p->next_dial_ms = 0;
  p->backoff_ms = 0;
}

int
peer_net_set_peer (struct peer_net *net, const struct peer_config *peer, struct status *st)
{
  struct sockaddr_in address;
  if (http_parse_address (peer->address, &address, st) < 0)
    return -1;
  if (strlen (peer->name) > PEER_NAME_BYTES)
    return status_set (st, STATUS_INVALID_SETTING, "VM name '%.80s' is longer than %d bytes",
                       peer->name, PEER_NAME_BYTES);
  if (strcmp (peer->name, net->vm) == 0)
    return 0;
  struct peer *p = peer_find_name (net, peer->name);
  if (p)
    {
      change_address (p, peer->address);
      if (p->node == 0)
        p->node = peer->node;
      return 0;
    }
  p = xcalloc (1, sizeof *p);
  p->name = xstrdup (peer->name);
  p->address = xstrdup (peer->address);
  p->data_centre = xstrdup ("");
  p->node = peer->node;
  p->stats.shortest_answer_ms = INT64_MAX;
  TAILQ_INSERT_TAIL (&net->peers, p, link);
  net->peer_count++;
  return 0;
}

void
peer_net_remove_peer (struct peer_net *net, const char *name)
{
  struct peer *p = peer_find_name (net, name);
  if (!p)
    return;
  close_peer_conns (p, "removed from the list of peers");
  TAILQ_REMOVE (&net->peers, p, link);
  TAILQ_INSERT_TAIL (&net->removed, p, link);
  net->peer_count--;
  peer_defer (net);
}

size_t
peer_net_peer_count (const struct peer_net *net)
{
  return net->peer_count;
}

bool
peer_net_peer_at (const struct peer_net *net, size_t i, struct peer_info *out)
{
  const struct peer *p;
  TAILQ_FOREACH (p, &net->peers, link)
  if (i-- == 0)
    {
      peer_fill_info (p, out);
      return true;
    }
  return false;
}

bool
peer_net_peer (const struct peer_net *net, uint64_t node, struct peer_info *out)
{
  const struct peer *p;
  TAILQ_FOREACH (p, &net->peers, link)
  if (node != 0 && p->node == node)
    {
      peer_fill_info (p, out);
      return true;
    }
  return false;
}

uint64_t
peer_net_refusals (const struct peer_net *net)
{
  return net->refused_hellos;
}
