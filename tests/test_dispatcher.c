/* Guards against tasks that run twice, run after their end or are never restarted, when orders get
   no answer, workers are silent or restart, and leaders change.  */
#include "workflow_fixture.h"

/* An end acknowledged before its commit would be lost with the leader.  */
static void
test_ends_are_acknowledged_after_their_commit (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 2, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 20);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  struct sent_hold h = fixture_last_hold (f, "w1");
  const struct worker_lists lists = { .mark = h.mark,
                                      .clock_ms = f->now_ms,
                                      .born_ms = 1000,
                                      .ended = &end,
                                      .ended_len = 1,
                                      .complete = true };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  f->now_ms += 100;
  dispatcher_tick (f->dispatcher, f->now_ms, 0);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 0);
  assert_int_equal (f->start_count, 1);
  fixture_commit (f);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_int_equal (f->starts[1].task.step, 1);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 100);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 1);
}

/* An unanswered order may be executed seconds later: the task must not start elsewhere before a
   stop for that run is acknowledged and a later hold doesn't list it.  */
static void
test_an_unanswered_start_is_settled_before_the_next (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_UNKNOWN);
  fixture_tick (f, 20);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 1);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[0].task, f->stops[0].run,
                          WORKER_CALL_OK);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_int_equal (f->starts[1].run, 2);
}

/* Stopping a run whose answer was lost would waste its work.  */
static void
test_an_unanswered_start_that_is_listed_runs_on (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_UNKNOWN);
  fixture_tick (f, 20);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 0);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
}

/* A partitioned worker goes on until its lease expires; holds that may still reach it must not
   renew that lease for ever.  */
static void
test_runs_of_a_silent_worker_lapse_once_and_in_time (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 20);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_join (f, "w2", "10.0.0.2:1");
  int64_t silent_ms = f->now_ms;
  int64_t last_deadline_ms = 0;
  while (f->start_count == 1 && f->now_ms < silent_ms + 20000)
    {
      fixture_tick (f, 20);
      if (f->hold_count > 0 && strcmp (f->holds[f->hold_count - 1].worker, "w2") == 0)
        fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
      struct sent_hold h = fixture_last_hold (f, "w1");
      if (h.deadline_ms > last_deadline_ms)
        last_deadline_ms = h.deadline_ms;
      if ((f->now_ms - silent_ms) % 1200 == 0)
        dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
    }
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "w2");
  assert_true (f->now_ms >= last_deadline_ms);
  assert_true (f->now_ms < silent_ms + FIXTURE_LEASE_MS + 3000);
}

/* Guards against a lasting task without a run for 15 s and more: it was restarted on a worker that
   had been lost too, and the order, written to an old connection, stayed uncertain.  */
static void
test_a_restart_on_a_lost_worker_moves_on_at_once (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  assert_false (f->starts[0].on_new_connection);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_leave (f, "w1", "10.0.0.1:1");
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_tick (f, 300);
  assert_int_equal (f->start_count, 2);
  assert_true (f->starts[1].on_new_connection);
  fixture_join (f, "w3", "10.0.0.3:1");
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_NOT_SENT);
  fixture_tick (f, 120);
  assert_int_equal (f->start_count, 3);
  assert_string_equal (f->starts[2].worker, "w3");
  /* W2 answers, and may be reached by a helper only: the next start is sent as any other.  */
  fixture_answer_start (f, &f->starts[2], WORKER_CALL_NOT_SENT);
  fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
  fixture_tick (f, 120);
  assert_int_equal (f->start_count, 4);
  assert_string_equal (f->starts[3].worker, "w2");
  assert_false (f->starts[3].on_new_connection);
}

/* Guards against a voluntary change of leader while tasks wait for the leases of lost workers: the
   next leader waits for a whole lease again (deploy/days/zones.toml, LOST).  */
static void
test_leases_that_tasks_wait_for_are_known (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 20);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  assert_false (dispatcher_awaits_workers (f->dispatcher, f->now_ms));
  fixture_join (f, "w2", "10.0.0.2:1"); /* silent as well, without a run */
  dispatcher_become_leader (f->dispatcher, f->now_ms, 7 + DISPATCHER_FENCES);
  int64_t lead_ms = f->now_ms;
  fixture_join (f, "w2", "10.0.0.2:1");
  while (!TAILQ_EMPTY (&f->workflow.runs) && f->now_ms - lead_ms < 20000)
    {
      assert_true (dispatcher_awaits_workers (f->dispatcher, f->now_ms));
      f->now_ms += 20;
      dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
      dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
      if (f->log_count > 0)
        break;
    }
  assert_true (f->now_ms - lead_ms >= FIXTURE_LEASE_MS);
  fixture_commit (f);
  assert_false (dispatcher_awaits_workers (f->dispatcher, f->now_ms));
}

/* A task of w1, which drains; w2 is idle.  */
static const struct sent_start *
start_on_a_draining_worker (struct fixture *f)
{
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 100);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_join (f, "w2", "10.0.0.2:1");
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  r.sequence++;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 20);
  return &f->starts[0];
}

/* Failure in load test hsgr-rounds-grown scale-1, seed 861277368414 (LOST): leadership was handed
   over 1.2 s before workers left.  The next leader did not know that they drained, and their tasks
   waited for the lease.  */
static void
test_leadership_is_kept_while_workers_drain (void **state)
{
  struct fixture *f = *state;
  start_on_a_draining_worker (f);
  assert_true (dispatcher_awaits_workers (f->dispatcher, f->now_ms));
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  assert_false (dispatcher_awaits_workers (f->dispatcher, f->now_ms));
}

/* Orders of an earlier leader are known from the log only: the first hold under the new fence shows
   what runs, and nothing is restarted before it.  */
static void
test_a_new_leader_learns_before_it_starts (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 2, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  dispatcher_resign (f->dispatcher);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 8);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  struct status st;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  dispatcher_report (f->dispatcher, f->now_ms, &r, &st);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_int_equal (fixture_last_hold (f, "w1").fence, 8);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  assert_int_equal (f->starts[2].task.index, f->starts[1].task.index);
  assert_int_equal (f->starts[2].run, 2);
}

/* A run on a worker that the new leader can't reach may go on until the old leader's lease has
   expired.  */
static void
test_a_new_leader_waits_for_leases_it_did_not_give (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  dispatcher_resign (f->dispatcher);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 8);
  int64_t lead_ms = f->now_ms;
  fixture_join (f, "w2", "10.0.0.2:1");
  while (f->start_count == 1 && f->now_ms < lead_ms + 20000)
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 2);
  assert_true (f->now_ms >= lead_ms + FIXTURE_LEASE_MS);
  assert_true (f->now_ms < lead_ms + FIXTURE_LEASE_MS + 1000);
}

/* An order of the terms between may still be executed after a worker answered a hold of an earlier
   term: the task must not start elsewhere on the strength of that answer.  */
static void
test_an_answer_to_a_hold_of_an_earlier_term_proves_nothing (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_tick (f, 2000);
  const struct sent_hold old = fixture_last_hold (f, "w1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  dispatcher_resign (f->dispatcher);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 9);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  dispatcher_report (f->dispatcher, f->now_ms, &r, &st);
  fixture_join (f, "w2", "10.0.0.2:1");
  const struct worker_lists lists
      = { .mark = old.mark, .clock_ms = f->now_ms, .born_ms = 1000, .complete = true };
  const struct worker_outcome late = {
    .kind = ORDER_HOLD, .worker = "w1", .tag = old.tag, .result = WORKER_CALL_OK, .lists = &lists
  };
  dispatcher_outcome (f->dispatcher, f->now_ms, &late);
  fixture_commit (f);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
}

/* Guards against tasks that never start although a worker has the label that they require: only the
   first four labels of a worker were kept.  */
static void
test_every_label_of_a_worker_counts (void **state)
{
  struct fixture *f = *state;
  const char *const labels[WORKER_MAX_LABELS + 1]
      = { "a", "r1-1", "c", "d", "e", "f", "g", "last" };
  struct status st;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.labels = labels;
  r.labels_len = WORKER_MAX_LABELS + 1;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), -1);
  assert_int_equal (st.kind, STATUS_BAD_REQUEST);
  r.labels_len = WORKER_MAX_LABELS;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 1);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  workflow_step step = { .count = 1,
                         .millicores = 1000,
                         .memory_mb = 100,
                         .estimate_ms = 500,
                         .required_label = "last",
                         .data_rack = "",
                         .image = "" };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = 1;
  spec->queue = "queue";
  spec->payload = "payload";
  spec->steps.steps_val = &step;
  spec->steps.steps_len = 1;
  assert_true (fixture_change (f, &c));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

/* Guards against queues that hide what waits: jobs whose start orders went to a worker that was cut
   off counted as started for seconds, and the queue said that none was pending.  */
static void
test_a_job_has_not_started_before_a_worker_shows_it (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  const struct workflow_job *j = workflow_find_job (&f->workflow, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_false (workflow_job_started (j));
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_UNKNOWN);
  assert_false (workflow_job_started (j));
  dispatcher_become_leader (f->dispatcher, f->now_ms, 7 + DISPATCHER_FENCES);
  assert_false (workflow_job_started (j));
  /* Its lease expires without news: it may never have started.  */
  for (int i = 0; i < 1000 && !TAILQ_EMPTY (&f->workflow.runs); i++)
    fixture_tick (f, 20);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
  assert_false (workflow_job_started (j));
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_tick (f, 200);
  assert_int_equal (f->start_count, 2);
  assert_false (workflow_job_started (j));
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_OK);
  assert_true (workflow_job_started (j));
}

/* The answer to a start may be lost, and the leader may change: a list or an end shows the start.
 */
static void
test_a_list_shows_that_a_job_has_started (void **state)
{
  for (int ended = 0; ended < 2; ended++)
    {
      struct fixture *f = fixture_of_round (state, ended);
      struct status st;
      fixture_join (f, "w1", "10.0.0.1:1");
      fixture_submit (f, 1, 2, 1, 0);
      const struct workflow_job *j = workflow_find_job (&f->workflow, 1);
      fixture_tick (f, 20);
      fixture_answer_start (f, &f->starts[0], WORKER_CALL_UNKNOWN);
      dispatcher_become_leader (f->dispatcher, f->now_ms, 7 + DISPATCHER_FENCES);
      struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
      r.sequence++;
      assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
      fixture_tick (f, 20);
      const struct reported_run run = fixture_running (&f->starts[0]);
      const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
      fixture_answer_hold (f, "w1", &run, !ended, &end, ended);
      assert_true (workflow_job_started (j));
      /* The next leader knows it from the log where a run has ended.  */
      dispatcher_become_leader (f->dispatcher, f->now_ms, 7 + 2 * DISPATCHER_FENCES);
      assert_int_equal (workflow_job_started (j), ended);
    }
}

/* Starts a job of one task on w1, which is then silent until the run has lapsed.  */
static void
lapse_one_run (struct fixture *f)
{
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  for (int i = 0; i < 600 && !TAILQ_EMPTY (&f->workflow.runs); i++)
    fixture_tick (f, 20);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
}

/* A worker that was silent until its lease expired may have finished the task before: restarting it
   once that end is known would run it twice.  */
static void
test_a_late_done_end_is_taken (void **state)
{
  struct fixture *f = *state;
  lapse_one_run (f);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 100);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
  assert_int_equal (f->start_count, 1);
}

/* The same end, listed while the next placement is uncommitted: no start may follow.  */
static void
test_a_late_done_end_stops_the_next_start (void **state)
{
  struct fixture *f = *state;
  lapse_one_run (f);
  fixture_join (f, "w2", "10.0.0.2:1");
  f->now_ms += 20;
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  assert_int_equal (f->log_count, 1);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 100);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
  assert_int_equal (f->start_count, 1);
}

/* A task that runs on w1, which then leaves while its answer to a hold is on the way.  */
static const struct sent_start *
start_on_a_leaving_worker (struct fixture *f)
{
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 100);
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_leave (f, "w1", "10.0.0.1:1");
  return &f->starts[0];
}

static void
assert_done_without_another_start (struct fixture *f)
{
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
  for (int i = 0; i < 100; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

/* Failure in load test bvsw-sched hunt-1a8f-39 (TWICE): a worker left just after a run was done,
   and its list of ends arrived after its departure.  The run counted as lapsed and the task ran
   again.  */
static void
test_an_end_listed_after_a_departure_is_taken (void **state)
{
  struct fixture *f = *state;
  const struct sent_start *s = start_on_a_leaving_worker (f);
  const struct reported_end end = fixture_ended (s, 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_done_without_another_start (f);
}

/* The same when the run has already lapsed in the log: the next start waits for that answer.  */
static void
test_a_task_of_a_worker_that_left_waits_for_its_last_list (void **state)
{
  struct fixture *f = *state;
  const struct sent_start *s = start_on_a_leaving_worker (f);
  fixture_tick (f, 20);
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OTHER_WORKER, NULL);
  fixture_commit (f);
  fixture_tick (f, 20);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  const struct reported_end end = fixture_ended (s, 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_done_without_another_start (f);
}

/* The listed end is never committed and its worker is lost: the task must run again.  */
static void
test_a_lost_late_end_does_not_block_the_task (void **state)
{
  struct fixture *f = *state;
  lapse_one_run (f);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
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
  dispatcher_proposed (f->dispatcher, f->now_ms, f->log[0].token, PROPOSAL_LOST);
  fixture_leave (f, "w1", "10.0.0.1:1");
  fixture_join (f, "w2", "10.0.0.2:1");
  for (int i = 0; i < 400 && f->start_count == 1; i++)
    {
      fixture_tick (f, 20);
      if (i % 50 == 0)
        fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 2);
}

/* A worker that restarts under its old id has lost its runs.  */
static void
test_a_restarted_worker_has_lost_its_runs (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.born_ms = 2000;
  r.sequence = 1;
  r.clock_ms = 5;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_commit (f);
  fixture_tick (f, 20);
  struct sent_hold h = fixture_last_hold (f, "w1");
  assert_int_equal (h.acknowledged, 0);
  const struct worker_lists lists
      = { .mark = h.mark, .clock_ms = 30, .born_ms = 2000, .complete = true };
  assert_int_equal (f->start_count, 1);
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  fixture_commit (f);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  /* A late report of the earlier incarnation is refused.  */
  struct worker_report late = fixture_worker (f, "w1", "10.0.0.1:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), -1);
}

/* A worker that did not answer a hold may have restarted and number its ends from 1 again: the
   number acknowledged before would make it forget ends that no leader has seen, and their tasks run
   again.  */
static void
test_a_silent_worker_gets_no_acknowledgement (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_tick (f, 100);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 100);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 1);
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
  fixture_tick (f, 300);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 0);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 500);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 1);
}

/* W1 has listed an end, and the hold that acknowledges it has just been sent.  */
static void
send_acknowledgement (struct fixture *f)
{
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 100);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 100);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 1);
}

/* W1 restarts under its id, at BORN_MS, and answers the first hold of its new incarnation.  */
static void
restart_worker (struct fixture *f, int64_t born_ms)
{
  struct status st;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.born_ms = born_ms;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 20);
  fixture_answer_as (f, "w1", born_ms, NULL, 0, NULL, 0);
}

/* Guards against an acknowledgement that reaches the next incarnation of its worker, which numbers
   its ends from 1 again and forgets them unseen: few holds carry one, and none of them waits.  */
static void
test_an_acknowledgement_is_carried_until_it_was_answered (void **state)
{
  struct fixture *f = *state;
  send_acknowledgement (f);
  assert_int_equal (fixture_last_hold (f, "w1").wait_ms, 0);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  for (int i = 0; i < 10; i++)
    {
      fixture_tick (f, 500);
      assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 0);
      assert_true (fixture_last_hold (f, "w1").wait_ms > 0);
      fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
    }
}

/* Guards against orders to an earlier incarnation of a worker that the present one executes: it
   refuses them by their fence, in each order of restarts and changes of leader.  */
static void
test_orders_to_a_restarted_worker_have_a_higher_fence (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_join (f, "w2", "10.0.0.2:1");
  uint64_t first = fixture_last_hold (f, "w1").fence;
  restart_worker (f, 2000);
  uint64_t second = fixture_last_hold (f, "w1").fence;
  assert_true (second > first);
  /* A second restart shows in a list first, in the answer to a hold of the second incarnation.  */
  fixture_tick (f, 2000);
  fixture_answer_as (f, "w1", 3000, NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_true (fixture_last_hold (f, "w1").fence > second);
  fixture_tick (f, 2000);
  assert_true (fixture_last_hold (f, "w2").fence == first);
  /* A worker that the leader has forgotten may come back.  */
  fixture_join (f, "w3", "10.0.0.3:1");
  assert_true (fixture_last_hold (f, "w3").fence > second);
  dispatcher_become_leader (f->dispatcher, f->now_ms, first + DISPATCHER_FENCES);
  fixture_join (f, "w4", "10.0.0.4:1");
  assert_true (fixture_last_hold (f, "w4").fence > fixture_last_hold (f, "w3").fence);
}

/* Guards against a task that runs again after it was done: its end was forgotten unseen, as a hold
   to an earlier incarnation of its worker was executed by the present one, and the run counted as
   lapsed. Until an end is listed there, a run is stopped at once, and only one is started.  */
static void
test_an_incarnation_that_an_acknowledgement_may_have_reached_is_probed (void **state)
{
  struct fixture *f = *state;
  send_acknowledgement (f);
  restart_worker (f, 2000);
  f->start_count = 0;
  fixture_submit (f, 2, 1, 4, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 1);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[0].task, f->stops[0].run,
                          WORKER_CALL_OK);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  /* Its end isn't listed: the next run is another probe.  */
  fixture_answer_as (f, "w1", 2000, NULL, 0, NULL, 0);
  fixture_tick (f, 100);
  fixture_answer_as (f, "w1", 2000, NULL, 0, NULL, 0);
  fixture_tick (f, 200);
  assert_int_equal (f->start_count, 2);
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_OK);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 2);
  /* This one is: the worker takes tasks again.  */
  const struct reported_end end = fixture_ended (&f->starts[1], 2, WORKFLOW_STOPPED);
  fixture_answer_as (f, "w1", 2000, NULL, 0, &end, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 6);
  for (size_t i = 2; i < f->start_count; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  fixture_tick (f, 500);
  assert_int_equal (f->stop_count, 2);
}

/* Guards against a worker that gets nothing until it restarts, as all tasks there are short.  */
static void
test_short_tasks_probe_a_worker_when_they_must (void **state)
{
  struct fixture *f = *state;
  send_acknowledgement (f);
  restart_worker (f, 2000);
  f->start_count = 0;
  workflow_step step = { .count = 2,
                         .millicores = 1000,
                         .estimate_ms = 100,
                         .required_label = "",
                         .data_rack = "",
                         .image = "" };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  c.workflow_command_u.spec = (workflow_spec){ .id = 2, .queue = "queue", .payload = "" };
  c.workflow_command_u.spec.steps.steps_val = &step;
  c.workflow_command_u.spec.steps.steps_len = 1;
  assert_true (fixture_change (f, &c));
  for (int i = 0; i < 70; i++)
    {
      fixture_tick (f, 20);
      fixture_answer_as (f, "w1", 2000, NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 0);
  for (int i = 0; i < 10; i++)
    {
      fixture_tick (f, 20);
      fixture_answer_as (f, "w1", 2000, NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 1);
}

/* Guards against an end that is acknowledged before it is committed, because an end with its number
   in an earlier incarnation of the worker is committed meanwhile.  */
static void
test_an_end_of_an_earlier_incarnation_acknowledges_nothing (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 100);
  const struct reported_end first = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  struct worker_lists lists = { .mark = fixture_last_hold (f, "w1").mark,
                                .clock_ms = f->now_ms,
                                .born_ms = 1000,
                                .ended = &first,
                                .ended_len = 1,
                                .complete = true };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  assert_int_equal (f->log_count, 1);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.born_ms = 2000;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  /* An end of a run that the log doesn't have yet, under the same number.  */
  fixture_submit (f, 2, 1, 1, 0);
  const workflow_place place = { .task = { .job = 2 }, .run = 1, .worker = "w1" };
  workflow_command c = { .kind = WORKFLOW_PLACE };
  c.workflow_command_u.place = place;
  assert_true (fixture_change (f, &c));
  const struct reported_end second
      = { .number = 1, .task = { .job = 2 }, .run = 1, .outcome = WORKFLOW_DONE, .checkpoint = "" };
  lists.mark = fixture_last_hold (f, "w1").mark;
  lists.born_ms = 2000;
  lists.ended = &second;
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  assert_int_equal (f->log_count, 2);
  /* Only the end of the earlier incarnation commits.  */
  assert_true (fixture_apply (f, f->log[0].entry.data, f->log[0].entry.len));
  f->now_ms += 100;
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  assert_int_equal (fixture_last_hold (f, "w1").acknowledged, 0);
  fixture_commit (f);
}

/* A task that lasts is restarted however it ends, so its end may be lost.  */
static void
test_a_lasting_task_needs_no_probe (void **state)
{
  struct fixture *f = *state;
  send_acknowledgement (f);
  restart_worker (f, 2000);
  f->start_count = 0;
  fixture_submit (f, 2, 1, 4, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
  for (size_t i = 0; i < f->start_count; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  fixture_tick (f, 500);
  assert_int_equal (f->stop_count, 0);
}

/* A hold without an answer may be executed seconds later: by the next incarnation, or the one after
   it, but by none that begins later than that.  */
static void
test_a_lost_acknowledgement_concerns_restarts_for_seconds_only (void **state)
{
  static const struct
  {
    int64_t silent_ms;
    int restarts;
    size_t starts;
  } cases[] = { { 100, 1, 1 }, { 100, 2, 1 }, { 16000, 1, 4 } };
  struct fixture *f = *state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      if (i > 0)
        {
          fixture_close (state);
          fixture_open (state);
          f = *state;
        }
      send_acknowledgement (f);
      dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
      fixture_tick (f, cases[i].silent_ms);
      fixture_tick (f, 300);
      fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
      for (int k = 0; k < cases[i].restarts; k++)
        restart_worker (f, 2000 + k);
      f->start_count = 0;
      fixture_submit (f, 2, 1, 4, 0);
      fixture_tick (f, 20);
      assert_int_equal (f->start_count, cases[i].starts);
    }
}

/* The leader that sent the acknowledgement is gone when the next one finds a worker without the
   runs that the log has there: it may be another incarnation of it.  */
static void
test_a_new_leader_probes_a_worker_that_lost_its_runs (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 4, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 7 + DISPATCHER_FENCES);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.born_ms = 2000;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 20);
  f->start_count = 0;
  fixture_answer_as (f, "w1", 2000, NULL, 0, NULL, 0);
  fixture_tick (f, 200);
  assert_int_equal (f->start_count, 1);
}

/* A worker that restarts accepts orders before its first report is received: a start that it
   accepted runs, and must not be repeated elsewhere when the restart becomes known.  */
static void
test_a_start_accepted_after_a_restart_is_not_repeated (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  const char *worker = f->starts[0].worker;
  struct worker_report r
      = fixture_worker (f, worker, strcmp (worker, "w1") == 0 ? "10.0.0.1:1" : "10.0.0.2:1");
  r.born_ms = 2000;
  r.sequence = 1;
  r.clock_ms = 5;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_commit (f);
  fixture_tick (f, 20);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  const struct reported_run run = fixture_running (&f->starts[0]);
  const struct worker_lists lists = { .mark = fixture_last_hold (f, worker).mark,
                                      .clock_ms = 30,
                                      .born_ms = 2000,
                                      .running = &run,
                                      .running_len = 1,
                                      .complete = true };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, worker, WORKER_CALL_OK, &lists);
  fixture_commit (f);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->stop_count, 0);
}

/* A stop that the earlier incarnation of a worker acknowledged does not keep the present one from
   executing a delayed start: the start must be settled there before the task starts elsewhere.  */
static void
test_a_stop_acknowledged_before_a_restart_proves_nothing (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_UNKNOWN);
  fixture_tick (f, 20);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 1);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.born_ms = 2000;
  r.sequence = 1;
  r.clock_ms = 5;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  const struct worker_outcome stopped = { .kind = ORDER_STOP,
                                          .worker = "w1",
                                          .tag = f->stops[0].tag,
                                          .task = f->stops[0].task,
                                          .run = f->stops[0].run,
                                          .result = WORKER_CALL_OK };
  dispatcher_outcome (f->dispatcher, f->now_ms, &stopped);
  fixture_tick (f, 20);
  const struct worker_lists lists = {
    .mark = fixture_last_hold (f, "w1").mark, .clock_ms = 30, .born_ms = 2000, .complete = true
  };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  fixture_commit (f);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->stop_count, 2);
}

/* Guards against a worker that counts as gone, with its tasks started elsewhere while they run,
   because a later start reports its address: only the address itself can tell who is there.  */
static void
test_a_claimed_address_ends_a_worker_only_once_the_address_says_so (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  size_t holds = f->hold_count;
  struct worker_report young = fixture_worker (f, "w2", "10.0.0.1:1");
  young.born_ms = 3000;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &young, &st), 0);
  fixture_tick (f, 20);
  assert_false (TAILQ_EMPTY (&f->workflow.runs));
  assert_int_equal (f->hold_count, holds + 2);
  struct worker_report old = fixture_worker (f, "w1", "10.0.0.1:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &old, &st), 0);
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OTHER_WORKER, NULL);
  fixture_commit (f);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
  old.sequence = 999999999;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &old, &st), -1);
}

/* The other way round: the claim was false, and the address answers for the worker that has it.  */
static void
test_a_false_claim_of_an_address_changes_nothing (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  struct worker_report other = fixture_worker (f, "w2", "10.0.0.1:1");
  other.born_ms = 3000;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &other, &st), 0);
  fixture_tick (f, 20);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w2", WORKER_CALL_OTHER_WORKER, NULL);
  for (int i = 0; i < 20; i++)
    {
      fixture_tick (f, 100);
      struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
      assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
    }
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->stop_count, 0);
  assert_false (TAILQ_EMPTY (&f->workflow.runs));
}

/* Guards against an entry of another writer that changes what is known of a worker: its pool, or
   the address that its orders go to.  */
static void
test_reports_of_another_writer_are_refused (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  static const char *const ids[] = { "w1", "w2" };
  for (int i = 0; i < 2; i++)
    {
      struct worker_report r = fixture_worker (f, ids[i], "10.0.0.1:1");
      r.pool = "other";
      r.born_ms = 5000;
      r.sequence = 999999;
      assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), -1);
      assert_int_equal (st.kind, STATUS_BAD_REQUEST);
      assert_non_null (strstr (st.message, "pool 'other'"));
    }
  f->now_ms++;
  struct worker_report moved = fixture_worker (f, "w1", "10.0.0.2:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &moved, &st), -1);
  assert_int_equal (st.kind, STATUS_BAD_REQUEST);
  fixture_tick (f, 20);
  assert_int_equal (dispatcher_worker_count (f->dispatcher), 1);
  assert_false (TAILQ_EMPTY (&f->workflow.runs));
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
}

/* Guards against workers that are lost while the configuration is without their pool for a while.
 */
static void
test_a_known_worker_keeps_a_pool_that_is_no_longer_configured (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  c.workflow_command_u.configuration.revision = 2;
  assert_true (fixture_change (f, &c));
  f->now_ms++;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  struct worker_report next = fixture_worker (f, "w2", "10.0.0.2:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &next, &st), -1);
}

/* The process of DRAINING has left with its machine: calls to its address get no answer.  */
static int64_t
restart_after_departure (struct fixture *f)
{
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  f->now_ms++;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_join (f, "w2", "10.0.0.2:1");
  for (int i = 0; i < 400; i++)
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 1);
  int64_t left_ms = f->now_ms;
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  while (f->start_count == 1 && f->now_ms < left_ms + 20000)
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
      if ((f->now_ms - left_ms) % 900 < 20)
        dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
    }
  assert_string_equal (f->starts[1].worker, "w2");
  return f->now_ms - left_ms;
}

/* Guards against lasting tasks that are without a run for a whole lease, 10 s and more, after their
   worker drained and left with its machine: its address does not refuse connections, so only the
   lease proves that they are gone.  They may be without a run for 6 s.  */
static void
test_lasting_tasks_restart_soon_after_a_machine_was_taken_away (void **state)
{
  struct fixture *f = *state;
  assert_true (restart_after_departure (f) < 5500); /* the start takes its time too */
}

/* A shorter lease must not end what runs on a worker that drains for long.  */
static void
test_a_draining_worker_that_answers_keeps_its_runs (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  f->now_ms++;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_join (f, "w2", "10.0.0.2:1");
  for (int i = 0; i < 1000; i++)
    {
      int64_t before_ms = f->now_ms;
      fixture_tick (f, 20);
      struct sent_hold h = fixture_last_hold (f, "w1");
      assert_true (h.deadline_ms == 0 || h.deadline_ms > before_ms + 2000);
      if (i % 50 == 0) /* a hold that waits long is answered each second */
        fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->stop_count, 0);
}

static void
test_a_draining_worker_gets_nothing (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  f->now_ms++;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
  /* A late earlier report must not make it usable again.  */
  r.draining = false;
  r.sequence--;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), -1);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
}

/* A departure names an id only: one that arrives late, or again, from an incarnation that has ended
   must not end the runs of the next one, which go on.  */
static void
test_a_late_departure_does_not_end_runs_of_the_next_incarnation (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  f->now_ms++;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  r.draining = false;
  r.born_ms = 2000;
  r.sequence = 1;
  r.clock_ms = 5;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 1);
  struct worker_lists lists = {
    .mark = fixture_last_hold (f, "w1").mark, .clock_ms = 30, .born_ms = 2000, .complete = true
  };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_join (f, "w2", "10.0.0.2:1");
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_commit (f);
  for (int i = 0; i < 20; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  /* The worker that is said to have left may be gone: it gets no task until it reports.  */
  lists.mark = fixture_last_hold (f, "w1").mark;
  lists.clock_ms = 500;
  const struct reported_run run = fixture_running (&f->starts[0]);
  lists.running = &run;
  lists.running_len = 1;
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  fixture_submit (f, 2, 1, 16, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 17);
  for (size_t i = 1; i < f->start_count; i++)
    assert_string_equal (f->starts[i].worker, "w2");
  r.sequence = 2;
  r.clock_ms = 500;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_submit (f, 3, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 18);
  assert_string_equal (f->starts[17].worker, "w1");
}

/* Guards against two runs of a task: a departure of an earlier incarnation that arrives while the
   present one drains ended the runs of the present one.  It goes on to answer.  */
static void
test_a_late_departure_does_not_end_runs_of_an_incarnation_that_drains (void **state)
{
  struct fixture *f = *state;
  const struct reported_run run = fixture_running (start_on_a_draining_worker (f));
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_commit (f);
  for (int i = 0; i < 200; i++)
    {
      fixture_tick (f, 20);
      if (i == 50) /* the same request, once more */
        dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->stop_count, 0);
  assert_false (TAILQ_EMPTY (&f->workflow.runs));
  /* Its own departure follows.  */
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  for (int i = 0; i < 20; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "w2");
}

/* The departure is called at once, and its tasks start elsewhere as soon as the address refuses. */
static void
test_a_departure_counts_once_the_address_refuses_a_hold (void **state)
{
  struct fixture *f = *state;
  const struct reported_run run = fixture_running (start_on_a_draining_worker (f));
  fixture_refuse_holds (f, "w1"); /* alone, it proves nothing */
  fixture_commit (f);
  assert_false (TAILQ_EMPTY (&f->workflow.runs));
  fixture_tick (f, 300);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  size_t holds = f->hold_count;
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_tick (f, 20);
  assert_true (f->hold_count > holds);
  assert_int_equal (f->start_count, 1);
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  fixture_tick (f, 20);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
}

/* Failure in load test hsgr-rounds-grown hunt-5c05-39 (LOST): a worker's address refused a hold 54
   ms before its departure arrived from another region, and its machine was gone when the next hold
   was sent: its tasks waited for the lease of 10 s.  */
static void
test_a_refusal_just_before_the_departure_confirms_it (void **state)
{
  struct fixture *f = *state;
  for (int open = 0; open < 2; open++)
    {
      if (open)
        {
          fixture_close (state);
          fixture_open (state);
          f = *state;
        }
      start_on_a_draining_worker (f);
      fixture_refuse_holds (f, "w1");
      if (open) /* the next hold is on its way, to a machine that is gone */
        fixture_tick (f, 300);
      dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      if (open)
        dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
      fixture_commit (f);
      fixture_tick (f, 20);
      fixture_tick (f, 300);
      assert_int_equal (f->start_count, 2);
      assert_string_equal (f->starts[1].worker, "w2");
    }
}

/* A worker that left and can't be reached may be one that drains behind a partition: its tasks wait
   for its lease.  Then it counts as gone, and is called no more.  */
static void
test_tasks_of_a_worker_that_left_and_is_silent_wait_for_its_lease (void **state)
{
  struct fixture *f = *state;
  start_on_a_draining_worker (f);
  int64_t left_ms = f->now_ms;
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  while (f->start_count == 1 && f->now_ms < left_ms + 20000)
    {
      fixture_tick (f, 20);
      dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_int_equal (f->start_count, 2);
  assert_true (f->now_ms >= left_ms + FIXTURE_LEASE_MS - 200);
  assert_true (f->now_ms < left_ms + FIXTURE_LEASE_MS + 1000);
  fixture_tick (f, 20);
  size_t holds = 0;
  for (int i = 0; i < 100; i++)
    {
      size_t before = f->hold_count;
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
      for (size_t k = before; k < f->hold_count; k++)
        holds += strcmp (f->holds[k].worker, "w1") == 0;
    }
  assert_int_equal (holds, 0);
}

/* Guards against two runs of a task: the last list of a worker that left came later than the
   departure, by more than a fixed time, and its end was not waited for.  */
static void
test_a_departure_waits_for_the_answer_of_an_open_hold (void **state)
{
  struct fixture *f = *state;
  const struct sent_start *s = start_on_a_draining_worker (f);
  fixture_tick (f, 2000);
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_tick (f, 20);
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_NO_LISTENER, NULL);
  fixture_commit (f);
  for (int i = 0; i < 8; i++)
    fixture_tick (f, 100);
  const struct reported_end end = fixture_ended (s, 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_refuse_holds (f, "w1");
  for (int i = 0; i < 100; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_COMPLETED);
}

/* A new leader has seen no report: one from before the worker drained, delivered late, must not
   make the worker usable.  */
static void
test_a_late_report_to_a_new_leader_does_not_end_a_drain (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  struct worker_report late = fixture_worker (f, "w1", "10.0.0.1:1");
  f->now_ms += 1000;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  f->now_ms += 5000;
  dispatcher_resign (f->dispatcher);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 8);
  fixture_submit (f, 1, 1, 1, 0);
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), 0);
  fixture_tick (f, 1);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
  /* Without a drain, the next report makes it usable.  */
  struct worker_report next = fixture_worker (f, "w1", "10.0.0.1:1");
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &next, &st), 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

/* A new leader does not know who has left: a report that arrives after the departure must not bring
   the worker back, as long as it does not answer.  */
static void
test_a_late_report_of_a_worker_that_left_does_not_bring_it_back (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  struct worker_report late = fixture_worker (f, "w1", "10.0.0.1:1");
  fixture_leave (f, "w1", "10.0.0.1:1");
  fixture_refuse_holds (f, "w1");
  late.sequence += 2;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), -1);
  dispatcher_resign (f->dispatcher);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 8);
  fixture_submit (f, 1, 1, 1, 0);
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), 0);
  for (int i = 0; i < 100; i++)
    {
      fixture_tick (f, 20);
      if (i % 20 == 0)
        dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_UNKNOWN, NULL);
    }
  /* Another worker has its address now.  */
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OTHER_WORKER, NULL);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), -1);
}

/* A restarted worker may be of another kind and pool.  Its list shows the restart first: what the
   earlier incarnation reported must not be used for it.  */
static void
test_a_restarted_worker_gets_nothing_before_its_report (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  f->now_ms += 20;
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  assert_int_equal (f->log_count, 1);
  struct worker_lists lists = {
    .mark = fixture_last_hold (f, "w1").mark, .clock_ms = 30, .born_ms = 2000, .complete = true
  };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  fixture_commit (f);
  for (int i = 0; i < 20; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.born_ms = 2000;
  r.sequence = 1;
  r.clock_ms = 450;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 20);
  /* The list came with the answer to a hold that did not raise the fence.  */
  assert_int_equal (f->start_count, 0);
  lists.mark = fixture_last_hold (f, "w1").mark;
  lists.clock_ms = 480;
  dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

/* The worker starts to drain while the placement is uncommitted.  */
static void
test_a_placement_on_a_worker_that_drains_is_not_started (void **state)
{
  struct fixture *f = *state;
  struct status st;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  f->now_ms += 20;
  dispatcher_tick (f->dispatcher, f->now_ms, 0);
  assert_int_equal (f->log_count, 1);
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.draining = true;
  dispatcher_report (f->dispatcher, f->now_ms, &r, &st);
  fixture_commit (f);
  assert_int_equal (f->start_count, 0);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
}

static void
report_capacity (struct fixture *f, uint32_t millicores, uint32_t memory_mb)
{
  struct status st;
  struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
  r.millicores = millicores;
  r.memory_mb = memory_mb;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
}

/* A worker whose capacity shrinks below what runs there may not refuse what does not fit.  What is
   being stopped there still counts until its end is listed.  */
static void
test_a_shrunken_worker_gets_nothing_beyond_its_capacity (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 3, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  for (int i = 0; i < 3; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  f->now_ms++;
  report_capacity (f, 2000, 64000);
  fixture_submit (f, 2, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  fixture_cancel (f, 1);
  fixture_tick (f, 20);
  for (size_t i = 0; i < f->stop_count; i++)
    dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[i].task, f->stops[i].run,
                            WORKER_CALL_OK);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  struct reported_end ends[3];
  for (int i = 0; i < 3; i++)
    ends[i] = fixture_ended (&f->starts[i], (uint64_t)i + 1, WORKFLOW_STOPPED);
  fixture_tick (f, 100);
  fixture_answer_hold (f, "w1", NULL, 0, ends, 3);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
}

/* The report of the smaller capacity may arrive while the placement is being committed.  */
static void
test_a_placement_on_a_worker_that_shrinks_is_not_started (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  f->now_ms += 20;
  dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  assert_int_equal (f->log_count, 1);
  report_capacity (f, 500, 64000);
  fixture_commit (f);
  assert_int_equal (f->start_count, 0);
  f->now_ms++;
  report_capacity (f, 16000, 64000);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->starts[0].run, 2);
}

static void
test_a_zone_that_is_out_gets_nothing (void **state)
{
  struct fixture *f = *state;
  workflow_command c = { .kind = WORKFLOW_ZONE };
  fixture_join (f, "w1", "10.0.0.1:1");
  c.workflow_command_u.zone = (workflow_zone_change){ .zone = "a", .out = true };
  fixture_change (f, &c);
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
  c.workflow_command_u.zone.out = false;
  fixture_change (f, &c);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

static void
test_a_cancelled_job_is_stopped_until_acknowledged (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_cancel (f, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 1);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[0].task, 1,
                          WORKER_CALL_UNKNOWN);
  fixture_tick (f, 400);
  assert_int_equal (f->stop_count, 2);
  dispatcher_stop_answer (f->dispatcher, f->now_ms, "w1", &f->stops[0].task, 1, WORKER_CALL_OK);
  fixture_tick (f, 400);
  assert_int_equal (f->stop_count, 2);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_STOPPED);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  assert_true (TAILQ_EMPTY (&f->workflow.runs));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
}

/* Guards against a step that never starts because its queue got another name meanwhile.  */
static void
test_a_step_starts_after_its_queue_was_renamed (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 2, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_configure_queue (f, 2, 2, "renamed", "/q/");
  fixture_tick (f, 100);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_int_equal (f->starts[1].task.step, 1);
}

static void
test_without_authority_nothing_is_ordered (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  size_t holds = f->hold_count;
  f->now_ms += 2000;
  dispatcher_tick (f->dispatcher, f->now_ms, 0);
  assert_int_equal (f->log_count, 0);
  assert_int_equal (f->hold_count, holds);
}

/* Guards against a start that is sent when its placement commits after the authority has ended,
   because the process was paused or its disk hung since the last tick.  */
static void
test_a_placement_committed_after_the_authority_is_not_started (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  f->now_ms += DISPATCHER_TICK_MS;
  dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
  dispatcher_tick (f->dispatcher, f->now_ms, 0);
  assert_int_equal (f->log_count, 1);
  f->now_ms += 1000;
  fixture_commit (f);
  assert_int_equal (f->start_count, 0);
  fixture_tick (f, DISPATCHER_TICK_MS);
  assert_int_equal (f->start_count, 1);
  assert_int_equal (f->starts[0].run, 2);
}

/* A run without a placement comes from a late order and is stopped.  */
static void
test_unknown_run_is_stopped (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_tick (f, 20);
  const struct reported_run run = { .task = { .job = 99 }, .run = 1, .checkpoint = "" };
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  assert_int_equal (f->stop_count, 1);
  assert_int_equal (f->stops[0].task.job, 99);
}

static void
test_a_job_fails_after_its_attempts (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_submit (f, 1, 1, 1, 0);
  for (uint64_t attempt = 0; attempt < 2; attempt++)
    {
      for (int i = 0; i < 200 && f->start_count == attempt; i++)
        {
          fixture_tick (f, 20);
          fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
          fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
        }
      assert_int_equal (f->start_count, attempt + 1);
      const struct sent_start *s = &f->starts[attempt];
      fixture_answer_start (f, s, WORKER_CALL_OK);
      fixture_tick (f, 20);
      const struct reported_end end = fixture_ended (s, attempt + 1, WORKFLOW_FAILED);
      fixture_answer_hold (f, s->worker, NULL, 0, &end, 1);
    }
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_FAILED);
}

/* Submits a job of COUNT tasks on W1, the only worker; all that start there end failed.  ENDS
   counts the ends of the worker.  */
static void
fail_job (struct fixture *f, uint64_t id, uint32_t count, uint64_t *ends)
{
  struct reported_end list[16];
  size_t first = f->start_count;
  fixture_submit (f, id, 1, count, 0);
  fixture_tick (f, 20);
  size_t started = f->start_count - first;
  assert_int_equal (started, count);
  for (size_t i = 0; i < started; i++)
    {
      assert_string_equal (f->starts[first + i].worker, "w1");
      fixture_answer_start (f, &f->starts[first + i], WORKER_CALL_OK);
      list[i] = fixture_ended (&f->starts[first + i], ++*ends, WORKFLOW_FAILED);
    }
  fixture_tick (f, 100);
  fixture_answer_hold (f, "w1", NULL, 0, list, started);
}

/* Joins W1, on which one job after the other fails: it is avoided for as long as possible.  */
static void
join_avoided_worker (struct fixture *f)
{
  uint64_t ends = 0;
  fixture_configure (f, 2, 1);
  fixture_join (f, "w1", "10.0.0.1:1");
  for (uint64_t id = 1; id <= 6; id++)
    {
      fixture_tick (f, 17000);
      fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
      fail_job (f, id, 1, &ends);
    }
}

/* Ticks until another start, at most LIMIT_MS; all workers answer with empty lists.  */
static int64_t
time_to_next_start (struct fixture *f, int64_t limit_ms)
{
  int64_t from_ms = f->now_ms;
  size_t before = f->start_count;
  while (f->start_count == before && f->now_ms - from_ms < limit_ms)
    {
      size_t sent = f->hold_count;
      fixture_tick (f, 20);
      for (size_t i = sent; i < f->hold_count; i++)
        fixture_answer_hold (f, f->holds[i].worker, NULL, 0, NULL, 0);
    }
  return f->now_ms - from_ms;
}

/* Guards against a pool that is closed by the tasks of one job that always fail: each of them
   counted as a failure of its worker, and other jobs waited for up to 16 s.  */
static void
test_failures_of_one_job_do_not_keep_others_from_a_worker (void **state)
{
  struct fixture *f = *state;
  uint64_t ends = 0;
  fixture_configure (f, 2, 1);
  fixture_join (f, "w1", "10.0.0.1:1");
  fail_job (f, 1, 16, &ends);
  fixture_submit (f, 2, 1, 1, 0);
  assert_true (time_to_next_start (f, 20000) <= 1100);
}

/* Guards against a lasting task without a run while the only workers that it fits on are avoided,
   idle and sound: for as long as they were avoided, up to 16 s, nothing started there.  */
static void
test_a_task_without_a_choice_starts_on_an_avoided_worker (void **state)
{
  struct fixture *f = *state;
  join_avoided_worker (f);
  fixture_submit (f, 7, 1, 1, WORKFLOW_STEP_LASTING);
  assert_true (time_to_next_start (f, 20000) <= 2000);
  assert_string_equal (f->starts[f->start_count - 1].worker, "w1");
}

/* The other worker is full of short tasks, which end: the task waits for it, as attempts are
   limited and an avoided worker may fail all that it starts.  */
static void
test_a_task_waits_for_a_busy_worker_rather_than_take_an_avoided_one (void **state)
{
  struct fixture *f = *state;
  join_avoided_worker (f);
  fixture_join (f, "w2", "10.0.0.2:1");
  f->start_count = 0;
  fixture_submit (f, 7, 1, 17, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 16);
  struct reported_run running[16];
  for (int i = 0; i < 16; i++)
    {
      assert_string_equal (f->starts[i].worker, "w2");
      fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
      running[i] = fixture_running (&f->starts[i]);
    }
  for (int i = 0; i < 150; i++)
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
      fixture_answer_hold (f, "w2", running, 16, NULL, 0);
    }
  assert_int_equal (f->start_count, 16);
}

/* A lasting task may fail at any time; after long work that says nothing about its worker.  */
static void
test_a_failure_after_long_work_does_not_count_against_the_worker (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 3, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  struct reported_run running[3];
  struct reported_end ends[3];
  assert_int_equal (f->start_count, 3);
  for (int i = 0; i < 3; i++)
    {
      fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
      running[i] = fixture_running (&f->starts[i]);
      ends[i] = fixture_ended (&f->starts[i], (uint64_t)i + 1, WORKFLOW_FAILED);
    }
  for (int i = 0; i < 110; i++)
    {
      fixture_tick (f, 100);
      fixture_answer_hold (f, "w1", running, 3, NULL, 0);
    }
  fixture_tick (f, 100);
  fixture_answer_hold (f, "w1", NULL, 0, ends, 3);
  assert_true (time_to_next_start (f, 20000) <= 40);
  assert_int_equal (f->start_count, 6);
}

/* The worker OLD_ID at ADDRESS crashes and is back under NEW_ID, BORN_MS.  */
static void
crash_worker (struct fixture *f, const char *old_id, const char *new_id, const char *address,
              int64_t born_ms)
{
  struct status st;
  struct worker_report r = fixture_worker (f, new_id, address);
  r.born_ms = born_ms;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  if (strcmp (old_id, new_id) != 0)
    dispatcher_hold_answer (f->dispatcher, f->now_ms, old_id, WORKER_CALL_OTHER_WORKER, NULL);
  fixture_commit (f);
  fixture_tick (f, 300);
  const struct sent_hold h = fixture_last_hold (f, new_id);
  const struct worker_lists lists
      = { .mark = h.mark, .clock_ms = f->now_ms, .born_ms = born_ms, .complete = true };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, new_id, WORKER_CALL_OK, &lists);
  fixture_commit (f);
}

/* A task that crashes its worker was placed again for ever, taking down worker after worker.  */
static void
test_a_task_that_crashes_its_workers_is_given_up (void **state)
{
  struct fixture *f = *state;
  char id[8];
  char old_id[8] = "w0";
  fixture_join (f, "w0", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  for (int i = 1; i < 20; i++)
    {
      size_t before = f->start_count;
      fixture_tick (f, 300);
      if (f->start_count == before)
        break;
      fixture_answer_start (f, &f->starts[before], i % 2 ? WORKER_CALL_OK : WORKER_CALL_UNKNOWN);
      snprintf (id, sizeof id, "w%d", i);
      crash_worker (f, old_id, id, "10.0.0.1:1", 1000 + i);
      snprintf (old_id, sizeof old_id, "%s", id);
    }
  assert_in_range (f->start_count, 3, 5);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_FAILED);
}

/* As above, for a worker that returns under its own id and for a change of leader between.  */
static void
test_a_task_that_crashes_a_restarting_worker_is_given_up (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING);
  for (int i = 1; i < 20; i++)
    {
      size_t before = f->start_count;
      fixture_tick (f, 300);
      if (f->start_count == before)
        break;
      fixture_answer_start (f, &f->starts[before], WORKER_CALL_OK);
      crash_worker (f, "w1", "w1", "10.0.0.1:1", 1000 + i);
      if (i != 2)
        continue;
      struct status st;
      struct worker_report r = fixture_worker (f, "w1", "10.0.0.1:1");
      r.born_ms = 1000 + i;
      dispatcher_become_leader (f->dispatcher, f->now_ms, 8);
      assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
      fixture_tick (f, 300);
      const struct sent_hold h = fixture_last_hold (f, "w1");
      const struct worker_lists lists
          = { .mark = h.mark, .clock_ms = f->now_ms, .born_ms = 1000 + i, .complete = true };
      dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1", WORKER_CALL_OK, &lists);
      fixture_commit (f);
    }
  assert_in_range (f->start_count, 3, 5);
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_FAILED);
}

/* A worker that leaves, again and again, says nothing about its tasks.  */
static void
test_departures_of_workers_do_not_give_a_task_up (void **state)
{
  struct fixture *f = *state;
  char id[8];
  fixture_submit (f, 1, 1, 1, 0);
  for (size_t i = 0; i < 8; i++)
    {
      snprintf (id, sizeof id, "w%zu", i);
      fixture_join (f, id, "10.0.0.1:1");
      fixture_tick (f, 300);
      assert_int_equal (f->start_count, i + 1);
      fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
      struct status st;
      struct worker_report r = fixture_worker (f, id, "10.0.0.1:1");
      r.draining = true;
      r.sequence++;
      assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
      dispatcher_worker_left (f->dispatcher, f->now_ms, id);
      fixture_refuse_holds (f, id);
      fixture_commit (f);
    }
  assert_int_equal (workflow_find_job (&f->workflow, 1)->state, WORKFLOW_JOB_OPEN);
}

/* A task under which a worker crashed must not take others down with it, nor hide among them.  */
static void
test_a_suspected_task_is_started_apart (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  crash_worker (f, "w1", "w2", "10.0.0.1:1", 2000);
  fixture_tick (f, 300);
  assert_int_equal (f->start_count, 2);
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_OK);
  fixture_submit (f, 2, 1, 3, 0);
  fixture_tick (f, 500);
  assert_int_equal (f->start_count, 2);
  fixture_tick (f, 600);
  assert_int_equal (f->start_count, 5);
}

/* The gap that a short task leaves must not go to a lasting task while short tasks wait: on a full
   pool the short ones would starve.  */
static void
test_short_tasks_go_before_lasting_ones (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_submit (f, 1, 1, 15, WORKFLOW_STEP_LASTING);
  fixture_submit (f, 2, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 16);
  fixture_submit (f, 3, 1, 1, WORKFLOW_STEP_LASTING);
  fixture_submit (f, 4, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 16);
  size_t at = 0;
  while (at < f->start_count && f->starts[at].task.job != 2)
    at++;
  assert_true (at < f->start_count);
  const struct sent_start *s = &f->starts[at];
  fixture_answer_start (f, s, WORKER_CALL_OK);
  fixture_tick (f, 20);
  const struct reported_end end = fixture_ended (s, 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 17);
  assert_int_equal (f->starts[16].task.job, 4);
}

static void
submit_sized (struct fixture *f, uint64_t id, uint32_t count, uint32_t millicores, uint32_t flags)
{
  workflow_step step = { .count = count,
                         .millicores = millicores,
                         .memory_mb = 100,
                         .estimate_ms = 500,
                         .flags = flags,
                         .required_label = "",
                         .data_rack = "",
                         .image = "" };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = id;
  spec->queue = "queue";
  spec->payload = "payload";
  spec->steps.steps_val = &step;
  spec->steps.steps_len = 1;
  assert_true (fixture_change (f, &c));
}

/* Failure in load test kmbpu-sched-grown scale-1, seed 743500850570: a worker left, its lasting
   tasks needed five cores each, and short tasks took every gap of one or two cores for 12 s.  */
static void
test_a_lasting_task_restarts_beside_short_ones (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  submit_sized (f, 1, 1, 5000, WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_leave (f, "w1", "10.0.0.1:1");
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  fixture_join (f, "w2", "10.0.0.2:1");
  submit_sized (f, 2, 60, 1000, 0);
  f->start_count = 0;
  /* Short tasks take the capacity first: they precede lasting ones that haven't waited long.  */
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 16);
  size_t ended = 0;
  bool restarted = false;
  for (int round = 0; round < 30 && !restarted; round++)
    {
      struct reported_run running[FIXTURE_MAX];
      size_t count = 0;
      const struct reported_end end = fixture_ended (&f->starts[ended], ended + 1, WORKFLOW_DONE);
      ended++;
      for (size_t i = ended; i < f->start_count; i++)
        {
          fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
          running[count++] = fixture_running (&f->starts[i]);
        }
      fixture_tick (f, 100);
      fixture_answer_hold (f, "w2", running, count, &end, 1);
      fixture_tick (f, 20);
      for (size_t i = 0; i < f->start_count; i++)
        restarted = restarted || f->starts[i].task.job == 1;
    }
  assert_true (restarted);
}

/* A job too large for every worker would wait until its deadline.  After a change of leader not all
   workers are known, which must not cause a refusal.  */
static void
test_a_job_that_fits_nowhere_is_known (void **state)
{
  struct fixture *f = *state;
  workflow_step step = { .count = 1, .millicores = 17000, .required_label = "" };
  workflow_spec spec = { .steps = { 1, &step } };
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (dispatcher_can_ever_fit (f->dispatcher, &spec, "pool"));
  f->now_ms += 6000;
  fixture_tick (f, 20);
  assert_false (dispatcher_can_ever_fit (f->dispatcher, &spec, "pool"));
  assert_true (dispatcher_can_ever_fit (f->dispatcher, &spec, "other"));
  step.millicores = 16000;
  assert_true (dispatcher_can_ever_fit (f->dispatcher, &spec, "pool"));
  step.required_label = "none";
  assert_false (dispatcher_can_ever_fit (f->dispatcher, &spec, "pool"));
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

#define MANY_WORKERS 350
/* Holds that a leader with 0.4 of a processor can send beside its starts.  */
#define MAX_HOLDS_PER_S 2000

/* Joins MANY_WORKERS workers that have answered their first hold.  */
static void
join_many (struct fixture *f)
{
  char id[16];
  char address[32];
  for (int i = 0; i < MANY_WORKERS; i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      snprintf (address, sizeof address, "10.0.%d.%d:1", i / 250, i % 250);
      fixture_join (f, id, address);
    }
  fixture_tick (f, 100);
  for (int i = 0; i < MANY_WORKERS; i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      fixture_answer_hold (f, id, NULL, 0, NULL, 0);
    }
}

/* With several ends a second on each of many workers, every hold is answered at once: the holds
   alone must not use up the leader's processor.  */
static void
test_hold_rate_with_many_workers_is_bounded (void **state)
{
  struct fixture *f = *state;
  char id[16];
  join_many (f);
  size_t before = f->hold_count;
  for (int ms = 0; ms < 1000; ms += 20)
    {
      size_t sent = f->hold_count;
      fixture_tick (f, 20);
      for (size_t k = sent; k < f->hold_count; k++)
        {
          snprintf (id, sizeof id, "%s", f->holds[k % FIXTURE_MAX].worker);
          fixture_answer_hold (f, id, NULL, 0, NULL, 0);
        }
    }
  assert_true (f->hold_count - before >= MANY_WORKERS);
  if (f->hold_count - before > MAX_HOLDS_PER_S)
    fail_msg ("%zu holds in a second", f->hold_count - before);
}

/* Time until the next hold to WORKER, which has just answered one.  */
static int64_t
hold_gap_of (struct fixture *f, const char *worker)
{
  int64_t from_ms = f->now_ms;
  while (f->now_ms - from_ms < 1000)
    {
      size_t sent = f->hold_count;
      fixture_tick (f, 20);
      for (size_t k = sent; k < f->hold_count; k++)
        if (strcmp (f->holds[k % FIXTURE_MAX].worker, worker) == 0)
          return f->now_ms - from_ms;
    }
  fail_msg ("no hold was sent to %s for a second", worker);
  return 0;
}

/* With hundreds of workers the gap between two holds was half a second, and a step of a short job,
   which ends with the last of a dozen tasks, was noticed that much late: more than its objective
   leaves.  Workers that run short tasks are asked again at once, the others still take turns.  */
static void
test_ends_of_short_tasks_are_noticed_at_once_among_many_workers (void **state)
{
  struct fixture *f = *state;
  join_many (f);
  int64_t joined_ms = f->now_ms;
  fixture_submit (f, 1, 1, 1, 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  const char *busy = f->starts[0].worker;
  const char *idle = strcmp (busy, "w1") == 0 ? "w2" : "w1";
  const struct reported_run running = fixture_running (&f->starts[0]);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  assert_true (hold_gap_of (f, busy) <= 60);
  fixture_answer_hold (f, busy, &running, 1, NULL, 0);
  assert_true (hold_gap_of (f, busy) <= 60);
  hold_gap_of (f, idle);
  assert_true (f->now_ms - joined_ms >= 180);
}

/* A new leader that asks all workers at once reads their lists while the voters wait for its
   heartbeats, and loses the leadership.  */
static void
test_a_new_leader_asks_few_workers_at_a_time (void **state)
{
  struct fixture *f = *state;
  char id[16];
  char address[32];
  struct status st;
  for (int i = 0; i < MANY_WORKERS; i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      snprintf (address, sizeof address, "10.0.%d.%d:1", i / 250, i % 250);
      const struct worker_report r = fixture_worker (f, id, address);
      assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
    }
  for (int ms = 0; ms < 1000; ms += 20)
    {
      size_t before = f->hold_count;
      fixture_tick (f, 20);
      assert_true (f->hold_count - before <= 10);
    }
  assert_true (f->hold_count >= MANY_WORKERS);
}

static size_t
holds_in_50_ticks (struct fixture *f, int64_t tick_ms)
{
  size_t before = f->hold_count;
  for (int i = 0; i < 50; i++)
    {
      size_t sent = f->hold_count;
      fixture_tick (f, tick_ms);
      if (f->hold_count > sent)
        fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
    }
  return f->hold_count - before;
}

/* An overloaded leader adds to its own load: each hold brings an answer to read.  */
static void
test_holds_are_rarer_while_ticks_are_late (void **state)
{
  struct fixture *f = *state;
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_tick (f, 100);
  fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
  assert_true (holds_in_50_ticks (f, 20) >= 20);
  holds_in_50_ticks (f, 220);
  assert_true (holds_in_50_ticks (f, 220) <= 25);
  holds_in_50_ticks (f, 20);
  assert_true (holds_in_50_ticks (f, 20) >= 20);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_ends_are_acknowledged_after_their_commit),
          TEST (test_hold_rate_with_many_workers_is_bounded),
          TEST (test_ends_of_short_tasks_are_noticed_at_once_among_many_workers),
          TEST (test_an_end_listed_after_a_departure_is_taken),
          TEST (test_a_task_of_a_worker_that_left_waits_for_its_last_list),
          TEST (test_holds_are_rarer_while_ticks_are_late),
          TEST (test_a_new_leader_asks_few_workers_at_a_time),
          TEST (test_an_unanswered_start_is_settled_before_the_next),
          TEST (test_an_unanswered_start_that_is_listed_runs_on),
          TEST (test_runs_of_a_silent_worker_lapse_once_and_in_time),
          TEST (test_leases_that_tasks_wait_for_are_known),
          TEST (test_leadership_is_kept_while_workers_drain),
          TEST (test_a_restart_on_a_lost_worker_moves_on_at_once),
          TEST (test_a_new_leader_learns_before_it_starts),
          TEST (test_a_new_leader_waits_for_leases_it_did_not_give),
          TEST (test_an_answer_to_a_hold_of_an_earlier_term_proves_nothing),
          TEST (test_every_label_of_a_worker_counts),
          TEST (test_a_job_has_not_started_before_a_worker_shows_it),
          TEST (test_a_list_shows_that_a_job_has_started),
          TEST (test_a_late_done_end_is_taken),
          TEST (test_a_lost_late_end_does_not_block_the_task),
          TEST (test_a_late_done_end_stops_the_next_start),
          TEST (test_a_restarted_worker_has_lost_its_runs),
          TEST (test_a_start_accepted_after_a_restart_is_not_repeated),
          TEST (test_a_silent_worker_gets_no_acknowledgement),
          TEST (test_an_acknowledgement_is_carried_until_it_was_answered),
          TEST (test_orders_to_a_restarted_worker_have_a_higher_fence),
          TEST (test_an_incarnation_that_an_acknowledgement_may_have_reached_is_probed),
          TEST (test_short_tasks_probe_a_worker_when_they_must),
          TEST (test_an_end_of_an_earlier_incarnation_acknowledges_nothing),
          TEST (test_a_lasting_task_needs_no_probe),
          TEST (test_a_lost_acknowledgement_concerns_restarts_for_seconds_only),
          TEST (test_a_new_leader_probes_a_worker_that_lost_its_runs),
          TEST (test_a_stop_acknowledged_before_a_restart_proves_nothing),
          TEST (test_a_claimed_address_ends_a_worker_only_once_the_address_says_so),
          TEST (test_a_false_claim_of_an_address_changes_nothing),
          TEST (test_reports_of_another_writer_are_refused),
          TEST (test_a_known_worker_keeps_a_pool_that_is_no_longer_configured),
          TEST (test_a_draining_worker_gets_nothing),
          TEST (test_lasting_tasks_restart_soon_after_a_machine_was_taken_away),
          TEST (test_a_draining_worker_that_answers_keeps_its_runs),
          TEST (test_a_late_departure_does_not_end_runs_of_the_next_incarnation),
          TEST (test_a_late_departure_does_not_end_runs_of_an_incarnation_that_drains),
          TEST (test_a_departure_counts_once_the_address_refuses_a_hold),
          TEST (test_a_refusal_just_before_the_departure_confirms_it),
          TEST (test_tasks_of_a_worker_that_left_and_is_silent_wait_for_its_lease),
          TEST (test_a_departure_waits_for_the_answer_of_an_open_hold),
          TEST (test_a_late_report_to_a_new_leader_does_not_end_a_drain),
          TEST (test_a_late_report_of_a_worker_that_left_does_not_bring_it_back),
          TEST (test_a_restarted_worker_gets_nothing_before_its_report),
          TEST (test_a_placement_on_a_worker_that_drains_is_not_started),
          TEST (test_a_shrunken_worker_gets_nothing_beyond_its_capacity),
          TEST (test_a_placement_on_a_worker_that_shrinks_is_not_started),
          TEST (test_a_zone_that_is_out_gets_nothing),
          TEST (test_a_cancelled_job_is_stopped_until_acknowledged),
          TEST (test_a_step_starts_after_its_queue_was_renamed),
          TEST (test_without_authority_nothing_is_ordered),
          TEST (test_a_placement_committed_after_the_authority_is_not_started),
          TEST (test_unknown_run_is_stopped),
          TEST (test_a_lasting_task_restarts_beside_short_ones),
          TEST (test_a_job_that_fits_nowhere_is_known),
          TEST (test_short_tasks_go_before_lasting_ones),
          TEST (test_a_task_that_crashes_its_workers_is_given_up),
          TEST (test_a_task_that_crashes_a_restarting_worker_is_given_up),
          TEST (test_departures_of_workers_do_not_give_a_task_up),
          TEST (test_a_suspected_task_is_started_apart),
          TEST (test_failures_of_one_job_do_not_keep_others_from_a_worker),
          TEST (test_a_task_without_a_choice_starts_on_an_avoided_worker),
          TEST (test_a_task_waits_for_a_busy_worker_rather_than_take_an_avoided_one),
          TEST (test_a_failure_after_long_work_does_not_count_against_the_worker),
          TEST (test_a_job_fails_after_its_attempts) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
