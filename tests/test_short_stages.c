/* Guards against figures of short tasks that hide a slow second behind the seconds before it.  */
#include "short_stages.h"
#include "workflow_fixture.h"

static void
test_a_period_has_its_own_percentiles (void **state)
{
  static struct short_stages s;
  (void)state;
  for (int i = 0; i < 1000; i++)
    short_stages_add (SHORT_STAGE_COMMIT, 7);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_COMMIT, 0.95) == 8);
  short_stages_log (&s);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_COMMIT, 0.95) == 0);
  for (int i = 0; i < 10; i++)
    short_stages_add (SHORT_STAGE_COMMIT, i < 5 ? 1 : 900);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_COMMIT, 0.5) == 1);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_COMMIT, 0.95) == 1024);
}

/* Guards against a stage that is not counted, or counted in another one.  */
static void
test_each_stage_of_a_short_task_is_counted (void **state)
{
  struct fixture *f = *state;
  static struct short_stages s;
  fixture_join (f, "w", "10.0.0.1:1");
  assert_true (fixture_submit (f, 1, 1, 1, 0));
  short_stages_log (&s);
  fixture_tick (f, 1); /* placed and committed within the tick */
  assert_int_equal (f->start_count, 1);
  f->now_ms += 30;
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 400);
  f->now_ms += 100;
  struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w", NULL, 0, &end, 1);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_WAIT, 0.5) == 0.25);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_PLACE, 0.5) == 0.25);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_START, 0.5) == 32);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_RUN, 0.5) == 512);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_COMMIT, 0.5) == 0.25);
  assert_true (short_stages_quantile (&s, SHORT_STAGE_JOB, 0.5) == 1024);
}

/* Guards against fill-in tasks, which may wait for seconds, in the figures of short ones.  */
static void
test_fill_in_tasks_are_not_counted (void **state)
{
  struct fixture *f = *state;
  static struct short_stages s;
  fixture_join (f, "w", "10.0.0.1:1");
  assert_true (fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_FILL));
  short_stages_log (&s);
  fixture_tick (f, 1);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 400);
  struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w", NULL, 0, &end, 1);
  for (int i = 0; i < SHORT_STAGES; i++)
    assert_true (short_stages_quantile (&s, (enum short_stage)i, 0.5) == 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_period_has_its_own_percentiles),
    cmocka_unit_test_setup_teardown (test_each_stage_of_a_short_task_is_counted, fixture_open,
                                     fixture_close),
    cmocka_unit_test_setup_teardown (test_fill_in_tasks_are_not_counted, fixture_open,
                                     fixture_close),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
