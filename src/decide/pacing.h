/* pacing: share of their work that the fill-in tasks of one worker may do.  Pure.

   Load pattern: lasting tasks whose load varies within 10 s, and fill-in tasks that slow them by an
   amount that is unknown in advance and differs by image.  Samples arrive about every half second
   and are half a second old.

   The share is halved when a sample's tail is over PACING_CUT_TAIL_RATIO of its target, quartered
   over 1.5 times the target, at most once per PACING_CUT_INTERVAL_MS so that the effect is seen
   before the next cut.  It becomes 0 when tails have been over their target for PACING_MAX_OVER_MS.
   It grows by PACING_STEP_PERCENT per PACING_GROW_INTERVAL_MS while all tails
   are under PACING_GROW_TAIL_RATIO.  */

#ifndef SASSAFRAS_PACING_H
#define SASSAFRAS_PACING_H

#include <stdbool.h>
#include <stdint.h>

#define PACING_FULL_PERCENT 100
#define PACING_CUT_TAIL_RATIO 1.0   /* tail / target; over it for four seconds is a violation */
#define PACING_GROW_TAIL_RATIO 0.88 /* tail / target; below it there is capacity for more */
/* A cut shows in samples after 100 ms of delay and 500 ms of averaging.  */
#define PACING_CUT_INTERVAL_MS 700
#define PACING_GROW_INTERVAL_MS 500
/* Four seconds, less the delay and averaging of a cut, and a sample at each end.  */
#define PACING_MAX_OVER_MS 2400
#define PACING_STEP_PERCENT 15
#define PACING_MIN_PERCENT 6 /* a cut to less sets the share to 0: the work stops */

struct pacing
{
  uint32_t percent; /* current share */
  int64_t changed_ms;
  int64_t over_since_ms; /* first sample over the target since the last one that was not; 0: none */
  double worst_tail;     /* largest tail / target of the last sample; 0 without one */
};

void pacing_init (struct pacing *p); /* Full share. */
/* WORST_TAIL is tail / target.  Returns true if the share changed.  */
bool pacing_add_sample (struct pacing *p, int64_t now_ms, double worst_tail);

#endif
