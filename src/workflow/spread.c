#include "spread.h"

#include <math.h>

#define HARM_WEIGHT 2.0 /* a full allowance of harm against a worker without unused processors */
#define FOREIGN_PENALTY 1e5 /* above any gap in millicores */
#define EMPTY_FOREIGN 0.3   /* an empty worker goes before one that serves more of other images */
#define EMPTY_COST 1.5 /* workers without lasting tasks are for images that disturb all others */
/* Data on another rack doubles the run time: any near worker goes first.  */
#define FAR_PENALTY 1e6

static double
unused_millicores (const struct spread_row *r)
{
  return (double)r->millicores - SPREAD_LASTING_USE * r->lasting_millicores - r->short_millicores
         - r->fill_millicores;
}

static double
undeclared_millicores (const struct spread_row *r)
{
  return (double)r->millicores - r->lasting_millicores - r->short_millicores;
}

double
spread_foreign (uint32_t lasting_millicores, uint32_t foreign_millicores)
{
  if (lasting_millicores == 0)
    return EMPTY_FOREIGN;
  return (double)foreign_millicores / lasting_millicores;
}

bool
spread_fits (const struct spread_row *r, const struct spread_request *q)
{
  if (!r->usable || r->free_memory_mb < q->memory_mb || r->free_accelerators < q->accelerators)
    return false;
  if (q->max_per_worker > 0 && r->same_step >= q->max_per_worker)
    return false;
  if (r->reserved && !q->fills && !q->restarts)
    return false;
  if (!q->fills)
    return undeclared_millicores (r) >= q->millicores;
  bool calm = r->tail <= SPREAD_CALM && r->harm <= 1;
  return (calm || q->despite_harm) && unused_millicores (r) >= SPREAD_FILL_SHARE * q->millicores;
}

double
spread_score (const struct spread_row *r, const struct spread_request *q)
{
  double far = r->near_data ? 0 : FAR_PENALTY;
  if (q->fills)
    return far + HARM_WEIGHT * r->harm + (r->lasting_millicores == 0 ? EMPTY_COST : 0)
           - unused_millicores (r) / r->millicores;
  if (q->lasts)
    far += FOREIGN_PENALTY * r->foreign;
  return far + undeclared_millicores (r) - q->millicores;
}

size_t
spread_reserve (const struct spread_row *rows, size_t count, const struct spread_request *q)
{
  size_t best = SPREAD_NONE;
  for (size_t i = 0; i < count; i++)
    {
      const struct spread_row *r = &rows[i];
      bool room = r->lasting_millicores + q->millicores <= r->millicores
                  && r->free_memory_mb >= q->memory_mb && r->free_accelerators >= q->accelerators;
      bool allowed = q->max_per_worker == 0 || r->same_step < q->max_per_worker;
      if (!r->usable || r->reserved || !room || !allowed)
        continue;
      if (best == SPREAD_NONE || r->short_millicores < rows[best].short_millicores)
        best = i;
    }
  return best;
}

size_t
spread_choose (const struct spread_row *rows, size_t count, const struct spread_request *q)
{
  size_t best = SPREAD_NONE;
  double best_score = INFINITY;
  for (size_t i = 0; i < count; i++)
    {
      if (!spread_fits (&rows[i], q))
        continue;
      double score = spread_score (&rows[i], q);
      if (score < best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}
