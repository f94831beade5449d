/* group: one replicated state machine, made of a raft, its store and a struct machine.

   NOTES
   A group does no network I/O and reads no clock.  The daemon gives it messages and the time, calls
   group_flush once per iteration of its loop, and sends what the `send` callback hands out.  The
   time of a message is read after the message: a voter elects nobody else for a while from then on.
   Proposals and messages of one iteration share one disk write.  Callbacks must not call
   group_close; `send` must not call back into the group at all.  The message passed to `send` is
   valid only during the call.

   After a failed disk write the group leaves the protocol: it steps down, knows no leader, sends
   nothing, fails proposals and membership changes with STATUS_DISK_FAILED and reports it in the
   stats.  group_tick then tries every 500 ms to write the whole state to new files; once that
   succeeds the group takes part again, with the vote, the log and the store id that it had.

   First start: with an empty store and `initialized` false, `members` becomes the first member list
   and this node may vote if it is in it.  With an empty store and `initialized` true the node holds
   no members and waits until a leader sends it the log; it votes only after a leader has promoted
   this store (see raft.h).  `members` and `initialized` are ignored when the store has content.  */

#ifndef SASSAFRAS_GROUP_H
#define SASSAFRAS_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "journal.h"
#include "machine.h"
#include "raft.h"
#include "rng.h"
#include "status.h"

#define GROUP_MAX_PENDING_BYTES (8u << 20) /* commands accepted but not committed */
#define GROUP_DEFAULT_LOG_BYTES (4u << 20) /* log size that triggers a snapshot */

struct group;

/* Completion callback of a proposal, called exactly once.  RESULT is valid during the call.  */
typedef void (*group_done) (void *arg, const struct status *st, const void *result, size_t len);

struct group_events
{
  void (*send) (void *arg, const raft_message *m);     /* transmit to m->to; may be dropped */
  void (*leader_changed) (void *arg, struct group *g); /* role, term or known leader changed */
  void *arg;
};

struct group_config
{
  uint64_t id;                 /* 0 is the registry, 1 and up are cells */
  uint64_t node;               /* id of this node, not 0; a replaced disk should get a new one */
  const char *name;            /* for log lines */
  bool initialized;            /* the group existed before: an empty store may not vote */
  const raft_members *members; /* first members, used only when the group is new */
  struct store *store;         /* closed by group_close */
  struct machine *machine;     /* not owned */
  struct rng *rng;             /* seeded from the kernel's entropy: it also generates store ids */
  struct raft_timing timing;   /* all zero selects raft_default_timing */
  uint64_t snapshot_log_bytes; /* 0 selects GROUP_DEFAULT_LOG_BYTES */
  uint32_t append_bytes;       /* target size of one append message; 0 selects 64 KiB */
  uint32_t chunk_bytes;        /* size of a snapshot chunk; 0 selects 64 KiB, the limit */
  struct group_events events;
};

struct group_stats
{
  enum raft_role role;
  uint64_t term;
  uint64_t store; /* id of the store, see raft.h */
  uint64_t leader;
  uint64_t commit;
  uint64_t applied;
  uint64_t last;
  uint64_t snapshot_index;
  uint64_t snapshot_bytes;
  uint64_t log_bytes; /* entries in memory */
  uint64_t syncs;     /* fsync calls so far */
  uint64_t proposals; /* accepted so far */
  uint64_t pending;   /* proposals without an outcome */
  bool disk_failed;
  bool may_vote;                  /* the member list grants this store a vote */
  struct raft_change_view change; /* leader only */
  size_t peers_len;
  struct raft_peer_view peers[PEER_MAX_MEMBERS];
};

struct group *group_open (const struct group_config *config, int64_t now_ms,
                          struct status *st); /* Loads the store; NULL on failure. */
void group_close (struct group *g);           /* Pending proposals end with OUTCOME_UNKNOWN. */
void group_propose (struct group *g, const void *command, size_t len, group_done done,
                    void *arg); /* DONE may be called at once. */
void group_receive (struct group *g, const raft_message *m,
                    int64_t now_ms);               /* A message from a peer, read at NOW_MS. */
void group_tick (struct group *g, int64_t now_ms); /* Sets the time; every 10 to 100 ms. */
void group_flush (struct group *g);                /* Writes, sends and applies. */
bool group_needs_flush (const struct group *g);    /* The event loop must flush before it blocks. */
bool group_is_leader (const struct group *g);
uint64_t group_leader_node (const struct group *g); /* 0 when unknown */
uint64_t group_term (const struct group *g);
uint64_t group_commit_index (const struct group *g);
uint64_t group_applied_index (const struct group *g);
const raft_entry *group_entry (const struct group *g, uint64_t index); /* NULL when not held */
const raft_members *group_members (const struct group *g); /* Latest members in the log. */
int group_transfer_leadership (
    struct group *g, uint64_t to,
    struct status *st); /* For a planned stop; TO 0: to the active voter with the longest log. */
uint64_t group_quorum_completed_by (const struct group *g); /* As raft_quorum_completed_by. */
void group_change_members (struct group *g, const raft_members *target, group_done done,
                           void *arg); /* One member at a time; call again after a failure. */
void group_confirm_leadership (struct group *g, group_done done,
                               void *arg); /* OK once a quorum confirms; then read the machine. */
void group_peer_connected (struct group *g, uint64_t node); /* Connection is up: sends at once. */
void group_stats (const struct group *g, struct group_stats *out);

#endif
