/* settings_check: parses and validates settings and the files they name; used by settings.c.  */

#ifndef SASSAFRAS_SETTINGS_CHECK_H
#define SASSAFRAS_SETTINGS_CHECK_H

#include "settings.h"

enum setting_kind
{
  SETTING_NAME,
  SETTING_NODE,
  SETTING_MEMORY,
  SETTING_ADDRESS,
  SETTING_FILE,
  SETTING_FOLDER,
  SETTING_LEVEL,
  SETTING_FORMAT,
};

struct setting
{
  const char *name; /* of the flag */
  const char *placeholder;
  const char *help;
  enum setting_kind kind;
  bool required;
  const char *fallback; /* default as text, or NULL */
  size_t offset;        /* of the field in struct settings */
  size_t size;          /* of the field */
};

struct setting_faults
{
  struct buffer *out; /* one line per fault */
  size_t count;
};

void setting_fault (struct setting_faults *faults, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Reports one fault. */
void setting_read (struct settings *s, const struct setting *setting, const char *value,
                   const char *source, struct setting_faults *faults); /* Parses one setting. */
void settings_check_files (struct settings *s, bool lists,
                           struct setting_faults *faults); /* Members, token, data_dir, lists. */

#endif
