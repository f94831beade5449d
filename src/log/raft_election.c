/* Elections: pre-vote, votes and timeouts.  */

#include "raft_internal.h"

void
raft_reset_election (struct raft *r, int64_t now_ms)
{
  r->election_ms
      = now_ms + rng_between (r->rng, r->timing.election_min_ms, r->timing.election_max_ms);
}

static void
schedule_retry (struct raft *r, int64_t now_ms)
{
  r->election_attempts++;
  /* The long delays vary widely: nodes with equal timeouts would otherwise keep colliding.  */
  if (r->election_attempts > RAFT_MAX_QUICK_RETRIES)
    r->election_ms
        = now_ms + rng_between (r->rng, r->timing.election_min_ms, 2 * r->timing.election_min_ms);
  else
    r->election_ms = now_ms + rng_between (r->rng, r->timing.retry_min_ms, r->timing.retry_max_ms);
}

/* Also while the leader is unknown: a node that has restarted or learned a higher term since may
   have confirmed the authority of its last leader.  */
bool
raft_has_recent_leader (const struct raft *r, int64_t now_ms)
{
  if (r->role == RAFT_LEADER || now_ms < r->votes_from_ms)
    return true;
  /* Slightly below the timeout: the same heartbeat reaches other nodes up to one delay later.  */
  int64_t sticky_ms = r->timing.election_min_ms - r->timing.retry_min_ms;
  return now_ms - r->leader_ms < sticky_ms;
}

void
raft_forget_leader (struct raft *r)
{
  r->leader_ms = INT64_MIN / 2;
  r->votes_from_ms = INT64_MIN / 2;
}

bool
raft_may_vote (const struct raft *r)
{
  if (r->hard.store & RAFT_STORE_VOLATILE)
    return false;
  const raft_member *self = raft_members_find (&r->members, r->node);
  return self && self->voter && self->store == r->hard.store;
}

/* A learner whose log ends later than a candidate's must refuse the vote that the list of the
   candidate gives it.  It may be the only node that can win then, and stands without a vote.  */
static bool
may_stand (const struct raft *r, int64_t now_ms)
{
  return raft_may_vote (r) || now_ms - r->blocked_ms < 2 * r->timing.election_min_ms;
}

static void
request_votes (struct raft *r, raft_message_type type, uint64_t term, bool forced)
{
  uint64_t last = raft_log_last (&r->log);
  uint64_t last_term;
  raft_log_term (&r->log, last, &last_term);
  for (size_t i = 0; i < r->peers_len; i++)
    {
      struct raft_peer *p = &r->peers[i];
      p->granted = false;
      if (!p->voter)
        continue;
      raft_message *m = raft_queue (r, type, p->node);
      m->term = term;
      m->log_index = last;
      m->log_term = last_term;
      m->granted = forced; /* by a leadership transfer: a recent leader is ignored */
      m->store = p->member_store;
      m->round = r->hard.store;
    }
}

void
raft_start_election (struct raft *r, bool forced, int64_t now_ms)
{
  r->role = RAFT_CANDIDATE;
  r->leader = 0;
  if (forced)
    raft_forget_leader (r);
  r->hard.term++;
  r->hard.vote = r->node;
  r->hard_dirty = true;
  r->self_granted = false;
  schedule_retry (r, now_ms);
  /* One write and two one-way delays of 30 ms must fit before the next attempt.  */
  r->election_ms += r->timing.retry_min_ms;
  request_votes (r, RAFT_VOTE_REQUEST, r->hard.term, forced);
}

static void
start_pre_vote (struct raft *r, int64_t now_ms)
{
  if (raft_voters (r) == 1 && raft_may_vote (r))
    {
      raft_start_election (r, false, now_ms);
      return;
    }
  r->role = RAFT_PRE_CANDIDATE;
  r->leader = 0;
  r->pre_vote_started_ms = now_ms;
  schedule_retry (r, now_ms);
  request_votes (r, RAFT_PRE_VOTE_REQUEST, r->hard.term + 1, false);
}

void
raft_election_tick (struct raft *r, int64_t now_ms)
{
  if (now_ms < r->election_ms)
    return;
  if (!may_stand (r, now_ms))
    {
      raft_reset_election (r, now_ms);
      return;
    }
  start_pre_vote (r, now_ms);
}

void
raft_count_votes (struct raft *r, int64_t now_ms)
{
  bool self = raft_may_vote (r) && (r->role == RAFT_PRE_CANDIDATE || r->self_granted);
  size_t granted = self ? 1 : 0;
  for (size_t i = 0; i < r->peers_len; i++)
    if (r->peers[i].voter && r->peers[i].granted)
      granted++;
  if (granted <= raft_voters (r) / 2)
    return;
  if (r->role == RAFT_PRE_CANDIDATE)
    raft_start_election (r, false, now_ms);
  else if (r->self_granted)
    raft_become_leader (r, now_ms);
}

static bool
log_is_current (const struct raft *r, const raft_message *m)
{
  uint64_t last = raft_log_last (&r->log);
  uint64_t term;
  raft_log_term (&r->log, last, &term);
  if (m->log_term != term)
    return m->log_term > term;
  return m->log_index >= last;
}

/* Two nodes that start within one network delay of each other would both win the pre-vote and then
   split the vote.  So a pre-vote is granted to one candidate at a time, for a short period, and of
   two with equal logs that request pre-votes of each other the lower id proceeds.  A longer log
   overrides an earlier grant, as its node may be the only one to win.  Affects liveness only.  */
static bool
may_grant_pre_vote (struct raft *r, const raft_message *m, int64_t now_ms)
{
  int64_t window_ms = r->timing.retry_min_ms;
  uint64_t last = raft_log_last (&r->log);
  uint64_t term;
  raft_log_term (&r->log, last, &term);
  bool equal_logs = m->log_term == term && m->log_index == last;
  bool requesting = r->role == RAFT_PRE_CANDIDATE && now_ms - r->pre_vote_started_ms < window_ms;
  if (requesting && equal_logs && r->node < m->from)
    return false;
  bool longer = m->log_term > r->pre_vote_granted_log_term
                || (m->log_term == r->pre_vote_granted_log_term
                    && m->log_index > r->pre_vote_granted_log_index);
  return longer || r->pre_vote_granted_to == m->from
         || now_ms - r->pre_vote_granted_ms >= window_ms;
}

static void
record_pre_vote (struct raft *r, const raft_message *m, int64_t now_ms)
{
  r->pre_vote_granted_to = m->from;
  r->pre_vote_granted_ms = now_ms;
  r->pre_vote_granted_log_index = m->log_index;
  r->pre_vote_granted_log_term = m->log_term;
  if (r->role == RAFT_PRE_CANDIDATE)
    {
      r->role = RAFT_FOLLOWER;
      schedule_retry (r, now_ms);
    }
}

void
raft_on_vote_request (struct raft *r, const raft_message *m, int64_t now_ms)
{
  bool pre = m->type == RAFT_PRE_VOTE_REQUEST;
  bool own_store = m->store == r->hard.store && !(r->hard.store & RAFT_STORE_VOLATILE);
  bool current = log_is_current (r, m);
  bool grant = own_store && current;
  bool forced = !pre && m->granted;
  if (pre && own_store && !current && !raft_has_recent_leader (r, now_ms))
    r->blocked_ms = now_ms;
  if ((!forced && raft_has_recent_leader (r, now_ms)) || (pre && m->term <= r->hard.term))
    grant = false;
  if (pre && grant && !may_grant_pre_vote (r, m, now_ms))
    grant = false;
  /* Also not to the same node again: its disk may have been replaced since.  */
  if (!pre && r->hard.vote != 0)
    grant = false;
  raft_message *reply = raft_queue (r, pre ? RAFT_PRE_VOTE_REPLY : RAFT_VOTE_REPLY, m->from);
  reply->granted = grant;
  reply->log_index = raft_log_last (&r->log);
  raft_log_term (&r->log, reply->log_index, &reply->log_term);
  reply->round = m->round;
  if (pre && grant)
    {
      reply->term = m->term;
      record_pre_vote (r, m, now_ms);
    }
  if (pre || !grant)
    return;
  r->hard.vote = m->from;
  r->hard_dirty = true;
  raft_reset_election (r, now_ms);
}

void
raft_record_vote_answer (struct raft *r, const raft_message *m)
{
  struct raft_peer *p = raft_find_peer (r, m->from);
  uint64_t last = raft_log_last (&r->log);
  uint64_t term;
  raft_log_term (&r->log, last, &term);
  if (!p)
    return;
  if (m->granted)
    p->vote_answer = RAFT_VOTE_GRANTED;
  else if (m->store != p->member_store)
    p->vote_answer = RAFT_VOTE_OTHER_STORE;
  else if (m->log_term > term || (m->log_term == term && m->log_index > last))
    p->vote_answer = RAFT_VOTE_LONGER_LOG;
  else
    p->vote_answer = RAFT_VOTE_REFUSED;
}

void
raft_on_vote_reply (struct raft *r, const raft_message *m, int64_t now_ms)
{
  bool pre = m->type == RAFT_PRE_VOTE_REPLY;
  if (pre && (r->role != RAFT_PRE_CANDIDATE || m->term != r->hard.term + 1))
    return;
  if (!pre && r->role != RAFT_CANDIDATE)
    return;
  struct raft_peer *p = raft_find_peer (r, m->from);
  if (!p || !p->voter || !m->granted)
    return;
  /* A reply to an earlier store of this node; voters of older versions send 0.  */
  if (m->round != r->hard.store && (m->round != 0 || !raft_may_vote (r)))
    return;
  p->granted = true;
  raft_count_votes (r, now_ms);
}
