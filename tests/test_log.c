/* Guards against a warning that is dropped because lines about single runs have used up the limit
   of the event log.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "log.h"

#define OVERFLOW_LINES 3000
#define FLUSH_EVERY 500

/* Logs more lines than the limit and a warning to a file; returns the file's contents.  */
static char *
write_overflow (size_t *lines)
{
  char path[] = "/tmp/test-log-XXXXXX";
  int file = mkstemp (path);
  int before = dup (STDOUT_FILENO);
  fflush (stdout);
  dup2 (file, STDOUT_FILENO);
  for (int i = 0; i < LOG_EVENTS_PER_S + OVERFLOW_LINES; i++)
    {
      log_event (LOG_INFO, "run", "number=%d", i);
      if (i % FLUSH_EVERY == 0)
        log_flush ();
    }
  log_event (LOG_WARN, "lost", "worker=w1");
  log_flush ();
  log_flush ();
  dup2 (before, STDOUT_FILENO);
  close (before);
  off_t size = lseek (file, 0, SEEK_END);
  char *text = calloc (1, (size_t)size + 1);
  assert_int_equal (pread (file, text, (size_t)size, 0), size);
  close (file);
  unlink (path);
  *lines = 0;
  for (const char *p = text; (p = strchr (p, '\n')) != NULL; p++)
    (*lines)++;
  return text;
}

static void
test_a_warning_is_kept_when_lines_are_left_out (void **state)
{
  const struct log_config config = { .level = LOG_INFO };
  size_t lines;
  (void)state;
  log_configure (&config);
  char *text = write_overflow (&lines);
  assert_non_null (strstr (text, "event=lost worker=w1"));
  assert_non_null (strstr (text, "event=lines-left-out"));
  /* The loop may span two seconds.  */
  assert_true (lines <= 2 * (LOG_EVENTS_PER_S + LOG_WARNINGS_PER_S));
  assert_true (lines < LOG_EVENTS_PER_S + OVERFLOW_LINES);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_a_warning_is_kept_when_lines_are_left_out) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
