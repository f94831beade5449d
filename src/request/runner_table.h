/* runner_table: the runners that this entry VM knows, as soft state.

   A runner stays live while announcements or digests renew it.  Times are milliseconds of the local
   monotonic clock, passed in as now_ms.

   Lifetimes.  An announcement renews a runner at the entry that received it for RUNNER_LIFETIME_MS.
   That entry lists the runner in its digests only while the announcement is at most
   RUNNER_FRESH_MS old, and a receiver keeps it for RUNNER_DIGEST_LIFETIME_MS from the receiver time
   that the digest echoes.  The two add up to RUNNER_LIFETIME_MS, so 2 s after a runner reported its
   departure to any entry, no entry sends it new requests, under any partition or delay.

   Digests.  One version number covers all runners that announced to one entry.  An unchanged
   version renews all of them; a delta has the changes since base_version; a mismatch leads to the
   full table.  A runner_entry with slots 0 means that the sender no longer lists the runner; one
   with departing set is a departure, which applies at every entry.

   Incarnations.  A runner's incarnation increases with every start.  An earlier one never replaces
   a later one, and a departed one never returns; tombstones of departures are kept for
   RUNNER_TOMBSTONE_MS.

   Source: design page sections 3, 6 and 8.  */

#ifndef SASSAFRAS_RUNNER_TABLE_H
#define SASSAFRAS_RUNNER_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "peer_proto.h"
#include "status.h"

#define RUNNER_NAME_BYTES (PEER_NAME_BYTES + 1)
#define RUNNER_LIFETIME_MS 2000
#define RUNNER_FRESH_MS 700
#define RUNNER_DIGEST_LIFETIME_MS (RUNNER_LIFETIME_MS - RUNNER_FRESH_MS)
#define RUNNER_DIGEST_INTERVAL_MS 500
#define RUNNER_TOMBSTONE_MS 60000
#define RUNNER_MAX_LISTED                                                                          \
  768 /* runners that may announce to one entry; leaves space for departures */
#define RUNNER_MAX_SLOTS 4096
#define RUNNER_PAUSE_MIN_MS 1000 /* gap between two ticks that counts as a pause of the process */
#define RUNNER_PAUSE_REFUSAL_MS                                                                    \
  100 /* announcements queued during the pause are refused this long */

/* A gap between two ticks from which on the digests held here may have expired: they last 1.3 s
   from an echo that may be as old as a digest interval.  */
#define RUNNER_RELEARN_GAP_MS 500
#define RUNNER_RELEARN_MS 1000 /* after it: a digest interval and a delay */

/* A runner that expired without a departure mostly still serves: the entry that it announces to was
   paused, and its next digest comes within this time.  */
#define RUNNER_RETURN_MS 1000

/* What a runner announces.  */
struct runner_info
{
  char id[RUNNER_NAME_BYTES];
  char service[RUNNER_NAME_BYTES];
  char data_centre[RUNNER_NAME_BYTES];
  char address[RUNNER_NAME_BYTES]; /* ip:port */
  uint64_t incarnation;
  uint32_t slots;       /* concurrent requests */
  uint32_t connections; /* maximum connections from all entries */
  uint32_t in_flight;   /* requests from all entries, as last reported */
};

/* The router's view of one runner; reset when the incarnation changes.  */
struct runner_load
{
  unsigned in_flight;       /* requests of this entry */
  int64_t reported_ms;      /* when info.in_flight was received */
  unsigned local_at_report; /* in_flight of this entry at that time */
  double limit;             /* adaptive limit on in_flight */
  double late_rate;         /* moving average of answers far above the service's median, 0 to 1 */
  unsigned samples;         /* answers and failures counted in the averages */
  unsigned failures_in_row; /* consecutive failures */
  double failure_rate;      /* moving average of failures, 0 to 1 */
  unsigned ejections;       /* since the last reset; each doubles the length of the next */
  int64_t ejected_until_ms; /* 0 when it is not ejected */
  int64_t returned_ms;      /* when slow start began, 0 when it is over */
  int64_t last_probe_ms;    /* last probe of a slow runner */
  bool slow;                /* late_rate is over SLOW_RATE of router.c */
};

struct runner_lease; /* one peer that lists one runner */

struct runner
{
  struct runner_info info;
  struct runner_load load;
  bool departing;
  int64_t departed_ms;       /* when the departure was received */
  int64_t announced_ms;      /* last direct announcement, 0 when there was none */
  int64_t unlisted_ms;       /* when a peer last stopped listing it */
  bool listed;               /* included in the digests of this entry */
  uint64_t changed_version;  /* version of this entry's table that last changed it */
  uint32_t digest_in_flight; /* in_flight as last put in a digest */
  unsigned references;       /* requests that refer to it */
  LIST_HEAD (, runner_lease) leases;
  LIST_ENTRY (runner) bucket_link;
  TAILQ_ENTRY (runner) link;
};

TAILQ_HEAD (runner_list, runner);

struct runner_table;
struct runner_peer; /* another entry VM and the digest state in both directions */

struct runner_table *runner_table_open (
    uint64_t incarnation,
    int64_t now_ms); /* Empty; INCARNATION of this entry, under 2^43, grows with every start. */
void runner_table_close (struct runner_table *t);

int runner_table_announce (struct runner_table *t, const struct runner_info *info, int64_t now_ms,
                           struct status *st); /* Renews a runner; -1 and STALE_INCARNATION. */
int runner_table_depart (struct runner_table *t, const char *id, uint64_t incarnation,
                         int64_t now_ms, struct status *st); /* Ends an incarnation permanently. */
void runner_table_report (struct runner *r, uint32_t in_flight,
                          int64_t now_ms); /* Load reported by the runner. */
void runner_table_tick (struct runner_table *t,
                        int64_t now_ms); /* Removes expired records; call every 100 ms. */

bool runner_live (const struct runner *r, int64_t now_ms); /* Whether it may get new requests. */
bool runner_may_return (const struct runner *r,
                        int64_t now_ms); /* Expired a moment ago without a departure. */
struct runner *runner_table_find (const struct runner_table *t, const char *id); /* Or NULL. */
const struct runner_list *runner_table_list (const struct runner_table *t);      /* All records. */
uint64_t runner_table_generation (
    const struct runner_table *t); /* Changes whenever the live runners may have changed. */
bool runner_table_learning (const struct runner_table *t,
                            int64_t now_ms); /* Recent start or pause: runners may be missing. */
void runner_hold (struct runner *r);         /* Takes a reference for a request. */
void runner_release (struct runner *r);      /* Releases the reference. */

struct runner_peer *runner_table_peer (struct runner_table *t,
                                       const char *entry); /* Finds or adds a peer entry. */
void runner_peer_connected (struct runner_peer *p);        /* New connection: restarts digests. */
bool runner_table_digest_due (const struct runner_table *t, const struct runner_peer *p,
                              int64_t now_ms); /* Whether to send P a digest now. */
void runner_table_make_digest (struct runner_table *t, struct runner_peer *p, int64_t now_ms,
                               struct runner_digest *out); /* Free with runner_digest_free. */
void runner_digest_free (struct runner_digest *d);         /* Frees what make_digest filled. */
void runner_table_handle_digest (struct runner_table *t, struct runner_peer *p,
                                 const struct runner_digest *d, int64_t now_ms,
                                 struct runner_digest_reply *reply); /* Applies a digest from P. */
void runner_table_handle_reply (struct runner_table *t, struct runner_peer *p,
                                const struct runner_digest_reply *reply); /* Applies P's reply. */
void runner_table_digest_failed (struct runner_peer *p); /* The digest got no reply. */

#endif
