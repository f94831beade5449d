/* cell_service: one cell group of this VM at work.

   Ties the cell's state machine and its scheduler to their group.  While this VM leads, it asks the
   registry leader for start permits, has its leadership confirmed by quorum rounds, proposes what
   the scheduler decides, answers workers' polls and moves tasks between cells (cell_transfers).

   A poll is held open until there are commands for the worker or CELL_POLL_HOLD_MS have passed.  */

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
  uint64_t number;         /* of the cell and its group, 1 and up */
  const char *data_centre; /* that the cell schedules */
  uint64_t node;           /* of this VM */
  struct registry *registry;
  struct registry_service *registry_service;
  struct group *registry_group;
  struct proposer *proposer;
  struct peer_net *net;
  struct clock *clock;
  uint64_t seed;
  const bool *registry_known; /* false: this VM has not caught up with the lists yet */
};

struct cell_service *
cell_service_open (const struct cell_service_config *config);  /* Without a group yet. */
void cell_service_close (struct cell_service *s);              /* Held polls get no answer. */
struct machine *cell_service_machine (struct cell_service *s); /* For the replicated log. */
void cell_service_set_group (struct cell_service *s, struct group *g); /* Group in use. */
void cell_service_leader_changed (struct cell_service *s);             /* From the group's event. */
void cell_service_tick (struct cell_service *s, int64_t now_ms);       /* Every 10 to 100 ms. */
void cell_service_plans_changed (struct cell_service *s); /* The lists have a new version. */
int cell_service_prepare (void *s, void *command, size_t len,
                          struct status *st); /* A proposal_prepare. */

bool cell_service_leading (const struct cell_service *s);    /* Own log applied, may decide. */
bool cell_service_elected (const struct cell_service *s);    /* Elected, maybe not leading yet. */
uint64_t cell_service_leader (const struct cell_service *s); /* Node, 0 when unknown. */
const struct cell *cell_service_cell (const struct cell_service *s); /* State, may lag. */
uint64_t cell_service_number (const struct cell_service *s);         /* Group number. */
const char *cell_service_data_centre (const struct cell_service *s); /* That it schedules. */
int cell_service_announce (struct cell_service *s, const struct worker_announce *a,
                           struct status *st); /* A worker introduces itself; leader only. */
int cell_service_poll (struct cell_service *s, const struct worker_poll *p, bool wait,
                       cell_poll_fn *done, void *arg,
                       struct status *st);       /* -1: refused, DONE is not called. */
void cell_service_stop (struct cell_service *s); /* Planned stop: answers polls, stops leading. */
json_t *cell_service_state (const struct cell_service *s); /* For the state dump. */

#endif
