/* CPU time of the cell leader per start (submission to recorded end), per heartbeat and per victim
   selection, at 1,400 workers with 13,000 tasks and at 4 times that size.  Log entries are applied
   immediately; consensus and transport are excluded.

   Usage: bench_scheduler_cost [SECONDS [WORKERS TASKS]]   With WORKERS and TASKS: only that size.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rng.h"
#include "scheduler.h"

#define TICK_MS 100
#define STARTS_PER_TICK 50 /* 500 per second */
#define WORKER_SLOTS 64

struct slot
{
  uint64_t task;
  uint64_t epoch;
  enum cell_report_kind state;
};

struct bench_worker
{
  char id[24];
  char rack[32];
  uint64_t sequence;
  bool polling;
  bool poll_due; /* a task ended; poll immediately */
  int64_t polled_ms;
  struct slot slots[WORKER_SLOTS];
  size_t count;
};

struct bench
{
  struct cell cell;
  struct scheduler *sched;
  struct bench_worker *workers;
  size_t worker_count;
  size_t task_count;
  int64_t now_ms;
  struct rng rng;
  uint32_t jobs;
  uint64_t started;
  double poll_s;
  uint64_t polls;
  double other_s; /* submissions, ticks, log and answers */
};

static double
cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static void
apply (struct bench *b, const struct buffer *entry)
{
  struct buffer out;
  buffer_init (&out);
  b->cell.machine.ops->apply (&b->cell.machine, 1, entry->data, entry->len, &out);
  buffer_close (&out);
}

static void
commit_proposals (struct bench *b)
{
  struct scheduler_proposal p;
  while (scheduler_next_proposal (b->sched, b->now_ms, &p))
    {
      apply (b, &p.entry);
      buffer_close (&p.entry);
      scheduler_proposal_done (b->sched, b->now_ms, p.id, true);
    }
}

static void
submit (struct bench *b, cell_class kind, uint32_t millicores)
{
  char customer[16];
  char request[16];
  char service[16];
  char payload[] = "run";
  cell_command cmd;
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_SUBMIT;
  cell_job_spec *s = &cmd.cell_command_u.submit;
  snprintf (customer, sizeof customer, "team%u", b->jobs % 110);
  snprintf (request, sizeof request, "r%u", b->jobs);
  snprintf (service, sizeof service, "c%u", b->jobs % 7);
  b->jobs++;
  s->customer = customer;
  s->request_id = request;
  s->service = service;
  s->kind = kind;
  s->replicas = 1;
  s->run_ms = 60000;
  s->size = (cell_size){ millicores, 2000, 0 };
  s->payload = payload;
  struct buffer entry;
  buffer_init (&entry);
  cell_encode (&b->cell, b->now_ms, &cmd, 1, &entry);
  apply (b, &entry);
  buffer_close (&entry);
}

static void
poll_worker (struct bench *b, struct bench_worker *w)
{
  struct worker_task list[WORKER_SLOTS];
  struct status st;
  memset (list, 0, sizeof list);
  for (size_t i = 0; i < w->count; i++)
    {
      list[i].task = w->slots[i].task;
      list[i].epoch = w->slots[i].epoch;
      list[i].state = w->slots[i].state;
      list[i].used_millicores = 900;
      list[i].used_memory_mb = 1500;
      list[i].slowdown_milli = 1010;
    }
  if (w->sequence == 0)
    {
      struct worker_announce a = { w->id, w->rack, 1, 16000, 60000, 0, list, w->count };
      scheduler_announce (b->sched, b->now_ms, &a, &st);
    }
  struct worker_poll p = { w->id, 1, ++w->sequence, 2000, 9000, list, w->count };
  double t = cpu_s ();
  scheduler_poll (b->sched, b->now_ms, &p, &st);
  b->poll_s += cpu_s () - t;
  b->polls++;
  w->polling = true;
  w->poll_due = false;
  w->polled_ms = b->now_ms;
}

static void
apply_worker_command (struct bench *b, struct bench_worker *w, const struct worker_command *c)
{
  size_t i = 0;
  while (i < w->count && (w->slots[i].task != c->task || w->slots[i].epoch != c->epoch))
    i++;
  if (c->kind == WORKER_START && i == w->count && w->count < WORKER_SLOTS)
    {
      w->slots[w->count++] = (struct slot){ c->task, c->epoch, CELL_REPORT_RUNNING };
      b->started++;
    }
  else if (c->kind == WORKER_STOP && i < w->count)
    w->slots[i].state = CELL_REPORT_STOPPED;
  else if (c->kind == WORKER_FORGET && i < w->count)
    w->slots[i] = w->slots[--w->count];
}

static void
answer_ready (struct bench *b)
{
  const char *id;
  struct worker_answer a;
  struct status st;
  while ((id = scheduler_next_ready (b->sched)))
    {
      struct bench_worker *w = &b->workers[atoi (id + 1)];
      if (scheduler_answer (b->sched, b->now_ms, id, &a, &st) != 0)
        continue;
      w->polling = false;
      for (size_t i = 0; i < a.count; i++)
        apply_worker_command (b, w, &a.commands[i]);
    }
}

static void
finish_random_task (struct bench *b)
{
  for (int tries = 0; tries < 100; tries++)
    {
      struct bench_worker *w = &b->workers[rng_below (&b->rng, b->worker_count)];
      if (w->count == 0)
        continue;
      struct slot *s = &w->slots[rng_below (&b->rng, w->count)];
      if (s->state != CELL_REPORT_RUNNING)
        continue;
      const struct cell_task *t = cell_find_task (&b->cell, s->task);
      if (!t || t->job->spec.kind == CELL_URGENT)
        continue;
      s->state = CELL_REPORT_DONE;
      w->poll_due = true;
      return;
    }
}

static void
tick (struct bench *b, uint32_t starts)
{
  b->now_ms += TICK_MS;
  scheduler_confirm_leadership (b->sched, b->now_ms + 1000);
  scheduler_extend_permit (b->sched, b->now_ms + 3000);
  for (uint32_t i = 0; i < starts; i++)
    finish_random_task (b);
  for (size_t i = 0; i < b->worker_count; i++)
    if (!b->workers[i].polling || b->workers[i].poll_due)
      poll_worker (b, &b->workers[i]);
  double t = cpu_s ();
  for (uint32_t i = 0; i < starts; i++)
    submit (b, CELL_BATCH, 1000);
  scheduler_tick (b->sched, b->now_ms);
  commit_proposals (b);
  answer_ready (b);
  commit_proposals (b);
  b->other_s += cpu_s () - t;
}

static void
open_bench (struct bench *b, size_t workers, size_t tasks)
{
  memset (b, 0, sizeof *b);
  b->worker_count = workers;
  b->task_count = tasks;
  b->now_ms = 1000000;
  rng_init (&b->rng, 1);
  cell_init (&b->cell, 1);
  struct scheduler_config config = { .cell = &b->cell, .seed = 1 };
  b->sched = scheduler_new (&config);
  scheduler_set_leader (b->sched, b->now_ms, true);
  b->workers = xcalloc (workers, sizeof *b->workers);
  for (size_t i = 0; i < workers; i++)
    {
      snprintf (b->workers[i].id, sizeof b->workers[i].id, "w%zu", i);
      snprintf (b->workers[i].rack, sizeof b->workers[i].rack, "rack%zu", i / 8);
    }
  tick (b, 0);
  for (size_t i = 0; i < tasks; i++)
    submit (b, i % 4 == 0 ? CELL_URGENT : CELL_BATCH, 1000);
  for (int i = 0; i < 100; i++)
    tick (b, 0);
}

/* Fills the cell with batch tasks, then submits urgent ones.  */
static void
measure_evictions (struct bench *b)
{
  for (size_t i = 0; i < b->worker_count * 7; i++)
    submit (b, CELL_BATCH, 1000);
  for (int i = 0; i < 60; i++)
    tick (b, 0);
  struct scheduler_stats before;
  struct scheduler_stats after;
  scheduler_stats (b->sched, &before);
  uint32_t urgent_count = 200;
  for (uint32_t i = 0; i < urgent_count; i++)
    submit (b, CELL_URGENT, 4000);
  double t = cpu_s ();
  scheduler_tick (b->sched, b->now_ms += TICK_MS);
  double cpu_used_s = cpu_s () - t;
  scheduler_stats (b->sched, &after);
  printf ("  eviction choice: %.0f us per urgent task (%u asked, %llu victims), one tick with "
          "all\n",
          cpu_used_s * 1e6 / urgent_count, urgent_count,
          (unsigned long long)(after.evictions - before.evictions));
}

static void
measure (size_t workers, size_t tasks, int seconds)
{
  static struct bench b;
  open_bench (&b, workers, tasks);
  uint64_t started = b.started;
  b.poll_s = b.other_s = 0;
  b.polls = 0;
  double slowest_tick_s = 0;
  for (int i = 0; i < seconds * 1000 / TICK_MS; i++)
    {
      double before = b.other_s;
      tick (&b, STARTS_PER_TICK);
      slowest_tick_s = b.other_s - before > slowest_tick_s ? b.other_s - before : slowest_tick_s;
    }
  started = b.started - started;
  printf ("%zu workers, %zu tasks: %.0f starts/s\n", workers, tasks, (double)started / seconds);
  printf ("  per start, submission to end, without polls: %.1f us; slowest tick %.1f ms\n",
          b.other_s * 1e6 / (double)started, slowest_tick_s * 1e3);
  printf ("  per heartbeat: %.1f us (%.0f polls/s)\n", b.poll_s * 1e6 / (double)b.polls,
          (double)b.polls / seconds);
  printf ("  heap of cell, scheduler and fakes: %.1f MB\n", (double)mallinfo2 ().uordblks / 1e6);
  printf ("  processor in all: %.1f%% of a core\n", 100 * (b.poll_s + b.other_s) / seconds);
  measure_evictions (&b);
  scheduler_check (b.sched);
  scheduler_free (b.sched);
  cell_close (&b.cell);
  free (b.workers);
}

int
main (int argc, char **argv)
{
  int seconds = argc > 1 ? atoi (argv[1]) : 20;
  if (argc > 3)
    {
      measure ((size_t)atol (argv[2]), (size_t)atol (argv[3]), seconds);
      return 0;
    }
  measure (1400, 13000, seconds);
  measure (4 * 1400, 4 * 13000, seconds);
  return 0;
}
