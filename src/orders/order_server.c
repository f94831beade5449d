#include "order_server.h"

#include <inttypes.h>
#include <stdlib.h>
#include <sys/queue.h>

#include "counters.h"
#include "log.h"
#include "orders_codec.h"

#define MAX_LEADERS 4         /* the leader, and former ones with pending calls */
#define ANSWER_INTERVAL_MS 5  /* answers within this time share a message */
#define MAX_ORDER_AGE_MS 1200 /* below ANSWER_TIMEOUT_MS of the leader */

static struct counter executed
    = { .name = "sassafras_orders_for_leader_total", .help = "Orders carried out for a leader." };
static struct counter dropped = { .name = "sassafras_orders_for_leader_dropped_total",
                                  .help = "Orders dropped because they were long on their way." };

/* A leader that sent orders, and its queued answers.  */
struct leader_entry
{
  uint64_t node;   /* 0: unused */
  bool answer_due; /* a batch has not been answered yet */
  int64_t sent_ms;
  struct orders_items items;
};

struct pending_order
{
  LIST_ENTRY (pending_order) link;
  struct order_server *server;
  uint64_t leader;
  uint64_t call;
};

struct order_server
{
  struct order_server_config config;
  bool stopping;
  struct leader_entry leaders[MAX_LEADERS];
  LIST_HEAD (, pending_order) pending;
};

struct order_server *
order_server_open (const struct order_server_config *config)
{
  struct order_server *s = xcalloc (1, sizeof *s);
  s->config = *config;
  LIST_INIT (&s->pending);
  for (size_t i = 0; i < MAX_LEADERS; i++)
    orders_items_init (&s->leaders[i].items);
  return s;
}

void
order_server_close (struct order_server *s)
{
  struct pending_order *o;
  while ((o = LIST_FIRST (&s->pending)) != NULL)
    {
      LIST_REMOVE (o, link);
      free (o);
    }
  for (size_t i = 0; i < MAX_LEADERS; i++)
    orders_items_close (&s->leaders[i].items);
  free (s);
}

void
order_server_stop (struct order_server *s)
{
  s->stopping = true;
}

/* The entry of NODE; if there is none, reuses the least recently used entry.  */
static struct leader_entry *
find_leader (struct order_server *s, uint64_t node)
{
  struct leader_entry *oldest = &s->leaders[0];
  for (size_t i = 0; i < MAX_LEADERS; i++)
    {
      if (s->leaders[i].node == node)
        return &s->leaders[i];
      if (s->leaders[i].sent_ms < oldest->sent_ms)
        oldest = &s->leaders[i];
    }
  oldest->node = node;
  oldest->items.bytes.len = 0;
  oldest->items.count = 0;
  return oldest;
}

/* Records FROM as pending; returns the address of its worker, tagged with the record.  */
static struct worker_address
add_pending_order (struct order_server *s, uint64_t leader, const relayed_order *from)
{
  struct pending_order *o = xcalloc (1, sizeof *o);
  o->server = s;
  o->leader = leader;
  o->call = from->call;
  LIST_INSERT_HEAD (&s->pending, o, link);
  return (struct worker_address){
    .worker = from->worker, .address = from->address, .zone = "", .fence = from->fence, .tag = o
  };
}

static void
execute_order (struct order_server *s, uint64_t leader, const relayed_order *from)
{
  struct worker_link *l = s->config.calls;
  const struct worker_address to = add_pending_order (s, leader, from);
  counter_add (&executed, 1);
  if (from->details.kind == ORDER_START)
    {
      const start_details *d = &from->details.order_details_u.start;
      const struct worker_start order = { .to = to,
                                          .task = d->task,
                                          .run = d->run,
                                          .payload = d->payload,
                                          .checkpoint = d->checkpoint,
                                          .deadline_ms = d->deadline_ms };
      l->ops->start (l, &order);
    }
  else if (from->details.kind == ORDER_STOP)
    {
      const stop_details *d = &from->details.order_details_u.stop;
      const struct worker_stop order = { .to = to, .task = d->task, .run = d->run };
      l->ops->stop (l, &order);
    }
  else if (from->details.kind == ORDER_PACE)
    {
      const pace_details *d = &from->details.order_details_u.pace;
      const struct worker_pace order
          = { .to = to, .task = d->task, .run = d->run, .percent = d->percent };
      l->ops->pace (l, &order);
    }
  else
    {
      const hold_details *d = &from->details.order_details_u.hold;
      const struct worker_hold order = { .to = to,
                                         .acknowledged = d->acknowledged,
                                         .deadline_ms = d->deadline_ms,
                                         .wait_ms = d->wait_ms };
      l->ops->hold (l, &order);
    }
}

void
order_server_receive (struct order_server *s, uint64_t node, const order_batch *batch)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  struct leader_entry *leader = find_leader (s, node);
  u_int count = batch->orders.orders_len;
  int64_t age_ms = now_ms - (int64_t)batch->echo;
  leader->answer_due = true;
  /* An echo in the future is from an earlier boot of this VM: the age is unknown.  */
  if (count > 0 && (batch->echo == 0 || age_ms < 0 || age_ms >= MAX_ORDER_AGE_MS))
    {
      counter_add (&dropped, count);
      log_event (LOG_WARN, "orders-dropped", "leader=%" PRIu64 " orders=%u most_age_ms=%" PRId64,
                 node, count, age_ms);
      return;
    }
  for (u_int i = 0; i < count; i++)
    execute_order (s, node, &batch->orders.orders_val[i]);
}

static void
send_answers (struct order_server *s, struct leader_entry *leader, int64_t now_ms)
{
  struct buffer message;
  buffer_init (&message);
  orders_encode_answers (&leader->items, (uint64_t)now_ms, s->stopping, &message);
  leader->answer_due = false;
  leader->sent_ms = now_ms;
  if (!s->config.send (s->config.send_arg, leader->node, message.data, message.len))
    log_event (LOG_WARN, "answers-lost", "leader=%" PRIu64 " reason=\"not connected\"",
               leader->node);
  buffer_close (&message);
}

void
order_server_outcome (void *arg, int64_t now_ms, const struct worker_outcome *outcome)
{
  struct order_server *s = arg;
  struct pending_order *o = outcome->tag;
  struct leader_entry *leader = find_leader (s, o->leader);
  orders_add_answer (&leader->items, o->call, outcome->worker, outcome->result, outcome->lists);
  if (orders_items_full (&leader->items))
    send_answers (s, leader, now_ms);
  LIST_REMOVE (o, link);
  free (o);
}

int64_t
order_server_flush (struct order_server *s)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  int64_t next_ms = -1;
  for (size_t i = 0; i < MAX_LEADERS; i++)
    {
      struct leader_entry *leader = &s->leaders[i];
      int64_t due_ms = leader->sent_ms + ANSWER_INTERVAL_MS - now_ms;
      if (leader->node == 0 || (leader->items.count == 0 && !leader->answer_due))
        continue;
      if (due_ms <= 0)
        send_answers (s, leader, now_ms);
      else if (next_ms < 0 || due_ms < next_ms)
        next_ms = due_ms;
    }
  return next_ms;
}
