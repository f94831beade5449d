#include "runner_table_internal.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "http_server.h"

#define VERSION_SHIFT 20
#define LEARNING_PERIOD_MS 2000
#define FNV_OFFSET 1469598103934665603ULL
#define FNV_PRIME 1099511628211ULL

static unsigned
bucket_of (const char *id)
{
  uint64_t h = FNV_OFFSET;
  for (const char *p = id; *p; p++)
    h = (h ^ (unsigned char)*p) * FNV_PRIME;
  return (unsigned)((h ^ (h >> 32)) % RUNNER_HASH_BUCKETS);
}

struct runner_table *
runner_table_open (uint64_t incarnation, int64_t now_ms)
{
  struct runner_table *t = xcalloc (1, sizeof *t);
  TAILQ_INIT (&t->runners);
  SLIST_INIT (&t->peers);
  t->version = (incarnation << VERSION_SHIFT) + 1;
  t->oldest_delta = t->version;
  t->started_ms = now_ms;
  t->tick_ms = now_ms;
  return t;
}

static void
free_runner (struct runner_table *t, struct runner *r)
{
  while (!LIST_EMPTY (&r->leases))
    runner_lease_drop (LIST_FIRST (&r->leases));
  TAILQ_REMOVE (&t->runners, r, link);
  LIST_REMOVE (r, bucket_link);
  t->count--;
  t->generation++;
  free (r);
}

void
runner_table_close (struct runner_table *t)
{
  if (!t)
    return;
  while (!TAILQ_EMPTY (&t->runners))
    free_runner (t, TAILQ_FIRST (&t->runners));
  while (!SLIST_EMPTY (&t->peers))
    {
      struct runner_peer *p = SLIST_FIRST (&t->peers);
      SLIST_REMOVE_HEAD (&t->peers, link);
      free (p);
    }
  free (t);
}

struct runner *
runner_table_find (const struct runner_table *t, const char *id)
{
  struct runner *r;
  LIST_FOREACH (r, &t->buckets[bucket_of (id)], bucket_link)
  if (strcmp (r->info.id, id) == 0)
    return r;
  return NULL;
}

struct runner *
runner_table_add (struct runner_table *t, const char *id)
{
  struct runner *r = runner_table_find (t, id);
  if (r)
    return r;
  if (t->count >= RUNNER_MAX_RECORDS)
    return NULL;
  r = xcalloc (1, sizeof *r);
  memcpy (r->info.id, id, strlen (id) + 1);
  LIST_INIT (&r->leases);
  LIST_INSERT_HEAD (&t->buckets[bucket_of (id)], r, bucket_link);
  TAILQ_INSERT_TAIL (&t->runners, r, link);
  t->count++;
  return r;
}

void
runner_table_mark_changed (struct runner_table *t, struct runner *r)
{
  t->version++;
  r->changed_version = t->version;
}

/* The router's statistics belong to one incarnation, except for requests still in flight.  */
void
runner_table_replace_incarnation (struct runner_table *t, struct runner *r,
                                  const struct runner_info *info)
{
  unsigned in_flight = r->load.in_flight;
  r->info = *info;
  memset (&r->load, 0, sizeof r->load);
  r->load.in_flight = in_flight;
  r->departing = false;
  r->departed_ms = 0;
  r->announced_ms = 0;
  while (!LIST_EMPTY (&r->leases))
    runner_lease_drop (LIST_FIRST (&r->leases));
  t->generation++;
}

void
runner_table_set_departing (struct runner_table *t, struct runner *r, int64_t now_ms)
{
  if (r->departing)
    return;
  r->departing = true;
  r->departed_ms = now_ms;
  t->generation++;
  if (r->listed) /* peers that learn of it only from this entry need the departure */
    runner_table_mark_changed (t, r);
}

static bool
name_valid (const char *name)
{
  if (!*name)
    return false;
  for (const char *p = name; *p; p++)
    if (!isalnum ((unsigned char)*p) && !strchr ("._-:", *p))
      return false;
  return true;
}

bool
runner_info_valid (const struct runner_info *info, struct status *st)
{
  struct sockaddr_in address;
  if (!name_valid (info->id) || !name_valid (info->service) || !name_valid (info->data_centre))
    return status_set (st, STATUS_BAD_REQUEST, "runner id, service or data centre is malformed")
           == 0;
  if (http_parse_address (info->address, &address, st) < 0)
    {
      if (st)
        st->kind = STATUS_BAD_REQUEST;
      return false;
    }
  if (address.sin_port == 0 || info->slots < 1 || info->slots > RUNNER_MAX_SLOTS
      || info->connections < 1 || info->connections > RUNNER_MAX_SLOTS)
    return status_set (st, STATUS_BAD_REQUEST,
                       "runner %s: port, slots (%u) or connections (%u) out of range 1 to %d",
                       info->id, info->slots, info->connections, RUNNER_MAX_SLOTS)
           == 0;
  return true;
}

static bool
same_info (const struct runner_info *a, const struct runner_info *b)
{
  return a->slots == b->slots && a->connections == b->connections
         && strcmp (a->service, b->service) == 0 && strcmp (a->address, b->address) == 0
         && strcmp (a->data_centre, b->data_centre) == 0;
}

/* A change of in_flight goes into the digests only when it is at least a quarter of the slots.  */
static bool
load_changed (const struct runner *r, uint32_t in_flight)
{
  uint32_t step = r->info.slots / 4 > 1 ? r->info.slots / 4 : 1;
  uint32_t low = in_flight < r->digest_in_flight ? in_flight : r->digest_in_flight;
  uint32_t high = in_flight < r->digest_in_flight ? r->digest_in_flight : in_flight;
  return high - low >= step;
}

static void
list_runner (struct runner_table *t, struct runner *r, bool changed)
{
  if (r->listed && !changed && !load_changed (r, r->info.in_flight))
    return;
  r->listed = true;
  r->digest_in_flight = r->info.in_flight;
  runner_table_mark_changed (t, r);
}

static int
check_incarnation (const struct runner *r, uint64_t incarnation, struct status *st)
{
  if (r
      && (incarnation < r->info.incarnation
          || (incarnation == r->info.incarnation && r->departing)))
    return status_set (st, STATUS_STALE_INCARNATION,
                       "runner %s: incarnation %llu has ended, %llu is the latest", r->info.id,
                       (unsigned long long)incarnation, (unsigned long long)r->info.incarnation);
  return 0;
}

/* Runners that count towards RUNNER_MAX_LISTED.  */
static unsigned
listed_runners (const struct runner_table *t)
{
  const struct runner *r;
  unsigned n = 0;
  TAILQ_FOREACH (r, &t->runners, link)
  if (r->listed && !r->departing)
    n++;
  return n;
}

int
runner_table_announce (struct runner_table *t, const struct runner_info *info, int64_t now_ms,
                       struct status *st)
{
  if (!runner_info_valid (info, st))
    return -1;
  if (now_ms < t->refuse_until_ms || now_ms - t->tick_ms > RUNNER_PAUSE_MIN_MS)
    return status_set (st, STATUS_OVERLOADED, "the process was paused; announce again");
  struct runner *r = runner_table_find (t, info->id);
  if (check_incarnation (r, info->incarnation, st) < 0)
    return -1;
  if (!r && !(r = runner_table_add (t, info->id)))
    return status_set (st, STATUS_OVERLOADED, "more than %d runners", RUNNER_MAX_RECORDS);
  if (!r->listed && listed_runners (t) >= RUNNER_MAX_LISTED)
    return status_set (st, STATUS_OVERLOADED, "%d runners announce here; use another entry",
                       RUNNER_MAX_LISTED);
  bool fresh = info->incarnation > r->info.incarnation || !r->info.service[0];
  bool changed = fresh || !same_info (&r->info, info);
  if (!runner_live (r, now_ms))
    t->generation++;
  if (fresh)
    runner_table_replace_incarnation (t, r, info);
  r->info = *info;
  r->announced_ms = now_ms;
  runner_table_report (r, info->in_flight, now_ms);
  list_runner (t, r, changed);
  return 0;
}

int
runner_table_depart (struct runner_table *t, const char *id, uint64_t incarnation, int64_t now_ms,
                     struct status *st)
{
  struct runner *r = runner_table_find (t, id);
  if (r && incarnation < r->info.incarnation)
    return status_set (st, STATUS_STALE_INCARNATION, "runner %s: incarnation %llu is the latest",
                       id, (unsigned long long)r->info.incarnation);
  if (!r && !(r = runner_table_add (t, id)))
    return status_set (st, STATUS_OVERLOADED, "more than %d runners", RUNNER_MAX_RECORDS);
  if (incarnation > r->info.incarnation)
    {
      struct runner_info info = r->info;
      info.incarnation = incarnation;
      runner_table_replace_incarnation (t, r, &info);
    }
  if (r->departing)
    return 0;
  r->listed = true;
  runner_table_set_departing (t, r, now_ms);
  struct runner_peer *p;
  SLIST_FOREACH (p, &t->peers, link)
  p->send_now = true;
  return 0;
}

void
runner_table_report (struct runner *r, uint32_t in_flight, int64_t now_ms)
{
  r->info.in_flight = in_flight;
  r->load.reported_ms = now_ms;
  r->load.local_at_report = r->load.in_flight;
}

bool
runner_live (const struct runner *r, int64_t now_ms)
{
  struct runner_lease *lease;
  if (r->departing || !r->info.service[0])
    return false;
  if (r->announced_ms && now_ms - r->announced_ms < RUNNER_LIFETIME_MS)
    return true;
  LIST_FOREACH (lease, &r->leases, runner_link)
  if (now_ms < lease->peer->expires_ms)
    return true;
  return false;
}

bool
runner_may_return (const struct runner *r, int64_t now_ms)
{
  if (r->departing)
    return false;
  return runner_live (r, now_ms - RUNNER_RETURN_MS)
         || (r->unlisted_ms > 0 && now_ms - r->unlisted_ms < RUNNER_RETURN_MS);
}

/* Removes runners without a recent announcement from the digests.  A departure stays listed until
   its record is removed.  */
static void
unlist_stale (struct runner_table *t, struct runner *r, int64_t now_ms)
{
  if (!r->listed || r->departing || now_ms - r->announced_ms <= RUNNER_FRESH_MS)
    return;
  r->listed = false;
  runner_table_mark_changed (t, r);
}

static bool
record_expired (const struct runner *r, int64_t now_ms)
{
  if (r->references > 0 || runner_live (r, now_ms))
    return false;
  if (r->departing)
    return now_ms - r->departed_ms > RUNNER_TOMBSTONE_MS;
  return now_ms - r->announced_ms > RUNNER_TOMBSTONE_MS
         && now_ms - r->load.reported_ms > RUNNER_TOMBSTONE_MS;
}

void
runner_table_tick (struct runner_table *t, int64_t now_ms)
{
  struct runner *r = TAILQ_FIRST (&t->runners);
  if (now_ms - t->tick_ms > RUNNER_PAUSE_MIN_MS)
    t->refuse_until_ms = now_ms + RUNNER_PAUSE_REFUSAL_MS;
  if (now_ms - t->tick_ms > RUNNER_RELEARN_GAP_MS)
    t->learn_until_ms = now_ms + RUNNER_RELEARN_MS;
  t->tick_ms = now_ms;
  while (r)
    {
      struct runner *next = TAILQ_NEXT (r, link);
      unlist_stale (t, r, now_ms);
      if (record_expired (r, now_ms))
        {
          if (r->changed_version > t->oldest_delta)
            t->oldest_delta = r->changed_version;
          free_runner (t, r);
        }
      r = next;
    }
}

const struct runner_list *
runner_table_list (const struct runner_table *t)
{
  return &t->runners;
}

uint64_t
runner_table_generation (const struct runner_table *t)
{
  return t->generation;
}

bool
runner_table_learning (const struct runner_table *t, int64_t now_ms)
{
  return now_ms - t->started_ms < LEARNING_PERIOD_MS || now_ms < t->learn_until_ms
         || now_ms - t->tick_ms > RUNNER_RELEARN_GAP_MS;
}

void
runner_hold (struct runner *r)
{
  r->references++;
}

void
runner_release (struct runner *r)
{
  r->references--;
}
