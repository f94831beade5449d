#include "short_stages.h"

#include "log.h"

#define HELP "Time of a short task in a stage on the leader."

static struct histogram totals[SHORT_STAGES]
    = { [SHORT_STAGE_WAIT] = { .name = "sassafras_short_wait_ms", .help = HELP },
        [SHORT_STAGE_PLACE] = { .name = "sassafras_short_place_ms", .help = HELP },
        [SHORT_STAGE_START] = { .name = "sassafras_short_start_ms", .help = HELP },
        [SHORT_STAGE_RUN] = { .name = "sassafras_short_run_ms", .help = HELP },
        [SHORT_STAGE_COMMIT] = { .name = "sassafras_short_commit_ms", .help = HELP },
        [SHORT_STAGE_JOB] = { .name = "sassafras_short_job_ms",
                              .help = "Time of a job of short tasks on the leader." } };

void
short_stages_add (enum short_stage stage, int64_t ms)
{
  histogram_add (&totals[stage], (double)(ms > 0 ? ms : 0));
}

double
short_stages_quantile (const struct short_stages *s, enum short_stage stage, double q)
{
  struct histogram h = { .count = totals[stage].count - s->before[stage].count };
  for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
    h.buckets[i] = totals[stage].buckets[i] - s->before[stage].buckets[i];
  return histogram_quantile (&h, q);
}

void
short_stages_log (struct short_stages *s)
{
  double p50[SHORT_STAGES];
  double p95[SHORT_STAGES];
  for (int i = 0; i < SHORT_STAGES; i++)
    {
      p50[i] = short_stages_quantile (s, (enum short_stage)i, 0.5);
      p95[i] = short_stages_quantile (s, (enum short_stage)i, 0.95);
    }
  log_event (
      LOG_INFO, "short-stages",
      "tasks=%llu jobs=%llu wait=%.4g/%.4g place=%.4g/%.4g start=%.4g/%.4g run=%.4g/%.4g"
      " commit=%.4g/%.4g job=%.4g/%.4g",
      (unsigned long long)(totals[SHORT_STAGE_WAIT].count - s->before[SHORT_STAGE_WAIT].count),
      (unsigned long long)(totals[SHORT_STAGE_JOB].count - s->before[SHORT_STAGE_JOB].count),
      p50[0], p95[0], p50[1], p95[1], p50[2], p95[2], p50[3], p95[3], p50[4], p95[4], p50[5],
      p95[5]);
  for (int i = 0; i < SHORT_STAGES; i++)
    s->before[i] = totals[i];
}
