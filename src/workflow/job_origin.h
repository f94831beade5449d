/* job_origin: the queues that jobs were submitted to, as they were then.

   An operator may rename a queue, or move it to another host or path.  Callers know a queue by its
   host and path, so a job belongs to the queue that is there now; only if none is there, to the
   queue that has its name.  Jobs of one origin share an entry, so that each configuration is
   searched once per origin and not once per job.  */

#ifndef SASSAFRAS_JOB_ORIGIN_H
#define SASSAFRAS_JOB_ORIGIN_H

#include <stdint.h>
#include <sys/queue.h>

#include "workflow_proto.h"

struct job_origin
{
  LIST_ENTRY (job_origin) link;
  char *host; /* "" with an empty path_prefix: not known */
  char *path_prefix;
  char *name;
  uint32_t jobs;
  const workflow_queue *queue; /* cached for QUEUE_REVISION; use job_origin_queue */
  uint64_t queue_revision;
};

LIST_HEAD (job_origins, job_origin);

/* The entry of these three strings, which are copied, with one job more.  */
struct job_origin *job_origin_add_job (struct job_origins *all, const char *host,
                                       const char *path_prefix, const char *name);
void job_origin_remove_job (struct job_origin *o); /* Frees O with its last job. */
const workflow_queue *job_origin_queue (struct job_origin *o, const workflow_configuration *c);

#endif
