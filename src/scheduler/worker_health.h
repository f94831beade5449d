/* worker_health: tells failing workers from failing jobs.

   A failure counts against the worker in proportion to the success rate of its class on other
   workers; a class that fails everywhere says nothing about the worker.  A success reduces the
   score.  A worker over the limit is quarantined: it gets no task, then after a back-off one probe
   task at a time. A probe that succeeds ends the quarantine; one that fails doubles the back-off.
 */

#ifndef SASSAFRAS_WORKER_HEALTH_H
#define SASSAFRAS_WORKER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define WORKER_HEALTH_MIN_PROBE_BACKOFF_MS 30000
#define WORKER_HEALTH_MAX_PROBE_BACKOFF_MS (1800LL * 1000)
/* A job ends FAILED after failures on this many distinct healthy workers.  */
#define WORKER_HEALTH_JOB_FAILED_WORKERS 3
/* Largest share of the workers in quarantine: beyond it a common cause is more likely.  */
#define WORKER_HEALTH_MAX_QUARANTINED_SHARE 0.3

/* Outcomes of a class of jobs over all workers, decayed by count.  */
struct class_health
{
  double successes;
  double failures;
};

struct worker_health
{
  double score;      /* sum of weighted failures, reduced by successes */
  uint32_t failures; /* consecutive */
  bool quarantined;
  bool probing;        /* its only probe is running */
  int64_t probe_at_ms; /* earliest start of the next probe */
  int64_t backoff_ms;
};

void class_health_record (struct class_health *c, bool success);
double
class_health_success_rate (const struct class_health *c); /* Chance of success, 0.5 when unknown. */
bool worker_health_on_failure (struct worker_health *h, const struct class_health *c,
                               int64_t now_ms,
                               bool may_quarantine);     /* True when a quarantine begins. */
bool worker_health_on_success (struct worker_health *h); /* True when a quarantine ends. */
bool worker_health_usable (const struct worker_health *h,
                           int64_t now_ms); /* May get a task: healthy, or due for a probe. */
void worker_health_begin_probe (struct worker_health *h); /* A quarantined worker got its probe. */
void worker_health_cancel_probe (struct worker_health *h,
                                 int64_t now_ms); /* The probe ended without a result. */
uint32_t worker_health_crash_backoff (uint32_t failures, bool urgent); /* Restart delay in ms. */

#endif
