#include "overdue.h"

void
overdue_init (struct overdue *o)
{
  *o = (struct overdue){ .answer_ms = 0 };
}

void
overdue_add_answer (struct overdue *o, int64_t took_ms)
{
  o->answer_ms += OVERDUE_SMOOTHING * ((double)took_ms - o->answer_ms);
}

bool
overdue_is (const struct overdue *o, int64_t waited_ms)
{
  return waited_ms >= OVERDUE_MIN_MS && (double)waited_ms >= OVERDUE_FACTOR * o->answer_ms;
}
