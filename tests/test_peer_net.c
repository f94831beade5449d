/* Guards against a transport that accepts an unknown sender or an earlier incarnation of a VM, lets
   a slow or unresponsive peer delay another, loses or repeats the result of a call, or crashes on
   malformed input.  Uses loopback sockets and the manual clock, which is advanced in steps.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "peer_codec.h"
#include "peer_net.h"
#include "rng.h"

#define STEP_MS 100
#define MAX_STEPS 400
#define SEED 77
#define UNUSED_PORT 9
#define CALL_TIMEOUT_MS 1500

static struct ev_loop *loop;
static struct manual_clock clk;
static struct endpoint *open_endpoints[4]; /* step runs their ticks */
static int next_port;                      /* of the next endpoint; 0 for any */

struct endpoint
{
  struct peer_net *net;
  int hellos;
  int losses;
  int raft;
  int orders;
  size_t order_bytes;
  uint64_t last_term;
  int proposals;
  struct peer_info last_hello;
  void (*on_raft) (void *arg, const struct peer_info *from, const raft_message *m);
  bool defer_reply; /* store the reply handle instead of answering */
  struct peer_reply *deferred_reply;
};

struct outcome
{
  int calls;
  enum status_kind kind;
  uint64_t leader;
};

static void
on_orders (void *arg, const struct peer_info *from, const peer_orders *orders)
{
  struct endpoint *e = arg;
  assert_int_equal (from->node, 1);
  e->orders++;
  e->order_bytes += orders->data.data_len;
}

static void
on_raft (void *arg, const struct peer_info *from, const raft_message *m)
{
  struct endpoint *e = arg;
  assert_int_equal (from->node, m->from);
  if (e->on_raft)
    {
      e->on_raft (arg, from, m);
      return;
    }
  e->raft++;
  assert_true (m->term > e->last_term);
  e->last_term = m->term;
}

static void
on_propose (void *arg, const struct peer_info *from, const propose_args *args,
            struct peer_reply *reply)
{
  struct endpoint *e = arg;
  propose_reply result = { .leader = args->group + 1 };
  (void)from;
  e->proposals++;
  if (e->defer_reply)
    e->deferred_reply = reply;
  else
    peer_reply_propose (reply, &result);
}

static void
on_hello (void *arg, const struct peer_info *peer)
{
  struct endpoint *e = arg;
  e->hellos++;
  e->last_hello = *peer;
}

static void
on_lost (void *arg, const struct peer_info *peer)
{
  struct endpoint *e = arg;
  (void)peer;
  e->losses++;
}

static void
on_proposed (void *arg, const struct status *st, const propose_reply *reply)
{
  struct outcome *o = arg;
  o->calls++;
  o->kind = st->kind;
  o->leader = reply ? reply->leader : 0;
  assert_int_equal (st->kind == STATUS_OK, reply != NULL);
}

static void
open_endpoint (struct endpoint *e, const char *deployment, const char *vm, uint64_t node,
               uint64_t incarnation)
{
  struct status st = { 0 };
  char address[32];
  struct peer_net_config config = {
    .deployment = deployment,
    .vm = vm,
    .data_centre = "dc-1",
    .node = node,
    .incarnation = incarnation,
    .initialized = true,
    .listen_address = address,
    .clock = &clk.clock,
    .seed = SEED + node,
    .handlers = { .raft = on_raft,
                  .orders = on_orders,
                  .propose = on_propose,
                  .hello = on_hello,
                  .lost = on_lost },
    .handler_arg = e,
  };
  memset (e, 0, sizeof *e);
  snprintf (address, sizeof address, "127.0.0.1:%d", next_port);
  next_port = 0;
  e->net = peer_net_open (loop, &config, &st);
  assert_non_null (e->net);
  for (int i = 0; i < 4; i++)
    if (!open_endpoints[i])
      {
        open_endpoints[i] = e;
        return;
      }
  fail ();
}

static void
close_endpoint (struct endpoint *e)
{
  for (int i = 0; i < 4; i++)
    if (open_endpoints[i] == e)
      open_endpoints[i] = NULL;
  peer_net_close (e->net);
}

static void
set_peer_port (struct endpoint *e, const char *vm, uint64_t node, int port)
{
  char address[32];
  struct peer_config peer = { .name = vm, .node = node, .address = address };
  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  assert_int_equal (peer_net_set_peer (e->net, &peer, NULL), 0);
}

static void
run_loop (int rounds)
{
  for (int i = 0; i < rounds; i++)
    {
      ev_run (loop, EVRUN_NOWAIT);
      usleep (200);
    }
}

static void
step (int64_t ms)
{
  for (; ms > 0; ms -= STEP_MS)
    {
      manual_clock_advance (&clk, STEP_MS);
      for (int i = 0; i < 4; i++)
        if (open_endpoints[i])
          peer_net_tick (open_endpoints[i]->net);
      run_loop (4);
    }
}

static bool
connected (struct endpoint *e, uint64_t node)
{
  struct peer_info info;
  return peer_net_peer (e->net, node, &info) && info.connected;
}

static struct peer_info
info_of (struct endpoint *e, uint64_t node)
{
  struct peer_info info = { 0 };
  assert_true (peer_net_peer (e->net, node, &info));
  return info;
}

static void
await_connected (struct endpoint *e, uint64_t node)
{
  for (int i = 0; i < MAX_STEPS && !connected (e, node); i++)
    step (STEP_MS);
  assert_true (connected (e, node));
}

static void
open_pair (struct endpoint *a, struct endpoint *b)
{
  open_endpoint (a, "huron", "vm-a", 1, 100);
  open_endpoint (b, "huron", "vm-b", 2, 100);
  set_peer_port (a, "vm-b", 0, peer_net_port (b->net));
  set_peer_port (b, "vm-a", 1, peer_net_port (a->net));
  await_connected (a, 2);
  await_connected (b, 1);
}

static void
send_raft (struct endpoint *e, uint64_t from, uint64_t to, uint64_t term, size_t chunk)
{
  raft_message m = { .type = RAFT_APPEND_REQUEST, .from = from, .to = to, .term = term };
  m.chunk.chunk_len = (u_int)chunk;
  m.chunk.chunk_val = xcalloc (1, chunk);
  peer_send_raft (e->net, &m);
  free (m.chunk.chunk_val);
}

/* Guards against a distance that grows when a VM is busy: leadership then moved for no reason.  */
static void
test_a_busy_peer_is_not_a_distant_one (void **state)
{
  struct endpoint a, b;
  (void)state;
  open_endpoint (&a, "huron", "vm-a", 1, 100);
  set_peer_port (&a, "vm-b", 2, 1);
  assert_true (info_of (&a, 2).stats.shortest_answer_ms == INT64_MAX);
  close_endpoint (&a);
  open_pair (&a, &b);
  step (3000); /* null calls are answered within a step */
  assert_true (info_of (&a, 2).stats.shortest_answer_ms == 0);
  for (int i = 0; i < 10; i++)
    {
      manual_clock_advance (&clk, 1000);
      peer_net_tick (a.net);
      manual_clock_advance (&clk, 400); /* before the answer is read */
      run_loop (4);
      peer_net_tick (b.net);
    }
  assert_true (info_of (&a, 2).stats.shortest_answer_ms == 0);
  assert_true (connected (&a, 2));
  close_endpoint (&a);
  close_endpoint (&b);
}

static void
propose (struct endpoint *e, uint64_t node, struct outcome *o)
{
  propose_args args = { .group = 6 };
  memset (o, 0, sizeof *o);
  peer_call_propose (e->net, node, &args, CALL_TIMEOUT_MS, on_proposed, o);
  assert_int_equal (o->calls, 0);
}

/* Plain TCP sockets that do not speak the protocol.  */
static int
raw_connect (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static int
raw_listen (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  *port = ntohs (address.sin_port);
  return fd;
}

static void
test_messages_and_identity (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct outcome o;
  (void)state;
  open_pair (&a, &b);
  assert_string_equal (a.last_hello.name, "vm-b");
  assert_int_equal (a.last_hello.node, 2); /* from the hello; configured as 0 */
  assert_int_equal (a.last_hello.incarnation, 100);
  assert_true (a.last_hello.initialized);
  for (uint64_t term = 1; term <= 50; term++)
    send_raft (&a, 1, 2, term, 10);
  propose (&a, 2, &o);
  step (STEP_MS);
  assert_int_equal (b.raft, 50);
  assert_true (o.calls == 1 && o.kind == STATUS_OK && o.leader == 7);
  send_raft (&a, 9, 2, 99, 10); /* not the sender's own node */
  propose (&a, 5, &o);
  step (STEP_MS);
  assert_int_equal (b.raft, 50);
  assert_true (o.calls == 1 && o.kind == STATUS_NOT_FOUND);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* Orders arrive complete; without a connection they are reported as not sent.  */
static void
test_orders_arrive_or_are_not_sent (void **state)
{
  struct endpoint a;
  struct endpoint b;
  char data[5000] = "orders";
  const peer_orders orders = { { sizeof data, data } };
  (void)state;
  open_pair (&a, &b);
  for (int i = 0; i < 20; i++)
    assert_true (peer_send_orders (a.net, 2, &orders));
  step (STEP_MS);
  assert_int_equal (b.orders, 20);
  assert_int_equal (b.order_bytes, 20 * sizeof data);
  assert_false (peer_send_orders (a.net, 5, &orders));
  close_endpoint (&b);
  step (STEP_MS);
  assert_false (peer_send_orders (a.net, 2, &orders));
  close_endpoint (&a);
}

static void
test_late_answer_and_timeout (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct outcome o;
  propose_reply result = { .leader = 3 };
  (void)state;
  open_pair (&a, &b);
  b.defer_reply = true;
  propose (&a, 2, &o);
  step (CALL_TIMEOUT_MS / 2);
  peer_reply_propose (b.deferred_reply, &result);
  step (STEP_MS);
  assert_true (o.calls == 1 && o.leader == 3);
  propose (&a, 2, &o);
  step (CALL_TIMEOUT_MS + 2 * STEP_MS);
  assert_true (o.calls == 1 && o.kind == STATUS_OUTCOME_UNKNOWN);
  peer_reply_propose (b.deferred_reply, &result); /* after the timeout: must not report twice */
  step (STEP_MS);
  assert_int_equal (o.calls, 1);
  propose (&a, 2, &o);
  step (STEP_MS);
  peer_reply_refuse (b.deferred_reply);
  step (STEP_MS);
  assert_true (o.calls == 1 && o.kind == STATUS_OVERLOADED);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* The peer dies during a call: one failure, OUTCOME_UNKNOWN; the next fails with NO_QUORUM.  */
static void
test_peer_dies_during_call (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct outcome o;
  struct outcome next;
  (void)state;
  open_pair (&a, &b);
  b.defer_reply = true;
  propose (&a, 2, &o);
  step (STEP_MS);
  assert_int_equal (b.proposals, 1);
  close_endpoint (&b);
  step (STEP_MS);
  assert_true (o.calls == 1 && o.kind == STATUS_OUTCOME_UNKNOWN);
  assert_int_equal (a.losses, 1);
  propose (&a, 2, &next);
  step (CALL_TIMEOUT_MS * 2);
  assert_true (next.calls == 1 && next.kind == STATUS_NO_QUORUM);
  assert_int_equal (o.calls, 1);
  peer_reply_refuse (b.deferred_reply); /* the handle outlives its connection */
  close_endpoint (&a);
}

/* A restarted VM is accepted with its new incarnation; its earlier incarnation is then refused.  */
static void
test_restart_with_new_incarnation (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct endpoint old;
  (void)state;
  open_pair (&a, &b);
  close_endpoint (&b);
  step (STEP_MS);
  open_endpoint (&b, "huron", "vm-b", 22, 200); /* replaced disk: new node */
  set_peer_port (&a, "vm-b", 0, peer_net_port (b.net));
  set_peer_port (&b, "vm-a", 1, peer_net_port (a.net));
  await_connected (&a, 22);
  await_connected (&b, 1);
  assert_int_equal (a.last_hello.incarnation, 200);
  open_endpoint (&old, "huron", "vm-b", 2, 100);
  set_peer_port (&old, "vm-a", 1, peer_net_port (a.net));
  step (5000);
  assert_false (connected (&old, 1));
  assert_true (peer_net_refusals (a.net) > 0);
  assert_true (info_of (&a, 22).stats.refused_hellos > 0);
  assert_true (connected (&a, 22) && connected (&b, 1));
  close_endpoint (&old);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* Messages of the earlier process are still under way on its connection to this VM, while the
   connection to the restarted VM is usable.  */
static void
test_earlier_process_is_cut_off_by_the_hello_of_the_next (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct endpoint old;
  (void)state;
  open_pair (&a, &old);
  open_endpoint (&b, "huron", "vm-b", 2, 200);
  set_peer_port (&b, "vm-a", 1, UNUSED_PORT);
  set_peer_port (&a, "vm-b", 2, peer_net_port (b.net));
  step (STEP_MS);
  await_connected (&a, 2);
  assert_int_equal (info_of (&a, 2).incarnation, 200);
  send_raft (&old, 2, 1, 1, 0);
  step (STEP_MS);
  assert_int_equal (a.raft, 0);
  close_endpoint (&old);
  close_endpoint (&a);
  close_endpoint (&b);
}

static void
expect_refused_hello (const char *deployment, const char *vm, uint64_t node)
{
  struct endpoint a;
  struct endpoint b;
  open_endpoint (&a, "huron", "vm-a", 1, 100);
  open_endpoint (&b, deployment, vm, node, 100);
  set_peer_port (&a, "vm-c", 3, 9);
  set_peer_port (&a, "vm-b", 2, peer_net_port (b.net));
  set_peer_port (&b, "vm-a", 1, peer_net_port (a.net));
  step (3000);
  assert_false (connected (&a, 2));
  assert_false (connected (&b, 1));
  assert_true (peer_net_refusals (a.net) > 0 && peer_net_refusals (b.net) > 0);
  assert_int_equal (a.hellos, 0);
  close_endpoint (&a);
  close_endpoint (&b);
}

static void
test_refused_hellos (void **state)
{
  (void)state;
  expect_refused_hello ("kigali", "vm-b", 2); /* another deployment */
  expect_refused_hello ("huron", "vm-x", 2);  /* an unknown VM at a known address */
  expect_refused_hello ("huron", "vm-b", 3);  /* the node of another VM */
  expect_refused_hello ("huron", "vm-b", 1);  /* the receiver's own node */
}

static void
test_call_before_hello (void **state)
{
  struct endpoint a;
  struct peer_header h;
  char answer[256];
  size_t len;
  propose_args args = { .group = 1 };
  (void)state;
  open_endpoint (&a, "huron", "vm-a", 1, 100);
  int fd = raw_connect (peer_net_port (a.net));
  char *bytes = peer_encode_call (5, PEER_PROPOSE, &args, PEER_MAX_RECORD_BYTES, &len, NULL);
  assert_int_equal (write (fd, bytes, len), len);
  free (bytes);
  step (STEP_MS);
  ssize_t n = recv (fd, answer, sizeof answer, MSG_DONTWAIT);
  assert_true (n > PEER_MARK_BYTES);
  assert_int_equal (peer_decode_header (answer + PEER_MARK_BYTES, (size_t)n - PEER_MARK_BYTES, &h),
                    0);
  assert_int_equal (h.outcome, PEER_DENIED);
  assert_int_equal (h.denial, PEER_DENIED_NO_HELLO);
  assert_int_equal (recv (fd, answer, sizeof answer, MSG_DONTWAIT), 0);
  assert_int_equal (a.proposals, 0);
  close (fd);
  close_endpoint (&a);
}

/* Answers the hello on A's connection as vm-s; returns the socket.  */
static int
accept_as_slow_peer (int listen_fd)
{
  char in[512];
  size_t len;
  struct peer_header h;
  char deployment[] = "huron";
  char vm[] = "vm-s";
  char data_centre[] = "dc-1";
  peer_hello hello = { deployment, vm, data_centre, 4, 50, TRUE };
  step (3 * STEP_MS);
  int fd = accept (listen_fd, NULL, NULL);
  assert_true (fd >= 0);
  ssize_t n = recv (fd, in, sizeof in, MSG_DONTWAIT);
  assert_int_equal (peer_decode_header (in + PEER_MARK_BYTES, (size_t)n - PEER_MARK_BYTES, &h), 0);
  char *bytes = peer_encode_result (h.xid, PEER_HELLO, &hello, PEER_MAX_RECORD_BYTES, &len, NULL);
  assert_int_equal (write (fd, bytes, len), len);
  free (bytes);
  step (STEP_MS);
  return fd;
}

/* One peer stops reading: its queue stays bounded, the oldest raft messages are dropped, calls fail
   immediately, the other peer is not affected, and the receive timeout closes the connection.  */
static void
test_slow_peer (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct outcome o;
  struct outcome stuck;
  propose_args args = { .group = 6 };
  int port;
  (void)state;
  open_pair (&a, &b);
  int listen_fd = raw_listen (&port);
  set_peer_port (&a, "vm-s", 4, port);
  int fd = accept_as_slow_peer (listen_fd);
  assert_true (connected (&a, 4));
  for (uint64_t term = 1; term <= 400; term++)
    {
      send_raft (&a, 1, 4, term, PEER_CHUNK_BYTES);
      send_raft (&a, 1, 2, term, 10);
      run_loop (1);
    }
  assert_true (info_of (&a, 4).stats.dropped_raft > 0);
  memset (&stuck, 0, sizeof stuck);
  for (int i = 0; i <= PEER_MAX_OPEN_CALLS; i++)
    peer_call_propose (a.net, 4, &args, CALL_TIMEOUT_MS, on_proposed, &stuck);
  run_loop (2);
  assert_true (stuck.calls >= 1 && stuck.kind == STATUS_OVERLOADED);
  propose (&a, 2, &o);
  step (STEP_MS);
  assert_true (o.calls == 1 && o.kind == STATUS_OK);
  assert_int_equal (b.raft, 400);
  step (PEER_RECEIVE_TIMEOUT_MS + 2 * STEP_MS);
  assert_int_equal (info_of (&a, 4).stats.silent_closes, 1);
  assert_int_equal (info_of (&a, 4).connected, false);
  assert_true (connected (&a, 2));
  assert_true (stuck.calls == PEER_MAX_OPEN_CALLS + 1 && stuck.kind == STATUS_NO_QUORUM);
  close (fd);
  close (listen_fd);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* Idle connections stay open, and their traffic stays below half of the limit of 4 KB/s for control
   traffic of a VM, for 7 peers with 52 bytes of headers (IP, TCP, timestamps) per message and ack.
 */
static void
test_idle_traffic (void **state)
{
  const int seconds = 20;
  const uint64_t header_bytes = 2 * 52;
  struct endpoint a;
  struct endpoint b;
  (void)state;
  open_pair (&a, &b);
  struct peer_stats before = info_of (&a, 2).stats;
  step (seconds * 1000);
  struct peer_stats after = info_of (&a, 2).stats;
  uint64_t bytes = after.sent_bytes - before.sent_bytes;
  uint64_t messages = after.sent_messages - before.sent_messages;
  uint64_t per_second = 7 * (bytes + messages * header_bytes) / (uint64_t)seconds;
  print_message ("idle: %llu bytes/s for 7 peers, headers included\n",
                 (unsigned long long)per_second);
  assert_true (per_second < 2048);
  assert_int_equal (a.losses + b.losses, 0);
  assert_int_equal (after.connects, 1);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* Sends A the hello of vm-c and then a call with random arguments.  */
static void
send_bad_call (struct endpoint *a, struct rng *rng)
{
  char deployment[] = "huron";
  char vm[] = "vm-c";
  char data_centre[] = "dc-1";
  peer_hello hello = { deployment, vm, data_centre, 3, 50, TRUE };
  char command[300];
  propose_args args = { .command = { sizeof command, command } };
  size_t len;
  int fd = raw_connect (peer_net_port (a->net));
  char *bytes = peer_encode_call (1, PEER_HELLO, &hello, PEER_MAX_RECORD_BYTES, &len, NULL);
  assert_int_equal (write (fd, bytes, len), len);
  free (bytes);
  for (size_t i = 0; i < sizeof command; i++)
    command[i] = rng_chance (rng, 0.5) ? 0 : (char)rng_below (rng, 256);
  bytes = peer_encode_call (2, PEER_PROPOSE, &args, PEER_MAX_RECORD_BYTES, &len, NULL);
  bytes[27] = (char)rng_below (rng, 8); /* last byte of the procedure number */
  bytes[44 + rng_below (rng, 12)] ^= (char)(1U << rng_below (rng, 8));
  assert_true (send (fd, bytes, len, MSG_NOSIGNAL) > 0);
  free (bytes);
  run_loop (2);
  close (fd);
}

/* Malformed input, before and after a valid hello, must not affect a connected peer.  */
static void
test_malformed_input (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct outcome o;
  struct rng rng;
  char junk[600];
  (void)state;
  open_pair (&a, &b);
  rng_init (&rng, SEED);
  for (int i = 0; i < 200; i++)
    {
      int fd = raw_connect (peer_net_port (a.net));
      size_t len = 1 + rng_below (&rng, sizeof junk);
      for (size_t j = 0; j < len; j++)
        junk[j] = rng_chance (&rng, 0.4) ? 0 : (char)rng_below (&rng, 256);
      assert_true (send (fd, junk, len, MSG_NOSIGNAL) > 0);
      run_loop (1);
      close (fd);
    }
  set_peer_port (&a, "vm-c", 3, 9);
  for (int i = 0; i < 100; i++)
    send_bad_call (&a, &rng);
  assert_true (info_of (&a, 3).stats.received_messages >= 100);
  propose (&a, 2, &o);
  propose (&b, 1, &o);
  step (STEP_MS);
  assert_true (o.calls >= 1 && o.kind == STATUS_OK);
  assert_int_equal (a.losses + b.losses, 0);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* Connections without a hello are limited and closed, and a peer can still connect.  */
static void
test_conns_without_hello (void **state)
{
  struct endpoint a;
  struct endpoint b;
  int fds[100];
  (void)state;
  open_endpoint (&a, "huron", "vm-a", 1, 100);
  for (int i = 0; i < 100; i++)
    fds[i] = raw_connect (peer_net_port (a.net));
  step (PEER_RECEIVE_TIMEOUT_MS + 3 * STEP_MS);
  open_endpoint (&b, "huron", "vm-b", 2, 100);
  set_peer_port (&a, "vm-b", 2, peer_net_port (b.net));
  set_peer_port (&b, "vm-a", 1, peer_net_port (a.net));
  await_connected (&b, 1);
  for (int i = 0; i < 100; i++)
    close (fds[i]);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* After a pause of the process or VM, input that arrived meanwhile must be read before the receive
   timeout applies.  */
static void
test_late_tick (void **state)
{
  struct endpoint a;
  struct endpoint b;
  (void)state;
  open_pair (&a, &b);
  manual_clock_advance (&clk, PEER_RECEIVE_TIMEOUT_MS + 1000);
  step (2000);
  assert_int_equal (a.losses + b.losses, 0);
  assert_int_equal (info_of (&a, 2).stats.connects, 1);
  close_endpoint (&a);
  close_endpoint (&b);
}

static void
remove_sender (void *arg, const struct peer_info *from, const raft_message *m)
{
  struct endpoint *e = arg;
  (void)m;
  e->raft++;
  peer_net_remove_peer (e->net, from->name);
  assert_string_equal (from->name, "vm-b"); /* still valid after the removal */
}

/* A handler may remove the peer it was called for; a removed peer is refused as unknown, and a peer
   whose address changed is dialed at the new address.  */
static void
test_peer_list_changes (void **state)
{
  struct endpoint a;
  struct endpoint b;
  struct outcome o;
  (void)state;
  open_pair (&a, &b);
  a.on_raft = remove_sender;
  send_raft (&b, 2, 1, 1, 10);
  send_raft (&b, 2, 1, 2, 10);
  propose (&a, 2, &o);
  step (STEP_MS);
  assert_int_equal (a.raft, 1);
  assert_true (o.calls == 1 && o.kind != STATUS_OK);
  assert_int_equal (peer_net_peer_count (a.net), 0);
  step (3000);
  assert_false (connected (&b, 1));
  assert_true (peer_net_refusals (a.net) > 0);
  set_peer_port (&a, "vm-b", 2, 9);
  await_connected (&b, 1);
  assert_false (connected (&a, 2));
  set_peer_port (&a, "vm-b", 2, peer_net_port (b.net));
  await_connected (&a, 2);
  close_endpoint (&a);
  close_endpoint (&b);
}

/* Peers that are down are dialed with increasing, jittered delays of at most 2 s.  */
static void
test_backoff (void **state)
{
  struct endpoint a;
  int port;
  int accepted = 0;
  (void)state;
  open_endpoint (&a, "huron", "vm-a", 1, 100);
  int listen_fd = raw_listen (&port);
  set_peer_port (&a, "vm-b", 2, port);
  for (int i = 0; i < 200; i++)
    {
      step (STEP_MS);
      int fd = accept (listen_fd, NULL, NULL);
      if (fd >= 0)
        {
          accepted++;
          close (fd);
        }
    }
  /* 20 s at the maximum delay of 1 to 2 s give 10 to 20 dials, plus a few shorter ones at first. */
  assert_in_range (accepted, 10, 26);
  close (listen_fd);
  close_endpoint (&a);
}

/* Guards against a VM that is back but not dialed until the back-off ends: until then it learns no
   runners from this peer.  */
static void
test_restarted_peer_is_dialed_after_its_hello (void **state)
{
  struct endpoint a;
  struct endpoint b;
  (void)state;
  open_pair (&a, &b);
  for (uint64_t incarnation = 200; incarnation < 210; incarnation++)
    {
      int port = peer_net_port (b.net);
      close_endpoint (&b);
      step (10000); /* the back-off is at its maximum */
      assert_false (connected (&a, 2));
      next_port = port;
      open_endpoint (&b, "huron", "vm-b", 2, incarnation);
      set_peer_port (&b, "vm-a", 1, peer_net_port (a.net));
      step (4 * STEP_MS);
      assert_true (connected (&b, 1));
      assert_true (connected (&a, 2));
    }
  close_endpoint (&a);
  close_endpoint (&b);
}

static int
set_up (void **state)
{
  (void)state;
  manual_clock_init (&clk, 1000);
  memset (open_endpoints, 0, sizeof open_endpoints);
  loop = ev_loop_new (EVFLAG_AUTO);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  ev_loop_destroy (loop);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_messages_and_identity, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_a_busy_peer_is_not_a_distant_one, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_orders_arrive_or_are_not_sent, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_late_answer_and_timeout, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_peer_dies_during_call, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_restart_with_new_incarnation, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_restarted_peer_is_dialed_after_its_hello, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_earlier_process_is_cut_off_by_the_hello_of_the_next,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refused_hellos, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_call_before_hello, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_slow_peer, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_idle_traffic, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_malformed_input, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_conns_without_hello, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_late_tick, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_peer_list_changes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_backoff, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
