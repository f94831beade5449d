/* Orders that another VM executes for the leader: order_relay, order_server and their codec over a
   simulated connection that can be broken, slow or unresponsive.  Guards against outcomes that are
   lost, duplicated or assigned to another order, against stale orders executed after a broken
   connection, and against malformed messages.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "order_relay.h"
#include "order_server.h"
#include "orders_codec.h"
#include "peer_proto.h"
#include "rng.h"

#define LEADER 1
#define HELPER 2
#define OTHER_HELPER 3
#define MAX_ITEMS 64
#define WORKERS 64

/* An order that reached a worker_link.  */
struct recorded_call
{
  worker_order_kind kind;
  char worker[32];
  char payload[32];
  void *tag;
  workflow_task_ref task;
  uint32_t run;
  int64_t deadline_ms;
  uint32_t wait_ms;
  uint64_t fence;
};

struct fake_link
{
  struct worker_link link; /* first member: the vtable */
  struct recorded_call calls[MAX_ITEMS];
  size_t count;
};

struct outcome
{
  worker_order_kind kind;
  char worker[32];
  uint32_t run;
  uint32_t percent;
  enum worker_call_result result;
  uint64_t mark;
  size_t running;
  size_t ended;
  uint64_t last_end; /* number */
  bool complete;
  char checkpoint[32];
};

struct message
{
  uint64_t to;
  struct buffer bytes;
};

struct fixture
{
  struct manual_clock clock;
  struct fake_link direct; /* on the leader's VM */
  struct fake_link remote; /* on the helper's VM */
  struct order_relay *relay;
  struct order_server *server;
  struct message in_transit[MAX_ITEMS];
  size_t sent;
  bool broken;
  struct outcome outcomes[MAX_ITEMS];
  size_t outcome_count;
};

static struct recorded_call *
record_call (struct worker_link *l, worker_order_kind kind, const struct worker_address *to)
{
  struct fake_link *f = (struct fake_link *)l;
  struct recorded_call *c = &f->calls[f->count++];
  assert_true (f->count < MAX_ITEMS);
  c->kind = kind;
  c->tag = to->tag;
  c->fence = to->fence;
  snprintf (c->worker, sizeof c->worker, "%s", to->worker);
  return c;
}

static void
fake_start (struct worker_link *l, const struct worker_start *o)
{
  struct recorded_call *c = record_call (l, ORDER_START, &o->to);
  c->task = o->task;
  c->run = o->run;
  c->deadline_ms = o->deadline_ms;
  snprintf (c->payload, sizeof c->payload, "%s", o->payload);
}

static void
fake_stop (struct worker_link *l, const struct worker_stop *o)
{
  record_call (l, ORDER_STOP, &o->to)->run = o->run;
}

static void
fake_pace (struct worker_link *l, const struct worker_pace *o)
{
  record_call (l, ORDER_PACE, &o->to)->run = o->run;
}

static void
fake_hold (struct worker_link *l, const struct worker_hold *o)
{
  struct recorded_call *c = record_call (l, ORDER_HOLD, &o->to);
  c->deadline_ms = o->deadline_ms;
  c->wait_ms = o->wait_ms;
}

static const struct worker_link_ops fake_ops
    = { .start = fake_start, .stop = fake_stop, .pace = fake_pace, .hold = fake_hold };

static bool
fake_send (void *arg, uint64_t node, const void *data, size_t len)
{
  struct fixture *f = arg;
  if (f->broken)
    return false;
  struct message *m = &f->in_transit[f->sent++];
  assert_true (f->sent < MAX_ITEMS);
  m->to = node;
  buffer_init (&m->bytes);
  buffer_append (&m->bytes, data, len);
  return true;
}

static void
on_outcome (void *arg, int64_t now_ms, const struct worker_outcome *o)
{
  struct fixture *f = arg;
  struct outcome *out = &f->outcomes[f->outcome_count++];
  (void)now_ms;
  assert_true (f->outcome_count < MAX_ITEMS);
  *out = (struct outcome){
    .kind = o->kind, .run = o->run, .percent = o->percent, .result = o->result
  };
  snprintf (out->worker, sizeof out->worker, "%s", o->worker);
  if (!o->lists)
    return;
  out->mark = o->lists->mark;
  out->running = o->lists->running_len;
  out->ended = o->lists->ended_len;
  out->last_end = out->ended > 0 ? o->lists->ended[out->ended - 1].number : 0;
  out->complete = o->lists->complete;
  if (out->running > 0)
    snprintf (out->checkpoint, sizeof out->checkpoint, "%s", o->lists->running[0].checkpoint);
}

static void
deliver_one (struct fixture *f, const struct message *m)
{
  orders_message decoded;
  assert_true (orders_decode (m->bytes.data, m->bytes.len, &decoded));
  if (m->to == HELPER)
    order_server_receive (f->server, LEADER, &decoded.orders_message_u.orders);
  else
    order_relay_receive (f->relay, HELPER, &decoded.orders_message_u.answers);
  orders_free (&decoded);
}

/* Delivers all messages in transit, in order.  */
static void
deliver (struct fixture *f)
{
  for (size_t i = 0; i < f->sent; i++)
    {
      deliver_one (f, &f->in_transit[i]);
      buffer_close (&f->in_transit[i].bytes);
    }
  f->sent = 0;
}

static void
advance (struct fixture *f, int64_t ms)
{
  manual_clock_advance (&f->clock, ms);
  order_relay_tick (f->relay, WORKERS);
}

/* Runs one loop turn of both VMs and delivers their messages.  */
static void
turn (struct fixture *f)
{
  advance (f, 20);
  order_relay_flush (f->relay);
  deliver (f);
  order_server_flush (f->server);
  deliver (f);
}

static void
open_relay (struct fixture *f)
{
  const struct order_relay_config relay = { .clock = &f->clock.clock,
                                            .zone = "own",
                                            .direct = &f->direct.link,
                                            .send = fake_send,
                                            .send_arg = f,
                                            .helper_min_workers = WORKERS };
  f->relay = order_relay_open (&relay);
  order_relay_set_outcome_handler (f->relay, on_outcome, f);
  order_relay_peer (f->relay, HELPER, "there", true);
  for (int i = 0; i < 10; i++)
    turn (f);
}

static void
open_fixture (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  manual_clock_init (&f->clock, 10000);
  f->direct.link.ops = &fake_ops;
  f->remote.link.ops = &fake_ops;
  const struct order_server_config server
      = { .clock = &f->clock.clock, .calls = &f->remote.link, .send = fake_send, .send_arg = f };
  f->server = order_server_open (&server);
  open_relay (f);
}

static void
restart_leader (struct fixture *f)
{
  order_relay_close (f->relay);
  open_relay (f);
}

static void
close_fixture (struct fixture *f)
{
  for (size_t i = 0; i < f->sent; i++)
    buffer_close (&f->in_transit[i].bytes);
  order_relay_close (f->relay);
  order_server_close (f->server);
}

static struct worker_address
worker_in (const char *zone)
{
  return (
      struct worker_address){ .worker = "w1", .address = "127.0.0.1:1", .zone = zone, .fence = 7 };
}

static void
start (struct fixture *f, const char *zone, uint32_t run)
{
  struct worker_link *l = order_relay_link (f->relay);
  const struct worker_start o = { .to = worker_in (zone),
                                  .task = { .job = 5, .step = 1, .index = 2 },
                                  .run = run,
                                  .payload = "spec",
                                  .checkpoint = "",
                                  .deadline_ms = 4321 };
  l->ops->start (l, &o);
}

/* Answers the I-th call that the helper made.  */
static void
answer (struct fixture *f, size_t i, enum worker_call_result result,
        const struct worker_lists *lists)
{
  const struct recorded_call *c = &f->remote.calls[i];
  const struct worker_outcome o
      = { .kind = c->kind, .worker = c->worker, .tag = c->tag, .result = result, .lists = lists };
  order_server_outcome (f->server, clock_now_ms (&f->clock.clock), &o);
}

static void
test_order_is_relayed_and_answered (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  start (&f, "there", 3);
  start (&f, "own", 4);
  assert_int_equal (f.direct.count, 1);
  assert_int_equal (f.direct.calls[0].run, 4);
  turn (&f);
  assert_int_equal (f.remote.count, 1);
  const struct recorded_call *c = &f.remote.calls[0];
  assert_int_equal (c->task.job, 5);
  assert_int_equal (c->task.index, 2);
  assert_int_equal (c->run, 3);
  assert_int_equal (c->fence, 7);
  assert_int_equal (c->deadline_ms, 4321);
  assert_string_equal (c->payload, "spec");
  assert_int_equal (f.outcome_count, 0);
  answer (&f, 0, WORKER_CALL_NO_ROOM, NULL);
  turn (&f);
  assert_int_equal (f.outcome_count, 1);
  assert_int_equal (f.outcomes[0].kind, ORDER_START);
  assert_int_equal (f.outcomes[0].run, 3);
  assert_int_equal (f.outcomes[0].result, WORKER_CALL_NO_ROOM);
  assert_string_equal (f.outcomes[0].worker, "w1");
  advance (&f, 5000);
  assert_int_equal (f.outcome_count, 1);
  close_fixture (&f);
}

static void
test_hold_returns_lists_and_mark (void **state)
{
  struct fixture f;
  const struct reported_run running
      = { .task = { .job = 5 }, .run = 2, .checkpoint = "saved", .percent = 40, .measure = 9 };
  const struct reported_end ended[2]
      = { { .number = 1, .run = 1, .outcome = WORKFLOW_DONE, .checkpoint = "" },
          { .number = 2, .run = 2, .outcome = WORKFLOW_FAILED, .checkpoint = "" } };
  const struct worker_lists lists = { .clock_ms = 50,
                                      .running = &running,
                                      .running_len = 1,
                                      .ended = ended,
                                      .ended_len = 2,
                                      .complete = true };
  (void)state;
  open_fixture (&f);
  struct worker_link *l = order_relay_link (f.relay);
  const struct worker_hold o
      = { .to = worker_in ("there"), .mark = 77, .deadline_ms = 900, .wait_ms = 500 };
  l->ops->hold (l, &o);
  turn (&f);
  assert_int_equal (f.remote.calls[0].wait_ms, 500);
  assert_int_equal (f.remote.calls[0].deadline_ms, 900);
  answer (&f, 0, WORKER_CALL_OK, &lists);
  turn (&f);
  assert_int_equal (f.outcome_count, 1);
  assert_int_equal (f.outcomes[0].mark, 77);
  assert_int_equal (f.outcomes[0].running, 1);
  assert_int_equal (f.outcomes[0].ended, 2);
  assert_string_equal (f.outcomes[0].checkpoint, "saved");
  close_fixture (&f);
}

/* Guards against ends that never arrive through a helper, because the lists are over the size of a
   message or one checkpoint is over its limit: each answer brings some, in their order.
   The leader then acknowledges them, and the next answer begins with the rest.  */
static void
test_long_checkpoints_do_not_hold_back_relayed_ends (void **state)
{
  enum
  {
    ENDS = 500,
    RUNS = 400
  };
  static struct reported_run running[RUNS];
  static struct reported_end ended[ENDS];
  char *whole = xcalloc (1, WORKFLOW_CHECKPOINT_BYTES + 1);
  char *too_long = xcalloc (1, WORKFLOW_CHECKPOINT_BYTES + 2);
  size_t taken = 0;
  (void)state;
  memset (whole, 'c', WORKFLOW_CHECKPOINT_BYTES);
  memset (too_long, 'c', WORKFLOW_CHECKPOINT_BYTES + 1);
  for (uint32_t i = 0; i < RUNS; i++)
    running[i] = (struct reported_run){ .run = i, .checkpoint = i % 9 == 0 ? too_long : whole };
  for (uint32_t i = 0; i < ENDS; i++)
    ended[i] = (struct reported_end){ .number = i + 1,
                                      .run = i,
                                      .outcome = WORKFLOW_DONE,
                                      .checkpoint = i % 7 == 0 ? too_long : whole };
  for (size_t holds = 0; taken < ENDS; holds++)
    {
      struct fixture f;
      const struct worker_lists lists = { .clock_ms = 50,
                                          .running = running,
                                          .running_len = RUNS,
                                          .ended = ended + taken,
                                          .ended_len = ENDS - taken,
                                          .complete = true };
      open_fixture (&f);
      struct worker_link *l = order_relay_link (f.relay);
      const struct worker_hold o = { .to = worker_in ("there"), .mark = 77 };
      l->ops->hold (l, &o);
      turn (&f);
      answer (&f, 0, WORKER_CALL_OK, &lists);
      turn (&f);
      assert_int_equal (f.outcome_count, 1);
      assert_int_equal (f.outcomes[0].result, WORKER_CALL_OK);
      assert_int_equal (f.outcomes[0].running, RUNS);
      assert_true (f.outcomes[0].ended > 0);
      taken += f.outcomes[0].ended;
      assert_int_equal (f.outcomes[0].complete, taken == ENDS);
      assert_int_equal (f.outcomes[0].last_end, taken);
      for (size_t i = 0; i < f.sent; i++)
        assert_true (f.in_transit[i].bytes.len <= PEER_ORDERS_BYTES);
      close_fixture (&f);
      assert_true (holds < 10);
    }
  free (whole);
  free (too_long);
}

/* More runs than a message holds: the worker has answered, but a run that is missing in the list
   may run.  */
static void
test_a_list_of_too_many_runs_is_incomplete (void **state)
{
  static struct reported_run running[ORDERS_MOST_RUNS + 1];
  struct fixture f;
  struct worker_lists lists = { .running = running, .complete = true };
  (void)state;
  open_fixture (&f);
  for (uint32_t i = 0; i <= ORDERS_MOST_RUNS; i++)
    running[i] = (struct reported_run){ .run = i, .checkpoint = "" };
  struct worker_link *l = order_relay_link (f.relay);
  for (size_t i = 0; i < 2; i++)
    {
      const struct worker_hold o = { .to = worker_in ("there"), .mark = i };
      lists.running_len = ORDERS_MOST_RUNS + i;
      l->ops->hold (l, &o);
      turn (&f);
      answer (&f, i, WORKER_CALL_OK, &lists);
      turn (&f);
      assert_int_equal (f.outcomes[i].result, WORKER_CALL_OK);
      assert_int_equal (f.outcomes[i].running, ORDERS_MOST_RUNS);
      assert_int_equal (f.outcomes[i].complete, i == 0);
    }
  close_fixture (&f);
}

/* A start that no message can hold must not be sent in part, nor stay open for ever.  */
static void
test_an_order_over_the_limits_ends_as_unknown (void **state)
{
  struct fixture f;
  char *payload = xcalloc (1, WORKFLOW_PAYLOAD_BYTES + 2);
  (void)state;
  memset (payload, 'p', WORKFLOW_PAYLOAD_BYTES + 1);
  open_fixture (&f);
  struct worker_link *l = order_relay_link (f.relay);
  const struct worker_start o = { .to = worker_in ("there"), .payload = payload, .checkpoint = "" };
  l->ops->start (l, &o);
  start (&f, "there", 3);
  for (int i = 0; i < 10; i++)
    turn (&f);
  assert_int_equal (f.remote.count, 1);
  assert_int_equal (f.remote.calls[0].run, 3);
  assert_int_equal (f.outcome_count, 1);
  assert_int_equal (f.outcomes[0].result, WORKER_CALL_UNKNOWN);
  close_fixture (&f);
  free (payload);
}

/* An unanswered order must end as unknown exactly once, even if an answer arrives later.  */
static void
test_unanswered_order_ends_as_unknown (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  start (&f, "there", 3);
  turn (&f);
  advance (&f, 2000);
  assert_int_equal (f.outcome_count, 1);
  assert_int_equal (f.outcomes[0].result, WORKER_CALL_UNKNOWN);
  answer (&f, 0, WORKER_CALL_OK, NULL);
  turn (&f);
  assert_int_equal (f.outcome_count, 1);
  close_fixture (&f);
}

/* The helper still has a call of the leader's earlier process: its answer says nothing about an
   order of the current one.  */
static void
test_answer_to_earlier_leader_process_is_ignored (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  start (&f, "there", 3);
  turn (&f);
  restart_leader (&f);
  start (&f, "there", 4);
  turn (&f);
  assert_int_equal (f.remote.count, 2);
  answer (&f, 0, WORKER_CALL_NO_ROOM, NULL);
  turn (&f);
  assert_int_equal (f.outcome_count, 0);
  answer (&f, 1, WORKER_CALL_OK, NULL);
  turn (&f);
  assert_int_equal (f.outcome_count, 1);
  assert_int_equal (f.outcomes[0].run, 4);
  assert_int_equal (f.outcomes[0].result, WORKER_CALL_OK);
  close_fixture (&f);
}

/* Only the helper that was given an order can answer it.  */
static void
test_answer_of_another_helper_is_ignored (void **state)
{
  struct fixture f;
  orders_message m;
  (void)state;
  open_fixture (&f);
  order_relay_peer (f.relay, OTHER_HELPER, "there", true);
  start (&f, "there", 3);
  order_relay_flush (f.relay);
  assert_true (orders_decode (f.in_transit[0].bytes.data, f.in_transit[0].bytes.len, &m));
  relayed_answer refused = { .call = m.orders_message_u.orders.orders.orders_val[0].call,
                             .result = WORKER_CALL_NO_ROOM };
  orders_free (&m);
  const answer_batch batch = { .clock = 1, .answers = { 1, &refused } };
  order_relay_receive (f.relay, OTHER_HELPER, &batch);
  assert_int_equal (f.outcome_count, 0);
  order_relay_receive (f.relay, HELPER, &batch);
  assert_int_equal (f.outcome_count, 1);
  close_fixture (&f);
}

/* The clock of the helper's earlier process may have been ahead, so the age of these orders is
   unknown.  */
static void
test_orders_with_future_echo_are_not_executed (void **state)
{
  struct fixture f;
  orders_message m;
  (void)state;
  open_fixture (&f);
  start (&f, "there", 3);
  order_relay_flush (f.relay);
  assert_true (orders_decode (f.in_transit[0].bytes.data, f.in_transit[0].bytes.len, &m));
  m.orders_message_u.orders.echo = (uint64_t)clock_now_ms (&f.clock.clock) + 1;
  order_server_receive (f.server, LEADER, &m.orders_message_u.orders);
  assert_int_equal (f.remote.count, 0);
  m.orders_message_u.orders.echo -= 1;
  order_server_receive (f.server, LEADER, &m.orders_message_u.orders);
  assert_int_equal (f.remote.count, 1);
  orders_free (&m);
  close_fixture (&f);
}

static void
test_orders_of_disconnected_helper_end_as_unknown_at_once (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  start (&f, "there", 3);
  order_relay_peer (f.relay, HELPER, "there", false);
  assert_int_equal (f.outcome_count, 1);
  assert_int_equal (f.outcomes[0].result, WORKER_CALL_UNKNOWN);
  start (&f, "there", 4);
  assert_int_equal (f.direct.count, 1);
  close_fixture (&f);
}

static void
test_unresponsive_helper_gets_no_orders (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  advance (&f, 1000);
  start (&f, "there", 3);
  assert_int_equal (f.direct.count, 1);
  close_fixture (&f);
}

static void
test_stopping_helper_gets_no_orders (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  order_server_stop (f.server);
  for (int i = 0; i < 10; i++)
    turn (&f);
  start (&f, "there", 3);
  assert_int_equal (f.direct.count, 1);
  close_fixture (&f);
}

/* Orders delayed by a broken connection: the leader has already resolved them.  */
static void
test_stale_orders_are_not_executed (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  start (&f, "there", 3);
  order_relay_flush (f.relay);
  assert_int_equal (f.sent, 1);
  advance (&f, 1500);
  deliver (&f);
  assert_int_equal (f.remote.count, 0);
  assert_int_equal (f.outcomes[0].result, WORKER_CALL_UNKNOWN);
  close_fixture (&f);
}

static void
test_few_workers_are_called_directly (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  order_relay_tick (f.relay, WORKERS - 1);
  start (&f, "there", 3);
  assert_int_equal (f.direct.count, 1);
  close_fixture (&f);
}

/* A helper may have an old connection to a lost worker, on which a start would stay uncertain.  */
static void
test_a_start_on_a_new_connection_is_not_relayed (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  struct worker_link *l = order_relay_link (f.relay);
  const struct worker_start o = { .to = worker_in ("there"),
                                  .run = 3,
                                  .payload = "spec",
                                  .checkpoint = "",
                                  .on_new_connection = true };
  l->ops->start (l, &o);
  assert_int_equal (f.direct.count, 1);
  turn (&f);
  assert_int_equal (f.remote.count, 0);
  close_fixture (&f);
}

/* Messages of another version or corrupted ones must neither crash nor be taken for answers.  */
static void
test_random_messages_are_refused (void **state)
{
  struct rng rng;
  orders_message m;
  (void)state;
  rng_init (&rng, 20261204);
  for (int round = 0; round < 20000; round++)
    {
      unsigned char bytes[200];
      size_t len = rng_next (&rng) % sizeof bytes;
      for (size_t i = 0; i < len; i++)
        bytes[i] = rng_next (&rng) % 4 == 0 ? (unsigned char)rng_next (&rng) : 0;
      if (len > 3)
        bytes[3] = (unsigned char)(1 + rng_next (&rng) % 2);
      if (orders_decode (bytes, len, &m))
        orders_free (&m);
    }
}

/* Copies of valid messages with one to four changed bytes, handled like received ones.  */
static void
test_mutated_messages_do_not_crash (void **state)
{
  struct rng rng;
  struct fixture f;
  unsigned accepted = 0;
  const struct reported_run running = { .run = 2, .checkpoint = "saved" };
  const struct reported_end ended = { .number = 1, .outcome = WORKFLOW_DONE, .checkpoint = "" };
  const struct worker_lists lists
      = { .running = &running, .running_len = 1, .ended = &ended, .ended_len = 1 };
  (void)state;
  rng_init (&rng, 20261205);
  for (int round = 0; round < 2000; round++)
    {
      open_fixture (&f);
      start (&f, "there", 3);
      struct worker_link *l = order_relay_link (f.relay);
      const struct worker_hold hold = { .to = worker_in ("there") };
      l->ops->hold (l, &hold);
      order_relay_flush (f.relay);
      if (round % 2 == 0)
        {
          deliver (&f);
          answer (&f, 0, WORKER_CALL_OK, NULL);
          answer (&f, 1, WORKER_CALL_OK, &lists);
          advance (&f, 20);
          order_server_flush (f.server);
        }
      assert_int_equal (f.sent, 1);
      struct message *m = &f.in_transit[0];
      for (uint64_t n = 1 + rng_below (&rng, 4); n > 0; n--)
        m->bytes.data[rng_below (&rng, m->bytes.len)] = (char)rng_below (&rng, 256);
      orders_message decoded;
      if (orders_decode (m->bytes.data, m->bytes.len, &decoded))
        {
          accepted++;
          if (decoded.kind == ORDERS_TO_CALL)
            order_server_receive (f.server, LEADER, &decoded.orders_message_u.orders);
          else
            order_relay_receive (f.relay, HELPER, &decoded.orders_message_u.answers);
          orders_free (&decoded);
        }
      close_fixture (&f);
    }
  assert_in_range (accepted, 200, 1800); /* both accepted and refused messages occur */
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order_is_relayed_and_answered),
    cmocka_unit_test (test_hold_returns_lists_and_mark),
    cmocka_unit_test (test_long_checkpoints_do_not_hold_back_relayed_ends),
    cmocka_unit_test (test_an_order_over_the_limits_ends_as_unknown),
    cmocka_unit_test (test_a_list_of_too_many_runs_is_incomplete),
    cmocka_unit_test (test_unanswered_order_ends_as_unknown),
    cmocka_unit_test (test_answer_to_earlier_leader_process_is_ignored),
    cmocka_unit_test (test_answer_of_another_helper_is_ignored),
    cmocka_unit_test (test_orders_with_future_echo_are_not_executed),
    cmocka_unit_test (test_orders_of_disconnected_helper_end_as_unknown_at_once),
    cmocka_unit_test (test_unresponsive_helper_gets_no_orders),
    cmocka_unit_test (test_stopping_helper_gets_no_orders),
    cmocka_unit_test (test_stale_orders_are_not_executed),
    cmocka_unit_test (test_few_workers_are_called_directly),
    cmocka_unit_test (test_a_start_on_a_new_connection_is_not_relayed),
    cmocka_unit_test (test_random_messages_are_refused),
    cmocka_unit_test (test_mutated_messages_do_not_crash),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
