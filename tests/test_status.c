/* Guards against an error kind without an entry in the table of answers.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "status.h"

static void
test_every_kind_has_an_answer (void **state)
{
  (void)state;
  for (int i = 0; i < STATUS_KINDS; i++)
    {
      const struct status_answer *a = status_answer ((enum status_kind)i);
      assert_non_null (a->name);
      assert_in_range (a->http_code, 200, 599);
      assert_int_equal (status_kind_from_name (a->name), i);
    }
}

static void
test_message_is_bounded (void **state)
{
  struct status st;
  char big[1000];
  (void)state;
  memset (big, 'x', sizeof big - 1);
  big[sizeof big - 1] = '\0';
  assert_int_equal (status_set (&st, STATUS_BAD_REQUEST, "%s", big), -1);
  assert_int_equal (strlen (st.message), STATUS_MESSAGE_BYTES - 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_kind_has_an_answer),
    cmocka_unit_test (test_message_is_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
