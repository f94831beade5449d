/* Read access to a raft's state.  */

#include "raft_internal.h"

enum raft_role
raft_role (const struct raft *r)
{
  return r->role;
}

uint64_t
raft_term (const struct raft *r)
{
  return r->hard.term;
}

uint64_t
raft_leader (const struct raft *r)
{
  return r->leader;
}

uint64_t
raft_commit (const struct raft *r)
{
  return r->commit;
}

uint64_t
raft_first_index (const struct raft *r)
{
  return r->log.first;
}

uint64_t
raft_last_index (const struct raft *r)
{
  return raft_log_last (&r->log);
}

uint64_t
raft_durable_index (const struct raft *r)
{
  return r->durable;
}

uint64_t
raft_log_bytes (const struct raft *r)
{
  return raft_log_held_bytes (&r->log);
}

uint64_t
raft_uncommitted_bytes (const struct raft *r)
{
  return raft_log_end_bytes (&r->log, raft_log_last (&r->log))
         - raft_log_end_bytes (&r->log, r->commit);
}

const raft_entry *
raft_entry_at (const struct raft *r, uint64_t index)
{
  return raft_log_at (&r->log, index);
}

uint64_t
raft_entry_term (const struct raft *r, uint64_t index)
{
  uint64_t term;
  raft_log_term (&r->log, index, &term);
  return term;
}

const raft_members *
raft_latest_members (const struct raft *r)
{
  return &r->members;
}

struct raft_hard_state
raft_hard_state (const struct raft *r)
{
  struct raft_hard_state hard = r->hard;
#ifdef RAFT_BREAK_DURABLE_VOTE /* a deliberate fault that the fault test must find */
  hard.vote = 0;
#endif
  return hard;
}

bool
raft_target_reached (const struct raft *r)
{
  return !r->target_set && r->members_index <= r->commit;
}

bool
raft_sending_snapshot (const struct raft *r)
{
  if (r->role != RAFT_LEADER)
    return false;
  for (size_t i = 0; i < r->peers_len; i++)
    if (r->peers[i].state == PEER_SNAPSHOT)
      return true;
  return false;
}

size_t
raft_peers (const struct raft *r, struct raft_peer_view *out, size_t max, int64_t now_ms)
{
  size_t len = 0;
  for (size_t i = 0; i < r->peers_len && len < max; i++)
    {
      const struct raft_peer *p = &r->peers[i];
      out[len++] = (struct raft_peer_view){
        .node = p->node,
        .voter = p->voter,
        .active = now_ms - p->reply_ms < r->timing.quorum_ms,
        .snapshot = p->state == PEER_SNAPSHOT,
        .wrong_store = p->voter && p->store_known && p->store != p->member_store,
        .has_vote = p->voter && p->store_known && p->store == p->member_store,
        .match = p->match,
        .vote_answer = p->vote_answer,
      };
    }
  return len;
}
