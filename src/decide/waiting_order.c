#include "waiting_order.h"

/* Lasting tasks keep their value.  */
static bool
is_expired (const struct waiting_facts *f)
{
  return !f->is_lasting && f->now_ms > f->seen_ms + WAITING_EXPIRED_FACTOR * f->objective_ms;
}

struct waiting_key
waiting_key_of (const struct waiting_facts *f)
{
  struct waiting_key k = { .priority = f->priority,
                           .is_fill = f->is_fill,
                           .started = f->started,
                           .account_level = f->started ? 0 : f->account_level,
                           .started_ratio = f->started_ratio,
                           .latest_start_ms = f->seen_ms + f->objective_ms - f->remain_ms };
  if (f->is_lasting && f->has_run && f->now_ms - f->since_ms >= WAITING_RESTART_MS)
    k.rank = WAITING_RESTART;
  else if (f->beyond && !is_expired (f))
    k.rank = WAITING_BEYOND;
  else if (f->is_lasting)
    k.rank = WAITING_LASTING;
  else if (is_expired (f))
    k.rank = WAITING_EXPIRED;
  else if (f->now_ms > k.latest_start_ms && !(f->is_fill && f->started))
    k.rank = WAITING_LATE;
  else
    k.rank = f->is_fill ? WAITING_FILL : WAITING_SHORT;
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
  if (a->account_level != b->account_level)
    return a->account_level < b->account_level ? -1 : 1;
  bool newest_first = a->rank == WAITING_FILL && !a->started;
  if (newest_first && a->started_ratio != b->started_ratio)
    return a->started_ratio < b->started_ratio ? -1 : 1;
  if (a->latest_start_ms == b->latest_start_ms)
    return 0;
  return (a->latest_start_ms < b->latest_start_ms) != newest_first ? -1 : 1;
}
