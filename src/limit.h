/* limit: limits of customers on concurrency, request rate and share of the slots.

   Limits hold over all entries together.  Each entry may use limit / entries, plus half of what
   other entries report as unused, divided among the entries that ask for more.  Error bound: the
   sum over all entries is at most the limit, rounded up to one per entry, while demand is steady,
   and at most 1.5 times that for LIMIT_REPORT_LIFETIME_MS after demand has moved between entries.
   An entry that is silent or cut off counts as using its whole part, so nothing is borrowed from
   it.  A customer whose requests all arrive at one of 8 entries gets at least half its limit.

   Pure.  Source: design page section 7 and the two lists.  */

#ifndef SASSAFRAS_LIMIT_H
#define SASSAFRAS_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "peer_proto.h"
#include "status.h"

#define LIMIT_REPORT_LIFETIME_MS 2000
#define LIMIT_BORROW_FRACTION 0.5
#define LIMIT_BURST_S 1.0
#define LIMIT_NONE 0 /* in struct limit_plan: no limit */

/* One customer's limits over all entries.  */
struct limit_plan
{
  uint32_t concurrency; /* requests in flight, LIMIT_NONE for no limit */
  uint32_t rate;        /* requests per second, LIMIT_NONE for no limit */
  double share;         /* of the slots of a service, 0 to 1; 0 for no limit */
};

/* Where the limits come from; the plans implement it.  */
struct limit_source
{
  bool (*lookup) (void *arg, const char *customer,
                  struct limit_plan *out); /* false: unknown customer */
  void *arg;
};

struct limit;

struct limit *limit_open (const struct limit_source *source, unsigned entries,
                          int64_t now_ms); /* ENTRIES entry VMs share each limit. */
void limit_close (struct limit *l);        /* Frees everything. */
void limit_set_entries (struct limit *l, unsigned entries); /* Membership changed. */
int limit_enter (struct limit *l, const char *customer, int64_t now_ms,
                 struct status *st); /* Counts one request in; UNKNOWN_CUSTOMER, LIMIT_EXCEEDED. */
void limit_leave (struct limit *l, const char *customer); /* The request ended. */
int64_t limit_retry_after_ms (const struct limit *l, const char *customer,
                              int64_t now_ms); /* When a refused request may succeed. */
unsigned limit_slots (struct limit *l, const char *customer,
                      unsigned capacity); /* Slots out of CAPACITY it may hold while others wait. */
unsigned limit_in_flight (const struct limit *l, const char *customer); /* At this entry. */
void limit_report (struct limit *l, int64_t now_ms,
                   struct runner_digest *d); /* Adds this entry's usage to a digest. */
void limit_handle_report (struct limit *l, const char *entry, const struct runner_digest *d,
                          int64_t now_ms); /* Usage of another entry. */

#endif
