/* Guards against fill-in tasks that keep lasting tasks over their target, and against pacing them
   for ever.  In the simulation the tail follows the share after half a second and varies with the
   serving load over ten seconds.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>

#include "pacing.h"

#define MAX_OVER_MS 4000 /* longer over the target at a stretch is a violation */

static double
tail (double at_s, double share, double interference)
{
  double load = 0.42 * (1 + 0.5 * sin (at_s / 10 * 2 * M_PI));
  double left = 1 - load - interference * share;
  return (left < 0.05 ? 1 / 0.05 : 1 / left) / 4.5;
}

static void
simulate (double interference, int64_t *longest_ms, double *mean_share)
{
  struct pacing p;
  double shares[2] = { 1, 1 };
  int64_t over_ms = 0;
  *longest_ms = 0;
  *mean_share = 0;
  pacing_init (&p);
  for (int i = 0; i < 240; i++)
    {
      double at_s = i * 0.5;
      double seen = tail (at_s, shares[1], interference);
      over_ms = seen > 1 ? over_ms + 500 : 0;
      *longest_ms = over_ms > *longest_ms ? over_ms : *longest_ms;
      pacing_add_sample (&p, i * 500, seen);
      shares[1] = shares[0];
      shares[0] = p.percent / 100.0;
      *mean_share += shares[0] / 240;
    }
}

static void
test_slowdown_ends_in_time (void **state)
{
  (void)state;
  for (int i = 1; i <= 15; i++)
    {
      double interference = i * 0.2;
      int64_t longest_ms;
      double share;
      simulate (interference, &longest_ms, &share);
      assert_true (longest_ms < MAX_OVER_MS);
    }
}

static void
test_work_that_does_not_interfere_is_not_paced (void **state)
{
  int64_t longest_ms;
  double share;
  (void)state;
  simulate (0.05, &longest_ms, &share);
  assert_true (share > 0.9);
}

static void
test_share_recovers_after_interference (void **state)
{
  struct pacing p;
  (void)state;
  pacing_init (&p);
  for (int64_t ms = 1000; ms < 6000; ms += 500)
    pacing_add_sample (&p, ms, 3.0);
  assert_int_equal (p.percent, 0);
  for (int64_t ms = 6000; ms < 10000; ms += 500)
    pacing_add_sample (&p, ms, 0.4);
  assert_int_equal (p.percent, PACING_FULL_PERCENT);
}

/* Guards against a lasting task that is over its target for too long: fill-in work slowed a lasting
   task at every share, and its pace took 4.0 s to reach 0.  An order takes 100 ms, the tail is an
   average over 500 ms, and the next sample comes up to 500 ms later.  */
static void
test_work_that_harms_at_every_share_stops_in_time (void **state)
{
  (void)state;
  for (int tail_percent = 101; tail_percent <= 400; tail_percent += 7)
    for (int64_t step_ms = 300; step_ms <= 500; step_ms += 20)
      {
        struct pacing p;
        int64_t ms = 1000;
        pacing_init (&p);
        for (; p.percent > 0 && ms < 10000; ms += step_ms)
          pacing_add_sample (&p, ms, tail_percent / 100.0);
        assert_true (ms - step_ms - 1000 <= MAX_OVER_MS - 100 - 500 - 500);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_slowdown_ends_in_time),
          cmocka_unit_test (test_work_that_does_not_interfere_is_not_paced),
          cmocka_unit_test (test_share_recovers_after_interference),
          cmocka_unit_test (test_work_that_harms_at_every_share_stops_in_time) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
