/* Guards against placements that waste gaps or put fill-in tasks where they do harm.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "spread.h"

static struct spread_row
worker (uint32_t lasting, uint32_t fill)
{
  return (struct spread_row){ .millicores = 16000,
                              .lasting_millicores = lasting,
                              .fill_millicores = fill,
                              .free_memory_mb = 10000,
                              .usable = true,
                              .near_data = true };
}

/* A large task must still find a gap after small ones.  */
static void
test_small_tasks_take_the_smallest_gap (void **state)
{
  const struct spread_row rows[] = { worker (8000, 0), worker (14000, 0), worker (15500, 0) };
  const struct spread_request q = { .millicores = 1000, .memory_mb = 100 };
  (void)state;
  assert_int_equal (spread_choose (rows, 3, &q), 1);
}

/* Lasting tasks of other images raise the chance that a fill-in image disturbs one of them; a
   worker without any is worth most to fill-in tasks.  */
static void
test_lasting_tasks_of_one_image_stay_together (void **state)
{
  struct spread_row rows[] = { worker (0, 0), worker (9000, 0), worker (6000, 0) };
  const struct spread_request q = { .millicores = 3000, .memory_mb = 100, .lasts = true };
  (void)state;
  rows[0].foreign = 1.1;
  rows[1].foreign = 1.0;
  rows[2].foreign = 0.0;
  assert_int_equal (spread_choose (rows, 3, &q), 2);
  rows[2].usable = false;
  assert_int_equal (spread_choose (rows, 3, &q), 1);
  rows[1].usable = false;
  assert_int_equal (spread_choose (rows, 3, &q), 0);
}

static void
test_fill_goes_where_it_does_no_harm (void **state)
{
  struct spread_row rows[] = { worker (4000, 0), worker (12000, 4000), worker (8000, 0) };
  const struct spread_request q = { .millicores = 2000, .memory_mb = 100, .fills = true };
  (void)state;
  rows[0].harm = 1.2;
  rows[1].harm = 0.1;
  rows[2].harm = 0.9;
  assert_int_equal (spread_choose (rows, 3, &q), 1);
  rows[1].tail = 0.9;
  assert_int_equal (spread_choose (rows, 3, &q), 2);
  rows[2].harm = 1.1;
  assert_int_equal (spread_choose (rows, 3, &q), SPREAD_NONE);
}

/* Some fill-in images disturb every serving image: they starve if others take the workers that
   serve nobody.  */
static void
test_harmless_fill_leaves_the_empty_workers (void **state)
{
  struct spread_row rows[] = { worker (0, 0), worker (12000, 0) };
  const struct spread_request q = { .millicores = 2000, .memory_mb = 100, .fills = true };
  (void)state;
  rows[1].harm = 0.2;
  assert_int_equal (spread_choose (rows, 2, &q), 1);
  rows[1].harm = 1.1;
  assert_int_equal (spread_choose (rows, 2, &q), 0);
}

/* A job whose image disturbs everything must not wait for ever beside free workers.  */
static void
test_a_starved_job_runs_despite_harm (void **state)
{
  struct spread_row rows[] = { worker (4000, 0), worker (4000, 0) };
  struct spread_request q = { .millicores = 2000, .memory_mb = 100, .fills = true };
  (void)state;
  rows[0].harm = 3;
  rows[1].harm = 2;
  assert_int_equal (spread_choose (rows, 2, &q), SPREAD_NONE);
  q.despite_harm = true;
  assert_int_equal (spread_choose (rows, 2, &q), 1);
}

static void
test_limits_hold (void **state)
{
  struct spread_row row = worker (0, 0);
  const struct spread_request q
      = { .millicores = 1000, .memory_mb = 100, .accelerators = 1, .max_per_worker = 2 };
  (void)state;
  assert_false (spread_fits (&row, &q));
  row.free_accelerators = 1;
  assert_true (spread_fits (&row, &q));
  row.same_step = 2;
  assert_false (spread_fits (&row, &q));
  row.same_step = 1;
  row.free_memory_mb = 99;
  assert_false (spread_fits (&row, &q));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_small_tasks_take_the_smallest_gap),
          cmocka_unit_test (test_lasting_tasks_of_one_image_stay_together),
          cmocka_unit_test (test_fill_goes_where_it_does_no_harm),
          cmocka_unit_test (test_harmless_fill_leaves_the_empty_workers),
          cmocka_unit_test (test_a_starved_job_runs_despite_harm),
          cmocka_unit_test (test_limits_hold) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
