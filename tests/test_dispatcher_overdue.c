/* Guards against tasks that wait for the time-out of an order without an answer, tasks that run
   twice since an overdue order was taken for a lost one, and copies of tasks that don't allow them.
 */
#include "workflow_fixture.h"

/* Passes MS with the answers to holds of WORKER, which lists nothing.  */
static void
pass_silently (struct fixture *f, int64_t ms, const char *worker)
{
  for (int64_t until_ms = f->now_ms + ms; f->now_ms < until_ms;)
    {
      fixture_tick (f, 20);
      if (worker)
        fixture_answer_hold (f, worker, NULL, 0, NULL, 0);
    }
}

static void
start_one (struct fixture *f, uint32_t flags)
{
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, flags);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

static void
test_an_overdue_start_is_stopped_before_its_call_times_out (void **state)
{
  struct fixture *f = *state;
  start_one (f, 0);
  fixture_join (f, "w2", "10.0.0.2:1");
  pass_silently (f, 300, "w1");
  assert_int_equal (f->stop_count, 0);
  pass_silently (f, 200, "w1");
  assert_int_equal (f->stop_count, 1);
  assert_int_equal (f->start_count, 1);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[0].task, f->stops[0].run,
                          WORKER_CALL_OK);
  pass_silently (f, 40, "w1");
  assert_int_equal (f->start_count, 2);
}

/* No second run before the stop is acknowledged and a later hold doesn't list the first.  */
static void
test_an_overdue_start_without_an_answer_to_its_stop_stays_uncertain (void **state)
{
  struct fixture *f = *state;
  start_one (f, 0);
  fixture_join (f, "w2", "10.0.0.2:1");
  for (int i = 0; i < 100; i++)
    {
      pass_silently (f, 20, "w1");
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_true (f->stop_count >= 1);
  assert_int_equal (f->start_count, 1);
}

static void
test_an_overdue_start_that_is_listed_runs_on (void **state)
{
  struct fixture *f = *state;
  start_one (f, 0);
  for (int i = 0; i < 30; i++)
    fixture_tick (f, 20);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 0);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_UNKNOWN);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
  assert_int_equal (f->start_count, 1);
}

/* An answer that overtakes the stop is as good as an early one.  */
static void
test_a_late_answer_counts_until_a_stop_is_sent (void **state)
{
  struct fixture *f = *state;
  start_one (f, 0);
  for (int i = 0; i < 25; i++)
    fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0); /* sent before the answer: proves nothing */
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 0);
  assert_int_equal (f->start_count, 1);
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_submit (f, 2, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  for (int i = 0; i < 25; i++)
    fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_NO_ROOM);
  pass_silently (f, 600, "w2");
  assert_true (f->start_count >= 3);
}

static void
test_a_late_answer_after_the_stop_settles_nothing (void **state)
{
  struct fixture *f = *state;
  start_one (f, 0);
  pass_silently (f, 500, "w1");
  assert_int_equal (f->stop_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  pass_silently (f, 100, "w1");
  assert_int_equal (f->start_count, 1);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[0].task, f->stops[0].run,
                          WORKER_CALL_OK);
  pass_silently (f, 40, "w1");
  assert_int_equal (f->start_count, 2);
  assert_int_equal (f->starts[1].run, 2);
}

static void
test_a_step_that_allows_copies_gets_one_for_an_uncertain_run (void **state)
{
  struct fixture *f = *state;
  start_one (f, WORKFLOW_STEP_SPECULATIVE);
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_join (f, "w3", "10.0.0.3:1");
  for (int i = 0; i < 30; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_string_not_equal (f->starts[1].worker, "w1");
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_OK);
  for (int i = 0; i < 10; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2); /* no third one */
  const struct reported_end end = fixture_ended (&f->starts[1], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, f->starts[1].worker, NULL, 0, &end, 1);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 1); /* of the first */
  assert_string_equal (f->stops[0].worker, "w1");
}

static void
test_a_step_that_allows_copies_gets_one_when_its_worker_is_silent (void **state)
{
  struct fixture *f = *state;
  start_one (f, WORKFLOW_STEP_SPECULATIVE);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_tick (f, 20);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  for (int i = 0; i < 40; i++)
    fixture_tick (f, 20);
  fixture_join (f, "w2", "10.0.0.2:1");
  assert_int_equal (f->start_count, 1);
  for (int i = 0; i < 15; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "w2");
}

/* Two runs at the same time are what such a task must never have.  */
static void
test_other_steps_get_no_copy (void **state)
{
  struct fixture *f = *state;
  static const uint32_t flags[]
      = { 0, WORKFLOW_STEP_LASTING, WORKFLOW_STEP_LASTING | WORKFLOW_STEP_SPECULATIVE,
          WORKFLOW_STEP_CHECKPOINTING };
  fixture_join (f, "w1", "10.0.0.1:1");
  for (size_t i = 0; i < sizeof flags / sizeof *flags; i++)
    fixture_submit (f, i + 1, 1, 1, flags[i]);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
  for (size_t i = 0; i < 4; i++)
    fixture_answer_start (f, &f->starts[i], i % 2 ? WORKER_CALL_OK : WORKER_CALL_UNKNOWN);
  fixture_join (f, "w2", "10.0.0.2:1");
  for (int i = 0; i < 100; i++)
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 4);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_an_overdue_start_is_stopped_before_its_call_times_out),
          TEST (test_an_overdue_start_without_an_answer_to_its_stop_stays_uncertain),
          TEST (test_an_overdue_start_that_is_listed_runs_on),
          TEST (test_a_late_answer_counts_until_a_stop_is_sent),
          TEST (test_a_late_answer_after_the_stop_settles_nothing),
          TEST (test_a_step_that_allows_copies_gets_one_for_an_uncertain_run),
          TEST (test_a_step_that_allows_copies_gets_one_when_its_worker_is_silent),
          TEST (test_other_steps_get_no_copy) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
