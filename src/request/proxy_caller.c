/* Server side of the proxy, towards callers: one libmicrohttpd daemon.  */
#include "proxy_internal.h"

#include <ctype.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define CALL_PREFIX "/v1/call/"
#define CONNECTION_TIMEOUT_S 60U
#define MAX_CONNECTIONS 8192U
#define ANSWER_BLOCK_BYTES 16384
#define MS_PER_S 1000

struct proxy_call *
call_new (struct proxy *p, struct MHD_Connection *connection, const char *target)
{
  struct proxy_call *call = xcalloc (1, sizeof *call);
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  call->proxy = p;
  call->connection = connection;
  call->caller = info ? info->socket_context : NULL;
  call->target = xstrdup (target);
  call->arrived_ms = proxy_now (p);
  call->deadline_ms = INT64_MAX;
  head_init (&call->request, false);
  call->timer.data = call;
  call->disconnect_watch.data = call;
  LIST_INSERT_HEAD (&p->calls, call, link);
  p->stats.open++;
  if (call->caller)
    call->caller->busy = true;
  return call;
}

/* MHD does not read from a suspended connection and so does not detect that the caller
   disconnected.  Bytes of a pipelined request end the watch.  */
static void
on_caller_readable (struct ev_loop *loop, ev_io *w, int events)
{
  struct proxy_call *call = w->data;
  char byte;
  (void)events;
  ev_io_stop (loop, w);
  ssize_t n = recv (w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0 || (call->caller && call->caller->receive_closed))
    return;
  if (!call->suspended)
    return;
  call->end = ANSWER_BROKEN;
  caller_resume (call);
}

/* The disconnect watch starts with the next tick: most answers arrive sooner and need none.  */
static void
suspend (struct proxy_call *call)
{
  call->suspended = true;
  MHD_suspend_connection (call->connection);
}

void
caller_watch (struct proxy_call *call)
{
  if (!call->suspended || !call->body_complete || !call->caller || call->caller->receive_closed
      || ev_is_active (&call->disconnect_watch))
    return;
  ev_io_init (&call->disconnect_watch, on_caller_readable, call->caller->fd, EV_READ);
  call->disconnect_watch.data = call;
  ev_io_start (call->proxy->loop, &call->disconnect_watch);
}

void
caller_resume (struct proxy_call *call)
{
  if (!call->connection || !call->suspended)
    return;
  call->suspended = false;
  call->upload_suspended = false;
  ev_io_stop (call->proxy->loop, &call->disconnect_watch);
  MHD_resume_connection (call->connection);
  if (call->proxy->http_loop)
    http_loop_wake (call->proxy->http_loop);
}

void
caller_resume_upload (struct proxy_call *call)
{
  if (call->upload_suspended)
    caller_resume (call);
}

static void
add_common_headers (struct proxy_call *call)
{
  if (call->proxy->draining || call->request.fault)
    MHD_add_response_header (call->response, "Connection", "close");
}

static char *
error_body (enum status_kind kind, enum status_ran ran, const char *message)
{
  json_t *body = json_pack ("{s:s, s:s, s:s}", "error", status_answer (kind)->name, "message",
                            message, "ran", status_ran_name (ran));
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  json_decref (body);
  return text ? text : xstrdup ("{\"error\":\"internal\",\"message\":\"\",\"ran\":\"unknown\"}");
}

void
caller_reply_error (struct proxy_call *call, enum status_kind kind, enum status_ran ran,
                    int64_t retry_after_ms, const char *message)
{
  const struct status_answer *a = status_answer (kind);
  call->stage = CALL_ENDED;
  ev_timer_stop (call->proxy->loop, &call->timer);
  if (!call->connection || call->response)
    return;
  char *text = error_body (kind, ran, message);
  call->response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  call->response_code = a->http_code;
  MHD_add_response_header (call->response, "Content-Type", "application/json");
  if (a->may_retry)
    {
      char seconds[24];
      long long s = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;
      snprintf (seconds, sizeof seconds, "%lld", s > 1 ? s : 1);
      MHD_add_response_header (call->response, "Retry-After", seconds);
    }
  add_common_headers (call);
  if (ran == RAN_NO)
    call->proxy->stats.refused++;
  caller_resume (call);
}

static void
add_answer_header (void *arg, const char *name, const char *value)
{
  struct proxy_call *call = arg;
  MHD_add_response_header (call->response, name, value);
}

void
caller_reply_stored (struct proxy_call *call, const struct intent_outcome *outcome)
{
  struct head head;
  call->stage = CALL_ENDED;
  ev_timer_stop (call->proxy->loop, &call->timer);
  call->response = MHD_create_response_from_buffer (outcome->body_len, (void *)outcome->body,
                                                    MHD_RESPMEM_MUST_COPY);
  call->response_code = outcome->code;
  head_init (&head, true);
  if (outcome->headers_len > 0)
    buffer_append (&head.lines, outcome->headers, outcome->headers_len);
  head_each (&head, add_answer_header, call);
  head_close (&head);
  MHD_add_response_header (call->response, "Sassafras-Replayed", "1");
  add_common_headers (call);
  caller_resume (call);
}

/* The last byte of an answer of known length is held back until the runner's answer is complete,
   so that a broken answer never looks complete.  */
static size_t
sendable (const struct proxy_call *call)
{
  size_t ready = call->out.len;
  bool all = call->out_length != MHD_SIZE_UNKNOWN && call->out_total + ready >= call->out_length;
  if (all && ready > 0 && call->end != ANSWER_COMPLETE)
    ready--;
  return ready;
}

static ssize_t
read_answer (void *arg, uint64_t position, char *data, size_t max)
{
  struct proxy_call *call = arg;
  size_t n = sendable (call);
  (void)position;
  if (call->end == ANSWER_BROKEN)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && call->end == ANSWER_COMPLETE)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      suspend (call);
      return 0;
    }
  n = n < max ? n : max;
  memcpy (data, call->out.data, n);
  buffer_consume (&call->out, n);
  call->out_total += n;
  call->progress_ms = proxy_now (call->proxy);
  if (call->winner && call->out.len < PROXY_BODY_BYTES / 2)
    try_resume_download (call->winner);
  return (ssize_t)n;
}

void
caller_begin_answer (struct proxy_call *call)
{
  const struct head *head = &call->winner->head;
  bool is_head = strcmp (call->method, "HEAD") == 0;
  if (!call->connection || call->response)
    return;
  call->out_length = head->content_length >= 0 ? (uint64_t)head->content_length : MHD_SIZE_UNKNOWN;
  if (call->buffered && !is_head)
    {
      call->response
          = MHD_create_response_from_buffer (call->out.len, call->out.data, MHD_RESPMEM_MUST_FREE);
      buffer_init (&call->out);
    }
  else
    call->response = MHD_create_response_from_callback (call->out_length, ANSWER_BLOCK_BYTES,
                                                        read_answer, call, NULL);
  call->response_code = head->code;
  head_each (head, add_answer_header, call);
  add_common_headers (call);
  caller_resume (call);
}

static const char *
header (const struct proxy_call *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name);
}

static bool
flag_set (const struct proxy_call *call, const char *name)
{
  const char *value = header (call, name);
  return value && strcmp (value, "1") == 0;
}

static bool
name_valid (const char *name, size_t len)
{
  if (len == 0 || len >= RUNNER_NAME_BYTES)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!isalnum ((unsigned char)name[i]) && !strchr ("._-:", name[i]))
      return false;
  return true;
}

static int
parse_target (struct proxy_call *call, struct status *st)
{
  const char *name = call->target + strlen (CALL_PREFIX);
  if (!head_target_valid (call->target))
    return status_set (st, STATUS_BAD_REQUEST, "the request target is malformed");
  if (strncmp (call->target, CALL_PREFIX, strlen (CALL_PREFIX)) != 0)
    return status_set (st, STATUS_NOT_FOUND, "requests go to " CALL_PREFIX "<service>/<path>");
  size_t len = strcspn (name, "/?");
  if (!name_valid (name, len))
    return status_set (st, STATUS_BAD_REQUEST, "the service name is malformed");
  memcpy (call->service_name, name, len);
  call->path = name[len] == '/' ? name + len + 1 : name + len;
  return 0;
}

static int
parse_method (struct proxy_call *call, const char *method, const char *version, struct status *st)
{
  if (strcmp (version, "HTTP/1.1") != 0)
    return status_set (st, STATUS_BAD_REQUEST, "only HTTP/1.1 is served");
  if (strlen (method) >= sizeof call->method || strcmp (method, "CONNECT") == 0
      || strcmp (method, "TRACE") == 0)
    return status_set (st, STATUS_METHOD_NOT_ALLOWED, "method %.16s is not served", method);
  memcpy (call->method, method, strlen (method) + 1);
  return 0;
}

static enum MHD_Result
visit_header (void *arg, enum MHD_ValueKind kind, const char *name, size_t name_len,
              const char *value, size_t value_len)
{
  struct head *head = arg;
  (void)kind;
  if (strlen (name) != name_len)
    head->fault = "a field name is malformed";
  else
    head_add (head, name, value ? value : "", value ? value_len : 0);
  return MHD_YES;
}

static int
parse_head (struct proxy_call *call, struct status *st)
{
  MHD_get_connection_values_n (call->connection, MHD_HEADER_KIND, visit_header, &call->request);
  head_finish (&call->request);
  if (call->request.fault)
    return status_set (st, STATUS_BAD_REQUEST, "%s", call->request.fault);
  if (strcmp (call->method, "HEAD") == 0
      && (call->request.chunked || call->request.content_length > 0))
    return status_set (st, STATUS_BAD_REQUEST, "a HEAD request has a body");
  return 0;
}

static int
parse_class (struct proxy_call *call, struct status *st)
{
  const char *class = header (call, "Sassafras-Class");
  const char *deadline = header (call, "Sassafras-Deadline-Ms");
  int64_t ms;
  if (class && strcmp (class, "urgent") != 0 && strcmp (class, "batch") != 0)
    return status_set (st, STATUS_BAD_REQUEST, "Sassafras-Class is 'urgent' or 'batch'");
  call->urgent = !class || strcmp (class, "urgent") == 0;
  ms = call->urgent ? PROXY_URGENT_DEADLINE_MS : PROXY_BATCH_DEADLINE_MS;
  if (deadline && (!head_number (deadline, PROXY_MAX_DEADLINE_MS, &ms) || ms < 1))
    return status_set (st, STATUS_BAD_REQUEST, "Sassafras-Deadline-Ms is not 1 to %d",
                       PROXY_MAX_DEADLINE_MS);
  call->deadline_ms = call->arrived_ms + ms;
  return 0;
}

static int
parse_idempotency (struct proxy_call *call, struct status *st)
{
  const char *key = header (call, "Idempotency-Key");
  const char *mark = header (call, "Sassafras-Unrepeatable");
  if (mark && strcmp (mark, "1") != 0 && strcmp (mark, "0") != 0)
    return status_set (st, STATUS_BAD_REQUEST, "Sassafras-Unrepeatable is '1' or '0'");
  if (key && (!*key || strlen (key) > INTENT_KEY_BYTES))
    return status_set (st, STATUS_BAD_REQUEST, "Idempotency-Key is not 1 to %d bytes",
                       INTENT_KEY_BYTES);
  call->unrepeatable = flag_set (call, "Sassafras-Unrepeatable");
  call->idempotent = !call->unrepeatable && retry_method_idempotent (call->method);
  call->key = key ? xstrdup (key) : NULL;
  return 0;
}

/* A repeated customer, class or key could be interpreted differently by the runner.  */
static enum MHD_Result
find_repeated_fields (void *arg, enum MHD_ValueKind kind, const char *name, const char *value)
{
  static const char *const names[]
      = { "Sassafras-Customer",    "Sassafras-Class", "Sassafras-Unrepeatable",
          "Sassafras-Deadline-Ms", "Idempotency-Key", "Host" };
  unsigned *seen = arg;
  (void)kind;
  (void)value;
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcasecmp (name, names[i]) == 0)
      {
        seen[0] |= seen[1] & (1U << i);
        seen[1] |= 1U << i;
      }
  return MHD_YES;
}

static int
parse_customer (struct proxy_call *call, struct status *st)
{
  const char *customer = header (call, "Sassafras-Customer");
  unsigned seen[2] = { 0, 0 };
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, find_repeated_fields, seen);
  if (seen[0] != 0)
    return status_set (st, STATUS_BAD_REQUEST, "a Sassafras, key or Host header is repeated");
  if (!customer || !*customer || strlen (customer) >= sizeof call->customer)
    return status_set (st, STATUS_BAD_REQUEST, "Sassafras-Customer is missing or over %d bytes",
                       PEER_NAME_BYTES);
  memcpy (call->customer, customer, strlen (customer) + 1);
  return 0;
}

static int
admit (struct proxy_call *call, struct status *st)
{
  struct proxy *p = call->proxy;
  int64_t now = proxy_now (p);
  if (p->stats.open > p->config.max_requests)
    return status_set (st, STATUS_OVERLOADED, "%u requests are open", p->stats.open - 1);
  call->service = service_get (p, call->service_name);
  if (!call->service)
    return status_set (st, STATUS_NO_BACKEND, "no backend server serves %s", call->service_name);
  if (admission_check (call->service->admission, call->urgent, call->deadline_ms, now, st) < 0
      || limit_enter (p->config.limit, call->customer, now, st) < 0)
    return -1;
  call->limit_held = true;
  return 0;
}

static int64_t
retry_after_ms (const struct proxy_call *call, enum status_kind kind)
{
  int64_t now = proxy_now (call->proxy);
  if (kind == STATUS_LIMIT_EXCEEDED)
    return limit_retry_after_ms (call->proxy->config.limit, call->customer, now);
  return call->service ? admission_wait_ms (call->service->admission, call->urgent, now) : 0;
}

static void
begin_call (struct proxy_call *call, const char *method, const char *version)
{
  struct status st;
  call->parsed = true;
  call->proxy->stats.requests++;
  if (parse_method (call, method, version, &st) < 0 || parse_target (call, &st) < 0
      || parse_head (call, &st) < 0 || parse_customer (call, &st) < 0 || parse_class (call, &st) < 0
      || parse_idempotency (call, &st) < 0 || admit (call, &st) < 0)
    {
      caller_reply_error (call, st.kind, RAN_NO, retry_after_ms (call, st.kind), st.message);
      return;
    }
  call_arm_timer (call);
}

static enum MHD_Result
queue_answer (struct proxy_call *call)
{
  call->queued_response = true;
  return MHD_queue_response (call->connection, (unsigned)call->response_code, call->response);
}

static void
resume_uploads (struct proxy_call *call)
{
  for (int i = 0; i < PROXY_CALL_TRIES; i++)
    if (call->tries[i])
      try_resume_upload (call->tries[i]);
}

/* Buffers part of the body.  After the request has ended the rest is read and discarded, because
   MHD accepts an answer only before or after the body.  */
static enum MHD_Result
receive_body (struct proxy_call *call, const char *data, size_t *size)
{
  if (call->stage == CALL_ENDED)
    {
      call->discarded += *size;
      *size = 0;
      return call->discarded > PROXY_DISCARD_BYTES ? MHD_NO : MHD_YES;
    }
  size_t space = call->body.len < PROXY_BODY_BYTES ? PROXY_BODY_BYTES - call->body.len : 0;
  size_t n = *size < space ? *size : space;
  buffer_append (&call->body, data, n);
  *size -= n;
  resume_uploads (call);
  if (call->stage == CALL_READING && call->body.len == PROXY_BODY_BYTES)
    call_start (call);
  bool full = call->body.len >= PROXY_BODY_BYTES;
  if (*size > 0 && full && call->stage != CALL_ENDED)
    {
      call->upload_suspended = true;
      suspend (call);
    }
  return MHD_YES;
}

static enum MHD_Result
end_of_request (struct proxy_call *call)
{
  if (call->end == ANSWER_BROKEN && !call->response)
    return MHD_NO;
  if (!call->body_complete)
    {
      call->body_complete = true;
      resume_uploads (call);
      if (call->stage == CALL_READING)
        call_start (call);
    }
  if (call->response)
    return queue_answer (call);
  if (!call->suspended)
    suspend (call);
  return MHD_YES;
}

/* MHD closes the connection after an answer that is queued before the body was read.  An overloaded
   entry would then spend more on new connections than on refusals, so a short body is read first.
 */
static bool
body_is_short (const struct proxy_call *call)
{
  const struct head *h = &call->request;
  return !h->fault && !h->chunked && h->content_length <= PROXY_BODY_BYTES
         && (h->content_length <= 0 || !header (call, "Expect"));
}

static enum MHD_Result
on_access (void *arg, struct MHD_Connection *connection, const char *url, const char *method,
           const char *version, const char *data, size_t *size, void **user)
{
  struct proxy_call *call = *user;
  const struct proxy *p = arg;
  (void)connection;
  (void)url;
  if (call->queued_response)
    return MHD_YES;
  if (!call->parsed)
    {
      if (call->caller && !connection_limit_begin (p->config.connections, &call->caller->limited))
        return MHD_NO;
      begin_call (call, method, version);
      return call->response && !body_is_short (call) ? queue_answer (call) : MHD_YES;
    }
  if (*size > 0)
    return receive_body (call, data, size);
  return end_of_request (call);
}

static void *
on_request_line (void *arg, const char *target, struct MHD_Connection *connection)
{
  return call_new (arg, connection, target);
}

static void
shut_down_idle (struct proxy_connection *c)
{
  if (c->busy || c->receive_closed)
    return;
  c->receive_closed = true;
  shutdown (c->fd, SHUT_RD);
}

static void
on_completed (void *arg, struct MHD_Connection *connection, void **user,
              enum MHD_RequestTerminationCode code)
{
  struct proxy_call *call = *user;
  struct proxy *p = arg;
  (void)connection;
  (void)code;
  if (!call)
    return;
  *user = NULL;
  if (call->caller)
    {
      call->caller->busy = false;
      connection_limit_end (p->config.connections, &call->caller->limited);
      if (p->draining)
        shut_down_idle (call->caller);
    }
  call->caller = NULL;
  if (!call->parsed)
    call->stage = CALL_ENDED;
  call_request_completed (call);
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct proxy *p = arg;
  struct proxy_connection *c = *context;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      const union MHD_ConnectionInfo *info
          = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      c = xcalloc (1, sizeof *c);
      c->proxy = p;
      c->fd = info->connect_fd;
      LIST_INSERT_HEAD (&p->connections, c, link);
      p->stats.connections++;
      connection_limit_add (p->config.connections, &c->limited, c->fd);
      *context = c;
      return;
    }
  LIST_REMOVE (c, link);
  connection_limit_remove (p->config.connections, &c->limited);
  p->stats.connections--;
  free (c);
  *context = NULL;
  proxy_check_drained (p);
}

/* The target is forwarded byte for byte, with its percent-encoding.  */
static size_t
keep_escapes (void *arg, struct MHD_Connection *connection, char *text)
{
  (void)arg;
  (void)connection;
  return strlen (text);
}

struct MHD_Daemon *
caller_listen (struct proxy *p, const struct sockaddr_in *address)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, p, MHD_OPTION_SOCK_ADDR,
      (const struct sockaddr *)address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, p,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, p, MHD_OPTION_URI_LOG_CALLBACK, on_request_line,
      p, MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes, p, MHD_OPTION_CONNECTION_TIMEOUT,
      CONNECTION_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)PROXY_HEADER_BYTES, MHD_OPTION_STRICT_FOR_CLIENT,
      1, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}
