#include "worker_health.h"

#include <math.h>

#define CLASS_MAX_OUTCOMES 50.0 /* older outcomes of a class decay beyond this count */
#define QUARANTINE_SCORE 1.4
#define QUARANTINE_FAILURES 2
#define SUCCESS_SCORE_REDUCTION 0.7
#define MAX_SCORE 5.0
#define URGENT_BACKOFF_MS 500
#define BATCH_BACKOFF_MS 2000
#define MAX_BACKOFF_MS 300000
#define MAX_DOUBLINGS 9

void
class_health_record (struct class_health *c, bool success)
{
  double total = c->successes + c->failures;
  if (total >= CLASS_MAX_OUTCOMES)
    {
      c->successes *= 1 - 1 / CLASS_MAX_OUTCOMES;
      c->failures *= 1 - 1 / CLASS_MAX_OUTCOMES;
    }
  if (success)
    c->successes++;
  else
    c->failures++;
}

double
class_health_success_rate (const struct class_health *c)
{
  return (c->successes + 1) / (c->successes + c->failures + 2);
}

static void
extend_backoff (struct worker_health *h, int64_t now_ms)
{
  int64_t next = h->backoff_ms ? 2 * h->backoff_ms : WORKER_HEALTH_MIN_PROBE_BACKOFF_MS;
  h->backoff_ms
      = next < WORKER_HEALTH_MAX_PROBE_BACKOFF_MS ? next : WORKER_HEALTH_MAX_PROBE_BACKOFF_MS;
  h->probe_at_ms = now_ms + h->backoff_ms;
  h->probing = false;
}

bool
worker_health_on_failure (struct worker_health *h, const struct class_health *c, int64_t now_ms,
                          bool may_quarantine)
{
  double weight = class_health_success_rate (c);
  h->failures++;
  h->score = fmin (h->score + weight, MAX_SCORE);
  if (h->quarantined)
    {
      extend_backoff (h, now_ms);
      return false;
    }
  if (!may_quarantine || h->failures < QUARANTINE_FAILURES || h->score < QUARANTINE_SCORE)
    return false;
  h->quarantined = true;
  extend_backoff (h, now_ms);
  return true;
}

bool
worker_health_on_success (struct worker_health *h)
{
  bool ended = h->quarantined;
  h->failures = 0;
  h->score *= 1 - SUCCESS_SCORE_REDUCTION;
  h->quarantined = false;
  h->probing = false;
  /* The back-off is halved, not reset: a worker that soon fails again waits longer.  */
  h->backoff_ms /= 2;
  if (h->backoff_ms < WORKER_HEALTH_MIN_PROBE_BACKOFF_MS / 2)
    h->backoff_ms = 0;
  return ended;
}

bool
worker_health_usable (const struct worker_health *h, int64_t now_ms)
{
  return !h->quarantined || (!h->probing && now_ms >= h->probe_at_ms);
}

void
worker_health_begin_probe (struct worker_health *h)
{
  h->probing = h->quarantined;
}

void
worker_health_cancel_probe (struct worker_health *h, int64_t now_ms)
{
  if (!h->probing)
    return;
  h->probing = false;
  h->probe_at_ms = now_ms;
}

uint32_t
worker_health_crash_backoff (uint32_t failures, bool urgent)
{
  uint32_t doublings = failures < MAX_DOUBLINGS ? failures : MAX_DOUBLINGS;
  uint32_t delay = (urgent ? URGENT_BACKOFF_MS : BATCH_BACKOFF_MS) << doublings;
  return delay < MAX_BACKOFF_MS ? delay : MAX_BACKOFF_MS;
}
