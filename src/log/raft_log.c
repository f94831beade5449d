#include "raft_log.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define MIN_CAPACITY 64

void
raft_log_init (struct raft_log *l, uint64_t first, uint64_t prev_term)
{
  memset (l, 0, sizeof *l);
  l->first = first;
  l->prev_term = prev_term;
}

static void
free_range (struct raft_log *l, size_t from, size_t to)
{
  for (size_t i = from; i < to; i++)
    free (l->entries[l->head + i].data.data_val);
}

void
raft_log_close (struct raft_log *l)
{
  free_range (l, 0, l->len);
  free (l->entries);
  free (l->end_bytes);
  raft_log_init (l, 1, 0);
}

uint64_t
raft_log_last (const struct raft_log *l)
{
  return l->first + l->len - 1;
}

const raft_entry *
raft_log_at (const struct raft_log *l, uint64_t index)
{
  if (index < l->first || index - l->first >= l->len)
    return NULL;
  return &l->entries[l->head + (index - l->first)];
}

bool
raft_log_term (const struct raft_log *l, uint64_t index, uint64_t *term)
{
  if (index + 1 == l->first)
    {
      *term = l->prev_term;
      return true;
    }
  const raft_entry *e = raft_log_at (l, index);
  *term = e ? e->term : 0;
  return e != NULL;
}

static void
reserve_entry (struct raft_log *l)
{
  if (l->head + l->len < l->capacity)
    return;
  if (l->head > l->capacity / 2)
    {
      memmove (l->entries, l->entries + l->head, l->len * sizeof *l->entries);
      memmove (l->end_bytes, l->end_bytes + l->head, l->len * sizeof *l->end_bytes);
      l->head = 0;
      return;
    }
  l->capacity = l->capacity ? l->capacity * 2 : MIN_CAPACITY;
  l->entries = xrealloc (l->entries, l->capacity * sizeof *l->entries);
  l->end_bytes = xrealloc (l->end_bytes, l->capacity * sizeof *l->end_bytes);
}

void
raft_log_append (struct raft_log *l, uint64_t term, raft_entry_kind kind, const void *data,
                 size_t len)
{
  reserve_entry (l);
  size_t at = l->head + l->len;
  raft_entry *e = &l->entries[at];
  e->index = l->first + l->len;
  e->term = term;
  e->kind = kind;
  e->data.data_len = (u_int)len;
  e->data.data_val = xmalloc (len);
  if (len > 0)
    memcpy (e->data.data_val, data, len);
  l->end_bytes[at] = raft_log_end_bytes (l, e->index) + len + RAFT_ENTRY_OVERHEAD_BYTES;
  l->len++;
}

void
raft_log_truncate (struct raft_log *l, uint64_t from)
{
  if (from > raft_log_last (l))
    return;
  size_t keep = from > l->first ? (size_t)(from - l->first) : 0;
  free_range (l, keep, l->len);
  l->len = keep;
}

void
raft_log_drop (struct raft_log *l, uint64_t before)
{
  if (before <= l->first || before > raft_log_last (l) + 1)
    return;
  size_t count = (size_t)(before - l->first);
  uint64_t term = 0;
  raft_log_term (l, before - 1, &term);
  uint64_t start_bytes = raft_log_end_bytes (l, before - 1);
  free_range (l, 0, count);
  l->head += count;
  l->len -= count;
  l->first = before;
  l->prev_term = term;
  l->start_bytes = start_bytes;
}

void
raft_log_reset (struct raft_log *l, uint64_t first, uint64_t prev_term)
{
  free_range (l, 0, l->len);
  l->head = 0;
  l->len = 0;
  l->first = first;
  l->prev_term = prev_term;
}

uint64_t
raft_log_end_bytes (const struct raft_log *l, uint64_t index)
{
  if (index < l->first || l->len == 0)
    return l->start_bytes;
  size_t at = (size_t)(index - l->first);
  if (at >= l->len)
    at = l->len - 1;
  return l->end_bytes[l->head + at];
}

uint64_t
raft_log_held_bytes (const struct raft_log *l)
{
  return raft_log_end_bytes (l, raft_log_last (l)) - l->start_bytes;
}
