/* order_exchange: both ends of orders that one core VM carries out for another, on one VM.

   While this VM leads, its orders to workers leave through order_exchange_link: directly or by way
   of another core VM (order_relay).  While another VM leads, this one carries out what that VM asks
   (order_server).  Messages between them go over the connections of the seeded group.  */

#ifndef SASSAFRAS_ORDER_EXCHANGE_H
#define SASSAFRAS_ORDER_EXCHANGE_H

#include <stddef.h>
#include <stdint.h>

#include "order_relay.h"

struct order_exchange;

struct order_exchange_config
{
  struct clock *clock;
  const char *zone;           /* data centre of this VM */
  struct worker_link *direct; /* for this VM's own orders */
  struct worker_link *other;  /* for orders of a leader elsewhere; outcomes: order_server_outcome */
  orders_send_fn *send;
  void *send_arg;
  size_t helped_from; /* with fewer workers a leader calls all of them itself */
};

struct order_exchange *order_exchange_open (const struct order_exchange_config *config);
void order_exchange_close (struct order_exchange *x); /* After both links. */
struct worker_link *order_exchange_link (struct order_exchange *x);
struct order_server *order_exchange_server (struct order_exchange *x); /* For OTHER's outcomes. */
void order_exchange_report_to (struct order_exchange *x, worker_outcome_fn *outcome,
                               void *arg); /* Outcomes of own orders that went another way. */
void order_exchange_peer (struct order_exchange *x, uint64_t node, const char *zone,
                          bool connected); /* The connection to a core VM was made or lost. */
void order_exchange_receive (struct order_exchange *x, uint64_t from, const void *data,
                             size_t len);            /* A message of a core VM. */
void order_exchange_stop (struct order_exchange *x); /* Planned stop: no more orders of others. */
void order_exchange_tick (struct order_exchange *x,
                          size_t workers);               /* Known while this VM leads, else 0. */
int64_t order_exchange_flush (struct order_exchange *x); /* At the end of a loop turn: sends what is
                                                            due; ms until more is, or -1. */

#endif
