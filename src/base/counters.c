#include "counters.h"

#include <math.h>

#define FIRST_BOUND_MS 0.25

static STAILQ_HEAD (counter_list, counter) all_counters = STAILQ_HEAD_INITIALIZER (all_counters);
static STAILQ_HEAD (histogram_list,
                    histogram) all_histograms = STAILQ_HEAD_INITIALIZER (all_histograms);

static void
register_counter (struct counter *c)
{
  if (c->registered)
    return;
  c->registered = true;
  STAILQ_INSERT_TAIL (&all_counters, c, link);
}

void
counter_add (struct counter *c, int64_t n)
{
  register_counter (c);
  c->value += n;
}

void
counter_set (struct counter *c, int64_t value)
{
  register_counter (c);
  c->is_gauge = true;
  c->value = value;
}

double
histogram_bound_ms (int bucket)
{
  return bucket >= HISTOGRAM_BUCKETS - 1 ? INFINITY : ldexp (FIRST_BOUND_MS, bucket);
}

void
histogram_add (struct histogram *h, double ms)
{
  if (!h->registered)
    {
      h->registered = true;
      STAILQ_INSERT_TAIL (&all_histograms, h, link);
    }
  int i = 0;
  while (ms > histogram_bound_ms (i))
    i++;
  h->buckets[i]++;
  h->count++;
  h->sum_ms += ms;
}

double
histogram_quantile (const struct histogram *h, double q)
{
  uint64_t want = (uint64_t)ceil (q * (double)h->count);
  uint64_t seen = 0;
  for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      seen += h->buckets[i];
      if (seen >= want && seen > 0)
        return histogram_bound_ms (i);
    }
  return 0;
}

static void
write_histogram (struct buffer *out, const struct histogram *h)
{
  uint64_t total = 0;
  buffer_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", h->name, h->help, h->name);
  for (int i = 0; i < HISTOGRAM_BUCKETS - 1; i++)
    {
      total += h->buckets[i];
      buffer_printf (out, "%s_bucket{le=\"%g\"} %llu\n", h->name, histogram_bound_ms (i),
                     (unsigned long long)total);
    }
  buffer_printf (out, "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %g\n%s_count %llu\n", h->name,
                 (unsigned long long)h->count, h->name, h->sum_ms, h->name,
                 (unsigned long long)h->count);
}

void
counters_write (struct buffer *out)
{
  const struct counter *c;
  const struct histogram *h;
  STAILQ_FOREACH (c, &all_counters, link)
  buffer_printf (out, "# HELP %s %s\n# TYPE %s %s\n%s %lld\n", c->name, c->help, c->name,
                 c->is_gauge ? "gauge" : "counter", c->name, (long long)c->value);
  STAILQ_FOREACH (h, &all_histograms, link)
  write_histogram (out, h);
}
