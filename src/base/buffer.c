#include "buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_CAPACITY 64

static void *
check_allocated (void *p)
{
  if (p)
    return p;
  fputs ("out of memory\n", stderr);
  abort ();
}

void *
xmalloc (size_t size)
{
  return check_allocated (malloc (size ? size : 1));
}

void *
xcalloc (size_t count, size_t size)
{
  return check_allocated (calloc (count ? count : 1, size ? size : 1));
}

void *
xrealloc (void *p, size_t size)
{
  return check_allocated (realloc (p, size ? size : 1));
}

char *
xstrdup (const char *s)
{
  return check_allocated (strdup (s));
}

void
buffer_init (struct buffer *b)
{
  memset (b, 0, sizeof *b);
}

void
buffer_close (struct buffer *b)
{
  free (b->data);
  buffer_init (b);
}

void
buffer_reserve (struct buffer *b, size_t extra)
{
  size_t need = b->len + extra + 1;
  if (need <= b->capacity)
    return;
  size_t capacity = b->capacity ? b->capacity : MIN_CAPACITY;
  while (capacity < need)
    capacity *= 2;
  b->data = xrealloc (b->data, capacity);
  b->capacity = capacity;
}

void
buffer_append (struct buffer *b, const void *data, size_t len)
{
  buffer_reserve (b, len);
  if (len > 0)
    memcpy (b->data + b->len, data, len);
  b->len += len;
  b->data[b->len] = '\0';
}

void
buffer_consume (struct buffer *b, size_t len)
{
  if (len == 0)
    return;
  b->len -= len;
  memmove (b->data, b->data + len, b->len);
  b->data[b->len] = '\0';
}

void
buffer_printf (struct buffer *b, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  va_list copy;
  va_copy (copy, args);
  int len = vsnprintf (NULL, 0, format, copy);
  va_end (copy);
  if (len > 0)
    {
      buffer_reserve (b, (size_t)len);
      vsnprintf (b->data + b->len, (size_t)len + 1, format, args);
      b->len += (size_t)len;
    }
  va_end (args);
}
