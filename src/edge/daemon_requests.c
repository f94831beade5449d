/* Caller side of one VM: runners, routing, limits and the proxy.  */
#include <stdlib.h>
#include <string.h>

#include "daemon_internal.h"
#include "log.h"

#define DIGEST_TIMEOUT_MS 1000

/* Pending digest call to one peer.  */
struct digest_call
{
  LIST_ENTRY (digest_call) link;
  struct daemon *daemon;
  struct runner_peer *peer;
};

static bool
lookup_limits (void *arg, const char *customer, struct limit_plan *out)
{
  const struct daemon *d = arg;
  const struct plan *p = plans_for_customer (registry_plans (d->registry), customer);
  if (!p)
    return false;
  out->concurrency = (uint32_t)p->urgent_concurrency;
  out->rate = (uint32_t)p->requests_per_s;
  out->share = 0;
  out->no_requests = out->concurrency == 0 || out->rate == 0;
  return true;
}

static bool
plans_are_loaded (void *arg)
{
  return ((const struct daemon *)arg)->registry_known;
}

/* Counts the entry VMs, draining ones too; *RANK is the index of this VM among them.  */
static unsigned
count_entries (const struct daemon *d, unsigned *rank)
{
  const registry_member *all;
  size_t n = registry_members (d->registry, &all);
  unsigned count = 0;
  *rank = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (strcmp (all[i].vm, d->settings->vm) == 0)
        *rank = count;
      count++;
    }
  if (n == 0)
    {
      *rank = (unsigned)(d->self - d->settings->members.items);
      count = (unsigned)d->settings->members.count;
    }
  return count;
}

static void
list_nearby_data_centres (const struct daemon *d, struct router_config *config)
{
  const struct member_list *all = &d->settings->members;
  for (size_t i = 0; i < all->count && config->near_count < ROUTER_MAX_NEAR; i++)
    {
      const registry_member *m = &all->items[i];
      bool known = strcmp (m->data_centre, d->settings->data_centre) == 0;
      for (unsigned k = 0; k < config->near_count; k++)
        known = known || strcmp (config->near[k], m->data_centre) == 0;
      if (!known && strcmp (m->region, d->settings->region) == 0)
        snprintf (config->near[config->near_count++], RUNNER_NAME_BYTES, "%s", m->data_centre);
    }
}

static void
on_runners_changed (void *arg)
{
  struct daemon *d = arg;
  daemon_tick_requests (d, clock_now_ms (d->clock));
}

int
daemon_open_requests (struct daemon *d, struct status *st)
{
  int64_t now_ms = clock_now_ms (d->clock);
  struct router_config rc
      = { .far_bytes_per_s = ROUTER_FAR_BYTES_PER_S, .seed = rng_next (&d->rng) };
  const struct limit_source source
      = { .lookup = lookup_limits, .known = plans_are_loaded, .arg = d };
  snprintf (rc.data_centre, sizeof rc.data_centre, "%s", d->settings->data_centre);
  rc.entries = count_entries (d, &rc.rank);
  list_nearby_data_centres (d, &rc);
  d->runners = runner_table_open (d->incarnation, now_ms);
  router_init (&d->router, &rc, d->runners, now_ms);
  d->limit = limit_open (&source, rc.entries, now_ms);
  intent_log_init (&d->intents, proposal_router_proposer (d->proposals), d->registry, &d->rng);
  d->runner_api = (struct runner_api){ .table = d->runners,
                                       .clock = d->clock,
                                       .data_centre = d->settings->data_centre,
                                       .changed = on_runners_changed,
                                       .changed_arg = d };
  const struct proxy_config pc = { .address = d->settings->callers,
                                   .clock = d->clock,
                                   .table = d->runners,
                                   .router = &d->router,
                                   .limit = d->limit,
                                   .intents = &d->intents.store,
                                   .seed = rng_next (&d->rng),
                                   .connections = &d->connections };
  d->proxy = proxy_open (d->loop, &pc, st);
  return d->proxy ? 0 : -1;
}

void
daemon_update_entries (struct daemon *d)
{
  unsigned rank;
  unsigned entries = count_entries (d, &rank);
  router_set_entries (&d->router, entries, rank, clock_now_ms (d->clock));
  limit_set_entries (d->limit, entries);
}

static void
on_digest_reply (void *arg, const struct status *st, const runner_digest_reply *reply)
{
  struct digest_call *call = arg;
  if (status_ok (st))
    runner_table_handle_reply (call->daemon->runners, call->peer, reply);
  else
    runner_table_digest_failed (call->peer);
  LIST_REMOVE (call, link);
  free (call);
}

static void
send_digest (struct daemon *d, const struct peer_info *info, struct runner_peer *peer,
             int64_t now_ms)
{
  struct runner_digest digest;
  struct digest_call *call = xcalloc (1, sizeof *call);
  call->daemon = d;
  call->peer = peer;
  LIST_INSERT_HEAD (&d->digest_calls, call, link);
  runner_table_make_digest (d->runners, peer, now_ms, &digest);
  limit_report (d->limit, info->name, now_ms, &digest);
  peer_call_runners (d->net, info->node, &digest, DIGEST_TIMEOUT_MS, on_digest_reply, call);
  runner_digest_free (&digest);
}

static void
send_due_digests (struct daemon *d, int64_t now_ms)
{
  size_t n = peer_net_peer_count (d->net);
  for (size_t i = 0; i < n; i++)
    {
      struct peer_info info;
      if (!peer_net_peer_at (d->net, i, &info) || !info.connected)
        continue;
      struct runner_peer *peer = runner_table_peer (d->runners, info.name);
      if (runner_table_digest_due (d->runners, peer, now_ms))
        send_digest (d, &info, peer, now_ms);
    }
}

void
daemon_tick_requests (struct daemon *d, int64_t now_ms)
{
  runner_table_tick (d->runners, now_ms);
  intent_log_tick (&d->intents, now_ms);
  send_due_digests (d, now_ms);
  uint64_t generation = runner_table_generation (d->runners);
  if (generation == d->runners_generation)
    return;
  d->runners_generation = generation;
  proxy_wake (d->proxy);
}

void
daemon_receive_runners (struct daemon *d, const struct peer_info *from, const runner_digest *digest,
                        struct peer_reply *reply)
{
  runner_digest_reply answer = { 0 };
  int64_t now_ms = clock_now_ms (d->clock);
  if (!d->runners)
    {
      peer_reply_refuse (reply);
      return;
    }
  struct runner_peer *peer = runner_table_peer (d->runners, from->name);
  runner_table_handle_digest (d->runners, peer, digest, now_ms, &answer);
  limit_handle_report (d->limit, from->name, digest, now_ms);
  peer_reply_runners (reply, &answer);
}

void
daemon_peer_connected (struct daemon *d, const struct peer_info *peer)
{
  if (d->runners)
    runner_peer_connected (runner_table_peer (d->runners, peer->name));
}

void
daemon_close_requests (struct daemon *d)
{
  struct digest_call *call;
  /* The transport is closed and reports no results any more.  */
  while ((call = LIST_FIRST (&d->digest_calls)) != NULL)
    {
      LIST_REMOVE (call, link);
      free (call);
    }
  proxy_close (d->proxy);
  intent_log_close (&d->intents);
  router_close (&d->router);
  limit_close (d->limit);
  runner_table_close (d->runners);
}
