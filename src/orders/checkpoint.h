/* checkpoint: limit of the checkpoints that workers list, whose length they choose.

   A checkpoint of up to WORKFLOW_CHECKPOINT_BYTES is kept whole.  A longer one is left out of
   messages, log and state: a task resumes from its earlier checkpoint, if it has one, and its end
   is recorded like any other.  */

#ifndef SASSAFRAS_CHECKPOINT_H
#define SASSAFRAS_CHECKPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "workflow_proto.h"

bool checkpoint_fits (const char *checkpoint);
/* Counts and logs a checkpoint of RUN of TASK that is not kept.  */
void checkpoint_dropped (const workflow_task_ref *task, uint32_t run, const char *worker,
                         const char *checkpoint, const char *reason);

#endif
