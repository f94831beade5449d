/* Digests of the runner table between entries; see runner_table.h.  */
#include "runner_table_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

struct runner_peer *
runner_table_peer (struct runner_table *t, const char *entry)
{
  struct runner_peer *p;
  SLIST_FOREACH (p, &t->peers, link)
  if (strcmp (p->entry, entry) == 0)
    return p;
  p = xcalloc (1, sizeof *p);
  p->table = t;
  p->send_now = true;
  snprintf (p->entry, sizeof p->entry, "%s", entry);
  LIST_INIT (&p->leases);
  SLIST_INSERT_HEAD (&t->peers, p, link);
  return p;
}

void
runner_peer_connected (struct runner_peer *p)
{
  p->acked = false;
  p->echo = 0;
  p->waiting = false;
  p->send_now = true;
}

void
runner_lease_drop (struct runner_lease *lease)
{
  LIST_REMOVE (lease, runner_link);
  LIST_REMOVE (lease, peer_link);
  free (lease);
}

static struct runner_lease *
find_lease (const struct runner *r, const struct runner_peer *p)
{
  struct runner_lease *lease;
  LIST_FOREACH (lease, &r->leases, runner_link)
  if (lease->peer == p)
    return lease;
  return NULL;
}

static void
add_lease (struct runner *r, struct runner_peer *p)
{
  if (find_lease (r, p))
    return;
  struct runner_lease *lease = xcalloc (1, sizeof *lease);
  lease->runner = r;
  lease->peer = p;
  LIST_INSERT_HEAD (&r->leases, lease, runner_link);
  LIST_INSERT_HEAD (&p->leases, lease, peer_link);
}

bool
runner_table_digest_due (const struct runner_table *t, const struct runner_peer *p, int64_t now_ms)
{
  (void)t;
  if (p->waiting)
    return false;
  return p->send_now || now_ms - p->sent_ms >= RUNNER_DIGEST_INTERVAL_MS;
}

static void
fill_entry (const struct runner *r, struct runner_entry *out)
{
  const struct runner_info *i = &r->info;
  out->id = xstrdup (i->id);
  out->service = xstrdup (i->service);
  out->data_centre = xstrdup (i->data_centre);
  out->address = xstrdup (i->address);
  out->incarnation = i->incarnation;
  out->slots = r->listed && !r->departing ? i->slots : 0;
  out->connections = i->connections;
  out->in_flight = i->in_flight;
  out->departing = r->departing;
}

static bool
in_digest (const struct runner *r, bool full, uint64_t base)
{
  if (full)
    return r->listed;
  return r->changed_version > base;
}

static unsigned
count_entries (const struct runner_table *t, bool full, uint64_t base)
{
  const struct runner *r;
  unsigned n = 0;
  TAILQ_FOREACH (r, &t->runners, link)
  if (in_digest (r, full, base))
    n++;
  return n;
}

/* Called for live runners first: a full digest over PEER_MAX_RUNNERS leaves out departures, those
   whose records were added last.  */
static void
fill_entries (const struct runner_table *t, struct runner_digest *out, bool departing, unsigned max)
{
  const struct runner *r;
  TAILQ_FOREACH (r, &t->runners, link)
  if (r->departing == departing && in_digest (r, out->full, out->base_version)
      && out->runners.runners_len < max)
    fill_entry (r, &out->runners.runners_val[out->runners.runners_len++]);
}

void
runner_table_make_digest (struct runner_table *t, struct runner_peer *p, int64_t now_ms,
                          struct runner_digest *out)
{
  memset (out, 0, sizeof *out);
  runner_table_tick (t, now_ms);
  out->table_version = t->version;
  out->full = !p->acked || p->acked_version < t->oldest_delta || p->acked_version > t->version;
  out->base_version = p->acked_version;
  out->full |= count_entries (t, false, out->base_version) > PEER_MAX_RUNNERS;
  if (out->full)
    out->base_version = 0;
  out->echo = p->echo;
  unsigned n = count_entries (t, out->full, out->base_version);
  n = n < PEER_MAX_RUNNERS ? n : PEER_MAX_RUNNERS;
  out->runners.runners_val = xcalloc (n, sizeof (struct runner_entry));
  fill_entries (t, out, false, n);
  fill_entries (t, out, true, n);
  p->waiting = true;
  p->send_now = false;
  p->sent_ms = now_ms;
}

void
runner_digest_free (struct runner_digest *d)
{
  for (unsigned i = 0; i < d->runners.runners_len; i++)
    {
      struct runner_entry *e = &d->runners.runners_val[i];
      free (e->id);
      free (e->service);
      free (e->data_centre);
      free (e->address);
    }
  for (unsigned i = 0; i < d->usage.usage_len; i++)
    free (d->usage.usage_val[i].customer);
  free (d->runners.runners_val);
  free (d->usage.usage_val);
  memset (d, 0, sizeof *d);
}

static void
copy_info (const struct runner_entry *e, struct runner_info *info)
{
  memset (info, 0, sizeof *info);
  snprintf (info->id, sizeof info->id, "%s", e->id);
  snprintf (info->service, sizeof info->service, "%s", e->service);
  snprintf (info->data_centre, sizeof info->data_centre, "%s", e->data_centre);
  snprintf (info->address, sizeof info->address, "%s", e->address);
  info->incarnation = e->incarnation;
  info->slots = e->slots;
  info->connections = e->connections;
  info->in_flight = e->in_flight;
}

static void
apply_departure (struct runner_table *t, const struct runner_info *info, int64_t now_ms)
{
  struct runner *r = runner_table_add (t, info->id);
  if (!r || info->incarnation < r->info.incarnation)
    return;
  if (info->incarnation > r->info.incarnation)
    runner_table_replace_incarnation (t, r, info);
  runner_table_set_departing (t, r, now_ms);
}

static void
apply_entry (struct runner_table *t, struct runner_peer *p, const struct runner_entry *e,
             int64_t now_ms)
{
  struct runner_info info;
  copy_info (e, &info);
  if (e->departing)
    {
      apply_departure (t, &info, now_ms);
      return;
    }
  struct runner *r = runner_table_find (t, info.id);
  if (e->slots == 0)
    {
      struct runner_lease *lease = r ? find_lease (r, p) : NULL;
      if (lease)
        {
          r->unlisted_ms = now_ms;
          runner_lease_drop (lease);
        }
      return;
    }
  if (!runner_info_valid (&info, NULL) || (r && info.incarnation < r->info.incarnation))
    return;
  if (!r && !(r = runner_table_add (t, info.id)))
    return;
  if (r->departing && info.incarnation == r->info.incarnation)
    return;
  if (info.incarnation > r->info.incarnation || !r->info.service[0])
    runner_table_replace_incarnation (t, r, &info);
  if (!r->announced_ms || now_ms - r->announced_ms >= RUNNER_LIFETIME_MS)
    {
      r->info = info;
      runner_table_report (r, info.in_flight, now_ms);
    }
  if (!runner_live (r, now_ms))
    t->generation++;
  add_lease (r, p);
}

static void
drop_all_leases (struct runner_peer *p)
{
  while (!LIST_EMPTY (&p->leases))
    runner_lease_drop (LIST_FIRST (&p->leases));
}

/* The digest was sent after this entry sent the clock value that it echoes, so it was valid at that
   time or later.  A value in the future is from an earlier boot and renews nothing.  */
static void
renew_leases (struct runner_table *t, struct runner_peer *p, uint64_t echo, int64_t now_ms)
{
  if (echo == 0 || echo > (uint64_t)now_ms)
    return;
  int64_t expires = (int64_t)echo + RUNNER_DIGEST_LIFETIME_MS;
  if (p->expires_ms <= now_ms && expires > now_ms)
    t->generation++;
  if (expires > p->expires_ms)
    p->expires_ms = expires;
}

void
runner_table_handle_digest (struct runner_table *t, struct runner_peer *p,
                            const struct runner_digest *d, int64_t now_ms,
                            struct runner_digest_reply *reply)
{
  bool older = d->table_version < p->held_version;
  bool fits = d->full || (d->base_version <= p->held_version && p->held_version > 0);
  if (!older && fits)
    {
      if (d->full)
        drop_all_leases (p);
      for (unsigned i = 0; i < d->runners.runners_len; i++)
        apply_entry (t, p, &d->runners.runners_val[i], now_ms);
      p->held_version = d->table_version;
      renew_leases (t, p, d->echo, now_ms);
    }
  reply->table_version = p->held_version;
  reply->asked = (uint64_t)now_ms;
}

void
runner_table_handle_reply (struct runner_table *t, struct runner_peer *p,
                           const struct runner_digest_reply *reply)
{
  bool first = p->echo == 0;
  p->waiting = false;
  p->echo = reply->asked;
  p->acked = true;
  p->acked_version = reply->table_version;
  if (first || reply->table_version != t->version)
    p->send_now = true;
}

void
runner_table_digest_failed (struct runner_peer *p)
{
  runner_peer_connected (p);
  p->send_now = false;
}
