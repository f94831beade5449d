/* task_queue: decides which task is placed next.  Customers are ordered by weighted dominant
   resource share; the tasks of a customer by the latest start that meets the deadline, from run
   times learned per class.

   A deadline counts as lost when even the optimistic run time is too long; until then the cautious
   run time determines the key.

   The key of a waiting task does not depend on the current time, so a heap keeps the order.  A task
   without a deadline gets the key submitted + TASK_QUEUE_AGE_BOUND_MS: every task that arrives with
   a later key waits behind it, which bounds its starvation.  */

#ifndef SASSAFRAS_TASK_QUEUE_H
#define SASSAFRAS_TASK_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TASK_QUEUE_AGE_BOUND_MS (30LL * 60 * 1000)

struct task_queue_item
{
  int64_t key;          /* smallest first */
  uint64_t tie_breaker; /* order of submission */
  size_t heap_position; /* index in the heap + 1; 0 when not queued */
  void *owner;
};

struct task_queue
{
  struct task_queue_item **items;
  size_t count;
  size_t capacity;
};

struct moving_estimate
{
  double mean;
  double mean_deviation;
  uint32_t samples;
};

/* Run times of one class.  Tasks with and without a declared run time are learned separately.  */
struct run_time_estimate
{
  struct moving_estimate factor; /* actual / declared run time */
  struct moving_estimate ms;     /* run time when none is declared */
};

struct resource_amount
{
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
};

void task_queue_init (struct task_queue *h);
void task_queue_close (struct task_queue *h); /* Frees the array, not the items. */
void task_queue_push (struct task_queue *h, struct task_queue_item *i); /* Inserts I. */
struct task_queue_item *task_queue_first (const struct task_queue *h);  /* Smallest, or NULL. */
struct task_queue_item *task_queue_pop (struct task_queue *h);          /* Removes the smallest. */
void task_queue_remove (struct task_queue *h,
                        struct task_queue_item *i); /* Removes I if it is queued. */
double dominant_share (const struct resource_amount *used, const struct resource_amount *total,
                       double weight); /* Largest fraction of any resource / weight. */
void run_time_record (struct run_time_estimate *r, uint64_t declared_ms,
                      uint64_t actual_ms); /* Records one finished run. */
uint64_t run_time_cautious (const struct run_time_estimate *r,
                            uint64_t declared_ms); /* Cautious run time in ms. */
uint64_t run_time_optimistic (const struct run_time_estimate *r,
                              uint64_t declared_ms); /* Optimistic run time in ms. */
int64_t task_queue_key (int64_t now_ms, int64_t submitted_ms, int64_t deadline_ms,
                        uint64_t remaining_ms,
                        uint64_t least_ms); /* REMAINING_MS is cautious, LEAST_MS optimistic. */

#endif
