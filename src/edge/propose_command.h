/* propose_command: encodes one typed command and proposes it to its group.  The leader of the group
   sets the time of the command.  */

#ifndef SASSAFRAS_PROPOSE_COMMAND_H
#define SASSAFRAS_PROPOSE_COMMAND_H

#include <stddef.h>
#include <stdint.h>

#include "cell_proto.h"
#include "operator_api.h"
#include "registry_proto.h"
#include "status.h"

void propose_cell_command (struct proposer *p, uint64_t cell, cell_command *command,
                           propose_done *done, void *arg); /* One command, one log entry. */
int propose_registry_command (struct proposer *p, const registry_command *command,
                              propose_done *done, void *arg,
                              struct status *st); /* -1, ST if not encodable; DONE not called. */
void propose_clear_flag (void *flag, const struct status *st, const void *result,
                         size_t len); /* A propose_done: sets the bool FLAG to false. */

#endif
