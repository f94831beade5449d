/* eviction: which batch tasks make room at the least cost, and how many a customer has to bear.

   The cost of a victim is the work lost since its checkpoint plus the overhead of a restart, less
   the harm it does to urgent work.  A customer's budget is a number of evictions per hour; a victim
   whose customer has none left is not chosen.  */

#ifndef SASSAFRAS_EVICTION_H
#define SASSAFRAS_EVICTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "order.h"

#define EVICTION_WINDOW_MS (3600LL * 1000)
#define EVICTION_MAX_VICTIMS 16

struct eviction_candidate
{
  struct order_amount size;
  double lost_core_ms; /* processors x time since the last checkpoint */
  double harm;         /* predicted slowdown it adds to urgent work, 0 is none */
  int64_t started_ms;  /* for the baseline: newest first */
  void *owner;
  uint32_t evictions; /* how often it was evicted before */
  bool near_deadline; /* would miss its deadline */
};

struct eviction_choice
{
  size_t victims[EVICTION_MAX_VICTIMS]; /* indexes of the candidates */
  size_t count;
  double cost;
};

/* Evictions of one customer in a sliding hour of 12 slots.  */
struct eviction_budget
{
  uint32_t slots[12];
  int64_t slot; /* number of the newest slot */
};

double eviction_cost (const struct eviction_candidate *c); /* Cost of one victim, > 0. */
bool eviction_choose (const struct eviction_candidate *candidates, size_t count,
                      const struct order_amount *need, bool newest_first,
                      struct eviction_choice *out); /* False when NEED cannot be freed. */
uint32_t eviction_spent (const struct eviction_budget *b, int64_t now_ms); /* In the last hour. */
void eviction_spend (struct eviction_budget *b, int64_t now_ms);           /* Records one. */

#endif
