/* log: leveled logger.  Lines are for changes of state only; anything frequent is a counter.
   Format: text or JSON lines on standard error, with time, level, process id and data centre.

   log_event writes structured lines, "time=... level=... vm=... event=NAME key=value ...", on
   standard output: one for each decision that touches a request or changes what the process
   believes.  They are collected and written by log_flush, which never blocks: what a full pipe does
   not take is dropped.  At most LOG_EVENTS_PER_S lines a second are kept,
   and LOG_WARNINGS_PER_S more warnings and errors.  The number of lines left
   out for either reason is logged with event=lines-left-out.  */

#ifndef SASSAFRAS_LOG_H
#define SASSAFRAS_LOG_H

#include <stdbool.h>

#define LOG_EVENTS_PER_S 4000  /* about 0.6 MB a second; twice the peak of decisions measured */
#define LOG_WARNINGS_PER_S 400 /* beyond these: warnings and errors only */
#define LOG_BUFFER_BYTES (256u << 10) /* lines that wait for log_flush */

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

void log_configure (const struct log_config *config); /* Sets the process's log format. */
int log_level_from_name (const char *name,
                         enum log_level *out); /* "error".."debug"; -1 when unknown. */
void log_line (enum log_level level, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Writes one line. */
void log_event (enum log_level level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* One structured line; FORMAT gives key=value. */
void log_flush (void);                       /* Writes collected events; never blocks. */

#endif
