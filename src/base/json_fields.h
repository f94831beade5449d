/* json_fields: reads the fields of a JSON object and reports the first invalid one.

   Strings are owned by the object.  After the first fault all further reads return defaults.  */

#ifndef SASSAFRAS_JSON_FIELDS_H
#define SASSAFRAS_JSON_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "status.h"

struct json_fields
{
  json_t *object;
  struct status *st;
  bool failed; /* ST names the field */
};

struct json_fields json_fields_begin (json_t *object,
                                      struct status *st); /* Fails when not an object. */
const char *json_field_string (struct json_fields *f, const char *name,
                               size_t max); /* Required, 1 to MAX bytes. */
const char *json_field_string_or (struct json_fields *f, const char *name, size_t max,
                                  const char *fallback); /* Optional, up to MAX bytes. */
uint64_t json_field_u64 (struct json_fields *f, const char *name, uint64_t max); /* Required. */
uint64_t json_field_u64_or (struct json_fields *f, const char *name, uint64_t fallback);
uint32_t json_field_u32 (struct json_fields *f, const char *name); /* Required. */
uint32_t json_field_u32_or (struct json_fields *f, const char *name, uint32_t fallback);
bool json_field_bool_or (struct json_fields *f, const char *name, bool fallback);

#endif
