#include "limit.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "buffer.h"

#define NAME_BYTES (PEER_NAME_BYTES + 1)
#define BUCKETS 256
#define LOAN_REQUEST_PERCENT 80 /* of the equal share in use, at which an entry asks for a loan */
#define LOAN_REQUEST_MS 1000    /* after a refusal, during which it asks too */
#define RATE_WINDOW_MS 1000
#define HEADROOM_FACTOR 1.25 /* multiple of the current use that is not lent */

/* Limits that entries lend to each other.  */
enum kind
{
  IN_FLIGHT,
  RATE,
  KINDS
};

/* The lender's record of a loan: a smaller loan does not end a larger earlier one early.  */
struct loan
{
  unsigned amount[2];
  int64_t until_ms[2];
};

/* Loans of one customer's limits to and from one peer.  */
struct peer_loans
{
  struct peer *peer;
  struct loan lent[KINDS];
  unsigned borrowed[KINDS];
  int64_t borrowed_until_ms;
  int64_t wanted_ms[KINDS]; /* when the peer last asked for a loan, 0 for never */
  SLIST_ENTRY (peer_loans) link;
};

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
  int64_t refused_ms[KINDS]; /* last refusal, 0 for none */
  SLIST_HEAD (, peer_loans) peer_loans;
  LIST_ENTRY (customer) bucket_link;
  LIST_ENTRY (customer) link;
};

struct peer
{
  char entry[NAME_BYTES];
  SLIST_ENTRY (peer) link;
};

struct limit
{
  struct limit_source source;
  unsigned entries;
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
  (void)now_ms;
  LIST_INIT (&l->customers);
  SLIST_INIT (&l->peers);
  limit_set_entries (l, entries);
  return l;
}

static void
free_customer (struct customer *c)
{
  while (!SLIST_EMPTY (&c->peer_loans))
    {
      struct peer_loans *a = SLIST_FIRST (&c->peer_loans);
      SLIST_REMOVE_HEAD (&c->peer_loans, link);
      free (a);
    }
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
  SLIST_INIT (&c->peer_loans);
  LIST_INSERT_HEAD (&l->buckets[bucket_of (name)], c, bucket_link);
  LIST_INSERT_HEAD (&l->customers, c, link);
  return c;
}

static uint32_t
total_of (const struct customer *c, enum kind k)
{
  return k == RATE ? c->plan.rate : c->plan.concurrency;
}

/* This entry's equal share; at least one, so that a small limit blocks no entry.  */
static unsigned
equal_share (const struct limit *l, const struct customer *c, enum kind k)
{
  unsigned share = total_of (c, k) / l->entries;
  return share < 1 ? 1 : share;
}

static unsigned
lent_now (const struct loan *loan, int64_t now_ms)
{
  unsigned first = now_ms < loan->until_ms[0] ? loan->amount[0] : 0;
  unsigned second = now_ms < loan->until_ms[1] ? loan->amount[1] : 0;
  return first > second ? first : second;
}

static unsigned
lent_to_all (const struct customer *c, enum kind k, int64_t now_ms)
{
  const struct peer_loans *a;
  unsigned sum = 0;
  SLIST_FOREACH (a, &c->peer_loans, link)
  sum += lent_now (&a->lent[k], now_ms);
  return sum;
}

/* Current limit of this entry: its share less loans given plus loans received.  */
static unsigned
allowance (const struct limit *l, const struct customer *c, enum kind k, int64_t now_ms)
{
  const struct peer_loans *a;
  unsigned share = equal_share (l, c, k);
  unsigned lent = lent_to_all (c, k, now_ms);
  unsigned sum = lent < share ? share - lent : 0;
  SLIST_FOREACH (a, &c->peer_loans, link)
  if (now_ms < a->borrowed_until_ms)
    sum += a->borrowed[k];
  return sum;
}

static void
refill (const struct limit *l, struct customer *c, int64_t now_ms)
{
  double rate = allowance (l, c, RATE, now_ms);
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
refuse (struct customer *c, enum kind k, int64_t now_ms, struct status *st, unsigned allowed)
{
  static const char *const names[] = { "requests in flight", "requests per second" };
  c->refused_ms[k] = now_ms;
  return status_set (st, STATUS_LIMIT_EXCEEDED, "customer %s: %s are limited to %u at this entry",
                     c->name, names[k], allowed);
}

static int
check_limits (struct limit *l, struct customer *c, int64_t now_ms, struct status *st)
{
  if (c->plan.concurrency != LIMIT_NONE)
    {
      unsigned allowed = allowance (l, c, IN_FLIGHT, now_ms);
      if (c->in_flight >= allowed)
        return refuse (c, IN_FLIGHT, now_ms, st, allowed);
    }
  if (c->plan.rate != LIMIT_NONE)
    {
      refill (l, c, now_ms);
      if (c->tokens < 1.0)
        return refuse (c, RATE, now_ms, st, allowance (l, c, RATE, now_ms));
      c->tokens -= 1.0;
    }
  return 0;
}

/* A starting entry must not report a customer as unknown before it has loaded the plans.  */
static int
refuse_unknown (const struct limit *l, const char *customer, struct status *st)
{
  if (l->source.known && !l->source.known (l->source.arg))
    return status_set (st, STATUS_NO_QUORUM, "the lists are not known here yet");
  return status_set (st, STATUS_UNKNOWN_CUSTOMER, "customer %.64s is not in the list", customer);
}

int
limit_enter (struct limit *l, const char *customer, int64_t now_ms, struct status *st)
{
  struct limit_plan plan = { 0 };
  if (strlen (customer) >= NAME_BYTES || !l->source.lookup (l->source.arg, customer, &plan))
    return refuse_unknown (l, customer, st);
  if (plan.no_requests)
    return status_set (st, STATUS_LIMIT_EXCEEDED, "the plan of customer %.64s has no requests",
                       customer);
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
  double rate = allowance (l, c, RATE, now_ms);
  if (rate < 1.0)
    return LIMIT_LOAN_MS;
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

static double
used (const struct customer *c, enum kind k, int64_t now_ms)
{
  return k == RATE ? current_rate (c, now_ms) : c->in_flight;
}

static bool
needs_loan (const struct limit *l, const struct customer *c, enum kind k, int64_t now_ms)
{
  if (total_of (c, k) == LIMIT_NONE)
    return false;
  if (c->refused_ms[k] > 0 && now_ms - c->refused_ms[k] < LOAN_REQUEST_MS)
    return true;
  return used (c, k, now_ms) * 100.0 >= (double)equal_share (l, c, k) * LOAN_REQUEST_PERCENT;
}

static unsigned
count_borrowers (const struct customer *c, enum kind k, int64_t now_ms)
{
  const struct peer_loans *a;
  unsigned n = 0;
  SLIST_FOREACH (a, &c->peer_loans, link)
  if (a->wanted_ms[k] > 0 && now_ms - a->wanted_ms[k] < LIMIT_LOAN_MS)
    n++;
  return n;
}

/* What can be lent to TO.  The share less the larger of the reserve and the need, which is one more
   than HEADROOM_FACTOR times the current use, is divided among the entries that ask, as far as it
   is not lent to others.  */
static unsigned
lendable (const struct limit *l, const struct customer *c, const struct peer_loans *to, enum kind k,
          int64_t now_ms)
{
  unsigned share = equal_share (l, c, k);
  unsigned borrowers = count_borrowers (c, k, now_ms);
  double reserve = ceil (share * LIMIT_RESERVE_FRACTION);
  double need = ceil (used (c, k, now_ms) * HEADROOM_FACTOR) + 1.0;
  reserve = need > reserve ? need : reserve;
  if (total_of (c, k) == LIMIT_NONE || total_of (c, k) < l->entries || borrowers == 0
      || to->wanted_ms[k] == 0 || now_ms - to->wanted_ms[k] >= LIMIT_LOAN_MS || share <= reserve
      || needs_loan (l, c, k, now_ms))
    return 0;
  unsigned others = lent_to_all (c, k, now_ms) - lent_now (&to->lent[k], now_ms);
  unsigned free_share = share - (unsigned)reserve;
  unsigned each = free_share / borrowers;
  unsigned left = free_share > others ? free_share - others : 0;
  return each < left ? each : left;
}

static void
record_loan (struct loan *loan, unsigned amount, int64_t now_ms)
{
  if (amount >= lent_now (loan, now_ms))
    {
      loan->amount[0] = amount;
      loan->until_ms[0] = now_ms + LIMIT_LOAN_MS;
      loan->until_ms[1] = 0;
      return;
    }
  int older = loan->until_ms[0] <= loan->until_ms[1] ? 0 : 1;
  int larger = loan->amount[0] >= loan->amount[1] ? 0 : 1;
  int place = now_ms >= loan->until_ms[older] ? older : 1 - larger;
  unsigned replaced = now_ms < loan->until_ms[place] ? loan->amount[place] : 0;
  loan->amount[place] = amount > replaced ? amount : replaced;
  loan->until_ms[place] = now_ms + LIMIT_LOAN_MS;
}

static struct peer_loans *
find_peer_loans (struct customer *c, struct peer *peer)
{
  struct peer_loans *a;
  SLIST_FOREACH (a, &c->peer_loans, link)
  if (a->peer == peer)
    return a;
  a = xcalloc (1, sizeof *a);
  a->peer = peer;
  SLIST_INSERT_HEAD (&c->peer_loans, a, link);
  return a;
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

static bool
report_customer (struct limit *l, struct customer *c, struct peer *peer, int64_t now_ms,
                 customer_usage *out)
{
  struct peer_loans *a = find_peer_loans (c, peer);
  out->lent = lendable (l, c, a, IN_FLIGHT, now_ms);
  out->lent_rate = lendable (l, c, a, RATE, now_ms);
  out->wants = needs_loan (l, c, IN_FLIGHT, now_ms);
  out->wants_rate = needs_loan (l, c, RATE, now_ms);
  record_loan (&a->lent[IN_FLIGHT], out->lent, now_ms);
  record_loan (&a->lent[RATE], out->lent_rate, now_ms);
  return out->lent > 0 || out->lent_rate > 0 || out->wants || out->wants_rate;
}

void
limit_report (struct limit *l, const char *entry, int64_t now_ms, struct runner_digest *d)
{
  struct customer *c;
  struct peer *peer = find_peer (l, entry);
  unsigned n = 0;
  customer_usage *out = xcalloc (PEER_MAX_CUSTOMERS, sizeof *out);
  LIST_FOREACH (c, &l->customers, link)
  {
    if (c->plan.concurrency == LIMIT_NONE && c->plan.rate == LIMIT_NONE)
      continue;
    if (n < PEER_MAX_CUSTOMERS && report_customer (l, c, peer, now_ms, &out[n]))
      out[n++].customer = xstrdup (c->name);
  }
  d->usage.usage_val = out;
  d->usage.usage_len = n;
}

/* A digest replaces the peer's loans and loan requests; loans to the peer keep their expiry.  */
static void
clear_peer_report (struct limit *l, struct peer *peer)
{
  struct customer *c;
  struct peer_loans *a;
  LIST_FOREACH (c, &l->customers, link)
  SLIST_FOREACH (a, &c->peer_loans, link)
  if (a->peer == peer)
    {
      a->borrowed_until_ms = 0;
      a->wanted_ms[IN_FLIGHT] = 0;
      a->wanted_ms[RATE] = 0;
    }
}

static void
handle_usage (struct customer *c, struct peer *peer, const customer_usage *u, uint64_t echo,
              int64_t now_ms)
{
  struct peer_loans *a = find_peer_loans (c, peer);
  bool timely = echo > 0 && echo <= (uint64_t)now_ms;
  a->borrowed[IN_FLIGHT] = u->lent;
  a->borrowed[RATE] = u->lent_rate;
  a->borrowed_until_ms = timely ? (int64_t)echo + LIMIT_LOAN_MS : 0;
  a->wanted_ms[IN_FLIGHT] = u->wants ? now_ms : 0;
  a->wanted_ms[RATE] = u->wants_rate ? now_ms : 0;
}

void
limit_handle_report (struct limit *l, const char *entry, const struct runner_digest *d,
                     int64_t now_ms)
{
  struct peer *peer = find_peer (l, entry);
  clear_peer_report (l, peer);
  for (unsigned i = 0; i < d->usage.usage_len; i++)
    {
      const customer_usage *u = &d->usage.usage_val[i];
      struct limit_plan plan = { 0 };
      struct customer *c = find_customer (l, u->customer);
      if (!c
          && (strlen (u->customer) >= NAME_BYTES
              || !l->source.lookup (l->source.arg, u->customer, &plan)))
        continue;
      if (!c)
        {
          c = add_customer (l, u->customer, now_ms);
          c->plan = plan;
        }
      handle_usage (c, peer, u, d->echo, now_ms);
    }
}
