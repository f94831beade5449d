/* member_sync: reconciles the members of a group with a target list.

   A membership change is requested when the log's members differ from the target.  A voter that
   replies from another store than the one that may vote has lost its disk: it becomes a learner
   first, and the next change promotes its new store once it has caught up.  One change at a time; a
   failed change is requested again, and one whose target is out of date is replaced, since it may
   be waiting for a member that has left.  */

#ifndef SASSAFRAS_MEMBER_SYNC_H
#define SASSAFRAS_MEMBER_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "group.h"

struct member_sync
{
  struct group *group;
  const char *name; /* of the group, for log lines */
  unsigned pending; /* changes without an outcome; a newer target replaces the previous one */
  raft_member requested[PEER_MAX_MEMBERS]; /* of the last change, sorted */
  size_t requested_count;
  int64_t next_check_ms;
};

void member_sync_init (struct member_sync *m, struct group *g,
                       const char *name); /* M must outlive G: group_close completes a change. */
void member_sync_tick (struct member_sync *m, raft_member *target, size_t count,
                       int64_t now_ms); /* Call while leading; sorts TARGET. */

#endif
