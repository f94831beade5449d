/* buffer: growable byte string.  An allocation failure aborts the process: a scheduler that cannot
   allocate a few bytes cannot meet its guarantees, and the other VMs tolerate its restart.  */

#ifndef SASSAFRAS_BUFFER_H
#define SASSAFRAS_BUFFER_H

#include <stddef.h>
#include <stdint.h>

struct buffer
{
  char *data;      /* NUL-terminated after the first append; NULL before */
  size_t len;      /* bytes in use, without the NUL */
  size_t capacity; /* bytes allocated */
};

void buffer_init (struct buffer *b);                  /* An empty buffer. */
void buffer_close (struct buffer *b);                 /* Frees the bytes and empties B. */
void buffer_reserve (struct buffer *b, size_t extra); /* Reserves EXTRA more bytes. */
void buffer_append (struct buffer *b, const void *data, size_t len); /* Appends LEN bytes. */
void buffer_consume (struct buffer *b, size_t len); /* Drops the first LEN bytes. */
void buffer_printf (struct buffer *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Appends formatted text. */
void *xmalloc (size_t size);                 /* malloc that aborts on failure. */
void *xcalloc (size_t count, size_t size);   /* calloc that aborts on failure. */
void *xrealloc (void *p, size_t size);       /* realloc that aborts on failure. */
char *xstrdup (const char *s);               /* strdup that aborts on failure. */

#endif
