/* Guards against a placement that does not fit, exceeds the rack limit, uses a refused worker, or
   ignores the slowdown of urgent work.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "placement.h"

struct context
{
  size_t interfering;
  size_t avoided;
};

static double
interference (void *ctx, size_t row)
{
  const struct context *c = ctx;
  return row == c->interfering ? PLACEMENT_REFUSED : row == 1 ? 0.5 : 0;
}

static bool
avoid (void *ctx, size_t row)
{
  const struct context *c = ctx;
  return row == c->avoided;
}

static void
fill (struct placement_row *rows, size_t count)
{
  memset (rows, 0, count * sizeof *rows);
  for (size_t i = 0; i < count; i++)
    {
      rows[i].free_millicores = rows[i].total_millicores = 4000;
      rows[i].free_memory_mb = rows[i].total_memory_mb = 8000;
      rows[i].rack = (uint16_t)(i / 2);
      rows[i].usable = true;
    }
}

static void
test_filter_and_interference (void **state)
{
  (void)state;
  struct placement_row rows[4];
  struct rng rng;
  struct context ctx = { 0, 2 };
  rng_init (&rng, 1);
  fill (rows, 4);
  struct placement_request q
      = { .millicores = 1000, .memory_mb = 1000, .interference = interference };
  q.avoid = avoid;
  q.ctx = &ctx;
  for (int i = 0; i < 50; i++)
    assert_int_equal (placement_choose (rows, 4, &q, &rng), 3);
  rows[3].usable = false;
  assert_int_equal (placement_choose (rows, 4, &q, &rng), 1);
  rows[1].free_memory_mb = 999;
  assert_int_equal (placement_choose (rows, 4, &q, &rng), PLACEMENT_NONE);
  assert_int_equal (placement_choose (rows, 0, &q, &rng), PLACEMENT_NONE);
}

static void
test_rack_limit_and_spread (void **state)
{
  (void)state;
  struct placement_row rows[4];
  uint32_t racks[2] = { 1, 0 };
  struct rng rng;
  rng_init (&rng, 1);
  fill (rows, 4);
  struct placement_request q = { .millicores = 1000, .memory_mb = 1000, .urgent = true };
  q.rack_counts = racks;
  for (int i = 0; i < 50; i++)
    assert_true (placement_choose (rows, 4, &q, &rng) >= 2);
  q.max_per_rack = 1;
  racks[1] = 1;
  assert_int_equal (placement_choose (rows, 4, &q, &rng), PLACEMENT_NONE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_filter_and_interference),
    cmocka_unit_test (test_rack_limit_and_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
