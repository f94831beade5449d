#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server.h"
#include "log.h"
#include "peer_net_internal.h"

#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 2000

void
link_back_off (struct peer_net *net, struct peer *p)
{
  int64_t now = clock_now_ms (net->clock);
  if (p->backoff_ms < BACKOFF_MIN_MS)
    p->backoff_ms = BACKOFF_MIN_MS;
  p->next_dial_ms = now + rng_between (&net->rng, p->backoff_ms / 2, p->backoff_ms);
  p->backoff_ms = p->backoff_ms * 2 < BACKOFF_MAX_MS ? p->backoff_ms * 2 : BACKOFF_MAX_MS;
}

static void
dial (struct peer_net *net, struct peer *p)
{
  struct sockaddr_in address;
  int fd = -1;
  if (http_parse_address (p->address, &address, NULL) == 0)
    fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      link_back_off (net, p);
      return;
    }
  if (connect (fd, (struct sockaddr *)&address, sizeof address) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      link_back_off (net, p);
      return;
    }
  p->out = conn_open (net, fd, p, CONN_CONNECTING);
}

void
link_dial_due (struct peer_net *net, struct peer *p, int64_t now_ms)
{
  if (!p->out && p->next_dial_ms <= now_ms)
    dial (net, p);
}

static peer_hello
own_hello (struct peer_net *net)
{
  peer_hello hello = {
    .deployment = net->deployment,
    .vm = net->vm,
    .data_centre = net->data_centre,
    .node = net->config.node,
    .incarnation = net->config.incarnation,
    .initialized = net->config.initialized,
  };
  return hello;
}

void
link_connected (struct conn *c)
{
  int error = 0;
  socklen_t size = sizeof error;
  struct peer_net *net = c->net;
  size_t len;
  if (getsockopt (c->io.fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
    {
      conn_close (c, "connect failed");
      return;
    }
  peer_hello hello = own_hello (net);
  c->state = CONN_HELLO;
  c->last_received_ms = clock_now_ms (net->clock);
  c->hello_xid = net->next_xid++;
  c->probe_xid = c->hello_xid;
  c->probe_sent_ms = c->last_received_ms;
  conn_watch (c, EV_READ);
  char *bytes
      = peer_encode_call (c->hello_xid, PEER_HELLO, &hello, PEER_MAX_RECORD_BYTES, &len, NULL);
  conn_queue (c, RECORD_CONTROL, bytes, len, NULL);
}

void
link_keepalive (struct conn *c, int64_t now_ms)
{
  size_t len;
  if (!c->outbound || c->state != CONN_READY)
    return;
  if (now_ms - c->last_received_ms < PEER_KEEPALIVE_MS
      || now_ms - c->last_keepalive_ms < PEER_KEEPALIVE_MS)
    return;
  c->last_keepalive_ms = now_ms;
  c->probe_xid = c->net->next_xid++;
  c->probe_sent_ms = now_ms;
  char *bytes = peer_encode_call (c->probe_xid, PEER_NULL, NULL, PEER_MAX_RECORD_BYTES, &len, NULL);
  conn_queue (c, RECORD_CONTROL, bytes, len, NULL);
}

void
link_answered (struct conn *c, uint32_t xid)
{
  if (!c->peer || c->probe_sent_ms == 0 || xid != c->probe_xid)
    return;
  int64_t answer_ms = clock_now_ms (c->net->clock) - c->probe_sent_ms;
  c->probe_sent_ms = 0;
  if (answer_ms < c->peer->stats.shortest_answer_ms)
    c->peer->stats.shortest_answer_ms = answer_ms;
}

/* Returns PEER_NOT_DENIED when HELLO is acceptable; *OUT is the peer it names, or NULL.  */
static enum peer_denial
check_hello (struct peer_net *net, const peer_hello *hello, struct peer **out)
{
  *out = NULL;
  if (strcmp (hello->deployment, net->deployment) != 0)
    return PEER_DENIED_DEPLOYMENT;
  struct peer *p = peer_find_name (net, hello->vm);
  *out = p;
  if (!p || hello->node == 0 || hello->node == net->config.node)
    return PEER_DENIED_UNKNOWN_PEER;
  struct peer *owner = peer_find_node (net, hello->node);
  if (owner && owner != p)
    return PEER_DENIED_UNKNOWN_PEER;
  if (hello->incarnation < p->incarnation)
    return PEER_DENIED_INCARNATION;
  return PEER_NOT_DENIED;
}

static void
count_refusal (struct peer_net *net, struct peer *p, const char *name, const char *what,
               enum peer_denial denial)
{
  net->refused_hellos++;
  counter_add (&peer_refused_hellos, 1);
  if (p)
    p->stats.refused_hellos++;
  bool logged = p ? p->refusal_logged : strcmp (net->last_refusal, name) == 0;
  if (p)
    p->refusal_logged = true;
  else
    strncpy (net->last_refusal, name, sizeof net->last_refusal - 1);
  if (!logged)
    log_line (LOG_WARN, "%s %s: %s", what, name, peer_denial_name (denial));
}

/* Copies the identity in HELLO to P.  True when node, incarnation or initialized changed.  */
static bool
update_identity (struct peer *p, const peer_hello *hello)
{
  bool changed = hello->incarnation != p->incarnation || hello->node != p->node
                 || hello->initialized != p->initialized;
  if (strcmp (p->data_centre, hello->data_centre) != 0)
    {
      free (p->data_centre);
      p->data_centre = xstrdup (hello->data_centre);
    }
  p->node = hello->node;
  p->incarnation = hello->incarnation;
  p->initialized = hello->initialized;
  return changed;
}

static void
report_hello (struct peer_net *net, struct peer *p)
{
  struct peer_info info;
  if (!net->config.handlers.hello)
    return;
  /* An earlier loss of the connection must be reported before this hello.  */
  peer_run_callbacks (net);
  peer_fill_info (p, &info);
  net->config.handlers.hello (net->config.handler_arg, &info);
}

/* Closes the outbound connection to a process that has restarted; calls on it get no answer.  */
static void
drop_stale_outbound (struct peer *p)
{
  struct conn *out = p->out;
  if (!out || out->state != CONN_READY || out->incarnation >= p->incarnation)
    return;
  conn_close (out, "the peer has restarted");
  p->backoff_ms = 0;
  p->next_dial_ms = 0;
}

/* Closes the inbound connection from a process that has restarted: its messages are out of date. */
static void
drop_stale_inbound (struct peer *p)
{
  if (p->in && p->in->incarnation < p->incarnation)
    conn_close (p->in, "the peer has restarted");
}

static void
accept_hello (struct conn *c, struct peer *p, const peer_hello *hello, uint32_t xid)
{
  struct peer_net *net = c->net;
  size_t len;
  bool changed = update_identity (p, hello);
  if (p->in)
    conn_close (p->in, "replaced by a new connection");
  p->in = c;
  c->peer = p;
  c->state = CONN_READY;
  c->incarnation = hello->incarnation;
  net->awaiting_hello--;
  drop_stale_outbound (p);
  p->next_dial_ms = 0; /* it is up */
  peer_hello own = own_hello (net);
  char *bytes = peer_encode_result (xid, PEER_HELLO, &own, PEER_MAX_RECORD_BYTES, &len, NULL);
  conn_queue (c, RECORD_CONTROL, bytes, len, NULL);
  if (changed)
    report_hello (net, p);
}

static void
refuse_inbound (struct conn *c, uint32_t xid, enum peer_denial denial)
{
  size_t len;
  char *bytes = peer_encode_failure (xid, PEER_DENIED, denial, &len);
  c->net->awaiting_hello--;
  c->state = CONN_DRAINING;
  conn_queue (c, RECORD_CONTROL, bytes, len, NULL);
}

int
link_receive_hello (struct conn *c, const struct peer_header *h, const char *body, size_t len)
{
  union peer_body args;
  struct peer *p;
  if (!h->is_call)
    return -1;
  if (h->outcome != PEER_SUCCESS || h->proc != PEER_HELLO)
    {
      count_refusal (c->net, NULL, "", "refused a call from an unknown sender",
                     PEER_DENIED_NO_HELLO);
      refuse_inbound (c, h->xid, PEER_DENIED_NO_HELLO);
      return 0;
    }
  if (peer_decode_args (PEER_HELLO, body, len, &args) < 0)
    return -1;
  enum peer_denial denial = check_hello (c->net, &args.hello, &p);
  if (denial == PEER_NOT_DENIED)
    accept_hello (c, p, &args.hello, h->xid);
  else
    {
      count_refusal (c->net, p, args.hello.vm, "refused the hello of", denial);
      refuse_inbound (c, h->xid, denial);
    }
  peer_free_args (PEER_HELLO, &args);
  return 0;
}

static void
outbound_ready (struct conn *c, const peer_hello *hello)
{
  struct peer *p = c->peer;
  update_identity (p, hello);
  drop_stale_inbound (p);
  c->state = CONN_READY;
  c->incarnation = hello->incarnation;
  p->backoff_ms = 0;
  p->refusal_logged = false;
  p->stats.connects++;
  log_line (LOG_INFO, "connected to peer %s, node %llu", p->name, (unsigned long long)p->node);
  report_hello (c->net, p);
}

int
link_receive_hello_reply (struct conn *c, const struct peer_header *h, const char *body, size_t len)
{
  union peer_body result;
  struct peer *p;
  if (h->is_call || h->xid != c->hello_xid)
    return -1;
  link_answered (c, h->xid);
  if (h->outcome == PEER_DENIED)
    {
      count_refusal (c->net, c->peer, c->peer->name, "hello was refused by", h->denial);
      conn_close (c, "hello refused");
      return 0;
    }
  if (h->outcome != PEER_SUCCESS || peer_decode_result (PEER_HELLO, body, len, &result) < 0)
    return -1;
  enum peer_denial denial = check_hello (c->net, &result.hello, &p);
  if (denial == PEER_NOT_DENIED && p != c->peer)
    denial = PEER_DENIED_UNKNOWN_PEER;
  if (denial == PEER_NOT_DENIED)
    outbound_ready (c, &result.hello);
  else
    {
      count_refusal (c->net, c->peer, c->peer->name, "refused the hello reply received from",
                     denial);
      conn_close (c, "hello refused");
    }
  peer_free_result (PEER_HELLO, &result);
  return 0;
}
