/* Times and traffic of a group on a simulated clock, with the default timing.

   Prints the time without a leader after the leader crashes, the traffic of an idle group per VM,
   and the longest delivery time of append requests during a snapshot transfer on a 30 Mbit/s link.
   Usage: bench_log_times  */
#include <stdio.h>
#include <stdlib.h>

#include "log.h"
#include "log_sim.h"

#define FAILOVER_RUNS 200
#define IDLE_MS 60000
#define LINK_BYTES_PER_S 3750000 /* 30 Mbit/s */
#define MAX_WAIT_MS 20000

static void
start_all (struct sim *s)
{
  for (int i = 0; i < s->nodes_len; i++)
    {
      s->nodes[i].offset_ms = (int64_t)i * 1000;
      sim_start (s, &s->nodes[i]);
    }
}

static struct sim_node *
wait_leader (struct sim *s)
{
  int64_t until = sim_now_ms (s) + MAX_WAIT_MS;
  while (!sim_leader (s) && sim_now_ms (s) < until)
    sim_step (s);
  return sim_leader (s);
}

static int
compare_ms (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

/* Time from the leader's crash to the first command committed by its successor.  */
static int64_t
measure_outage_ms (uint64_t seed, int voters, int64_t delay_us)
{
  struct sim s;
  struct sim_config c = { .seed = seed, .voters = voters, .step_ms = 5 };
  sim_init (&s, &c);
  s.delay_min_us = delay_us;
  s.delay_max_us = delay_us + delay_us / 10;
  start_all (&s);
  wait_leader (&s);
  sim_run_ms (&s, 1000 + (int64_t)(seed * 37 % 1000));
  int64_t crash_ms = sim_now_ms (&s);
  uint64_t ok = s.ok;
  sim_crash (&s, sim_leader (&s), -1);
  while (s.ok == ok && sim_now_ms (&s) - crash_ms < MAX_WAIT_MS)
    {
      sim_propose (&s, sim_leader (&s), 64);
      sim_step (&s);
    }
  int64_t outage_ms = sim_now_ms (&s) - crash_ms;
  sim_close (&s);
  return outage_ms;
}

static void
measure_failover (int voters, int64_t delay_us)
{
  int64_t outages_ms[FAILOVER_RUNS];
  for (int i = 0; i < FAILOVER_RUNS; i++)
    outages_ms[i] = measure_outage_ms ((uint64_t)i + 1, voters, delay_us);
  qsort (outages_ms, FAILOVER_RUNS, sizeof outages_ms[0], compare_ms);
  printf ("failover: %d voters, %.1f ms one way, %d runs: median %lld ms, 99%% %lld ms, "
          "longest %lld ms\n",
          voters, (double)delay_us / 1000, FAILOVER_RUNS, (long long)outages_ms[FAILOVER_RUNS / 2],
          (long long)outages_ms[FAILOVER_RUNS * 99 / 100],
          (long long)outages_ms[FAILOVER_RUNS - 1]);
}

static void
measure_idle (int voters, int learners)
{
  struct sim s;
  struct sim_config c = { .seed = 3, .voters = voters, .learners = learners };
  double leader_rate = 0;
  double max_other_rate = 0;
  sim_init (&s, &c);
  s.delay_min_us = 1500;
  s.delay_max_us = 30000;
  start_all (&s);
  const struct sim_node *leader = wait_leader (&s);
  sim_run_ms (&s, 5000);
  uint64_t before[SIM_MAX_NODES] = { 0 };
  for (int i = 0; i < s.nodes_len; i++)
    before[i] = s.sent_bytes[i] + s.received_bytes[i];
  sim_run_ms (&s, IDLE_MS);
  for (int i = 0; i < s.nodes_len; i++)
    {
      double rate = (double)(s.sent_bytes[i] + s.received_bytes[i] - before[i]) * 1000 / IDLE_MS;
      if (&s.nodes[i] == leader)
        leader_rate = rate;
      else if (rate > max_other_rate)
        max_other_rate = rate;
    }
  printf ("idle: %d voters, %d learners: leader %.0f bytes/s, busiest other VM %.0f bytes/s, sent "
          "and received\n",
          voters, learners, leader_rate, max_other_rate);
  sim_close (&s);
}

static void
measure_snapshot (uint32_t state_bytes)
{
  struct sim s;
  struct sim_config c = { .seed = 5, .voters = 3, .state_bytes = state_bytes, .step_ms = 1 };
  c.snapshot_log_bytes = 20000;
  sim_init (&s, &c);
  s.delay_min_us = 30000;
  s.delay_max_us = 30000;
  s.link_bytes_per_s = LINK_BYTES_PER_S;
  start_all (&s);
  struct sim_node *leader = wait_leader (&s);
  struct sim_node *lagging = &s.nodes[leader == &s.nodes[0] ? 1 : 0];
  sim_run_ms (&s, 500);
  sim_crash (&s, lagging, -1);
  for (int i = 0; i < 400; i++)
    {
      sim_propose (&s, leader, 200);
      sim_run_ms (&s, 5);
    }
  sim_run_ms (&s, 1000);
  s.longest_append_us = 0;
  int64_t start = sim_now_ms (&s);
  uint64_t elections = s.elections;
  lagging->restart_at_ms = start;
  while (lagging->machine.index < leader->machine.index && sim_now_ms (&s) - start < 600000)
    {
      if (sim_now_ms (&s) % 100 == 0)
        sim_propose (&s, leader, 200);
      sim_step (&s);
    }
  double taken_s = (double)(sim_now_ms (&s) - start) / 1000;
  printf ("snapshot of %.1f MB over 30 Mbit/s, 30 ms one way: %.1f s, %.1f Mbit/s, longest append "
          "delivery %.1f ms, %llu elections\n",
          state_bytes / 1e6, taken_s, state_bytes * 8.0 / 1e6 / taken_s,
          (double)s.longest_append_us / 1000, (unsigned long long)(s.elections - elections));
  sim_close (&s);
}

int
main (void)
{
  struct log_config quiet = { .level = LOG_ERROR };
  log_configure (&quiet);
  measure_failover (3, 1500);
  measure_failover (3, 30000);
  measure_failover (5, 1500);
  measure_failover (5, 30000);
  measure_idle (3, 0);
  measure_idle (5, 0);
  measure_idle (5, 19);
  measure_snapshot (1000000);
  measure_snapshot (20000000);
  return 0;
}
