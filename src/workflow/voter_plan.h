/* voter_plan: which members of a group should vote.  Pure.

   Failure pattern: a VM is gone for good and an empty one comes at another address; nobody tells
   the group, and a second VM may be lost a few seconds later.

   Rules, each only with a replacement that answers, so that voters are never given up for nothing:
   a voter that has been silent for VOTER_LOST_MS is dropped for a learner that answers; an even
   number of voters gets one more; two learners join an odd number of voters below VOTER_MOST; a
   learner that has been silent for LEARNER_LOST_MS is dropped.  A voter whose disk was replaced is
   handled by member_sync.  A VM that was dropped asks to join again when it hears no leader.  */

#ifndef SASSAFRAS_VOTER_PLAN_H
#define SASSAFRAS_VOTER_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Beyond the 1.9 s after which a follower counts as silent: a successor has 4 s.  */
#define VOTER_LOST_MS 900
#define LEARNER_LOST_MS 30000
#define VOTER_MOST 5 /* two of five may be lost; more voters only make commits slower */

struct plan_member
{
  uint64_t node;
  bool voter;        /* in: now; out: as planned */
  bool dropped;      /* out: to be removed */
  int64_t silent_ms; /* since it last counted as answering; 0 for this VM */
};

void voter_plan (struct plan_member *members, size_t count); /* Fills voter and dropped. */

#endif
