/* proxy_head: parses and filters the heads of requests and answers that the proxy forwards.

   A request head is refused when its framing is ambiguous (request smuggling): Content-Length
   together with Transfer-Encoding, repeated or malformed Content-Length, any transfer coding but
   chunked, folded lines or control characters.  An answer head is refused for the same
   reasons, and when its framing does not show where the answer ends.  Hop-by-hop fields are
   removed in both directions, including those listed in Connection.

   Does no I/O.  Source: RFC 9112 sections 5 and 6, RFC 9110 section 7.6.1.  */

#ifndef SASSAFRAS_PROXY_HEAD_H
#define SASSAFRAS_PROXY_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "buffer.h"
#include "status.h"

#define HEAD_MAX_BYTES 32768

struct head
{
  struct buffer lines;      /* fields to forward, "Name: value\n" each */
  struct buffer connection; /* values of Connection, joined by commas */
  bool answer;              /* true for an answer, false for a request */
  int code;                 /* status code of an answer */
  bool complete;            /* all fields were received */
  size_t bytes;             /* size of an answer's head, with interim (1xx) answers */
  int64_t content_length;   /* -1 when absent */
  bool chunked;
  bool not_run;      /* Sassafras-Not-Run: 1 */
  int64_t in_flight; /* Sassafras-In-Flight, -1 when absent */
  const char *fault; /* why the head is refused, else NULL */
};

void head_init (struct head *h, bool answer); /* An empty head. */
void head_close (struct head *h);             /* Frees the buffers. */
void head_add (struct head *h, const char *name, const char *value,
               size_t value_len);  /* One field, in the order received. */
void head_finish (struct head *h); /* After the last field: removes hop-by-hop fields. */
void head_add_line (struct head *h, const char *line,
                    size_t len); /* One raw line of an answer; the empty one finishes it. */
bool head_bodyless (const struct head *h, const char *method); /* Whether the answer has no body. */
void head_each (const struct head *h,
                void (*visit) (void *arg, const char *name, const char *value),
                void *arg); /* Calls VISIT for every forwarded field. */
bool head_number (const char *text, int64_t max,
                  int64_t *out);             /* Digits only, 0 to MAX; false otherwise. */
bool head_target_valid (const char *target); /* Origin form of visible ASCII, without a fragment. */

#endif
