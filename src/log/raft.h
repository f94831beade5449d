/* raft: the consensus protocol of one group as a pure step function.

   NOTES
   Inputs are messages, ticks, proposals and completed disk writes; every input takes the time as
   now_ms.  Outputs are collected by raft_output: messages, a batch to make durable and a commit
   index.  The caller sends out.now at once, makes the batch durable, calls raft_written and only
   then sends out.after.  Pointers in an output are valid until the next call on the same raft.

   Rules: pre-vote and check-quorum (a node in contact with a leader grants no vote); one durable
   vote per term; only entries of the leader's own term are committed directly; one membership
   change at a time, and only after the leader has committed an entry of its term; a learner is
   promoted after it has caught up.

   A learner that refuses a candidate whose list gives it a vote, because its own log ends later,
   stands for election itself.  It does not count its own vote (section 4.2.2 of the source), and
   transfers its leadership to a voter once it has committed its log; it confirms no rounds. Without
   this the candidate needs a vote that it cannot get, and no other node may hold all committed
   entries.

   A leader that has told a voter to take over may be replaced at any time from then on.  It
   confirms no more rounds and, unless it tries another transfer, steps down.

   Store ids tie a vote to a disk.  A store created at bootstrap has id 0; a store created later has
   a random id, which the leader learns from the member's replies and records when it promotes the
   member.  A vote request carries the id that the candidate's member list names, and a node grants
   only a request that names its own store.  So a node that restarts with an empty disk under an id
   that had voted never votes.  A vote counts only for the store of the candidate that requested it,
   and a voter grants one request per term, so a replaced disk never leads a term that its node led
   before.  Ids with RAFT_STORE_VOLATILE set belong to stores in memory; their nodes stay
   learners.

   Source: Ongaro, "Consensus: bridging theory and practice", chapters 3, 4, 6 and 9.  */

#ifndef SASSAFRAS_RAFT_H
#define SASSAFRAS_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "peer_proto.h"
#include "rng.h"
#include "status.h"

#define RAFT_STORE_VOLATILE (UINT64_C (1) << 63) /* bit of a store id: not durable, never votes */

enum raft_role
{
  RAFT_FOLLOWER,
  RAFT_PRE_CANDIDATE,
  RAFT_CANDIDATE,
  RAFT_LEADER,
};

/* Periods in milliseconds; raft_default_timing suits one-way delays up to 30 ms.  */
struct raft_timing
{
  int64_t heartbeat_ms;         /* leader to voters, and learners that lag or are to be promoted */
  int64_t learner_heartbeat_ms; /* leader to all other learners */
  int64_t election_min_ms;      /* time without a leader before an election, lower bound */
  int64_t election_max_ms;      /* upper bound */
  int64_t retry_min_ms;         /* delay after a failed election, lower bound */
  int64_t retry_max_ms;         /* upper bound */
  int64_t quorum_ms;            /* a leader without replies of a quorum for this long steps down */
  int64_t commit_notice_ms;     /* delay before a commit index is sent without entries */
  int64_t restart_ms; /* no votes for this long after a restart: a leader may rely on an answer from
                         before it */
};

/* State that must be durable beside the log.  */
struct raft_hard_state
{
  uint64_t term;
  uint64_t vote;  /* node voted for in TERM, 0 for none */
  uint64_t store; /* id of this store, see NOTES */
};

/* Position and members of a snapshot.  Index 0 describes the start of a group.  */
struct raft_snapshot
{
  uint64_t index;
  uint64_t term;
  uint64_t bytes;       /* size of the state, for the transfer */
  raft_members members; /* members as of INDEX */
};

struct raft_config
{
  uint64_t group;
  uint64_t node;             /* id of this node, not 0 */
  struct raft_timing timing; /* all zero selects raft_default_timing */
  struct rng *rng;           /* randomness of election timeouts */
  uint32_t append_bytes;     /* target size of one append message; 0 selects 64 KiB */
  uint32_t chunk_bytes;      /* size of a snapshot chunk; 0 selects 64 KiB, the limit */
};

/* One batch of outputs; see NOTES for the order of sending and writing.  */
struct raft_output
{
  const raft_message *now; /* messages to send before the write */
  size_t now_len;
  bool write;                  /* hard state or entries need a durable write */
  struct raft_hard_state hard; /* hard state to write */
  const raft_entry *entries;   /* entries to write; replace any stored from entries[0].index */
  size_t entries_len;
  const struct raft_snapshot *install; /* received snapshot to store and load, or NULL */
  const void *install_data;            /* its state */
  const raft_message *after;           /* messages to send after the write */
  size_t after_len;
};

/* Last answer of a voter to a request for a pre-vote or vote, since this node lost its leader.  */
enum raft_vote_answer
{
  RAFT_VOTE_NO_ANSWER,
  RAFT_VOTE_GRANTED,
  RAFT_VOTE_OTHER_STORE, /* its disk is not the one that the member list names */
  RAFT_VOTE_LONGER_LOG,  /* it holds later entries */
  RAFT_VOTE_REFUSED,     /* it follows a leader, has restarted or prefers another candidate */
};

/* What a change of members waits for.  */
enum raft_change_wait
{
  RAFT_CHANGE_NONE,        /* nothing: no change is pending, or its next step is due */
  RAFT_CHANGE_COMMIT,      /* the last step is not committed */
  RAFT_CHANGE_NO_REPLY,    /* the learner to promote does not reply */
  RAFT_CHANGE_NO_STORE,    /* it has no durable store */
  RAFT_CHANGE_SNAPSHOT,    /* it is being sent a snapshot */
  RAFT_CHANGE_CATCHING_UP, /* it lacks entries */
};

struct raft_change_view
{
  enum raft_change_wait wait;
  uint64_t node;           /* the learner, 0 for RAFT_CHANGE_NONE and RAFT_CHANGE_COMMIT */
  uint64_t entries_behind; /* of the learner */
  uint64_t snapshot_sent;  /* bytes of the snapshot that it has */
  uint64_t snapshot_bytes;
};

/* State of a peer as known to the leader; VOTE_ANSWER as known to a candidate.  */
struct raft_peer_view
{
  uint64_t node;
  bool voter;
  bool active;      /* replied within timing.quorum_ms */
  bool snapshot;    /* a snapshot is being sent */
  bool wrong_store; /* a voter whose disk was replaced: it cannot vote */
  bool has_vote;    /* a voter that has answered with the store that its vote belongs to */
  uint64_t match;   /* last entry known to be stored there */
  enum raft_vote_answer vote_answer;
};

struct raft;

struct raft_timing raft_default_timing (void); /* Timing for 30 ms one-way delay. */
struct raft *raft_create (const struct raft_config *config, const struct raft_hard_state *hard,
                          const struct raft_snapshot *snapshot, const raft_entry *entries,
                          size_t entries_len, int64_t now_ms); /* Copies its arguments. */
void raft_destroy (struct raft *r);
void raft_tick (struct raft *r, int64_t now_ms); /* Runs timers; call every 10 to 100 ms. */
void raft_receive (struct raft *r, const raft_message *m, int64_t now_ms);
uint64_t raft_propose (struct raft *r, const void *data, size_t len,
                       struct status *st); /* Appends a command; its index, 0 when refused. */
void raft_output (struct raft *r, struct raft_output *out, int64_t now_ms); /* Collects results. */
void raft_written (struct raft *r, int64_t now_ms); /* The last output's batch is durable. */
bool raft_has_unwritten (const struct raft *r);     /* Hard state or entries wait for a write. */
bool raft_has_output (const struct raft *r);        /* True when raft_output has something new. */
void raft_compact (struct raft *r, const struct raft_snapshot *snapshot,
                   uint64_t keep_from); /* Drops entries below KEEP_FROM (at most index + 1). */
int raft_transfer_leadership (
    struct raft *r, uint64_t to, int64_t now_ms,
    struct status *st); /* To TO, or if 0 to the active voter with the longest log. */
int raft_set_target (struct raft *r, const raft_members *target,
                     struct status *st);         /* Changes members step by step towards TARGET. */
bool raft_target_reached (const struct raft *r); /* No change is pending or uncommitted. */
uint64_t raft_start_read_round (struct raft *r); /* Starts a round to confirm leadership. */
bool raft_round_confirmed (const struct raft *r, uint64_t round); /* A quorum has replied. */
uint64_t raft_quorum_completed_by (
    const struct raft *r,
    int64_t now_ms); /* Voter whose reply completed the last quorum; 0 unless all voters reply. */
void raft_peer_connected (struct raft *r, uint64_t node); /* Sends to NODE at once. */
void raft_step_down (struct raft *r, int64_t now_ms); /* Becomes a follower that knows no leader. */

enum raft_role raft_role (const struct raft *r);
uint64_t raft_term (const struct raft *r);
uint64_t raft_leader (const struct raft *r); /* 0 when unknown */
uint64_t raft_commit (const struct raft *r);
uint64_t raft_first_index (const struct raft *r); /* oldest entry held */
uint64_t raft_last_index (const struct raft *r);
uint64_t raft_durable_index (const struct raft *r);
uint64_t raft_log_bytes (const struct raft *r);         /* bytes of the entries held */
uint64_t raft_uncommitted_bytes (const struct raft *r); /* bytes after the commit index */
const raft_entry *raft_entry_at (const struct raft *r, uint64_t index); /* NULL when not held */
uint64_t raft_entry_term (const struct raft *r,
                          uint64_t index); /* Of an entry held or just before these, else 0. */
const raft_members *raft_latest_members (const struct raft *r); /* latest in the log */
void raft_members_at (const struct raft *r, uint64_t index,
                      raft_members *out); /* As of INDEX, at least the snapshot's; copied. */
struct raft_hard_state raft_hard_state (const struct raft *r);
size_t raft_peers (const struct raft *r, struct raft_peer_view *out, size_t max,
                   int64_t now_ms);                /* Leader's view of its peers. */
bool raft_sending_snapshot (const struct raft *r); /* A snapshot is being sent. */
bool raft_may_vote (const struct raft *r);         /* The member list grants this store a vote. */
struct raft_change_view raft_change_view (const struct raft *r, int64_t now_ms); /* For reports. */

void raft_members_copy (raft_members *to, const raft_members *from); /* Deep copy. */
void raft_members_free (raft_members *m);
const raft_member *raft_members_find (const raft_members *m, uint64_t node); /* NULL if absent. */

#endif
