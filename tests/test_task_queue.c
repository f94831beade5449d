/* Guards against lost or misordered tasks in the heap, starvation of tasks without a deadline, and
   a lost deadline that delays one that can still be met.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "rng.h"
#include "task_queue.h"

static void
test_heap_orders_and_removes (void **state)
{
  (void)state;
  struct task_queue_item items[500];
  struct task_queue h;
  struct rng rng;
  rng_init (&rng, 3);
  task_queue_init (&h);
  memset (items, 0, sizeof items);
  for (int i = 0; i < 500; i++)
    {
      items[i].key = rng_between (&rng, 0, 50);
      items[i].tie_breaker = (uint64_t)i;
      task_queue_push (&h, &items[i]);
    }
  for (int i = 0; i < 500; i += 3)
    task_queue_remove (&h, &items[i]);
  const struct task_queue_item *last = NULL;
  const struct task_queue_item *i;
  int count = 0;
  while ((i = task_queue_pop (&h)))
    {
      assert_true (i->tie_breaker % 3 != 0);
      assert_true (!last || last->key < i->key
                   || (last->key == i->key && last->tie_breaker < i->tie_breaker));
      last = i;
      count++;
    }
  assert_int_equal (count, 333);
  task_queue_close (&h);
}

static void
test_keys (void **state)
{
  (void)state;
  /* A task without a deadline comes before every task submitted TASK_QUEUE_AGE_BOUND_MS later.  */
  assert_true (task_queue_key (0, 0, 0, 0, 0)
               < task_queue_key (0, TASK_QUEUE_AGE_BOUND_MS + 1, 0, 0, 0));
  int64_t later = TASK_QUEUE_AGE_BOUND_MS + 1;
  assert_true (task_queue_key (later, 0, 0, 0, 0)
               < task_queue_key (later, later, later + 5000, 1000, 1000));
  assert_int_equal (task_queue_key (0, 0, 10000, 4000, 2000), 6000);
  /* Run times are uncertain: the deadline is lost only when the optimistic run time is too long. */
  assert_int_equal (task_queue_key (6001, 0, 10000, 4000, 2000), 6000);
  assert_int_equal (task_queue_key (8001, 0, 10000, 4000, 2000), TASK_QUEUE_AGE_BOUND_MS);
}

static void
test_shares_and_run_times (void **state)
{
  (void)state;
  struct resource_amount used = { 100, 800, 0 };
  struct resource_amount total = { 1000, 1000, 0 };
  assert_true (dominant_share (&used, &total, 1) > 0.79);
  assert_true (dominant_share (&used, &total, 4) < 0.21);
  struct run_time_estimate r;
  memset (&r, 0, sizeof r);
  assert_int_equal (run_time_cautious (&r, 1000), 1000);
  for (int i = 0; i < 50; i++)
    {
      run_time_record (&r, 1000, 3000);
      run_time_record (&r, 0, 7000);
    }
  assert_in_range (run_time_cautious (&r, 0), 6900, 7100);
  assert_in_range (run_time_cautious (&r, 2000), 5900, 6200);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_heap_orders_and_removes),
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_shares_and_run_times),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
