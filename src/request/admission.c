#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define MAX_WAIT_FRACTION 0.5    /* of the time to the deadline that the expected wait may use */
#define MIN_SERVICE_FRACTION 0.5 /* of the mean service time that must remain at the start */
#define SERVICE_WEIGHT 0.05      /* of a new sample in the moving averages */

enum class
{
  URGENT,
  BATCH,
  CLASSES
};

struct admission_customer
{
  char name[ADMISSION_NAME_BYTES];
  unsigned serving;
  unsigned serving_batch;
  struct admission_items queues[CLASSES];
  TAILQ_ENTRY (admission_customer) link;
};

struct admission
{
  struct admission_config config;
  TAILQ_HEAD (, admission_customer) customers;
  struct admission_items by_age[CLASSES];
  unsigned queued[CLASSES];
  unsigned serving;
  unsigned urgent_in_row;   /* urgent requests popped since the last batch one */
  double service_ms;        /* moving average, 0 before the first answer */
  double class_ms[CLASSES]; /* moving average by class */
  int64_t next_scan_ms;     /* no queued request expires before this time */
};

struct admission *
admission_open (const struct admission_config *config)
{
  struct admission *a = xcalloc (1, sizeof *a);
  a->config = *config;
  TAILQ_INIT (&a->customers);
  TAILQ_INIT (&a->by_age[URGENT]);
  TAILQ_INIT (&a->by_age[BATCH]);
  a->next_scan_ms = INT64_MAX;
  return a;
}

void
admission_close (struct admission *a)
{
  if (!a)
    return;
  while (!TAILQ_EMPTY (&a->customers))
    {
      struct admission_customer *c = TAILQ_FIRST (&a->customers);
      TAILQ_REMOVE (&a->customers, c, link);
      free (c);
    }
  free (a);
}

static struct admission_customer *
get_customer (struct admission *a, const char *name)
{
  struct admission_customer *c;
  TAILQ_FOREACH (c, &a->customers, link)
  if (strcmp (c->name, name) == 0)
    return c;
  c = xcalloc (1, sizeof *c);
  strncpy (c->name, name, sizeof c->name - 1);
  TAILQ_INIT (&c->queues[URGENT]);
  TAILQ_INIT (&c->queues[BATCH]);
  TAILQ_INSERT_TAIL (&a->customers, c, link);
  return c;
}

static void
remove_idle_customer (struct admission *a, struct admission_customer *c)
{
  if (c->serving > 0 || !TAILQ_EMPTY (&c->queues[URGENT]) || !TAILQ_EMPTY (&c->queues[BATCH]))
    return;
  TAILQ_REMOVE (&a->customers, c, link);
  free (c);
}

static enum class class_of (const struct admission_item *item) {
  return item->urgent ? URGENT : BATCH;
}

static void
unlink_item (struct admission *a, struct admission_item *item)
{
  enum class k = class_of (item);
  TAILQ_REMOVE (&item->customer->queues[k], item, link);
  TAILQ_REMOVE (&a->by_age[k], item, age_link);
  a->queued[k]--;
  item->queued = false;
}

unsigned
admission_queued (const struct admission *a)
{
  return a->queued[URGENT] + a->queued[BATCH];
}

unsigned
admission_serving (const struct admission *a)
{
  return a->serving;
}

/* Queued requests ahead of a new one, divided by the completion rate of those in service.  */
int64_t
admission_wait_ms (const struct admission *a, bool urgent, int64_t now_ms)
{
  unsigned ahead = a->queued[URGENT] + (urgent ? 0 : a->queued[BATCH]);
  (void)now_ms;
  if (ahead == 0)
    return 0;
  return (int64_t)(ahead * a->service_ms / (a->serving > 0 ? a->serving : 1));
}

static int64_t
latest_start_ms (const struct admission *a, const struct admission_item *item)
{
  return item->deadline_ms - (int64_t)(a->class_ms[class_of (item)] * MIN_SERVICE_FRACTION);
}

static int
check_deadline (const struct admission *a, bool urgent, int64_t deadline_ms, int64_t now_ms,
                struct status *st)
{
  if (now_ms >= deadline_ms)
    return status_set (st, STATUS_DEADLINE_EXCEEDED, "the deadline has passed");
  if (!a->config.deadline_aware)
    return 0;
  int64_t wait = admission_wait_ms (a, urgent, now_ms);
  if ((double)wait > MAX_WAIT_FRACTION * (double)(deadline_ms - now_ms))
    return status_set (st, STATUS_OVERLOADED, "expected wait %lld ms, deadline in %lld ms",
                       (long long)wait, (long long)(deadline_ms - now_ms));
  return 0;
}

static int
make_room (struct admission *a, bool urgent, struct admission_item **evicted, struct status *st)
{
  if (admission_queued (a) < a->config.max_queued)
    return 0;
  if (!urgent || a->queued[BATCH] == 0)
    return status_set (st, STATUS_OVERLOADED, "%u requests are waiting", admission_queued (a));
  *evicted = TAILQ_LAST (&a->by_age[BATCH], admission_items);
  admission_remove (a, *evicted);
  return 0;
}

int
admission_check (const struct admission *a, bool urgent, int64_t deadline_ms, int64_t now_ms,
                 struct status *st)
{
  if (check_deadline (a, urgent, deadline_ms, now_ms, st) < 0)
    return -1;
  if (admission_queued (a) < a->config.max_queued || (urgent && a->queued[BATCH] > 0))
    return 0;
  return status_set (st, STATUS_OVERLOADED, "%u requests are waiting", admission_queued (a));
}

int
admission_push (struct admission *a, struct admission_item *item, const char *customer, bool urgent,
                int64_t deadline_ms, int64_t now_ms, struct admission_item **evicted,
                struct status *st)
{
  *evicted = NULL;
  if (check_deadline (a, urgent, deadline_ms, now_ms, st) < 0
      || make_room (a, urgent, evicted, st) < 0)
    return -1;
  enum class k = urgent ? URGENT : BATCH;
  item->urgent = urgent;
  item->arrived_ms = now_ms;
  item->deadline_ms = deadline_ms;
  item->queued = true;
  item->customer = get_customer (a, customer);
  TAILQ_INSERT_TAIL (&item->customer->queues[k], item, link);
  TAILQ_INSERT_TAIL (&a->by_age[k], item, age_link);
  a->queued[k]++;
  if (latest_start_ms (a, item) < a->next_scan_ms)
    a->next_scan_ms = latest_start_ms (a, item);
  return 0;
}

static bool
over_share (const struct admission *a, const struct admission_customer *c, enum class k,
            unsigned slots)
{
  (void)a;
  return k == BATCH ? c->serving_batch >= slots : c->serving >= slots;
}

static unsigned
slots_of (const struct admission *a, const struct admission_customer *c)
{
  if (!a->config.slots)
    return UINT32_MAX;
  unsigned slots = a->config.slots (a->config.slots_arg, c->name);
  return slots > 0 ? slots : 1;
}

/* The customer that uses the least of its share.  Urgent requests over the share are served only
   when no other customer waits; batch requests over the share wait, since a long one cannot be
   preempted when others arrive.  */
static struct admission_customer *
next_customer (const struct admission *a, enum class k)
{
  struct admission_customer *c;
  struct admission_customer *best = NULL;
  struct admission_customer *fallback = NULL;
  double best_use = 0.0;
  TAILQ_FOREACH (c, &a->customers, link)
  {
    if (TAILQ_EMPTY (&c->queues[k]))
      continue;
    unsigned slots = slots_of (a, c);
    if (over_share (a, c, k, slots))
      {
        fallback = fallback || k == BATCH ? fallback : c;
        continue;
      }
    double use = (double)c->serving / slots;
    if (!best || use < best_use)
      {
        best = c;
        best_use = use;
      }
  }
  return best ? best : fallback;
}

static struct admission_item *
pop_class (struct admission *a, enum class k)
{
  struct admission_customer *c = next_customer (a, k);
  if (!c)
    return NULL;
  struct admission_item *item = TAILQ_FIRST (&c->queues[k]);
  unlink_item (a, item);
  c->serving++;
  if (k == BATCH)
    c->serving_batch++;
  a->serving++;
  a->urgent_in_row = k == URGENT ? a->urgent_in_row + 1 : 0;
  TAILQ_REMOVE (&a->customers, c, link);
  TAILQ_INSERT_TAIL (&a->customers, c, link);
  return item;
}

struct admission_item *
admission_pop (struct admission *a, int64_t now_ms)
{
  bool batch_first = a->urgent_in_row >= ADMISSION_MAX_URGENT_IN_ROW;
  (void)now_ms;
  struct admission_item *item = pop_class (a, batch_first ? BATCH : URGENT);
  return item ? item : pop_class (a, batch_first ? URGENT : BATCH);
}

struct admission_item *
admission_pop_expired (struct admission *a, int64_t now_ms)
{
  struct admission_item *item;
  int64_t earliest = INT64_MAX;
  if (now_ms < a->next_scan_ms)
    return NULL;
  for (int k = URGENT; k < CLASSES; k++)
    TAILQ_FOREACH (item, &a->by_age[k], age_link)
    {
      int64_t last = a->config.deadline_aware ? latest_start_ms (a, item) : item->deadline_ms;
      if (now_ms >= last)
        {
          admission_remove (a, item);
          return item;
        }
      if (last < earliest)
        earliest = last;
    }
  a->next_scan_ms = earliest;
  return NULL;
}

struct admission_item *
admission_pop_any (struct admission *a)
{
  struct admission_item *item = TAILQ_FIRST (&a->by_age[URGENT]);
  if (!item)
    item = TAILQ_FIRST (&a->by_age[BATCH]);
  if (item)
    admission_remove (a, item);
  return item;
}

void
admission_remove (struct admission *a, struct admission_item *item)
{
  if (!item->queued)
    return;
  unlink_item (a, item);
  remove_idle_customer (a, item->customer);
  item->customer = NULL;
}

static void
update_mean (double *mean, double value)
{
  if (*mean <= 0.0)
    *mean = value;
  *mean += SERVICE_WEIGHT * (value - *mean);
}

void
admission_served (struct admission *a, struct admission_item *item, bool answered,
                  double service_ms, int64_t now_ms)
{
  struct admission_customer *c = item->customer;
  (void)now_ms;
  if (answered)
    {
      update_mean (&a->service_ms, service_ms);
      update_mean (&a->class_ms[class_of (item)], service_ms);
    }
  c->serving--;
  if (!item->urgent)
    c->serving_batch--;
  a->serving--;
  item->customer = NULL;
  remove_idle_customer (a, c);
}
