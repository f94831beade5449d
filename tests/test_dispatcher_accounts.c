/* Guards against starts that bring what an account has running above its cap, with orders that have
   no answer, lost workers and changes of leader, and against an account whose flood keeps the
   others from a full pool.  */
#include "account_fixture.h"

#define CAP 3000 /* millicores */

static const struct fixture_account capped[]
    = { { "alder", 100, CAP, false }, { "birch", 100, 0, false } };

static uint64_t
running (const struct fixture *f, const char *name)
{
  return accounts_find (&f->workflow.accounts, name)->running.millicores;
}

static void
test_a_wide_job_runs_in_waves_within_the_cap (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (fixture_submit_as (f, "alder", 1, 8, 1000, 0));
  assert_true (fixture_submit_as (f, "birch", 2, 8, 1000, 0));
  for (int i = 0; i < 5; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 11);
  assert_int_equal (running (f, "alder"), CAP);
  assert_int_equal (running (f, "birch"), 8000);
  for (uint64_t done = 0; done < 5; done++)
    {
      const struct sent_start *first = NULL;
      for (size_t i = done; i < f->start_count && !first; i++)
        if (f->starts[i].task.job == 1 && f->starts[i].task.index == done)
          first = &f->starts[i];
      assert_non_null (first);
      fixture_answer_start (f, first, WORKER_CALL_OK);
      const struct reported_end end = fixture_ended (first, done + 1, WORKFLOW_DONE);
      fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
      fixture_tick (f, 100);
      assert_int_equal (f->start_count, 12 + done);
      assert_int_equal (running (f, "alder"), CAP);
    }
}

/* The order may have been executed, or be executed later.  */
static void
test_a_start_without_an_answer_counts (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_join (f, "w2", "10.0.0.2:1");
  assert_true (fixture_submit_as (f, "alder", 1, 4, 1000, 0));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  for (size_t i = 0; i < 3; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_UNKNOWN);
  for (int i = 0; i < 20; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  assert_int_equal (running (f, "alder"), CAP);
}

/* Placements of an earlier leader, answered or not, are in the log.  */
static void
test_a_new_leader_counts_what_earlier_ones_placed (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (fixture_submit_as (f, "alder", 1, 6, 1000, 0));
  fixture_tick (f, 20);
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  fixture_answer_start (f, &f->starts[1], WORKER_CALL_UNKNOWN);
  assert_int_equal (f->start_count, 3);
  for (uint64_t term = 8; term < 11; term++)
    {
      dispatcher_resign (f->dispatcher);
      assert_int_equal (running (f, "alder"), 0);
      dispatcher_become_leader (f->dispatcher, f->now_ms, term * DISPATCHER_FENCES);
      assert_int_equal (running (f, "alder"), CAP);
      fixture_join (f, "w2", "10.0.0.2:1");
      fixture_tick (f, 20);
      assert_int_equal (f->start_count, 3);
    }
}

/* A silent worker goes on until its lease expires.  */
static void
test_runs_of_a_silent_worker_count_until_they_lapse (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (fixture_submit_as (f, "alder", 1, 4, 1000, 0));
  fixture_tick (f, 20);
  for (size_t i = 0; i < 3; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  fixture_join (f, "w2", "10.0.0.2:1");
  int64_t silent_ms = f->now_ms;
  while (f->start_count == 3 && f->now_ms < silent_ms + 20000)
    {
      if (f->now_ms < silent_ms + FIXTURE_LEASE_MS)
        assert_int_equal (running (f, "alder"), CAP);
      fixture_tick (f, 20);
      if (f->hold_count > 0 && strcmp (f->holds[f->hold_count - 1].worker, "w2") == 0)
        fixture_answer_hold (f, "w2", NULL, 0, NULL, 0);
    }
  assert_true (f->now_ms >= silent_ms + FIXTURE_LEASE_MS);
  assert_int_equal (f->start_count, 6);
  assert_int_equal (running (f, "alder"), CAP);
}

/* What is being stopped runs on for a while.  */
static void
test_a_run_counts_until_its_stop_is_confirmed (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (fixture_submit_as (f, "alder", 1, 3, 1000, 0));
  assert_true (fixture_submit_as (f, "alder", 2, 3, 1000, 0));
  fixture_tick (f, 20);
  for (size_t i = 0; i < 3; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  fixture_cancel (f, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->stop_count, 3);
  assert_int_equal (f->start_count, 3);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_STOPPED);
  fixture_answer_hold (f, "w1", NULL, 0, &end, 1);
  fixture_tick (f, 20);
  assert_true (running (f, "alder") <= CAP);
}

static void
test_a_lowered_cap_stops_nothing_and_starts_nothing (void **state)
{
  struct fixture *f = *state;
  const struct fixture_account lowered[]
      = { { "alder", 100, 500, false }, { "birch", 100, 0, false } };
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  assert_true (fixture_submit_as (f, "alder", 1, 6, 1000, 0));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  assert_true (fixture_configure_accounts (f, 3, lowered, 2, false));
  for (size_t i = 0; i < 3; i++)
    fixture_answer_start (f, &f->starts[i], WORKER_CALL_OK);
  for (int i = 0; i < 5; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  assert_int_equal (f->stop_count, 0);
  struct reported_end ends[3];
  for (size_t i = 0; i < 3; i++)
    ends[i] = fixture_ended (&f->starts[i], i + 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "w1", NULL, 0, ends, 3);
  fixture_tick (f, 100);
  /* A task larger than the cap was promised to run: alone.  */
  assert_int_equal (f->start_count, 4);
  assert_int_equal (running (f, "alder"), 1000);
}

static void
test_a_task_that_can_never_fit_the_cap_is_known_at_once (void **state)
{
  struct fixture *f = *state;
  workflow_step steps[] = { { .count = 100, .millicores = 1000 }, { .count = 1 } };
  workflow_spec spec = { .steps.steps_val = steps, .steps.steps_len = 2 };
  assert_true (fixture_configure_accounts (f, 2, capped, 2, false));
  const struct account *a = accounts_find (&f->workflow.accounts, "alder");
  assert_true (dispatcher_fits_cap (a, &spec));
  steps[1].millicores = CAP;
  assert_true (dispatcher_fits_cap (a, &spec));
  steps[1].millicores = CAP + 1;
  assert_false (dispatcher_fits_cap (a, &spec));
  assert_true (dispatcher_fits_cap (accounts_find (&f->workflow.accounts, "birch"), &spec));
  steps[1].millicores = UINT32_MAX;
  assert_false (dispatcher_fits_cap (a, &spec));
}

/* The flood came first; without shares all of it is ahead of the other account's job.  */
static void
test_a_flood_goes_behind_accounts_within_their_weight (void **state)
{
  struct fixture *f = *state;
  const struct fixture_account list[] = { { "flood", 1, 0, false }, { "quiet", 1, 0, false } };
  assert_true (fixture_configure_accounts (f, 2, list, 2, false));
  for (uint64_t id = 1; id <= 40; id++)
    assert_true (fixture_submit_as (f, "flood", id, 1, 4000, 0));
  fixture_tick (f, 20);
  f->now_ms += 10;
  assert_true (fixture_submit_as (f, "quiet", 100, 1, 4000, 0));
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
  bool found = false;
  for (size_t i = 0; i < f->start_count; i++)
    found = found || f->starts[i].task.job == 100;
  assert_true (found);
}

/* A refusal beyond the weight needs a full pool, and names a time at which the job is accepted.  */
static void
test_what_is_beyond_the_weight_is_refused_only_while_the_pool_is_full (void **state)
{
  struct fixture *f = *state;
  const struct fixture_account list[] = { { "flood", 1, 0, false }, { "quiet", 100, 0, false } };
  assert_true (fixture_configure_accounts (f, 2, list, 2, false));
  const struct account *flood = accounts_find (&f->workflow.accounts, "flood");
  const struct account *quiet = accounts_find (&f->workflow.accounts, "quiet");
  fixture_join (f, "w1", "10.0.0.1:1");
  for (uint64_t id = 1; id <= 3; id++)
    assert_true (fixture_submit_as (f, "flood", id, 1, 1000, 0));
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  assert_int_equal (dispatcher_account_wait_ms (f->dispatcher, f->now_ms, flood), 0);
  for (uint64_t id = 100; id < 120; id++)
    assert_true (fixture_submit_as (f, "quiet", id, 1, 4000, 0));
  for (int i = 0; i < 30; i++)
    {
      fixture_tick (f, 20);
      if (fixture_last_hold (f, "w1").mark > 0)
        fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
    }
  assert_int_equal (dispatcher_account_wait_ms (f->dispatcher, f->now_ms, quiet), 0);
  int64_t wait_ms = dispatcher_account_wait_ms (f->dispatcher, f->now_ms, flood);
  assert_true (wait_ms > 0 && wait_ms <= 1000);
  assert_int_equal (dispatcher_account_wait_ms (f->dispatcher, f->now_ms + wait_ms, flood), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_a_wide_job_runs_in_waves_within_the_cap),
          TEST (test_a_start_without_an_answer_counts),
          TEST (test_a_new_leader_counts_what_earlier_ones_placed),
          TEST (test_runs_of_a_silent_worker_count_until_they_lapse),
          TEST (test_a_run_counts_until_its_stop_is_confirmed),
          TEST (test_a_lowered_cap_stops_nothing_and_starts_nothing),
          TEST (test_a_task_that_can_never_fit_the_cap_is_known_at_once),
          TEST (test_a_flood_goes_behind_accounts_within_their_weight),
          TEST (test_what_is_beyond_the_weight_is_refused_only_while_the_pool_is_full) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
