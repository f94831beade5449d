#include "http_client.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "counters.h"

#define CONNECT_TIMEOUT_MS 1000L

static struct counter refused_answers
    = { .name = "sassafras_http_answers_refused_total",
        .help = "Answers given up: too large, or no room in the budget." };

struct transfer
{
  http_easy_done *done;
  void *arg;
  CURL *easy;
  LIST_ENTRY (transfer) link;
};

struct http_client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  struct memory_budget *budget; /* for answers, or NULL */
  LIST_HEAD (transfer_list, transfer) transfers;
  bool closing;
};

/* A request of http_client_send and its answer.  */
struct exchange
{
  struct http_client *client;
  struct http_call call;
  struct curl_slist *headers;
  struct http_answer answer;
  size_t reserved; /* bytes of the budget, for the answer */
};

struct socket_watch
{
  ev_io io;
  struct http_client *client;
};

static void
report_finished (struct http_client *client)
{
  CURLMsg *message;
  int left;
  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      struct transfer *transfer;
      if (message->msg != CURLMSG_DONE)
        continue;
      CURL *easy = message->easy_handle;
      CURLcode result = message->data.result;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, &transfer);
      http_easy_done *done = transfer->done;
      void *arg = transfer->arg;
      curl_multi_remove_handle (client->multi, easy);
      LIST_REMOVE (transfer, link);
      free (transfer);
      done (arg, easy, result);
    }
}

static void
on_socket (struct ev_loop *loop, ev_io *w, int events)
{
  struct socket_watch *watch = w->data;
  struct http_client *client = watch->client;
  int running;
  int action
      = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
  (void)loop;
  curl_multi_socket_action (client->multi, w->fd, action, &running);
  report_finished (client);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  struct http_client *client = w->data;
  int running;
  (void)loop;
  (void)events;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  report_finished (client);
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
  struct http_client *client = arg;
  struct socket_watch *watch = socket_arg;
  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (watch)
        ev_io_stop (client->loop, &watch->io);
      free (watch);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (!watch)
    {
      watch = xcalloc (1, sizeof *watch);
      watch->client = client;
      ev_io_init (&watch->io, on_socket, fd, EV_READ);
      watch->io.data = watch;
      curl_multi_assign (client->multi, fd, watch);
    }
  ev_io_stop (client->loop, &watch->io);
  ev_io_set (&watch->io, fd,
             (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0));
  ev_io_start (client->loop, &watch->io);
  return 0;
}

static int
watch_timer (CURLM *multi, long timeout_ms, void *arg)
{
  struct http_client *client = arg;
  (void)multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&client->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (client->loop, &client->timer);
  return 0;
}

struct http_client *
http_client_open (struct ev_loop *loop, long max_connections_per_host)
{
  struct http_client *client = xcalloc (1, sizeof *client);
  client->loop = loop;
  client->multi = curl_multi_init ();
  LIST_INIT (&client->transfers);
  ev_timer_init (&client->timer, on_timer, 0.0, 0.0);
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, watch_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
  if (max_connections_per_host > 0)
    curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max_connections_per_host);
  return client;
}

void
http_client_set_budget (struct http_client *client, struct memory_budget *budget)
{
  client->budget = budget;
}

void
http_easy_defaults (CURL *easy, long timeout_ms)
{
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
}

void
http_client_add (struct http_client *client, CURL *easy, http_easy_done *done, void *arg)
{
  struct transfer *transfer = xcalloc (1, sizeof *transfer);
  transfer->done = done;
  transfer->arg = arg;
  transfer->easy = easy;
  LIST_INSERT_HEAD (&client->transfers, transfer, link);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_multi_add_handle (client->multi, easy);
}

void
http_client_remove (struct http_client *client, CURL *easy)
{
  struct transfer *transfer;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &transfer);
  curl_multi_remove_handle (client->multi, easy);
  LIST_REMOVE (transfer, link);
  free (transfer);
}

static size_t
collect_body (char *data, size_t size, size_t count, void *arg)
{
  struct exchange *x = arg;
  struct memory_budget *budget = x->client->budget;
  size_t len = size * count;
  size_t total = x->answer.body.len + len;
  if (len > x->call.max_answer - x->answer.body.len
      || (budget && !memory_budget_reserve (budget, x->reserved, total)))
    {
      counter_add (&refused_answers, 1);
      return CURL_WRITEFUNC_ERROR;
    }
  x->reserved = total;
  buffer_append (&x->answer.body, data, len);
  return len;
}

static int
on_before_request (void *arg, char *to, char *from, int to_port, int from_port)
{
  struct exchange *x = arg;
  (void)to;
  (void)from;
  (void)to_port;
  (void)from_port;
  if (x->call.once && x->answer.sends > 0)
    return CURL_PREREQFUNC_ABORT;
  if (x->call.may_send && !x->call.may_send (x->call.done_arg))
    return CURL_PREREQFUNC_ABORT;
  x->answer.sends++;
  return CURL_PREREQFUNC_OK;
}

static void
free_exchange (struct exchange *x, CURL *easy)
{
  curl_slist_free_all (x->headers);
  buffer_close (&x->answer.body);
  if (x->client->budget)
    memory_budget_release (x->client->budget, x->reserved);
  curl_easy_cleanup (easy);
  free (x);
}

static void
fill_answer (struct exchange *x, CURL *easy, CURLcode result)
{
  long code = 0;
  long request_bytes = 0;
  long os_error = 0;
  char *location = NULL;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo (easy, CURLINFO_REDIRECT_URL, &location);
  curl_off_t retry_after = 0;
  curl_easy_getinfo (easy, CURLINFO_RETRY_AFTER, &retry_after);
  x->answer.retry_after_s = (long)retry_after;
  x->answer.code = (int)code;
  x->answer.sent = request_bytes > 0;
  curl_easy_getinfo (easy, CURLINFO_OS_ERRNO, &os_error);
  x->answer.refused = result == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
  x->answer.location = location;
  if (result == CURLE_OPERATION_TIMEDOUT)
    status_set (&x->answer.status, STATUS_TIMEOUT, "no answer in %ld ms", x->call.timeout_ms);
  else if (result == CURLE_PARTIAL_FILE || result == CURLE_RECV_ERROR)
    status_set (&x->answer.status, STATUS_BACKEND_TRUNCATED, "%s", curl_easy_strerror (result));
  else if (result != CURLE_OK)
    status_set (&x->answer.status, STATUS_BACKEND_FAILED, "%s", curl_easy_strerror (result));
}

static void
on_exchange_done (void *arg, CURL *easy, CURLcode result)
{
  struct exchange *x = arg;
  fill_answer (x, easy, result);
  x->call.done (x->call.done_arg, &x->answer);
  free_exchange (x, easy);
}

void
http_client_send (struct http_client *client, const struct http_call *call)
{
  struct exchange *x = xcalloc (1, sizeof *x);
  CURL *easy = curl_easy_init ();
  x->client = client;
  x->call = *call;
  if (x->call.max_answer == 0)
    x->call.max_answer = HTTP_MAX_ANSWER_BYTES;
  for (const char *const *h = call->headers; h && *h; h++)
    x->headers = curl_slist_append (x->headers, *h);
  x->headers = curl_slist_append (x->headers, "Expect:");
  http_easy_defaults (easy, call->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_URL, call->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, x->headers);
  curl_easy_setopt (easy, CURLOPT_MAXFILESIZE_LARGE, (curl_off_t)x->call.max_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, x);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, x);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, call->on_new_connection ? 1L : 0L);
  if (call->body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)call->body_len);
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, call->body);
    }
  http_client_add (client, easy, on_exchange_done, x);
}

static void
cancel_transfer (struct http_client *client, struct transfer *transfer)
{
  CURL *easy = transfer->easy;
  bool is_exchange = transfer->done == on_exchange_done;
  void *arg = transfer->arg;
  curl_multi_remove_handle (client->multi, easy);
  LIST_REMOVE (transfer, link);
  free (transfer);
  if (is_exchange)
    free_exchange (arg, easy);
}

void
http_client_close (struct http_client *client)
{
  struct transfer *transfer;
  if (!client)
    return;
  while ((transfer = LIST_FIRST (&client->transfers)))
    cancel_transfer (client, transfer);
  curl_multi_cleanup (client->multi);
  ev_timer_stop (client->loop, &client->timer);
  free (client);
}
