#include "size_share.h"

#include <math.h>
#include <string.h>

#define LARGEST_TENTH_QUANTILE 0.9 /* of recent work; from it on a job is SIZE_LARGEST_TENTH */
#define NEXT_FIFTH_QUANTILE 0.7    /* from it on a job is SIZE_NEXT_FIFTH */

void
size_share_init (struct size_share *s, int64_t now_ms)
{
  memset (s, 0, sizeof *s);
  s->decayed_ms = now_ms;
}

static void
decay (struct size_share *s, int64_t now_ms)
{
  double keep = exp2 (-(double)(now_ms - s->decayed_ms) / SIZE_SHARE_HALF_LIFE_MS);
  for (int i = 0; i < SIZE_CLASSES; i++)
    {
      s->arrived[i] *= keep;
      s->started[i] *= keep;
    }
  s->decayed_ms = now_ms;
}

static enum size_class
classify (const struct size_share *s, double work)
{
  size_t count = s->arrivals < SIZE_SHARE_WINDOW_JOBS ? s->arrivals : SIZE_SHARE_WINDOW_JOBS;
  size_t smaller = 0;
  for (size_t i = 0; i < count; i++)
    smaller += s->work[i] < work;
  if ((double)smaller >= LARGEST_TENTH_QUANTILE * (double)count)
    return SIZE_LARGEST_TENTH;
  return (double)smaller >= NEXT_FIFTH_QUANTILE * (double)count ? SIZE_NEXT_FIFTH : SIZE_OTHER;
}

enum size_class
size_share_add_arrival (struct size_share *s, int64_t now_ms, double work)
{
  s->work[s->arrivals++ % SIZE_SHARE_WINDOW_JOBS] = work;
  enum size_class class = classify (s, work);
  decay (s, now_ms);
  s->arrived[class] += 1;
  return class;
}

void
size_share_add_start (struct size_share *s, int64_t now_ms, enum size_class class)
{
  decay (s, now_ms);
  s->started[class] += 1;
}

double
size_share_started_ratio (const struct size_share *s, enum size_class class)
{
  return s->arrived[class] > 0 ? s->started[class] / s->arrived[class] : 0;
}
