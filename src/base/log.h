/* log: leveled logger.  Lines are for changes of state only; anything frequent is a counter.
   Format: text or JSON lines on standard error, with time, level, process id and data centre.  */

#ifndef SASSAFRAS_LOG_H
#define SASSAFRAS_LOG_H

#include <stdbool.h>

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

#endif
