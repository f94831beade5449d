#include "registry_service.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "counters.h"
#include "log.h"
#include "member_sync.h"
#include "permit.h"
#include "propose_command.h"

#define PROPOSAL_RETRY_MS 500

/* A permit request waiting for a quorum round.  */
struct permit_waiter
{
  uint64_t node;
  char data_centre[PEER_NAME_BYTES + 1];
  uint64_t asked;
  permit_answer_fn *answer;
  void *arg;
  STAILQ_ENTRY (permit_waiter) link;
};

STAILQ_HEAD (waiter_list, permit_waiter);

/* Latest capacity summary of one cell.  */
struct cell_summary
{
  char data_centre[PEER_NAME_BYTES + 1];
  cell_capacity capacity;
};

struct registry_service
{
  struct registry_service_config config;
  struct group *group;
  struct permit_granter *granter;
  struct waiter_list waiting;  /* for the next round */
  struct waiter_list in_round; /* for the round in flight */
  bool round_in_flight;
  int64_t round_started_ms;
  int64_t confirmed_ms; /* start of the last round answered by a quorum */
  struct member_sync members;
  bool proposing;
  int64_t next_proposal_ms;
  struct cell_summary summaries[PEER_MAX_CELLS];
  size_t summary_count;
};

static struct counter grants_total
    = { .name = "sassafras_permits_granted_total", .help = "Start permits granted to cells." };
static struct counter refusals_total = { .name = "sassafras_permits_refused_total",
                                         .help = "Requests for a start permit that were refused." };

struct registry_service *
registry_service_open (const struct registry_service_config *config)
{
  struct registry_service *s = xcalloc (1, sizeof *s);
  s->config = *config;
  s->granter = permit_granter_new ();
  STAILQ_INIT (&s->waiting);
  STAILQ_INIT (&s->in_round);
  return s;
}

static void
free_waiters (struct waiter_list *list)
{
  struct permit_waiter *w;
  while ((w = STAILQ_FIRST (list)))
    {
      STAILQ_REMOVE_HEAD (list, link);
      free (w);
    }
}

void
registry_service_close (struct registry_service *s)
{
  if (!s)
    return;
  free_waiters (&s->waiting);
  free_waiters (&s->in_round);
  permit_granter_free (s->granter);
  free (s);
}

void
registry_service_set_group (struct registry_service *s, struct group *g)
{
  s->group = g;
  member_sync_init (&s->members, g, "registry");
}

static void
fill_cells (const struct registry_service *s, permit_grant *grant, cell_capacity *cells)
{
  for (size_t i = 0; i < s->summary_count; i++)
    {
      cells[i] = s->summaries[i].capacity;
      cells[i].data_centre = (char *)s->summaries[i].data_centre;
    }
  grant->cells.cells_len = (u_int)s->summary_count;
  grant->cells.cells_val = cells;
}

static void
answer_waiter (struct registry_service *s, struct permit_waiter *w, bool confirmed)
{
  cell_capacity cells[PEER_MAX_CELLS];
  permit_grant grant = { .granted = false, .asked = w->asked };
  if (confirmed)
    {
      const registry_data_centre *dc
          = registry_find_data_centre (s->config.registry, w->data_centre);
      struct permit p
          = permit_granter_request (s->granter, dc, w->node, clock_now_ms (s->config.clock));
      grant.granted = p.granted;
      grant.life_ms = p.life_ms;
      grant.cell_epoch = p.epoch;
    }
  fill_cells (s, &grant, cells);
  counter_add (grant.granted ? &grants_total : &refusals_total, 1);
  w->answer (w->arg, &grant);
  free (w);
}

static void
answer_all (struct registry_service *s, struct waiter_list *list, bool confirmed)
{
  struct permit_waiter *w;
  while ((w = STAILQ_FIRST (list)))
    {
      STAILQ_REMOVE_HEAD (list, link);
      answer_waiter (s, w, confirmed);
    }
}

static void start_round (struct registry_service *s);

static void
on_round_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct registry_service *s = arg;
  (void)result;
  (void)len;
  s->round_in_flight = false;
  if (status_ok (st))
    {
      permit_granter_confirm (s->granter, s->round_started_ms);
      s->confirmed_ms = s->round_started_ms;
    }
  answer_all (s, &s->in_round, status_ok (st));
  start_round (s);
}

static void
start_round (struct registry_service *s)
{
  if (s->round_in_flight || STAILQ_EMPTY (&s->waiting))
    return;
  STAILQ_CONCAT (&s->in_round, &s->waiting);
  s->round_in_flight = true;
  s->round_started_ms = clock_now_ms (s->config.clock);
  group_confirm_leadership (s->group, on_round_done, s);
}

static void
record_capacity (struct registry_service *s, const permit_request *request)
{
  size_t i = 0;
  while (i < s->summary_count && strcmp (s->summaries[i].data_centre, request->data_centre) != 0)
    i++;
  if (i == PEER_MAX_CELLS)
    return;
  if (i == s->summary_count)
    s->summary_count++;
  struct cell_summary *sum = &s->summaries[i];
  snprintf (sum->data_centre, sizeof sum->data_centre, "%s", request->data_centre);
  sum->capacity = request->capacity;
  sum->capacity.data_centre = NULL;
}

void
registry_service_permit (struct registry_service *s, uint64_t node, const permit_request *request,
                         permit_answer_fn *answer, void *arg)
{
  struct permit_waiter *w = xcalloc (1, sizeof *w);
  w->node = node;
  w->asked = request->asked;
  w->answer = answer;
  w->arg = arg;
  snprintf (w->data_centre, sizeof w->data_centre, "%s", request->data_centre);
  if (!s->group || !group_is_leader (s->group))
    {
      answer_waiter (s, w, false);
      return;
    }
  record_capacity (s, request);
  if (s->confirmed_ms && clock_now_ms (s->config.clock) - s->confirmed_ms <= PERMIT_ROUND_REUSE_MS)
    {
      answer_waiter (s, w, true);
      return;
    }
  STAILQ_INSERT_TAIL (&s->waiting, w, link);
  start_round (s);
}

void
registry_service_leader_changed (struct registry_service *s)
{
  bool leading = group_is_leader (s->group);
  if (leading == permit_granter_leading (s->granter))
    return;
  if (leading)
    permit_granter_become_leader (s->granter, clock_now_ms (s->config.clock));
  else
    {
      permit_granter_step_down (s->granter);
      s->confirmed_ms = 0;
      answer_all (s, &s->waiting, false);
    }
}

static void
propose (struct registry_service *s, const registry_command *command, int64_t now_ms)
{
  struct status st;
  s->next_proposal_ms = now_ms + PROPOSAL_RETRY_MS;
  s->proposing = true;
  if (propose_registry_command (s->config.proposer, command, propose_clear_flag, &s->proposing, &st)
      == 0)
    return;
  s->proposing = false;
  log_line (LOG_ERROR, "cannot encode a registry command: %s", st.message);
}

static void
propose_first_members (struct registry_service *s, int64_t now_ms)
{
  registry_command command = { .request_id = (char *)"" };
  command.body.kind = REGISTRY_INIT;
  command.body.registry_body_u.init.members.members_len = (u_int)s->config.members->count;
  command.body.registry_body_u.init.members.members_val = s->config.members->items;
  propose (s, &command, now_ms);
}

/* Proposes recording that an out command is in force; returns false if there is none.  */
static bool
propose_in_force (struct registry_service *s, int64_t now_ms)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (s->config.registry, &all);
  registry_command command = { .request_id = (char *)"" };
  command.body.kind = REGISTRY_IN_FORCE;
  if (!permit_granter_find_unrecorded (s->granter, all, n, now_ms,
                                       &command.body.registry_body_u.in_force))
    return false;
  propose (s, &command, now_ms);
  return true;
}

/* Reconciles the members of the group with the members in the registry.  */
static void
reconcile_members (struct registry_service *s, int64_t now_ms)
{
  const registry_member *all;
  size_t n = registry_members (s->config.registry, &all);
  raft_member list[PEER_MAX_MEMBERS];
  if (n > PEER_MAX_MEMBERS)
    return;
  for (size_t i = 0; i < n; i++)
    list[i] = (raft_member){ .node = all[i].node, .voter = all[i].registry_voter };
  member_sync_tick (&s->members, list, n, now_ms);
}

void
registry_service_tick (struct registry_service *s, int64_t now_ms)
{
  if (!s->group || !group_is_leader (s->group) || s->proposing || now_ms < s->next_proposal_ms)
    return;
  /* Not registry_applied () == 0: an operator's command may be applied before the members.  */
  const registry_member *all;
  if (registry_members (s->config.registry, &all) == 0)
    {
      propose_first_members (s, now_ms);
      return;
    }
  if (propose_in_force (s, now_ms))
    return;
  reconcile_members (s, now_ms);
}

json_t *
registry_service_state (const struct registry_service *s)
{
  json_t *cells = json_array ();
  for (size_t i = 0; i < s->summary_count; i++)
    {
      const struct cell_summary *sum = &s->summaries[i];
      json_array_append_new (
          cells, json_pack ("{s:s, s:I, s:I, s:I, s:i}", "data_centre", sum->data_centre,
                            "free_millicores", (json_int_t)sum->capacity.free_millicores,
                            "free_memory_mb", (json_int_t)sum->capacity.free_memory_mb,
                            "free_accelerators", (json_int_t)sum->capacity.free_accelerators,
                            "pending_tasks", (int)sum->capacity.pending_tasks));
    }
  return json_pack ("{s:b, s:o}", "granting_permits", permit_granter_leading (s->granter) ? 1 : 0,
                    "cells", cells);
}
