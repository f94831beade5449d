/* journal: durable storage of one group's log.

   NOTES
   struct store is the interface that a group uses; journal_open opens one in a folder and
   memory_store_open creates one in memory for a VM without a disk, which stays a learner.

   A folder holds "lock", "log" and "snapshot".  The log is a sequence of frames (records in
   messages), one per batch: magic, payload length, sequence number, crc32 (zlib) of header and
   payload, payload.  A frame is written and synced before the next one begins.  So an invalid last
   frame is a torn write and is truncated, while an invalid frame with an intact one after it is
   corruption: opening fails with STATUS_JOURNAL_DAMAGED and the frame's offset.  Corruption of the
   last frame cannot be distinguished from a torn write.  A snapshot is written to a temporary file,
   synced and renamed; then the log is rewritten in the same way without the entries it covers.

   After a failed write or sync the store refuses to append with STATUS_DISK_FAILED: the kernel may
   have dropped the dirty pages, so a later successful sync does not prove that data is durable.
   Saving a snapshot remains possible, as it writes both files anew; when it succeeds the store
   accepts appends again.  */

#ifndef SASSAFRAS_JOURNAL_H
#define SASSAFRAS_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "buffer.h"
#include "raft.h"
#include "status.h"

/* Contents of a store when it is opened.  */
struct store_state
{
  bool empty; /* nothing was ever stored */
  struct raft_hard_state hard;
  struct raft_snapshot snapshot;
  struct buffer snapshot_data;
  raft_entry *entries; /* consecutive, owned by the caller */
  size_t entries_len;
};

struct store;

struct store_ops
{
  /* Reads everything; called once, before any write.  */
  int (*load) (struct store *s, struct store_state *out, struct status *st);
  /* Makes hard state and entries durable; entries replace any stored from entries[0].index on.  */
  int (*write) (struct store *s, const struct raft_hard_state *hard, const raft_entry *entries,
                size_t len, struct status *st);
  /* Replaces the snapshot, then the log by KEEP; also after a failed write.  */
  int (*save_snapshot) (struct store *s, const struct raft_snapshot *snapshot, const void *data,
                        size_t data_len, const struct raft_hard_state *hard, const raft_entry *keep,
                        size_t keep_len, struct status *st);
  /* Reads LEN bytes of the snapshot's state at OFFSET.  */
  int (*read_snapshot) (struct store *s, uint64_t offset, void *data, size_t len,
                        struct status *st);
  void (*close) (struct store *s);
};

struct store
{
  const struct store_ops *ops;
  bool is_volatile;   /* contents are lost on restart */
  uint64_t syncs;     /* fsync calls, for measurements */
  uint64_t log_bytes; /* size of the log file */
};

struct journal_io;

/* Files of one folder.  Every call returns -1 and sets errno on failure.  */
struct journal_io_ops
{
  int (*open) (struct journal_io *io, const char *name, bool create); /* a handle */
  ssize_t (*read) (struct journal_io *io, int file, uint64_t offset, void *data, size_t len);
  ssize_t (*write) (struct journal_io *io, int file, uint64_t offset, const void *data, size_t len);
  int64_t (*size) (struct journal_io *io, int file);
  int (*truncate) (struct journal_io *io, int file, uint64_t size);
  int (*sync) (struct journal_io *io, int file);
  int (*rename) (struct journal_io *io, const char *from, const char *to);
  int (*sync_folder) (struct journal_io *io);
  int (*lock) (struct journal_io *io); /* fails with EWOULDBLOCK when another process holds it */
  void (*close) (struct journal_io *io, int file);
  void (*free) (struct journal_io *io);
};

struct journal_io
{
  const struct journal_io_ops *ops;
};

struct journal_io *journal_folder_io (const char *folder,
                                      struct status *st); /* Creates FOLDER when missing. */
struct store *
journal_open (struct journal_io *io, const char *name,
              struct status *st); /* Takes ownership of IO, NULL fails; NAME is for messages. */
struct store *memory_store_open (void);            /* A volatile store, for learners. */
void store_close (struct store *s);                /* Closes files and frees S. */
void store_state_free (struct store_state *state); /* Frees what load returned. */

#endif
