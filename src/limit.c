#include "limit.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "buffer.h"

#define NAME_BYTES (PEER_NAME_BYTES + 1)
#define BUCKETS 256
#define WANT_MORE_PERCENT 80 /* of its part in use: asks for more */
#define WANT_MORE_MS 1000    /* after a refusal */
#define RATE_WINDOW_MS 1000

struct customer
{
  char name[NAME_BYTES];
  struct limit_plan plan;
  unsigned in_flight;
  double tokens; /* of the rate limit */
  int64_t refilled_ms;
  unsigned arrivals; /* in the current window */
  double rate;       /* arrivals per second in the last window */
  int64_t window_ms;
  int64_t refused_ms; /* last refusal, 0 for none */
  LIST_ENTRY (customer) bucket_link;
  LIST_ENTRY (customer) link;
};

/* What one peer entry reported about one customer.  */
struct usage
{
  char customer[NAME_BYTES];
  unsigned in_flight;
  unsigned rate;
  bool wants_more;
};

struct peer
{
  char entry[NAME_BYTES];
  int64_t reported_ms;
  bool truncated; /* customers that are not listed may still have requests */
  unsigned count;
  struct usage *usage;
  SLIST_ENTRY (peer) link;
};

struct limit
{
  struct limit_source source;
  unsigned entries;
  int64_t opened_ms;
  LIST_HEAD (, customer) buckets[BUCKETS];
  LIST_HEAD (, customer) customers;
  SLIST_HEAD (, peer) peers;
};

static unsigned
bucket_of (const char *name)
{
  unsigned h = 5381;
  for (const char *p = name; *p; p++)
    h = h * 33 + (unsigned char)*p;
  return h % BUCKETS;
}

struct limit *
limit_open (const struct limit_source *source, unsigned entries, int64_t now_ms)
{
  struct limit *l = xcalloc (1, sizeof *l);
  l->source = *source;
  l->opened_ms = now_ms;
  LIST_INIT (&l->customers);
  SLIST_INIT (&l->peers);
  limit_set_entries (l, entries);
  return l;
}

static void
free_customer (struct customer *c)
{
  LIST_REMOVE (c, bucket_link);
  LIST_REMOVE (c, link);
  free (c);
}

void
limit_close (struct limit *l)
{
  if (!l)
    return;
  while (!LIST_EMPTY (&l->customers))
    free_customer (LIST_FIRST (&l->customers));
  while (!SLIST_EMPTY (&l->peers))
    {
      struct peer *p = SLIST_FIRST (&l->peers);
      SLIST_REMOVE_HEAD (&l->peers, link);
      free (p->usage);
      free (p);
    }
  free (l);
}

void
limit_set_entries (struct limit *l, unsigned entries)
{
  l->entries = entries > 0 ? entries : 1;
}

static struct customer *
find_customer (const struct limit *l, const char *name)
{
  struct customer *c;
  LIST_FOREACH (c, &l->buckets[bucket_of (name)], bucket_link)
  if (strcmp (c->name, name) == 0)
    return c;
  return NULL;
}

static struct customer *
add_customer (struct limit *l, const char *name, int64_t now_ms)
{
  struct customer *c = xcalloc (1, sizeof *c);
  memcpy (c->name, name, strlen (name) + 1);
  c->refilled_ms = now_ms;
  c->window_ms = now_ms;
  c->tokens = -1.0;
  LIST_INSERT_HEAD (&l->buckets[bucket_of (name)], c, bucket_link);
  LIST_INSERT_HEAD (&l->customers, c, link);
  return c;
}

/* The equal part of this entry; at least one, so that a small limit blocks no entry.  */
static double
part_of (const struct limit *l, uint32_t total)
{
  double part = (double)total / l->entries;
  return part < 1.0 ? 1.0 : part;
}

static const struct usage *
find_usage (const struct peer *p, const char *customer)
{
  for (unsigned i = 0; i < p->count; i++)
    if (strcmp (p->usage[i].customer, customer) == 0)
      return &p->usage[i];
  return NULL;
}

/* This entry's part of the unused parts of the others: see the error bound in limit.h.  */
static double
borrowed (const struct limit *l, const char *customer, double part, bool by_rate, int64_t now_ms)
{
  const struct peer *p;
  double unused = 0.0;
  unsigned borrowers = 1;
  SLIST_FOREACH (p, &l->peers, link)
  {
    if (now_ms - p->reported_ms >= LIMIT_REPORT_LIFETIME_MS)
      continue;
    const struct usage *u = find_usage (p, customer);
    if (!u && p->truncated)
      continue;
    double used = !u ? 0.0 : by_rate ? u->rate : u->in_flight;
    if (u && u->wants_more)
      borrowers++;
    else if (used < part)
      unused += part - used;
  }
  return unused * LIMIT_BORROW_FRACTION / borrowers;
}

static double
allowance (const struct limit *l, const char *customer, uint32_t total, bool by_rate,
           int64_t now_ms)
{
  double part = part_of (l, total);
  return part + borrowed (l, customer, part, by_rate, now_ms);
}

static void
refill (const struct limit *l, struct customer *c, int64_t now_ms)
{
  double rate = allowance (l, c->name, c->plan.rate, true, now_ms);
  double burst = rate * LIMIT_BURST_S > 1.0 ? rate * LIMIT_BURST_S : 1.0;
  if (c->tokens < 0.0)
    c->tokens = burst;
  c->tokens += rate * (double)(now_ms - c->refilled_ms) / 1000.0;
  if (c->tokens > burst)
    c->tokens = burst;
  c->refilled_ms = now_ms;
}

static void
count_arrival (struct customer *c, int64_t now_ms)
{
  int64_t length = now_ms - c->window_ms;
  if (length >= RATE_WINDOW_MS)
    {
      c->rate = (double)c->arrivals * 1000.0 / (double)length;
      c->arrivals = 0;
      c->window_ms = now_ms;
    }
  c->arrivals++;
}

static int
refuse (struct customer *c, int64_t now_ms, struct status *st, const char *what, double allowed)
{
  c->refused_ms = now_ms;
  return status_set (st, STATUS_LIMIT_EXCEEDED, "customer %s: %s is limited to %.1f at this entry",
                     c->name, what, allowed);
}

static int
check_limits (struct limit *l, struct customer *c, int64_t now_ms, struct status *st)
{
  if (c->plan.concurrency != LIMIT_NONE)
    {
      double allowed = allowance (l, c->name, c->plan.concurrency, false, now_ms);
      if (c->in_flight + 1 > allowed)
        return refuse (c, now_ms, st, "requests in flight", allowed);
    }
  if (c->plan.rate != LIMIT_NONE)
    {
      refill (l, c, now_ms);
      if (c->tokens < 1.0)
        return refuse (c, now_ms, st, "requests per second",
                       allowance (l, c->name, c->plan.rate, true, now_ms));
      c->tokens -= 1.0;
    }
  return 0;
}

int
limit_enter (struct limit *l, const char *customer, int64_t now_ms, struct status *st)
{
  struct limit_plan plan = { 0 };
  if (strlen (customer) >= NAME_BYTES || !l->source.lookup (l->source.arg, customer, &plan))
    return status_set (st, STATUS_UNKNOWN_CUSTOMER, "customer %.64s is not in the list", customer);
  struct customer *c = find_customer (l, customer);
  if (!c)
    c = add_customer (l, customer, now_ms);
  c->plan = plan;
  count_arrival (c, now_ms);
  if (check_limits (l, c, now_ms, st) < 0)
    return -1;
  c->in_flight++;
  return 0;
}

void
limit_leave (struct limit *l, const char *customer)
{
  struct customer *c = find_customer (l, customer);
  struct limit_plan plan;
  if (!c || c->in_flight == 0)
    return;
  c->in_flight--;
  if (c->in_flight == 0 && !l->source.lookup (l->source.arg, customer, &plan))
    free_customer (c);
}

int64_t
limit_retry_after_ms (const struct limit *l, const char *customer, int64_t now_ms)
{
  const struct customer *c = find_customer (l, customer);
  if (!c || c->plan.rate == LIMIT_NONE || c->tokens >= 1.0)
    return 1000;
  double rate = allowance (l, customer, c->plan.rate, true, now_ms);
  return (int64_t)ceil ((1.0 - c->tokens) * 1000.0 / rate);
}

unsigned
limit_slots (struct limit *l, const char *customer, unsigned capacity)
{
  const struct customer *c = find_customer (l, customer);
  if (!c || c->plan.share <= 0.0 || c->plan.share >= 1.0)
    return capacity;
  double slots = floor (c->plan.share * capacity);
  return slots < 1.0 ? 1 : (unsigned)slots;
}

unsigned
limit_in_flight (const struct limit *l, const char *customer)
{
  const struct customer *c = find_customer (l, customer);
  return c ? c->in_flight : 0;
}

static double
current_rate (const struct customer *c, int64_t now_ms)
{
  int64_t length = now_ms - c->window_ms;
  if (length < RATE_WINDOW_MS)
    return c->rate > (double)c->arrivals ? c->rate : (double)c->arrivals;
  return (double)c->arrivals * 1000.0 / (double)length;
}

static bool
wants_more (const struct limit *l, const struct customer *c, int64_t now_ms)
{
  if (c->refused_ms > 0 && now_ms - c->refused_ms < WANT_MORE_MS)
    return true;
  if (c->plan.concurrency == LIMIT_NONE)
    return false;
  return c->in_flight * 100.0 >= part_of (l, c->plan.concurrency) * WANT_MORE_PERCENT;
}

static bool
worth_reporting (const struct customer *c, int64_t now_ms)
{
  if (c->plan.concurrency == LIMIT_NONE && c->plan.rate == LIMIT_NONE)
    return false;
  return c->in_flight > 0 || current_rate (c, now_ms) >= 1.0 || c->refused_ms > 0;
}

void
limit_report (struct limit *l, int64_t now_ms, struct runner_digest *d)
{
  struct customer *c;
  unsigned n = 0;
  customer_usage *out = xcalloc (PEER_MAX_CUSTOMERS, sizeof *out);
  LIST_FOREACH (c, &l->customers, link)
  {
    if (n == PEER_MAX_CUSTOMERS || !worth_reporting (c, now_ms))
      continue;
    out[n].customer = xstrdup (c->name);
    out[n].in_flight = c->in_flight;
    out[n].rate = (unsigned)ceil (current_rate (c, now_ms));
    out[n].wants_more = wants_more (l, c, now_ms);
    n++;
  }
  d->usage.usage_val = out;
  d->usage.usage_len = n;
}

static struct peer *
find_peer (struct limit *l, const char *entry)
{
  struct peer *p;
  SLIST_FOREACH (p, &l->peers, link)
  if (strcmp (p->entry, entry) == 0)
    return p;
  p = xcalloc (1, sizeof *p);
  snprintf (p->entry, sizeof p->entry, "%s", entry);
  SLIST_INSERT_HEAD (&l->peers, p, link);
  return p;
}

void
limit_handle_report (struct limit *l, const char *entry, const struct runner_digest *d,
                     int64_t now_ms)
{
  struct peer *p = find_peer (l, entry);
  unsigned n = d->usage.usage_len < PEER_MAX_CUSTOMERS ? d->usage.usage_len : PEER_MAX_CUSTOMERS;
  p->reported_ms = now_ms;
  p->truncated = n == PEER_MAX_CUSTOMERS;
  p->count = n;
  p->usage = xrealloc (p->usage, n * sizeof *p->usage);
  for (unsigned i = 0; i < n; i++)
    {
      const customer_usage *u = &d->usage.usage_val[i];
      snprintf (p->usage[i].customer, NAME_BYTES, "%s", u->customer);
      p->usage[i].in_flight = u->in_flight;
      p->usage[i].rate = u->rate;
      p->usage[i].wants_more = u->wants_more;
    }
}
