#include "leader_place.h"

void
leader_place_init (struct leader_place *p)
{
  *p = (struct leader_place){ .shortest_ms = INT64_MAX, .rest_ms = LEADER_PLACE_REST_MS };
}

void
leader_place_gained (struct leader_place *p)
{
  p->rounds = 0;
  p->shortest_ms = INT64_MAX;
}

bool
leader_place_round (struct leader_place *p, int64_t now_ms, int64_t took_ms)
{
  p->rounds++;
  if (took_ms < p->shortest_ms)
    p->shortest_ms = took_ms;
  if (p->rounds < LEADER_PLACE_ROUNDS || p->shortest_ms < LEADER_PLACE_FAR_MS
      || now_ms < p->rest_until_ms)
    return false;
  p->rest_until_ms = now_ms + p->rest_ms;
  p->rest_ms
      = 2 * p->rest_ms < LEADER_PLACE_MOST_REST_MS ? 2 * p->rest_ms : LEADER_PLACE_MOST_REST_MS;
  return true;
}
