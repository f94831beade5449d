/* Guards against jobs that are lost, reopened, executed twice or started out of order in the
   replicated state, and against snapshots that differ from the state built from the log.  */
#include "workflow_fixture.h"

static workflow_task_ref
ref (uint64_t job, uint32_t step, uint32_t index)
{
  return (workflow_task_ref){ .job = job, .step = step, .index = index };
}

static bool
place (struct fixture *f, uint64_t job, uint32_t step, uint32_t index, uint32_t run)
{
  workflow_command c = { .kind = WORKFLOW_PLACE };
  c.workflow_command_u.place
      = (workflow_place){ .task = ref (job, step, index), .run = run, .worker = "w1" };
  return fixture_change (f, &c);
}

static bool
end (struct fixture *f, uint64_t job, uint32_t step, uint32_t index, uint32_t run,
     enum workflow_outcome outcome, const char *checkpoint)
{
  workflow_command c = { .kind = WORKFLOW_END };
  c.workflow_command_u.end = (workflow_end){
    .task = ref (job, step, index), .run = run, .outcome = outcome, .checkpoint = (char *)checkpoint
  };
  return fixture_change (f, &c);
}

static void
test_step_waits_for_its_dependency (void **state)
{
  struct fixture *f = *state;
  fixture_submit (f, 1, 2, 2, 0);
  assert_false (place (f, 1, 1, 0, 1));
  assert_true (place (f, 1, 0, 0, 1));
  assert_true (place (f, 1, 0, 1, 1));
  assert_true (end (f, 1, 0, 0, 1, WORKFLOW_DONE, ""));
  assert_false (place (f, 1, 1, 0, 1));
  assert_true (end (f, 1, 0, 1, 1, WORKFLOW_DONE, ""));
  assert_true (place (f, 1, 1, 0, 1));
}

static void
test_task_is_executed_once (void **state)
{
  struct fixture *f = *state;
  fixture_submit (f, 1, 1, 1, 0);
  assert_true (place (f, 1, 0, 0, 1));
  assert_false (place (f, 1, 0, 0, 2));
  assert_false (place (f, 1, 0, 0, 1));
  assert_true (end (f, 1, 0, 0, 1, WORKFLOW_LAPSED, "c1"));
  assert_false (end (f, 1, 0, 0, 1, WORKFLOW_FAILED, ""));
  assert_false (end (f, 1, 0, 0, 2, WORKFLOW_DONE, ""));
  assert_false (place (f, 1, 0, 0, 1));
  assert_true (place (f, 1, 0, 0, 2));
  assert_string_equal (workflow_find_job (&f->workflow, 1)->stages[0].tasks[0].checkpoint, "c1");
  assert_true (end (f, 1, 0, 0, 2, WORKFLOW_DONE, ""));
  assert_false (place (f, 1, 0, 0, 3));
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
}

/* Guards against work that nobody wants any more: a submission is executed after its sender, which
   had no answer, cancelled the job and was told that there is none.  */
static void
test_submission_after_its_cancel_is_refused (void **state)
{
  struct fixture *f = *state;
  struct buffer image;
  struct workflow other;
  struct status st;
  assert_false (fixture_cancel (f, 5));
  assert_false (fixture_cancel (f, 5));
  assert_false (fixture_submit (f, 5, 1, 1, 0));
  assert_null (workflow_find_job (&f->workflow, 5));
  assert_true (fixture_submit (f, 6, 1, 1, 0));
  buffer_init (&image);
  workflow_init (&other);
  f->workflow.machine.ops->save (&f->workflow.machine, &image);
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  assert_true (withdrawn_ids_has (&other.withdrawn, 5));
  assert_false (withdrawn_ids_has (&other.withdrawn, 6));
  workflow_close (&other);
  buffer_close (&image);
}

/* Cancels of unknown ids must not fill the memory, nor a snapshot beyond its limit.  */
static void
test_withdrawn_ids_are_bounded (void **state)
{
  struct fixture *f = *state;
  for (uint64_t id = 1; id <= WORKFLOW_MAX_WITHDRAWN + 3; id++)
    fixture_cancel (f, id);
  assert_int_equal (f->workflow.withdrawn.map.count, WORKFLOW_MAX_WITHDRAWN);
  assert_true (fixture_submit (f, 3, 1, 1, 0));
  assert_false (fixture_submit (f, 4, 1, 1, 0));
  assert_false (fixture_submit (f, WORKFLOW_MAX_WITHDRAWN + 3, 1, 1, 0));
}

/* Guards against an operator who is told that a zone is out while work starts there: a zone beyond
   the limit was acknowledged and forgotten.  */
static void
test_zones_out_beyond_the_limit_are_refused (void **state)
{
  struct fixture *f = *state;
  char name[16];
  workflow_command c = { .kind = WORKFLOW_ZONE };
  c.workflow_command_u.zone = (workflow_zone_change){ .zone = name, .out = true };
  for (int i = 0; i < WORKFLOW_MAX_ZONES; i++)
    {
      snprintf (name, sizeof name, "z%d", i);
      assert_true (fixture_change (f, &c));
    }
  assert_true (fixture_change (f, &c)); /* it is out */
  snprintf (name, sizeof name, "one more");
  assert_false (fixture_change (f, &c));
  assert_false (workflow_zone_is_out (&f->workflow, name));
  c.workflow_command_u.zone.out = false;
  assert_true (fixture_change (f, &c));
  snprintf (name, sizeof name, "z%d", 5);
  assert_true (fixture_change (f, &c));
  snprintf (name, sizeof name, "one more");
  c.workflow_command_u.zone.out = true;
  assert_true (fixture_change (f, &c));
  assert_true (workflow_zone_is_out (&f->workflow, name));
}

/* A run marked as lapsed turns out to be DONE: its task must not run again.  */
static void
test_late_end_completes_the_task (void **state)
{
  struct fixture *f = *state;
  fixture_submit (f, 1, 1, 2, 0);
  assert_true (place (f, 1, 0, 0, 1));
  assert_true (end (f, 1, 0, 0, 1, WORKFLOW_LAPSED, ""));
  assert_true (place (f, 1, 0, 0, 2));
  assert_true (end (f, 1, 0, 0, 1, WORKFLOW_DONE, ""));
  assert_true (end (f, 1, 0, 0, 2, WORKFLOW_STOPPED, ""));
  assert_false (place (f, 1, 0, 0, 3));
  assert_int_equal (workflow_find_job (&f->workflow, 1)->stages[0].done, 1);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->runs, 0);
}

/* A repeated submission that arrives after the cancel must not reopen the job.  */
static void
test_cancelled_job_is_not_reopened (void **state)
{
  struct fixture *f = *state;
  fixture_submit (f, 1, 1, 1, 0);
  assert_true (fixture_cancel (f, 1));
  assert_true (fixture_submit (f, 1, 1, 1, 0));
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_CANCELLED);
  assert_false (place (f, 1, 0, 0, 1));
  assert_false (fixture_cancel (f, 2));
}

static void
test_lasting_task_restarts_after_any_outcome (void **state)
{
  struct fixture *f = *state;
  static const enum workflow_outcome outcomes[]
      = { WORKFLOW_DONE, WORKFLOW_FAILED, WORKFLOW_FAILED, WORKFLOW_FAILED, WORKFLOW_STOPPED };
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  for (uint32_t i = 0; i < 5; i++)
    {
      assert_true (place (f, 1, 0, 0, i + 1));
      assert_true (end (f, 1, 0, 0, i + 1, outcomes[i], ""));
    }
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_OPEN);
}

static void
test_older_configuration_is_refused (void **state)
{
  struct fixture *f = *state;
  fixture_configure (f, 5, 7);
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  c.workflow_command_u.configuration.revision = 5;
  assert_false (fixture_change (f, &c));
  c.workflow_command_u.configuration.revision = 4;
  assert_false (fixture_change (f, &c));
  assert_int_equal (workflow_find_queue (&f->workflow, "queue")->max_attempts, 7);
}

static void
remove_queues (struct fixture *f, uint64_t version)
{
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  c.workflow_command_u.configuration.revision = version;
  assert_true (fixture_change (f, &c));
}

/* Guards against a job that fails for good at its first failed run while a configuration is without
   its queue, although every configuration that has the queue allows more attempts.  */
static void
test_a_queue_that_is_away_fails_no_job (void **state)
{
  struct fixture *f = *state;
  fixture_configure (f, 2, 4);
  fixture_submit (f, 1, 1, 1, 0);
  struct workflow_job *j = workflow_find_job (&f->workflow, 1);
  for (uint32_t run = 1; run <= 3; run++)
    {
      assert_true (place (f, 1, 0, 0, run));
      remove_queues (f, 2 * run + 1);
      assert_true (end (f, 1, 0, 0, run, WORKFLOW_FAILED, ""));
      assert_int_equal (j->state, WORKFLOW_JOB_OPEN);
      fixture_configure (f, 2 * run + 2, 4);
      assert_int_equal (j->state, WORKFLOW_JOB_OPEN);
    }
  assert_true (place (f, 1, 0, 0, 4));
  assert_true (end (f, 1, 0, 0, 4, WORKFLOW_FAILED, ""));
  assert_int_equal (j->state, WORKFLOW_JOB_FAILED);
}

/* Guards against a run beyond max_attempts: failures counted while the queue was away, or before
   the limit was lowered, count when the limit is in force.  */
static void
test_no_attempt_beyond_the_limit_in_force (void **state)
{
  struct fixture *f = *state;
  fixture_configure (f, 2, 4);
  for (uint64_t id = 1; id <= 3; id++)
    fixture_submit (f, id, 1, 2, 0);
  for (uint64_t id = 1; id <= 3; id++)
    for (uint32_t run = 1; run <= 2; run++)
      {
        assert_true (place (f, id, 0, 0, run));
        assert_true (end (f, id, 0, 0, run, WORKFLOW_FAILED, ""));
      }
  assert_true (place (f, 2, 0, 0, 3));
  remove_queues (f, 3);
  assert_true (place (f, 3, 0, 0, 3));
  assert_true (end (f, 3, 0, 0, 3, WORKFLOW_LAPSED, ""));
  fixture_configure (f, 4, 2);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_FAILED);
  assert_int_equal (workflow_find_job (&f->workflow, 2)->state, WORKFLOW_JOB_OPEN);
  assert_int_equal (workflow_find_job (&f->workflow, 3)->state, WORKFLOW_JOB_FAILED);
  assert_true (end (f, 2, 0, 0, 3, WORKFLOW_LAPSED, ""));
  assert_int_equal (workflow_find_job (&f->workflow, 2)->state, WORKFLOW_JOB_FAILED);
  assert_false (place (f, 2, 0, 0, 4));
  assert_true (TAILQ_EMPTY (&f->workflow.ready));
}

/* A job of STEPS steps with COUNT tasks each, REPETITIONS times.  */
static workflow_command
sized_job (workflow_step *list, uint32_t steps, uint32_t count, uint32_t repetitions)
{
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  for (uint32_t i = 0; i < steps; i++)
    list[i] = (workflow_step){
      .count = count, .estimate_ms = UINT32_MAX, .required_label = "", .data_rack = "", .image = ""
    };
  *spec = (workflow_spec){ .id = 1,
                           .queue = "queue",
                           .payload = "",
                           .repetitions = repetitions,
                           .first_start_ms = 1000,
                           .period_ms = 1000 };
  spec->steps.steps_val = list;
  spec->steps.steps_len = steps;
  return c;
}

/* Guards against a job whose number of tasks overflows: every VM that applied it ended, and ended
   again after each restart, since the log contains the job.  */
static void
test_a_job_whose_task_count_overflows_is_refused (void **state)
{
  static const struct
  {
    uint32_t steps, count, repetitions;
  } sizes[] = { { 4, 1U << 31, 1U << 31 },
                { 2, 1U << 31, 1 },
                { 1, UINT32_MAX, UINT32_MAX },
                { 4, 1U << 30, 0 },
                { WORKFLOW_MAX_STEPS, WORKFLOW_MAX_TASKS, UINT32_MAX },
                { 4, 1, 1U << 30 },
                { 1, 1, WORKFLOW_MAX_TASKS + 1 },
                { 1, WORKFLOW_MAX_TASKS + 1, 0 },
                { 2, WORKFLOW_MAX_TASKS / 2, 2 } };
  struct fixture *f = *state;
  workflow_step list[WORKFLOW_MAX_STEPS];
  struct status st;
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      const workflow_command c
          = sized_job (list, sizes[i].steps, sizes[i].count, sizes[i].repetitions);
      assert_int_equal (workflow_check_spec (&c.workflow_command_u.spec, &st), -1);
      assert_non_null (strstr (st.message, "tasks, limit"));
      assert_false (fixture_change (f, &c));
      assert_null (workflow_find_job (&f->workflow, 1));
    }
  const workflow_command largest = sized_job (list, 2, WORKFLOW_MAX_TASKS / 4, 2);
  assert_int_equal (workflow_check_spec (&largest.workflow_command_u.spec, &st), 0);
  assert_true (fixture_change (f, &largest));
}

/* Guards against an account of the jobs' memory that drifts: it would refuse all jobs, or none.  */
static void
test_the_memory_of_jobs_is_released_with_them (void **state)
{
  struct fixture *f = *state;
  struct buffer image;
  struct workflow other;
  struct status st;
  workflow_step list[4];
  workflow_command c = sized_job (list, 4, 100, 5);
  for (uint64_t id = 1; id <= 3; id++)
    {
      c.workflow_command_u.spec.id = id;
      assert_true (fixture_change (f, &c));
    }
  uint64_t each = workflow_job_bytes (&c.workflow_command_u.spec);
  assert_true (each > (uint64_t)4 * 100 * 5 * sizeof (struct workflow_task));
  assert_true (f->workflow.job_bytes == 3 * each);
  assert_true (fixture_change (f, &c)); /* known */
  assert_true (f->workflow.job_bytes == 3 * each);
  buffer_init (&image);
  f->workflow.machine.ops->save (&f->workflow.machine, &image);
  workflow_init (&other);
  for (int i = 0; i < 2; i++) /* the second replaces the first */
    assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  assert_true (other.job_bytes == 3 * each);
  workflow_close (&other);
  buffer_close (&image);
  uint64_t ids[] = { 1, 2, 3 };
  workflow_command p = { .kind = WORKFLOW_PRUNE };
  p.workflow_command_u.prune.prune_val = ids;
  p.workflow_command_u.prune.prune_len = 3;
  for (int i = 0; i < 3; i++)
    fixture_cancel (f, ids[i]);
  assert_true (fixture_change (f, &p));
  assert_true (f->workflow.job_bytes == 0);
}

/* Guards against start times that overflow.  A request is refused; a job that an earlier build
   accepted keeps its place in the log and in snapshots, and the occurrence never starts.  */
static void
test_start_times_beyond_their_range_do_not_overflow (void **state)
{
  static const struct
  {
    int64_t first_start_ms, period_ms;
  } times[] = { { 1000, INT64_MAX }, { INT64_MAX, 1 }, { INT64_MAX / 2, INT64_MAX / 2 } };
  struct fixture *f = *state;
  workflow_step step;
  struct status st;
  for (uint64_t i = 0; i < sizeof times / sizeof *times; i++)
    {
      workflow_command c = sized_job (&step, 1, 1, 3);
      workflow_spec *spec = &c.workflow_command_u.spec;
      spec->id = i + 1;
      assert_int_equal (workflow_check_spec (spec, &st), 0);
      spec->first_start_ms = times[i].first_start_ms;
      spec->period_ms = times[i].period_ms;
      assert_int_equal (workflow_check_spec (spec, &st), -1);
      assert_non_null (strstr (st.message, "year 9999"));
      assert_true (fixture_change (f, &c));
    }
  struct buffer image;
  struct workflow other;
  buffer_init (&image);
  f->workflow.machine.ops->save (&f->workflow.machine, &image);
  workflow_init (&other);
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  workflow_close (&other);
  buffer_close (&image);
}

/* Guards against a long path that counts as a short one.  */
static void
test_estimates_of_a_long_path_do_not_overflow (void **state)
{
  struct fixture *f = *state;
  workflow_step list[2];
  u_int first = 0;
  const workflow_command c = sized_job (list, 2, 1, 0);
  list[1].after.after_val = &first;
  list[1].after.after_len = 1;
  assert_true (fixture_change (f, &c));
  const struct workflow_job *j = workflow_find_job (&f->workflow, 1);
  assert_int_equal (j->critical_path_ms, UINT32_MAX);
  assert_int_equal (j->remain_ms[0], UINT32_MAX);
}

static void
save (struct fixture *f, struct buffer *out)
{
  buffer_init (out);
  f->workflow.machine.ops->save (&f->workflow.machine, out);
}

static const workflow_queue *
queue_of (const struct workflow *w, uint64_t job)
{
  return workflow_queue_of (w, workflow_find_job (w, job));
}

/* Guards against jobs that callers are told don't exist, and that never go on, after their queue
   got another name: callers know a queue by its host and path.  One that moves keeps its jobs by
   its name, unless another queue took its place.  */
static void
test_a_renamed_queue_keeps_its_jobs (void **state)
{
  struct fixture *f = *state;
  struct workflow *w = &f->workflow;
  fixture_submit (f, 1, 2, 1, 0);
  fixture_configure_queue (f, 2, 2, "renamed", "/q/");
  assert_string_equal (queue_of (w, 1)->name, "renamed");
  assert_ptr_equal (queue_of (w, 1), workflow_match_queue (w, "host", "/q/1"));
  fixture_configure_queue (f, 3, 2, "queue", "/moved/");
  assert_ptr_equal (queue_of (w, 1), workflow_match_queue (w, "host", "/moved/1"));
  fixture_configure_queue (f, 4, 2, "other", "/elsewhere/");
  assert_null (queue_of (w, 1));
  fixture_configure_queue (f, 5, 1, "renamed", "/q/");
  assert_true (place (f, 1, 0, 0, 1));
  assert_true (end (f, 1, 0, 0, 1, WORKFLOW_FAILED, ""));
  assert_int_equal (workflow_find_job (w, 1)->state, WORKFLOW_JOB_FAILED);
}

/* Two queues exchange their names: each job stays with the callers that submitted it.  */
static void
test_queues_that_exchange_names_keep_their_jobs (void **state)
{
  struct fixture *f = *state;
  workflow_queue q[2] = { { .name = "queue", .host = "host", .path_prefix = "/q/", .pool = "pool" },
                          { .name = "b", .host = "host", .path_prefix = "/b/", .pool = "pool" } };
  workflow_pool p = { .name = "pool" };
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  workflow_configuration *config = &c.workflow_command_u.configuration;
  *config = (workflow_configuration){ .revision = 2, .queues = { 2, q }, .pools = { 1, &p } };
  q[0].timeout_ms = q[1].timeout_ms = 1000;
  assert_true (fixture_change (f, &c));
  fixture_submit (f, 1, 1, 1, 0);
  config->revision = 3;
  q[0].name = "b";
  q[1].name = "queue";
  assert_true (fixture_change (f, &c));
  assert_string_equal (queue_of (&f->workflow, 1)->path_prefix, "/q/");
}

/* The place of a queue must survive a snapshot, which has the queue's name only.  A snapshot of an
   earlier build takes the place from the configuration in it.  */
static void
test_the_place_of_a_queue_survives_a_snapshot (void **state)
{
  struct fixture *f = *state;
  struct buffer image;
  struct workflow other;
  struct status st;
  fixture_submit (f, 1, 1, 1, 0);
  fixture_submit (f, 2, 1, 1, 0);
  fixture_cancel (f, 1);
  save (f, &image);
  size_t earlier_len = image.len - 36; /* without a count and two places */
  for (int i = 0; i < 2; i++)
    {
      workflow_init (&other);
      assert_int_equal (
          other.machine.ops->load (&other.machine, image.data, i ? earlier_len : image.len, &st),
          0);
      assert_string_equal (workflow_find_job (&other, 1)->origin->path_prefix, "/q/");
      workflow_close (&other);
    }
  buffer_close (&image);
  fixture_configure_queue (f, 2, 2, "renamed", "/q/");
  save (f, &image);
  workflow_init (&other);
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  for (uint64_t id = 1; id <= 2; id++)
    assert_string_equal (queue_of (&other, id)->name, "renamed");
  workflow_close (&other);
  buffer_close (&image);
}

static void
test_longest_prefix_selects_the_queue (void **state)
{
  struct fixture *f = *state;
  assert_non_null (workflow_match_queue (&f->workflow, "host", "/q/1"));
  assert_null (workflow_match_queue (&f->workflow, "host", "/p/1"));
  assert_null (workflow_match_queue (&f->workflow, "other", "/q/1"));
}

/* Loading a snapshot must produce the same state as applying the log.  */
static void
test_snapshot_contains_all_state (void **state)
{
  struct fixture *f = *state;
  struct buffer before;
  struct buffer after;
  struct workflow other;
  struct status st;
  workflow_command zone = { .kind = WORKFLOW_ZONE };
  zone.workflow_command_u.zone = (workflow_zone_change){ .zone = "a", .out = true };
  fixture_change (f, &zone);
  fixture_submit (f, 1, 2, 3, 0);
  fixture_submit (f, 2, 1, 2, WORKFLOW_STEP_LASTING);
  fixture_submit (f, 3, 1, 1, 0);
  place (f, 1, 0, 0, 1);
  place (f, 1, 0, 1, 1);
  end (f, 1, 0, 0, 1, WORKFLOW_DONE, "");
  end (f, 1, 0, 1, 1, WORKFLOW_FAILED, "c");
  place (f, 1, 0, 2, 1);
  fixture_cancel (f, 3);
  save (f, &before);
  workflow_init (&other);
  assert_int_equal (other.machine.ops->load (&other.machine, before.data, before.len, &st), 0);
  buffer_init (&after);
  other.machine.ops->save (&other.machine, &after);
  assert_int_equal (before.len, after.len);
  assert_memory_equal (before.data, after.data, before.len);
  size_t ready = 0;
  const struct workflow_task *t;
  TAILQ_FOREACH (t, &other.ready, link)
  ready++;
  assert_int_equal (ready, 3);
  assert_int_equal (other.machine.ops->load (&other.machine, before.data, before.len / 2, &st), -1);
  workflow_close (&other);
  buffer_close (&before);
  buffer_close (&after);
}

/* A new leader that starts from a snapshot must know which tasks crashed workers; a snapshot of an
   earlier build ends before the blames.  */
static void
test_blame_survives_a_snapshot (void **state)
{
  struct fixture *f = *state;
  struct buffer image;
  struct workflow other;
  struct status st;
  const workflow_task_ref ref = { .job = 1, .index = 1 };
  fixture_submit (f, 1, 1, 2, 0);
  for (uint32_t run = 1; run <= 2; run++)
    {
      place (f, 1, 0, 1, run);
      end (f, 1, 0, 1, run, WORKFLOW_CRASHED, "");
    }
  save (f, &image);
  workflow_init (&other);
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  assert_int_equal (workflow_find_task (&other, &ref)->blame.points, 8);
  /* Origins: a count, and host and path of the job's queue with their lengths.  A build without
     them ended the snapshot here.  */
  size_t earlier_len = image.len - 20;
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, earlier_len, &st), 0);
  assert_int_equal (workflow_find_task (&other, &ref)->blame.points, 8);
  /* The ids withdrawn: a count.  A build without them ended the snapshot here.  */
  earlier_len -= 4;
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, earlier_len, &st), 0);
  assert_int_equal (workflow_find_task (&other, &ref)->blame.points, 8);
  /* One blame: a count, a reference of 20 bytes, points and crashes.  */
  earlier_len -= 32;
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, earlier_len, &st), 0);
  assert_int_equal (workflow_find_task (&other, &ref)->blame.points, 0);
  assert_int_equal (workflow_find_job (&other, 1)->state, WORKFLOW_JOB_OPEN);
  place (f, 1, 0, 1, 3);
  end (f, 1, 0, 1, 3, WORKFLOW_CRASHED, "");
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_FAILED);
  workflow_close (&other);
  buffer_close (&image);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[] = { TEST (test_step_waits_for_its_dependency),
                                      TEST (test_task_is_executed_once),
                                      TEST (test_submission_after_its_cancel_is_refused),
                                      TEST (test_withdrawn_ids_are_bounded),
                                      TEST (test_zones_out_beyond_the_limit_are_refused),
                                      TEST (test_late_end_completes_the_task),
                                      TEST (test_cancelled_job_is_not_reopened),
                                      TEST (test_lasting_task_restarts_after_any_outcome),
                                      TEST (test_older_configuration_is_refused),
                                      TEST (test_a_queue_that_is_away_fails_no_job),
                                      TEST (test_no_attempt_beyond_the_limit_in_force),
                                      TEST (test_a_job_whose_task_count_overflows_is_refused),
                                      TEST (test_the_memory_of_jobs_is_released_with_them),
                                      TEST (test_start_times_beyond_their_range_do_not_overflow),
                                      TEST (test_estimates_of_a_long_path_do_not_overflow),
                                      TEST (test_a_renamed_queue_keeps_its_jobs),
                                      TEST (test_queues_that_exchange_names_keep_their_jobs),
                                      TEST (test_the_place_of_a_queue_survives_a_snapshot),
                                      TEST (test_longest_prefix_selects_the_queue),
                                      TEST (test_snapshot_contains_all_state),
                                      TEST (test_blame_survives_a_snapshot) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
