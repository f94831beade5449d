/* Guards against a flag that is accepted and has no effect, and against values out of range that
   are taken without an error.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "options.h"

#define MAX_ARGUMENTS 20

static const char *const core[] = { "sassafras-platform", "--role=core",
                                    "--vm=core-1",        "--data-centre=a",
                                    "--ip=10.0.0.1",      "--listen-control=10.0.0.1:80",
                                    "--ports=7000,7010",  "--seeds=10.0.0.1:80",
                                    "--data-dir=/data",   NULL };

/* Reads the flags of a core VM and FLAG; OUT has the errors.  */
static enum options_action
read_with (const char *flag, struct platform_options *o, struct buffer *out)
{
  char *arguments[MAX_ARGUMENTS];
  int count = 0;
  for (; core[count]; count++)
    arguments[count] = (char *)(uintptr_t)core[count];
  if (flag)
    arguments[count++] = (char *)(uintptr_t)flag;
  buffer_init (out);
  return options_read (o, count, arguments, out);
}

static struct platform_options
read_valid (const char *flag)
{
  struct platform_options o;
  struct buffer out;
  assert_int_equal (read_with (flag, &o, &out), OPTIONS_RUN);
  buffer_close (&out);
  return o;
}

static void
test_switches_can_be_switched_both_ways (void **state)
{
  (void)state;
  assert_true (read_valid (NULL).account_shares);
  assert_true (read_valid ("--account-shares=true").account_shares);
  assert_false (read_valid ("--account-shares=false").account_shares);
  assert_true (read_valid (NULL).near_voters);
  assert_false (read_valid ("--near-voters=false").near_voters);
  assert_false (read_valid (NULL).overdue_starts);
  assert_true (read_valid ("--overdue-starts=true").overdue_starts);
  assert_false (read_valid (NULL).first_start);
  assert_true (read_valid ("--first-start=true").first_start);
  assert_false (read_valid ("--first-start=false").first_start);
}

/* The platform sets the variable, to nothing where it has no such setting.  */
static void
test_the_factor_of_remote_runs_is_optional (void **state)
{
  struct platform_options o;
  struct buffer out;
  (void)state;
  assert_int_equal (read_valid (NULL).remote_run_milli, 1000);
  assert_int_equal (setenv ("SASSAFRAS_REMOTE_RUN_FACTOR", "", 1), 0);
  assert_int_equal (read_valid (NULL).remote_run_milli, 1000);
  assert_int_equal (setenv ("SASSAFRAS_REMOTE_RUN_FACTOR", "3", 1), 0);
  assert_int_equal (read_valid (NULL).remote_run_milli, 3000);
  assert_int_equal (read_valid ("--remote-run-factor=1.5").remote_run_milli, 1500);
  assert_int_equal (setenv ("SASSAFRAS_REMOTE_RUN_FACTOR", "0", 1), 0);
  assert_int_equal (read_with (NULL, &o, &out), OPTIONS_REFUSE);
  buffer_close (&out);
  assert_int_equal (unsetenv ("SASSAFRAS_REMOTE_RUN_FACTOR"), 0);
}

static void
test_values_out_of_range_are_refused_by_name (void **state)
{
  static const char *const flags[]
      = { "--remote-run-factor=0.5", "--remote-run-factor=2x", "--remote-run-factor=1e9",
          "--account-shares=yes",    "--near-voters=",         "--first-start=maybe" };
  (void)state;
  for (size_t i = 0; i < sizeof flags / sizeof *flags; i++)
    {
      struct platform_options o;
      struct buffer out;
      char name[40];
      assert_int_equal (read_with (flags[i], &o, &out), OPTIONS_REFUSE);
      /* argtable reports an empty value, the reader the others */
      snprintf (name, sizeof name, "%.*s", (int)strcspn (flags[i], "="), flags[i]);
      buffer_append (&out, "", 1);
      assert_non_null (strstr (out.data, name));
      buffer_close (&out);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_switches_can_be_switched_both_ways),
          cmocka_unit_test (test_the_factor_of_remote_runs_is_optional),
          cmocka_unit_test (test_values_out_of_range_are_refused_by_name) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
