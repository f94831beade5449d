/* Guards against a start permit that is valid for more than 3 s after an out command, and an out
   command reported as in force while a cell leader still holds a permit, with delayed and lost
   messages, two concurrent registry leaders, and changing cell leaders.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "permit.h"
#include "rng.h"

#define GRANTERS 2
#define HOLDERS 2
#define MAX_MESSAGES 64
#define STEPS 4000
#define MIN_HITS (SEEDS * STEPS / 10)
#define SEEDS 300

static registry_data_centre
data_centre (void)
{
  registry_data_centre dc = { .name = "a", .state_version = 1, .epoch = 1 };
  return dc;
}

static void
take_out (registry_data_centre *dc, bool out)
{
  dc->out = out;
  dc->state_version++;
  dc->in_force = REGISTRY_NOT_IN_FORCE;
}

static void
test_grant_needs_leadership_and_confirmation (void **state)
{
  struct permit_granter *g = permit_granter_new ();
  registry_data_centre dc = data_centre ();
  (void)state;
  assert_false (permit_granter_request (g, &dc, 1, 0).granted);
  permit_granter_become_leader (g, 100);
  assert_false (permit_granter_request (g, &dc, 1, 100).granted);
  permit_granter_confirm (g, 150);
  assert_int_equal (permit_granter_request (g, &dc, 1, 200).life_ms, PERMIT_LIFE_MS - 50);
  assert_false (permit_granter_request (g, &dc, 1, 150 + PERMIT_LIFE_MS).granted);
  assert_false (permit_granter_request (g, NULL, 1, 200).granted);
  permit_granter_step_down (g);
  permit_granter_confirm (g, 190);
  assert_false (permit_granter_leading (g));
  assert_false (permit_granter_request (g, &dc, 1, 200).granted);
  permit_granter_become_leader (g, 300);
  permit_granter_confirm (g, 299);
  assert_false (permit_granter_request (g, &dc, 1, 300).granted);
  permit_granter_free (g);
}

static void
test_new_leader_waits_for_earlier_permits (void **state)
{
  struct permit_granter *g = permit_granter_new ();
  registry_data_centre dc = data_centre ();
  (void)state;
  permit_granter_become_leader (g, 1000);
  permit_granter_confirm (g, 1000);
  take_out (&dc, true);
  dc.stopped_version = dc.state_version;
  dc.stopped_node = 1;
  assert_false (permit_granter_in_force (g, &dc, 1000 + PERMIT_LIFE_MS - 1).in_force);
  assert_int_equal (permit_granter_in_force (g, &dc, 2000).wait_ms, PERMIT_LIFE_MS - 1000);
  assert_true (permit_granter_in_force (g, &dc, 1000 + PERMIT_LIFE_MS).in_force);
  permit_granter_free (g);
}

static void
test_acknowledgement_counts_for_its_node_and_version (void **state)
{
  struct permit_granter *g = permit_granter_new ();
  registry_data_centre dc = data_centre ();
  registry_in_force report;
  const int64_t now = 10000;
  (void)state;
  permit_granter_become_leader (g, 0);
  permit_granter_confirm (g, now);
  assert_true (permit_granter_request (g, &dc, 1, now).granted);
  take_out (&dc, true);
  assert_false (permit_granter_find_unrecorded (g, &dc, 1, now + 1, &report));
  dc.stopped_version = dc.state_version;
  dc.stopped_node = 2;
  assert_false (permit_granter_in_force (g, &dc, now + 1).in_force);
  dc.stopped_node = 1;
  assert_true (permit_granter_find_unrecorded (g, &dc, 1, now + 1, &report));
  assert_int_equal (report.reason, REGISTRY_ACKNOWLEDGED);
  assert_int_equal (report.out_version, dc.state_version);
  dc.state_version += 2;
  assert_false (permit_granter_in_force (g, &dc, now + 1).in_force);
  struct permit_in_force later = permit_granter_in_force (g, &dc, now + PERMIT_LIFE_MS);
  assert_int_equal (later.reason, REGISTRY_PERMIT_EXPIRED);
  permit_granter_free (g);
}

static void
test_holder_counts_from_when_it_asked (void **state)
{
  struct permit_holder h;
  struct permit p = { true, PERMIT_LIFE_MS, 1 };
  struct permit none = { 0 };
  (void)state;
  permit_holder_init (&h);
  assert_true (permit_holder_due (&h, 0));
  int64_t asked = permit_holder_request (&h, 0);
  assert_false (permit_holder_due (&h, PERMIT_RENEW_MS - 1));
  permit_holder_handle_answer (&h, asked, &p, 2500);
  assert_int_equal (permit_holder_left_ms (&h, 2500), PERMIT_LIFE_MS - 2500 - PERMIT_DRIFT_MS);
  assert_int_equal (permit_holder_left_ms (&h, PERMIT_LIFE_MS), 0);
  asked = permit_holder_request (&h, 2600);
  permit_holder_handle_answer (&h, asked, &none, 2650);
  assert_true (permit_holder_left_ms (&h, 2700) > 0);
  assert_true (permit_holder_due (&h, 2650 + PERMIT_RETRY_MS));
  asked = permit_holder_request (&h, 2960);
  permit_holder_release (&h, 2970);
  permit_holder_handle_answer (&h, asked, &p, 2980);
  assert_int_equal (permit_holder_left_ms (&h, 2980), 0);
  permit_holder_handle_answer (&h, 999999, &p, 3000);
  assert_int_equal (permit_holder_left_ms (&h, 3000), 0);
}

static void
test_holder_ignores_an_older_epoch (void **state)
{
  struct permit_holder h;
  struct permit first = { true, PERMIT_LIFE_MS, 1 };
  struct permit second = { true, 1000, 2 };
  (void)state;
  permit_holder_init (&h);
  int64_t a = permit_holder_request (&h, 0);
  int64_t b = permit_holder_request (&h, 10);
  permit_holder_handle_answer (&h, b, &second, 20);
  permit_holder_handle_answer (&h, a, &first, 30);
  assert_int_equal (h.epoch, 2);
  assert_int_equal (permit_holder_left_ms (&h, 10 + 1000), 0);
}

/* A message in flight: a request to a granter, or its answer to a holder.  */
struct message
{
  bool used;
  bool answer;
  int granter;
  int holder;
  int64_t asked;
  int64_t arrives_ms;
  struct permit permit;
};

/* Two VMs that can lead the registry and two that can lead the cell.  Only the elected registry
   leader gets new commands and quorum confirmations; the other may still believe it leads.  */
struct sim
{
  struct rng rng;
  struct permit_granter *granters[GRANTERS];
  registry_data_centre view[GRANTERS];
  struct permit_holder holders[HOLDERS];
  struct message in_flight[MAX_MESSAGES];
  int leader;
  int64_t now;
  int64_t out_since; /* INT64_MAX while in */
};

static void
send_message (struct sim *sim, struct message m)
{
  m.used = true;
  m.arrives_ms = sim->now + (int64_t)rng_below (&sim->rng, rng_chance (&sim->rng, 0.1) ? 4000 : 60);
  for (int i = 0; i < MAX_MESSAGES; i++)
    if (!sim->in_flight[i].used)
      {
        sim->in_flight[i] = m;
        return;
      }
}

static void
deliver_messages (struct sim *sim)
{
  for (int i = 0; i < MAX_MESSAGES; i++)
    {
      struct message m = sim->in_flight[i];
      if (!m.used || m.arrives_ms > sim->now)
        continue;
      sim->in_flight[i].used = false;
      if (m.answer)
        permit_holder_handle_answer (&sim->holders[m.holder], m.asked, &m.permit, sim->now);
      else
        {
          m.answer = true;
          m.permit = permit_granter_request (sim->granters[m.granter], &sim->view[m.granter],
                                             (uint64_t)m.holder + 1, sim->now);
          send_message (sim, m);
        }
    }
}

/* A quorum elects the other VM; the old leader is not notified immediately.  */
static void
elect_other_granter (struct sim *sim)
{
  int next = 1 - sim->leader;
  sim->view[next] = sim->view[sim->leader];
  permit_granter_become_leader (sim->granters[next], sim->now);
  sim->leader = next;
}

static void
random_event (struct sim *sim)
{
  registry_data_centre *dc = &sim->view[sim->leader];
  int holder = (int)rng_below (&sim->rng, HOLDERS);
  double p = rng_unit (&sim->rng);
  if (p < 0.004)
    elect_other_granter (sim);
  else if (p < 0.006)
    permit_granter_step_down (sim->granters[1 - sim->leader]);
  else if (p < 0.010)
    {
      take_out (dc, !dc->out);
      sim->out_since = dc->out ? sim->now : INT64_MAX;
    }
  else if (p < 0.015 && dc->out)
    {
      permit_holder_release (&sim->holders[holder], sim->now);
      dc->stopped_version = dc->state_version;
      dc->stopped_node = (uint64_t)holder + 1;
    }
  if (rng_chance (&sim->rng, 0.5))
    permit_granter_confirm (sim->granters[sim->leader], sim->now);
  for (int i = 0; i < HOLDERS; i++)
    if (permit_holder_due (&sim->holders[i], sim->now))
      {
        struct message m = { .granter = (int)rng_below (&sim->rng, GRANTERS), .holder = i };
        m.asked = permit_holder_request (&sim->holders[i], sim->now);
        send_message (sim, m);
      }
}

/* Index of hits, the number of steps in which the state was reached.  */
enum hit_state
{
  HELD,
  IN_FORCE,
  STATES,
};

static void
check_invariants (struct sim *sim, int hits[STATES])
{
  const registry_data_centre *dc = &sim->view[sim->leader];
  bool in_force = permit_granter_in_force (sim->granters[sim->leader], dc, sim->now).in_force;
  for (int i = 0; i < HOLDERS; i++)
    {
      bool held = permit_holder_left_ms (&sim->holders[i], sim->now) > 0;
      hits[HELD] += held ? 1 : 0;
      hits[IN_FORCE] += in_force ? 1 : 0;
      assert_false (held && in_force);
      assert_false (held && sim->out_since <= sim->now - PERMIT_LIFE_MS);
    }
}

static void
run_simulation (uint64_t seed, int hits[STATES])
{
  struct sim sim = { .out_since = INT64_MAX };
  rng_init (&sim.rng, seed);
  for (int i = 0; i < GRANTERS; i++)
    {
      sim.granters[i] = permit_granter_new ();
      sim.view[i] = data_centre ();
      permit_holder_init (&sim.holders[i]);
    }
  permit_granter_become_leader (sim.granters[0], 0);
  for (int i = 0; i < STEPS; i++)
    {
      sim.now += (int64_t)rng_below (&sim.rng, 30);
      random_event (&sim);
      deliver_messages (&sim);
      check_invariants (&sim, hits);
    }
  for (int i = 0; i < GRANTERS; i++)
    permit_granter_free (sim.granters[i]);
}

static void
test_no_permit_after_in_force (void **state)
{
  int hits[STATES] = { 0, 0 };
  (void)state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_simulation (seed, hits);
  assert_true (hits[HELD] > MIN_HITS);
  assert_true (hits[IN_FORCE] > MIN_HITS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_grant_needs_leadership_and_confirmation),
    cmocka_unit_test (test_new_leader_waits_for_earlier_permits),
    cmocka_unit_test (test_acknowledgement_counts_for_its_node_and_version),
    cmocka_unit_test (test_holder_counts_from_when_it_asked),
    cmocka_unit_test (test_holder_ignores_an_older_epoch),
    cmocka_unit_test (test_no_permit_after_in_force),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
