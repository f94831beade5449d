/* admission: the bounded queue in front of the runners of one service.

   Urgent requests leave before batch ones, except that one batch request goes after
   ADMISSION_MAX_URGENT_IN_ROW urgent ones, so that batch is never starved.  Within a class the
   customer with the fewest requests in service, relative to its share, goes first; within a
   customer, the oldest.  A request whose deadline cannot be met is refused on arrival or removed
   while it waits, before any runner works on it.  A full queue refuses a new request; a new urgent
   request evicts the newest batch request instead.

   The caller embeds struct admission_item in its own request.  Does no I/O and reads no clock.
   Source: design page section 7.  */

#ifndef SASSAFRAS_ADMISSION_H
#define SASSAFRAS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "status.h"

#define ADMISSION_MAX_URGENT_IN_ROW 32
#define ADMISSION_NAME_BYTES 65

struct admission_customer; /* one customer's queued requests and those in service */

struct admission_item
{
  int64_t arrived_ms;
  int64_t deadline_ms;
  struct admission_customer *customer;
  TAILQ_ENTRY (admission_item) link;     /* in the customer's queue of its class */
  TAILQ_ENTRY (admission_item) age_link; /* in arrival order of its class */
  bool urgent;
  bool queued;
};

TAILQ_HEAD (admission_items, admission_item);

struct admission_config
{
  unsigned max_queued;                                 /* maximum queue length */
  bool deadline_aware;                                 /* false: baseline for benchmarks */
  unsigned (*slots) (void *arg, const char *customer); /* slots it may use while others wait */
  void *slots_arg;
};

struct admission;

struct admission *admission_open (const struct admission_config *config); /* An empty queue. */
void admission_close (struct admission *a); /* Frees A; queued items stay with their owner. */
int admission_check (const struct admission *a, bool urgent, int64_t deadline_ms, int64_t now_ms,
                     struct status *st); /* -1 when a push would be refused now. */
int admission_push (struct admission *a, struct admission_item *item, const char *customer,
                    bool urgent, int64_t deadline_ms, int64_t now_ms,
                    struct admission_item **evicted,
                    struct status *st); /* Enqueues; -1 and OVERLOADED or DEADLINE_EXCEEDED. */
struct admission_item *admission_pop (struct admission *a,
                                      int64_t now_ms); /* The next request to serve, or NULL. */
struct admission_item *
admission_pop_expired (struct admission *a,
                       int64_t now_ms); /* Removes one that cannot meet its deadline, or NULL. */
struct admission_item *
admission_pop_any (struct admission *a); /* Removes one regardless of order, or NULL. */
void admission_remove (struct admission *a,
                       struct admission_item *item); /* Its request ends while queued. */
void admission_served (struct admission *a, struct admission_item *item, bool answered,
                       double service_ms, int64_t now_ms); /* A popped request has ended. */
unsigned admission_queued (const struct admission *a);
int64_t admission_wait_ms (const struct admission *a, bool urgent,
                           int64_t now_ms); /* Expected wait of a new request. */
unsigned admission_serving (const struct admission *a);

#endif
