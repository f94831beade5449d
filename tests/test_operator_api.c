/* Guards against operator commands that bypass validation or the token, answers without the current
   version or the time in force, a lost outcome that is reported as refused, and arbitrary request
   bodies that are not answered exactly once.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_client.h"
#include "operator_api.h"
#include "raw_sender.h"
#include "rng.h"

#define FUZZ_ROUNDS 300
#define CALL_TIMEOUT_MS 5000
#define MEMBER                                                                                     \
  "{\"vm\":\"a1\",\"data_centre\":\"a\",\"region\":\"r\",\"peer\":\"127.0.0.1:1\","                \
  "\"backend\":\"127.0.0.1:2\",\"operators\":\"127.0.0.1:3\",\"registry_voter\":true}"
#define PLANS                                                                                      \
  "{\"plans\":[{\"id\":\"p\",\"weight\":1,\"urgent_concurrency\":1,\"requests_per_s\":1,"          \
  "\"batch_millicores\":1,\"memory_mb\":1,\"accelerators\":0,\"evictions_per_hour\":1}]}"

/* Applies commands immediately, or answers with FAIL.  */
struct fake_proposer
{
  struct proposer proposer;
  struct registry *registry;
  uint64_t index;
  enum status_kind fail;
  int proposals;
};

struct fixture
{
  struct ev_loop *loop;
  struct fake_proposer proposer;
  struct operator_api *api;
  struct http_server *server;
  struct http_client *client;
  const char *token; /* sent by the client */
  int code;          /* of the last answer */
  json_t *body;
};

static void
fake_propose (struct proposer *p, uint64_t group, const void *command, size_t len,
              propose_done *done, void *arg)
{
  struct fake_proposer *f = (struct fake_proposer *)p;
  struct machine *m = registry_machine (f->registry);
  struct buffer result = { 0 };
  struct status st = { 0 };
  assert_int_equal (group, REGISTRY_GROUP);
  f->proposals++;
  if (f->fail == STATUS_OK || f->fail == STATUS_OUTCOME_UNKNOWN)
    m->ops->apply (m, ++f->index, command, len, &result);
  if (f->fail != STATUS_OK)
    status_set (&st, f->fail, "failure injected by the test");
  done (arg, &st, result.data, result.len);
  buffer_close (&result);
}

static const struct proposer_ops fake_ops = { fake_propose };

static void
on_request (void *arg, struct http_request *req)
{
  struct fixture *f = arg;
  struct status st;
  if (operator_api_handle (f->api, req))
    return;
  status_set (&st, STATUS_NOT_FOUND, "not one of the operators' endpoints");
  http_reply_status (req, &st);
}

static void
on_answer (void *arg, const struct http_answer *answer)
{
  struct fixture *f = arg;
  f->code = answer->code;
  json_decref (f->body);
  f->body = json_loadb (answer->body.data ? answer->body.data : "", answer->body.len, 0, NULL);
  ev_break (f->loop, EVBREAK_ONE);
}

static void
call_bytes (struct fixture *f, const char *method, const char *path, const char *body, size_t len)
{
  char url[200];
  char header[100];
  const char *headers[] = { f->token ? header : NULL, NULL };
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", http_server_port (f->server), path);
  snprintf (header, sizeof header, "Authorization: Bearer %s", f->token ? f->token : "");
  struct http_call call = { .method = method,
                            .url = url,
                            .headers = headers,
                            .body = body,
                            .body_len = len,
                            .timeout_ms = CALL_TIMEOUT_MS,
                            .done = on_answer,
                            .done_arg = f };
  f->code = 0;
  http_client_send (f->client, &call);
  ev_run (f->loop, 0);
}

static int
call (struct fixture *f, const char *method, const char *path, const char *body)
{
  call_bytes (f, method, path, body, body ? strlen (body) : 0);
  return f->code;
}

static const char *
text (struct fixture *f, const char *key)
{
  const char *value = json_string_value (json_object_get (f->body, key));
  return value ? value : "";
}

static int64_t
number (struct fixture *f, const char *key)
{
  return json_integer_value (json_object_get (f->body, key));
}

static void
open_fixture (struct fixture *f, const char *token)
{
  struct status st;
  memset (f, 0, sizeof *f);
  f->loop = ev_loop_new (0);
  f->proposer.proposer.ops = &fake_ops;
  f->proposer.registry = registry_new ();
  struct operator_api_config config = { .registry = f->proposer.registry,
                                        .proposer = &f->proposer.proposer,
                                        .clock = clock_real (),
                                        .vm = "a1",
                                        .data_centre = "a",
                                        .token = token };
  f->api = operator_api_open (&config);
  struct http_server_config http = { .address = "127.0.0.1:0",
                                     .max_body = OPERATOR_API_MAX_BODY_BYTES,
                                     .handler = on_request,
                                     .handler_arg = f };
  f->server = http_server_open (f->loop, &http, &st);
  assert_non_null (f->server);
  f->client = http_client_open (f->loop, 0);
}

static void
close_fixture (struct fixture *f)
{
  http_client_close (f->client);
  http_server_close (f->server);
  operator_api_close (f->api);
  registry_free (f->proposer.registry);
  json_decref (f->body);
  ev_loop_destroy (f->loop);
}

/* Returns the body of PUT /v1/lists with the lists as text; the caller frees it.  */
static char *
lists_body (const char *id, int version, const char *customers)
{
  json_t *body = json_pack ("{s:s, s:i, s:s, s:s}", "request_id", id, "version", version, "plans",
                            PLANS, "customers", customers);
  char *encoded = json_dumps (body, 0);
  json_decref (body);
  return encoded;
}

static int
put_lists (struct fixture *f, const char *id, int version, const char *customers)
{
  char *body = lists_body (id, version, customers);
  call (f, "PUT", "/v1/lists", body);
  free (body);
  return f->code;
}

static void
test_lists (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f, NULL);
  assert_int_equal (put_lists (&f, "e1", 0, "{\"customers\":[{\"id\":\"c\",\"plan\":\"p\"}]}"),
                    200);
  assert_int_equal (number (&f, "version"), 1);
  assert_int_equal (put_lists (&f, "e2", 0, "{\"customers\":[]}"), 409);
  assert_string_equal (text (&f, "error"), "version-conflict");
  assert_int_equal (number (&f, "version"), 1);
  assert_int_equal (put_lists (&f, "e1", 0, "{\"customers\":[{\"id\":\"c\",\"plan\":\"p\"}]}"),
                    200);
  assert_int_equal (f.proposer.proposals, 3);
  assert_int_equal (put_lists (&f, "e3", 1, "{\"customers\":[{\"id\":\"c\",\"plan\":\"q\"}]}"),
                    422);
  assert_string_equal (text (&f, "error"), "invalid-list");
  assert_int_equal (json_array_size (json_object_get (f.body, "faults")), 1);
  assert_int_equal (f.proposer.proposals, 3);
  assert_int_equal (call (&f, "GET", "/v1/lists", NULL), 200);
  assert_string_equal (text (&f, "plans"), PLANS);
  assert_int_equal (call (&f, "PUT", "/v1/lists",
                          "{\"request_id\":\"o\",\"version\":1,\"plans\":" PLANS
                          ",\"customers\":{\"customers\":[]}}"),
                    200);
  assert_int_equal (call (&f, "GET", "/v1/state", NULL), 200);
  assert_int_equal (number (&f, "registry_applied"), 4);
  const json_t *lists = json_object_get (f.body, "lists");
  assert_int_equal (json_integer_value (json_object_get (lists, "version_in_force")), 2);
  assert_true (json_integer_value (json_object_get (lists, "in_force_here_at_ms")) > 0);
  close_fixture (&f);
}

static void
test_data_centres (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f, NULL);
  assert_int_equal (
      call (&f, "POST", "/v1/members", "{\"request_id\":\"m\",\"member\":" MEMBER "}"), 200);
  assert_int_equal (number (&f, "node"), 1);
  assert_int_equal (number (&f, "registry_index"), 1);
  assert_int_equal (call (&f, "POST", "/v1/data-centres/a/out", "{\"request_id\":\"o\"}"), 200);
  assert_string_equal (text (&f, "state"), "out");
  assert_true (json_is_null (json_object_get (f.body, "in_force_at_ms")));
  assert_true (number (&f, "in_force_by_ms") == number (&f, "accepted_at_ms") + PERMIT_LIFE_MS);
  assert_int_equal (
      call (&f, "POST", "/v1/data-centres/a/return", "{\"request_id\":\"r\",\"version\":1}"), 409);
  assert_int_equal (number (&f, "version"), 2);
  assert_int_equal (call (&f, "POST", "/v1/data-centres/b/out", "{\"request_id\":\"x\"}"), 404);
  assert_int_equal (call (&f, "POST", "/v1/data-centres/a/out", "{}"), 400);
  assert_int_equal (call (&f, "GET", "/v1/data-centres/a", NULL), 200);
  assert_string_equal (text (&f, "state"), "out");
  assert_int_equal (
      call (&f, "POST", "/v1/data-centres/a/close-epoch", "{\"request_id\":\"c\",\"epoch\":1}"),
      200);
  assert_int_equal (number (&f, "epoch"), 2);
  close_fixture (&f);
}

static void
test_members (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f, NULL);
  call (&f, "POST", "/v1/members", "{\"request_id\":\"m\",\"member\":" MEMBER "}");
  assert_int_equal (
      call (&f, "POST", "/v1/members/a1/replace", "{\"request_id\":\"q\",\"member\":" MEMBER "}"),
      200);
  assert_int_equal (number (&f, "node"), 2);
  assert_int_equal (
      call (&f, "POST", "/v1/members/zz/replace", "{\"request_id\":\"w\",\"member\":" MEMBER "}"),
      400);
  assert_int_equal (call (&f, "POST", "/v1/members/a1/remove", "{\"request_id\":\"d\"}"), 400);
  assert_int_equal (call (&f, "POST", "/v1/drain", "{\"request_id\":\"n\",\"vm\":\"a1\"}"), 200);
  assert_true (json_is_true (json_object_get (f.body, "draining")));
  assert_int_equal (call (&f, "GET", "/v1/members", NULL), 200);
  assert_int_equal (json_array_size (json_object_get (f.body, "draining")), 1);
  assert_int_equal (call (&f, "POST", "/v1/members", "{\"request_id\":\"t\",\"member\":7}"), 400);
  close_fixture (&f);
}

static void
test_token (void **state)
{
  static const char *const wrong[] = { NULL, "", "secre", "secret2", "Secret" };
  struct fixture f;
  (void)state;
  open_fixture (&f, "secret");
  for (size_t i = 0; i < sizeof wrong / sizeof *wrong; i++)
    {
      f.token = wrong[i];
      assert_int_equal (call (&f, "GET", "/v1/state", NULL), 401);
      assert_int_equal (put_lists (&f, "e", 0, "{\"customers\":[]}"), 401);
    }
  assert_int_equal (f.proposer.proposals, 0);
  f.token = "secret";
  assert_int_equal (call (&f, "GET", "/v1/state", NULL), 200);
  close_fixture (&f);
}

static void
test_outcomes_without_an_answer (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f, NULL);
  f.proposer.fail = STATUS_NO_QUORUM;
  assert_int_equal (put_lists (&f, "e1", 0, "{\"customers\":[]}"), 503);
  assert_string_equal (text (&f, "ran"), "no");
  f.proposer.fail = STATUS_OUTCOME_UNKNOWN;
  assert_int_equal (put_lists (&f, "e1", 0, "{\"customers\":[]}"), 504);
  assert_string_equal (text (&f, "ran"), "unknown");
  f.proposer.fail = STATUS_OK;
  assert_int_equal (put_lists (&f, "e1", 0, "{\"customers\":[]}"), 200);
  assert_int_equal (number (&f, "version"), 1);
  close_fixture (&f);
}

static void
test_paths_and_methods (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f, NULL);
  assert_int_equal (call (&f, "POST", "/v1/lists", "{}"), 405);
  assert_int_equal (call (&f, "GET", "/v1/jobs", NULL), 404);
  assert_int_equal (call (&f, "GET", "/v1/data-centres/", NULL), 404);
  assert_int_equal (call (&f, "POST", "/v1/data-centres/a/b/out", "{}"), 404);
  assert_int_equal (call (&f, "GET", "/metrics", NULL), 200);
  close_fixture (&f);
}

static void
stop_loop (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Guards against a data centre that is returned, long after its operator gave that command up, by a
   VM that was paused.  */
static void
test_commands_whose_sender_left_are_not_proposed (void **state)
{
  static const char body[] = "{\"request_id\":\"late\"}";
  struct fixture f;
  char request[200];
  ev_timer t;
  (void)state;
  open_fixture (&f, NULL);
  snprintf (request, sizeof request,
            "POST /v1/data-centres/a/return HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  close (raw_send ("127.0.0.1", http_server_port (f.server), request));
  ev_timer_init (&t, stop_loop, 0.1, 0.0);
  ev_timer_start (f.loop, &t);
  ev_run (f.loop, 0);
  assert_int_equal (f.proposer.proposals, 0);
  assert_int_equal (http_server_open_requests (f.server), 0);
  close_fixture (&f);
}

static void
test_random_bodies (void **state)
{
  static const char *const paths[] = { "/v1/data-centres/a/out", "/v1/members", "/v1/drain",
                                       "/v1/members/a1/replace", "/v1/data-centres/a/close-epoch" };
  static const char valid[]
      = "{\"request_id\":\"m\",\"epoch\":1,\"vm\":\"a\",\"member\":" MEMBER "}";
  struct fixture f;
  struct rng rng;
  (void)state;
  open_fixture (&f, NULL);
  rng_init (&rng, 17);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      char body[sizeof valid];
      memcpy (body, valid, sizeof body);
      for (uint64_t k = 0; k <= rng_below (&rng, 8); k++)
        body[rng_below (&rng, sizeof body - 1)] = (char)rng_next (&rng);
      size_t len = rng_chance (&rng, 0.7) ? sizeof body - 1 : (size_t)rng_below (&rng, sizeof body);
      bool lists = rng_chance (&rng, 0.2);
      call_bytes (&f, lists ? "PUT" : "POST", lists ? "/v1/lists" : paths[rng_below (&rng, 5)],
                  body, len);
      assert_in_range (f.code, 200, 499);
    }
  assert_int_equal (http_server_open_requests (f.server), 0);
  close_fixture (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lists),
    cmocka_unit_test (test_data_centres),
    cmocka_unit_test (test_members),
    cmocka_unit_test (test_token),
    cmocka_unit_test (test_outcomes_without_an_answer),
    cmocka_unit_test (test_paths_and_methods),
    cmocka_unit_test (test_commands_whose_sender_left_are_not_proposed),
    cmocka_unit_test (test_random_bodies),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
