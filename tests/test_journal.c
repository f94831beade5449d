/* Guards against a journal that loses an acknowledged batch, accepts corrupt data, replaces a
   snapshot partially, shares its folder or continues after a disk failure.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "journal.h"
#include "log.h"
#include "memory_disk.h"

#define BATCHES 5

static struct rng rng;

static struct store *
open_store (struct memory_disk *d)
{
  struct status st;
  struct store *s = journal_open (memory_disk_io (d), "test", &st);
  assert_non_null (s);
  return s;
}

static int
load (struct store *s, struct store_state *state, struct status *st)
{
  status_clear (st);
  return s->ops->load (s, state, st);
}

static int
save (struct store *s, uint64_t index, const char *data, struct status *st)
{
  raft_member self = { .node = 1, .voter = true };
  struct raft_snapshot snapshot
      = { .index = index, .term = index ? 1 : 0, .members = { { 1, &self } } };
  struct raft_hard_state hard = { .term = 1, .vote = 1 };
  return s->ops->save_snapshot (s, &snapshot, data, strlen (data), &hard, NULL, 0, st);
}

static int
write_entry (struct store *s, uint64_t index, struct status *st)
{
  char text[16];
  int len = snprintf (text, sizeof text, "entry %d", (int)index);
  raft_entry e
      = { .index = index, .term = 1, .kind = RAFT_ENTRY_COMMAND, .data = { (u_int)len, text } };
  struct raft_hard_state hard = { .term = index, .vote = 1 };
  return s->ops->write (s, &hard, &e, 1, st);
}

/* A new store with BATCHES entries; the log's size before the last of them in *BEFORE_LAST.  */
static struct memory_disk *
make_log (size_t *before_last)
{
  struct status st;
  struct store_state state;
  struct memory_disk *d = memory_disk_create (&rng);
  struct store *s = open_store (d);
  assert_int_equal (load (s, &state, &st), 0);
  assert_true (state.empty);
  store_state_free (&state);
  assert_int_equal (save (s, 0, "", &st), 0);
  for (uint64_t i = 1; i <= BATCHES; i++)
    {
      *before_last = s->log_bytes;
      assert_int_equal (write_entry (s, i, &st), 0);
    }
  store_close (s);
  return d;
}

static void
test_torn_tail_is_truncated (void **state)
{
  size_t before_last;
  (void)state;
  for (size_t tail_bytes = 1;; tail_bytes++)
    {
      struct memory_disk *d = make_log (&before_last);
      struct buffer *log = memory_disk_file (d, "log");
      struct store_state loaded;
      struct status st;
      if (before_last + tail_bytes >= log->len)
        {
          memory_disk_free (d);
          break;
        }
      log->len = before_last + tail_bytes;
      struct store *s = open_store (d);
      assert_int_equal (load (s, &loaded, &st), 0);
      assert_int_equal (loaded.entries_len, BATCHES - 1);
      assert_int_equal (loaded.hard.term, BATCHES - 1);
      store_state_free (&loaded);
      assert_int_equal (write_entry (s, BATCHES, &st), 0);
      store_close (s);
      s = open_store (d);
      assert_int_equal (load (s, &loaded, &st), 0);
      assert_int_equal (loaded.entries_len, BATCHES);
      store_state_free (&loaded);
      store_close (s);
      memory_disk_free (d);
    }
}

static void
test_inner_damage_is_rejected (void **state)
{
  size_t before_last;
  (void)state;
  struct memory_disk *d = make_log (&before_last);
  struct buffer *log = memory_disk_file (d, "log");
  for (size_t at = 0; at < before_last; at++)
    {
      struct store_state loaded;
      struct status st;
      log->data[at] ^= 0x10;
      struct store *s = open_store (d);
      assert_int_equal (load (s, &loaded, &st), -1);
      assert_int_equal (st.kind, STATUS_JOURNAL_DAMAGED);
      size_t position;
      const char *text = strstr (st.message, "at byte ");
      assert_non_null (text);
      assert_int_equal (sscanf (text, "at byte %zu", &position), 1);
      assert_true (position <= at && at - position < 100);
      store_state_free (&loaded);
      store_close (s);
      log->data[at] ^= 0x10;
    }
  memory_disk_free (d);
}

/* Writes, snapshots and writes again; stops at the first failure.  Returns the last index that was
   acknowledged, counting the snapshot as its index.  */
static uint64_t
run_writes (struct store *s)
{
  struct status st;
  uint64_t acknowledged = 0;
  if (save (s, 0, "", &st))
    return 0;
  for (uint64_t i = 1; i <= 6; i++)
    {
      if (write_entry (s, i, &st))
        return acknowledged;
      acknowledged = i;
      if (i == 3 && save (s, 3, "state at 3", &st))
        return acknowledged;
    }
  return acknowledged;
}

static uint64_t
last_stored (const struct store_state *state)
{
  if (state->entries_len > 0)
    return state->entries[state->entries_len - 1].index;
  return state->snapshot.index;
}

static void
test_crash_at_each_write_point (void **state)
{
  (void)state;
  for (int round = 0; round < 40; round++)
    for (int point = 1; point < 60; point++)
      {
        struct store_state loaded;
        struct status st;
        struct memory_disk *d = memory_disk_create (&rng);
        memory_disk_crash_at (d, point);
        struct store *s = open_store (d);
        assert_int_equal (load (s, &loaded, &st), 0);
        uint64_t acknowledged = run_writes (s);
        bool crashed = memory_disk_crashed (d);
        store_close (s);
        memory_disk_restart (d);
        s = open_store (d);
        if (load (s, &loaded, &st))
          fail_msg ("crash at call %d: %s", point, st.message);
        assert_true (last_stored (&loaded) >= acknowledged);
        assert_true (acknowledged < 4 || loaded.snapshot.index == 3);
        if (loaded.snapshot.index == 3)
          assert_memory_equal (loaded.snapshot_data.data, "state at 3", 10);
        store_state_free (&loaded);
        store_close (s);
        memory_disk_free (d);
        if (!crashed)
          break;
      }
}

static void
test_failed_disk_stays_failed (void **state)
{
  (void)state;
  for (int point = 1; point < 4; point++)
    {
      struct store_state loaded;
      struct status st;
      struct memory_disk *d = memory_disk_create (&rng);
      struct store *s = open_store (d);
      assert_int_equal (load (s, &loaded, &st), 0);
      assert_int_equal (save (s, 0, "", &st), 0);
      memory_disk_fail_at (d, point);
      uint64_t i = 1;
      while (write_entry (s, i, &st) == 0)
        i++;
      assert_int_equal (st.kind, STATUS_DISK_FAILED);
      assert_non_null (strstr (st.message, "No space left"));
      assert_int_equal (write_entry (s, i, &st), -1);
      assert_int_equal (st.kind, STATUS_DISK_FAILED);
      store_close (s);
      memory_disk_free (d);
    }
}

/* Guards against a store that accepts appends after a failed write without having written again
   what the failure may have lost.  */
static void
test_saved_snapshot_ends_a_failure (void **state)
{
  (void)state;
  for (int point = 1; point < 3; point++)
    {
      struct store_state loaded;
      struct status st;
      struct memory_disk *d = memory_disk_create (&rng);
      struct store *s = open_store (d);
      assert_int_equal (load (s, &loaded, &st), 0);
      assert_int_equal (save (s, 0, "", &st), 0);
      memory_disk_fail_at (d, point);
      assert_int_equal (write_entry (s, 1, &st), -1);
      memory_disk_set_full (d, true);
      assert_int_equal (save (s, 3, "state at 3", &st), -1);
      assert_int_equal (write_entry (s, 4, &st), -1);
      memory_disk_set_full (d, false);
      assert_int_equal (save (s, 3, "state at 3", &st), 0);
      assert_int_equal (write_entry (s, 4, &st), 0);
      store_close (s);
      memory_disk_crash (d);
      s = open_store (d);
      assert_int_equal (load (s, &loaded, &st), 0);
      assert_int_equal (loaded.snapshot.index, 3);
      assert_int_equal (last_stored (&loaded), 4);
      store_state_free (&loaded);
      store_close (s);
      memory_disk_free (d);
    }
}

static void
test_folder_is_locked (void **state)
{
  char folder[] = "/tmp/test_journal.XXXXXX";
  char path[64];
  struct store_state loaded;
  struct status st;
  (void)state;
  assert_non_null (mkdtemp (folder));
  struct store *s = journal_open (journal_folder_io (folder, &st), "real", &st);
  assert_non_null (s);
  assert_null (journal_open (journal_folder_io (folder, &st), "real", &st));
  assert_int_equal (st.kind, STATUS_DISK_FAILED);
  assert_int_equal (load (s, &loaded, &st), 0);
  assert_int_equal (run_writes (s), 6);
  store_close (s);
  s = journal_open (journal_folder_io (folder, &st), "real", &st);
  assert_non_null (s);
  assert_int_equal (load (s, &loaded, &st), 0);
  assert_int_equal (last_stored (&loaded), 6);
  assert_int_equal (loaded.snapshot.index, 3);
  char part[5];
  assert_int_equal (s->ops->read_snapshot (s, 6, part, 4, &st), 0);
  assert_memory_equal (part, "at 3", 4);
  store_state_free (&loaded);
  store_close (s);
  static const char *const names[] = { "log", "snapshot", "lock" };
  for (size_t i = 0; i < 3; i++)
    {
      snprintf (path, sizeof path, "%s/%s", folder, names[i]);
      assert_int_equal (unlink (path), 0);
    }
  assert_int_equal (rmdir (folder), 0);
}

int
main (void)
{
  struct log_config quiet = { .level = LOG_ERROR };
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_torn_tail_is_truncated),
    cmocka_unit_test (test_inner_damage_is_rejected),
    cmocka_unit_test (test_crash_at_each_write_point),
    cmocka_unit_test (test_failed_disk_stays_failed),
    cmocka_unit_test (test_saved_snapshot_ends_a_failure),
    cmocka_unit_test (test_folder_is_locked),
  };
  log_configure (&quiet);
  rng_init (&rng, 11);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
