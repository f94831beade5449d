/* Guards against two accepted edits of one version, a repeated command that is executed twice (also
   after a snapshot), a version that decreases, a reused node id, replicas that diverge after the
   same log, and a crash on a corrupted command or snapshot.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "registry.h"
#include "rng.h"

#define PLANS                                                                                      \
  "{\"plans\":[{\"id\":\"p\",\"weight\":1,\"urgent_concurrency\":1,\"requests_per_s\":1,"          \
  "\"batch_millicores\":1,\"memory_mb\":1,\"accelerators\":0,\"evictions_per_hour\":1}]}"
#define CUSTOMERS "{\"customers\":[{\"id\":\"c\",\"plan\":\"p\"}]}"
#define FUZZ_ROUNDS 3000

/* A registry with its log index and clock.  */
struct fixture
{
  struct registry *r;
  uint64_t index;
  int64_t time_ms;
};

static registry_result
apply_bytes (struct fixture *f, const void *data, size_t len)
{
  struct buffer out = { 0 };
  registry_result result;
  struct machine *m = registry_machine (f->r);
  m->ops->apply (m, ++f->index, data, len, &out);
  assert_int_equal (registry_decode_result (out.data, out.len, &result, NULL), 0);
  buffer_close (&out);
  return result;
}

/* Applies a command; frees the message of the result, as few tests check it.  */
static registry_result
apply (struct fixture *f, registry_command *c)
{
  struct buffer encoded = { 0 };
  struct status st;
  if (!c->request_id)
    c->request_id = "";
  c->time_ms = ++f->time_ms;
  assert_int_equal (registry_encode (c, &encoded, &st), 0);
  registry_result result = apply_bytes (f, encoded.data, encoded.len);
  buffer_close (&encoded);
  free (result.message);
  result.message = NULL;
  return result;
}

static registry_result
set_lists (struct fixture *f, const char *id, uint64_t expected, const char *customers)
{
  registry_command c = { .request_id = (char *)id, .body.kind = REGISTRY_SET_LISTS };
  c.body.registry_body_u.lists.expected = expected;
  c.body.registry_body_u.lists.plans = PLANS;
  c.body.registry_body_u.lists.customers = (char *)customers;
  return apply (f, &c);
}

static registry_result
change (struct fixture *f, const char *id, const char *dc, bool out, int64_t expected)
{
  registry_command c = { .request_id = (char *)id, .body.kind = REGISTRY_DATA_CENTRE };
  c.body.registry_body_u.data_centre.data_centre = (char *)dc;
  c.body.registry_body_u.data_centre.out = out;
  c.body.registry_body_u.data_centre.compare = expected >= 0;
  c.body.registry_body_u.data_centre.expected = expected >= 0 ? (uint64_t)expected : 0;
  return apply (f, &c);
}

static registry_result
in_force (struct fixture *f, const char *dc, uint64_t version)
{
  registry_command c = { .body.kind = REGISTRY_IN_FORCE };
  c.body.registry_body_u.in_force.data_centre = (char *)dc;
  c.body.registry_body_u.in_force.out_version = version;
  c.body.registry_body_u.in_force.reason = REGISTRY_PERMIT_EXPIRED;
  return apply (f, &c);
}

static registry_result
stopped (struct fixture *f, const char *dc, uint64_t version, uint64_t node)
{
  registry_command c = { .body.kind = REGISTRY_STOPPED };
  c.body.registry_body_u.stopped.data_centre = (char *)dc;
  c.body.registry_body_u.stopped.out_version = version;
  c.body.registry_body_u.stopped.node = node;
  return apply (f, &c);
}

static registry_result
member (struct fixture *f, const char *id, registry_kind kind, const char *vm, const char *dc,
        bool voter)
{
  registry_command c = { .request_id = (char *)id, .body.kind = kind };
  registry_member m = { .vm = (char *)vm,
                        .data_centre = (char *)dc,
                        .region = "r",
                        .peer = "127.0.0.1:1",
                        .backend = "127.0.0.1:2",
                        .operators = "127.0.0.1:3",
                        .registry_voter = voter };
  if (kind == REGISTRY_MEMBER_REMOVE)
    c.body.registry_body_u.remove = (char *)vm;
  else if (kind == REGISTRY_MEMBER_REPLACE)
    c.body.registry_body_u.replace = m;
  else
    c.body.registry_body_u.add = m;
  return apply (f, &c);
}

static struct fixture
open_fixture (void)
{
  struct fixture f = { registry_new (), 0, 1000 };
  assert_int_equal (member (&f, "m1", REGISTRY_MEMBER_ADD, "a1", "a", true).status, STATUS_OK);
  assert_int_equal (member (&f, "m2", REGISTRY_MEMBER_ADD, "b1", "b", true).status, STATUS_OK);
  return f;
}

static struct buffer
save (struct fixture *f)
{
  struct buffer out = { 0 };
  registry_machine (f->r)->ops->save (registry_machine (f->r), &out);
  return out;
}

/* Simulates a restart: loads the snapshot into a new registry.  */
static void
reload (struct fixture *f)
{
  struct buffer snapshot = save (f);
  struct status st;
  registry_free (f->r);
  f->r = registry_new ();
  assert_int_equal (registry_machine (f->r)->ops->load (registry_machine (f->r), snapshot.data,
                                                        snapshot.len, &st),
                    0);
  buffer_close (&snapshot);
}

static void
test_one_of_two_equal_edits_wins (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  registry_result first = set_lists (&f, "e1", 0, CUSTOMERS);
  registry_result second = set_lists (&f, "e2", 0, "{\"customers\":[]}");
  assert_int_equal (first.status, STATUS_OK);
  assert_int_equal (first.current, 1);
  assert_int_equal (second.status, STATUS_VERSION_CONFLICT);
  assert_int_equal (second.current, 1);
  assert_non_null (plans_for_customer (registry_plans (f.r), "c"));
  assert_int_equal (set_lists (&f, "e3", 1, "{\"customers\":[]}").current, 2);
  assert_null (plans_for_customer (registry_plans (f.r), "c"));
  registry_free (f.r);
}

static void
test_repeat_gets_the_first_answer_also_after_restart (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  registry_result first = set_lists (&f, "e1", 0, CUSTOMERS);
  registry_result lost = set_lists (&f, "e2", 0, CUSTOMERS);
  set_lists (&f, "e3", 1, CUSTOMERS);
  for (int round = 0; round < 2; round++)
    {
      assert_memory_equal (&(registry_result[]){ set_lists (&f, "e1", 0, CUSTOMERS) }, &first,
                           sizeof first);
      assert_memory_equal (&(registry_result[]){ set_lists (&f, "e2", 0, CUSTOMERS) }, &lost,
                           sizeof lost);
      assert_int_equal (registry_lists (f.r).version, 2);
      assert_int_equal (set_lists (&f, "e1", 2, CUSTOMERS).status, STATUS_BAD_REQUEST);
      reload (&f);
    }
  assert_non_null (plans_for_customer (registry_plans (f.r), "c"));
  registry_free (f.r);
}

static void
test_oldest_answers_evicted (void **state)
{
  struct fixture f = open_fixture ();
  char id[32];
  (void)state;
  change (&f, "first", "a", true, -1);
  for (int i = 0; i < REGISTRY_MAX_ANSWERS - 1; i++)
    {
      snprintf (id, sizeof id, "id-%d", i);
      change (&f, id, "b", i % 2 == 0, -1);
    }
  reload (&f);
  uint64_t version = registry_find_data_centre (f.r, "a")->state_version;
  assert_int_equal (change (&f, "first", "a", true, -1).index, 3);
  change (&f, "one-more", "b", true, -1);
  registry_result late = change (&f, "first", "a", true, -1);
  assert_true (late.index > 3);
  assert_int_equal (registry_find_data_centre (f.r, "a")->state_version, version);
  registry_free (f.r);
}

static void
test_order_of_indexes_and_snapshots (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  set_lists (&f, "e1", 0, CUSTOMERS);
  struct buffer old = save (&f);
  struct fixture behind = { registry_new (), 0, 0 };
  set_lists (&f, "e2", 1, CUSTOMERS);
  struct machine *m = registry_machine (f.r);
  struct status st;
  assert_int_equal (m->ops->load (m, old.data, old.len, &st), -1);
  assert_int_equal (st.kind, STATUS_STALE_EPOCH);
  assert_int_equal (registry_lists (f.r).version, 2);
  f.index--;
  assert_int_equal (set_lists (&f, "e3", 2, CUSTOMERS).status, STATUS_INTERNAL);
  assert_int_equal (registry_lists (f.r).version, 2);
  m = registry_machine (behind.r);
  assert_int_equal (m->ops->load (m, old.data, old.len, &st), 0);
  assert_int_equal (registry_lists (behind.r).version, 1);
  buffer_close (&old);
  registry_free (behind.r);
  registry_free (f.r);
}

static void
test_out_twice_and_return_during_out (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  assert_int_equal (change (&f, "o1", "a", true, 1).current, 2);
  assert_int_equal (change (&f, "o2", "a", true, -1).status, STATUS_OK);
  assert_int_equal (registry_find_data_centre (f.r, "a")->state_version, 2);
  assert_int_equal (change (&f, "o3", "a", false, 1).status, STATUS_VERSION_CONFLICT);
  assert_false (registry_is_in (f.r, "a"));
  assert_int_equal (change (&f, "r1", "a", false, -1).current, 3);
  assert_true (registry_is_in (f.r, "a"));
  assert_int_equal (in_force (&f, "a", 2).status, STATUS_VERSION_CONFLICT);
  assert_int_equal (change (&f, "o4", "a", true, -1).current, 4);
  assert_int_equal (in_force (&f, "a", 2).status, STATUS_VERSION_CONFLICT);
  assert_int_equal (registry_find_data_centre (f.r, "a")->in_force, REGISTRY_NOT_IN_FORCE);
  assert_int_equal (in_force (&f, "a", 4).status, STATUS_OK);
  assert_int_equal (registry_find_data_centre (f.r, "a")->in_force, REGISTRY_PERMIT_EXPIRED);
  change (&f, "r2", "a", false, -1);
  change (&f, "o5", "a", true, -1);
  assert_int_equal (registry_find_data_centre (f.r, "a")->in_force, REGISTRY_NOT_IN_FORCE);
  assert_int_equal (change (&f, "o6", "nowhere", true, -1).status, STATUS_NOT_FOUND);
  registry_free (f.r);
}

static void
test_acknowledgement_is_for_one_out_command (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  change (&f, "o1", "a", true, -1);
  change (&f, "r1", "a", false, -1);
  assert_int_equal (stopped (&f, "a", 2, 1).status, STATUS_VERSION_CONFLICT);
  change (&f, "o2", "a", true, -1);
  assert_int_equal (stopped (&f, "a", 2, 1).status, STATUS_VERSION_CONFLICT);
  assert_int_equal (registry_find_data_centre (f.r, "a")->stopped_version, 0);
  assert_int_equal (stopped (&f, "a", 4, 1).status, STATUS_OK);
  assert_int_equal (stopped (&f, "a", 4, 2).status, STATUS_OK);
  assert_int_equal (registry_find_data_centre (f.r, "a")->stopped_version, 4);
  assert_int_equal (registry_find_data_centre (f.r, "a")->stopped_node, 2);
  registry_free (f.r);
}

static void
test_all_out (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  assert_int_equal (change (&f, "o1", "a", true, -1).status, STATUS_OK);
  assert_int_equal (change (&f, "o2", "b", true, -1).status, STATUS_OK);
  assert_false (registry_is_in (f.r, "a") || registry_is_in (f.r, "b"));
  assert_int_equal (change (&f, "r1", "b", false, -1).status, STATUS_OK);
  assert_true (registry_is_in (f.r, "b"));
  registry_free (f.r);
}

static void
test_epoch_closes_once (void **state)
{
  struct fixture f = open_fixture ();
  registry_command c = { .request_id = "c1", .body.kind = REGISTRY_CLOSE_EPOCH };
  (void)state;
  c.body.registry_body_u.close_epoch.data_centre = "a";
  c.body.registry_body_u.close_epoch.epoch = 1;
  assert_int_equal (apply (&f, &c).epoch, 2);
  assert_int_equal (apply (&f, &c).epoch, 2);
  c.request_id = "c2";
  assert_int_equal (apply (&f, &c).status, STATUS_STALE_EPOCH);
  assert_int_equal (registry_find_data_centre (f.r, "a")->epoch, 2);
  registry_free (f.r);
}

static void
test_members (void **state)
{
  struct fixture f = open_fixture ();
  registry_command drain = { .request_id = "d1", .body.kind = REGISTRY_MEMBER_DRAIN };
  (void)state;
  assert_int_equal (member (&f, "x1", REGISTRY_MEMBER_ADD, "a1", "a", true).status,
                    STATUS_BAD_REQUEST);
  assert_int_equal (member (&f, "x2", REGISTRY_MEMBER_REPLACE, "a1", "b", true).status,
                    STATUS_BAD_REQUEST);
  assert_int_equal (member (&f, "x3", REGISTRY_MEMBER_REPLACE, "a1", "a", true).node, 3);
  assert_null (registry_find_node (f.r, 1));
  assert_int_equal (member (&f, "x4", REGISTRY_MEMBER_REMOVE, "a1", "", true).node, 3);
  assert_int_equal (member (&f, "x5", REGISTRY_MEMBER_REMOVE, "b1", "", true).status,
                    STATUS_BAD_REQUEST);
  assert_int_equal (member (&f, "x6", REGISTRY_MEMBER_REPLACE, "b1", "b", false).status,
                    STATUS_BAD_REQUEST);
  assert_int_equal (member (&f, "x7", REGISTRY_MEMBER_ADD, "a2", "a", false).node, 4);
  drain.body.registry_body_u.drain.vm = "a2";
  drain.body.registry_body_u.drain.draining = TRUE;
  assert_int_equal (apply (&f, &drain).status, STATUS_OK);
  reload (&f);
  assert_true (registry_find_member (f.r, "a2")->draining);
  assert_int_equal (member (&f, "x8", REGISTRY_MEMBER_ADD, "bad name", "a", false).status,
                    STATUS_BAD_REQUEST);
  assert_non_null (registry_find_data_centre (f.r, "a"));
  registry_free (f.r);
}

static void
test_first_members_all_or_none (void **state)
{
  struct fixture f = { registry_new (), 0, 0 };
  registry_member list[2] = { { .node = 5, .vm = "x", .data_centre = "a", .region = "r" },
                              { .node = 5, .vm = "y", .data_centre = "a", .region = "r" } };
  registry_command c = { .body.kind = REGISTRY_INIT };
  (void)state;
  for (int i = 0; i < 2; i++)
    list[i].peer = list[i].backend = list[i].operators = "";
  list[0].registry_voter = TRUE;
  c.body.registry_body_u.init.members.members_len = 2;
  c.body.registry_body_u.init.members.members_val = list;
  assert_int_equal (apply (&f, &c).status, STATUS_BAD_REQUEST);
  assert_null (registry_find_member (f.r, "x"));
  assert_null (registry_find_data_centre (f.r, "a"));
  list[1].node = 2;
  assert_int_equal (apply (&f, &c).status, STATUS_OK);
  assert_int_equal (registry_find_member (f.r, "x")->node, 5);
  assert_int_equal (registry_find_member (f.r, "y")->node, 2);
  assert_int_equal (member (&f, "n", REGISTRY_MEMBER_ADD, "z", "b", false).node, 6);
  list[0].vm = "late";
  list[0].node = 20;
  assert_int_equal (apply (&f, &c).status, STATUS_OK);
  assert_null (registry_find_member (f.r, "late"));
  registry_free (f.r);
}

static void
test_unusable_lists_leave_the_previous_plans (void **state)
{
  struct fixture f = open_fixture ();
  (void)state;
  set_lists (&f, "e1", 0, CUSTOMERS);
  assert_int_equal (set_lists (&f, "e2", 1, "{\"customers\":[],\"newer\":1}").status, STATUS_OK);
  assert_int_equal (registry_lists (f.r).version, 2);
  assert_false (registry_lists (f.r).usable);
  assert_non_null (plans_for_customer (registry_plans (f.r), "c"));
  registry_free (f.r);
}

static void
test_stamp_sets_the_time (void **state)
{
  struct fixture f = open_fixture ();
  struct buffer encoded = { 0 };
  registry_command c = { .request_id = "s", .body.kind = REGISTRY_MEMBER_REMOVE };
  (void)state;
  c.body.registry_body_u.remove = "a1";
  assert_int_equal (registry_encode (&c, &encoded, NULL), 0);
  assert_int_equal (registry_stamp (encoded.data, encoded.len, 1796366012765), 0);
  registry_result result = apply_bytes (&f, encoded.data, encoded.len);
  assert_true (result.accepted_ms == 1796366012765);
  registry_result_free (&result);
  buffer_close (&encoded);
  registry_free (f.r);
}

static void
random_command (struct fixture *f, struct rng *rng)
{
  static const char *const data_centres[] = { "a", "b", "c" };
  static const char *const vms[] = { "a1", "b1", "c1", "c2" };
  char id[16];
  const char *dc = data_centres[rng_below (rng, 3)];
  const char *vm = vms[rng_below (rng, 4)];
  snprintf (id, sizeof id, "q%" PRIu64, rng_below (rng, 60));
  switch (rng_below (rng, 7))
    {
    case 0:
      set_lists (f, id, rng_below (rng, 6), CUSTOMERS);
      break;
    case 1:
      in_force (f, dc, rng_below (rng, 9));
      break;
    case 2:
      member (f, id, REGISTRY_MEMBER_ADD, vm, dc, rng_chance (rng, 0.5));
      break;
    case 3:
      member (f, id, REGISTRY_MEMBER_REPLACE, vm, dc, true);
      break;
    case 4:
      member (f, id, REGISTRY_MEMBER_REMOVE, vm, dc, false);
      break;
    default:
      {
        bool out = rng_chance (rng, 0.5);
        change (f, id, dc, out, (int64_t)rng_below (rng, 6) - 1);
        break;
      }
    }
}

/* Two replicas, one of which restarts from snapshots, stay equal; versions never decrease.  */
static void
test_replicas_agree (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct fixture f = open_fixture ();
      struct fixture g = open_fixture ();
      struct rng rng_f;
      struct rng rng_g;
      uint64_t lists_version = 0;
      uint64_t dc_version = 0;
      rng_init (&rng_f, seed);
      rng_init (&rng_g, seed);
      for (int i = 0; i < 300; i++)
        {
          random_command (&f, &rng_f);
          random_command (&g, &rng_g);
          if (i % 50 == 7)
            reload (&g);
          uint64_t now = registry_find_data_centre (f.r, "a")->state_version;
          assert_true (registry_lists (f.r).version >= lists_version && now >= dc_version);
          lists_version = registry_lists (f.r).version;
          dc_version = now;
        }
      struct buffer a = save (&f);
      struct buffer b = save (&g);
      assert_int_equal (a.len, b.len);
      assert_memory_equal (a.data, b.data, a.len);
      buffer_close (&a);
      buffer_close (&b);
      registry_free (f.r);
      registry_free (g.r);
    }
}

/* Corrupted lists are logged as errors, thousands of times in these tests.  */
static int
silence_log (void)
{
  int saved = dup (STDERR_FILENO);
  int null = open ("/dev/null", O_WRONLY);
  dup2 (null, STDERR_FILENO);
  close (null);
  return saved;
}

static void
restore_log (int saved)
{
  dup2 (saved, STDERR_FILENO);
  close (saved);
}

static void
corrupt (struct rng *rng, struct buffer *bytes)
{
  uint64_t changes = 1 + rng_below (rng, 4);
  for (uint64_t i = 0; i < changes; i++)
    bytes->data[rng_below (rng, bytes->len)] = (char)rng_next (rng);
  if (rng_chance (rng, 0.3))
    bytes->len = (size_t)rng_below (rng, bytes->len);
}

static void
test_corrupted_commands (void **state)
{
  struct fixture f = open_fixture ();
  struct rng rng;
  registry_member m = {
    .vm = "v", .data_centre = "a", .region = "r", .peer = "", .backend = "", .operators = ""
  };
  char *cells[] = { "a", "b" };
  int saved = silence_log ();
  (void)state;
  rng_init (&rng, 99);
  m.cells.cells_len = 2;
  m.cells.cells_val = cells;
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      registry_command c = { .request_id = "z", .body.kind = REGISTRY_INIT };
      struct buffer bytes = { 0 };
      c.body.registry_body_u.init.members.members_len = 1;
      c.body.registry_body_u.init.members.members_val = &m;
      if (i % 2 == 0)
        {
          c.body.kind = REGISTRY_SET_LISTS;
          c.body.registry_body_u.lists = (registry_set_lists){ 0, PLANS, CUSTOMERS };
        }
      registry_encode (&c, &bytes, NULL);
      corrupt (&rng, &bytes);
      registry_result result = apply_bytes (&f, bytes.data, bytes.len);
      registry_result_free (&result);
      if (registry_decode_result (bytes.data, bytes.len, &result, NULL) == 0)
        registry_result_free (&result);
      buffer_close (&bytes);
    }
  restore_log (saved);
  assert_int_equal (registry_applied (f.r), FUZZ_ROUNDS + 2);
  registry_free (f.r);
}

static void
test_corrupted_snapshots (void **state)
{
  struct fixture f = open_fixture ();
  struct rng rng;
  struct status st;
  int refused = 0;
  int saved = silence_log ();
  (void)state;
  rng_init (&rng, 5);
  set_lists (&f, "e1", 0, CUSTOMERS);
  struct buffer good = save (&f);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      struct buffer bytes = { 0 };
      struct registry *r = registry_new ();
      struct machine *m = registry_machine (r);
      buffer_append (&bytes, good.data, good.len);
      corrupt (&rng, &bytes);
      refused += m->ops->load (m, bytes.data, bytes.len, &st) < 0 ? 1 : 0;
      registry_free (r);
      buffer_close (&bytes);
    }
  restore_log (saved);
  assert_true (refused > FUZZ_ROUNDS / 4);
  buffer_close (&good);
  registry_free (f.r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_of_two_equal_edits_wins),
    cmocka_unit_test (test_repeat_gets_the_first_answer_also_after_restart),
    cmocka_unit_test (test_oldest_answers_evicted),
    cmocka_unit_test (test_order_of_indexes_and_snapshots),
    cmocka_unit_test (test_out_twice_and_return_during_out),
    cmocka_unit_test (test_acknowledgement_is_for_one_out_command),
    cmocka_unit_test (test_all_out),
    cmocka_unit_test (test_epoch_closes_once),
    cmocka_unit_test (test_members),
    cmocka_unit_test (test_first_members_all_or_none),
    cmocka_unit_test (test_unusable_lists_leave_the_previous_plans),
    cmocka_unit_test (test_stamp_sets_the_time),
    cmocka_unit_test (test_replicas_agree),
    cmocka_unit_test (test_corrupted_commands),
    cmocka_unit_test (test_corrupted_snapshots),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
