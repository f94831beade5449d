/* A volatile store: holds only what a running learner needs, the latest snapshot.  */

#include "journal.h"

#include <stdlib.h>
#include <string.h>

struct memory_store
{
  struct store store; /* first member: the vtable */
  struct buffer data; /* state of the latest snapshot */
};

static int
memory_load (struct store *s, struct store_state *out, struct status *st)
{
  (void)s;
  (void)st;
  memset (out, 0, sizeof *out);
  out->empty = true;
  return 0;
}

static int
memory_write (struct store *s, const struct raft_hard_state *hard, const raft_entry *entries,
              size_t len, struct status *st)
{
  (void)s;
  (void)hard;
  (void)entries;
  (void)len;
  (void)st;
  return 0;
}

static int
memory_save_snapshot (struct store *s, const struct raft_snapshot *snapshot, const void *data,
                      size_t data_len, const struct raft_hard_state *hard, const raft_entry *keep,
                      size_t keep_len, struct status *st)
{
  struct memory_store *m = (struct memory_store *)s;
  (void)snapshot;
  (void)hard;
  (void)keep;
  (void)keep_len;
  (void)st;
  m->data.len = 0;
  buffer_append (&m->data, data, data_len);
  return 0;
}

static int
memory_read_snapshot (struct store *s, uint64_t offset, void *data, size_t len, struct status *st)
{
  struct memory_store *m = (struct memory_store *)s;
  if (offset > m->data.len || len > m->data.len - offset)
    return status_set (st, STATUS_INTERNAL, "snapshot read beyond its end");
  memcpy (data, m->data.data + offset, len);
  return 0;
}

static void
memory_close (struct store *s)
{
  struct memory_store *m = (struct memory_store *)s;
  buffer_close (&m->data);
  free (m);
}

static const struct store_ops memory_ops
    = { memory_load, memory_write, memory_save_snapshot, memory_read_snapshot, memory_close };

struct store *
memory_store_open (void)
{
  struct memory_store *m = xcalloc (1, sizeof *m);
  m->store.ops = &memory_ops;
  m->store.is_volatile = true;
  return &m->store;
}
