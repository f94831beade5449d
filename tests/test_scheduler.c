/* Guards against invariant violations on a fault-free network: a worker allocated beyond its size,
   a start without a permit or before the placement is committed, acceptance of stale messages,
   endless retries of failing workers or jobs, and forgotten tasks.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "../bench/fake_worker.h"

#define STEP_MS 50
#define MAX_WORKERS 16

static struct cell cell;
static struct scheduler *sched;
static struct fake_worker workers[MAX_WORKERS];
static size_t worker_count;
static int64_t now_ms;
static bool permit;
static struct scheduler_quota quota;
static uint32_t submitted;
static uint64_t next_deadline_ms; /* of the next submissions; 0: none */

static bool
get_quota (void *ctx, const char *customer, struct scheduler_quota *out)
{
  (void)ctx;
  *out = quota;
  if (strcmp (customer, "kigali") == 0)
    out->weight = 3 * quota.weight;
  return strcmp (customer, "stranger") != 0;
}

static void
open_cell (size_t count, uint32_t millicores)
{
  struct scheduler_config config = { .cell = &cell, .quota = get_quota, .seed = 1 };
  quota = scheduler_unlimited_quota ();
  now_ms = 1000;
  permit = true;
  worker_count = count;
  cell_init (&cell, 1);
  sched = scheduler_new (&config);
  scheduler_set_leader (sched, now_ms, true);
  memset (workers, 0, sizeof workers);
  for (size_t i = 0; i < count; i++)
    {
      struct fake_worker *w = &workers[i];
      snprintf (w->id, sizeof w->id, "w%zu", i);
      snprintf (w->rack, sizeof w->rack, "rack%zu", i / 2);
      w->size = (cell_size){ millicores, 16000, 0 };
      w->incarnation = 1;
      w->up = true;
    }
}

static void
close_cell (void)
{
  scheduler_free (sched);
  cell_close (&cell);
}

static void
apply (const struct buffer *entry)
{
  struct buffer out;
  buffer_init (&out);
  cell.machine.ops->apply (&cell.machine, 1, entry->data, entry->len, &out);
  buffer_close (&out);
}

static void
command (cell_command *cmd)
{
  struct buffer entry;
  buffer_init (&entry);
  cell_encode (&cell, now_ms, cmd, 1, &entry);
  apply (&entry);
  buffer_close (&entry);
}

static void
drain_proposals (void)
{
  struct scheduler_proposal p;
  while (scheduler_next_proposal (sched, now_ms, &p))
    {
      apply (&p.entry);
      buffer_close (&p.entry);
      scheduler_proposal_done (sched, now_ms, p.id, true);
    }
}

static void
answer (struct fake_worker *w)
{
  struct worker_answer a;
  struct status st;
  if (!w->poll_pending || scheduler_answer (sched, now_ms, w->id, &a, &st) != 0)
    return;
  w->poll_pending = false;
  fake_renew (w, a.lease_ms, a.covered_lease_ms, w->poll_sent_ms);
  for (size_t i = 0; i < a.count; i++)
    {
      struct fake_command c;
      fake_copy_command (&c, &a.commands[i]);
      if (c.c.kind == WORKER_START)
        assert_true (permit);
      fake_command_apply (w, &c, now_ms, w->poll_sent_ms);
    }
}

static void
poll_worker (struct fake_worker *w)
{
  struct worker_task list[FAKE_MAX_TASKS];
  struct status st;
  size_t count = fake_list (w, list);
  if (!w->announced)
    {
      struct worker_announce a = {
        w->id, w->rack, w->incarnation, w->size.millicores, w->size.memory_mb, w->size.accelerators,
        list,  count
      };
      assert_int_equal (scheduler_announce (sched, now_ms, &a, &st), 0);
      w->announced = true;
    }
  struct worker_poll p = { w->id, w->incarnation, ++w->sequence, 0, 0, list, count };
  w->poll_sent_ms = now_ms;
  w->poll_pending = scheduler_poll (sched, now_ms, &p, &st) == 0;
}

static void
step (void)
{
  now_ms += STEP_MS;
  scheduler_confirm_leadership (sched, now_ms + 1000);
  if (permit)
    scheduler_extend_permit (sched, now_ms + 3000);
  for (size_t i = 0; i < worker_count; i++)
    {
      struct fake_worker *w = &workers[i];
      if (!w->up)
        continue;
      bool ended = fake_step (w, now_ms, STEP_MS);
      if (!w->poll_pending || ended)
        poll_worker (w);
    }
  scheduler_tick (sched, now_ms);
  drain_proposals ();
  const char *id;
  while ((id = scheduler_next_ready (sched)))
    answer (&workers[atoi (id + 1)]);
  drain_proposals ();
  scheduler_check (sched);
}

static void
run_for (int64_t ms)
{
  for (int64_t end = now_ms + ms; now_ms < end;)
    step ();
}

static uint64_t
submit_as (const char *customer, cell_class kind, uint32_t replicas, uint32_t millicores,
           const char *payload)
{
  char customer_copy[65];
  char request[32];
  char text[128];
  char service[] = "svc";
  snprintf (customer_copy, sizeof customer_copy, "%s", customer);
  snprintf (request, sizeof request, "r%u", ++submitted);
  snprintf (text, sizeof text, "%s", payload);
  cell_command cmd = { .kind = CELL_SUBMIT };
  cell_job_spec *s = &cmd.cell_command_u.submit;
  s->customer = customer_copy;
  s->request_id = request;
  s->service = service;
  s->kind = kind;
  s->size = (cell_size){ millicores, 100, 0 };
  s->replicas = replicas;
  s->payload = text;
  s->checkpoint_ms = 200;
  s->deadline_ms = next_deadline_ms;
  s->run_ms = next_deadline_ms / 6;
  command (&cmd);
  return cell_find_request (&cell, customer_copy, request)->id;
}

static uint64_t
submit (cell_class kind, uint32_t replicas, uint32_t millicores, const char *payload)
{
  return submit_as ("huron", kind, replicas, millicores, payload);
}

static enum cell_task_state
state_of (uint64_t job)
{
  return cell_job_state (cell_find_job (&cell, job));
}

static void
test_batch_job_completes (void **state)
{
  (void)state;
  open_cell (2, 4000);
  uint64_t job = submit (CELL_BATCH, 4, 1000, "run=1000");
  run_for (500);
  assert_int_equal (state_of (job), CELL_RUNNING);
  run_for (2000);
  assert_int_equal (state_of (job), CELL_DONE);
  run_for (8000);
  assert_int_equal (workers[0].count + workers[1].count, 0);
  close_cell ();
}

static void
test_no_start_without_permit (void **state)
{
  (void)state;
  open_cell (2, 4000);
  permit = false;
  uint64_t job = submit (CELL_BATCH, 2, 1000, "run=1000");
  run_for (5000);
  assert_int_equal (state_of (job), CELL_PENDING);
  assert_int_equal (workers[0].started + workers[1].started, 0);
  permit = true;
  run_for (3000);
  assert_int_equal (state_of (job), CELL_DONE);
  close_cell ();
}

static void
test_urgent_preempts_batch (void **state)
{
  (void)state;
  open_cell (1, 4000);
  submit (CELL_BATCH, 4, 1000, "run=600000");
  run_for (1000);
  assert_int_equal (workers[0].started, 4);
  uint64_t urgent = submit (CELL_URGENT, 1, 1500, "");
  run_for (1200);
  assert_int_equal (state_of (urgent), CELL_RUNNING);
  struct scheduler_stats st;
  scheduler_stats (sched, &st);
  assert_int_equal (st.evictions, 2);
  close_cell ();
}

static void
test_eviction_budget_holds (void **state)
{
  (void)state;
  open_cell (1, 4000);
  quota.evictions_per_hour = 1;
  submit (CELL_BATCH, 4, 1000, "run=600000");
  run_for (1000);
  submit (CELL_URGENT, 3, 1000, "");
  run_for (10000);
  struct scheduler_stats st;
  scheduler_stats (sched, &st);
  assert_int_equal (st.evictions, 1);
  close_cell ();
}

static void
test_silent_worker_loses_its_tasks_after_the_lease (void **state)
{
  (void)state;
  open_cell (2, 4000);
  uint64_t job = submit (CELL_BATCH, 1, 4000, "run=20000");
  run_for (1000);
  struct fake_worker *w = workers[0].started ? &workers[0] : &workers[1];
  struct fake_worker *other = workers[0].started ? &workers[1] : &workers[0];
  w->up = false;
  int64_t silent_from = now_ms;
  while (other->started == 0 && now_ms < silent_from + 20000)
    step ();
  assert_in_range (now_ms - silent_from, SCHEDULER_LEASE_MS - 3000, SCHEDULER_LEASE_MS + 4000);
  run_for (25000);
  assert_int_equal (state_of (job), CELL_DONE);
  close_cell ();
}

static void
run_without_polls (int64_t ms)
{
  for (int64_t end = now_ms + ms; now_ms < end;)
    {
      now_ms += STEP_MS;
      scheduler_extend_permit (sched, now_ms + 3000);
      scheduler_tick (sched, now_ms);
      drain_proposals ();
      scheduler_check (sched);
    }
}

static void
test_new_leader_waits_a_lease (void **state)
{
  (void)state;
  open_cell (2, 4000);
  uint64_t job = submit (CELL_BATCH, 1, 1000, "run=60000");
  run_for (1000);
  const struct cell_task *t = STAILQ_FIRST (&cell_find_job (&cell, job)->tasks);
  uint64_t epoch = t->epoch;
  scheduler_set_leader (sched, now_ms, false);
  scheduler_set_leader (sched, now_ms, true);
  /* The workers' leases still run after 6 s: the task keeps running where it is.  */
  run_without_polls (6000);
  assert_int_equal (t->state, CELL_RUNNING);
  for (size_t i = 0; i < worker_count; i++)
    workers[i].announced = workers[i].poll_pending = false;
  run_for (1000);
  assert_int_equal (t->epoch, epoch);
  assert_int_equal (t->state, CELL_RUNNING);
  /* No worker reports to the next leader: the task is lost after lease + margin, not before.  */
  scheduler_set_leader (sched, now_ms, false);
  scheduler_set_leader (sched, now_ms, true);
  run_without_polls (SCHEDULER_LEASE_MS + SCHEDULER_LEASE_MARGIN_MS);
  assert_int_equal (t->state, CELL_RUNNING);
  run_without_polls (1000);
  assert_int_equal (t->state, CELL_PENDING);
  close_cell ();
}

/* The covered lease in the answer to the open poll of worker 0.  */
static uint32_t
covered_lease (void)
{
  struct worker_answer a;
  struct status st;
  poll_worker (&workers[0]);
  scheduler_confirm_leadership (sched, now_ms + 1000);
  assert_int_equal (scheduler_answer (sched, now_ms, workers[0].id, &a, &st), 0);
  workers[0].poll_pending = false;
  assert_true (a.lease_ms > 0);
  return a.covered_lease_ms;
}

/* Guards against an isolated cell that renews tasks with a standby copy for 20 s after each change
   of its leader, which outlasts the wait before the copy starts.  */
static void
test_new_leader_without_permit_renews_no_covered_task (void **state)
{
  (void)state;
  open_cell (1, 4000);
  run_for (1000);
  workers[0].poll_pending = false;
  assert_true (covered_lease () > 0);
  permit = false;
  scheduler_set_leader (sched, now_ms, false);
  scheduler_set_leader (sched, now_ms, true);
  workers[0].announced = false;
  assert_int_equal (covered_lease (), 0);
  scheduler_extend_permit (sched, now_ms + 3000);
  assert_true (covered_lease () > 0);
  close_cell ();
}

static void
test_new_incarnation_frees_nothing_before_the_lease_ends (void **state)
{
  (void)state;
  open_cell (1, 4000);
  uint64_t job = submit (CELL_BATCH, 1, 3000, "run=60000");
  run_for (1000);
  const struct cell_task *t = STAILQ_FIRST (&cell_find_job (&cell, job)->tasks);
  uint64_t epoch = t->epoch;
  int64_t from = now_ms;
  fake_kill (&workers[0]);
  workers[0].up = true;
  while (now_ms - from < SCHEDULER_LEASE_MS - SCHEDULER_HEARTBEAT_MS)
    {
      step ();
      assert_int_equal (t->epoch, epoch);
    }
  run_for (7000);
  assert_true (t->epoch > epoch);
  close_cell ();
}

/* A worker polls after the loss of its placement was proposed, but before that is committed.  */
static void
test_no_start_after_loss_is_proposed (void **state)
{
  (void)state;
  open_cell (1, 4000);
  run_for (500);
  uint64_t job = submit (CELL_BATCH, 1, 1000, "run=1000");
  scheduler_tick (sched, now_ms);
  drain_proposals ();
  assert_int_equal (state_of (job), CELL_PLACED);
  now_ms += SCHEDULER_LEASE_MS + SCHEDULER_LEASE_MARGIN_MS + 1000;
  scheduler_confirm_leadership (sched, now_ms + 1000);
  scheduler_extend_permit (sched, now_ms + 3000);
  scheduler_tick (sched, now_ms);
  struct scheduler_proposal p;
  assert_true (scheduler_next_proposal (sched, now_ms, &p));
  poll_worker (&workers[0]);
  answer (&workers[0]);
  assert_int_equal (workers[0].started, 0);
  apply (&p.entry);
  buffer_close (&p.entry);
  scheduler_proposal_done (sched, now_ms, p.id, true);
  assert_int_equal (state_of (job), CELL_PENDING);
  close_cell ();
}

static void
test_worker_comes_back_smaller (void **state)
{
  (void)state;
  open_cell (1, 4000);
  submit (CELL_BATCH, 4, 1000, "run=20000");
  run_for (1000);
  fake_kill (&workers[0]);
  workers[0].up = true;
  workers[0].size.millicores = 2000;
  run_for (20000);
  uint32_t running = 0;
  for (size_t i = 0; i < workers[0].count; i++)
    running += fake_running (&workers[0].tasks[i]);
  assert_int_equal (running, 2);
  close_cell ();
}

/* Small tasks must not take each piece of capacity that a large task with a deadline needs.  */
static void
test_large_task_meets_its_deadline_among_small_ones (void **state)
{
  (void)state;
  open_cell (2, 4000);
  uint64_t large = 0;
  for (int i = 0; i < 600; i++)
    {
      submit (CELL_BATCH, 1, 1000, "run=6000");
      if (i == 50)
        {
          next_deadline_ms = 120000;
          large = submit_as ("huron", CELL_BATCH, 1, 4000, "run=10000");
          next_deadline_ms = 0;
        }
      run_for (500);
    }
  const struct cell_job *j = cell_find_job (&cell, large);
  assert_int_equal (cell_job_state (j), CELL_DONE);
  assert_true (j->finished_ms <= j->deadline_ms);
  close_cell ();
}

static void
test_customers_share_by_weight (void **state)
{
  (void)state;
  open_cell (4, 8000);
  for (int i = 0; i < 400; i++)
    submit_as (i % 2 ? "huron" : "kigali", CELL_BATCH, 1, 1000, "run=3000");
  run_for (12000);
  uint32_t kigali = 0;
  uint32_t all = 0;
  const struct cell_job *j;
  TAILQ_FOREACH (j, &cell.job_list, link)
  if (cell_job_state (j) == CELL_RUNNING)
    {
      all++;
      kigali += strcmp (j->spec.customer, "kigali") == 0;
    }
  assert_true (all >= 28);
  assert_in_range (kigali * 100 / all, 65, 85);
  close_cell ();
}

static void
test_crash_loop_backs_off_and_ends (void **state)
{
  (void)state;
  open_cell (8, 4000);
  uint64_t job = submit (CELL_URGENT, 1, 1000, "run=600000 fail=100");
  run_for (20000);
  uint64_t starts = 0;
  for (size_t i = 0; i < worker_count; i++)
    starts += workers[i].started;
  assert_in_range (starts, 3, 7);
  run_for (300000);
  assert_int_equal (state_of (job), CELL_FAILED);
  close_cell ();
}

static void
test_stale_messages_are_refused (void **state)
{
  (void)state;
  open_cell (1, 4000);
  run_for (500);
  struct status st;
  struct worker_poll p = { "w0", 1, workers[0].sequence, 0, 0, NULL, 0 };
  assert_int_equal (scheduler_poll (sched, now_ms, &p, &st), -1);
  assert_int_equal (st.kind, STATUS_STALE_INCARNATION);
  p.incarnation = 0;
  p.sequence = 1000;
  assert_int_equal (scheduler_poll (sched, now_ms, &p, &st), -1);
  struct worker_announce a = { "w0", "r", 0, 1, 1, 0, NULL, 0 };
  assert_int_equal (scheduler_announce (sched, now_ms, &a, &st), -1);
  assert_int_equal (st.kind, STATUS_STALE_INCARNATION);
  close_cell ();
}

static void
test_bad_worker_is_quarantined_and_probed (void **state)
{
  (void)state;
  open_cell (8, 4000);
  workers[3].fails_tasks = true;
  for (int i = 0; i < 400; i++)
    {
      submit (CELL_BATCH, 1, 1000, "run=2000");
      if (i % 4 == 0)
        run_for (200);
    }
  run_for (60000);
  struct scheduler_stats st;
  scheduler_stats (sched, &st);
  assert_int_equal (st.quarantined, 1);
  assert_int_equal (st.failed_jobs, 0);
  assert_int_equal (st.pending, 0);
  assert_in_range (workers[3].started, 2, 12);
  workers[3].fails_tasks = false;
  for (int i = 0; i < 60; i++)
    {
      submit (CELL_BATCH, 20, 1000, "run=2000");
      run_for (2000);
    }
  scheduler_stats (sched, &st);
  assert_int_equal (st.quarantined, 0);
  close_cell ();
}

static void
test_bad_job_ends_failed (void **state)
{
  (void)state;
  open_cell (8, 4000);
  for (int i = 0; i < 10; i++)
    submit (CELL_BATCH, 1, 1000, "run=500");
  run_for (2000);
  uint64_t bad = submit (CELL_BATCH, 1, 1000, "run=5000 fail=100");
  run_for (60000);
  assert_int_equal (state_of (bad), CELL_FAILED);
  assert_non_null (strstr (cell_find_job (&cell, bad)->reason, "exit status 1"));
  struct scheduler_stats st;
  scheduler_stats (sched, &st);
  assert_int_equal (st.quarantined, 0);
  close_cell ();
}

static void
test_never_fitting_job_is_refused (void **state)
{
  (void)state;
  open_cell (2, 4000);
  run_for (200);
  char name[] = "huron";
  char unlisted[] = "stranger";
  cell_job_spec s;
  struct status st;
  memset (&s, 0, sizeof s);
  s.customer = name;
  s.replicas = 1;
  s.size = (cell_size){ 4001, 100, 0 };
  assert_int_equal (scheduler_admit (sched, &s, &st), -1);
  assert_int_equal (st.kind, STATUS_UNSATISFIABLE);
  s.size.millicores = 4000;
  assert_int_equal (scheduler_admit (sched, &s, &st), 0);
  s.replicas = 3;
  s.max_per_rack = 2;
  assert_int_equal (scheduler_admit (sched, &s, &st), -1);
  s.max_per_rack = 3;
  s.customer = unlisted;
  assert_int_equal (scheduler_admit (sched, &s, &st), -1);
  assert_int_equal (st.kind, STATUS_UNKNOWN_CUSTOMER);
  close_cell ();
}

static uint32_t
limits_set (void)
{
  uint32_t n = 0;
  for (size_t i = 0; i < worker_count; i++)
    for (size_t k = 0; k < workers[i].count; k++)
      n += workers[i].tasks[k].limit_millicores == 500;
  return n;
}

static void
test_lowered_plan_throttles_then_evicts (void **state)
{
  (void)state;
  open_cell (2, 4000);
  submit (CELL_BATCH, 8, 1000, "run=900000");
  run_for (2000);
  quota.max_millicores = 4000;
  scheduler_reload_quotas (sched, now_ms);
  run_for (5000);
  assert_int_equal (limits_set (), 8);
  struct scheduler_stats st;
  scheduler_stats (sched, &st);
  assert_int_equal (st.evictions, 0);
  run_for (SCHEDULER_PLAN_GRACE_MS + 10000);
  scheduler_stats (sched, &st);
  assert_int_equal (st.evictions, 4);
  assert_int_equal (limits_set (), 0);
  close_cell ();
}

static void
test_rack_spread (void **state)
{
  (void)state;
  open_cell (8, 16000);
  uint64_t job = submit (CELL_URGENT, 8, 1000, "");
  run_for (1000);
  uint32_t racks[4] = { 0, 0, 0, 0 };
  const struct cell_task *t;
  STAILQ_FOREACH (t, &cell_find_job (&cell, job)->tasks, link)
  racks[atoi (t->worker + 1) / 2]++;
  for (int i = 0; i < 4; i++)
    assert_int_equal (racks[i], 2);
  close_cell ();
}

static void
test_data_centre_out_offers_batch_and_replaces_urgent (void **state)
{
  (void)state;
  open_cell (2, 4000);
  uint64_t batch = submit (CELL_BATCH, 2, 1000, "run=900000");
  uint64_t urgent = submit (CELL_URGENT, 1, 1000, "");
  run_for (3000);
  struct scheduler_peer_cell peer
      = { .cell = 2, .free_millicores = 64000, .free_memory_mb = 64000 };
  scheduler_set_peer_cells (sched, &peer, 1);
  permit = false;
  scheduler_set_data_centre_out (sched, now_ms, true);
  run_for (5000);
  assert_int_equal (state_of (batch), CELL_OFFERED);
  assert_int_equal (state_of (urgent), CELL_RUNNING);
  const struct cell_task *t;
  STAILQ_FOREACH (t, &cell_find_job (&cell, batch)->tasks, link)
  assert_true (t->progress_ms > 1000);
  struct scheduler_move m;
  int handoffs = 0;
  int replaced = 0;
  while (scheduler_next_move (sched, &m))
    {
      handoffs += m.kind == SCHEDULER_MOVE_HANDOFF;
      replaced += m.kind == SCHEDULER_MOVE_REPLACE;
      assert_int_equal (m.to_cell, 2);
    }
  assert_int_equal (handoffs, 2);
  assert_int_equal (replaced, 1);
  close_cell ();
}

static void
test_cancel_stops_running_tasks (void **state)
{
  (void)state;
  open_cell (4, 16000);
  uint64_t ids[40];
  for (int i = 0; i < 40; i++)
    ids[i] = submit (CELL_BATCH, 2, 1000, "run=900000");
  run_for (1000);
  cell_command cmd = { .kind = CELL_CANCEL };
  cmd.cell_command_u.cancel.jobs.jobs_len = 40;
  cmd.cell_command_u.cancel.jobs.jobs_val = ids;
  command (&cmd);
  run_for (8000);
  for (int i = 0; i < 40; i++)
    assert_int_equal (state_of (ids[i]), CELL_CANCELLED);
  for (size_t i = 0; i < worker_count; i++)
    assert_int_equal (workers[i].count, 0);
  close_cell ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_batch_job_completes),
    cmocka_unit_test (test_no_start_without_permit),
    cmocka_unit_test (test_urgent_preempts_batch),
    cmocka_unit_test (test_eviction_budget_holds),
    cmocka_unit_test (test_silent_worker_loses_its_tasks_after_the_lease),
    cmocka_unit_test (test_new_leader_waits_a_lease),
    cmocka_unit_test (test_new_leader_without_permit_renews_no_covered_task),
    cmocka_unit_test (test_new_incarnation_frees_nothing_before_the_lease_ends),
    cmocka_unit_test (test_no_start_after_loss_is_proposed),
    cmocka_unit_test (test_worker_comes_back_smaller),
    cmocka_unit_test (test_large_task_meets_its_deadline_among_small_ones),
    cmocka_unit_test (test_customers_share_by_weight),
    cmocka_unit_test (test_crash_loop_backs_off_and_ends),
    cmocka_unit_test (test_stale_messages_are_refused),
    cmocka_unit_test (test_bad_worker_is_quarantined_and_probed),
    cmocka_unit_test (test_bad_job_ends_failed),
    cmocka_unit_test (test_never_fitting_job_is_refused),
    cmocka_unit_test (test_lowered_plan_throttles_then_evicts),
    cmocka_unit_test (test_rack_spread),
    cmocka_unit_test (test_data_centre_out_offers_batch_and_replaces_urgent),
    cmocka_unit_test (test_cancel_stops_running_tasks),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
