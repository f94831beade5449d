#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define WAIT_FRACTION 0.5    /* of the time to the deadline that the expected wait may take */
#define SERVICE_FRACTION 0.5 /* of the mean service time that must be left when served */
#define SERVICE_WEIGHT 0.05  /* of a new sample in the mean */

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
  struct admission_items ages[CLASSES];
  unsigned queued[CLASSES];
  unsigned serving;
  unsigned urgent_run;      /* urgent requests popped since the last batch one */
  double service_ms;        /* moving average, 0 before the first answer */
  double class_ms[CLASSES]; /* the same by class */
  int64_t scan_ms;          /* no queued request can miss its deadline before this time */
};

struct admission *
admission_open (const struct admission_config *config)
{
  struct admission *a = xcalloc (1, sizeof *a);
  a->config = *config;
  TAILQ_INIT (&a->customers);
  TAILQ_INIT (&a->ages[URGENT]);
  TAILQ_INIT (&a->ages[BATCH]);
  a->scan_ms = INT64_MAX;
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
forget_idle (struct admission *a, struct admission_customer *c)
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
  TAILQ_REMOVE (&a->ages[k], item, age_link);
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

/* Requests ahead of a newcomer, at the rate at which the requests in service end.  */
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
last_start_ms (const struct admission *a, const struct admission_item *item)
{
  return item->deadline_ms - (int64_t)(a->class_ms[class_of (item)] * SERVICE_FRACTION);
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
  if ((double)wait > WAIT_FRACTION * (double)(deadline_ms - now_ms))
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
  *evicted = TAILQ_LAST (&a->ages[BATCH], admission_items);
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
  TAILQ_INSERT_TAIL (&a->ages[k], item, age_link);
  a->queued[k]++;
  if (last_start_ms (a, item) < a->scan_ms)
    a->scan_ms = last_start_ms (a, item);
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

/* The customer with the least service for its share.  Urgent requests over the share go only when
   nobody else waits; batch requests over the share wait, since a long one cannot be stopped when
   others come.  */
static struct admission_customer *
next_customer (const struct admission *a, enum class k)
{
  struct admission_customer *c;
  struct admission_customer *best = NULL;
  struct admission_customer *spare = NULL;
  double best_use = 0.0;
  TAILQ_FOREACH (c, &a->customers, link)
  {
    if (TAILQ_EMPTY (&c->queues[k]))
      continue;
    unsigned slots = slots_of (a, c);
    if (over_share (a, c, k, slots))
      {
        spare = spare || k == BATCH ? spare : c;
        continue;
      }
    double use = (double)c->serving / slots;
    if (!best || use < best_use)
      {
        best = c;
        best_use = use;
      }
  }
  return best ? best : spare;
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
  a->urgent_run = k == URGENT ? a->urgent_run + 1 : 0;
  TAILQ_REMOVE (&a->customers, c, link);
  TAILQ_INSERT_TAIL (&a->customers, c, link);
  return item;
}

struct admission_item *
admission_pop (struct admission *a, int64_t now_ms)
{
  bool batch_first = a->urgent_run >= ADMISSION_URGENT_RUN;
  (void)now_ms;
  struct admission_item *item = pop_class (a, batch_first ? BATCH : URGENT);
  return item ? item : pop_class (a, batch_first ? URGENT : BATCH);
}

struct admission_item *
admission_pop_expired (struct admission *a, int64_t now_ms)
{
  struct admission_item *item;
  int64_t earliest = INT64_MAX;
  if (now_ms < a->scan_ms)
    return NULL;
  for (int k = URGENT; k < CLASSES; k++)
    TAILQ_FOREACH (item, &a->ages[k], age_link)
    {
      int64_t last = a->config.deadline_aware ? last_start_ms (a, item) : item->deadline_ms;
      if (now_ms >= last)
        {
          admission_remove (a, item);
          return item;
        }
      if (last < earliest)
        earliest = last;
    }
  a->scan_ms = earliest;
  return NULL;
}

struct admission_item *
admission_pop_any (struct admission *a)
{
  struct admission_item *item = TAILQ_FIRST (&a->ages[URGENT]);
  if (!item)
    item = TAILQ_FIRST (&a->ages[BATCH]);
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
  forget_idle (a, item->customer);
  item->customer = NULL;
}

static void
average (double *mean, double value)
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
      average (&a->service_ms, service_ms);
      average (&a->class_ms[class_of (item)], service_ms);
    }
  c->serving--;
  if (!item->urgent)
    c->serving_batch--;
  a->serving--;
  item->customer = NULL;
  forget_idle (a, c);
}
