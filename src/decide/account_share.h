/* account_share: what a client account may send by its weight, and what it has been served.  Pure.

   Load pattern: accounts of very different size share a pool that is full at times.  One floods it,
   or one large account stands beside many small ones; without shares the order of arrival gives the
   pool to whoever sends most.

   Rate.  An account's weight is a number of jobs a second.  A token bucket of ACCOUNT_BURST_S holds
   what it may send at once; a job that finds it empty is beyond the weight and takes none.

   Service.  The dominant share of an account is its largest share of the pool's processors, memory
   or accelerators.  Its integral over time, per weight, decays with a half-life of
   ACCOUNT_HALF_LIFE_MS, so an account that was idle goes first for a while, and not for longer.
   Levels are steps of that figure relative to the mean of all accounts: within a step the order is
   the one without accounts.  Tasks that last are not counted: the cap bounds them, and an account
   must not wait with its short tasks for as long as they run.  */

#ifndef SASSAFRAS_ACCOUNT_SHARE_H
#define SASSAFRAS_ACCOUNT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#define ACCOUNT_BURST_S 2.0          /* of the weight may come at once */
#define ACCOUNT_MIN_BURST_JOBS 2.0   /* of a weight below one job a second */
#define ACCOUNT_HALF_LIFE_MS 20000.0 /* two objectives of a typical fill-in job */
#define ACCOUNT_LEVELS_PER_MEAN 1    /* steps up to the mean service per weight */
#define ACCOUNT_MAX_LEVEL 4          /* four times the mean, and more */

struct account_share
{
  double jobs;     /* that may come now; negative before the first */
  int64_t jobs_ms; /* as of then */
  double served;   /* dominant share x seconds, decayed */
  int64_t served_ms;
};

void account_share_init (struct account_share *s);
/* Counts a job; true if it is within WEIGHT_MILLI, thousandths of a job a second.  */
bool account_share_add_job (struct account_share *s, int64_t now_ms, uint64_t weight_milli);
/* Time until one more job is within the weight; 0: now, INT64_MAX: never (weight 0).  */
int64_t account_share_wait_ms (const struct account_share *s, int64_t now_ms,
                               uint64_t weight_milli);
/* DOMINANT_SHARE (0 to 1) was in use since the last call, which may be long ago.  */
void account_share_add_service (struct account_share *s, int64_t now_ms, double dominant_share);
/* Served per weight, relative to the mean: 0 least to ACCOUNT_MAX_LEVEL.  MEAN is the sum of SERVED
   of all accounts, divided by the sum of their weights.  */
int account_share_level (const struct account_share *s, uint64_t weight_milli, double mean);

#endif
