/* http_server: libmicrohttpd on the libev loop, for JSON endpoints with small bodies.

   The handler runs once the complete body has arrived and may answer immediately or later; until
   then the connection is suspended.  A request is valid until its answer is sent; the handler must
   answer every request exactly once.  The proxy streams bodies, so it drives its own MHD daemon
   through http_loop_open.

   A body that gets no room in the budget is refused as overloaded (503, Retry-After); the handler
   does not see it.  One whose JSON values take more than the whole budget when they are parsed is
   refused as too large.  A connection whose body brings less than 8 KiB in each of five successive
   periods of 5 s is closed; in one while large bodies hold more than half of their part.  */

#ifndef SASSAFRAS_HTTP_SERVER_H
#define SASSAFRAS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <ev.h>
#include <jansson.h>
#include <microhttpd.h>

#include "buffer.h"
#include "connection_limit.h"
#include "memory_budget.h"
#include "status.h"

struct http_loop;   /* an MHD daemon attached to a libev loop */
struct http_server; /* one listening address with one handler */

struct http_request
{
  struct http_server *server;
  struct MHD_Connection *connection;
  const char *method;            /* "GET", ... */
  const char *path;              /* decoded path without the query */
  struct buffer body;            /* complete body */
  size_t reserved;               /* bytes of the budget, for the body */
  size_t checked_len;            /* of the body, when its progress was last checked */
  unsigned slow_checks;          /* successive ones without enough progress */
  bool handled;                  /* the handler has run */
  bool suspended;                /* waiting for an answer */
  struct MHD_Response *response; /* set by the reply */
  int response_code;
  void *user; /* the handler's own data */
  LIST_ENTRY (http_request) link;
};

typedef void http_handler (void *arg, struct http_request *req);

struct http_server_config
{
  const char *address; /* "ip:port"; port 0 selects a free port */
  size_t max_body;     /* bytes; a longer body is refused as too-large and not read to its end */
  http_handler *handler;
  void *handler_arg;
  double body_check_s;                  /* period of the checks of progress, seconds; 0: 5 s */
  struct memory_budget *budget;         /* shared by the servers of a process; NULL: none */
  struct connection_limit *connections; /* likewise */
};

struct http_loop *http_loop_open (struct ev_loop *loop,
                                  struct MHD_Daemon *daemon); /* Runs DAEMON from LOOP. */
void http_loop_wake (struct http_loop *hl);  /* Runs the daemon before the loop blocks. */
void http_loop_close (struct http_loop *hl); /* Stops watching; does not stop the daemon. */

struct http_server *http_server_open (struct ev_loop *loop, const struct http_server_config *config,
                                      struct status *st); /* NULL and ST on failure. */
void http_server_close (struct http_server *server); /* Closes all connections; frees SERVER. */
unsigned
http_server_open_requests (const struct http_server *server); /* Requests not yet completed. */
bool http_sender_is_gone (
    const struct http_request *req); /* It closed the connection, or only its sending side. */
int http_server_port (const struct http_server *server); /* Listening port. */

const char *http_header (struct http_request *req, const char *name); /* Header value or NULL. */
const char *http_query (struct http_request *req, const char *name);  /* Query value or NULL. */
json_t *http_body_json (struct http_request *req,
                        struct status *st); /* Parsed body; NULL and ST when malformed. */
void http_add_header (struct MHD_Response *r, const char *name,
                      const char *value); /* Adds one header. */
void http_reply (struct http_request *req, int code, const char *type, const void *data,
                 size_t len); /* Answers with bytes. */
void http_reply_with (struct http_request *req, int code, const char *type, const void *data,
                      size_t len, const char *retry_after_s); /* RETRY_AFTER_S may be NULL. */
void http_reply_json (struct http_request *req, int code,
                      json_t *body); /* Takes ownership of BODY. */
void http_reply_status (struct http_request *req,
                        const struct status *st); /* HTTP status from status_answer. */
void http_reply_error (struct http_request *req, enum status_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* http_reply_status, KIND and formatted message. */
void http_reply_redirect (struct http_request *req, const char *location); /* Answers 307. */
json_t *http_status_json (const struct status *st); /* {"error","message","ran"}. */
int http_parse_address (const char *text, struct sockaddr_in *out,
                        struct status *st); /* Parses "ip:port". */

#endif
