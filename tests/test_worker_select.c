/* Guards against placements that waste gaps or put fill-in tasks where they interfere.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "rng.h"
#include "worker_select.h"

static struct worker_candidate
worker (uint32_t lasting, uint32_t fill)
{
  return (struct worker_candidate){ .millicores = 16000,
                                    .lasting_millicores = lasting,
                                    .fill_millicores = fill,
                                    .free_memory_mb = 10000,
                                    .usable = true,
                                    .near_data = true };
}

static size_t
choose_best (const struct worker_candidate *candidates, size_t count,
             const struct worker_request *q)
{
  double scores[64];
  assert_true (count <= sizeof scores / sizeof *scores);
  for (size_t i = 0; i < count; i++)
    scores[i] = worker_select_rate (&candidates[i], q);
  return worker_select_least (scores, count);
}

/* A large task must still find a gap after small ones were placed.  */
static void
test_small_tasks_take_the_smallest_gap (void **state)
{
  const struct worker_candidate candidates[]
      = { worker (8000, 0), worker (14000, 0), worker (15500, 0) };
  const struct worker_request q = { .millicores = 1000, .memory_mb = 100 };
  (void)state;
  assert_int_equal (choose_best (candidates, 3, &q), 1);
}

/* The more serving images on a worker, the likelier a fill-in image interferes with one.  */
static void
test_lasting_tasks_of_one_image_stay_together (void **state)
{
  struct worker_candidate candidates[] = { worker (0, 0), worker (9000, 0), worker (6000, 0) };
  const struct worker_request q = { .millicores = 3000, .memory_mb = 100, .is_lasting = true };
  (void)state;
  candidates[0].foreign_share = worker_select_foreign_share (0, 0);
  candidates[1].foreign_share = worker_select_foreign_share (9000, 9000);
  candidates[2].foreign_share = worker_select_foreign_share (6000, 0);
  assert_int_equal (choose_best (candidates, 3, &q), 2);
  candidates[2].usable = false;
  assert_int_equal (choose_best (candidates, 3, &q), 0);
  candidates[0].usable = false;
  assert_int_equal (choose_best (candidates, 3, &q), 1);
}

#define WORKERS 48
#define IMAGES 5
#define JOBS 37
#define TASKS_PER_JOB 6

/* Places the lasting tasks at the start of a simulated day: 222 of 1.6 to 4.8 processors, of five
   images, which declare four fifths of 48 workers.  Returns how many fit nowhere.  */
static int
place_lasting_tasks (struct rng *rng, uint32_t serving[WORKERS][IMAGES])
{
  struct worker_candidate candidates[WORKERS];
  int left_out = 0;
  for (int i = 0; i < WORKERS; i++)
    {
      candidates[i] = worker (0, 0);
      candidates[i].millicores = i % 3 == 2 ? 24000 : 16000;
      candidates[i].free_memory_mb = 64000;
    }
  for (int n = 0; n < JOBS * TASKS_PER_JOB; n++)
    {
      int image = n / TASKS_PER_JOB % IMAGES;
      const struct worker_request q = { .millicores = 1600 + (uint32_t)rng_below (rng, 3200),
                                        .memory_mb = 6400,
                                        .is_lasting = true };
      for (int i = 0; i < WORKERS; i++)
        candidates[i].foreign_share = worker_select_foreign_share (
            candidates[i].lasting_millicores, candidates[i].lasting_millicores - serving[i][image]);
      size_t index = choose_best (candidates, WORKERS, &q);
      if (index == WORKER_SELECT_NONE)
        {
          left_out++;
          continue;
        }
      serving[index][image] += q.millicores;
      candidates[index].lasting_millicores += q.millicores;
      candidates[index].free_memory_mb -= q.memory_mb;
    }
  return left_out;
}

/* On workers that serve several images every fill-in image interferes with one: at most a quarter
   of the pool may.  */
static void
test_few_workers_mix_lasting_images (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      static uint32_t serving[WORKERS][IMAGES];
      struct rng rng;
      int mixed = 0;
      rng_init (&rng, seed);
      memset (serving, 0, sizeof serving);
      assert_int_equal (place_lasting_tasks (&rng, serving), 0);
      for (int i = 0; i < WORKERS; i++)
        {
          int kinds = 0;
          for (int k = 0; k < IMAGES; k++)
            kinds += serving[i][k] > 0;
          mixed += kinds > 1;
        }
      if (mixed > WORKERS / 4)
        fail_msg ("seed %d: %d of %d workers serve several images", (int)seed, mixed, WORKERS);
    }
}

static void
test_fill_goes_where_it_does_not_interfere (void **state)
{
  struct worker_candidate candidates[]
      = { worker (4000, 0), worker (12000, 4000), worker (8000, 0) };
  const struct worker_request q = { .millicores = 2000, .memory_mb = 100, .is_fill = true };
  (void)state;
  candidates[0].interference = 1.2;
  candidates[1].interference = 0.1;
  candidates[2].interference = 0.9;
  assert_int_equal (choose_best (candidates, 3, &q), 1);
  candidates[1].tail_ratio = 0.9;
  assert_int_equal (choose_best (candidates, 3, &q), 2);
  candidates[2].interference = 1.1;
  assert_int_equal (choose_best (candidates, 3, &q), WORKER_SELECT_NONE);
}

/* Some fill-in images slow every serving image and starve if others take the workers without
   lasting tasks.  */
static void
test_fill_without_interference_leaves_the_empty_workers (void **state)
{
  struct worker_candidate candidates[] = { worker (0, 0), worker (12000, 0) };
  const struct worker_request q = { .millicores = 2000, .memory_mb = 100, .is_fill = true };
  (void)state;
  candidates[1].interference = 0.2;
  assert_int_equal (choose_best (candidates, 2, &q), 1);
  candidates[1].interference = 1.1;
  assert_int_equal (choose_best (candidates, 2, &q), 0);
}

/* A job whose image slows every serving image must not wait for ever while workers are free.  */
static void
test_a_starved_job_runs_despite_interference (void **state)
{
  struct worker_candidate candidates[] = { worker (4000, 0), worker (4000, 0) };
  struct worker_request q = { .millicores = 2000, .memory_mb = 100, .is_fill = true };
  (void)state;
  candidates[0].interference = 3;
  candidates[1].interference = 2;
  assert_int_equal (choose_best (candidates, 2, &q), WORKER_SELECT_NONE);
  q.allow_interference = true;
  assert_int_equal (choose_best (candidates, 2, &q), 1);
}

static void
test_limits_hold (void **state)
{
  struct worker_candidate c = worker (0, 0);
  const struct worker_request q
      = { .millicores = 1000, .memory_mb = 100, .accelerators = 1, .max_per_worker = 2 };
  (void)state;
  assert_false (worker_select_fits (&c, &q));
  c.free_accelerators = 1;
  assert_true (worker_select_fits (&c, &q));
  c.same_step = 2;
  assert_false (worker_select_fits (&c, &q));
  c.same_step = 1;
  c.free_memory_mb = 99;
  assert_false (worker_select_fits (&c, &q));
}

/* Reserves the worker likely to be free soonest (fewest short millicores); short tasks avoid it. */
static void
test_room_is_reserved_for_a_restart (void **state)
{
  struct worker_candidate candidates[] = { worker (8000, 0), worker (10000, 0), worker (14000, 0) };
  const struct worker_request restart
      = { .millicores = 4000, .is_lasting = true, .is_restart = true };
  const struct worker_request brief = { .millicores = 1000 };
  (void)state;
  candidates[0].short_millicores = 8000;
  candidates[1].short_millicores = 6000;
  assert_int_equal (choose_best (candidates, 3, &restart), WORKER_SELECT_NONE);
  assert_int_equal (worker_select_reserve (candidates, 3, &restart), 1);
  candidates[1].reserved = true;
  candidates[1].short_millicores = 2000;
  assert_int_equal (choose_best (candidates, 3, &brief), 2);
  assert_int_equal (choose_best (candidates, 3, &restart), 1);
  assert_int_equal (worker_select_reserve (candidates, 3, &restart), 0);
}

/* Guards against an overflow that makes a huge task fit: no short task would get that worker.  */
static void
test_nothing_is_reserved_for_a_task_larger_than_every_worker (void **state)
{
  const struct worker_candidate candidates[] = { worker (8000, 0) };
  const struct worker_request huge
      = { .millicores = UINT32_MAX - 4000, .is_lasting = true, .is_restart = true };
  (void)state;
  assert_int_equal (worker_select_reserve (candidates, 1, &huge), WORKER_SELECT_NONE);
}

static void
test_an_avoided_worker_is_for_tasks_without_a_choice (void **state)
{
  struct worker_candidate candidates[] = { worker (0, 0), worker (16000, 0) };
  struct worker_request q = { .millicores = 4000, .is_lasting = true, .is_restart = true };
  (void)state;
  candidates[0].avoided = true;
  assert_int_equal (choose_best (candidates, 2, &q), WORKER_SELECT_NONE);
  assert_int_equal (worker_select_reserve (candidates, 2, &q), WORKER_SELECT_NONE);
  assert_false (worker_select_can_wait (candidates, 2, &q));
  q.allow_avoided = true;
  assert_int_equal (choose_best (candidates, 2, &q), 0);
  candidates[1].lasting_millicores = 0;
  candidates[1].short_millicores = 16000;
  assert_true (worker_select_can_wait (candidates, 2, &q));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_small_tasks_take_the_smallest_gap),
          cmocka_unit_test (test_room_is_reserved_for_a_restart),
          cmocka_unit_test (test_nothing_is_reserved_for_a_task_larger_than_every_worker),
          cmocka_unit_test (test_lasting_tasks_of_one_image_stay_together),
          cmocka_unit_test (test_few_workers_mix_lasting_images),
          cmocka_unit_test (test_fill_goes_where_it_does_not_interfere),
          cmocka_unit_test (test_fill_without_interference_leaves_the_empty_workers),
          cmocka_unit_test (test_a_starved_job_runs_despite_interference),
          cmocka_unit_test (test_an_avoided_worker_is_for_tasks_without_a_choice),
          cmocka_unit_test (test_limits_hold) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
