/* The state machine of the simulation, its clients and the checks of the outcomes they get.  */
#include "log_sim.h"

#include <stdlib.h>
#include <string.h>

struct sim_call
{
  struct sim *sim;
  uint64_t command;
  uint64_t node;
  uint64_t floor;   /* read: highest index acknowledged when it began */
  int64_t began_ms; /* read: on the node's clock */
};

static unsigned long long
ull (uint64_t v)
{
  return v;
}

static void
reserve_command (struct sim *s, uint64_t command)
{
  if (command < s->commands_capacity)
    return;
  uint64_t size = (command + 1) * 2;
  s->outcomes = xrealloc (s->outcomes, size);
  s->applied = xrealloc (s->applied, size);
  memset (s->outcomes + s->commands_capacity, 0, size - s->commands_capacity);
  memset (s->applied + s->commands_capacity, 0, size - s->commands_capacity);
  s->commands_capacity = size;
}

/* ---- the state machine: a hash chain over all commands ---- */

static void
machine_apply (struct machine *machine, uint64_t index, const void *command, size_t len,
               struct buffer *result)
{
  struct sim_machine *m = (struct sim_machine *)machine;
  struct sim *s = m->sim;
  uint64_t number = 0;
  memcpy (&number, command, len < sizeof number ? len : sizeof number);
  if (index <= m->index)
    sim_fail (s, "node %llu applied index %llu twice", ull (m->node), ull (index));
  m->index = index;
  m->count++;
  m->state_hash = (m->state_hash ^ number ^ (index << 32)) * 0x9e3779b97f4a7c15ULL;
  m->state_hash ^= m->state_hash >> 29;
  sim_reserve_index (s, index);
  if (s->state_hashes[index] == 0)
    s->state_hashes[index] = m->state_hash;
  else if (s->state_hashes[index] != m->state_hash)
    sim_fail (s, "state of node %llu differs at index %llu", ull (m->node), ull (index));
  reserve_command (s, number);
  s->applied[number] = 1;
  buffer_append (result, &m->state_hash, sizeof m->state_hash);
}

static bool
machine_save (struct machine *machine, struct buffer *out)
{
  struct sim_machine *m = (struct sim_machine *)machine;
  uint64_t state[3] = { m->index, m->count, m->state_hash };
  buffer_append (out, state, sizeof state);
  for (uint32_t i = 0; i < m->sim->config.state_bytes; i += 8)
    buffer_append (out, &m->state_hash, 8);
  return !m->sim->config.unencodable_state;
}

static int
machine_load (struct machine *machine, const void *data, size_t len, struct status *st)
{
  struct sim_machine *m = (struct sim_machine *)machine;
  uint64_t state[3];
  if (len < sizeof state)
    return status_set (st, STATUS_INTERNAL, "short snapshot");
  memcpy (state, data, sizeof state);
  m->index = state[0];
  m->count = state[1];
  m->state_hash = state[2];
  m->sim->snapshots_installed++;
  if (m->index < m->sim->index_capacity && m->sim->state_hashes[m->index] != m->state_hash)
    sim_fail (m->sim, "snapshot of node %llu differs at index %llu", ull (m->node), ull (m->index));
  return 0;
}

const struct machine_ops sim_machine_ops = { machine_apply, machine_save, machine_load };

/* ---- clients ---- */

static void
proposal_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct sim_call *call = arg;
  struct sim *s = call->sim;
  uint64_t n = call->command;
  if (s->outcomes[n] != SIM_PENDING)
    sim_fail (s, "command %llu got two outcomes", ull (n));
  if (st->kind == STATUS_OK)
    {
      struct sim_machine *m = &sim_node (s, call->node)->machine;
      s->outcomes[n] = SIM_OK;
      s->ok++;
      if (!s->applied[n])
        sim_fail (s, "command %llu acknowledged but not applied", ull (n));
      if (len != sizeof m->state_hash || memcmp (result, &m->state_hash, len) != 0)
        sim_fail (s, "command %llu got another command's result", ull (n));
      if (m->index > s->acknowledged)
        s->acknowledged = m->index;
    }
  else
    s->outcomes[n] = st->kind == STATUS_OUTCOME_UNKNOWN ? SIM_UNKNOWN : SIM_REFUSED;
  free (call);
}

void
sim_propose (struct sim *s, struct sim_node *n, size_t bytes)
{
  char command[4096];
  if (!n || !n->group)
    return;
  uint64_t number = ++s->next_command;
  reserve_command (s, number);
  struct sim_call *call = xcalloc (1, sizeof *call);
  *call = (struct sim_call){ .sim = s, .command = number, .node = n->id };
  if (bytes < sizeof number)
    bytes = sizeof number;
  memset (command, 0, bytes);
  memcpy (command, &number, sizeof number);
  group_propose (n->group, command, bytes, proposal_done, call);
}

static void
read_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct sim_call *call = arg;
  struct sim *s = call->sim;
  (void)result;
  (void)len;
  if (st->kind == STATUS_OK)
    {
      struct sim_node *n = sim_node (s, call->node);
      s->reads++;
      if (s->config.authority_ms > 0 && !n->transferred)
        n->authority_until_ms = call->began_ms + s->config.authority_ms;
      if (n->machine.index < call->floor)
        sim_fail (s, "a read on node %llu misses index %llu acknowledged before it",
                  ull (call->node), ull (call->floor));
    }
  free (call);
}

void
sim_read (struct sim *s, struct sim_node *n)
{
  if (!n || !n->group)
    return;
  struct sim_call *call = xcalloc (1, sizeof *call);
  *call = (struct sim_call){
    .sim = s, .node = n->id, .floor = s->acknowledged, .began_ms = sim_local_ms (s, n)
  };
  group_confirm_leadership (n->group, read_done, call);
}

int
sim_transfer (struct sim *s, struct sim_node *n)
{
  struct status st;
  sim_trace (s, "node %llu transfers its leadership", ull (n->id));
  n->transferred = true;
  n->authority_until_ms = 0;
  return group_transfer_leadership (n->group, 0, &st);
}

void
sim_check_end (struct sim *s)
{
  for (uint64_t n = 1; n <= s->next_command; n++)
    {
      if (s->outcomes[n] == SIM_REFUSED && s->applied[n])
        sim_fail (s, "command %llu was refused but ran", ull (n));
      if (s->outcomes[n] == SIM_OK && !s->applied[n])
        sim_fail (s, "command %llu was acknowledged but lost", ull (n));
    }
}
