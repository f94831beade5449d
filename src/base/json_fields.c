#include "json_fields.h"

#include <inttypes.h>
#include <string.h>

struct json_fields
json_fields_begin (json_t *object, struct status *st)
{
  struct json_fields f = { object, st, false };
  status_clear (st);
  if (!json_is_object (object))
    {
      f.failed = true;
      status_set (st, STATUS_BAD_REQUEST, "the body must be a JSON object");
    }
  return f;
}

static const char *
read_string (struct json_fields *f, const char *name, size_t min, size_t max)
{
  json_t *value = json_object_get (f->object, name);
  const char *text = json_string_value (value);
  size_t len = json_string_length (value);
  if (text && len >= min && len <= max && strlen (text) == len)
    return text;
  f->failed = true;
  status_set (f->st, STATUS_BAD_REQUEST, "%s must be a string of %zu to %zu bytes", name, min, max);
  return "";
}

static uint64_t
read_number (struct json_fields *f, const char *name, uint64_t max)
{
  json_t *value = json_object_get (f->object, name);
  json_int_t n = json_integer_value (value);
  if (json_is_integer (value) && n >= 0 && (uint64_t)n <= max)
    return (uint64_t)n;
  f->failed = true;
  status_set (f->st, STATUS_BAD_REQUEST, "%s must be an integer from 0 to %" PRIu64, name, max);
  return 0;
}

const char *
json_field_string (struct json_fields *f, const char *name, size_t max)
{
  return f->failed ? "" : read_string (f, name, 1, max);
}

const char *
json_field_string_or (struct json_fields *f, const char *name, size_t max, const char *fallback)
{
  if (f->failed || !json_object_get (f->object, name))
    return fallback;
  return read_string (f, name, 0, max);
}

uint64_t
json_field_u64 (struct json_fields *f, const char *name, uint64_t max)
{
  return f->failed ? 0 : read_number (f, name, max);
}

uint64_t
json_field_u64_or (struct json_fields *f, const char *name, uint64_t fallback)
{
  if (f->failed || !json_object_get (f->object, name))
    return fallback;
  return read_number (f, name, INT64_MAX);
}

uint32_t
json_field_u32 (struct json_fields *f, const char *name)
{
  return f->failed ? 0 : (uint32_t)read_number (f, name, UINT32_MAX);
}

uint32_t
json_field_u32_or (struct json_fields *f, const char *name, uint32_t fallback)
{
  if (f->failed || !json_object_get (f->object, name))
    return fallback;
  return (uint32_t)read_number (f, name, UINT32_MAX);
}

bool
json_field_bool_or (struct json_fields *f, const char *name, bool fallback)
{
  json_t *value = json_object_get (f->object, name);
  if (f->failed || !value)
    return fallback;
  if (json_is_boolean (value))
    return json_is_true (value);
  f->failed = true;
  status_set (f->st, STATUS_BAD_REQUEST, "%s must be true or false", name);
  return fallback;
}
