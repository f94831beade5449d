/* Seeded fault test of the real raft, journal and group.

   Guards against: two leaders in a term, two votes in a term, a committed entry lost or changed,
   state machines that diverge, an acknowledged command lost, a refused command run, a stale read, a
   vote from a replaced disk, and a group that does not recover after the faults end.

   Usage: log_faults [--first N] [--seeds N] [--expect-failure] [--trace]
   Each seed is one run under message loss, duplication, reordering and delay, partitions (also
   one-way), crashes at any write point, disks that are full for a while, clocks that run at
   different rates, membership changes and replaced disks.  A failing seed is run again and the end
   of its trace printed.  With --expect-failure the program succeeds only if some seed fails; it
   checks the deliberately broken builds.  */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "log_sim.h"

/* A seed must give the same run on every machine: no two arguments of one call draw random numbers,
   since their order is up to the compiler.  */

#define DEFAULT_SEEDS 500
#define FAULT_MS 6000        /* simulated time with faults */
#define RECOVERY_MS 6000     /* time to converge afterwards */
#define MEAN_FAULT_GAP_MS 90 /* between two faults */
#define RENEWAL_MS 20        /* between two renewals of a leader's authority */
#define MAX_FULL_MS 1000     /* a disk that refused a write may refuse all for this long */
#define FULL_CHANCE 0.02     /* chance per step that a disk that failed a write is full */
#define RESTART_CHANCE 0.005 /* chance per step that the VM of a failed disk is restarted */
#define TRACE_TAIL_BYTES 16000

struct scenario
{
  struct sim sim;
  struct rng rng;      /* separate from the simulation's, so that each can be followed */
  struct rng disk_rng; /* how long a disk stays full, and whether its VM restarts */
  int64_t full_until_ms[SIM_MAX_NODES]; /* 0: the disk works */
  int64_t next_fault_ms;
  int64_t next_renewal_ms;
  bool changing;
  bool change_done;
  bool repaired;            /* a lost voter was just replaced */
  bool lost[SIM_MAX_NODES]; /* stopped permanently */
  double propose_chance;
  double leader_fault;     /* chance that a new leader fails at once */
  double voter_fault;      /* chance that a node restarts after it granted a vote */
  int64_t heal_at_ms;      /* 0: no healing is scheduled */
  uint64_t failing_leader; /* a new leader that is about to fail */
  int64_t failing_at_ms;
};

static struct raft_timing
short_timing (void)
{
  return (struct raft_timing){ .heartbeat_ms = 60,
                               .learner_heartbeat_ms = 300,
                               .election_min_ms = 130,
                               .election_max_ms = 200,
                               .retry_min_ms = 20,
                               .retry_max_ms = 60,
                               .quorum_ms = 190,
                               .commit_notice_ms = 5,
                               .restart_ms = 110 };
}

/* Some seeds make elections collide and their winners fail at once: without these faults a lost
   vote or the commit of an old term's entry violates nothing.  */
static void
choose_election_faults (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  if (rng_chance (&sc->rng, 0.4))
    return;
  s->delay_min_us = 6000;
  s->delay_max_us = 6000 + rng_between (&sc->rng, 0, 20000);
  if (rng_chance (&sc->rng, 0.5))
    {
      sc->leader_fault = 0.95;
      s->config.append_bytes = 100;
      return;
    }
  /* A pre-vote grant this short lets several candidates request votes in one term.  */
  s->config.timing.retry_min_ms = 1;
  s->config.timing.retry_max_ms = 40;
  sc->voter_fault = 0.8;
  sc->leader_fault = 0.3;
}

static void
init_scenario (struct scenario *sc, uint64_t seed, FILE *trace)
{
  static const int voter_choices[] = { 3, 3, 3, 5, 1 };
  memset (sc, 0, sizeof *sc);
  rng_init (&sc->rng, seed * 2654435761u + 1);
  rng_init (&sc->disk_rng, seed * 2246822519u + 3);
  struct sim_config c = { .seed = seed,
                          .voters = voter_choices[rng_below (&sc->rng, 5)],
                          .learners = (int)rng_below (&sc->rng, 3),
                          .timing = short_timing (),
                          .snapshot_log_bytes = 1500u + (uint64_t)rng_below (&sc->rng, 20000),
                          .append_bytes = 100u + (uint32_t)rng_below (&sc->rng, 1500),
                          .chunk_bytes = 64u + (uint32_t)rng_below (&sc->rng, 300),
                          .state_bytes = (uint32_t)rng_below (&sc->rng, 800),
                          .step_ms = 5,
                          .authority_ms = 70 }; /* election_min - retry_min, on clocks 15% off */
  /* Equal timeouts make candidates collide.  */
  if (rng_chance (&sc->rng, 0.3))
    c.timing.election_max_ms = c.timing.election_min_ms + 10;
  sim_init (&sc->sim, &c);
  sc->sim.trace = trace;
  sc->sim.delay_min_us = 200;
  sc->sim.delay_max_us = rng_between (&sc->rng, 1000, 25000);
  sc->sim.loss = rng_chance (&sc->rng, 0.5) ? 0.0 : rng_unit (&sc->rng) * 0.15;
  sc->sim.duplicate = rng_chance (&sc->rng, 0.5) ? 0.0 : rng_unit (&sc->rng) * 0.1;
  sc->propose_chance = rng_unit (&sc->rng);
  choose_election_faults (sc);
  for (int i = 0; i < sc->sim.nodes_len; i++)
    {
      sc->sim.nodes[i].rate = 0.85 + 0.3 * rng_unit (&sc->rng);
      sc->sim.nodes[i].offset_ms = rng_between (&sc->rng, 0, 1000000);
      sim_start (&sc->sim, &sc->sim.nodes[i]);
    }
}

static struct sim_node *
any_node (struct scenario *sc)
{
  return &sc->sim.nodes[rng_below (&sc->rng, (uint64_t)sc->sim.nodes_len)];
}

static struct sim_node *
leader_or_any (struct scenario *sc, double leader_chance)
{
  struct sim_node *leader = sim_leader (&sc->sim);
  return leader && rng_chance (&sc->rng, leader_chance) ? leader : any_node (sc);
}

static int64_t
down_time (struct scenario *sc)
{
  return rng_between (&sc->rng, 1, rng_chance (&sc->rng, 0.7) ? 100 : 900);
}

/* ---- faults ---- */

static void
crash (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.5);
  sim_crash (&sc->sim, n, down_time (sc));
}

static void
crash_in_write (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.4);
  if (n->group && n->disk)
    memory_disk_crash_at (n->disk, (int)rng_between (&sc->rng, 1, 8));
}

static void
fill_disk (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.4);
  if (n->group && n->disk)
    memory_disk_fail_at (n->disk, (int)rng_between (&sc->rng, 1, 8));
}

static void
heal (struct scenario *sc)
{
  memset (sc->sim.partitioned, 0, sizeof sc->sim.partitioned);
  sim_trace (&sc->sim, "network healed");
}

static void
partition (struct scenario *sc)
{
  bool side[SIM_MAX_NODES];
  for (int i = 0; i < SIM_MAX_NODES; i++)
    side[i] = rng_chance (&sc->rng, 0.5);
  for (int i = 0; i < SIM_MAX_NODES; i++)
    for (int k = 0; k < SIM_MAX_NODES; k++)
      sc->sim.partitioned[i][k] = side[i] != side[k];
  sim_trace (&sc->sim, "partition");
}

static void
partition_one_way (struct scenario *sc)
{
  sc->sim.partitioned[any_node (sc)->id - 1][any_node (sc)->id - 1] = true;
}

static void
isolate (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.8);
  uint64_t directions = 1 + rng_below (&sc->rng, 3);
  for (int i = 0; i < SIM_MAX_NODES; i++)
    {
      if (directions & 1)
        sc->sim.partitioned[n->id - 1][i] = true;
      if (directions & 2)
        sc->sim.partitioned[i][n->id - 1] = true;
    }
  sim_trace (&sc->sim, "node %d isolated, directions %d", (int)n->id, (int)directions);
}

static void
transfer (struct scenario *sc)
{
  struct sim_node *leader = sim_leader (&sc->sim);
  if (leader)
    sim_transfer (&sc->sim, leader);
}

static void
change_finished (void *arg, const struct status *st, const void *result, size_t len)
{
  struct scenario *sc = arg;
  (void)result;
  (void)len;
  sc->changing = false;
  sc->change_done = st->kind == STATUS_OK;
}

static void
request_members (struct scenario *sc, struct sim_node *leader, raft_members *target)
{
  sc->changing = true;
  for (u_int i = 0; i < target->members.members_len; i++)
    sim_trace (&sc->sim, "target at node %d: node %d voter %d", (int)leader->id,
               (int)target->members.members_val[i].node, (int)target->members.members_val[i].voter);
  group_change_members (leader->group, target, change_finished, sc);
}

static void
drop_member (raft_members *m, uint64_t node)
{
  u_int kept = 0;
  for (u_int i = 0; i < m->members.members_len; i++)
    if (m->members.members_val[i].node != node)
      m->members.members_val[kept++] = m->members.members_val[i];
  m->members.members_len = kept;
}

/* Replaces one member, up or down, by a new node; when none is dropped the group grows.  */
static void
change_members (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  struct sim_node *leader = sim_leader (s);
  raft_members target = { { 0, NULL } };
  if (!leader || sc->changing || s->nodes_len >= SIM_MAX_NODES - 2)
    return;
  raft_members_copy (&target, group_members (leader->group));
  const struct sim_node *old = any_node (sc);
  if (old != leader && target.members.members_len > 2)
    drop_member (&target, old->id);
  if (target.members.members_len < 6 && rng_chance (&sc->rng, 0.8))
    {
      struct sim_node *n = sim_add_node (s, rng_chance (&sc->rng, 0.15));
      n->rate = 0.85 + 0.3 * rng_unit (&sc->rng);
      sim_start (s, n);
      u_int len = target.members.members_len++;
      target.members.members_val
          = xrealloc (target.members.members_val, (len + 1) * sizeof *target.members.members_val);
      target.members.members_val[len] = (raft_member){ .node = n->id, .voter = !n->diskless };
    }
  request_members (sc, leader, &target);
  raft_members_free (&target);
}

static int
lost_voters (struct scenario *sc)
{
  int lost = 0;
  for (int i = 0; i < sc->sim.nodes_len; i++)
    lost += sc->lost[i] || sc->sim.nodes[i].wiped;
  return lost;
}

/* Stops a VM permanently or wipes its disk; the next change may replace it.  */
static void
lose_vm (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  struct sim_node *n = leader_or_any (sc, 0.3);
  if (n->diskless || lost_voters (sc) > (sc->repaired ? 1 : 0) || s->config.voters < 3)
    return;
  sc->repaired = false;
  if (rng_chance (&sc->rng, 0.5))
    {
      sim_wipe (s, n, down_time (sc));
      return;
    }
  sim_crash (s, n, -1);
  n->restart_at_ms = -1;
  sc->lost[n->id - 1] = true;
  sim_trace (s, "node %d lost permanently", (int)n->id);
}

static void
replace_lost (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  struct sim_node *leader = sim_leader (s);
  raft_members target = { { 0, NULL } };
  if (!leader || sc->changing || s->nodes_len >= SIM_MAX_NODES - 1)
    return;
  raft_members_copy (&target, group_members (leader->group));
  for (u_int i = 0; i < target.members.members_len; i++)
    {
      raft_member *m = &target.members.members_val[i];
      struct sim_node *old = sim_node (s, m->node);
      if (!m->voter || old == leader || (!sc->lost[m->node - 1] && !old->wiped))
        continue;
      struct sim_node *n = sim_add_node (s, false);
      sim_start (s, n);
      *m = (raft_member){ .node = n->id, .voter = true };
      request_members (sc, leader, &target);
      break;
    }
  raft_members_free (&target);
}

/* Restores the vote of a voter with a replaced disk under its old id: a learner first, then a voter
   with the new store.  */
static void
repair_wiped (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  struct sim_node *leader = sim_leader (s);
  raft_members target = { { 0, NULL } };
  if (!leader || sc->changing)
    return;
  raft_members_copy (&target, group_members (leader->group));
  for (u_int i = 0; i < target.members.members_len; i++)
    {
      raft_member *m = &target.members.members_val[i];
      if (m->node == leader->id || !sim_node (s, m->node)->wiped)
        continue;
      m->voter = !m->voter;
      request_members (sc, leader, &target);
      break;
    }
  raft_members_free (&target);
}

/* A replaced disk counts as repaired once the committed members give its store the vote.  */
static void
record_repairs (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  for (int i = 0; i < s->nodes_len; i++)
    {
      struct sim_node *n = &s->nodes[i];
      struct group_stats stats;
      if (!n->wiped || !n->group)
        continue;
      const raft_member *member = raft_members_find (&s->members, n->id);
      group_stats (n->group, &stats);
      if (member && member->voter && member->store == stats.store)
        {
          n->wiped = false;
          sim_trace (s, "node %d regains its vote", (int)n->id);
        }
    }
}

typedef void (*fault) (struct scenario *sc);

static const fault faults[] = {
  crash,        crash,        crash_in_write, crash_in_write, crash_in_write, fill_disk,
  partition,    heal,         heal,           heal,           heal,           partition_one_way,
  isolate,      isolate,      transfer,       lose_vm,        transfer,       change_members,
  replace_lost, replace_lost, repair_wiped,   repair_wiped,
};

static void
inject_faults (struct scenario *sc)
{
  if (sc->change_done)
    {
      /* A second VM is lost right after the repair.  */
      sc->change_done = false;
      sc->repaired = true;
      lose_vm (sc);
    }
  if (sim_now_ms (&sc->sim) < sc->next_fault_ms)
    return;
  sc->next_fault_ms
      = sim_now_ms (&sc->sim) + (int64_t)rng_exponential (&sc->rng, MEAN_FAULT_GAP_MS);
  faults[rng_below (&sc->rng, sizeof faults / sizeof faults[0])](sc);
}

/* Stops or isolates a new leader, usually dropping its messages in flight.  */
static void
fail_leader (struct scenario *sc, struct sim_node *n)
{
  struct sim *s = &sc->sim;
  if (rng_chance (&sc->rng, 0.8))
    sim_drop_from (s, n->id);
  if (rng_chance (&sc->rng, 0.5))
    {
      sim_crash (s, n, rng_between (&sc->rng, 1, 250));
      return;
    }
  for (int i = 0; i < SIM_MAX_NODES; i++)
    {
      sc->sim.partitioned[n->id - 1][i] = true;
      sc->sim.partitioned[i][n->id - 1] = true;
    }
  sim_trace (s, "new leader %d isolated", (int)n->id);
  sc->heal_at_ms = sim_now_ms (s) + rng_between (&sc->rng, 20, 250);
}

static void
fail_elections (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  int64_t now = sim_now_ms (s);
  if (sc->heal_at_ms != 0 && now >= sc->heal_at_ms)
    {
      sc->heal_at_ms = 0;
      heal (sc);
    }
  if (s->new_leader != 0 && rng_chance (&sc->rng, sc->leader_fault))
    {
      sc->failing_leader = s->new_leader;
      sc->failing_at_ms = now + (rng_chance (&sc->rng, 0.5) ? 0 : rng_between (&sc->rng, 5, 60));
    }
  if (s->new_voter != 0 && rng_chance (&sc->rng, sc->voter_fault))
    sim_crash (s, sim_node (s, s->new_voter), 1);
  s->new_leader = 0;
  s->new_voter = 0;
  if (sc->failing_leader != 0 && now >= sc->failing_at_ms)
    {
      fail_leader (sc, sim_node (s, sc->failing_leader));
      sc->failing_leader = 0;
    }
}

/* Restarts N, whose disk has failed a write, or lets the disk refuse all writes for a while.  */
static void
prolong_failure (struct scenario *sc, struct sim_node *n)
{
  struct sim *s = &sc->sim;
  if (rng_chance (&sc->disk_rng, RESTART_CHANCE))
    sim_crash (s, n, 50);
  else if (rng_chance (&sc->disk_rng, FULL_CHANCE))
    {
      memory_disk_set_full (n->disk, true);
      sc->full_until_ms[n->id - 1] = sim_now_ms (s) + rng_between (&sc->disk_rng, 1, MAX_FULL_MS);
    }
}

/* Few VMs whose disk failed a write are restarted; the others must return without a restart.  */
static void
follow_failed_disks (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  for (int i = 0; i < s->nodes_len; i++)
    {
      struct sim_node *n = &s->nodes[i];
      int64_t *full_until_ms = &sc->full_until_ms[i];
      struct group_stats stats;
      if (n->disk && *full_until_ms != 0 && sim_now_ms (s) >= *full_until_ms)
        {
          memory_disk_set_full (n->disk, false);
          *full_until_ms = 0;
        }
      if (!n->disk || !n->group || *full_until_ms != 0)
        continue;
      group_stats (n->group, &stats);
      if (stats.disk_failed)
        prolong_failure (sc, n);
    }
}

static void
issue_requests (struct scenario *sc)
{
  if (rng_chance (&sc->rng, sc->propose_chance))
    for (uint64_t i = rng_below (&sc->rng, 4); i > 0; i--)
      {
        struct sim_node *n = leader_or_any (sc, 0.95);
        sim_propose (&sc->sim, n, (size_t)rng_below (&sc->rng, 200));
      }
  if (rng_chance (&sc->rng, 0.05))
    sim_read (&sc->sim, leader_or_any (sc, 0.8));
}

/* Every leader renews its authority, as the services do.  */
static void
renew_authority (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  if (sim_now_ms (s) < sc->next_renewal_ms)
    return;
  sc->next_renewal_ms = sim_now_ms (s) + RENEWAL_MS;
  for (int i = 0; i < s->nodes_len; i++)
    if (s->nodes[i].group && group_is_leader (s->nodes[i].group))
      sim_read (s, &s->nodes[i]);
}

/* ---- recovery ---- */

/* True when every member list that a live node holds has a majority of live voters with their
   disk.  */
static bool
can_recover (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  for (int i = 0; i < s->nodes_len; i++)
    {
      if (!s->nodes[i].group)
        continue;
      const raft_members *m = group_members (s->nodes[i].group);
      int voters = 0;
      int usable = 0;
      for (u_int k = 0; k < m->members.members_len; k++)
        {
          const raft_member *member = &m->members.members_val[k];
          const struct sim_node *n = sim_node (s, member->node);
          voters += member->voter;
          usable += member->voter && n->group && !n->wiped;
        }
      if (voters > 0 && usable <= voters / 2)
        return false;
    }
  return true;
}

static bool
converged (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  struct sim_node *leader = sim_leader (s);
  if (!leader)
    return false;
  const raft_members *m = group_members (leader->group);
  for (u_int k = 0; k < m->members.members_len; k++)
    {
      struct sim_node *n = sim_node (s, m->members.members_val[k].node);
      if (n->group && n->machine.index != leader->machine.index)
        return false;
    }
  return true;
}

static void
recover (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  heal (sc);
  s->loss = 0;
  s->duplicate = 0;
  s->delay_max_us = s->delay_min_us; /* reordering is a fault: connections keep the order */
  for (int i = 0; i < s->nodes_len; i++)
    {
      struct sim_node *n = &s->nodes[i];
      if (n->disk)
        {
          memory_disk_fail_at (n->disk, 0);
          memory_disk_set_full (n->disk, false);
          memory_disk_crash_at (n->disk, 0);
        }
      if (!n->group && !sc->lost[i])
        n->restart_at_ms = 0;
    }
  sim_run_ms (s, 200);
  if (!can_recover (sc))
    return;
  int64_t until = sim_now_ms (s) + RECOVERY_MS;
  uint64_t ok = s->ok;
  while (!s->failed && sim_now_ms (s) < until && (s->ok == ok || !converged (sc)))
    {
      if (s->ok == ok)
        sim_propose (s, sim_leader (s), 8);
      sim_run_ms (s, 50);
    }
  if (s->ok == ok)
    sim_fail (s, "no command commits %d ms after the faults ended", RECOVERY_MS);
  else if (!converged (sc))
    sim_fail (s, "members still differ %d ms after the faults ended", RECOVERY_MS);
}

struct totals
{
  uint64_t ok;
  uint64_t commands;
  uint64_t reads;
  uint64_t elections;
  uint64_t snapshots;
  uint64_t recovered;
};

static bool
run_seed (uint64_t seed, FILE *trace, struct totals *totals, char *failure, size_t failure_size)
{
  struct scenario *sc = xmalloc (sizeof *sc);
  struct sim *s = &sc->sim;
  init_scenario (sc, seed, trace);
  while (!s->failed && sim_now_ms (s) < FAULT_MS)
    {
      inject_faults (sc);
      issue_requests (sc);
      renew_authority (sc);
      sim_step (s);
      follow_failed_disks (sc);
      fail_elections (sc);
      record_repairs (sc);
    }
  uint64_t before = s->ok;
  if (!s->failed)
    recover (sc);
  totals->recovered += s->ok > before;
  if (!s->failed)
    sim_check_end (s);
  totals->ok += s->ok;
  totals->commands += s->next_command;
  totals->reads += s->reads;
  totals->elections += s->elections;
  totals->snapshots += s->snapshots_installed;
  bool failed = s->failed;
  snprintf (failure, failure_size, "%s", s->failure);
  sim_close (s);
  free (sc);
  return !failed;
}

static void
print_trace (uint64_t seed)
{
  char *text = NULL;
  size_t len = 0;
  char failure[256];
  struct totals unused = { 0 };
  FILE *trace = open_memstream (&text, &len);
  if (!trace)
    return;
  run_seed (seed, trace, &unused, failure, sizeof failure);
  fclose (trace);
  const char *tail = len > TRACE_TAIL_BYTES ? text + len - TRACE_TAIL_BYTES : text;
  printf ("end of the trace of seed %llu:\n%s\n", (unsigned long long)seed, tail);
  free (text);
}

int
main (int argc, char **argv)
{
  uint64_t first = 1;
  uint64_t seeds = DEFAULT_SEEDS;
  bool expect_failure = false;
  FILE *trace = NULL;
  struct totals totals = { 0 };
  char failure[256];
  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--first") == 0 && i + 1 < argc)
        first = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--seeds") == 0 && i + 1 < argc)
        seeds = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--expect-failure") == 0)
        expect_failure = true;
      else if (strcmp (argv[i], "--trace") == 0)
        trace = stdout;
      else
        {
          fprintf (stderr,
                   "usage: log_faults [--first N] [--seeds N] [--expect-failure] [--trace]\n");
          return 2;
        }
    }
  if (!freopen ("/dev/null", "w", stderr))
    return 2;
  for (uint64_t seed = first; seed < first + seeds; seed++)
    {
      if (run_seed (seed, trace, &totals, failure, sizeof failure))
        continue;
      printf ("seed %llu: %s\n", (unsigned long long)seed, failure);
      if (expect_failure)
        return 0;
      if (!trace)
        print_trace (seed);
      return 1;
    }
  printf ("%llu seeds: %llu commands, %llu acknowledged, %llu reads, %llu leaders, %llu snapshots "
          "loaded, %llu runs recovered\n",
          (unsigned long long)seeds, (unsigned long long)totals.commands,
          (unsigned long long)totals.ok, (unsigned long long)totals.reads,
          (unsigned long long)totals.elections, (unsigned long long)totals.snapshots,
          (unsigned long long)totals.recovered);
  return expect_failure ? 1 : 0;
}
