/* counters: counters, gauges and fixed-bucket latency histograms of the process.

   A counter is a static struct next to the code that counts, registered on first use and served in
   the Prometheus text format.  The process has one thread, so values are plain integers.  */

#ifndef SASSAFRAS_COUNTERS_H
#define SASSAFRAS_COUNTERS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "buffer.h"

#define HISTOGRAM_BUCKETS 24 /* upper bounds 0.25 ms * 2^i; the last bucket is unbounded */

struct counter
{
  const char *name; /* Prometheus name, for example "sassafras_requests_total" */
  const char *help; /* HELP text, one line */
  bool is_gauge;    /* may decrease */
  int64_t value;
  bool registered;
  STAILQ_ENTRY (counter) link;
};

struct histogram
{
  const char *name;
  const char *help;
  uint64_t buckets[HISTOGRAM_BUCKETS];
  uint64_t count;
  double sum_ms;
  bool registered;
  STAILQ_ENTRY (histogram) link;
};

void counter_add (struct counter *c, int64_t n);     /* Adds N and registers C on first use. */
void counter_set (struct counter *c, int64_t value); /* Sets a gauge. */
void histogram_add (struct histogram *h, double ms); /* Records one duration. */
double histogram_quantile (const struct histogram *h,
                           double q);     /* Upper bound of the bucket that holds quantile Q. */
double histogram_bound_ms (int bucket);   /* Upper bound of a bucket in ms. */
void counters_write (struct buffer *out); /* In the Prometheus text format. */

#endif
