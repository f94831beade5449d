/* Guards against orders without an answer that hold a short task for seconds, and against orders of
   a busy leader that are taken for lost.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "overdue.h"

static void
test_an_order_is_overdue_long_after_recent_answers (void **state)
{
  struct overdue o;
  (void)state;
  overdue_init (&o);
  assert_false (overdue_is (&o, OVERDUE_MIN_MS - 1));
  assert_true (overdue_is (&o, OVERDUE_MIN_MS));
  for (int i = 0; i < 200; i++)
    overdue_add_answer (&o, i % 2 ? 20 : 120);
  assert_false (overdue_is (&o, OVERDUE_MIN_MS - 1));
  assert_true (overdue_is (&o, OVERDUE_MIN_MS));
}

/* The answers of all orders come late then, and asking for them costs the leader more time.  */
static void
test_a_busy_leader_waits_longer (void **state)
{
  struct overdue o;
  (void)state;
  overdue_init (&o);
  for (int i = 0; i < 200; i++)
    overdue_add_answer (&o, 300);
  assert_false (overdue_is (&o, 1100));
  assert_true (overdue_is (&o, 1200));
}

/* A few late answers are no sign of a busy leader.  */
static void
test_single_late_answers_change_little (void **state)
{
  struct overdue o;
  (void)state;
  overdue_init (&o);
  for (int i = 0; i < 400; i++)
    overdue_add_answer (&o, i % 100 == 0 ? 700 : 60);
  assert_true (overdue_is (&o, 450));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_an_order_is_overdue_long_after_recent_answers),
          cmocka_unit_test (test_a_busy_leader_waits_longer),
          cmocka_unit_test (test_single_late_answers_change_little) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
