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

/* Demotes the youngest voter above MAX_VOTERS, after a replaced voter has answered again.  */
static void
demote_surplus (struct plan_member *members, size_t count)
{
  for (size_t i = count; i-- > 0 && count_voters (members, count) > MAX_VOTERS;)
    if (members[i].voter && !members[i].self)
      members[i].voter = false;
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
}
