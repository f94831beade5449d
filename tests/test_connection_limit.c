/* Guards against idle connections that take all descriptors, and against closing one whose request
   is being handled.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection_limit.h"

#define MAX_FILES 100
#define SPARE_FD 99 /* reported as the descriptor of a connection that has another one */

struct pair
{
  struct limited_connection c;
  int fds[2];
};

static void
open_pair (struct connection_limit *l, struct pair *p, int reported_fd)
{
  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM, 0, p->fds), 0);
  connection_limit_add (l, &p->c, reported_fd);
  p->c.fd = p->fds[0];
}

static void
close_pair (struct connection_limit *l, struct pair *p)
{
  connection_limit_remove (l, &p->c);
  close (p->fds[0]);
  close (p->fds[1]);
}

static bool
is_shut (const struct pair *p)
{
  char byte;
  return recv (p->fds[1], &byte, 1, MSG_DONTWAIT) == 0;
}

static void
test_the_longest_idle_connections_are_closed (void **state)
{
  struct connection_limit l;
  struct pair p[5];
  (void)state;
  connection_limit_init (&l, MAX_FILES);
  open_pair (&l, &p[0], 1);
  open_pair (&l, &p[1], 2);
  open_pair (&l, &p[2], 3);
  open_pair (&l, &p[3], MAX_FILES / 2 - 1);
  assert_true (connection_limit_begin (&l, &p[0].c));
  connection_limit_end (&l, &p[0].c);
  assert_false (is_shut (&p[1]));
  open_pair (&l, &p[4], MAX_FILES / 2);
  assert_false (is_shut (&p[0]));
  assert_true (is_shut (&p[1]));
  assert_true (is_shut (&p[2]));
  assert_false (is_shut (&p[3]));
  assert_false (connection_limit_begin (&l, &p[1].c));
  for (int i = 0; i < 5; i++)
    close_pair (&l, &p[i]);
  connection_limit_close (&l);
}

static void
test_a_connection_with_a_request_is_never_closed (void **state)
{
  struct connection_limit l;
  struct pair p[3];
  (void)state;
  connection_limit_init (&l, MAX_FILES);
  open_pair (&l, &p[0], 1);
  assert_true (connection_limit_begin (&l, &p[0].c));
  open_pair (&l, &p[1], SPARE_FD);
  assert_false (is_shut (&p[0]));
  assert_false (is_shut (&p[1]));
  open_pair (&l, &p[2], SPARE_FD);
  assert_false (is_shut (&p[0]));
  assert_true (is_shut (&p[1]));
  for (int i = 0; i < 3; i++)
    close_pair (&l, &p[i]);
  connection_limit_close (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_the_longest_idle_connections_are_closed),
          cmocka_unit_test (test_a_connection_with_a_request_is_never_closed) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
