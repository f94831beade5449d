/* Selection of the VM that calls a worker on behalf of the leader.  Guards against calls across
   data centres although the worker's own has a helper, against orders to a helper that does not
   answer, and against the leader calling all workers of a data centre without a helper.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "helper_choice.h"

#define HELPERS 3
#define WORKERS 400

static const struct helper_option all_usable[HELPERS]
    = { { "a", true }, { "b", true }, { "c", true } };

static void
test_same_data_centre (void **state)
{
  (void)state;
  assert_int_equal (helper_choose (all_usable, HELPERS, "own", "b", 7), 1);
  assert_int_equal (helper_choose (all_usable, HELPERS, "own", "c", 8), 2);
}

static void
test_own_data_centre_is_called_directly (void **state)
{
  const struct helper_option also_here[] = { { "own", true }, { "b", true } };
  (void)state;
  assert_int_equal (helper_choose (also_here, 2, "own", "own", 3), 2);
}

static void
test_silent_helper_gets_no_orders (void **state)
{
  const struct helper_option silent[] = { { "a", false }, { "b", false } };
  (void)state;
  for (uint64_t hash = 0; hash < 10; hash++)
    assert_int_equal (helper_choose (silent, 2, "own", "a", hash), 2);
}

/* Load pattern: one of six core VMs is lost; its workers must not all fall to the leader.  */
static void
test_data_centre_without_helper_is_distributed (void **state)
{
  const struct helper_option one_lost[] = { { "a", true }, { "b", false }, { "c", true } };
  unsigned count[HELPERS + 1] = { 0 };
  (void)state;
  for (uint64_t hash = 0; hash < WORKERS; hash++)
    count[helper_choose (one_lost, HELPERS, "own", "b", hash)]++;
  assert_int_equal (count[1], 0);
  assert_in_range (count[0], WORKERS / 4, WORKERS / 2);
  assert_in_range (count[2], WORKERS / 4, WORKERS / 2);
  assert_in_range (count[HELPERS], WORKERS / 4, WORKERS / 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_same_data_centre),
    cmocka_unit_test (test_own_data_centre_is_called_directly),
    cmocka_unit_test (test_silent_helper_gets_no_orders),
    cmocka_unit_test (test_data_centre_without_helper_is_distributed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
