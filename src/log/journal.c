#include "journal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "journal_codec.h"
#include "log.h"

#define LOG_FILE "log"
#define LOG_TEMPORARY "log.new"
#define SNAPSHOT_FILE "snapshot"
#define SNAPSHOT_TEMPORARY "snapshot.new"
#define TEXT_BYTES 64
#define SCRATCH_KEEP_BYTES (1u << 20) /* larger encode buffers are freed after use */

struct journal
{
  struct store store; /* first member: the vtable */
  struct journal_io *io;
  char name[TEXT_BYTES];
  int log;                  /* file handle, -1 before the first save */
  int snapshot;             /* file handle, -1 when there is none */
  uint64_t log_size;        /* where the next frame goes */
  uint64_t sequence;        /* number of the last frame */
  uint64_t snapshot_offset; /* where the state begins in the snapshot file */
  struct buffer scratch;
  bool failed;
  char reason[TEXT_BYTES]; /* why it failed */
};

static int
set_failed_status (struct journal *j, struct status *st)
{
  return status_set (st, STATUS_DISK_FAILED, "journal %s: %s; nothing is acknowledged", j->name,
                     j->reason);
}

/* Records a failed call on FILE; later writes are refused until a snapshot is saved.  */
static int
record_failure (struct journal *j, const char *call, const char *file, struct status *st)
{
  j->failed = true;
  snprintf (j->reason, sizeof j->reason, "%s of %s failed: %s", call, file, strerror (errno));
  return set_failed_status (j, st);
}

static int
read_file (struct journal *j, const char *name, int *file, struct buffer *out, struct status *st)
{
  *file = j->io->ops->open (j->io, name, false);
  if (*file < 0 && errno == ENOENT)
    return 0;
  if (*file < 0)
    return record_failure (j, "open", name, st);
  int64_t size = j->io->ops->size (j->io, *file);
  if (size < 0)
    return record_failure (j, "stat", name, st);
  buffer_reserve (out, (size_t)size);
  ssize_t n = j->io->ops->read (j->io, *file, 0, out->data, (size_t)size);
  if (n != size)
    return record_failure (j, "read", name, st);
  out->len = (size_t)size;
  return 0;
}

static int
report_damage (const struct journal *j, const char *file, size_t offset, const char *what,
               struct status *st)
{
  return status_set (st, STATUS_JOURNAL_DAMAGED, "journal %s: %s: damaged record at byte %zu: %s",
                     j->name, file, offset, what);
}

static int
load_snapshot (struct journal *j, struct store_state *out, struct status *st)
{
  struct buffer raw;
  buffer_init (&raw);
  int rc = read_file (j, SNAPSHOT_FILE, &j->snapshot, &raw, st);
  if (rc == 0 && j->snapshot >= 0)
    {
      uint64_t sequence;
      const char *payload;
      size_t len;
      size_t data_offset;
      if (frame_read (raw.data, raw.len, 0, &sequence, &payload, &len) != FRAME_VALID
          || !snapshot_decode (payload, len, &out->snapshot, &data_offset))
        rc = report_damage (j, SNAPSHOT_FILE, 0, "the snapshot fails its checksum", st);
      else
        {
          buffer_append (&out->snapshot_data, payload + data_offset, len - data_offset);
          j->snapshot_offset = FRAME_HEADER_BYTES + data_offset;
        }
    }
  buffer_close (&raw);
  return rc;
}

/* Truncates a torn frame at OFFSET; fails when an intact frame follows it.  */
static int
truncate_torn_frame (struct journal *j, const struct buffer *raw, size_t offset, struct status *st)
{
  size_t found;
  if (offset == 0)
    return report_damage (j, LOG_FILE, 0, "the first record fails its checksum", st);
  if (frame_search (raw->data, raw->len, offset, j->sequence, &found))
    {
      char what[TEXT_BYTES];
      snprintf (what, sizeof what, "an intact record follows at byte %zu", found);
      return report_damage (j, LOG_FILE, offset, what, st);
    }
  log_line (LOG_WARN, "journal %s: torn write of %zu bytes at byte %zu cut", j->name,
            raw->len - offset, offset);
  if (j->io->ops->truncate (j->io, j->log, offset))
    return record_failure (j, "truncate", LOG_FILE, st);
  if (j->io->ops->sync (j->io, j->log))
    return record_failure (j, "sync", LOG_FILE, st);
  return 0;
}

static int
parse_log (struct journal *j, const struct buffer *raw, struct store_state *out, struct status *st)
{
  size_t offset = 0;
  size_t capacity = 0;
  for (;;)
    {
      uint64_t sequence;
      const char *payload;
      size_t len;
      enum frame_check check = frame_read (raw->data, raw->len, offset, &sequence, &payload, &len);
      if (check == FRAME_VALID && sequence != j->sequence + 1)
        return report_damage (j, LOG_FILE, offset, "record out of sequence", st);
      if (check == FRAME_NO_DATA && offset == 0)
        return report_damage (j, LOG_FILE, 0, "the file is empty", st);
      if (check == FRAME_INVALID && truncate_torn_frame (j, raw, offset, st))
        return -1;
      if (check != FRAME_VALID)
        break;
      if (!batch_decode (payload, len, out, &capacity))
        return report_damage (j, LOG_FILE, offset, "record cannot be decoded", st);
      j->sequence = sequence;
      offset += FRAME_HEADER_BYTES + len;
    }
  j->log_size = offset;
  j->store.log_bytes = offset;
  return 0;
}

/* A crash between the renames of a received snapshot and its log may leave unusable entries: they
   start after a gap, end before the snapshot's index or have another term there.  */
static bool
log_matches_snapshot (const struct store_state *s)
{
  if (s->entries_len == 0 || s->entries[0].index == s->snapshot.index + 1)
    return true;
  if (s->entries[0].index > s->snapshot.index)
    return false;
  uint64_t position = s->snapshot.index - s->entries[0].index;
  return position < s->entries_len && s->entries[position].term == s->snapshot.term;
}

static int
write_file (struct journal *j, const char *name, const char *temporary, const struct buffer *data,
            int *file, struct status *st)
{
  const struct journal_io_ops *io = j->io->ops;
  int next = io->open (j->io, temporary, true);
  if (next < 0)
    return record_failure (j, "create", temporary, st);
  if (io->write (j->io, next, 0, data->data, data->len) < 0)
    {
      record_failure (j, "write", temporary, st);
      io->close (j->io, next);
      return -1;
    }
  j->store.syncs += 2;
  if (io->sync (j->io, next) || io->rename (j->io, temporary, name) || io->sync_folder (j->io))
    {
      record_failure (j, "sync", name, st);
      io->close (j->io, next);
      return -1;
    }
  if (*file >= 0)
    io->close (j->io, *file);
  *file = next;
  return 0;
}

static int
rewrite_log (struct journal *j, const struct raft_hard_state *hard, const raft_entry *keep,
             size_t len, struct status *st)
{
  struct buffer b;
  buffer_init (&b);
  frame_begin (&b);
  batch_encode (&b, hard, keep, len);
  frame_end (&b, 0, 1);
  int rc = write_file (j, LOG_FILE, LOG_TEMPORARY, &b, &j->log, st);
  if (rc == 0)
    {
      j->sequence = 1;
      j->log_size = b.len;
      j->store.log_bytes = b.len;
    }
  buffer_close (&b);
  return rc;
}

static int
drop_mismatched_log (struct journal *j, struct store_state *out, struct status *st)
{
  if (log_matches_snapshot (out))
    return 0;
  for (size_t i = 0; i < out->entries_len; i++)
    free (out->entries[i].data.data_val);
  out->entries_len = 0;
  return rewrite_log (j, &out->hard, NULL, 0, st);
}

static int
journal_load (struct store *s, struct store_state *out, struct status *st)
{
  struct journal *j = (struct journal *)s;
  struct buffer raw;
  memset (out, 0, sizeof *out);
  buffer_init (&raw);
  int rc = load_snapshot (j, out, st);
  if (rc == 0)
    rc = read_file (j, LOG_FILE, &j->log, &raw, st);
  if (rc == 0 && j->log < 0 && out->snapshot.index > 0)
    rc = report_damage (j, LOG_FILE, 0, "snapshot present but log missing", st);
  if (rc == 0 && j->log >= 0 && j->snapshot < 0)
    rc = report_damage (j, SNAPSHOT_FILE, 0, "log present but snapshot missing", st);
  if (rc == 0 && j->log >= 0)
    rc = parse_log (j, &raw, out, st);
  if (rc == 0 && j->log >= 0)
    rc = drop_mismatched_log (j, out, st);
  /* The node sends no reply before its first log exists.  */
  out->empty = j->log < 0;
  buffer_close (&raw);
  return rc;
}

static int
journal_write (struct store *s, const struct raft_hard_state *hard, const raft_entry *entries,
               size_t len, struct status *st)
{
  struct journal *j = (struct journal *)s;
  if (j->failed)
    return set_failed_status (j, st);
  j->scratch.len = 0;
  frame_begin (&j->scratch);
  batch_encode (&j->scratch, hard, entries, len);
  frame_end (&j->scratch, 0, j->sequence + 1);
  if (j->io->ops->write (j->io, j->log, j->log_size, j->scratch.data, j->scratch.len) < 0)
    return record_failure (j, "write", LOG_FILE, st);
  j->store.syncs++;
  if (j->io->ops->sync (j->io, j->log))
    return record_failure (j, "sync", LOG_FILE, st);
  j->sequence++;
  j->log_size += j->scratch.len;
  j->store.log_bytes = j->log_size;
  if (j->scratch.capacity > SCRATCH_KEEP_BYTES)
    buffer_close (&j->scratch);
  return 0;
}

static int
journal_save_snapshot (struct store *s, const struct raft_snapshot *snapshot, const void *data,
                       size_t data_len, const struct raft_hard_state *hard, const raft_entry *keep,
                       size_t keep_len, struct status *st)
{
  struct journal *j = (struct journal *)s;
  struct buffer b;
  buffer_init (&b);
  frame_begin (&b);
  snapshot_encode (&b, snapshot, hard->store);
  uint64_t offset = b.len;
  buffer_append (&b, data, data_len);
  frame_end (&b, 0, 1);
  int rc = write_file (j, SNAPSHOT_FILE, SNAPSHOT_TEMPORARY, &b, &j->snapshot, st);
  buffer_close (&b);
  if (rc)
    return rc;
  j->snapshot_offset = offset;
  if (rewrite_log (j, hard, keep, keep_len, st))
    return -1;
  j->failed = false;
  return 0;
}

static int
journal_read_snapshot (struct store *s, uint64_t offset, void *data, size_t len, struct status *st)
{
  struct journal *j = (struct journal *)s;
  if (j->snapshot < 0)
    return status_set (st, STATUS_INTERNAL, "journal %s holds no snapshot", j->name);
  ssize_t n = j->io->ops->read (j->io, j->snapshot, j->snapshot_offset + offset, data, len);
  if (n != (ssize_t)len)
    return status_set (st, STATUS_DISK_FAILED, "journal %s: snapshot read failed", j->name);
  return 0;
}

static void
journal_close (struct store *s)
{
  struct journal *j = (struct journal *)s;
  if (j->log >= 0)
    j->io->ops->close (j->io, j->log);
  if (j->snapshot >= 0)
    j->io->ops->close (j->io, j->snapshot);
  j->io->ops->free (j->io);
  buffer_close (&j->scratch);
  free (j);
}

static const struct store_ops journal_ops
    = { journal_load, journal_write, journal_save_snapshot, journal_read_snapshot, journal_close };

struct store *
journal_open (struct journal_io *io, const char *name, struct status *st)
{
  if (!io)
    return NULL;
  if (io->ops->lock (io))
    {
      status_set (st, STATUS_DISK_FAILED, "journal %s: %s", name,
                  errno == EWOULDBLOCK ? "folder is locked by another process" : strerror (errno));
      io->ops->free (io);
      return NULL;
    }
  struct journal *j = xcalloc (1, sizeof *j);
  j->store.ops = &journal_ops;
  j->io = io;
  j->log = -1;
  j->snapshot = -1;
  snprintf (j->name, sizeof j->name, "%s", name);
  return &j->store;
}

void
store_close (struct store *s)
{
  if (s)
    s->ops->close (s);
}

void
store_state_free (struct store_state *state)
{
  for (size_t i = 0; i < state->entries_len; i++)
    free (state->entries[i].data.data_val);
  free (state->entries);
  raft_members_free (&state->snapshot.members);
  buffer_close (&state->snapshot_data);
  memset (state, 0, sizeof *state);
}
