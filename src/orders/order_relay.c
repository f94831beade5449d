#include "order_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/random.h>

#include "cell_map.h"
#include "counters.h"
#include "helper_choice.h"
#include "log.h"
#include "orders_codec.h"

#define MAX_HELPERS 16
#define HELPER_PROBE_MS 150   /* two intervals and a cross-region trip fit into the timeout */
#define HELPER_TIMEOUT_MS 600 /* a helper that has not answered for this long gets no orders */
/* ORDER_TIMEOUT_MS or HOLD_SLACK_MS (700 ms, worker_calls.c), the way back and timer delays.  */
#define ANSWER_TIMEOUT_MS 1300
#define EXPIRY_INTERVAL_MS 100 /* the timeout need not be exact */

static struct counter relayed = { .name = "sassafras_orders_relayed_total",
                                  .help = "Orders that a helper was to carry out." };
static struct counter expired = { .name = "sassafras_orders_relayed_unanswered_total",
                                  .help = "Relayed orders without an answer of the helper." };

struct helper
{
  uint64_t node;
  bool connected;
  bool stopping; /* accepts no more orders */
  uint64_t echo; /* the helper's clock in its last answer; 0 before the first */
  int64_t last_answer_ms;
  int64_t last_batch_ms;
  struct orders_items items;
};

/* A relayed order that waits for its answer.  */
struct pending_call
{
  struct cell_map_node node; /* in calls, keyed by id */
  TAILQ_ENTRY (pending_call) link;
  uint64_t id;
  uint64_t helper;
  worker_order_kind kind;
  char worker[WORKFLOW_NAME_BYTES + 1];
  void *tag;
  workflow_task_ref task;
  uint32_t run;
  uint32_t percent;
  uint64_t mark;
  int64_t expires_ms;
};

TAILQ_HEAD (pending_calls, pending_call);

struct order_relay
{
  struct worker_link link; /* first member: the vtable */
  struct order_relay_config config;
  worker_outcome_fn *outcome;
  void *outcome_arg;
  struct helper helpers[MAX_HELPERS];
  struct helper_option options[MAX_HELPERS]; /* same indices as helpers */
  size_t helper_count;
  bool helpers_enabled; /* this VM leads with enough workers */
  uint64_t last_id;     /* starts at a random value: no process repeats the ids of an earlier one */
  struct cell_map calls;
  struct pending_calls call_list;
  int64_t next_expiry_ms;
};

static void
free_call (struct order_relay *r, struct pending_call *c)
{
  cell_map_remove (&r->calls, &c->node);
  TAILQ_REMOVE (&r->call_list, c, link);
  free (c);
}

static struct pending_call *
find_call (struct order_relay *r, uint64_t id)
{
  struct cell_map_node *n = cell_map_first (&r->calls, cell_hash_id (id));
  while (n && ((struct pending_call *)n)->id != id)
    n = cell_map_next (n);
  return (struct pending_call *)n;
}

static void
report (struct order_relay *r, struct pending_call *c, enum worker_call_result result,
        const struct worker_lists *lists)
{
  const struct worker_outcome o = { .kind = c->kind,
                                    .worker = c->worker,
                                    .tag = c->tag,
                                    .task = c->task,
                                    .run = c->run,
                                    .percent = c->percent,
                                    .result = result,
                                    .lists = lists };
  r->outcome (r->outcome_arg, clock_now_ms (r->config.clock), &o);
  free_call (r, c);
}

static struct helper *
find_helper (struct order_relay *r, uint64_t node)
{
  for (size_t i = 0; i < r->helper_count; i++)
    if (r->helpers[i].node == node)
      return &r->helpers[i];
  return NULL;
}

static bool
is_usable (const struct helper *h, int64_t now_ms)
{
  return h->connected && !h->stopping && h->echo != 0
         && now_ms - h->last_answer_ms < HELPER_TIMEOUT_MS;
}

static void
send_batch (struct order_relay *r, struct helper *h, int64_t now_ms)
{
  struct buffer message;
  buffer_init (&message);
  orders_encode_orders (&h->items, h->echo, &message);
  h->last_batch_ms = now_ms;
  /* Orders that were not sent expire like unanswered ones.  */
  if (!r->config.send (r->config.send_arg, h->node, message.data, message.len))
    h->last_answer_ms = 0;
  buffer_close (&message);
}

/* Selects the helper for an order to TO; NULL if this VM calls the worker itself.  */
static struct helper *
choose_helper (struct order_relay *r, const struct worker_address *to)
{
  if (!r->helpers_enabled)
    return NULL;
  int64_t now_ms = clock_now_ms (r->config.clock);
  for (size_t i = 0; i < r->helper_count; i++)
    r->options[i].usable = is_usable (&r->helpers[i], now_ms);
  uint64_t hash = cell_hash_names (to->worker, "");
  size_t i = helper_choose (r->options, r->helper_count, r->config.zone, to->zone, hash);
  return i < r->helper_count ? &r->helpers[i] : NULL;
}

static struct pending_call *
add_call (struct order_relay *r, const struct helper *h, const struct worker_address *to,
          worker_order_kind kind, uint32_t wait_ms)
{
  struct pending_call *c = xcalloc (1, sizeof *c);
  c->id = ++r->last_id;
  c->helper = h->node;
  c->kind = kind;
  c->tag = to->tag;
  c->expires_ms = clock_now_ms (r->config.clock) + wait_ms + ANSWER_TIMEOUT_MS;
  snprintf (c->worker, sizeof c->worker, "%s", to->worker);
  cell_map_add (&r->calls, &c->node, cell_hash_id (c->id));
  TAILQ_INSERT_TAIL (&r->call_list, c, link);
  return c;
}

/* An order that can't be encoded ends as unknown with the next tick.  */
static void
add_order (struct order_relay *r, struct helper *h, struct pending_call *c,
           const struct worker_address *to, const order_details *details)
{
  const relayed_order order = { .call = c->id,
                                .worker = (char *)(uintptr_t)to->worker,
                                .address = (char *)(uintptr_t)to->address,
                                .fence = to->fence,
                                .details = *details };
  if (!orders_add_order (&h->items, &order))
    {
      log_event (LOG_ERROR, "order-not-encodable", "worker=%.64s kind=%d", to->worker, c->kind);
      c->expires_ms = 0;
      return;
    }
  counter_add (&relayed, 1);
  if (orders_items_full (&h->items))
    send_batch (r, h, clock_now_ms (r->config.clock));
}

static void
relay_start (struct worker_link *l, const struct worker_start *o)
{
  struct order_relay *r = (struct order_relay *)l;
  struct helper *h = o->on_new_connection ? NULL : choose_helper (r, &o->to);
  if (!h)
    {
      r->config.direct->ops->start (r->config.direct, o);
      return;
    }
  order_details d = { .kind = ORDER_START };
  d.order_details_u.start = (start_details){ .task = o->task,
                                             .run = o->run,
                                             .payload = (char *)(uintptr_t)o->payload,
                                             .checkpoint = (char *)(uintptr_t)o->checkpoint,
                                             .deadline_ms = o->deadline_ms };
  struct pending_call *c = add_call (r, h, &o->to, d.kind, 0);
  c->task = o->task;
  c->run = o->run;
  add_order (r, h, c, &o->to, &d);
}

static void
relay_stop (struct worker_link *l, const struct worker_stop *o)
{
  struct order_relay *r = (struct order_relay *)l;
  struct helper *h = choose_helper (r, &o->to);
  if (!h)
    {
      r->config.direct->ops->stop (r->config.direct, o);
      return;
    }
  order_details d = { .kind = ORDER_STOP };
  d.order_details_u.stop = (stop_details){ .task = o->task, .run = o->run };
  struct pending_call *c = add_call (r, h, &o->to, d.kind, 0);
  c->task = o->task;
  c->run = o->run;
  add_order (r, h, c, &o->to, &d);
}

static void
relay_pace (struct worker_link *l, const struct worker_pace *o)
{
  struct order_relay *r = (struct order_relay *)l;
  struct helper *h = choose_helper (r, &o->to);
  if (!h)
    {
      r->config.direct->ops->pace (r->config.direct, o);
      return;
    }
  order_details d = { .kind = ORDER_PACE };
  d.order_details_u.pace = (pace_details){ .task = o->task, .run = o->run, .percent = o->percent };
  struct pending_call *c = add_call (r, h, &o->to, d.kind, 0);
  c->task = o->task;
  c->run = o->run;
  c->percent = o->percent;
  add_order (r, h, c, &o->to, &d);
}

static void
relay_hold (struct worker_link *l, const struct worker_hold *o)
{
  struct order_relay *r = (struct order_relay *)l;
  struct helper *h = choose_helper (r, &o->to);
  if (!h)
    {
      r->config.direct->ops->hold (r->config.direct, o);
      return;
    }
  order_details d = { .kind = ORDER_HOLD };
  d.order_details_u.hold = (hold_details){ .acknowledged = o->acknowledged,
                                           .deadline_ms = o->deadline_ms,
                                           .wait_ms = o->wait_ms };
  struct pending_call *c = add_call (r, h, &o->to, d.kind, o->wait_ms);
  c->mark = o->mark;
  add_order (r, h, c, &o->to, &d);
}

static const struct worker_link_ops ops
    = { .start = relay_start, .stop = relay_stop, .pace = relay_pace, .hold = relay_hold };

static uint64_t
random_id (void)
{
  uint64_t id;
  if (getrandom (&id, sizeof id, 0) != (ssize_t)sizeof id)
    id = cell_hash_id ((uint64_t)clock_wall_ms ());
  return id;
}

struct order_relay *
order_relay_open (const struct order_relay_config *config)
{
  struct order_relay *r = xcalloc (1, sizeof *r);
  r->link.ops = &ops;
  r->config = *config;
  r->last_id = random_id ();
  cell_map_init (&r->calls);
  TAILQ_INIT (&r->call_list);
  return r;
}

void
order_relay_close (struct order_relay *r)
{
  struct pending_call *c;
  while ((c = TAILQ_FIRST (&r->call_list)) != NULL)
    free_call (r, c);
  for (size_t i = 0; i < r->helper_count; i++)
    orders_items_close (&r->helpers[i].items);
  cell_map_close (&r->calls);
  free (r);
}

struct worker_link *
order_relay_link (struct order_relay *r)
{
  return &r->link;
}

void
order_relay_set_outcome_handler (struct order_relay *r, worker_outcome_fn *outcome, void *arg)
{
  r->outcome = outcome;
  r->outcome_arg = arg;
}

/* Ends the pending calls of NODE, and those expired at NOW_MS, with WORKER_CALL_UNKNOWN.  */
static void
end_calls_unknown (struct order_relay *r, uint64_t node, int64_t now_ms)
{
  struct pending_call *c = TAILQ_FIRST (&r->call_list);
  while (c)
    {
      struct pending_call *next = TAILQ_NEXT (c, link);
      if (c->helper == node || c->expires_ms <= now_ms)
        {
          counter_add (&expired, 1);
          report (r, c, WORKER_CALL_UNKNOWN, NULL);
        }
      c = next;
    }
}

static void
clear_items (struct helper *h)
{
  h->items.bytes.len = 0;
  h->items.count = 0;
}

void
order_relay_peer (struct order_relay *r, uint64_t node, const char *zone, bool connected)
{
  struct helper *h = find_helper (r, node);
  if (!h && r->helper_count == MAX_HELPERS)
    {
      log_event (LOG_WARN, "helper-ignored",
                 "peer=%" PRIu64 " reason=\"limit of %d helpers reached\"", node, MAX_HELPERS);
      return;
    }
  if (!h)
    {
      h = &r->helpers[r->helper_count++];
      h->node = node;
      orders_items_init (&h->items);
    }
  h->connected = connected;
  h->stopping = false;
  h->echo = 0;
  h->last_answer_ms = 0;
  snprintf (r->options[h - r->helpers].zone, HELPER_ZONE_BYTES, "%s", zone);
  if (connected)
    return;
  clear_items (h);
  end_calls_unknown (r, node, INT64_MIN);
}

static void
handle_answer (struct order_relay *r, uint64_t node, const relayed_answer *a)
{
  struct pending_call *c = find_call (r, a->call);
  if (!c || c->helper != node)
    return; /* the call has expired, or belongs to an earlier process */
  if (a->result != WORKER_CALL_OK || c->kind != ORDER_HOLD)
    {
      report (r, c, a->result, NULL);
      return;
    }
  if (!a->lists)
    {
      log_event (LOG_WARN, "lists-missing", "worker=%s helper=%" PRIu64, c->worker, c->helper);
      report (r, c, WORKER_CALL_UNKNOWN, NULL);
      return;
    }
  const relayed_lists *from = a->lists;
  struct reported_run *running = xcalloc (from->running.running_len + 1, sizeof *running);
  struct reported_end *ended = xcalloc (from->ended.ended_len + 1, sizeof *ended);
  for (u_int i = 0; i < from->running.running_len; i++)
    {
      const listed_run *l = &from->running.running_val[i];
      running[i] = (struct reported_run){ .task = l->task,
                                          .run = l->run,
                                          .checkpoint = l->checkpoint,
                                          .percent = l->percent,
                                          .measure = l->measure };
    }
  for (u_int i = 0; i < from->ended.ended_len; i++)
    {
      const listed_end_row *l = &from->ended.ended_val[i];
      ended[i] = (struct reported_end){ .number = l->number,
                                        .task = l->task,
                                        .run = l->run,
                                        .outcome = l->outcome,
                                        .checkpoint = l->checkpoint };
    }
  const struct worker_lists lists = { .mark = c->mark,
                                      .clock_ms = from->clock_ms,
                                      .born_ms = from->born_ms,
                                      .running = running,
                                      .running_len = from->running.running_len,
                                      .ended = ended,
                                      .ended_len = from->ended.ended_len,
                                      .complete = from->complete };
  report (r, c, WORKER_CALL_OK, &lists);
  free (running);
  free (ended);
}

void
order_relay_receive (struct order_relay *r, uint64_t node, const answer_batch *batch)
{
  struct helper *h = find_helper (r, node);
  int64_t now_ms = clock_now_ms (r->config.clock);
  if (!h)
    return;
  bool usable = is_usable (h, now_ms);
  h->stopping = batch->stopping;
  h->echo = batch->clock;
  h->last_answer_ms = now_ms;
  if (is_usable (h, now_ms) != usable)
    log_event (LOG_INFO, usable ? "helper-stops" : "helper-usable", "peer=%" PRIu64 " zone=%s",
               node, r->options[h - r->helpers].zone);
  for (u_int i = 0; i < batch->answers.answers_len; i++)
    handle_answer (r, node, &batch->answers.answers_val[i]);
}

void
order_relay_tick (struct order_relay *r, size_t workers)
{
  int64_t now_ms = clock_now_ms (r->config.clock);
  r->helpers_enabled = workers >= r->config.helper_min_workers;
  if (now_ms < r->next_expiry_ms)
    return;
  r->next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
  end_calls_unknown (r, 0, now_ms);
}

void
order_relay_flush (struct order_relay *r)
{
  int64_t now_ms = clock_now_ms (r->config.clock);
  for (size_t i = 0; i < r->helper_count; i++)
    {
      struct helper *h = &r->helpers[i];
      bool probe = r->helpers_enabled && now_ms - h->last_batch_ms >= HELPER_PROBE_MS;
      if (h->connected && (h->items.count > 0 || probe))
        send_batch (r, h, now_ms);
    }
}
