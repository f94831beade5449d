/* order: who is next.  Weighted dominant-resource shares among customers; within a customer the
   latest start that still meets the deadline, from run times learned per class.

   A deadline counts as lost when even the optimistic run time is too long; until then the cautious
   one sets the key.

   The key of a waiting task does not depend on the current time, so a heap keeps the order.  A task
   without a deadline gets the key submitted + ORDER_AGE_BOUND_MS: every task that arrives with a
   later key waits behind it, which bounds its starvation.  */

#ifndef SASSAFRAS_ORDER_H
#define SASSAFRAS_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ORDER_AGE_BOUND_MS (30LL * 60 * 1000)

struct order_item
{
  int64_t key;  /* smaller is sooner */
  uint64_t tie; /* order of submission */
  size_t place; /* index in the heap + 1; 0 when not queued */
  void *owner;
};

struct order_heap
{
  struct order_item **items;
  size_t count;
  size_t capacity;
};

struct order_estimate
{
  double mean;
  double deviation;
  uint32_t samples;
};

/* Run times of one class.  Tasks with and without a declared time are learned apart.  */
struct order_run_time
{
  struct order_estimate factor; /* of the declared time */
  struct order_estimate ms;     /* when none is declared */
};

struct order_amount
{
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
};

void order_heap_init (struct order_heap *h);
void order_heap_close (struct order_heap *h);                   /* Frees the array only. */
void order_push (struct order_heap *h, struct order_item *i);   /* Queues I. */
struct order_item *order_first (const struct order_heap *h);    /* Smallest, or NULL. */
struct order_item *order_pop (struct order_heap *h);            /* Takes the smallest. */
void order_remove (struct order_heap *h, struct order_item *i); /* Takes I out. */
double order_share (const struct order_amount *used, const struct order_amount *total,
                    double weight); /* Largest fraction of any resource, over the weight. */
void order_learn (struct order_run_time *r, uint64_t declared_ms,
                  uint64_t actual_ms); /* One finished run. */
uint64_t order_expect (const struct order_run_time *r,
                       uint64_t declared_ms); /* Cautious run time in ms. */
uint64_t order_expect_least (const struct order_run_time *r,
                             uint64_t declared_ms); /* Hopeful run time in ms. */
int64_t order_key (int64_t now_ms, int64_t submitted_ms, int64_t deadline_ms, uint64_t remaining_ms,
                   uint64_t least_ms); /* REMAINING_MS is cautious, LEAST_MS optimistic. */

#endif
