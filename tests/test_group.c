/* Guards against a group that acknowledges what it may lose, answers a proposal twice or never,
   or does not replace its leader in time.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "log.h"
#include "log_sim.h"

#define TRIP_30_MS_US 30000

static struct sim_config
config_of (int voters, int learners)
{
  return (struct sim_config){ .seed = 7, .voters = voters, .learners = learners };
}

static void
start_all (struct sim *s)
{
  for (int i = 0; i < s->nodes_len; i++)
    sim_start (s, &s->nodes[i]);
}

static struct sim_node *
wait_leader (struct sim *s, int64_t limit_ms)
{
  int64_t until = sim_now_ms (s) + limit_ms;
  while (!sim_leader (s) && sim_now_ms (s) < until)
    sim_step (s);
  return sim_leader (s);
}

static void
assert_sound (struct sim *s)
{
  sim_check_end (s);
  if (s->failed)
    fail_msg ("%s", s->failure);
}

static void
test_single_voter (void **state)
{
  struct sim s;
  struct sim_config c = config_of (1, 0);
  (void)state;
  sim_init (&s, &c);
  start_all (&s);
  assert_non_null (wait_leader (&s, 100));
  for (int i = 0; i < 10; i++)
    sim_propose (&s, sim_leader (&s), 8);
  sim_step (&s);
  assert_int_equal (s.ok, 10);
  sim_crash (&s, &s.nodes[0], 0);
  sim_run_ms (&s, 100);
  sim_propose (&s, sim_leader (&s), 8);
  sim_run_ms (&s, 50);
  assert_int_equal (s.nodes[0].machine.count, 11);
  assert_sound (&s);
  sim_close (&s);
}

static void
test_replicates_and_replaces_leader (void **state)
{
  struct sim s;
  struct sim_config c = config_of (5, 2);
  (void)state;
  sim_init (&s, &c);
  s.delay_min_us = TRIP_30_MS_US;
  s.delay_max_us = TRIP_30_MS_US + 1000;
  start_all (&s);
  struct sim_node *old = wait_leader (&s, 3000);
  assert_non_null (old);
  for (int i = 0; i < 20; i++)
    sim_propose (&s, old, 100);
  sim_run_ms (&s, 1000);
  assert_int_equal (s.ok, 20);
  for (int i = 0; i < s.nodes_len; i++)
    assert_int_equal (s.nodes[i].machine.count, 20);
  int64_t death = sim_now_ms (&s);
  sim_crash (&s, old, -1);
  assert_non_null (wait_leader (&s, 5000));
  assert_true (sim_now_ms (&s) - death < 2000);
  sim_propose (&s, sim_leader (&s), 100);
  sim_run_ms (&s, 500);
  assert_int_equal (s.ok, 21);
  assert_sound (&s);
  sim_close (&s);
}

int
main (void)
{
  struct log_config quiet = { .level = (enum log_level) - 1 };
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_single_voter),
                                      cmocka_unit_test (test_replicates_and_replaces_leader) };
  log_configure (&quiet);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
