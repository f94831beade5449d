/* pacing: how much of their work the fill-in tasks of one worker may do.

   Load pattern: lasting tasks whose load swings within 10 s, beside fill-in tasks that slow them by
   amounts that are unknown in advance and differ by image.  Samples lag by half a second and come
   about every half second.

   The share is halved when a sample's tail is over PACING_CUT_TAIL_RATIO of its target, once a
   PACING_CUT_INTERVAL_MS so that the effect is seen before the next cut, and grows by
   PACING_STEP_PERCENT a second while all tails are under PACING_GROW_TAIL_RATIO.  Pure.  */

#ifndef SASSAFRAS_PACING_H
#define SASSAFRAS_PACING_H

#include <stdbool.h>
#include <stdint.h>

#define PACING_FULL_PERCENT 100   /* percent */
#define PACING_CUT_TAIL_RATIO 1.0 /* of the target: harm counts from there on, after four seconds  \
                                   */
#define PACING_GROW_TAIL_RATIO 0.88 /* of the target: below it there is room for more */
/* A cut shows in samples after 100 ms of delay and 500 ms of averaging.  */
#define PACING_CUT_INTERVAL_MS 700
#define PACING_GROW_INTERVAL_MS 500 /* between two steps up */
#define PACING_STEP_PERCENT 15      /* percent a step up */
#define PACING_MIN_PERCENT 6        /* percent; a cut below it stops the work */

struct pacing
{
  uint32_t percent;   /* share in force */
  int64_t changed_ms; /* time of the last change */
  double worst_tail;  /* largest tail over target of the last sample; 0 without one */
};

void pacing_init (struct pacing *p); /* Full share. */
bool
pacing_add_sample (struct pacing *p, int64_t now_ms,
                   double worst_tail); /* WORST is tail over target; true when the share changed. */

#endif
