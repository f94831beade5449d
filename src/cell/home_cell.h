/* home_cell: the cell that records a job or an unrepeatable request.

   Rendezvous hash of customer and request id over the cells, so that every VM computes the same
   cell locally: a repeat sent through another VM finds the record of the first.  Only data centres
   of the first member list take part; adding a later one would change the home cell of requests
   that are already recorded.  */

#ifndef SASSAFRAS_HOME_CELL_H
#define SASSAFRAS_HOME_CELL_H

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"

uint64_t home_cell (const struct registry *r, const char *customer,
                    const char *request_id); /* Group number; 0 before the registry is known. */
const char *cell_data_centre_name (const struct registry *r, uint64_t cell); /* Or NULL. */
uint64_t cell_of_data_centre (const struct registry *r,
                              const char *data_centre); /* Group number, 0 when unknown. */
bool member_votes_in_cell (const registry_member *m,
                           const char *data_centre); /* Is a voter of that cell. */

#endif
