/* Guards against large bodies that keep small ones out, and against room that is lost.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "memory_budget.h"

#define MIB ((size_t)1 << 20)

static void
test_large_holdings_leave_room_for_small_ones (void **state)
{
  struct memory_budget b;
  (void)state;
  memory_budget_init (&b, 256);
  assert_int_equal (b.limit, 32 * MIB);
  for (int i = 0; i < 6; i++)
    {
      assert_int_equal (memory_budget_is_scarce (&b), i > 3);
      assert_true (memory_budget_reserve (&b, 0, 4 * MIB));
    }
  assert_false (memory_budget_reserve (&b, 0, MEMORY_BUDGET_SMALL_BYTES + 1));
  assert_true (memory_budget_reserve (&b, 0, MEMORY_BUDGET_SMALL_BYTES));
  assert_false (
      memory_budget_reserve (&b, MEMORY_BUDGET_SMALL_BYTES, MEMORY_BUDGET_SMALL_BYTES + 1));
  memory_budget_release (&b, MEMORY_BUDGET_SMALL_BYTES);
  for (int i = 0; i < 6; i++)
    memory_budget_release (&b, 4 * MIB);
  memory_budget_close (&b);
}

static void
test_a_holding_grows_and_its_room_returns (void **state)
{
  struct memory_budget b;
  (void)state;
  memory_budget_init (&b, 1);
  assert_int_equal (b.limit, MEMORY_BUDGET_MIN_BYTES);
  for (int round = 0; round < 3; round++)
    {
      size_t held = 0;
      while (memory_budget_reserve (&b, held, held + MEMORY_BUDGET_SMALL_BYTES / 2))
        held += MEMORY_BUDGET_SMALL_BYTES / 2;
      assert_int_equal (held, b.large_limit);
      memory_budget_release (&b, held);
    }
  memory_budget_close (&b);
}

static void
test_the_machine_is_known_without_a_setting (void **state)
{
  struct memory_budget b;
  (void)state;
  memory_budget_init (&b, 0);
  assert_true (b.limit >= MEMORY_BUDGET_MIN_BYTES);
  assert_false (memory_budget_reserve (&b, 0, SIZE_MAX));
  memory_budget_close (&b);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_large_holdings_leave_room_for_small_ones),
          cmocka_unit_test (test_a_holding_grows_and_its_room_returns),
          cmocka_unit_test (test_the_machine_is_known_without_a_setting) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
