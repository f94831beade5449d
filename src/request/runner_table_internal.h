/* runner_table_internal: state shared by runner_table.c and runner_digest.c.  */

#ifndef SASSAFRAS_RUNNER_TABLE_INTERNAL_H
#define SASSAFRAS_RUNNER_TABLE_INTERNAL_H

#include "runner_table.h"

#define RUNNER_HASH_BUCKETS 1024
#define RUNNER_MAX_RECORDS 65536

/* One peer lists one runner; expires with the peer's digests.  */
struct runner_lease
{
  struct runner *runner;
  struct runner_peer *peer;
  LIST_ENTRY (runner_lease) runner_link;
  LIST_ENTRY (runner_lease) peer_link;
};

struct runner_peer
{
  struct runner_table *table;
  char entry[RUNNER_NAME_BYTES];
  uint64_t held_version;  /* last applied version of the peer's table */
  int64_t expires_ms;     /* of all its leases */
  uint64_t acked_version; /* last version of this entry's table that the peer acknowledged */
  bool acked;             /* acked_version is known */
  uint64_t echo;          /* clock value in its last reply, for the next digest; 0 when unknown */
  bool waiting;           /* a digest to it is awaiting its reply */
  bool send_now;          /* send the next digest without waiting for the interval */
  int64_t sent_ms;
  LIST_HEAD (, runner_lease) leases;
  SLIST_ENTRY (runner_peer) link;
};

struct runner_table
{
  struct runner_list runners;
  LIST_HEAD (, runner) buckets[RUNNER_HASH_BUCKETS];
  SLIST_HEAD (, runner_peer) peers;
  unsigned count;
  uint64_t version;      /* of the runners in this entry's digests */
  uint64_t oldest_delta; /* lowest base version of a delta */
  uint64_t generation;
  int64_t started_ms;
  int64_t tick_ms;
  int64_t refuse_until_ms; /* announcements are refused until then */
  int64_t learn_until_ms;  /* after a pause of this process */
};

struct runner *runner_table_add (struct runner_table *t,
                                 const char *id); /* Finds or adds a record; NULL when full. */
void runner_table_replace_incarnation (
    struct runner_table *t, struct runner *r,
    const struct runner_info *info); /* R becomes the later incarnation INFO. */
void runner_table_mark_changed (struct runner_table *t,
                                struct runner *r); /* Adds R to the next deltas. */
void runner_table_set_departing (struct runner_table *t, struct runner *r,
                                 int64_t now_ms);    /* Marks R as departed permanently. */
void runner_lease_drop (struct runner_lease *lease); /* The peer no longer lists the runner. */
bool runner_info_valid (const struct runner_info *info,
                        struct status *st); /* Names, address and numbers are in range. */

#endif
