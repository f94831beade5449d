/* Guards against an outcome of an unrepeatable request that is recorded for another attempt, or not
   at all, when the answers of its home cell are late.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "cell.h"
#include "intent_log.h"

#define SEED 5
#define NOW_MS 1000
#define OTHER_KEYS 100 /* makes the map of attempts grow */

struct held_answer
{
  propose_done *done;
  void *arg;
};

/* Applies commands at once.  An answer that is not held arrives at once too.  */
struct fixture
{
  struct proposer proposer; /* first member: the vtable */
  struct cell cell;
  struct registry *registry;
  struct rng rng;
  struct intent_log log;
  bool hold_next;
  struct held_answer held;
  int begun[5]; /* by enum intent_state */
  int finished;
};

static void
propose (struct proposer *p, uint64_t group, const void *command, size_t len, propose_done *done,
         void *arg)
{
  struct fixture *f = (struct fixture *)p;
  const struct status ok = { 0 };
  struct buffer result;
  (void)group;
  buffer_init (&result);
  f->cell.machine.ops->apply (&f->cell.machine, 1, command, len, &result);
  if (f->hold_next)
    f->held = (struct held_answer){ done, arg };
  else
    done (arg, &ok, result.data, result.len);
  f->hold_next = false;
  buffer_close (&result);
}

static void
on_begun (void *arg, enum intent_state state, const struct intent_outcome *outcome)
{
  struct fixture *f = arg;
  (void)outcome;
  f->begun[state]++;
}

static void
on_finished (void *arg, int result)
{
  struct fixture *f = arg;
  assert_int_equal (result, 0);
  f->finished++;
}

static void
begin (struct fixture *f, const char *key)
{
  const struct intent_key k = { .customer = "schools", .key = key, .fingerprint = 1 };
  f->log.store.ops->begin (&f->log.store, &k, on_begun, f);
}

static void
finish (struct fixture *f, const char *key, enum intent_result result)
{
  const struct intent_key k = { .customer = "schools", .key = key, .fingerprint = 1 };
  const struct intent_outcome o = { .result = result, .code = 200, .headers = "", .body = "" };
  f->log.store.ops->finish (&f->log.store, &k, &o, on_finished, f);
}

/* The answer of the first finish is late: its leader was paused after it had committed the entry.
 */
static void
test_outcome_is_recorded_while_an_earlier_finish_is_open (void **state)
{
  static const struct proposer_ops ops = { .propose = propose };
  struct fixture f = { .proposer.ops = &ops };
  const struct status unknown = { .kind = STATUS_OUTCOME_UNKNOWN };
  char key[16];
  (void)state;
  cell_init (&f.cell, 1);
  f.registry = registry_new ();
  rng_init (&f.rng, SEED);
  intent_log_init (&f.log, &f.proposer, f.registry, &f.rng);
  intent_log_tick (&f.log, NOW_MS);
  begin (&f, "parcel");
  f.hold_next = true;
  finish (&f, "parcel", INTENT_NOT_RUN);
  begin (&f, "parcel");
  assert_int_equal (f.begun[INTENT_NEW], 2);
  for (int i = 0; i < OTHER_KEYS; i++)
    {
      snprintf (key, sizeof key, "other-%d", i);
      begin (&f, key);
    }
  finish (&f, "parcel", INTENT_ANSWERED);
  const struct cell_intent *i = cell_find_intent (&f.cell, "schools", "parcel");
  assert_true (i->finished && i->outcome == RAN_YES);
  f.held.done (f.held.arg, &unknown, NULL, 0); /* proposed again, as a duplicate */
  assert_int_equal (f.finished, 2);
  assert_true (i->finished && i->outcome == RAN_YES);
  intent_log_close (&f.log);
  registry_free (f.registry);
  cell_close (&f.cell);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_outcome_is_recorded_while_an_earlier_finish_is_open),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
