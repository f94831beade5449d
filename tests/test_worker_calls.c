/* HTTP calls to workers.  Guards against leaks of calls that are pending when a process ends
   (soak, seeds 317 and 345; found by the leak check of the sanitized run), against an outcome
   without the caller's tag, against a start that is sent twice (issue 25), and against an order
   that is sent long after it was given.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "http_server.h"
#include "worker_calls.h"

struct fixture
{
  struct ev_loop *loop;
  struct http_server *worker;
  struct worker_calls *calls;
  struct manual_clock clock;
  char address[32];
  bool answers;
  unsigned requests;
  unsigned outcomes;
  struct worker_outcome outcome;
};

static void
handle (void *arg, struct http_request *req)
{
  struct fixture *f = arg;
  f->requests++;
  if (f->answers)
    http_reply (req, 200, "application/json", "{\"clock_ms\":1}", 14);
}

static void
on_outcome (void *arg, int64_t now_ms, const struct worker_outcome *o)
{
  struct fixture *f = arg;
  (void)now_ms;
  f->outcomes++;
  f->outcome = *o;
  ev_break (f->loop, EVBREAK_ONE);
}

static void
open_fixture (struct fixture *f)
{
  struct status st;
  memset (f, 0, sizeof *f);
  f->loop = ev_loop_new (0);
  const struct http_server_config config
      = { .address = "127.0.0.1:0", .max_body = 1000, .handler = handle, .handler_arg = f };
  f->worker = http_server_open (f->loop, &config, &st);
  assert_non_null (f->worker);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%d", http_server_port (f->worker));
  manual_clock_init (&f->clock, 1000);
  f->calls = worker_calls_open (f->loop, &f->clock.clock, NULL);
  worker_calls_set_outcome_handler (f->calls, on_outcome, f);
}

static void
close_fixture (struct fixture *f)
{
  worker_calls_close (f->calls);
  http_server_close (f->worker);
  ev_loop_destroy (f->loop);
}

static void
send_stop (struct fixture *f, void *tag)
{
  struct worker_link *l = worker_calls_link (f->calls);
  const struct worker_stop order
      = { .to = { .worker = "w1", .address = f->address, .zone = "a", .fence = 3, .tag = tag },
          .task = { .job = 9, .index = 2 },
          .run = 4 };
  l->ops->stop (l, &order);
}

static void
send_start_on (struct fixture *f, bool new_connection)
{
  struct worker_link *l = worker_calls_link (f->calls);
  const struct worker_start order
      = { .to = { .worker = "w1", .address = f->address, .zone = "a", .fence = 3 },
          .task = { .job = 9, .index = 2 },
          .run = 4,
          .payload = "",
          .checkpoint = "",
          .deadline_ms = 1000,
          .on_new_connection = new_connection };
  l->ops->start (l, &order);
}

static void
send_start (struct fixture *f)
{
  send_start_on (f, false);
}

static void
test_outcome_identifies_its_order (void **state)
{
  struct fixture f;
  int tag;
  (void)state;
  open_fixture (&f);
  f.answers = true;
  send_stop (&f, &tag);
  ev_run (f.loop, 0);
  assert_int_equal (f.outcomes, 1);
  assert_int_equal (f.outcome.kind, ORDER_STOP);
  assert_int_equal (f.outcome.result, WORKER_CALL_OK);
  assert_int_equal (f.outcome.run, 4);
  assert_int_equal (f.outcome.task.index, 2);
  assert_ptr_equal (f.outcome.tag, &tag);
  close_fixture (&f);
}

/* Guards against a start that a suspended process sends when it runs again: the worker may have
   restarted since and refuses nothing.  libcurl's own time-outs do not count a suspension.  */
static void
test_an_order_is_not_sent_after_a_pause (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  f.answers = true;
  send_stop (&f, NULL);
  manual_clock_advance (&f.clock, 5000);
  ev_run (f.loop, 0);
  assert_int_equal (f.requests, 0);
  assert_int_equal (f.outcomes, 1);
  assert_int_equal (f.outcome.result, WORKER_CALL_UNKNOWN);
  send_stop (&f, NULL);
  ev_run (f.loop, 0);
  assert_int_equal (f.requests, 1);
  assert_int_equal (f.outcome.result, WORKER_CALL_OK);
  close_fixture (&f);
}

static void
test_pending_calls_are_freed_on_close (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  send_stop (&f, NULL);
  for (int i = 0; i < 20; i++)
    ev_run (f.loop, EVRUN_NOWAIT);
  assert_int_equal (f.outcomes, 0);
  close_fixture (&f);
}

/* A worker that answers its first request, breaks the connection at the second, and refuses
   later ones for lack of capacity.  */
struct breaking_worker
{
  struct ev_loop *loop;
  ev_io listener;
  ev_io connection; /* fd -1: none */
  unsigned connections;
  unsigned requests;
  const char *answer; /* to all requests; NULL: as above */
  bool closes;        /* the connection, after that answer */
};

static void
close_connection (struct breaking_worker *b)
{
  if (b->connection.fd < 0)
    return;
  ev_io_stop (b->loop, &b->connection);
  close (b->connection.fd);
  b->connection.fd = -1;
}

static void
on_request (struct ev_loop *loop, ev_io *w, int events)
{
  static const char accepted[] = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":1}";
  static const char no_room[] = "HTTP/1.1 409 Conflict\r\nContent-Length: 30\r\n\r\n"
                                "{\"clock_ms\":1,\"reason\":\"room\"}";
  struct breaking_worker *b = w->data;
  char request[1000];
  (void)loop;
  (void)events;
  if (read (w->fd, request, sizeof request) <= 0)
    {
      close_connection (b);
      return;
    }
  b->requests++;
  if (b->answer)
    {
      size_t len = strlen (b->answer);
      assert_int_equal (write (w->fd, b->answer, len), len);
      if (b->closes)
        close_connection (b);
    }
  else if (b->requests == 1)
    assert_int_equal (write (w->fd, accepted, sizeof accepted - 1), sizeof accepted - 1);
  else if (b->requests == 2)
    close_connection (b);
  else
    assert_int_equal (write (w->fd, no_room, sizeof no_room - 1), sizeof no_room - 1);
}

static void
on_connection (struct ev_loop *loop, ev_io *w, int events)
{
  struct breaking_worker *b = w->data;
  (void)events;
  close_connection (b);
  b->connections++;
  ev_io_set (&b->connection, accept (w->fd, NULL, NULL), EV_READ);
  ev_io_start (loop, &b->connection);
}

static void
open_breaking_worker (struct breaking_worker *b, struct fixture *f)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&a, len), 0);
  assert_int_equal (listen (fd, 4), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&a, &len), 0);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%d", ntohs (a.sin_port));
  *b = (struct breaking_worker){ .loop = f->loop };
  ev_io_init (&b->listener, on_connection, fd, EV_READ);
  ev_io_init (&b->connection, on_request, -1, EV_READ);
  b->listener.data = b;
  b->connection.data = b;
  ev_io_start (f->loop, &b->listener);
}

static void
close_breaking_worker (struct breaking_worker *b)
{
  close_connection (b);
  ev_io_stop (b->loop, &b->listener);
  close (b->listener.fd);
}

/* A refusal of the second copy says nothing about the first, which the worker may carry out.  */
static void
test_broken_connection_does_not_repeat_a_start (void **state)
{
  struct fixture f;
  struct breaking_worker b;
  (void)state;
  open_fixture (&f);
  open_breaking_worker (&b, &f);
  send_start (&f);
  ev_run (f.loop, 0);
  assert_int_equal (f.outcome.result, WORKER_CALL_OK);
  send_start (&f);
  ev_run (f.loop, 0);
  assert_int_equal (f.outcomes, 2);
  assert_int_equal (f.outcome.result, WORKER_CALL_UNKNOWN);
  assert_int_equal (b.requests, 2);
  close_breaking_worker (&b);
  close_fixture (&f);
}

#define NO_BODY "\r\nContent-Length: 0\r\n\r\n"
#define BODY(length, body) "\r\nContent-Length: " #length "\r\n\r\n" body

/* Only an answer that the worker gives without starting the task may count as a refusal, on a new
   connection and on a reused one; no answer makes the client send the start again.  */
static void
test_only_a_complete_refusal_of_a_start_counts_as_one (void **state)
{
  static const struct
  {
    const char *answer;
    bool closes;
    enum worker_call_result result;
  } cases[] = {
    { "HTTP/1.1 200 OK" BODY (14, "{\"clock_ms\":1}"), false, WORKER_CALL_OK },
    { "HTTP/1.1 200 OK" BODY (4, "\1\2{["), false, WORKER_CALL_OK },
    { "HTTP/1.1 409 Conflict" BODY (18, "{\"reason\":\"fence\"}"), false, WORKER_CALL_FENCED },
    { "HTTP/1.1 409 Conflict" BODY (16, "{\"reason\":\"old\"}"), false, WORKER_CALL_OLD_RUN },
    { "HTTP/1.1 409 Conflict" BODY (17, "{\"reason\":\"late\"}"), false, WORKER_CALL_LATE },
    { "HTTP/1.1 409 Conflict" BODY (17, "{\"reason\":\"room\"}"), false, WORKER_CALL_NO_ROOM },
    { "HTTP/1.1 409 Conflict" BODY (19, "{\"reason\":\"ticket\"}"), false, WORKER_CALL_NO_TICKET },
    { "HTTP/1.1 409 Conflict" BODY (4, "\1\2{["), false, WORKER_CALL_REFUSED },
    { "HTTP/1.1 421 Misdirected Request" NO_BODY, false, WORKER_CALL_OTHER_WORKER },
    { "HTTP/1.1 429 Too Many Requests" NO_BODY, false, WORKER_CALL_REFUSED },
    { "HTTP/1.1 503 Service Unavailable" NO_BODY, false, WORKER_CALL_REFUSED },
    { "HTTP/1.1 400 Bad Request" NO_BODY, false, WORKER_CALL_REFUSED },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable" NO_BODY, false,
      WORKER_CALL_REFUSED },
    { "HTTP/1.1 100 Continue\r\n\r\n", true, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 409 Conflict" BODY (40, "{\"reason\":\"room\"}"), true, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 503 Service Unavailable" BODY (4, ""), true, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 307 Temporary Redirect\r\nLocation: /sassafrasstall/run-start" NO_BODY, false,
      WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 408 Request Timeout\r\nConnection: close" NO_BODY, true, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 401 Unauthorized\r\nWWW-Authenticate: Basic" NO_BODY, false, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 417 Expectation Failed" NO_BODY, false, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 425 Too Early" NO_BODY, false, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 500 Internal Server Error" NO_BODY, false, WORKER_CALL_UNKNOWN },
    { "HTTP/1.1 504 Gateway Timeout" NO_BODY, false, WORKER_CALL_UNKNOWN },
    { "\1\2\3\r\n\r\n", true, WORKER_CALL_UNKNOWN },
    { "", true, WORKER_CALL_UNKNOWN },
    { "", false, WORKER_CALL_UNKNOWN },
  };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    for (int reused = 0; reused < 2; reused++)
      {
        struct fixture f;
        struct breaking_worker b;
        open_fixture (&f);
        open_breaking_worker (&b, &f);
        if (reused)
          {
            send_start (&f);
            ev_run (f.loop, 0);
            assert_int_equal (f.outcome.result, WORKER_CALL_OK);
          }
        b.answer = cases[i].answer;
        b.closes = cases[i].closes;
        b.requests = 0;
        send_start (&f);
        ev_run (f.loop, 0);
        if (f.outcome.result != cases[i].result || b.requests != 1 || f.outcomes != reused + 1u)
          fail_msg ("answer %zu, reused=%d: result %d, %u requests, %d outcomes", i, reused,
                    (int)f.outcome.result, b.requests, (int)f.outcomes);
        close_breaking_worker (&b);
        close_fixture (&f);
      }
}

/* Guards against a start that counts as not executed although a byte of it was written, and against
   one that stays uncertain although none was: only without any connection is it certain.  */
static void
test_only_a_start_without_a_connection_is_not_sent (void **state)
{
  struct fixture f;
  struct breaking_worker b;
  (void)state;
  for (int is_new = 0; is_new < 2; is_new++)
    {
      open_fixture (&f);
      open_breaking_worker (&b, &f);
      send_start (&f);
      ev_run (f.loop, 0);
      assert_int_equal (f.outcomes, 1);
      assert_int_equal (f.outcome.result, WORKER_CALL_OK);
      /* The worker is silent: the kernel still takes bytes on the connection and accepts new ones.
       */
      b.answer = "";
      send_start_on (&f, is_new);
      ev_run (f.loop, 0);
      assert_int_equal (f.outcomes, 2);
      assert_int_equal (f.outcome.result, WORKER_CALL_UNKNOWN);
      assert_int_equal (b.connections, is_new ? 2 : 1);
      close_breaking_worker (&b);
      send_start_on (&f, is_new);
      ev_run (f.loop, 0);
      assert_int_equal (f.outcomes, 3);
      assert_int_equal (f.outcome.result, WORKER_CALL_NOT_SENT);
      close_fixture (&f);
    }
}

static void
send_hold (struct fixture *f, uint64_t acknowledged)
{
  struct worker_link *l = worker_calls_link (f->calls);
  const struct worker_hold order
      = { .to = { .worker = "w1", .address = f->address, .zone = "a", .fence = 3 },
          .mark = 5,
          .acknowledged = acknowledged };
  l->ops->hold (l, &order);
}

/* A departure is proved by an address that refuses connections, not by one that doesn't answer: its
   worker may be behind a partition.  */
static void
test_only_a_refused_connection_shows_that_nobody_listens (void **state)
{
  struct fixture f;
  struct breaking_worker b;
  (void)state;
  open_fixture (&f);
  open_breaking_worker (&b, &f);
  b.answer = "";
  b.closes = true;
  send_hold (&f, 0);
  ev_run (f.loop, 0);
  assert_int_equal (f.outcomes, 1);
  assert_int_equal (f.outcome.result, WORKER_CALL_UNKNOWN);
  close_breaking_worker (&b);
  send_hold (&f, 0);
  ev_run (f.loop, 0);
  assert_int_equal (f.outcomes, 2);
  assert_int_equal (f.outcome.result, WORKER_CALL_NO_LISTENER);
  close_fixture (&f);
}

/* Guards against an acknowledgement that reaches the next incarnation of its worker, because the
   client writes a hold again when its connection breaks.  A hold without one may be repeated.  */
static void
test_broken_connection_does_not_repeat_an_acknowledgement (void **state)
{
  (void)state;
  for (uint64_t acknowledged = 0; acknowledged < 2; acknowledged++)
    {
      struct fixture f;
      struct breaking_worker b;
      open_fixture (&f);
      open_breaking_worker (&b, &f);
      send_start (&f);
      ev_run (f.loop, 0);
      send_hold (&f, acknowledged);
      ev_run (f.loop, 0);
      assert_int_equal (f.outcomes, 2);
      assert_int_equal (b.requests, acknowledged ? 2 : 3);
      if (acknowledged)
        assert_int_equal (f.outcome.result, WORKER_CALL_UNKNOWN);
      close_breaking_worker (&b);
      close_fixture (&f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_outcome_identifies_its_order),
          cmocka_unit_test (test_an_order_is_not_sent_after_a_pause),
          cmocka_unit_test (test_pending_calls_are_freed_on_close),
          cmocka_unit_test (test_broken_connection_does_not_repeat_a_start),
          cmocka_unit_test (test_only_a_complete_refusal_of_a_start_counts_as_one),
          cmocka_unit_test (test_only_a_start_without_a_connection_is_not_sent),
          cmocka_unit_test (test_only_a_refused_connection_shows_that_nobody_listens),
          cmocka_unit_test (test_broken_connection_does_not_repeat_an_acknowledgement) };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  curl_global_cleanup ();
  return failed;
}
