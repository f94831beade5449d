/* order_server: calls workers on behalf of a leader on another VM.

   Receives batches of orders from an order_relay, executes them through a struct worker_link and
   returns the outcomes in batches.  It makes no decisions; its only state is the pending calls.
   Orders that were delayed in transit are dropped: the leader has already counted them as
   unanswered and resolved them.

   Pure except for the clock: messages are sent through order_server_config.send.  */

#ifndef SASSAFRAS_ORDER_SERVER_H
#define SASSAFRAS_ORDER_SERVER_H

#include <stdint.h>

#include "clock.h"
#include "order_relay.h"
#include "worker_link.h"

struct order_server;

struct order_server_config
{
  struct clock *clock;
  struct worker_link *calls; /* must report outcomes to order_server_outcome */
  orders_send_fn *send;
  void *send_arg;
};

struct order_server *order_server_open (const struct order_server_config *config);
void order_server_close (struct order_server *s); /* After the link; drops pending calls. */
void order_server_stop (struct order_server *s);  /* Tells leaders to send no more orders. */
void order_server_receive (struct order_server *s, uint64_t node,
                           const order_batch *batch); /* Executes orders of the leader on NODE. */
worker_outcome_fn order_server_outcome;               /* Outcome of an order given to the link. */
int64_t order_server_flush (struct order_server *s);  /* Sends what is due, at the end of a loop
                                                         turn; ms until more is, or -1. */

#endif
