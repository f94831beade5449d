#include "retry.h"

#include <math.h>
#include <string.h>

#define BUCKET_BASE_MS 0.1
#define BUCKET_RATIO 1.2
#define DECAY_INTERVAL_MS 10000
#define DECAY_FACTOR 0.5
#define TIMEOUT_QUANTILE 0.99
#define TIMEOUT_FACTOR 3.0
#define TIMEOUT_GROWTH 2.0
#define HEDGE_QUANTILE 0.99

void
retry_budget_init (struct retry_budget *b)
{
  memset (b, 0, sizeof *b);
}

void
retry_budget_request (struct retry_budget *b)
{
  b->requests++;
  b->tokens += RETRY_BUDGET_RATIO;
  if (b->tokens > RETRY_BUDGET_MAX)
    b->tokens = RETRY_BUDGET_MAX;
}

bool
retry_budget_take (struct retry_budget *b)
{
  if (!b->unlimited && b->tokens < 1.0)
    return false;
  b->tokens -= 1.0;
  b->retries++;
  return true;
}

bool
retry_allowed (const struct retry_request *q, enum retry_cause cause, int64_t now_ms)
{
  if (q->answer_begun || !q->replayable)
    return false;
  if (q->tries >= RETRY_MAX_TRIES || now_ms >= q->deadline_ms)
    return false;
  return cause != RETRY_FAILED || q->idempotent;
}

bool
retry_hedge_allowed (const struct retry_request *q, bool urgent)
{
  return urgent && q->idempotent && q->replayable && !q->answer_begun && q->tries == 1;
}

bool
retry_method_idempotent (const char *method)
{
  static const char *const names[] = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" };
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcmp (method, names[i]) == 0)
      return true;
  return false;
}

int64_t
retry_backoff_ms (struct rng *rng, unsigned tries)
{
  int64_t top = RETRY_BACKOFF_BASE_MS;
  for (unsigned i = 1; i < tries && top < RETRY_BACKOFF_MAX_MS; i++)
    top *= 2;
  if (top > RETRY_BACKOFF_MAX_MS)
    top = RETRY_BACKOFF_MAX_MS;
  return rng_between (rng, 0, top);
}

static int
bucket_of (double ms)
{
  if (ms <= BUCKET_BASE_MS)
    return 0;
  int i = (int)ceil (log (ms / BUCKET_BASE_MS) / log (BUCKET_RATIO));
  return i < RETRY_BUCKETS ? i : RETRY_BUCKETS - 1;
}

void
retry_latency_add (struct retry_latency *l, double ms, int64_t now_ms)
{
  if (now_ms - l->decayed_ms >= DECAY_INTERVAL_MS)
    {
      for (int i = 0; i < RETRY_BUCKETS; i++)
        l->buckets[i] *= DECAY_FACTOR;
      l->count *= DECAY_FACTOR;
      l->decayed_ms = now_ms;
    }
  l->buckets[bucket_of (ms)] += 1.0;
  l->count += 1.0;
}

/* Answers cut off by the timeout never enter the histogram, so without this sample a timeout that
   is too short would never grow.  */
void
retry_latency_add_timeout (struct retry_latency *l, int64_t waited_ms, int64_t now_ms)
{
  retry_latency_add (l, TIMEOUT_GROWTH * (double)waited_ms, now_ms);
}

double
retry_latency_quantile (const struct retry_latency *l, double q)
{
  double seen = 0.0;
  if (l->count < RETRY_MIN_SAMPLES)
    return 0.0;
  for (int i = 0; i < RETRY_BUCKETS; i++)
    {
      seen += l->buckets[i];
      if (seen >= q * l->count)
        return BUCKET_BASE_MS * pow (BUCKET_RATIO, i);
    }
  return BUCKET_BASE_MS * pow (BUCKET_RATIO, RETRY_BUCKETS - 1);
}

int64_t
retry_try_timeout_ms (const struct retry_latency *l)
{
  double ms = retry_latency_quantile (l, TIMEOUT_QUANTILE) * TIMEOUT_FACTOR;
  if (ms <= 0.0 || ms > RETRY_TIMEOUT_MAX_MS)
    return RETRY_TIMEOUT_MAX_MS;
  return ms < RETRY_TIMEOUT_MIN_MS ? RETRY_TIMEOUT_MIN_MS : (int64_t)ms;
}

int64_t
retry_hedge_delay_ms (const struct retry_latency *l)
{
  double ms = retry_latency_quantile (l, HEDGE_QUANTILE);
  if (ms <= 0.0)
    return 0;
  return ms < RETRY_HEDGE_MIN_MS ? RETRY_HEDGE_MIN_MS : (int64_t)ceil (ms);
}
