/* Guards against evictions that free too little, are not needed or lose more work than necessary,
   and against an eviction budget that misses evictions or never recovers.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "eviction.h"

static void
test_chooses_the_cheapest_sufficient_set (void **state)
{
  (void)state;
  struct eviction_candidate c[4];
  struct eviction_choice choice;
  memset (c, 0, sizeof c);
  for (int i = 0; i < 4; i++)
    c[i].size = (struct resource_amount){ 1000, 1000, 0 };
  c[0].lost_core_ms = 900000;
  c[1].lost_core_ms = 1000;
  c[2].lost_core_ms = 2000;
  c[3].lost_core_ms = 800000;
  struct resource_amount need = { 2000, 500, 0 };
  assert_true (eviction_choose (c, 4, &need, false, &choice));
  assert_int_equal (choice.count, 2);
  assert_int_equal (choice.victims[0] + choice.victims[1], 3);
  assert_true (choice.victims[0] == 1 || choice.victims[1] == 1);
  need.millicores = 4001;
  assert_false (eviction_choose (c, 4, &need, false, &choice));
  need = (struct resource_amount){ 0, 0, 1 };
  assert_false (eviction_choose (c, 4, &need, false, &choice));
}

static void
test_drops_redundant_victims (void **state)
{
  (void)state;
  struct eviction_candidate c[2];
  struct eviction_choice choice;
  memset (c, 0, sizeof c);
  c[0].size = (struct resource_amount){ 500, 100, 0 };
  c[1].size = (struct resource_amount){ 4000, 100, 0 };
  c[1].lost_core_ms = 30000;
  struct resource_amount need = { 4000, 0, 0 };
  assert_true (eviction_choose (c, 2, &need, false, &choice));
  assert_int_equal (choice.count, 1);
  assert_int_equal (choice.victims[0], 1);
}

static void
test_interference_and_repeats_change_the_cost (void **state)
{
  (void)state;
  struct eviction_candidate a;
  memset (&a, 0, sizeof a);
  a.lost_core_ms = 10000;
  struct eviction_candidate interfering = a;
  struct eviction_candidate repeated = a;
  struct eviction_candidate late = a;
  interfering.interference = 0.5;
  repeated.evictions = 3;
  late.near_deadline = true;
  assert_true (eviction_cost (&interfering) < eviction_cost (&a));
  assert_true (eviction_cost (&repeated) > eviction_cost (&a));
  assert_true (eviction_cost (&late) > eviction_cost (&repeated));
}

static void
test_budget_window_slides (void **state)
{
  (void)state;
  struct eviction_budget b;
  memset (&b, 0, sizeof b);
  eviction_budget_record (&b, 1000);
  eviction_budget_record (&b, 1800000);
  assert_int_equal (eviction_budget_used (&b, 1800000), 2);
  assert_int_equal (eviction_budget_used (&b, 3700000), 1);
  assert_int_equal (eviction_budget_used (&b, 9000000), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_chooses_the_cheapest_sufficient_set),
    cmocka_unit_test (test_drops_redundant_victims),
    cmocka_unit_test (test_interference_and_repeats_change_the_cost),
    cmocka_unit_test (test_budget_window_slides),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
