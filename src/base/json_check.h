/* json_check: validates hand-edited JSON files and reports all faults at once.

   A check walks a document along a path of keys and array indexes.  Each fault has the file, the
   line of the value, its JSON path and the reason.  jansson gives positions for syntax errors only;
   for other faults json_locate finds the line by following the path through the text.  */

#ifndef SASSAFRAS_JSON_CHECK_H
#define SASSAFRAS_JSON_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "buffer.h"
#include "status.h"

#define JSON_MAX_FAULTS 200 /* further faults are only counted; more are of no use to a reader */
#define JSON_PATH_BYTES 160
#define JSON_PATH_DEPTH 8

/* A document to check.  */
struct json_source
{
  const char *name; /* shown in messages */
  const char *text;
  size_t len;
};

struct json_fault
{
  char file[256];
  int line;                   /* from 1; 0 when unknown */
  char path[JSON_PATH_BYTES]; /* for example $.plans[2].weight */
  char reason[STATUS_MESSAGE_BYTES];
};

struct json_faults
{
  struct json_fault *items;
  size_t count;   /* faults listed */
  size_t dropped; /* faults beyond JSON_MAX_FAULTS */
};

/* One step of a path: a key, or an array index when the key is NULL.  */
struct json_step
{
  const char *key;
  size_t index;
};

/* Position of the last fault: element INDEX of the array that is member KEY of the root.  The next
   fault usually follows it, so the text is scanned once instead of once per fault.  */
struct json_position
{
  const char *key; /* NULL: no position yet */
  size_t index;
  size_t at; /* byte offset */
  int line;
};

/* State of one check.  */
struct json_check
{
  const struct json_source *source;
  struct json_faults *faults;
  struct json_step steps[JSON_PATH_DEPTH];
  size_t depth;
  struct json_position last;
};

json_t *json_check_load (struct json_check *c, const struct json_source *source,
                         struct json_faults *faults);        /* Parses; NULL on a syntax error. */
void json_check_key (struct json_check *c, const char *key); /* Enters a member. */
void json_check_index (struct json_check *c, size_t index);  /* Enters an array element. */
void json_check_leave (struct json_check *c);                /* Leaves it again. */
void json_check_fault (struct json_check *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Reports a fault at the current path. */
void json_check_fault_at (struct json_check *c, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* Reports a fault of member KEY. */
bool json_check_object (struct json_check *c, const json_t *value,
                        const char *const *allowed); /* Is an object; other fields are faults. */
json_t *json_check_array (struct json_check *c, const json_t *object, const char *key,
                          bool required, size_t limit); /* Array member, or NULL. */
bool json_check_int (struct json_check *c, const json_t *object, const char *key, int64_t lo,
                     int64_t hi, int64_t *out); /* Required integer in [LO, HI]. */
bool json_check_bool (struct json_check *c, const json_t *object, const char *key, bool missing,
                      bool *out); /* Optional; MISSING when absent. */
bool json_check_name (struct json_check *c, const json_t *object, const char *key, char *out,
                      size_t size); /* Required name of letters, digits, '.', '_' and '-'. */
const char *json_check_string (struct json_check *c, const json_t *object, const char *key,
                               size_t limit); /* Required string under LIMIT bytes, or NULL. */
bool json_name_valid (const char *name);      /* 1 to 63 letters, digits, '.', '_', '-'. */
int json_locate (const char *text, size_t len, const struct json_step *steps, size_t depth,
                 struct json_position *last); /* Line of a value in valid JSON; LAST may be NULL. */
void json_faults_close (struct json_faults *faults); /* Frees the list. */
void json_faults_write (const struct json_faults *faults,
                        struct buffer *out); /* One line per fault: file:line: path: reason. */
json_t *json_faults_json (const struct json_faults *faults); /* Array of objects. */

#endif
