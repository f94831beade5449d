/* Guards against lost or misordered tasks in the heap, starvation of tasks without a deadline, and
   a deadline that cannot be met that delays one that can be met.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "order.h"
#include "rng.h"

static void
test_heap_orders_and_removes (void **state)
{
  (void)state;
  struct order_item items[500];
  struct order_heap h;
  struct rng rng;
  rng_init (&rng, 3);
  order_heap_init (&h);
  memset (items, 0, sizeof items);
  for (int i = 0; i < 500; i++)
    {
      items[i].key = rng_between (&rng, 0, 50);
      items[i].tie = (uint64_t)i;
      order_push (&h, &items[i]);
    }
  for (int i = 0; i < 500; i += 3)
    order_remove (&h, &items[i]);
  const struct order_item *last = NULL;
  const struct order_item *i;
  int count = 0;
  while ((i = order_pop (&h)))
    {
      assert_true (i->tie % 3 != 0);
      assert_true (!last || last->key < i->key || (last->key == i->key && last->tie < i->tie));
      last = i;
      count++;
    }
  assert_int_equal (count, 333);
  order_heap_close (&h);
}

static void
test_keys (void **state)
{
  (void)state;
  /* A task without a deadline comes before every task submitted ORDER_AGE_BOUND_MS later.  */
  assert_true (order_key (0, 0, 0, 0, 0) < order_key (0, ORDER_AGE_BOUND_MS + 1, 0, 0, 0));
  int64_t later = ORDER_AGE_BOUND_MS + 1;
  assert_true (order_key (later, 0, 0, 0, 0) < order_key (later, later, later + 5000, 1000, 1000));
  assert_int_equal (order_key (0, 0, 10000, 4000, 2000), 6000);
  /* The run time is uncertain: the deadline is given up only when the optimistic one is too long.
   */
  assert_int_equal (order_key (6001, 0, 10000, 4000, 2000), 6000);
  assert_int_equal (order_key (8001, 0, 10000, 4000, 2000), ORDER_AGE_BOUND_MS);
}

static void
test_shares_and_run_times (void **state)
{
  (void)state;
  struct order_amount used = { 100, 800, 0 };
  struct order_amount total = { 1000, 1000, 0 };
  assert_true (order_share (&used, &total, 1) > 0.79);
  assert_true (order_share (&used, &total, 4) < 0.21);
  struct order_run_time r;
  memset (&r, 0, sizeof r);
  assert_int_equal (order_expect (&r, 1000), 1000);
  for (int i = 0; i < 50; i++)
    {
      order_learn (&r, 1000, 3000);
      order_learn (&r, 0, 7000);
    }
  assert_in_range (order_expect (&r, 0), 6900, 7100);
  assert_in_range (order_expect (&r, 2000), 5900, 6200);
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
