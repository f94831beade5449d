/* Guards against tasks without a run for longer than they may be, and against two runs of a task,
   when workers drain and leave while the leader changes.  */
#define FIXTURE_LEASE_MS 10000
#include "workflow_fixture.h"

#define DRAIN_MS 3500    /* from the acknowledgement of a drain to the departure */
#define ELECTION_MS 1500 /* without a leader */
#define RESTART_MS 500   /* of a task whose worker is known to be gone */
#define MOST_WITHOUT_RUN_MS 9000

#define W1 "10.0.0.1:1"
#define W2 "10.0.0.2:1"

/* What changes the leader.  */
enum change
{
  CHANGE_KILLED,  /* no leader for the time of an election */
  CHANGE_STOPPED, /* the same, and it leads again afterwards */
  CHANGE_HANDED_OVER,
  CHANGES,
};

static void
report (struct fixture *f, const char *id, const char *address, int64_t born_ms, bool draining)
{
  struct status st;
  struct worker_report r = fixture_worker (f, id, address);
  f->now_ms++;
  r.born_ms = born_ms;
  r.draining = draining;
  r.sequence = (uint64_t)f->now_ms;
  r.clock_ms = f->now_ms;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
}

/* Without what it proposed and was not committed.  */
static void
lead_again (struct fixture *f)
{
  static uint64_t term = 8;
  for (size_t i = 0; i < f->log_count; i++)
    buffer_close (&f->log[i].entry);
  f->log_count = 0;
  dispatcher_become_leader (f->dispatcher, f->now_ms, ++term * DISPATCHER_FENCES);
  dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
}

static void
change_leader (struct fixture *f, enum change change)
{
  dispatcher_resign (f->dispatcher);
  if (change != CHANGE_HANDED_OVER)
    f->now_ms += ELECTION_MS;
  lead_again (f);
  if (change == CHANGE_STOPPED)
    {
      fixture_tick (f, 20);
      dispatcher_resign (f->dispatcher);
      f->now_ms += ELECTION_MS;
      lead_again (f);
    }
}

/* Ticks for MS; W2 answers its holds.  */
static void
run_for (struct fixture *f, int64_t ms)
{
  for (int64_t end_ms = f->now_ms + ms; f->now_ms < end_ms;)
    {
      size_t before = f->hold_count;
      fixture_tick (f, 20);
      for (size_t i = before; i < f->hold_count; i++)
        if (strcmp (f->holds[i].worker, "w2") == 0)
          fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
}

/* The run of a lasting task on W1 that is listed, with W2 idle.  */
static struct reported_run
start_lasting (struct fixture *f)
{
  fixture_join (f, "w1", W1);
  assert_true (fixture_submit (f, 1, 1, 1, WORKFLOW_STEP_LASTING));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_tick (f, 20);
  const struct reported_run run = fixture_running (&f->starts[0]);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  fixture_join (f, "w2", W2);
  return run;
}

static bool
awaits (struct fixture *f)
{
  bool is_proposed;
  return dispatcher_awaits_drain (f->dispatcher, "w1", &is_proposed);
}

/* W1 reports that it drains, which is committed, and serves until it leaves.  */
static struct reported_run
drain (struct fixture *f)
{
  const struct reported_run run = start_lasting (f);
  report (f, "w1", W1, 1000, true);
  assert_true (awaits (f));
  fixture_commit (f);
  assert_false (awaits (f));
  for (int i = 0; i < DRAIN_MS / 500; i++)
    {
      run_for (f, 500);
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
    }
  return run;
}

/* Ticks until the task starts again on W2; W1 refuses its holds, or is silent.  Returns the time
   that it takes.  */
static int64_t
await_restart (struct fixture *f, bool refuses)
{
  int64_t from_ms = f->now_ms;
  size_t starts = f->start_count;
  size_t answered = f->hold_count;
  fixture_join (f, "w2", W2);
  while (f->start_count == starts && f->now_ms < from_ms + 20000)
    {
      run_for (f, 20);
      for (; answered < f->hold_count; answered++)
        if (strcmp (f->holds[answered].worker, "w1") == 0)
          dispatcher_hold_answer (f->dispatcher, f->now_ms, "w1",
                                  refuses ? WORKER_CALL_NO_LISTENER : WORKER_CALL_UNKNOWN, NULL);
      fixture_commit (f);
    }
  assert_int_equal (f->start_count, starts + 1);
  assert_string_equal (f->starts[starts].worker, "w2");
  return f->now_ms - from_ms;
}

/* Guards against lasting tasks without a run: the leader was killed while a worker drained.  The
   next one took its departure for one of an earlier incarnation and waited for the longest lease.
 */
static void
test_the_next_leader_knows_who_drains (void **state)
{
  for (enum change c = 0; c < CHANGES; c++)
    {
      struct fixture *f = fixture_of_round (state, c);
      drain (f);
      change_leader (f, c);
      dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      fixture_commit (f);
      assert_true (await_restart (f, true) <= RESTART_MS);
    }
}

/* The same where the departure was acknowledged before: it isn't sent again.  */
static void
test_the_next_leader_knows_who_has_left (void **state)
{
  for (enum change c = 0; c < CHANGES; c++)
    {
      struct fixture *f = fixture_of_round (state, c);
      drain (f);
      dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      assert_true (awaits (f));
      fixture_commit (f);
      assert_false (awaits (f));
      change_leader (f, c);
      assert_true (await_restart (f, true) <= RESTART_MS);
    }
}

/* The leader changes before the drain, or the departure, is committed: neither was acknowledged, so
   the worker sends it again.  */
static void
test_what_was_not_acknowledged_is_sent_to_the_next_leader (void **state)
{
  for (enum change c = 0; c < CHANGES; c++)
    {
      struct fixture *f = fixture_of_round (state, c);
      const struct reported_run run = start_lasting (f);
      report (f, "w1", W1, 1000, true);
      assert_true (awaits (f));
      change_leader (f, c);
      report (f, "w1", W1, 1000, true);
      assert_true (awaits (f));
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
      fixture_tick (f, 20);
      assert_false (awaits (f));
      dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      assert_true (awaits (f));
      change_leader (f, c);
      dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      fixture_commit (f);
      assert_true (await_restart (f, true) <= RESTART_MS);
    }
}

/* A machine that is gone with its worker refuses nothing.  The task must wait for every lease that
   a leader has granted, and no longer than it may be without a run.  */
static void
test_the_lease_of_a_worker_that_drains_is_short_for_the_next_leader (void **state)
{
  for (int left = 0; left < 2; left++)
    {
      struct fixture *f = fixture_of_round (state, left);
      int64_t deadline_ms = 0;
      drain (f);
      if (left)
        dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      fixture_commit (f);
      int64_t ended_ms = f->now_ms;
      change_leader (f, CHANGE_KILLED);
      await_restart (f, false);
      for (size_t i = 0; i < f->hold_count; i++)
        if (strcmp (f->holds[i].worker, "w1") == 0 && f->holds[i].deadline_ms > deadline_ms)
          deadline_ms = f->holds[i].deadline_ms;
      assert_true (deadline_ms > ended_ms);
      assert_true (f->now_ms >= deadline_ms);
      assert_true (f->now_ms - ended_ms < MOST_WITHOUT_RUN_MS);
    }
}

/* Guards against two runs: the worker restarted, does not drain any more and has a run.  A
   departure of its earlier incarnation comes late, to a new leader, and the address of that one
   refuses.  */
static void
test_the_drain_of_an_earlier_incarnation_ends_no_run (void **state)
{
  for (int late_report = 0; late_report < 2; late_report++)
    {
      struct fixture *f = fixture_of_round (state, late_report);
      struct status st;
      const struct reported_run run = drain (f);
      struct worker_report late = fixture_worker (f, "w1", W1);
      late.draining = true;
      for (int i = 0; i < 30; i++) /* w2 is silent, so that the task stays on w1 */
        {
          fixture_tick (f, 100);
          fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
        }
      report (f, "w1", "10.0.0.3:1", 2000, false);
      for (int i = 0; i < 50 && f->start_count == 1; i++)
        {
          fixture_tick (f, 20);
          fixture_answer_as (f, "w1", 2000, NULL, 0, NULL, 0);
        }
      assert_int_equal (f->start_count, 2);
      assert_string_equal (f->starts[1].worker, "w1");
      fixture_answer_start (f, &f->starts[1], WORKER_CALL_OK);
      change_leader (f, CHANGE_KILLED);
      if (late_report)
        assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), 0);
      fixture_tick (f, 20);
      dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
      fixture_refuse_holds (f, "w1");
      fixture_commit (f);
      fixture_join (f, "w2", W2);
      run_for (f, 5000);
      assert_int_equal (f->start_count, 2);
    }
}

/* A report from before the drain comes late, to a leader that knows only from the log: the worker
   must get no task.  */
static void
test_a_late_report_does_not_end_a_drain (void **state)
{
  struct fixture *f = *state;
  const struct reported_run run = drain (f);
  struct status st;
  struct worker_report late = fixture_worker (f, "w1", W1);
  change_leader (f, CHANGE_KILLED);
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &late, &st), 0);
  fixture_tick (f, 20);
  fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
  assert_true (fixture_submit (f, 2, 1, 1, 0));
  for (int i = 0; i < 10; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  fixture_join (f, "w2", W2);
  run_for (f, 200);
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "w2");
}

/* A departure that an answer refuted must not count again for the next leader.  */
static void
test_a_refuted_departure_is_taken_back (void **state)
{
  struct fixture *f = *state;
  const struct reported_run run = drain (f);
  dispatcher_worker_left (f->dispatcher, f->now_ms, "w1");
  fixture_commit (f);
  assert_true (run_workers_find (&f->workflow.run_workers, "w1")->drain->left);
  for (int i = 0; i < 30; i++)
    {
      run_for (f, 100);
      fixture_answer_hold (f, "w1", &run, 1, NULL, 0);
    }
  run_for (f, 100);
  assert_false (run_workers_find (&f->workflow.run_workers, "w1")->drain->left);
  change_leader (f, CHANGE_KILLED);
  fixture_tick (f, 20);
  fixture_refuse_holds (f, "w1");
  fixture_commit (f);
  assert_false (TAILQ_EMPTY (&f->workflow.runs));
}

/* Each heartbeat of a worker says that it drains: one entry of the log is enough, and a lost one is
   proposed again.  */
static void
test_a_drain_is_proposed_until_it_is_committed_and_no_longer (void **state)
{
  struct fixture *f = *state;
  start_lasting (f);
  report (f, "w1", W1, 1000, true);
  report (f, "w1", W1, 1000, true);
  assert_int_equal (f->log_count, 1);
  buffer_close (&f->log[0].entry);
  f->log_count = 0;
  dispatcher_proposed (f->dispatcher, f->now_ms, f->log[0].token, PROPOSAL_LOST);
  report (f, "w1", W1, 1000, true);
  assert_int_equal (f->log_count, 1);
  fixture_commit (f);
  assert_false (awaits (f));
  report (f, "w1", W1, 1000, true);
  assert_int_equal (f->log_count, 0);
}

/* The log may refuse a record because there are too many: the worker is acknowledged without one.
 */
static void
test_a_refused_drain_is_not_proposed_again (void **state)
{
  struct fixture *f = *state;
  start_lasting (f);
  report (f, "w1", W1, 1000, true);
  buffer_close (&f->log[0].entry);
  f->log_count = 0;
  dispatcher_proposed (f->dispatcher, f->now_ms, f->log[0].token, PROPOSAL_REFUSED);
  assert_false (awaits (f));
  report (f, "w1", W1, 1000, true);
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  assert_int_equal (f->log_count, 0);
}

/* A worker without runs, or one that this leader has not reached, must not delay its
   acknowledgement until it gives up.  */
static void
test_a_drain_that_is_not_recorded_is_not_proposed (void **state)
{
  struct fixture *f = *state;
  bool is_proposed;
  fixture_join (f, "w1", W1);
  report (f, "w1", W1, 1000, true);
  assert_false (dispatcher_awaits_drain (f->dispatcher, "w1", &is_proposed));
  assert_false (dispatcher_awaits_drain (f->dispatcher, "unknown", &is_proposed));
  assert_int_equal (f->log_count, 0);
  fixture_close (state);
  fixture_open (state);
  f = *state;
  start_lasting (f);
  change_leader (f, CHANGE_KILLED);
  report (f, "w1", W1, 1000, true);
  assert_true (dispatcher_awaits_drain (f->dispatcher, "w1", &is_proposed));
  assert_false (is_proposed);
}

static bool
place (struct fixture *f, uint32_t index, uint32_t run, const char *worker)
{
  workflow_command c = { .kind = WORKFLOW_PLACE };
  c.workflow_command_u.place = (workflow_place){ .task = { .job = 1, .index = index },
                                                 .run = run,
                                                 .worker = (char *)(uintptr_t)worker };
  return fixture_change (f, &c);
}

static void
add_drain (struct fixture *f, const char *worker, int64_t born_ms)
{
  workflow_command c = { .kind = WORKFLOW_DRAIN };
  c.workflow_command_u.drain = (workflow_drain){ .worker = (char *)(uintptr_t)worker,
                                                 .born_ms = born_ms,
                                                 .address = W1,
                                                 .zone = "a",
                                                 .pool = "pool" };
  fixture_change (f, &c);
}

static int64_t
born_of_drain (const struct workflow *w, const char *worker)
{
  const struct run_worker *on = run_workers_find (&w->run_workers, worker);
  return on && on->drain ? on->drain->born_ms : 0;
}

/* A record that stays behind would end runs of a later incarnation, or fill the snapshot.  */
static void
test_a_record_ends_with_the_runs_of_its_incarnation (void **state)
{
  struct fixture *f = *state;
  workflow_command end = { .kind = WORKFLOW_END };
  fixture_submit (f, 1, 1, 3, 0);
  add_drain (f, "w1", 5);
  assert_int_equal (born_of_drain (&f->workflow, "w1"), 0); /* no runs */
  assert_true (place (f, 0, 1, "w1"));
  assert_true (place (f, 1, 1, "w1"));
  add_drain (f, "w1", 5);
  add_drain (f, "w1", 4);
  assert_int_equal (born_of_drain (&f->workflow, "w1"), 5);
  add_drain (f, "w1", 6);
  assert_int_equal (born_of_drain (&f->workflow, "w1"), 6);
  assert_true (place (f, 2, 1, "w1"));
  assert_int_equal (born_of_drain (&f->workflow, "w1"), 0);
  add_drain (f, "w1", 7);
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_int_equal (born_of_drain (&f->workflow, "w1"), 7);
      end.workflow_command_u.end = (workflow_end){
        .task = { .job = 1, .index = i }, .run = 1, .outcome = WORKFLOW_DONE, .checkpoint = ""
      };
      assert_true (fixture_change (f, &end));
    }
  assert_null (run_workers_find (&f->workflow.run_workers, "w1"));
  assert_int_equal (f->workflow.run_workers.draining_count, 0);
}

/* The records are part of a snapshot, and there are no more than one can hold.  */
static void
test_records_survive_a_snapshot_and_are_bounded (void **state)
{
  struct fixture *f = *state;
  struct buffer image;
  struct workflow other;
  struct status st;
  char name[16];
  fixture_submit (f, 1, 1, WORKFLOW_MAX_DRAINING + 1, 0);
  for (uint32_t i = 0; i <= WORKFLOW_MAX_DRAINING; i++)
    {
      snprintf (name, sizeof name, "w%u", i);
      assert_true (place (f, i, 1, name));
      add_drain (f, name, 5 + i);
    }
  assert_int_equal (f->workflow.run_workers.draining_count, WORKFLOW_MAX_DRAINING);
  assert_int_equal (born_of_drain (&f->workflow, name), 0);
  buffer_init (&image);
  workflow_init (&other);
  assert_true (f->workflow.machine.ops->save (&f->workflow.machine, &image));
  assert_int_equal (other.machine.ops->load (&other.machine, image.data, image.len, &st), 0);
  assert_int_equal (other.run_workers.draining_count, WORKFLOW_MAX_DRAINING);
  assert_int_equal (born_of_drain (&other, "w7"), 12);
  workflow_close (&other);
  buffer_close (&image);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_the_next_leader_knows_who_drains),
          TEST (test_the_next_leader_knows_who_has_left),
          TEST (test_what_was_not_acknowledged_is_sent_to_the_next_leader),
          TEST (test_the_lease_of_a_worker_that_drains_is_short_for_the_next_leader),
          TEST (test_the_drain_of_an_earlier_incarnation_ends_no_run),
          TEST (test_a_late_report_does_not_end_a_drain),
          TEST (test_a_refuted_departure_is_taken_back),
          TEST (test_a_drain_is_proposed_until_it_is_committed_and_no_longer),
          TEST (test_a_refused_drain_is_not_proposed_again),
          TEST (test_a_drain_that_is_not_recorded_is_not_proposed),
          TEST (test_a_record_ends_with_the_runs_of_its_incarnation),
          TEST (test_records_survive_a_snapshot_and_are_bounded) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
