#include "pacing.h"

#define DEEP_CUT_TAIL_RATIO 1.5 /* tail / target above which a cut quarters the share */

void
pacing_init (struct pacing *p)
{
  *p = (struct pacing){ .percent = PACING_FULL_PERCENT };
}

static uint32_t
cut (uint32_t percent, double worst_tail)
{
  uint32_t next = worst_tail > DEEP_CUT_TAIL_RATIO ? percent / 4 : percent / 2;
  return next < PACING_MIN_PERCENT ? 0 : next;
}

static uint32_t
grow (uint32_t percent)
{
  return percent + PACING_STEP_PERCENT > PACING_FULL_PERCENT ? PACING_FULL_PERCENT
                                                             : percent + PACING_STEP_PERCENT;
}

bool
pacing_add_sample (struct pacing *p, int64_t now_ms, double worst_tail)
{
  uint32_t next = p->percent;
  int64_t age_ms = now_ms - p->changed_ms;
  p->worst_tail = worst_tail;
  if (worst_tail <= PACING_CUT_TAIL_RATIO)
    p->over_since_ms = 0;
  else if (p->over_since_ms == 0)
    p->over_since_ms = now_ms;
  if (p->over_since_ms > 0 && now_ms - p->over_since_ms >= PACING_MAX_OVER_MS)
    next = 0;
  else if (worst_tail > PACING_CUT_TAIL_RATIO && age_ms >= PACING_CUT_INTERVAL_MS)
    next = cut (p->percent, worst_tail);
  else if (worst_tail < PACING_GROW_TAIL_RATIO && age_ms >= PACING_GROW_INTERVAL_MS)
    next = grow (p->percent);
  if (next == p->percent)
    return false;
  p->percent = next;
  p->changed_ms = now_ms;
  return true;
}
