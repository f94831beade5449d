/* Guards against quarantining healthy workers for failing jobs, against never probing a quarantined
   worker again, and against probing it with more than one task.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "worker_health.h"

static void
test_failing_class_does_not_quarantine_the_worker (void **state)
{
  (void)state;
  struct worker_health h;
  struct class_health c;
  memset (&h, 0, sizeof h);
  memset (&c, 0, sizeof c);
  for (int i = 0; i < 50; i++)
    class_health_record (&c, false);
  for (int i = 0; i < 10; i++)
    assert_false (worker_health_on_failure (&h, &c, 0, true));
}

static void
test_quarantine_and_single_probe (void **state)
{
  (void)state;
  struct worker_health h;
  struct class_health c;
  memset (&h, 0, sizeof h);
  memset (&c, 0, sizeof c);
  for (int i = 0; i < 50; i++)
    class_health_record (&c, true);
  assert_false (worker_health_on_failure (&h, &c, 0, true));
  assert_true (worker_health_on_failure (&h, &c, 0, true));
  assert_false (worker_health_usable (&h, WORKER_HEALTH_MIN_PROBE_BACKOFF_MS - 1));
  assert_true (worker_health_usable (&h, WORKER_HEALTH_MIN_PROBE_BACKOFF_MS));
  worker_health_begin_probe (&h);
  assert_false (worker_health_usable (&h, WORKER_HEALTH_MIN_PROBE_BACKOFF_MS));
  worker_health_on_failure (&h, &c, WORKER_HEALTH_MIN_PROBE_BACKOFF_MS, true);
  assert_false (worker_health_usable (&h, 3 * WORKER_HEALTH_MIN_PROBE_BACKOFF_MS - 1));
  assert_true (worker_health_usable (&h, 3 * WORKER_HEALTH_MIN_PROBE_BACKOFF_MS));
  worker_health_begin_probe (&h);
  worker_health_cancel_probe (&h, 100000);
  assert_true (worker_health_usable (&h, 100000));
  assert_true (worker_health_on_success (&h));
  assert_true (worker_health_usable (&h, 0));
}

static void
test_crash_backoff_grows_and_is_bounded (void **state)
{
  (void)state;
  assert_true (worker_health_crash_backoff (0, true) <= 1000);
  assert_true (worker_health_crash_backoff (3, false) > worker_health_crash_backoff (2, false));
  assert_int_equal (worker_health_crash_backoff (1000, false), 300000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failing_class_does_not_quarantine_the_worker),
    cmocka_unit_test (test_quarantine_and_single_probe),
    cmocka_unit_test (test_crash_backoff_grows_and_is_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
