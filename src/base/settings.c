#include "settings.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "settings_check.h"

#define DEFAULT_CALLERS "127.0.0.1:7400"
#define GLOSSARY_FORMAT "  %-32s %s\n"
#define ENV_BYTES 64

static const struct setting table[] = {
  { "vm", "<name>", "name of this VM in the members file", SETTING_NAME, true, NULL,
    offsetof (struct settings, vm), SETTINGS_NAME_BYTES },
  { "data-centre", "<name>", "data centre of this VM", SETTING_NAME, true, NULL,
    offsetof (struct settings, data_centre), SETTINGS_NAME_BYTES },
  { "region", "<name>", "region of this VM", SETTING_NAME, true, NULL,
    offsetof (struct settings, region), SETTINGS_NAME_BYTES },
  { "deployment", "<name>", "name all VMs of one installation share", SETTING_NAME, true, NULL,
    offsetof (struct settings, deployment), SETTINGS_NAME_BYTES },
  { "node", "<number>", "member id of this VM (default: from the members file)", SETTING_NODE,
    false, NULL, offsetof (struct settings, node), sizeof (uint64_t) },
  { "data-dir", "<folder>", "folder on this VM's disk (default: none, no voter)", SETTING_FOLDER,
    false, NULL, offsetof (struct settings, data_dir), SETTINGS_PATH_BYTES },
  { "listen-callers", "<ip:port>", "for callers (default: " DEFAULT_CALLERS ")", SETTING_ADDRESS,
    false, DEFAULT_CALLERS, offsetof (struct settings, callers), SETTINGS_ADDRESS_BYTES },
  { "listen-backends", "<ip:port>", "for backend servers (default: members file)", SETTING_ADDRESS,
    false, NULL, offsetof (struct settings, backends), SETTINGS_ADDRESS_BYTES },
  { "listen-operators", "<ip:port>", "for operators (default: members file)", SETTING_ADDRESS,
    false, NULL, offsetof (struct settings, operators), SETTINGS_ADDRESS_BYTES },
  { "listen-peers", "<ip:port>", "for the other VMs (default: members file)", SETTING_ADDRESS,
    false, NULL, offsetof (struct settings, peers), SETTINGS_ADDRESS_BYTES },
  { "members-file", "<file>", "JSON file with every VM", SETTING_FILE, true, NULL,
    offsetof (struct settings, members_file), SETTINGS_PATH_BYTES },
  { "token-file", "<file>", "operators' token (default: none needed)", SETTING_FILE, false, NULL,
    offsetof (struct settings, token_file), SETTINGS_PATH_BYTES },
  { "memory-mb", "<MiB>", "memory of the machine (default: that of the operating system)",
    SETTING_MEMORY, false, NULL, offsetof (struct settings, memory_mb), sizeof (int64_t) },
  { "log-level", "<level>", "error, warn, info or debug (default: info)", SETTING_LEVEL, false,
    "info", offsetof (struct settings, log.level), sizeof (enum log_level) },
  { "log-format", "<format>", "text or json (default: text)", SETTING_FORMAT, false, "text",
    offsetof (struct settings, log.json), sizeof (bool) },
  { "plans-file", "<file>", "list of plans that --check checks", SETTING_FILE, false, NULL,
    offsetof (struct settings, plans_file), SETTINGS_PATH_BYTES },
  { "customers-file", "<file>", "list of customers that --check checks", SETTING_FILE, false, NULL,
    offsetof (struct settings, customers_file), SETTINGS_PATH_BYTES },
};

enum
{
  SETTING_COUNT = sizeof table / sizeof *table,
  ARG_HELP = SETTING_COUNT,
  ARG_VERSION,
  ARG_CHECK,
  ARG_END,
  ARG_COUNT
};

#define MAX_FLAG_ERRORS 20

struct flags
{
  void *args[ARG_COUNT];
};

static struct arg_lit *
switch_arg (struct flags *f, int i)
{
  return f->args[i];
}

static void
make_flags (struct flags *f)
{
  for (int i = 0; i < SETTING_COUNT; i++)
    f->args[i] = arg_str0 (NULL, table[i].name, table[i].placeholder, table[i].help);
  f->args[ARG_HELP] = arg_lit0 (NULL, "help", "print this text and exit");
  f->args[ARG_VERSION] = arg_lit0 (NULL, "version", "print the version and exit");
  f->args[ARG_CHECK]
      = arg_lit0 (NULL, "check", "check settings and lists, print every error, exit");
  f->args[ARG_END] = arg_end (MAX_FLAG_ERRORS);
}

static void
env_name (const char *flag, char *out, size_t size)
{
  size_t used = (size_t)snprintf (out, size, "SASSAFRAS_");
  for (; *flag && used + 1 < size; flag++)
    out[used++] = *flag == '-' ? '_' : (char)toupper ((unsigned char)*flag);
  out[used] = '\0';
}

/* Returns the flag, else the environment variable, else the default; NULL when not set.  */
static const char *
find_value (struct flags *f, int i, char *source, size_t size)
{
  const struct arg_str *flag = f->args[i];
  env_name (table[i].name, source, size);
  const char *env = getenv (source);
  if (flag->count > 0)
    {
      snprintf (source, size, "--%s", table[i].name);
      return flag->sval[0];
    }
  return env && env[0] ? env : table[i].fallback;
}

static void
read_table (struct settings *s, struct flags *f, struct setting_faults *faults)
{
  char source[ENV_BYTES];
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const char *value = find_value (f, i, source, sizeof source);
      if (value)
        setting_read (s, &table[i], value, source, faults);
      else if (table[i].required)
        setting_fault (faults, "setting '%s' is missing: use --%s or %s", table[i].name,
                       table[i].name, source);
    }
}

static void
write_flag_errors (struct flags *f, struct setting_faults *faults)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (!stream)
    return;
  arg_print_errors (stream, f->args[ARG_END], "sassafrasd");
  fclose (stream);
  buffer_append (faults->out, text, size);
  faults->count++;
  free (text);
}

static void
write_help (struct flags *f, struct buffer *out)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (!stream)
    return;
  fputs ("Usage: sassafrasd", stream);
  arg_print_syntax (stream, f->args, "\n");
  arg_print_glossary (stream, f->args, GLOSSARY_FORMAT);
  fputs ("Each flag is also read from SASSAFRAS_<FLAG>; the flag takes precedence.\n", stream);
  fclose (stream);
  buffer_append (out, text, size);
  free (text);
}

static enum settings_action
read_and_check (struct settings *s, struct flags *f, int errors, struct buffer *out)
{
  struct setting_faults faults = { out, 0 };
  bool check = switch_arg (f, ARG_CHECK)->count > 0;
  if (errors > 0)
    write_flag_errors (f, &faults);
  read_table (s, f, &faults);
  settings_check_files (s, check, &faults);
  if (faults.count > 0)
    return SETTINGS_REFUSE;
  if (!check)
    return SETTINGS_RUN;
  buffer_printf (out, "settings are valid: VM %s, node %" PRIu64 ", %zu members\n", s->vm, s->node,
                 s->members.count);
  return SETTINGS_EXIT;
}

enum settings_action
settings_read (struct settings *s, int argc, char **argv, struct buffer *out)
{
  struct flags flags;
  enum settings_action action = SETTINGS_EXIT;
  memset (s, 0, sizeof *s);
  s->log.level = LOG_INFO;
  make_flags (&flags);
  int errors = arg_parse (argc, argv, flags.args);
  if (switch_arg (&flags, ARG_HELP)->count > 0)
    write_help (&flags, out);
  else if (switch_arg (&flags, ARG_VERSION)->count > 0)
    buffer_printf (out, "sassafrasd %s\n", SASSAFRAS_VERSION);
  else
    action = read_and_check (s, &flags, errors, out);
  arg_freetable (flags.args, ARG_COUNT);
  return action;
}

void
settings_close (struct settings *s)
{
  members_close (&s->members);
}
