/* Guards against customers who exceed their plan summed over all entries, or get much less when
   their requests arrive unevenly, also while entries are partitioned.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "limit.h"
#include "rng.h"
#include "runner_table.h"

#define ENTRIES 8
#define CONCURRENCY 80
#define RATE 400
#define SEEDS 20

static bool
lookup (void *arg, const char *customer, struct limit_plan *out)
{
  *out = *(const struct limit_plan *)arg;
  return strcmp (customer, "stranger") != 0;
}

struct fixture
{
  struct limit_plan plan;
  struct limit *entries[ENTRIES];
  unsigned in_flight[ENTRIES];
  bool partitioned[ENTRIES];
};

static void
open_fixture (struct fixture *g, struct limit_plan plan)
{
  memset (g, 0, sizeof *g);
  g->plan = plan;
  struct limit_source source = { .lookup = lookup, .arg = &g->plan };
  for (int i = 0; i < ENTRIES; i++)
    g->entries[i] = limit_open (&source, ENTRIES, 0);
}

static void
close_fixture (struct fixture *g)
{
  for (int i = 0; i < ENTRIES; i++)
    limit_close (g->entries[i]);
}

/* Every entry sends a digest to every other, unless one of them is partitioned.  */
static void
exchange_reports (struct fixture *g, int64_t now)
{
  for (int i = 0; i < ENTRIES; i++)
    for (int k = 0; k < ENTRIES; k++)
      {
        struct runner_digest d;
        char from[8];
        char to[8];
        if (k == i || g->partitioned[i] || g->partitioned[k])
          continue;
        memset (&d, 0, sizeof d);
        d.echo = (uint64_t)now; /* the receiver's clock value just before */
        snprintf (from, sizeof from, "e%d", i);
        snprintf (to, sizeof to, "e%d", k);
        limit_report (g->entries[i], to, now, &d);
        limit_handle_report (g->entries[k], from, &d, now);
        runner_digest_free (&d);
      }
}

static unsigned
total (const struct fixture *g)
{
  unsigned n = 0;
  for (int i = 0; i < ENTRIES; i++)
    n += g->in_flight[i];
  return n;
}

static void
fill (struct fixture *g, int entry, int64_t now)
{
  while (limit_enter (g->entries[entry], "huron", now, NULL) == 0)
    g->in_flight[entry]++;
}

static void
leave (struct fixture *g, int entry)
{
  limit_leave (g->entries[entry], "huron");
  g->in_flight[entry]--;
}

/* Guards against treating a plan with zero requests as unlimited.  */
static void
test_plan_without_requests (void **state)
{
  struct limit_plan plan = { .no_requests = true };
  const struct limit_source source = { .lookup = lookup, .arg = &plan };
  struct limit *l = limit_open (&source, 1, 0);
  struct status st;
  (void)state;
  assert_int_equal (limit_enter (l, "c", 0, &st), -1);
  assert_int_equal (st.kind, STATUS_LIMIT_EXCEEDED);
  limit_close (l);
}

static bool
plans_not_loaded (void *arg)
{
  (void)arg;
  return false;
}

static bool
lookup_none (void *arg, const char *customer, struct limit_plan *out)
{
  (void)arg;
  (void)customer;
  (void)out;
  return false;
}

/* Guards against reporting customers as unknown before the plans have been loaded.  */
static void
test_plans_not_loaded (void **state)
{
  struct limit_source source = { .lookup = lookup_none, .known = plans_not_loaded };
  struct limit *l = limit_open (&source, 1, 0);
  struct status st;
  (void)state;
  assert_int_equal (limit_enter (l, "c", 0, &st), -1);
  assert_int_equal (st.kind, STATUS_NO_QUORUM);
  limit_close (l);
}

static void
test_concurrency_over_entries (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, (struct limit_plan){ .concurrency = CONCURRENCY });
  for (int round = 0; round < 10; round++)
    {
      for (int i = 0; i < ENTRIES; i++)
        fill (&g, i, round * 500);
      exchange_reports (&g, round * 500);
      assert_int_equal (total (&g), CONCURRENCY);
    }
  struct status st;
  assert_int_equal (limit_enter (g.entries[0], "huron", 5000, &st), -1);
  assert_int_equal (st.kind, STATUS_LIMIT_EXCEEDED);
  assert_int_equal (limit_enter (g.entries[0], "stranger", 5000, &st), -1);
  assert_int_equal (st.kind, STATUS_UNKNOWN_CUSTOMER);
  close_fixture (&g);
}

/* All requests arrive at one entry, then at all: the sum never exceeds the limit by more than the
   requests still running, and each entry gets its share back.  */
static void
test_one_entry_borrows_and_returns (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, (struct limit_plan){ .concurrency = CONCURRENCY });
  for (int64_t now = 1000; now <= 3000; now += 500)
    {
      fill (&g, 0, now);
      exchange_reports (&g, now);
    }
  fill (&g, 0, 3000);
  assert_in_range (g.in_flight[0], CONCURRENCY * 3 / 4, CONCURRENCY);
  for (int i = 1; i < ENTRIES; i++)
    fill (&g, i, 3000);
  assert_true (total (&g) <= CONCURRENCY);
  for (int64_t now = 3500; now <= 8000; now += 500)
    {
      exchange_reports (&g, now);
      while (g.in_flight[0] > 0)
        leave (&g, 0);
      for (int i = 0; i < ENTRIES; i++)
        fill (&g, i, now);
      assert_true (total (&g) <= CONCURRENCY);
    }
  for (int i = 0; i < ENTRIES; i++)
    assert_int_equal (g.in_flight[i], CONCURRENCY / ENTRIES);
  close_fixture (&g);
}

static void
test_partitioned_entries_keep_equal_share (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, (struct limit_plan){ .concurrency = CONCURRENCY });
  for (int64_t now = 1000; now <= 2000; now += 500)
    {
      fill (&g, 0, now);
      exchange_reports (&g, now);
    }
  fill (&g, 0, 2000);
  g.partitioned[0] = true;
  while (g.in_flight[0] > 0)
    leave (&g, 0);
  for (int i = 0; i < ENTRIES; i++)
    fill (&g, i, 2000 + LIMIT_LOAN_MS);
  assert_int_equal (g.in_flight[0], CONCURRENCY / ENTRIES);
  assert_int_equal (total (&g), CONCURRENCY);
  close_fixture (&g);
}

/* Random demand, partitions and delays.  Requests end at once, so that the counts show allowances
   without running requests: their sum never exceeds the limit.  */
static void
test_allowances_never_exceed_the_limit (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct fixture g;
      struct rng rng;
      rng_init (&rng, seed);
      open_fixture (&g, (struct limit_plan){ .concurrency = CONCURRENCY });
      for (int64_t now = 1000; now < 61000; now += 50)
        {
          int busy = (int)rng_below (&rng, ENTRIES);
          if (rng_chance (&rng, 0.02))
            g.partitioned[busy] = !g.partitioned[busy];
          if (now % 500 == 0)
            {
              for (int i = 0; i < ENTRIES; i++)
                if (rng_chance (&rng, 0.3))
                  fill (&g, i, now);
              exchange_reports (&g, now);
              for (int i = 0; i < ENTRIES; i++)
                while (g.in_flight[i] > 0)
                  leave (&g, i);
            }
          for (int i = 0; i < ENTRIES; i++)
            fill (&g, i, now);
          assert_true (total (&g) <= CONCURRENCY);
          for (int i = 0; i < ENTRIES; i++)
            while (g.in_flight[i] > 0)
              leave (&g, i);
        }
      close_fixture (&g);
    }
}

static void
test_rate (void **state)
{
  (void)state;
  struct fixture g;
  unsigned passed = 0;
  open_fixture (&g, (struct limit_plan){ .rate = RATE });
  for (int64_t now = 0; now < 20000; now++)
    {
      for (int i = 0; i < ENTRIES; i++)
        if (limit_enter (g.entries[i], "huron", now, NULL) == 0)
          {
            passed += now >= 10000;
            limit_leave (g.entries[i], "huron");
          }
      if (now % 500 == 0)
        exchange_reports (&g, now);
    }
  assert_in_range (passed, RATE * 10 * 95 / 100, RATE * 10 * 105 / 100);
  assert_in_range (limit_retry_after_ms (g.entries[0], "huron", 20000), 1, 1000);
  close_fixture (&g);
}

static void
test_share_of_slots (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, (struct limit_plan){ .share = 0.25 });
  assert_int_equal (limit_enter (g.entries[0], "huron", 0, NULL), 0);
  assert_int_equal (limit_slots (g.entries[0], "huron", 40), 10);
  assert_int_equal (limit_slots (g.entries[0], "huron", 2), 1);
  assert_int_equal (limit_slots (g.entries[0], "kigali", 40), 40);
  close_fixture (&g);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plan_without_requests),
    cmocka_unit_test (test_plans_not_loaded),
    cmocka_unit_test (test_concurrency_over_entries),
    cmocka_unit_test (test_one_entry_borrows_and_returns),
    cmocka_unit_test (test_partitioned_entries_keep_equal_share),
    cmocka_unit_test (test_allowances_never_exceed_the_limit),
    cmocka_unit_test (test_rate),
    cmocka_unit_test (test_share_of_slots),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
