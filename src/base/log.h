/* log: logger with levels.  Lines are for state changes only; frequent events are counters.
   Format: text or JSON lines on standard error, with time, level, process id and data centre.

   log_event writes structured lines, "time=... level=... vm=... event=NAME key=value ...", to
   standard output: one for each decision that affects a request or changes the state of the
   process.  They are buffered and written by log_flush, which never blocks: output that a full pipe
   does not accept stays buffered, and a line that finds the buffer full is dropped whole.  At most
   LOG_EVENTS_PER_S lines per second are accepted, plus LOG_WARNINGS_PER_S warnings, errors and
   lines of log_state, for which a part of the buffer is kept too.  The number of lines dropped for
   either reason is logged with event=lines-left-out.  */

#ifndef SASSAFRAS_LOG_H
#define SASSAFRAS_LOG_H

#include <stdbool.h>

#define LOG_EVENTS_PER_S 4000          /* about 0.6 MB/s; twice the peak rate of decisions */
#define LOG_WARNINGS_PER_S 400         /* in addition; not for lines about single runs */
#define LOG_BUFFER_BYTES (256u << 10)  /* buffer for log_flush */
#define LOG_RESERVED_BYTES (32u << 10) /* of it, not for lines about single runs */

enum log_level
{
  LOG_ERROR,
  LOG_WARN,
  LOG_INFO,
  LOG_DEBUG,
};

struct log_config
{
  enum log_level level; /* lines above this level are dropped */
  bool json;            /* JSON lines instead of text */
  char vm[64];          /* id of this VM, may be empty */
  char data_centre[64]; /* data centre of this VM, may be empty */
};

void log_configure (const struct log_config *config); /* Sets level, format, VM and data centre. */
int log_level_from_name (const char *name,
                         enum log_level *out); /* "error".."debug"; -1 when unknown. */
void log_line (enum log_level level, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Writes one line. */
void log_event (enum log_level level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* One structured line; FORMAT: key=value. */
/* Like log_event at LOG_INFO, for the state of the process or group, at most some lines a second.
 */
void log_state (const char *event, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
void log_flush (void); /* Writes buffered events; never blocks. */

#endif
