/* Guards against an invalid list edit that is accepted, errors reported without position or one at
   a time, a crash on corrupted files, and a lookup or diff that misses a change.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plans.h"
#include "rng.h"
#include "settings.h"

#define PLAN(id, rest)                                                                             \
  "{\"id\":\"" id "\",\"weight\":1,\"urgent_concurrency\":1,\"requests_per_s\":1,"                 \
  "\"batch_millicores\":1000,\"memory_mb\":10,\"accelerators\":0,\"evictions_per_hour\":1" rest    \
  "}"
#define ONE_PLAN "{\"plans\":[" PLAN ("p", "") "]}"
#define ONE_CUSTOMER "{\"customers\":[{\"id\":\"c\",\"plan\":\"p\"}]}"
#define FUZZ_ROUNDS 3000

static struct plans *
parse (const char *plans, const char *customers, struct json_faults *faults)
{
  struct json_source a = { "plans.json", plans, strlen (plans) };
  struct json_source b = { "customers.json", customers, strlen (customers) };
  memset (faults, 0, sizeof *faults);
  return plans_parse (&a, &b, faults);
}

/* An edit with one error, and the expected report.  */
struct invalid_edit
{
  const char *plans;
  const char *customers;
  const char *file;
  int line;
  const char *path;
  const char *reason; /* substring of the reason */
};

static const struct invalid_edit invalid_edits[] = {
  { ONE_PLAN, "{\n\"customers\":[\n{\"id\":\"c\",\n\"plan\":\"q\"}]}", "customers.json", 4,
    "$.customers[0].plan", "unknown plan 'q'" },
  { ONE_PLAN, "{\"customers\":[{\"id\":\"c\",\"plan\":\"p\"},\n{\"id\":\"c\",\"plan\":\"p\"}]}",
    "customers.json", 2, "$.customers[1].id", "same customer" },
  { "{\"plans\":[" PLAN ("p", "") ",\n\n" PLAN ("p", "") "]}", ONE_CUSTOMER, "plans.json", 3,
    "$.plans[1].id", "same id" },
  { "{\"plans\":[" PLAN ("p", ",\n\"colour\":1") "]}", ONE_CUSTOMER, "plans.json", 2,
    "$.plans[0].colour", "unknown field 'colour'" },
  { "{\"plans\":[{\"id\":\"p\",\"weight\":1,\"urgent_concurrency\":1,\"requests_per_s\":1,"
    "\"batch_millicores\":1000,\n\"memory_mb\":-5,\"accelerators\":0,\"evictions_per_hour\":1}]}",
    ONE_CUSTOMER, "plans.json", 2, "$.plans[0].memory_mb", "-5 is out of range" },
  { "{\"plans\":[{\"id\":\"p\",\"weight\":1.5,\"urgent_concurrency\":1,\"requests_per_s\":1,"
    "\"batch_millicores\":1000,\"memory_mb\":5,\"accelerators\":0,\"evictions_per_hour\":1}]}",
    ONE_CUSTOMER, "plans.json", 1, "$.plans[0].weight", "whole number" },
  { "{\"plans\":[{\"id\":\"p\",\"weight\":1,\"urgent_concurrency\":1,\"requests_per_s\":1,"
    "\"batch_millicores\":1000,\"memory_mb\":5,\"accelerators\":0}]}",
    ONE_CUSTOMER, "plans.json", 1, "$.plans[0]", "'evictions_per_hour' is missing" },
  { "{\"plans\":[" PLAN ("p", "") "],}", ONE_CUSTOMER, "plans.json", 1, "$", "malformed JSON" },
  { "{\"plans\":[" PLAN ("p", "") "],\n\"plans\":[]}", ONE_CUSTOMER, "plans.json", 2, "$",
    "duplicate object key" },
  { "{\"plans\":[" PLAN ("p d", "") "]}", "{\"customers\":[]}", "plans.json", 1, "$.plans[0].id",
    "is no name" },
  { "{\"worker_shapes\":[{\"name\":\"w\",\"millicores\":4000,\"memory_mb\":5,"
    "\"accelerators\":0}],\n\"plans\":[" PLAN ("p", ",\n\"largest_task\":{\"millicores\":500,"
                                                    "\"memory_mb\":6,\"accelerators\":0}") "]}",
    ONE_CUSTOMER, "plans.json", 3, "$.plans[0].largest_task", "no worker could ever run it" },
  { "{\"plans\":[" PLAN ("p", ",\"largest_task\":{\"millicores\":1001,\"memory_mb\":1,"
                              "\"accelerators\":0}") "]}",
    ONE_CUSTOMER, "plans.json", 1, "$.plans[0].largest_task", "larger than all batch tasks" },
  { "{\"plans\":[{\"id\":\"p\",\"weight\":1,\"urgent_concurrency\":1,\"requests_per_s\":1,"
    "\"batch_millicores\":1000,\"memory_mb\":0,\"accelerators\":0,\"evictions_per_hour\":1}]}",
    ONE_CUSTOMER, "plans.json", 1, "$.plans[0].memory_mb", "no worker could ever run" },
  { "{\"worker_shapes\":[{\"name\":\"w\",\"millicores\":4000,\"memory_mb\":100,"
    "\"accelerators\":0}],\"plans\":[{\"id\":\"p\",\"weight\":1,\"urgent_concurrency\":1,"
    "\"requests_per_s\":1,\"batch_millicores\":1000,\"memory_mb\":1,\"accelerators\":2,"
    "\"evictions_per_hour\":1}]}",
    ONE_CUSTOMER, "plans.json", 1, "$.plans[0].accelerators", "no worker shape has accelerators" },
  { "[]", "{\"customers\":[]}", "plans.json", 1, "$", "must be an object" },
  { "", "{\"customers\":[]}", "plans.json", 1, "$", "malformed JSON" },
};

static void
test_each_error_has_position (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof invalid_edits / sizeof *invalid_edits; i++)
    {
      const struct invalid_edit *r = &invalid_edits[i];
      struct json_faults faults;
      assert_null (parse (r->plans, r->customers, &faults));
      assert_int_equal (faults.count, 1);
      assert_string_equal (faults.items[0].file, r->file);
      assert_string_equal (faults.items[0].path, r->path);
      assert_int_equal (faults.items[0].line, r->line);
      assert_non_null (strstr (faults.items[0].reason, r->reason));
      json_faults_close (&faults);
    }
}

static void
test_all_faults_are_reported_at_once (void **state)
{
  struct json_faults faults;
  (void)state;
  assert_null (parse ("{\"plans\":[" PLAN ("p", ",\"x\":1,\"y\":2") "]}",
                      "{\"customers\":[{\"id\":\"c\",\"plan\":\"q\"},{\"id\":\"c\"}]}", &faults));
  assert_int_equal (faults.count, 5);
  json_faults_close (&faults);
}

static void
test_fault_list_is_bounded (void **state)
{
  struct buffer text = { 0 };
  struct json_faults faults;
  (void)state;
  buffer_printf (&text, "{\"customers\":[");
  for (int i = 0; i < 1000; i++)
    buffer_printf (&text, "%s{\"id\":\"c%d\",\"plan\":\"none\"}", i ? ",\n" : "", i);
  buffer_printf (&text, "]}");
  assert_null (parse (ONE_PLAN, text.data, &faults));
  assert_int_equal (faults.count, JSON_MAX_FAULTS);
  assert_int_equal (faults.dropped, 1000 - JSON_MAX_FAULTS);
  for (int i = 0; i < JSON_MAX_FAULTS; i++)
    assert_int_equal (faults.items[i].line, i + 1);
  json_faults_close (&faults);
  buffer_close (&text);
}

static void
test_control_characters_stay_out_of_reports (void **state)
{
  struct json_faults faults;
  struct buffer out = { 0 };
  (void)state;
  assert_null (
      parse ("{\"plans\":[],\"a\\nplans.json:1: $: forged\":1}", "{\"customers\":[]}", &faults));
  json_faults_write (&faults, &out);
  assert_ptr_equal (strchr (out.data, '\n'), out.data + out.len - 1);
  buffer_close (&out);
  json_faults_close (&faults);
}

static void
test_lookup_and_references (void **state)
{
  struct json_faults faults;
  struct plan_size small = { 100, 5, 0 };
  struct plan_size big = { 100, 11, 0 };
  struct status st;
  (void)state;
  const struct plans *p = parse (ONE_PLAN, ONE_CUSTOMER, &faults);
  const struct plan *plan = plans_for_customer (p, "c");
  assert_string_equal (plan->id, "p");
  assert_null (plans_for_customer (p, "d"));
  assert_null (plans_for_customer (p, ""));
  assert_true (plans_task_fits (p, plan, &small, false, &st));
  assert_false (plans_task_fits (p, plan, &big, false, &st));
  assert_int_equal (st.kind, STATUS_UNSATISFIABLE);
  assert_true (plans_task_fits (p, plan, &big, true, &st));
  plans_unref (plans_ref (p));
  assert_string_equal (plans_for_customer (p, "c")->id, "p");
  plans_unref (p);
}

static void
count_change (void *arg, const struct plans_change *change)
{
  ((int *)arg)[change->kind]++;
}

static void
test_diff_names_every_change (void **state)
{
  struct json_faults faults;
  int seen[PLANS_SHAPE_CHANGED + 1] = { 0 };
  (void)state;
  struct plans *a = parse ("{\"plans\":[" PLAN ("p", "") "," PLAN ("gone", "") "]}",
                           "{\"customers\":[{\"id\":\"c\",\"plan\":\"p\"},"
                           "{\"id\":\"left\",\"plan\":\"p\"}]}",
                           &faults);
  struct plans *b
      = parse ("{\"worker_shapes\":[{\"name\":\"w\",\"millicores\":4000,\"memory_mb\":100,"
               "\"accelerators\":0}],\"plans\":[" PLAN (
                   "p", ",\"largest_task\":{\"millicores\":1,\"memory_mb\":"
                        "1,\"accelerators\":0}") "," PLAN ("new", "") "]}",
               "{\"customers\":[{\"id\":\"c\",\"plan\":\"new\"},{\"id\":\"came\",\"plan\":\"p\"}]}",
               &faults);
  assert_int_equal (plans_diff (a, b, count_change, seen), 7);
  for (int kind = PLANS_PLAN_ADDED; kind <= PLANS_SHAPE_ADDED; kind++)
    assert_int_equal (seen[kind], 1);
  assert_int_equal (plans_diff (b, b, count_change, seen), 0);
  plans_unref (a);
  plans_unref (b);
}

/* Corrupts TEXT in place at one to six positions.  */
static void
corrupt (struct rng *rng, struct buffer *text)
{
  static const char tokens[] = "{}[]\",:\\-0919eE.tfn\n\x80\xff";
  uint64_t changes = 1 + rng_below (rng, 6);
  for (uint64_t i = 0; i < changes && text->len > 0; i++)
    {
      size_t at = (size_t)rng_below (rng, text->len);
      if (rng_chance (rng, 0.5))
        text->data[at] = tokens[rng_below (rng, sizeof tokens - 1)];
      else if (rng_chance (rng, 0.5))
        text->data[at] = (char)rng_next (rng);
      else
        text->len = at;
    }
}

static void
check_corrupted (struct rng *rng, const char *plans_text, const char *customers_text)
{
  struct buffer plans = { 0 };
  struct buffer customers = { 0 };
  struct json_faults faults = { 0 };
  buffer_append (&plans, plans_text, strlen (plans_text));
  buffer_append (&customers, customers_text, strlen (customers_text));
  corrupt (rng, rng_chance (rng, 0.5) ? &plans : &customers);
  struct json_source a = { "plans", plans.data, plans.len };
  struct json_source b = { "customers", customers.data, customers.len };
  struct plans *p = plans_parse (&a, &b, &faults);
  assert_true ((p != NULL) == (faults.count == 0));
  plans_unref (p);
  json_faults_close (&faults);
  buffer_close (&plans);
  buffer_close (&customers);
}

static void
test_corrupted_files (void **state)
{
  static const char plans[] = "{\"worker_shapes\":[{\"name\":\"w\",\"millicores\":4000,"
                              "\"memory_mb\":100,\"accelerators\":1}],\n\"plans\":[\n" PLAN (
                                  "p", ",\"comment\":\"\\u00e9\\n\"") "," PLAN ("q", "") "]}";
  struct rng rng;
  (void)state;
  rng_init (&rng, 20261204);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    check_corrupted (&rng, plans, ONE_CUSTOMER);
}

static void
test_random_bytes (void **state)
{
  struct rng rng;
  char bytes[256];
  (void)state;
  rng_init (&rng, 7);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      struct json_faults faults = { 0 };
      size_t len = (size_t)rng_below (&rng, sizeof bytes);
      for (size_t k = 0; k < len; k++)
        bytes[k] = (char)rng_next (&rng);
      struct json_source source = { "bytes", bytes, len };
      assert_null (plans_parse (&source, &source, &faults));
      assert_true (faults.count > 0);
      json_faults_close (&faults);
      struct json_step step = { rng_chance (&rng, 0.5) ? "plans" : NULL, rng_below (&rng, 3) };
      assert_true (json_locate (bytes, len, &step, 1, NULL) >= 1);
    }
}

static void
test_resumed_walk_finds_the_same_line (void **state)
{
  static const char doc[] = "{\"a\": [1,\n {\"x\": [\n2], \"y\":\n3}\n, \"]\\\"\",\n{\"y\": 1}],"
                            "\n\"b\":\n[\n[],\n{\"x\":\n1}]}";
  static const char *const keys[] = { "a", "b", "c" };
  struct json_position last = { 0 };
  struct rng rng;
  (void)state;
  rng_init (&rng, 4);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      size_t len = rng_chance (&rng, 0.9) ? sizeof doc - 1 : (size_t)rng_below (&rng, sizeof doc);
      struct json_step steps[3] = { { keys[rng_below (&rng, 3)], 0 },
                                    { NULL, (size_t)rng_below (&rng, 5) },
                                    { rng_chance (&rng, 0.5) ? "x" : "y", 0 } };
      size_t depth = (size_t)rng_below (&rng, 4);
      struct json_position *place = len == sizeof doc - 1 ? &last : NULL;
      assert_int_equal (json_locate (doc, len, steps, depth, place),
                        json_locate (doc, len, steps, depth, NULL));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_error_has_position),
    cmocka_unit_test (test_all_faults_are_reported_at_once),
    cmocka_unit_test (test_fault_list_is_bounded),
    cmocka_unit_test (test_control_characters_stay_out_of_reports),
    cmocka_unit_test (test_lookup_and_references),
    cmocka_unit_test (test_diff_names_every_change),
    cmocka_unit_test (test_corrupted_files),
    cmocka_unit_test (test_random_bytes),
    cmocka_unit_test (test_resumed_walk_finds_the_same_line),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
