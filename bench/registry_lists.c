/* Cost and memory of a list change, and time to load a snapshot, at three sizes.
   Usage: bench_registry_lists   Prints one line per size: customers, bytes of both lists, time to
   check an edit, time to apply it (including the check that this VM can use the lists), time of a
   command without lists, time to save and to load a snapshot with 4,096 answers, size of the
   snapshot, heap use of one version of the lists and of the registry, time of a customer lookup. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "registry.h"
#include "rng.h"

#define ROUNDS 200
#define LOOKUPS 1000000
#define CUSTOMERS_PER_PLAN 4
#define NS_PER_S 1000000000.0
#define US_PER_S 1000000.0

static double
now_s (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / NS_PER_S;
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks;
}

static void
write_lists (size_t customers, struct buffer *plans, struct buffer *list)
{
  size_t count = (customers + CUSTOMERS_PER_PLAN - 1) / CUSTOMERS_PER_PLAN;
  buffer_printf (plans, "{ \"plans\": [\n");
  for (size_t i = 0; i < count; i++)
    buffer_printf (plans,
                   "%s  { \"id\": \"plan-%zu\", \"weight\": 100, \"urgent_concurrency\": 64,\n"
                   "    \"requests_per_s\": 500, \"batch_millicores\": 64000,\n"
                   "    \"memory_mb\": 256000, \"accelerators\": 0,\n"
                   "    \"evictions_per_hour\": 20 }",
                   i ? ",\n" : "", i);
  buffer_printf (plans, "\n] }\n");
  buffer_printf (list, "{ \"customers\": [\n");
  for (size_t i = 0; i < customers; i++)
    buffer_printf (list, "%s  { \"id\": \"customer-%zu\", \"plan\": \"plan-%zu\" }", i ? ",\n" : "",
                   i, i % count);
  buffer_printf (list, "\n] }\n");
}

static void
apply (struct registry *r, registry_command *command, uint64_t index)
{
  struct buffer encoded = { 0 };
  struct buffer result = { 0 };
  struct machine *m = registry_machine (r);
  registry_encode (command, &encoded, NULL);
  m->ops->apply (m, index, encoded.data, encoded.len, &result);
  buffer_close (&encoded);
  buffer_close (&result);
}

/* Applies ROUNDS list changes; returns seconds per change.  */
static double
change_lists (struct registry *r, const struct buffer *plans, const struct buffer *list,
              uint64_t *index)
{
  double start = now_s ();
  for (uint64_t i = 0; i < ROUNDS; i++)
    {
      char id[32];
      registry_command c = { .request_id = id, .body.kind = REGISTRY_SET_LISTS };
      snprintf (id, sizeof id, "edit-%" PRIu64, i);
      c.body.registry_body_u.lists.expected = i;
      c.body.registry_body_u.lists.plans = plans->data;
      c.body.registry_body_u.lists.customers = list->data;
      apply (r, &c, ++*index);
    }
  return (now_s () - start) / ROUNDS;
}

/* Fills the table of stored answers; returns seconds per command.  */
static double
fill_answers (struct registry *r, uint64_t *index)
{
  double start = now_s ();
  for (int i = 0; i < REGISTRY_MAX_ANSWERS; i++)
    {
      char id[48];
      registry_command c = { .request_id = id, .body.kind = REGISTRY_MEMBER_REMOVE };
      snprintf (id, sizeof id, "request-%024d", i);
      c.body.registry_body_u.remove = "nobody";
      apply (r, &c, ++*index);
    }
  return (now_s () - start) / REGISTRY_MAX_ANSWERS;
}

static double
measure_check (const struct buffer *plans, const struct buffer *list, size_t *heap)
{
  struct json_source a = { "plans", plans->data, plans->len };
  struct json_source b = { "customers", list->data, list->len };
  struct json_faults faults = { 0 };
  size_t before = heap_bytes ();
  struct plans *p = plans_parse (&a, &b, &faults);
  *heap = heap_bytes () - before;
  plans_unref (p);
  double start = now_s ();
  for (int i = 0; i < ROUNDS; i++)
    plans_unref (plans_parse (&a, &b, &faults));
  return (now_s () - start) / ROUNDS;
}

static double
measure_lookup (const struct plans *p, size_t customers)
{
  struct rng rng;
  uint64_t found = 0;
  rng_init (&rng, 1);
  double start = now_s ();
  for (int i = 0; i < LOOKUPS; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "customer-%" PRIu64, rng_below (&rng, customers));
      found += plans_for_customer (p, id) ? 1 : 0;
    }
  return found == LOOKUPS ? (now_s () - start) / LOOKUPS : -1;
}

static void
measure (size_t customers)
{
  struct buffer plans = { 0 };
  struct buffer list = { 0 };
  struct buffer snapshot = { 0 };
  struct status st;
  uint64_t index = 0;
  size_t version_heap;
  write_lists (customers, &plans, &list);
  size_t before = heap_bytes ();
  struct registry *r = registry_new ();
  struct machine *m = registry_machine (r);
  double check_s = measure_check (&plans, &list, &version_heap);
  double apply_s = change_lists (r, &plans, &list, &index);
  double command_s = fill_answers (r, &index);
  size_t total_heap = heap_bytes () - before;
  double start = now_s ();
  m->ops->save (m, &snapshot);
  double save_s = now_s () - start;
  struct registry *fresh = registry_new ();
  start = now_s ();
  int loaded = registry_machine (fresh)->ops->load (registry_machine (fresh), snapshot.data,
                                                    snapshot.len, &st);
  double load_s = now_s () - start;
  printf ("%9zu %9zu %9.0f %9.0f %9.1f %9.0f %9.0f %9zu %9zu %9zu %9.0f%s\n", customers,
          plans.len + list.len, check_s * US_PER_S, apply_s * US_PER_S, command_s * US_PER_S,
          save_s * US_PER_S, load_s * US_PER_S, snapshot.len, version_heap, total_heap,
          measure_lookup (registry_plans (fresh), customers) * NS_PER_S,
          loaded < 0 ? " LOAD FAILED" : "");
  registry_free (r);
  registry_free (fresh);
  buffer_close (&plans);
  buffer_close (&list);
  buffer_close (&snapshot);
}

int
main (void)
{
  static const size_t sizes[] = { 10, 110, 1000 };
  printf ("%9s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n", "customers", "bytes", "check_us",
          "apply_us", "other_us", "save_us", "load_us", "snap_B", "plans_B", "all_B", "lookup_ns");
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    measure (sizes[i]);
  return 0;
}
