/* voter_plan: decides which members of a group should be voters.  Pure.

   Failure pattern: a VM is lost permanently and an empty one appears at another address; the group
   is not notified, and a second VM may fail a few seconds later.

   A voter is removed only if a responsive replacement exists, so that no vote is lost needlessly.
   The replacement is promoted first, and a plan may be made in between: of an even number of voters
   one that is inactive goes.  Rules: a voter inactive for VOTER_INACTIVE_LIMIT_MS is replaced by a
   responsive learner; of more than MAX_VOTERS the most distant is demoted, or the last if distances
   are not known; an even number of voters gets
   one more; two learners are promoted if the number is odd and below
   MAX_VOTERS; a learner inactive for LEARNER_INACTIVE_LIMIT_MS is removed.  member_sync handles a
   voter whose disk was replaced.  A removed VM requests to join again when it knows no leader.  */

#ifndef SASSAFRAS_VOTER_PLAN_H
#define SASSAFRAS_VOTER_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Counted from 1.9 s after the last answer; the replacement has to vote within 4 s of the loss.  */
#define VOTER_INACTIVE_LIMIT_MS 900
#define LEARNER_INACTIVE_LIMIT_MS 30000
/* Between the round trips within a region, a few milliseconds, and between regions, 60 ms.  */
#define VOTER_DISTANT_MS 45
#define MAX_VOTERS 5 /* two of five may fail; more voters only slow commits down */

struct plan_member
{
  uint64_t node;
  int64_t inactive_ms; /* since it was last active (answered within 1.9 s); 0 for this VM */
  int64_t distance_ms; /* shortest answer to this VM; INT64_MAX: not known */
  bool self;           /* this VM, which leads and stays a voter */
  bool voter;          /* in: current role; out: planned role */
  bool has_vote;       /* a voter that is known to have the store that its vote belongs to */
  bool dropped;        /* out: to be removed */
};

void voter_plan (struct plan_member *members, size_t count); /* Sets voter and dropped. */

#endif
