/* Guards against ends and runs that are lost because of the length of a checkpoint, which workers
   choose freely, and against checkpoints that fill the memory.  */
#include "workflow_fixture.h"

static const size_t lengths[] = { 0,
                                  1,
                                  255,
                                  256,
                                  257,
                                  300,
                                  WORKFLOW_CHECKPOINT_BYTES - 1,
                                  WORKFLOW_CHECKPOINT_BYTES,
                                  WORKFLOW_CHECKPOINT_BYTES + 1,
                                  8192,
                                  100000 };

#define LENGTHS (sizeof lengths / sizeof *lengths)

static char *
checkpoint_of (size_t len)
{
  char *text = xmalloc (len + 1);
  memset (text, 'c', len);
  text[len] = '\0';
  return text;
}

static const struct workflow_task *
only_task (struct fixture *f, uint64_t job)
{
  return &workflow_find_job (&f->workflow, job)->stages[0].tasks[0];
}

/* Starts the tasks of one more job of one task on w1; returns its start.  */
static const struct sent_start *
start_job (struct fixture *f, uint64_t job, uint32_t flags)
{
  assert_true (fixture_submit (f, job, 1, 1, flags));
  fixture_tick (f, 20);
  const struct sent_start *s = &f->starts[f->start_count - 1];
  assert_true (s->task.job == job);
  fixture_answer_start (f, s, WORKER_CALL_OK);
  return s;
}

/* The next hold to w1, which acknowledges all its ends up to NUMBER, is sent and answered.  */
static void
expect_acknowledged (struct fixture *f, uint64_t number)
{
  size_t holds = f->hold_count;
  for (int i = 0; i < 50 && f->hold_count == holds; i++)
    fixture_tick (f, 20);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, number);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
}

/* Guards against ends that are never acknowledged: the end of a cancelled run had a checkpoint of
   300 bytes, which its log entry could not hold, and no end of that worker was acknowledged any
   more.  */
static void
test_a_long_checkpoint_does_not_hold_back_ends (void **state)
{
  struct fixture *f = *state;
  uint64_t number = 0;
  fixture_join (f, "w1", "10.0.0.1:1");
  for (size_t i = 0; i < LENGTHS; i++)
    {
      char *text = checkpoint_of (lengths[i]);
      const struct sent_start *cancelled = start_job (f, 2 * i + 1, 0);
      const struct sent_start *later = start_job (f, 2 * i + 2, 0);
      assert_true (fixture_cancel (f, 2 * i + 1));
      struct reported_end ends[] = { fixture_ended (cancelled, number + 1, WORKFLOW_STOPPED),
                                     fixture_ended (later, number + 2, WORKFLOW_DONE) };
      ends[0].checkpoint = text;
      number += 2;
      fixture_answer_hold (f, "w1", NULL, 0, ends, 2);
      fixture_answer_hold (f, "w1", NULL, 0, ends, 2); /* listed once more */
      assert_true (TAILQ_EMPTY (&f->workflow.runs));
      assert_int_equal (workflow_find_job (&f->workflow, 2 * i + 2)->state, WORKFLOW_JOB_COMPLETED);
      expect_acknowledged (f, number);
      free (text);
    }
}

/* The same for a checkpoint that was listed while its run was at work, and for ends that the leader
   finds itself: a lease that expires, a worker that leaves.  */
static void
test_a_long_checkpoint_of_a_run_does_not_hold_back_its_end (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  for (size_t i = 0; i < LENGTHS; i++)
    {
      char *text = checkpoint_of (lengths[i]);
      const struct sent_start *s = start_job (f, i + 1, 0);
      struct reported_run run = fixture_running (s);
      run.checkpoint = text;
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      const struct reported_end end = fixture_ended (s, i + 1, WORKFLOW_DONE);
      fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
      assert_int_equal (workflow_find_job (&f->workflow, i + 1)->state, WORKFLOW_JOB_COMPLETED);
      expect_acknowledged (f, i + 1);
      free (text);
    }
  const struct sent_start *s = start_job (f, 100, 0);
  char *text = checkpoint_of (100000);
  struct reported_run run = fixture_running (s);
  run.checkpoint = text;
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_leave (f, "w1", "10.0.0.1:1");
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
  free (text);
}

/* A checkpoint up to the limit is resumed from whole; a longer one is not cut off, which would hand
   the task a checkpoint that isn't its own, and the one before it stays.  */
static void
test_a_checkpoint_is_kept_whole_or_not_at_all (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  for (size_t i = 0; i < LENGTHS; i++)
    {
      char *text = checkpoint_of (lengths[i]);
      const struct sent_start *s = start_job (f, i + 1, 0);
      struct reported_run run = fixture_running (s);
      run.checkpoint = "before";
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      struct reported_end end = fixture_ended (s, 2 * i + 1, WORKFLOW_STOPPED);
      end.checkpoint = text;
      fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
      bool kept = lengths[i] > 0 && lengths[i] <= WORKFLOW_CHECKPOINT_BYTES;
      assert_string_equal (only_task (f, i + 1)->checkpoint, kept ? text : "before");
      fixture_tick (f, 200);
      s = &f->starts[f->start_count - 1];
      assert_int_equal (s->run, 2);
      fixture_answer_start (f, s, WORKER_CALL_OK);
      end = fixture_ended (s, 2 * i + 2, WORKFLOW_DONE);
      fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
      assert_int_equal (workflow_find_job (&f->workflow, i + 1)->state, WORKFLOW_JOB_COMPLETED);
      free (text);
    }
}

/* Starts job 1 with COUNT tasks on w1; all are stopped there with a checkpoint of LEN bytes, which
   they have listed before.  */
static void
stop_with_checkpoints (struct fixture *f, uint32_t count, size_t len)
{
  enum
  {
    MOST = 16
  };
  struct reported_run running[MOST];
  struct reported_end ended[MOST];
  char *text = checkpoint_of (len);
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (fixture_submit (f, 1, 1, count, 0));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, count);
  assert_true (count <= MOST);
  for (uint32_t i = 0; i < count; i++)
    {
      fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
      running[i] = fixture_running (&f->starts[i]);
      ended[i] = fixture_ended (&f->starts[i], i + 1, WORKFLOW_STOPPED);
      running[i].checkpoint = ended[i].checkpoint = text;
    }
  fixture_answer_hold (f, "w1", running, count, NULL, 0);
  fixture_answer_hold (f, "w1", NULL, 0, ended, count);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
  free (text);
}

/* Checkpoints of many tasks must not take more than their part of the memory.  Ended jobs and tasks
   that are done give theirs back.  */
static void
test_checkpoints_are_kept_within_their_memory (void **state)
{
  struct fixture *f = *state;
  const uint32_t most = FIXTURE_CHECKPOINT_BYTES / (WORKFLOW_CHECKPOINT_BYTES + 1);
  uint32_t kept = 0;
  stop_with_checkpoints (f, most + 2, WORKFLOW_CHECKPOINT_BYTES);
  for (uint32_t i = 0; i < most + 2; i++)
    kept += only_task (f, 1)[i].checkpoint != NULL;
  assert_int_equal (kept, most);
  assert_true (f->workflow.checkpoint_bytes == (uint64_t)most * (WORKFLOW_CHECKPOINT_BYTES + 1));
  assert_true (fixture_cancel (f, 1));
  assert_true (f->workflow.checkpoint_bytes == 0);
  const struct sent_start *s = start_job (f, 2, 0);
  struct reported_end end = fixture_ended (s, most + 3, WORKFLOW_STOPPED);
  end.checkpoint = "saved";
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_true (f->workflow.checkpoint_bytes == sizeof "saved");
  fixture_tick (f, 200);
  s = &f->starts[f->start_count - 1];
  assert_string_equal (s->checkpoint, "saved");
  fixture_answer_start (f, s, WORKER_CALL_OK);
  end = fixture_ended (s, most + 4, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_true (f->workflow.checkpoint_bytes == 0);
}

/* A run on w1 is stopped with a checkpoint; the proposal of its end has OUTCOME, and it is listed
   once more.  */
static void
propose_end_twice (struct fixture *f, enum dispatcher_proposal outcome)
{
  fixture_join (f, "w1", "10.0.0.1:1");
  const struct sent_start *s = start_job (f, 1, 0);
  struct reported_end end = fixture_ended (s, 1, WORKFLOW_STOPPED);
  end.checkpoint = "saved";
  const struct worker_lists lists = { .mark = fixture_last_hold (f, "w1").mark,
                                      .clock_ms = f->now_ms,
                                      .born_ms = 1000,
                                      .ended = &end,
                                      .ended_len = 1,
                                      .complete = true };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  assert_int_equal (f->log_count, 1);
  buffer_close (&f->log[0].entry);
  f->log_count = 0;
  dispatcher_proposed (f->dispatcher, f->now_ms, f->log[0].token, outcome);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
}

/* Guards against a proposal that is repeated for ever because the state refuses it each time.  */
static void
test_a_refused_end_is_proposed_without_its_checkpoint (void **state)
{
  struct fixture *f = *state;
  propose_end_twice (f, PROPOSAL_REFUSED);
  assert_null (only_task (f, 1)->checkpoint);
}

/* A proposal that was only lost is repeated as it was.  */
static void
test_a_lost_end_is_proposed_with_its_checkpoint (void **state)
{
  struct fixture *f = *state;
  propose_end_twice (f, PROPOSAL_LOST);
  assert_string_equal (only_task (f, 1)->checkpoint, "saved");
}

/* The longest checkpoint passes a snapshot, and what it takes is counted from there too.  */
static void
test_long_checkpoints_survive_a_snapshot (void **state)
{
  struct fixture *f = *state;
  struct buffer image;
  struct workflow other;
  struct status st;
  stop_with_checkpoints (f, 3, WORKFLOW_CHECKPOINT_BYTES);
  buffer_init (&image);
  workflow_init (&other);
  f->workflow.machine.ops->save (&f->workflow.machine, &image);
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  assert_true (other.checkpoint_bytes == f->workflow.checkpoint_bytes);
  for (uint32_t i = 0; i < 3; i++)
    assert_string_equal (workflow_find_job (&other, 1)->stages[0].tasks[i].checkpoint,
                         only_task (f, 1)[i].checkpoint);
  workflow_close (&other);
  assert_true (other.checkpoint_bytes == 0);
  buffer_close (&image);
}

/* A command over the limits must leave no part of itself in the log.  */
static void
test_a_command_over_its_limits_is_not_encoded (void **state)
{
  char *text = checkpoint_of (WORKFLOW_CHECKPOINT_BYTES + 1);
  workflow_command c = { .kind = WORKFLOW_END };
  struct buffer out;
  (void)state;
  buffer_init (&out);
  buffer_append (&out, "before", 6);
  c.workflow_command_u.end = (workflow_end){ .outcome = WORKFLOW_DONE, .checkpoint = text };
  assert_false (workflow_encode (&c, &out));
  assert_int_equal (out.len, 6);
  text[WORKFLOW_CHECKPOINT_BYTES] = '\0';
  assert_true (workflow_encode (&c, &out));
  assert_true (out.len > 6 + WORKFLOW_CHECKPOINT_BYTES);
  buffer_close (&out);
  free (text);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_a_long_checkpoint_does_not_hold_back_ends),
          TEST (test_a_long_checkpoint_of_a_run_does_not_hold_back_its_end),
          TEST (test_a_checkpoint_is_kept_whole_or_not_at_all),
          TEST (test_checkpoints_are_kept_within_their_memory),
          TEST (test_a_refused_end_is_proposed_without_its_checkpoint),
          TEST (test_a_lost_end_is_proposed_with_its_checkpoint),
          TEST (test_long_checkpoints_survive_a_snapshot),
          cmocka_unit_test (test_a_command_over_its_limits_is_not_encoded) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
