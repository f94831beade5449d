/* Guards against missing, partial or swapped answers, against requests that run twice, and against
   requests cut off by a departing runner or a draining entry.  Runs the real proxy and stand-in
   runners on loopback, each in its own process.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "proxy_fixture.h"

#define PARALLEL 16
/* AddressSanitizer delays the reuse of freed memory, so only a fully buffered answer is detected.
 */
#ifdef __SANITIZE_ADDRESS__
#define MEMORY_GROWTH_KB 20000
#else
#define MEMORY_GROWTH_KB 4096
#endif

static struct child entry;
static struct child runner;

static int
open_both (void **state)
{
  (void)state;
  entry = start_entry ();
  runner = start_runner (&entry, NULL);
  return wait_statistic (entry.admin_port, "/stats", "live", 1) ? 0 : -1;
}

static int
close_both (void **state)
{
  (void)state;
  end_child (&runner, SIGKILL);
  int status = end_child (&entry, SIGTERM);
  return WIFEXITED (status) && WEXITSTATUS (status) == 0 ? 0 : -1;
}

static bool
has (const struct reply *r, const char *text)
{
  return r->body.data && strstr (r->body.data, text);
}

static bool
head_has (const struct reply *r, const char *text)
{
  return r->head.data && strstr (r->head.data, text);
}

static struct reply
post_call (const char *target, const char *headers, const char *body)
{
  char request[2048];
  snprintf (request, sizeof request,
            "POST %s HTTP/1.1\r\nHost: entry\r\nSassafras-Customer: huron\r\n%s"
            "Content-Length: %zu\r\n\r\n%s",
            target, headers, strlen (body), body);
  return exchange (entry.port, request);
}

static long
executions (const char *key)
{
  char target[300];
  snprintf (target, sizeof target, "/standin/executions?key=%s", key);
  struct reply r = get (runner.port, target);
  long n = r.body.data ? strtol (r.body.data, NULL, 10) : -1;
  free_reply (&r);
  return n;
}

static void
test_forwards_complete_answer (void **state)
{
  (void)state;
  static const long sizes[] = { 0, 1, 64, 70000, 3000000 };
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    for (int chunked = 0; chunked < 2; chunked++)
      {
        char target[128];
        snprintf (target, sizeof target, "/v1/call/echo/a/b?tag=%zu-tag-&bytes=%ld&mode=%s", i,
                  sizes[i], chunked ? "chunked" : "normal");
        struct reply r = get (entry.port, target);
        assert_int_equal (r.code, 200);
        assert_true (r.whole);
        assert_int_equal (r.body.len, sizes[i]);
        if (r.body.data && r.body.len > 0)
          assert_int_equal (r.body.data[0], '0' + (int)i);
        free_reply (&r);
      }
}

static void
test_streams_uploads_both_ways (void **state)
{
  (void)state;
  struct buffer request = { 0 };
  struct buffer in = { 0 };
  struct reply r;
  const size_t size = 5000000;
  char *body = xmalloc (size);
  for (size_t i = 0; i < size; i++)
    body[i] = (char)('a' + i * 7 % 23);
  for (int chunked = 0; chunked < 2; chunked++)
    {
      int fd = dial (entry.port);
      buffer_printf (&request, "PUT /v1/call/echo/up?mode=echo HTTP/1.1\r\nHost: entry\r\n"
                               "Sassafras-Customer: huron\r\n");
      buffer_printf (&request,
                     chunked ? "Transfer-Encoding: chunked\r\n\r\n%zx\r\n"
                             : "Content-Length: %zu\r\n\r\n",
                     size);
      assert_true (send_all (fd, request.data, request.len));
      assert_true (send_all (fd, body, size));
      if (chunked)
        assert_true (send_all (fd, "\r\n0\r\n\r\n", 7));
      read_reply (fd, &in, &r, false);
      assert_true (r.whole);
      assert_int_equal (r.body.len, size);
      assert_true (r.body.data && memcmp (r.body.data, body, size) == 0);
      free_reply (&r);
      buffer_close (&request);
      close (fd);
    }
  buffer_close (&in);
  free (body);
}

static void
test_broken_answers_never_look_complete (void **state)
{
  (void)state;
  static const char *const modes[]
      = { "truncated", "chunked-truncated", "overlong",  "overlong-close",
          "garbage",   "two-lengths",       "no-length", "reset" };
  static const long sizes[] = { 1, 100, 300000 };
  for (size_t i = 0; i < sizeof modes / sizeof *modes; i++)
    for (size_t k = 0; k < sizeof sizes / sizeof *sizes; k++)
      {
        char target[128];
        snprintf (target, sizeof target, "/v1/call/echo/x?mode=%s&bytes=%ld", modes[i], sizes[k]);
        struct reply r = post_call (target, "", "");
        if (r.whole && r.code < 500)
          fail_msg ("mode %s with %ld bytes looks complete", modes[i], sizes[k]);
        if (r.whole)
          assert_true (has (&r, "\"ran\":\"unknown\""));
        free_reply (&r);
        assert_true (wait_statistic (entry.admin_port, "/stats", "open", 0));
      }
}

/* A backend server may close its connection right after a complete answer: the FIN must not count
   as excess data.  */
static void
test_close_after_answer_is_not_excess_data (void **state)
{
  (void)state;
  for (int i = 0; i < 200; i++)
    {
      struct reply r = post_call ("/v1/call/echo/x?mode=normal-close&bytes=300", "", "");
      assert_int_equal (r.code, 200);
      assert_true (r.whole);
      assert_int_equal (r.body.len, 300);
      free_reply (&r);
    }
}

static void
test_answers_without_body (void **state)
{
  (void)state;
  struct reply r = get (entry.port, "/v1/call/echo/x?code=204&bytes=0");
  assert_int_equal (r.code, 204);
  free_reply (&r);
  r = exchange (entry.port, "HEAD /v1/call/echo/x?bytes=500 HTTP/1.1\r\nHost: e\r\n"
                            "Sassafras-Customer: huron\r\n\r\n");
  assert_int_equal (r.code, 200);
  assert_true (head_has (&r, "Content-Length: 500"));
  free_reply (&r);
}

static void
test_refuses_ambiguous_requests (void **state)
{
  (void)state;
  static const char *const heads[] = {
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 3\r\nContent-Length: 4\r\n",
    "Content-Length: +3\r\n",
    "Content-Length: 3, 3\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Sassafras-Customer: kigali\r\n",
    "Sassafras-Unrepeatable: yes\r\n",
    "Sassafras-Deadline-Ms: -5\r\n",
  };
  long before = statistic (runner.port, "/standin/stats", "executed");
  for (size_t i = 0; i < sizeof heads / sizeof *heads; i++)
    {
      char request[512];
      snprintf (request, sizeof request,
                "POST /v1/call/echo/x HTTP/1.1\r\nHost: e\r\nSassafras-Customer: huron\r\n%s\r\n"
                "0\r\n\r\nGET /v1/call/echo/stolen HTTP/1.1\r\nHost: e\r\n\r\n",
                heads[i]);
      struct reply r = exchange (entry.port, request);
      if (r.code != 400 && r.code != 0)
        fail_msg ("answer %d to a request with: %s", r.code, heads[i]);
      free_reply (&r);
    }
  assert_int_equal (statistic (runner.port, "/standin/stats", "executed"), before);
}

static void
test_unrepeatable_runs_once (void **state)
{
  (void)state;
  const char *marks = "Sassafras-Unrepeatable: 1\r\nIdempotency-Key: k1\r\n";
  struct reply first = post_call ("/v1/call/echo/t?tag=ticket", marks, "one");
  struct reply again = post_call ("/v1/call/echo/t?tag=ticket", marks, "one");
  assert_int_equal (first.code, 200);
  assert_int_equal (again.code, 200);
  assert_true (head_has (&again, "Sassafras-Replayed: 1"));
  assert_true (first.body.data && has (&again, first.body.data));
  free_reply (&again);
  again = post_call ("/v1/call/echo/t?tag=ticket", marks, "two");
  assert_int_equal (again.code, 400);
  assert_int_equal (executions ("k1"), 1);
  free_reply (&first);
  free_reply (&again);
}

static void
test_unrepeatable_is_not_retried (void **state)
{
  (void)state;
  const char *marks = "Sassafras-Unrepeatable: 1\r\nIdempotency-Key: k2\r\n";
  for (int i = 0; i < 2; i++)
    {
      struct reply r = post_call ("/v1/call/echo/t?mode=reset", marks, "one");
      assert_true (r.code >= 500);
      assert_true (has (&r, "\"ran\":\"unknown\""));
      assert_int_equal (executions ("k2"), 1);
      free_reply (&r);
    }
  /* libcurl itself would resend these on a reused connection.  */
  static const char *const requests[]
      = { "POST /v1/call/echo/t?mode=reset HTTP/1.1\r\nHost: e\r\nSassafras-Customer: huron\r\n"
          "Idempotency-Key: k3\r\nContent-Length: 0\r\n\r\n",
          "GET /v1/call/echo/t?mode=reset HTTP/1.1\r\nHost: e\r\nSassafras-Customer: huron\r\n"
          "Idempotency-Key: k3-get\r\nSassafras-Unrepeatable: 1\r\n\r\n" };
  for (int i = 0; i < 2; i++)
    {
      struct reply r = get (entry.port, "/v1/call/echo/x");
      assert_int_equal (r.code, 200);
      free_reply (&r);
      r = exchange (entry.port, requests[i]);
      assert_true (r.code >= 500);
      assert_int_equal (executions (i == 0 ? "k3" : "k3-get"), 1);
      free_reply (&r);
    }
}

/* The caller of an unrepeatable request disconnects: a repeat gets the answer of the first run.  */
static void
test_unrepeatable_completes_after_caller_disconnects (void **state)
{
  (void)state;
  const char *request = "POST /v1/call/echo/t?ms=150&tag=late HTTP/1.1\r\nHost: e\r\n"
                        "Sassafras-Customer: huron\r\nSassafras-Unrepeatable: 1\r\n"
                        "Idempotency-Key: k4\r\nContent-Length: 0\r\n\r\n";
  int fd = dial (entry.port);
  assert_true (send_all (fd, request, strlen (request)));
  assert_true (wait_statistic (runner.port, "/standin/stats", "in_service", 1));
  close (fd);
  struct reply r;
  for (;;)
    {
      r = exchange (entry.port, request);
      if (r.code != 409)
        break;
      assert_true (has (&r, "in-progress"));
      free_reply (&r);
    }
  assert_int_equal (r.code, 200);
  assert_true (has (&r, "late"));
  assert_int_equal (executions ("k4"), 1);
  free_reply (&r);
}

/* The deadline passes, or the caller disconnects, while the intent is being recorded: the request
   must not run afterwards, and its key must be usable again.  */
static void
test_late_intent_is_not_run (void **state)
{
  (void)state;
  const char *marks = "Sassafras-Unrepeatable: 1\r\nIdempotency-Key: slow1\r\n"
                      "Sassafras-Deadline-Ms: 20\r\n";
  const char *request = "POST /v1/call/echo/t HTTP/1.1\r\nHost: e\r\nSassafras-Customer: huron\r\n"
                        "Sassafras-Unrepeatable: 1\r\nIdempotency-Key: slow1\r\n"
                        "Content-Length: 3\r\n\r\none";
  struct reply r = post_call ("/v1/call/echo/t", marks, "one");
  assert_int_equal (r.code, 504);
  assert_true (has (&r, "\"ran\":\"no\""));
  free_reply (&r);
  int fd = dial (entry.port);
  assert_true (send_all (fd, request, strlen (request)));
  close (fd);
  assert_true (wait_statistic (entry.admin_port, "/stats", "open", 0));
  assert_int_equal (executions ("slow1"), 0);
  r = exchange (entry.port, request);
  assert_int_equal (r.code, 200);
  assert_int_equal (executions ("slow1"), 1);
  free_reply (&r);
}

/* The deadline passes while the intent is being recorded and the rest of a long body is
   outstanding: the answer waits for the body and the request must not run.  */
static void
test_late_intent_with_a_long_body (void **state)
{
  (void)state;
  const char *head = "POST /v1/call/echo/t HTTP/1.1\r\nHost: e\r\nSassafras-Customer: huron\r\n"
                     "Sassafras-Unrepeatable: 1\r\nIdempotency-Key: slow2\r\n"
                     "Sassafras-Deadline-Ms: 20\r\nContent-Length: 100000\r\n\r\n";
  static char body[100000];
  struct buffer in = { 0 };
  struct reply r;
  long begun = statistic (entry.admin_port, "/stats", "begun");
  int fd = dial (entry.port);
  memset (body, 'b', sizeof body);
  assert_true (send_all (fd, head, strlen (head)));
  assert_true (send_all (fd, body, 70000));
  assert_true (wait_statistic (entry.admin_port, "/stats", "begun", begun + 1));
  assert_true (send_all (fd, body + 70000, sizeof body - 70000));
  read_reply (fd, &in, &r, false);
  assert_int_equal (r.code, 504);
  assert_true (has (&r, "\"ran\":\"no\""));
  assert_true (wait_statistic (entry.admin_port, "/stats", "open", 0));
  assert_int_equal (executions ("slow2"), 0);
  free_reply (&r);
  buffer_close (&in);
  close (fd);
}

static void
test_not_run_is_reported_only_when_true (void **state)
{
  (void)state;
  struct reply r = post_call ("/v1/call/echo/x?mode=not-run", "", "");
  assert_int_equal (r.code, 503);
  assert_true (has (&r, "\"ran\":\"no\""));
  free_reply (&r);
  r = post_call ("/v1/call/echo/x?mode=hang", "Sassafras-Deadline-Ms: 60\r\n", "");
  assert_int_equal (r.code, 504);
  assert_true (has (&r, "\"ran\":\"unknown\""));
  free_reply (&r);
  r = get (entry.port, "/v1/call/nobody/x");
  assert_true (r.code >= 500);
  assert_true (has (&r, "\"ran\":\"no\""));
  free_reply (&r);
}

/* The late answer of an abandoned try must not go to the next request on the same connection.  */
static void
test_late_answers_are_dropped (void **state)
{
  (void)state;
  struct buffer in = { 0 };
  struct reply r;
  int fd = dial (entry.port);
  for (int i = 0; i < 10; i++)
    {
      char request[512];
      snprintf (request, sizeof request,
                "GET /v1/call/echo/x?ms=%d&tag=number-%d. HTTP/1.1\r\nHost: e\r\n"
                "Sassafras-Customer: huron\r\nSassafras-Deadline-Ms: %d\r\n\r\n",
                i % 2 ? 0 : 60, i, i % 2 ? 5000 : 20);
      assert_true (send_all (fd, request, strlen (request)));
      read_reply (fd, &in, &r, false);
      assert_int_equal (r.code, i % 2 ? 200 : 504);
      snprintf (request, sizeof request, "number-%d.", i);
      assert_int_equal (has (&r, request), i % 2);
      free_reply (&r);
    }
  close (fd);
  buffer_close (&in);
}

/* Callers whose requests are in service or queued disconnect.  */
static void
test_caller_disconnect_frees_the_runner (void **state)
{
  (void)state;
  const char *request = "POST /v1/call/echo/x?mode=hang HTTP/1.1\r\nHost: e\r\n"
                        "Sassafras-Customer: huron\r\nContent-Length: 0\r\n\r\n";
  int fds[PARALLEL];
  for (int i = 0; i < PARALLEL; i++)
    {
      fds[i] = dial (entry.port);
      assert_true (send_all (fds[i], request, strlen (request)));
    }
  assert_true (wait_statistic (runner.port, "/standin/stats", "in_service", 8));
  assert_true (wait_statistic (entry.admin_port, "/stats", "queued", PARALLEL - 8));
  for (int i = PARALLEL - 1; i >= 0; i--)
    close (fds[i]);
  assert_true (wait_statistic (entry.admin_port, "/stats", "open", 0));
  assert_true (wait_statistic (entry.admin_port, "/stats", "queued", 0));
  assert_true (wait_statistic (runner.port, "/standin/stats", "in_service", 0));
}

static long
resident_kb (pid_t pid)
{
  char path[64];
  long pages = 0;
  long ignored;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  FILE *f = fopen (path, "r");
  if (f && fscanf (f, "%ld %ld", &ignored, &pages) != 2)
    pages = 0;
  if (f)
    fclose (f);
  return pages * (sysconf (_SC_PAGESIZE) / 1024);
}

static void
test_slow_caller_memory_is_bounded (void **state)
{
  (void)state;
  const long size = 40000000;
  struct buffer in = { 0 };
  struct reply r;
  char request[256];
  snprintf (request, sizeof request,
            "GET /v1/call/echo/x?bytes=%ld HTTP/1.1\r\nHost: e\r\n"
            "Sassafras-Customer: huron\r\n\r\n",
            size);
  long before = resident_kb (entry.pid);
  int fd = dial (entry.port);
  assert_true (send_all (fd, request, strlen (request)));
  assert_true (receive (fd, &in));
  for (int i = 0; i < 50; i++)
    assert_int_equal (statistic (entry.admin_port, "/stats", "open"), 1);
  assert_true (resident_kb (entry.pid) - before < MEMORY_GROWTH_KB);
  read_reply (fd, &in, &r, false);
  assert_true (r.whole);
  assert_int_equal (r.body.len, size);
  free_reply (&r);
  buffer_close (&in);
  close (fd);
}

static void
test_customer_limits (void **state)
{
  (void)state;
  const char *slow = "GET /v1/call/echo/x?ms=100 HTTP/1.1\r\nHost: e\r\nSassafras-Customer: small"
                     "\r\n\r\n";
  struct buffer in = { 0 };
  struct reply r;
  int fd = dial (entry.port);
  assert_true (send_all (fd, slow, strlen (slow)));
  assert_true (wait_statistic (entry.admin_port, "/stats", "open", 1));
  struct reply refused = exchange (entry.port, slow);
  assert_int_equal (refused.code, 429);
  assert_true (head_has (&refused, "Retry-After: "));
  read_reply (fd, &in, &r, false);
  assert_int_equal (r.code, 200);
  free_reply (&r);
  free_reply (&refused);
  buffer_close (&in);
  close (fd);
  r = exchange (entry.port, "GET /v1/call/echo/x HTTP/1.1\r\nHost: e\r\n"
                            "Sassafras-Customer: stranger\r\n\r\n");
  assert_int_equal (r.code, 403);
  free_reply (&r);
}

/* A refusal keeps the connection: under overload, new ones would cost more than the refusals.  */
static void
test_refusal_keeps_the_connection (void **state)
{
  (void)state;
  struct buffer in = { 0 };
  int fd = dial (entry.port);
  for (int i = 0; i < 6; i++)
    {
      char request[512];
      struct reply r;
      int size = i % 3 * 100;
      snprintf (request, sizeof request,
                "POST /v1/call/echo/x HTTP/1.1\r\nHost: e\r\nSassafras-Customer: %s\r\n"
                "Content-Length: %d\r\n\r\n%0*d",
                i < 4 ? "stranger" : "huron", size, size, 0);
      assert_true (send_all (fd, request, strlen (request) - (size == 0)));
      read_reply (fd, &in, &r, false);
      assert_int_equal (r.code, i < 4 ? 403 : 200);
      assert_true (r.whole);
      free_reply (&r);
    }
  buffer_close (&in);
  close (fd);
}

/* Sends PARALLEL requests at once; returns the number of complete answers with status 200.  */
static int
round_of_requests (int port, const char *method, int ms)
{
  int fds[PARALLEL];
  int good = 0;
  for (int i = 0; i < PARALLEL; i++)
    {
      char request[256];
      snprintf (request, sizeof request,
                "%s /v1/call/echo/x?ms=%d&tag=%d. HTTP/1.1\r\nHost: e\r\n"
                "Sassafras-Customer: huron\r\nContent-Length: 0\r\n\r\n",
                method, ms, i);
      fds[i] = dial (port);
      send_all (fds[i], request, strlen (request));
    }
  for (int i = 0; i < PARALLEL; i++)
    {
      struct buffer in = { 0 };
      struct reply r;
      char tag[16];
      snprintf (tag, sizeof tag, "%d.", i);
      read_reply (fds[i], &in, &r, false);
      good += r.whole && r.code == 200 && r.body.data
              && strncmp (r.body.data, tag, strlen (tag)) == 0;
      free_reply (&r);
      buffer_close (&in);
      close (fds[i]);
    }
  return good;
}

/* Connections to the runner are reused by other requests before libcurl reports the end of the
   last answer: answers must not be swapped or treated as overlong.  */
static void
test_many_requests_share_connections (void **state)
{
  (void)state;
  for (int i = 0; i < 100; i++)
    assert_int_equal (round_of_requests (entry.port, "GET", 0), PARALLEL);
}

static void
test_departure_under_load (void **state)
{
  (void)state;
  struct child second = start_runner (&entry, NULL);
  int status = 0;
  assert_true (wait_statistic (entry.admin_port, "/stats", "live", 2));
  for (int i = 0; i < 20; i++)
    {
      if (i == 5)
        kill (second.pid, SIGTERM);
      assert_int_equal (round_of_requests (entry.port, "POST", 20), PARALLEL);
    }
  assert_int_equal (statistic (entry.admin_port, "/stats", "live"), 1);
  waitpid (second.pid, &status, 0);
  assert_true (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

/* A runner is killed without departing: idempotent requests are answered by the other one.  */
static void
test_dead_runner_is_retried (void **state)
{
  (void)state;
  struct child second = start_runner (&entry, NULL);
  assert_true (wait_statistic (entry.admin_port, "/stats", "live", 2));
  assert_int_equal (round_of_requests (entry.port, "GET", 5), PARALLEL);
  end_child (&second, SIGKILL);
  for (int i = 0; i < 5; i++)
    assert_int_equal (round_of_requests (entry.port, "GET", 5), PARALLEL);
  assert_true (wait_statistic (entry.admin_port, "/stats", "live", 1));
}

static void
test_drain_finishes_what_is_open (void **state)
{
  (void)state;
  struct child other = start_entry ();
  struct child its_runner = start_runner (&other, NULL);
  struct buffer in = { 0 };
  struct reply r;
  char byte;
  int fds[4];
  int status = 0;
  const char *request = "POST /v1/call/echo/x?ms=300&bytes=200000 HTTP/1.1\r\nHost: e\r\n"
                        "Sassafras-Customer: huron\r\nContent-Length: 0\r\n\r\n";
  assert_true (wait_statistic (other.admin_port, "/stats", "live", 1));
  int idle = dial (other.port);
  for (int i = 0; i < 4; i++)
    {
      fds[i] = dial (other.port);
      assert_true (send_all (fds[i], request, strlen (request)));
    }
  assert_true (wait_statistic (its_runner.port, "/standin/stats", "in_service", 4));
  kill (other.pid, SIGTERM);
  assert_int_equal (recv (idle, &byte, 1, 0), 0);
  assert_int_equal (dial (other.port), -1);
  for (int i = 0; i < 4; i++)
    {
      read_reply (fds[i], &in, &r, false);
      assert_int_equal (r.code, 200);
      assert_true (r.whole);
      free_reply (&r);
      buffer_close (&in);
      close (fds[i]);
    }
  close (idle);
  waitpid (other.pid, &status, 0);
  assert_true (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  end_child (&its_runner, SIGKILL);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_forwards_complete_answer),
    cmocka_unit_test (test_streams_uploads_both_ways),
    cmocka_unit_test (test_caller_disconnect_frees_the_runner),
    cmocka_unit_test (test_broken_answers_never_look_complete),
    cmocka_unit_test (test_close_after_answer_is_not_excess_data),
    cmocka_unit_test (test_answers_without_body),
    cmocka_unit_test (test_refuses_ambiguous_requests),
    cmocka_unit_test (test_unrepeatable_runs_once),
    cmocka_unit_test (test_unrepeatable_is_not_retried),
    cmocka_unit_test (test_unrepeatable_completes_after_caller_disconnects),
    cmocka_unit_test (test_late_intent_is_not_run),
    cmocka_unit_test (test_late_intent_with_a_long_body),
    cmocka_unit_test (test_not_run_is_reported_only_when_true),
    cmocka_unit_test (test_late_answers_are_dropped),
    cmocka_unit_test (test_slow_caller_memory_is_bounded),
    cmocka_unit_test (test_customer_limits),
    cmocka_unit_test (test_refusal_keeps_the_connection),
    cmocka_unit_test (test_many_requests_share_connections),
    cmocka_unit_test (test_departure_under_load),
    cmocka_unit_test (test_dead_runner_is_retried),
    cmocka_unit_test (test_drain_finishes_what_is_open),
  };
  return cmocka_run_group_tests (tests, open_both, close_both);
}
