#include "size_share.h"

#include <math.h>
#include <string.h>

#define TENTH 0.9      /* quantile from which a job is of the largest tenth */
#define NEXT_FIFTH 0.7 /* and of the fifth below it */

void
size_share_init (struct size_share *s, int64_t now_ms)
{
  memset (s, 0, sizeof *s);
  s->aged_ms = now_ms;
}

static void
age (struct size_share *s, int64_t now_ms)
{
  double keep = exp2 (-(double)(now_ms - s->aged_ms) / SIZE_SHARE_HALF_MS);
  for (int i = 0; i < SIZE_CLASSES; i++)
    {
      s->arrived[i] *= keep;
      s->started[i] *= keep;
    }
  s->aged_ms = now_ms;
}

static enum size_class
classify (const struct size_share *s, double work)
{
  size_t count = s->seen < SIZE_SHARE_RECENT ? s->seen : SIZE_SHARE_RECENT;
  size_t smaller = 0;
  for (size_t i = 0; i < count; i++)
    smaller += s->work[i] < work;
  if ((double)smaller >= TENTH * (double)count)
    return SIZE_LARGEST_TENTH;
  return (double)smaller >= NEXT_FIFTH * (double)count ? SIZE_NEXT_FIFTH : SIZE_OTHER;
}

enum size_class
size_share_arrive (struct size_share *s, int64_t now_ms, double work)
{
  s->work[s->seen++ % SIZE_SHARE_RECENT] = work;
  enum size_class class = classify (s, work);
  age (s, now_ms);
  s->arrived[class] += 1;
  return class;
}

void
size_share_start (struct size_share *s, int64_t now_ms, enum size_class class)
{
  age (s, now_ms);
  s->started[class] += 1;
}

double
size_share_of (const struct size_share *s, enum size_class class)
{
  return s->arrived[class] > 0 ? s->started[class] / s->arrived[class] : 0;
}
