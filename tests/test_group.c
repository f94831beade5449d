/* Guards against a group that acknowledges data it may lose, completes a proposal twice or never,
   or does not replace its leader in time.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "group_internal.h"
#include "log.h"
#include "log_sim.h"
#include "member_sync.h"

#define ONE_WAY_DELAY_US 30000
#define AUTHORITY_MS 1100 /* the longest time for which a service relies on a confirmed round */

static struct sim_config
make_config (int voters, int learners)
{
  return (struct sim_config){
    .seed = 7, .voters = voters, .learners = learners, .authority_ms = AUTHORITY_MS
  };
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
assert_no_violation (struct sim *s)
{
  sim_check_end (s);
  if (s->failed)
    fail_msg ("%s", s->failure);
}

static void
test_single_voter (void **state)
{
  struct sim s;
  struct sim_config c = make_config (1, 0);
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
  assert_no_violation (&s);
  sim_close (&s);
}

static void
count_done (void *arg, const struct status *st, const void *result, size_t len)
{
  (void)result;
  (void)len;
  if (status_ok (st))
    (*(int *)arg)++;
}

/* Guards against a single voter that never confirms its leadership, because no message is due.  */
static void
test_single_voter_confirms_itself (void **state)
{
  struct sim s;
  struct sim_config c = make_config (1, 0);
  int confirmed = 0;
  (void)state;
  sim_init (&s, &c);
  start_all (&s);
  assert_non_null (wait_leader (&s, 100));
  sim_run_ms (&s, 100);
  group_confirm_leadership (s.nodes[0].group, count_done, &confirmed);
  assert_true (group_needs_flush (s.nodes[0].group));
  group_flush (s.nodes[0].group);
  assert_int_equal (confirmed, 1);
  sim_close (&s);
}

/* Guards against a confirmation that waits for the next heartbeat although a quorum has replied:
   with one voter down nothing else causes a flush, and workers lose their leases.  */
static void
test_confirms_as_soon_as_a_quorum_replies (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  int confirmed = 0;
  (void)state;
  sim_init (&s, &c);
  start_all (&s);
  assert_non_null (wait_leader (&s, 5000));
  struct sim_node *leader = sim_leader (&s);
  for (int i = 0; i < 3; i++)
    if (&s.nodes[i] != leader)
      {
        sim_crash (&s, &s.nodes[i], 0);
        break;
      }
  sim_run_ms (&s, 3000);
  for (int round = 1; round <= 20; round++)
    {
      group_confirm_leadership (sim_leader (&s)->group, count_done, &confirmed);
      sim_run_ms (&s, 70);
      assert_int_equal (confirmed, round);
    }
  sim_close (&s);
}

static void
test_replicates (void **state)
{
  struct sim s;
  struct sim_config c = make_config (5, 2);
  (void)state;
  sim_init (&s, &c);
  s.delay_min_us = ONE_WAY_DELAY_US;
  s.delay_max_us = ONE_WAY_DELAY_US + 1000;
  start_all (&s);
  struct sim_node *old = wait_leader (&s, 3000);
  assert_non_null (old);
  for (int i = 0; i < 20; i++)
    sim_propose (&s, old, 100);
  sim_run_ms (&s, 1000);
  assert_int_equal (s.ok, 20);
  for (int i = 0; i < s.nodes_len; i++)
    assert_int_equal (s.nodes[i].machine.count, 20);
  sim_crash (&s, old, -1);
  assert_non_null (wait_leader (&s, 5000));
  sim_propose (&s, sim_leader (&s), 100);
  sim_run_ms (&s, 500);
  assert_int_equal (s.ok, 21);
  assert_no_violation (&s);
  sim_close (&s);
}

/* Guards against repeated split votes between two remaining voters, which took up to 6.9 s.  */
static void
test_leader_replaced_within_2_s (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      struct sim s;
      struct sim_config c = make_config (seed % 2 ? 3 : 5, 0);
      c.seed = seed;
      c.step_ms = 5;
      sim_init (&s, &c);
      s.delay_min_us = ONE_WAY_DELAY_US;
      s.delay_max_us = ONE_WAY_DELAY_US + 3000;
      start_all (&s);
      assert_non_null (wait_leader (&s, 5000));
      sim_run_ms (&s, 1000 + (int64_t)seed * 13);
      int64_t crash_ms = sim_now_ms (&s);
      sim_crash (&s, sim_leader (&s), -1);
      while (s.ok == 0 && sim_now_ms (&s) - crash_ms < 5000)
        {
          sim_propose (&s, sim_leader (&s), 8);
          sim_step (&s);
        }
      assert_true (sim_now_ms (&s) - crash_ms < 2000);
      assert_no_violation (&s);
      sim_close (&s);
    }
}

#define PROPOSALS_PER_STEP 20 /* 4,000 a second, with starts and ends of 2,000 tasks */
#define PROMOTION_LIMIT_MS 4000

#define BUSY_ONE_WAY_DELAY_US 150000 /* of VMs whose loops take 100 ms and more */

/* Promotes two learners of a leader that commits 4,000 entries a second.  */
static void
promote_under_load (int64_t delay_us, int64_t jitter_us)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  raft_member list[5];
  int done = 0;
  c.step_ms = 5;
  sim_init (&s, &c);
  s.delay_min_us = delay_us;
  s.delay_max_us = delay_us + jitter_us; /* with jitter, messages overtake each other */
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  assert_non_null (leader);
  sim_start (&s, sim_add_node (&s, false));
  sim_start (&s, sim_add_node (&s, false));
  for (int i = 0; i < 5; i++)
    list[i] = (raft_member){ .node = s.nodes[i].id, .voter = true };
  const raft_members target = { { 5, list } };
  int64_t until_ms = sim_now_ms (&s) + 500 + PROMOTION_LIMIT_MS;
  int64_t change_ms = sim_now_ms (&s) + 500;
  while (done == 0 && sim_now_ms (&s) < until_ms)
    {
      for (int i = 0; i < PROPOSALS_PER_STEP; i++)
        sim_propose (&s, leader, 100);
      if (change_ms > 0 && sim_now_ms (&s) >= change_ms)
        {
          group_change_members (leader->group, &target, count_done, &done);
          change_ms = 0;
        }
      sim_step (&s);
    }
  assert_int_equal (done, 1);
  sim_run_ms (&s, 1000);
  assert_no_violation (&s);
  sim_close (&s);
}

/* Reproduces large deployment trouble-2: at 4,000 entries a second a learner in another region is
   240 entries behind at any moment, though only by a round trip.  It was never promoted, three
   voters of six VMs remained, and the loss of two disks stopped the group for good.  */
static void
test_a_learner_that_follows_a_busy_leader_is_promoted (void **state)
{
  (void)state;
  promote_under_load (ONE_WAY_DELAY_US, 1000);
}

/* Guards against learners that are never promoted since their answers take 300 ms: the group keeps
   too few voters as long as its VMs are busy.  */
static void
test_a_busy_learner_is_promoted (void **state)
{
  (void)state;
  promote_under_load (BUSY_ONE_WAY_DELAY_US, 0);
}

#define STATE_BYTES 6000000                    /* of the group of 490 workers */
#define REGION_LINK_BYTES_PER_S (60000000 / 8) /* 60 Mbit/s */
#define SLOW_LINK_BYTES_PER_S (8000000 / 8)    /* 8 Mbit/s */
#define CATCH_UP_MS 4000 /* a VM that is back for this long may no longer count as lost */
#define FINAL_LEADER_LIMIT_MS 5000

/* Runs the group under load for MS; its leader changes members towards five voters.  */
static void
run_with_five_voters (struct sim *s, struct member_sync *sync, int64_t ms)
{
  int64_t until_ms = sim_now_ms (s) + ms;
  raft_member target[5];
  while (sim_now_ms (s) < until_ms)
    {
      struct sim_node *leader = sim_leader (s);
      for (int i = 0; i < 5; i++)
        target[i] = (raft_member){ .node = s->nodes[i].id, .voter = true };
      if (leader && sync->group != leader->group)
        member_sync_init (sync, leader->group, "test");
      if (leader)
        member_sync_tick (sync, target, 5, sim_now_ms (s));
      for (int i = 0; leader && i < PROPOSALS_PER_STEP; i++)
        sim_propose (s, leader, 100);
      sim_step (s);
    }
}

/* One of five voters loses its disk and has the time to catch up; then all lose power, and two
   others their disks.  The snapshot was sent so slowly that the first was still no voter: no leader
   could be elected any more.  */
static void
test_a_replaced_disk_votes_before_two_more_are_lost (void **state)
{
  struct sim s;
  struct member_sync sync = { .group = NULL };
  struct sim_config c = make_config (5, 0);
  (void)state;
  c.step_ms = 5;
  c.state_bytes = STATE_BYTES;
  sim_init (&s, &c);
  s.delay_min_us = ONE_WAY_DELAY_US;
  s.delay_max_us = ONE_WAY_DELAY_US; /* a connection keeps the order */
  s.link_bytes_per_s = REGION_LINK_BYTES_PER_S;
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  assert_non_null (leader);
  run_with_five_voters (&s, &sync, 9000);
  struct sim_node *replaced = &s.nodes[leader->id % 5];
  sim_wipe (&s, replaced, 100);
  run_with_five_voters (&s, &sync, 100 + CATCH_UP_MS);
  assert_ptr_equal (sim_leader (&s), leader);
  sim_wipe (&s, leader, 1600);
  sim_wipe (&s, &s.nodes[(leader->id + 1) % 5], 1600);
  for (int i = 0; i < 5; i++)
    if (s.nodes[i].group)
      sim_crash (&s, &s.nodes[i], 1600);
  sim_run_ms (&s, 1600);
  assert_non_null (wait_leader (&s, FINAL_LEADER_LIMIT_MS));
  assert_no_violation (&s);
  sim_close (&s);
}

/* A second disk is lost while the first member with a new one is still being sent its snapshot.  A
   voter without a vote stayed one until then: of four voters all three others were needed.  */
static void
test_a_second_replaced_disk_is_demoted_at_once (void **state)
{
  struct sim s;
  struct member_sync sync = { .group = NULL };
  struct sim_config c = make_config (5, 0);
  (void)state;
  c.step_ms = 5;
  c.state_bytes = STATE_BYTES;
  sim_init (&s, &c);
  s.delay_min_us = ONE_WAY_DELAY_US;
  s.delay_max_us = ONE_WAY_DELAY_US;
  s.link_bytes_per_s = SLOW_LINK_BYTES_PER_S;
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  assert_non_null (leader);
  run_with_five_voters (&s, &sync, 9000);
  sim_wipe (&s, &s.nodes[leader->id % 5], 100);
  run_with_five_voters (&s, &sync, 1500);
  struct sim_node *second = &s.nodes[(leader->id + 1) % 5];
  sim_wipe (&s, second, 100);
  run_with_five_voters (&s, &sync, 1500);
  assert_ptr_equal (sim_leader (&s), leader);
  assert_int_equal (s.snapshots_installed, 0);
  assert_false (raft_members_find (group_members (leader->group), second->id)->voter);
  assert_no_violation (&s);
  sim_close (&s);
}

/* A leader whose disk is full acknowledges nothing, and the others replace it.  */
static void
test_full_disk_stops_acknowledging (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  struct group_stats stats;
  (void)state;
  sim_init (&s, &c);
  s.delay_max_us = 2000;
  start_all (&s);
  struct sim_node *old = wait_leader (&s, 5000);
  sim_run_ms (&s, 100);
  memory_disk_fail_at (old->disk, 1);
  s.partitioned[old->id - 1][0] = s.partitioned[old->id - 1][1] = s.partitioned[old->id - 1][2]
      = true;
  sim_propose (&s, old, 8);
  sim_run_ms (&s, 100);
  assert_int_equal (s.ok, 0);
  group_stats (old->group, &stats);
  assert_true (stats.disk_failed);
  assert_false (group_is_leader (old->group));
  sim_propose (&s, old, 8);
  assert_int_equal (s.outcomes[2], SIM_REFUSED);
  sim_run_ms (&s, 3000);
  sim_propose (&s, sim_leader (&s), 8);
  sim_run_ms (&s, 100);
  assert_int_equal (s.ok, 1);
  assert_no_violation (&s);
  sim_close (&s);
}

/* Guards against a voter that never votes again after its disk was full for some seconds: two such
   disks, one after the other, leave three voters without a leader for good.  */
static void
test_full_disks_one_after_the_other (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  (void)state;
  sim_init (&s, &c);
  s.delay_max_us = 2000;
  start_all (&s);
  assert_non_null (wait_leader (&s, 5000));
  for (int i = 0; i < 6; i++)
    {
      struct sim_node *full = &s.nodes[i % 3];
      struct group_stats stats;
      memory_disk_set_full (full->disk, true);
      for (int k = 0; k < 30; k++)
        {
          if (sim_leader (&s))
            sim_propose (&s, sim_leader (&s), 8);
          sim_run_ms (&s, 100);
        }
      group_stats (full->group, &stats);
      assert_true (stats.disk_failed);
      memory_disk_set_full (full->disk, false);
      sim_run_ms (&s, 1000);
      group_stats (full->group, &stats);
      assert_false (stats.disk_failed);
      assert_non_null (sim_leader (&s));
      assert_int_equal (full->machine.index, sim_leader (&s)->machine.index);
    }
  assert_true (s.ok > 100);
  assert_no_violation (&s);
  sim_close (&s);
}

/* Guards against entries that only seem to be stored: a sync failed, the kernel dropped the data, a
   later sync succeeded, and power was lost.  */
static void
test_failed_sync_then_power_loss (void **state)
{
  (void)state;
  for (int call = 1; call <= 6; call++)
    {
      struct sim s;
      struct sim_config c = make_config (1, 0);
      sim_init (&s, &c);
      start_all (&s);
      assert_non_null (wait_leader (&s, 100));
      sim_propose (&s, sim_leader (&s), 8);
      sim_run_ms (&s, 100);
      memory_disk_fail_at (s.nodes[0].disk, call);
      for (int i = 0; i < 3; i++)
        {
          sim_propose (&s, &s.nodes[0], 8);
          sim_run_ms (&s, 10);
        }
      sim_run_ms (&s, 4000);
      assert_non_null (sim_leader (&s));
      sim_propose (&s, sim_leader (&s), 8);
      sim_run_ms (&s, 100);
      uint64_t index = s.nodes[0].machine.index;
      sim_crash (&s, &s.nodes[0], 0);
      assert_non_null (wait_leader (&s, 4000));
      sim_run_ms (&s, 100);
      assert_true (s.nodes[0].machine.index >= index);
      assert_no_violation (&s);
      sim_close (&s);
    }
}

static void
store_status (void *arg, const struct status *st, const void *result, size_t len)
{
  (void)result;
  (void)len;
  *(int *)arg = (int)st->kind;
}

/* A lost voter is replaced by a new node, then a second VM is lost: the group must keep committing.
   The replaced disk returns under its old id and must not vote (checked by the simulation).  */
static void
test_second_loss_after_repair (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  raft_member list[3];
  raft_members target = { { 3, list } };
  int changed = -1;
  (void)state;
  sim_init (&s, &c);
  s.delay_max_us = 2000;
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  struct sim_node *first = &s.nodes[leader->id % 3];
  struct sim_node *second = &s.nodes[(leader->id + 1) % 3];
  for (int i = 0; i < 500; i++)
    sim_propose (&s, leader, 100);
  sim_run_ms (&s, 500);
  sim_wipe (&s, first, 3000);
  struct sim_node *fresh = sim_add_node (&s, false);
  sim_start (&s, fresh);
  list[0] = (raft_member){ .node = leader->id, .voter = true };
  list[1] = (raft_member){ .node = second->id, .voter = true };
  list[2] = (raft_member){ .node = fresh->id, .voter = true };
  group_change_members (leader->group, &target, store_status, &changed);
  sim_run_ms (&s, 3000);
  assert_int_equal (changed, STATUS_OK);
  assert_int_equal (fresh->machine.count, 500);
  sim_crash (&s, leader, -1);
  sim_run_ms (&s, 3000);
  assert_non_null (sim_leader (&s));
  sim_propose (&s, sim_leader (&s), 8);
  sim_run_ms (&s, 500);
  assert_int_equal (s.ok, 501);
  assert_no_violation (&s);
  sim_close (&s);
}

/* A planned stop transfers leadership without an election timeout; reads are confirmed.  */
static void
test_transfer_and_confirm (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  (void)state;
  sim_init (&s, &c);
  s.delay_min_us = ONE_WAY_DELAY_US;
  s.delay_max_us = ONE_WAY_DELAY_US;
  start_all (&s);
  struct sim_node *old = wait_leader (&s, 5000);
  sim_run_ms (&s, 1000);
  sim_read (&s, old);
  sim_run_ms (&s, 200);
  assert_int_equal (s.reads, 1);
  assert_int_equal (sim_transfer (&s, old), 0);
  sim_propose (&s, old, 8);
  assert_int_equal (s.outcomes[1], SIM_REFUSED);
  sim_run_ms (&s, 300);
  assert_non_null (sim_leader (&s));
  assert_ptr_not_equal (sim_leader (&s), old);
  assert_no_violation (&s);
  sim_close (&s);
}

static void
cut (struct sim *s, const struct sim_node *a, const struct sim_node *b)
{
  s->partitioned[a->id - 1][b->id - 1] = true;
  s->partitioned[b->id - 1][a->id - 1] = true;
}

static int
count_voters (const struct sim_node *n)
{
  const raft_members *m = group_members (n->group);
  int voters = 0;
  for (u_int i = 0; i < m->members.members_len; i++)
    voters += m->members.members_val[i].voter;
  return voters;
}

/* Guards against a group that bears no lost disk while it replaces a voter without power, whose own
   disk is intact: the voter was removed before its successor was promoted.  */
static void
test_a_disk_is_lost_while_a_stopped_voter_is_replaced (void **state)
{
  (void)state;
  for (int voters = 3; voters <= 5; voters += 2)
    for (int steps = 0; steps < 8; steps++)
      {
        struct sim s;
        struct sim_config c = make_config (voters, 0);
        raft_member list[5];
        const raft_members target = { { (u_int)voters, list } };
        int done = 0;
        sim_init (&s, &c);
        s.delay_min_us = ONE_WAY_DELAY_US;
        s.delay_max_us = ONE_WAY_DELAY_US + 1000;
        start_all (&s);
        struct sim_node *leader = wait_leader (&s, 5000);
        assert_non_null (leader);
        struct sim_node *stopped = &s.nodes[(int)leader->id % voters];
        sim_start (&s, sim_add_node (&s, false));
        sim_crash (&s, stopped, -1);
        sim_run_ms (&s, 3000);
        sim_propose (&s, leader, 8);
        sim_run_ms (&s, 500);
        assert_int_equal (s.ok, 1);
        u_int len = 0;
        for (int i = 0; i <= voters; i++)
          if (&s.nodes[i] != stopped)
            list[len++] = (raft_member){ .node = s.nodes[i].id, .voter = true };
        group_change_members (leader->group, &target, count_done, &done);
        while (count_voters (leader) == voters)
          sim_step (&s);
        sim_run_ms (&s, steps * 10);
        for (int i = 0; i <= voters; i++)
          sim_crash (&s, &s.nodes[i], 100);
        stopped->restart_at_ms = sim_now_ms (&s) + 100;
        for (int i = 1; i <= (voters - 1) / 2; i++)
          sim_wipe (&s, &s.nodes[(int)(stopped->id - 1 + i) % voters], 0);
        for (int i = 0; i < 80 && s.ok == 1; i++)
          {
            sim_propose (&s, sim_leader (&s), 8);
            sim_run_ms (&s, 100);
          }
        assert_true (s.ok > 1);
        assert_no_violation (&s);
        sim_close (&s);
      }
}

/* Runs until a leader other than OLD is elected; its first messages are lost.  */
static struct sim_node *
wait_muted_leader (struct sim *s, const struct sim_node *old)
{
  int64_t until = sim_now_ms (s) + 5000;
  struct sim_node *leader = sim_leader (s);
  while ((!leader || leader == old) && sim_now_ms (s) < until)
    {
      sim_step (s);
      leader = sim_leader (s);
    }
  assert_non_null (leader);
  assert_ptr_not_equal (leader, old);
  if (leader)
    sim_drop_from (s, leader->id);
  return leader;
}

/* Guards against a group without a leader after the loss of one disk: the old leader alone holds an
   uncommitted list in which node 4 votes, node 4 alone holds the last entries of the next leader,
   whose disk is lost, and the list of node 4 does not give it a vote.  */
static void
test_last_entries_of_a_lost_leader_on_a_learner (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct sim s;
      struct sim_config c = make_config (3, 0);
      struct group_stats stats;
      raft_member list[4];
      const raft_members target = { { 4, list } };
      int done = 0;
      c.seed = seed;
      sim_init (&s, &c);
      s.delay_max_us = 2000;
      start_all (&s);
      struct sim_node *first = wait_leader (&s, 5000);
      assert_non_null (first);
      struct sim_node *learner = sim_add_node (&s, false);
      sim_start (&s, learner);
      for (int i = 0; i < 4; i++)
        list[i] = (raft_member){ .node = s.nodes[i].id, .voter = i < 3 };
      group_change_members (first->group, &target, count_done, &done);
      sim_run_ms (&s, 1000);
      assert_int_equal (done, 1);
      sim_propose (&s, first, 8);
      sim_run_ms (&s, 500);
      assert_int_equal (s.ok, 1);
      list[3].voter = true;
      for (int i = 0; i < 4; i++)
        cut (&s, first, &s.nodes[i]);
      group_change_members (first->group, &target, count_done, &done);
      for (int i = 0; i < 100 && group_members (first->group)->members.members_val[3].voter == 0;
           i++)
        sim_step (&s);
      assert_true (raft_members_find (group_members (first->group), learner->id)->voter);
      struct sim_node *second = wait_muted_leader (&s, first);
      for (int i = 0; i < 3; i++)
        if (&s.nodes[i] != second)
          cut (&s, second, &s.nodes[i]);
      sim_run_ms (&s, 1000);
      uint64_t term = group_term (second->group);
      group_stats (learner->group, &stats);
      assert_int_equal (group_entry (learner->group, stats.last)->term, term);
      sim_wipe (&s, second, 100);
      memset (s.partitioned, 0, sizeof s.partitioned);
      for (int i = 0; i < 80 && s.ok == 1; i++)
        {
          sim_propose (&s, sim_leader (&s), 8);
          sim_run_ms (&s, 100);
        }
      assert_true (s.ok > 1);
      sim_run_ms (&s, 2000);
      assert_non_null (sim_leader (&s));
      assert_true (sim_leader (&s) != learner);
      assert_no_violation (&s);
      sim_close (&s);
    }
}

/* Guards against two leaders that act at once: a voter confirmed its leader, was killed, and after
   the restart voted for another voter that had lost that leader.  */
static void
test_a_restarted_voter_elects_nobody_while_its_leader_has_authority (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      struct sim s;
      struct sim_config c = make_config (3, 0);
      c.seed = seed;
      sim_init (&s, &c);
      start_all (&s);
      struct sim_node *leader = wait_leader (&s, 5000);
      assert_non_null (leader);
      struct sim_node *restarted = &s.nodes[leader->id % 3];
      sim_run_ms (&s, 1000);
      cut (&s, leader, &s.nodes[(leader->id + 1) % 3]);
      sim_run_ms (&s, 1000 + (int64_t)seed * 10);
      sim_read (&s, leader);
      sim_run_ms (&s, 50);
      assert_int_equal (s.reads, 1);
      sim_crash (&s, restarted, 20);
      cut (&s, leader, restarted);
      sim_run_ms (&s, 5000);
      assert_ptr_not_equal (sim_leader (&s), leader);
      assert_no_violation (&s);
      sim_close (&s);
    }
}

/* The messages that R sends in response to M at NOW_MS; valid until the next call.  */
static struct raft_output
respond (struct raft *r, const raft_message *m, int64_t now_ms)
{
  struct raft_output out;
  raft_receive (r, m, now_ms);
  raft_output (r, &out, now_ms);
  raft_written (r, now_ms);
  return out;
}

/* Guards against two leaders that act at once: a voter confirmed its leader, learned a higher term
   from a voter that had lost that leader, and then voted for that voter.  */
static void
test_a_higher_term_does_not_release_a_voter_from_its_leader (void **state)
{
  raft_member list[] = { { .node = 1, .voter = true },
                         { .node = 2, .voter = true },
                         { .node = 3, .voter = true } };
  const struct raft_snapshot start = { .members = { { 3, list } } };
  const struct raft_hard_state hard = { .term = 1 };
  struct rng rng;
  (void)state;
  rng_init (&rng, 1);
  const struct raft_config config = { .group = 1, .node = 1, .rng = &rng };
  struct raft *r = raft_create (&config, &hard, &start, NULL, 0, 0);
  raft_message append
      = { .group = 1, .type = RAFT_APPEND_REQUEST, .from = 2, .to = 1, .term = 5, .round = 9 };
  raft_message refusal = { .group = 1, .type = RAFT_PRE_VOTE_REPLY, .from = 3, .to = 1, .term = 6 };
  raft_message pre_vote
      = { .group = 1, .type = RAFT_PRE_VOTE_REQUEST, .from = 3, .to = 1, .term = 7 };
  raft_message vote = { .group = 1, .type = RAFT_VOTE_REQUEST, .from = 3, .to = 1, .term = 6 };
  struct raft_output out = respond (r, &append, 10000);
  assert_int_equal (out.after_len, 1);
  assert_true (out.after[0].granted);
  respond (r, &refusal, 10050);
  assert_int_equal (raft_term (r), 6);
  out = respond (r, &pre_vote, 10000 + AUTHORITY_MS);
  assert_int_equal (out.after_len, 1);
  assert_false (out.after[0].granted);
  out = respond (r, &vote, 10000 + AUTHORITY_MS);
  assert_int_equal (out.after_len, 1);
  assert_false (out.after[0].granted);
  out = respond (r, &vote, 10000 + raft_default_timing ().election_min_ms);
  assert_int_equal (out.after_len, 1);
  assert_true (out.after[0].granted);
  raft_destroy (r);
}

/* Guards against two leaders in one term: a voter granted its vote, the candidate lost its disk,
   and its new store requested the vote of the same term.  */
static void
test_a_vote_counts_only_for_the_store_that_requested_it (void **state)
{
  raft_member list[] = { { .node = 1, .voter = true },
                         { .node = 2, .voter = true },
                         { .node = 3, .voter = true } };
  const struct raft_snapshot start = { .members = { { 3, list } } };
  const struct raft_hard_state hard = { .term = 5 };
  struct rng rng;
  (void)state;
  rng_init (&rng, 1);
  const struct raft_config config = { .group = 1, .node = 1, .rng = &rng };
  struct raft *r = raft_create (&config, &hard, &start, NULL, 0, 0);
  raft_message vote
      = { .group = 1, .type = RAFT_VOTE_REQUEST, .from = 3, .to = 1, .term = 6, .round = 77 };
  struct raft_output out = respond (r, &vote, 10000);
  assert_int_equal (out.after_len, 1);
  assert_true (out.after[0].granted);
  assert_int_equal (out.after[0].round, 77);
  vote.round = 78;
  out = respond (r, &vote, 10010);
  assert_int_equal (out.after_len, 1);
  assert_false (out.after[0].granted);
  raft_message forced = { .group = 1, .type = RAFT_TIMEOUT_NOW, .from = 3, .to = 1, .term = 6 };
  raft_message reply = {
    .group = 1, .type = RAFT_VOTE_REPLY, .from = 2, .to = 1, .term = 7, .granted = true, .round = 77
  };
  respond (r, &forced, 10020);
  assert_int_equal (raft_role (r), RAFT_CANDIDATE);
  respond (r, &reply, 10030);
  assert_int_equal (raft_role (r), RAFT_CANDIDATE);
  reply.round = 0;
  respond (r, &reply, 10040);
  assert_int_equal (raft_role (r), RAFT_LEADER);
  raft_destroy (r);
}

struct recorder
{
  raft_message sent[8];
  size_t count;
};

static void
record_message (void *arg, const raft_message *m)
{
  struct recorder *r = arg;
  assert_true (r->count < 8);
  r->sent[r->count++] = *m;
}

/* Guards against two leaders that act at once: a voter read the round of its leader after a pause
   or a slow disk write, counted it from before the pause, and at its next tick elected another.  */
static void
test_a_message_counts_from_its_receipt_not_from_the_last_tick (void **state)
{
  raft_member list[] = { { .node = 1, .voter = true },
                         { .node = 2, .voter = true },
                         { .node = 3, .voter = true } };
  const raft_members members = { { 3, list } };
  struct sim sim = { .failed = false };
  struct sim_machine machine = { .machine = { &sim_machine_ops }, .sim = &sim, .node = 1 };
  struct recorder recorder = { .count = 0 };
  struct status st;
  struct rng rng;
  (void)state;
  rng_init (&rng, 1);
  struct memory_disk *disk = memory_disk_create (&rng);
  const struct group_config config = { .id = 1,
                                       .node = 1,
                                       .name = "paused",
                                       .members = &members,
                                       .store = journal_open (memory_disk_io (disk), "sim", &st),
                                       .machine = &machine.machine,
                                       .rng = &rng,
                                       .events = { .send = record_message, .arg = &recorder } };
  struct group *g = group_open (&config, 0, &st);
  assert_non_null (g);
  raft_message append
      = { .group = 1, .type = RAFT_APPEND_REQUEST, .from = 2, .to = 1, .term = 5, .round = 9 };
  raft_message pre_vote
      = { .group = 1, .type = RAFT_PRE_VOTE_REQUEST, .from = 3, .to = 1, .term = 6 };
  group_tick (g, 1000);
  group_receive (g, &append, 4000);
  group_flush (g);
  assert_int_equal (recorder.count, 1);
  assert_true (recorder.sent[0].granted);
  group_tick (g, 4010);
  group_receive (g, &pre_vote, 4020);
  group_flush (g);
  assert_int_equal (recorder.count, 2);
  assert_int_equal (recorder.sent[1].type, RAFT_PRE_VOTE_REPLY);
  assert_false (recorder.sent[1].granted);
  group_close (g);
  memory_disk_free (disk);
}

/* Guards against two leaders that act at once: a transfer timed out because its target was paused,
   the leader went on, and the target took over when it ran again.  */
static void
test_a_leader_whose_transfer_timed_out_has_no_authority_in_its_term (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  struct status st;
  (void)state;
  sim_init (&s, &c);
  s.delay_min_us = ONE_WAY_DELAY_US;
  s.delay_max_us = ONE_WAY_DELAY_US;
  start_all (&s);
  struct sim_node *old = wait_leader (&s, 5000);
  const struct sim_node *target = &s.nodes[old->id % 3];
  sim_run_ms (&s, 500);
  s.delay_us[old->id - 1][target->id - 1] = 3000000;
  s.delay_us[target->id - 1][old->id - 1] = 300000;
  sim_run_ms (&s, 5000);
  assert_ptr_equal (sim_leader (&s), old);
  assert_int_equal (group_transfer_leadership (old->group, target->id, &st), 0);
  for (int i = 0; i < 50; i++)
    {
      sim_read (&s, sim_leader (&s));
      sim_run_ms (&s, 100);
    }
  assert_no_violation (&s);
  assert_non_null (sim_leader (&s));
  assert_true (s.reads > 0);
  sim_close (&s);
}

/* Guards against a leader that refuses commands for the duration of a transfer to a voter that
   cannot take over: one that is silent, and one whose disk was replaced.  */
static void
test_leadership_is_not_transferred_to_a_voter_that_cannot_lead (void **state)
{
  struct sim s;
  struct sim_config c = make_config (5, 0);
  struct status st;
  (void)state;
  sim_init (&s, &c);
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  assert_non_null (leader);
  struct sim_node *silent = &s.nodes[leader->id % 5];
  struct sim_node *replaced = &s.nodes[(leader->id + 1) % 5];
  sim_run_ms (&s, 1000);
  cut (&s, leader, silent);
  sim_wipe (&s, replaced, 100);
  sim_run_ms (&s, 3000);
  assert_ptr_equal (sim_leader (&s), leader);
  assert_int_equal (group_transfer_leadership (leader->group, silent->id, &st), -1);
  assert_int_equal (st.kind, STATUS_NO_QUORUM);
  assert_int_equal (group_transfer_leadership (leader->group, replaced->id, &st), -1);
  assert_int_equal (st.kind, STATUS_NO_QUORUM);
  sim_propose (&s, leader, 8);
  sim_run_ms (&s, 500);
  assert_int_equal (s.ok, 1);
  assert_ptr_equal (sim_leader (&s), leader);
  assert_no_violation (&s);
  sim_close (&s);
}

/* While a voter is unreachable, another voter than usual completes the quorum.  That voter must not
   be reported, since leadership would be transferred to it.  */
static void
test_quorum_voter_reported_only_while_all_voters_reply (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  (void)state;
  sim_init (&s, &c);
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  sim_run_ms (&s, 1000);
  sim_read (&s, leader);
  sim_run_ms (&s, 200);
  uint64_t reported = group_quorum_completed_by (leader->group);
  assert_int_not_equal (reported, 0);
  assert_int_not_equal (reported, leader->id);
  for (int i = 0; i < 3; i++)
    if (s.nodes[i].id != leader->id && s.nodes[i].id != reported)
      s.partitioned[i][0] = s.partitioned[i][1] = s.partitioned[i][2] = true;
  sim_run_ms (&s, 1000);
  assert_ptr_equal (sim_leader (&s), leader);
  sim_read (&s, leader);
  sim_run_ms (&s, 200);
  assert_int_equal (group_quorum_completed_by (leader->group), 0);
  assert_no_violation (&s);
  sim_close (&s);
}

static uint64_t
busiest_idle_bytes_per_s (int voters, int learners)
{
  struct sim s;
  struct sim_config c = make_config (voters, learners);
  uint64_t before[SIM_MAX_NODES] = { 0 };
  uint64_t busiest = 0;
  sim_init (&s, &c);
  s.delay_min_us = 1500;
  s.delay_max_us = ONE_WAY_DELAY_US;
  start_all (&s);
  assert_non_null (wait_leader (&s, 5000));
  sim_run_ms (&s, 5000);
  for (int i = 0; i < s.nodes_len; i++)
    before[i] = s.sent_bytes[i] + s.received_bytes[i];
  sim_run_ms (&s, 60000);
  for (int i = 0; i < s.nodes_len; i++)
    {
      uint64_t bytes = s.sent_bytes[i] + s.received_bytes[i] - before[i];
      busiest = bytes > busiest ? bytes : busiest;
    }
  assert_no_violation (&s);
  sim_close (&s);
  return busiest / 60;
}

/* A VM that leads the idle registry and the idle group of its cell stays under 4 KB/s.  */
static void
test_idle_traffic (void **state)
{
  (void)state;
  uint64_t registry = busiest_idle_bytes_per_s (5, 19);
  uint64_t cell = busiest_idle_bytes_per_s (3, 0);
  assert_true (registry + cell < 4096);
}

/* Appends queued behind a snapshot chunk on a 30 Mbit/s link arrive within a heartbeat period.  */
static void
test_snapshot_does_not_delay_heartbeats (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  (void)state;
  c.state_bytes = 2000000;
  c.snapshot_log_bytes = 20000;
  sim_init (&s, &c);
  s.delay_min_us = ONE_WAY_DELAY_US;
  s.delay_max_us = ONE_WAY_DELAY_US;
  s.link_bytes_per_s = 30000000 / 8;
  start_all (&s);
  struct sim_node *leader = wait_leader (&s, 5000);
  struct sim_node *lagging = &s.nodes[leader->id % 3];
  sim_run_ms (&s, 500);
  sim_crash (&s, lagging, -1);
  for (int i = 0; i < 200; i++)
    {
      sim_propose (&s, leader, 200);
      sim_run_ms (&s, 10);
    }
  uint64_t elections = s.elections;
  s.longest_append_us = 0;
  lagging->restart_at_ms = sim_now_ms (&s);
  for (int i = 0; i < 100 && s.snapshots_installed == 0; i++)
    {
      sim_propose (&s, leader, 200);
      sim_run_ms (&s, 100);
    }
  sim_run_ms (&s, 500);
  assert_int_equal (lagging->machine.index, leader->machine.index);
  assert_int_equal (s.elections, elections);
  assert_true (s.longest_append_us < raft_default_timing ().heartbeat_ms * 1000);
  assert_no_violation (&s);
  sim_close (&s);
}

#define HALF_WAY_MS 300 /* of a snapshot of SNAPSHOT_BYTES on a link of LINK_BYTES_PER_S */
#define SNAPSHOT_BYTES 2000000
#define LINK_BYTES_PER_S (30000000 / 8)
#define CONVERGE_LIMIT_MS 20000

static void
propose_for_snapshot (struct sim *s, struct sim_node *leader)
{
  for (int i = 0; i < 200; i++)
    {
      sim_propose (s, leader, 200);
      sim_run_ms (s, 10);
    }
}

/* Starts three voters and sends one of them, which is returned, half of a snapshot.  */
static struct sim_node *
send_half_a_snapshot (struct sim *s)
{
  struct sim_config c = make_config (3, 0);
  c.state_bytes = SNAPSHOT_BYTES;
  c.snapshot_log_bytes = 20000;
  c.step_ms = 5;
  sim_init (s, &c);
  s->delay_min_us = ONE_WAY_DELAY_US;
  s->delay_max_us = ONE_WAY_DELAY_US;
  s->link_bytes_per_s = LINK_BYTES_PER_S;
  start_all (s);
  struct sim_node *leader = wait_leader (s, 5000);
  assert_non_null (leader);
  struct sim_node *lagging = &s->nodes[leader->id % 3];
  sim_run_ms (s, 500);
  sim_crash (s, lagging, -1);
  propose_for_snapshot (s, leader);
  lagging->restart_at_ms = sim_now_ms (s);
  for (int i = 0; i < 1000 && !raft_sending_snapshot (leader->group->raft); i++)
    sim_step (s);
  sim_run_ms (s, HALF_WAY_MS);
  assert_true (raft_sending_snapshot (leader->group->raft));
  assert_int_equal (s->snapshots_installed, 0);
  return lagging;
}

static void
assert_catches_up (struct sim *s, const struct sim_node *n)
{
  int64_t until = sim_now_ms (s) + CONVERGE_LIMIT_MS;
  uint64_t ok = s->ok;
  while (sim_now_ms (s) < until
         && (s->ok == ok || !n->group || !sim_leader (s)
             || n->machine.index != sim_leader (s)->machine.index))
    {
      if (s->ok == ok)
        sim_propose (s, sim_leader (s), 8);
      sim_run_ms (s, 50);
    }
  assert_true (s->ok > ok);
  assert_non_null (sim_leader (s));
  assert_int_equal (n->machine.index, sim_leader (s)->machine.index);
  assert_no_violation (s);
}

/* Guards against a group that loses its state with a restart, or stops, because a snapshot can't be
   encoded: the log is kept instead, and a later snapshot is taken.  */
static void
test_a_state_that_cannot_be_encoded_stays_in_the_log (void **state)
{
  struct sim s;
  struct sim_config c = make_config (3, 0);
  (void)state;
  c.snapshot_log_bytes = 20000;
  c.unencodable_state = true;
  sim_init (&s, &c);
  start_all (&s);
  assert_non_null (wait_leader (&s, 5000));
  propose_for_snapshot (&s, sim_leader (&s));
  for (int i = 0; i < s.nodes_len; i++)
    {
      assert_false (group_has_failed (s.nodes[i].group));
      assert_int_equal (s.nodes[i].group->snapshot_index, 0);
      sim_crash (&s, &s.nodes[i], 500);
    }
  sim_run_ms (&s, 5000);
  struct sim_node *leader = wait_leader (&s, 5000);
  assert_non_null (leader);
  s.config.unencodable_state = false;
  propose_for_snapshot (&s, leader);
  assert_true (leader->group->snapshot_index > 0);
  assert_no_violation (&s);
  sim_close (&s);
}

/* Guards against a leader that goes on in the middle of a snapshot whose first part is gone.  */
static void
test_a_member_restarts_half_way_through_a_snapshot (void **state)
{
  struct sim s;
  (void)state;
  struct sim_node *lagging = send_half_a_snapshot (&s);
  sim_crash (&s, lagging, 100);
  assert_catches_up (&s, lagging);
  assert_true (s.snapshots_installed > 0);
  sim_close (&s);
}

/* Guards against a member that mixes parts of the snapshots of two leaders.  */
static void
test_the_leader_changes_half_way_through_a_snapshot (void **state)
{
  struct sim s;
  (void)state;
  struct sim_node *lagging = send_half_a_snapshot (&s);
  sim_crash (&s, sim_leader (&s), 3000);
  assert_catches_up (&s, lagging);
  assert_true (s.snapshots_installed > 0);
  sim_close (&s);
}

/* Guards against a member that mixes parts of two snapshots of one leader.  */
static void
test_a_newer_snapshot_half_way_through_a_snapshot (void **state)
{
  struct sim s;
  (void)state;
  struct sim_node *lagging = send_half_a_snapshot (&s);
  struct sim_node *leader = sim_leader (&s);
  uint64_t index = leader->group->snapshot_index;
  for (int i = 0; i < 5 * SNAPSHOT_BYTES / 4000; i++)
    sim_propose (&s, leader, 4000);
  sim_run_ms (&s, 10);
  assert_true (leader->group->snapshot_index > index);
  assert_int_equal (s.snapshots_installed, 0);
  assert_catches_up (&s, lagging);
  assert_true (s.snapshots_installed > 0);
  sim_close (&s);
}

/* Guards against a transfer that ends for good, or with other content, when the network loses,
   doubles and reorders chunks and their replies.  */
static void
test_chunks_of_a_snapshot_are_lost_doubled_and_overtaken (void **state)
{
  struct sim s;
  (void)state;
  struct sim_node *lagging = send_half_a_snapshot (&s);
  s.loss = 0.1;
  s.duplicate = 0.2;
  s.delay_max_us = 4 * ONE_WAY_DELAY_US;
  sim_run_ms (&s, 3000);
  s.loss = 0;
  assert_catches_up (&s, lagging);
  assert_true (s.snapshots_installed > 0);
  sim_close (&s);
}

/* Fills the disks of COUNT of the voters that follow the leader, until their stores have failed. */
static void
fail_stores (struct sim *s, int voters, int count)
{
  struct sim_config c = make_config (voters, 0);
  sim_init (s, &c);
  s->delay_max_us = 2000;
  start_all (s);
  struct sim_node *leader = wait_leader (s, 5000);
  assert_non_null (leader);
  sim_run_ms (s, 500);
  for (int i = 0; i < count; i++)
    memory_disk_set_full (s->nodes[((int)leader->id + i) % voters].disk, true);
  for (int i = 0; i < 10; i++)
    {
      sim_propose (s, leader, 100);
      sim_run_ms (s, 20);
    }
  for (int i = 0; i < count; i++)
    assert_true (group_has_failed (s->nodes[((int)leader->id + i) % voters].group));
}

#define RECOVERY_WRITE_CALLS 8

/* Guards against two voters that stay outside when a write of their recovery fails, too.  */
static void
test_two_members_recover_at_once_and_a_write_fails (void **state)
{
  (void)state;
  for (int call = 1; call <= RECOVERY_WRITE_CALLS; call++)
    {
      struct sim s;
      fail_stores (&s, 5, 2);
      int first = (int)sim_leader (&s)->id;
      for (int i = 0; i < 2; i++)
        {
          memory_disk_set_full (s.nodes[(first + i) % 5].disk, false);
          memory_disk_fail_at (s.nodes[(first + i) % 5].disk, call);
        }
      sim_run_ms (&s, 3000);
      for (int i = 0; i < 2; i++)
        {
          assert_catches_up (&s, &s.nodes[(first + i) % 5]);
          assert_false (group_has_failed (s.nodes[(first + i) % 5].group));
        }
      sim_close (&s);
    }
}

/* Guards against a store that cannot be opened, or has lost acknowledged entries, after a power
   loss while it was written again.  */
static void
test_power_is_lost_while_a_store_is_written_again (void **state)
{
  (void)state;
  for (int call = 1; call <= RECOVERY_WRITE_CALLS; call++)
    {
      struct sim s;
      fail_stores (&s, 3, 1);
      struct sim_node *n = &s.nodes[sim_leader (&s)->id % 3];
      memory_disk_set_full (n->disk, false);
      memory_disk_crash_at (n->disk, call);
      sim_run_ms (&s, 3000);
      assert_catches_up (&s, n);
      assert_false (group_has_failed (n->group));
      sim_close (&s);
    }
}

/* Guards against a recovered voter that votes again in a term of before its failure, which the
   simulation checks, or that is of no use to the leaders of later terms.  */
static void
test_a_voter_recovers_with_the_term_of_before_its_failure (void **state)
{
  struct sim s;
  (void)state;
  fail_stores (&s, 5, 1);
  struct sim_node *first = sim_leader (&s);
  struct sim_node *n = &s.nodes[first->id % 5];
  sim_crash (&s, first, -1);
  sim_run_ms (&s, 3000);
  assert_non_null (sim_leader (&s));
  sim_crash (&s, sim_leader (&s), -1);
  sim_run_ms (&s, 3000);
  memory_disk_set_full (n->disk, false);
  sim_run_ms (&s, 1000);
  assert_false (group_has_failed (n->group));
  assert_catches_up (&s, n);
  sim_close (&s);
}

int
main (void)
{
  struct log_config quiet = { .level = LOG_ERROR };
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_single_voter),
          cmocka_unit_test (test_single_voter_confirms_itself),
          cmocka_unit_test (test_a_restarted_voter_elects_nobody_while_its_leader_has_authority),
          cmocka_unit_test (test_a_higher_term_does_not_release_a_voter_from_its_leader),
          cmocka_unit_test (test_a_vote_counts_only_for_the_store_that_requested_it),
          cmocka_unit_test (test_a_message_counts_from_its_receipt_not_from_the_last_tick),
          cmocka_unit_test (test_a_leader_whose_transfer_timed_out_has_no_authority_in_its_term),
          cmocka_unit_test (test_leadership_is_not_transferred_to_a_voter_that_cannot_lead),
          cmocka_unit_test (test_quorum_voter_reported_only_while_all_voters_reply),
          cmocka_unit_test (test_confirms_as_soon_as_a_quorum_replies),
          cmocka_unit_test (test_replicates),
          cmocka_unit_test (test_leader_replaced_within_2_s),
          cmocka_unit_test (test_a_learner_that_follows_a_busy_leader_is_promoted),
          cmocka_unit_test (test_a_busy_learner_is_promoted),
          cmocka_unit_test (test_a_replaced_disk_votes_before_two_more_are_lost),
          cmocka_unit_test (test_a_second_replaced_disk_is_demoted_at_once),
          cmocka_unit_test (test_full_disk_stops_acknowledging),
          cmocka_unit_test (test_full_disks_one_after_the_other),
          cmocka_unit_test (test_failed_sync_then_power_loss),
          cmocka_unit_test (test_second_loss_after_repair),
          cmocka_unit_test (test_a_disk_is_lost_while_a_stopped_voter_is_replaced),
          cmocka_unit_test (test_last_entries_of_a_lost_leader_on_a_learner),
          cmocka_unit_test (test_transfer_and_confirm),
          cmocka_unit_test (test_idle_traffic),
          cmocka_unit_test (test_snapshot_does_not_delay_heartbeats),
          cmocka_unit_test (test_a_state_that_cannot_be_encoded_stays_in_the_log),
          cmocka_unit_test (test_a_member_restarts_half_way_through_a_snapshot),
          cmocka_unit_test (test_the_leader_changes_half_way_through_a_snapshot),
          cmocka_unit_test (test_a_newer_snapshot_half_way_through_a_snapshot),
          cmocka_unit_test (test_chunks_of_a_snapshot_are_lost_doubled_and_overtaken),
          cmocka_unit_test (test_two_members_recover_at_once_and_a_write_fails),
          cmocka_unit_test (test_power_is_lost_while_a_store_is_written_again),
          cmocka_unit_test (test_a_voter_recovers_with_the_term_of_before_its_failure) };
  log_configure (&quiet);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
