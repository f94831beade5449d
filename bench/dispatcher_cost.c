/* bench_dispatcher_cost [WORKERS [FILL_JOBS_PER_S [SECONDS]]]: CPU time of the leader's
   decisions, without network, log and disk.

   Runs a dispatcher on a simulated clock with simulated workers.  The load is lasting tasks that
   declare four fifths of all processors, fill-in jobs at the given rate and 1.17 times as many
   short jobs.  Two of three pairs of images interfere.  Prints CPU time and starts per second
   after a warm-up of ten seconds.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "buffer.h"
#include "dispatcher.h"
#include "rng.h"

#define MAX_RUNS 256 /* of one worker, and maximum of its ends not yet acknowledged */
#define MAX_PENDING 65536
#define LEASE_MS 10000
#define STATUS_MS 120000
#define STEP_MS 5
#define REPORT_PERIOD_MS 1500
#define LASTING_AT_MS 1000
#define WARM_UP_MS 10000
#define TARGET_LATENCY_MS 18 /* target latency of lasting tasks; an idle one answers in 4 ms */
#define LASTING_IMAGES 5
#define FILL_IMAGES 9

struct sim_run
{
  workflow_task_ref task;
  uint32_t run;
  int64_t ends_ms;
  bool is_lasting;
  bool is_fill;
  int image;
  double cores;
};

struct sim_worker
{
  char id[32];
  struct sim_run runs[MAX_RUNS];
  int count;
  struct reported_end ends[MAX_RUNS];
  int end_count;
  uint64_t last_end_number;  /* number of the latest end */
  int64_t hold_answer_at_ms; /* time at which the pending hold is answered; 0 if none */
  struct worker_hold hold;
};

enum call_kind
{
  CALL_START,
  CALL_STOP,
  CALL_PACE,
};

struct sim_call
{
  enum call_kind kind;
  struct sim_worker *worker;
  workflow_task_ref task;
  uint32_t run;
  uint32_t percent;
};

struct proposal
{
  struct buffer entry;
  uint64_t token;
};

struct sim
{
  struct worker_link link; /* first member: the vtable */
  struct clock clock;      /* reads now_ms */
  struct workflow workflow;
  struct dispatcher *dispatcher;
  struct rng rng;
  struct sim_worker *workers;
  int count;
  int64_t now_ms;
  uint64_t jobs;
  uint64_t starts;
  struct proposal log[MAX_PENDING];
  size_t log_count;
  struct sim_call calls[MAX_PENDING];
  size_t call_count;
};

static int64_t
sim_now_ms (struct clock *c)
{
  return ((struct sim *)((char *)c - offsetof (struct sim, clock)))->now_ms;
}

static struct sim_worker *
worker_of (struct sim *s, const struct worker_address *to)
{
  return &s->workers[strtol (to->worker + 1, NULL, 10)];
}

static void
add_call (struct sim *s, const struct sim_call *c)
{
  if (s->call_count < MAX_PENDING)
    s->calls[s->call_count++] = *c;
}

static void
sim_start (struct worker_link *l, const struct worker_start *o)
{
  struct sim *s = (struct sim *)l;
  struct sim_worker *w = worker_of (s, &o->to);
  const workflow_step *step = workflow_step_of (workflow_find_task (&s->workflow, &o->task));
  const struct sim_call call = { .kind = CALL_START, .worker = w, .task = o->task, .run = o->run };
  add_call (s, &call);
  s->starts++;
  if (w->count == MAX_RUNS)
    return;
  w->runs[w->count++] = (struct sim_run){ .task = o->task,
                                          .run = o->run,
                                          .ends_ms = s->now_ms + step->estimate_ms,
                                          .is_lasting = step->flags & WORKFLOW_STEP_LASTING,
                                          .is_fill = step->flags & WORKFLOW_STEP_FILL,
                                          .image = step->image[0] ? step->image[1] - '0' : 0,
                                          .cores = step->millicores / 1000.0 };
}

static void
sim_stop (struct worker_link *l, const struct worker_stop *o)
{
  struct sim *s = (struct sim *)l;
  const struct sim_call call
      = { .kind = CALL_STOP, .worker = worker_of (s, &o->to), .task = o->task, .run = o->run };
  add_call (s, &call);
}

static void
sim_pace (struct worker_link *l, const struct worker_pace *o)
{
  struct sim *s = (struct sim *)l;
  const struct sim_call call = { .kind = CALL_PACE,
                                 .worker = worker_of (s, &o->to),
                                 .task = o->task,
                                 .run = o->run,
                                 .percent = o->percent };
  add_call (s, &call);
}

static void
sim_hold (struct worker_link *l, const struct worker_hold *o)
{
  struct sim *s = (struct sim *)l;
  struct sim_worker *w = worker_of (s, &o->to);
  w->hold = *o;
  w->hold_answer_at_ms = s->now_ms + (o->wait_ms ? o->wait_ms : STEP_MS);
}

static const struct clock_ops clock_ops = { sim_now_ms };
static const struct worker_link_ops link_ops = { sim_start, sim_stop, sim_pace, sim_hold };

static void
sim_propose (void *arg, const workflow_command *c, uint64_t token)
{
  struct sim *s = arg;
  struct proposal *p = &s->log[s->log_count++];
  buffer_init (&p->entry);
  workflow_encode (c, &p->entry);
  p->token = token;
}

static bool
apply (struct sim *s, const struct buffer *entry)
{
  struct buffer result;
  workflow_result r;
  buffer_init (&result);
  s->workflow.machine.ops->apply (&s->workflow.machine, 1, entry->data, entry->len, &result);
  bool ok = workflow_decode_result (result.data, result.len, &r) && r.status == STATUS_OK;
  buffer_close (&result);
  return ok;
}

static void
commit (struct sim *s)
{
  for (size_t i = 0; i < s->log_count; i++)
    {
      bool ok = apply (s, &s->log[i].entry);
      dispatcher_proposed (s->dispatcher, s->now_ms, s->log[i].token,
                           ok ? PROPOSAL_APPLIED : PROPOSAL_REFUSED);
      buffer_close (&s->log[i].entry);
    }
  s->log_count = 0;
}

static void
apply_command (struct sim *s, const workflow_command *c)
{
  struct buffer entry;
  buffer_init (&entry);
  workflow_encode (c, &entry);
  if (!apply (s, &entry))
    fprintf (stderr, "command not accepted\n");
  buffer_close (&entry);
}

/* Submits a job of STEPS copies of STEP, each after the previous one.  */
static void
submit (struct sim *s, const char *queue, const workflow_step *step, uint32_t steps)
{
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_step list[4];
  u_int before[] = { 0, 1, 2 };
  for (uint32_t i = 0; i < steps; i++)
    {
      list[i] = *step;
      list[i].required_label = "";
      list[i].data_rack = "";
      list[i].after.after_len = i > 0;
      list[i].after.after_val = i > 0 ? &before[i - 1] : NULL;
    }
  c.workflow_command_u.spec = (workflow_spec){
    .id = ++s->jobs, .queue = (char *)queue, .payload = "x", .steps = { steps, list }
  };
  apply_command (s, &c);
}

static uint32_t
random_between (struct sim *s, uint32_t low, uint32_t high)
{
  return (uint32_t)rng_between (&s->rng, low, high);
}

static void
submit_lasting (struct sim *s)
{
  for (int i = 0; i < s->count / 3; i++)
    {
      char image[] = { 's', (char)('0' + i % LASTING_IMAGES), '\0' };
      const workflow_step step = { .count = 14,
                                   .millicores = random_between (s, 2400, 4000),
                                   .memory_mb = 1000,
                                   .estimate_ms = 400,
                                   .flags = WORKFLOW_STEP_LASTING,
                                   .image = image,
                                   .target_ms = TARGET_LATENCY_MS };
      submit (s, "lasting", &step, 1);
    }
}

static void
submit_fill (struct sim *s)
{
  char image[] = { 'f', (char)('0' + random_between (s, 0, FILL_IMAGES - 1)), '\0' };
  const workflow_step step = { .count = 20,
                               .millicores = random_between (s, 1200, 2400),
                               .memory_mb = 1000,
                               .estimate_ms = random_between (s, 1500, 3900),
                               .flags = WORKFLOW_STEP_FILL,
                               .image = image };
  submit (s, "fill", &step, 2);
}

static void
submit_short (struct sim *s)
{
  const workflow_step step = { .count = 10,
                               .millicores = random_between (s, 1000, 2800),
                               .memory_mb = 1000,
                               .estimate_ms = random_between (s, 500, 1100),
                               .image = "" };
  submit (s, "short", &step, 2);
}

/* Tail latency in ms: the load oscillates, and fill-in images interfere.  */
static uint32_t
tail_latency_ms (const struct sim *s, const struct sim_worker *w, const struct sim_run *r)
{
  double oscillation = sin ((double)s->now_ms / 1600 + (double)r->task.job);
  double slack = 4.5 * (1 - 0.42 * (1 + 0.5 * oscillation));
  for (int i = 0; i < w->count; i++)
    if (w->runs[i].is_fill && (w->runs[i].image + r->image) % 3 != 0)
      slack -= 5 * w->runs[i].cores / 18;
  return (uint32_t)(TARGET_LATENCY_MS / fmax (slack, 0.2));
}

static void
remove_acknowledged_ends (struct sim_worker *w)
{
  int kept = 0;
  for (int i = 0; i < w->end_count; i++)
    if (w->ends[i].number > w->hold.acknowledged)
      w->ends[kept++] = w->ends[i];
  w->end_count = kept;
}

static void
answer_hold (struct sim *s, struct sim_worker *w)
{
  static struct reported_run running[MAX_RUNS];
  remove_acknowledged_ends (w);
  for (int i = 0; i < w->count; i++)
    {
      const struct sim_run *r = &w->runs[i];
      running[i]
          = (struct reported_run){ .task = r->task,
                                   .run = r->run,
                                   .checkpoint = "",
                                   .percent = 100,
                                   .measure = r->is_lasting ? tail_latency_ms (s, w, r) : 1000 };
    }
  const struct worker_lists lists = { .mark = w->hold.mark,
                                      .clock_ms = s->now_ms,
                                      .born_ms = 1000,
                                      .running = running,
                                      .running_len = (size_t)w->count,
                                      .ended = w->ends,
                                      .ended_len = (size_t)w->end_count,
                                      .complete = true };
  w->hold_answer_at_ms = 0;
  dispatcher_hold_answer (s->dispatcher, s->now_ms, w->id, WORKER_CALL_OK, &lists);
}

static void
end_runs (struct sim *s, struct sim_worker *w)
{
  for (int i = w->count - 1; i >= 0; i--)
    {
      const struct sim_run *r = &w->runs[i];
      if (r->is_lasting || r->ends_ms > s->now_ms || w->end_count == MAX_RUNS)
        continue;
      w->ends[w->end_count++] = (struct reported_end){ .number = ++w->last_end_number,
                                                       .task = r->task,
                                                       .run = r->run,
                                                       .outcome = WORKFLOW_DONE,
                                                       .checkpoint = "" };
      w->runs[i] = w->runs[--w->count];
      if (w->hold_answer_at_ms)
        w->hold_answer_at_ms = s->now_ms;
    }
}

static void
report_workers (struct sim *s)
{
  const char *labels[] = { "a", "r1" };
  for (int i = 0; i < s->count; i++)
    {
      struct status st;
      char address[32];
      snprintf (s->workers[i].id, sizeof s->workers[i].id, "w%d", i);
      snprintf (address, sizeof address, "10.0.%d.%d:1", i / 250, i % 250);
      const struct worker_report r = { .id = s->workers[i].id,
                                       .address = address,
                                       .zone = "z",
                                       .pool = "p",
                                       .labels = labels,
                                       .labels_len = 2,
                                       .millicores = i % 3 == 2 ? 24000 : 16000,
                                       .memory_mb = 64000,
                                       .clock_ms = s->now_ms,
                                       .born_ms = 1000,
                                       .sequence = (uint64_t)s->now_ms };
      if (dispatcher_report (s->dispatcher, s->now_ms, &r, &st) < 0)
        fprintf (stderr, "report refused: %s\n", st.message);
    }
}

static void
answer_calls (struct sim *s)
{
  for (size_t i = 0; i < s->call_count; i++)
    {
      const struct sim_call *c = &s->calls[i];
      if (c->kind == CALL_START)
        dispatcher_start_answer (s->dispatcher, s->now_ms, c->worker->id, &c->task, c->run,
                                 WORKER_CALL_OK);
      else if (c->kind == CALL_STOP)
        dispatcher_stop_answer (s->dispatcher, s->now_ms, c->worker->id, &c->task, c->run,
                                WORKER_CALL_OK);
      else
        dispatcher_pace_answer (s->dispatcher, s->now_ms, c->worker->id, &c->task, c->run,
                                c->percent, WORKER_CALL_OK);
    }
  s->call_count = 0;
}

static double
cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Runs one step of the leader; returns its CPU time in seconds.  */
static double
step_leader (struct sim *s)
{
  double began_s = cpu_s ();
  if (s->now_ms % REPORT_PERIOD_MS == 0)
    report_workers (s);
  if (s->now_ms % DISPATCHER_TICK_MS == 0)
    {
      dispatcher_set_authority (s->dispatcher, s->now_ms + 1000);
      dispatcher_tick (s->dispatcher, s->now_ms, 0);
    }
  commit (s);
  answer_calls (s);
  for (int i = 0; i < s->count; i++)
    if (s->workers[i].hold_answer_at_ms && s->workers[i].hold_answer_at_ms <= s->now_ms)
      answer_hold (s, &s->workers[i]);
  return cpu_s () - began_s;
}

static void
configure (struct sim *s)
{
  static char *const names[] = { "short", "lasting", "fill" };
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  workflow_queue queues[3];
  workflow_pool pool = { .name = "p" };
  for (u_int i = 0; i < 3; i++)
    queues[i] = (workflow_queue){ .name = names[i],
                                  .host = "h",
                                  .path_prefix = names[i],
                                  .pool = "p",
                                  .max_attempts = 2,
                                  .timeout_ms = 3000,
                                  .stretch_milli = 2000,
                                  .target_ms = 1000,
                                  .priority = i };
  c.workflow_command_u.configuration = (workflow_configuration){
    .revision = 1, .queues = { 3, queues }, .pools = { 1, &pool }, .document = { 2, "{}" }
  };
  apply_command (s, &c);
}

static void
open_sim (struct sim *s, int workers)
{
  s->link.ops = &link_ops;
  s->clock.ops = &clock_ops;
  s->count = workers;
  s->workers = xcalloc ((size_t)workers, sizeof *s->workers);
  rng_init (&s->rng, 1);
  workflow_init (&s->workflow);
  const struct dispatcher_config config = { .workflow = &s->workflow,
                                            .link = &s->link,
                                            .clock = &s->clock,
                                            .propose = sim_propose,
                                            .propose_arg = s,
                                            .lease_ms = LEASE_MS,
                                            .status_ms = STATUS_MS };
  s->dispatcher = dispatcher_new (&config);
  configure (s);
  dispatcher_become_leader (s->dispatcher, 0, 1);
}

static void
simulate (struct sim *s, double fill_jobs_per_s, int64_t until_ms, double *used_s)
{
  for (; s->now_ms < until_ms; s->now_ms += STEP_MS)
    {
      for (int i = 0; i < s->count; i++)
        end_runs (s, &s->workers[i]);
      if (s->now_ms == LASTING_AT_MS)
        submit_lasting (s);
      if (s->now_ms >= WARM_UP_MS && rng_chance (&s->rng, fill_jobs_per_s * STEP_MS / 1000))
        submit_fill (s);
      if (s->now_ms >= WARM_UP_MS && rng_chance (&s->rng, 1.17 * fill_jobs_per_s * STEP_MS / 1000))
        submit_short (s);
      *used_s += step_leader (s);
    }
}

int
main (int argc, char **argv)
{
  static struct sim s;
  int workers = argc > 1 ? (int)strtol (argv[1], NULL, 10) : 350;
  double rate = argc > 2 ? strtod (argv[2], NULL) : 12.1;
  int64_t seconds = argc > 3 ? strtol (argv[3], NULL, 10) : 40;
  double warm_s = 0;
  double used_s = 0;
  unsigned waiting = 0;
  const struct workflow_task *t;
  open_sim (&s, workers);
  simulate (&s, rate, WARM_UP_MS, &warm_s);
  uint64_t before = s.starts;
  simulate (&s, rate, WARM_UP_MS + seconds * 1000, &used_s);
  TAILQ_FOREACH (t, &s.workflow.ready, link)
  waiting++;
  printf ("%d workers, %.1f fill-in jobs/s, %d s: %.1f ms processor time a second, %.0f starts/s, "
          "%u tasks waiting at the end\n",
          workers, rate, (int)seconds, used_s * 1000 / (double)seconds,
          (double)(s.starts - before) / (double)seconds, waiting);
  dispatcher_free (s.dispatcher);
  workflow_close (&s.workflow);
  free (s.workers);
  return 0;
}
