#include "router.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define SAMPLE_WEIGHT 0.2      /* of a new sample in the moving averages */
#define FAILURE_RATE_LIMIT 0.5 /* failure rate above which a runner is ejected */
#define FAILURE_SAMPLES 10     /* minimum samples before the rate is used */
#define LIMIT_DECREASE 0.7     /* factor on a refusal, a timeout or an ejection over the maximum */
#define SLOW_FACTOR 4.0        /* answers above this multiple of the median are late */
#define SLOW_FLOOR_MS 5.0      /* answers within this of the median are never late */
#define SLOW_RATE 0.5          /* rate of late answers above which a runner is slow */
#define SLOW_SAMPLES 5
#define MEDIAN_STEP 0.02        /* relative change of the median per answer */
#define PROBE_INTERVAL_MS 1000  /* between requests to a slow runner */
#define REPORT_MAX_AGE_MS 1500  /* after this, each other entry counts with this entry's load */
#define INDEX_REFRESH_MS 200    /* expired runners leave the index within this time */
#define EJECTION_RESET_MS 30000 /* time since the return that resets a runner's ejection length */

/* The runners of one service, rebuilt when the table changes.  */
struct router_service
{
  char name[RUNNER_NAME_BYTES];
  struct runner **runners;
  unsigned count;
  unsigned capacity;
  uint64_t generation;
  int64_t built_ms;
  double median_ms[ROUTER_FAR + 1]; /* median latency by distance, 0 when unknown */
  struct router_service *next;
};

void
router_init (struct router *r, const struct router_config *config, struct runner_table *table,
             int64_t now_ms)
{
  memset (r, 0, sizeof *r);
  r->config = *config;
  if (r->config.entries < 1)
    r->config.entries = 1;
  r->table = table;
  r->far_bytes = (double)config->far_bytes_per_s;
  r->far_updated_ms = now_ms;
  r->previous_entries = r->config.entries;
  r->previous_rank = r->config.rank;
  r->share_growth_ms = now_ms;
  rng_init (&r->rng, config->seed);
}

void
router_close (struct router *r)
{
  while (r->services)
    {
      struct router_service *s = r->services;
      r->services = s->next;
      free (s->runners);
      free (s);
    }
}

void
router_set_entries (struct router *r, unsigned entries, unsigned rank, int64_t now_ms)
{
  if (entries < 1)
    entries = 1;
  if (entries == r->config.entries && rank == r->config.rank)
    return;
  if (now_ms >= r->share_growth_ms)
    {
      r->previous_entries = r->config.entries;
      r->previous_rank = r->config.rank;
    }
  r->config.entries = entries;
  r->config.rank = rank;
  r->share_growth_ms = now_ms + ROUTER_SHARE_GROWTH_DELAY_MS;
}

enum router_distance
router_distance (const struct router *r, const char *data_centre)
{
  if (strcmp (data_centre, r->config.data_centre) == 0)
    return ROUTER_LOCAL;
  for (unsigned i = 0; i < r->config.near_count; i++)
    if (strcmp (data_centre, r->config.near[i]) == 0)
      return ROUTER_NEAR;
  return ROUTER_FAR;
}

/* The entries that get the remainder are chosen by a hash of the runner's id that all entries
   compute alike, so that the shares of one runner add up to its connections.  */
static unsigned
share_of (const struct runner *runner, uint32_t total, unsigned entries, unsigned rank)
{
  unsigned hash = 0;
  for (const char *p = runner->info.id; *p; p++)
    hash = hash * 31 + (unsigned char)*p;
  unsigned place = (rank + hash % entries) % entries;
  return total / entries + (place < total % entries ? 1 : 0);
}

static unsigned
effective_share (const struct router *r, const struct runner *runner, uint32_t total,
                 int64_t now_ms)
{
  unsigned share = share_of (runner, total, r->config.entries, r->config.rank);
  if (now_ms >= r->share_growth_ms)
    return share;
  unsigned before = share_of (runner, total, r->previous_entries, r->previous_rank);
  return before < share ? before : share;
}

unsigned
router_share (const struct router *r, const struct runner *runner, int64_t now_ms)
{
  return effective_share (r, runner, runner->info.connections, now_ms);
}

static void
build_service (const struct router *r, struct router_service *s, int64_t now_ms)
{
  struct runner *runner;
  s->count = 0;
  TAILQ_FOREACH (runner, runner_table_list (r->table), link)
  {
    if (strcmp (runner->info.service, s->name) != 0 || !runner_live (runner, now_ms))
      continue;
    if (s->count == s->capacity)
      {
        s->capacity = s->capacity ? 2 * s->capacity : 16;
        s->runners = xrealloc (s->runners, s->capacity * sizeof (struct runner *));
      }
    s->runners[s->count++] = runner;
  }
  s->generation = runner_table_generation (r->table);
  s->built_ms = now_ms;
}

/* A service without live runners gets no index, so that requests for unknown services cannot grow
   the list.  */
static struct router_service *
find_service (struct router *r, const char *name, int64_t now_ms)
{
  struct router_service *s = r->services;
  while (s && strcmp (s->name, name) != 0)
    s = s->next;
  if (!s)
    {
      if (router_live (r, name, now_ms) == 0)
        return NULL;
      s = xcalloc (1, sizeof *s);
      memcpy (s->name, name, strlen (name) + 1);
      s->next = r->services;
      r->services = s;
      build_service (r, s, now_ms);
    }
  else if (s->generation != runner_table_generation (r->table)
           || now_ms - s->built_ms >= INDEX_REFRESH_MS)
    build_service (r, s, now_ms);
  return s;
}

unsigned
router_live (const struct router *r, const char *service, int64_t now_ms)
{
  const struct runner *runner;
  unsigned n = 0;
  TAILQ_FOREACH (runner, runner_table_list (r->table), link)
  if (strcmp (runner->info.service, service) == 0 && runner_live (runner, now_ms))
    n++;
  return n;
}

bool
router_may_return (const struct router *r, const char *service, int64_t now_ms)
{
  const struct runner *runner;
  TAILQ_FOREACH (runner, runner_table_list (r->table), link)
  if (strcmp (runner->info.service, service) == 0 && runner_may_return (runner, now_ms))
    return true;
  return false;
}

unsigned
router_capacity (struct router *r, const char *service, int64_t now_ms)
{
  const struct router_service *s = find_service (r, service, now_ms);
  unsigned slots = 0;
  for (unsigned i = 0; s && i < s->count; i++)
    slots += s->runners[i]->info.slots;
  slots /= r->config.entries;
  return slots > 0 ? slots : 1;
}

static bool
ejected (const struct runner *runner, int64_t now_ms)
{
  return now_ms < runner->load.ejected_until_ms;
}

static unsigned
count_ejected (const struct router_service *s, int64_t now_ms)
{
  unsigned n = 0;
  for (unsigned i = 0; i < s->count; i++)
    if (ejected (s->runners[i], now_ms))
      n++;
  return n;
}

static void
shrink_limit (struct router *r, struct runner *runner, int64_t now_ms)
{
  struct runner_load *load = &runner->load;
  double limit = load->limit > 0.0 ? load->limit : (double)router_share (r, runner, now_ms);
  limit *= LIMIT_DECREASE;
  load->limit = limit > 1.0 ? limit : 1.0;
}

static void
eject (struct router *r, struct runner *runner, int64_t now_ms)
{
  const struct router_service *s = find_service (r, runner->info.service, now_ms);
  struct runner_load *load = &runner->load;
  unsigned n = s ? s->count : 0;
  unsigned max_ejected = n * ROUTER_MAX_EJECTED_PERCENT / 100;
  if (max_ejected == 0 && n >= 2)
    max_ejected = 1;
  if (ejected (runner, now_ms))
    return;
  if (!s || count_ejected (s, now_ms) >= max_ejected)
    {
      shrink_limit (r, runner, now_ms);
      return;
    }
  if (now_ms - load->returned_ms > EJECTION_RESET_MS)
    load->ejections = 0;
  int64_t length = (int64_t)ROUTER_EJECT_BASE_MS << (load->ejections < 5 ? load->ejections : 5);
  if (length > ROUTER_EJECT_MAX_MS)
    length = ROUTER_EJECT_MAX_MS;
  load->ejections++;
  load->ejected_until_ms = now_ms + length;
  load->returned_ms = load->ejected_until_ms;
  load->failures_in_row = 0;
  load->failure_rate = 0.0;
  load->samples = 0;
}

/* The adaptive limit, capped during slow start.  */
static unsigned
effective_limit (struct router *r, const struct runner *runner, int64_t now_ms)
{
  unsigned share = router_share (r, runner, now_ms);
  double limit = runner->load.limit > 0.0 ? runner->load.limit : (double)share;
  int64_t since = now_ms - runner->load.returned_ms;
  if (runner->load.returned_ms > 0 && since < ROUTER_SLOW_START_MS)
    {
      double ramp = 1.0 + (double)share * (double)since / ROUTER_SLOW_START_MS;
      limit = ramp < limit ? ramp : limit;
    }
  if (limit < 1.0)
    limit = 1.0;
  return limit < (double)share ? (unsigned)limit : share;
}

/* Requests from all entries on RUNNER: exact for this entry, as last reported for the others.  */
static unsigned
estimated_load (const struct router *r, const struct runner *runner, int64_t now_ms)
{
  const struct runner_load *load = &runner->load;
  unsigned reported = runner->info.in_flight;
  if (now_ms - load->reported_ms > REPORT_MAX_AGE_MS)
    return load->in_flight * r->config.entries;
  unsigned others = reported > load->local_at_report ? reported - load->local_at_report : 0;
  return load->in_flight + others;
}

static bool
has_capacity (struct router *r, const struct runner *runner, int64_t now_ms)
{
  const struct runner_load *load = &runner->load;
  if (ejected (runner, now_ms) || load->in_flight >= effective_limit (r, runner, now_ms))
    return false;
  unsigned own = effective_share (r, runner, runner->info.slots, now_ms);
  return load->in_flight < own || estimated_load (r, runner, now_ms) < runner->info.slots;
}

static bool
probe_due (const struct runner *runner, int64_t now_ms)
{
  return runner->load.in_flight == 0 && now_ms - runner->load.last_probe_ms >= PROBE_INTERVAL_MS;
}

/* Load relative to the slots, in thousandths: the larger of the estimate and this entry's requests
   times the entries, since these are exact and each entry has an equal share of the slots.  */
static unsigned
load_score (const struct router *r, const struct runner *runner, int64_t now_ms)
{
  unsigned own = runner->load.in_flight * r->config.entries;
  unsigned all = estimated_load (r, runner, now_ms);
  unsigned load = own > all ? own : all;
  return load * 1000 / runner->info.slots;
}

struct candidates
{
  struct runner *first;
  struct runner *second;
  unsigned seen;
};

/* Reservoir sampling of two candidates.  */
static void
reservoir_add (struct router *r, struct candidates *c, struct runner *runner)
{
  c->seen++;
  if (c->seen == 1)
    c->first = runner;
  else if (c->seen == 2)
    c->second = runner;
  else
    {
      uint64_t place = rng_below (&r->rng, c->seen);
      if (place == 0)
        c->first = runner;
      else if (place == 1)
        c->second = runner;
    }
}

static struct runner *
less_loaded (struct router *r, const struct candidates *c, int64_t now_ms)
{
  if (!c->second)
    return c->first;
  unsigned a = load_score (r, c->first, now_ms);
  unsigned b = load_score (r, c->second, now_ms);
  if (a == b)
    return rng_chance (&r->rng, 0.5) ? c->first : c->second;
  return a < b ? c->first : c->second;
}

static void
refill_far_budget (struct router *r, int64_t now_ms)
{
  double rate = (double)r->config.far_bytes_per_s;
  r->far_bytes += rate * (double)(now_ms - r->far_updated_ms) / 1000.0;
  if (r->far_bytes > rate)
    r->far_bytes = rate;
  r->far_updated_ms = now_ms;
}

static struct runner *
pick_least_loaded (struct router *r, const struct router_service *s, const struct runner *avoid,
                   int64_t now_ms)
{
  struct candidates by_distance[ROUTER_FAR + 1];
  struct runner *slow = NULL;
  memset (by_distance, 0, sizeof by_distance);
  for (unsigned i = 0; i < s->count; i++)
    {
      struct runner *runner = s->runners[i];
      if (runner == avoid || !runner_live (runner, now_ms) || !has_capacity (r, runner, now_ms))
        continue;
      if (runner->load.slow && !probe_due (runner, now_ms))
        {
          slow = runner->load.in_flight == 0 ? runner : slow;
          continue;
        }
      reservoir_add (r, &by_distance[router_distance (r, runner->info.data_centre)], runner);
    }
  refill_far_budget (r, now_ms);
  for (int d = ROUTER_LOCAL; d <= ROUTER_FAR; d++)
    if (by_distance[d].seen > 0 && (d != ROUTER_FAR || r->far_bytes > 0.0))
      return less_loaded (r, &by_distance[d], now_ms);
  return slow && (r->far_bytes > 0.0 || router_distance (r, slow->info.data_centre) != ROUTER_FAR)
             ? slow
             : NULL;
}

static struct runner *
pick_baseline (struct router *r, const struct router_service *s, int64_t now_ms)
{
  for (unsigned i = 0; i < s->count; i++)
    {
      uint64_t place = r->config.policy == ROUTER_RANDOM ? rng_next (&r->rng) : r->turn++;
      struct runner *runner = s->runners[place % s->count];
      if (runner_live (runner, now_ms) && runner->load.in_flight < router_share (r, runner, now_ms))
        return runner;
    }
  return NULL;
}

struct runner *
router_pick (struct router *r, const char *service, const struct runner *avoid, int64_t now_ms)
{
  const struct router_service *s = find_service (r, service, now_ms);
  if (!s || s->count == 0)
    return NULL;
  if (r->config.policy != ROUTER_LEAST_LOADED)
    return pick_baseline (r, s, now_ms);
  struct runner *runner = pick_least_loaded (r, s, avoid, now_ms);
  if (!runner && avoid)
    runner = pick_least_loaded (r, s, NULL, now_ms);
  return runner;
}

static void
charge_far (struct router *r, const struct runner *runner, size_t bytes)
{
  if (router_distance (r, runner->info.data_centre) == ROUTER_FAR)
    r->far_bytes -= (double)bytes;
}

void
router_start (struct router *r, struct runner *runner, size_t bytes, int64_t now_ms)
{
  runner_hold (runner);
  runner->load.in_flight++;
  if (runner->load.slow)
    runner->load.last_probe_ms = now_ms;
  charge_far (r, runner, bytes);
}

static void
grow_limit (struct router *r, struct runner *runner, int64_t now_ms)
{
  double share = (double)router_share (r, runner, now_ms);
  if (runner->load.limit <= 0.0)
    return;
  runner->load.limit += 1.0 / runner->load.limit;
  if (runner->load.limit >= share)
    runner->load.limit = 0.0;
}

static void
count_failure (struct router *r, struct runner *runner, int64_t now_ms)
{
  struct runner_load *load = &runner->load;
  load->failures_in_row++;
  load->failure_rate += SAMPLE_WEIGHT * (1.0 - load->failure_rate);
  load->samples++;
  if (load->failures_in_row >= ROUTER_EJECT_IN_ROW
      || (load->samples >= FAILURE_SAMPLES && load->failure_rate > FAILURE_RATE_LIMIT))
    eject (r, runner, now_ms);
}

static void
count_success (struct router *r, struct runner *runner, int64_t now_ms)
{
  struct runner_load *load = &runner->load;
  load->failures_in_row = 0;
  load->failure_rate -= SAMPLE_WEIGHT * load->failure_rate;
  grow_limit (r, runner, now_ms);
}

/* Streaming estimate of the median: each answer moves it one step up or down.  */
static void
update_median (double *median, double latency_ms)
{
  if (*median <= 0.0)
    *median = latency_ms;
  else
    *median *= latency_ms > *median ? 1.0 + MEDIAN_STEP : 1.0 - MEDIAN_STEP;
}

/* Counts late answers instead of averaging latencies, so that a few long requests among many short
   ones do not make their runner look slow.  */
static void
count_latency (struct router *r, struct runner *runner, double latency_ms, bool complete,
               int64_t now_ms)
{
  struct router_service *s = find_service (r, runner->info.service, now_ms);
  struct runner_load *load = &runner->load;
  if (!s)
    return;
  double *median = &s->median_ms[router_distance (r, runner->info.data_centre)];
  bool late
      = *median > 0.0 && latency_ms > SLOW_FACTOR * *median && latency_ms - *median > SLOW_FLOOR_MS;
  if (!complete && !late)
    return;
  if (complete)
    update_median (median, latency_ms);
  load->late_rate += SAMPLE_WEIGHT * ((late ? 1.0 : 0.0) - load->late_rate);
  load->samples++;
  load->slow = load->samples >= SLOW_SAMPLES && load->late_rate > SLOW_RATE;
}

static void
count_outcome (struct router *r, struct runner *runner, enum router_outcome outcome,
               double latency_ms, int64_t now_ms)
{
  switch (outcome)
    {
    case ROUTER_OK:
      count_success (r, runner, now_ms);
      count_latency (r, runner, latency_ms, true, now_ms);
      break;
    case ROUTER_FAILED:
      count_failure (r, runner, now_ms);
      break;
    case ROUTER_TIMED_OUT:
      shrink_limit (r, runner, now_ms);
      count_failure (r, runner, now_ms);
      break;
    case ROUTER_REFUSED:
      shrink_limit (r, runner, now_ms);
      break;
    case ROUTER_UNREACHABLE:
      eject (r, runner, now_ms);
      break;
    case ROUTER_ABANDONED:
      count_latency (r, runner, latency_ms, false, now_ms);
      break;
    }
}

void
router_finish (struct router *r, struct runner *runner, uint64_t incarnation,
               enum router_outcome outcome, double latency_ms, size_t bytes, int64_t now_ms)
{
  runner->load.in_flight--;
  charge_far (r, runner, bytes);
  if (incarnation == runner->info.incarnation)
    count_outcome (r, runner, outcome, latency_ms, now_ms);
  runner_release (runner);
}
