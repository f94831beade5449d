/* Guards against tasks that run several times as long away from their data right before room opens
   there, and against tasks that wait for a rack which can't take them.  */
#include "workflow_fixture.h"

#define FACTOR 3
#define RUN_MS 500

static int
open_with_factor (void **state, double factor)
{
  struct fixture *f;
  fixture_open (state);
  f = *state;
  dispatcher_free (f->dispatcher);
  const struct dispatcher_config config = { .workflow = &f->workflow,
                                            .link = &f->link,
                                            .clock = &f->clock,
                                            .propose = fixture_propose,
                                            .propose_arg = f,
                                            .lease_ms = FIXTURE_LEASE_MS,
                                            .status_ms = 120000,
                                            .remote_run_factor = factor };
  f->dispatcher = dispatcher_new (&config);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 7);
  return 0;
}

static int
open_on (void **state)
{
  return open_with_factor (state, FACTOR);
}

static int
open_off (void **state)
{
  return open_with_factor (state, 1);
}

static void
join_rack (struct fixture *f, const char *id, const char *address, const char *rack)
{
  struct status st;
  const char *labels[] = { "kind", rack };
  struct worker_report r = fixture_worker (f, id, address);
  r.labels = labels;
  r.labels_len = 2;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 1);
  fixture_answer_hold (f, id, NULL, 0, NULL, 0);
}

static void
submit_at (struct fixture *f, uint64_t id, uint32_t count, uint32_t millicores, char *rack,
           uint32_t flags)
{
  workflow_step step = { .count = count,
                         .millicores = millicores,
                         .memory_mb = 1,
                         .estimate_ms = RUN_MS,
                         .flags = flags,
                         .required_label = "",
                         .data_rack = rack,
                         .image = "" };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = id;
  spec->queue = "queue";
  spec->payload = "";
  spec->steps.steps_val = &step;
  spec->steps.steps_len = 1;
  assert_true (fixture_change (f, &c));
}

/* Two workers on rack r1, one of them taken by a job of the rack for RUN_MS, and one elsewhere.  */
static void
fill_rack (struct fixture *f)
{
  join_rack (f, "near", "10.0.0.1:1", "r1");
  join_rack (f, "far", "10.0.0.2:1", "r2");
  submit_at (f, 1, 1, 16000, "r1", 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_string_equal (f->starts[0].worker, "near");
  fixture_answer_start (f, &f->starts[0], WORKER_CALL_OK);
  for (int i = 0; i < 10; i++)
    fixture_tick (f, 20);
}

static void
answer_far (struct fixture *f)
{
  fixture_answer_hold (f, "far", NULL, 0, NULL, 0);
}

static void
test_a_task_waits_for_room_on_its_rack (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 1, 4000, "r1", 0);
  for (int i = 0; i < 10; i++)
    fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  const struct reported_end end = fixture_ended (&f->starts[0], 1, WORKFLOW_DONE);
  fixture_answer_hold (f, "near", NULL, 0, &end, 1);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "near");
}

static void
test_without_a_factor_a_task_starts_elsewhere_at_once (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 1, 4000, "r1", 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "far");
}

/* The run on the rack goes on for longer than its estimate.  */
static void
test_a_wait_is_given_up_when_its_gain_is_used_up (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 1, 4000, "r1", 0);
  int64_t began_ms = f->now_ms;
  const struct reported_run run = fixture_running (&f->starts[0]);
  while (f->start_count == 1 && f->now_ms < began_ms + 10000)
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "near", &run, 1, NULL, 0);
      answer_far (f);
    }
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "far");
  assert_true (f->now_ms - began_ms <= (FACTOR - 1) * RUN_MS + 40);
}

/* Room on the rack is for so many; the others would wait behind them.  */
static void
test_only_as_many_wait_as_the_rack_can_take (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 8, 4000, "r1", 0);
  fixture_tick (f, 20);
  assert_in_range (f->start_count, 1 + 4, 1 + 8);
  for (size_t i = 1; i < f->start_count; i++)
    assert_string_equal (f->starts[i].worker, "far");
}

/* A rack without a worker, or with workers that are silent, opens for nobody.  */
static void
test_nobody_waits_for_a_rack_that_cannot_take_the_task (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 1, 1000, "unknown", 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  for (int i = 0; i < 150; i++)
    {
      fixture_tick (f, 20);
      answer_far (f);
    }
  submit_at (f, 3, 1, 1000, "r1", 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 3);
  assert_string_equal (f->starts[2].worker, "far");
}

static void
test_a_waiting_task_holds_up_nobody (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 1, 4000, "r1", 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  submit_at (f, 3, 1, 4000, "", 0);
  submit_at (f, 4, 1, 4000, "r2", 0);
  submit_at (f, 5, 1, 4000, "r1", WORKFLOW_STEP_LASTING);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
}

static void
test_a_new_leader_begins_without_what_was_learned (void **state)
{
  struct fixture *f = *state;
  fill_rack (f);
  submit_at (f, 2, 1, 4000, "r1", 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  dispatcher_resign (f->dispatcher);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 8 * DISPATCHER_FENCES);
  join_rack (f, "far", "10.0.0.2:1", "r2");
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 2);
  assert_string_equal (f->starts[1].worker, "far");
}

/* Callers may name any rack, as often as they like.  */
static void
test_names_of_racks_do_not_fill_the_memory (void **state)
{
  struct fixture *f = *state;
  char rack[32];
  join_rack (f, "far", "10.0.0.2:1", "r2");
  for (uint64_t id = 1; id <= 300; id++)
    {
      snprintf (rack, sizeof rack, "rack-%d", (int)id);
      submit_at (f, id, 1, 1, rack, 0);
      fixture_tick (f, 20);
      answer_far (f);
      fixture_cancel (f, id);
    }
  assert_int_equal (f->start_count, 300);
  for (int i = 0; i < 400; i++)
    fixture_tick (f, 100);
  assert_int_equal (dispatcher_wanted_places (f->dispatcher), 0);
}

static void
test_a_group_keeps_to_one_rack (void **state)
{
  struct fixture *f = *state;
  join_rack (f, "a1", "10.0.0.1:1", "r1");
  join_rack (f, "b1", "10.0.0.2:1", "r2");
  join_rack (f, "a2", "10.0.0.3:1", "r1");
  join_rack (f, "b2", "10.0.0.4:1", "r2");
  submit_at (f, 1, 4, 8000, "", WORKFLOW_STEP_RACK_LOCAL);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 4);
  char rack = f->starts[0].worker[0];
  for (size_t i = 1; i < 4; i++)
    assert_int_equal (f->starts[i].worker[0], rack);
}

#define ON(name) cmocka_unit_test_setup_teardown (name, open_on, fixture_close)
#define OFF(name) cmocka_unit_test_setup_teardown (name, open_off, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[] = { ON (test_a_task_waits_for_room_on_its_rack),
                                      OFF (test_without_a_factor_a_task_starts_elsewhere_at_once),
                                      ON (test_a_wait_is_given_up_when_its_gain_is_used_up),
                                      ON (test_only_as_many_wait_as_the_rack_can_take),
                                      ON (test_nobody_waits_for_a_rack_that_cannot_take_the_task),
                                      ON (test_a_waiting_task_holds_up_nobody),
                                      ON (test_a_new_leader_begins_without_what_was_learned),
                                      ON (test_names_of_racks_do_not_fill_the_memory),
                                      ON (test_a_group_keeps_to_one_rack) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
