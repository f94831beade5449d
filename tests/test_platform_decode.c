/* Guards against malformed bodies of other programs: they must not crash the decoder, be decoded in
   part or have an effect.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decode.h"
#include "rng.h"

#define MUTATIONS 25000

static const char configuration[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h.example\",\"path_prefix\":\"/a/\","
      "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":2,"
      "\"service\":\"s\",\"max_attempts\":3,\"stretch\":1.5,\"allowed_regions\":[]}],\"services\":"
      "[{\"name\":\"s\",\"rejects_overload\":true,\"standby\":false}],\"limits\":{}}";

static const char with_accounts[]
    = "{\"version\":8,\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\"a\",\"api_keys\":"
      "[\"k1\",\"k2\"],\"weight\":12,\"cap\":{\"cpu\":1504327,\"mem_mb\":2699191,\"gpu\":0}},"
      "{\"name\":\"b\",\"api_keys\":[\"k3\"],\"weight\":0.5}]}";

static const char job[]
    = "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":900},"
      "{\"count\":20,\"cpu\":2000,\"after\":[0],\"checkpointing\":true,\"fills\":true,\"image\":"
      "\"i\","
      "\"anti_affinity\":2}]}";

static const char report[] = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
                             "\"slots\":8,\"state\":\"ready\","
                             "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"labels\":[\"a\",\"r1-"
                             "3\"],\"clock_ms\":482113,"
                             "\"seq\":4,\"born\":99}";

static const char lists[]
    = "{\"clock_ms\":482113,\"born\":99,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"c0\",41,7]],"
      "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";

static void
test_valid_bodies_are_decoded_in_full (void **state)
{
  workflow_command command;
  workflow_spec s;
  struct platform_report r;
  struct platform_lists l;
  struct status st;
  (void)state;
  assert_int_equal (
      platform_read_configuration (configuration, strlen (configuration), &command, &st), 0);
  assert_int_equal (command.kind, WORKFLOW_CONFIGURE);
  const workflow_configuration c = command.workflow_command_u.configuration;
  assert_int_equal (c.revision, 7);
  assert_int_equal (c.queues.queues_val[0].stretch_milli, 1500);
  assert_string_equal (c.queues.queues_val[0].pool, "s");
  assert_int_equal (c.document.document_len, strlen (configuration));
  xdr_free ((xdrproc_t)xdr_workflow_command, (char *)&command);
  assert_int_equal (platform_read_job (job, strlen (job), 1, "r1", &s, &st), 0);
  assert_int_equal (s.steps.steps_val[1].flags, WORKFLOW_STEP_CHECKPOINTING | WORKFLOW_STEP_FILL);
  assert_int_equal (s.steps.steps_val[1].max_per_worker, 2);
  xdr_free ((xdrproc_t)xdr_workflow_spec, (char *)&s);
  assert_int_equal (platform_read_report (report, strlen (report), "i-1", &r, &st), 0);
  assert_int_equal (r.report.millicores, 16000);
  assert_int_equal (r.report.born_ms, 99);
  platform_report_free (&r);
  assert_int_equal (platform_read_lists (lists, strlen (lists), &l, &st), 0);
  assert_int_equal (l.running[0].task.index, 17);
  assert_int_equal (l.running[0].measure, 7);
  assert_int_equal (l.ended[0].outcome, WORKFLOW_DONE);
  platform_lists_free (&l);
}

static void
assert_configuration_refused (const char *text)
{
  workflow_command c;
  struct status st;
  if (platform_read_configuration (text, strlen (text), &c, &st) == 0)
    fail_msg ("accepted: %s", text);
}

static void
test_invalid_configurations_are_refused (void **state)
{
  (void)state;
  assert_configuration_refused ("{\"version\":7,\"routes\":[");
  assert_configuration_refused ("{\"version\":7,\"services\":[]}");
  assert_configuration_refused ("{\"version\":\"7\",\"routes\":[],\"services\":[]}");
  assert_configuration_refused (
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
      "\"/\",\"timeout_ms\":1,\"service\":\"none\"}],\"services\":[]}");
  assert_configuration_refused (
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
      "\"/\",\"timeout_ms\":0,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}");
  assert_configuration_refused (
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/"
      "\",\"timeout_ms\":"
      "1,\"service\":\"s\"},{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/\",\"timeout_ms\":1,"
      "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}");
}

/* Reads a configuration of one public queue with this list of accounts.  */
static int
read_tenants (const char *tenants, workflow_command *out, struct status *st)
{
  char text[8000];
  snprintf (text, sizeof text,
            "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","
            "\"timeout_ms\":1,\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":\"s\"}],"
            "\"tenants\":%s}",
            tenants);
  return platform_read_configuration (text, strlen (text), out, st);
}

static void
test_accounts_are_decoded_in_full (void **state)
{
  workflow_command c;
  struct status st;
  (void)state;
  assert_int_equal (
      read_tenants ("[{\"name\":\"alder\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"
                    "\"weight\":2.5,\"cap\":{\"cpu\":1500,\"mem_mb\":20,\"gpu\":3}},"
                    "{\"name\":\"birch\",\"api_keys\":[]}]",
                    &c, &st),
      0);
  assert_int_equal (c.kind, WORKFLOW_CONFIGURE_ACCOUNTS);
  const workflow_accounts *a = &c.workflow_command_u.accounts.accounts;
  assert_int_equal (a->list.list_len, 2);
  assert_string_equal (a->list.list_val[0].keys.keys_val[1], "k2");
  assert_int_equal (a->list.list_val[0].weight_milli, 2500);
  assert_int_equal (a->list.list_val[0].millicores, 1500);
  assert_int_equal (a->list.list_val[0].memory_mb, 20);
  assert_int_equal (a->list.list_val[0].accelerators, 3);
  assert_int_equal (a->list.list_val[1].millicores, 0);
  assert_int_equal (a->public_queues.public_queues_len, 1);
  assert_string_equal (a->public_queues.public_queues_val[0], "r");
  xdr_free ((xdrproc_t)xdr_workflow_command, (char *)&c);
  assert_int_equal (read_tenants ("[]", &c, &st), 0);
  assert_int_equal (c.kind, WORKFLOW_CONFIGURE_ACCOUNTS);
  xdr_free ((xdrproc_t)xdr_workflow_command, (char *)&c);
}

/* The reason names the account, and no key.  */
static void
test_invalid_accounts_are_refused (void **state)
{
  char long_key[4200];
  static const char *const bad[]
      = { "{}",
          "[1]",
          "[{}]",
          "[{\"name\":\"alder\"}]",
          "[{\"name\":\"\",\"api_keys\":[]}]",
          "[{\"name\":\"alder\",\"api_keys\":[\"\"]}]",
          "[{\"name\":\"alder\",\"api_keys\":[7]}]",
          "[{\"name\":\"alder\",\"api_keys\":\"k\"}]",
          "[{\"name\":\"alder\",\"api_keys\":[],\"weight\":-1}]",
          "[{\"name\":\"alder\",\"api_keys\":[],\"weight\":\"1\"}]",
          "[{\"name\":\"alder\",\"api_keys\":[],\"weight\":1e300}]",
          "[{\"name\":\"alder\",\"api_keys\":[],\"cap\":7}]",
          "[{\"name\":\"alder\",\"api_keys\":[],\"cap\":{\"cpu\":-1}}]",
          "[{\"name\":\"alder\",\"api_keys\":[],\"cap\":{\"cpu\":1e30}}]",
          "[{\"name\":\"a\",\"api_keys\":[\"secret\"]},{\"name\":\"b\",\"api_keys\":[\"secret\"]}]",
          "[{\"name\":\"alder\",\"api_keys\":[]},{\"name\":\"alder\",\"api_keys\":[]}]" };
  workflow_command c;
  struct status st;
  (void)state;
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      if (read_tenants (bad[i], &c, &st) == 0)
        fail_msg ("accepted: %s", bad[i]);
      assert_true (st.message[0]);
      assert_null (strstr (st.message, "secret"));
    }
  int n = snprintf (long_key, sizeof long_key, "[{\"name\":\"alder\",\"api_keys\":[\"");
  memset (long_key + n, 'k', 4096);
  snprintf (long_key + n + 4096, sizeof long_key - (size_t)n - 4096, "\"]}]");
  assert_int_equal (read_tenants (long_key, &c, &st), -1);
  assert_non_null (strstr (st.message, "alder"));
}

static void
test_invalid_reports_are_refused (void **state)
{
  static const char *const texts[]
      = { "",
          "null",
          "[]",
          "{\"state\":\"ready\"}",
          "{\"service\":\"s\",\"address\":5,\"zone\":\"z\",\"state\":\"ready\",\"seq\":1,"
          "\"clock_ms\":1,\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
          "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"sleeping\","
          "\"seq\":1,"
          "\"clock_ms\":1,\"capacity\":{\"cpu\":1,\"mem_mb\":1}}" };
  (void)state;
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      struct platform_report r;
      struct status st;
      assert_int_equal (platform_read_report (texts[i], strlen (texts[i]), "i", &r, &st), -1);
    }
}

/* Guards against entries of another writer that are kept although nobody can be called there, or
   that lead an order to another host or path than they seem to name.  */
static void
test_addresses_that_cannot_be_called_are_refused (void **state)
{
  static const char *const bad[] = { "127.0.0.1:99999",
                                     "127.0.0.1:0",
                                     "127.0.0.1:-1",
                                     "127.0.0.1:",
                                     "127.0.0.1",
                                     ":80",
                                     "[::1",
                                     "[::1]:80",
                                     "a b:80",
                                     "%s%n:1",
                                     "http://127.0.0.1:9/",
                                     "127.0.0.1:80/x",
                                     "u@127.0.0.1:80",
                                     "127.0.0.1:+8",
                                     "127.0.0.1: 80",
                                     "127.0.0.1:80?x",
                                     "127.0.0.1:80#x",
                                     "127.1:80",
                                     "127.0.0.1:18446744073709551696" };
  (void)state;
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      struct platform_report r;
      struct status st;
      char text[400];
      snprintf (
          text, sizeof text,
          "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":1,"
          "\"clock_ms\":1,\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
          bad[i]);
      assert_int_equal (platform_read_report (text, strlen (text), "i", &r, &st), -1);
      assert_non_null (strstr (st.message, "field 'address'"));
    }
}

/* The id is written into a header of each order.  */
static void
test_worker_ids_that_break_a_header_are_refused (void **state)
{
  char long_id[WORKFLOW_NAME_BYTES + 2];
  memset (long_id, 'i', sizeof long_id - 1);
  long_id[sizeof long_id - 1] = '\0';
  const char *const bad[] = { "", "a b", "a\r\nX: y", "a\n", "\x7f", long_id };
  (void)state;
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      struct platform_report r;
      struct status st;
      assert_int_equal (platform_read_report (report, strlen (report), bad[i], &r, &st), -1);
    }
}

/* Deeply nested fields and numbers beyond their range: refused, or ignored where nothing reads
   them, and no process ends.  */
static void
test_nested_and_huge_values_are_refused (void **state)
{
  static const char *const numbers[]
      = { "\"clock_ms\":9223372036854775807", "\"clock_ms\":18446744073709551616",
          "\"clock_ms\":1e400", "\"clock_ms\":-1", "\"clock_ms\":1,\"seq\":9223372036854775808" };
  static const int depths[] = { 100, 2000, 2100, 28900 };
  struct platform_report r;
  struct platform_lists l;
  struct status st;
  (void)state;
  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    {
      char text[400];
      snprintf (
          text, sizeof text,
          "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\",%s,%s"
          "\"capacity\":{\"cpu\":1,\"mem_mb\":1},\"running\":[],\"finished\":[]}",
          numbers[i], strstr (numbers[i], "seq") ? "" : "\"seq\":1,");
      assert_int_equal (platform_read_report (text, strlen (text), "i", &r, &st), -1);
      if (!strstr (numbers[i], "seq"))
        assert_int_equal (platform_read_lists (text, strlen (text), &l, &st), -1);
    }
  for (size_t i = 0; i < sizeof depths / sizeof *depths; i++)
    {
      size_t depth = (size_t)depths[i];
      struct buffer b;
      buffer_init (&b);
      buffer_append (&b, report, strlen (report) - 1);
      buffer_append (&b, ",\"x\":", 5);
      for (size_t k = 0; k < depth; k++)
        buffer_append (&b, "[", 1);
      for (size_t k = 0; k < depth; k++)
        buffer_append (&b, "]", 1);
      buffer_append (&b, "}", 1);
      int rc = platform_read_report (b.data, b.len, "i", &r, &st);
      assert_int_equal (rc, depth <= 2000 ? 0 : -1);
      if (rc == 0)
        platform_report_free (&r);
      buffer_close (&b);
    }
}

/* Guards against a job whose size or times overflow, and a worker so large that the sum of what is
   placed there does.  The refusal names the field or the limit.  */
static void
test_sizes_and_times_that_overflow_are_refused (void **state)
{
  static const struct
  {
    const char *fields, *count, *reason;
  } jobs[] = { { "\"repetitions\":2147483648,\"period_ms\":1", "2147483648", "tasks, limit 20000" },
               { "\"repetitions\":4294967295,\"period_ms\":1", "1", "tasks, limit 20000" },
               { "\"repetitions\":4294967296,\"period_ms\":1", "1", "repetitions" },
               { "\"repetitions\":2,\"period_ms\":9223372036854775807", "1", "year 9999" },
               { "\"repetitions\":2,\"period_ms\":-1", "1", "period_ms" },
               { "\"repetitions\":0", "4294967296", "count" } };
  static const char *const capacities[]
      = { "\"cpu\":1073741825,\"mem_mb\":1", "\"cpu\":1,\"mem_mb\":1073741825",
          "\"cpu\":1,\"mem_mb\":1,\"gpu\":1073741825" };
  char text[400];
  workflow_spec s;
  struct platform_report r;
  struct status st;
  (void)state;
  for (size_t i = 0; i < sizeof jobs / sizeof *jobs; i++)
    {
      snprintf (text, sizeof text,
                "{\"spec\":\"t\",\"start_at_ms\":1,%s,\"steps\":[{\"count\":%s}]}", jobs[i].fields,
                jobs[i].count);
      assert_int_equal (platform_read_job (text, strlen (text), 1, "q", &s, &st), -1);
      assert_non_null (strstr (st.message, jobs[i].reason));
    }
  for (size_t i = 0; i < sizeof capacities / sizeof *capacities; i++)
    {
      snprintf (text, sizeof text,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\","
                "\"clock_ms\":1,\"seq\":1,\"capacity\":{%s}}",
                capacities[i]);
      assert_int_equal (platform_read_report (text, strlen (text), "i", &r, &st), -1);
      assert_non_null (strstr (st.message, "integer from 0 to 1073741824"));
    }
}

static void
test_ends_are_numbered_from_one (void **state)
{
  static const char *const numbers[] = { "-1", "0", "9223372036854775808", "\"1\"", "1.5" };
  struct platform_lists l;
  struct status st;
  (void)state;
  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    {
      char text[200];
      snprintf (text, sizeof text,
                "{\"clock_ms\":1,\"running\":[],\"finished\":[[%s,\"5c0e7a21d94b36f8.0.1.9\",1,"
                "\"done\",\"\"]]}",
                numbers[i]);
      assert_int_equal (platform_read_lists (text, strlen (text), &l, &st), -1);
    }
}

/* Guards against a worker whose ends are never acknowledged because one row of its lists is odd:
   the row is acknowledged as the end of no run, or as one that was not done, and the others are
   read.  */
static void
test_one_malformed_row_does_not_hold_back_the_others (void **state)
{
  static const struct
  {
    const char *row;
    bool names_the_run;
  } ends[] = { { "[2,\"5c0e7a21d94b36f8.0.1.9\",1,\"evicted\",\"\"]", true },
               { "[2,\"5c0e7a21d94b36f8.0.1.9\",1,7,\"\"]", true },
               { "[2,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\"]", false },
               { "[2,\"5c0e7a21d94b36f8.0.1\",1,\"done\",\"\"]", false },
               { "[2,\"task\",1,\"done\",\"\"]", false },
               { "[2,null,1,\"done\",\"\"]", false },
               { "[2,\"5c0e7a21d94b36f8.0.1.9\",4294967296,\"done\",\"\"]", false },
               { "[2,\"5c0e7a21d94b36f8.0.1.9\",\"1\",\"done\",\"\"]", false },
               { "[2]", false } };
  static const char *const runs[]
      = { "[\"task\",1,\"\",50,1]", "[\"5c0e7a21d94b36f8.0.1.9\",1.5,\"\",50,1]",
          "[\"5c0e7a21d94b36f8.0.1.9\"]", "null" };
  struct platform_lists l;
  struct status st;
  char text[600];
  (void)state;
  for (size_t i = 0; i < sizeof ends / sizeof *ends; i++)
    {
      snprintf (text, sizeof text,
                "{\"clock_ms\":1,\"running\":[],\"finished\":["
                "[1,\"5c0e7a21d94b36f8.0.1.8\",3,\"done\",\"\"],%s,"
                "[3,\"5c0e7a21d94b36f8.0.1.10\",2,\"failed\",\"saved\"]]}",
                ends[i].row);
      assert_int_equal (platform_read_lists (text, strlen (text), &l, &st), 0);
      assert_int_equal (l.lists.ended_len, 3);
      assert_true (l.lists.complete);
      assert_int_equal (l.malformed, 1);
      for (size_t k = 0; k < 3; k++)
        assert_int_equal (l.lists.ended[k].number, k + 1);
      assert_int_equal (l.lists.ended[0].outcome, WORKFLOW_DONE);
      assert_int_equal (l.lists.ended[1].outcome, WORKFLOW_LAPSED);
      assert_int_equal (l.lists.ended[1].run, ends[i].names_the_run);
      assert_string_equal (l.lists.ended[2].checkpoint, "saved");
      platform_lists_free (&l);
    }
  for (size_t i = 0; i < sizeof runs / sizeof *runs; i++)
    {
      snprintf (text, sizeof text,
                "{\"clock_ms\":1,\"running\":[%s,[\"5c0e7a21d94b36f8.0.1.8\",3,\"\",50,1]],"
                "\"finished\":[]}",
                runs[i]);
      assert_int_equal (platform_read_lists (text, strlen (text), &l, &st), 0);
      assert_int_equal (l.lists.running_len, 1);
      assert_int_equal (l.lists.running[0].run, 3);
      assert_int_equal (l.malformed, 1);
      assert_false (l.lists.complete); /* the odd row may be that of any run */
      platform_lists_free (&l);
    }
}

static void
test_job_ids_are_parsed (void **state)
{
  uint64_t id;
  (void)state;
  assert_int_equal (platform_read_job_id ("5c0e7a21d94b36f8", &id), 0);
  assert_true (id == 0x5c0e7a21d94b36f8);
  assert_int_equal (platform_read_job_id ("5c0e7a21d94b36f", &id), -1);
  assert_int_equal (platform_read_job_id ("5c0e7a21d94b36fg", &id), -1);
  assert_int_equal (platform_read_job_id ("", &id), -1);
}

/* Copy of TEXT with one to four random bytes changed or dropped.  */
static char *
mutate (struct rng *rng, const char *text, size_t *len)
{
  char *copy = xstrdup (text);
  *len = strlen (text);
  for (uint64_t n = 1 + rng_below (rng, 4); n > 0; n--)
    {
      size_t at = (size_t)rng_below (rng, *len);
      switch (rng_below (rng, 3))
        {
        case 0:
          copy[at] = (char)rng_below (rng, 256);
          break;
        case 1:
          copy[at] = "{}[],:\"0-9e"[rng_below (rng, 11)];
          break;
        default:
          memmove (copy + at, copy + at + 1, *len - at);
          *len -= *len > 1;
          break;
        }
    }
  return copy;
}

static void
decode_all (const char *text, size_t len)
{
  workflow_command c;
  workflow_spec s;
  struct platform_report r;
  struct platform_lists l;
  struct status st;
  if (platform_read_configuration (text, len, &c, &st) == 0)
    xdr_free ((xdrproc_t)xdr_workflow_command, (char *)&c);
  if (platform_read_job (text, len, 1, "q", &s, &st) == 0)
    {
      assert_int_equal (workflow_check_spec (&s, &st), 0);
      xdr_free ((xdrproc_t)xdr_workflow_spec, (char *)&s);
    }
  if (platform_read_report (text, len, "i", &r, &st) == 0)
    platform_report_free (&r);
  if (platform_read_lists (text, len, &l, &st) == 0)
    platform_lists_free (&l);
}

static void
test_mutated_bodies_do_not_crash_the_decoder (void **state)
{
  static const char *const texts[] = { configuration, job, report, lists, with_accounts };
  const size_t count = sizeof texts / sizeof *texts;
  struct rng rng;
  (void)state;
  rng_init (&rng, 20261204);
  for (size_t i = 0; i < MUTATIONS; i++)
    {
      size_t len;
      char *text = mutate (&rng, texts[i % count], &len);
      decode_all (text, len);
      free (text);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_valid_bodies_are_decoded_in_full),
          cmocka_unit_test (test_invalid_configurations_are_refused),
          cmocka_unit_test (test_accounts_are_decoded_in_full),
          cmocka_unit_test (test_invalid_accounts_are_refused),
          cmocka_unit_test (test_invalid_reports_are_refused),
          cmocka_unit_test (test_addresses_that_cannot_be_called_are_refused),
          cmocka_unit_test (test_worker_ids_that_break_a_header_are_refused),
          cmocka_unit_test (test_nested_and_huge_values_are_refused),
          cmocka_unit_test (test_sizes_and_times_that_overflow_are_refused),
          cmocka_unit_test (test_ends_are_numbered_from_one),
          cmocka_unit_test (test_one_malformed_row_does_not_hold_back_the_others),
          cmocka_unit_test (test_job_ids_are_parsed),
          cmocka_unit_test (test_mutated_bodies_do_not_crash_the_decoder) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
