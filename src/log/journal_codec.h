/* journal_codec: encoding of the journal's files, for journal.c only.

   NOTES
   Numbers are big-endian.  Frame: magic u32, payload length u32, sequence u64, crc u32, payload.
   Payload of a log frame: term, vote, store u64; count u32; entries: index, term u64, kind,
   length u32, data.  The snapshot file is one frame whose payload starts with index, term, store
   u64, then the members (XDR, preceded by their length u32); the state follows to the end.  */

#ifndef SASSAFRAS_JOURNAL_CODEC_H
#define SASSAFRAS_JOURNAL_CODEC_H

#include "buffer.h"
#include "journal.h"

#define FRAME_HEADER_BYTES 20u
#define FRAME_MAX_BYTES (512u << 20)

enum frame_check
{
  FRAME_VALID,
  FRAME_INVALID,
  FRAME_NO_DATA, /* no data left */
};

size_t frame_begin (struct buffer *b); /* Reserves a header; its offset. */
void frame_end (struct buffer *b, size_t start, uint64_t sequence); /* Fills the header in. */
enum frame_check frame_read (const char *data, size_t len, size_t offset, uint64_t *sequence,
                             const char **payload, size_t *payload_len); /* Checks one frame. */
bool frame_search (const char *data, size_t len, size_t offset, uint64_t sequence,
                   size_t *found); /* Finds an intact frame after OFFSET with a later number. */
void batch_encode (struct buffer *b, const struct raft_hard_state *hard, const raft_entry *entries,
                   size_t len);
bool batch_decode (const char *payload, size_t len, struct store_state *state,
                   size_t *capacity); /* Applies a batch to STATE; false when malformed. */
void snapshot_encode (struct buffer *b, const struct raft_snapshot *snapshot, uint64_t store);
bool snapshot_decode (const char *payload, size_t len, struct raft_snapshot *snapshot,
                      size_t *data_offset); /* Where the state begins in the payload. */

#endif
