/* Guards against a cell log that loses, duplicates or resurrects work: repeated submissions, stale
   epochs, hand-off with lost or repeated messages, standby copies started too early, and changed
   outcomes of unrepeatable requests.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "cell.h"
#include "rng.h"

static char no_text[] = "";
static int64_t now_ms;

static cell_result
run (struct cell *c, cell_command *cmd)
{
  struct buffer in;
  struct buffer out;
  cell_results rs;
  struct status st;
  buffer_init (&in);
  buffer_init (&out);
  cell_encode (c, now_ms, cmd, 1, &in);
  c->machine.ops->apply (&c->machine, 1, in.data, in.len, &out);
  assert_int_equal (cell_decode_results (out.data, out.len, &rs, &st), 0);
  assert_int_equal (rs.results.results_len, 1);
  cell_result r = rs.results.results_val[0];
  static char answer[CELL_ANSWER_BYTES];
  memcpy (answer, r.answer.answer_val ? r.answer.answer_val : "", r.answer.answer_len);
  r.answer.answer_val = answer;
  r.message = no_text;
  cell_free_results (&rs);
  buffer_close (&in);
  buffer_close (&out);
  return r;
}

static cell_job_spec
batch_spec (char *request_id)
{
  static char customer[] = "huron";
  static char service[] = "reconcile";
  cell_job_spec s;
  memset (&s, 0, sizeof s);
  s.customer = customer;
  s.request_id = request_id;
  s.service = service;
  s.kind = CELL_BATCH;
  s.size.millicores = 1000;
  s.size.memory_mb = 512;
  s.replicas = 1;
  s.payload = no_text;
  return s;
}

static cell_result
submit (struct cell *c, cell_job_spec spec)
{
  cell_command cmd = { .kind = CELL_SUBMIT, .cell_command_u.submit = spec };
  return run (c, &cmd);
}

static cell_result
place (struct cell *c, uint64_t task, uint64_t epoch)
{
  static char worker[] = "w1";
  cell_command cmd = { .kind = CELL_PLACE };
  cmd.cell_command_u.place
      = (cell_place){ .task = task, .epoch = epoch, .worker = worker, .incarnation = 1 };
  return run (c, &cmd);
}

static cell_result
report (struct cell *c, uint64_t task, uint64_t epoch, cell_report_kind kind, char *checkpoint,
        uint64_t progress)
{
  cell_command cmd = { .kind = CELL_REPORT };
  cmd.cell_command_u.report = (cell_report){ .task = task,
                                             .epoch = epoch,
                                             .kind = kind,
                                             .progress_ms = progress,
                                             .checkpoint = checkpoint,
                                             .reason = no_text };
  return run (c, &cmd);
}

static cell_result
transfer (struct cell *to, cell_command_kind kind, cell_transfer t)
{
  cell_command cmd = { .kind = kind, .cell_command_u.transfer = t };
  return run (to, &cmd);
}

static cell_result
handoff_end (struct cell *c, cell_command_kind kind, uint64_t task, uint64_t epoch)
{
  cell_command cmd = { .kind = kind };
  cmd.cell_command_u.handoff_end = (cell_handoff_end){ task, epoch };
  return run (c, &cmd);
}

static cell_result
offer (struct cell *c, cell_command_kind kind, uint64_t task, uint64_t epoch, uint64_t to)
{
  cell_command cmd = { .kind = kind };
  cmd.cell_command_u.offer = (cell_offer){ task, epoch, to };
  return run (c, &cmd);
}

static void
test_life_cycle_and_stale_epochs (void **state)
{
  (void)state;
  struct cell c;
  char id[] = "r1";
  cell_init (&c, 1);
  cell_result s = submit (&c, batch_spec (id));
  cell_result again = submit (&c, batch_spec (id));
  assert_true (again.repeated);
  assert_int_equal (again.job, s.job);
  cell_job_spec other = batch_spec (id);
  other.size.millicores = 2000;
  assert_int_equal (submit (&c, other).status, STATUS_BAD_REQUEST);
  cell_result p = place (&c, s.task, 0);
  assert_int_equal (place (&c, s.task, 0).status, STATUS_STALE_EPOCH);
  assert_int_equal (place (&c, s.task, p.epoch).status, STATUS_STALE_EPOCH);
  assert_int_equal (report (&c, s.task, p.epoch - 1, CELL_REPORT_DONE, no_text, 0).status,
                    STATUS_STALE_EPOCH);
  report (&c, s.task, p.epoch, CELL_REPORT_RUNNING, no_text, 0);
  char mark[] = "ck-1";
  report (&c, s.task, p.epoch, CELL_REPORT_CHECKPOINT, mark, 700);
  report (&c, s.task, p.epoch, CELL_REPORT_STOPPED, no_text, 0);
  const struct cell_task *t = cell_find_task (&c, s.task);
  assert_int_equal (t->state, CELL_PENDING);
  assert_int_equal (t->progress_ms, 700);
  assert_string_equal (t->checkpoint, "ck-1");
  cell_result p2 = place (&c, s.task, p.epoch);
  assert_true (p2.epoch > p.epoch);
  assert_int_equal (report (&c, s.task, p.epoch, CELL_REPORT_DONE, no_text, 0).status,
                    STATUS_STALE_EPOCH);
  report (&c, s.task, p2.epoch, CELL_REPORT_DONE, no_text, 0);
  assert_true (report (&c, s.task, p2.epoch, CELL_REPORT_DONE, no_text, 0).repeated);
  assert_int_equal (cell_job_state (cell_find_job (&c, s.job)), CELL_DONE);
  assert_int_equal (c.finished_count, 1);
  cell_close (&c);
}

static void
test_cancel_thousands (void **state)
{
  (void)state;
  struct cell c;
  uint64_t ids[5000];
  cell_init (&c, 1);
  for (int i = 0; i < 5000; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "r%d", i);
      cell_result s = submit (&c, batch_spec (id));
      ids[i] = s.job;
      if (i % 2)
        place (&c, s.task, 0);
    }
  cell_command cmd = { .kind = CELL_CANCEL };
  cmd.cell_command_u.cancel.jobs.jobs_len = 5000;
  cmd.cell_command_u.cancel.jobs.jobs_val = ids;
  assert_int_equal (run (&c, &cmd).count, 5000);
  assert_true (run (&c, &cmd).repeated);
  assert_int_equal (c.finished_count, 2500);
  const struct cell_task *t = STAILQ_FIRST (&cell_find_job (&c, ids[1])->tasks);
  assert_int_equal (t->state, CELL_STOPPING);
  report (&c, t->id, t->epoch, CELL_REPORT_STOPPED, no_text, 0);
  assert_int_equal (t->state, CELL_CANCELLED);
  cell_close (&c);
}

static void
test_handoff_repeats (void **state)
{
  (void)state;
  struct cell a;
  struct cell b;
  char id[] = "r1";
  cell_init (&a, 1);
  cell_init (&b, 2);
  cell_result s = submit (&a, batch_spec (id));
  cell_result o = offer (&a, CELL_HANDOFF_OFFER, s.task, 0, 2);
  assert_int_equal (place (&a, s.task, o.epoch).status, STATUS_STALE_EPOCH);
  cell_transfer t;
  cell_make_transfer (&a, cell_find_task (&a, s.task), &t);
  assert_int_equal (transfer (&b, CELL_HANDOFF_ACCEPT, t).status, STATUS_OK);
  assert_int_equal (transfer (&b, CELL_HANDOFF_REFUSE, t).status, STATUS_VERSION_CONFLICT);
  cell_result p = place (&b, s.task, o.epoch);
  report (&b, s.task, p.epoch, CELL_REPORT_DONE, no_text, 0);
  assert_true (transfer (&b, CELL_HANDOFF_ACCEPT, t).repeated);
  assert_int_equal (cell_find_task (&b, s.task)->state, CELL_DONE);
  handoff_end (&a, CELL_HANDOFF_DONE, s.task, o.epoch);
  assert_int_equal (cell_find_task (&a, s.task)->state, CELL_MOVED);
  assert_true (handoff_end (&a, CELL_HANDOFF_ABORT, s.task, o.epoch).repeated);
  cell_close (&a);
  cell_close (&b);
}

static void
test_handoff_refused_and_returned (void **state)
{
  (void)state;
  struct cell a;
  struct cell b;
  char id[] = "r1";
  cell_init (&a, 1);
  cell_init (&b, 2);
  cell_result s = submit (&a, batch_spec (id));
  cell_result o = offer (&a, CELL_HANDOFF_OFFER, s.task, 0, 2);
  cell_transfer t;
  cell_make_transfer (&a, cell_find_task (&a, s.task), &t);
  assert_int_equal (transfer (&b, CELL_HANDOFF_REFUSE, t).status, STATUS_OK);
  assert_int_equal (transfer (&b, CELL_HANDOFF_ACCEPT, t).status, STATUS_OVERLOADED);
  handoff_end (&a, CELL_HANDOFF_ABORT, s.task, o.epoch);
  assert_int_equal (cell_find_task (&a, s.task)->state, CELL_PENDING);
  /* Round trip: the first cell accepts its own task again at a higher epoch.  */
  o = offer (&a, CELL_HANDOFF_OFFER, s.task, cell_find_task (&a, s.task)->epoch, 2);
  cell_make_transfer (&a, cell_find_task (&a, s.task), &t);
  assert_int_equal (transfer (&b, CELL_HANDOFF_ACCEPT, t).status, STATUS_OK);
  handoff_end (&a, CELL_HANDOFF_DONE, s.task, o.epoch);
  cell_result back = offer (&b, CELL_HANDOFF_OFFER, s.task, o.epoch, 1);
  cell_transfer t2;
  cell_make_transfer (&b, cell_find_task (&b, s.task), &t2);
  assert_int_equal (transfer (&a, CELL_HANDOFF_ACCEPT, t2).status, STATUS_OK);
  handoff_end (&b, CELL_HANDOFF_DONE, s.task, back.epoch);
  assert_int_equal (cell_find_task (&a, s.task)->state, CELL_PENDING);
  assert_int_equal (a.finished_count, 0);
  /* A delayed copy of the first offer changes nothing in either cell.  */
  assert_true (transfer (&b, CELL_HANDOFF_ACCEPT, t).repeated);
  assert_int_equal (cell_find_task (&b, s.task)->state, CELL_MOVED);
  cell_close (&a);
  cell_close (&b);
}

static void
test_standby_starts_once (void **state)
{
  (void)state;
  struct cell a;
  struct cell b;
  char id[] = "r1";
  cell_init (&a, 1);
  cell_init (&b, 2);
  cell_job_spec spec = batch_spec (id);
  spec.repeat_elsewhere = true;
  cell_result s = submit (&a, spec);
  assert_int_equal (offer (&a, CELL_STANDBY_SENT, s.task, 0, 2).status, STATUS_OK);
  cell_transfer t;
  cell_make_transfer (&a, cell_find_task (&a, s.task), &t);
  transfer (&b, CELL_STANDBY_PUT, t);
  cell_result p = place (&a, s.task, 0);
  cell_command start = { .kind = CELL_STANDBY_START };
  start.cell_command_u.standby_start = (cell_standby_start){ 1, 1, CELL_CLOSE_WAIT_MS - 1 };
  assert_int_equal (run (&b, &start).status, STATUS_OVERLOADED);
  start.cell_command_u.standby_start.closed_ago_ms = CELL_CLOSE_WAIT_MS;
  assert_int_equal (run (&b, &start).count, 1);
  assert_int_equal (run (&b, &start).count, 0);
  assert_true (cell_find_task (&b, s.task)->epoch > p.epoch + 1000);
  /* The owner returns: it stops its run and offers the task; the started copy keeps it.  */
  cell_command closed = { .kind = CELL_EPOCH_CLOSED, .cell_command_u.epoch_closed = { 1 } };
  run (&a, &closed);
  assert_true (run (&a, &closed).repeated);
  report (&a, s.task, p.epoch, CELL_REPORT_STOPPED, no_text, 0);
  assert_int_equal (cell_find_task (&a, s.task)->state, CELL_OFFERED);
  cell_make_transfer (&a, cell_find_task (&a, s.task), &t);
  assert_true (transfer (&b, CELL_HANDOFF_ACCEPT, t).repeated);
  handoff_end (&a, CELL_HANDOFF_DONE, s.task, t.task_epoch);
  assert_int_equal (cell_find_task (&a, s.task)->state, CELL_MOVED);
  assert_int_equal (cell_find_task (&b, s.task)->state, CELL_PENDING);
  cell_close (&a);
  cell_close (&b);
}

static cell_result
intent_begin (struct cell *c, char *key, uint64_t hash, uint64_t attempt)
{
  static char customer[] = "kigali";
  cell_command cmd = { .kind = CELL_INTENT_BEGIN };
  cmd.cell_command_u.intent_begin = (cell_intent_begin){ customer, key, hash, attempt };
  return run (c, &cmd);
}

static cell_result
intent_finish (struct cell *c, char *key, uint64_t attempt, enum status_ran ran, uint32_t code,
               char *answer)
{
  static char customer[] = "kigali";
  cell_command cmd = { .kind = CELL_INTENT_FINISH };
  cell_intent_finish *f = &cmd.cell_command_u.intent_finish;
  *f = (cell_intent_finish){ .customer = customer, .key = key, .attempt = attempt };
  f->outcome = ran;
  f->code = code;
  f->answer.answer_val = answer;
  f->answer.answer_len = (u_int)strlen (answer);
  return run (c, &cmd);
}

static void
test_intents_are_final (void **state)
{
  (void)state;
  struct cell c;
  char key[] = "k1";
  char first[] = "pallet 7";
  char second[] = "pallet 8";
  cell_init (&c, 1);
  now_ms = 1000;
  assert_int_equal (intent_finish (&c, key, 1, RAN_YES, 200, first).status, STATUS_NOT_FOUND);
  assert_int_equal (intent_begin (&c, key, 5, 1).intent, CELL_INTENT_NEW);
  assert_int_equal (intent_begin (&c, key, 5, 2).intent, CELL_INTENT_IN_PROGRESS);
  assert_int_equal (intent_begin (&c, key, 6, 3).intent, CELL_INTENT_KEY_REUSED);
  intent_finish (&c, key, 1, RAN_YES, 200, first);
  cell_result r = intent_finish (&c, key, 1, RAN_YES, 500, second);
  assert_true (r.repeated);
  assert_int_equal (r.code, 200);
  r = intent_begin (&c, key, 5, 4);
  assert_int_equal (r.intent, CELL_INTENT_DONE);
  assert_int_equal (r.answer.answer_len, strlen (first));
  assert_memory_equal (r.answer.answer_val, first, strlen (first));
  now_ms += CELL_INTENT_RETENTION_MS;
  assert_int_equal (intent_begin (&c, key, 5, 4).intent, CELL_INTENT_DONE);
  now_ms += 1;
  assert_int_equal (intent_begin (&c, key, 5, 4).intent, CELL_INTENT_NEW);
  assert_int_equal (c.intent_count, 1);
  cell_close (&c);
  now_ms = 0;
}

/* Guards against a second execution after a duplicated or delayed begin or finish.  */
static void
test_intent_attempts_are_fenced (void **state)
{
  (void)state;
  struct cell c;
  char key[] = "k1";
  char answer[] = "";
  cell_init (&c, 1);
  assert_int_equal (intent_begin (&c, key, 5, 1).intent, CELL_INTENT_NEW);
  assert_int_equal (intent_begin (&c, key, 5, 1).intent, CELL_INTENT_NEW);
  intent_finish (&c, key, 1, RAN_NO, 503, answer);
  assert_int_equal (intent_begin (&c, key, 5, 2).intent, CELL_INTENT_NEW);
  assert_int_equal (intent_begin (&c, key, 5, 3).intent, CELL_INTENT_IN_PROGRESS);
  assert_int_equal (intent_finish (&c, key, 1, RAN_NO, 503, answer).status, STATUS_STALE_EPOCH);
  assert_int_equal (intent_begin (&c, key, 5, 3).intent, CELL_INTENT_IN_PROGRESS);
  intent_finish (&c, key, 2, RAN_UNKNOWN, 504, answer);
  assert_int_equal (intent_begin (&c, key, 5, 4).intent, CELL_INTENT_DONE);
  cell_close (&c);
}

static void
test_snapshot_round_trip (void **state)
{
  (void)state;
  struct cell c;
  struct cell d;
  struct buffer one;
  struct buffer two;
  struct status st;
  cell_init (&c, 1);
  cell_init (&d, 9);
  for (int i = 0; i < 50; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "r%d", i);
      cell_result s = submit (&c, batch_spec (id));
      cell_result p = place (&c, s.task, 0);
      report (&c, s.task, p.epoch, i % 3 ? CELL_REPORT_FAILED : CELL_REPORT_DONE, no_text, 0);
      intent_begin (&c, id, 1, 1);
      if (i % 2)
        intent_finish (&c, id, 1, RAN_YES, 200, id);
    }
  buffer_init (&one);
  buffer_init (&two);
  c.machine.ops->save (&c.machine, &one);
  assert_int_equal (d.machine.ops->load (&d.machine, one.data, one.len, &st), 0);
  d.machine.ops->save (&d.machine, &two);
  assert_int_equal (one.len, two.len);
  assert_memory_equal (one.data, two.data, one.len);
  assert_int_equal (d.finished_count, c.finished_count);
  assert_int_equal (d.machine.ops->load (&d.machine, one.data, one.len / 2, &st), -1);
  buffer_close (&one);
  buffer_close (&two);
  cell_close (&c);
  cell_close (&d);
}

static void
test_corrupted_entries_change_nothing (void **state)
{
  (void)state;
  struct cell c;
  struct rng rng;
  cell_init (&c, 1);
  rng_init (&rng, 7);
  for (int i = 0; i < 2000; i++)
    {
      char bytes[64];
      struct buffer out;
      size_t len = (size_t)rng_below (&rng, sizeof bytes) & ~(size_t)3;
      for (size_t k = 0; k < sizeof bytes; k++)
        bytes[k] = (char)(k < 12 ? 0 : rng_next (&rng));
      bytes[11] = (char)rng_below (&rng, 3);
      buffer_init (&out);
      c.machine.ops->apply (&c.machine, 1, bytes, len, &out);
      buffer_close (&out);
    }
  assert_int_equal (c.task_count, 0);
  cell_close (&c);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_life_cycle_and_stale_epochs),
    cmocka_unit_test (test_cancel_thousands),
    cmocka_unit_test (test_handoff_repeats),
    cmocka_unit_test (test_handoff_refused_and_returned),
    cmocka_unit_test (test_standby_starts_once),
    cmocka_unit_test (test_intents_are_final),
    cmocka_unit_test (test_intent_attempts_are_fenced),
    cmocka_unit_test (test_snapshot_round_trip),
    cmocka_unit_test (test_corrupted_entries_change_nothing),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
