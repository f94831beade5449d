/* buffer: growable byte string.  Allocation failure ends the process: a scheduler that cannot
   allocate a few bytes can keep no promise, and its restart is a failure the others survive.  */

#ifndef SASSAFRAS_BUFFER_H
#define SASSAFRAS_BUFFER_H

#include <stddef.h>
#include <stdint.h>

struct buffer
{
  char *data;      /* NUL-terminated once anything was appended; NULL while empty */
  size_t len;      /* bytes in use, without the NUL */
  size_t capacity; /* bytes allocated */
};

void buffer_init (struct buffer *b);                  /* An empty buffer. */
void buffer_close (struct buffer *b);                 /* Frees the bytes; B is empty again. */
void buffer_reserve (struct buffer *b, size_t extra); /* Room for EXTRA more bytes. */
void buffer_append (struct buffer *b, const void *data, size_t len); /* Appends LEN bytes. */
void buffer_consume (struct buffer *b, size_t len); /* Drops the first LEN bytes. */
void buffer_printf (struct buffer *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Appends formatted text. */
void *xmalloc (size_t size);                 /* malloc that ends the process on failure. */
void *xcalloc (size_t count, size_t size);   /* calloc that ends the process on failure. */
void *xrealloc (void *p, size_t size);       /* realloc that ends the process on failure. */
char *xstrdup (const char *s);               /* strdup that ends the process on failure. */

#endif
