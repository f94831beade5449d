#include "settings_check.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "http_server.h"
#include "plans.h"

#define MAX_FAULT_BYTES 1024
#define MIN_MEMORY_MB 16
#define MAX_MEMORY_MB (16 << 20) /* 16 TiB; more is taken for a mistake */
#define MEMBERS_FILE_BYTES (1024 * 1024)

void
setting_fault (struct setting_faults *faults, const char *format, ...)
{
  char line[MAX_FAULT_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  buffer_printf (faults->out, "%s\n", line);
  faults->count++;
}

static void
read_node (struct settings *s, const char *value, const char *source, struct setting_faults *faults)
{
  char *end;
  errno = 0;
  unsigned long long number = strtoull (value, &end, 10);
  if (value[0] >= '0' && value[0] <= '9' && !*end && errno == 0 && number >= 1
      && number < (unsigned long long)INT64_MAX)
    s->node = number;
  else
    setting_fault (faults, "%s: '%s' is out of range, allowed: 1 to %" PRId64, source, value,
                   INT64_MAX - 1);
}

static void
read_memory (struct settings *s, const char *value, const char *source,
             struct setting_faults *faults)
{
  char *end;
  errno = 0;
  long long number = strtoll (value, &end, 10);
  if (value[0] >= '0' && value[0] <= '9' && !*end && errno == 0 && number >= MIN_MEMORY_MB
      && number <= MAX_MEMORY_MB)
    s->memory_mb = number;
  else
    setting_fault (faults, "%s: '%s' is out of range, allowed: %d to %d", source, value,
                   MIN_MEMORY_MB, MAX_MEMORY_MB);
}

static void
read_text (struct settings *s, const struct setting *setting, const char *value, const char *source,
           struct setting_faults *faults)
{
  if (strlen (value) < setting->size)
    snprintf ((char *)s + setting->offset, setting->size, "%s", value);
  else
    setting_fault (faults, "%s: '%.60s...' has %zu bytes, allowed: 1 to %zu", source, value,
                   strlen (value), setting->size - 1);
}

static void
read_address (struct settings *s, const struct setting *setting, const char *value,
              const char *source, struct setting_faults *faults)
{
  struct sockaddr_in address;
  if (http_parse_address (value, &address, NULL) == 0)
    read_text (s, setting, value, source, faults);
  else
    setting_fault (faults,
                   "%s: '%s' is not ip:port, allowed: an IPv4 address and a port from 0 to 65535",
                   source, value);
}

static void
read_format (struct settings *s, const char *value, const char *source,
             struct setting_faults *faults)
{
  s->log.json = strcmp (value, "json") == 0;
  if (!s->log.json && strcmp (value, "text") != 0)
    setting_fault (faults, "%s: '%s' is unknown, allowed: text, json", source, value);
}

void
setting_read (struct settings *s, const struct setting *setting, const char *value,
              const char *source, struct setting_faults *faults)
{
  switch (setting->kind)
    {
    case SETTING_NAME:
      if (json_name_valid (value))
        read_text (s, setting, value, source, faults);
      else
        setting_fault (faults,
                       "%s: '%.80s' is no name, allowed: 1 to 63 letters, digits, '.', '_', '-'",
                       source, value);
      break;
    case SETTING_NODE:
      read_node (s, value, source, faults);
      break;
    case SETTING_MEMORY:
      read_memory (s, value, source, faults);
      break;
    case SETTING_ADDRESS:
      read_address (s, setting, value, source, faults);
      break;
    case SETTING_FILE:
    case SETTING_FOLDER:
      read_text (s, setting, value, source, faults);
      break;
    case SETTING_LEVEL:
      if (log_level_from_name (value, &s->log.level) < 0)
        setting_fault (faults, "%s: '%s' is unknown, allowed: error, warn, info, debug", source,
                       value);
      break;
    case SETTING_FORMAT:
      read_format (s, value, source, faults);
      break;
    }
}

int
settings_read_file (const char *path, size_t limit, struct buffer *out, struct status *st)
{
  char chunk[4096];
  size_t got;
  struct stat info;
  FILE *file = fopen (path, "r");
  if (!file)
    return status_set (st, STATUS_NOT_FOUND, "%s: %s", path, strerror (errno));
  if (fstat (fileno (file), &info) < 0 || !S_ISREG (info.st_mode))
    {
      fclose (file);
      return status_set (st, STATUS_BAD_REQUEST, "%s: is not a regular file", path);
    }
  while (out->len <= limit && (got = fread (chunk, 1, sizeof chunk, file)) > 0)
    buffer_append (out, chunk, got);
  bool failed = ferror (file) != 0;
  fclose (file);
  if (failed)
    return status_set (st, STATUS_INTERNAL, "%s: cannot be read", path);
  if (out->len > limit)
    return status_set (st, STATUS_TOO_LARGE, "%s: is over %zu bytes", path, limit);
  return 0;
}

/* Reads the file that a setting names; returns false and reports a fault on failure.  */
static bool
load_file (const char *setting, const char *path, size_t limit, struct buffer *out,
           struct setting_faults *faults)
{
  struct status st;
  buffer_init (out);
  if (settings_read_file (path, limit, out, &st) == 0)
    return true;
  setting_fault (faults, "setting '%s': %s", setting, st.message);
  buffer_close (out);
  return false;
}

static struct json_source
source_of (const char *path, const struct buffer *text)
{
  struct json_source source = { path, text->data ? text->data : "", text->len };
  return source;
}

static void
report_json (struct json_faults *list, struct setting_faults *faults)
{
  json_faults_write (list, faults->out);
  faults->count += list->count + list->dropped;
  json_faults_close (list);
}

static void
read_members (struct settings *s, struct setting_faults *faults)
{
  struct json_faults list = { 0 };
  struct buffer text;
  if (!s->members_file[0]
      || !load_file ("members-file", s->members_file, MEMBERS_FILE_BYTES, &text, faults))
    return;
  struct json_source source = source_of (s->members_file, &text);
  members_parse (&source, &s->members, &list);
  report_json (&list, faults);
  buffer_close (&text);
}

static void
compare_name (const char *setting, const char *value, const char *listed,
              struct setting_faults *faults)
{
  if (value[0] && strcmp (value, listed) != 0)
    setting_fault (faults, "setting '%s': '%s' differs from the members file, allowed: '%s'",
                   setting, value, listed);
}

static void
default_address (char *field, const char *listed)
{
  if (!field[0])
    snprintf (field, SETTINGS_ADDRESS_BYTES, "%s", listed);
}

static void
check_self (struct settings *s, struct setting_faults *faults)
{
  const registry_member *self = members_find (&s->members, s->vm);
  if (s->members.count == 0 || !s->vm[0])
    return;
  if (!self)
    {
      setting_fault (faults, "setting 'vm': '%s' is not in the members file %s", s->vm,
                     s->members_file);
      return;
    }
  compare_name ("data-centre", s->data_centre, self->data_centre, faults);
  compare_name ("region", s->region, self->region, faults);
  if (s->node == 0)
    s->node = self->node;
  if (s->node != self->node)
    setting_fault (faults,
                   "setting 'node': %" PRIu64 " differs from the members file, allowed: %" PRIu64,
                   s->node, (uint64_t)self->node);
  default_address (s->backends, self->backend);
  default_address (s->operators, self->operators);
  default_address (s->peers, self->peer);
  if (!s->data_dir[0] && (self->registry_voter || self->cells.cells_len > 0))
    setting_fault (faults, "setting 'data-dir' is missing: VM '%s' is a voter", s->vm);
}

static void
check_data_dir (const struct settings *s, struct setting_faults *faults)
{
  struct stat info;
  if (!s->data_dir[0])
    return;
  if (stat (s->data_dir, &info) < 0)
    setting_fault (faults, "setting 'data-dir': %s: %s", s->data_dir, strerror (errno));
  else if (!S_ISDIR (info.st_mode))
    setting_fault (faults, "setting 'data-dir': %s is not a folder", s->data_dir);
  else if (access (s->data_dir, R_OK | W_OK | X_OK) < 0)
    setting_fault (faults, "setting 'data-dir': %s: %s", s->data_dir, strerror (errno));
}

/* Strips the line end; false when the rest is not one printable word.  */
static bool
token_valid (char *token)
{
  size_t len = strcspn (token, "\r\n");
  if (token[len + strspn (token + len, "\r\n")])
    return false;
  token[len] = '\0';
  for (size_t i = 0; i < len; i++)
    if (token[i] <= ' ' || token[i] > '~')
      return false;
  return len > 0;
}

/* Messages must not contain the token.  */
static void
read_token (struct settings *s, struct setting_faults *faults)
{
  struct buffer text;
  struct stat info;
  if (!s->token_file[0]
      || !load_file ("token-file", s->token_file, SETTINGS_TOKEN_BYTES - 1, &text, faults))
    return;
  if (stat (s->token_file, &info) == 0 && (info.st_mode & S_IROTH))
    setting_fault (faults, "setting 'token-file': %s can be read by every user, allowed: mode 0640",
                   s->token_file);
  if (text.data && strlen (text.data) == text.len && token_valid (text.data))
    snprintf (s->token, sizeof s->token, "%s", text.data);
  else
    setting_fault (faults,
                   "setting 'token-file': %s must hold one line of 1 to %d printable "
                   "characters without spaces",
                   s->token_file, SETTINGS_TOKEN_BYTES - 2);
  buffer_close (&text);
}

static void
check_lists (const struct settings *s, struct setting_faults *faults)
{
  struct json_faults list = { 0 };
  struct buffer plans = { 0 };
  struct buffer customers = { 0 };
  if (!s->plans_file[0] && !s->customers_file[0])
    return;
  if (!s->plans_file[0] || !s->customers_file[0])
    {
      setting_fault (faults, "settings 'plans-file' and 'customers-file' must be set together");
      return;
    }
  bool have_plans = load_file ("plans-file", s->plans_file, PLANS_LIST_BYTES, &plans, faults);
  bool have_customers
      = load_file ("customers-file", s->customers_file, PLANS_LIST_BYTES, &customers, faults);
  if (have_plans && have_customers)
    {
      struct json_source a = source_of (s->plans_file, &plans);
      struct json_source b = source_of (s->customers_file, &customers);
      plans_unref (plans_parse (&a, &b, &list));
      report_json (&list, faults);
    }
  buffer_close (&plans);
  buffer_close (&customers);
}

void
settings_check_files (struct settings *s, bool lists, struct setting_faults *faults)
{
  read_members (s, faults);
  check_self (s, faults);
  check_data_dir (s, faults);
  read_token (s, faults);
  if (lists)
    check_lists (s, faults);
  snprintf (s->log.vm, sizeof s->log.vm, "%s", s->vm);
  snprintf (s->log.data_centre, sizeof s->log.data_centre, "%s", s->data_centre);
}
