#include "json_check.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME_BYTES 64

static struct json_fault *
new_fault (struct json_faults *faults, const char *file)
{
  if (faults->count >= JSON_MAX_FAULTS)
    {
      faults->dropped++;
      return NULL;
    }
  faults->items = xrealloc (faults->items, (faults->count + 1) * sizeof *faults->items);
  struct json_fault *fault = &faults->items[faults->count++];
  memset (fault, 0, sizeof *fault);
  snprintf (fault->file, sizeof fault->file, "%s", file);
  return fault;
}

static void
write_path (const struct json_check *c, char *out, size_t size)
{
  size_t used = (size_t)snprintf (out, size, "$");
  for (size_t i = 0; i < c->depth && used < size; i++)
    {
      const struct json_step *step = &c->steps[i];
      int n = step->key ? snprintf (out + used, size - used, ".%s", step->key)
                        : snprintf (out + used, size - used, "[%zu]", step->index);
      used += (size_t)n;
    }
}

/* Sanitizes a text that was truncated at a byte limit for one line of output: removes a partial
   UTF-8 character at its end and replaces control characters.  */
static void
clean_text (char *text)
{
  size_t len = strlen (text);
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
      text[i] = '?';
  size_t start = len;
  while (start > 0 && ((unsigned char)text[start - 1] & 0xc0) == 0x80)
    start--;
  if (start == 0)
    return;
  unsigned char lead = (unsigned char)text[start - 1];
  size_t need = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : lead >= 0xc0 ? 2 : 1;
  if (len - (start - 1) < need)
    text[start - 1] = '\0';
}

json_t *
json_check_load (struct json_check *c, const struct json_source *source, struct json_faults *faults)
{
  json_error_t error;
  memset (c, 0, sizeof *c);
  c->source = source;
  c->faults = faults;
  json_t *root = json_loadb (source->text, source->len, JSON_REJECT_DUPLICATES, &error);
  if (root)
    return root;
  struct json_fault *fault = new_fault (faults, source->name);
  if (!fault)
    return NULL;
  fault->line = error.line > 0 ? error.line : 0;
  snprintf (fault->path, sizeof fault->path, "$");
  snprintf (fault->reason, sizeof fault->reason, "malformed JSON at column %d: %s", error.column,
            error.text);
  clean_text (fault->reason);
  return NULL;
}

static void
enter (struct json_check *c, const char *key, size_t index)
{
  if (c->depth >= JSON_PATH_DEPTH)
    abort ();
  c->steps[c->depth].key = key;
  c->steps[c->depth].index = index;
  c->depth++;
}

void
json_check_key (struct json_check *c, const char *key)
{
  enter (c, key, 0);
}

void
json_check_index (struct json_check *c, size_t index)
{
  enter (c, NULL, index);
}

void
json_check_leave (struct json_check *c)
{
  c->depth--;
}

static void
add_fault (struct json_check *c, const char *format, va_list args)
{
  struct json_fault *fault = new_fault (c->faults, c->source->name);
  if (!fault)
    return;
  vsnprintf (fault->reason, sizeof fault->reason, format, args);
  clean_text (fault->reason);
  write_path (c, fault->path, sizeof fault->path);
  clean_text (fault->path);
  fault->line = json_locate (c->source->text, c->source->len, c->steps, c->depth, &c->last);
}

void
json_check_fault (struct json_check *c, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_fault (c, format, args);
  va_end (args);
}

void
json_check_fault_at (struct json_check *c, const char *key, const char *format, ...)
{
  va_list args;
  json_check_key (c, key);
  va_start (args, format);
  add_fault (c, format, args);
  va_end (args);
  json_check_leave (c);
}

static bool
is_allowed (const char *key, const char *const *allowed)
{
  for (; *allowed; allowed++)
    if (strcmp (key, *allowed) == 0)
      return true;
  return false;
}

bool
json_check_object (struct json_check *c, const json_t *value, const char *const *allowed)
{
  const char *key;
  json_t *member;
  if (!json_is_object (value))
    {
      json_check_fault (c, "must be an object");
      return false;
    }
  json_object_foreach ((json_t *)value, key, member)
  {
    if (strcmp (key, "comment") == 0 && json_is_string (member))
      continue;
    if (!is_allowed (key, allowed))
      json_check_fault_at (c, key, "unknown field '%s'", key);
  }
  return true;
}

json_t *
json_check_array (struct json_check *c, const json_t *object, const char *key, bool required,
                  size_t limit)
{
  json_t *value = json_object_get (object, key);
  if (!value && required)
    json_check_fault (c, "field '%s' is missing", key);
  if (!value)
    return NULL;
  if (!json_is_array (value))
    {
      json_check_fault_at (c, key, "must be an array");
      return NULL;
    }
  if (json_array_size (value) <= limit)
    return value;
  json_check_fault_at (c, key, "has %zu elements, at most %zu are allowed", json_array_size (value),
                       limit);
  return NULL;
}

bool
json_check_int (struct json_check *c, const json_t *object, const char *key, int64_t lo, int64_t hi,
                int64_t *out)
{
  const json_t *value = json_object_get (object, key);
  *out = lo;
  if (!value)
    {
      json_check_fault (c, "field '%s' is missing", key);
      return false;
    }
  if (!json_is_integer (value))
    {
      json_check_fault_at (c, key, "must be a whole number from %" PRId64 " to %" PRId64, lo, hi);
      return false;
    }
  int64_t number = json_integer_value (value);
  if (number < lo || number > hi)
    {
      json_check_fault_at (c, key, "%" PRId64 " is out of range, allowed: %" PRId64 " to %" PRId64,
                           number, lo, hi);
      return false;
    }
  *out = number;
  return true;
}

bool
json_check_bool (struct json_check *c, const json_t *object, const char *key, bool missing,
                 bool *out)
{
  const json_t *value = json_object_get (object, key);
  *out = missing;
  if (!value)
    return true;
  if (!json_is_boolean (value))
    {
      json_check_fault_at (c, key, "must be true or false");
      return false;
    }
  *out = json_is_true (value);
  return true;
}

bool
json_name_valid (const char *name)
{
  size_t len = strlen (name);
  if (len == 0 || len >= NAME_BYTES || !isalnum ((unsigned char)name[0]))
    return false;
  for (size_t i = 0; i < len; i++)
    if (!isalnum ((unsigned char)name[i]) && !strchr ("._-", name[i]))
      return false;
  return true;
}

const char *
json_check_string (struct json_check *c, const json_t *object, const char *key, size_t limit)
{
  const json_t *value = json_object_get (object, key);
  if (!value)
    {
      json_check_fault (c, "field '%s' is missing", key);
      return NULL;
    }
  if (!json_is_string (value))
    {
      json_check_fault_at (c, key, "must be a string");
      return NULL;
    }
  if (json_string_length (value) < limit)
    return json_string_value (value);
  json_check_fault_at (c, key, "is longer than %zu bytes", limit - 1);
  return NULL;
}

bool
json_check_name (struct json_check *c, const json_t *object, const char *key, char *out,
                 size_t size)
{
  const char *name = json_check_string (c, object, key, size);
  out[0] = '\0';
  if (!name)
    return false;
  if (!json_name_valid (name))
    {
      json_check_fault_at (c, key, "'%s' is no name: 1 to 63 letters, digits, '.', '_' or '-'",
                           name);
      return false;
    }
  snprintf (out, size, "%s", name);
  return true;
}

void
json_faults_close (struct json_faults *faults)
{
  free (faults->items);
  memset (faults, 0, sizeof *faults);
}

void
json_faults_write (const struct json_faults *faults, struct buffer *out)
{
  for (size_t i = 0; i < faults->count; i++)
    {
      const struct json_fault *f = &faults->items[i];
      buffer_printf (out, "%s:%d: %s: %s\n", f->file, f->line, f->path, f->reason);
    }
  if (faults->dropped > 0)
    buffer_printf (out, "%zu more faults are not listed\n", faults->dropped);
}

json_t *
json_faults_json (const struct json_faults *faults)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < faults->count; i++)
    {
      const struct json_fault *f = &faults->items[i];
      json_array_append_new (list, json_pack ("{s:s, s:i, s:s, s:s}", "file", f->file, "line",
                                              f->line, "path", f->path, "reason", f->reason));
    }
  return list;
}
