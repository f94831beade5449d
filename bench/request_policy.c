/* Compares the policies of the request path with simple baselines on the same arrivals and
   service times.

   Usage: bench_request_policy [SEED]

   An event-driven simulation: 8 entries, each with the production runner table, router, retry
   rules, limits and admission queue, in front of 50 simulated runners with 8 slots.  A runner
   serves first come, first served; the network takes 1 ms each way.  Work of an abandoned try is
   still done.  Service times are exponential with a mean of 40 ms and the same for a request under
   every policy.  The ideal is one queue in front of all slots.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "buffer.h"
#include "limit.h"
#include "retry.h"
#include "rng.h"
#include "router.h"
#include "runner_table.h"

#define ENTRIES 8
#define RUNNERS 50
#define SLOTS 8
#define MEAN_MS 40.0
#define NETWORK_MS 1.0
#define TICK_MS 100.0
#define CAPACITY_PER_MS (RUNNERS * SLOTS / MEAN_MS)
#define WARM_UP_MS 3000.0
#define START_MS 1000000.0
#define DEADLINE_MS 1000.0
#define MAX_PENDING_TRIES 2
#define BATCH_MEAN_MS 1000.0
#define BATCH_DEADLINE_MS 20000.0

enum policy
{
  FULL,
  FULL_NO_HEDGE,
  ROUND_ROBIN,
  RANDOM,
  NO_LIMIT,
  NAIVE_RETRY,
  POLICIES
};

static const char *const policy_names[POLICIES]
    = { "full", "no hedging", "round robin", "random", "no limits", "naive retry" };

enum fault
{
  NO_FAULT,
  ONE_SLOW,    /* after a third of the run, runner 0 is 10 times slower */
  ONE_FAILING, /* after a third of the run, runner 0 answers 500 within 1 ms */
  TENTH_LOST,  /* after a third of the run, every tenth runner refuses connections */
  ALL_FAILING,
  FAULTS
};

struct scenario
{
  const char *name;
  double load_from; /* share of the capacity at the start */
  double load_to;   /* share of the capacity at the end */
  double length_ms;
  enum fault fault;
  double batch_load; /* batch load of one large customer, as a share of the capacity */
  double step_ms;    /* ms from the start to a step to load_to; 0: linear ramp */
};

enum event_kind
{
  ARRIVAL,
  AT_RUNNER,
  SERVED,
  ANSWERED,
  RETRY,
  CHECK,
  TICK
};

struct call;

struct attempt
{
  struct call *call;
  struct runner *runner; /* in the runner table of the entry */
  int runner_index;      /* index in sim.runners */
  double started;
  bool abandoned;
  bool failed;
  bool refused_connection;
  unsigned load; /* reported with the answer */
  struct attempt *next;
};

struct call
{
  struct admission_item item; /* first member */
  int entry;
  double arrived;
  double service_ms;
  double deadline;
  bool urgent;
  bool serving;
  bool ended;
  bool hedged;
  unsigned tries;
  unsigned references; /* one per event and attempt, and one until the call ends */
  struct runner *last;
  struct attempt *pending[MAX_PENDING_TRIES];
};

struct event
{
  double at;
  uint64_t sequence;
  enum event_kind kind;
  void *object;
};

struct fake_runner
{
  unsigned in_service;
  unsigned waiting;
  struct attempt *head;
  struct attempt **tail;
  double slowdown;
  bool failing;
  bool lost;
};

struct entry
{
  struct runner_table *table;
  struct router router;
  struct admission *admission;
  struct limit *limit;
  struct retry_budget budget;
  struct retry_latency latency[2]; /* of batch and of urgent requests */
  struct rng rng;
};

struct result
{
  double *latencies; /* of urgent requests answered before their deadline */
  size_t count;
  size_t requests; /* urgent requests after the warm-up */
  size_t refused;
  uint64_t all_requests;
  uint64_t tries;
  size_t batch_answered;
  double measured_ms;
};

struct sim
{
  enum policy policy;
  struct scenario scenario;
  struct rng arrivals;
  struct entry entries[ENTRIES];
  struct fake_runner runners[RUNNERS];
  struct event *heap;
  size_t heap_len;
  size_t heap_capacity;
  uint64_t sequence;
  double now;
  double end;
  struct result result;
};

/* ---- events ---- */

static bool
earlier (const struct event *a, const struct event *b)
{
  return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

static void
schedule (struct sim *s, double at, enum event_kind kind, void *object)
{
  if (s->heap_len == s->heap_capacity)
    {
      s->heap_capacity = s->heap_capacity ? 2 * s->heap_capacity : 1024;
      s->heap = xrealloc (s->heap, s->heap_capacity * sizeof *s->heap);
    }
  struct event e = { at, s->sequence++, kind, object };
  size_t i = s->heap_len++;
  while (i > 0 && earlier (&e, &s->heap[(i - 1) / 2]))
    {
      s->heap[i] = s->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  s->heap[i] = e;
}

static struct event
next_event (struct sim *s)
{
  struct event top = s->heap[0];
  struct event last = s->heap[--s->heap_len];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= s->heap_len)
        break;
      if (child + 1 < s->heap_len && earlier (&s->heap[child + 1], &s->heap[child]))
        child++;
      if (!earlier (&s->heap[child], &last))
        break;
      s->heap[i] = s->heap[child];
      i = child;
    }
  s->heap[i] = last;
  return top;
}

static int64_t
now_ms (const struct sim *s)
{
  return (int64_t)s->now;
}

/* ---- runners ---- */

static void
begin_service (struct sim *s, struct attempt *a)
{
  struct fake_runner *r = &s->runners[a->runner_index];
  r->in_service++;
  a->failed = r->failing;
  schedule (s, s->now + (r->failing ? 0.5 : a->call->service_ms * r->slowdown), SERVED, a);
}

static void
at_runner (struct sim *s, struct attempt *a)
{
  struct fake_runner *r = &s->runners[a->runner_index];
  if (r->lost)
    {
      a->refused_connection = true;
      schedule (s, s->now + NETWORK_MS, ANSWERED, a);
      return;
    }
  if (r->in_service < SLOTS)
    {
      begin_service (s, a);
      return;
    }
  r->waiting++;
  a->next = NULL;
  *r->tail = a;
  r->tail = &a->next;
}

static void
served (struct sim *s, struct attempt *a)
{
  struct fake_runner *r = &s->runners[a->runner_index];
  a->failed |= r->lost;
  a->load = r->in_service + r->waiting;
  r->in_service--;
  schedule (s, s->now + NETWORK_MS, ANSWERED, a);
  if (r->waiting == 0)
    return;
  struct attempt *next = r->head;
  r->head = next->next;
  if (!r->head)
    r->tail = &r->head;
  r->waiting--;
  begin_service (s, next);
}

/* ---- calls ---- */

static bool
uses_queue (const struct sim *s)
{
  return s->policy == FULL || s->policy == FULL_NO_HEDGE || s->policy == NAIVE_RETRY;
}

static void
call_unref (struct call *c)
{
  if (--c->references == 0)
    free (c);
}

static bool
is_measured (const struct sim *s, const struct call *c)
{
  return c->arrived >= START_MS + WARM_UP_MS && c->arrived < s->end;
}

static void dispatch_queued (struct sim *s, struct entry *e);

static void
end_call (struct sim *s, struct call *c, bool answered)
{
  struct entry *e = &s->entries[c->entry];
  if (c->ended)
    return;
  c->ended = true;
  if (c->serving)
    admission_served (e->admission, &c->item, answered, s->now - c->arrived, now_ms (s));
  limit_leave (e->limit, c->urgent ? "many" : "huge");
  for (int i = 0; i < MAX_PENDING_TRIES; i++)
    if (c->pending[i])
      {
        c->pending[i]->abandoned = true;
        router_finish (&e->router, c->pending[i]->runner, c->pending[i]->runner->info.incarnation,
                       ROUTER_ABANDONED, s->now - c->pending[i]->started, 0, now_ms (s));
        c->pending[i] = NULL;
      }
  if (answered && is_measured (s, c))
    {
      if (c->urgent)
        s->result.latencies[s->result.count++] = s->now - c->arrived;
      else
        s->result.batch_answered++;
    }
  call_unref (c);
}

static void
refuse (struct sim *s, struct call *c)
{
  if (is_measured (s, c) && c->urgent)
    s->result.refused++;
  end_call (s, c, false);
}

static void
start_attempt (struct sim *s, struct call *c, struct runner *runner)
{
  struct attempt *a = xcalloc (1, sizeof *a);
  struct entry *e = &s->entries[c->entry];
  a->call = c;
  a->runner = runner;
  a->runner_index = (int)strtol (runner->info.id + 1, NULL, 10);
  a->started = s->now;
  c->references++;
  c->tries++;
  s->result.tries++;
  router_start (&e->router, runner, 0, now_ms (s));
  c->pending[c->pending[0] ? 1 : 0] = a;
  schedule (s, s->now + NETWORK_MS, AT_RUNNER, a);
}

static void
schedule_check (struct sim *s, struct call *c, double at)
{
  c->references++;
  schedule (s, at, CHECK, c);
}

static struct retry_request
retry_request_of (const struct call *c)
{
  struct retry_request q = {
    .idempotent = true, .replayable = true, .tries = c->tries, .deadline_ms = (int64_t)c->deadline
  };
  return q;
}

static void
start_call (struct sim *s, struct call *c, struct runner *runner)
{
  struct entry *e = &s->entries[c->entry];
  c->serving = true;
  retry_budget_request (&e->budget);
  start_attempt (s, c, runner);
  int64_t delay = retry_hedge_delay_ms (&e->latency[c->urgent]);
  if (s->policy == FULL && c->urgent && delay > 0)
    schedule_check (s, c, s->now + (double)delay);
  schedule_check (s, c, s->now + (double)retry_try_timeout_ms (&e->latency[c->urgent]));
}

static void
dispatch_queued (struct sim *s, struct entry *e)
{
  struct admission_item *item;
  while ((item = admission_pop_expired (e->admission, now_ms (s))))
    refuse (s, (struct call *)item);
  while (admission_queued (e->admission) > 0)
    {
      struct runner *runner = router_pick (&e->router, "pricing", NULL, now_ms (s));
      if (!runner || !(item = admission_pop (e->admission, now_ms (s))))
        return;
      start_call (s, (struct call *)item, runner);
    }
}

static void
hedge (struct sim *s, struct call *c)
{
  struct entry *e = &s->entries[c->entry];
  c->hedged = true;
  struct runner *r = router_pick (&e->router, "pricing", c->pending[0]->runner, now_ms (s));
  if (r && r != c->pending[0]->runner && retry_budget_take (&e->budget))
    start_attempt (s, c, r);
}

static void
retry (struct sim *s, struct call *c)
{
  struct entry *e = &s->entries[c->entry];
  if (c->ended)
    return;
  struct runner *r = router_pick (&e->router, "pricing", c->last, now_ms (s));
  if (r)
    {
      start_attempt (s, c, r);
      return;
    }
  c->references++;
  schedule (s, s->now + 10.0, RETRY, c);
}

static void
after_failure (struct sim *s, struct call *c, enum retry_cause cause)
{
  struct entry *e = &s->entries[c->entry];
  struct retry_request q = retry_request_of (c);
  if (c->ended || c->pending[0])
    return;
  if (!retry_allowed (&q, cause, now_ms (s)) || !retry_budget_take (&e->budget))
    {
      end_call (s, c, false);
      dispatch_queued (s, e);
      return;
    }
  double wait = cause == RETRY_NOT_SENT && c->tries == 1
                    ? 0.0
                    : (double)retry_backoff_ms (&e->rng, c->tries);
  c->references++;
  schedule (s, s->now + (s->policy == NAIVE_RETRY ? 0.0 : wait), RETRY, c);
}

/* Handles the deadline, or the hedge or timeout of the only pending try.  */
static void
check (struct sim *s, struct call *c)
{
  struct entry *e = &s->entries[c->entry];
  if (c->ended)
    return;
  if (s->now >= c->deadline)
    {
      admission_remove (e->admission, &c->item);
      end_call (s, c, false);
      dispatch_queued (s, e);
      return;
    }
  struct attempt *a = c->pending[0];
  struct retry_request q = retry_request_of (c);
  if (!a || c->pending[1])
    return;
  if (s->policy == FULL && !c->hedged && retry_hedge_allowed (&q, c->urgent))
    {
      hedge (s, c);
      return;
    }
  if (s->now - a->started < (double)retry_try_timeout_ms (&e->latency[c->urgent])
      || !retry_allowed (&q, RETRY_FAILED, now_ms (s)) || !retry_budget_take (&e->budget))
    return;
  retry_latency_add_timeout (&e->latency[c->urgent], now_ms (s) - (int64_t)a->started, now_ms (s));
  a->abandoned = true;
  router_finish (&e->router, a->runner, a->runner->info.incarnation, ROUTER_TIMED_OUT, 0.0, 0,
                 now_ms (s));
  c->pending[0] = NULL;
  retry (s, c);
}

static void
answered (struct sim *s, struct attempt *a)
{
  struct call *c = a->call;
  struct entry *e = &s->entries[c->entry];
  double latency = s->now - a->started;
  if (!a->abandoned)
    {
      if (c->pending[0] == a)
        {
          c->pending[0] = c->pending[1];
          c->pending[1] = NULL;
        }
      else
        c->pending[1] = NULL;
      enum router_outcome o = a->refused_connection ? ROUTER_UNREACHABLE
                              : a->failed           ? ROUTER_FAILED
                                                    : ROUTER_OK;
      if (!a->refused_connection)
        runner_table_report (a->runner, a->load, now_ms (s));
      c->last = a->runner;
      router_finish (&e->router, a->runner, a->runner->info.incarnation, o, latency, 0, now_ms (s));
      if (o == ROUTER_OK)
        {
          retry_latency_add (&e->latency[c->urgent], latency, now_ms (s));
          end_call (s, c, true);
          dispatch_queued (s, e);
        }
      else
        after_failure (s, c, a->refused_connection ? RETRY_NOT_SENT : RETRY_FAILED);
    }
  free (a);
  call_unref (c);
}

static void
admit (struct sim *s, struct call *c)
{
  struct entry *e = &s->entries[c->entry];
  struct admission_item *evicted = NULL;
  const char *customer = c->urgent ? "many" : "huge";
  c->references++; /* released by end_call */
  if (limit_enter (e->limit, customer, now_ms (s), NULL) < 0
      || admission_push (e->admission, &c->item, customer, c->urgent, (int64_t)c->deadline,
                         now_ms (s), &evicted, NULL)
             < 0)
    {
      refuse (s, c);
      return;
    }
  if (evicted)
    refuse (s, (struct call *)evicted);
  schedule_check (s, c, c->deadline);
  dispatch_queued (s, e);
}

/* ---- arrivals ---- */

static double
load_at (const struct sim *s, double at)
{
  const struct scenario *c = &s->scenario;
  double elapsed_fraction = (at - START_MS) / c->length_ms;
  if (c->step_ms > 0.0)
    return at - START_MS < c->step_ms ? c->load_from : c->load_to;
  return c->load_from + (c->load_to - c->load_from) * elapsed_fraction;
}

static struct call *
new_call (struct sim *s, bool urgent)
{
  struct call *c = xcalloc (1, sizeof *c);
  c->arrived = s->now;
  c->urgent = urgent;
  c->entry = (int)rng_below (&s->arrivals, ENTRIES);
  c->service_ms = rng_exponential (&s->arrivals, urgent ? MEAN_MS : BATCH_MEAN_MS);
  c->deadline = s->now + (urgent ? DEADLINE_MS : BATCH_DEADLINE_MS);
  return c;
}

static void
arrive (struct sim *s)
{
  double urgent_rate = load_at (s, s->now) * CAPACITY_PER_MS;
  double batch_rate = s->scenario.batch_load * RUNNERS * SLOTS / BATCH_MEAN_MS;
  if (s->now >= s->end)
    return;
  bool urgent = rng_unit (&s->arrivals) * (urgent_rate + batch_rate) < urgent_rate;
  struct call *c = new_call (s, urgent);
  s->result.all_requests++;
  if (is_measured (s, c) && urgent)
    s->result.requests++;
  double gap = rng_exponential (&s->arrivals, 1.0 / (urgent_rate + batch_rate));
  schedule (s, s->now + gap, ARRIVAL, NULL);
  admit (s, c);
}

/* ---- ticks: announcements, digests, faults ---- */

static void
announce_all (struct sim *s)
{
  for (int i = 0; i < RUNNERS; i++)
    {
      const struct fake_runner *r = &s->runners[i];
      bool limited = s->policy != ROUND_ROBIN && s->policy != RANDOM && s->policy != NO_LIMIT;
      struct runner_info info = { .service = "pricing",
                                  .data_centre = "dc1",
                                  .address = "127.0.0.1:1",
                                  .incarnation = 1,
                                  .slots = SLOTS,
                                  .connections = limited ? 64 : RUNNER_MAX_SLOTS,
                                  .in_flight = r->in_service + r->waiting };
      snprintf (info.id, sizeof info.id, "r%d", i);
      if (!r->lost)
        runner_table_announce (s->entries[i % ENTRIES].table, &info, now_ms (s), NULL);
    }
}

static void
exchange_digests (struct sim *s)
{
  for (int from = 0; from < ENTRIES; from++)
    for (int to = 0; to < ENTRIES; to++)
      {
        struct runner_digest d;
        struct runner_digest_reply reply;
        char name[8];
        if (from == to)
          continue;
        snprintf (name, sizeof name, "e%d", to);
        struct runner_peer *p = runner_table_peer (s->entries[from].table, name);
        if (!runner_table_digest_due (s->entries[from].table, p, now_ms (s)))
          continue;
        runner_table_make_digest (s->entries[from].table, p, now_ms (s), &d);
        limit_report (s->entries[from].limit, name, now_ms (s), &d);
        snprintf (name, sizeof name, "e%d", from);
        runner_table_handle_digest (s->entries[to].table,
                                    runner_table_peer (s->entries[to].table, name), &d, now_ms (s),
                                    &reply);
        limit_handle_report (s->entries[to].limit, name, &d, now_ms (s));
        runner_table_handle_reply (s->entries[from].table, p, &reply);
        runner_digest_free (&d);
      }
}

static void
apply_faults (struct sim *s)
{
  bool late = s->now >= START_MS + s->scenario.length_ms / 3.0;
  for (int i = 0; i < RUNNERS; i++)
    {
      struct fake_runner *r = &s->runners[i];
      if (s->scenario.fault == ONE_SLOW && i == 0 && late)
        r->slowdown = 10.0;
      if (s->scenario.fault == ONE_FAILING && i == 0 && late)
        r->failing = true;
      if (s->scenario.fault == TENTH_LOST && i % 10 == 0 && late)
        r->lost = true;
      if (s->scenario.fault == ALL_FAILING)
        r->failing = true;
    }
}

static void
tick (struct sim *s)
{
  apply_faults (s);
  for (int i = 0; i < ENTRIES; i++)
    runner_table_tick (s->entries[i].table, now_ms (s));
  if ((int64_t)((s->now - START_MS) / TICK_MS) % 5 == 0)
    announce_all (s);
  exchange_digests (s);
  for (int i = 0; i < ENTRIES; i++)
    dispatch_queued (s, &s->entries[i]);
  if (s->now < s->end + 2.0 * DEADLINE_MS)
    schedule (s, s->now + TICK_MS, TICK, NULL);
}

/* ---- one run ---- */

static bool
lookup (void *arg, const char *customer, struct limit_plan *out)
{
  (void)arg;
  memset (out, 0, sizeof *out);
  if (strcmp (customer, "huge") == 0)
    out->share = 0.5;
  return true;
}

static unsigned
slots_of (void *arg, const char *customer)
{
  struct entry *e = arg;
  return limit_slots (e->limit, customer, RUNNERS * SLOTS / ENTRIES);
}

static void
open_entry (struct sim *s, int i, uint64_t seed)
{
  struct entry *e = &s->entries[i];
  static const enum router_policy routing[POLICIES]
      = { ROUTER_LEAST_LOADED, ROUTER_LEAST_LOADED, ROUTER_ROUND_ROBIN,
          ROUTER_RANDOM,       ROUTER_ROUND_ROBIN,  ROUTER_LEAST_LOADED };
  struct router_config config = { .data_centre = "dc1",
                                  .entries = ENTRIES,
                                  .rank = (unsigned)i,
                                  .far_bytes_per_s = 1000000,
                                  .policy = routing[s->policy],
                                  .seed = seed * 100 + (uint64_t)i };
  struct limit_source source = { .lookup = lookup };
  struct admission_config queue = { .max_queued = uses_queue (s) ? 1024 : 10000000,
                                    .deadline_aware = uses_queue (s),
                                    .slots = uses_queue (s) ? slots_of : NULL,
                                    .slots_arg = e };
  e->table = runner_table_open (1, (int64_t)START_MS);
  router_init (&e->router, &config, e->table, (int64_t)START_MS);
  e->router.turn = (uint64_t)i * 7;
  e->limit = limit_open (&source, ENTRIES, (int64_t)START_MS);
  e->admission = admission_open (&queue);
  retry_budget_init (&e->budget);
  e->budget.unlimited = s->policy == NAIVE_RETRY;
  rng_init (&e->rng, seed + (uint64_t)i);
}

static void
run_events (struct sim *s)
{
  while (s->heap_len > 0)
    {
      struct event e = next_event (s);
      s->now = e.at;
      switch (e.kind)
        {
        case ARRIVAL:
          arrive (s);
          break;
        case AT_RUNNER:
          at_runner (s, e.object);
          break;
        case SERVED:
          served (s, e.object);
          break;
        case ANSWERED:
          answered (s, e.object);
          break;
        case RETRY:
          retry (s, e.object);
          call_unref (e.object);
          break;
        case CHECK:
          check (s, e.object);
          call_unref (e.object);
          break;
        case TICK:
          tick (s);
          break;
        }
    }
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static double
quantile (const struct result *r, double q)
{
  return r->count ? r->latencies[(size_t)(q * (double)(r->count - 1))] : 0.0;
}

static size_t
max_requests (const struct scenario *c)
{
  double top = c->load_from > c->load_to ? c->load_from : c->load_to;
  return (size_t)(top * CAPACITY_PER_MS * c->length_ms * 1.2) + 10000;
}

static struct result
run (enum policy policy, const struct scenario *c, uint64_t seed)
{
  static struct sim s;
  memset (&s, 0, sizeof s);
  s.policy = policy;
  s.scenario = *c;
  s.now = START_MS;
  s.end = START_MS + c->length_ms;
  s.result.measured_ms = c->length_ms - WARM_UP_MS;
  s.result.latencies = xmalloc (max_requests (c) * sizeof (double));
  rng_init (&s.arrivals, seed);
  for (int i = 0; i < RUNNERS; i++)
    {
      s.runners[i].slowdown = 1.0;
      s.runners[i].tail = &s.runners[i].head;
    }
  for (int i = 0; i < ENTRIES; i++)
    open_entry (&s, i, seed);
  tick (&s);
  schedule (&s, START_MS + 10.0, ARRIVAL, NULL);
  run_events (&s);
  for (int i = 0; i < ENTRIES; i++)
    {
      admission_close (s.entries[i].admission);
      limit_close (s.entries[i].limit);
      router_close (&s.entries[i].router);
      runner_table_close (s.entries[i].table);
    }
  free (s.heap);
  qsort (s.result.latencies, s.result.count, sizeof (double), compare);
  return s.result;
}

/* Simulates one queue in front of all slots, with the same arrivals.  */
static struct result
run_ideal (const struct scenario *c, uint64_t seed)
{
  static double free_at[RUNNERS * SLOTS];
  struct sim s = { .scenario = *c, .now = START_MS, .end = START_MS + c->length_ms };
  struct result r = { .measured_ms = c->length_ms - WARM_UP_MS };
  r.latencies = xmalloc (max_requests (c) * sizeof (double));
  rng_init (&s.arrivals, seed);
  for (int i = 0; i < RUNNERS * SLOTS; i++)
    free_at[i] = START_MS;
  for (s.now = START_MS + 10.0; s.now < s.end;)
    {
      double rate = load_at (&s, s.now) * CAPACITY_PER_MS;
      rng_unit (&s.arrivals); /* the class draw of the other runs, to keep the sequence */
      struct call *call = new_call (&s, true);
      double gap = rng_exponential (&s.arrivals, 1.0 / rate);
      int best = 0;
      for (int i = 1; i < RUNNERS * SLOTS; i++)
        if (free_at[i] < free_at[best])
          best = i;
      double begin = free_at[best] > s.now ? free_at[best] : s.now;
      free_at[best] = begin + call->service_ms;
      if (is_measured (&s, call))
        {
          r.requests++;
          if (free_at[best] + 2.0 * NETWORK_MS <= call->deadline)
            r.latencies[r.count++] = free_at[best] + 2.0 * NETWORK_MS - s.now;
        }
      free (call);
      s.now += gap;
    }
  r.all_requests = r.requests;
  r.tries = r.requests;
  qsort (r.latencies, r.count, sizeof (double), compare);
  return r;
}

static void
print (const char *policy, struct result *r)
{
  double failed = (double)(r->requests - r->count - r->refused);
  printf ("  %-12s p50 %6.1f  p99 %7.1f  p99.9 %7.1f ms  goodput %7.0f/s  refused %5.2f%%  "
          "failed %6.3f%%  tries/request %.3f",
          policy, quantile (r, 0.5), quantile (r, 0.99), quantile (r, 0.999),
          (double)r->count * 1000.0 / r->measured_ms,
          100.0 * (double)r->refused / (double)r->requests, 100.0 * failed / (double)r->requests,
          (double)r->tries / (double)r->all_requests);
  if (r->batch_answered)
    printf ("  bulk %.0f/s", (double)r->batch_answered * 1000.0 / r->measured_ms);
  printf ("\n");
  free (r->latencies);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  const char *only = argc > 2 ? argv[2] : NULL;
  static const struct scenario scenarios[] = {
    { "steady 80%", 0.8, 0.8, 20000, NO_FAULT, 0, 0 },
    { "dawn ramp 10% to 95%", 0.1, 0.95, 20000, NO_FAULT, 0, 0 },
    { "dawn step 20% to 90%", 0.2, 0.9, 20000, NO_FAULT, 0, 10000 },
    { "one slow runner, 70%", 0.7, 0.7, 20000, ONE_SLOW, 0, 0 },
    { "no slow runner, 70%", 0.7, 0.7, 20000, NO_FAULT, 0, 0 },
    { "one failing fast, 70%", 0.7, 0.7, 20000, ONE_FAILING, 0, 0 },
    { "10% of runners lost, 70%", 0.7, 0.7, 20000, TENTH_LOST, 0, 0 },
    { "all runners fail, 50%", 0.5, 0.5, 10000, ALL_FAILING, 0, 0 },
    { "load 95%", 0.95, 0.95, 12000, NO_FAULT, 0, 0 },
    { "load 100%", 1, 1, 12000, NO_FAULT, 0, 0 },
    { "overload 2 times", 2, 2, 12000, NO_FAULT, 0, 0 },
    { "overload 5 times", 5, 5, 8000, NO_FAULT, 0, 0 },
    { "overload 10 times", 10, 10, 6000, NO_FAULT, 0, 0 },
    { "urgent 30% beside bulk 200%", 0.3, 0.3, 20000, NO_FAULT, 2, 0 },
    { "urgent 30% alone", 0.3, 0.3, 20000, NO_FAULT, 0, 0 },
  };
  printf ("seed %llu, %d entries, %d runners of %d slots, exponential service, mean %.0f ms\n",
          (unsigned long long)seed, ENTRIES, RUNNERS, SLOTS, MEAN_MS);
  for (size_t i = 0; i < sizeof scenarios / sizeof *scenarios; i++)
    {
      if (only && !strstr (scenarios[i].name, only))
        continue;
      printf ("%s\n", scenarios[i].name);
      if (scenarios[i].fault == NO_FAULT && scenarios[i].batch_load <= 0.0)
        {
          struct result ideal = run_ideal (&scenarios[i], seed);
          print ("ideal queue", &ideal);
        }
      for (int p = 0; p < POLICIES; p++)
        {
          struct result r = run ((enum policy)p, &scenarios[i], seed);
          print (policy_names[p], &r);
          fflush (stdout);
        }
    }
  return 0;
}
