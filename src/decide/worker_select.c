#include "worker_select.h"

#include <math.h>

#define INTERFERENCE_WEIGHT 2.0  /* penalty at the loss limit; an unused worker gains 1 */
#define LASTING_CRASH_WEIGHT 4.0 /* lasting tasks lose their service, others only run time */
#define FOREIGN_PENALTY 1e5      /* above any gap in millicores */
#define EMPTY_FOREIGN_SHARE 0.3  /* an empty worker is preferred to one with a higher share */
/* Workers without lasting tasks are left to fill-in images that slow every serving image.  */
#define EMPTY_WORKER_PENALTY 1.5
/* Data on another rack doubles the run time, so any worker near the data goes first.  */
#define REMOTE_DATA_PENALTY 1e6
#define PROBE_PENALTY 1e7 /* the run is stopped at once: any other worker goes first */

static double
unused_millicores (const struct worker_candidate *r)
{
  return (double)r->millicores - LASTING_USE_RATIO * r->lasting_millicores - r->short_millicores
         - r->fill_millicores;
}

static double
undeclared_millicores (const struct worker_candidate *r)
{
  return (double)r->millicores - r->lasting_millicores - r->short_millicores;
}

double
worker_select_foreign_share (uint32_t lasting_millicores, uint32_t foreign_millicores)
{
  if (lasting_millicores == 0)
    return EMPTY_FOREIGN_SHARE;
  return (double)foreign_millicores / lasting_millicores;
}

enum worker_obstacle
worker_select_obstacle (const struct worker_candidate *r, const struct worker_request *q)
{
  if (!r->usable)
    return WORKER_NOT_USABLE;
  if (r->isolated)
    return WORKER_ISOLATED;
  if (r->free_memory_mb < q->memory_mb)
    return WORKER_MEMORY;
  if (r->free_accelerators < q->accelerators)
    return WORKER_ACCELERATORS;
  if (q->is_isolated && !r->answering)
    return WORKER_UNANSWERED;
  if (r->avoided && !q->allow_avoided)
    return WORKER_AVOIDED;
  if (r->may_lose_ends && !q->is_repeatable && (r->probed || !q->can_probe))
    return WORKER_MAY_LOSE_ENDS;
  if (q->max_per_worker > 0 && r->same_step >= q->max_per_worker)
    return WORKER_STEP_LIMIT;
  if (r->reserved && !q->is_fill && !q->is_restart)
    return WORKER_RESERVED;
  if (!q->is_fill)
    return undeclared_millicores (r) >= q->millicores ? WORKER_FITS : WORKER_PROCESSORS;
  bool undisturbed = r->tail_ratio <= FILL_MAX_TAIL_RATIO && r->interference <= 1;
  if (!undisturbed && !q->allow_interference)
    return WORKER_TAILS;
  return unused_millicores (r) >= FILL_MIN_UNUSED_RATIO * q->millicores ? WORKER_FITS
                                                                        : WORKER_PROCESSORS;
}

const char *
worker_obstacle_text (enum worker_obstacle o)
{
  static const char *const texts[WORKER_OBSTACLES]
      = { [WORKER_FITS] = "fits",
          [WORKER_NOT_USABLE] = "other pool, no such label, or not in use",
          [WORKER_ISOLATED] = "a task that may crash it was just started there",
          [WORKER_MEMORY] = "not enough memory",
          [WORKER_ACCELERATORS] = "not enough accelerators",
          [WORKER_UNANSWERED] = "an order has no answer",
          [WORKER_AVOIDED] = "what was started there failed",
          [WORKER_MAY_LOSE_ENDS] = "it restarted and may lose ends",
          [WORKER_STEP_LIMIT] = "as many tasks of the step as may run there",
          [WORKER_RESERVED] = "reserved for a lasting task that restarts",
          [WORKER_PROCESSORS] = "not enough processors",
          [WORKER_TAILS] = "lasting tasks there are near their target" };
  return o < WORKER_OBSTACLES ? texts[o] : "";
}

bool
worker_select_fits (const struct worker_candidate *r, const struct worker_request *q)
{
  return worker_select_obstacle (r, q) == WORKER_FITS;
}

double
worker_select_score (const struct worker_candidate *r, const struct worker_request *q)
{
  double penalty = r->near_data ? 0 : REMOTE_DATA_PENALTY;
  if (r->may_lose_ends && !q->is_repeatable)
    penalty += PROBE_PENALTY;
  if (q->is_isolated)
    return penalty + LASTING_CRASH_WEIGHT * r->lasting_millicores + r->short_millicores
           + r->fill_millicores;
  if (q->is_fill)
    return penalty + INTERFERENCE_WEIGHT * r->interference
           + (r->lasting_millicores == 0 ? EMPTY_WORKER_PENALTY : 0)
           - unused_millicores (r) / r->millicores;
  if (q->is_lasting)
    penalty += FOREIGN_PENALTY * r->foreign_share;
  return penalty + undeclared_millicores (r) - q->millicores;
}

/* The task fits on R beside the lasting tasks there.  */
static bool
fits_beside_lasting (const struct worker_candidate *r, const struct worker_request *q)
{
  bool allowed = q->max_per_worker == 0 || r->same_step < q->max_per_worker;
  return r->usable && !r->avoided && (!r->may_lose_ends || q->is_repeatable) && allowed
         && r->free_memory_mb >= q->memory_mb && r->free_accelerators >= q->accelerators
         && (uint64_t)r->lasting_millicores + q->millicores <= r->millicores;
}

bool
worker_select_can_wait (const struct worker_candidate *candidates, size_t count,
                        const struct worker_request *q)
{
  for (size_t i = 0; i < count; i++)
    if (fits_beside_lasting (&candidates[i], q))
      return true;
  return false;
}

size_t
worker_select_reserve (const struct worker_candidate *candidates, size_t count,
                       const struct worker_request *q)
{
  size_t best = WORKER_SELECT_NONE;
  for (size_t i = 0; i < count; i++)
    {
      const struct worker_candidate *r = &candidates[i];
      if (r->reserved || !fits_beside_lasting (r, q))
        continue;
      if (best == WORKER_SELECT_NONE || r->short_millicores < candidates[best].short_millicores)
        best = i;
    }
  return best;
}

double
worker_select_rate (const struct worker_candidate *r, const struct worker_request *q)
{
  return worker_select_fits (r, q) ? worker_select_score (r, q) : INFINITY;
}

size_t
worker_select_least (const double *scores, size_t count)
{
  size_t best = WORKER_SELECT_NONE;
  double best_score = INFINITY;
  for (size_t i = 0; i < count; i++)
    if (scores[i] < best_score)
      {
        best = i;
        best_score = scores[i];
      }
  return best;
}
