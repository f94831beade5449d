/* Guards against accepting an invalid members file (duplicate VM, node or address, no voter,
   unknown cell) and against a crash on a corrupt file.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "members.h"
#include "rng.h"

#define FUZZ_ROUNDS 3000
#define MEMBER(vm, peer, rest)                                                                     \
  "{\"vm\":\"" vm "\",\"data_centre\":\"a\",\"region\":\"r\",\"peer\":\"" peer                     \
  "\",\"backend\":\"10.0.0.1:2\",\"operators\":\"10.0.0.1:3\"" rest "}"
#define VOTER ",\"registry_voter\":true,\"cells\":[\"a\"]"
#define GOOD                                                                                       \
  "{\"members\":[" MEMBER ("x", "10.0.0.1:1", VOTER) ",\n" MEMBER ("y", "10.0.0.2:1", "") "]}"

static int
parse (const char *text, struct member_list *list, struct json_faults *faults)
{
  struct json_source source = { "members.json", text, strlen (text) };
  memset (faults, 0, sizeof *faults);
  return members_parse (&source, list, faults);
}

static void
test_good_file (void **state)
{
  struct member_list list;
  struct json_faults faults;
  registry_member again;
  (void)state;
  assert_int_equal (parse (GOOD, &list, &faults), 0);
  assert_int_equal (list.count, 2);
  const registry_member *x = members_find (&list, "x");
  assert_int_equal (x->node, 1);
  assert_true (x->registry_voter);
  assert_string_equal (x->cells.cells_val[0], "a");
  json_t *json = member_json (x);
  assert_int_equal (member_from_json (json, &again, &faults), 0);
  assert_int_equal (again.node, 1);
  assert_string_equal (again.peer, x->peer);
  json_decref (json);
  member_free (&again);
  members_close (&list);
}

static void
test_faults (void **state)
{
  static const char *const cases[][2] = {
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1", VOTER) "," MEMBER ("x", "10.0.0.2:1", "") "]}",
      "listed twice" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1", VOTER) "," MEMBER ("y", "10.0.0.1:1", "") "]}",
      "same address" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1",
                               VOTER ",\"node\":2") "," MEMBER ("y", "10.0.0.2:1", "") "]}",
      "same node" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1", "") "]}", "no member is a voter" },
    { "{\"members\":[]}", "no member is a voter" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1",
                               ",\"registry_voter\":true,\"cells\":[\"b\"]") "]}",
      "no member is in data centre 'b'" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1", VOTER) "]}", "is not ip:port" },
    { "{\"members\":[" MEMBER ("x", "host:1", VOTER) "]}", "is not ip:port" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:0", VOTER) "]}", "is not ip:port" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1", VOTER ",\"node\":0") "]}", "out of range" },
    { "{\"members\":[" MEMBER ("x", "10.0.0.1:1", VOTER ",\"rack\":0") "]}", "unknown field" },
  };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct member_list list;
      struct json_faults faults;
      assert_int_equal (parse (cases[i][0], &list, &faults), -1);
      assert_int_equal (faults.count, 1);
      assert_non_null (strstr (faults.items[0].reason, cases[i][1]));
      assert_int_equal (list.count, 0);
      json_faults_close (&faults);
    }
}

static void
test_damaged_files (void **state)
{
  struct rng rng;
  (void)state;
  rng_init (&rng, 11);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      char text[sizeof GOOD];
      struct member_list list;
      struct json_faults faults = { 0 };
      struct json_source source = { "f", text, sizeof GOOD - 1 };
      memcpy (text, GOOD, sizeof text);
      uint64_t changes = 1 + rng_below (&rng, 5);
      for (uint64_t k = 0; k < changes; k++)
        text[rng_below (&rng, source.len)] = rng_chance (&rng, 0.5)
                                                 ? "{}[]\",:0919.n"[rng_below (&rng, 13)]
                                                 : (char)rng_next (&rng);
      int result = members_parse (&source, &list, &faults);
      assert_true ((result == 0) == (faults.count == 0));
      members_close (&list);
      json_faults_close (&faults);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_good_file),
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_damaged_files),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
