/* Seeded test of a final fault: some members lose their disks and all others lose power.

   Guards against a group that stays without a leader, or loses an acknowledged command, after a
   fault that it must survive, because it came while the members were being changed, a snapshot was
   being sent or a member was writing its failed store again.

   Usage: log_final_faults [--first N] [--seeds N] [--state-bytes N] [--regions] [--trace]
   Each seed is one run, with snapshots of less than --state-bytes and their commands.  The members
   are kept by voter_plan and member_sync, as in seeded_group, on clocks that run ten times as fast
   as in the product.  After some faults, at a chosen moment, as many disks are lost as the group
   tolerates; every other member loses power.  All start again. Then a command must commit within
   RECOVERY_MS and all members must hold the same state.

   A lost disk counts as lost until its member has been back for REPLACE_MS without another fault.
   So no more disks are lost at one time than the group tolerates.  */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "group_internal.h"
#include "log_sim.h"
#include "member_sync.h"
#include "voter_plan.h"

#define DEFAULT_SEEDS 500
#define DEFAULT_STATE_BYTES 3000
#define TIME_SCALE 10       /* timing of this test to that of the product */
#define REPLACE_MS 600      /* time in which a lost disk is replaced */
#define RECOVERY_MS 6000    /* time to converge after the final fault */
#define CALM_START_MS 1000  /* time without faults at the start */
#define MOMENT_WAIT_MS 2000 /* the final fault waits at most this long for its moment */
#define RENEWAL_MS 20       /* between two renewals of a leader's authority */
#define TRACE_TAIL_BYTES 16000

enum moment
{
  MOMENT_ANY,
  MOMENT_CHANGING,   /* a member list is not committed, or more changes follow */
  MOMENT_SNAPSHOT,   /* a snapshot is being sent */
  MOMENT_RECOVERING, /* a member writes its failed store again */
  MOMENT_COUNT,
};

enum form
{
  FORM_ANY,
  FORM_AFTER_ACK,      /* in the step of an acknowledgement */
  FORM_AFTER_PROPOSAL, /* up to 20 ms after a proposal */
  FORM_COUNT,
};

enum victims
{
  VICTIMS_RANDOM,
  VICTIMS_VOTERS,
  VICTIMS_OLDEST, /* the stores that are in use for the longest time */
  VICTIMS_LEADER, /* the leader and random others */
  VICTIMS_COUNT,
};

/* What the VM of a node keeps beside its group.  */
struct control
{
  struct member_sync sync;
  struct group *group; /* that SYNC was made for */
  bool leading;
  int64_t last_active_ms[SIM_MAX_NODES];
};

struct scenario
{
  struct sim sim;
  struct rng rng;
  struct control controls[SIM_MAX_NODES];
  int tolerance;                        /* disks that may be lost at one time */
  bool lost[SIM_MAX_NODES];             /* counts as lost */
  int64_t back_ms[SIM_MAX_NODES];       /* time without faults since a lost member is back */
  int64_t store_ms[SIM_MAX_NODES];      /* when its store was created */
  int64_t full_until_ms[SIM_MAX_NODES]; /* 0: the disk works */
  bool fail_recovery[SIM_MAX_NODES];    /* a write point of its recovery fails */
  int64_t isolated_until_ms;            /* 0: nobody is isolated */
  int64_t next_fault_ms;
  int64_t next_renewal_ms;
  int faults_left;
  enum moment moment;
  enum form form;
  enum victims victims;
  int64_t propose_ms; /* FORM_AFTER_PROPOSAL: when the fault follows, 0: no proposal yet */
  bool moment_met;
  bool regions; /* votes move to members near the leader */
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

static void
init_scenario (struct scenario *sc, uint64_t seed, uint64_t state_bytes, bool regions, FILE *trace)
{
  memset (sc, 0, sizeof *sc);
  sc->regions = regions;
  rng_init (&sc->rng, seed * 2654435761u + 5);
  int voters = rng_chance (&sc->rng, 0.5) ? 3 : 5;
  struct sim_config c = { .seed = seed,
                          .voters = voters,
                          .timing = short_timing (),
                          .snapshot_log_bytes = 1500u + (uint64_t)rng_below (&sc->rng, 20000),
                          .append_bytes = 100u + (uint32_t)rng_below (&sc->rng, 1500),
                          .chunk_bytes = 64u + (uint32_t)rng_below (&sc->rng, 300),
                          .state_bytes = (uint32_t)rng_below (&sc->rng, state_bytes),
                          .step_ms = 5,
                          .authority_ms = 70 };
  sim_init (&sc->sim, &c);
  sc->sim.trace = trace;
  sc->sim.delay_min_us = 200;
  sc->sim.delay_max_us = rng_between (&sc->rng, 500, 4000);
  sc->tolerance = (voters - 1) / 2;
  for (int i = (int)rng_below (&sc->rng, 3); i > 0; i--)
    sim_add_node (&sc->sim, false);
  for (int i = 0; i < sc->sim.nodes_len; i++)
    {
      sc->sim.nodes[i].rate = 0.95 + 0.1 * rng_unit (&sc->rng);
      sc->sim.nodes[i].offset_ms = rng_between (&sc->rng, 0, 1000000);
      sim_start (&sc->sim, &sc->sim.nodes[i]);
    }
  sc->next_fault_ms = CALM_START_MS;
  sc->faults_left = (int)rng_between (&sc->rng, 1, 5);
  sc->moment = (enum moment)rng_below (&sc->rng, MOMENT_COUNT);
  sc->form = (enum form)rng_below (&sc->rng, FORM_COUNT);
  sc->victims = (enum victims)rng_below (&sc->rng, VICTIMS_COUNT);
}

/* ---- the members, as seeded_group keeps them ---- */

/* With regions the members with even and odd numbers are far from each other.  */
static int64_t
distance_ms (const struct scenario *sc, uint64_t leader, uint64_t node)
{
  return sc->regions && leader % 2 != node % 2 ? 2 * VOTER_DISTANT_MS : 0;
}

static bool
has_vote (const struct group_stats *stats, uint64_t node)
{
  for (size_t i = 0; i < stats->peers_len; i++)
    if (stats->peers[i].node == node)
      return stats->peers[i].has_vote;
  return false;
}

static size_t
list_members (struct scenario *sc, struct control *control, const struct sim_node *leader,
              struct plan_member *out)
{
  struct sim *s = &sc->sim;
  const raft_members *members = group_members (leader->group);
  struct group_stats stats;
  size_t n = 0;
  group_stats (leader->group, &stats);
  for (size_t i = 0; i < stats.peers_len; i++)
    if (stats.peers[i].active)
      control->last_active_ms[stats.peers[i].node - 1] = sim_now_ms (s);
  for (u_int i = 0; i < members->members.members_len; i++)
    {
      const raft_member *m = &members->members.members_val[i];
      int64_t inactive_ms = sim_now_ms (s) - control->last_active_ms[m->node - 1];
      out[n++] = (struct plan_member){ .node = m->node,
                                       .self = m->node == leader->id,
                                       .voter = m->voter,
                                       .inactive_ms
                                       = m->node == leader->id ? 0 : inactive_ms * TIME_SCALE,
                                       .has_vote = has_vote (&stats, m->node),
                                       .distance_ms = distance_ms (sc, leader->id, m->node) };
    }
  for (int i = 0; i < s->nodes_len; i++)
    if (s->nodes[i].group && !raft_members_find (members, s->nodes[i].id)
        && !s->partitioned[i][leader->id - 1])
      out[n++] = (struct plan_member){ .node = s->nodes[i].id, .distance_ms = INT64_MAX };
  return n;
}

static void
sync_members (struct scenario *sc, struct sim_node *n)
{
  struct control *control = &sc->controls[n->id - 1];
  struct plan_member plan[PEER_MAX_MEMBERS];
  raft_member target[PEER_MAX_MEMBERS];
  size_t count = 0;
  if (control->group != n->group)
    {
      control->group = n->group;
      member_sync_init (&control->sync, n->group, "sim");
    }
  if (!n->group || !group_is_leader (n->group))
    {
      control->leading = false;
      return;
    }
  if (!control->leading)
    for (int i = 0; i < SIM_MAX_NODES; i++)
      control->last_active_ms[i] = sim_now_ms (&sc->sim);
  control->leading = true;
  size_t len = list_members (sc, control, n, plan);
  voter_plan (plan, len);
  for (size_t i = 0; i < len; i++)
    if (!plan[i].dropped)
      target[count++] = (raft_member){ .node = plan[i].node, .voter = plan[i].voter };
  member_sync_tick (&control->sync, target, count, sim_now_ms (&sc->sim) * TIME_SCALE);
}

/* ---- faults ---- */

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

static int
lost_disks (const struct scenario *sc)
{
  int lost = 0;
  for (int i = 0; i < sc->sim.nodes_len; i++)
    lost += sc->lost[i];
  return lost;
}

static void
lose_disk (struct scenario *sc, struct sim_node *n, int64_t down_ms)
{
  sim_wipe (&sc->sim, n, down_ms);
  n->restart_at_ms = sim_now_ms (&sc->sim) + down_ms;
  sc->lost[n->id - 1] = true;
  sc->back_ms[n->id - 1] = 0;
  sc->store_ms[n->id - 1] = sim_now_ms (&sc->sim);
  sc->full_until_ms[n->id - 1] = 0;
}

static void
wipe (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.3);
  if (!sc->lost[n->id - 1] && lost_disks (sc) < sc->tolerance)
    lose_disk (sc, n, rng_between (&sc->rng, 20, 400));
}

/* Long enough for some members to be replaced.  */
static void
power_loss (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.3);
  sim_crash (&sc->sim, n, rng_between (&sc->rng, 20, 800));
}

static void
power_loss_of_all (struct scenario *sc)
{
  for (int i = 0; i < sc->sim.nodes_len; i++)
    sim_crash (&sc->sim, &sc->sim.nodes[i], rng_between (&sc->rng, 10, 200));
}

static void
heal (struct scenario *sc)
{
  memset (sc->sim.partitioned, 0, sizeof sc->sim.partitioned);
  sc->isolated_until_ms = 0;
  sim_trace (&sc->sim, "network healed");
}

static void
isolate (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.5);
  for (int i = 0; i < SIM_MAX_NODES; i++)
    {
      sc->sim.partitioned[n->id - 1][i] = true;
      sc->sim.partitioned[i][n->id - 1] = true;
    }
  sc->isolated_until_ms = sim_now_ms (&sc->sim) + rng_between (&sc->rng, 50, 800);
  sim_trace (&sc->sim, "node %d isolated", (int)n->id);
}

/* One or two disks refuse writes; when they work again, the recovery of the store may fail too.  */
static void
fill_disks (struct scenario *sc)
{
  for (int i = rng_chance (&sc->rng, 0.4) ? 2 : 1; i > 0; i--)
    {
      struct sim_node *n = leader_or_any (sc, 0.4);
      memory_disk_set_full (n->disk, true);
      sc->full_until_ms[n->id - 1] = sim_now_ms (&sc->sim) + rng_between (&sc->rng, 20, 800);
      sc->fail_recovery[n->id - 1] = rng_chance (&sc->rng, 0.5);
      sim_trace (&sc->sim, "disk of node %d is full", (int)n->id);
    }
}

static void
fail_write (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.4);
  if (n->group)
    memory_disk_fail_at (n->disk, (int)rng_between (&sc->rng, 1, 8));
}

static void
crash_in_write (struct scenario *sc)
{
  struct sim_node *n = leader_or_any (sc, 0.4);
  if (n->group)
    memory_disk_crash_at (n->disk, (int)rng_between (&sc->rng, 1, 8));
}

static void
transfer (struct scenario *sc)
{
  struct sim_node *leader = sim_leader (&sc->sim);
  if (leader)
    sim_transfer (&sc->sim, leader);
}

typedef void (*fault) (struct scenario *sc);

static const fault faults[]
    = { wipe,    wipe,    wipe,       power_loss, power_loss,     power_loss, power_loss_of_all,
        isolate, isolate, fill_disks, fail_write, crash_in_write, transfer };

static void
inject_faults (struct scenario *sc)
{
  int64_t now = sim_now_ms (&sc->sim);
  if (sc->isolated_until_ms != 0 && now >= sc->isolated_until_ms)
    heal (sc);
  if (sc->faults_left == 0 || now < sc->next_fault_ms)
    return;
  sc->faults_left--;
  sc->next_fault_ms = now + rng_between (&sc->rng, 20, 1200);
  faults[rng_below (&sc->rng, sizeof faults / sizeof faults[0])](sc);
}

static bool
has_failed_disk (const struct sim_node *n)
{
  struct group_stats stats;
  if (!n->group)
    return false;
  group_stats (n->group, &stats);
  return stats.disk_failed;
}

static void
follow_full_disks (struct scenario *sc)
{
  for (int i = 0; i < sc->sim.nodes_len; i++)
    {
      struct sim_node *n = &sc->sim.nodes[i];
      if (sc->full_until_ms[i] != 0 && sim_now_ms (&sc->sim) >= sc->full_until_ms[i])
        {
          memory_disk_set_full (n->disk, false);
          sc->full_until_ms[i] = 0;
          int call = (int)rng_between (&sc->rng, 1, 8);
          if (sc->fail_recovery[i] && has_failed_disk (n) && rng_chance (&sc->rng, 0.5))
            memory_disk_crash_at (n->disk, call);
          else if (sc->fail_recovery[i] && has_failed_disk (n))
            memory_disk_fail_at (n->disk, call);
          sc->fail_recovery[i] = false;
        }
    }
}

static bool
is_calm (const struct scenario *sc)
{
  for (int i = 0; i < sc->sim.nodes_len; i++)
    if (!sc->sim.nodes[i].group || has_failed_disk (&sc->sim.nodes[i]))
      return false;
  return sc->isolated_until_ms == 0;
}

/* Ends the time for which a disk counts as lost.  */
static void
count_replaced (struct scenario *sc)
{
  if (!is_calm (sc))
    return;
  for (int i = 0; i < sc->sim.nodes_len; i++)
    {
      if (!sc->lost[i])
        continue;
      sc->back_ms[i] += sc->sim.config.step_ms;
      if (sc->back_ms[i] < REPLACE_MS)
        continue;
      sc->lost[i] = false;
      sim_trace (&sc->sim, "the disk of node %d counts as replaced", i + 1);
    }
}

/* ---- the final fault ---- */

static bool
is_moment (struct scenario *sc)
{
  struct sim_node *leader = sim_leader (&sc->sim);
  switch (sc->moment)
    {
    case MOMENT_CHANGING:
      return leader && leader->group->change_done;
    case MOMENT_SNAPSHOT:
      return leader && raft_sending_snapshot (leader->group->raft);
    case MOMENT_RECOVERING:
      for (int i = 0; i < sc->sim.nodes_len; i++)
        if (has_failed_disk (&sc->sim.nodes[i]) && sc->full_until_ms[i] == 0)
          return true;
      return false;
    default:
      return true;
    }
}

static bool
is_form (struct scenario *sc, uint64_t ok_before)
{
  struct sim *s = &sc->sim;
  switch (sc->form)
    {
    case FORM_AFTER_ACK:
      return s->ok > ok_before;
    case FORM_AFTER_PROPOSAL:
      if (sc->propose_ms == 0 && sim_leader (s))
        {
          sim_propose (s, sim_leader (s), 8);
          sc->propose_ms = sim_now_ms (s) + rng_between (&sc->rng, 0, 20);
        }
      return sc->propose_ms != 0 && sim_now_ms (s) >= sc->propose_ms;
    default:
      return true;
    }
}

static bool
is_voter (const struct sim *s, const struct sim_node *n)
{
  const raft_member *m = raft_members_find (&s->members, n->id);
  return m && m->voter;
}

static struct sim_node *
oldest_store (struct scenario *sc)
{
  struct sim_node *oldest = NULL;
  for (int i = 0; i < sc->sim.nodes_len; i++)
    if (!sc->lost[i] && (!oldest || sc->store_ms[i] < sc->store_ms[oldest->id - 1]))
      oldest = &sc->sim.nodes[i];
  return oldest;
}

static struct sim_node *
next_victim (struct scenario *sc, const struct sim_node *leader)
{
  if (sc->victims == VICTIMS_OLDEST)
    return oldest_store (sc);
  if (sc->victims == VICTIMS_LEADER && leader && !sc->lost[leader->id - 1])
    return sim_node (&sc->sim, leader->id);
  for (int tries = 0; tries < 100; tries++)
    {
      struct sim_node *n = any_node (sc);
      if (!sc->lost[n->id - 1] && (sc->victims != VICTIMS_VOTERS || is_voter (&sc->sim, n)))
        return n;
    }
  return NULL;
}

static void
strike (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  const struct sim_node *leader = sim_leader (s);
  sim_trace (s, "final fault: moment %d, form %d, victims %d, %d disks lost before", sc->moment,
             sc->form, sc->victims, lost_disks (sc));
  for (int left = sc->tolerance - lost_disks (sc); left > 0; left--)
    {
      struct sim_node *n = next_victim (sc, leader);
      if (n)
        lose_disk (sc, n, 0);
    }
  heal (sc);
  for (int i = 0; i < s->nodes_len; i++)
    {
      struct sim_node *n = &s->nodes[i];
      sim_crash (s, n, 0);
      n->restart_at_ms = sim_now_ms (s) + rng_between (&sc->rng, 10, 200);
      sc->full_until_ms[i] = 0;
      memory_disk_set_full (n->disk, false);
      memory_disk_fail_at (n->disk, 0);
      memory_disk_crash_at (n->disk, 0);
    }
}

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

static void
step (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  renew_authority (sc);
  for (int i = 0; i < s->nodes_len; i++)
    sync_members (sc, &s->nodes[i]);
  sim_step (s);
  follow_full_disks (sc);
  count_replaced (sc);
}

/* Faults, then the final fault at its moment, at the latest MOMENT_WAIT_MS after the last fault. */
static void
run_until_struck (struct scenario *sc)
{
  struct sim *s = &sc->sim;
  bool done = false;
  while (!s->failed && !done)
    {
      inject_faults (sc);
      if (rng_chance (&sc->rng, 0.5))
        sim_propose (s, sim_leader (s), (size_t)rng_below (&sc->rng, 200));
      uint64_t ok_before = s->ok;
      step (sc);
      bool late = sim_now_ms (s) > sc->next_fault_ms + MOMENT_WAIT_MS;
      bool met = is_moment (sc) && is_form (sc, ok_before);
      done = sc->faults_left == 0 && (met || late);
      sc->moment_met = done && met;
    }
  if (!s->failed)
    strike (sc);
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
  int64_t until = sim_now_ms (s) + 200 + RECOVERY_MS;
  uint64_t ok = s->ok;
  while (!s->failed && sim_now_ms (s) < until && (s->ok == ok || !converged (sc)))
    {
      if (s->ok == ok && sim_now_ms (s) % 50 == 0)
        sim_propose (s, sim_leader (s), 8);
      step (sc);
    }
  if (s->ok == ok)
    sim_fail (s, "no command commits %d ms after the final fault", RECOVERY_MS);
  else if (!converged (sc))
    sim_fail (s, "members still differ %d ms after the final fault", RECOVERY_MS);
}

struct totals
{
  uint64_t ok;
  uint64_t elections;
  uint64_t snapshots;
  uint64_t moments[MOMENT_COUNT]; /* final faults at their moment */
};

static bool
run_seed (uint64_t seed, uint64_t state_bytes, bool regions, FILE *trace, struct totals *totals,
          char *failure, size_t failure_size)
{
  struct scenario *sc = xmalloc (sizeof *sc);
  struct sim *s = &sc->sim;
  init_scenario (sc, seed, state_bytes, regions, trace);
  run_until_struck (sc);
  if (!s->failed)
    recover (sc);
  if (!s->failed)
    sim_check_end (s);
  totals->ok += s->ok;
  totals->elections += s->elections;
  totals->snapshots += s->snapshots_installed;
  totals->moments[sc->moment] += sc->moment_met;
  bool failed = s->failed;
  snprintf (failure, failure_size, "%s", s->failure);
  sim_close (s);
  free (sc);
  return !failed;
}

static void
print_trace (uint64_t seed, uint64_t state_bytes, bool regions)
{
  char *text = NULL;
  size_t len = 0;
  char failure[256];
  struct totals unused = { 0 };
  FILE *trace = open_memstream (&text, &len);
  if (!trace)
    return;
  run_seed (seed, state_bytes, regions, trace, &unused, failure, sizeof failure);
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
  uint64_t state_bytes = DEFAULT_STATE_BYTES;
  bool regions = false;
  FILE *trace = NULL;
  struct totals totals = { 0 };
  char failure[256];
  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--first") == 0 && i + 1 < argc)
        first = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--seeds") == 0 && i + 1 < argc)
        seeds = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--state-bytes") == 0 && i + 1 < argc)
        state_bytes = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--regions") == 0)
        regions = true;
      else if (strcmp (argv[i], "--trace") == 0)
        trace = stdout;
      else
        {
          fprintf (stderr, "usage: log_final_faults [--first N] [--seeds N] [--state-bytes N] "
                           "[--regions] [--trace]\n");
          return 2;
        }
    }
  if (!freopen ("/dev/null", "w", stderr))
    return 2;
  for (uint64_t seed = first; seed < first + seeds; seed++)
    {
      if (run_seed (seed, state_bytes, regions, trace, &totals, failure, sizeof failure))
        continue;
      printf ("seed %llu: %s\n", (unsigned long long)seed, failure);
      if (!trace)
        print_trace (seed, state_bytes, regions);
      return 1;
    }
  printf ("%llu seeds: %llu acknowledged, %llu leaders, %llu snapshots loaded; final faults at any "
          "time %llu, in a change %llu, in a snapshot %llu, in a recovery %llu\n",
          (unsigned long long)seeds, (unsigned long long)totals.ok,
          (unsigned long long)totals.elections, (unsigned long long)totals.snapshots,
          (unsigned long long)totals.moments[MOMENT_ANY],
          (unsigned long long)totals.moments[MOMENT_CHANGING],
          (unsigned long long)totals.moments[MOMENT_SNAPSHOT],
          (unsigned long long)totals.moments[MOMENT_RECOVERING]);
  return 0;
}
