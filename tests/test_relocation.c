/* Guards against paced tasks that are stopped without need: their work is lost, or they move again
   and again.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relocation.h"

static struct relocation_facts
paced_task (void)
{
  return (struct relocation_facts){ .now_ms = 10000,
                                    .running_ms = 2000,
                                    .worker_move_ms = 0,
                                    .percent = RELOCATION_MAX_PERCENT,
                                    .run_number = 1,
                                    .checkpointing = true };
}

static void
test_a_task_that_resumes_from_its_checkpoint_is_moved (void **state)
{
  (void)state;
  const struct relocation_facts f = paced_task ();
  assert_true (relocation_is_due (&f));
}

static void
test_a_task_that_makes_progress_stays (void **state)
{
  (void)state;
  struct relocation_facts f = paced_task ();
  f.percent = RELOCATION_MAX_PERCENT + 1;
  assert_false (relocation_is_due (&f));
}

static void
test_a_task_without_checkpoints_is_moved_only_at_its_start (void **state)
{
  (void)state;
  struct relocation_facts f = paced_task ();
  f.checkpointing = false;
  assert_false (relocation_is_due (&f));
  f.running_ms = f.now_ms - RELOCATION_MAX_LOST_MS;
  assert_true (relocation_is_due (&f));
}

static void
test_a_task_does_not_move_again_and_again (void **state)
{
  (void)state;
  struct relocation_facts f = paced_task ();
  f.run_number = RELOCATION_MAX_RUN_NUMBER + 1;
  assert_false (relocation_is_due (&f));
}

static void
test_a_worker_gives_up_one_task_at_a_time (void **state)
{
  (void)state;
  struct relocation_facts f = paced_task ();
  f.worker_move_ms = f.now_ms - RELOCATION_INTERVAL_MS + 1;
  assert_false (relocation_is_due (&f));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_a_task_that_resumes_from_its_checkpoint_is_moved),
          cmocka_unit_test (test_a_task_that_makes_progress_stays),
          cmocka_unit_test (test_a_task_without_checkpoints_is_moved_only_at_its_start),
          cmocka_unit_test (test_a_task_does_not_move_again_and_again),
          cmocka_unit_test (test_a_worker_gives_up_one_task_at_a_time) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
