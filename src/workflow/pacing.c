#include "pacing.h"

#define CUT_HARD 1.5 /* over the target by this much: stop at once */

void
pacing_init (struct pacing *p)
{
  *p = (struct pacing){ .percent = PACING_FULL };
}

static uint32_t
cut (uint32_t percent, double worst)
{
  uint32_t next = worst > CUT_HARD ? percent / 4 : percent / 2;
  return next < PACING_FLOOR ? 0 : next;
}

static uint32_t
grow (uint32_t percent)
{
  return percent + PACING_STEP > PACING_FULL ? PACING_FULL : percent + PACING_STEP;
}

bool
pacing_sample (struct pacing *p, int64_t now_ms, double worst)
{
  uint32_t next = p->percent;
  int64_t age_ms = now_ms - p->changed_ms;
  p->worst = worst;
  if (worst > PACING_HIGH && age_ms >= PACING_CUT_MS)
    next = cut (p->percent, worst);
  else if (worst < PACING_LOW && age_ms >= PACING_GROW_MS)
    next = grow (p->percent);
  if (next == p->percent)
    return false;
  p->percent = next;
  p->changed_ms = now_ms;
  return true;
}
