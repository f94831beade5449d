#include "log.h"

#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define LINE_BYTES 1024
/* A pipe takes a write of up to PIPE_BUF bytes as a whole or not at all.  A larger one may stop
   inside a line, and the process may end before it has written the rest.  */
#define WRITE_BYTES PIPE_BUF

/* Global: every module logs, and passing a handle everywhere would only repeat the same
   pointer.  */
static struct log_config current = { .level = LOG_INFO };

static const char *const level_names[] = { "error", "warn", "info", "debug" };

void
log_configure (const struct log_config *config)
{
  current = *config;
}

int
log_level_from_name (const char *name, enum log_level *out)
{
  for (int i = 0; i <= LOG_DEBUG; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *out = (enum log_level)i;
        return 0;
      }
  return -1;
}

static void
format_time (char *out, size_t size)
{
  struct timespec ts;
  struct tm tm;
  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  size_t n = strftime (out, size, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out + n, size - n, ".%03ldZ", ts.tv_nsec / 1000000);
}

static void
write_json (enum log_level level, const char *when, const char *text)
{
  json_t *line = json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s}", "time", when, "level",
                            level_names[level], "pid", (int)getpid (), "vm", current.vm,
                            "data_centre", current.data_centre, "message", text);
  char *encoded = line ? json_dumps (line, JSON_COMPACT) : NULL;
  fprintf (stderr, "%s\n", encoded ? encoded : "{}");
  free (encoded);
  json_decref (line);
}

void
log_line (enum log_level level, const char *format, ...)
{
  if (level > current.level)
    return;
  char when[40];
  char text[LINE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  format_time (when, sizeof when);
  if (current.json)
    write_json (level, when, text);
  else
    fprintf (stderr, "%s %-5s [%d %s %s] %s\n", when, level_names[level], (int)getpid (),
             current.vm, current.data_centre, text);
}

/* Events buffered for log_flush.  */
static struct
{
  char bytes[LOG_BUFFER_BYTES];
  size_t len;
  time_t second;     /* start of the one-second window */
  unsigned accepted; /* lines accepted in that second */
  uint64_t dropped;  /* lines dropped and not yet reported */
  bool nonblocking;  /* O_NONBLOCK was set on standard output */
} events;

/* Lines about single runs are by far the most frequent and must not displace a lost worker's, nor
   a change of leader.  */
static bool
accept_line (bool reserved, time_t now)
{
  unsigned max_lines = reserved ? LOG_EVENTS_PER_S + LOG_WARNINGS_PER_S : LOG_EVENTS_PER_S;
  size_t max_bytes = sizeof events.bytes - (reserved ? 0 : LOG_RESERVED_BYTES);
  if (now != events.second)
    {
      events.second = now;
      events.accepted = 0;
    }
  if (events.accepted >= max_lines || events.len + LINE_BYTES + 128 > max_bytes)
    {
      events.dropped++;
      return false;
    }
  events.accepted++;
  return true;
}

static void
add_event (enum log_level level, const char *event, const char *text)
{
  char when[40];
  format_time (when, sizeof when);
  int n = snprintf (events.bytes + events.len, sizeof events.bytes - events.len,
                    "time=%s level=%s vm=%s event=%s %s\n", when, level_names[level], current.vm,
                    event, text);
  if (n > 0 && (size_t)n < sizeof events.bytes - events.len)
    events.len += (size_t)n;
}

void
log_event (enum log_level level, const char *event, const char *format, ...)
{
  char text[LINE_BYTES];
  va_list args;
  if (level > current.level || !accept_line (level <= LOG_WARN, time (NULL)))
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  add_event (level, event, text);
}

void
log_state (const char *event, const char *format, ...)
{
  char text[LINE_BYTES];
  va_list args;
  if (LOG_INFO > current.level || !accept_line (true, time (NULL)))
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  add_event (LOG_INFO, event, text);
}

static void
set_nonblocking (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  events.nonblocking = true;
  if (flags >= 0 && !(flags & O_NONBLOCK))
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Reports the lines dropped since the last report; called when log_flush has emptied the buffer. */
static void
report_dropped (void)
{
  char text[64];
  if (events.dropped == 0)
    return;
  snprintf (text, sizeof text, "count=%llu", (unsigned long long)events.dropped);
  events.dropped = 0;
  add_event (LOG_WARN, "lines-left-out", text);
}

/* Length of the whole lines from START on that one write takes.  */
static size_t
lines_to_write (size_t start)
{
  const char *text = events.bytes + start;
  if (events.len - start <= WRITE_BYTES)
    return events.len - start;
  const char *end = memrchr (text, '\n', WRITE_BYTES);
  return end ? (size_t)(end + 1 - text) : WRITE_BYTES;
}

void
log_flush (void)
{
  size_t written = 0;
  if (events.len == 0)
    return;
  if (!events.nonblocking)
    set_nonblocking ();
  while (written < events.len)
    {
      ssize_t n = write (STDOUT_FILENO, events.bytes + written, lines_to_write (written));
      if (n <= 0)
        break;
      written += (size_t)n;
    }
  events.len -= written;
  memmove (events.bytes, events.bytes + written, events.len);
  if (events.len == 0)
    report_dropped ();
}
