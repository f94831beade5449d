#include "member_sync.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

#define CHECK_PERIOD_MS 200 /* a lost voter is replaced within 4 s, in up to three changes */
#define RETRY_MS 400

static int
compare_members (const void *a, const void *b)
{
  const raft_member *x = a;
  const raft_member *y = b;
  return x->node < y->node ? -1 : x->node > y->node;
}

static bool
same_members (const raft_members *in_log, const raft_member *target, size_t count)
{
  if (in_log->members.members_len != count)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const raft_member *m = raft_members_find (in_log, target[i].node);
      if (!m || m->voter != target[i].voter)
        return false;
    }
  return true;
}

/* Demotes the voters whose disk was replaced to learners.  */
static void
demote_replaced_stores (const struct group *g, raft_member *target, size_t count)
{
  struct group_stats stats;
  group_stats (g, &stats);
  for (size_t i = 0; i < stats.peers_len; i++)
    for (size_t k = 0; k < count; k++)
      if (stats.peers[i].wrong_store && target[k].node == stats.peers[i].node)
        target[k].voter = false;
}

static void
on_change_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct member_sync *m = arg;
  (void)result;
  (void)len;
  m->pending--;
  log_line (LOG_INFO, "group %s: membership change ended: %s", m->name,
            status_ok (st) ? "done" : st->message);
}

void
member_sync_init (struct member_sync *m, struct group *g, const char *name)
{
  memset (m, 0, sizeof *m);
  m->group = g;
  m->name = name;
}

static bool
is_requested (const struct member_sync *m, const raft_member *target, size_t count)
{
  if (m->pending == 0 || m->requested_count != count)
    return false;
  for (size_t i = 0; i < count; i++)
    if (m->requested[i].node != target[i].node || m->requested[i].voter != target[i].voter)
      return false;
  return true;
}

void
member_sync_tick (struct member_sync *m, raft_member *target, size_t count, int64_t now_ms)
{
  if (count == 0 || count > PEER_MAX_MEMBERS || now_ms < m->next_check_ms)
    return;
  m->next_check_ms = now_ms + CHECK_PERIOD_MS;
  qsort (target, count, sizeof *target, compare_members);
  demote_replaced_stores (m->group, target, count);
  if (is_requested (m, target, count)
      || (m->pending == 0 && same_members (group_members (m->group), target, count)))
    return;
  const raft_members list = { { (u_int)count, target } };
  log_line (LOG_INFO, "group %s: changing members", m->name);
  memcpy (m->requested, target, count * sizeof *target);
  m->requested_count = count;
  m->pending++;
  m->next_check_ms = now_ms + RETRY_MS;
  group_change_members (m->group, &list, on_change_done, m);
}
