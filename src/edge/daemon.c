#include "daemon.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "daemon_internal.h"
#include "incarnation.h"
#include "log.h"

#define MS_PER_S 1000.0
#define STOP_TRANSFER_TIMEOUT_MS 5000 /* and for operator, backend requests; none for the proxy */

static void
dump_state (struct daemon *d)
{
  json_t *state = daemon_state (d);
  json_dumpf (state, stdout, JSON_COMPACT);
  putchar ('\n');
  fflush (stdout);
  json_decref (state);
}

static bool
may_exit (const struct daemon *d, int64_t now_ms)
{
  if (!d->proxy_drained)
    return false;
  bool settled = !daemon_leads_any_group (d) && http_server_open_requests (d->operator_server) == 0
                 && http_server_open_requests (d->backend_server) == 0;
  return settled || now_ms >= d->stop_deadline_ms;
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  struct daemon *d = w->data;
  struct status st;
  int64_t now_ms = clock_now_ms (d->clock);
  (void)events;
  if (daemon_bootstrap (d, &st) < 0)
    {
      log_line (LOG_ERROR, "cannot open the groups: %s", st.message);
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  daemon_tick_groups (d, now_ms);
  daemon_tick_requests (d, now_ms);
  if (d->stopping && may_exit (d, now_ms))
    ev_break (loop, EVBREAK_ALL);
}

static void
on_flush (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void)loop;
  (void)events;
  daemon_flush_groups (w->data);
}

static void
on_flush_idle (struct ev_loop *loop, ev_idle *w, int events)
{
  (void)loop;
  (void)w;
  (void)events;
}

static void
on_proxy_drained (void *arg)
{
  struct daemon *d = arg;
  d->proxy_drained = true;
}

static void
on_drain_delay (struct ev_loop *loop, ev_timer *w, int events)
{
  struct daemon *d = w->data;
  (void)loop;
  (void)events;
  log_line (LOG_INFO, "accepting no new connections; waiting for requests in flight");
  proxy_drain (d->proxy, on_proxy_drained, d);
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  struct daemon *d = w->data;
  (void)events;
  if (d->stopping)
    {
      log_line (LOG_WARN, "second stop signal: exiting immediately");
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  log_line (LOG_INFO, "planned stop: failing the health check");
  d->stopping = true;
  d->stop_deadline_ms = clock_now_ms (d->clock) + STOP_TRANSFER_TIMEOUT_MS;
  daemon_transfer_leadership (d);
  ev_timer_start (loop, &d->drain_timer);
}

static void
on_dump_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  (void)loop;
  (void)events;
  dump_state (w->data);
}

static void
start_watchers (struct daemon *d)
{
  ev_timer_init (&d->tick, on_tick, 0.0, DAEMON_TICK_MS / MS_PER_S);
  ev_timer_init (&d->drain_timer, on_drain_delay, DAEMON_DRAIN_DELAY_MS / MS_PER_S, 0.0);
  ev_prepare_init (&d->flush, on_flush);
  ev_idle_init (&d->flush_idle, on_flush_idle);
  ev_signal_init (&d->on_term, on_stop_signal, SIGTERM);
  ev_signal_init (&d->on_int, on_stop_signal, SIGINT);
  ev_signal_init (&d->on_dump, on_dump_signal, SIGUSR1);
  d->tick.data = d;
  d->drain_timer.data = d;
  d->flush.data = d;
  d->on_term.data = d;
  d->on_int.data = d;
  d->on_dump.data = d;
  ev_timer_start (d->loop, &d->tick);
  ev_prepare_start (d->loop, &d->flush);
  ev_signal_start (d->loop, &d->on_term);
  ev_signal_start (d->loop, &d->on_int);
  ev_signal_start (d->loop, &d->on_dump);
}

static uint64_t
random_seed (void)
{
  uint64_t seed = 0;
  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    seed = (uint64_t)clock_wall_ms ();
  return seed;
}

static struct daemon *
new_daemon (const struct settings *settings)
{
  struct daemon *d = xcalloc (1, sizeof *d);
  d->settings = settings;
  d->loop = ev_default_loop (0);
  d->clock = clock_real ();
  d->node = settings->node;
  d->self = members_find (&settings->members, settings->vm);
  d->has_disk = settings->data_dir[0] != '\0';
  rng_init (&d->rng, random_seed ());
  return d;
}

static void
open_registry (struct daemon *d)
{
  d->registry = registry_new ();
  const struct proposal_router_config router
      = { .clock = d->clock, .registry = d->registry, .node = d->node };
  d->proposals = proposal_router_open (&router);
  const struct registry_service_config config
      = { .registry = d->registry,
          .proposer = proposal_router_proposer (d->proposals),
          .clock = d->clock,
          .members = &d->settings->members };
  d->registry_service = registry_service_open (&config);
}

struct daemon *
daemon_open (const struct settings *settings, struct status *st)
{
  struct daemon *d = new_daemon (settings);
  signal (SIGPIPE, SIG_IGN);
  connection_limit_init (&d->connections, 0);
  open_registry (d);
  if (!d->self)
    status_set (st, STATUS_INVALID_SETTING, "vm '%s' is not in the members file", settings->vm);
  if (!d->self || incarnation_next (settings->data_dir, &d->incarnation, st) < 0
      || daemon_open_requests (d, st) < 0 || daemon_open_http (d, st) < 0
      || daemon_open_peers (d, st) < 0)
    {
      daemon_close (d);
      return NULL;
    }
  proposal_router_set_net (d->proposals, d->net);
  start_watchers (d);
  log_line (LOG_INFO, "started: callers %s, backend servers %s, operators %s, peers %s%s",
            settings->callers, settings->backends, settings->operators, settings->peers,
            d->has_disk ? "" : ", no disk");
  return d;
}

int
daemon_run (struct daemon *d)
{
  ev_run (d->loop, 0);
  log_line (LOG_INFO, "stopped");
  return d->stopping ? 0 : 1;
}

void
daemon_close (struct daemon *d)
{
  if (!d)
    return;
  daemon_close_groups (d);
  if (d->net)
    peer_net_close (d->net);
  daemon_close_http (d);
  proposal_router_close (d->proposals);
  if (d->runners)
    daemon_close_requests (d);
  connection_limit_close (&d->connections);
  registry_free (d->registry);
  free (d);
}
