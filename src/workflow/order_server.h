/* order_server: calls workers for the leader on another VM.

   Takes batches of orders from an order_relay, carries them out through a struct worker_link and
   sends the outcomes back in batches.  It decides nothing and keeps nothing but the calls that are
   open.  Orders that were long on their way are dropped: the leader has counted them as unanswered
   and resolved them since.

   Pure but for the clock: messages leave through order_server_config.send.  */

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
  struct worker_link *calls; /* its outcomes go to order_server_outcome */
  orders_send_fn *send;
  void *send_arg;
};

struct order_server *order_server_open (const struct order_server_config *config);
void order_server_close (struct order_server *s); /* After the link; drops open calls. */
void order_server_stop (struct order_server *s);  /* Asks leaders for no more orders. */
void order_server_receive (struct order_server *s, uint64_t node,
                           const order_batch *batch); /* Orders of the leader on NODE. */
worker_outcome_fn order_server_outcome;               /* Of an order given to the link. */
int64_t order_server_flush (struct order_server *s);  /* At the end of a loop turn: sends what is
                                                         due;  ms until more is, or -1. */

#endif
