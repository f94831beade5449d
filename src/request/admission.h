/* admission: the bounded queue in front of the runners of one service.

   Urgent requests leave before batch ones, except that one batch request goes after
   ADMISSION_URGENT_RUN urgent ones, so that batch is never starved.  Within a class the customer
   with the fewest requests being served, relative to its share, goes first; within a customer, the
   oldest.  A request whose deadline cannot be met is refused on arrival or dropped while it waits,
   before any work is spent on it.  A full queue refuses the newcomer, or drops the newest batch
   request when the newcomer is urgent.

   The entry embeds struct admission_item in its own request.  Pure.  Source: design page
   section 7.  */

#ifndef SASSAFRAS_ADMISSION_H
#define SASSAFRAS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "status.h"

#define ADMISSION_URGENT_RUN 32
#define ADMISSION_NAME_BYTES 65

struct admission_customer; /* requests of one customer in the queue and in service */

struct admission_item
{
  int64_t arrived_ms;
  int64_t deadline_ms;
  struct admission_customer *customer;
  TAILQ_ENTRY (admission_item) link;     /* in the customer's queue of its class */
  TAILQ_ENTRY (admission_item) age_link; /* in the order of arrival of its class */
  bool urgent;
  bool queued;
};

TAILQ_HEAD (admission_items, admission_item);

struct admission_config
{
  unsigned max_queued;                                 /* requests waiting at most */
  bool deadline_aware;                                 /* false: baseline for benchmarks */
  unsigned (*slots) (void *arg, const char *customer); /* slots it may hold while others wait */
  void *slots_arg;
};

struct admission;

struct admission *admission_open (const struct admission_config *config); /* An empty queue. */
void admission_close (struct admission *a); /* Frees; queued items are forgotten. */
int admission_check (const struct admission *a, bool urgent, int64_t deadline_ms, int64_t now_ms,
                     struct status *st); /* Whether a push would be refused now. */
int admission_push (struct admission *a, struct admission_item *item, const char *customer,
                    bool urgent, int64_t deadline_ms, int64_t now_ms,
                    struct admission_item **evicted,
                    struct status *st); /* Queues; -1 and OVERLOADED or DEADLINE_EXCEEDED. */
struct admission_item *admission_pop (struct admission *a,
                                      int64_t now_ms); /* The next to be served, or NULL. */
struct admission_item *
admission_pop_expired (struct admission *a,
                       int64_t now_ms); /* One that cannot meet its deadline, or NULL. */
struct admission_item *
admission_pop_any (struct admission *a); /* Any that waits, not to be served, or NULL. */
void admission_remove (struct admission *a, struct admission_item *item); /* The caller left. */
void admission_served (struct admission *a, struct admission_item *item, bool answered,
                       double service_ms, int64_t now_ms); /* A popped request ended. */
unsigned admission_queued (const struct admission *a);     /* Requests waiting. */
int64_t admission_wait_ms (const struct admission *a, bool urgent,
                           int64_t now_ms);             /* Expected wait of a newcomer. */
unsigned admission_serving (const struct admission *a); /* Popped and not ended. */

#endif
