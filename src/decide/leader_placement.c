#include "leader_placement.h"

#include <stdlib.h>

void
leader_placement_init (struct leader_placement *p)
{
  *p = (struct leader_placement){ .shortest_ms = INT64_MAX,
                                  .backoff_ms = LEADER_PLACEMENT_BACKOFF_MS };
}

void
leader_placement_elected (struct leader_placement *p)
{
  p->rounds = 0;
  p->shortest_ms = INT64_MAX;
}

bool
leader_placement_round (struct leader_placement *p, int64_t now_ms, int64_t duration_ms)
{
  p->rounds++;
  if (duration_ms < p->shortest_ms)
    p->shortest_ms = duration_ms;
  if (p->rounds < LEADER_PLACEMENT_MIN_ROUNDS || p->shortest_ms < LEADER_PLACEMENT_SLOW_MS
      || now_ms < p->backoff_until_ms)
    return false;
  p->backoff_until_ms = now_ms + p->backoff_ms;
  p->backoff_ms = 2 * p->backoff_ms < LEADER_PLACEMENT_MAX_BACKOFF_MS
                      ? 2 * p->backoff_ms
                      : LEADER_PLACEMENT_MAX_BACKOFF_MS;
  return true;
}

static int
compare_distance (const void *a, const void *b)
{
  const struct voter_distance *x = a;
  const struct voter_distance *y = b;
  return (x->answer_ms > y->answer_ms) - (x->answer_ms < y->answer_ms);
}

struct voter_distance
leader_placement_quorum (struct voter_distance *others, size_t count)
{
  size_t needed = (count + 1) / 2; /* beside this voter */
  qsort (others, count, sizeof *others, compare_distance);
  return others[needed - 1];
}

bool
leader_placement_far_round (struct leader_placement *p, int64_t now_ms, int64_t duration_ms,
                            int64_t distance_ms)
{
  return leader_placement_round (p, now_ms, duration_ms < distance_ms ? duration_ms : distance_ms);
}
