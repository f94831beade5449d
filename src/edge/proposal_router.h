/* proposal_router: brings a proposal to the leader of its group, wherever that is.

   Implements struct proposer.  A group that this VM leads takes the command at once; otherwise the
   command goes to the leader that the group knows, to the one a refusal named, or to the voters of
   the group in turn.  A refused command is sent again until ATTEMPT_LIFE_MS has passed and then
   ends with STATUS_NO_QUORUM: surely not accepted.  An attempt whose outcome is unknown ends at
   once with STATUS_OUTCOME_UNKNOWN, because another attempt could apply the command twice.

   The leader prepares every command before it proposes it: it sets the leader's time and may refuse
   the command, for example a job that can never run.  */

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

/* Sets the leader's time in an encoded command; -1 and ST when the command is refused.  */
typedef int proposal_prepare (void *arg, void *command, size_t len, struct status *st);

struct proposal_router_config
{
  struct peer_net *net;
  struct clock *clock;
  const struct registry *registry; /* where the voters of other data centres' cells are found */
  uint64_t node;                   /* of this VM */
};

struct proposal_router *
proposal_router_open (const struct proposal_router_config *config); /* No groups yet. */
void proposal_router_close (struct proposal_router *r); /* Open proposals get no answer. */
void proposal_router_set_net (struct proposal_router *r, struct peer_net *net); /* After opening. */
void proposal_router_add (struct proposal_router *r, uint64_t id, struct group *g,
                          proposal_prepare *prepare, void *prepare_arg); /* A local group. */
struct proposer *proposal_router_proposer (struct proposal_router *r);   /* The interface. */
void proposal_router_receive (struct proposal_router *r, const propose_args *args,
                              struct peer_reply *reply); /* A command another VM forwarded. */
void proposal_router_tick (struct proposal_router *r, int64_t now_ms); /* Repeats what is due. */

#endif
