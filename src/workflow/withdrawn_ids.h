/* withdrawn_ids: ids of jobs that were cancelled before they were submitted, part of the replicated
   state.

   A submission may be executed long after its sender gave it up and cancelled the job through
   another VM: it must find the id withdrawn.  The set holds the WORKFLOW_MAX_WITHDRAWN newest ids,
   a day's worth at six per minute.  */

#ifndef SASSAFRAS_WITHDRAWN_IDS_H
#define SASSAFRAS_WITHDRAWN_IDS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "workflow_proto.h"

struct withdrawn_id
{
  struct cell_map_node node; /* by id */
  STAILQ_ENTRY (withdrawn_id) link;
  uint64_t id;
};

struct withdrawn_ids
{
  struct cell_map map;
  STAILQ_HEAD (, withdrawn_id) list; /* oldest first */
};

void withdrawn_ids_init (struct withdrawn_ids *s);
void withdrawn_ids_close (struct withdrawn_ids *s);            /* Frees all. */
void withdrawn_ids_clear (struct withdrawn_ids *s);            /* Empties the set. */
void withdrawn_ids_add (struct withdrawn_ids *s, uint64_t id); /* Drops the oldest when full. */
bool withdrawn_ids_has (const struct withdrawn_ids *s, uint64_t id);

#endif
