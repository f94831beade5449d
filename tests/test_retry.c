/* Guards against retry storms, against repeating a request that may have run, and against timeouts
   that cut off healthy answers.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "retry.h"

#define REQUESTS 100000

static void
test_budget_bounds_tries_when_all_fail (void **state)
{
  (void)state;
  struct retry_budget b;
  uint64_t tries = 0;
  retry_budget_init (&b);
  for (int i = 0; i < REQUESTS; i++)
    {
      struct retry_request q = { .idempotent = true, .replayable = true, .deadline_ms = 1000 };
      retry_budget_request (&b);
      do
        {
          tries++;
          q.tries++;
        }
      while (retry_allowed (&q, RETRY_FAILED, 0) && retry_budget_take (&b));
    }
  assert_true (tries <= REQUESTS * 11 / 10);
  assert_true (tries > REQUESTS * 109 / 100);
}

static void
test_budget_saved_up_is_bounded (void **state)
{
  (void)state;
  struct retry_budget b;
  int taken = 0;
  retry_budget_init (&b);
  for (int i = 0; i < REQUESTS; i++)
    retry_budget_request (&b);
  while (retry_budget_take (&b))
    taken++;
  assert_int_equal (taken, (int)RETRY_BUDGET_MAX);
}

static void
test_only_safe_retries (void **state)
{
  (void)state;
  struct retry_request q = { .replayable = true, .tries = 1, .deadline_ms = 1000 };
  assert_true (retry_allowed (&q, RETRY_NOT_SENT, 0));
  assert_true (retry_allowed (&q, RETRY_NOT_RUN, 0));
  assert_false (retry_allowed (&q, RETRY_FAILED, 0));
  assert_false (retry_hedge_allowed (&q, true));
  q.idempotent = true;
  assert_true (retry_allowed (&q, RETRY_FAILED, 0));
  assert_true (retry_hedge_allowed (&q, true));
  assert_false (retry_hedge_allowed (&q, false));
  assert_false (retry_allowed (&q, RETRY_FAILED, 1000));
  q.answer_begun = true;
  assert_false (retry_allowed (&q, RETRY_NOT_RUN, 0));
  q.answer_begun = false;
  q.replayable = false;
  assert_false (retry_allowed (&q, RETRY_NOT_SENT, 0));
  q.replayable = true;
  q.tries = RETRY_MAX_TRIES;
  assert_false (retry_allowed (&q, RETRY_NOT_SENT, 0));
  assert_true (retry_method_idempotent ("GET") && retry_method_idempotent ("DELETE"));
  assert_false (retry_method_idempotent ("POST") || retry_method_idempotent ("PATCH"));
}

static void
test_timeouts_follow_latency (void **state)
{
  (void)state;
  struct retry_latency l = { 0 };
  assert_int_equal (retry_try_timeout_ms (&l), RETRY_TIMEOUT_MAX_MS);
  assert_int_equal (retry_hedge_delay_ms (&l), 0);
  for (int i = 0; i < 1000; i++)
    retry_latency_add (&l, i % 100 == 99 ? 400.0 : 50.0, 0);
  assert_in_range (retry_hedge_delay_ms (&l), 50, 61);
  assert_in_range (retry_try_timeout_ms (&l), 150, 1500);
  for (int i = 0; i < 4000; i++) /* the service became slower */
    retry_latency_add (&l, 300.0, 10000 + i * 20);
  assert_in_range (retry_hedge_delay_ms (&l), 300, 365);
}

/* A timeout below the real latency must grow, although the answers it cuts off are not measured. */
static void
test_timeout_that_is_too_short_grows (void **state)
{
  (void)state;
  struct retry_latency l = { 0 };
  for (int i = 0; i < 100; i++)
    retry_latency_add (&l, 10.0, 0);
  int64_t timeout = retry_try_timeout_ms (&l);
  for (int i = 0; i < 500 && timeout < 2000; i++)
    {
      retry_latency_add_timeout (&l, timeout, 0);
      timeout = retry_try_timeout_ms (&l);
    }
  assert_true (timeout >= 2000);
}

static void
test_backoff_is_jittered_and_bounded (void **state)
{
  (void)state;
  struct rng rng;
  int64_t sum = 0;
  rng_init (&rng, 3);
  for (int i = 0; i < 1000; i++)
    {
      int64_t ms = retry_backoff_ms (&rng, 30);
      assert_in_range (ms, 0, RETRY_BACKOFF_MAX_MS);
      sum += ms;
    }
  assert_in_range (sum / 1000, RETRY_BACKOFF_MAX_MS / 3, RETRY_BACKOFF_MAX_MS * 2 / 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_budget_bounds_tries_when_all_fail),
    cmocka_unit_test (test_budget_saved_up_is_bounded),
    cmocka_unit_test (test_only_safe_retries),
    cmocka_unit_test (test_timeouts_follow_latency),
    cmocka_unit_test (test_timeout_that_is_too_short_grows),
    cmocka_unit_test (test_backoff_is_jittered_and_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
