#include "order.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

/* Weight of a new sample once enough are known.  */
#define LEARN_RATE 0.1
#define MIN_SAMPLES 3
/* Share of the deviation that is added to the mean: about the 84th percentile.  */
#define CAUTION 1.0
#define HOPE 2.0
#define LEAST_PART 0.2

void
order_heap_init (struct order_heap *h)
{
  memset (h, 0, sizeof *h);
}

void
order_heap_close (struct order_heap *h)
{
  free (h->items);
  order_heap_init (h);
}

static bool
before (const struct order_item *a, const struct order_item *b)
{
  return a->key != b->key ? a->key < b->key : a->tie < b->tie;
}

static void
put (struct order_heap *h, size_t at, struct order_item *i)
{
  h->items[at] = i;
  i->place = at + 1;
}

static void
sift_up (struct order_heap *h, size_t at, struct order_item *i)
{
  while (at > 0 && before (i, h->items[(at - 1) / 2]))
    {
      put (h, at, h->items[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  put (h, at, i);
}

static void
sift_down (struct order_heap *h, size_t at, struct order_item *i)
{
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= h->count)
        break;
      if (child + 1 < h->count && before (h->items[child + 1], h->items[child]))
        child++;
      if (!before (h->items[child], i))
        break;
      put (h, at, h->items[child]);
      at = child;
    }
  put (h, at, i);
}

void
order_push (struct order_heap *h, struct order_item *i)
{
  if (h->count == h->capacity)
    {
      h->capacity = h->capacity ? 2 * h->capacity : 64;
      h->items = xrealloc (h->items, h->capacity * sizeof (void *));
    }
  sift_up (h, h->count++, i);
}

struct order_item *
order_first (const struct order_heap *h)
{
  return h->count ? h->items[0] : NULL;
}

void
order_remove (struct order_heap *h, struct order_item *i)
{
  if (i->place == 0)
    return;
  size_t at = i->place - 1;
  i->place = 0;
  struct order_item *last = h->items[--h->count];
  if (last == i)
    return;
  if (at > 0 && before (last, h->items[(at - 1) / 2]))
    sift_up (h, at, last);
  else
    sift_down (h, at, last);
}

struct order_item *
order_pop (struct order_heap *h)
{
  struct order_item *i = order_first (h);
  if (i)
    order_remove (h, i);
  return i;
}

static double
fraction (uint64_t used, uint64_t total)
{
  return total ? (double)used / (double)total : 0;
}

double
order_share (const struct order_amount *used, const struct order_amount *total, double weight)
{
  double share = fraction (used->millicores, total->millicores);
  share = fmax (share, fraction (used->memory_mb, total->memory_mb));
  share = fmax (share, fraction (used->accelerators, total->accelerators));
  return share / (weight > 0 ? weight : 1e-9);
}

void
order_learn (struct order_run_time *r, uint64_t declared_ms, uint64_t actual_ms)
{
  struct order_estimate *e = declared_ms ? &r->factor : &r->ms;
  double x = declared_ms ? (double)actual_ms / (double)declared_ms : (double)actual_ms;
  e->samples++;
  double rate = fmax (LEARN_RATE, 1.0 / e->samples);
  double error = x - e->mean;
  e->mean += rate * error;
  if (e->samples > 1)
    e->deviation += rate * (fabs (error) - e->deviation);
}

uint64_t
order_expect (const struct order_run_time *r, uint64_t declared_ms)
{
  const struct order_estimate *e = declared_ms ? &r->factor : &r->ms;
  if (e->samples < MIN_SAMPLES)
    return declared_ms;
  double x = e->mean + CAUTION * e->deviation;
  return (uint64_t)(declared_ms ? x * (double)declared_ms : x);
}

uint64_t
order_expect_least (const struct order_run_time *r, uint64_t declared_ms)
{
  const struct order_estimate *e = declared_ms ? &r->factor : &r->ms;
  if (e->samples < MIN_SAMPLES)
    return declared_ms / 2;
  double x = fmax (e->mean - HOPE * e->deviation, LEAST_PART * e->mean);
  return (uint64_t)(declared_ms ? x * (double)declared_ms : x);
}

int64_t
order_key (int64_t now_ms, int64_t submitted_ms, int64_t deadline_ms, uint64_t remaining_ms,
           uint64_t least_ms)
{
  int64_t aged = submitted_ms + ORDER_AGE_BOUND_MS;
  if (deadline_ms == 0)
    return aged;
  /* A deadline that is lost already must not delay one that can still be met.  */
  if (now_ms > deadline_ms - (int64_t)least_ms)
    return aged;
  int64_t latest = deadline_ms - (int64_t)remaining_ms;
  return latest < aged ? latest : aged;
}
