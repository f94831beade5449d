/* order_relay: the leader's link to workers that other core VMs call for it.

   A struct worker_link in front of the one that calls workers directly.  Each order goes the way
   that helper_choice names.  A helper (order_server) calls the worker and sends the answer back;
   all decisions, fences and leases stay with the leader.

   An order whose answer does not come in time, or whose helper is lost, ends with
   WORKER_CALL_UNKNOWN: like any order without an answer, it may have been carried out or may be
   later.  A helper drops orders that were long on their way, see orders_proto.x.

   A helper is usable while it answers: the leader sends a batch every HELPER_PROBE_MS, empty if
   need be, and the helper answers each.

   Pure but for the clock: messages leave through order_relay_config.send.  */

#ifndef SASSAFRAS_ORDER_RELAY_H
#define SASSAFRAS_ORDER_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "worker_link.h"

struct order_relay;

/* Sends one message to NODE; false when it surely was not sent.  */
typedef bool orders_send_fn (void *arg, uint64_t node, const void *data, size_t len);

struct order_relay_config
{
  struct clock *clock;
  const char *zone;           /* data centre of this VM */
  struct worker_link *direct; /* calls workers from this VM */
  orders_send_fn *send;
  void *send_arg;
  size_t helped_from; /* with fewer workers this VM calls all of them */
};

struct order_relay *order_relay_open (const struct order_relay_config *config); /* Copies CONFIG. */
void order_relay_close (struct order_relay *r); /* Open calls end without an outcome. */
struct worker_link *order_relay_link (struct order_relay *r);
void order_relay_report_to (struct order_relay *r, worker_outcome_fn *outcome,
                            void *arg); /* Outcomes of what helpers do; before the first order. */
void order_relay_peer (struct order_relay *r, uint64_t node, const char *zone,
                       bool connected); /* The connection to a core VM was made or lost. */
void order_relay_receive (struct order_relay *r, uint64_t node,
                          const answer_batch *batch); /* Answers of a helper. */
void order_relay_tick (struct order_relay *r,
                       size_t workers); /* WORKERS that this leader knows, 0 while not leading. */
void order_relay_flush (struct order_relay *r); /* Sends what waits; at the end of a loop turn. */

#endif
