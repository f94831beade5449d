/* HTTP servers for backend servers and operators, and the state dump.  */
#include <string.h>

#include "counters.h"
#include "daemon_internal.h"

#define BACKEND_MAX_BODY_BYTES (1024 * 1024)

static struct counter backend_requests
    = { .name = "sassafras_backend_requests_total", .help = "Requests of runners and workers." };
static struct counter operator_requests
    = { .name = "sassafras_operator_requests_total", .help = "Requests of operators." };

static void
reply_not_found (struct http_request *req)
{
  http_reply_error (req, STATUS_NOT_FOUND, "no endpoint %s %s", req->method, req->path);
}

static void
handle_runner (struct daemon *d, struct http_request *req, bool announce)
{
  if (strcmp (req->method, "POST") != 0)
    http_reply_error (req, STATUS_METHOD_NOT_ALLOWED, "use POST");
  else if (announce)
    runner_api_announce (&d->runner_api, req);
  else
    runner_api_depart (&d->runner_api, req);
}

static void
on_backend_request (void *arg, struct http_request *req)
{
  struct daemon *d = arg;
  struct status st;
  counter_add (&backend_requests, 1);
  if (d->stopping)
    {
      status_set (&st, STATUS_SHUTTING_DOWN, "this VM is stopping; use another");
      http_reply_status (req, &st);
    }
  else if (strcmp (req->path, "/v1/runners/announce") == 0)
    handle_runner (d, req, true);
  else if (strcmp (req->path, "/v1/runners/depart") == 0)
    handle_runner (d, req, false);
  else if (!worker_api_handle (&d->worker_api, req))
    reply_not_found (req);
}

static const char *
unhealthy_reason (const struct daemon *d)
{
  struct group_stats stats;
  if (d->stopping)
    return "stopping";
  if (daemon_is_draining (d))
    return "draining";
  if (!d->groups_open)
    return "waiting to learn whether the groups exist";
  if (!d->registry_known)
    return "the registry is not known yet";
  for (size_t i = 0; i < d->group_count; i++)
    {
      group_stats (d->groups[i].group, &stats);
      if (stats.disk_failed)
        return "the disk failed";
    }
  return NULL;
}

static void
handle_health (struct daemon *d, struct http_request *req)
{
  const char *reason = unhealthy_reason (d);
  http_reply_json (req, reason ? 503 : 200,
                   json_pack ("{s:s, s:s}", "status", reason ? "unhealthy" : "ok", "reason",
                              reason ? reason : ""));
}

static void
on_operator_request (void *arg, struct http_request *req)
{
  struct daemon *d = arg;
  counter_add (&operator_requests, 1);
  if (strcmp (req->path, "/healthz") == 0)
    {
      handle_health (d, req);
      return;
    }
  if (!operator_api_authorized (d->operator_api, req))
    return;
  if (!job_api_handle (&d->job_api, req) && !operator_api_handle (d->operator_api, req))
    reply_not_found (req);
}

static json_t *
group_json (const struct daemon_group *g)
{
  struct group_stats s;
  group_stats (g->group, &s);
  json_t *peers = json_array ();
  for (size_t i = 0; i < s.peers_len; i++)
    json_array_append_new (
        peers, json_pack ("{s:I, s:b, s:b, s:b, s:I}", "node", (json_int_t)s.peers[i].node, "voter",
                          s.peers[i].voter, "active", s.peers[i].active, "wrong_store",
                          s.peers[i].wrong_store, "match", (json_int_t)s.peers[i].match));
  return json_pack ("{s:I, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:b, s:o}",
                    "group", (json_int_t)g->id, "name",
                    g->cell ? cell_service_data_centre (g->cell) : "registry", "leads",
                    group_is_leader (g->group) ? 1 : 0, "term", (json_int_t)s.term, "leader",
                    (json_int_t)s.leader, "commit", (json_int_t)s.commit, "applied",
                    (json_int_t)s.applied, "snapshot_index", (json_int_t)s.snapshot_index,
                    "snapshot_bytes", (json_int_t)s.snapshot_bytes, "log_bytes",
                    (json_int_t)s.log_bytes, "syncs", (json_int_t)s.syncs, "pending",
                    (json_int_t)s.pending, "disk_failed", s.disk_failed ? 1 : 0, "peers", peers);
}

static json_t *
peers_json (const struct daemon *d)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < peer_net_peer_count (d->net); i++)
    {
      struct peer_info p;
      if (!peer_net_peer_at (d->net, i, &p))
        continue;
      json_array_append_new (list,
                             json_pack ("{s:s, s:I, s:b, s:I, s:I, s:I, s:I}", "vm", p.name, "node",
                                        (json_int_t)p.node, "connected", p.connected ? 1 : 0,
                                        "sent_bytes", (json_int_t)p.stats.sent_bytes,
                                        "received_bytes", (json_int_t)p.stats.received_bytes,
                                        "refused_hellos", (json_int_t)p.stats.refused_hellos,
                                        "failed_calls", (json_int_t)p.stats.failed_calls));
    }
  return list;
}

static json_t *
runners_json (const struct daemon *d)
{
  json_t *list = json_array ();
  const struct runner *r;
  int64_t now_ms = clock_now_ms (d->clock);
  TAILQ_FOREACH (r, runner_table_list (d->runners), link)
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:f, s:b}", "id", r->info.id, "service",
                 r->info.service, "data_centre", r->info.data_centre, "address", r->info.address,
                 "live", runner_live (r, now_ms) ? 1 : 0, "departing", r->departing ? 1 : 0,
                 "slots", (int)r->info.slots, "in_flight", (int)r->load.in_flight, "limit",
                 r->load.limit, "ejected", r->load.ejected_until_ms > now_ms ? 1 : 0));
  return list;
}

static json_t *
proxy_json (const struct daemon *d)
{
  struct proxy_stats s;
  proxy_stats (d->proxy, &s);
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i, s:i}", "requests",
                    (json_int_t)s.requests, "tries", (json_int_t)s.tries, "retries",
                    (json_int_t)s.retries, "hedges", (json_int_t)s.hedges, "refused",
                    (json_int_t)s.refused, "broken", (json_int_t)s.broken, "open", (int)s.open,
                    "queued", (int)s.queued, "connections", (int)s.connections);
}

static void
add_state (void *arg, json_t *state)
{
  struct daemon *d = arg;
  json_t *groups = json_array ();
  json_t *cells = json_array ();
  for (size_t i = 0; i < d->group_count; i++)
    json_array_append_new (groups, group_json (&d->groups[i]));
  for (size_t i = 0; i < d->cell_count; i++)
    json_array_append_new (cells, cell_service_state (d->cells[i]));
  json_object_set_new (state, "node", json_integer ((json_int_t)d->node));
  json_object_set_new (state, "stopping", json_boolean (d->stopping));
  json_object_set_new (state, "groups", groups);
  json_object_set_new (state, "cells", cells);
  json_object_set_new (state, "permits", registry_service_state (d->registry_service));
  json_object_set_new (state, "peers", peers_json (d));
  json_object_set_new (state, "runners", runners_json (d));
  json_object_set_new (state, "requests", proxy_json (d));
}

json_t *
daemon_state (struct daemon *d)
{
  return operator_api_state (d->operator_api);
}

static void
on_registry_change (void *arg, struct registry *r, unsigned changes)
{
  struct daemon *d = arg;
  (void)r;
  if (changes & REGISTRY_CHANGED_LISTS)
    for (size_t i = 0; i < d->cell_count; i++)
      cell_service_plans_changed (d->cells[i]);
  if (changes & REGISTRY_CHANGED_MEMBERS)
    {
      daemon_update_peers (d);
      daemon_update_entries (d);
    }
}

int
daemon_open_http (struct daemon *d, struct status *st)
{
  const struct operator_api_config api = { .registry = d->registry,
                                           .proposer = proposal_router_proposer (d->proposals),
                                           .clock = d->clock,
                                           .vm = d->settings->vm,
                                           .data_centre = d->settings->data_centre,
                                           .token = d->settings->token,
                                           .add_state = add_state,
                                           .add_state_arg = d,
                                           .on_change = on_registry_change,
                                           .on_change_arg = d };
  const struct http_server_config backend = { .address = d->settings->backends,
                                              .max_body = BACKEND_MAX_BODY_BYTES,
                                              .handler = on_backend_request,
                                              .handler_arg = d,
                                              .budget = &d->bodies,
                                              .connections = &d->connections };
  const struct http_server_config operators = { .address = d->settings->operators,
                                                .max_body = OPERATOR_API_MAX_BODY_BYTES,
                                                .handler = on_operator_request,
                                                .handler_arg = d,
                                                .budget = &d->bodies,
                                                .connections = &d->connections };
  memory_budget_init (&d->bodies, d->settings->memory_mb);
  d->worker_api = (struct worker_api){ .registry = d->registry,
                                       .cells = d->cells,
                                       .cell_count = &d->cell_count };
  d->job_api = (struct job_api){ .registry = d->registry,
                                 .proposer = proposal_router_proposer (d->proposals),
                                 .cells = d->cells,
                                 .cell_count = &d->cell_count,
                                 .registry_known = &d->registry_known };
  d->operator_api = operator_api_open (&api);
  d->backend_server = http_server_open (d->loop, &backend, st);
  if (!d->backend_server)
    return -1;
  d->operator_server = http_server_open (d->loop, &operators, st);
  return d->operator_server ? 0 : -1;
}

void
daemon_close_http (struct daemon *d)
{
  http_server_close (d->operator_server);
  http_server_close (d->backend_server);
  memory_budget_close (&d->bodies);
  operator_api_close (d->operator_api);
}
