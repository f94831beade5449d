/* Guards against answers that fill the memory of the process.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_client.h"

#define MAX_ANSWER 1000
#define TIMEOUT_MS 5000

/* A server that sends a fixed text on each connection and closes it.  */
struct fixture
{
  struct ev_loop *loop;
  struct http_client *client;
  struct memory_budget budget;
  ev_io listener;
  int port;
  char text[4 * MAX_ANSWER];
  enum status_kind kind;
  size_t len; /* of the answer's body */
};

static void
on_connection (struct ev_loop *loop, ev_io *w, int events)
{
  const struct fixture *f = w->data;
  char request[1024];
  int fd = accept (w->fd, NULL, NULL);
  (void)loop;
  (void)events;
  assert_true (recv (fd, request, sizeof request, 0) > 0);
  assert_int_equal (send (fd, f->text, strlen (f->text), MSG_NOSIGNAL), strlen (f->text));
  close (fd);
}

static int
open_fixture (void **state)
{
  struct fixture *f = xcalloc (1, sizeof *f);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (fd, 8), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  f->port = ntohs (address.sin_port);
  f->loop = ev_loop_new (0);
  f->client = http_client_open (f->loop, 0);
  memory_budget_init (&f->budget, 1);
  http_client_set_budget (f->client, &f->budget);
  ev_io_init (&f->listener, on_connection, fd, EV_READ);
  f->listener.data = f;
  ev_io_start (f->loop, &f->listener);
  *state = f;
  return 0;
}

static int
close_fixture (void **state)
{
  struct fixture *f = *state;
  http_client_close (f->client);
  memory_budget_close (&f->budget);
  ev_io_stop (f->loop, &f->listener);
  close (f->listener.fd);
  ev_loop_destroy (f->loop);
  free (f);
  return 0;
}

static void
on_answer (void *arg, const struct http_answer *a)
{
  struct fixture *f = arg;
  f->kind = a->status.kind;
  f->len = a->body.len;
  ev_break (f->loop, EVBREAK_ALL);
}

/* Sends HEADER and LEN bytes as the answer, and returns how the call ended.  */
static enum status_kind
call (struct fixture *f, const char *header, int len)
{
  char url[64];
  const struct http_call c = { .method = "GET",
                               .url = url,
                               .max_answer = MAX_ANSWER,
                               .timeout_ms = TIMEOUT_MS,
                               .done = on_answer,
                               .done_arg = f };
  snprintf (url, sizeof url, "http://127.0.0.1:%d/", f->port);
  snprintf (f->text, sizeof f->text, "HTTP/1.1 200 OK\r\n%s\r\n%0*d", header, len, 0);
  http_client_send (f->client, &c);
  ev_run (f->loop, 0);
  return f->kind;
}

static void
test_answer_over_the_limit_is_given_up (void **state)
{
  struct fixture *f = *state;
  assert_int_equal (call (f, "", MAX_ANSWER + 1), STATUS_BACKEND_FAILED);
  assert_true (f->len <= MAX_ANSWER);
  assert_int_equal (f->budget.used, 0);
}

static void
test_announced_excess_is_not_read (void **state)
{
  struct fixture *f = *state;
  assert_int_equal (call (f, "Content-Length: 1001\r\n", 1), STATUS_BACKEND_FAILED);
  assert_int_equal (f->len, 0);
}

static void
test_answer_of_the_largest_size_arrives (void **state)
{
  struct fixture *f = *state;
  assert_int_equal (call (f, "", MAX_ANSWER), STATUS_OK);
  assert_int_equal (f->len, MAX_ANSWER);
  assert_int_equal (f->budget.used, 0);
}

static void
test_answer_without_room_is_given_up (void **state)
{
  struct fixture *f = *state;
  f->budget.used = f->budget.limit - MAX_ANSWER + 1;
  assert_int_equal (call (f, "", MAX_ANSWER), STATUS_BACKEND_FAILED);
  assert_int_equal (f->budget.used, f->budget.limit - MAX_ANSWER + 1);
  f->budget.used = 0;
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, open_fixture, close_fixture)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_answer_over_the_limit_is_given_up), TEST (test_announced_excess_is_not_read),
          TEST (test_answer_of_the_largest_size_arrives),
          TEST (test_answer_without_room_is_given_up) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
