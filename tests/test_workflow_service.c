/* Guards against a job that is refused permanently although an earlier submission by its caller is
   still being committed, and against a service that denies while its group leads.  */

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
#include "log_sim.h"
#include "seeded_group.h"
#include "workflow_service.h"

#define STEP_S 0.02
#define MAX_STEPS 500
#define JOB 0x1234
#define JOB_MEMORY_BYTES 4000 /* for one job with one task */

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
  const struct workflow_service_config service = { .clock = clock_real (),
                                                   .link = &link,
                                                   .lease_ms = 4000,
                                                   .status_ms = 120000,
                                                   .max_job_bytes = JOB_MEMORY_BYTES };
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

static workflow_command
submission (void)
{
  static workflow_step s = { .count = 1,
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
  return c;
}

static void
submit (struct vm *v)
{
  const workflow_command c = submission ();
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

/* Guards against jobs that are accepted one by one until the process runs out of memory: those that
   may still be committed count too.  */
static void
test_submissions_beyond_the_memory_for_jobs_have_no_room (void **state)
{
  struct vm v;
  const workflow_command next = submission ();
  const workflow_spec *spec = &next.workflow_command_u.spec;
  (void)state;
  open_vm (&v);
  for (int i = 0; i < MAX_STEPS && !workflow_service_leads (v.service); i++)
    step (&v);
  configure (&v);
  await_outcomes (&v, 1);
  assert_true (workflow_service_has_room (v.service, spec));
  submit (&v);
  assert_false (workflow_service_has_room (v.service, spec));
  await_outcomes (&v, 2);
  assert_false (workflow_service_has_room (v.service, spec));
  submit (&v); /* known: it takes no memory once that is certain */
  await_outcomes (&v, 3);
  assert_true (workflow_service_state (v.service)->job_bytes <= JOB_MEMORY_BYTES);
  close_vm (&v);
}

/* Guards against a state that no snapshot can hold, where all jobs would be lost with a restart. */
static void
test_jobs_beyond_the_limit_of_a_snapshot_have_no_room (void **state)
{
  static struct worker_link link;
  const struct workflow_service_config config = { .clock = clock_real (), .link = &link };
  workflow_command c = submission ();
  struct buffer entry;
  struct buffer out;
  (void)state;
  buffer_init (&entry);
  buffer_init (&out);
  struct workflow_service *s = workflow_service_open (&config);
  struct workflow *w = workflow_service_state (s);
  struct machine *m = workflow_service_machine (s);
  w->configuration.queues.queues_val = xcalloc (1, sizeof (workflow_queue));
  w->configuration.queues.queues_len = 1;
  w->configuration.queues.queues_val[0] = (workflow_queue){ .name = xstrdup ("queue"),
                                                            .host = xstrdup ("host"),
                                                            .path_prefix = xstrdup ("/q/"),
                                                            .pool = xstrdup ("pool") };
  for (uint64_t id = 1; id <= WORKFLOW_MAX_JOBS; id++)
    {
      if (id == WORKFLOW_MAX_JOBS)
        assert_true (workflow_service_has_room (s, &c.workflow_command_u.spec));
      c.workflow_command_u.spec.id = id;
      entry.len = out.len = 0;
      assert_true (workflow_encode (&c, &entry));
      m->ops->apply (m, id, entry.data, entry.len, &out);
    }
  assert_int_equal (w->jobs.count, WORKFLOW_MAX_JOBS);
  assert_false (workflow_service_has_room (s, &c.workflow_command_u.spec));
  out.len = 0;
  assert_true (m->ops->save (m, &out));
  c.workflow_command_u.spec.id = WORKFLOW_MAX_JOBS + 1;
  entry.len = 0;
  assert_true (workflow_encode (&c, &entry));
  m->ops->apply (m, 1, entry.data, entry.len, &out);
  assert_false (m->ops->save (m, &out));
  workflow_service_close (s);
  buffer_close (&entry);
  buffer_close (&out);
}

/* The service of the leader of a simulated group whose voters are in other regions.  */
struct distant_leader
{
  struct sim sim;
  struct sim_node *leader;
  struct manual_clock clock;
  struct workflow_service *service;
  uint64_t nearest; /* other voter */
  unsigned rounds;  /* confirmed while all voters reply */
};

static size_t
list_distances (void *arg, struct voter_distance *out, size_t size)
{
  struct distant_leader *l = arg;
  size_t count = 0;
  for (uint64_t id = 1; id <= 3 && count < size; id++)
    if (id != l->leader->id)
      out[count++] = (struct voter_distance){ id, id == l->nearest ? 60 : 90 };
  l->rounds += group_quorum_completed_by (l->leader->group) != 0;
  return count;
}

static void
step_distant_leader (struct distant_leader *l)
{
  sim_step (&l->sim);
  l->clock.time_ms = sim_local_ms (&l->sim, l->leader);
  workflow_service_leader_changed (l->service);
  workflow_service_tick (l->service);
}

static void
open_distant_leader (struct distant_leader *l)
{
  static const struct worker_link_ops ops = { .hold = ignore_hold };
  static struct worker_link link = { &ops };
  const struct sim_config config = { .seed = 7, .voters = 3 };
  memset (l, 0, sizeof *l);
  sim_init (&l->sim, &config);
  l->sim.delay_min_us = l->sim.delay_max_us = 30000;
  for (int i = 0; i < 3; i++)
    sim_start (&l->sim, &l->sim.nodes[i]);
  for (int i = 0; i < MAX_STEPS && !sim_leader (&l->sim); i++)
    sim_step (&l->sim);
  l->leader = sim_leader (&l->sim);
  assert_non_null (l->leader);
  l->nearest = l->leader->id % 3 + 1;
  manual_clock_init (&l->clock, sim_local_ms (&l->sim, l->leader));
  const struct workflow_service_config service = { .clock = &l->clock.clock,
                                                   .link = &link,
                                                   .lease_ms = 4000,
                                                   .status_ms = 120000,
                                                   .voter_distances = list_distances,
                                                   .arg = l };
  l->service = workflow_service_open (&service);
  workflow_service_set_group (l->service, l->leader->group);
}

static void
close_distant_leader (struct distant_leader *l)
{
  sim_close (&l->sim);
  workflow_service_close (l->service);
}

/* Guards against a service that denies for good while its group leads: the voter named to take over
   was silent, and no other voter could take over.  */
static void
test_service_leads_after_a_transfer_that_nobody_takes_up (void **state)
{
  struct distant_leader l;
  (void)state;
  open_distant_leader (&l);
  struct sim_node *silent = &l.sim.nodes[l.nearest - 1];
  struct sim_node *replaced = &l.sim.nodes[l.nearest % 3];
  sim_wipe (&l.sim, replaced, 100);
  for (int i = 0; i < MAX_STEPS && l.rounds < LEADER_PLACEMENT_MIN_ROUNDS - 1; i++)
    step_distant_leader (&l);
  assert_true (workflow_service_leads (l.service));
  for (int i = 0; i < 3; i++)
    {
      l.sim.partitioned[i][silent->id - 1] = true;
      l.sim.partitioned[silent->id - 1][i] = true;
    }
  sim_propose (&l.sim, l.leader, 8);
  for (int i = 0; i < MAX_STEPS && workflow_service_leads (l.service); i++)
    step_distant_leader (&l);
  assert_false (workflow_service_leads (l.service));
  assert_true (group_is_leader (l.leader->group));
  for (int i = 0; i < MAX_STEPS && !workflow_service_leads (l.service); i++)
    step_distant_leader (&l);
  assert_true (group_is_leader (l.leader->group));
  assert_true (workflow_service_leads (l.service));
  sim_check_end (&l.sim);
  assert_false (l.sim.failed);
  close_distant_leader (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_uncommitted_submission_is_reported),
          cmocka_unit_test (test_submissions_beyond_the_memory_for_jobs_have_no_room),
          cmocka_unit_test (test_jobs_beyond_the_limit_of_a_snapshot_have_no_room),
          cmocka_unit_test (test_service_leads_after_a_transfer_that_nobody_takes_up) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
