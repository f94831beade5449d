/* raft_internal: the state of a raft, shared by the raft_*.c files only.  */

#ifndef SASSAFRAS_RAFT_INTERNAL_H
#define SASSAFRAS_RAFT_INTERNAL_H

#include "raft.h"
#include "raft_log.h"

#define RAFT_APPEND_BYTES 65536u /* default target size of one append message */
#define RAFT_WINDOW_BYTES                                                                          \
  262144u /* limit of unacknowledged bytes per peer: 30 Mbit/s over a 60 ms round trip */
/* A learner this close behind may be promoted, and one that is behind by less than an election
   timeout: a leader with thousands of entries a second is always hundreds of entries ahead.  */
#define RAFT_CATCH_UP_ENTRIES 64u
/* Unacknowledged snapshot bytes per peer; at 30 Mbit/s what follows waits for 140 ms.  */
#define RAFT_SNAPSHOT_WINDOW_BYTES 524288u
#define RAFT_MAX_QUICK_RETRIES 12 /* pre-votes, elections and grants with short retry delays */

enum peer_state
{
  PEER_PROBE,     /* one append at a time until the logs match */
  PEER_REPLICATE, /* appends are pipelined up to the window */
  PEER_SNAPSHOT,  /* snapshot chunks are pipelined up to the window */
};

struct raft_peer
{
  uint64_t node;
  bool voter;
  uint64_t member_store; /* store id in the member list */
  uint64_t store;        /* store id in its replies */
  bool store_known;
  bool granted; /* has granted its vote or pre-vote */
  enum raft_vote_answer vote_answer;
  enum peer_state state;
  uint64_t match; /* highest entry known to be stored there */
  uint64_t mark;  /* end of the leader's log at MARK_MS */
  int64_t mark_ms;
  int64_t caught_up_ms; /* everything that the log held at this time is stored there */
  uint64_t next;        /* next entry to send */
  uint64_t sent_commit; /* highest commit index sent */
  uint64_t round_acked;
  uint64_t snapshot_index;  /* snapshot under transfer */
  uint64_t snapshot_offset; /* bytes that it has acknowledged */
  uint64_t snapshot_next;   /* next byte to send */
  int64_t snapshot_ms;      /* last progress of the transfer */
  uint32_t window;          /* bytes that may be unacknowledged; grows with each acknowledgement */
  uint32_t stream;          /* of the appends being sent, see on_reject */
  bool outstanding; /* a probe has no reply yet, or the first chunk of the snapshot was sent */
  bool send_now;    /* send an append even when it is empty */
  int64_t sent_ms;
  int64_t reply_ms;
};

struct message_list
{
  raft_message *items;
  size_t len;
  size_t capacity;
};

struct raft
{
  uint64_t group;
  uint64_t node;
  struct raft_timing timing;
  struct rng *rng;
  uint32_t append_bytes;
  uint32_t chunk_bytes;

  struct raft_hard_state hard;
  struct raft_log log;
  uint64_t durable; /* last entry that is on disk */
  uint64_t commit;
  struct raft_snapshot snapshot;

  raft_members members;   /* latest in the log, in force whether committed or not */
  uint64_t members_index; /* entry that set them */
  struct raft_peer *peers;
  size_t peers_len;

  enum raft_role role;
  uint64_t leader;
  int64_t leader_ms;     /* last message of the leader */
  int64_t votes_from_ms; /* no votes before, see raft_timing.restart_ms */
  int64_t election_ms;   /* when the next election starts */
  int64_t blocked_ms;    /* last refusal of a pre-vote because this log ends later */

  uint64_t noop_index; /* first entry of this leader's term */
  uint64_t round;
  uint64_t quorum_completed_by; /* the voter whose reply completed the latest quorum of a round */
  uint64_t transfer_to;
  int64_t transfer_until_ms;
  raft_members target;

  struct buffer incoming; /* snapshot being received */
  struct raft_snapshot incoming_snapshot;
  struct buffer installing;

  struct message_list pending; /* to send after the next write */
  struct message_list now;
  struct message_list after;

  int64_t pre_vote_started_ms;         /* start of this node's pre-vote round */
  uint64_t pre_vote_granted_to;        /* candidate whose pre-vote request was granted last */
  int64_t pre_vote_granted_ms;         /* when */
  uint64_t pre_vote_granted_log_index; /* last entry of its log */
  uint64_t pre_vote_granted_log_term;
  int election_attempts;
  bool hard_dirty;      /* HARD is not on disk yet */
  bool self_granted;    /* this node's vote is durable */
  bool round_open;      /* ROUND has not been sent yet */
  bool transfer_sent;   /* TRANSFER_TO was told to start an election */
  bool may_be_replaced; /* a node was told so in this term, and may do it at any time */
  bool target_set;
  bool install; /* INSTALLING is not yet stored */
};

/* raft.c */
raft_message *raft_queue (struct raft *r, raft_message_type type, uint64_t to); /* After write. */
raft_message *raft_message_add (struct raft *r, struct message_list *list, raft_message_type type,
                                uint64_t to); /* A message with the common fields set. */
void raft_become_follower (struct raft *r, uint64_t term, uint64_t leader, int64_t now_ms);
struct raft_peer *raft_find_peer (struct raft *r, uint64_t node); /* NULL if absent. */

/* raft_election.c */
void raft_reset_election (struct raft *r, int64_t now_ms); /* Restarts the election timeout. */
bool raft_has_recent_leader (const struct raft *r, int64_t now_ms);
void raft_forget_leader (struct raft *r); /* This node may vote although it heard from a leader. */
void raft_election_tick (struct raft *r, int64_t now_ms);
void raft_start_election (struct raft *r, bool forced, int64_t now_ms); /* Requests votes. */
void raft_count_votes (struct raft *r, int64_t now_ms);
void raft_on_vote_request (struct raft *r, const raft_message *m, int64_t now_ms);
void raft_record_vote_answer (struct raft *r, const raft_message *m); /* For reports only. */
void raft_on_vote_reply (struct raft *r, const raft_message *m, int64_t now_ms);

/* raft_leader.c */
void raft_become_leader (struct raft *r, int64_t now_ms);
void raft_leader_tick (struct raft *r, int64_t now_ms);
void raft_advance_commit (struct raft *r);
void raft_on_append_reply (struct raft *r, const raft_message *m, int64_t now_ms);
void raft_on_snapshot_reply (struct raft *r, const raft_message *m, int64_t now_ms);
void raft_send_appends (struct raft *r, int64_t now_ms); /* Fills r->now. */
bool raft_has_appends_to_send (const struct raft *r);    /* raft_send_appends would send. */

/* raft_follower.c */
void raft_on_append (struct raft *r, const raft_message *m, int64_t now_ms);
void raft_on_snapshot_chunk (struct raft *r, const raft_message *m, int64_t now_ms);

/* raft_members.c */
void raft_set_members (struct raft *r, const raft_members *members, uint64_t index);
void raft_reset_catch_up (struct raft_peer *p); /* Nothing is known of what P stores. */
void raft_reload_members (struct raft *r);      /* Takes the latest members from the log. */
void raft_append_entry (struct raft *r, raft_entry_kind kind, const void *data, size_t len);
void raft_step_member_change (struct raft *r, int64_t now_ms); /* Proposes the next change. */
bool raft_decode_members (const void *data, size_t len, raft_members *out); /* Owned by OUT. */
size_t raft_voters (const struct raft *r);                                  /* Self included. */
bool raft_self_is_voter (const struct raft *r); /* This node is a voter in the list. */

#endif
