/* Guards against a leader that stays a region away from its quorum, and against leadership that is
   handed round for ever where no voter is nearer.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "leader_place.h"

#define VOTERS 5
#define ROUND_EVERY_MS 300

/* Plays ten minutes of leadership among COUNT voters; a round takes as long as the way to the voter
   that completes the quorum and back.  Returns the leader at the end and counts the moves.  */
static int
play (int count, int ways_ms[VOTERS][VOTERS], int leader, int *moves)
{
  struct leader_place places[VOTERS];
  for (int i = 0; i < count; i++)
    leader_place_init (&places[i]);
  leader_place_gained (&places[leader]);
  *moves = 0;
  for (int64_t now_ms = 1000; now_ms < 600000; now_ms += ROUND_EVERY_MS)
    {
      int order[VOTERS] = { 0 };
      for (int i = 0; i < count; i++)
        {
          int at = i;
          for (; at > 0 && ways_ms[leader][order[at - 1]] > ways_ms[leader][i]; at--)
            order[at] = order[at - 1];
          order[at] = i;
        }
      int completes = order[count / 2];
      int64_t took_ms = 2 * (int64_t)ways_ms[leader][completes] + now_ms % 7;
      if (!leader_place_round (&places[leader], now_ms, took_ms))
        continue;
      leader = completes;
      leader_place_gained (&places[leader]);
      ++*moves;
    }
  return leader;
}

/* The zones of both users: two in one region, one in another.  */
static void
test_leadership_moves_to_the_region_of_the_quorum (void **state)
{
  int ways_ms[VOTERS][VOTERS] = { { 0, 30, 1 }, { 30, 0, 30 }, { 1, 30, 0 } };
  int moves;
  (void)state;
  assert_int_not_equal (play (3, ways_ms, 1, &moves), 1);
  assert_int_equal (moves, 1);
  assert_int_equal (play (3, ways_ms, 2, &moves), 2);
  assert_int_equal (moves, 0);
}

static void
test_five_voters_meet_in_the_larger_region (void **state)
{
  int ways_ms[VOTERS][VOTERS] = { { 0, 1, 1, 30, 30 },
                                  { 1, 0, 1, 30, 30 },
                                  { 1, 1, 0, 30, 30 },
                                  { 30, 30, 30, 0, 1 },
                                  { 30, 30, 30, 1, 0 } };
  int moves;
  (void)state;
  assert_true (play (5, ways_ms, 4, &moves) < 3);
  assert_int_equal (moves, 1);
}

/* Each of three regions has one voter: none is nearer, and each move stops starts for a second.  */
static void
test_equal_distances_end_the_search (void **state)
{
  int ways_ms[VOTERS][VOTERS] = { { 0, 30, 40 }, { 30, 0, 35 }, { 40, 35, 0 } };
  int moves;
  (void)state;
  play (3, ways_ms, 0, &moves);
  assert_true (moves <= 6);
}

/* One slow round, as after a lost packet, says nothing of the distance.  */
static void
test_a_slow_round_moves_nobody (void **state)
{
  struct leader_place p;
  (void)state;
  leader_place_init (&p);
  leader_place_gained (&p);
  for (int i = 0; i < 100; i++)
    assert_false (leader_place_round (&p, 1000 + i * ROUND_EVERY_MS, i % 5 == 2 ? 3 : 200));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_leadership_moves_to_the_region_of_the_quorum),
          cmocka_unit_test (test_five_voters_meet_in_the_larger_region),
          cmocka_unit_test (test_equal_distances_end_the_search),
          cmocka_unit_test (test_a_slow_round_moves_nobody) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
