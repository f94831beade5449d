/* Guards against a request that is executed although its sender has stopped waiting for it: the
   server must see a close that came while the request was unread or suspended.  Also against
   bodies over the limits.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "http_server.h"
#include "json_cost.h"
#include "raw_sender.h"

#define REQUEST "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
#define STEP_S 0.02
#define MAX_BODY 1000
#define CHECK_S 0.02
#define MAX_STEPS 500

struct fixture
{
  struct ev_loop *loop;
  struct http_server *server;
  struct memory_budget budget;
  struct http_request *request; /* not answered yet */
  bool gone_when_read;
  int sender;
};

static void
handle (void *arg, struct http_request *req)
{
  struct fixture *f = arg;
  f->request = req;
  f->gone_when_read = http_sender_is_gone (req);
}

static void
stop (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
run_step (struct fixture *f)
{
  ev_timer t;
  ev_timer_init (&t, stop, STEP_S, 0.0);
  ev_timer_start (f->loop, &t);
  ev_run (f->loop, 0);
}

/* The server does not run meanwhile.  */
static int
send_text (const struct fixture *f, const char *text)
{
  return raw_send ("127.0.0.1", http_server_port (f->server), text);
}

static int
open_fixture (void **state)
{
  struct fixture *f = xcalloc (1, sizeof *f);
  struct status st;
  f->loop = ev_loop_new (0);
  memory_budget_init (&f->budget, 1);
  const struct http_server_config config = { .address = "127.0.0.1:0",
                                             .max_body = MAX_BODY,
                                             .handler = handle,
                                             .handler_arg = f,
                                             .body_check_s = CHECK_S,
                                             .budget = &f->budget };
  f->server = http_server_open (f->loop, &config, &st);
  assert_non_null (f->server);
  *state = f;
  return 0;
}

static int
close_fixture (void **state)
{
  struct fixture *f = *state;
  if (f->request)
    http_reply (f->request, 200, "text/plain", "", 0);
  run_step (f);
  http_server_close (f->server);
  memory_budget_close (&f->budget);
  ev_loop_destroy (f->loop);
  free (f);
  return 0;
}

static void
test_close_while_the_request_was_unread (void **state)
{
  struct fixture *f = *state;
  close (send_text (f, REQUEST));
  run_step (f);
  assert_non_null (f->request);
  assert_true (f->gone_when_read);
}

static void
test_reset_while_the_request_was_suspended (void **state)
{
  struct fixture *f = *state;
  const struct linger reset = { .l_onoff = 1 };
  int fd = send_text (f, REQUEST);
  run_step (f);
  assert_non_null (f->request);
  assert_false (f->gone_when_read);
  assert_false (http_sender_is_gone (f->request));
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  assert_true (http_sender_is_gone (f->request));
}

static void
test_sender_that_waits_is_not_gone (void **state)
{
  struct fixture *f = *state;
  int fd = send_text (f, REQUEST REQUEST);
  run_step (f);
  assert_non_null (f->request);
  assert_false (f->gone_when_read);
  assert_false (http_sender_is_gone (f->request));
  close (fd);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, open_fixture, close_fixture)

/* Returns whether the server has closed the connection; ANSWER gets what it sent before.  */
static bool
read_answer (int fd, char *answer, size_t size)
{
  ssize_t n = recv (fd, answer, size - 1, MSG_DONTWAIT);
  answer[n > 0 ? n : 0] = '\0';
  char byte;
  return recv (fd, &byte, 1, MSG_DONTWAIT) == 0 || errno == ECONNRESET;
}

static void
test_announced_excess_is_refused_before_the_body (void **state)
{
  struct fixture *f = *state;
  char answer[1024];
  int fd = send_text (f, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
  run_step (f);
  assert_true (read_answer (fd, answer, sizeof answer));
  assert_non_null (strstr (answer, " 413 "));
  assert_non_null (strstr (answer, "\"ran\":\"no\""));
  assert_null (f->request);
  assert_int_equal (http_server_open_requests (f->server), 0);
  close (fd);
}

static void
test_body_that_outgrows_the_limit_is_closed (void **state)
{
  struct fixture *f = *state;
  char text[2 * MAX_BODY];
  char answer[1024];
  snprintf (text, sizeof text,
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%0*d", 1 << 30,
            MAX_BODY + 1, 0);
  int fd = send_text (f, text);
  run_step (f);
  assert_true (read_answer (fd, answer, sizeof answer));
  assert_non_null (strstr (answer, " 413 "));
  assert_null (f->request);
  assert_int_equal (http_server_open_requests (f->server), 0);
  close (fd);
}

static void
test_body_of_the_largest_size_is_served (void **state)
{
  struct fixture *f = *state;
  char text[2 * MAX_BODY];
  snprintf (text, sizeof text, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%0*d",
            MAX_BODY, MAX_BODY, 0);
  int fd = send_text (f, text);
  run_step (f);
  assert_non_null (f->request);
  assert_int_equal (f->request->body.len, MAX_BODY);
  close (fd);
}

static void
test_body_with_too_many_values_is_refused (void **state)
{
  struct fixture *f = *state;
  char answer[1024];
  const char *text = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n[{},{}]";
  size_t limit = f->budget.limit;
  f->budget.limit = json_parsed_bytes ("[{},{}]", 7) - 1;
  int fd = send_text (f, text);
  run_step (f);
  read_answer (fd, answer, sizeof answer);
  assert_non_null (strstr (answer, " 413 "));
  assert_null (f->request);
  close (fd);
  f->budget.limit = limit;
  fd = send_text (f, text);
  run_step (f);
  assert_non_null (f->request);
  close (fd);
}

static void
test_body_without_room_is_refused_as_not_run (void **state)
{
  struct fixture *f = *state;
  char answer[1024];
  size_t held = f->budget.limit - MAX_BODY / 2;
  f->budget.used = held; /* as if held by many small bodies */
  int fd = send_text (f, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\n");
  run_step (f);
  assert_true (read_answer (fd, answer, sizeof answer));
  assert_non_null (strstr (answer, " 503 "));
  assert_non_null (strstr (answer, "Retry-After: 1"));
  assert_non_null (strstr (answer, "\"ran\":\"no\""));
  assert_null (f->request);
  close (fd);
  fd = send_text (f, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
  run_step (f);
  assert_non_null (f->request);
  assert_int_equal (f->budget.used, held + 2);
  http_reply (f->request, 200, "text/plain", "", 0);
  f->request = NULL;
  run_step (f);
  assert_int_equal (f->budget.used, held);
  close (fd);
  memory_budget_init (&f->budget, 1);
}

static void
test_stalled_body_is_closed_and_its_room_returns (void **state)
{
  struct fixture *f = *state;
  char answer[1024];
  int fd = send_text (f, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{");
  run_step (f);
  assert_int_equal (f->budget.used, 9);
  for (int i = 0; i < MAX_STEPS && f->budget.used > 0; i++)
    run_step (f);
  assert_int_equal (f->budget.used, 0);
  assert_true (read_answer (fd, answer, sizeof answer));
  assert_null (f->request);
  close (fd);
}

static void
test_request_that_is_being_handled_is_not_stalled (void **state)
{
  struct fixture *f = *state;
  char answer[1024];
  int fd = send_text (f, REQUEST);
  for (int i = 0; i < 20; i++)
    run_step (f);
  assert_non_null (f->request);
  assert_false (read_answer (fd, answer, sizeof answer));
  close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { TEST (test_close_while_the_request_was_unread),
                                      TEST (test_reset_while_the_request_was_suspended),
                                      TEST (test_sender_that_waits_is_not_gone),
                                      TEST (test_announced_excess_is_refused_before_the_body),
                                      TEST (test_body_that_outgrows_the_limit_is_closed),
                                      TEST (test_body_of_the_largest_size_is_served),
                                      TEST (test_body_with_too_many_values_is_refused),
                                      TEST (test_body_without_room_is_refused_as_not_run),
                                      TEST (test_stalled_body_is_closed_and_its_room_returns),
                                      TEST (test_request_that_is_being_handled_is_not_stalled) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
