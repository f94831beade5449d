#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define LINE_BYTES 1024

/* One logger per process: log lines come from every module, and passing a handle everywhere would
   only repeat the same pointer.  */
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
