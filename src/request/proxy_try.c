/* Client side of the proxy, towards runners: one libcurl transfer per try.  */
#include "proxy_internal.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define URL_PREFIX "http://"

/* tcpi_state values before the peer's FIN; <netinet/tcp.h>, which defines them, has a different
   struct tcp_info.  */
enum
{
  STATE_ESTABLISHED = 1,
  STATE_FIN_WAIT1 = 4,
  STATE_FIN_WAIT2 = 5,
};

/* The kernel counts a FIN as one received byte (RFC 9293: FIN occupies a sequence number).  */
static bool
fin_received (const struct tcp_info *info)
{
  return info->tcpi_state != STATE_ESTABLISHED && info->tcpi_state != STATE_FIN_WAIT1
         && info->tcpi_state != STATE_FIN_WAIT2;
}

static bool
read_info (int fd, struct tcp_info *info)
{
  socklen_t len = sizeof *info;
  memset (info, 0, sizeof *info);
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, info, &len) == 0;
}

/* Payload bytes that FD has received since it was opened, read or not; 0 when unknown.  The kernel
   reads the state before the count, so they are consistent only when a second read agrees.  */
static uint64_t
bytes_received (int fd)
{
  struct tcp_info info;
  struct tcp_info again;
  if (!read_info (fd, &again))
    return 0;
  do
    {
      info = again;
      if (!read_info (fd, &again))
        return 0;
    }
  while (info.tcpi_state != again.tcpi_state
         || info.tcpi_bytes_received != again.tcpi_bytes_received);
  if (info.tcpi_bytes_received == 0)
    return 0;
  return info.tcpi_bytes_received - fin_received (&info);
}

static void
unwatch_fd (struct proxy_try *t)
{
  if (t->fd < 0)
    return;
  t->received = bytes_received (t->fd);
  t->call->proxy->sockets[t->fd].current = NULL;
  t->fd = -1;
}

static void
watch_fd (struct proxy_try *t, int fd)
{
  if (fd < 0)
    return;
  struct proxy_try *previous = t->call->proxy->sockets[fd].current;
  if (previous) /* its answer has ended, but libcurl has not reported it yet */
    unwatch_fd (previous);
  t->fd = fd;
  t->received_before = bytes_received (fd);
  t->call->proxy->sockets[fd].current = t;
}

static curl_socket_t
on_open_socket (void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
  struct proxy_try *t = arg;
  struct proxy *p = t->call->proxy;
  (void)purpose;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (fd < 0 || fd >= PROXY_MAX_FD)
    return fd;
  memset (&p->sockets[fd], 0, sizeof p->sockets[fd]);
  p->sockets[fd].open = true;
  t->opened_fd = fd;
  if (fd > p->max_fd)
    p->max_fd = fd;
  return fd;
}

static int
on_close_socket (void *arg, curl_socket_t fd)
{
  struct proxy *p = arg;
  if (fd >= 0 && fd < PROXY_MAX_FD)
    {
      if (p->sockets[fd].current)
        unwatch_fd (p->sockets[fd].current);
      p->sockets[fd].open = false;
    }
  return close (fd);
}

static bool
socket_matches (const struct proxy *p, int fd, const char *remote_ip, int remote_port,
                int local_port)
{
  const struct proxy_socket *s = &p->sockets[fd];
  return s->open && s->local_port == local_port && s->remote_port == remote_port
         && strcmp (s->remote_ip, remote_ip) == 0;
}

/* The socket that T uses: the one opened for it, or the reused one with these addresses.  */
static int
find_socket (struct proxy_try *t, const char *remote_ip, int remote_port, int local_port)
{
  struct proxy *p = t->call->proxy;
  int *hint = &p->socket_hints[local_port % PROXY_SOCKET_HINTS];
  if (socket_matches (p, *hint, remote_ip, remote_port, local_port))
    return *hint;
  for (int fd = 0; fd <= p->max_fd; fd++)
    if (socket_matches (p, fd, remote_ip, remote_port, local_port))
      return *hint = fd;
  int fd = t->opened_fd;
  if (fd < 0 || !p->sockets[fd].open)
    return -1;
  p->sockets[fd].local_port = local_port;
  p->sockets[fd].remote_port = remote_port;
  snprintf (p->sockets[fd].remote_ip, sizeof p->sockets[fd].remote_ip, "%s", remote_ip);
  return *hint = fd;
}

/* Called when the connection is established, before the request is sent: the last point at which
   a try can be stopped for certain.  */
static int
on_prerequest (void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
  struct proxy_try *t = arg;
  (void)local_ip;
  if (!runner_live (t->runner, proxy_now (t->call->proxy)))
    {
      t->stale_runner = true;
      return CURL_PREREQFUNC_ABORT;
    }
  t->sent = true;
  unwatch_fd (t);
  watch_fd (t, find_socket (t, remote_ip, remote_port, local_port));
  return CURL_PREREQFUNC_OK;
}

static size_t
on_header (char *data, size_t size, size_t count, void *arg)
{
  struct proxy_try *t = arg;
  size_t len = size * count;
  bool before = t->head.complete;
  head_add_line (&t->head, data, len);
  if (!t->head.fault && !before && t->head.complete)
    call_head_complete (t->call, t);
  return t->head.fault || t->head_discarded ? 0 : len;
}

static void
store_copy (struct proxy_call *call, const char *data, size_t len)
{
  if (!call->intent_open || call->stored_too_large)
    return;
  if (call->stored.len + len > INTENT_ANSWER_BYTES)
    {
      call->stored_too_large = true;
      buffer_close (&call->stored);
      return;
    }
  buffer_append (&call->stored, data, len);
}

static size_t
on_body (char *data, size_t size, size_t count, void *arg)
{
  struct proxy_try *t = arg;
  struct proxy_call *call = t->call;
  size_t len = size * count;
  if (call->winner != t)
    return 0;
  if (call->connection && call->out.len >= PROXY_BODY_BYTES)
    {
      t->download_paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  t->body_bytes += len;
  call->progress_ms = proxy_now (call->proxy);
  store_copy (call, data, len);
  if (call->connection)
    {
      buffer_append (&call->out, data, len);
      if (call->response)
        caller_resume (call);
    }
  return len;
}

/* A body that does not fit into the buffer is dropped as it is sent: no other try is possible.  */
static void
drop_sent (struct proxy_call *call, struct proxy_try *t)
{
  if (call->body_complete && call->body_base == 0)
    return;
  if (call->body_base == 0 && call->body.len < PROXY_BODY_BYTES)
    return;
  buffer_consume (&call->body, t->upload_pos - call->body_base);
  call->body_base = t->upload_pos;
  caller_resume_upload (call);
}

static size_t
on_upload (char *data, size_t size, size_t count, void *arg)
{
  struct proxy_try *t = arg;
  struct proxy_call *call = t->call;
  size_t space = size * count;
  size_t offset = t->upload_pos - call->body_base;
  size_t ready = call->body.len - offset;
  if (ready == 0 && call->body_complete)
    return 0;
  if (ready == 0)
    {
      t->upload_paused = true;
      return CURL_READFUNC_PAUSE;
    }
  size_t n = ready < space ? ready : space;
  memcpy (data, call->body.data + offset, n);
  t->upload_pos += n;
  drop_sent (call, t);
  return n;
}

static void
on_done (void *arg, CURL *easy, CURLcode result)
{
  struct proxy_try *t = arg;
  (void)easy;
  unwatch_fd (t);
  call_try_done (t->call, t, result);
}

bool
try_overlong (const struct proxy_try *t)
{
  if (t->received_before >= t->received || t->head.chunked)
    return false;
  uint64_t body = head_bodyless (&t->head, t->call->method) || t->head.content_length < 0
                      ? 0
                      : (uint64_t)t->head.content_length;
  return t->received - t->received_before > t->head.bytes + body;
}

static void
add_field (void *arg, const char *name, const char *value)
{
  struct proxy_try *t = arg;
  struct buffer line;
  buffer_init (&line);
  if (*value)
    buffer_printf (&line, "%s: %s", name, value);
  else
    buffer_printf (&line, "%s;", name); /* libcurl syntax of a field without a value */
  t->fields = curl_slist_append (t->fields, line.data);
  buffer_close (&line);
}

static void
suppress_default_field (struct proxy_try *t, const char *name)
{
  const char *lines = t->call->request.lines.data;
  char prefix[32];
  size_t len = strlen (name);
  memcpy (prefix, name, len);
  prefix[len] = ':';
  prefix[len + 1] = '\0';
  for (const char *p = lines; p && *p; p = strchr (p, '\n') + 1)
    if (strncasecmp (p, prefix, len + 1) == 0)
      return;
  t->fields = curl_slist_append (t->fields, prefix); /* no value: libcurl omits its default */
}

static void
set_fields (struct proxy_try *t)
{
  struct proxy_call *call = t->call;
  char left[24];
  int64_t ms = call->deadline_ms - proxy_now (call->proxy);
  head_each (&call->request, add_field, t);
  snprintf (left, sizeof left, "%lld", (long long)(ms > 0 ? ms : 1));
  add_field (t, "Sassafras-Deadline-Ms", left);
  suppress_default_field (t, "Accept");
  suppress_default_field (t, "Expect");
  suppress_default_field (t, "Content-Type");
  curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->fields);
}

static void
set_url (struct proxy_try *t)
{
  struct buffer url;
  buffer_init (&url);
  buffer_printf (&url, URL_PREFIX "%s/%s", t->runner->info.address, t->call->path);
  curl_easy_setopt (t->easy, CURLOPT_URL, url.data);
  curl_easy_setopt (t->easy, CURLOPT_PATH_AS_IS, 1L);
  buffer_close (&url);
}

static void
set_body (struct proxy_try *t)
{
  struct proxy_call *call = t->call;
  int64_t length = call->request.content_length;
  curl_easy_setopt (t->easy, CURLOPT_CUSTOMREQUEST, call->method);
  if (length <= 0 && !call->request.chunked)
    {
      if (strcmp (call->method, "HEAD") == 0)
        curl_easy_setopt (t->easy, CURLOPT_NOBODY, 1L);
      else if (length == 0)
        t->fields = curl_slist_append (t->fields, "Content-Length: 0");
      return;
    }
  curl_easy_setopt (t->easy, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt (t->easy, CURLOPT_READFUNCTION, on_upload);
  curl_easy_setopt (t->easy, CURLOPT_READDATA, t);
  if (!call->request.chunked)
    curl_easy_setopt (t->easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)length);
}

/* libcurl may resend a request when a reused connection turns out to be closed.  With a body it
   cannot, as on_upload cannot rewind; without one, only idempotent requests reuse connections.  */
static void
set_connection (struct proxy_try *t)
{
  struct proxy_call *call = t->call;
  bool has_body = call->request.content_length > 0 || call->request.chunked;
  if (call->unrepeatable || (!call->idempotent && !has_body))
    curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (t->easy, CURLOPT_PREREQFUNCTION, on_prerequest);
  curl_easy_setopt (t->easy, CURLOPT_PREREQDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
  curl_easy_setopt (t->easy, CURLOPT_OPENSOCKETDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
  curl_easy_setopt (t->easy, CURLOPT_CLOSESOCKETDATA, call->proxy);
}

static void
set_answer (struct proxy_try *t)
{
  curl_easy_setopt (t->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (t->easy, CURLOPT_HEADERDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (t->easy, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
}

static CURL *
acquire_easy (struct proxy *p)
{
  if (p->idle_easy_count > 0)
    return p->idle_easy[--p->idle_easy_count];
  return curl_easy_init ();
}

static void
release_easy (struct proxy *p, CURL *easy)
{
  if (p->idle_easy_count == sizeof p->idle_easy / sizeof *p->idle_easy)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  p->idle_easy[p->idle_easy_count++] = easy;
}

struct proxy_try *
try_start (struct proxy_call *call, struct runner *runner)
{
  struct proxy *p = call->proxy;
  struct proxy_try *t = xcalloc (1, sizeof *t);
  t->call = call;
  t->runner = runner;
  t->incarnation = runner->info.incarnation;
  t->easy = acquire_easy (p);
  t->fd = -1;
  t->opened_fd = -1;
  t->started_ms = proxy_now (p);
  head_init (&t->head, true);
  router_start (p->config.router, runner, call->body.len + call->request.lines.len, t->started_ms);
  http_easy_defaults (t->easy, 0);
  set_url (t);
  set_body (t);
  set_connection (t);
  set_answer (t);
  set_fields (t);
  p->stats.tries++;
  http_client_add (p->client, t->easy, on_done, t);
  return t;
}

void
try_free (struct proxy_try *t)
{
  curl_slist_free_all (t->fields);
  head_close (&t->head);
  release_easy (t->call->proxy, t->easy);
  free (t);
}

void
try_cancel (struct proxy_try *t, enum router_outcome outcome)
{
  struct proxy *p = t->call->proxy;
  int64_t now = proxy_now (p);
  double waited = t->sent && !t->head.complete ? (double)(now - t->started_ms) : 0.0;
  http_client_remove (p->client, t->easy);
  unwatch_fd (t);
  router_finish (p->config.router, t->runner, t->incarnation, outcome, waited, t->body_bytes, now);
  try_free (t);
}

void
try_resume_upload (struct proxy_try *t)
{
  if (!t->upload_paused)
    return;
  t->upload_paused = false;
  t->download_paused = false;
  curl_easy_pause (t->easy, CURLPAUSE_CONT);
}

void
try_resume_download (struct proxy_try *t)
{
  if (!t->download_paused)
    return;
  t->download_paused = false;
  t->upload_paused = false;
  curl_easy_pause (t->easy, CURLPAUSE_CONT);
}
