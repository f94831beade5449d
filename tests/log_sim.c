#include "log_sim.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "group_internal.h"

#define US_PER_MS 1000
#define RPC_HEADER_BYTES 44 /* record mark and ONC RPC call header around each message */

int64_t
sim_now_ms (const struct sim *s)
{
  return s->now_us / US_PER_MS;
}

void
sim_trace (struct sim *s, const char *format, ...)
{
  va_list args;
  if (!s->trace)
    return;
  fprintf (s->trace, "%8.3f ", (double)s->now_us / 1000.0);
  va_start (args, format);
  vfprintf (s->trace, format, args);
  va_end (args);
  fputc ('\n', s->trace);
}

void
sim_fail (struct sim *s, const char *format, ...)
{
  va_list args;
  if (s->failed)
    return;
  s->failed = true;
  va_start (args, format);
  vsnprintf (s->failure, sizeof s->failure, format, args);
  va_end (args);
  sim_trace (s, "VIOLATION %s", s->failure);
}

static unsigned long long
ull (uint64_t v)
{
  return v;
}

/* Grows the per-index tables.  */
void
sim_reserve_index (struct sim *s, uint64_t index)
{
  if (index < s->index_capacity)
    return;
  uint64_t size = (index + 1) * 2;
  s->entry_terms = xrealloc (s->entry_terms, size * sizeof *s->entry_terms);
  s->state_hashes = xrealloc (s->state_hashes, size * sizeof *s->state_hashes);
  memset (s->entry_terms + s->index_capacity, 0,
          (size - s->index_capacity) * sizeof *s->entry_terms);
  memset (s->state_hashes + s->index_capacity, 0,
          (size - s->index_capacity) * sizeof *s->state_hashes);
  s->index_capacity = size;
}

static void
reserve_term (struct sim *s, uint64_t term)
{
  if (term < s->term_capacity)
    return;
  uint64_t size = (term + 1) * 2;
  s->leaders = xrealloc (s->leaders, size * sizeof *s->leaders);
  s->votes = xrealloc (s->votes, size * SIM_MAX_NODES * sizeof *s->votes);
  memset (s->leaders + s->term_capacity, 0, (size - s->term_capacity) * sizeof *s->leaders);
  memset (s->votes + s->term_capacity * SIM_MAX_NODES, 0,
          (size - s->term_capacity) * SIM_MAX_NODES * sizeof *s->votes);
  s->term_capacity = size;
}

/* ---- the network ---- */

static bool
is_earlier (const struct sim_message *a, const struct sim_message *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push_message (struct sim *s, struct sim_message m)
{
  if (s->queue_len == s->queue_capacity)
    {
      s->queue_capacity = s->queue_capacity ? s->queue_capacity * 2 : 64;
      s->queue = xrealloc (s->queue, s->queue_capacity * sizeof *s->queue);
    }
  m.order = s->order++;
  size_t at = s->queue_len++;
  while (at > 0 && is_earlier (&m, &s->queue[(at - 1) / 2]))
    {
      s->queue[at] = s->queue[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  s->queue[at] = m;
}

static struct sim_message
pop_message (struct sim *s)
{
  struct sim_message top = s->queue[0];
  struct sim_message last = s->queue[--s->queue_len];
  size_t at = 0;
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= s->queue_len)
        break;
      if (child + 1 < s->queue_len && is_earlier (&s->queue[child + 1], &s->queue[child]))
        child++;
      if (!is_earlier (&s->queue[child], &last))
        break;
      s->queue[at] = s->queue[child];
      at = child;
    }
  if (s->queue_len > 0)
    s->queue[at] = last;
  return top;
}

/* Checks a vote when it is sent: at most one candidate per term, and only from the store to which
   the committed members give the vote.  */
static void
check_vote (struct sim *s, uint64_t node, uint64_t term, uint64_t candidate)
{
  reserve_term (s, term);
  uint64_t *vote = &s->votes[term * SIM_MAX_NODES + node - 1];
  if (*vote != 0 && *vote != candidate)
    sim_fail (s, "node %llu voted for %llu and %llu in term %llu", ull (node), ull (*vote),
              ull (candidate), ull (term));
  *vote = candidate;
  if (node != candidate)
    s->new_voter = node;
  struct group *g = sim_node (s, node)->group;
  const raft_member *member = raft_members_find (&s->members, node);
  const raft_member *own = raft_members_find (group_members (g), node);
  struct group_stats stats;
  group_stats (g, &stats);
  /* A candidate without a vote by its own list does not count itself.  */
  if (node == candidate && (!own || !own->voter || own->store != stats.store))
    return;
  if (member && member->voter && member->store != stats.store)
    sim_fail (s, "node %llu voted with store %llx, its members name %llx", ull (node),
              ull (stats.store), ull (member->store));
}

static void
transmit (struct sim *s, const raft_message *m, char *data, uint32_t len)
{
  size_t from = m->from - 1;
  size_t to = m->to - 1;
  int64_t delay = s->delay_us[from][to] + rng_between (&s->rng, s->delay_min_us, s->delay_max_us);
  int64_t start = s->now_us;
  if (s->link_bytes_per_s)
    {
      if (s->link_free_us[from][to] > start)
        start = s->link_free_us[from][to];
      start += (int64_t)((uint64_t)len * 1000000 / s->link_bytes_per_s);
      s->link_free_us[from][to] = start;
    }
  struct sim_message message
      = { .at_us = start + delay, .from = m->from, .to = m->to, .data = data, .len = len };
  if (m->type == RAFT_APPEND_REQUEST && start + delay - s->now_us > s->longest_append_us)
    s->longest_append_us = start + delay - s->now_us;
  push_message (s, message);
}

static void
sim_send (void *arg, const raft_message *m)
{
  struct sim_node *n = arg;
  struct sim *s = n->machine.sim;
  XDR xdr;
  if (m->type == RAFT_VOTE_REQUEST)
    check_vote (s, m->from, m->term, m->from);
  if (m->type == RAFT_VOTE_REPLY && m->granted)
    check_vote (s, m->from, m->term, m->to);
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_raft_message, (void *)m);
  s->sent_bytes[m->from - 1] += size + RPC_HEADER_BYTES;
  bool lost = s->partitioned[m->from - 1][m->to - 1] || rng_chance (&s->rng, s->loss);
  sim_trace (s, "%llu->%llu type %d term %llu log %llu/%llu commit %llu n %u granted %d%s",
             ull (m->from), ull (m->to), (int)m->type, ull (m->term), ull (m->log_index),
             ull (m->log_term), ull (m->commit), m->entries.entries_len, (int)m->granted,
             lost ? " LOST" : "");
  if (lost)
    return;
  int copies = rng_chance (&s->rng, s->duplicate) ? 2 : 1;
  for (int i = 0; i < copies; i++)
    {
      char *data = xmalloc (size);
      xdrmem_create (&xdr, data, size, XDR_ENCODE);
      if (!xdr_raft_message (&xdr, (raft_message *)m))
        sim_fail (s, "message cannot be encoded");
      xdr_destroy (&xdr);
      transmit (s, m, data, size);
    }
}

/* ---- checks ---- */

static uint64_t
entry_term (const struct group *g, uint64_t index)
{
  const raft_entry *e = group_entry (g, index);
  return e ? e->term : 0;
}

static void
record_members (struct sim *s, const struct group *g, uint64_t index)
{
  const raft_entry *e = group_entry (g, index);
  raft_members decoded;
  XDR xdr;
  if (e->kind != RAFT_ENTRY_MEMBERS || index <= s->members_index)
    return;
  memset (&decoded, 0, sizeof decoded);
  xdrmem_create (&xdr, e->data.data_val, e->data.data_len, XDR_DECODE);
  if (!xdr_raft_members (&xdr, &decoded))
    sim_fail (s, "member list at index %llu cannot be decoded", ull (index));
  xdr_destroy (&xdr);
  raft_members_free (&s->members);
  s->members = decoded;
  s->members_index = index;
}

/* For entries that a snapshot dropped in the flush that committed them: the snapshot has their
   members.  */
static void
record_snapshot_members (struct sim *s, const struct group *g)
{
  if (g->snapshot_index <= s->members_index)
    return;
  raft_members_free (&s->members);
  raft_members_at (g->raft, g->snapshot_index, &s->members);
  s->members_index = g->snapshot_index;
}

static void
check_leader (struct sim *s, struct sim_node *n)
{
  uint64_t term = group_term (n->group);
  reserve_term (s, term);
  if (s->leaders[term] == n->id)
    return;
  if (s->leaders[term] != 0)
    sim_fail (s, "nodes %llu and %llu lead term %llu", ull (s->leaders[term]), ull (n->id),
              ull (term));
  s->leaders[term] = n->id;
  n->authority_until_ms = 0;
  n->transferred = false;
  s->elections++;
  s->new_leader = n->id;
  sim_trace (s, "node %llu leads term %llu", ull (n->id), ull (term));
  struct group_stats stats;
  group_stats (n->group, &stats);
  if (stats.last < s->committed)
    sim_fail (s, "leader %llu of term %llu lacks committed entries: last %llu, committed %llu",
              ull (n->id), ull (term), ull (stats.last), ull (s->committed));
  for (uint64_t i = s->committed; i > 0 && i + 32 > s->committed; i--)
    {
      uint64_t held = entry_term (n->group, i);
      if (held != 0 && s->entry_terms[i] != 0 && held != s->entry_terms[i])
        sim_fail (s,
                  "leader %llu of term %llu holds term %llu at committed index %llu of term %llu",
                  ull (n->id), ull (term), ull (held), ull (i), ull (s->entry_terms[i]));
    }
}

static void
check_commit (struct sim *s, struct sim_node *n)
{
  uint64_t commit = group_commit_index (n->group);
  if (commit <= n->checked)
    return;
  sim_reserve_index (s, commit);
  for (uint64_t i = n->checked + 1; i <= commit; i++)
    {
      uint64_t term = entry_term (n->group, i);
      if (term == 0)
        {
          record_snapshot_members (s, n->group);
          continue;
        }
      record_members (s, n->group, i);
      if (s->entry_terms[i] == 0)
        s->entry_terms[i] = term;
      else if (s->entry_terms[i] != term)
        sim_fail (s, "node %llu commits index %llu of term %llu, committed before in term %llu",
                  ull (n->id), ull (i), ull (term), ull (s->entry_terms[i]));
    }
  n->checked = commit;
  if (commit > s->committed)
    s->committed = commit;
}

/* A confirmed leader acts on its own until its authority ends, so no other may lead by then.  */
static void
check_authority (struct sim *s, const struct sim_node *n)
{
  for (int i = 0; i < s->nodes_len; i++)
    {
      const struct sim_node *other = &s->nodes[i];
      if (other == n || !other->group || !group_is_leader (other->group))
        continue;
      const struct sim_node *first = group_term (n->group) < group_term (other->group) ? n : other;
      const struct sim_node *second = first == n ? other : n;
      if (sim_local_ms (s, first) < first->authority_until_ms)
        sim_fail (s, "node %llu leads term %llu while node %llu has authority for %lld ms",
                  ull (second->id), ull (group_term (second->group)), ull (first->id),
                  (long long)(first->authority_until_ms - sim_local_ms (s, first)));
    }
}

static void
sim_check (struct sim *s, struct sim_node *n)
{
  if (!n->group)
    return;
  if (group_is_leader (n->group))
    {
      check_leader (s, n);
      check_authority (s, n);
    }
  /* Also right after a crash: messages sent before may depend on its commit index.  */
  check_commit (s, n);
  if (n->disk && memory_disk_crashed (n->disk))
    {
      sim_trace (s, "node %llu crashes in a disk write", ull (n->id));
      sim_crash (s, n, rng_between (&s->rng, 1, 1500));
    }
}

/* ---- nodes ---- */

struct sim_node *
sim_node (struct sim *s, uint64_t id)
{
  return &s->nodes[id - 1];
}

struct sim_node *
sim_leader (struct sim *s)
{
  struct sim_node *best = NULL;
  for (int i = 0; i < s->nodes_len; i++)
    {
      struct sim_node *n = &s->nodes[i];
      if (n->group && group_is_leader (n->group)
          && (!best || group_term (n->group) > group_term (best->group)))
        best = n;
    }
  return best;
}

int64_t
sim_local_ms (const struct sim *s, const struct sim_node *n)
{
  return n->offset_ms + (int64_t)((double)s->now_us / US_PER_MS * n->rate);
}

void
sim_start (struct sim *s, struct sim_node *n)
{
  struct status st;
  struct store *store;
  status_clear (&st);
  n->machine = (struct sim_machine){ .machine = { &sim_machine_ops }, .sim = s, .node = n->id };
  store = n->diskless ? memory_store_open () : journal_open (memory_disk_io (n->disk), "sim", &st);
  struct group_config config = { .id = 1,
                                 .node = n->id,
                                 .name = "sim",
                                 .initialized = n->initialized,
                                 .members = n->initialized ? NULL : &s->bootstrap,
                                 .store = store,
                                 .machine = &n->machine.machine,
                                 .rng = &s->rng,
                                 .timing = s->config.timing,
                                 .snapshot_log_bytes = s->config.snapshot_log_bytes,
                                 .append_bytes = s->config.append_bytes,
                                 .chunk_bytes = s->config.chunk_bytes,
                                 .events = { .send = sim_send, .arg = n } };
  n->group = group_open (&config, sim_local_ms (s, n), &st);
  n->checked = 0;
  n->authority_until_ms = 0;
  n->transferred = false;
  bool crashed = n->disk && memory_disk_crashed (n->disk);
  if (!n->group && (crashed || (n->disk && memory_disk_is_full (n->disk))))
    {
      if (crashed)
        memory_disk_restart (n->disk);
      n->restart_at_ms = sim_now_ms (s) + 100;
      return;
    }
  if (!n->group)
    {
      sim_fail (s, "node %llu cannot start: %s", ull (n->id), st.message);
      return;
    }
  if (!n->wiped)
    n->initialized = true;
  sim_trace (s, "node %llu starts, term %llu, last %llu", ull (n->id), ull (group_term (n->group)),
             ull (group_applied_index (n->group)));
}

struct sim_node *
sim_add_node (struct sim *s, bool diskless)
{
  struct sim_node *n = &s->nodes[s->nodes_len++];
  n->id = (uint64_t)s->nodes_len;
  n->used = true;
  n->diskless = diskless;
  n->rate = 1.0;
  n->restart_at_ms = -1;
  n->initialized = true;
  if (!diskless)
    n->disk = memory_disk_create (&s->rng);
  return n;
}

void
sim_crash (struct sim *s, struct sim_node *n, int64_t down_ms)
{
  if (!n->group)
    return;
  sim_trace (s, "node %llu crashes", ull (n->id));
  group_close (n->group);
  n->group = NULL;
  if (n->disk)
    memory_disk_crash (n->disk);
  n->restart_at_ms = down_ms < 0 ? -1 : sim_now_ms (s) + down_ms;
}

void
sim_drop_from (struct sim *s, uint64_t node)
{
  /* The heap stays valid: a dropped message keeps its place and is skipped on delivery.  */
  for (size_t i = 0; i < s->queue_len; i++)
    if (s->queue[i].from == node)
      s->queue[i].to = 0;
}

void
sim_wipe (struct sim *s, struct sim_node *n, int64_t down_ms)
{
  sim_crash (s, n, down_ms);
  memory_disk_free (n->disk);
  n->disk = memory_disk_create (&s->rng);
  n->wiped = true;
  n->initialized = true;
  sim_trace (s, "node %llu lost its disk", ull (n->id));
}

void
sim_init (struct sim *s, const struct sim_config *config)
{
  memset (s, 0, sizeof *s);
  s->config = *config;
  if (s->config.step_ms == 0)
    s->config.step_ms = 10;
  rng_init (&s->rng, config->seed);
  int total = config->voters + config->learners;
  s->bootstrap.members.members_val
      = xcalloc ((size_t)total, sizeof *s->bootstrap.members.members_val);
  s->bootstrap.members.members_len = (u_int)total;
  for (int i = 0; i < total; i++)
    {
      struct sim_node *n = sim_add_node (s, i >= config->voters);
      n->initialized = false;
      s->bootstrap.members.members_val[i]
          = (raft_member){ .node = n->id, .voter = i < config->voters };
    }
  raft_members_copy (&s->members, &s->bootstrap);
}

void
sim_close (struct sim *s)
{
  for (int i = 0; i < s->nodes_len; i++)
    {
      group_close (s->nodes[i].group);
      memory_disk_free (s->nodes[i].disk);
    }
  for (size_t i = 0; i < s->queue_len; i++)
    free (s->queue[i].data);
  free (s->queue);
  raft_members_free (&s->bootstrap);
  raft_members_free (&s->members);
  free (s->entry_terms);
  free (s->state_hashes);
  free (s->leaders);
  free (s->votes);
  free (s->outcomes);
  free (s->applied);
}

/* ---- time ---- */

static void
input_done (struct sim *s, struct sim_node *n, bool flush)
{
  if (flush && n->group)
    if (group_needs_flush (n->group))
      group_flush (n->group);
  sim_check (s, n);
}

static void
deliver (struct sim *s, struct sim_message *queued)
{
  raft_message m;
  XDR xdr;
  if (queued->to == 0)
    return;
  struct sim_node *n = sim_node (s, queued->to);
  if (!n->group)
    return;
  s->received_bytes[n->id - 1] += queued->len + RPC_HEADER_BYTES;
  memset (&m, 0, sizeof m);
  xdrmem_create (&xdr, queued->data, queued->len, XDR_DECODE);
  if (!xdr_raft_message (&xdr, &m))
    sim_fail (s, "message cannot be decoded");
  xdr_destroy (&xdr);
  group_receive (n->group, &m, sim_local_ms (s, n));
  xdr_free ((xdrproc_t)xdr_raft_message, (char *)&m);
  input_done (s, n, rng_chance (&s->rng, 0.7));
}

void
sim_step (struct sim *s)
{
  int64_t until = s->now_us + s->config.step_ms * US_PER_MS;
  while (s->queue_len > 0 && s->queue[0].at_us <= until && !s->failed)
    {
      struct sim_message m = pop_message (s);
      if (m.at_us > s->now_us)
        s->now_us = m.at_us;
      deliver (s, &m);
      free (m.data);
    }
  s->now_us = until;
  for (int i = 0; i < s->nodes_len && !s->failed; i++)
    {
      struct sim_node *n = &s->nodes[i];
      if (!n->group && n->used && n->restart_at_ms >= 0 && sim_now_ms (s) >= n->restart_at_ms)
        sim_start (s, n);
      if (!n->group)
        continue;
      group_tick (n->group, sim_local_ms (s, n));
      input_done (s, n, true);
    }
}

void
sim_run_ms (struct sim *s, int64_t ms)
{
  int64_t until = s->now_us + ms * US_PER_MS;
  while (s->now_us < until && !s->failed)
    sim_step (s);
}
