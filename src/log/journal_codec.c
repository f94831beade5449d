#include "journal_codec.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#define FRAME_MAGIC 0x53464a31u /* "SFJ1" */
#define LENGTH_OFFSET 4
#define SEQUENCE_OFFSET 8
#define CRC_OFFSET 16

static void
store_u32 (char *p, uint32_t v)
{
  for (int i = 0; i < 4; i++)
    p[i] = (char)(v >> (24 - 8 * i));
}

static void
store_u64 (char *p, uint64_t v)
{
  store_u32 (p, (uint32_t)(v >> 32));
  store_u32 (p + 4, (uint32_t)v);
}

static uint32_t
load_u32 (const char *p)
{
  const unsigned char *u = (const unsigned char *)p;
  return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 | (uint32_t)u[2] << 8 | u[3];
}

static uint64_t
load_u64 (const char *p)
{
  return (uint64_t)load_u32 (p) << 32 | load_u32 (p + 4);
}

static void
put_u32 (struct buffer *b, uint32_t v)
{
  char raw[4];
  store_u32 (raw, v);
  buffer_append (b, raw, sizeof raw);
}

static void
put_u64 (struct buffer *b, uint64_t v)
{
  char raw[8];
  store_u64 (raw, v);
  buffer_append (b, raw, sizeof raw);
}

/* A cursor over encoded data; FAILED is set by a read past the end.  */
struct reader
{
  const char *p;
  size_t left;
  bool failed;
};

static const char *
read_bytes (struct reader *r, size_t len)
{
  if (r->failed || len > r->left)
    {
      r->failed = true;
      return NULL;
    }
  const char *p = r->p;
  r->p += len;
  r->left -= len;
  return p;
}

static uint32_t
get_u32 (struct reader *r)
{
  const char *p = read_bytes (r, 4);
  return p ? load_u32 (p) : 0;
}

static uint64_t
get_u64 (struct reader *r)
{
  const char *p = read_bytes (r, 8);
  return p ? load_u64 (p) : 0;
}

static uint32_t
frame_crc (const char *header, const char *payload, size_t len)
{
  uLong crc = crc32 (0, (const Bytef *)header + LENGTH_OFFSET, CRC_OFFSET - LENGTH_OFFSET);
  return (uint32_t)crc32_z (crc, (const Bytef *)payload, len);
}

size_t
frame_begin (struct buffer *b)
{
  static const char blank[FRAME_HEADER_BYTES];
  size_t start = b->len;
  buffer_append (b, blank, sizeof blank);
  return start;
}

void
frame_end (struct buffer *b, size_t start, uint64_t sequence)
{
  char *header = b->data + start;
  size_t len = b->len - start - FRAME_HEADER_BYTES;
  store_u32 (header, FRAME_MAGIC);
  store_u32 (header + LENGTH_OFFSET, (uint32_t)len);
  store_u64 (header + SEQUENCE_OFFSET, sequence);
  store_u32 (header + CRC_OFFSET, frame_crc (header, header + FRAME_HEADER_BYTES, len));
}

enum frame_check
frame_read (const char *data, size_t len, size_t offset, uint64_t *sequence, const char **payload,
            size_t *payload_len)
{
  if (offset == len)
    return FRAME_NO_DATA;
  if (len - offset < FRAME_HEADER_BYTES)
    return FRAME_INVALID;
  const char *header = data + offset;
  size_t size = load_u32 (header + LENGTH_OFFSET);
  if (load_u32 (header) != FRAME_MAGIC || size > FRAME_MAX_BYTES
      || size > len - offset - FRAME_HEADER_BYTES)
    return FRAME_INVALID;
  if (frame_crc (header, header + FRAME_HEADER_BYTES, size) != load_u32 (header + CRC_OFFSET))
    return FRAME_INVALID;
  *sequence = load_u64 (header + SEQUENCE_OFFSET);
  *payload = header + FRAME_HEADER_BYTES;
  *payload_len = size;
  return FRAME_VALID;
}

bool
frame_search (const char *data, size_t len, size_t offset, uint64_t sequence, size_t *found)
{
  char magic[4];
  store_u32 (magic, FRAME_MAGIC);
  for (size_t at = offset + 1; at + FRAME_HEADER_BYTES <= len; at++)
    {
      const char *hit = memmem (data + at, len - at, magic, sizeof magic);
      const char *payload;
      size_t payload_len;
      uint64_t number;
      if (!hit)
        return false;
      at = (size_t)(hit - data);
      if (frame_read (data, len, at, &number, &payload, &payload_len) != FRAME_VALID
          || number <= sequence)
        continue;
      *found = at;
      return true;
    }
  return false;
}

void
batch_encode (struct buffer *b, const struct raft_hard_state *hard, const raft_entry *entries,
              size_t len)
{
  put_u64 (b, hard->term);
  put_u64 (b, hard->vote);
  put_u64 (b, hard->store);
  put_u32 (b, (uint32_t)len);
  for (size_t i = 0; i < len; i++)
    {
      put_u64 (b, entries[i].index);
      put_u64 (b, entries[i].term);
      put_u32 (b, (uint32_t)entries[i].kind);
      put_u32 (b, entries[i].data.data_len);
      buffer_append (b, entries[i].data.data_val, entries[i].data.data_len);
    }
}

/* Drops the entries from INDEX on; false when a gap would remain.  */
static bool
truncate_entries (struct store_state *state, uint64_t index)
{
  if (state->entries_len == 0)
    return true;
  uint64_t first = state->entries[0].index;
  if (index > first + state->entries_len)
    return false;
  size_t keep = index > first ? (size_t)(index - first) : 0;
  for (size_t i = keep; i < state->entries_len; i++)
    free (state->entries[i].data.data_val);
  state->entries_len = keep;
  return true;
}

static bool
decode_entry (struct reader *r, struct store_state *state, size_t *capacity)
{
  raft_entry e;
  e.index = get_u64 (r);
  e.term = get_u64 (r);
  e.kind = (raft_entry_kind)get_u32 (r);
  e.data.data_len = get_u32 (r);
  const char *data = read_bytes (r, e.data.data_len);
  if (r->failed || !truncate_entries (state, e.index))
    return false;
  e.data.data_val = xmalloc (e.data.data_len);
  memcpy (e.data.data_val, data, e.data.data_len);
  if (state->entries_len == *capacity)
    {
      *capacity = *capacity ? *capacity * 2 : 1024;
      state->entries = xrealloc (state->entries, *capacity * sizeof *state->entries);
    }
  state->entries[state->entries_len++] = e;
  return true;
}

bool
batch_decode (const char *payload, size_t len, struct store_state *state, size_t *capacity)
{
  struct reader r = { payload, len, false };
  state->hard.term = get_u64 (&r);
  state->hard.vote = get_u64 (&r);
  state->hard.store = get_u64 (&r);
  uint32_t count = get_u32 (&r);
  for (uint32_t i = 0; i < count; i++)
    if (!decode_entry (&r, state, capacity))
      return false;
  return !r.failed && r.left == 0;
}

void
snapshot_encode (struct buffer *b, const struct raft_snapshot *snapshot, uint64_t store)
{
  XDR xdr;
  raft_members *members = (raft_members *)&snapshot->members;
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_raft_members, members);
  put_u64 (b, snapshot->index);
  put_u64 (b, snapshot->term);
  put_u64 (b, store);
  put_u32 (b, size);
  buffer_reserve (b, size);
  xdrmem_create (&xdr, b->data + b->len, size, XDR_ENCODE);
  xdr_raft_members (&xdr, members);
  xdr_destroy (&xdr);
  b->len += size;
}

bool
snapshot_decode (const char *payload, size_t len, struct raft_snapshot *snapshot,
                 size_t *data_offset)
{
  struct reader r = { payload, len, false };
  memset (snapshot, 0, sizeof *snapshot);
  snapshot->index = get_u64 (&r);
  snapshot->term = get_u64 (&r);
  get_u64 (&r);
  uint32_t size = get_u32 (&r);
  const char *members = read_bytes (&r, size);
  if (r.failed)
    return false;
  XDR xdr;
  xdrmem_create (&xdr, (char *)members, size, XDR_DECODE);
  bool ok = xdr_raft_members (&xdr, &snapshot->members);
  xdr_destroy (&xdr);
  *data_offset = (size_t)(r.p - payload);
  snapshot->bytes = r.left;
  return ok;
}
