#include "account_share.h"

#include <math.h>

#define MILLI 1000.0
#define MS_PER_S 1000.0
#define MAX_STEP_MS 1000 /* of service; the leader may have been paused */

void
account_share_init (struct account_share *s)
{
  *s = (struct account_share){ .jobs = -1 };
}

static double
max_jobs (uint64_t weight_milli)
{
  double burst = ACCOUNT_BURST_S * (double)weight_milli / MILLI;
  if (weight_milli == 0)
    return 0;
  return burst > ACCOUNT_MIN_BURST_JOBS ? burst : ACCOUNT_MIN_BURST_JOBS;
}

static double
jobs_at (const struct account_share *s, int64_t now_ms, uint64_t weight_milli)
{
  double jobs = s->jobs + (double)(now_ms - s->jobs_ms) / MS_PER_S * (double)weight_milli / MILLI;
  double limit = max_jobs (weight_milli);
  return s->jobs < 0 || jobs > limit ? limit : jobs;
}

bool
account_share_add_job (struct account_share *s, int64_t now_ms, uint64_t weight_milli)
{
  double jobs = jobs_at (s, now_ms, weight_milli);
  bool within = jobs >= 1;
  s->jobs = within ? jobs - 1 : jobs;
  s->jobs_ms = now_ms;
  return within;
}

int64_t
account_share_wait_ms (const struct account_share *s, int64_t now_ms, uint64_t weight_milli)
{
  double missing = 1 - jobs_at (s, now_ms, weight_milli);
  if (missing <= 0)
    return 0;
  if (weight_milli == 0)
    return INT64_MAX;
  return (int64_t)ceil (missing * MS_PER_S * MILLI / (double)weight_milli);
}

void
account_share_add_service (struct account_share *s, int64_t now_ms, double dominant_share)
{
  int64_t step_ms = s->served_ms > 0 ? now_ms - s->served_ms : 0;
  double keep = exp2 (-(double)step_ms / ACCOUNT_HALF_LIFE_MS);
  int64_t used_ms = step_ms < MAX_STEP_MS ? step_ms : MAX_STEP_MS;
  s->served = s->served * keep + dominant_share * (double)used_ms / MS_PER_S;
  s->served_ms = now_ms;
}

int
account_share_level (const struct account_share *s, uint64_t weight_milli, double mean)
{
  if (weight_milli == 0)
    return ACCOUNT_MAX_LEVEL;
  if (mean <= 0)
    return 0;
  double level = ACCOUNT_LEVELS_PER_MEAN * s->served * MILLI / (double)weight_milli / mean;
  return level < ACCOUNT_MAX_LEVEL ? (int)level : ACCOUNT_MAX_LEVEL;
}
