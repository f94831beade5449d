/* Guards against a held poll that is answered twice, never, or after its deadline.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "held_polls.h"

static void
add (struct held_polls *h, const char *worker, int64_t until_ms)
{
  struct held_poll p = { .until_ms = until_ms };
  snprintf (p.worker, sizeof p.worker, "%s", worker);
  held_polls_add (h, &p);
}

static void
test_each_poll_is_taken_once (void **state)
{
  struct held_polls h;
  struct held_poll p;
  (void)state;
  held_polls_init (&h);
  add (&h, "w1", 100);
  add (&h, "w2", 200);
  add (&h, "w3", 300);
  assert_false (held_polls_take (&h, "w4", &p));
  assert_true (held_polls_take (&h, "w2", &p));
  assert_string_equal (p.worker, "w2");
  assert_false (held_polls_take (&h, "w2", &p));
  assert_false (held_polls_take_due (&h, 99, &p));
  assert_true (held_polls_take_due (&h, 250, &p));
  assert_string_equal (p.worker, "w1");
  assert_false (held_polls_take_due (&h, 250, &p));
  held_polls_close (&h);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_each_poll_is_taken_once) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
