#include "checkpoint.h"

#include <inttypes.h>
#include <string.h>

#include "counters.h"
#include "log.h"

static struct counter dropped
    = { .name = "sassafras_checkpoints_dropped_total",
        .help = "Runs whose checkpoint was too long, or found no memory, and was not kept." };

bool
checkpoint_fits (const char *checkpoint)
{
  return strnlen (checkpoint, WORKFLOW_CHECKPOINT_BYTES + 1) <= WORKFLOW_CHECKPOINT_BYTES;
}

void
checkpoint_dropped (const workflow_task_ref *task, uint32_t run, const char *worker,
                    const char *checkpoint, const char *reason)
{
  counter_add (&dropped, 1);
  log_event (LOG_WARN, "checkpoint-dropped",
             "job=%016" PRIx64 " occurrence=%u step=%u task=%u run=%u worker=%s bytes=%zu limit=%d "
             "reason=\"%s\"",
             task->job, task->occurrence, task->step, task->index, run, worker, strlen (checkpoint),
             WORKFLOW_CHECKPOINT_BYTES, reason);
}
