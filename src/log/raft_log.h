/* raft_log: the entries of one raft that are held in memory.

   NOTES
   Entries are consecutive and contiguous in one array.  `end_bytes` holds the running size of the
   log in bytes after each entry, so that the bytes between two indexes are one subtraction.  */

#ifndef SASSAFRAS_RAFT_LOG_H
#define SASSAFRAS_RAFT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer_proto.h"

#define RAFT_ENTRY_OVERHEAD_BYTES 64 /* memory and encoding of an entry beside its data */

struct raft_log
{
  raft_entry *entries;
  uint64_t *end_bytes;
  size_t head; /* array position of FIRST; positions before it are unused */
  size_t len;
  size_t capacity;
  uint64_t first;       /* index of the oldest entry held */
  uint64_t prev_term;   /* term of the entry before FIRST */
  uint64_t start_bytes; /* running size before FIRST */
};

void raft_log_init (struct raft_log *l, uint64_t first, uint64_t prev_term); /* An empty log. */
void raft_log_close (struct raft_log *l);                                    /* Frees all. */
uint64_t raft_log_last (const struct raft_log *l); /* Index of the newest entry, or first - 1. */
bool raft_log_term (const struct raft_log *l, uint64_t index,
                    uint64_t *term); /* False when INDEX is not held. */
const raft_entry *raft_log_at (const struct raft_log *l, uint64_t index); /* NULL if not held. */
void raft_log_append (struct raft_log *l, uint64_t term, raft_entry_kind kind, const void *data,
                      size_t len);                          /* Copies DATA. */
void raft_log_truncate (struct raft_log *l, uint64_t from); /* Drops FROM and all after it. */
void raft_log_drop (struct raft_log *l, uint64_t before);   /* Drops the entries before BEFORE. */
void raft_log_reset (struct raft_log *l, uint64_t first, uint64_t prev_term); /* Drops all. */
uint64_t raft_log_end_bytes (const struct raft_log *l,
                             uint64_t index);            /* Running size after INDEX, clamped. */
uint64_t raft_log_held_bytes (const struct raft_log *l); /* Bytes held. */

#endif
