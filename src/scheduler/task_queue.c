#include "task_queue.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

/* Weight of a new sample: 1 / samples, but at least this.  */
#define MIN_LEARNING_RATE 0.1
#define MIN_RUN_TIME_SAMPLES 3 /* with fewer, the estimate is the declared time or its half */
/* Mean absolute deviations above the mean: about the 79th percentile of a normal distribution.  */
#define CAUTIOUS_DEVIATIONS 1.0
#define OPTIMISTIC_DEVIATIONS 2.0
#define MIN_OPTIMISTIC_SHARE 0.2

void
task_queue_init (struct task_queue *h)
{
  memset (h, 0, sizeof *h);
}

void
task_queue_close (struct task_queue *h)
{
  free (h->items);
  task_queue_init (h);
}

static bool
item_before (const struct task_queue_item *a, const struct task_queue_item *b)
{
  return a->key != b->key ? a->key < b->key : a->tie_breaker < b->tie_breaker;
}

static void
set_item (struct task_queue *h, size_t at, struct task_queue_item *i)
{
  h->items[at] = i;
  i->heap_position = at + 1;
}

static void
sift_up (struct task_queue *h, size_t at, struct task_queue_item *i)
{
  while (at > 0 && item_before (i, h->items[(at - 1) / 2]))
    {
      set_item (h, at, h->items[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  set_item (h, at, i);
}

static void
sift_down (struct task_queue *h, size_t at, struct task_queue_item *i)
{
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= h->count)
        break;
      if (child + 1 < h->count && item_before (h->items[child + 1], h->items[child]))
        child++;
      if (!item_before (h->items[child], i))
        break;
      set_item (h, at, h->items[child]);
      at = child;
    }
  set_item (h, at, i);
}

void
task_queue_push (struct task_queue *h, struct task_queue_item *i)
{
  if (h->count == h->capacity)
    {
      h->capacity = h->capacity ? 2 * h->capacity : 64;
      h->items = xrealloc (h->items, h->capacity * sizeof (void *));
    }
  sift_up (h, h->count++, i);
}

struct task_queue_item *
task_queue_first (const struct task_queue *h)
{
  return h->count ? h->items[0] : NULL;
}

void
task_queue_remove (struct task_queue *h, struct task_queue_item *i)
{
  if (i->heap_position == 0)
    return;
  size_t at = i->heap_position - 1;
  i->heap_position = 0;
  struct task_queue_item *last = h->items[--h->count];
  if (last == i)
    return;
  if (at > 0 && item_before (last, h->items[(at - 1) / 2]))
    sift_up (h, at, last);
  else
    sift_down (h, at, last);
}

struct task_queue_item *
task_queue_pop (struct task_queue *h)
{
  struct task_queue_item *i = task_queue_first (h);
  if (i)
    task_queue_remove (h, i);
  return i;
}

static double
fraction (uint64_t used, uint64_t total)
{
  return total ? (double)used / (double)total : 0;
}

double
dominant_share (const struct resource_amount *used, const struct resource_amount *total,
                double weight)
{
  double share = fraction (used->millicores, total->millicores);
  share = fmax (share, fraction (used->memory_mb, total->memory_mb));
  share = fmax (share, fraction (used->accelerators, total->accelerators));
  return share / (weight > 0 ? weight : 1e-9);
}

void
run_time_record (struct run_time_estimate *r, uint64_t declared_ms, uint64_t actual_ms)
{
  struct moving_estimate *e = declared_ms ? &r->factor : &r->ms;
  double x = declared_ms ? (double)actual_ms / (double)declared_ms : (double)actual_ms;
  e->samples++;
  double rate = fmax (MIN_LEARNING_RATE, 1.0 / e->samples);
  double error = x - e->mean;
  e->mean += rate * error;
  if (e->samples > 1)
    e->mean_deviation += rate * (fabs (error) - e->mean_deviation);
}

uint64_t
run_time_cautious (const struct run_time_estimate *r, uint64_t declared_ms)
{
  const struct moving_estimate *e = declared_ms ? &r->factor : &r->ms;
  if (e->samples < MIN_RUN_TIME_SAMPLES)
    return declared_ms;
  double x = e->mean + CAUTIOUS_DEVIATIONS * e->mean_deviation;
  return (uint64_t)(declared_ms ? x * (double)declared_ms : x);
}

uint64_t
run_time_optimistic (const struct run_time_estimate *r, uint64_t declared_ms)
{
  const struct moving_estimate *e = declared_ms ? &r->factor : &r->ms;
  if (e->samples < MIN_RUN_TIME_SAMPLES)
    return declared_ms / 2;
  double x
      = fmax (e->mean - OPTIMISTIC_DEVIATIONS * e->mean_deviation, MIN_OPTIMISTIC_SHARE * e->mean);
  return (uint64_t)(declared_ms ? x * (double)declared_ms : x);
}

int64_t
task_queue_key (int64_t now_ms, int64_t submitted_ms, int64_t deadline_ms, uint64_t remaining_ms,
                uint64_t least_ms)
{
  int64_t aged = submitted_ms + TASK_QUEUE_AGE_BOUND_MS;
  if (deadline_ms == 0)
    return aged;
  /* A deadline that is already lost must not delay one that can still be met.  */
  if (now_ms > deadline_ms - (int64_t)least_ms)
    return aged;
  int64_t latest = deadline_ms - (int64_t)remaining_ms;
  return latest < aged ? latest : aged;
}
