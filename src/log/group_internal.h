/* group_internal: the state of a group, shared by the group*.c files only.  */

#ifndef SASSAFRAS_GROUP_INTERNAL_H
#define SASSAFRAS_GROUP_INTERNAL_H

#include <sys/queue.h>

#include "group.h"

/* A proposal, or a request to confirm leadership, that waits for its outcome.  */
struct group_waiter
{
  STAILQ_ENTRY (group_waiter) link;
  uint64_t position; /* index of the entry, or the round */
  group_done done;
  void *arg;
};

STAILQ_HEAD (group_waiters, group_waiter);

struct group
{
  struct group_config config;
  struct raft *raft;
  struct store *store;
  int64_t now_ms;
  uint64_t applied;
  uint64_t snapshot_index;
  uint64_t snapshot_bytes;
  uint64_t retry_log_bytes; /* no snapshot before the log is so long: the last try failed */
  uint64_t proposals;
  uint64_t pending;
  struct group_waiters proposed; /* by index */
  struct group_waiters confirms; /* by round */
  group_done change_done;
  void *change_arg;
  bool was_leader;
  uint64_t reported_term;
  uint64_t reported_leader;
  struct status failure;    /* why the group stopped; OK while it runs */
  int64_t next_recovery_ms; /* next attempt to write everything again; while stopped */
  struct buffer result;
};

void group_fail (struct group *g, const struct status *st); /* Stops until the disk works again. */
bool group_has_failed (const struct group *g);
void group_recover (struct group *g);        /* Makes the whole state durable and continues. */
void group_report_changes (struct group *g); /* Of role, term and leader, to the owner. */
int group_save_state (struct group *g, struct status *st); /* A snapshot and what follows it. */
void group_apply (struct group *g);                        /* Applies what is committed. */
int group_install (struct group *g, const struct raft_output *out,
                   struct status *st);       /* Stores and loads a received snapshot. */
void group_maybe_snapshot (struct group *g); /* Takes a snapshot when the log is long. */
void group_send (struct group *g, const raft_message *messages, size_t len);
void group_finish_all (struct group *g, enum status_kind proposal_status,
                       const char *why); /* Confirmations: NOT_LEADER; a change: OUTCOME_UNKNOWN. */

#endif
