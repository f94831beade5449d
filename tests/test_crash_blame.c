/* Guards against a task that crashes worker after worker, and against innocent tasks that are given
   up because they ran where a worker crashed.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "crash_blame.h"
#include "rng.h"

#define STOPPED_MS 100000

static enum workflow_outcome
outcome_beside (struct crash_run run, struct crash_run other)
{
  struct crash_scene scene;
  crash_scene_init (&scene, STOPPED_MS);
  crash_scene_add (&scene, &run);
  crash_scene_add (&scene, &other);
  return crash_scene_outcome (&scene, &run);
}

static struct crash_run
started (int64_t age_ms, bool answered)
{
  return (struct crash_run){ .sent_ms = STOPPED_MS - age_ms, .answered = answered };
}

static void
test_the_last_start_is_suspected (void **state)
{
  (void)state;
  const struct crash_run last = started (20, true);
  const struct crash_run young = started (3000, true);
  const struct crash_run old = started (CRASH_PROBATION_MS, true);
  assert_int_equal (outcome_beside (last, young), WORKFLOW_CRASHED);
  assert_int_equal (outcome_beside (young, last), WORKFLOW_CRASHED_BESIDE);
  assert_int_equal (outcome_beside (young, old), WORKFLOW_CRASHED);
  assert_int_equal (outcome_beside (old, last), WORKFLOW_OUTLIVED);
  assert_int_equal (outcome_beside (old, old), WORKFLOW_OUTLIVED);
  assert_int_equal (outcome_beside (started (90, true), last), WORKFLOW_CRASHED);
}

/* The crash may be faster than the answer to the start that caused it.  */
static void
test_a_start_without_an_answer_is_suspected (void **state)
{
  (void)state;
  const struct crash_run last = started (1200, true);
  const struct crash_run first_lost = started (800, false);
  assert_int_equal (outcome_beside (first_lost, last), WORKFLOW_CRASHED_UNANSWERED);
  assert_int_equal (outcome_beside (last, first_lost), WORKFLOW_CRASHED);
  assert_int_equal (outcome_beside (started (300, false), first_lost), WORKFLOW_NOT_STARTED);
  assert_int_equal (outcome_beside (started (-10, false), last), WORKFLOW_NOT_STARTED);
}

static void
test_a_run_of_an_earlier_leader_is_not_judged (void **state)
{
  (void)state;
  const struct crash_run adopted = { .sent_ms = STOPPED_MS - 10, .adopted = true };
  assert_int_equal (outcome_beside (adopted, started (4000, true)), WORKFLOW_LAPSED);
  assert_int_equal (outcome_beside (started (2000, true), adopted), WORKFLOW_CRASHED);
}

static void
test_proof_that_a_worker_can_run_it_clears_a_task (void **state)
{
  (void)state;
  static const enum workflow_outcome proofs[]
      = { WORKFLOW_DONE, WORKFLOW_FAILED, WORKFLOW_STOPPED, WORKFLOW_OUTLIVED };
  static const enum workflow_outcome others[]
      = { WORKFLOW_LAPSED, WORKFLOW_BROKEN, WORKFLOW_ALONE, WORKFLOW_NOT_STARTED };
  for (size_t i = 0; i < 4; i++)
    {
      struct crash_blame cleared = { .points = 8, .crashes = 2 };
      struct crash_blame kept = cleared;
      crash_blame_add (&cleared, proofs[i]);
      crash_blame_add (&kept, others[i]);
      assert_int_equal (cleared.points + cleared.crashes, 0);
      assert_int_equal (kept.points, 8);
    }
}

/* A task may be given up after two crashes under it; a sixth start must not come.  */
static void
test_a_task_is_given_up_after_two_crashes_and_five_starts (void **state)
{
  (void)state;
  static const enum workflow_outcome outcomes[]
      = { WORKFLOW_CRASHED, WORKFLOW_CRASHED_BESIDE, WORKFLOW_CRASHED_UNANSWERED };
  for (unsigned order = 0; order < 243; order++)
    {
      struct crash_blame b = { .points = 0 };
      unsigned starts = 0;
      for (unsigned rest = order; !crash_blame_is_final (&b) && starts < 5; rest /= 3, starts++)
        crash_blame_add (&b, outcomes[rest % 3]);
      assert_true (crash_blame_is_final (&b));
      assert_true (b.crashes >= 2 || starts == 5);
      assert_true (starts >= 3);
    }
}

/* Simulation: a pool whose workers crash, by deadly tasks or of themselves.  */

#define WORKERS 48
#define SLOTS 12 /* runs per worker */
#define TASKS (WORKERS * SLOTS * 3 / 4)
#define STEP_MS 10
#define CRASH_DELAY_MS 10
#define NOTICE_MS 30 /* until the leader's connection is reset */
#define RESTART_MS 3000
#define DAY_MS 60000
#define LASTING 0 /* run time of tasks that never end */

struct sim_task
{
  int64_t run_ms;  /* LASTING, or until it is done */
  int64_t sent_ms; /* of its run */
  int worker;      /* -1: waiting */
  struct crash_blame blame;
  unsigned starts;
  bool deadly, done, given_up;
};

struct sim_worker
{
  int64_t crashed_ms; /* 0: alive */
  int64_t isolated_until_ms;
  int runs;
};

struct sim
{
  struct rng rng;
  struct sim_task tasks[TASKS];
  struct sim_worker workers[WORKERS];
  int64_t now_ms;
};

struct sim_result
{
  unsigned innocents_given_up, deadly_running, most_deadly_starts, crashes;
};

/* A third each of lasting, fill-in and short tasks.  */
static void
renew (struct sim *s, struct sim_task *t, int deadly_per_mille)
{
  static const int64_t run_ms[] = { LASTING, 4000, 400 };
  *t = (struct sim_task){ .worker = -1, .run_ms = run_ms[(t - s->tasks) % 3] };
  t->deadly = t->run_ms != LASTING && rng_below (&s->rng, 1000) < (uint64_t)deadly_per_mille;
}

static void
start (struct sim *s, struct sim_task *t)
{
  int at = (int)rng_below (&s->rng, WORKERS);
  for (int i = 0; i < WORKERS; i++)
    {
      struct sim_worker *w = &s->workers[(at + i) % WORKERS];
      bool noticed = w->crashed_ms > 0 && s->now_ms >= w->crashed_ms + NOTICE_MS;
      if (noticed || w->runs == SLOTS || s->now_ms < w->isolated_until_ms)
        continue;
      t->worker = (at + i) % WORKERS;
      t->sent_ms = s->now_ms;
      t->starts++;
      w->runs++;
      if (t->blame.points >= CRASH_BLAME_ISOLATED)
        w->isolated_until_ms = s->now_ms + CRASH_ISOLATION_MS;
      return;
    }
}

static void
end_run (struct sim *s, struct sim_task *t, enum workflow_outcome outcome)
{
  s->workers[t->worker].runs--;
  t->worker = -1;
  crash_blame_add (&t->blame, outcome);
  t->done = outcome == WORKFLOW_DONE;
  t->given_up = crash_blame_is_final (&t->blame);
}

static struct crash_run
run_of (const struct sim *s, const struct sim_task *t)
{
  return (struct crash_run){ .sent_ms = t->sent_ms,
                             .answered = t->sent_ms < s->workers[t->worker].crashed_ms };
}

static void
judge (struct sim *s, int worker)
{
  struct sim_worker *w = &s->workers[worker];
  struct crash_scene scene;
  crash_scene_init (&scene, w->crashed_ms + NOTICE_MS);
  for (size_t i = 0; i < TASKS; i++)
    if (s->tasks[i].worker == worker)
      {
        const struct crash_run r = run_of (s, &s->tasks[i]);
        crash_scene_add (&scene, &r);
      }
  for (size_t i = 0; i < TASKS; i++)
    if (s->tasks[i].worker == worker)
      {
        const struct crash_run r = run_of (s, &s->tasks[i]);
        end_run (s, &s->tasks[i], crash_scene_outcome (&scene, &r));
      }
  w->crashed_ms = 0;
}

static void
step_task (struct sim *s, struct sim_task *t)
{
  if (t->worker < 0)
    {
      start (s, t);
      return;
    }
  struct sim_worker *w = &s->workers[t->worker];
  if (w->crashed_ms > 0)
    return;
  int64_t age_ms = s->now_ms - t->sent_ms;
  if (t->deadly && age_ms >= CRASH_DELAY_MS)
    w->crashed_ms = s->now_ms;
  else if (t->run_ms != LASTING && age_ms >= t->run_ms)
    end_run (s, t, WORKFLOW_DONE);
}

/* DEADLY_PER_MILLE of the tasks started in the first ten seconds are deadly; every 7 s
   CRASH_PERCENT of the workers crash of themselves.  */
static struct sim_result
simulate (uint64_t seed, int deadly_per_mille, int crash_percent)
{
  static struct sim s;
  struct sim_result r = { .innocents_given_up = 0 };
  memset (&s, 0, sizeof s);
  rng_init (&s.rng, seed);
  for (size_t i = 0; i < TASKS; i++)
    renew (&s, &s.tasks[i], 0);
  for (s.now_ms = STEP_MS; s.now_ms < DAY_MS; s.now_ms += STEP_MS)
    {
      for (int i = 0; i < WORKERS; i++)
        {
          struct sim_worker *w = &s.workers[i];
          bool crashes = s.now_ms % 7000 == 0 && rng_below (&s.rng, 100) < (uint64_t)crash_percent;
          if (w->crashed_ms > 0 && s.now_ms >= w->crashed_ms + RESTART_MS)
            {
              judge (&s, i);
              r.crashes++;
            }
          else if (w->crashed_ms == 0 && crashes)
            w->crashed_ms = s.now_ms;
        }
      for (size_t i = 0; i < TASKS; i++)
        {
          struct sim_task *t = &s.tasks[i];
          r.innocents_given_up += t->given_up && !t->deadly;
          if (t->deadly && t->starts > r.most_deadly_starts)
            r.most_deadly_starts = t->starts;
          if (t->given_up || t->done)
            renew (&s, t, s.now_ms < 10000 ? deadly_per_mille : 0);
          step_task (&s, t);
        }
    }
  for (size_t i = 0; i < TASKS; i++)
    r.deadly_running += s.tasks[i].deadly;
  return r;
}

static void
test_deadly_tasks_among_many_are_the_only_ones_given_up (void **state)
{
  (void)state;
  struct sim_result sum = { .innocents_given_up = 0 };
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      const struct sim_result r = simulate (seed, 2, 0);
      sum.innocents_given_up += r.innocents_given_up;
      assert_int_equal (r.deadly_running, 0);
      assert_in_range (r.most_deadly_starts, 0, 5);
      sum.crashes += r.crashes;
      if (r.most_deadly_starts > sum.most_deadly_starts)
        sum.most_deadly_starts = r.most_deadly_starts;
    }
  print_message ("deadly: %u crashes, innocents given up %u, most starts of a deadly task %u\n",
                 sum.crashes, sum.innocents_given_up, sum.most_deadly_starts);
  assert_true (sum.most_deadly_starts >= 3);
  assert_int_equal (sum.innocents_given_up, 0);
}

/* Workers that crash of themselves blame whoever was started last there.  A fifth of the workers
   every 7 s is far above any real pool; there, less than one task in a hundred crashes.  */
static void
test_natural_crashes_give_up_few (void **state)
{
  (void)state;
  struct sim_result sum = { .crashes = 0 };
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      const struct sim_result r = simulate (seed, 0, 20);
      sum.innocents_given_up += r.innocents_given_up;
      sum.crashes += r.crashes;
    }
  print_message ("natural crashes: %u tasks given up after %u crashes\n", sum.innocents_given_up,
                 sum.crashes);
  assert_true (sum.crashes > 1000);
  assert_true (sum.innocents_given_up * 100 < sum.crashes);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_the_last_start_is_suspected),
          cmocka_unit_test (test_a_start_without_an_answer_is_suspected),
          cmocka_unit_test (test_a_run_of_an_earlier_leader_is_not_judged),
          cmocka_unit_test (test_proof_that_a_worker_can_run_it_clears_a_task),
          cmocka_unit_test (test_a_task_is_given_up_after_two_crashes_and_five_starts),
          cmocka_unit_test (test_deadly_tasks_among_many_are_the_only_ones_given_up),
          cmocka_unit_test (test_natural_crashes_give_up_few) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
