/* group_reporter: log lines and gauges that tell why a group has no leader or too few voters.

   NOTES
   Events, the last two at most once a second and only while they hold:

   members-in-force: the members in the log have changed; each with its role and the id of the store
   that may vote for it.

   no-leader: this VM has known no leader for REPORTER_DELAY_MS; whether it may vote, its last
   entry, and the last answer of each voter to its requests for a vote.

   member-change-waits: this VM leads and a change of members has waited for REPORTER_DELAY_MS; for
   which learner and why.

   Members are named by address: their id is their IPv4 address.  */

#ifndef SASSAFRAS_GROUP_REPORTER_H
#define SASSAFRAS_GROUP_REPORTER_H

#include <stdint.h>

#include "group.h"

#define REPORTER_DELAY_MS 1000
#define REPORTER_IP_BYTES 16
#define REPORTER_TEXT_BYTES 1024

struct group_reporter
{
  char members[REPORTER_TEXT_BYTES]; /* as last logged */
  int64_t leader_ms;                 /* last time with a leader; 0 before the first tick */
  int64_t change_ms;                 /* last time without a change that waits */
  int64_t next_ms;                   /* earliest time of the next line */
};

void group_reporter_init (struct group_reporter *reporter);
void group_reporter_tick (struct group_reporter *reporter, const struct group *g, int64_t now_ms);
void group_reporter_name (uint64_t node, char ip[REPORTER_IP_BYTES]); /* IPv4 address of NODE. */

#endif
