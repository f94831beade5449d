/* Guards against calls that are served with a key that was taken away or never given, jobs that
   another account can read or cancel, and keys that show in an error text.  */
#include "account_fixture.h"
#include "accounts_report.h"
#include "rng.h"

static const struct fixture_account two[] = { { "alder", 1, 0, false }, { "birch", 1, 0, false } };

static enum account_access
identify (struct fixture *f, const char *key)
{
  struct account *a;
  return accounts_identify (&f->workflow.accounts, key, "queue", &a);
}

static void
test_without_a_list_of_accounts_every_call_is_served (void **state)
{
  struct fixture *f = *state;
  assert_int_equal (identify (f, NULL), ACCOUNT_ACCESS_OPEN);
  assert_int_equal (identify (f, "key-alder"), ACCOUNT_ACCESS_OPEN);
}

/* An empty list says that nobody has a key, which differs from no list.  */
static void
test_an_empty_list_of_accounts_closes_the_queue (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, NULL, 0, false));
  assert_int_equal (identify (f, NULL), ACCOUNT_ACCESS_DENIED);
  assert_int_equal (identify (f, "key-alder"), ACCOUNT_ACCESS_DENIED);
}

static void
test_only_keys_of_the_configuration_in_force_are_known (void **state)
{
  struct fixture *f = *state;
  struct account *a;
  char long_key[5000];
  memset (long_key, 'k', sizeof long_key - 1);
  long_key[sizeof long_key - 1] = '\0';
  assert_true (fixture_configure_accounts (f, 2, two, 2, false));
  assert_int_equal (accounts_identify (&f->workflow.accounts, "key-birch", "queue", &a),
                    ACCOUNT_ACCESS_KNOWN);
  assert_string_equal (a->name, "birch");
  assert_int_equal (identify (f, NULL), ACCOUNT_ACCESS_DENIED);
  assert_int_equal (identify (f, ""), ACCOUNT_ACCESS_DENIED);
  assert_int_equal (identify (f, "key-"), ACCOUNT_ACCESS_DENIED);
  assert_int_equal (identify (f, "key-birch2"), ACCOUNT_ACCESS_DENIED);
  assert_int_equal (identify (f, long_key), ACCOUNT_ACCESS_DENIED);
  const struct fixture_account without[] = { { "alder", 1, 0, true }, { "birch", 1, 0, false } };
  assert_true (fixture_configure_accounts (f, 3, without, 2, false));
  assert_int_equal (identify (f, "key-alder"), ACCOUNT_ACCESS_DENIED);
  assert_int_equal (identify (f, "key-birch"), ACCOUNT_ACCESS_KNOWN);
  /* An older configuration that arrives late brings no key back.  */
  assert_false (fixture_configure_accounts (f, 2, two, 2, false));
  assert_int_equal (identify (f, "key-alder"), ACCOUNT_ACCESS_DENIED);
  assert_true (fixture_configure_accounts (f, 4, two, 2, false));
  assert_int_equal (identify (f, "key-alder"), ACCOUNT_ACCESS_KNOWN);
}

static void
test_a_public_queue_needs_no_key (void **state)
{
  struct fixture *f = *state;
  struct account *a;
  assert_true (fixture_configure_accounts (f, 2, two, 2, true));
  assert_int_equal (identify (f, NULL), ACCOUNT_ACCESS_PUBLIC);
  assert_int_equal (identify (f, "unknown"), ACCOUNT_ACCESS_PUBLIC);
  assert_int_equal (accounts_identify (&f->workflow.accounts, "key-alder", "queue", &a),
                    ACCOUNT_ACCESS_KNOWN);
  assert_int_equal (accounts_identify (&f->workflow.accounts, NULL, "other", &a),
                    ACCOUNT_ACCESS_DENIED);
}

static void
test_a_job_belongs_to_one_account (void **state)
{
  struct fixture *f = *state;
  const struct accounts *all = &f->workflow.accounts;
  assert_true (fixture_configure_accounts (f, 2, two, 2, false));
  assert_true (fixture_submit_as (f, "alder", 1, 1, 1000, 0));
  assert_true (fixture_submit_as (f, "alder", 1, 1, 1000, 0));
  assert_false (fixture_submit_as (f, "birch", 1, 1, 1000, 0));
  const struct workflow_job *j = workflow_find_job (&f->workflow, 1);
  assert_true (accounts_may_use (accounts_find (all, "alder"), j->account));
  assert_false (accounts_may_use (accounts_find (all, "birch"), j->account));
  assert_true (accounts_may_use (NULL, j->account));
  /* A job from before the accounts is open to all of them.  */
  fixture_submit (f, 2, 1, 1, 0);
  assert_true (accounts_may_use (accounts_find (all, "birch"),
                                 workflow_find_job (&f->workflow, 2)->account));
}

/* The leader checked the key before a newer configuration was committed ahead of the job.  */
static void
test_a_job_of_an_account_that_was_removed_meanwhile_is_refused (void **state)
{
  struct fixture *f = *state;
  assert_true (fixture_configure_accounts (f, 2, two, 2, false));
  assert_true (fixture_submit_as (f, "alder", 1, 1, 1000, 0));
  assert_true (fixture_configure_accounts (f, 3, &two[1], 1, false));
  assert_false (fixture_submit_as (f, "alder", 2, 1, 1000, 0));
  assert_null (workflow_find_job (&f->workflow, 2));
  /* Its accepted job goes on, as the account's.  */
  assert_string_equal (workflow_find_job (&f->workflow, 1)->account->name, "alder");
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_tick (f, 20);
  assert_int_equal (f->start_count, 1);
  assert_true (fixture_configure_accounts (f, 4, two, 2, false));
  assert_true (fixture_submit_as (f, "alder", 3, 1, 1000, 0));
  assert_ptr_equal (workflow_find_job (&f->workflow, 1)->account,
                    workflow_find_job (&f->workflow, 3)->account);
}

static void
copy_state (struct fixture *f, struct workflow *out, size_t cut)
{
  struct buffer image;
  struct status st;
  buffer_init (&image);
  workflow_init (out);
  f->workflow.machine.ops->save (&f->workflow.machine, &image);
  assert_int_equal (out->machine.ops->load (&out->machine, image.data, image.len - cut, &st), 0);
  buffer_close (&image);
}

/* A VM that starts from a snapshot, with a lost disk for example, must refuse what was refused.  */
static void
test_accounts_survive_a_snapshot (void **state)
{
  struct fixture *f = *state;
  struct workflow other;
  struct account *a;
  const struct fixture_account list[] = { { "alder", 3, 5000, true }, { "birch", 1, 0, false } };
  assert_true (fixture_configure_accounts (f, 2, two, 2, true));
  assert_true (fixture_submit_as (f, "alder", 1, 1, 1000, 0));
  assert_true (fixture_submit_as (f, "", 2, 1, 1000, 0));
  assert_true (fixture_submit_as (f, "birch", 3, 1, 1000, 0));
  assert_true (fixture_cancel (f, 3));
  assert_true (fixture_configure_accounts (f, 3, list, 2, false));
  copy_state (f, &other, 0);
  assert_int_equal (accounts_identify (&other.accounts, "key-alder", "queue", &a),
                    ACCOUNT_ACCESS_DENIED);
  assert_int_equal (accounts_identify (&other.accounts, "key-birch", "queue", &a),
                    ACCOUNT_ACCESS_KNOWN);
  assert_int_equal (accounts_find (&other.accounts, "alder")->cap.millicores, 5000);
  assert_int_equal (accounts_find (&other.accounts, "alder")->weight_milli, 3000);
  assert_string_equal (workflow_find_job (&other, 1)->account->name, "alder");
  assert_null (workflow_find_job (&other, 2)->account);
  assert_string_equal (workflow_find_job (&other, 3)->account->name, "birch");
  workflow_close (&other);
}

/* A deployment without accounts must be able to go back to an earlier build, and take its
 * snapshots.
 */
static void
test_without_accounts_a_snapshot_has_no_part_for_them (void **state)
{
  struct fixture *f = *state;
  struct workflow other;
  struct buffer before;
  struct buffer after;
  buffer_init (&before);
  buffer_init (&after);
  fixture_submit (f, 1, 1, 1, 0);
  f->workflow.machine.ops->save (&f->workflow.machine, &before);
  assert_true (fixture_configure_accounts (f, 2, two, 2, false));
  fixture_configure (f, 3, 2);
  f->workflow.machine.ops->save (&f->workflow.machine, &after);
  assert_int_equal (before.len, after.len);
  assert_int_equal (identify (f, NULL), ACCOUNT_ACCESS_OPEN);
  copy_state (f, &other, 0);
  assert_null (other.accounts.definition);
  workflow_close (&other);
  /* The part of the accounts: a definition of two accounts and no public queue, and no owner name.
   */
  assert_true (fixture_configure_accounts (f, 4, NULL, 0, false));
  copy_state (f, &other, 20);
  assert_null (other.accounts.definition);
  workflow_close (&other);
  buffer_close (&before);
  buffer_close (&after);
}

static int
check (workflow_account *list, u_int count, struct status *st)
{
  workflow_accounts d = { .list.list_val = list, .list.list_len = count };
  return accounts_check (&d, st);
}

static void
test_contradictory_accounts_are_refused_without_naming_a_key (void **state)
{
  workflow_name secret[] = { "s3cret-one", "s3cret-two", "s3cret-one" };
  workflow_name bad[][1] = { { "" }, { "with space" }, { "line\nbreak" }, { "\x80" } };
  struct status st = { .kind = STATUS_OK };
  workflow_account list[2] = { { .name = "alder" }, { .name = "birch" } };
  (void)state;
  list[0].keys.keys_val = secret;
  list[0].keys.keys_len = 3; /* a repetition in one account is harmless */
  assert_int_equal (check (list, 2, &st), 0);
  list[1].keys.keys_val = &secret[1];
  list[1].keys.keys_len = 1;
  assert_int_equal (check (list, 2, &st), -1);
  assert_non_null (strstr (st.message, "'alder'"));
  assert_non_null (strstr (st.message, "'birch'"));
  assert_null (strstr (st.message, "s3cret"));
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      list[1].keys.keys_val = bad[i];
      assert_int_equal (check (list, 2, &st), -1);
      assert_non_null (strstr (st.message, "'birch'"));
    }
  list[1].keys.keys_len = 0;
  list[1].name = "alder";
  assert_int_equal (check (list, 2, &st), -1);
  list[1].name = "";
  assert_int_equal (check (list, 2, &st), -1);
}

/* Guards against an account that is freed while a job or a key refers to it, in any order of
   configurations, jobs and their ends.  */
static void
test_random_changes_leave_no_dangling_account (void **state)
{
  struct fixture *f = *state;
  struct rng rng;
  uint64_t id = 1;
  static char *const names[] = { "a", "b", "c", "d", "e" };
  rng_init (&rng, 7);
  for (uint64_t version = 2; version < 400; version++)
    {
      struct fixture_account list[5];
      size_t count = 0;
      for (size_t i = 0; i < 5; i++)
        if (rng_below (&rng, 2))
          list[count++] = (struct fixture_account){ names[i], 1, 0, rng_below (&rng, 2) };
      assert_true (fixture_configure_accounts (f, version, list, count, rng_below (&rng, 2)));
      const char *name = names[rng_below (&rng, 5)];
      const struct account *a = accounts_find (&f->workflow.accounts, name);
      bool in_force = a && a->in_force;
      assert_int_equal (fixture_submit_as (f, name, id++, 1, 1000, 0), in_force);
      fixture_cancel (f, 1 + rng_below (&rng, id - 1));
      uint64_t prune[] = { 1 + rng_below (&rng, id - 1) };
      workflow_command c = { .kind = WORKFLOW_PRUNE };
      c.workflow_command_u.prune.prune_val = prune;
      c.workflow_command_u.prune.prune_len = 1;
      fixture_change (f, &c);
    }
}

/* Guards against a key in what operators see.  */
static void
test_the_report_names_fingerprints_only (void **state)
{
  struct fixture *f = *state;
  char fingerprint[ACCOUNT_FINGERPRINT_BYTES];
  assert_true (fixture_configure_accounts (f, 2, two, 2, false));
  assert_true (fixture_submit_as (f, "birch", 1, 1, 1000, 0));
  fixture_join (f, "w1", "10.0.0.1:1");
  fixture_tick (f, 20);
  json_t *report = accounts_report (&f->workflow);
  char *text = json_dumps (report, JSON_COMPACT);
  accounts_fingerprint ("key-birch", fingerprint);
  assert_int_equal (strlen (fingerprint), 8);
  assert_non_null (strstr (text, fingerprint));
  assert_null (strstr (text, "key-"));
  const json_t *birch = json_array_get (json_object_get (report, "accounts"), 1);
  assert_string_equal (json_string_value (json_object_get (birch, "account")), "birch");
  assert_int_equal (json_integer_value (json_object_get (birch, "runs")), 1);
  free (text);
  json_decref (report);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, fixture_open, fixture_close)

int
main (void)
{
  const struct CMUnitTest tests[]
      = { TEST (test_without_a_list_of_accounts_every_call_is_served),
          TEST (test_an_empty_list_of_accounts_closes_the_queue),
          TEST (test_only_keys_of_the_configuration_in_force_are_known),
          TEST (test_a_public_queue_needs_no_key),
          TEST (test_a_job_belongs_to_one_account),
          TEST (test_a_job_of_an_account_that_was_removed_meanwhile_is_refused),
          TEST (test_accounts_survive_a_snapshot),
          TEST (test_without_accounts_a_snapshot_has_no_part_for_them),
          TEST (test_contradictory_accounts_are_refused_without_naming_a_key),
          TEST (test_the_report_names_fingerprints_only),
          TEST (test_random_changes_leave_no_dangling_account) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
