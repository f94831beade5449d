/* Guards against overloading a runner or its connections, against routing to failing, slow or
   departed runners while others have capacity, and against ejecting too many runners.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "router.h"

#define NOW 1000000

struct fixture
{
  struct runner_table *table;
  struct router router;
};

static void
open_fixture (struct fixture *g, unsigned entries)
{
  struct router_config config = { .data_centre = "dc1",
                                  .near = { "dc2" },
                                  .near_count = 1,
                                  .entries = entries,
                                  .far_bytes_per_s = 1000,
                                  .seed = 7 };
  g->table = runner_table_open (1, NOW);
  router_init (&g->router, &config, g->table, NOW);
}

static void
close_fixture (struct fixture *g)
{
  router_close (&g->router);
  runner_table_close (g->table);
}

static void
announce_incarnation (struct fixture *g, int number, uint64_t incarnation, const char *centre,
                      int64_t now)
{
  struct runner_info i = { .service = "pricing",
                           .address = "127.0.0.1:80",
                           .incarnation = incarnation,
                           .slots = 8,
                           .connections = 64 };
  snprintf (i.id, sizeof i.id, "r%d", number);
  snprintf (i.data_centre, sizeof i.data_centre, "%s", centre);
  runner_table_tick (g->table, now);
  assert_int_equal (runner_table_announce (g->table, &i, now, NULL), 0);
}

static void
announce (struct fixture *g, int number, const char *centre, int64_t now)
{
  announce_incarnation (g, number, 1, centre, now);
}

static struct runner *
runner (const struct fixture *g, int number)
{
  char id[8];
  snprintf (id, sizeof id, "r%d", number);
  return runner_table_find (g->table, id);
}

static struct runner *
pick (struct fixture *g, int64_t now)
{
  struct runner *r = router_pick (&g->router, "pricing", NULL, now);
  if (r)
    router_start (&g->router, r, 100, now);
  return r;
}

static void
test_shares_never_exceed_the_connections (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, 1);
  announce (&g, 1, "dc1", NOW);
  for (unsigned entries = 1; entries <= 200; entries++)
    {
      unsigned sum = 0;
      for (unsigned rank = 0; rank < entries; rank++)
        {
          struct router r = g.router;
          r.config.entries = entries;
          r.config.rank = rank;
          sum += router_share (&r, runner (&g, 1), NOW);
        }
      assert_int_equal (sum, 64);
    }
  g.router.config.entries = 8;
  assert_int_equal (router_share (&g.router, runner (&g, 1), NOW), 8);
  router_set_entries (&g.router, 4, 0, NOW);
  assert_int_equal (router_share (&g.router, runner (&g, 1), NOW + 4999), 8);
  assert_int_equal (router_share (&g.router, runner (&g, 1), NOW + 5000), 16);
  router_set_entries (&g.router, 8, 0, NOW + 6000);
  assert_int_equal (router_share (&g.router, runner (&g, 1), NOW + 6000), 8);
  close_fixture (&g);
}

static void
test_fills_slots_local_first (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, 1);
  announce (&g, 1, "dc1", NOW);
  announce (&g, 2, "dc2", NOW);
  announce (&g, 3, "dc9", NOW);
  for (int i = 0; i < 8; i++)
    assert_ptr_equal (pick (&g, NOW), runner (&g, 1));
  for (int i = 0; i < 8; i++)
    assert_ptr_equal (pick (&g, NOW), runner (&g, 2));
  assert_ptr_equal (pick (&g, NOW), runner (&g, 3));
  router_finish (&g.router, runner (&g, 3), 1, ROUTER_OK, 1.0, 5000, NOW);
  assert_null (pick (&g, NOW)); /* the byte budget of far runners is used up */
  runner_table_tick (g.table, NOW + 800);
  announce (&g, 1, "dc1", NOW + 1500);
  announce (&g, 2, "dc2", NOW + 1500);
  announce (&g, 3, "dc9", NOW + 1500);
  assert_null (pick (&g, NOW + 1500));
  announce (&g, 3, "dc9", NOW + 2500);
  announce (&g, 3, "dc9", NOW + 3500);
  announce (&g, 3, "dc9", NOW + 4500);
  assert_ptr_equal (pick (&g, NOW + 4500), runner (&g, 3));
  close_fixture (&g);
}

static void
test_counts_what_other_entries_send (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, 8);
  announce (&g, 1, "dc1", NOW);
  runner_table_report (runner (&g, 1), 8, NOW);      /* full with requests of other entries */
  assert_ptr_equal (pick (&g, NOW), runner (&g, 1)); /* within this entry's equal share */
  assert_null (pick (&g, NOW));
  runner_table_report (runner (&g, 1), 1, NOW); /* only this entry's request */
  for (int i = 0; i < 7; i++)
    assert_ptr_equal (pick (&g, NOW), runner (&g, 1));
  assert_null (pick (&g, NOW));
  close_fixture (&g);
}

static void
test_ejects_failing_runners_up_to_the_cap (void **state)
{
  (void)state;
  struct fixture g;
  unsigned out = 0;
  open_fixture (&g, 1);
  for (int i = 0; i < 10; i++)
    announce (&g, i, "dc1", NOW);
  for (int i = 0; i < 10; i++)
    for (int n = 0; n < 5; n++)
      {
        router_start (&g.router, runner (&g, i), 0, NOW);
        router_finish (&g.router, runner (&g, i), 1, ROUTER_FAILED, 0.0, 0, NOW);
      }
  for (int i = 0; i < 10; i++)
    out += runner (&g, i)->load.ejected_until_ms > NOW;
  assert_int_equal (out, 3);
  struct runner *r = pick (&g, NOW);
  assert_non_null (r);
  assert_int_equal (r->load.ejected_until_ms, 0);
  close_fixture (&g);
}

static void
test_returning_runner_starts_slowly (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, 1);
  announce (&g, 1, "dc1", NOW);
  announce (&g, 2, "dc1", NOW);
  router_start (&g.router, runner (&g, 1), 0, NOW);
  router_finish (&g.router, runner (&g, 1), 1, ROUTER_UNREACHABLE, 0.0, 0, NOW);
  runner_table_depart (g.table, "r2", 1, NOW, NULL);
  assert_null (pick (&g, NOW + 999));
  announce (&g, 1, "dc1", NOW + 1000);
  assert_ptr_equal (pick (&g, NOW + 1000), runner (&g, 1));
  assert_null (pick (&g, NOW + 1000)); /* slow start: one at a time */
  close_fixture (&g);
}

/* A runner that crashed with requests in flight and is back must not be ejected for them.  */
static void
test_failures_of_an_earlier_incarnation_do_not_count (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, 1);
  announce (&g, 1, "dc1", NOW);
  announce (&g, 2, "dc1", NOW);
  for (int i = 0; i < ROUTER_EJECT_IN_ROW; i++)
    router_start (&g.router, runner (&g, 1), 0, NOW);
  announce_incarnation (&g, 1, 2, "dc1", NOW + 100);
  for (int i = 0; i < ROUTER_EJECT_IN_ROW; i++)
    router_finish (&g.router, runner (&g, 1), 1, ROUTER_FAILED, 0.0, 0, NOW + 100);
  assert_int_equal (runner (&g, 1)->load.in_flight, 0);
  assert_int_equal (runner (&g, 1)->load.ejected_until_ms, 0);
  close_fixture (&g);
}

/* Application errors do not indicate overload: a single runner keeps its slots.  */
static void
test_errors_do_not_shrink_the_limit (void **state)
{
  (void)state;
  struct fixture g;
  open_fixture (&g, 1);
  announce (&g, 1, "dc1", NOW);
  for (int i = 0; i < 40; i++)
    {
      router_start (&g.router, runner (&g, 1), 0, NOW);
      router_finish (&g.router, runner (&g, 1), 1, i % 4 ? ROUTER_OK : ROUTER_FAILED, 5.0, 0, NOW);
    }
  for (int i = 0; i < 8; i++)
    assert_non_null (pick (&g, NOW));
  for (int i = 0; i < 8; i++)
    router_finish (&g.router, runner (&g, 1), 1, ROUTER_REFUSED, 0.0, 0, NOW);
  int picked = 0;
  while (pick (&g, NOW))
    picked++;
  assert_in_range (picked, 1, 7); /* refusals do shrink it */
  close_fixture (&g);
}

static void
test_slow_runner_gets_probes_only (void **state)
{
  (void)state;
  struct fixture g;
  unsigned to_slow = 0;
  open_fixture (&g, 1);
  for (int i = 0; i < 10; i++)
    announce (&g, i, "dc1", NOW);
  for (int n = 0; n < 2000; n++)
    {
      int64_t now = NOW + n;
      if (n % 500 == 0)
        for (int i = 0; i < 10; i++)
          announce (&g, i, "dc1", now);
      struct runner *r = pick (&g, now);
      assert_non_null (r);
      bool slow = r == runner (&g, 0);
      to_slow += slow && n >= 500;
      router_finish (&g.router, r, 1, ROUTER_OK, slow ? 500.0 : 10.0, 100, now);
    }
  assert_true (to_slow <= 2);
  close_fixture (&g);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_shares_never_exceed_the_connections),
    cmocka_unit_test (test_fills_slots_local_first),
    cmocka_unit_test (test_counts_what_other_entries_send),
    cmocka_unit_test (test_ejects_failing_runners_up_to_the_cap),
    cmocka_unit_test (test_returning_runner_starts_slowly),
    cmocka_unit_test (test_failures_of_an_earlier_incarnation_do_not_count),
    cmocka_unit_test (test_errors_do_not_shrink_the_limit),
    cmocka_unit_test (test_slow_runner_gets_probes_only),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
