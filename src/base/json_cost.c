#include "json_cost.h"

/* Of jansson's structures, with their share of tables and of the allocator.  */
#define OBJECT_BYTES 256
#define ARRAY_BYTES 160
#define MEMBER_BYTES 112
#define VALUE_BYTES 48

/* Returns the position after the string whose opening quote is before START.  */
static const char *
skip_string (const char *start, const char *end)
{
  const char *p = start;
  while (p < end && *p != '"')
    p += *p == '\\' && end - p > 1 ? 2 : 1;
  return p < end ? p + 1 : end;
}

static size_t
value_bytes (char c)
{
  switch (c)
    {
    case '{':
      return OBJECT_BYTES;
    case '[':
      return ARRAY_BYTES;
    case ':':
      return MEMBER_BYTES;
    case ',':
      return VALUE_BYTES;
    default:
      return 0;
    }
}

size_t
json_parsed_bytes (const char *text, size_t len)
{
  const char *end = text ? text + len : text;
  size_t bytes = VALUE_BYTES;
  for (const char *p = text; p < end;)
    {
      char c = *p++;
      if (c == '"')
        p = skip_string (p, end);
      else
        bytes += value_bytes (c);
    }
  return bytes;
}
