#include "placement.h"

#include <math.h>

/* Weights of the score.  Harm comes first: 0.1 of added slowdown outweighs any packing.  */
#define HARM_WEIGHT 20.0
#define RACK_WEIGHT 0.5
#define FAILURE_WEIGHT 1.0
#define SHAPE_WEIGHT 1.0
#define PACK_WEIGHT 0.3
#define URGENT_SPREAD_WEIGHT 0.2
/* Workers without urgent work are kept for noisy batch classes: urgent tasks and harmless classes
   go there last.  */
#define OPEN_WORKER_WEIGHT 0.8
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
placement_score (const struct placement_row *r, const struct placement_request *q, double harm)
{
  double processors = (double)(r->free_millicores - q->millicores) / r->total_millicores;
  double memory = (double)(r->free_memory_mb - q->memory_mb) / r->total_memory_mb;
  double score = HARM_WEIGHT * harm + FAILURE_WEIGHT * r->failures;
  /* What is left should keep the worker's shape, so that neither resource is stranded.  */
  score += SHAPE_WEIGHT * fabs (processors - memory);
  if (q->rack_counts)
    score += RACK_WEIGHT * q->rack_counts[r->rack];
  if (q->urgent)
    return score - URGENT_SPREAD_WEIGHT * processors + (r->urgent ? 0 : OPEN_WORKER_WEIGHT);
  score += OPEN_WORKER_WEIGHT * (r->urgent ? q->noise : 1 - q->noise);
  /* Accelerators stay free for tasks that need them.  */
  if (q->accelerators == 0 && r->free_accelerators > 0)
    score += ACCELERATOR_WEIGHT;
  return score + PACK_WEIGHT * processors;
}

static bool
accepts (const struct placement_row *rows, size_t i, const struct placement_request *q)
{
  return placement_fits (&rows[i], q) && !(q->avoid && q->avoid (q->ctx, i));
}

static size_t
first_fit (const struct placement_row *rows, size_t count, const struct placement_request *q)
{
  for (size_t i = 0; i < count; i++)
    if (accepts (rows, i, q))
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
  for (size_t k = 0, seen = 0; k < count && seen < PLACEMENT_SAMPLE; k++, at++)
    {
      if (at >= count)
        at = 0;
      if (!accepts (rows, at, q))
        continue;
      double harm = q->harm ? q->harm (q->ctx, at) : 0;
      if (harm >= PLACEMENT_REFUSED)
        continue;
      seen++;
      double score = placement_score (&rows[at], q, harm);
      if (score < best_score)
        {
          best_score = score;
          best = at;
        }
    }
  return best;
}
