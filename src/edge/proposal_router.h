/* proposal_router: routes a proposal to the leader of its group, whichever VM that is.

   Implements struct proposer.  A group led by this VM gets the command directly; otherwise the
   command goes to the leader known to the group, to the leader named by a refusal, or to the voters
   of the group in turn.  A refused command is sent again until PROPOSAL_TIMEOUT_MS has passed and
   then fails with STATUS_NO_QUORUM: definitely not accepted.  An attempt with an unknown outcome
   fails at once with STATUS_OUTCOME_UNKNOWN, because a retry could apply the command twice.

   Before the leader proposes a command, its prepare function sets the leader's time in the command
   and may refuse it, for example a job that can never run.  */

#ifndef SASSAFRAS_PROPOSAL_ROUTER_H
#define SASSAFRAS_PROPOSAL_ROUTER_H

#include <stddef.h>
#include <stdint.h>

#include "group.h"
#include "operator_api.h"
#include "peer_net.h"
#include "registry.h"

#define PROPOSAL_MAX_GROUPS 64

struct proposal_router;

/* Sets the leader's time in an encoded command; -1 and ST if the command is refused.  */
typedef int proposal_prepare (void *arg, void *command, size_t len, struct status *st);

struct proposal_router_config
{
  struct peer_net *net;
  struct clock *clock;
  const struct registry *registry; /* lists the voters of cells of other data centres */
  uint64_t node;                   /* of this VM */
};

struct proposal_router *
proposal_router_open (const struct proposal_router_config *config); /* No groups yet. */
void proposal_router_close (struct proposal_router *r); /* Pending proposals get no answer. */
void proposal_router_set_net (struct proposal_router *r, struct peer_net *net); /* After opening. */
void proposal_router_add (struct proposal_router *r, uint64_t id, struct group *g,
                          proposal_prepare *prepare, void *prepare_arg); /* A local group. */
struct proposer *proposal_router_proposer (struct proposal_router *r);   /* The interface. */
void proposal_router_receive (struct proposal_router *r, const propose_args *args,
                              struct peer_reply *reply); /* Command forwarded by another VM. */
void proposal_router_tick (struct proposal_router *r, int64_t now_ms); /* Retries due proposals. */

#endif
