/* order_relay: the leader's worker link that sends orders via other core VMs.

   A struct worker_link in front of the one that calls workers directly; helper_choice selects the
   route of each order.  A helper (order_server) calls the worker and returns the answer; all
   decisions, fences and leases remain with the leader.

   An order without an answer in time, or whose helper is disconnected, ends with
   WORKER_CALL_UNKNOWN: like any unanswered order it may have been executed or may be executed
   later.  A helper drops orders that were delayed in transit, see orders_proto.x.

   A helper is usable while it answers: the leader sends a batch every HELPER_PROBE_MS, empty if
   there are no orders, and the helper answers each batch.

   A helper returns an answer to this VM's node, also one to an order of an earlier process of the
   VM.  Call ids therefore start at a random number in each process, and such an answer matches no
   pending call.

   Pure except for the clock and the first call id: messages are sent through
   order_relay_config.send.  */

#ifndef SASSAFRAS_ORDER_RELAY_H
#define SASSAFRAS_ORDER_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "worker_link.h"

struct order_relay;

/* Sends one message to NODE; false if it certainly was not sent.  */
typedef bool orders_send_fn (void *arg, uint64_t node, const void *data, size_t len);

struct order_relay_config
{
  struct clock *clock;
  const char *zone;           /* data centre of this VM */
  struct worker_link *direct; /* calls workers from this VM */
  orders_send_fn *send;
  void *send_arg;
  size_t helper_min_workers; /* with fewer workers this VM calls all of them */
};

struct order_relay *order_relay_open (const struct order_relay_config *config); /* Copies CONFIG. */
void order_relay_close (struct order_relay *r); /* Pending calls get no outcome. */
struct worker_link *order_relay_link (struct order_relay *r);
void order_relay_set_outcome_handler (struct order_relay *r, worker_outcome_fn *outcome,
                                      void *arg); /* From helpers; set before any order. */
void order_relay_peer (struct order_relay *r, uint64_t node, const char *zone,
                       bool connected); /* A core VM connected or disconnected. */
void order_relay_receive (struct order_relay *r, uint64_t node,
                          const answer_batch *batch); /* Handles answers of a helper. */
void order_relay_tick (struct order_relay *r,
                       size_t workers); /* WORKERS known to this leader, 0 while not leading. */
void order_relay_flush (struct order_relay *r); /* Sends what is queued; at the end of a turn. */

#endif
