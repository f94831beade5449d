/* bench_dispatcher_cost [WORKERS [JOBS_PER_S [SECONDS]]]: processor time of the leader's decisions.

   A dispatcher on a simulated clock with workers that start and end what they are told: lasting
   tasks that declare four fifths of all processors, fill-in jobs and short jobs at the rate given,
   more than can run.  Prints processor time per simulated second and per start.  Without network,
   log and disk.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "dispatcher.h"
#include "rng.h"

#define MAX_WORKERS 2000
#define MAX_RUNS 256
#define LEASE_MS 10000
#define TARGET_MS 18

struct sim_run
{
  workflow_task_ref task;
  uint32_t run;
  int64_t ends_ms;
  bool lasting;
  bool fills;
  int image;
  double cores;
};

struct sim_worker
{
  char id[32];
  struct sim_run runs[MAX_RUNS];
  int count;
  struct held_end ends[MAX_RUNS];
  int end_count;
  uint64_t numbers;
  int64_t hold_at_ms; /* answer of the open hold; 0 is none */
  struct worker_hold hold;
};

struct sim
{
  struct worker_link link; /* first member: the vtable */
  struct workflow workflow;
  struct dispatcher *dispatcher;
  struct sim_worker *workers;
  int count;
  int64_t now_ms;
  uint64_t next_job;
  uint64_t starts, rejected;
  struct
  {
    struct buffer entry;
    uint64_t token;
  } log[65536];
  size_t log_count;
  struct
  {
    int worker;
    workflow_task_ref task;
    uint32_t run;
    int kind;
  } calls[65536];
  size_t call_count;
  struct rng rng;
};

static int
worker_of (struct sim *s, const char *id)
{
  return (int)strtol (id + 1, NULL, 10);
  (void)s;
}
static void
sim_start (struct worker_link *l, const struct worker_start *o)
{
  struct sim *s = (struct sim *)l;
  struct sim_worker *w = &s->workers[worker_of (s, o->to.worker)];
  struct sim_run *r = &w->runs[w->count++];
  const struct workflow_task *t = workflow_find_task (&s->workflow, &o->task);
  const workflow_step *step = workflow_step_of (t);
  *r = (struct sim_run){ .task = o->task,
                         .run = o->run,
                         .ends_ms = s->now_ms + step->estimate_ms,
                         .lasting = step->flags & WORKFLOW_STEP_LASTING,
                         .fills = step->flags & WORKFLOW_STEP_FILL,
                         .image = step->image[0] ? step->image[1] - '0' : 0,
                         .cores = step->millicores / 1000.0 };
  s->starts++;
  s->calls[s->call_count].worker = worker_of (s, o->to.worker);
  s->calls[s->call_count].task = o->task;
  s->calls[s->call_count].kind = 0;
  s->calls[s->call_count++].run = o->run;
}
static void
sim_stop (struct worker_link *l, const struct worker_stop *o)
{
  struct sim *s = (struct sim *)l;
  s->calls[s->call_count].worker = worker_of (s, o->to.worker);
  s->calls[s->call_count].task = o->task;
  s->calls[s->call_count].kind = 1;
  s->calls[s->call_count++].run = o->run;
}
static void
sim_pace (struct worker_link *l, const struct worker_pace *o)
{
  struct sim *s = (struct sim *)l;
  s->calls[s->call_count].worker = worker_of (s, o->to.worker);
  s->calls[s->call_count].task = o->task;
  s->calls[s->call_count].kind = 2 + (int)o->percent;
  s->calls[s->call_count++].run = o->run;
}
static void
sim_hold (struct worker_link *l, const struct worker_hold *o)
{
  struct sim *s = (struct sim *)l;
  struct sim_worker *w = &s->workers[worker_of (s, o->to.worker)];
  w->hold = *o;
  w->hold_at_ms = s->now_ms + (o->wait_ms ? o->wait_ms : 5);
}
static const struct worker_link_ops ops = { sim_start, sim_stop, sim_pace, sim_hold };
static void
sim_propose (void *arg, const workflow_command *c, uint64_t token)
{
  struct sim *s = arg;
  buffer_init (&s->log[s->log_count].entry);
  workflow_encode (c, &s->log[s->log_count].entry);
  s->log[s->log_count++].token = token;
}
static bool
apply (struct sim *s, const struct buffer *e)
{
  struct buffer result;
  workflow_result r;
  buffer_init (&result);
  s->workflow.machine.ops->apply (&s->workflow.machine, 1, e->data, e->len, &result);
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
      dispatcher_proposed (s->dispatcher, s->now_ms, s->log[i].token, ok);
      buffer_close (&s->log[i].entry);
    }
  s->log_count = 0;
}
static void
change (struct sim *s, const workflow_command *c)
{
  struct buffer e;
  buffer_init (&e);
  workflow_encode (c, &e);
  if (!apply (s, &e))
    fprintf (stderr, "change refused: kind %d\n", (int)c->kind);
  buffer_close (&e);
}
static void
submit (struct sim *s, uint32_t count, uint32_t steps, uint32_t cores, uint32_t ms, uint32_t flags,
        const char *image)
{
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_step st[4];
  u_int after[4] = { 0, 1, 2, 3 };
  memset (st, 0, sizeof st);
  for (uint32_t i = 0; i < steps; i++)
    {
      st[i] = (workflow_step){ .count = count,
                               .millicores = cores,
                               .memory_mb = 1000,
                               .estimate_ms = ms,
                               .flags = flags,
                               .image = (char *)image,
                               .required_label = "",
                               .data_rack = "",
                               .target_ms = flags & WORKFLOW_STEP_LASTING ? TARGET_MS : 0 };
      if (i > 0)
        {
          st[i].after.after_val = &after[i - 1];
          st[i].after.after_len = 1;
        }
    }
  c.workflow_command_u.spec = (workflow_spec){ .id = ++s->next_job,
                                               .queue = flags & WORKFLOW_STEP_FILL      ? "fill"
                                                        : flags & WORKFLOW_STEP_LASTING ? "last"
                                                                                        : "short",
                                               .payload = "x",
                                               .steps = { steps, st } };
  change (s, &c);
}
/* A tail in ms: the load of the task swings, and two of three fill-in images disturb it.  */
static uint32_t
tail_of (const struct sim *s, const struct sim_worker *w, const struct sim_run *r)
{
  double slack
      = 4.5 * (1 - 0.42 * (1 + 0.5 * sin ((double)s->now_ms / 1600 + (double)r->task.job)));
  for (int i = 0; i < w->count; i++)
    if (w->runs[i].fills && (w->runs[i].image + r->image) % 3 != 0)
      slack -= 5 * w->runs[i].cores / 18;
  return (uint32_t)(TARGET_MS / (slack < 0.2 ? 0.2 : slack));
}

static void
answer_hold (struct sim *s, struct sim_worker *w)
{
  static struct held_run running[MAX_RUNS];
  struct worker_lists lists = { .mark = w->hold.mark,
                                .clock_ms = s->now_ms,
                                .born_ms = 1000,
                                .running = running,
                                .complete = true };
  for (int i = 0; i < w->end_count;)
    if (w->ends[i].number <= w->hold.acknowledged)
      {
        memmove (&w->ends[i], &w->ends[i + 1], sizeof *w->ends * (size_t)(w->end_count - i - 1));
        w->end_count--;
      }
    else
      i++;
  for (int i = 0; i < w->count; i++)
    running[i]
        = (struct held_run){ .task = w->runs[i].task,
                             .run = w->runs[i].run,
                             .checkpoint = "",
                             .percent = 100,
                             .measure = w->runs[i].lasting ? tail_of (s, w, &w->runs[i]) : 1000 };
  lists.running_len = (size_t)w->count;
  lists.ended = w->ends;
  lists.ended_len = (size_t)w->end_count;
  w->hold_at_ms = 0;
  dispatcher_hold_answer (s->dispatcher, s->now_ms, w->id, WORKER_CALL_OK, &lists);
}
static void
work (struct sim *s)
{
  for (int k = 0; k < s->count; k++)
    {
      struct sim_worker *w = &s->workers[k];
      for (int i = 0; i < w->count;)
        if (!w->runs[i].lasting && w->runs[i].ends_ms <= s->now_ms && w->end_count < MAX_RUNS)
          {
            w->ends[w->end_count++] = (struct held_end){ .number = ++w->numbers,
                                                         .task = w->runs[i].task,
                                                         .run = w->runs[i].run,
                                                         .outcome = WORKFLOW_DONE,
                                                         .checkpoint = "" };
            w->runs[i] = w->runs[--w->count];
            if (w->hold_at_ms)
              w->hold_at_ms = s->now_ms;
          }
        else
          i++;
    }
}
static double
cpu (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

int
main (int argc, char **argv)
{
  static struct sim s;
  s.count = argc > 1 ? atoi (argv[1]) : 350;
  double rate = argc > 2 ? atof (argv[2]) : 12.1;
  int seconds = argc > 3 ? atoi (argv[3]) : 40;
  s.link.ops = &ops;
  s.workers = calloc ((size_t)s.count, sizeof *s.workers);
  rng_init (&s.rng, 1);
  workflow_init (&s.workflow);
  const struct dispatcher_config config = { .workflow = &s.workflow,
                                            .link = &s.link,
                                            .propose = sim_propose,
                                            .propose_arg = &s,
                                            .lease_ms = LEASE_MS,
                                            .status_ms = 120000 };
  s.dispatcher = dispatcher_new (&config);
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  workflow_queue queues[3];
  workflow_pool pool = { .name = "p" };
  static const char *const names[] = { "fill", "short", "last" };
  memset (queues, 0, sizeof queues);
  for (int i = 0; i < 3; i++)
    queues[i] = (workflow_queue){ .name = (char *)names[i],
                                  .host = "h",
                                  .path_prefix = (char *)names[i],
                                  .pool = "p",
                                  .max_attempts = 2,
                                  .timeout_ms = 3000,
                                  .stretch_milli = 2000,
                                  .target_ms = 1000,
                                  .priority = (u_int)i };
  c.workflow_command_u.configuration = (workflow_configuration){
    .revision = 1, .queues = { 3, queues }, .pools = { 1, &pool }, .document = { 2, "{}" }
  };
  change (&s, &c);
  s.now_ms = 1000;
  dispatcher_lead (s.dispatcher, s.now_ms, 1);
  double began = 0;
  uint64_t starts0 = 0;
  double used = 0;
  for (int64_t t = 0; t < seconds * 1000 + 10000; t += 5)
    {
      s.now_ms = 1000 + t;
      work (&s);
      if (t % 1500 == 0)
        for (int i = 0; i < s.count; i++)
          {
            struct status st;
            char address[32];
            const char *labels[] = { "a", "r" };
            snprintf (s.workers[i].id, sizeof s.workers[i].id, "w%d", i);
            snprintf (address, sizeof address, "10.0.0.%d:1", i);
            const struct worker_report r = { .id = s.workers[i].id,
                                             .address = address,
                                             .zone = "z",
                                             .pool = "p",
                                             .labels = labels,
                                             .labels_len = 2,
                                             .millicores = 16000 + 8000 * (i % 3 == 2),
                                             .memory_mb = 64000,
                                             .clock_ms = s.now_ms,
                                             .born_ms = 1000,
                                             .sequence = (uint64_t)t + 1 };
            double b = cpu ();
            dispatcher_report (s.dispatcher, s.now_ms, &r, &st);
            used += cpu () - b;
          }
      if (t == 1000)
        for (int i = 0; i < s.count * 117 / 350; i++)
          {
            char image[16];
            snprintf (image, sizeof image, "s%d", i % 5);
            submit (&s, 14, 1, 2400 + (uint32_t)rng_below (&s.rng, 1600), 400,
                    WORKFLOW_STEP_LASTING, image);
          }
      if (t == 10000)
        {
          began = used;
          starts0 = s.starts;
        }
      if (t >= 10000)
        {
          if (rng_chance (&s.rng, rate * .005))
            {
              char image[16];
              snprintf (image, sizeof image, "f%d", (int)rng_below (&s.rng, 9));
              submit (&s, 20, 2, 1200 + (uint32_t)rng_below (&s.rng, 1200),
                      1500 + (uint32_t)rng_below (&s.rng, 2400), WORKFLOW_STEP_FILL, image);
            }
          if (rng_chance (&s.rng, rate * 1.17 * .005))
            submit (&s, 10, 2, 1000 + (uint32_t)rng_below (&s.rng, 1800),
                    500 + (uint32_t)rng_below (&s.rng, 600), 0, "");
        }
      double b = cpu ();
      if (t % DISPATCHER_TICK_MS == 0)
        {
          dispatcher_authority (s.dispatcher, s.now_ms + 1000);
          dispatcher_tick (s.dispatcher, s.now_ms, 0);
        }
      commit (&s);
      for (size_t i = 0; i < s.call_count; i++)
        {
          const char *id = s.workers[s.calls[i].worker].id;
          if (s.calls[i].kind == 0)
            dispatcher_start_answer (s.dispatcher, s.now_ms, id, &s.calls[i].task, s.calls[i].run,
                                     WORKER_CALL_OK);
          else if (s.calls[i].kind == 1)
            dispatcher_stop_answer (s.dispatcher, s.now_ms, id, &s.calls[i].task, s.calls[i].run,
                                    WORKER_CALL_OK);
          else
            dispatcher_pace_answer (s.dispatcher, s.now_ms, id, &s.calls[i].task, s.calls[i].run,
                                    (uint32_t)s.calls[i].kind - 2, WORKER_CALL_OK);
        }
      s.call_count = 0;
      for (int i = 0; i < s.count; i++)
        if (s.workers[i].hold_at_ms && s.workers[i].hold_at_ms <= s.now_ms)
          answer_hold (&s, &s.workers[i]);
      used += cpu () - b;
    }
  int waiting = 0;
  struct workflow_task *task;
  TAILQ_FOREACH (task, &s.workflow.ready, link) waiting++;
  printf ("%d workers, %.1f fill-in jobs/s, %d s: %.1f ms processor time a second, %.1f starts/s, "
          "%d tasks waiting at the end\n",
          s.count, rate, seconds, (used - began) * 1000 / seconds,
          (double)(s.starts - starts0) / seconds, waiting);
  return 0;
}
