/* HTTP calls to workers.  Guards against leaks of calls that are pending when a process ends
   (soak, seeds 317 and 345; found by the leak check of the sanitized run), and against an outcome
   without the caller's tag.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "http_server.h"
#include "worker_calls.h"

struct fixture
{
  struct ev_loop *loop;
  struct http_server *worker;
  struct worker_calls *calls;
  char address[32];
  bool answers;
  unsigned outcomes;
  struct worker_outcome outcome;
};

static void
handle (void *arg, struct http_request *req)
{
  const struct fixture *f = arg;
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
  f->calls = worker_calls_open (f->loop, clock_real ());
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

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_outcome_identifies_its_order),
                                      cmocka_unit_test (test_pending_calls_are_freed_on_close) };
  curl_global_init (CURL_GLOBAL_DEFAULT);
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  curl_global_cleanup ();
  return failed;
}
