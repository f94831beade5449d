#include "proposal_router.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "counters.h"
#include "home_cell.h"

#define PROPOSAL_TIMEOUT_MS 4000 /* below the default timeout of sassafrasctl */
#define CALL_TIMEOUT_MS 2000
#define RETRY_INTERVAL_MS 50

struct local_group
{
  uint64_t id;
  struct group *group;
  proposal_prepare *prepare;
  void *prepare_arg;
};

/* Proposal whose outcome is not known yet.  */
struct proposal
{
  struct proposal_router *router;
  uint64_t group;
  struct buffer command;
  propose_done *done;
  void *arg;
  int64_t deadline_ms;
  int64_t retry_ms;     /* time of the next attempt; valid if retry_pending */
  bool retry_pending;   /* waits for retry_ms rather than for an answer */
  uint64_t leader_hint; /* leader named by a refusal; 0 if none */
  unsigned voter_index; /* next voter to try if no leader is known */
  TAILQ_ENTRY (proposal) link;
};

struct proposal_router
{
  struct proposer proposer; /* first member: the vtable */
  struct proposal_router_config config;
  struct local_group groups[PROPOSAL_MAX_GROUPS];
  size_t group_count;
  TAILQ_HEAD (proposal_list, proposal) proposals;
};

static struct counter forwarded = { .name = "sassafras_proposals_forwarded_total",
                                    .help = "Commands sent to a leader on another VM." };
static struct counter refused = { .name = "sassafras_proposals_refused_total",
                                  .help = "Forwarded commands refused because this VM does not "
                                          "lead the group." };
static struct counter abandoned = { .name = "sassafras_proposals_not_accepted_total",
                                    .help = "Commands for which no leader was found in time." };

static void send_proposal (struct proposal *p);

static struct local_group *
find_group (struct proposal_router *r, uint64_t id)
{
  for (size_t i = 0; i < r->group_count; i++)
    if (r->groups[i].id == id)
      return &r->groups[i];
  return NULL;
}

static void
finish_proposal (struct proposal *p, const struct status *st, const void *result, size_t len)
{
  TAILQ_REMOVE (&p->router->proposals, p, link);
  p->done (p->arg, st, result, len);
  buffer_close (&p->command);
  free (p);
}

static void
retry_later (struct proposal *p, int64_t delay_ms)
{
  p->retry_pending = true;
  p->retry_ms = clock_now_ms (p->router->config.clock) + delay_ms;
}

/* True if a command with this outcome was definitely not accepted and may be sent again.  */
static bool
not_accepted (enum status_kind kind)
{
  return kind == STATUS_NOT_LEADER || kind == STATUS_NO_QUORUM || kind == STATUS_NOT_FOUND
         || kind == STATUS_OVERLOADED;
}

static void
on_local_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct proposal *p = arg;
  if (not_accepted (st->kind))
    retry_later (p, RETRY_INTERVAL_MS);
  else
    finish_proposal (p, st, result, len);
}

static void
on_remote_done (void *arg, const struct status *st, const propose_reply *reply)
{
  struct proposal *p = arg;
  struct status outcome;
  if (!status_ok (st))
    {
      if (not_accepted (st->kind))
        {
          p->leader_hint = 0;
          retry_later (p, RETRY_INTERVAL_MS);
        }
      else
        finish_proposal (p, st, NULL, 0);
      return;
    }
  if (not_accepted ((enum status_kind)reply->status))
    {
      bool new_hint = reply->leader != 0 && reply->leader != p->leader_hint;
      p->leader_hint = reply->leader;
      retry_later (p, new_hint ? 0 : RETRY_INTERVAL_MS);
      return;
    }
  status_clear (&outcome);
  if (reply->status != STATUS_OK)
    status_set (&outcome, (enum status_kind)reply->status, "%s", reply->message);
  finish_proposal (p, &outcome, reply->result.result_val, reply->result.result_len);
}

/* Next voter of a group to try if its leader is not known; 0 if there is none.  */
static uint64_t
next_voter (struct proposal *p)
{
  const registry_member *all;
  size_t n = registry_members (p->router->config.registry, &all);
  const char *dc = cell_data_centre_name (p->router->config.registry, p->group);
  for (size_t tries = 0; tries < n; tries++)
    {
      const registry_member *m = &all[p->voter_index++ % n];
      bool voter
          = p->group == REGISTRY_GROUP ? m->registry_voter : dc && member_votes_in_cell (m, dc);
      if (voter && m->node != p->router->config.node)
        return m->node;
    }
  return 0;
}

static uint64_t
choose_target (struct proposal *p, const struct local_group *local)
{
  if (p->leader_hint && p->leader_hint != p->router->config.node)
    return p->leader_hint;
  uint64_t leader = local ? group_leader_node (local->group) : 0;
  if (leader && leader != p->router->config.node)
    return leader;
  return local ? 0 : next_voter (p);
}

static void
propose_local (struct proposal *p, struct local_group *local)
{
  struct status st;
  status_clear (&st);
  if (local->prepare (local->prepare_arg, p->command.data, p->command.len, &st) < 0)
    finish_proposal (p, &st, NULL, 0);
  else
    group_propose (local->group, p->command.data, p->command.len, on_local_done, p);
}

static void
send_proposal (struct proposal *p)
{
  struct proposal_router *r = p->router;
  struct local_group *local = find_group (r, p->group);
  p->retry_pending = false;
  if (local && group_is_leader (local->group))
    {
      propose_local (p, local);
      return;
    }
  uint64_t target = choose_target (p, local);
  if (target == 0 || !r->config.net)
    {
      retry_later (p, RETRY_INTERVAL_MS);
      return;
    }
  counter_add (&forwarded, 1);
  const propose_args args
      = { .group = p->group,
          .command = { .command_len = (u_int)p->command.len, .command_val = p->command.data } };
  peer_call_propose (r->config.net, target, &args, CALL_TIMEOUT_MS, on_remote_done, p);
}

static void
propose (struct proposer *proposer, uint64_t group, const void *command, size_t len,
         propose_done *done, void *arg)
{
  struct proposal_router *r = (struct proposal_router *)proposer;
  struct proposal *p = xcalloc (1, sizeof *p);
  p->router = r;
  p->group = group;
  buffer_append (&p->command, command, len);
  p->done = done;
  p->arg = arg;
  p->deadline_ms = clock_now_ms (r->config.clock) + PROPOSAL_TIMEOUT_MS;
  TAILQ_INSERT_TAIL (&r->proposals, p, link);
  send_proposal (p);
}

static const struct proposer_ops ops = { .propose = propose };

struct proposal_router *
proposal_router_open (const struct proposal_router_config *config)
{
  struct proposal_router *r = xcalloc (1, sizeof *r);
  r->proposer.ops = &ops;
  r->config = *config;
  TAILQ_INIT (&r->proposals);
  return r;
}

void
proposal_router_close (struct proposal_router *r)
{
  struct proposal *p;
  if (!r)
    return;
  while ((p = TAILQ_FIRST (&r->proposals)))
    {
      TAILQ_REMOVE (&r->proposals, p, link);
      buffer_close (&p->command);
      free (p);
    }
  free (r);
}

void
proposal_router_set_net (struct proposal_router *r, struct peer_net *net)
{
  r->config.net = net;
}

void
proposal_router_add (struct proposal_router *r, uint64_t id, struct group *g,
                     proposal_prepare *prepare, void *prepare_arg)
{
  if (r->group_count == PROPOSAL_MAX_GROUPS)
    return;
  r->groups[r->group_count++] = (struct local_group){ id, g, prepare, prepare_arg };
}

struct proposer *
proposal_router_proposer (struct proposal_router *r)
{
  return &r->proposer;
}

static void
on_received_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct peer_reply *reply = arg;
  propose_reply answer = { .status = st->kind,
                           .message = (char *)st->message,
                           .result = { .result_len = (u_int)len, .result_val = (char *)result } };
  peer_reply_propose (reply, &answer);
}

static void
refuse (struct peer_reply *reply, const struct local_group *local)
{
  propose_reply answer = { .status = STATUS_NOT_LEADER,
                           .message = (char *)"this VM does not lead the group",
                           .leader = local ? group_leader_node (local->group) : 0 };
  counter_add (&refused, 1);
  peer_reply_propose (reply, &answer);
}

void
proposal_router_receive (struct proposal_router *r, const propose_args *args,
                         struct peer_reply *reply)
{
  struct local_group *local = find_group (r, args->group);
  size_t len = args->command.command_len;
  struct status st;
  if (!local || !group_is_leader (local->group))
    {
      refuse (reply, local);
      return;
    }
  status_clear (&st);
  if (local->prepare (local->prepare_arg, args->command.command_val, len, &st) < 0)
    {
      on_received_done (reply, &st, NULL, 0);
      return;
    }
  group_propose (local->group, args->command.command_val, len, on_received_done, reply);
}

static void
abandon (struct proposal *p)
{
  struct status st;
  counter_add (&abandoned, 1);
  status_set (&st, STATUS_NO_QUORUM, "not accepted: no leader of group %llu within %d ms",
              (unsigned long long)p->group, PROPOSAL_TIMEOUT_MS);
  finish_proposal (p, &st, NULL, 0);
}

void
proposal_router_tick (struct proposal_router *r, int64_t now_ms)
{
  struct proposal *next;
  for (struct proposal *p = TAILQ_FIRST (&r->proposals); p; p = next)
    {
      next = TAILQ_NEXT (p, link);
      if (!p->retry_pending)
        continue;
      if (now_ms >= p->deadline_ms)
        abandon (p);
      else if (now_ms >= p->retry_ms)
        send_proposal (p);
    }
}
