#include "group.h"

#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "group_internal.h"
#include "log.h"

/* A flush repeats when its own write produced more output, for example a won election; the limit
   keeps a callback that proposes again from blocking the event loop.  */
#define FLUSH_MAX_PASSES 3

static struct counter leader_changes
    = { .name = "sassafras_log_leader_changes_total", .help = "Leader changes seen by groups." };

/* Makes the initial state of an empty store durable before the node sends any reply.  */
static int
init_store (struct group *g, struct store_state *state, struct status *st)
{
  const struct group_config *c = &g->config;
  bool bootstrap = !c->initialized && c->members && raft_members_find (c->members, c->node);
  if (!c->initialized && c->members)
    raft_members_copy (&state->snapshot.members, c->members);
  if (g->store->is_volatile)
    state->hard.store = rng_next (c->rng) | RAFT_STORE_VOLATILE;
  else if (!bootstrap)
    state->hard.store = (rng_next (c->rng) & ~RAFT_STORE_VOLATILE) | 1;
  return g->store->ops->save_snapshot (g->store, &state->snapshot, NULL, 0, &state->hard, NULL, 0,
                                       st);
}

static int
restore (struct group *g, struct status *st)
{
  struct store_state state;
  int rc = g->store->ops->load (g->store, &state, st);
  if (rc == 0 && state.empty)
    rc = init_store (g, &state, st);
  if (rc == 0 && state.snapshot.index > 0)
    rc = g->config.machine->ops->load (g->config.machine, state.snapshot_data.data,
                                       state.snapshot_data.len, st);
  if (rc == 0)
    {
      struct raft_config rc_config = { .group = g->config.id,
                                       .node = g->config.node,
                                       .timing = g->config.timing,
                                       .rng = g->config.rng,
                                       .append_bytes = g->config.append_bytes,
                                       .chunk_bytes = g->config.chunk_bytes };
      g->raft = raft_create (&rc_config, &state.hard, &state.snapshot, state.entries,
                             state.entries_len, g->now_ms);
      g->applied = state.snapshot.index;
      g->snapshot_index = state.snapshot.index;
      g->snapshot_bytes = state.snapshot.bytes;
      g->reported_term = state.hard.term;
    }
  store_state_free (&state);
  return rc;
}

struct group *
group_open (const struct group_config *config, int64_t now_ms, struct status *st)
{
  struct group *g = xcalloc (1, sizeof *g);
  g->config = *config;
  g->config.members = config->members;
  g->store = config->store;
  g->now_ms = now_ms;
  STAILQ_INIT (&g->proposed);
  STAILQ_INIT (&g->confirms);
  buffer_init (&g->result);
  if (!g->config.snapshot_log_bytes)
    g->config.snapshot_log_bytes = GROUP_DEFAULT_LOG_BYTES;
  if (restore (g, st))
    {
      store_close (g->store);
      free (g);
      return NULL;
    }
  g->config.members = NULL; /* the caller may free it now */
  return g;
}

static void
finish_waiters (struct group *g, struct group_waiters *list, enum status_kind kind, const char *why)
{
  struct group_waiters taken = STAILQ_HEAD_INITIALIZER (taken);
  struct group_waiter *w;
  struct status st;
  STAILQ_CONCAT (&taken, list);
  status_set (&st, kind, "group %llu: %s", (unsigned long long)g->config.id, why);
  while ((w = STAILQ_FIRST (&taken)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&taken, link);
      w->done (w->arg, &st, NULL, 0);
      free (w);
    }
}

static void
finish_change (struct group *g, enum status_kind kind, const char *why)
{
  group_done done = g->change_done;
  struct status st;
  if (!done)
    return;
  g->change_done = NULL;
  status_clear (&st);
  if (kind != STATUS_OK)
    status_set (&st, kind, "group %llu: %s", (unsigned long long)g->config.id, why);
  done (g->change_arg, &st, NULL, 0);
}

void
group_finish_all (struct group *g, enum status_kind proposal_status, const char *why)
{
  g->pending = 0;
  finish_waiters (g, &g->proposed, proposal_status, why);
  finish_waiters (g, &g->confirms, STATUS_NOT_LEADER, why);
  finish_change (g, STATUS_OUTCOME_UNKNOWN, why);
}

void
group_close (struct group *g)
{
  if (!g)
    return;
  group_finish_all (g, STATUS_OUTCOME_UNKNOWN, "closed before the outcome was known");
  raft_destroy (g->raft);
  store_close (g->store);
  buffer_close (&g->result);
  free (g);
}

/* Reports a change of role, term or leader; loss of leadership completes all waiters.  */
void
group_report_changes (struct group *g)
{
  bool is_leader = group_is_leader (g);
  uint64_t term = raft_term (g->raft);
  uint64_t leader = raft_leader (g->raft);
  bool lost = g->was_leader && (!is_leader || term != g->reported_term);
  if (is_leader == g->was_leader && term == g->reported_term && leader == g->reported_leader)
    return;
  if (leader != 0 && leader != g->reported_leader)
    {
      log_line (LOG_INFO, "group %s: node %llu leads in term %llu", g->config.name,
                (unsigned long long)leader, (unsigned long long)term);
      counter_add (&leader_changes, 1);
    }
  g->was_leader = is_leader;
  g->reported_term = term;
  g->reported_leader = leader;
  if (lost)
    group_finish_all (g, STATUS_OUTCOME_UNKNOWN, "leadership lost before the outcome was known");
  if (g->config.events.leader_changed)
    g->config.events.leader_changed (g->config.events.arg, g);
}

static void
refuse (group_done done, void *arg, const struct status *st)
{
  done (arg, st, NULL, 0);
}

static void
add_waiter (struct group_waiters *list, uint64_t position, group_done done, void *arg)
{
  struct group_waiter *w = xcalloc (1, sizeof *w);
  w->position = position;
  w->done = done;
  w->arg = arg;
  STAILQ_INSERT_TAIL (list, w, link);
}

void
group_propose (struct group *g, const void *command, size_t len, group_done done, void *arg)
{
  struct status st;
  if (group_has_failed (g))
    {
      refuse (done, arg, &g->failure);
      return;
    }
  if (group_is_leader (g) && raft_uncommitted_bytes (g->raft) > GROUP_MAX_PENDING_BYTES)
    {
      status_set (&st, STATUS_OVERLOADED, "group %s: %u bytes of commands wait for a quorum",
                  g->config.name, GROUP_MAX_PENDING_BYTES);
      refuse (done, arg, &st);
      return;
    }
  uint64_t index = raft_propose (g->raft, command, len, &st);
  if (index == 0)
    {
      refuse (done, arg, &st);
      return;
    }
  g->proposals++;
  g->pending++;
  add_waiter (&g->proposed, index, done, arg);
}

void
group_receive (struct group *g, const raft_message *m, int64_t now_ms)
{
  g->now_ms = now_ms;
  if (group_has_failed (g))
    return;
  raft_receive (g->raft, m, now_ms);
  group_report_changes (g);
}

void
group_tick (struct group *g, int64_t now_ms)
{
  g->now_ms = now_ms;
  if (group_has_failed (g))
    group_recover (g);
  if (group_has_failed (g))
    return;
  raft_tick (g->raft, now_ms);
  group_report_changes (g);
}

static void
finish_confirms (struct group *g)
{
  struct group_waiter *w;
  struct status ok;
  status_clear (&ok);
  while ((w = STAILQ_FIRST (&g->confirms)) != NULL)
    {
      if (!raft_round_confirmed (g->raft, w->position))
        return;
      STAILQ_REMOVE_HEAD (&g->confirms, link);
      w->done (w->arg, &ok, NULL, 0);
      free (w);
    }
}

static int
write_output (struct group *g, const struct raft_output *out, struct status *st)
{
  if (out->install)
    return group_install (g, out, st);
  if (out->write)
    return g->store->ops->write (g->store, &out->hard, out->entries, out->entries_len, st);
  return 0;
}

/* One round of send, write, send, apply; false when the group stopped.  */
static bool
flush_once (struct group *g)
{
  struct raft_output out;
  struct status st;
  raft_output (g->raft, &out, g->now_ms);
  group_send (g, out.now, out.now_len);
  if (write_output (g, &out, &st))
    {
      group_fail (g, &st);
      return false;
    }
  raft_written (g->raft, g->now_ms);
  group_send (g, out.after, out.after_len);
  group_report_changes (g);
  group_apply (g);
  finish_confirms (g);
  if (g->change_done && raft_target_reached (g->raft))
    finish_change (g, STATUS_OK, "");
  return true;
}

void
group_flush (struct group *g)
{
  for (int pass = 0; pass < FLUSH_MAX_PASSES; pass++)
    {
      if (group_has_failed (g) || !flush_once (g))
        return;
      if (!raft_has_output (g->raft))
        break;
    }
  group_maybe_snapshot (g);
}

static bool
confirm_is_ready (const struct group *g)
{
  const struct group_waiter *w = STAILQ_FIRST (&g->confirms);
  return w && raft_round_confirmed (g->raft, w->position);
}

bool
group_needs_flush (const struct group *g)
{
  if (group_has_failed (g))
    return false;
  /* The reply that confirms a round causes no output, but its waiters complete in a flush.  */
  if (confirm_is_ready (g))
    return true;
  return raft_has_output (g->raft) || g->applied < raft_commit (g->raft);
}

bool
group_is_leader (const struct group *g)
{
  return raft_role (g->raft) == RAFT_LEADER;
}

uint64_t
group_leader_node (const struct group *g)
{
  return raft_leader (g->raft);
}

uint64_t
group_term (const struct group *g)
{
  return raft_term (g->raft);
}

uint64_t
group_commit_index (const struct group *g)
{
  return raft_commit (g->raft);
}

uint64_t
group_applied_index (const struct group *g)
{
  return g->applied;
}

const raft_entry *
group_entry (const struct group *g, uint64_t index)
{
  return raft_entry_at (g->raft, index);
}

const raft_members *
group_members (const struct group *g)
{
  return raft_latest_members (g->raft);
}

int
group_transfer_leadership (struct group *g, uint64_t to, struct status *st)
{
  return raft_transfer_leadership (g->raft, to, g->now_ms, st);
}

uint64_t
group_quorum_completed_by (const struct group *g)
{
  return raft_quorum_completed_by (g->raft, g->now_ms);
}

void
group_change_members (struct group *g, const raft_members *target, group_done done, void *arg)
{
  struct status st;
  if (group_has_failed (g))
    {
      refuse (done, arg, &g->failure);
      return;
    }
  if (raft_set_target (g->raft, target, &st))
    {
      refuse (done, arg, &st);
      return;
    }
  finish_change (g, STATUS_OUTCOME_UNKNOWN, "replaced by another membership change");
  g->change_done = done;
  g->change_arg = arg;
}

void
group_confirm_leadership (struct group *g, group_done done, void *arg)
{
  struct status st;
  if (group_is_leader (g))
    {
      add_waiter (&g->confirms, raft_start_read_round (g->raft), done, arg);
      return;
    }
  status_set (&st, STATUS_NOT_LEADER, "node %llu does not lead group %s",
              (unsigned long long)g->config.node, g->config.name);
  refuse (done, arg, &st);
}

void
group_peer_connected (struct group *g, uint64_t node)
{
  raft_peer_connected (g->raft, node);
}

void
group_stats (const struct group *g, struct group_stats *out)
{
  memset (out, 0, sizeof *out);
  out->role = raft_role (g->raft);
  out->term = raft_term (g->raft);
  out->store = raft_hard_state (g->raft).store;
  out->leader = raft_leader (g->raft);
  out->commit = raft_commit (g->raft);
  out->applied = g->applied;
  out->last = raft_last_index (g->raft);
  out->snapshot_index = g->snapshot_index;
  out->snapshot_bytes = g->snapshot_bytes;
  out->log_bytes = raft_log_bytes (g->raft);
  out->syncs = g->store->syncs;
  out->proposals = g->proposals;
  out->pending = g->pending;
  out->disk_failed = group_has_failed (g);
  out->may_vote = raft_may_vote (g->raft);
  out->change = raft_change_view (g->raft, g->now_ms);
  out->peers_len = raft_peers (g->raft, out->peers, PEER_MAX_MEMBERS, g->now_ms);
}
