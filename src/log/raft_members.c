/* Membership: the list in force, its encoding and changes by one member at a time.  */

#include "raft_internal.h"

#include <stdlib.h>
#include <string.h>

void
raft_members_free (raft_members *m)
{
  free (m->members.members_val);
  memset (m, 0, sizeof *m);
}

void
raft_members_copy (raft_members *to, const raft_members *from)
{
  u_int len = from->members.members_len;
  raft_member *copy = len ? xcalloc (len, sizeof *copy) : NULL;
  if (len > 0)
    memcpy (copy, from->members.members_val, len * sizeof *copy);
  free (to->members.members_val);
  to->members.members_val = copy;
  to->members.members_len = len;
}

const raft_member *
raft_members_find (const raft_members *m, uint64_t node)
{
  for (u_int i = 0; i < m->members.members_len; i++)
    if (m->members.members_val[i].node == node)
      return &m->members.members_val[i];
  return NULL;
}

bool
raft_decode_members (const void *data, size_t len, raft_members *out)
{
  XDR xdr;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  bool ok = xdr_raft_members (&xdr, out);
  xdr_destroy (&xdr);
  if (!ok)
    xdr_free ((xdrproc_t)xdr_raft_members, (char *)out);
  return ok;
}

static void
append_members (struct raft *r, raft_members *members)
{
  XDR xdr;
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_raft_members, members);
  char *data = xmalloc (size);
  xdrmem_create (&xdr, data, size, XDR_ENCODE);
  xdr_raft_members (&xdr, members);
  xdr_destroy (&xdr);
  raft_append_entry (r, RAFT_ENTRY_MEMBERS, data, size);
  free (data);
}

void
raft_append_entry (struct raft *r, raft_entry_kind kind, const void *data, size_t len)
{
  raft_log_append (&r->log, r->hard.term, kind, data, len);
  if (kind == RAFT_ENTRY_MEMBERS)
    raft_reload_members (r);
}

size_t
raft_voters (const struct raft *r)
{
  size_t voters = 0;
  for (u_int i = 0; i < r->members.members.members_len; i++)
    if (r->members.members.members_val[i].voter)
      voters++;
  return voters;
}

bool
raft_self_is_voter (const struct raft *r)
{
  const raft_member *self = raft_members_find (&r->members, r->node);
  return self && self->voter;
}

void
raft_reset_catch_up (struct raft_peer *p)
{
  p->mark = 0;
  p->mark_ms = INT64_MIN / 2;
  p->caught_up_ms = INT64_MIN / 2;
}

static void
init_peer (const struct raft *r, struct raft_peer *p, uint64_t node)
{
  memset (p, 0, sizeof *p);
  p->node = node;
  p->state = PEER_PROBE;
  p->next = raft_log_last (&r->log);
  if (p->next == 0)
    p->next = 1;
  p->send_now = true;
  p->reply_ms = INT64_MIN / 2;
  raft_reset_catch_up (p);
}

void
raft_set_members (struct raft *r, const raft_members *members, uint64_t index)
{
  raft_members copy = { { 0, NULL } };
  raft_members_copy (&copy, members);
  raft_members_free (&r->members);
  r->members = copy;
  r->members_index = index;
  struct raft_peer *peers = xcalloc (copy.members.members_len, sizeof *peers);
  size_t len = 0;
  for (u_int i = 0; i < copy.members.members_len; i++)
    {
      const raft_member *member = &copy.members.members_val[i];
      if (member->node == r->node)
        continue;
      const struct raft_peer *known = raft_find_peer (r, member->node);
      struct raft_peer *p = &peers[len++];
      if (known)
        *p = *known;
      else
        init_peer (r, p, member->node);
      p->voter = member->voter;
      p->member_store = member->store;
    }
  free (r->peers);
  r->peers = peers;
  r->peers_len = len;
}

void
raft_reload_members (struct raft *r)
{
  for (uint64_t i = raft_log_last (&r->log); i > r->snapshot.index; i--)
    {
      const raft_entry *e = raft_log_at (&r->log, i);
      raft_members members;
      if (!e)
        break;
      if (e->kind != RAFT_ENTRY_MEMBERS
          || !raft_decode_members (e->data.data_val, e->data.data_len, &members))
        continue;
      raft_set_members (r, &members, i);
      raft_members_free (&members);
      return;
    }
  raft_set_members (r, &r->snapshot.members, r->snapshot.index);
}

void
raft_members_at (const struct raft *r, uint64_t index, raft_members *out)
{
  memset (out, 0, sizeof *out);
  if (index >= r->members_index)
    {
      raft_members_copy (out, &r->members);
      return;
    }
  for (uint64_t i = index; i > r->snapshot.index; i--)
    {
      const raft_entry *e = raft_log_at (&r->log, i);
      if (e && e->kind == RAFT_ENTRY_MEMBERS
          && raft_decode_members (e->data.data_val, e->data.data_len, out))
        return;
    }
  raft_members_copy (out, &r->snapshot.members);
}

static int
check_target (const struct raft *r, const raft_members *target, struct status *st)
{
  size_t voters = 0;
  for (u_int i = 0; i < target->members.members_len; i++)
    {
      const raft_member *m = &target->members.members_val[i];
      voters += m->voter ? 1 : 0;
      if (m->node == 0 || raft_members_find (target, m->node) != m)
        return status_set (st, STATUS_BAD_REQUEST, "member %llu is zero or named twice",
                           (unsigned long long)m->node);
    }
  if (voters == 0)
    return status_set (st, STATUS_BAD_REQUEST, "a group needs at least one voter");
  if (target->members.members_len > PEER_MAX_MEMBERS)
    return status_set (st, STATUS_BAD_REQUEST, "%u members, limit %d", target->members.members_len,
                       PEER_MAX_MEMBERS);
  const raft_member *self = raft_members_find (target, r->node);
  if (!self || !self->voter)
    return status_set (st, STATUS_BAD_REQUEST,
                       "the leader, node %llu, is not a voter of the new list: transfer first",
                       (unsigned long long)r->node);
  return 0;
}

int
raft_set_target (struct raft *r, const raft_members *target, struct status *st)
{
  if (r->role != RAFT_LEADER)
    return status_set (st, STATUS_NOT_LEADER, "node %llu does not lead group %llu",
                       (unsigned long long)r->node, (unsigned long long)r->group);
  if (check_target (r, target, st))
    return -1;
  raft_members_copy (&r->target, target);
  r->target_set = true;
  return 0;
}

/* Appends a member list that changes one member.  */
static void
change_member (struct raft *r, uint64_t node, bool present, bool voter, uint64_t store)
{
  raft_members next = { { 0, NULL } };
  const raft_members *now = &r->members;
  next.members.members_val
      = xcalloc (now->members.members_len + 1, sizeof *next.members.members_val);
  for (u_int i = 0; i < now->members.members_len; i++)
    if (now->members.members_val[i].node != node)
      next.members.members_val[next.members.members_len++] = now->members.members_val[i];
  if (present)
    next.members.members_val[next.members.members_len++]
        = (raft_member){ .node = node, .voter = voter, .store = store };
  append_members (r, &next);
  raft_members_free (&next);
}

static bool
add_learner (struct raft *r)
{
  for (u_int i = 0; i < r->target.members.members_len; i++)
    {
      uint64_t node = r->target.members.members_val[i].node;
      /* When the list is full, a member is removed first and the next step adds this one.  */
      if (raft_members_find (&r->members, node)
          || r->members.members.members_len >= PEER_MAX_MEMBERS)
        continue;
      change_member (r, node, true, false, 0);
      return true;
    }
  return false;
}

static bool
is_active (const struct raft *r, const struct raft_peer *p, int64_t now_ms)
{
  return now_ms - p->reply_ms < r->timing.quorum_ms;
}

static bool
has_caught_up (const struct raft *r, const struct raft_peer *p, int64_t now_ms)
{
  return raft_log_last (&r->log) - p->match <= RAFT_CATCH_UP_ENTRIES
         || now_ms - p->caught_up_ms <= r->timing.election_min_ms;
}

/* Why learner P may not be promoted yet; RAFT_CHANGE_NONE if it may.  */
static enum raft_change_wait
promotion_wait (const struct raft *r, const struct raft_peer *p, int64_t now_ms)
{
  if (!p->store_known || !is_active (r, p, now_ms))
    return RAFT_CHANGE_NO_REPLY;
  if (p->store & RAFT_STORE_VOLATILE)
    return RAFT_CHANGE_NO_STORE;
  if (p->state == PEER_SNAPSHOT)
    return RAFT_CHANGE_SNAPSHOT;
  if (p->state != PEER_REPLICATE || !has_caught_up (r, p, now_ms))
    return RAFT_CHANGE_CATCHING_UP;
  return RAFT_CHANGE_NONE;
}

/* True if the target promotes P, a learner.  */
static bool
is_to_promote (const struct raft *r, const struct raft_peer *p)
{
  const raft_member *wanted = raft_members_find (&r->target, p->node);
  return !p->voter && wanted && wanted->voter;
}

/* The first learner to promote; READY is true when all learners to promote may be promoted now.  */
static struct raft_peer *
next_promotion (struct raft *r, int64_t now_ms, bool *ready)
{
  struct raft_peer *first = NULL;
  *ready = true;
  for (size_t i = 0; i < r->peers_len; i++)
    {
      struct raft_peer *p = &r->peers[i];
      if (!is_to_promote (r, p))
        continue;
      if (promotion_wait (r, p, now_ms) != RAFT_CHANGE_NONE)
        *ready = false;
      else if (!first)
        first = p;
    }
  return first;
}

/* A member that the target removes or demotes; with ONLY_LOST_DISK, a voter whose disk was
   replaced.  These are removed at once, the others after promotions: a voter that only does not
   answer may return, and the group bears fewer lost disks without it.  */
static struct raft_peer *
next_removal (struct raft *r, bool only_lost_disk)
{
  for (size_t i = 0; i < r->peers_len; i++)
    {
      struct raft_peer *p = &r->peers[i];
      const raft_member *wanted = raft_members_find (&r->target, p->node);
      bool keep = wanted && (wanted->voter || !p->voter);
      bool lost_disk = p->voter && p->store_known && p->store != p->member_store;
      if (!keep && (!only_lost_disk || lost_disk))
        return p;
    }
  return NULL;
}

static void
remove_member (struct raft *r, const struct raft_peer *p)
{
  const raft_member *wanted = raft_members_find (&r->target, p->node);
  change_member (r, p->node, wanted != NULL, false, 0);
}

void
raft_step_member_change (struct raft *r, int64_t now_ms)
{
  if (!r->target_set || r->members_index > r->commit || r->commit < r->noop_index)
    return;
  if (add_learner (r))
    return;
  bool ready;
  struct raft_peer *promote = next_promotion (r, now_ms, &ready);
  struct raft_peer *p = next_removal (r, true);
  if (p)
    remove_member (r, p);
  else if (!ready)
    return;
  else if (promote)
    change_member (r, promote->node, true, true, promote->store);
  else if ((p = next_removal (r, false)) != NULL)
    remove_member (r, p);
  else
    r->target_set = false;
}

struct raft_change_view
raft_change_view (const struct raft *r, int64_t now_ms)
{
  struct raft_change_view view = { .wait = RAFT_CHANGE_NONE };
  if (r->role != RAFT_LEADER)
    return view;
  if (r->members_index > r->commit || r->commit < r->noop_index)
    view.wait = RAFT_CHANGE_COMMIT;
  for (size_t i = 0; i < r->peers_len && r->target_set && view.wait == RAFT_CHANGE_NONE; i++)
    {
      const struct raft_peer *p = &r->peers[i];
      if (!is_to_promote (r, p))
        continue;
      view.wait = promotion_wait (r, p, now_ms);
      view.node = view.wait == RAFT_CHANGE_NONE ? 0 : p->node;
      view.entries_behind = raft_log_last (&r->log) - p->match;
      view.snapshot_sent = p->state == PEER_SNAPSHOT ? p->snapshot_offset : 0;
      view.snapshot_bytes = r->snapshot.bytes;
    }
  return view;
}
