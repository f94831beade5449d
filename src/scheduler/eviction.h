/* eviction: chooses the batch tasks that free capacity at the least cost, within the budgets.

   The cost of a victim is the work lost since its last checkpoint plus the overhead of a restart;
   it is reduced by the slowdown that the task adds to urgent work.  A customer's budget is a number
   of evictions per hour; a task whose customer has none left is not chosen.  */

#ifndef SASSAFRAS_EVICTION_H
#define SASSAFRAS_EVICTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "task_queue.h"

#define EVICTION_WINDOW_MS (3600LL * 1000)
#define EVICTION_MAX_VICTIMS 16

struct eviction_candidate
{
  struct resource_amount size;
  double lost_core_ms; /* processors x time since the last checkpoint */
  double interference; /* predicted added slowdown of urgent work; 0 is none */
  int64_t started_ms;  /* the baseline policy evicts the newest task first */
  void *owner;
  uint32_t evictions; /* number of earlier evictions of this task */
  bool near_deadline; /* an eviction would make it miss its deadline */
};

struct eviction_choice
{
  size_t victims[EVICTION_MAX_VICTIMS]; /* indexes into the candidates */
  size_t count;
  double cost; /* weighted core-ms, sum over the victims */
};

/* Evictions of one customer in a sliding window of one hour, counted in 12 slots.  */
struct eviction_budget
{
  uint32_t slots[12];
  int64_t slot; /* index of the newest slot */
};

double eviction_cost (const struct eviction_candidate *c); /* Weighted core-ms, > 0. */
bool eviction_choose (const struct eviction_candidate *candidates, size_t count,
                      const struct resource_amount *need, bool newest_first,
                      struct eviction_choice *out); /* False when NEED cannot be freed. */
uint32_t eviction_budget_used (const struct eviction_budget *b,
                               int64_t now_ms); /* Evictions in the last hour. */
void eviction_budget_record (struct eviction_budget *b, int64_t now_ms); /* Counts one eviction. */

#endif
