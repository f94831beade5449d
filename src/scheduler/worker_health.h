/* worker_health: tells bad workers from bad jobs.

   A failure counts against the worker as far as its class of jobs succeeds on other workers; a
   class that fails everywhere says nothing about the worker.  Success takes weight off.  A worker
   over the limit is quarantined: it gets nothing, then after a back-off one probe task at a time;
   the probe's success ends the quarantine, its failure doubles the back-off.  */

#ifndef SASSAFRAS_WORKER_HEALTH_H
#define SASSAFRAS_WORKER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define WORKER_HEALTH_FIRST_PROBE_MS 30000
#define WORKER_HEALTH_LAST_PROBE_MS (1800LL * 1000)
/* A job ends FAILED after failures on this many distinct healthy workers.  */
#define WORKER_HEALTH_JOB_WORKERS 3
/* At most this share of the workers is in quarantine: beyond it a common cause is likelier.  */
#define WORKER_HEALTH_MAX_SHARE 0.3

/* Success of a class of jobs over all workers, decayed by count.  */
struct class_health
{
  double successes;
  double failures;
};

struct worker_health
{
  double score;      /* weight of unexplained failures */
  uint32_t failures; /* in a row, without a success */
  bool quarantined;
  bool probing;        /* its single probe runs */
  int64_t probe_at_ms; /* when the next probe may start */
  int64_t backoff_ms;
};

void class_health_note (struct class_health *c, bool success);
double class_health_rate (const struct class_health *c); /* Chance of success, 0.5 when unknown. */
bool worker_health_failed (struct worker_health *h, const struct class_health *c, int64_t now_ms,
                           bool may_quarantine);        /* True when quarantine begins. */
bool worker_health_succeeded (struct worker_health *h); /* True when quarantine ends. */
bool worker_health_usable (const struct worker_health *h,
                           int64_t now_ms); /* May get a task: healthy, or due for a probe. */
void worker_health_probe (struct worker_health *h); /* A quarantined worker got its probe. */
void worker_health_probe_void (struct worker_health *h,
                               int64_t now_ms); /* The probe ended without a verdict. */
uint32_t worker_health_crash_backoff (uint32_t failures, bool urgent); /* Delay in ms. */

#endif
