#include "place_wait.h"

#include <math.h>
#include <stdlib.h>

#define MAX_RATIO 20.0 /* limits the weight of one stuck run */

void
place_run_times_init (struct place_run_times *r, double factor)
{
  *r = (struct place_run_times){ .near = 1, .remote = factor };
}

void
place_run_times_add (struct place_run_times *r, bool near, int64_t run_ms, int64_t estimate_ms)
{
  double *ratio = near ? &r->near : &r->remote;
  if (estimate_ms <= 0)
    return;
  double sample = (double)run_ms / (double)estimate_ms;
  if (sample > MAX_RATIO)
    sample = MAX_RATIO;
  *ratio += PLACE_SMOOTHING * (sample - *ratio);
}

static double
decayed (const struct place_demand *d, int64_t now_ms)
{
  return d->tasks * exp2 (-(double)(now_ms - d->decayed_ms) / PLACE_HALF_LIFE_MS);
}

void
place_demand_add (struct place_demand *d, int64_t now_ms)
{
  d->tasks = decayed (d, now_ms) + 1;
  d->decayed_ms = now_ms;
}

double
place_demand_load (const struct place_demand *d, int64_t now_ms, int64_t run_ms, double slots)
{
  /* With a steady rate the decayed count is rate x half-life / ln 2.  */
  double per_ms = decayed (d, now_ms) * M_LN2 / PLACE_HALF_LIFE_MS;
  return slots > 0 ? per_ms * (double)run_ms / slots : INFINITY;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

int64_t
place_wait_predict (int64_t *ends_ms, size_t count, size_t ahead)
{
  if (ahead >= count)
    return INT64_MAX;
  qsort (ends_ms, count, sizeof *ends_ms, compare_times);
  return ends_ms[ahead];
}

bool
place_wait_pays (const struct place_wait_facts *f)
{
  if (f->predicted_ms == INT64_MAX || f->load >= 1)
    return false;
  double gain_ms = (double)(f->remote_ms - f->near_ms) * (1 - f->load);
  bool late_by_waiting = f->remote_ms <= f->left_ms && f->predicted_ms + f->near_ms > f->left_ms;
  return !late_by_waiting && (double)(f->waited_ms + f->predicted_ms) < gain_ms;
}
