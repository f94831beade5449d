/* Compares the scheduler's policy with a simple baseline (first fit, no learning, evict newest, no
   quarantine, submission order) on the same seeds.  Workers are simulated.  The scheduler does not
   see the interference between classes, only samples that are LAG_S seconds old.
   Usage: bench_scheduler_policy [SEEDS [SCENARIO]]

   Columns: urgent start delay and slowdown at p50/p99/p99.9; batch work kept (core-hours) and its
   share of the reference run, which has the same urgent tasks but no interference; work lost
   (core-hours); deadlines met and missed; evictions, of these for slowdown (moves); throttles;
   failed jobs; starts; urgent tasks never started.  */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_worker.h"
#include "rng.h"

#define STEP_MS 20
#define LAG_S 5
#define RUN_MS (30 * 60 * 1000)
#define MAX_WORKERS 65
#define MAX_DELAYS 200000
#define SLOWDOWN_BUCKETS 4000 /* of 0.001 */
#define SERVICES 3
#define CLASSES 6
#define BASELINE                                                                                   \
  (SCHEDULER_FIRST_FIT | SCHEDULER_NO_LEARNING | SCHEDULER_EVICT_NEWEST | SCHEDULER_NO_QUARANTINE  \
   | SCHEDULER_FIFO)

enum scenario
{
  STEADY,
  MORNING_RAMP,
  INTERFERENCE_WAVES,
  WRONG_ESTIMATES,
  DATA_CENTRE_OUT,
  FAILING_WORKERS,
  CANCEL_BURSTS,
  SCENARIOS
};

static const char *const scenario_names[]
    = { [STEADY] = "calm",           [MORNING_RAMP] = "dawn",        [INTERFERENCE_WAVES] = "waves",
        [WRONG_ESTIMATES] = "wrong", [DATA_CENTRE_OUT] = "out-back", [FAILING_WORKERS] = "failing",
        [CANCEL_BURSTS] = "cancels" };

/* Slowdown of a service per share of the worker's processors that a class uses.  */
static const double class_interference[SERVICES][CLASSES] = {
  { 0.05, 0.10, 0.05, 0.5, 1.5, 2.5 },
  { 0.10, 0.05, 0.05, 0.2, 2.0, 0.3 },
  { 0.05, 0.05, 0.10, 0.4, 0.5, 1.8 },
};

struct setup
{
  const char *name;
  size_t workers;
  uint32_t millicores;
  uint32_t memory_mb;
};

static const struct setup setups[]
    = { { "50x16", 50, 16000, 60000 }, { "65x32", 65, 32000, 125000 } };

struct result
{
  double *delays;
  size_t delay_count;
  uint64_t slowdown_counts[SLOWDOWN_BUCKETS];
  uint64_t slowdown_count;
  double kept_core_h;
  double lost_core_h;
  uint64_t met;
  uint64_t missed;
  uint64_t evictions;
  uint64_t slowdown_evictions; /* included in evictions */
  uint64_t throttles;
  uint64_t failed_jobs;
  uint64_t starts;
  uint64_t urgent_unstarted;
};

struct sim
{
  struct cell cell;
  struct scheduler *sched;
  const struct setup *setup;
  enum scenario scenario;
  bool no_interference; /* reference run */
  struct rng rng;       /* workload; the same sequence under every policy */
  struct rng noise;
  int64_t now_ms;
  int64_t start_ms;
  struct fake_worker workers[MAX_WORKERS];
  uint32_t jobs;
  double urgent_target; /* share of the processors */
  uint64_t urgent_jobs[4096];
  uint32_t urgent_millicores[4096];
  size_t urgent_first;
  size_t urgent_count;
  double urgent_requested_millicores; /* of all live urgent jobs */
  double batch_due;                   /* core-ms of batch work still to submit */
  uint64_t burst[2000];
  size_t burst_count;
  struct scheduler_proposal proposals[64];
  size_t proposal_count;
  struct result *result;
};

static void
apply (struct sim *s, const struct buffer *entry, cell_result *first)
{
  struct buffer out;
  cell_results r;
  struct status st;
  buffer_init (&out);
  s->cell.machine.ops->apply (&s->cell.machine, 1, entry->data, entry->len, &out);
  if (first && cell_decode_results (out.data, out.len, &r, &st) == 0)
    {
      *first = r.results.results_val[0];
      cell_free_results (&r);
    }
  buffer_close (&out);
}

static cell_result
command (struct sim *s, cell_command *cmd)
{
  struct buffer entry;
  cell_result r;
  memset (&r, 0, sizeof r);
  buffer_init (&entry);
  cell_encode (&s->cell, s->now_ms, cmd, 1, &entry);
  apply (s, &entry, &r);
  buffer_close (&entry);
  return r;
}

static uint64_t
submit (struct sim *s, cell_job_spec *spec, char *payload)
{
  static char customers[2][8] = { "huron", "kigali" };
  char request[24];
  snprintf (request, sizeof request, "r%u", s->jobs);
  spec->customer = customers[s->jobs++ % 2];
  spec->request_id = request;
  spec->payload = payload;
  cell_command cmd = { .kind = CELL_SUBMIT, .cell_command_u.submit = *spec };
  uint64_t id = command (s, &cmd).job;
  spec->request_id = NULL;
  return id;
}

static double
processors (const struct sim *s)
{
  return (double)s->setup->workers * s->setup->millicores;
}

static void
submit_urgent (struct sim *s)
{
  char payload[32];
  char service[8];
  cell_job_spec spec;
  memset (&spec, 0, sizeof spec);
  snprintf (service, sizeof service, "s%d", (int)rng_below (&s->rng, SERVICES));
  spec.service = service;
  spec.kind = CELL_URGENT;
  spec.replicas = (uint32_t)rng_between (&s->rng, 2, 4);
  spec.size.millicores = (uint32_t)rng_between (&s->rng, 1, 3) * 1000;
  spec.size.memory_mb = (uint32_t)rng_between (&s->rng, 1000, 6000);
  spec.max_per_rack = 2;
  snprintf (payload, sizeof payload, "use=%u", spec.size.millicores * 7 / 10);
  uint64_t id = submit (s, &spec, payload);
  size_t at = (s->urgent_first + s->urgent_count++) % 4096;
  s->urgent_jobs[at] = id;
  s->urgent_millicores[at] = spec.size.millicores * spec.replicas;
  s->urgent_requested_millicores += s->urgent_millicores[at];
}

static void
cancel (struct sim *s, uint64_t *ids, size_t count)
{
  cell_command cmd = { .kind = CELL_CANCEL };
  cmd.cell_command_u.cancel.jobs.jobs_len = (u_int)count;
  cmd.cell_command_u.cancel.jobs.jobs_val = ids;
  command (s, &cmd);
}

static void
cancel_urgent (struct sim *s)
{
  cancel (s, &s->urgent_jobs[s->urgent_first], 1);
  s->urgent_requested_millicores -= s->urgent_millicores[s->urgent_first];
  s->urgent_first = (s->urgent_first + 1) % 4096;
  s->urgent_count--;
}

static int
pick_class (struct sim *s)
{
  int64_t at = s->now_ms - s->start_ms;
  bool wave = s->scenario == INTERFERENCE_WAVES && (at / 150000) % 2 == 1;
  if (wave && rng_chance (&s->rng, 0.7))
    return (int)rng_between (&s->rng, 4, 5);
  return rng_chance (&s->rng, 0.8) ? (int)rng_below (&s->rng, 3) : (int)rng_between (&s->rng, 3, 5);
}

static double
run_time_error (struct sim *s)
{
  double x = exp ((rng_unit (&s->rng) * 2 - 1) * 1.1);
  return s->scenario == WRONG_ESTIMATES ? x : 1;
}

static uint64_t
submit_batch (struct sim *s)
{
  static const uint32_t checkpoints[3] = { 0, 300, 3000 };
  char payload[64];
  char service[8];
  cell_job_spec spec;
  memset (&spec, 0, sizeof spec);
  int class_id = pick_class (s);
  snprintf (service, sizeof service, "c%d", class_id);
  spec.service = service;
  spec.kind = CELL_BATCH;
  spec.replicas = 1;
  spec.size.millicores = (uint32_t)rng_between (&s->rng, 1, 4) * 1000;
  spec.size.memory_mb = spec.size.millicores * 3;
  spec.checkpoint_ms = checkpoints[rng_below (&s->rng, 3)];
  uint64_t run = (uint64_t)rng_between (&s->rng, 30000, 300000);
  bool has_deadline = rng_chance (&s->rng, 0.3);
  double slack = 2 + 4 * rng_unit (&s->rng);
  /* The size error is fixed per class; the run time error is random.  */
  double size_error = s->scenario == WRONG_ESTIMATES ? 0.6 + 0.25 * class_id : 1;
  double run_error = run_time_error (s);
  spec.run_ms = (uint64_t)((double)run / run_error);
  if (has_deadline)
    spec.deadline_ms = (uint64_t)((double)run * slack) + 60000;
  snprintf (payload, sizeof payload, "run=%llu use=%u", (unsigned long long)run,
            (unsigned)(spec.size.millicores * 0.9 * size_error));
  s->batch_due -= (double)run * spec.size.millicores / 1000;
  return submit (s, &spec, payload);
}

static double
urgent_target (const struct sim *s)
{
  double at = (double)(s->now_ms - s->start_ms) / RUN_MS;
  if (s->scenario != MORNING_RAMP)
    return 0.35;
  if (at < 0.2)
    return 0.1;
  if (at < 0.5)
    return 0.1 + (at - 0.2) / 0.3 * 0.5;
  return at < 0.8 ? 0.6 : 0.3;
}

static void
cancel_bursts (struct sim *s)
{
  int64_t at = s->now_ms - s->start_ms;
  if (s->scenario != CANCEL_BURSTS)
    return;
  if (at % 180000 == 60000)
    {
      s->burst_count = 1500;
      double due = s->batch_due;
      for (size_t i = 0; i < s->burst_count; i++)
        s->burst[i] = submit_batch (s);
      s->batch_due = due;
    }
  if (at % 180000 == 90000)
    cancel (s, s->burst, s->burst_count);
}

static void
submit_load (struct sim *s)
{
  double target = urgent_target (s) * processors (s);
  if (s->urgent_requested_millicores + 4000 < target && rng_chance (&s->rng, 0.2))
    submit_urgent (s);
  else if (s->urgent_requested_millicores > target + 4000 && s->urgent_count > 0)
    cancel_urgent (s);
  else if (s->urgent_count > 0 && rng_chance (&s->rng, 0.002))
    cancel_urgent (s); /* models deployments, which replace services */
  /* Fills the rest of the processors and a tenth of all, so that the queue never runs empty.  */
  s->batch_due += (1.1 - urgent_target (s)) * processors (s) / 1000 * STEP_MS;
  while (s->batch_due > 0)
    submit_batch (s);
  cancel_bursts (s);
}

/* Workers.  */

static double
slowdown_on (struct sim *s, const struct fake_worker *w, const struct fake_task *f)
{
  double used = 0;
  double interference = 0;
  if (s->no_interference)
    return 1;
  for (size_t i = 0; i < w->count; i++)
    if (fake_running (&w->tasks[i]))
      used += fake_usage (&w->tasks[i]);
  double load_factor = used / w->size.millicores > 0.8 ? 1.15 : 1;
  for (size_t i = 0; i < w->count; i++)
    {
      const struct fake_task *o = &w->tasks[i];
      if (o->urgent || !fake_running (o))
        continue;
      interference += class_interference[f->service[1] - '0'][o->service[1] - '0'] * fake_usage (o)
                      / w->size.millicores;
    }
  return (1 + interference * load_factor) * fake_contention (w);
}

static void
measure (struct sim *s, struct fake_worker *w)
{
  size_t second = (size_t)(s->now_ms / 1000);
  for (size_t i = 0; i < w->count; i++)
    {
      struct fake_task *f = &w->tasks[i];
      if (!fake_running (f))
        continue;
      f->usage_history[second % FAKE_HISTORY_S] = fake_usage (f);
      f->reported_millicores = f->usage_history[(second - LAG_S) % FAKE_HISTORY_S];
      if (!f->urgent)
        continue;
      double x = slowdown_on (s, w, f);
      size_t bucket = (size_t)((x - 1) * 1000);
      s->result->slowdown_counts[bucket < SLOWDOWN_BUCKETS ? bucket : SLOWDOWN_BUCKETS - 1]++;
      s->result->slowdown_count++;
      double seen = x + 0.02 * (rng_unit (&s->noise) - 0.5);
      f->slowdown_history[second % FAKE_HISTORY_S]
          = s->no_interference ? 0 : (uint32_t)(seen * 1000);
      f->slowdown_milli = f->slowdown_history[(second - LAG_S) % FAKE_HISTORY_S];
    }
}

static void
poll_worker (struct sim *s, struct fake_worker *w)
{
  struct worker_task list[FAKE_MAX_TASKS];
  struct status st;
  size_t count = fake_list (w, list);
  if (!w->announced)
    {
      struct worker_announce a = {
        w->id, w->rack, w->incarnation, w->size.millicores, w->size.memory_mb, w->size.accelerators,
        list,  count
      };
      w->announced = scheduler_announce (s->sched, s->now_ms, &a, &st) == 0;
    }
  uint32_t used = 0;
  for (size_t i = 0; i < count; i++)
    used += list[i].state == CELL_REPORT_RUNNING ? list[i].used_millicores : 0;
  struct worker_poll p = { w->id, w->incarnation, ++w->sequence, LAG_S * 1000, used, list, count };
  w->poll_sent_ms = s->now_ms;
  w->poll_pending = scheduler_poll (s->sched, s->now_ms, &p, &st) == 0;
}

static void
record_start (struct sim *s, const struct fake_command *c)
{
  const struct cell_task *t = cell_find_task (&s->cell, c->c.task);
  s->result->starts++;
  if (!t || t->job->spec.kind != CELL_URGENT || t->failures > 0 || t->evictions > 0
      || (c->c.epoch & 0xffff) != 1 || s->result->delay_count == MAX_DELAYS)
    return;
  int64_t now = cell_log_time (&s->cell, s->now_ms);
  s->result->delays[s->result->delay_count++] = (double)(now - t->job->submitted_ms);
}

/* The work of a cancelled task does not count as lost.  */
static void
record_stop (struct sim *s, struct fake_worker *w, const struct fake_command *c)
{
  const struct cell_task *t = cell_find_task (&s->cell, c->c.task);
  struct fake_task *f = fake_find (w, c->c.task, c->c.epoch);
  if (t && f && t->job->cancelled)
    f->checkpointed_ms = (uint64_t)f->work_ms;
}

static void
answer (struct sim *s, struct fake_worker *w)
{
  struct worker_answer a;
  struct status st;
  if (scheduler_answer (s->sched, s->now_ms, w->id, &a, &st) != 0 || !w->up)
    return;
  w->poll_pending = false;
  fake_renew (w, a.lease_ms, a.covered_lease_ms, w->poll_sent_ms);
  for (size_t i = 0; i < a.count; i++)
    {
      struct fake_command c;
      uint64_t before = w->started;
      fake_copy_command (&c, &a.commands[i]);
      if (c.c.kind == WORKER_STOP)
        record_stop (s, w, &c);
      fake_command_apply (w, &c, s->now_ms, w->poll_sent_ms);
      if (w->started != before)
        record_start (s, &c);
    }
}

static void
step_workers (struct sim *s)
{
  for (size_t i = 0; i < s->setup->workers; i++)
    {
      struct fake_worker *w = &s->workers[i];
      /* In the failing scenario one worker in 20 is down from minute 10 to minute 15.  */
      if (s->scenario == FAILING_WORKERS && i % 20 == 1)
        {
          int64_t at = s->now_ms - s->start_ms;
          if (w->up && at > 600000 && at < 900000)
            fake_kill (w);
          w->up = at <= 600000 || at >= 900000;
        }
      if (!w->up)
        continue;
      bool ended = fake_step (w, s->now_ms, STEP_MS);
      if (s->now_ms % 1000 == 0)
        measure (s, w);
      if (!w->poll_pending || ended)
        poll_worker (s, w);
    }
}

static void
step (struct sim *s)
{
  s->now_ms += STEP_MS;
  int64_t at = s->now_ms - s->start_ms;
  bool out = s->scenario == DATA_CENTRE_OUT && at > 600000 && at < 900000;
  if (s->scenario == DATA_CENTRE_OUT && (at == 600020 || at == 900000))
    scheduler_set_data_centre_out (s->sched, s->now_ms, out);
  scheduler_confirm_leadership (s->sched, s->now_ms + 1000);
  if (!out)
    scheduler_extend_permit (s->sched, s->now_ms + 3000);
  /* Commits what was proposed in the previous step.  */
  for (size_t i = 0; i < s->proposal_count; i++)
    {
      apply (s, &s->proposals[i].entry, NULL);
      buffer_close (&s->proposals[i].entry);
      scheduler_proposal_done (s->sched, s->now_ms, s->proposals[i].id, true);
    }
  s->proposal_count = 0;
  submit_load (s);
  step_workers (s);
  scheduler_tick (s->sched, s->now_ms);
  while (s->proposal_count < 64
         && scheduler_next_proposal (s->sched, s->now_ms, &s->proposals[s->proposal_count]))
    s->proposal_count++;
  const char *id;
  while ((id = scheduler_next_ready (s->sched)))
    answer (s, &s->workers[atoi (id + 1)]);
}

static void
count_deadlines (struct sim *s, const struct cell_job_list *list)
{
  const struct cell_job *j;
  TAILQ_FOREACH (j, list, link)
  {
    /* Counts deadlines within the run; cancelled jobs are excluded.  */
    if (j->deadline_ms == 0 || j->deadline_ms > s->cell.now_ms || j->cancelled)
      continue;
    if (j->finished_ms && j->finished_ms <= j->deadline_ms && cell_job_state (j) == CELL_DONE)
      s->result->met++;
    else
      s->result->missed++;
  }
}

static void
finish (struct sim *s)
{
  struct scheduler_stats st;
  struct result *r = s->result;
  const struct cell_job *j;
  const struct cell_task *t;
  scheduler_stats (s->sched, &st);
  r->evictions += st.evictions;
  r->slowdown_evictions += st.slowdown_evictions;
  r->throttles += st.throttles;
  r->failed_jobs += st.failed_jobs;
  for (size_t i = 0; i < s->setup->workers; i++)
    {
      r->kept_core_h += (s->workers[i].done_core_ms - s->workers[i].lost_core_ms) / 3.6e6;
      r->lost_core_h += s->workers[i].lost_core_ms / 3.6e6;
    }
  count_deadlines (s, &s->cell.job_list);
  count_deadlines (s, &s->cell.finished);
  TAILQ_FOREACH (j, &s->cell.job_list, link)
  STAILQ_FOREACH (t, &j->tasks, link)
  if (j->spec.kind == CELL_URGENT && t->state == CELL_PENDING)
    r->urgent_unstarted++;
}

static void
run (const struct setup *setup, enum scenario scenario, unsigned policy, bool no_interference,
     uint64_t seed, struct result *result)
{
  static struct sim s;
  memset (&s, 0, sizeof s);
  s.setup = setup;
  s.scenario = scenario;
  s.no_interference = no_interference;
  s.result = result;
  rng_init (&s.rng, seed);
  rng_init (&s.noise, seed + 1000);
  s.now_ms = s.start_ms = 1000000;
  cell_init (&s.cell, 1);
  struct scheduler_config config = { .cell = &s.cell, .seed = seed, .policy = policy };
  s.sched = scheduler_new (&config);
  scheduler_set_leader (s.sched, s.now_ms, true);
  for (size_t i = 0; i < setup->workers; i++)
    {
      struct fake_worker *w = &s.workers[i];
      snprintf (w->id, sizeof w->id, "w%zu", i);
      snprintf (w->rack, sizeof w->rack, "rack%zu", i / 8);
      w->size = (cell_size){ setup->millicores, setup->memory_mb, 0 };
      w->incarnation = 1;
      w->up = true;
      w->fails_tasks = scenario == FAILING_WORKERS && i % 10 == 0;
    }
  while (s.now_ms < s.start_ms + RUN_MS)
    step (&s);
  scheduler_check (s.sched);
  finish (&s);
  for (size_t i = 0; i < s.proposal_count; i++)
    buffer_close (&s.proposals[i].entry);
  scheduler_free (s.sched);
  cell_close (&s.cell);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double
delay_at (struct result *r, double q)
{
  if (r->delay_count == 0)
    return 0;
  return r->delays[(size_t)(q * (double)(r->delay_count - 1))];
}

static double
slowdown_at (const struct result *r, double q)
{
  uint64_t want = (uint64_t)(q * (double)r->slowdown_count);
  uint64_t sum = 0;
  for (int i = 0; i < SLOWDOWN_BUCKETS; i++)
    {
      sum += r->slowdown_counts[i];
      if (sum > want)
        return 1 + (i + 1) / 1000.0;
    }
  return 1;
}

static void
print (const char *policy, struct result *r, double reference)
{
  qsort (r->delays, r->delay_count, sizeof *r->delays, compare);
  printf ("  %-9s start ms %5.0f %5.0f %6.0f  slowdown %.3f %.3f %.3f  kept %7.1f core-h (%5.1f%%)"
          "  lost %6.2f  deadlines %llu met %llu missed  evictions %llu (%llu moves) throttles "
          "%llu  failed %llu  starts %llu"
          "  unstarted %llu\n",
          policy, delay_at (r, 0.5), delay_at (r, 0.99), delay_at (r, 0.999), slowdown_at (r, 0.5),
          slowdown_at (r, 0.99), slowdown_at (r, 0.999), r->kept_core_h,
          reference > 0 ? 100 * r->kept_core_h / reference : 100.0, r->lost_core_h,
          (unsigned long long)r->met, (unsigned long long)r->missed,
          (unsigned long long)r->evictions, (unsigned long long)r->slowdown_evictions,
          (unsigned long long)r->throttles, (unsigned long long)r->failed_jobs,
          (unsigned long long)r->starts, (unsigned long long)r->urgent_unstarted);
}

static void
compare_policies (const struct setup *setup, enum scenario scenario, int seeds)
{
  static struct result r[3];
  static const char *const names[3] = { "reference", "baseline", "policy" };
  static const unsigned policies[3] = { SCHEDULER_NO_LEARNING, BASELINE, 0 };
  printf ("%s %s, %d seeds\n", setup->name, scenario_names[scenario], seeds);
  for (int i = 0; i < 3; i++)
    {
      memset (&r[i], 0, sizeof r[i]);
      r[i].delays = xcalloc (MAX_DELAYS, sizeof (double));
      for (int seed = 1; seed <= seeds; seed++)
        run (setup, scenario, policies[i], i == 0, (uint64_t)seed, &r[i]);
      print (names[i], &r[i], r[0].kept_core_h + r[0].lost_core_h);
      fflush (stdout);
    }
  for (int i = 0; i < 3; i++)
    free (r[i].delays);
}

int
main (int argc, char **argv)
{
  int seeds = argc > 1 ? atoi (argv[1]) : 3;
  for (size_t k = 0; k < sizeof setups / sizeof *setups; k++)
    for (int i = 0; i < SCENARIOS; i++)
      if (argc < 3 || strcmp (argv[2], scenario_names[i]) == 0)
        compare_policies (&setups[k], (enum scenario)i, seeds);
  return 0;
}
