/* order_exchange: client and server side of the orders that core VMs execute for each other.

   While this VM leads, its orders to workers go through order_exchange_link, directly or via
   another core VM (order_relay).  While another VM leads, this one executes the orders that the
   leader sends (order_server).  Messages use the peer connections of the seeded group.  */

#ifndef SASSAFRAS_ORDER_EXCHANGE_H
#define SASSAFRAS_ORDER_EXCHANGE_H

#include <stddef.h>
#include <stdint.h>

#include "order_relay.h"

struct order_exchange;

struct order_exchange_config
{
  struct clock *clock;
  const char *zone;                      /* data centre of this VM */
  struct worker_link *direct;            /* for orders of this VM */
  struct worker_link *for_remote_leader; /* must report outcomes to order_server_outcome */
  orders_send_fn *send;
  void *send_arg;
  size_t helper_min_workers; /* with fewer workers the leader calls all of them itself */
};

struct order_exchange *order_exchange_open (const struct order_exchange_config *config);
void order_exchange_close (struct order_exchange *x); /* Call after closing both links. */
struct worker_link *order_exchange_link (struct order_exchange *x);
struct order_server *order_exchange_server (struct order_exchange *x); /* See for_remote_leader. */
void order_exchange_set_outcome_handler (struct order_exchange *x, worker_outcome_fn *outcome,
                                         void *arg); /* For own orders that helpers execute. */
void order_exchange_peer (struct order_exchange *x, uint64_t node, const char *zone,
                          bool connected); /* A core VM connected or disconnected. */
void order_exchange_receive (struct order_exchange *x, uint64_t from, const void *data,
                             size_t len);            /* Handles a message from a core VM. */
void order_exchange_stop (struct order_exchange *x); /* Planned stop: no more remote orders. */
void order_exchange_tick (struct order_exchange *x,
                          size_t workers); /* WORKERS known while this VM leads, else 0. */
int64_t order_exchange_flush (struct order_exchange *x); /* Sends what is due, at the end of a loop
                                                            turn; ms until more is, or -1. */

#endif
