#include "eviction.h"

#include <string.h>

#define SLOTS 12
#define SLOT_MS (EVICTION_WINDOW_MS / SLOTS)
/* Placing, starting and warming up a task again costs about 5 s of one core.  */
#define RESTART_CORE_MS 5000.0
#define NEAR_DEADLINE_FACTOR 8.0
#define REPEATED_EVICTION_FACTOR                                                                   \
  0.5 /* per earlier eviction, so that the same task is not always chosen */
#define DISCOUNT_PER_ADDED_SLOWDOWN 4.0

double
eviction_cost (const struct eviction_candidate *c)
{
  double cost = RESTART_CORE_MS + c->lost_core_ms;
  cost *= 1 + REPEATED_EVICTION_FACTOR * c->evictions;
  if (c->near_deadline)
    cost *= NEAR_DEADLINE_FACTOR;
  return cost / (1 + DISCOUNT_PER_ADDED_SLOWDOWN * c->interference);
}

static uint64_t
min_u64 (uint64_t size, uint64_t shortfall)
{
  return size < shortfall ? size : shortfall;
}

/* Fractions of the shortfall that the candidate frees, summed over the resources.  */
static double
freed_fraction_sum (const struct eviction_candidate *c, const struct resource_amount *shortfall)
{
  double sum = 0;
  if (shortfall->millicores)
    sum += (double)min_u64 (c->size.millicores, shortfall->millicores)
           / (double)shortfall->millicores;
  if (shortfall->memory_mb)
    sum += (double)min_u64 (c->size.memory_mb, shortfall->memory_mb) / (double)shortfall->memory_mb;
  if (shortfall->accelerators)
    sum += (double)min_u64 (c->size.accelerators, shortfall->accelerators)
           / (double)shortfall->accelerators;
  return sum;
}

static bool
is_met (const struct resource_amount *shortfall)
{
  return shortfall->millicores == 0 && shortfall->memory_mb == 0 && shortfall->accelerators == 0;
}

static void
subtract (struct resource_amount *shortfall, const struct resource_amount *size)
{
  shortfall->millicores -= min_u64 (size->millicores, shortfall->millicores);
  shortfall->memory_mb -= min_u64 (size->memory_mb, shortfall->memory_mb);
  shortfall->accelerators -= min_u64 (size->accelerators, shortfall->accelerators);
}

static bool
is_chosen (const struct eviction_choice *out, size_t i)
{
  for (size_t k = 0; k < out->count; k++)
    if (out->victims[k] == i)
      return true;
  return false;
}

static double
rank (const struct eviction_candidate *c, const struct resource_amount *shortfall,
      bool newest_first)
{
  double sum = freed_fraction_sum (c, shortfall);
  if (sum <= 0)
    return 0;
  return newest_first ? 1 + (double)c->started_ms : sum / eviction_cost (c);
}

/* Removes victims that a later, larger victim made redundant.  */
static void
remove_redundant_victims (const struct eviction_candidate *candidates,
                          const struct resource_amount *need, struct eviction_choice *out)
{
  for (size_t i = 0; i < out->count;)
    {
      struct resource_amount shortfall = *need;
      for (size_t k = 0; k < out->count; k++)
        if (k != i)
          subtract (&shortfall, &candidates[out->victims[k]].size);
      if (!is_met (&shortfall))
        i++;
      else
        out->victims[i] = out->victims[--out->count];
    }
}

bool
eviction_choose (const struct eviction_candidate *candidates, size_t count,
                 const struct resource_amount *need, bool newest_first, struct eviction_choice *out)
{
  struct resource_amount shortfall = *need;
  memset (out, 0, sizeof *out);
  while (!is_met (&shortfall) && out->count < EVICTION_MAX_VICTIMS)
    {
      size_t best = count;
      double best_rank = 0;
      for (size_t i = 0; i < count; i++)
        {
          double r = is_chosen (out, i) ? 0 : rank (&candidates[i], &shortfall, newest_first);
          if (r > best_rank)
            {
              best = i;
              best_rank = r;
            }
        }
      if (best == count)
        return false;
      out->victims[out->count++] = best;
      subtract (&shortfall, &candidates[best].size);
    }
  if (!is_met (&shortfall))
    return false;
  remove_redundant_victims (candidates, need, out);
  for (size_t i = 0; i < out->count; i++)
    out->cost += eviction_cost (&candidates[out->victims[i]]);
  return true;
}

static void
advance_window (struct eviction_budget *b, int64_t now_ms)
{
  int64_t slot = now_ms / SLOT_MS;
  if (slot - b->slot >= SLOTS || slot < b->slot)
    memset (b->slots, 0, sizeof b->slots);
  else
    for (int64_t s = b->slot + 1; s <= slot; s++)
      b->slots[s % SLOTS] = 0;
  b->slot = slot;
}

uint32_t
eviction_budget_used (const struct eviction_budget *b, int64_t now_ms)
{
  struct eviction_budget copy = *b;
  uint32_t sum = 0;
  advance_window (&copy, now_ms);
  for (int i = 0; i < SLOTS; i++)
    sum += copy.slots[i];
  return sum;
}

void
eviction_budget_record (struct eviction_budget *b, int64_t now_ms)
{
  advance_window (b, now_ms);
  b->slots[b->slot % SLOTS]++;
}
