/* Guards against an explanation that differs from what the dispatcher then does, that leaves a
   trace, or that is silent about a field or name it does not know.  */
#include "account_fixture.h"
#include "dispatcher_explain.h"

static json_t *
ask (struct fixture *f, const char *text, struct status *st)
{
  json_t *request = json_loads (text, 0, NULL);
  assert_non_null (request);
  status_clear (st);
  json_t *answer = dispatcher_explain (f->dispatcher, f->now_ms, request, st);
  json_decref (request);
  return answer;
}

static json_t *
explain (struct fixture *f, const char *text)
{
  struct status st;
  json_t *answer = ask (f, text, &st);
  if (!answer)
    fail_msg ("%s", st.message);
  return answer;
}

static const char *
chosen (const json_t *answer)
{
  return json_string_value (json_object_get (json_object_get (answer, "worker"), "worker"));
}

static const char *
admission (const json_t *answer)
{
  return json_string_value (json_object_get (json_object_get (answer, "admission"), "outcome"));
}

/* Tasks of many sizes: the worker that is named is the one that the task then gets.  */
static void
test_a_task_goes_where_it_was_said_to_go (void **state)
{
  struct fixture *f = *state;
  const struct fixture_account list[] = { { "alder", 1000, 0, false } };
  assert_true (fixture_configure_accounts (f, 2, list, 1, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_join (f, "w2", "10.0.0.2:1");
  fixture_join (f, "w3", "10.0.0.3:1");
  for (uint64_t id = 1; id <= 30; id++)
    {
      char text[200];
      uint32_t millicores = 500 + (uint32_t)(id * 7919 % 4000);
      uint32_t flags = id % 3 == 0 ? WORKFLOW_STEP_LASTING : 0;
      snprintf (text, sizeof text,
                "{\"queue\":\"queue\",\"account\":\"alder\",\"kind\":\"%s\",\"millicores\":%u,"
                "\"memory_mb\":1,\"estimate_ms\":500}",
                flags ? "lasting" : "short", millicores);
      json_t *answer = explain (f, text);
      size_t before = f->start_count;
      assert_true (fixture_submit_as (f, "alder", id, 1, millicores, flags));
      fixture_tick (f, 20);
      if (json_is_null (json_object_get (answer, "worker")))
        assert_int_equal (f->start_count, before);
      else
        {
          assert_int_equal (f->start_count, before + 1);
          assert_string_equal (f->starts[before].worker, chosen (answer));
        }
      json_decref (answer);
    }
  assert_true (f->start_count < 30);
}

static void
test_a_question_leaves_no_trace (void **state)
{
  struct fixture *f = *state;
  struct buffer before;
  struct buffer after;
  buffer_init (&before);
  buffer_init (&after);
  fixture_join (f, "w1", "10.0.0.1:1");
  f->workflow.machine.ops->save (&f->workflow.machine, &before);
  for (int i = 0; i < 3; i++)
    {
      json_decref (explain (f, "{\"queue\":\"queue\",\"kind\":\"fill\",\"image\":\"new\","
                               "\"millicores\":100,\"data_rack\":\"r9\"}"));
      json_t *answer = explain (f, "{\"queue\":\"queue\",\"kind\":\"fill\",\"image\":\"new\"}");
      assert_false (json_is_true (json_object_get (answer, "image_known")));
      json_decref (answer);
    }
  assert_int_equal (dispatcher_wanted_places (f->dispatcher), 0);
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 0);
  f->workflow.machine.ops->save (&f->workflow.machine, &after);
  assert_int_equal (before.len, after.len);
  assert_memory_equal (before.data, after.data, before.len);
  buffer_close (&before);
  buffer_close (&after);
}

static void
test_the_reason_of_a_wait_or_refusal_is_named (void **state)
{
  struct fixture *f = *state;
  const struct fixture_account list[] = { { "alder", 1000, 2000, false } };
  assert_true (fixture_configure_accounts (f, 2, list, 1, false));
  fixture_join (f, "w1", "10.0.0.1:1");
  for (int i = 0; i < 300; i++) /* workers are known after five seconds */
    {
      fixture_tick (f, 20);
      fixture_answer_hold (f, "w1", NULL, 0, NULL, 0);
    }
  json_t *answer = explain (f, "{\"queue\":\"queue\",\"millicores\":16001}");
  assert_true (json_is_null (json_object_get (answer, "worker")));
  assert_string_equal (admission (answer),
                       "no worker of the pool is large enough or has the label");
  assert_int_equal (json_integer_value (json_object_get (json_object_get (answer, "passed_over"),
                                                         "not enough processors")),
                    1);
  json_decref (answer);
  answer = explain (f, "{\"queue\":\"queue\",\"account\":\"alder\",\"millicores\":2001}");
  assert_string_equal (admission (answer), "the task is larger than the cap of the account");
  json_decref (answer);
  assert_true (fixture_submit_as (f, "alder", 1, 2, 1000, WORKFLOW_STEP_LASTING));
  fixture_tick (f, 20);
  answer = explain (f, "{\"queue\":\"queue\",\"account\":\"alder\",\"millicores\":1000}");
  assert_string_equal (admission (answer), "accepted");
  assert_true (json_is_true (json_object_get (answer, "held_by_cap")));
  json_decref (answer);
}

static void
test_what_is_unknown_is_named (void **state)
{
  struct fixture *f = *state;
  struct status st;
  static const struct
  {
    const char *request, *name;
    enum status_kind kind;
  } bad[] = { { "{\"queue\":\"none\"}", "none", STATUS_NOT_FOUND },
              { "{\"queue\":\"queue\",\"account\":\"nobody\"}", "nobody", STATUS_NOT_FOUND },
              { "{\"queue\":\"queue\",\"cores\":1}", "cores", STATUS_BAD_REQUEST },
              { "{\"queue\":\"queue\",\"kind\":\"gang\"}", "kind", STATUS_BAD_REQUEST },
              { "{\"queue\":\"queue\",\"millicores\":-1}", "millicores", STATUS_BAD_REQUEST },
              { "{}", "queue", STATUS_BAD_REQUEST },
              { "[]", "", STATUS_BAD_REQUEST } };
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      assert_null (ask (f, bad[i].request, &st));
      assert_int_equal (st.kind, bad[i].kind);
      assert_non_null (strstr (st.message, bad[i].name));
    }
  dispatcher_resign (f->dispatcher);
  assert_null (ask (f, "{\"queue\":\"queue\"}", &st));
  assert_int_equal (st.kind, STATUS_NOT_LEADER);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_a_task_goes_where_it_was_said_to_go), TEST (test_a_question_leaves_no_trace),
          TEST (test_the_reason_of_a_wait_or_refusal_is_named),
          TEST (test_what_is_unknown_is_named) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
