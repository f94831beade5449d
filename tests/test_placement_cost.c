/* Guards against a leader that scores every worker for every waiting task: with 1,100 workers half
   of its processor time went there, and short tasks were late by the ticks that took too long.  */
#include "counters.h"
#include "workflow_fixture.h"

#define WORKERS 200
#define TASKS 60

static unsigned long
scored (void)
{
  static const char name[] = "\nsassafras_placement_workers_scored_total ";
  struct buffer out;
  buffer_init (&out);
  counters_write (&out);
  buffer_append (&out, "", 1);
  const char *at = strstr (out.data, name);
  unsigned long value = at ? strtoul (at + sizeof name - 1, NULL, 10) : 0;
  buffer_close (&out);
  return value;
}

static void
join_workers (struct fixture *f)
{
  for (int i = 0; i < WORKERS; i++)
    {
      char id[16];
      char address[32];
      snprintf (id, sizeof id, "w%d", i);
      snprintf (address, sizeof address, "10.0.0.%d:1", i);
      fixture_join (f, id, address);
    }
}

static void
assert_one_scoring_per_step (struct fixture *f, uint32_t flags)
{
  join_workers (f);
  assert_true (fixture_submit (f, 1, 1, TASKS, flags));
  unsigned long before = scored ();
  fixture_tick (f, 1);
  assert_int_equal (f->start_count, TASKS);
  assert_in_range (scored () - before, WORKERS, WORKERS + TASKS);
}

static void
test_short_tasks_of_a_step_share_the_scores (void **state)
{
  assert_one_scoring_per_step (*state, 0);
}

static void
test_fill_in_tasks_of_a_step_share_the_scores (void **state)
{
  assert_one_scoring_per_step (*state, WORKFLOW_STEP_FILL);
}

/* Guards against scores of before a placement: all tasks of a step on one full worker.  */
static void
test_a_placement_changes_the_score_of_its_worker (void **state)
{
  struct fixture *f = *state;
  unsigned starts[WORKERS] = { 0 };
  join_workers (f);
  assert_true (fixture_submit (f, 1, 1, TASKS, 0));
  fixture_tick (f, 1);
  assert_int_equal (f->start_count, TASKS);
  for (size_t i = 0; i < f->start_count; i++)
    assert_in_range (++starts[strtol (f->starts[i].worker + 1, NULL, 10)], 1, 16);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_short_tasks_of_a_step_share_the_scores, fixture_open,
                                     fixture_close),
    cmocka_unit_test_setup_teardown (test_fill_in_tasks_of_a_step_share_the_scores, fixture_open,
                                     fixture_close),
    cmocka_unit_test_setup_teardown (test_a_placement_changes_the_score_of_its_worker, fixture_open,
                                     fixture_close),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
