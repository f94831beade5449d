/* Checkpoints that workers list.  */
#include <stdlib.h>
#include <string.h>

#include "checkpoint.h"
#include "dispatcher_internal.h"

static size_t
text_bytes (const char *text)
{
  return text ? strlen (text) + 1 : 0;
}

/* Why CHECKPOINT can't be kept for R; NULL: it can.  */
static const char *
obstacle_to (const struct dispatcher *d, const struct dispatch_run *r, const char *checkpoint)
{
  uint64_t limit = d->config.max_checkpoint_bytes;
  uint64_t held = d->config.workflow->checkpoint_bytes + d->checkpoint_bytes;
  if (!checkpoint_fits (checkpoint))
    return "too long";
  if (limit > 0 && held - text_bytes (r->checkpoint) + text_bytes (checkpoint) > limit)
    return "the memory for checkpoints is used up";
  return NULL;
}

/* Logged once per run: a run at work lists its checkpoint again and again.  */
static bool
may_keep (const struct dispatcher *d, struct dispatch_run *r, const char *checkpoint)
{
  const char *obstacle = obstacle_to (d, r, checkpoint);
  const workflow_task_ref task = workflow_ref (r->task);
  if (obstacle && !r->checkpoint_dropped)
    checkpoint_dropped (&task, r->number, r->worker->id, checkpoint, obstacle);
  r->checkpoint_dropped = r->checkpoint_dropped || obstacle;
  return !obstacle;
}

void
dispatch_clear_checkpoint (struct dispatcher *d, struct dispatch_run *r)
{
  d->checkpoint_bytes -= text_bytes (r->checkpoint);
  free (r->checkpoint);
  r->checkpoint = NULL;
}

void
dispatch_note_checkpoint (struct dispatcher *d, struct dispatch_run *r, const char *checkpoint)
{
  if (!checkpoint[0] || (r->checkpoint && strcmp (r->checkpoint, checkpoint) == 0)
      || !may_keep (d, r, checkpoint))
    return;
  dispatch_clear_checkpoint (d, r);
  r->checkpoint = xstrdup (checkpoint);
  d->checkpoint_bytes += text_bytes (r->checkpoint);
}

const char *
dispatch_final_checkpoint (struct dispatcher *d, struct dispatch_run *r, const char *listed)
{
  if (r->task->job->state != WORKFLOW_JOB_OPEN || r->end_refused)
    return "";
  if (listed && listed[0] && may_keep (d, r, listed))
    return listed;
  return r->checkpoint ? r->checkpoint : "";
}
