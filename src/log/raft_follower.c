/* The follower: log matching and snapshot reception.  */

#include "raft_internal.h"

#include <string.h>

#define SNAPSHOT_MAX_BYTES (UINT64_C (256) << 20) /* larger announced snapshots are refused */

/* Records contact with the leader of the current term.  */
static void
follow_leader (struct raft *r, uint64_t leader, int64_t now_ms)
{
  if (r->role != RAFT_FOLLOWER || r->leader != leader)
    raft_become_follower (r, r->hard.term, leader, now_ms);
  r->leader_ms = now_ms;
  r->election_attempts = 0;
  for (size_t i = 0; i < r->peers_len; i++)
    r->peers[i].vote_answer = RAFT_VOTE_NO_ANSWER;
  raft_reset_election (r, now_ms);
  if (r->hard.vote == 0)
    {
      /* A store that joins during a term has no recorded vote; following counts as one.  */
      r->hard.vote = leader;
      r->hard_dirty = true;
    }
}

/* Acknowledges the log up to MATCH; merges with an earlier acknowledgement of the same batch.  */
static void
acknowledge (struct raft *r, const raft_message *m, uint64_t match)
{
  raft_message *reply = NULL;
  if (r->pending.len > 0)
    {
      raft_message *prior = &r->pending.items[r->pending.len - 1];
      if (prior->type == RAFT_APPEND_REPLY && prior->granted && prior->to == m->from
          && prior->term == r->hard.term)
        reply = prior;
    }
  if (!reply)
    reply = raft_queue (r, RAFT_APPEND_REPLY, m->from);
  reply->granted = true;
  if (match > reply->log_index)
    reply->log_index = match;
  if (m->round > reply->round)
    reply->round = m->round;
  if (m->stream > reply->stream)
    reply->stream = m->stream;
}

/* Rejects an append whose previous entry does not match, with a hint where the logs may match.  */
static void
reject_append (struct raft *r, const raft_message *m)
{
  uint64_t last = raft_log_last (&r->log);
  uint64_t hint = m->log_index < last ? m->log_index : last;
  uint64_t term = 0;
  while (hint > r->commit && raft_log_term (&r->log, hint, &term) && term > m->log_term)
    hint--;
  raft_log_term (&r->log, hint, &term);
  raft_message *reply = raft_queue (r, RAFT_APPEND_REPLY, m->from);
  reply->granted = false;
  reply->log_index = hint;
  reply->log_term = term;
  reply->commit = m->log_index; /* in a rejection: the previous index of the append */
  reply->round = m->round;
  reply->stream = m->stream;
}

/* Appends the entries not yet held; a conflicting entry and all after it are dropped first.  */
static void
store_entries (struct raft *r, const raft_message *m)
{
  bool members_changed = false;
  for (u_int i = 0; i < m->entries.entries_len; i++)
    {
      const raft_entry *e = &m->entries.entries_val[i];
      uint64_t index = m->log_index + 1 + i;
      uint64_t term;
      if (index <= r->commit)
        continue;
      if (raft_log_term (&r->log, index, &term))
        {
          if (term == e->term)
            continue;
          raft_log_truncate (&r->log, index);
          if (r->durable >= index)
            r->durable = index - 1;
          members_changed |= r->members_index >= index;
        }
      raft_log_append (&r->log, e->term, e->kind, e->data.data_val, e->data.data_len);
      members_changed |= e->kind == RAFT_ENTRY_MEMBERS;
    }
  if (members_changed)
    raft_reload_members (r);
}

void
raft_on_append (struct raft *r, const raft_message *m, int64_t now_ms)
{
  if (r->role == RAFT_LEADER)
    return;
  follow_leader (r, m->from, now_ms);
  uint64_t end = m->log_index + m->entries.entries_len;
  uint64_t term;
  if (end <= r->commit)
    {
      acknowledge (r, m, r->commit);
      return;
    }
  if (m->log_index >= r->commit
      && (!raft_log_term (&r->log, m->log_index, &term) || term != m->log_term))
    {
      reject_append (r, m);
      return;
    }
  store_entries (r, m);
  uint64_t commit = m->commit < end ? m->commit : end;
  if (commit > r->commit)
    r->commit = commit;
  acknowledge (r, m, end);
}

static bool
start_incoming_snapshot (struct raft *r, const raft_message *m)
{
  if (m->chunk_total > SNAPSHOT_MAX_BYTES)
    return false;
  buffer_close (&r->incoming);
  r->incoming_snapshot.index = m->log_index;
  r->incoming_snapshot.term = m->log_term;
  r->incoming_snapshot.bytes = m->chunk_total;
  raft_members_copy (&r->incoming_snapshot.members, &m->chunk_members);
  return true;
}

static void
install_snapshot (struct raft *r)
{
  uint64_t index = r->incoming_snapshot.index;
  uint64_t term;
  bool keep = raft_log_term (&r->log, index, &term) && term == r->incoming_snapshot.term
              && index + 1 >= r->log.first;
  if (keep)
    raft_log_drop (&r->log, index + 1);
  else
    raft_log_reset (&r->log, index + 1, r->incoming_snapshot.term);
  r->durable = index;
  r->commit = index;
  raft_members_free (&r->snapshot.members);
  r->snapshot = r->incoming_snapshot;
  memset (&r->incoming_snapshot, 0, sizeof r->incoming_snapshot);
  buffer_close (&r->installing);
  r->installing = r->incoming;
  buffer_init (&r->incoming);
  r->install = true;
  raft_reload_members (r);
}

void
raft_on_snapshot_chunk (struct raft *r, const raft_message *m, int64_t now_ms)
{
  if (r->role == RAFT_LEADER)
    return;
  follow_leader (r, m->from, now_ms);
  if (m->log_index <= r->commit)
    {
      acknowledge (r, m, r->commit);
      return;
    }
  bool same = r->incoming_snapshot.index == m->log_index && r->incoming_snapshot.term == m->log_term
              && r->incoming_snapshot.bytes == m->chunk_total;
  if (!same && !start_incoming_snapshot (r, m))
    return;
  if (m->chunk_offset == r->incoming.len && m->chunk.chunk_len <= m->chunk_total - m->chunk_offset)
    buffer_append (&r->incoming, m->chunk.chunk_val, m->chunk.chunk_len);
  if (r->incoming.len == m->chunk_total)
    {
      install_snapshot (r);
      acknowledge (r, m, r->commit);
      return;
    }
  raft_message *reply = raft_queue (r, RAFT_SNAPSHOT_REPLY, m->from);
  reply->granted = true;
  reply->log_index = m->log_index;
  reply->chunk_offset = r->incoming.len;
  reply->round = m->round;
}
