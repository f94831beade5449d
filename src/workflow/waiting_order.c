#include "waiting_order.h"

struct waiting_key
waiting_key_of (const struct waiting_facts *f)
{
  struct waiting_key k = { .priority = f->priority,
                           .fills = f->fills,
                           .started = f->started,
                           .share = f->share,
                           .latest_start_ms = f->seen_ms + f->objective_ms - f->remain_ms };
  if (f->lasts && f->ran && f->now_ms - f->since_ms >= WAITING_RESTART_MS)
    k.rank = WAITING_RESTART;
  else if (f->lasts)
    k.rank = WAITING_LASTING;
  else if (f->now_ms > f->seen_ms + WAITING_LATE_FACTOR * f->objective_ms)
    k.rank = WAITING_EXPIRED;
  else if (f->now_ms > k.latest_start_ms && !(f->fills && f->started))
    k.rank = WAITING_LATE;
  else
    k.rank = f->fills ? WAITING_FILL : WAITING_SHORT;
  return k;
}

int
waiting_compare (const struct waiting_key *a, const struct waiting_key *b)
{
  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  bool started_first = a->rank >= WAITING_FILL;
  if (started_first && a->started != b->started)
    return a->started ? -1 : 1;
  bool newest_first = a->rank == WAITING_FILL && !a->started;
  if (newest_first && a->share != b->share)
    return a->share < b->share ? -1 : 1;
  if (a->latest_start_ms == b->latest_start_ms)
    return 0;
  return (a->latest_start_ms < b->latest_start_ms) != newest_first ? -1 : 1;
}
