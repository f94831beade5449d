#include "order_exchange.h"

#include <inttypes.h>
#include <stdlib.h>

#include "log.h"
#include "order_server.h"
#include "orders_codec.h"

struct order_exchange
{
  struct order_relay *relay;
  struct order_server *server;
};

struct order_exchange *
order_exchange_open (const struct order_exchange_config *config)
{
  struct order_exchange *x = xcalloc (1, sizeof *x);
  const struct order_relay_config relay = { .clock = config->clock,
                                            .zone = config->zone,
                                            .direct = config->direct,
                                            .send = config->send,
                                            .send_arg = config->send_arg,
                                            .helper_min_workers = config->helper_min_workers };
  const struct order_server_config server = { .clock = config->clock,
                                              .calls = config->for_remote_leader,
                                              .send = config->send,
                                              .send_arg = config->send_arg };
  x->relay = order_relay_open (&relay);
  x->server = order_server_open (&server);
  return x;
}

void
order_exchange_close (struct order_exchange *x)
{
  order_relay_close (x->relay);
  order_server_close (x->server);
  free (x);
}

struct worker_link *
order_exchange_link (struct order_exchange *x)
{
  return order_relay_link (x->relay);
}

struct order_server *
order_exchange_server (struct order_exchange *x)
{
  return x->server;
}

void
order_exchange_set_outcome_handler (struct order_exchange *x, worker_outcome_fn *outcome, void *arg)
{
  order_relay_set_outcome_handler (x->relay, outcome, arg);
}

void
order_exchange_peer (struct order_exchange *x, uint64_t node, const char *zone, bool connected)
{
  order_relay_peer (x->relay, node, zone, connected);
}

void
order_exchange_receive (struct order_exchange *x, uint64_t from, const void *data, size_t len)
{
  orders_message m;
  if (!orders_decode (data, len, &m))
    {
      log_event (LOG_WARN, "orders-malformed", "peer=%" PRIu64 " bytes=%zu", from, len);
      return;
    }
  if (m.kind == ORDERS_TO_CALL)
    order_server_receive (x->server, from, &m.orders_message_u.orders);
  else
    order_relay_receive (x->relay, from, &m.orders_message_u.answers);
  orders_free (&m);
}

void
order_exchange_stop (struct order_exchange *x)
{
  order_server_stop (x->server);
}

void
order_exchange_tick (struct order_exchange *x, size_t workers)
{
  order_relay_tick (x->relay, workers);
}

int64_t
order_exchange_flush (struct order_exchange *x)
{
  order_relay_flush (x->relay);
  return order_server_flush (x->server);
}
