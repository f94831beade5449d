/* http_client: HTTP client on libcurl's multi interface, driven by the libev loop.

   Each purpose has a client of its own, so that connection limits stay separate.  http_client_send
   is for small requests and buffers the complete answer; the proxy creates its own easy handles and
   runs them with http_client_add.  */

#ifndef SASSAFRAS_HTTP_CLIENT_H
#define SASSAFRAS_HTTP_CLIENT_H

#include <stddef.h>

#include <curl/curl.h>
#include <ev.h>

#include "buffer.h"
#include "memory_budget.h"
#include "status.h"

#define HTTP_MAX_ANSWER_BYTES ((size_t)4 << 20) /* default of max_answer */

struct http_client;

/* Answer to http_client_send; valid only inside the callback.  */
struct http_answer
{
  int code;             /* HTTP status, 0 when no answer arrived */
  struct buffer body;   /* complete body */
  struct status status; /* OK, TIMEOUT, BACKEND_FAILED or BACKEND_TRUNCATED */
  bool sent;            /* at least one byte of the request may have reached the server */
  bool refused;         /* the last connection was refused: nobody listened at the address */
  unsigned sends; /* times it was written; over 1 if libcurl repeated it on another connection */
  const char *location; /* Location header of a redirect, or NULL */
  long retry_after_s;   /* Retry-After header; 0 without one */
};

typedef void http_answer_fn (void *arg, const struct http_answer *answer);
typedef bool http_may_send_fn (void *arg);
typedef void http_easy_done (void *arg, CURL *easy, CURLcode result);

struct http_call
{
  const char *method;         /* "GET", "POST", ... */
  const char *url;            /* http://ip:port/path */
  const char *const *headers; /* "Name: value" strings ended by NULL; may be NULL */
  const char *body;           /* may be NULL */
  size_t body_len;
  size_t max_answer; /* bytes; a longer answer fails as BACKEND_FAILED and its connection is closed;
                        0: HTTP_MAX_ANSWER_BYTES */
  long timeout_ms;   /* for the request and its answer, on the clock that stops in a suspension */
  bool once;         /* fails rather than being sent again when a reused connection breaks */
  bool on_new_connection;
  http_may_send_fn *may_send; /* called before each writing of the request; false cancels it with
                                 BACKEND_FAILED; may be NULL */
  http_answer_fn *done;       /* called exactly once */
  void *done_arg;             /* of both functions */
};

struct http_client *http_client_open (struct ev_loop *loop,
                                      long max_connections_per_host); /* 0: no limit. */
void http_client_set_budget (struct http_client *client,
                             struct memory_budget *budget); /* For answers; one without room fails
                                                               as BACKEND_FAILED. */
void http_client_close (struct http_client *client); /* Cancels open transfers; no callbacks. */
void http_client_send (struct http_client *client,
                       const struct http_call *call); /* Sends one request. */
void http_client_add (struct http_client *client, CURL *easy, http_easy_done *done,
                      void *arg); /* Runs EASY; CURLOPT_PRIVATE is reserved. */
void http_client_remove (struct http_client *client, CURL *easy); /* Cancels EASY; no callback. */
void http_easy_defaults (CURL *easy,
                         long timeout_ms); /* No signals, no DNS, HTTP/1.1, connect timeout. */

#endif
