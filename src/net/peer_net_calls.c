#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "peer_net_internal.h"

static char empty_text[] = "";

/* Moves CALL, whose status is set, to the list of ended calls.  */
static void
end_call (struct conn *c, struct call *call)
{
  TAILQ_REMOVE (&c->calls, call, link);
  c->open_calls--;
  if (call->record && call->record->written == 0)
    conn_dequeue (c, call->record);
  else if (call->record)
    call->record->call = NULL;
  call->record = NULL;
  if (call->status.kind != STATUS_OK)
    {
      c->peer->stats.failed_calls++;
      counter_add (&peer_failed_calls, 1);
    }
  TAILQ_INSERT_TAIL (&c->net->ended_calls, call, link);
  peer_defer (c->net);
}

/* Ends a call without an answer; REASON goes into its status.  */
static void
fail_call (struct conn *c, struct call *call, const char *reason)
{
  if (call->sent)
    status_set (&call->status, STATUS_OUTCOME_UNKNOWN, "%s sent to %s: %s",
                peer_proc_name (call->proc), c->peer->name, reason);
  else
    status_set (&call->status, STATUS_NO_QUORUM, "%s not sent to %s: %s",
                peer_proc_name (call->proc), c->peer->name, reason);
  end_call (c, call);
}

void
calls_fail_all (struct conn *c, const char *reason)
{
  struct call *call;
  while ((call = TAILQ_FIRST (&c->calls)))
    fail_call (c, call, reason);
}

void
calls_expire (struct conn *c, int64_t now_ms)
{
  struct call *call = TAILQ_FIRST (&c->calls);
  while (call)
    {
      struct call *next = TAILQ_NEXT (call, link);
      if (call->deadline_ms <= now_ms)
        fail_call (c, call, "no answer in time");
      call = next;
    }
}

void
calls_free (struct call *call)
{
  if (call->status.kind == STATUS_OK)
    peer_free_result (call->proc, &call->result);
  free (call);
}

void
calls_complete (struct call *call)
{
  bool ok = call->status.kind == STATUS_OK;
  const union peer_body *result = &call->result;
  if (call->proc == PEER_PROPOSE)
    call->done.propose (call->arg, &call->status, ok ? &result->propose_reply : NULL);
  else if (call->proc == PEER_PERMIT)
    call->done.permit (call->arg, &call->status, ok ? &result->permit_grant : NULL);
  else
    call->done.runners (call->arg, &call->status, ok ? &result->runners_reply : NULL);
  calls_free (call);
}

/* Ends a call that could not be queued; P is NULL when no peer has the node.  */
static void
fail_immediately (struct peer_net *net, struct peer *p, struct call *call)
{
  if (p)
    p->stats.failed_calls++;
  counter_add (&peer_failed_calls, 1);
  TAILQ_INSERT_TAIL (&net->ended_calls, call, link);
  peer_defer (net);
}

/* Returns NULL and sets ST when the call must fail immediately.  */
static struct conn *
usable_conn (struct peer *p, uint64_t node, struct status *st)
{
  if (!p)
    status_set (st, STATUS_NOT_FOUND, "no peer has node %llu", (unsigned long long)node);
  else if (!p->out || p->out->state != CONN_READY)
    status_set (st, STATUS_NO_QUORUM, "not connected to %s", p->name);
  else if (p->out->open_calls >= PEER_MAX_OPEN_CALLS)
    status_set (st, STATUS_OVERLOADED, "%u calls to %s are open", p->out->open_calls, p->name);
  else
    return p->out;
  return NULL;
}

static void
start_call (struct peer_net *net, uint64_t node, uint32_t proc, const void *args,
            int64_t timeout_ms, union call_done done, void *arg)
{
  struct call *call = xcalloc (1, sizeof *call);
  struct peer *p = peer_find_node (net, node);
  size_t len;
  call->proc = proc;
  call->done = done;
  call->arg = arg;
  call->xid = net->next_xid++;
  call->deadline_ms = clock_now_ms (net->clock) + timeout_ms;
  struct conn *c = usable_conn (p, node, &call->status);
  char *bytes = NULL;
  if (c)
    bytes = peer_encode_call (call->xid, proc, args, PEER_MAX_RECORD_BYTES, &len, &call->status);
  if (bytes && conn_queue (c, RECORD_CALL, bytes, len, call) < 0)
    status_set (&call->status, STATUS_OVERLOADED, "the queue to %s is full", p->name);
  if (call->status.kind != STATUS_OK)
    {
      fail_immediately (net, p, call);
      return;
    }
  call->record = TAILQ_LAST (&c->send_queue, record_list);
  TAILQ_INSERT_TAIL (&c->calls, call, link);
  c->open_calls++;
}

void
peer_call_propose (struct peer_net *net, uint64_t node, const propose_args *args,
                   int64_t timeout_ms, peer_propose_done *done, void *arg)
{
  union call_done u = { .propose = done };
  start_call (net, node, PEER_PROPOSE, args, timeout_ms, u, arg);
}

void
peer_call_permit (struct peer_net *net, uint64_t node, const permit_request *request,
                  int64_t timeout_ms, peer_permit_done *done, void *arg)
{
  union call_done u = { .permit = done };
  start_call (net, node, PEER_PERMIT, request, timeout_ms, u, arg);
}

void
peer_call_runners (struct peer_net *net, uint64_t node, const runner_digest *digest,
                   int64_t timeout_ms, peer_runners_done *done, void *arg)
{
  union call_done u = { .runners = done };
  start_call (net, node, PEER_RUNNERS, digest, timeout_ms, u, arg);
}

void
peer_send_raft (struct peer_net *net, const raft_message *message)
{
  struct peer *p = peer_find_node (net, message->to);
  struct status st;
  size_t len;
  if (!p || !p->out || p->out->state != CONN_READY)
    {
      if (p)
        p->stats.dropped_raft++;
      counter_add (&peer_dropped_raft, 1);
      return;
    }
  char *bytes
      = peer_encode_call (net->next_xid++, PEER_RAFT, message, PEER_MAX_RECORD_BYTES, &len, &st);
  if (bytes)
    {
      conn_queue (p->out, RECORD_RAFT, bytes, len, NULL);
      return;
    }
  p->stats.dropped_raft++;
  counter_add (&peer_dropped_raft, 1);
  log_line (LOG_ERROR, "cannot send the raft message to %s: %s", p->name, st.message);
}

bool
peer_send_orders (struct peer_net *net, uint64_t node, const peer_orders *orders)
{
  struct peer *p = peer_find_node (net, node);
  struct status st;
  size_t len;
  if (!p || !p->out || p->out->state != CONN_READY)
    return false;
  char *bytes
      = peer_encode_call (net->next_xid++, PEER_ORDERS, orders, PEER_MAX_RECORD_BYTES, &len, &st);
  if (bytes)
    return conn_queue (p->out, RECORD_CONTROL, bytes, len, NULL) == 0;
  log_line (LOG_ERROR, "cannot send the orders for %s: %s", p->name, st.message);
  return false;
}

static struct call *
find_call (struct conn *c, uint32_t xid)
{
  struct call *call;
  TAILQ_FOREACH (call, &c->calls, link)
  if (call->xid == xid)
    return call;
  return NULL;
}

static void
fail_by_outcome (struct call *call, enum peer_outcome outcome)
{
  const char *name = peer_proc_name (call->proc);
  if (outcome == PEER_REFUSED || outcome == PEER_DENIED)
    status_set (&call->status, STATUS_OVERLOADED, "the peer refused %s", name);
  else
    status_set (&call->status, STATUS_BAD_REQUEST, "the peer could not read %s", name);
}

static int
receive_reply (struct conn *c, const struct peer_header *h, const char *body, size_t len)
{
  if (h->is_call)
    return -1;
  struct call *call = find_call (c, h->xid);
  link_answered (c, h->xid);
  /* The answer belongs to a keepalive or to a call past its deadline.  */
  if (!call)
    return 0;
  if (h->outcome != PEER_SUCCESS)
    fail_by_outcome (call, h->outcome);
  else if (peer_decode_result (call->proc, body, len, &call->result) < 0)
    {
      fail_call (c, call, "the answer is malformed");
      return -1;
    }
  end_call (c, call);
  return 0;
}

static int
queue_reply (struct conn *c, char *bytes, size_t len)
{
  if (conn_queue (c, RECORD_CONTROL, bytes, len, NULL) == 0)
    return 0;
  conn_close (c, "the peer does not read its answers");
  return 0;
}

static int
reply_failure (struct conn *c, uint32_t xid, enum peer_outcome outcome)
{
  size_t len;
  char *bytes = peer_encode_failure (xid, outcome, PEER_DENIED_NO_HELLO, &len);
  return queue_reply (c, bytes, len);
}

static struct peer_reply *
open_reply (struct conn *c, const struct peer_header *h)
{
  struct peer_reply *reply = xcalloc (1, sizeof *reply);
  reply->conn = c;
  reply->xid = h->xid;
  reply->proc = h->proc;
  LIST_INSERT_HEAD (&c->replies, reply, link);
  c->open_replies++;
  return reply;
}

/* Frees REPLY and returns the connection to answer on, or NULL when that is closed.  */
static struct conn *
release_reply (struct peer_reply *reply)
{
  struct conn *c = reply->conn;
  if (c)
    {
      LIST_REMOVE (reply, link);
      c->open_replies--;
    }
  free (reply);
  return c;
}

static void
send_reply (struct peer_reply *reply, uint32_t proc, const void *result)
{
  struct status st = { 0 };
  uint32_t xid = reply->xid;
  bool matches = reply->proc == proc;
  size_t len;
  struct conn *c = release_reply (reply);
  if (!c)
    return;
  char *bytes
      = matches ? peer_encode_result (xid, proc, result, PEER_MAX_RECORD_BYTES, &len, &st) : NULL;
  if (bytes)
    {
      queue_reply (c, bytes, len);
      return;
    }
  /* The call may have been executed, so it must not be answered as refused.  */
  log_line (LOG_ERROR, "cannot send the answer to %s from %s: %s", peer_proc_name (proc),
            c->peer->name, matches ? st.message : "wrong type");
  conn_close (c, "an answer could not be encoded");
}

void
peer_reply_propose (struct peer_reply *reply, const propose_reply *result)
{
  propose_reply copy = *result;
  if (!copy.message)
    copy.message = empty_text;
  send_reply (reply, PEER_PROPOSE, &copy);
}

void
peer_reply_permit (struct peer_reply *reply, const permit_grant *grant)
{
  send_reply (reply, PEER_PERMIT, grant);
}

void
peer_reply_runners (struct peer_reply *reply, const runner_digest_reply *result)
{
  send_reply (reply, PEER_RUNNERS, result);
}

void
peer_reply_refuse (struct peer_reply *reply)
{
  uint32_t xid = reply->xid;
  struct conn *c = release_reply (reply);
  if (c)
    reply_failure (c, xid, PEER_REFUSED);
}

static void
handle_raft (struct conn *c, const raft_message *message)
{
  const struct peer_net_config *config = &c->net->config;
  struct peer_info from;
  /* Ignores messages to or from a node that belonged to an earlier disk of this VM or the peer.  */
  if (message->from != c->peer->node || message->to != config->node || !config->handlers.raft)
    return;
  peer_fill_info (c->peer, &from);
  config->handlers.raft (config->handler_arg, &from, message);
}

static void
handle_orders (struct conn *c, const peer_orders *orders)
{
  const struct peer_net_config *config = &c->net->config;
  struct peer_info from;
  if (!config->handlers.orders)
    return;
  peer_fill_info (c->peer, &from);
  config->handlers.orders (config->handler_arg, &from, orders);
}

static bool
is_one_way (uint32_t proc)
{
  return proc == PEER_RAFT || proc == PEER_ORDERS;
}

static bool
has_handler (const struct peer_handlers *handlers, uint32_t proc)
{
  return (proc == PEER_PROPOSE && handlers->propose) || (proc == PEER_PERMIT && handlers->permit)
         || (proc == PEER_RUNNERS && handlers->runners);
}

static void
handle_call (struct conn *c, const struct peer_header *h, const union peer_body *args)
{
  const struct peer_net_config *config = &c->net->config;
  const struct peer_handlers *handlers = &config->handlers;
  struct peer_info from;
  if (!has_handler (handlers, h->proc) || c->open_replies >= PEER_MAX_OPEN_CALLS)
    {
      reply_failure (c, h->xid, PEER_REFUSED);
      return;
    }
  struct peer_reply *reply = open_reply (c, h);
  peer_fill_info (c->peer, &from);
  if (h->proc == PEER_PROPOSE)
    handlers->propose (config->handler_arg, &from, &args->propose, reply);
  else if (h->proc == PEER_PERMIT)
    handlers->permit (config->handler_arg, &from, &args->permit, reply);
  else
    handlers->runners (config->handler_arg, &from, &args->runners, reply);
}

static int
answer_null (struct conn *c, uint32_t xid)
{
  size_t len;
  char *bytes = peer_encode_result (xid, PEER_NULL, NULL, PEER_MAX_RECORD_BYTES, &len, NULL);
  return queue_reply (c, bytes, len);
}

static int
receive_call (struct conn *c, const struct peer_header *h, const char *body, size_t len)
{
  union peer_body args;
  if (!h->is_call)
    return -1;
  if (h->outcome != PEER_SUCCESS)
    return reply_failure (c, h->xid, PEER_UNKNOWN_PROCEDURE);
  if (peer_decode_args (h->proc, body, len, &args) < 0)
    return is_one_way (h->proc) ? -1 : reply_failure (c, h->xid, PEER_GARBAGE_ARGS);
  if (h->proc == PEER_NULL)
    answer_null (c, h->xid);
  else if (h->proc == PEER_RAFT)
    handle_raft (c, &args.raft);
  else if (h->proc == PEER_ORDERS)
    handle_orders (c, &args.orders);
  else
    handle_call (c, h, &args);
  peer_free_args (h->proc, &args);
  return 0;
}

int
calls_receive (struct conn *c, const char *data, size_t len)
{
  struct peer_header h;
  if (peer_decode_header (data, len, &h) < 0)
    return -1;
  const char *body = data + h.body_offset;
  size_t body_len = len - h.body_offset;
  if (c->outbound)
    return c->state == CONN_READY ? receive_reply (c, &h, body, body_len)
                                  : link_receive_hello_reply (c, &h, body, body_len);
  return c->state == CONN_READY ? receive_call (c, &h, body, body_len)
                                : link_receive_hello (c, &h, body, body_len);
}
