/* Guards against a group that loses its quorum when voters are lost one after another, although
   empty replacements joined at other addresses.  All members run in one process, on loopback.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "seeded_group.h"
#include "voter_plan.h"
#include "workflow.h"

#define VMS 5
#define STEP_S 0.02

struct vm
{
  struct workflow workflow;
  struct seeded_group *group;
  char ip[32];
  char folder[80];
};

struct system
{
  struct ev_loop *loop;
  ev_prepare flush;
  struct vm vms[VMS];
  int port;
  char folder[64];
};

static void
on_leader (void *arg)
{
  (void)arg;
}

static void
start (struct system *s, int i, bool first)
{
  struct status st;
  struct vm *v = &s->vms[i];
  snprintf (v->ip, sizeof v->ip, "127.0.7.%d", i + 1);
  snprintf (v->folder, sizeof v->folder, "%s/%d", s->folder, i);
  workflow_init (&v->workflow);
  struct seeded_group_config config = { .loop = s->loop,
                                        .clock = clock_real (),
                                        .deployment = "test",
                                        .data_centre = "a",
                                        .ip = v->ip,
                                        .peer_port = s->port,
                                        .seed_count = 3,
                                        .data_dir = v->folder,
                                        .first_start = first,
                                        .machine = &v->workflow.machine,
                                        .leader_changed = on_leader };
  for (int k = 0; k < 3; k++)
    snprintf (config.seeds[k], sizeof config.seeds[k], "127.0.7.%d", k + 1);
  v->group = seeded_group_open (&config, &st);
  if (!v->group)
    fail_msg ("%s", st.message);
}

static void
stop (struct system *s, int i)
{
  seeded_group_close (s->vms[i].group);
  workflow_close (&s->vms[i].workflow);
  s->vms[i].group = NULL;
}

static void
on_step (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

static struct vm *
find_leader (struct system *s)
{
  for (int i = 0; i < VMS; i++)
    if (s->vms[i].group && group_is_leader (seeded_group_group (s->vms[i].group)))
      return &s->vms[i];
  return NULL;
}

/* Forwards join requests to the leader, as the owner of a group does.  */
static void
forward_join_requests (struct system *s)
{
  struct status st;
  struct vm *leader = find_leader (s);
  for (int i = 0; leader && i < VMS; i++)
    if (s->vms[i].group && seeded_group_needs_join (s->vms[i].group))
      {
        if (seeded_group_join (leader->group, s->vms[i].ip, &st) == 0)
          seeded_group_add_peer (s->vms[i].group, leader->ip);
      }
}

static void
step (struct system *s)
{
  ev_timer timer;
  ev_timer_init (&timer, on_step, STEP_S, 0.0);
  ev_timer_start (s->loop, &timer);
  ev_run (s->loop, 0);
  ev_timer_stop (s->loop, &timer);
  forward_join_requests (s);
  log_flush ();
  for (int i = 0; i < VMS; i++)
    if (s->vms[i].group)
      seeded_group_tick (s->vms[i].group);
}

/* Flushes before the loop blocks, as the daemon does.  */
static void
on_flush (struct ev_loop *loop, ev_prepare *w, int events)
{
  struct system *s = w->data;
  (void)loop;
  (void)events;
  for (int i = 0; i < VMS; i++)
    while (s->vms[i].group && seeded_group_flush (s->vms[i].group))
      ;
}

static void
on_committed (void *arg, const struct status *st, const void *result, size_t len)
{
  (void)result;
  (void)len;
  *(int *)arg = status_ok (st) ? 1 : -1;
}

/* Commits one command; false if the group does not do so within SECONDS.  */
static bool
commits (struct system *s, double seconds)
{
  struct buffer entry;
  workflow_command c = { .kind = WORKFLOW_ZONE };
  c.workflow_command_u.zone = (workflow_zone_change){ .zone = "z", .out = true };
  int outcome = -1;
  double end = ev_time () + seconds;
  buffer_init (&entry);
  workflow_encode (&c, &entry);
  while (ev_time () < end && outcome != 1)
    {
      struct vm *leader = find_leader (s);
      if (leader && outcome == -1)
        {
          outcome = 0;
          group_propose (seeded_group_group (leader->group), entry.data, entry.len, on_committed,
                         &outcome);
        }
      step (s);
    }
  buffer_close (&entry);
  return outcome == 1;
}

static bool
is_voter (struct system *s, int i)
{
  struct vm *leader = find_leader (s);
  uint64_t node = ((uint64_t)127 << 24) + (7 << 8) + (uint64_t)i + 1;
  if (!leader)
    return false;
  const raft_member *m
      = raft_members_find (group_members (seeded_group_group (leader->group)), node);
  return m && m->voter;
}

static bool
becomes_voter (struct system *s, int i, double seconds)
{
  double end = ev_time () + seconds;
  while (ev_time () < end && !is_voter (s, i))
    step (s);
  /* The current member list may not be replicated to a quorum yet.  */
  return is_voter (s, i) && commits (s, 5);
}

static int
open_system (void **state)
{
  struct system *s = xcalloc (1, sizeof *s);
  snprintf (s->folder, sizeof s->folder, "/tmp/seeded-XXXXXX");
  assert_non_null (mkdtemp (s->folder));
  s->loop = ev_loop_new (0);
  ev_prepare_init (&s->flush, on_flush);
  s->flush.data = s;
  ev_prepare_start (s->loop, &s->flush);
  s->port = 20000 + (int)(getpid () % 20000);
  for (int i = 0; i < 3; i++)
    start (s, i, true);
  *state = s;
  return 0;
}

static int
close_system (void **state)
{
  struct system *s = *state;
  char command[128];
  for (int i = 0; i < VMS; i++)
    if (s->vms[i].group)
      stop (s, i);
  ev_prepare_stop (s->loop, &s->flush);
  ev_loop_destroy (s->loop);
  snprintf (command, sizeof command, "rm -r %s", s->folder);
  assert_int_equal (system (command), 0);
  free (s);
  return 0;
}

static void
test_replacements_become_voters (void **state)
{
  struct system *s = *state;
  assert_true (commits (s, 5));
  stop (s, 0);
  start (s, 3, false);
  assert_true (becomes_voter (s, 3, 8));
  assert_false (is_voter (s, 0));
  stop (s, 1);
  assert_true (commits (s, 5));
  start (s, 4, false);
  assert_true (becomes_voter (s, 4, 8));
  stop (s, 2);
  assert_true (commits (s, 5));
}

/* A voter that was removed while it was down rejoins as a spare.  */
static void
test_removed_voter_rejoins_as_a_spare (void **state)
{
  struct system *s = *state;
  assert_true (commits (s, 5));
  stop (s, 0);
  start (s, 3, false);
  assert_true (becomes_voter (s, 3, 8));
  start (s, 0, false);
  for (int i = 0; i < 150; i++)
    step (s);
  stop (s, 3);
  assert_true (becomes_voter (s, 0, 8));
  stop (s, 1);
  assert_true (commits (s, 5));
}

/* A spare went on relaying to a leader that had lost its leadership, and never asked to join.  */
static void
test_a_spare_forgets_a_leader_that_is_silent (void **state)
{
  struct system *s = *state;
  char ip[SEEDED_GROUP_IP_BYTES];
  assert_true (commits (s, 5));
  start (s, 3, false);
  double end = ev_time () + 8;
  while (ev_time () < end && !seeded_group_leader (s->vms[3].group, ip))
    step (s);
  assert_true (seeded_group_leader (s->vms[3].group, ip));
  for (int i = 0; i < 3; i++)
    stop (s, i);
  end = ev_time () + 3;
  while (ev_time () < end && seeded_group_leader (s->vms[3].group, ip))
    step (s);
  assert_false (seeded_group_leader (s->vms[3].group, ip));
  end = ev_time () + 2;
  while (ev_time () < end && !seeded_group_needs_join (s->vms[3].group))
    step (s);
  assert_true (seeded_group_needs_join (s->vms[3].group));
}

static void
test_voter_without_replacement_is_kept (void **state)
{
  struct plan_member members[] = { { .node = 1, .voter = true },
                                   { .node = 2, .voter = true, .inactive_ms = 60000 },
                                   { .node = 3, .voter = true } };
  (void)state;
  voter_plan (members, 3);
  for (int i = 0; i < 3; i++)
    assert_true (members[i].voter && !members[i].dropped);
}

/* A voter that is replaced stayed one for good when the plan was made again after its successor had
   been promoted; with more spares the group grew to seven and eight voters.  */
static void
test_a_silent_voter_goes_after_its_successor_came (void **state)
{
  struct plan_member members[7];
  (void)state;
  for (uint64_t spares = 0; spares < 2; spares++)
    {
      for (uint64_t i = 0; i < 7; i++)
        members[i] = (struct plan_member){ .node = i + 1, .self = i == 0, .voter = i < 6 };
      members[3].inactive_ms = VOTER_INACTIVE_LIMIT_MS;
      voter_plan (members, 6 + spares);
      for (uint64_t i = 0; i < 6; i++)
        assert_true (members[i].voter == (i != 3));
      assert_true (members[3].dropped);
      assert_false (spares && members[6].voter);
    }
}

/* The voter answers again before it is removed.  */
static void
test_six_voters_become_five (void **state)
{
  struct plan_member members[7];
  (void)state;
  for (uint64_t i = 0; i < 7; i++)
    members[i] = (struct plan_member){ .node = i + 1, .self = i == 5, .voter = i < 6 };
  voter_plan (members, 7);
  for (uint64_t i = 0; i < 7; i++)
    assert_true (members[i].voter == (i < 4 || i == 5));
}

static void
test_spares_are_promoted_in_pairs_up_to_five (void **state)
{
  struct plan_member members[6] = { { .node = 1, .voter = true },
                                    { .node = 2, .voter = true },
                                    { .node = 3, .voter = true } };
  (void)state;
  for (uint64_t i = 3; i < 6; i++)
    members[i] = (struct plan_member){ .node = i + 1 };
  voter_plan (members, 4);
  assert_false (members[3].voter);
  voter_plan (members, 6);
  assert_true (members[3].voter && members[4].voter && !members[5].voter);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (test_replacements_become_voters, open_system,
                                           close_system),
          cmocka_unit_test_setup_teardown (test_removed_voter_rejoins_as_a_spare, open_system,
                                           close_system),
          cmocka_unit_test_setup_teardown (test_a_spare_forgets_a_leader_that_is_silent,
                                           open_system, close_system),
          cmocka_unit_test (test_voter_without_replacement_is_kept),
          cmocka_unit_test (test_a_silent_voter_goes_after_its_successor_came),
          cmocka_unit_test (test_six_voters_become_five),
          cmocka_unit_test (test_spares_are_promoted_in_pairs_up_to_five) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
