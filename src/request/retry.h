/* retry: which tries may be repeated, how often and when, and the timeout of a try.

   The budget earns RETRY_BUDGET_RATIO tokens per request and spends one per retry or hedge, so
   there are at most 1.1 tries per request, whatever fails.  Timeouts and hedge delays come from the
   latencies of recent answers of the same service.

   Does no I/O and reads no clock.  Source: design page section 7.  */

#ifndef SASSAFRAS_RETRY_H
#define SASSAFRAS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "rng.h"

#define RETRY_BUDGET_RATIO 0.1
#define RETRY_BUDGET_MAX 100.0 /* token limit: what 1000 requests earn */
#define RETRY_MAX_TRIES 3
#define RETRY_BACKOFF_BASE_MS 10
#define RETRY_BACKOFF_MAX_MS 250
#define RETRY_TIMEOUT_MIN_MS 100
#define RETRY_TIMEOUT_MAX_MS 30000
#define RETRY_HEDGE_MIN_MS 5
#define RETRY_MIN_SAMPLES 50 /* latencies needed before a quantile is used */
#define RETRY_BUCKETS 96

/* Why a try ended without an answer for the caller.  */
enum retry_cause
{
  RETRY_NOT_SENT, /* no byte reached a runner */
  RETRY_NOT_RUN,  /* the runner reported that the request did not run */
  RETRY_FAILED,   /* bytes were sent; the request may have run */
};

/* State of one request that decides about retries.  */
struct retry_request
{
  bool idempotent;   /* GET, HEAD, OPTIONS, PUT or DELETE, and not unrepeatable */
  bool replayable;   /* its body is still buffered from the first byte */
  bool answer_begun; /* part of an answer was sent to the caller */
  unsigned tries;    /* tries started so far */
  int64_t deadline_ms;
};

struct retry_budget
{
  double tokens;
  uint64_t requests;
  uint64_t retries;
  bool unlimited; /* baseline for benchmarks: naive retry */
};

/* Histogram of latencies: each bound is 1.2 times the one before, counts halve every 10 s.  */
struct retry_latency
{
  double buckets[RETRY_BUCKETS];
  double count;
  int64_t decayed_ms;
};

void retry_budget_init (struct retry_budget *b);    /* Starts empty. */
void retry_budget_request (struct retry_budget *b); /* Earns the tokens of one request. */
bool retry_budget_take (struct retry_budget *b);    /* Spends a token; false when none is left. */
bool retry_allowed (const struct retry_request *q, enum retry_cause cause,
                    int64_t now_ms); /* Whether a retry is safe, regardless of the budget. */
bool retry_hedge_allowed (const struct retry_request *q,
                          bool urgent);            /* Whether a hedge is safe and useful. */
bool retry_method_idempotent (const char *method); /* By RFC 9110 section 9.2.2. */
int64_t retry_backoff_ms (struct rng *rng, unsigned tries); /* Jittered wait before the next try. */
void retry_latency_add (struct retry_latency *l, double ms,
                        int64_t now_ms); /* One answer's time to its first byte. */
double retry_latency_quantile (const struct retry_latency *l,
                               double q); /* 0 with too few samples. */
void retry_latency_add_timeout (struct retry_latency *l, int64_t waited_ms,
                                int64_t now_ms);              /* A try timed out after WAITED_MS. */
int64_t retry_try_timeout_ms (const struct retry_latency *l); /* For a try that may be repeated. */
int64_t
retry_hedge_delay_ms (const struct retry_latency *l); /* 0 with too few samples: do not hedge. */

#endif
