/* registry_service: runs the registry group on this VM.

   Connects the registry's state machine to its Raft group and, while this VM leads, proposes the
   first members, grants start permits, records when an out command is in force, and reconciles the
   members of the group with the members in the registry.

   Permits: a leader that was replaced without noticing must not grant any, so a request is answered
   only after a quorum round that started at most PERMIT_ROUND_REUSE_MS ago; permit_granter shortens
   the permit by the age of the round.  Reuse keeps the number of rounds independent of the number
   of cells.  */

#ifndef SASSAFRAS_REGISTRY_SERVICE_H
#define SASSAFRAS_REGISTRY_SERVICE_H

#include <stdint.h>

#include <jansson.h>

#include "clock.h"
#include "group.h"
#include "members.h"
#include "operator_api.h"
#include "peer_proto.h"
#include "registry.h"

#define PERMIT_ROUND_REUSE_MS 900

struct registry_service;

struct registry_service_config
{
  struct registry *registry;
  struct proposer *proposer;
  struct clock *clock;
  const struct member_list *members; /* proposed as the first members */
};

/* The answer to a permit request; GRANT is valid during the call.  */
typedef void permit_answer_fn (void *arg, const permit_grant *grant);

struct registry_service *
registry_service_open (const struct registry_service_config *config); /* The group is set later. */
void registry_service_close (struct registry_service *s); /* Pending requests get no answer. */
void registry_service_set_group (struct registry_service *s,
                                 struct group *g);                 /* The group to use. */
void registry_service_leader_changed (struct registry_service *s); /* Handles the group's event. */
void registry_service_tick (struct registry_service *s,
                            int64_t now_ms); /* Call every 10 to 100 ms. */
void registry_service_permit (struct registry_service *s, uint64_t node,
                              const permit_request *request, permit_answer_fn *answer,
                              void *arg); /* Calls ANSWER once, now or later. */
json_t *registry_service_state (const struct registry_service *s); /* For the state dump. */

#endif
