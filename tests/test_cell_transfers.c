/* Guards against standby copies that are never started because an answer from before a change of
   leadership counts for another cell.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "cell_transfers.h"

#define MAX_PROPOSALS 8
#define SCAN_MS 1000 /* at least one scan interval */

struct proposal
{
  struct buffer command;
  propose_done *done;
  void *arg;
};

struct fixture
{
  struct proposer proposer; /* first member: the vtable */
  struct proposal proposals[MAX_PROPOSALS];
  size_t count;
  struct cell cell;
  uint64_t cell_index;
  struct registry *registry;
  uint64_t registry_index;
  struct manual_clock clock;
  struct cell_transfers *transfers;
};

static void
record_proposal (struct proposer *p, uint64_t group, const void *command, size_t len,
                 propose_done *done, void *arg)
{
  struct fixture *f = (struct fixture *)p;
  assert_int_equal (group, 1);
  assert_true (f->count < MAX_PROPOSALS);
  struct proposal *out = &f->proposals[f->count++];
  *out = (struct proposal){ .done = done, .arg = arg };
  buffer_append (&out->command, command, len);
}

/* The cell whose copies proposal I starts.  */
static uint64_t
started_cell (struct fixture *f, size_t i)
{
  cell_batch batch;
  const struct buffer *b = &f->proposals[i].command;
  assert_int_equal (cell_decode_batch (b->data, b->len, &batch, NULL), 0);
  assert_int_equal (batch.commands.commands_val[0].kind, CELL_STANDBY_START);
  uint64_t cell = batch.commands.commands_val[0].cell_command_u.standby_start.cell;
  cell_free_batch (&batch);
  return cell;
}

static void
commit (struct fixture *f, size_t i)
{
  struct buffer out = { 0 };
  struct proposal *p = &f->proposals[i];
  const struct status ok = { 0 };
  f->cell.machine.ops->apply (&f->cell.machine, ++f->cell_index, p->command.data, p->command.len,
                              &out);
  p->done (p->arg, &ok, out.data, out.len);
  buffer_close (&out);
}

static void
apply (struct fixture *f, registry_command *c)
{
  struct buffer encoded = { 0 };
  struct buffer out = { 0 };
  registry_result result;
  struct machine *m = registry_machine (f->registry);
  c->request_id = "";
  c->time_ms = 1;
  assert_int_equal (registry_encode (c, &encoded, NULL), 0);
  m->ops->apply (m, ++f->registry_index, encoded.data, encoded.len, &out);
  assert_int_equal (registry_decode_result (out.data, out.len, &result, NULL), 0);
  assert_int_equal (result.status, STATUS_OK);
  registry_result_free (&result);
  buffer_close (&encoded);
  buffer_close (&out);
}

static void
add_data_centre (struct fixture *f, char *name, char *vm)
{
  registry_command c = { .body.kind = REGISTRY_MEMBER_ADD };
  c.body.registry_body_u.add = (registry_member){ .vm = vm,
                                                  .data_centre = name,
                                                  .region = "r",
                                                  .peer = "127.0.0.1:1",
                                                  .backend = "127.0.0.1:2",
                                                  .operators = "127.0.0.1:3" };
  apply (f, &c);
}

static void
close_epoch (struct fixture *f, char *name)
{
  registry_command c = { .body.kind = REGISTRY_CLOSE_EPOCH };
  c.body.registry_body_u.close_epoch.data_centre = name;
  c.body.registry_body_u.close_epoch.epoch = 1;
  apply (f, &c);
}

static void
open_fixture (struct fixture *f)
{
  static const struct proposer_ops ops = { .propose = record_proposal };
  memset (f, 0, sizeof *f);
  f->proposer.ops = &ops;
  cell_init (&f->cell, 1);
  f->registry = registry_new ();
  add_data_centre (f, "a", "a1");
  add_data_centre (f, "b", "b1");
  add_data_centre (f, "c", "c1");
  manual_clock_init (&f->clock, 1000);
  const struct cell_transfers_config config = {
    .cell = &f->cell, .proposer = &f->proposer, .registry = f->registry, .clock = &f->clock.clock
  };
  f->transfers = cell_transfers_open (&config);
  cell_transfers_set_leader (f->transfers, true);
}

static void
close_fixture (struct fixture *f)
{
  cell_transfers_close (f->transfers);
  for (size_t i = 0; i < f->count; i++)
    buffer_close (&f->proposals[i].command);
  registry_free (f->registry);
  cell_close (&f->cell);
}

/* Lets the leases under the epochs seen so far expire.  */
static void
wait_for_leases (struct fixture *f)
{
  manual_clock_advance (&f->clock, SCAN_MS);
  cell_transfers_tick (f->transfers, clock_now_ms (&f->clock.clock));
  manual_clock_advance (&f->clock, CELL_CLOSE_WAIT_MS);
  cell_transfers_tick (f->transfers, clock_now_ms (&f->clock.clock));
}

static void
change_leadership (struct fixture *f)
{
  cell_transfers_set_leader (f->transfers, false);
  cell_transfers_set_leader (f->transfers, true);
}

static void
test_late_answer_does_not_count_for_another_cell (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  close_epoch (&f, "c");
  wait_for_leases (&f);
  assert_int_equal (f.count, 1);
  assert_int_equal (started_cell (&f, 0), 3);
  change_leadership (&f);
  close_epoch (&f, "b");
  manual_clock_advance (&f.clock, SCAN_MS);
  cell_transfers_tick (f.transfers, clock_now_ms (&f.clock.clock));
  commit (&f, 0);
  wait_for_leases (&f);
  assert_int_equal (f.count, 2);
  assert_int_equal (started_cell (&f, 1), 2);
  commit (&f, 1);
  wait_for_leases (&f);
  assert_int_equal (f.count, 2);
  close_fixture (&f);
}

/* The epoch closed again while an answer was pending: the copies of the newer one are started.  */
static void
test_late_answer_does_not_count_for_a_newer_epoch (void **state)
{
  struct fixture f;
  (void)state;
  open_fixture (&f);
  close_epoch (&f, "c");
  wait_for_leases (&f);
  change_leadership (&f);
  registry_command c = { .body.kind = REGISTRY_CLOSE_EPOCH };
  c.body.registry_body_u.close_epoch.data_centre = "c";
  c.body.registry_body_u.close_epoch.epoch = 2;
  apply (&f, &c);
  manual_clock_advance (&f.clock, SCAN_MS);
  cell_transfers_tick (f.transfers, clock_now_ms (&f.clock.clock));
  commit (&f, 0);
  wait_for_leases (&f);
  assert_int_equal (f.count, 2);
  close_fixture (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_late_answer_does_not_count_for_another_cell),
          cmocka_unit_test (test_late_answer_does_not_count_for_a_newer_epoch) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
