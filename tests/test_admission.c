/* Guards against a queue that grows without bound, delays urgent requests behind batch, starves
   batch or a small customer, or serves requests whose deadline cannot be met.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "admission.h"

#define MAX_QUEUED 10

static unsigned
slots (void *arg, const char *customer)
{
  (void)arg;
  return strcmp (customer, "huge") == 0 ? 4 : 100;
}

static struct admission *
open_queue (void)
{
  struct admission_config config
      = { .max_queued = MAX_QUEUED, .deadline_aware = true, .slots = slots };
  return admission_open (&config);
}

static int
push (struct admission *a, struct admission_item *item, const char *customer, bool urgent,
      int64_t deadline)
{
  struct admission_item *evicted;
  return admission_push (a, item, customer, urgent, deadline, 0, &evicted, NULL);
}

static void
test_urgent_first_but_batch_not_starved (void **state)
{
  (void)state;
  struct admission *a = open_queue ();
  struct admission_item batch = { 0 };
  struct admission_item urgent[MAX_QUEUED] = { { 0 } };
  unsigned before = 0;
  assert_int_equal (push (a, &batch, "c", false, 100000), 0);
  for (;;)
    {
      struct admission_item *u = &urgent[before % MAX_QUEUED];
      assert_int_equal (push (a, u, "c", true, 100000), 0);
      struct admission_item *next = admission_pop (a, 0);
      admission_served (a, next, true, 1.0, 0);
      if (next == &batch)
        break;
      assert_ptr_equal (next, u);
      before++;
    }
  assert_int_equal (before, ADMISSION_MAX_URGENT_IN_ROW);
  admission_close (a);
}

static void
test_full_queue (void **state)
{
  (void)state;
  struct admission *a = open_queue ();
  struct admission_item items[MAX_QUEUED + 2] = { { 0 } };
  struct admission_item *evicted;
  struct status st;
  for (int i = 0; i < MAX_QUEUED; i++)
    assert_int_equal (push (a, &items[i], "c", i == 0, 100000), 0);
  struct admission_item *extra = &items[MAX_QUEUED];
  assert_int_equal (admission_push (a, extra, "c", false, 100000, 0, &evicted, &st), -1);
  assert_int_equal (st.kind, STATUS_OVERLOADED);
  assert_int_equal (admission_push (a, extra, "c", true, 100000, 0, &evicted, &st), 0);
  assert_ptr_equal (evicted, &items[MAX_QUEUED - 1]);
  assert_int_equal (admission_queued (a), MAX_QUEUED);
  admission_close (a);
}

static void
test_deadlines (void **state)
{
  (void)state;
  struct admission *a = open_queue ();
  struct admission_item items[6] = { { 0 } };
  struct admission_item *evicted;
  struct status st;
  assert_int_equal (push (a, &items[0], "c", true, 1000), 0);
  assert_ptr_equal (admission_pop (a, 0), &items[0]);
  admission_served (a, &items[0], true, 100.0, 0); /* service takes 100 ms, one at a time */
  assert_int_equal (push (a, &items[0], "c", true, 1000), 0);
  assert_int_equal (push (a, &items[1], "c", true, 2000), 0);
  assert_int_equal (push (a, &items[2], "c", true, 2000), 0);
  assert_int_equal (admission_push (a, &items[3], "c", true, 400, 0, &evicted, &st), -1);
  assert_int_equal (st.kind, STATUS_OVERLOADED); /* 300 ms of waiting, 400 ms left */
  assert_null (admission_pop_expired (a, 900));
  assert_ptr_equal (admission_pop_expired (a, 950), &items[0]);
  assert_null (admission_pop_expired (a, 950));
  admission_remove (a, &items[1]);
  assert_ptr_equal (admission_pop (a, 950), &items[2]);
  assert_int_equal (admission_queued (a), 0);
  admission_served (a, &items[2], false, 0.0, 950);
  admission_close (a);
}

static void
test_huge_customer_leaves_slots (void **state)
{
  (void)state;
  struct admission *a = open_queue ();
  struct admission_item huge[8] = { { 0 } };
  struct admission_item small = { 0 };
  for (int i = 0; i < 8; i++)
    assert_int_equal (push (a, &huge[i], "huge", false, 100000), 0);
  for (int i = 0; i < 4; i++)
    assert_ptr_equal (admission_pop (a, 0), &huge[i]);
  assert_null (admission_pop (a, 0)); /* batch over the share waits */
  assert_int_equal (push (a, &small, "small", false, 100000), 0);
  assert_ptr_equal (admission_pop (a, 0), &small);
  admission_served (a, &huge[0], true, 1.0, 0);
  assert_ptr_equal (admission_pop (a, 0), &huge[4]);
  admission_close (a);
}

static void
test_customers_share_fairly (void **state)
{
  (void)state;
  struct admission *a = open_queue ();
  struct admission_item items[8] = { { 0 } };
  for (int i = 0; i < 6; i++)
    assert_int_equal (push (a, &items[i], "many", true, 100000), 0);
  assert_int_equal (push (a, &items[6], "few", true, 100000), 0);
  assert_int_equal (push (a, &items[7], "few", true, 100000), 0);
  int few = 0;
  for (int i = 0; i < 4; i++)
    {
      struct admission_item *next = admission_pop (a, 0);
      few += next == &items[6] || next == &items[7];
    }
  assert_int_equal (few, 2);
  admission_close (a);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_urgent_first_but_batch_not_starved),
    cmocka_unit_test (test_full_queue),
    cmocka_unit_test (test_deadlines),
    cmocka_unit_test (test_huge_customer_leaves_slots),
    cmocka_unit_test (test_customers_share_fairly),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
