/* Guards against attributing the slowdown of a noisy class to a harmless one, and against trusting
   outdated estimates.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "interference.h"
#include "rng.h"

static void
test_tells_noisy_from_harmless (void **state)
{
  (void)state;
  struct interference *m = interference_new ();
  struct rng rng;
  rng_init (&rng, 5);
  int service = interference_service (m, "pricing");
  int noisy = interference_class (m, "scan");
  int harmless = interference_class (m, "report");
  for (int i = 0; i < 400; i++)
    {
      struct interference_load mix[2]
          = { { noisy, 0.4 * rng_unit (&rng) }, { harmless, 0.4 * rng_unit (&rng) } };
      double slowdown = 1 + 2.0 * mix[0].share + 0.02 * (rng_unit (&rng) - 0.5);
      interference_learn (m, service, mix, 2, 0.6, slowdown);
    }
  assert_true (interference_coefficient (m, service, noisy, 0.6) > 1.7);
  assert_true (interference_coefficient (m, service, noisy, 0.6) < 2.3);
  assert_true (interference_coefficient (m, service, harmless, 0.6) < 0.25);
  /* A load band without samples of its own uses the estimate of another band.  */
  assert_true (interference_coefficient (m, service, noisy, 0.95) > 1.5);
  assert_true (interference_is_confident (m, service, noisy));
  interference_decay (m, 0.001);
  assert_false (interference_is_confident (m, service, noisy));
  interference_free (m);
}

static void
test_names_are_bounded (void **state)
{
  (void)state;
  struct interference *m = interference_new ();
  for (int i = 0; i < 1000; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "c%d", i);
      assert_in_range (interference_class (m, name), 0, INTERFERENCE_MAX_CLASSES - 1);
      assert_in_range (interference_service (m, name), 0, INTERFERENCE_MAX_SERVICES - 1);
    }
  interference_free (m);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tells_noisy_from_harmless),
    cmocka_unit_test (test_names_are_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
