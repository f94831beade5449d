/* limit: limits of customers on concurrency, request rate and share of the slots.

   Limits hold over all entries together.  Each entry has an equal part of a limit.  It lends what
   it does not need of its part to entries that ask for more, and keeps back what it lent until the
   loan has ended.  Loans travel in the digests, last LIMIT_LOAN_MS and are renewed every 500 ms;
   the borrower counts from the clock value that the digest echoes, the lender from when it sent it,
   so that the borrower stops first.

   Error bounds.  The allowances of all entries together never exceed the limit, rounded up to one
   per entry, whatever is cut off, delayed or lost; except that an entry that restarts forgets its
   loans, so that they may exceed it by that entry's part for LIMIT_LOAN_MS.  Requests admitted
   under a loan that has ended run on.  When demand moves, an entry may be short of its part for
   LIMIT_LOAN_MS.  An entry that is cut off has its equal part.  An entry that gets all requests of
   a customer has at least 3/4 of the limit after a second when each part is 8 or more.

   Pure.  Source: design page section 7 and the two lists.  */

#ifndef SASSAFRAS_LIMIT_H
#define SASSAFRAS_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "peer_proto.h"
#include "status.h"

#define LIMIT_LOAN_MS 2000
#define LIMIT_KEEP_FRACTION 0.125 /* of its part that an entry never lends */
#define LIMIT_BURST_S 1.0
#define LIMIT_NONE 0 /* in struct limit_plan: no limit */

/* One customer's limits over all entries.  */
struct limit_plan
{
  uint32_t concurrency; /* requests in flight, LIMIT_NONE for no limit */
  uint32_t rate;        /* requests per second, LIMIT_NONE for no limit */
  double share;         /* of the slots of a service, 0 to 1; 0 for no limit */
  bool no_requests;     /* the plan allows none at all */
};

/* Where the limits come from; the plans implement it.  */
struct limit_source
{
  bool (*lookup) (void *arg, const char *customer,
                  struct limit_plan *out); /* false: unknown customer */
  bool (*known) (void *arg); /* false: the plans are not known yet; NULL: they always are */
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
void limit_report (struct limit *l, const char *entry, int64_t now_ms,
                   struct runner_digest *d); /* Adds loans and wishes to a digest for ENTRY. */
void limit_handle_report (struct limit *l, const char *entry, const struct runner_digest *d,
                          int64_t now_ms); /* Loans and wishes of ENTRY. */

#endif
