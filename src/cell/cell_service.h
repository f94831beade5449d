/* cell_service: runs one cell group on this VM.

   Connects the cell's state machine and scheduler to the Raft group.  While this VM leads, it
   requests start permits from the registry leader, confirms its leadership by quorum rounds,
   proposes scheduling decisions, answers polls and moves tasks between cells (cell_transfers).

   A poll is held open until there are commands for the worker or CELL_POLL_HOLD_MS have elapsed. */

#ifndef SASSAFRAS_CELL_SERVICE_H
#define SASSAFRAS_CELL_SERVICE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "cell.h"
#include "clock.h"
#include "group.h"
#include "held_polls.h"
#include "operator_api.h"
#include "peer_net.h"
#include "permit.h"
#include "registry.h"
#include "registry_service.h"
#include "scheduler.h"

#define CELL_POLL_HOLD_MS SCHEDULER_HEARTBEAT_MS

struct cell_service;

struct cell_service_config
{
  uint64_t number;         /* of the cell and its group, from 1 */
  const char *data_centre; /* scheduled by the cell */
  uint64_t node;           /* node id of this VM */
  struct registry *registry;
  struct registry_service *registry_service;
  struct group *registry_group;
  struct proposer *proposer;
  struct peer_net *net;
  struct clock *clock;
  uint64_t seed;
  const bool *registry_known; /* false until this VM has caught up with the lists */
};

struct cell_service *
cell_service_open (const struct cell_service_config *config);  /* The group is set later. */
void cell_service_close (struct cell_service *s);              /* Held polls are not answered. */
struct machine *cell_service_machine (struct cell_service *s); /* For the replicated log. */
void cell_service_set_group (struct cell_service *s, struct group *g); /* The group to use. */
void cell_service_leader_changed (struct cell_service *s);       /* Handles the group's event. */
void cell_service_tick (struct cell_service *s, int64_t now_ms); /* Call every 10 to 100 ms. */
void cell_service_plans_changed (struct cell_service *s);        /* The lists have a new version. */
int cell_service_prepare (void *s, void *command, size_t len,
                          struct status *st); /* A proposal_prepare. */

bool cell_service_leading (const struct cell_service *s); /* Own log applied, may schedule. */
bool cell_service_elected (const struct cell_service *s); /* Elected, possibly not leading yet. */
uint64_t cell_service_leader (const struct cell_service *s);         /* Node id, 0 when unknown. */
const struct cell *cell_service_cell (const struct cell_service *s); /* State, may lag behind. */
uint64_t cell_service_number (const struct cell_service *s);         /* Group number. */
const char *cell_service_data_centre (const struct cell_service *s); /* Scheduled by the cell. */
int cell_service_announce (struct cell_service *s, const struct worker_announce *a,
                           struct status *st); /* Registers a worker; leader only. */
int cell_service_poll (struct cell_service *s, const struct worker_poll *p, bool wait,
                       cell_poll_fn *done, void *arg,
                       struct status *st);       /* -1 if refused: DONE is not called. */
void cell_service_stop (struct cell_service *s); /* Planned stop: answers polls, steps down. */
json_t *cell_service_state (const struct cell_service *s); /* For the state dump. */

#endif
