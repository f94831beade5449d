/* Guards against a warning that is dropped because lines about single runs have used up the limit
   of the event log, and against lines that are cut off where a slow reader's pipe was full.  */

#include <fcntl.h>
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
  log_state ("leads", "term=7");
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

/* Guards against a change of leader that is not in the log of the busy second in which it was.  */
static void
test_a_change_of_state_is_kept_when_lines_are_left_out (void **state)
{
  const struct log_config config = { .level = LOG_INFO };
  size_t lines;
  (void)state;
  log_configure (&config);
  char *text = write_overflow (&lines);
  assert_non_null (strstr (text, "event=leads term=7"));
  free (text);
}

/* Guards against the same loss when a reader is slow and the buffer is full.  */
static void
test_a_change_of_state_finds_a_place_in_a_full_buffer (void **state)
{
  const struct log_config config = { .level = LOG_INFO };
  char filler[900];
  size_t lines;
  (void)state;
  memset (filler, 'x', sizeof filler - 1);
  filler[sizeof filler - 1] = '\0';
  log_configure (&config);
  sleep (1); /* the limit of lines per second starts afresh */
  for (int i = 0; i < 2 * (int)(LOG_BUFFER_BYTES / sizeof filler); i++)
    log_event (LOG_INFO, "run", "%s", filler);
  log_state ("leads", "term=8");
  char *text = write_overflow (&lines);
  assert_non_null (strstr (text, "event=leads term=8"));
  free (text);
}

#define PIPE_LINES 1500 /* about twice the capacity of a pipe */
#define READ_BYTES 1000

/* Reads what the pipe holds and appends it to TEXT, READ_BYTES at a time, with a flush after each
   read as a slow reader would cause it.  */
static size_t
drain (int pipe_out, char *text, size_t len)
{
  ssize_t n;
  while ((n = read (pipe_out, text + len, READ_BYTES)) > 0)
    {
      len += (size_t)n;
      log_flush ();
    }
  return len;
}

static unsigned
count_whole_lines (char *text)
{
  unsigned lines = 0;
  char *rest = NULL;
  for (char *line = strtok_r (text, "\n", &rest); line; line = strtok_r (NULL, "\n", &rest))
    {
      unsigned number, check;
      if (sscanf (line, "time=%*s level=info vm= event=run number=%u check=%u", &number, &check)
          != 2)
        fail_msg ("line is cut off: '%s'", line);
      assert_int_equal (number, check);
      lines++;
    }
  return lines;
}

static void
test_a_slow_reader_gets_whole_lines (void **state)
{
  const struct log_config config = { .level = LOG_INFO };
  int ends[2];
  (void)state;
  log_configure (&config);
  sleep (1); /* the limit of lines per second starts afresh */
  assert_int_equal (pipe (ends), 0);
  assert_int_equal (fcntl (ends[0], F_SETFL, O_NONBLOCK), 0);
  int before = dup (STDOUT_FILENO);
  fflush (stdout);
  dup2 (ends[1], STDOUT_FILENO);
  assert_int_equal (fcntl (ends[1], F_SETFL, O_NONBLOCK), 0);
  for (unsigned i = 0; i < PIPE_LINES; i++)
    {
      log_event (LOG_INFO, "run", "number=%u check=%u", i, i);
      if (i % FLUSH_EVERY == 0)
        log_flush ();
    }
  log_flush ();
  char *text = calloc (PIPE_LINES, 100);
  size_t len = drain (ends[0], text, 0);
  log_flush ();
  drain (ends[0], text, len);
  dup2 (before, STDOUT_FILENO);
  close (before);
  close (ends[0]);
  close (ends[1]);
  assert_int_equal (count_whole_lines (text), PIPE_LINES);
  free (text);
}

/* Guards against a line that ends in the middle, and runs into the first line of the next process,
   when the process is killed while its reader is slow.  */
static void
test_what_a_full_pipe_holds_ends_with_a_whole_line (void **state)
{
  const struct log_config config = { .level = LOG_INFO };
  int ends[2];
  (void)state;
  log_configure (&config);
  sleep (1); /* the limit of lines per second starts afresh */
  assert_int_equal (pipe (ends), 0);
  assert_int_equal (fcntl (ends[0], F_SETFL, O_NONBLOCK), 0);
  assert_int_equal (fcntl (ends[1], F_SETFL, O_NONBLOCK), 0);
  int before = dup (STDOUT_FILENO);
  fflush (stdout);
  dup2 (ends[1], STDOUT_FILENO);
  for (unsigned i = 0; i < PIPE_LINES; i++)
    log_event (LOG_INFO, "run", "number=%u check=%u", i, i);
  log_flush ();
  char *text = calloc (PIPE_LINES, 100);
  size_t len = 0;
  ssize_t n;
  while ((n = read (ends[0], text + len, READ_BYTES)) > 0)
    len += (size_t)n;
  assert_true (len > 0 && len < PIPE_LINES * 100);
  assert_int_equal (text[len - 1], '\n');
  for (len = 1; len > 0;) /* the rest, for the tests that follow */
    {
      log_flush ();
      len = drain (ends[0], text, 0);
    }
  dup2 (before, STDOUT_FILENO);
  close (before);
  close (ends[0]);
  close (ends[1]);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_a_warning_is_kept_when_lines_are_left_out),
          cmocka_unit_test (test_a_change_of_state_is_kept_when_lines_are_left_out),
          cmocka_unit_test (test_a_change_of_state_finds_a_place_in_a_full_buffer),
          cmocka_unit_test (test_a_slow_reader_gets_whole_lines),
          cmocka_unit_test (test_what_a_full_pipe_holds_ends_with_a_whole_line) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
