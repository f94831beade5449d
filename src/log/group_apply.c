/* Applying committed entries, snapshots and sending.  */

#include "group_internal.h"

#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "log.h"
#include "raft_log.h"

#define KEEP_DIVISOR 4                /* at most 1/4 of the log limit is kept behind a snapshot */
#define KEEP_MAX_ENTRIES 4096u        /* upper limit as well; both for peers slightly behind */
#define SENDING_SNAPSHOT_LOG_FACTOR 4 /* raises the limit, as a newer snapshot restarts sending */

static struct counter commits
    = { .name = "sassafras_log_commits_total", .help = "Commands applied by groups." };

static struct counter unencodable
    = { .name = "sassafras_log_snapshots_unencodable_total",
        .help = "Snapshots that were not taken because a part of the state is over its limit." };

static void
finish_proposal (struct group *g, uint64_t index)
{
  struct group_waiter *w = STAILQ_FIRST (&g->proposed);
  struct status ok;
  if (!w || w->position != index)
    return;
  STAILQ_REMOVE_HEAD (&g->proposed, link);
  g->pending--;
  status_clear (&ok);
  w->done (w->arg, &ok, g->result.data, g->result.len);
  free (w);
}

void
group_apply (struct group *g)
{
  struct machine *machine = g->config.machine;
  while (g->applied < raft_commit (g->raft))
    {
      const raft_entry *e = raft_entry_at (g->raft, g->applied + 1);
      if (!e)
        return;
      g->applied++;
      if (e->kind != RAFT_ENTRY_COMMAND)
        continue;
      g->result.len = 0;
      machine->ops->apply (machine, e->index, e->data.data_val, e->data.data_len, &g->result);
      counter_add (&commits, 1);
      finish_proposal (g, g->applied);
    }
}

int
group_install (struct group *g, const struct raft_output *out, struct status *st)
{
  struct machine *machine = g->config.machine;
  size_t bytes = (size_t)out->install->bytes;
  if (g->store->ops->save_snapshot (g->store, out->install, out->install_data, bytes, &out->hard,
                                    out->entries, out->entries_len, st))
    return -1;
  if (machine->ops->load (machine, out->install_data, bytes, st))
    return -1;
  g->applied = out->install->index;
  g->snapshot_index = out->install->index;
  g->snapshot_bytes = out->install->bytes;
  return 0;
}

/* Oldest entry to keep behind a snapshot at INDEX.  */
static uint64_t
keep_from (const struct group *g, uint64_t index)
{
  uint64_t budget = g->config.snapshot_log_bytes / KEEP_DIVISOR;
  uint64_t from = index + 1;
  uint64_t bytes = 0;
  while (from > raft_first_index (g->raft) && index + 1 - from < KEEP_MAX_ENTRIES)
    {
      const raft_entry *e = raft_entry_at (g->raft, from - 1);
      bytes += e->data.data_len + RAFT_ENTRY_OVERHEAD_BYTES;
      if (bytes > budget)
        break;
      from--;
    }
  return from;
}

int
group_save_state (struct group *g, struct status *st)
{
  struct raft_snapshot snapshot = { .index = g->applied };
  struct buffer data;
  buffer_init (&data);
  if (!g->config.machine->ops->save (g->config.machine, &data))
    {
      buffer_close (&data);
      return status_set (st, STATUS_TOO_LARGE, "the state cannot be encoded");
    }
  snapshot.term = raft_entry_term (g->raft, g->applied);
  snapshot.bytes = data.len;
  raft_members_at (g->raft, g->applied, &snapshot.members);
  uint64_t from = keep_from (g, g->applied);
  const raft_entry *keep = raft_entry_at (g->raft, from);
  size_t len = keep ? (size_t)(raft_last_index (g->raft) + 1 - from) : 0;
  struct raft_hard_state hard = raft_hard_state (g->raft);
  int rc = g->store->ops->save_snapshot (g->store, &snapshot, data.data, data.len, &hard, keep, len,
                                         st);
  if (rc == 0)
    {
      raft_compact (g->raft, &snapshot, from);
      g->snapshot_index = snapshot.index;
      g->snapshot_bytes = snapshot.bytes;
    }
  raft_members_free (&snapshot.members);
  buffer_close (&data);
  return rc;
}

/* Without a snapshot the log has everything that the state has.  */
static void
keep_log (struct group *g, uint64_t size, const struct status *st)
{
  counter_add (&unencodable, 1);
  log_line (LOG_ERROR, "group %s: no snapshot at index %llu, %llu bytes of log: %s", g->config.name,
            (unsigned long long)g->applied, (unsigned long long)size, st->message);
  g->retry_log_bytes = size + g->config.snapshot_log_bytes;
}

void
group_maybe_snapshot (struct group *g)
{
  uint64_t limit = g->config.snapshot_log_bytes;
  if (limit < g->snapshot_bytes)
    limit = g->snapshot_bytes;
  if (raft_sending_snapshot (g->raft))
    limit *= SENDING_SNAPSHOT_LOG_FACTOR;
  uint64_t size = raft_log_bytes (g->raft);
  if (size < g->store->log_bytes)
    size = g->store->log_bytes;
  struct status st;
  if (size <= limit || size <= g->retry_log_bytes || g->applied <= g->snapshot_index
      || raft_has_unwritten (g->raft))
    return;
  int rc = group_save_state (g, &st);
  if (rc < 0 && st.kind == STATUS_TOO_LARGE)
    keep_log (g, size, &st);
  else if (rc < 0)
    group_fail (g, &st);
}

/* Fills a chunk message with snapshot data and sends it.  */
static void
send_chunk (struct group *g, const raft_message *m)
{
  raft_message filled = *m;
  struct status st;
  filled.chunk.chunk_val = xmalloc (m->chunk.chunk_len);
  if (g->store->ops->read_snapshot (g->store, m->chunk_offset, filled.chunk.chunk_val,
                                    m->chunk.chunk_len, &st))
    log_line (LOG_WARN, "group %s: %s", g->config.name, st.message);
  else
    g->config.events.send (g->config.events.arg, &filled);
  free (filled.chunk.chunk_val);
}

void
group_send (struct group *g, const raft_message *messages, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (messages[i].type == RAFT_SNAPSHOT_CHUNK)
      send_chunk (g, &messages[i]);
    else
      g->config.events.send (g->config.events.arg, &messages[i]);
}
