/* Guards against accounts that starve beside a large or flooding one, and against credit or debt of
   the past that is never forgotten.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "account_share.h"

#define ACCOUNTS 20
#define SLOTS 100 /* of the pool, each for one task of a second */
#define SECONDS 60
#define WARM_UP_S 10

static void
test_a_flood_gets_its_weight_and_no_more (void **state)
{
  struct account_share s;
  int within = 0;
  (void)state;
  account_share_init (&s);
  for (int64_t now_ms = 1000; now_ms < 11000; now_ms += 10)
    within += account_share_add_job (&s, now_ms, 5000);
  assert_in_range (within, 50, 50 + 5 * ACCOUNT_BURST_S + 1);
}

/* An account that keeps to its weight on average may send a few jobs at once.  */
static void
test_a_burst_within_the_weight_is_within (void **state)
{
  struct account_share s;
  (void)state;
  account_share_init (&s);
  for (int64_t now_ms = 1000; now_ms < 60000; now_ms += 2000)
    for (int i = 0; i < 2; i++)
      assert_true (account_share_add_job (&s, now_ms, 1000));
  assert_int_equal (account_share_wait_ms (&s, 62000, 1000), 0);
}

static void
test_the_wait_ends_when_the_next_job_is_within (void **state)
{
  struct account_share s;
  (void)state;
  account_share_init (&s);
  while (account_share_add_job (&s, 1000, 250))
    ;
  int64_t wait_ms = account_share_wait_ms (&s, 1000, 250);
  assert_in_range (wait_ms, 1, 4000);
  assert_int_not_equal (account_share_wait_ms (&s, 1000 + wait_ms - 1, 250), 0);
  assert_int_equal (account_share_wait_ms (&s, 1000 + wait_ms, 250), 0);
  assert_true (account_share_add_job (&s, 1000 + wait_ms, 250));
}

static void
test_a_weight_of_zero_and_a_huge_one (void **state)
{
  struct account_share s;
  (void)state;
  account_share_init (&s);
  assert_false (account_share_add_job (&s, 1000, 0));
  assert_true (account_share_wait_ms (&s, 1000, 0) == INT64_MAX);
  assert_int_equal (account_share_level (&s, 0, 1), ACCOUNT_MAX_LEVEL);
  account_share_init (&s);
  for (int i = 0; i < 1000; i++)
    assert_true (account_share_add_job (&s, 1000, UINT64_MAX));
  assert_int_equal (account_share_wait_ms (&s, 1000, UINT64_MAX), 0);
  account_share_add_service (&s, 1000, 1);
  assert_int_equal (account_share_level (&s, UINT64_MAX, 1), 0);
}

/* Load: all accounts ask for more than their part of a full pool, one of them for ten times as much
   as the others.  Each second the pool takes SLOTS tasks, by level and then in the order of
   arrival, where the large account is ahead; or by arrival alone.  Returns the least that a small
   account was served, per weight, relative to the mean.  */
static double
least_served (bool with_shares, const double weights[ACCOUNTS], const int demand[ACCOUNTS])
{
  struct account_share shares[ACCOUNTS];
  double served[ACCOUNTS] = { 0 };
  double weight_sum = 0;
  for (int i = 0; i < ACCOUNTS; i++)
    {
      account_share_init (&shares[i]);
      weight_sum += weights[i];
    }
  for (int second = 0; second < SECONDS; second++)
    {
      int running[ACCOUNTS] = { 0 };
      int free_slots = SLOTS;
      double sum = 0;
      for (int i = 0; i < ACCOUNTS; i++)
        sum += shares[i].served;
      for (int level = 0; level <= ACCOUNT_MAX_LEVEL; level++)
        for (int i = 0; i < ACCOUNTS; i++)
          {
            int mine = !with_shares
                           ? 0
                           : account_share_level (&shares[i], (uint64_t)(weights[i] * 1000),
                                                  sum / weight_sum);
            if (mine != level)
              continue;
            running[i] = demand[i] < free_slots ? demand[i] : free_slots;
            free_slots -= running[i];
          }
      for (int i = 0; i < ACCOUNTS; i++)
        {
          account_share_add_service (&shares[i], 1000 * (second + 1), (double)running[i] / SLOTS);
          if (second >= WARM_UP_S)
            served[i] += running[i];
        }
    }
  double least = 1e9;
  for (int i = 1; i < ACCOUNTS; i++)
    if (served[i] / weights[i] < least)
      least = served[i] / weights[i];
  return least * weight_sum / (SLOTS * (SECONDS - WARM_UP_S));
}

static void
test_one_large_account_beside_many_small_ones (void **state)
{
  double weights[ACCOUNTS];
  int demand[ACCOUNTS];
  (void)state;
  for (int i = 0; i < ACCOUNTS; i++)
    {
      weights[i] = i == 0 ? 10 : 1;
      demand[i] = i == 0 ? 95 : 8;
    }
  assert_true (least_served (false, weights, demand) < 0.05); /* by arrival */
  assert_true (least_served (true, weights, demand) > 0.5);
}

static void
test_an_account_that_floods_beside_equal_ones (void **state)
{
  double weights[ACCOUNTS];
  int demand[ACCOUNTS];
  (void)state;
  for (int i = 0; i < ACCOUNTS; i++)
    {
      weights[i] = 1;
      demand[i] = i == 0 ? 100 : 6;
    }
  assert_true (least_served (false, weights, demand) < 0.05);
  assert_true (least_served (true, weights, demand) > 0.5);
}

/* Idle time gives an advantage that ends: credit is at most what the half-life keeps.  */
static void
test_an_account_that_was_idle_goes_first_for_a_bounded_time (void **state)
{
  struct account_share busy;
  struct account_share idle;
  int64_t now_ms = 0;
  (void)state;
  account_share_init (&busy);
  account_share_init (&idle);
  for (int i = 0; i < 600; i++)
    {
      now_ms += 1000;
      account_share_add_service (&busy, now_ms, 0.5);
      account_share_add_service (&idle, now_ms, 0);
    }
  assert_true (account_share_level (&idle, 1000, (busy.served + idle.served) / 2)
               < account_share_level (&busy, 1000, (busy.served + idle.served) / 2));
  int64_t back_ms = now_ms;
  while (idle.served < busy.served)
    {
      now_ms += 1000;
      account_share_add_service (&busy, now_ms, 0);
      account_share_add_service (&idle, now_ms, 0.5);
    }
  assert_true (now_ms - back_ms <= 2 * ACCOUNT_HALF_LIFE_MS);
}

/* A leader that was paused does not know what ran meanwhile.  */
static void
test_a_long_pause_adds_no_service (void **state)
{
  struct account_share s;
  (void)state;
  account_share_init (&s);
  account_share_add_service (&s, 1000, 1);
  account_share_add_service (&s, 2000, 1);
  double before = s.served;
  account_share_add_service (&s, 602000, 1);
  assert_true (s.served <= before + 1);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_a_flood_gets_its_weight_and_no_more),
          cmocka_unit_test (test_a_burst_within_the_weight_is_within),
          cmocka_unit_test (test_the_wait_ends_when_the_next_job_is_within),
          cmocka_unit_test (test_a_weight_of_zero_and_a_huge_one),
          cmocka_unit_test (test_one_large_account_beside_many_small_ones),
          cmocka_unit_test (test_an_account_that_floods_beside_equal_ones),
          cmocka_unit_test (test_an_account_that_was_idle_goes_first_for_a_bounded_time),
          cmocka_unit_test (test_a_long_pause_adds_no_service) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
