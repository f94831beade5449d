#include "raft_internal.h"

#include <stdlib.h>
#include <string.h>

struct raft_timing
raft_default_timing (void)
{
  /* Heartbeats to six voters every 600 ms cost about 3 KB/s, and one lost heartbeat does not start
     an election.  The slowest follower starts one 1.5 s after the leader fails, which leaves 500 ms
     of the limit of 2 s for three round trips of 60 ms, the writes and one retry.  Services rely on
     a confirmed round for at most 1.1 s from its start.  */
  return (struct raft_timing){ .heartbeat_ms = 600,
                               .learner_heartbeat_ms = 15000,
                               .election_min_ms = 1300,
                               .election_max_ms = 1500,
                               .retry_min_ms = 80,
                               .retry_max_ms = 200,
                               .quorum_ms = 1900,
                               .commit_notice_ms = 40,
                               .restart_ms = 1150 };
}

static uint64_t
skipped_entries (const struct raft_snapshot *snapshot, const raft_entry *entries, size_t len,
                 uint64_t *prev_term)
{
  *prev_term = snapshot->term;
  if (len == 0 || entries[0].index > snapshot->index)
    return 0;
  /* The term before the oldest entry is not stored, so that entry becomes the boundary.  */
  *prev_term = entries[0].term;
  return 1;
}

struct raft *
raft_create (const struct raft_config *config, const struct raft_hard_state *hard,
             const struct raft_snapshot *snapshot, const raft_entry *entries, size_t entries_len,
             int64_t now_ms)
{
  struct raft *r = xcalloc (1, sizeof *r);
  r->group = config->group;
  r->node = config->node;
  r->rng = config->rng;
  r->timing = config->timing.heartbeat_ms ? config->timing : raft_default_timing ();
  r->append_bytes = config->append_bytes ? config->append_bytes : RAFT_APPEND_BYTES;
  r->chunk_bytes = config->chunk_bytes ? config->chunk_bytes : PEER_CHUNK_BYTES;
  r->hard = *hard;
  r->snapshot = *snapshot;
  memset (&r->snapshot.members, 0, sizeof r->snapshot.members);
  raft_members_copy (&r->snapshot.members, &snapshot->members);
  uint64_t prev_term;
  uint64_t skip = skipped_entries (snapshot, entries, entries_len, &prev_term);
  uint64_t first = skip ? entries[0].index + 1 : snapshot->index + 1;
  raft_log_init (&r->log, first, prev_term);
  for (size_t i = skip; i < entries_len; i++)
    raft_log_append (&r->log, entries[i].term, entries[i].kind, entries[i].data.data_val,
                     entries[i].data.data_len);
  r->durable = raft_log_last (&r->log);
  r->commit = snapshot->index;
  r->pre_vote_granted_ms = INT64_MIN / 2;
  r->blocked_ms = INT64_MIN / 2;
  raft_forget_leader (r);
  r->votes_from_ms = r->hard.term > 0 ? now_ms + r->timing.restart_ms : now_ms;
  raft_reload_members (r);
  raft_reset_election (r, now_ms);
  if (raft_voters (r) == 1 && raft_may_vote (r))
    r->election_ms = now_ms;
  return r;
}

void
raft_destroy (struct raft *r)
{
  if (!r)
    return;
  raft_log_close (&r->log);
  raft_members_free (&r->snapshot.members);
  raft_members_free (&r->incoming_snapshot.members);
  raft_members_free (&r->members);
  raft_members_free (&r->target);
  buffer_close (&r->incoming);
  buffer_close (&r->installing);
  free (r->pending.items);
  free (r->now.items);
  free (r->after.items);
  free (r->peers);
  free (r);
}

struct raft_peer *
raft_find_peer (struct raft *r, uint64_t node)
{
  for (size_t i = 0; i < r->peers_len; i++)
    if (r->peers[i].node == node)
      return &r->peers[i];
  return NULL;
}

raft_message *
raft_message_add (struct raft *r, struct message_list *list, raft_message_type type, uint64_t to)
{
  if (list->len == list->capacity)
    {
      list->capacity = list->capacity ? list->capacity * 2 : 16;
      list->items = xrealloc (list->items, list->capacity * sizeof *list->items);
    }
  raft_message *m = &list->items[list->len++];
  memset (m, 0, sizeof *m);
  m->group = r->group;
  m->type = type;
  m->from = r->node;
  m->to = to;
  m->term = r->hard.term;
  m->store = r->hard.store;
  return m;
}

raft_message *
raft_queue (struct raft *r, raft_message_type type, uint64_t to)
{
  return raft_message_add (r, &r->pending, type, to);
}

void
raft_become_follower (struct raft *r, uint64_t term, uint64_t leader, int64_t now_ms)
{
  if (term > r->hard.term)
    {
      r->hard.term = term;
      r->hard.vote = 0;
      r->hard_dirty = true;
    }
  /* A candidate keeps its short retry delay.  */
  if (r->role == RAFT_LEADER)
    raft_reset_election (r, now_ms);
  r->role = RAFT_FOLLOWER;
  r->leader = leader;
  r->transfer_to = 0;
  r->target_set = false;
  r->self_granted = false;
}

/* Replies to a message of an old term, so that its sender learns the current one.  */
static void
reply_stale_term (struct raft *r, const raft_message *m)
{
  raft_message_type type;
  switch (m->type)
    {
    case RAFT_APPEND_REQUEST:
    case RAFT_SNAPSHOT_CHUNK:
      type = RAFT_APPEND_REPLY;
      break;
    case RAFT_PRE_VOTE_REQUEST:
      type = RAFT_PRE_VOTE_REPLY;
      break;
    case RAFT_VOTE_REQUEST:
      type = RAFT_VOTE_REPLY;
      break;
    default:
      return;
    }
  raft_queue (r, type, m->from);
}

/* Adopts the message's term where the protocol allows it; false when the message is dropped.  */
static bool
check_term (struct raft *r, const raft_message *m, int64_t now_ms)
{
  if (m->term < r->hard.term)
    {
      reply_stale_term (r, m);
      return false;
    }
  if (m->term == r->hard.term || m->type == RAFT_PRE_VOTE_REQUEST)
    return true;
  if (m->type == RAFT_PRE_VOTE_REPLY && m->granted)
    return true;
  bool forced = m->type == RAFT_VOTE_REQUEST && m->granted;
  if (m->type == RAFT_VOTE_REQUEST && !forced && raft_has_recent_leader (r, now_ms))
    return false;
  /* The leader of the term before has given up its authority.  */
  if (forced)
    raft_forget_leader (r);
  bool from_leader = m->type == RAFT_APPEND_REQUEST || m->type == RAFT_SNAPSHOT_CHUNK;
  raft_become_follower (r, m->term, from_leader ? m->from : 0, now_ms);
  return true;
}

void
raft_receive (struct raft *r, const raft_message *m, int64_t now_ms)
{
  if (m->group != r->group || m->to != r->node || m->from == r->node)
    return;
  /* Of any term: an empty store answers with a lower one.  */
  if (m->type == RAFT_PRE_VOTE_REPLY || m->type == RAFT_VOTE_REPLY)
    raft_record_vote_answer (r, m);
  if (!check_term (r, m, now_ms))
    return;
  switch (m->type)
    {
    case RAFT_PRE_VOTE_REQUEST:
    case RAFT_VOTE_REQUEST:
      raft_on_vote_request (r, m, now_ms);
      break;
    case RAFT_PRE_VOTE_REPLY:
    case RAFT_VOTE_REPLY:
      raft_on_vote_reply (r, m, now_ms);
      break;
    case RAFT_APPEND_REQUEST:
      raft_on_append (r, m, now_ms);
      break;
    case RAFT_APPEND_REPLY:
      raft_on_append_reply (r, m, now_ms);
      break;
    case RAFT_SNAPSHOT_CHUNK:
      raft_on_snapshot_chunk (r, m, now_ms);
      break;
    case RAFT_SNAPSHOT_REPLY:
      raft_on_snapshot_reply (r, m, now_ms);
      break;
    case RAFT_TIMEOUT_NOW:
      if (r->role == RAFT_FOLLOWER && raft_may_vote (r))
        raft_start_election (r, true, now_ms);
      break;
    }
}

void
raft_tick (struct raft *r, int64_t now_ms)
{
  if (r->role == RAFT_LEADER)
    raft_leader_tick (r, now_ms);
  else
    raft_election_tick (r, now_ms);
}

uint64_t
raft_propose (struct raft *r, const void *data, size_t len, struct status *st)
{
  if (r->role != RAFT_LEADER || r->transfer_to)
    {
      status_set (st, STATUS_NOT_LEADER, "node %llu does not lead group %llu",
                  (unsigned long long)r->node, (unsigned long long)r->group);
      return 0;
    }
  if (len > PEER_ENTRY_BYTES)
    {
      status_set (st, STATUS_TOO_LARGE, "command of %zu bytes, limit %d", len, PEER_ENTRY_BYTES);
      return 0;
    }
  raft_append_entry (r, RAFT_ENTRY_COMMAND, data, len);
  return raft_log_last (&r->log);
}

/* Drops acknowledgements of earlier terms: the entries that they name may have been replaced before
   they reached the disk.  */
static void
collect_pending_messages (struct raft *r)
{
  r->after.len = 0;
  struct message_list taken = r->pending;
  r->pending = r->after;
  size_t kept = 0;
  for (size_t i = 0; i < taken.len; i++)
    {
      raft_message_type type = taken.items[i].type;
      bool acknowledges = type == RAFT_APPEND_REPLY || type == RAFT_SNAPSHOT_REPLY;
      if (!acknowledges || taken.items[i].term == r->hard.term)
        taken.items[kept++] = taken.items[i];
    }
  taken.len = kept;
  r->after = taken;
}

void
raft_output (struct raft *r, struct raft_output *out, int64_t now_ms)
{
  memset (out, 0, sizeof *out);
  r->now.len = 0;
  if (r->role == RAFT_LEADER)
    {
      raft_step_member_change (r, now_ms);
      raft_send_appends (r, now_ms);
    }
  collect_pending_messages (r);
  out->now = r->now.items;
  out->now_len = r->now.len;
  out->after = r->after.items;
  out->after_len = r->after.len;
  out->hard = raft_hard_state (r);
  uint64_t last = raft_log_last (&r->log);
  if (r->install)
    {
      out->install = &r->snapshot;
      out->install_data = r->installing.data;
    }
  if (r->durable < last)
    {
      out->entries = raft_log_at (&r->log, r->durable + 1);
      out->entries_len = (size_t)(last - r->durable);
    }
  out->write = r->hard_dirty || out->entries_len > 0 || r->install;
}

void
raft_written (struct raft *r, int64_t now_ms)
{
  r->hard_dirty = false;
  r->durable = raft_log_last (&r->log);
  if (r->install)
    buffer_close (&r->installing);
  r->install = false;
  if (r->role == RAFT_CANDIDATE && !r->self_granted)
    {
      r->self_granted = true;
      raft_count_votes (r, now_ms);
    }
  else if (r->role == RAFT_LEADER)
    raft_advance_commit (r);
}

bool
raft_has_unwritten (const struct raft *r)
{
  return r->hard_dirty || r->install || r->durable < raft_log_last (&r->log);
}

bool
raft_has_output (const struct raft *r)
{
  if (raft_has_unwritten (r) || r->pending.len > 0)
    return true;
  return r->role == RAFT_LEADER && raft_has_appends_to_send (r);
}

void
raft_compact (struct raft *r, const struct raft_snapshot *snapshot, uint64_t keep_from)
{
  if (snapshot->index == r->snapshot.index)
    r->snapshot.bytes = snapshot->bytes;
  if (snapshot->index <= r->snapshot.index || snapshot->index > r->commit)
    return;
  raft_members_copy (&r->snapshot.members, &snapshot->members);
  r->snapshot.index = snapshot->index;
  r->snapshot.term = snapshot->term;
  r->snapshot.bytes = snapshot->bytes;
  raft_log_drop (&r->log, keep_from <= snapshot->index + 1 ? keep_from : snapshot->index + 1);
}

void
raft_step_down (struct raft *r, int64_t now_ms)
{
  raft_become_follower (r, r->hard.term, 0, now_ms);
}
