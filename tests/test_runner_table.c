/* Guards against requests sent to a runner after it departed, died or was replaced, at the entry
   it notified and at every other, also when digests are delayed, repeated, reordered or lost; and
   against an entry that does not learn the runners after a restart.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "rng.h"
#include "runner_table.h"

#define START_MS 1000000
#define MODEL_ENTRIES 3
#define MODEL_RUNNERS 6
#define MODEL_STEP_MS 10
#define MODEL_STEPS 2000
#define MODEL_SEEDS 200
#define MODEL_QUEUE 64

static struct runner_info
info_of (const char *id, uint64_t incarnation)
{
  struct runner_info i = { .service = "pricing",
                           .data_centre = "dc1",
                           .address = "127.0.0.1:80",
                           .incarnation = incarnation,
                           .slots = 8,
                           .connections = 64 };
  snprintf (i.id, sizeof i.id, "%s", id);
  return i;
}

static int
announce (struct runner_table *t, const char *id, uint64_t incarnation, int64_t now)
{
  struct runner_info i = info_of (id, incarnation);
  runner_table_tick (t, now);
  return runner_table_announce (t, &i, now, NULL);
}

static bool
live (const struct runner_table *t, const char *id, int64_t now)
{
  const struct runner *r = runner_table_find (t, id);
  return r && runner_live (r, now);
}

/* One digest from A to B and its reply.  */
static void
exchange (struct runner_table *a, struct runner_table *b, int64_t now)
{
  struct runner_digest d;
  struct runner_digest_reply reply;
  struct runner_peer *to = runner_table_peer (a, "b");
  runner_table_make_digest (a, to, now, &d);
  runner_table_handle_digest (b, runner_table_peer (b, "a"), &d, now, &reply);
  runner_table_handle_reply (a, to, &reply);
  runner_digest_free (&d);
}

static void
test_lifetime_and_departure (void **state)
{
  (void)state;
  struct runner_table *t = runner_table_open (1, START_MS);
  assert_int_equal (announce (t, "r", 5, START_MS), 0);
  assert_true (live (t, "r", START_MS + 1999));
  assert_false (live (t, "r", START_MS + 2000));
  runner_table_tick (t, START_MS + 1000);
  runner_table_tick (t, START_MS + 2000);
  assert_int_equal (announce (t, "r", 5, START_MS + 2100), 0);
  assert_true (live (t, "r", START_MS + 2100));
  assert_int_equal (runner_table_depart (t, "r", 5, START_MS + 2200, NULL), 0);
  assert_false (live (t, "r", START_MS + 2200));
  assert_int_equal (announce (t, "r", 5, START_MS + 2300), -1);
  assert_int_equal (announce (t, "r", 4, START_MS + 2300), -1);
  assert_int_equal (announce (t, "r", 6, START_MS + 2300), 0);
  assert_int_equal (runner_table_depart (t, "r", 5, START_MS + 2400, NULL), -1);
  assert_true (live (t, "r", START_MS + 2400));
  runner_table_close (t);
}

static void
test_refuses_malformed_announcements (void **state)
{
  (void)state;
  struct runner_table *t = runner_table_open (1, START_MS);
  static const char *const addresses[]
      = { "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:80/x" };
  for (size_t i = 0; i < sizeof addresses / sizeof *addresses; i++)
    {
      struct runner_info bad = info_of ("r", 1);
      snprintf (bad.address, sizeof bad.address, "%s", addresses[i]);
      assert_int_equal (runner_table_announce (t, &bad, START_MS, NULL), -1);
    }
  struct runner_info bad = info_of ("a b", 1);
  assert_int_equal (runner_table_announce (t, &bad, START_MS, NULL), -1);
  bad = info_of ("r", 1);
  bad.slots = 0;
  assert_int_equal (runner_table_announce (t, &bad, START_MS, NULL), -1);
  runner_table_close (t);
}

/* Announcements queued in the socket while the process was paused may be from a runner that has
   since departed.  */
static void
test_paused_process_refuses_old_announcements (void **state)
{
  (void)state;
  struct runner_table *t = runner_table_open (1, START_MS);
  struct runner_info i = info_of ("r", 1);
  runner_table_tick (t, START_MS);
  assert_int_equal (runner_table_announce (t, &i, START_MS + 5000, NULL), -1);
  runner_table_tick (t, START_MS + 5001);
  assert_int_equal (runner_table_announce (t, &i, START_MS + 5050, NULL), -1);
  assert_int_equal (runner_table_announce (t, &i, START_MS + 5200, NULL), 0);
  runner_table_close (t);
}

/* After a pause of this process the digests that it holds have expired, though their runners serve:
   requests must wait for the next digest as after a start, and not get "no backend server".  */
static void
test_paused_process_learns_again (void **state)
{
  (void)state;
  struct runner_table *t = runner_table_open (1, START_MS);
  int64_t now_ms = START_MS;
  for (; now_ms < START_MS + 5000; now_ms += 100)
    runner_table_tick (t, now_ms);
  assert_false (runner_table_learning (t, now_ms));
  now_ms += 1200;
  assert_true (runner_table_learning (t, now_ms));
  runner_table_tick (t, now_ms);
  assert_true (runner_table_learning (t, now_ms));
  runner_table_tick (t, now_ms + RUNNER_DIGEST_INTERVAL_MS);
  assert_true (runner_table_learning (t, now_ms + RUNNER_DIGEST_INTERVAL_MS));
  for (int ms = 0; ms <= RUNNER_RELEARN_MS; ms += 100)
    runner_table_tick (t, now_ms + ms);
  assert_false (runner_table_learning (t, now_ms + RUNNER_RELEARN_MS));
  runner_table_close (t);
}

static void
test_digests_renew_and_delta (void **state)
{
  (void)state;
  struct runner_table *a = runner_table_open (1, START_MS);
  struct runner_table *b = runner_table_open (2, START_MS);
  struct runner_digest d;
  int64_t now = START_MS;
  announce (a, "r1", 1, now);
  announce (a, "r2", 1, now);
  exchange (a, b, now);
  assert_false (live (b, "r1", now)); /* nothing echoed yet */
  exchange (a, b, now + 5);
  assert_true (live (b, "r1", now + 5));
  for (int i = 0; i < 10; i++)
    {
      now += 500;
      announce (a, "r1", 1, now);
      announce (a, "r2", 1, now);
      runner_table_make_digest (a, runner_table_peer (a, "b"), now, &d);
      assert_int_equal (d.runners.runners_len, 0); /* unchanged: the version alone renews all */
      runner_digest_free (&d);
      exchange (a, b, now);
      assert_true (live (b, "r1", now) && live (b, "r2", now));
    }
  runner_table_depart (a, "r2", 1, now, NULL);
  assert_true (runner_table_digest_due (a, runner_table_peer (a, "b"), now));
  exchange (a, b, now);
  assert_false (live (b, "r2", now));
  assert_true (live (b, "r1", now));
  runner_table_close (a);
  runner_table_close (b);
}

/* An entry that was paused unlists the runners that announce to it, though they serve.  Its peers
   must not send them requests, but a request may wait for the next digest.  A departure ends that.
 */
static void
test_an_unlisted_runner_may_return_a_departed_one_never (void **state)
{
  (void)state;
  struct runner_table *a = runner_table_open (1, START_MS);
  struct runner_table *b = runner_table_open (2, START_MS);
  int64_t now = START_MS;
  announce (a, "r1", 1, now);
  announce (a, "r2", 1, now);
  exchange (a, b, now);
  exchange (a, b, now + 5);
  now += RUNNER_FRESH_MS + 1;
  runner_table_depart (a, "r2", 1, now, NULL);
  exchange (a, b, now);
  const struct runner *r1 = runner_table_find (b, "r1");
  const struct runner *r2 = runner_table_find (b, "r2");
  assert_false (runner_live (r1, now) || runner_live (r2, now));
  assert_true (runner_may_return (r1, now));
  assert_false (runner_may_return (r2, now));
  assert_false (runner_may_return (r1, now + RUNNER_RETURN_MS));
  runner_table_close (a);
  runner_table_close (b);
}

/* A restarted receiver learns all runners from two digests.  A restarted sender does not renew
   runners that it no longer knows.  */
static void
test_restarts (void **state)
{
  (void)state;
  struct runner_table *a = runner_table_open (1, START_MS);
  struct runner_table *b = runner_table_open (1, START_MS);
  announce (a, "r1", 1, START_MS);
  exchange (a, b, START_MS);
  exchange (a, b, START_MS + 1);
  runner_table_close (b);
  b = runner_table_open (2, START_MS + 10);
  runner_peer_connected (runner_table_peer (a, "b"));
  exchange (a, b, START_MS + 10);
  exchange (a, b, START_MS + 11);
  assert_true (live (b, "r1", START_MS + 11));
  runner_table_close (a);
  a = runner_table_open (2, START_MS + 20);
  exchange (a, b, START_MS + 20);
  exchange (a, b, START_MS + 21);
  assert_false (live (b, "r1", START_MS + 21));
  runner_table_close (a);
  runner_table_close (b);
}

/* ---- random model: under delays, losses and partitions no departed runner gets requests ---- */

struct message
{
  bool used;
  bool is_reply;
  int from;
  int to;
  int64_t at;
  struct runner_digest digest;
  struct runner_digest_reply reply;
};

struct model
{
  struct rng rng;
  struct runner_table *entries[MODEL_ENTRIES];
  bool partitioned[MODEL_ENTRIES][MODEL_ENTRIES];
  struct message queue[MODEL_QUEUE];
  uint64_t incarnation[MODEL_RUNNERS];
  int home[MODEL_RUNNERS];
  int64_t departed_ms[MODEL_RUNNERS]; /* of the latest incarnation, 0 while it is running */
  int64_t next_ms[MODEL_RUNNERS];
  uint64_t starts;
};

static struct runner_peer *
peer_of (struct model *m, int at, int other)
{
  char name[8];
  snprintf (name, sizeof name, "e%d", other);
  return runner_table_peer (m->entries[at], name);
}

static struct message *
post_message (struct model *m, int from, int to, int64_t now)
{
  for (int i = 0; i < MODEL_QUEUE; i++)
    if (!m->queue[i].used)
      {
        struct message *x = &m->queue[i];
        memset (x, 0, sizeof *x);
        x->used = true;
        x->from = from;
        x->to = to;
        x->at = now
                + (rng_chance (&m->rng, 0.1) ? rng_between (&m->rng, 0, 3000)
                                             : rng_between (&m->rng, 1, 40));
        return x;
      }
  return NULL;
}

static void
drop_message (struct message *x)
{
  if (!x->is_reply)
    runner_digest_free (&x->digest);
  x->used = false;
}

static void
deliver (struct model *m, struct message *x, int64_t now)
{
  struct runner_digest_reply reply;
  if (m->partitioned[x->from][x->to])
    {
      if (x->is_reply)
        runner_table_digest_failed (peer_of (m, x->to, x->from));
      else
        runner_table_digest_failed (peer_of (m, x->from, x->to));
    }
  else if (x->is_reply)
    runner_table_handle_reply (m->entries[x->to], peer_of (m, x->to, x->from), &x->reply);
  else
    {
      runner_table_handle_digest (m->entries[x->to], peer_of (m, x->to, x->from), &x->digest, now,
                                  &reply);
      struct message *answer = post_message (m, x->to, x->from, now);
      if (answer)
        {
          answer->is_reply = true;
          answer->reply = reply;
        }
    }
  drop_message (x);
}

static void
step_entries (struct model *m, int64_t now)
{
  for (int e = 0; e < MODEL_ENTRIES; e++)
    {
      runner_table_tick (m->entries[e], now);
      for (int o = 0; o < MODEL_ENTRIES; o++)
        {
          if (o == e || !runner_table_digest_due (m->entries[e], peer_of (m, e, o), now))
            continue;
          struct message *x = post_message (m, e, o, now);
          if (x)
            runner_table_make_digest (m->entries[e], peer_of (m, e, o), now, &x->digest);
        }
    }
  for (int i = 0; i < MODEL_QUEUE; i++)
    if (m->queue[i].used && now >= m->queue[i].at)
      deliver (m, &m->queue[i], now);
}

static void
step_runner (struct model *m, int r, int64_t now)
{
  char id[8];
  snprintf (id, sizeof id, "r%d", r);
  if (rng_chance (&m->rng, 0.002))
    m->home[r] = (int)rng_below (&m->rng, MODEL_ENTRIES);
  if (m->departed_ms[r] == 0 && rng_chance (&m->rng, 0.003))
    {
      m->departed_ms[r] = now;
      runner_table_depart (m->entries[m->home[r]], id, m->incarnation[r], now, NULL);
    }
  else if (m->departed_ms[r] > 0 && now > m->departed_ms[r] + 2500 && rng_chance (&m->rng, 0.01))
    {
      m->incarnation[r]++;
      m->departed_ms[r] = 0;
    }
  if (m->departed_ms[r] == 0 && now >= m->next_ms[r])
    {
      announce (m->entries[m->home[r]], id, m->incarnation[r], now);
      m->next_ms[r] = now + 500;
    }
}

static void
check_runner (const struct model *m, int r, int64_t now)
{
  char id[8];
  snprintf (id, sizeof id, "r%d", r);
  if (m->departed_ms[r] == 0 || now < m->departed_ms[r] + 2000)
    return;
  for (int e = 0; e < MODEL_ENTRIES; e++)
    if (live (m->entries[e], id, now))
      fail_msg ("runner %s is live at entry %d %lld ms after its departure", id, e,
                (long long)(now - m->departed_ms[r]));
}

static void
run_model (uint64_t seed)
{
  static struct model m;
  memset (&m, 0, sizeof m);
  rng_init (&m.rng, seed);
  int64_t now = START_MS;
  for (int e = 0; e < MODEL_ENTRIES; e++)
    m.entries[e] = runner_table_open (++m.starts, now);
  for (int r = 0; r < MODEL_RUNNERS; r++)
    m.incarnation[r] = 1;
  for (int step = 0; step < MODEL_STEPS; step++)
    {
      now += MODEL_STEP_MS;
      if (rng_chance (&m.rng, 0.01))
        m.partitioned[rng_below (&m.rng, MODEL_ENTRIES)][rng_below (&m.rng, MODEL_ENTRIES)]
            = rng_chance (&m.rng, 0.5);
      if (rng_chance (&m.rng, 0.002))
        {
          int e = (int)rng_below (&m.rng, MODEL_ENTRIES);
          runner_table_close (m.entries[e]);
          m.entries[e] = runner_table_open (++m.starts, now);
          for (int o = 0; o < MODEL_ENTRIES; o++)
            if (o != e)
              runner_peer_connected (peer_of (&m, o, e));
        }
      for (int r = 0; r < MODEL_RUNNERS; r++)
        step_runner (&m, r, now);
      step_entries (&m, now);
      for (int r = 0; r < MODEL_RUNNERS; r++)
        check_runner (&m, r, now);
    }
  for (int i = 0; i < MODEL_QUEUE; i++)
    if (m.queue[i].used)
      drop_message (&m.queue[i]);
  for (int e = 0; e < MODEL_ENTRIES; e++)
    runner_table_close (m.entries[e]);
}

static void
test_departed_runners_get_nothing_after_2_s (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= MODEL_SEEDS; seed++)
    run_model (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lifetime_and_departure),
    cmocka_unit_test (test_refuses_malformed_announcements),
    cmocka_unit_test (test_paused_process_refuses_old_announcements),
    cmocka_unit_test (test_paused_process_learns_again),
    cmocka_unit_test (test_digests_renew_and_delta),
    cmocka_unit_test (test_an_unlisted_runner_may_return_a_departed_one_never),
    cmocka_unit_test (test_restarts),
    cmocka_unit_test (test_departed_runners_get_nothing_after_2_s),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
