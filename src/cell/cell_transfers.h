/* cell_transfers: moves tasks between cells; runs on the leader of a cell.

   Depends only on the state of the cell, so a new leader continues where the old one stopped.
   An OFFERED task is proposed to the receiving cell until that cell has committed its acceptance or
   refusal, and ends here only then.  A replica that replaces one of another cell reports to that
   cell once it runs.  Tasks that are safe to repeat elsewhere get a copy in one standby cell, the
   next data centre in the registry's list.  Copies of a closed cell epoch are started once every
   lease under it has expired.

   Every step is idempotent in the receiving cell, so a step with unknown outcome is retried.  */

#ifndef SASSAFRAS_CELL_TRANSFERS_H
#define SASSAFRAS_CELL_TRANSFERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cell.h"
#include "clock.h"
#include "operator_api.h"
#include "peer_proto.h"
#include "registry.h"
#include "scheduler.h"

struct cell_transfers;

struct cell_transfers_config
{
  struct cell *cell;
  struct proposer *proposer;
  struct registry *registry;
  struct clock *clock;
};

struct cell_transfers *
cell_transfers_open (const struct cell_transfers_config *config); /* Starts as a follower. */
void cell_transfers_close (struct cell_transfers *t);             /* Also frees steps in flight. */
void cell_transfers_set_leader (struct cell_transfers *t,
                                bool leader); /* Leadership gained or lost. */
void cell_transfers_set_cells (struct cell_transfers *t, const cell_capacity *cells,
                               size_t count); /* Capacity of all cells, from a permit grant. */
const struct scheduler_peer_cell *
cell_transfers_cells (const struct cell_transfers *t); /* Other cells that can receive tasks. */
size_t cell_transfers_cell_count (const struct cell_transfers *t); /* Length of that array. */
void cell_transfers_move (struct cell_transfers *t, const struct scheduler_move *move,
                          int64_t now_ms); /* Executes a move of the scheduler. */
void cell_transfers_tick (struct cell_transfers *t,
                          int64_t now_ms); /* Proposes the steps that are due. */

#endif
