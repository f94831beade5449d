/* short_stages: where the time of short tasks goes on the leader.

   A job of a few steps of short tasks ends in time only if each stage takes milliseconds.  The
   histograms hold all tasks since the start of the process; the log event "short-stages" has the
   50th and 95th percentile of each stage since the previous event, as upper bounds of the
   histogram's buckets.  Times are in ms on the leader's clock and are up to one dispatcher tick
   too small or too large.  */

#ifndef SASSAFRAS_SHORT_STAGES_H
#define SASSAFRAS_SHORT_STAGES_H

#include <stdint.h>

#include "counters.h"

enum short_stage
{
  SHORT_STAGE_WAIT,   /* due, until a worker is chosen */
  SHORT_STAGE_PLACE,  /* until the placement is committed and the start order sent */
  SHORT_STAGE_START,  /* until the worker is known to run it */
  SHORT_STAGE_RUN,    /* until the worker lists its end */
  SHORT_STAGE_COMMIT, /* until the end is committed */
  SHORT_STAGE_JOB,    /* a whole job: first seen, until its last task is done */
  SHORT_STAGES,
};

struct short_stages
{
  struct histogram before[SHORT_STAGES]; /* at the previous event */
};

void short_stages_add (enum short_stage stage, int64_t ms);
/* Percentile Q of STAGE since the previous event, 0 without a sample.  */
double short_stages_quantile (const struct short_stages *s, enum short_stage stage, double q);
void short_stages_log (struct short_stages *s); /* Logs an event and begins the next period. */

#endif
