/* Guards against a commit that waits for another region although enough members are near, and
   against votes that move while a voter is silent or distances are not known.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "voter_plan.h"

#define NEAR_MS 7
#define FAR_MS 61
#define SILENT_MS 1000

/* Six members; the odd ones are in the region of the first, which leads; the last has no vote.  */
static void
make_members (struct plan_member m[6])
{
  for (int i = 0; i < 6; i++)
    m[i] = (struct plan_member){ .node = (uint64_t)i + 1,
                                 .self = i == 0,
                                 .voter = i < 5,
                                 .has_vote = i < 5,
                                 .distance_ms = i == 0  ? 0
                                                : i % 2 ? FAR_MS
                                                        : NEAR_MS };
}

static size_t
count_near_voters (const struct plan_member *m, size_t count)
{
  size_t n = 0;
  for (size_t i = 0; i < count; i++)
    n += m[i].voter && m[i].distance_ms < VOTER_DISTANT_MS;
  return n;
}

static size_t
count_voters (const struct plan_member *m, size_t count)
{
  size_t n = 0;
  for (size_t i = 0; i < count; i++)
    n += m[i].voter;
  return n;
}

/* Members 1, 2, 4 and 6 vote with 3; 5 is near and has no vote.  */
static void
make_distant_quorum (struct plan_member m[6])
{
  make_members (m);
  m[4].voter = m[4].has_vote = false;
  m[5].voter = m[5].has_vote = true;
}

/* The promotion is in force before the demotion is planned: five voters of whom two lost their
   disks would be four voters without a quorum in between.  */
static void
test_a_near_learner_gets_the_vote_of_a_distant_voter (void **state)
{
  struct plan_member m[6];
  (void)state;
  make_distant_quorum (m);
  voter_plan (m, 6);
  assert_true (m[4].voter);
  assert_int_equal (count_voters (m, 6), MAX_VOTERS + 1);
  m[4].has_vote = true;
  voter_plan (m, 6);
  assert_true (m[4].voter);
  assert_int_equal (count_voters (m, 6), MAX_VOTERS);
  assert_int_equal (count_near_voters (m, 6), 3);
}

/* Of six voters one without a vote goes, although others are more distant.  */
static void
test_a_voter_without_a_vote_is_the_first_surplus (void **state)
{
  struct plan_member m[6];
  (void)state;
  make_distant_quorum (m);
  m[4].voter = m[4].has_vote = true;
  m[2].has_vote = false;
  voter_plan (m, 6);
  assert_false (m[2].voter);
  assert_int_equal (count_voters (m, 6), MAX_VOTERS);
}

static void
test_a_plan_in_force_is_kept (void **state)
{
  struct plan_member m[6];
  (void)state;
  make_distant_quorum (m);
  m[4].voter = m[4].has_vote = true;
  voter_plan (m, 6);
  for (int i = 0; i < 6; i++)
    {
      struct plan_member before[6];
      memcpy (before, m, sizeof m);
      voter_plan (m, 6);
      for (int k = 0; k < 6; k++)
        assert_int_equal (m[k].voter, before[k].voter);
    }
}

/* The replacement of a lost voter goes first, and a change of members needs a quorum.  */
static void
test_votes_stay_while_a_voter_is_silent (void **state)
{
  struct plan_member m[6];
  (void)state;
  for (int silent = 1; silent < 6; silent++)
    {
      make_distant_quorum (m);
      m[silent].inactive_ms = SILENT_MS * 3;
      struct plan_member without[6];
      memcpy (without, m, sizeof m);
      for (int i = 0; i < 6; i++)
        without[i].distance_ms = INT64_MAX;
      voter_plan (m, 6);
      voter_plan (without, 6);
      for (int i = 0; i < 6; i++)
        assert_int_equal (m[i].voter, without[i].voter);
    }
}

/* It answers, but has no vote: two healthy distant voters must not lose theirs to near members.  */
static void
test_votes_stay_while_a_voter_has_lost_its_disk (void **state)
{
  struct plan_member m[6];
  (void)state;
  for (int lost = 1; lost < 6; lost++)
    {
      make_distant_quorum (m);
      m[lost].has_vote = false;
      voter_plan (m, 6);
      assert_int_equal (m[4].voter, lost == 4);
    }
}

static void
test_votes_stay_without_distances (void **state)
{
  struct plan_member m[6];
  (void)state;
  for (int unknown = 1; unknown < 6; unknown++)
    {
      make_distant_quorum (m);
      m[unknown].distance_ms = INT64_MAX;
      voter_plan (m, 6);
      assert_false (m[4].voter);
    }
}

/* Two near members are no quorum: the leader's region has only these.  */
static void
test_votes_stay_where_near_members_complete_no_quorum (void **state)
{
  struct plan_member m[6];
  (void)state;
  make_distant_quorum (m);
  m[2].distance_ms = FAR_MS;
  voter_plan (m, 6);
  assert_false (m[4].voter);
  assert_int_equal (count_voters (m, 6), MAX_VOTERS);
}

/* Where all are near, the youngest of too many voters goes, as without distances.  */
static void
test_the_youngest_of_equally_distant_voters_is_demoted (void **state)
{
  struct plan_member m[6];
  (void)state;
  for (int64_t distance_ms = 0; distance_ms <= FAR_MS; distance_ms += FAR_MS)
    {
      make_members (m);
      for (int i = 1; i < 6; i++)
        m[i].distance_ms = distance_ms;
      m[5].voter = true;
      voter_plan (m, 6);
      assert_false (m[5].voter);
      assert_int_equal (count_voters (m, 6), MAX_VOTERS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_a_near_learner_gets_the_vote_of_a_distant_voter),
          cmocka_unit_test (test_a_voter_without_a_vote_is_the_first_surplus),
          cmocka_unit_test (test_a_plan_in_force_is_kept),
          cmocka_unit_test (test_votes_stay_while_a_voter_is_silent),
          cmocka_unit_test (test_votes_stay_while_a_voter_has_lost_its_disk),
          cmocka_unit_test (test_votes_stay_without_distances),
          cmocka_unit_test (test_votes_stay_where_near_members_complete_no_quorum),
          cmocka_unit_test (test_the_youngest_of_equally_distant_voters_is_demoted) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
