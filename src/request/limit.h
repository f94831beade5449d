/* limit: per-customer limits on concurrency, request rate and share of the slots.

   A limit applies to the sum over all entry VMs.  Each entry has an equal share of it, lends what
   it does not need to entries that ask for more, and does not use what it lent until the loan has
   expired.  Loans are sent in the digests, last LIMIT_LOAN_MS and are renewed every 500 ms.  For
   the borrower a loan starts at its own earlier clock value, which the digest echoes, for the
   lender when it sends the digest, so it expires at the borrower first.

   Error bounds.  The sum of the allowances never exceeds the limit, rounded up to one per entry,
   under any partition, delay or loss; except that an entry that restarts loses its record of loans,
   so that the sum may exceed the limit by that entry's share for LIMIT_LOAN_MS.  Requests admitted
   under an expired loan continue.  When demand shifts, an entry may have less than its share for
   LIMIT_LOAN_MS.  A partitioned entry has its equal share.  An entry that gets all requests of a
   customer has at least 3/4 of the limit after a second when each share is 8 or more.

   Does no I/O and reads no clock.  Source: design page section 7 and the two lists.  */

#ifndef SASSAFRAS_LIMIT_H
#define SASSAFRAS_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "peer_proto.h"
#include "status.h"

#define LIMIT_LOAN_MS 2000
#define LIMIT_RESERVE_FRACTION 0.125 /* of its share that an entry never lends */
#define LIMIT_BURST_S 1.0
#define LIMIT_NONE 0 /* in struct limit_plan: no limit */

/* One customer's limits; each holds for all entry VMs together.  */
struct limit_plan
{
  uint32_t concurrency; /* requests in flight, LIMIT_NONE for no limit */
  uint32_t rate;        /* requests per second, LIMIT_NONE for no limit */
  double share;         /* of the slots of a service, 0 to 1; 0 for no limit */
  bool no_requests;     /* the plan allows no requests */
};

/* Source of the limits, implemented over the customers' plans.  */
struct limit_source
{
  bool (*lookup) (void *arg, const char *customer,
                  struct limit_plan *out); /* false: unknown customer */
  bool (*known) (void *arg);               /* false: plans not loaded yet; NULL: always loaded */
  void *arg;
};

struct limit;

struct limit *limit_open (const struct limit_source *source, unsigned entries,
                          int64_t now_ms); /* ENTRIES entry VMs share each limit. */
void limit_close (struct limit *l);
void limit_set_entries (struct limit *l, unsigned entries); /* The number of entry VMs changed. */
int limit_enter (struct limit *l, const char *customer, int64_t now_ms,
                 struct status *st); /* Admits; -1: UNKNOWN_CUSTOMER, LIMIT_EXCEEDED, NO_QUORUM. */
void limit_leave (struct limit *l, const char *customer); /* An admitted request has ended. */
int64_t limit_retry_after_ms (const struct limit *l, const char *customer,
                              int64_t now_ms); /* Time until a refused request may succeed. */
unsigned limit_slots (struct limit *l, const char *customer,
                      unsigned capacity); /* Slots of CAPACITY it may use while others wait. */
unsigned limit_in_flight (const struct limit *l, const char *customer); /* At this entry. */
void limit_report (struct limit *l, const char *entry, int64_t now_ms,
                   struct runner_digest *d); /* Adds loans and loan requests for ENTRY. */
void limit_handle_report (struct limit *l, const char *entry, const struct runner_digest *d,
                          int64_t now_ms); /* Applies a digest received from ENTRY. */

#endif
