/* Guards against wrong size classes, with which large jobs would starve.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "rng.h"
#include "size_share.h"

#define STEP_MS 100

/* Work of 1 to 100: a tenth is above 90, a fifth between 70 and 90.  */
static void
test_classes_follow_the_recent_sizes (void **state)
{
  struct size_share s;
  struct rng rng;
  int right = 0;
  int counted = 0;
  (void)state;
  rng_init (&rng, 7);
  size_share_init (&s, 0);
  for (int i = 0; i < 1000; i++)
    {
      int work = 1 + (int)rng_below (&rng, 100);
      enum size_class want = SIZE_OTHER;
      if (work > 90)
        want = SIZE_LARGEST_TENTH;
      else if (work > 70)
        want = SIZE_NEXT_FIFTH;
      enum size_class class = size_share_add_arrival (&s, i * STEP_MS, work);
      counted += i >= SIZE_SHARE_WINDOW_JOBS;
      right += i >= SIZE_SHARE_WINDOW_JOBS && class == want;
    }
  assert_true (right >= counted * 9 / 10);
}

/* Jobs of one size are all in the largest tenth: no division by zero, no lost start.  */
static void
test_jobs_of_one_size_share_one_class (void **state)
{
  struct size_share s;
  (void)state;
  size_share_init (&s, 0);
  for (int i = 0; i < 200; i++)
    {
      enum size_class class = size_share_add_arrival (&s, i * STEP_MS, 5);
      if (i % 2 == 0)
        size_share_add_start (&s, i * STEP_MS, class);
    }
  double share = 0;
  for (int i = 0; i < SIZE_CLASSES; i++)
    share += size_share_started_ratio (&s, (enum size_class)i);
  assert_true (share > 0.4 && share < 0.6);
}

/* Starts of long ago must not count as current ones.  */
static void
test_old_starts_count_less (void **state)
{
  struct size_share s;
  (void)state;
  size_share_init (&s, 0);
  enum size_class class = size_share_add_arrival (&s, 0, 5);
  size_share_add_start (&s, 0, class);
  assert_true (size_share_started_ratio (&s, class) == 1.0);
  for (int i = 0; i < 10; i++)
    size_share_add_arrival (&s, (int64_t)(4 * SIZE_SHARE_HALF_LIFE_MS), 5);
  assert_true (size_share_started_ratio (&s, class) < 0.1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_classes_follow_the_recent_sizes),
    cmocka_unit_test (test_jobs_of_one_size_share_one_class),
    cmocka_unit_test (test_old_starts_count_less),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
