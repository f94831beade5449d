/* relocation: whether a paced fill-in task is stopped to run on another worker.  Pure.

   Load pattern: a step has dozens of fill-in tasks and ends with the slowest of them.  A task
   beside lasting tasks that it slows is cut to a quarter of its pace within a second, so the whole
   job is late, the lasting tasks are over their target each time the pace grows, and the worker is
   closed to that image.  Other workers, whose lasting tasks the image hardly slows, have capacity.

   A stopped task resumes from its checkpoint and loses what it did since; one without checkpoints
   is moved only in its first second.  A task that has been started several times stays, and each
   worker gives up one task at a time, so that the effect is seen before the next.  */

#ifndef SASSAFRAS_RELOCATION_H
#define SASSAFRAS_RELOCATION_H

#include <stdbool.h>
#include <stdint.h>

#define RELOCATION_MAX_PERCENT 25   /* pace up to which a task is moved: two cuts in a row */
#define RELOCATION_INTERVAL_MS 1000 /* between two tasks of one worker; tails lag by 500 ms */
#define RELOCATION_MAX_LOST_MS 1000 /* run time that a task without checkpoints may lose */
#define RELOCATION_MAX_RUN_NUMBER 4 /* a task is not moved in a later run */
#define RELOCATION_MAX_PER_TICK 4   /* bounds the search for other workers */

struct relocation_facts
{
  int64_t now_ms;
  int64_t running_ms;     /* when the run became known to run */
  int64_t worker_move_ms; /* when the worker last gave up a task */
  uint32_t percent;       /* pace of the task */
  uint32_t run_number;    /* from 1 */
  bool checkpointing;
};

bool relocation_is_due (const struct relocation_facts *f); /* If another worker has capacity.  */

#endif
