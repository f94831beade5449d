#include "eviction.h"

#include <string.h>

#define SLOTS 12
#define SLOT_MS (EVICTION_WINDOW_MS / SLOTS)
/* Placing, starting and warming up again: about 5 s of one core.  */
#define RESTART_CORE_MS 5000.0
#define DEADLINE_FACTOR 8.0
#define REPEAT_FACTOR 0.5 /* per earlier eviction, so that no task is always the victim */
#define HARM_RELIEF 4.0

double
eviction_cost (const struct eviction_candidate *c)
{
  double cost = RESTART_CORE_MS + c->lost_core_ms;
  cost *= 1 + REPEAT_FACTOR * c->evictions;
  if (c->near_deadline)
    cost *= DEADLINE_FACTOR;
  return cost / (1 + HARM_RELIEF * c->harm);
}

static uint64_t
useful (uint64_t size, uint64_t missing)
{
  return size < missing ? size : missing;
}

/* How much of what is missing the candidate frees, as the sum of fractions.  */
static double
gain (const struct eviction_candidate *c, const struct order_amount *missing)
{
  double g = 0;
  if (missing->millicores)
    g += (double)useful (c->size.millicores, missing->millicores) / (double)missing->millicores;
  if (missing->memory_mb)
    g += (double)useful (c->size.memory_mb, missing->memory_mb) / (double)missing->memory_mb;
  if (missing->accelerators)
    g += (double)useful (c->size.accelerators, missing->accelerators)
         / (double)missing->accelerators;
  return g;
}

static bool
covered (const struct order_amount *missing)
{
  return missing->millicores == 0 && missing->memory_mb == 0 && missing->accelerators == 0;
}

static void
subtract (struct order_amount *missing, const struct order_amount *size)
{
  missing->millicores -= useful (size->millicores, missing->millicores);
  missing->memory_mb -= useful (size->memory_mb, missing->memory_mb);
  missing->accelerators -= useful (size->accelerators, missing->accelerators);
}

static bool
chosen (const struct eviction_choice *out, size_t i)
{
  for (size_t k = 0; k < out->count; k++)
    if (out->victims[k] == i)
      return true;
  return false;
}

static double
rank (const struct eviction_candidate *c, const struct order_amount *missing, bool newest_first)
{
  double g = gain (c, missing);
  if (g <= 0)
    return 0;
  return newest_first ? 1 + (double)c->started_ms : g / eviction_cost (c);
}

/* Drops victims that a later, larger one made needless; the dearest are looked at first.  */
static void
drop_needless (const struct eviction_candidate *cs, const struct order_amount *need,
               struct eviction_choice *out)
{
  for (size_t i = 0; i < out->count;)
    {
      struct order_amount missing = *need;
      for (size_t k = 0; k < out->count; k++)
        if (k != i)
          subtract (&missing, &cs[out->victims[k]].size);
      if (!covered (&missing))
        i++;
      else
        out->victims[i] = out->victims[--out->count];
    }
}

bool
eviction_choose (const struct eviction_candidate *cs, size_t count, const struct order_amount *need,
                 bool newest_first, struct eviction_choice *out)
{
  struct order_amount missing = *need;
  memset (out, 0, sizeof *out);
  while (!covered (&missing) && out->count < EVICTION_MAX_VICTIMS)
    {
      size_t best = count;
      double best_rank = 0;
      for (size_t i = 0; i < count; i++)
        {
          double r = chosen (out, i) ? 0 : rank (&cs[i], &missing, newest_first);
          if (r > best_rank)
            {
              best = i;
              best_rank = r;
            }
        }
      if (best == count)
        return false;
      out->victims[out->count++] = best;
      subtract (&missing, &cs[best].size);
    }
  if (!covered (&missing))
    return false;
  drop_needless (cs, need, out);
  for (size_t i = 0; i < out->count; i++)
    out->cost += eviction_cost (&cs[out->victims[i]]);
  return true;
}

static void
advance (struct eviction_budget *b, int64_t now_ms)
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
eviction_spent (const struct eviction_budget *b, int64_t now_ms)
{
  struct eviction_budget copy = *b;
  uint32_t sum = 0;
  advance (&copy, now_ms);
  for (int i = 0; i < SLOTS; i++)
    sum += copy.slots[i];
  return sum;
}

void
eviction_spend (struct eviction_budget *b, int64_t now_ms)
{
  advance (b, now_ms);
  b->slots[b->slot % SLOTS]++;
}
