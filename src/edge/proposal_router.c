#include "proposal_router.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "counters.h"
#include "home_cell.h"

#define ATTEMPT_LIFE_MS 4000 /* shorter than the default timeout of sassafrasctl */
#define CALL_TIMEOUT_MS 2000
#define RETRY_MS 50

struct local_group
{
  uint64_t id;
  struct group *group;
  proposal_prepare *prepare;
  void *prepare_arg;
};

/* One proposal until its outcome is known.  */
struct attempt
{
  struct proposal_router *router;
  uint64_t group;
  struct buffer command;
  propose_done *done;
  void *arg;
  int64_t deadline_ms;
  int64_t retry_ms;   /* when to send again; valid while waiting */
  bool waiting;       /* for the retry time, not for an answer */
  uint64_t hint;      /* leader named by a refusal, 0 when none */
  unsigned candidate; /* next voter to try when no leader is known */
  TAILQ_ENTRY (attempt) link;
};

struct proposal_router
{
  struct proposer proposer; /* first member: the vtable */
  struct proposal_router_config config;
  struct local_group groups[PROPOSAL_MAX_GROUPS];
  size_t group_count;
  TAILQ_HEAD (attempt_list, attempt) attempts;
};

static struct counter forwarded = { .name = "sassafras_proposals_forwarded_total",
                                    .help = "Commands sent to a leader on another VM." };
static struct counter refused = { .name = "sassafras_proposals_refused_total",
                                  .help = "Forwarded commands refused because this VM does not "
                                          "lead the group." };
static struct counter given_up = { .name = "sassafras_proposals_not_accepted_total",
                                   .help = "Commands for which no leader was found in time." };

static void send_attempt (struct attempt *a);

static struct local_group *
find_group (struct proposal_router *r, uint64_t id)
{
  for (size_t i = 0; i < r->group_count; i++)
    if (r->groups[i].id == id)
      return &r->groups[i];
  return NULL;
}

static void
finish (struct attempt *a, const struct status *st, const void *result, size_t len)
{
  TAILQ_REMOVE (&a->router->attempts, a, link);
  a->done (a->arg, st, result, len);
  buffer_close (&a->command);
  free (a);
}

static void
retry_later (struct attempt *a, int64_t delay_ms)
{
  a->waiting = true;
  a->retry_ms = clock_now_ms (a->router->config.clock) + delay_ms;
}

/* True when a command with this outcome was surely not accepted and may be sent again.  */
static bool
not_accepted (enum status_kind kind)
{
  return kind == STATUS_NOT_LEADER || kind == STATUS_NO_QUORUM || kind == STATUS_NOT_FOUND
         || kind == STATUS_OVERLOADED;
}

static void
on_local_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct attempt *a = arg;
  if (not_accepted (st->kind))
    retry_later (a, RETRY_MS);
  else
    finish (a, st, result, len);
}

static void
on_remote_done (void *arg, const struct status *st, const propose_reply *reply)
{
  struct attempt *a = arg;
  struct status outcome;
  if (!status_ok (st))
    {
      if (not_accepted (st->kind))
        {
          a->hint = 0;
          retry_later (a, RETRY_MS);
        }
      else
        finish (a, st, NULL, 0);
      return;
    }
  if (not_accepted ((enum status_kind)reply->status))
    {
      bool better = reply->leader != 0 && reply->leader != a->hint;
      a->hint = reply->leader;
      retry_later (a, better ? 0 : RETRY_MS);
      return;
    }
  status_clear (&outcome);
  if (reply->status != STATUS_OK)
    status_set (&outcome, (enum status_kind)reply->status, "%s", reply->message);
  finish (a, &outcome, reply->result.result_val, reply->result.result_len);
}

/* The next voter of a group to try when its leader is not known; 0 when there is none.  */
static uint64_t
next_candidate (struct attempt *a)
{
  const registry_member *all;
  size_t n = registry_members (a->router->config.registry, &all);
  const char *dc = cell_data_centre_name (a->router->config.registry, a->group);
  for (size_t tries = 0; tries < n; tries++)
    {
      const registry_member *m = &all[a->candidate++ % n];
      bool voter
          = a->group == REGISTRY_GROUP ? m->registry_voter : dc && member_votes_in_cell (m, dc);
      if (voter && m->node != a->router->config.node)
        return m->node;
    }
  return 0;
}

static uint64_t
choose_target (struct attempt *a, const struct local_group *local)
{
  if (a->hint && a->hint != a->router->config.node)
    return a->hint;
  uint64_t leader = local ? group_leader_node (local->group) : 0;
  if (leader && leader != a->router->config.node)
    return leader;
  return local ? 0 : next_candidate (a);
}

static void
propose_local (struct attempt *a, struct local_group *local)
{
  struct status st;
  status_clear (&st);
  if (local->prepare (local->prepare_arg, a->command.data, a->command.len, &st) < 0)
    finish (a, &st, NULL, 0);
  else
    group_propose (local->group, a->command.data, a->command.len, on_local_done, a);
}

static void
send_attempt (struct attempt *a)
{
  struct proposal_router *r = a->router;
  struct local_group *local = find_group (r, a->group);
  a->waiting = false;
  if (local && group_is_leader (local->group))
    {
      propose_local (a, local);
      return;
    }
  uint64_t target = choose_target (a, local);
  if (target == 0 || !r->config.net)
    {
      retry_later (a, RETRY_MS);
      return;
    }
  counter_add (&forwarded, 1);
  const propose_args args
      = { .group = a->group,
          .command = { .command_len = (u_int)a->command.len, .command_val = a->command.data } };
  peer_call_propose (r->config.net, target, &args, CALL_TIMEOUT_MS, on_remote_done, a);
}

static void
propose (struct proposer *p, uint64_t group, const void *command, size_t len, propose_done *done,
         void *arg)
{
  struct proposal_router *r = (struct proposal_router *)p;
  struct attempt *a = xcalloc (1, sizeof *a);
  a->router = r;
  a->group = group;
  buffer_append (&a->command, command, len);
  a->done = done;
  a->arg = arg;
  a->deadline_ms = clock_now_ms (r->config.clock) + ATTEMPT_LIFE_MS;
  TAILQ_INSERT_TAIL (&r->attempts, a, link);
  send_attempt (a);
}

static const struct proposer_ops ops = { .propose = propose };

struct proposal_router *
proposal_router_open (const struct proposal_router_config *config)
{
  struct proposal_router *r = xcalloc (1, sizeof *r);
  r->proposer.ops = &ops;
  r->config = *config;
  TAILQ_INIT (&r->attempts);
  return r;
}

void
proposal_router_close (struct proposal_router *r)
{
  struct attempt *a;
  if (!r)
    return;
  while ((a = TAILQ_FIRST (&r->attempts)))
    {
      TAILQ_REMOVE (&r->attempts, a, link);
      buffer_close (&a->command);
      free (a);
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
give_up (struct attempt *a)
{
  struct status st;
  counter_add (&given_up, 1);
  status_set (&st, STATUS_NO_QUORUM, "not accepted: no leader of group %llu within %d ms",
              (unsigned long long)a->group, ATTEMPT_LIFE_MS);
  finish (a, &st, NULL, 0);
}

void
proposal_router_tick (struct proposal_router *r, int64_t now_ms)
{
  struct attempt *next;
  for (struct attempt *a = TAILQ_FIRST (&r->attempts); a; a = next)
    {
      next = TAILQ_NEXT (a, link);
      if (!a->waiting)
        continue;
      if (now_ms >= a->deadline_ms)
        give_up (a);
      else if (now_ms >= a->retry_ms)
        send_attempt (a);
    }
}
