#include "http_server.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "counters.h"
#include "json_cost.h"
#include "log.h"

#define CONNECTION_TIMEOUT_S 60
/* The library's default is 1,020; the largest target cell has 8,000 workers with open polls.  */
#define MAX_CONNECTIONS 16384
#define CONNECTION_MEMORY_BYTES 32768
#define RETRY_AFTER_S "1"
#define BODY_CHECK_PERIOD_S 5.0
#define BODY_PROGRESS_BYTES 8192 /* enough in a period */
#define MAX_SLOW_CHECKS 5        /* the first period is a part of one */
#define MAX_SLOW_CHECKS_SCARCE 1 /* while the budget is scarce */

static struct counter refused_bodies
    = { .name = "sassafras_http_bodies_refused_total",
        .help = "Bodies refused: too large, or no room in the budget." };
static struct counter slow_bodies = { .name = "sassafras_http_slow_bodies_total",
                                      .help = "Connections closed since their body stalled." };

struct http_loop
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
  bool run_due;
};

struct http_server
{
  struct http_server_config config;
  struct MHD_Daemon *daemon;
  struct http_loop *http_loop;
  ev_timer body_timer; /* checks the progress of bodies */
  unsigned open_requests;
  LIST_HEAD (request_list, http_request) requests;
  bool closing;
};

static void
run_daemon (struct http_loop *hl)
{
  hl->run_due = false;
  MHD_run (hl->daemon);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  (void)loop;
  (void)events;
  run_daemon (w->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)loop;
  (void)events;
  run_daemon (w->data);
}

/* Before the loop blocks: runs the daemon when an answer is ready, then arms its timeout.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  struct http_loop *hl = w->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  (void)events;
  if (hl->run_due)
    run_daemon (hl);
  ev_timer_stop (loop, &hl->timer);
  if (MHD_get_timeout (hl->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&hl->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (loop, &hl->timer);
}

struct http_loop *
http_loop_open (struct ev_loop *loop, struct MHD_Daemon *daemon)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (!info)
    return NULL;
  struct http_loop *hl = xcalloc (1, sizeof *hl);
  hl->loop = loop;
  hl->daemon = daemon;
  ev_io_init (&hl->io, on_io, info->epoll_fd, EV_READ);
  ev_timer_init (&hl->timer, on_timer, 0.0, 0.0);
  ev_prepare_init (&hl->prepare, on_prepare);
  hl->io.data = hl;
  hl->timer.data = hl;
  hl->prepare.data = hl;
  ev_io_start (loop, &hl->io);
  ev_prepare_start (loop, &hl->prepare);
  return hl;
}

void
http_loop_wake (struct http_loop *hl)
{
  hl->run_due = true;
}

void
http_loop_close (struct http_loop *hl)
{
  ev_io_stop (hl->loop, &hl->io);
  ev_timer_stop (hl->loop, &hl->timer);
  ev_prepare_stop (hl->loop, &hl->prepare);
  free (hl);
}

static int
connection_fd (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

static struct limited_connection *
limited_connection (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static struct http_request *
new_request (struct http_server *server, struct MHD_Connection *connection, const char *path,
             const char *method)
{
  struct http_request *req = xcalloc (1, sizeof *req);
  req->server = server;
  req->connection = connection;
  req->path = path;
  req->method = method;
  server->open_requests++;
  LIST_INSERT_HEAD (&server->requests, req, link);
  return req;
}

/* Content-Length, 0 when it is absent: a chunked body.  The library has checked the digits.  */
static uint64_t
announced_length (struct http_request *req)
{
  const char *text = http_header (req, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return text ? strtoull (text, NULL, 10) : 0;
}

static int
too_large (const struct http_request *req, struct status *st)
{
  return status_set (st, STATUS_TOO_LARGE, "body is over %zu bytes", req->server->config.max_body);
}

/* Reserves room for a body of LEN bytes.  */
static int
reserve_body (struct http_request *req, size_t len, struct status *st)
{
  struct memory_budget *budget = req->server->config.budget;
  if (!budget || len <= req->reserved)
    return 0;
  if (!memory_budget_reserve (budget, req->reserved, len))
    return status_set (st, STATUS_OVERLOADED, "no memory for a body of %zu bytes", len);
  req->reserved = len;
  return 0;
}

/* Before the body arrives.  A response that is queued now makes the library close the connection
   after it, and the body is not read.  */
static int
check_announced (struct http_request *req, struct status *st)
{
  uint64_t len = announced_length (req);
  if (len > req->server->config.max_body)
    return too_large (req, st);
  return reserve_body (req, (size_t)len, st);
}

static int
append_body (struct http_request *req, const char *data, size_t len, struct status *st)
{
  if (len > req->server->config.max_body - req->body.len)
    return too_large (req, st);
  if (reserve_body (req, req->body.len + len, st) < 0)
    return -1;
  if (req->body.len == 0)
    buffer_reserve (&req->body, req->reserved);
  buffer_append (&req->body, data, len);
  return 0;
}

static enum MHD_Result
begin_request (struct http_server *server, struct MHD_Connection *connection, const char *url,
               const char *method, struct http_request **out)
{
  struct status st;
  struct http_request *req = *out = new_request (server, connection, url, method);
  if (check_announced (req, &st) == 0)
    return MHD_YES;
  req->handled = true;
  counter_add (&refused_bodies, 1);
  http_reply_status (req, &st);
  http_add_header (req->response, "Connection", "close");
  return MHD_queue_response (connection, (unsigned)req->response_code, req->response);
}

/* The library takes no response while a body arrives, it can only close the connection.  */
static void
send_refusal (struct http_request *req, const struct status *st)
{
  const struct status_answer *a = status_answer (st->kind);
  json_t *json = http_status_json (st);
  char *text = json ? json_dumps (json, JSON_COMPACT) : NULL;
  struct buffer out;
  buffer_init (&out);
  buffer_printf (&out,
                 "HTTP/1.1 %d Refused\r\nConnection: close\r\nContent-Type: application/json\r\n"
                 "%sContent-Length: %zu\r\n\r\n%s",
                 a->http_code, a->may_retry ? "Retry-After: " RETRY_AFTER_S "\r\n" : "",
                 text ? strlen (text) : 0, text ? text : "");
  send (connection_fd (req->connection), out.data, out.len, MSG_DONTWAIT | MSG_NOSIGNAL);
  buffer_close (&out);
  json_decref (json);
  free (text);
}

static enum MHD_Result
receive_body (struct http_request *req, const char *data, size_t *size)
{
  struct status st;
  if (append_body (req, data, *size, &st) < 0)
    {
      counter_add (&refused_bodies, 1);
      send_refusal (req, &st);
      return MHD_NO;
    }
  *size = 0;
  return MHD_YES;
}

static void
run_handler (struct http_request *req)
{
  const struct memory_budget *budget = req->server->config.budget;
  req->handled = true;
  if (budget && json_parsed_bytes (req->body.data, req->body.len) > budget->limit)
    {
      counter_add (&refused_bodies, 1);
      http_reply_error (req, STATUS_TOO_LARGE, "body has too many JSON values");
      return;
    }
  req->server->config.handler (req->server->config.handler_arg, req);
}

static enum MHD_Result
on_access (void *arg, struct MHD_Connection *connection, const char *url, const char *method,
           const char *protocol, const char *data, size_t *size, void **user)
{
  struct http_server *server = arg;
  struct http_request *req = *user;
  (void)protocol;
  if (!req)
    return begin_request (server, connection, url, method, (struct http_request **)user);
  if (*size > 0)
    return receive_body (req, data, size);
  if (!connection_limit_begin (server->config.connections, limited_connection (connection)))
    return MHD_NO;
  if (!req->handled)
    run_handler (req);
  if (req->response)
    return MHD_queue_response (connection, (unsigned)req->response_code, req->response);
  if (!req->suspended)
    {
      req->suspended = true;
      MHD_suspend_connection (connection);
    }
  return MHD_YES;
}

static bool
is_stalled (struct http_request *req)
{
  bool slow = req->body.len - req->checked_len < BODY_PROGRESS_BYTES;
  req->checked_len = req->body.len;
  req->slow_checks = slow ? req->slow_checks + 1 : 0;
  const struct memory_budget *budget = req->server->config.budget;
  bool scarce = budget && memory_budget_is_scarce (budget);
  return req->slow_checks > (scarce ? MAX_SLOW_CHECKS_SCARCE : MAX_SLOW_CHECKS);
}

/* The library closes the connection when it finds the socket shut down.  */
static void
on_body_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  struct http_server *server = w->data;
  struct http_request *req;
  (void)loop;
  (void)events;
  LIST_FOREACH (req, &server->requests, link)
  {
    if (req->handled || !is_stalled (req))
      continue;
    counter_add (&slow_bodies, 1);
    connection_limit_shut (server->config.connections, limited_connection (req->connection));
  }
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **user,
              enum MHD_RequestTerminationCode code)
{
  struct http_server *server = arg;
  struct http_request *req = *user;
  (void)code;
  if (!req)
    return;
  connection_limit_end (server->config.connections, limited_connection (connection));
  server->open_requests--;
  LIST_REMOVE (req, link);
  if (req->response)
    MHD_destroy_response (req->response);
  buffer_close (&req->body);
  if (server->config.budget)
    memory_budget_release (server->config.budget, req->reserved);
  free (req);
  *user = NULL;
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct connection_limit *limit = ((struct http_server *)arg)->config.connections;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      *context = xcalloc (1, sizeof (struct limited_connection));
      connection_limit_add (limit, *context, connection_fd (connection));
      return;
    }
  connection_limit_remove (limit, *context);
  free (*context);
  *context = NULL;
}

int
http_parse_address (const char *text, struct sockaddr_in *out, struct status *st)
{
  char host[INET_ADDRSTRLEN];
  const char *colon = strrchr (text, ':');
  char *end;
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  if (!colon || (size_t)(colon - text) >= sizeof host)
    return status_set (st, STATUS_INVALID_SETTING, "address '%s' is not ip:port", text);
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  bool is_number = isdigit ((unsigned char)colon[1]); /* strtol skips blanks and a sign */
  long port = strtol (colon + 1, &end, 10);
  if (inet_pton (AF_INET, host, &out->sin_addr) != 1 || !is_number || *end || port > 65535)
    return status_set (st, STATUS_INVALID_SETTING, "address '%s' is not ip:port", text);
  out->sin_port = htons ((uint16_t)port);
  return 0;
}

struct http_server *
http_server_open (struct ev_loop *loop, const struct http_server_config *config, struct status *st)
{
  struct sockaddr_in address;
  if (http_parse_address (config->address, &address, st) < 0)
    return NULL;
  struct http_server *server = xcalloc (1, sizeof *server);
  server->config = *config;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, server,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (!server->daemon)
    {
      status_set (st, STATUS_INTERNAL, "cannot listen on %s", config->address);
      free (server);
      return NULL;
    }
  server->http_loop = http_loop_open (loop, server->daemon);
  double check_s = config->body_check_s > 0 ? config->body_check_s : BODY_CHECK_PERIOD_S;
  ev_timer_init (&server->body_timer, on_body_timer, check_s, check_s);
  server->body_timer.data = server;
  ev_timer_start (loop, &server->body_timer);
  return server;
}

unsigned
http_server_open_requests (const struct http_server *server)
{
  return server->open_requests;
}

void
http_server_close (struct http_server *server)
{
  if (!server)
    return;
  struct http_request *req;
  server->closing = true;
  /* MHD_stop_daemon aborts the process while connections are suspended.  */
  LIST_FOREACH (req, &server->requests, link)
  if (req->suspended)
    MHD_resume_connection (req->connection);
  ev_timer_stop (server->http_loop->loop, &server->body_timer);
  http_loop_close (server->http_loop);
  MHD_stop_daemon (server->daemon);
  free (server);
}

/* The library doesn't watch a suspended connection.  */
bool
http_sender_is_gone (const struct http_request *req)
{
  char byte;
  ssize_t n = recv (connection_fd (req->connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

int
http_server_port (const struct http_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

const char *
http_header (struct http_request *req, const char *name)
{
  return MHD_lookup_connection_value (req->connection, MHD_HEADER_KIND, name);
}

const char *
http_query (struct http_request *req, const char *name)
{
  return MHD_lookup_connection_value (req->connection, MHD_GET_ARGUMENT_KIND, name);
}

json_t *
http_body_json (struct http_request *req, struct status *st)
{
  json_error_t error;
  json_t *body = json_loadb (req->body.data ? req->body.data : "", req->body.len,
                             JSON_REJECT_DUPLICATES, &error);
  if (!body)
    status_set (st, STATUS_BAD_REQUEST, "malformed JSON at line %d column %d: %s", error.line,
                error.column, error.text);
  return body;
}

void
http_add_header (struct MHD_Response *r, const char *name, const char *value)
{
  MHD_add_response_header (r, name, value);
}

static void
send_reply (struct http_request *req, int code, struct MHD_Response *response)
{
  req->response = response;
  req->response_code = code;
  if (!req->suspended || req->server->closing)
    return;
  req->suspended = false;
  MHD_resume_connection (req->connection);
  http_loop_wake (req->server->http_loop);
}

void
http_reply_with (struct http_request *req, int code, const char *type, const void *data, size_t len,
                 const char *retry_after_s)
{
  struct MHD_Response *r
      = MHD_create_response_from_buffer (len, (void *)data, MHD_RESPMEM_MUST_COPY);
  http_add_header (r, "Content-Type", type);
  if (retry_after_s)
    http_add_header (r, "Retry-After", retry_after_s);
  send_reply (req, code, r);
}

void
http_reply (struct http_request *req, int code, const char *type, const void *data, size_t len)
{
  http_reply_with (req, code, type, data, len, NULL);
}

void
http_reply_json (struct http_request *req, int code, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  if (!text)
    text = xstrdup ("{\"error\":\"internal\"}");
  http_reply (req, code, "application/json", text, strlen (text));
  free (text);
}

json_t *
http_status_json (const struct status *st)
{
  const struct status_answer *a = status_answer (st->kind);
  return json_pack ("{s:s, s:s+, s:s}", "error", a->name, "message", st->message, "", "ran",
                    status_ran_name (a->ran));
}

void
http_reply_status (struct http_request *req, const struct status *st)
{
  const struct status_answer *a = status_answer (st->kind);
  json_t *body = http_status_json (st);
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  json_decref (body);
  if (!text)
    text = xstrdup ("{\"error\":\"internal\"}");
  struct MHD_Response *r
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  http_add_header (r, "Content-Type", "application/json");
  if (a->may_retry)
    http_add_header (r, "Retry-After", RETRY_AFTER_S);
  send_reply (req, a->http_code, r);
}

void
http_reply_error (struct http_request *req, enum status_kind kind, const char *format, ...)
{
  struct status st = { .kind = kind };
  va_list args;
  va_start (args, format);
  vsnprintf (st.message, sizeof st.message, format, args);
  va_end (args);
  http_reply_status (req, &st);
}

void
http_reply_redirect (struct http_request *req, const char *location)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  http_add_header (r, "Location", location);
  send_reply (req, MHD_HTTP_TEMPORARY_REDIRECT, r);
}
