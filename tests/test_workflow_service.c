/* A workflow group on one VM.  Guards against a job that is refused permanently although an earlier
   submission by its caller is still being committed.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "log.h"
#include "seeded_group.h"
#include "workflow_service.h"

#define STEP_S 0.02
#define MAX_STEPS 500
#define JOB 0x1234

struct vm
{
  struct ev_loop *loop;
  struct workflow_service *service;
  struct seeded_group *group;
  char folder[64];
  unsigned outcomes;
  enum status_kind outcome;
};

static void
ignore_hold (struct worker_link *l, const struct worker_hold *o)
{
  (void)l;
  (void)o;
}

static void
on_leader (void *arg)
{
  struct vm *v = arg;
  workflow_service_leader_changed (v->service);
}

static void
on_changed (void *arg, const struct status *st, bool known)
{
  struct vm *v = arg;
  (void)known;
  v->outcomes++;
  v->outcome = st->kind;
}

static void
on_step (struct ev_loop *loop, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

static void
step (struct vm *v)
{
  ev_timer timer;
  while (seeded_group_flush (v->group))
    ;
  ev_timer_init (&timer, on_step, STEP_S, 0.0);
  ev_timer_start (v->loop, &timer);
  ev_run (v->loop, 0);
  ev_timer_stop (v->loop, &timer);
  seeded_group_tick (v->group);
  workflow_service_tick (v->service);
  log_flush ();
}

static void
open_vm (struct vm *v)
{
  static const struct worker_link_ops ops = { .hold = ignore_hold };
  static struct worker_link link = { &ops };
  struct status st;
  memset (v, 0, sizeof *v);
  v->loop = ev_loop_new (0);
  snprintf (v->folder, sizeof v->folder, "/tmp/test-workflow-service-XXXXXX");
  assert_non_null (mkdtemp (v->folder));
  const struct workflow_service_config service
      = { .clock = clock_real (), .link = &link, .lease_ms = 4000, .status_ms = 120000 };
  v->service = workflow_service_open (&service);
  struct seeded_group_config group = { .loop = v->loop,
                                       .clock = clock_real (),
                                       .deployment = "test",
                                       .data_centre = "a",
                                       .ip = "127.0.6.1",
                                       .peer_port = 20000 + (int)(getpid () % 20000),
                                       .seed_count = 1,
                                       .data_dir = v->folder,
                                       .first_start = true,
                                       .machine = workflow_service_machine (v->service),
                                       .leader_changed = on_leader,
                                       .arg = v };
  snprintf (group.seeds[0], sizeof group.seeds[0], "127.0.6.1");
  v->group = seeded_group_open (&group, &st);
  if (!v->group)
    fail_msg ("%s", st.message);
  workflow_service_set_group (v->service, seeded_group_group (v->group));
}

static void
close_vm (struct vm *v)
{
  char command[128];
  seeded_group_close (v->group);
  workflow_service_close (v->service);
  ev_loop_destroy (v->loop);
  snprintf (command, sizeof command, "rm -rf '%s'", v->folder);
  assert_int_equal (system (command), 0);
}

static void
configure (struct vm *v)
{
  workflow_queue q = { .name = "queue",
                       .host = "host",
                       .path_prefix = "/q/",
                       .pool = "pool",
                       .max_attempts = 3,
                       .timeout_ms = 3000 };
  workflow_pool p = { .name = "pool" };
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  workflow_configuration *config = &c.workflow_command_u.configuration;
  config->revision = 1;
  config->queues.queues_val = &q;
  config->queues.queues_len = 1;
  config->pools.pools_val = &p;
  config->pools.pools_len = 1;
  config->document.document_val = "{}";
  config->document.document_len = 2;
  workflow_service_change (v->service, &c, on_changed, v);
}

static void
submit (struct vm *v)
{
  workflow_step s = { .count = 1,
                      .millicores = 1000,
                      .estimate_ms = 100,
                      .required_label = "",
                      .data_rack = "",
                      .image = "" };
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = JOB;
  spec->queue = "queue";
  spec->payload = "";
  spec->steps.steps_val = &s;
  spec->steps.steps_len = 1;
  workflow_service_change (v->service, &c, on_changed, v);
}

static void
await_outcomes (struct vm *v, unsigned count)
{
  for (int i = 0; i < MAX_STEPS && v->outcomes < count; i++)
    step (v);
  assert_int_equal (v->outcomes, count);
  assert_int_equal (v->outcome, STATUS_OK);
}

static void
test_uncommitted_submission_is_reported (void **state)
{
  struct vm v;
  (void)state;
  open_vm (&v);
  for (int i = 0; i < MAX_STEPS && !workflow_service_leads (v.service); i++)
    step (&v);
  assert_true (workflow_service_leads (v.service));
  configure (&v);
  await_outcomes (&v, 1);
  assert_false (workflow_service_is_submitting (v.service, JOB));
  submit (&v);
  assert_true (workflow_service_is_submitting (v.service, JOB));
  assert_false (workflow_service_is_submitting (v.service, JOB + 1));
  await_outcomes (&v, 2);
  assert_false (workflow_service_is_submitting (v.service, JOB));
  assert_non_null (workflow_find_job (workflow_service_state (v.service), JOB));
  close_vm (&v);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_uncommitted_submission_is_reported) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
