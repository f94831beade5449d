/* Guards against request smuggling, answers with ambiguous framing, and hop-by-hop fields that
   leak through the proxy.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "proxy_head.h"

static void
read_answer (struct head *h, const char *const *lines)
{
  head_init (h, true);
  for (; *lines; lines++)
    head_add_line (h, *lines, strlen (*lines));
}

static void
test_hop_by_hop_fields_are_removed (void **state)
{
  (void)state;
  struct head h;
  static const char *const lines[] = { "HTTP/1.1 100 Continue\r\n",
                                       "\r\n",
                                       "HTTP/1.1 200 OK\r\n",
                                       "X-Kept:  a b \r\n",
                                       "Connection: close, X-Private\r\n",
                                       "x-private: secret\r\n",
                                       "Keep-Alive: 5\r\n",
                                       "Content-Length: 12\r\n",
                                       "Sassafras-In-Flight: 7\r\n",
                                       "Empty:\r\n",
                                       "\r\n",
                                       "X-Trailer: no\r\n",
                                       NULL };
  read_answer (&h, lines);
  assert_null (h.fault);
  assert_true (h.complete);
  assert_int_equal (h.code, 200);
  assert_int_equal (h.content_length, 12);
  assert_int_equal (h.in_flight, 7);
  assert_string_equal (h.lines.data, "X-Kept: a b\nEmpty: \n");
  head_close (&h);
}

static void
test_ambiguous_answers_are_refused (void **state)
{
  (void)state;
  static const char *const bad[][5] = {
    { "HTTP/1.1 200 OK\r\n", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "Content-Length: 1\r\n", "Content-Length: 1\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "Content-Length: -1\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "Content-Length: 99999999999999999999\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: gzip\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "A: b\r\n", " folded\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "no colon\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "Bad Name: x\r\n", "\r\n" },
    { "HTTP/1.1 200 OK\r\n", "A: x\ry\r\n", "\r\n" },
    { "HTTP/1.1 101 Switching\r\n", "\r\n" },
    { "HTTP/1.1 2x0 OK\r\n", "\r\n" },
    { "HTTP/2 200\r\n", "\r\n" },
  };
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      struct head h;
      read_answer (&h, bad[i]);
      if (!h.fault)
        fail_msg ("answer %zu is accepted", i);
      head_close (&h);
    }
}

static void
test_numbers_and_targets (void **state)
{
  (void)state;
  int64_t n = -1;
  assert_true (head_number ("0", 10, &n) && n == 0);
  assert_true (head_number ("9223372036854775807", INT64_MAX, &n) && n == INT64_MAX);
  assert_false (head_number ("9223372036854775808", INT64_MAX, &n));
  assert_false (head_number ("11", 10, &n));
  assert_false (head_number ("", 10, &n) || head_number ("+1", 10, &n)
                || head_number ("1 ", 10, &n));
  assert_true (head_target_valid ("/v1/call/a/%2e%2e/b?x=1"));
  assert_false (head_target_valid ("http://x/") || head_target_valid ("/a b")
                || head_target_valid ("/a#b") || head_target_valid ("/\x80"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_hop_by_hop_fields_are_removed),
    cmocka_unit_test (test_ambiguous_answers_are_refused),
    cmocka_unit_test (test_numbers_and_targets),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
