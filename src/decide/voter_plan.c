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

/* True if A is demoted before B: without a vote, else the more distant one.  */
static bool
goes_before (const struct plan_member *a, const struct plan_member *b)
{
  if (a->has_vote != b->has_vote)
    return b->has_vote;
  return a->distance_ms > b->distance_ms;
}

/* The voter that is demoted first; of equal ones the youngest.  */
static struct plan_member *
find_surplus_voter (struct plan_member *members, size_t count)
{
  struct plan_member *surplus = NULL;
  for (size_t i = count; i-- > 0;)
    if (members[i].voter && !members[i].self && (!surplus || goes_before (&members[i], surplus)))
      surplus = &members[i];
  return surplus;
}

/* After a replaced voter has answered again, or a near learner was promoted.  */
static void
demote_surplus (struct plan_member *members, size_t count)
{
  struct plan_member *surplus;
  while (count_voters (members, count) > MAX_VOTERS
         && (surplus = find_surplus_voter (members, count)) != NULL)
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

/* Promotes a near learner, so that the most distant voter becomes the surplus.  */
static void
bring_quorum_near (struct plan_member *members, size_t count)
{
  struct plan_member *spare = NULL;
  size_t near_voters = 0;
  size_t near_members = 0;
  size_t needed = MAX_VOTERS / 2 + 1;
  for (size_t i = 0; i < count; i++)
    {
      const struct plan_member *m = &members[i];
      bool sound = is_responsive (m) && (m->has_vote || m->self);
      if (m->voter && (!sound || m->distance_ms == INT64_MAX))
        return;
      near_voters += m->voter && is_near (m);
      near_members += is_responsive (m) && is_near (m);
      if (!m->voter && is_responsive (m) && is_near (m) && !spare)
        spare = &members[i];
    }
  if (spare && count_voters (members, count) == MAX_VOTERS && near_voters < needed
      && near_members >= needed)
    spare->voter = true;
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
  size_t voters_before = count_voters (members, count);
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
  if (voters_before == MAX_VOTERS)
    bring_quorum_near (members, count);
}
