/* Guards against a histogram that loses samples and against malformed Prometheus text.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "counters.h"

static struct counter requests = { .name = "test_requests_total", .help = "Requests." };
static struct histogram latency = { .name = "test_latency_ms", .help = "Latency." };

static void
test_quantiles_and_text (void **state)
{
  struct buffer out;
  (void)state;
  buffer_init (&out);
  counter_add (&requests, 2);
  for (int i = 0; i < 99; i++)
    histogram_add (&latency, 0.2);
  histogram_add (&latency, 1e9);
  assert_true (histogram_quantile (&latency, 0.5) <= 0.25);
  assert_true (histogram_quantile (&latency, 1.0) > 1e9);
  counters_write (&out);
  assert_non_null (strstr (out.data, "test_requests_total 2\n"));
  assert_non_null (strstr (out.data, "test_latency_ms_bucket{le=\"+Inf\"} 100\n"));
  buffer_close (&out);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_quantiles_and_text) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
