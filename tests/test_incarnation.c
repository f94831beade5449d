/* Guards against a VM that peers refuse because its wall clock stepped back between two starts.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "incarnation.h"

#define FUTURE_MS 4102444800000 /* a wall clock in the year 2100 */

static void
test_incarnation_increases_when_the_clock_steps_back (void **state)
{
  uint64_t incarnation;
  struct status st;
  char path[64];
  char folder[] = "/tmp/incarnation-XXXXXX";
  (void)state;
  assert_non_null (mkdtemp (folder));
  snprintf (path, sizeof path, "%s/incarnation", folder);
  FILE *f = fopen (path, "w");
  fprintf (f, "%lld\n", (long long)FUTURE_MS);
  fclose (f);
  assert_int_equal (incarnation_next (folder, &incarnation, &st), 0);
  assert_int_equal (incarnation, FUTURE_MS + 1);
  assert_int_equal (incarnation_next (folder, &incarnation, &st), 0);
  assert_int_equal (incarnation, FUTURE_MS + 2);
  unlink (path);
  assert_int_equal (incarnation_next (folder, &incarnation, &st), 0);
  assert_true (incarnation < FUTURE_MS);
  unlink (path);
  rmdir (folder);
  assert_int_equal (incarnation_next (folder, &incarnation, &st), -1);
  assert_int_equal (st.kind, STATUS_DISK_FAILED);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_incarnation_increases_when_the_clock_steps_back) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
