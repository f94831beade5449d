/* The leader: replication, commit, leadership checks and transfer.  */

#include "raft_internal.h"

#include <stdlib.h>

#define VOTER_REPLY_MAX_AGE_MS 700 /* reachable: a heartbeat period plus one inter-region RTT */

static bool
is_active (const struct raft *r, const struct raft_peer *p, int64_t now_ms)
{
  return now_ms - p->reply_ms < r->timing.quorum_ms;
}

void
raft_become_leader (struct raft *r, int64_t now_ms)
{
  r->role = RAFT_LEADER;
  r->leader = r->node;
  r->election_attempts = 0;
  r->transfer_to = 0;
  r->may_be_replaced = false;
  r->quorum_completed_by = 0;
  r->round++;
  r->round_open = true;
  for (size_t i = 0; i < r->peers_len; i++)
    {
      struct raft_peer *p = &r->peers[i];
      p->state = PEER_PROBE;
      p->match = 0;
      raft_reset_catch_up (p);
      p->next = raft_log_last (&r->log) + 1;
      p->sent_commit = 0;
      p->round_acked = 0;
      p->outstanding = false;
      p->store_known = false;
      p->sent_ms = now_ms;
      p->reply_ms = now_ms;
    }
  raft_append_entry (r, RAFT_ENTRY_NOOP, NULL, 0);
  r->noop_index = raft_log_last (&r->log);
}

static bool
has_quorum (const struct raft *r, int64_t now_ms)
{
  size_t active = raft_self_is_voter (r) ? 1 : 0;
  for (size_t i = 0; i < r->peers_len; i++)
    if (r->peers[i].voter && is_active (r, &r->peers[i], now_ms))
      active++;
  return active > raft_voters (r) / 2;
}

static int64_t
send_period (const struct raft *r, const struct raft_peer *p)
{
  bool current = p->match == raft_log_last (&r->log) && p->sent_commit == r->commit;
  /* A learner is promoted only while it replies, so it gets heartbeats at the rate of a voter.  */
  const raft_member *wanted = r->target_set ? raft_members_find (&r->target, p->node) : NULL;
  bool promoting = wanted && wanted->voter;
  if (!p->voter && !promoting && current && p->state == PEER_REPLICATE)
    return r->timing.learner_heartbeat_ms;
  return r->timing.heartbeat_ms;
}

/* A leader without a vote confirms no rounds, so nobody relies on its authority, and hands over to
   a voter once its log and member list are committed.  */
static void
hand_over_to_voter (struct raft *r, int64_t now_ms)
{
  struct status st;
  bool committed = r->commit >= r->noop_index && r->commit >= r->members_index;
  if (!raft_may_vote (r) && committed && !r->transfer_to && !r->may_be_replaced)
    raft_transfer_leadership (r, 0, now_ms, &st);
}

void
raft_leader_tick (struct raft *r, int64_t now_ms)
{
  if (!has_quorum (r, now_ms))
    {
      raft_become_follower (r, r->hard.term, 0, now_ms);
      return;
    }
  if (r->transfer_to && now_ms >= r->transfer_until_ms)
    r->transfer_to = 0;
  if (r->may_be_replaced && now_ms >= r->transfer_until_ms + r->timing.election_min_ms)
    {
      raft_become_follower (r, r->hard.term, 0, now_ms);
      return;
    }
  hand_over_to_voter (r, now_ms);
  for (size_t i = 0; i < r->peers_len; i++)
    {
      struct raft_peer *p = &r->peers[i];
      int64_t since_sent_ms = now_ms - p->sent_ms;
      bool commit_due = p->state == PEER_REPLICATE && p->sent_commit < r->commit
                        && since_sent_ms >= r->timing.commit_notice_ms;
      if (since_sent_ms < send_period (r, p) && !commit_due)
        continue;
      p->send_now = true;
      if (p->state != PEER_SNAPSHOT && since_sent_ms >= r->timing.heartbeat_ms)
        p->outstanding = false;
    }
}

static int
compare_index (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return (x < y) - (x > y);
}

void
raft_advance_commit (struct raft *r)
{
  uint64_t match[PEER_MAX_MEMBERS + 1];
  size_t len = 0;
  if (raft_self_is_voter (r))
    match[len++] = r->durable;
  for (size_t i = 0; i < r->peers_len; i++)
    if (r->peers[i].voter)
      match[len++] = r->peers[i].match;
  if (len == 0)
    return;
  qsort (match, len, sizeof match[0], compare_index);
  uint64_t index = match[len / 2];
  uint64_t term;
  if (index <= r->commit || !raft_log_term (&r->log, index, &term))
    return;
#ifndef RAFT_BREAK_OLD_TERM_COMMIT /* a deliberate fault that the fault test must find */
  if (term != r->hard.term)
    return;
#endif
  r->commit = index;
}

/* A reply from another store than before means that the disk was replaced and its log is lost.  */
static void
update_peer_store (struct raft_peer *p, uint64_t store)
{
  if (p->store_known && p->store != store)
    {
      p->match = 0;
      raft_reset_catch_up (p);
      p->next = 1;
      p->state = PEER_PROBE;
      p->outstanding = false;
    }
  p->store = store;
  p->store_known = true;
}

static void
send_timeout_now_if_caught_up (struct raft *r, const struct raft_peer *p)
{
  if (r->transfer_to != p->node || r->transfer_sent || p->match < raft_log_last (&r->log))
    return;
  raft_queue (r, RAFT_TIMEOUT_NOW, p->node);
  r->transfer_sent = true;
  r->may_be_replaced = true;
}

/* Measures by time how far P is behind.  */
static void
update_catch_up (const struct raft *r, struct raft_peer *p, int64_t now_ms)
{
  if (p->match < p->mark)
    return;
  p->caught_up_ms = p->mark_ms;
  p->mark = raft_log_last (&r->log);
  p->mark_ms = now_ms;
}

static void
on_accept (struct raft *r, struct raft_peer *p, const raft_message *m, int64_t now_ms)
{
  if (m->log_index > raft_log_last (&r->log))
    return;
  if (m->log_index > p->match)
    {
      p->match = m->log_index;
      p->window = p->window < RAFT_WINDOW_BYTES / 2 ? p->window * 2 : RAFT_WINDOW_BYTES;
    }
  if (p->next <= p->match)
    p->next = p->match + 1;
  update_catch_up (r, p, now_ms);
  bool probed = p->state == PEER_PROBE && m->stream == p->stream;
  if (probed || (p->state == PEER_SNAPSHOT && p->match + 1 >= r->log.first))
    {
      p->state = PEER_REPLICATE;
      p->window = r->append_bytes;
      p->outstanding = false;
    }
  raft_advance_commit (r);
  send_timeout_now_if_caught_up (r, p);
}

/* When one append of a pipeline is lost, all later ones are rejected.  The first rejection restarts
   the pipeline under a new stream number; the others carry the old number and are ignored, since
   each would resend the whole window.  For the same reason only a reply to the new stream ends the
   probe.  */
static void
on_reject (struct raft *r, struct raft_peer *p, const raft_message *m)
{
  bool stale = m->stream != p->stream || m->commit <= p->match || m->commit >= p->next;
  if (stale || p->state == PEER_SNAPSHOT)
    return;
  uint64_t hint = m->log_index;
  uint64_t term;
  while (hint > p->match && raft_log_term (&r->log, hint, &term) && term > m->log_term)
    hint--;
  p->next = hint > p->match ? hint + 1 : p->match + 1;
  p->state = PEER_PROBE;
  p->stream++;
  p->outstanding = false;
  p->send_now = true;
}

static struct raft_peer *
record_reply (struct raft *r, const raft_message *m, int64_t now_ms)
{
  struct raft_peer *p = r->role == RAFT_LEADER ? raft_find_peer (r, m->from) : NULL;
  if (!p)
    return NULL;
  update_peer_store (p, m->store);
  p->reply_ms = now_ms;
  if (m->round > p->round_acked && m->round <= r->round)
    {
      bool confirmed = raft_round_confirmed (r, m->round);
      p->round_acked = m->round;
      if (!confirmed && raft_round_confirmed (r, m->round))
        r->quorum_completed_by = p->node;
    }
  return p;
}

void
raft_on_append_reply (struct raft *r, const raft_message *m, int64_t now_ms)
{
  struct raft_peer *p = record_reply (r, m, now_ms);
  if (!p)
    return;
  if (m->granted)
    on_accept (r, p, m, now_ms);
  else
    on_reject (r, p, m);
}

void
raft_on_snapshot_reply (struct raft *r, const raft_message *m, int64_t now_ms)
{
  struct raft_peer *p = record_reply (r, m, now_ms);
  if (!p || p->state != PEER_SNAPSHOT || m->log_index != p->snapshot_index)
    return;
  if (m->chunk_offset > r->snapshot.bytes || m->chunk_offset == p->snapshot_offset)
    return;
  bool restarted = m->chunk_offset < p->snapshot_offset;
  p->snapshot_offset = m->chunk_offset;
  p->snapshot_ms = now_ms;
  if (restarted || p->snapshot_next < p->snapshot_offset)
    p->snapshot_next = p->snapshot_offset;
  p->window
      = p->window < RAFT_SNAPSHOT_WINDOW_BYTES / 2 ? p->window * 2 : RAFT_SNAPSHOT_WINDOW_BYTES;
}

/* Sends again what is not acknowledged, slowly at first.  */
static void
rewind_snapshot (const struct raft *r, struct raft_peer *p, int64_t now_ms)
{
  p->window = r->chunk_bytes;
  p->snapshot_next = p->snapshot_offset;
  p->snapshot_ms = now_ms;
  p->outstanding = false;
}

static void
send_chunk (struct raft *r, struct raft_peer *p, uint64_t offset, uint64_t len, int64_t now_ms)
{
  raft_message *m = raft_message_add (r, &r->now, RAFT_SNAPSHOT_CHUNK, p->node);
  m->log_index = r->snapshot.index;
  m->log_term = r->snapshot.term;
  m->round = r->round;
  m->chunk_offset = offset;
  m->chunk_total = r->snapshot.bytes;
  m->chunk_members = r->snapshot.members;
  m->chunk.chunk_len = (u_int)len;
  p->send_now = false;
  p->sent_ms = now_ms;
}

static bool
chunk_due (const struct raft *r, const struct raft_peer *p)
{
  if (p->snapshot_index != r->snapshot.index || !p->outstanding)
    return true;
  return p->snapshot_next < r->snapshot.bytes && p->snapshot_next - p->snapshot_offset < p->window;
}

static void
send_snapshot (struct raft *r, struct raft_peer *p, int64_t now_ms)
{
  if (p->snapshot_index != r->snapshot.index)
    {
      p->snapshot_index = r->snapshot.index;
      p->snapshot_offset = 0;
      rewind_snapshot (r, p, now_ms);
    }
  /* Chunks may have been lost with a connection.  */
  if (now_ms - p->snapshot_ms >= r->timing.heartbeat_ms)
    rewind_snapshot (r, p, now_ms);
  while (chunk_due (r, p))
    {
      uint64_t left = r->snapshot.bytes - p->snapshot_next;
      uint64_t len = left < r->chunk_bytes ? left : r->chunk_bytes;
      send_chunk (r, p, p->snapshot_next, len, now_ms);
      p->snapshot_next += len;
      p->outstanding = true;
    }
  /* A heartbeat is a chunk without data.  */
  if (p->send_now)
    send_chunk (r, p, p->snapshot_offset, 0, now_ms);
}

/* Number of entries from p->next on that fit into one message.  */
static u_int
entries_to_send (const struct raft *r, const struct raft_peer *p)
{
  uint64_t last = raft_log_last (&r->log);
  uint64_t before = raft_log_end_bytes (&r->log, p->next - 1);
  uint64_t index = p->next;
  while (index <= last && index - p->next < PEER_MAX_ENTRIES
         && (index == p->next || raft_log_end_bytes (&r->log, index) - before <= r->append_bytes))
    index++;
  return (u_int)(index - p->next);
}

static bool
window_open (const struct raft *r, const struct raft_peer *p)
{
  if (p->next > raft_log_last (&r->log))
    return false;
  if (p->state == PEER_PROBE)
    return !p->outstanding;
  uint64_t unacknowledged
      = raft_log_end_bytes (&r->log, p->next - 1) - raft_log_end_bytes (&r->log, p->match);
  return unacknowledged < p->window;
}

static void
send_append (struct raft *r, struct raft_peer *p, u_int len, int64_t now_ms)
{
  raft_message *m = raft_message_add (r, &r->now, RAFT_APPEND_REQUEST, p->node);
  m->log_index = p->next - 1;
  raft_log_term (&r->log, p->next - 1, &m->log_term);
  m->commit = r->commit;
  m->round = r->round;
  m->stream = p->stream;
  m->entries.entries_len = len;
  if (len > 0)
    m->entries.entries_val = (raft_entry *)raft_log_at (&r->log, p->next);
  p->sent_commit = r->commit;
  p->sent_ms = now_ms;
  p->send_now = false;
  if (p->state == PEER_REPLICATE)
    p->next += len;
  else
    p->outstanding = true;
}

static void
send_to_peer (struct raft *r, struct raft_peer *p, int64_t now_ms)
{
  if (p->state != PEER_SNAPSHOT && p->next < r->log.first)
    {
      p->state = PEER_SNAPSHOT;
      p->snapshot_index = 0;
    }
  if (p->state == PEER_SNAPSHOT)
    {
      send_snapshot (r, p, now_ms);
      return;
    }
  while (window_open (r, p))
    send_append (r, p, entries_to_send (r, p), now_ms);
  if (p->send_now || (p->voter && r->round_open))
    send_append (r, p, 0, now_ms);
}

void
raft_send_appends (struct raft *r, int64_t now_ms)
{
  for (size_t i = 0; i < r->peers_len; i++)
    send_to_peer (r, &r->peers[i], now_ms);
  r->round_open = false;
}

bool
raft_has_appends_to_send (const struct raft *r)
{
  /* Also without other voters: a single voter confirms a round by itself.  */
  if (r->round_open)
    return true;
  for (size_t i = 0; i < r->peers_len; i++)
    {
      const struct raft_peer *p = &r->peers[i];
      if (p->send_now || (p->state == PEER_SNAPSHOT ? chunk_due (r, p) : window_open (r, p)))
        return true;
    }
  return false;
}

uint64_t
raft_start_read_round (struct raft *r)
{
  if (!r->round_open)
    r->round++;
  r->round_open = true;
  return r->round;
}

uint64_t
raft_quorum_completed_by (const struct raft *r, int64_t now_ms)
{
  if (r->role != RAFT_LEADER)
    return 0;
  for (size_t i = 0; i < r->peers_len; i++)
    {
      const struct raft_peer *p = &r->peers[i];
      if (p->voter && (p->round_acked == 0 || now_ms - p->reply_ms > VOTER_REPLY_MAX_AGE_MS))
        return 0;
    }
  return r->quorum_completed_by;
}

bool
raft_round_confirmed (const struct raft *r, uint64_t round)
{
  if (r->role != RAFT_LEADER || r->may_be_replaced || r->commit < r->noop_index)
    return false;
  if (!raft_may_vote (r))
    return false;
  if (r->round_open && round >= r->round)
    return false;
  size_t confirmed = raft_self_is_voter (r) ? 1 : 0;
  for (size_t i = 0; i < r->peers_len; i++)
    if (r->peers[i].voter && r->peers[i].round_acked >= round)
      confirmed++;
  return confirmed > raft_voters (r) / 2;
}

void
raft_peer_connected (struct raft *r, uint64_t node)
{
  struct raft_peer *p = raft_find_peer (r, node);
  if (!p)
    return;
  p->send_now = true;
  p->outstanding = false;
  p->snapshot_next = p->snapshot_offset;
}

static struct raft_peer *
best_successor (struct raft *r, int64_t now_ms)
{
  struct raft_peer *best = NULL;
  for (size_t i = 0; i < r->peers_len; i++)
    {
      struct raft_peer *p = &r->peers[i];
      bool can_vote = p->voter && p->store_known && p->store == p->member_store;
      if (!can_vote || !is_active (r, p, now_ms))
        continue;
      if (!best || p->match > best->match)
        best = p;
    }
  return best;
}

int
raft_transfer_leadership (struct raft *r, uint64_t to, int64_t now_ms, struct status *st)
{
  if (r->role != RAFT_LEADER)
    return status_set (st, STATUS_NOT_LEADER, "node %llu does not lead group %llu",
                       (unsigned long long)r->node, (unsigned long long)r->group);
  struct raft_peer *p = to ? raft_find_peer (r, to) : best_successor (r, now_ms);
  bool can_vote = p && p->voter && p->store_known && p->store == p->member_store;
  if (!can_vote || !is_active (r, p, now_ms))
    return status_set (st, STATUS_NO_QUORUM, "no voter to take over group %llu",
                       (unsigned long long)r->group);
  r->transfer_to = p->node;
  r->transfer_sent = false;
  r->transfer_until_ms = now_ms + r->timing.election_min_ms;
  p->send_now = true;
  send_timeout_now_if_caught_up (r, p);
  return 0;
}
