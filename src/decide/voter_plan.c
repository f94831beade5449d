#include "voter_plan.h"

/* A learner inactive for this long is not promoted; equal to the leader's raft_timing.quorum_ms. */
#define SPARE_INACTIVE_LIMIT_MS 1900

static struct plan_member *
find_spare (struct plan_member *members, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!members[i].voter && !members[i].dropped
        && members[i].inactive_ms < SPARE_INACTIVE_LIMIT_MS)
      return &members[i];
  return NULL;
}

static size_t
count_voters (const struct plan_member *members, size_t count)
{
  size_t n = 0;
  for (size_t i = 0; i < count; i++)
    n += members[i].voter;
  return n;
}

static void
replace_lost_voters (struct plan_member *members, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct plan_member *m = &members[i];
      struct plan_member *spare = find_spare (members, count);
      if (!spare || !m->voter || m->inactive_ms < VOTER_INACTIVE_LIMIT_MS)
        continue;
      spare->voter = true;
      m->voter = false;
      m->dropped = true;
    }
}

/* The last step of a replacement: its successor votes already.  */
static void
drop_silent_surplus (struct plan_member *members, size_t count)
{
  struct plan_member *surplus = NULL;
  if (count_voters (members, count) % 2 != 0)
    return;
  for (size_t i = 0; i < count; i++)
    if (members[i].voter && members[i].inactive_ms >= VOTER_INACTIVE_LIMIT_MS
        && (!surplus || members[i].inactive_ms > surplus->inactive_ms))
      surplus = &members[i];
  if (surplus)
    {
      surplus->voter = false;
      surplus->dropped = true;
    }
}

/* The voter that is demoted first: the most distant, of equally distant ones the youngest.  */
static struct plan_member *
find_farthest_voter (struct plan_member *members, size_t count)
{
  struct plan_member *farthest = NULL;
  for (size_t i = count; i-- > 0;)
    if (members[i].voter && !members[i].self
        && (!farthest || members[i].distance_ms > farthest->distance_ms))
      farthest = &members[i];
  return farthest;
}

/* After a replaced voter has answered again, or a near learner was promoted.  */
static void
demote_surplus (struct plan_member *members, size_t count)
{
  struct plan_member *surplus;
  while (count_voters (members, count) > MAX_VOTERS
         && (surplus = find_farthest_voter (members, count)) != NULL)
    surplus->voter = false;
}

static bool
is_near (const struct plan_member *m)
{
  return m->self || m->distance_ms < VOTER_DISTANT_MS;
}

static bool
is_responsive (const struct plan_member *m)
{
  return !m->dropped && m->inactive_ms < SPARE_INACTIVE_LIMIT_MS;
}

/* Gives the vote of the most distant voter to a near learner.  */
static void
bring_quorum_near (struct plan_member *members, size_t count)
{
  struct plan_member *spare = NULL;
  size_t near_voters = 0;
  size_t near_members = 0;
  size_t needed = MAX_VOTERS / 2 + 1;
  for (size_t i = 0; i < count; i++)
    {
      if (members[i].voter && (!is_responsive (&members[i]) || members[i].distance_ms == INT64_MAX))
        return;
      near_voters += members[i].voter && is_near (&members[i]);
      near_members += is_responsive (&members[i]) && is_near (&members[i]);
      if (!members[i].voter && is_responsive (&members[i]) && is_near (&members[i]) && !spare)
        spare = &members[i];
    }
  struct plan_member *farthest = find_farthest_voter (members, count);
  if (count_voters (members, count) != MAX_VOTERS || near_voters >= needed || near_members < needed
      || !spare || !farthest || is_near (farthest))
    return;
  spare->voter = true;
  farthest->voter = false;
}

static void
drop_lost_learners (struct plan_member *members, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!members[i].voter && members[i].inactive_ms >= LEARNER_INACTIVE_LIMIT_MS)
      members[i].dropped = true;
}

/* Promotes one responsive learner to voter.  */
static bool
promote (struct plan_member *members, size_t count)
{
  struct plan_member *spare = find_spare (members, count);
  if (spare)
    spare->voter = true;
  return spare != NULL;
}

void
voter_plan (struct plan_member *members, size_t count)
{
  size_t spares = 0;
  for (size_t i = 0; i < count; i++)
    members[i].dropped = false;
  replace_lost_voters (members, count);
  drop_silent_surplus (members, count);
  demote_surplus (members, count);
  drop_lost_learners (members, count);
  if (count_voters (members, count) % 2 == 0)
    promote (members, count);
  for (size_t i = 0; i < count; i++)
    spares += !members[i].voter && members[i].inactive_ms < SPARE_INACTIVE_LIMIT_MS;
  if (spares >= 2 && count_voters (members, count) + 2 <= MAX_VOTERS
      && count_voters (members, count) % 2 == 1)
    {
      promote (members, count);
      promote (members, count);
    }
  bring_quorum_near (members, count);
}
