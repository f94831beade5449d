#include "placement.h"

#include <math.h>

/* Weights of the score.  Interference dominates: 0.1 of added slowdown outweighs any packing.  */
#define INTERFERENCE_WEIGHT 20.0
#define RACK_WEIGHT 0.5
#define HEALTH_WEIGHT 1.0
#define RESOURCE_BALANCE_WEIGHT 1.0
#define BIN_PACKING_WEIGHT 0.3
#define URGENT_SPREAD_WEIGHT 0.2
/* Keeps workers without urgent work for noisy batch classes: urgent tasks and harmless classes use
   such workers last.  */
#define NON_URGENT_WORKER_WEIGHT 0.8
#define ACCELERATOR_WEIGHT 0.5

bool
placement_fits (const struct placement_row *r, const struct placement_request *q)
{
  if (!r->usable || r->free_millicores < q->millicores || r->free_memory_mb < q->memory_mb
      || r->free_accelerators < q->accelerators)
    return false;
  return q->max_per_rack == 0 || !q->rack_counts || q->rack_counts[r->rack] < q->max_per_rack;
}

double
placement_score (const struct placement_row *r, const struct placement_request *q,
                 double interference)
{
  double processors = (double)(r->free_millicores - q->millicores) / r->total_millicores;
  double memory = (double)(r->free_memory_mb - q->memory_mb) / r->total_memory_mb;
  double score = INTERFERENCE_WEIGHT * interference + HEALTH_WEIGHT * r->health_score;
  /* Keeps the free processors and memory in balance, so that neither is stranded.  */
  score += RESOURCE_BALANCE_WEIGHT * fabs (processors - memory);
  if (q->rack_counts)
    score += RACK_WEIGHT * q->rack_counts[r->rack];
  if (q->urgent)
    return score - URGENT_SPREAD_WEIGHT * processors + (r->urgent ? 0 : NON_URGENT_WORKER_WEIGHT);
  score += NON_URGENT_WORKER_WEIGHT * (r->urgent ? q->noise : 1 - q->noise);
  /* Keeps workers with accelerators free for tasks that need them.  */
  if (q->accelerators == 0 && r->free_accelerators > 0)
    score += ACCELERATOR_WEIGHT;
  return score + BIN_PACKING_WEIGHT * processors;
}

static bool
row_accepts (const struct placement_row *rows, size_t i, const struct placement_request *q)
{
  return placement_fits (&rows[i], q) && !(q->avoid && q->avoid (q->ctx, i));
}

static size_t
first_fit (const struct placement_row *rows, size_t count, const struct placement_request *q)
{
  for (size_t i = 0; i < count; i++)
    if (row_accepts (rows, i, q))
      return i;
  return PLACEMENT_NONE;
}

size_t
placement_choose (const struct placement_row *rows, size_t count, const struct placement_request *q,
                  struct rng *rng)
{
  if (q->first_fit)
    return first_fit (rows, count, q);
  size_t best = PLACEMENT_NONE;
  double best_score = INFINITY;
  size_t at = (size_t)rng_below (rng, count);
  for (size_t k = 0, seen = 0; k < count && seen < PLACEMENT_SAMPLE_SIZE; k++, at++)
    {
      if (at >= count)
        at = 0;
      if (!row_accepts (rows, at, q))
        continue;
      double interference = q->interference ? q->interference (q->ctx, at) : 0;
      if (interference >= PLACEMENT_REFUSED)
        continue;
      seen++;
      double score = placement_score (&rows[at], q, interference);
      if (score < best_score)
        {
          best_score = score;
          best = at;
        }
    }
  return best;
}
