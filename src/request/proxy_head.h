/* proxy_head: heads of requests and answers, as the proxy forwards them.

   A request head is refused when its framing is ambiguous (request smuggling): Content-Length
   together with Transfer-Encoding, repeated or malformed Content-Length, any transfer coding but
   chunked, folded lines or control characters.  An answer head is refused on the same grounds, and
   when the end of the answer could not be recognized.  Hop-by-hop fields are removed both ways,
   including those that Connection names.

   Pure.  Source: RFC 9112 sections 5 and 6, RFC 9110 section 7.6.1.  */

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
  bool answer;              /* head of an answer; else of a request */
  int code;                 /* status of an answer */
  bool complete;            /* the empty line came */
  size_t bytes;             /* bytes of an answer's head, with interim answers */
  int64_t content_length;   /* -1: not given */
  bool chunked;
  bool not_run;      /* Sassafras-Not-Run: 1 */
  int64_t in_flight; /* Sassafras-In-Flight, -1: not given */
  const char *fault; /* why the head is refused, NULL when it is not */
};

void head_init (struct head *h, bool answer); /* An empty head. */
void head_close (struct head *h);             /* Frees the lines. */
void head_add (struct head *h, const char *name, const char *value,
               size_t value_len);  /* One field, in the order received. */
void head_finish (struct head *h); /* All fields are there: removes hop-by-hop ones. */
void head_add_line (struct head *h, const char *line,
                    size_t len); /* One raw line of an answer; the empty one finishes it. */
bool head_bodyless (const struct head *h, const char *method); /* The answer has no body. */
void head_each (const struct head *h,
                void (*visit) (void *arg, const char *name, const char *value),
                void *arg); /* Visits every field to forward. */
bool head_number (const char *text, int64_t max,
                  int64_t *out);             /* Digits only, 0 to MAX; false otherwise. */
bool head_target_valid (const char *target); /* Origin form of visible ASCII, without a fragment. */

#endif
