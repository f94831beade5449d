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
  static const char *const names[SHORT_STAGES]
      = { "wait", "place", "start", "run", "commit", "job" };
  struct buffer text;
  buffer_init (&text);
  for (int i = 0; i < SHORT_STAGES; i++)
    buffer_printf (&text, " %s=%.4g/%.4g", names[i],
                   short_stages_quantile (s, (enum short_stage)i, 0.5),
                   short_stages_quantile (s, (enum short_stage)i, 0.95));
  log_state (
      "short-stages", "tasks=%llu%.*s",
      (unsigned long long)(totals[SHORT_STAGE_WAIT].count - s->before[SHORT_STAGE_WAIT].count),
      (int)text.len, text.data);
  buffer_close (&text);
  for (int i = 0; i < SHORT_STAGES; i++)
    s->before[i] = totals[i];
}
