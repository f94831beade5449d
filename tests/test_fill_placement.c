/* Guards against workers that are closed to all fill-in tasks while one image there is paced: with
   hundreds of workers nearly half of them were closed at any time.  A worker with one lasting task
   answers holds with a tail that depends on the fill-in images that run beside it.  */
#include "relocation.h"
#include "workflow_fixture.h"

#define TARGET_MS 20
#define TAIL_ALONE_MS 6
#define TAIL_BESIDE_HEAVY_MS 24      /* at full pace; half of it is harmless */
#define TAIL_BESIDE_VERY_HEAVY_MS 60 /* a quarter of it is just under the target */
#define SAMPLE_MS 500
#define LASTING_JOB 1
#define HEAVY_JOB 2
#define LIGHT_JOB 3 /* and up */

static void
submit_image (struct fixture *f, uint64_t id, const char *image, uint32_t flags, uint32_t target_ms)
{
  workflow_step step = { .count = 1,
                         .millicores = 2000,
                         .memory_mb = 100,
                         .estimate_ms = 2000,
                         .flags = flags,
                         .target_ms = target_ms,
                         .required_label = "",
                         .data_rack = "",
                         .image = (char *)image };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = id;
  spec->queue = "queue";
  spec->payload = "payload";
  spec->steps.steps_val = &step;
  spec->steps.steps_len = 1;
  assert_true (fixture_change (f, &c));
}

static const struct sent_start *
find_start (const struct fixture *f, uint64_t job)
{
  for (size_t i = 0; i < f->start_count; i++)
    if (f->starts[i].task.job == job)
      return &f->starts[i];
  return NULL;
}

/* Share of its work that the task of the heavy job may do, as last ordered.  */
static uint32_t
heavy_pace (const struct fixture *f)
{
  uint32_t percent = 100;
  for (size_t i = 0; i < f->pace_count; i++)
    if (f->paces[i].task.job == HEAVY_JOB)
      percent = f->paces[i].percent;
  return percent;
}

/* Half a second of a worker whose heavy task, if it runs, slows the lasting one by its pace.  */
static void
sample (struct fixture *f)
{
  struct reported_run running[8];
  size_t count = 0;
  uint32_t tail_ms = TAIL_ALONE_MS;
  if (find_start (f, HEAVY_JOB))
    tail_ms += (f->heavy_tail_ms - TAIL_ALONE_MS) * heavy_pace (f) / 100;
  for (size_t i = 0; i < f->start_count; i++)
    {
      running[count] = fixture_running (&f->starts[i]);
      running[count++].measure = f->starts[i].task.job == LASTING_JOB ? tail_ms : 2000;
    }
  size_t paced = f->pace_count;
  fixture_answer_hold (f, "w1", running, count, NULL, 0);
  if (dispatcher_worker_count (f->dispatcher) > 1)
    fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
  fixture_tick (f, SAMPLE_MS);
  for (; paced < f->pace_count; paced++)
    dispatcher_pace_answer (f->dispatcher, f->now_ms, "w1", &f->paces[paced].task,
                            f->paces[paced].run, f->paces[paced].percent, WORKER_CALL_OK);
}

static void
start_job (struct fixture *f, uint64_t job)
{
  fixture_tick (f, 20);
  assert_non_null (find_start (f, job));
  fixture_answer_start (f, find_start (f, job), WORKER_CALL_OK);
}

/* A worker on which the heavy task is paced and the tail is low.  */
static void
pace_heavy (struct fixture *f)
{
  if (f->heavy_tail_ms == 0)
    f->heavy_tail_ms = TAIL_BESIDE_HEAVY_MS;
  fixture_join (f, "w1", "10.0.0.1:1");
  submit_image (f, LASTING_JOB, "serve", WORKFLOW_STEP_LASTING, TARGET_MS);
  start_job (f, LASTING_JOB);
  submit_image (f, LIGHT_JOB, "light", WORKFLOW_STEP_FILL, 0);
  start_job (f, LIGHT_JOB);
  for (int i = 0; i < 400; i++)
    sample (f);
  submit_image (f, HEAVY_JOB, "heavy", WORKFLOW_STEP_FILL | WORKFLOW_STEP_CHECKPOINTING, 0);
  start_job (f, HEAVY_JOB);
  for (int i = 0; i < 20 && heavy_pace (f) == 100; i++)
    sample (f);
  assert_true (heavy_pace (f) < 100);
  sample (f);
  assert_true (heavy_pace (f) < 100);
}

static void
test_a_paced_worker_takes_an_image_that_does_not_slow_its_tasks (void **state)
{
  struct fixture *f = *state;
  pace_heavy (f);
  submit_image (f, LIGHT_JOB + 1, "light", WORKFLOW_STEP_FILL, 0);
  fixture_tick (f, 20);
  assert_non_null (find_start (f, LIGHT_JOB + 1));
}

static void
test_a_paced_worker_takes_no_more_of_the_image_that_is_paced (void **state)
{
  struct fixture *f = *state;
  pace_heavy (f);
  submit_image (f, LIGHT_JOB + 1, "heavy", WORKFLOW_STEP_FILL, 0);
  fixture_tick (f, 20);
  assert_null (find_start (f, LIGHT_JOB + 1));
}

/* Two workers: the heavy task is paced to a quarter on w1, and w2 serves nothing.  */
static void
pace_heavy_low (struct fixture *f, bool with_other)
{
  f->heavy_tail_ms = TAIL_BESIDE_VERY_HEAVY_MS;
  pace_heavy (f);
  if (with_other)
    fixture_join (f, "w2", "10.0.0.2:1");
  for (int i = 0; i < 10 && heavy_pace (f) > RELOCATION_MAX_PERCENT; i++)
    sample (f);
  assert_true (heavy_pace (f) <= RELOCATION_MAX_PERCENT);
  for (int i = 0; i < 3; i++)
    sample (f);
}

/* A step ends with its slowest task: one task that stays paced beside a lasting task that it slows
   makes the whole job late, while other workers have capacity.  */
static void
test_a_task_paced_to_a_quarter_moves_to_a_worker_that_it_does_not_slow (void **state)
{
  struct fixture *f = *state;
  pace_heavy_low (f, true);
  assert_int_equal (f->stop_count, 1);
  assert_int_equal (f->stops[0].task.job, HEAVY_JOB);
  const struct sent_start *s = find_start (f, HEAVY_JOB);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &s->task, s->run, WORKER_CALL_OK);
  const struct reported_run lasting = fixture_running (find_start (f, LASTING_JOB));
  const struct reported_run light = fixture_running (find_start (f, LIGHT_JOB));
  const struct reported_run running[] = { lasting, light };
  const struct reported_end end = fixture_ended (s, 1, WORKFLOW_STOPPED);
  size_t starts = f->start_count;
  fixture_tick (f, 20);
  fixture_answer_hold (f, "w1", running, 2, &end, 1);
  fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, starts + 1);
  assert_int_equal (f->starts[starts].task.job, HEAVY_JOB);
  assert_string_equal (f->starts[starts].worker, "w2");
}

static void
test_a_paced_task_stays_where_no_other_worker_has_capacity (void **state)
{
  struct fixture *f = *state;
  pace_heavy_low (f, false);
  assert_int_equal (f->stop_count, 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_a_paced_worker_takes_an_image_that_does_not_slow_its_tasks),
          TEST (test_a_paced_worker_takes_no_more_of_the_image_that_is_paced),
          TEST (test_a_task_paced_to_a_quarter_moves_to_a_worker_that_it_does_not_slow),
          TEST (test_a_paced_task_stays_where_no_other_worker_has_capacity) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
