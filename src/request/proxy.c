#include "proxy_internal.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counters.h"
#include "log.h"

#define MAX_REQUESTS 1200     /* with buffers of up to 192 KiB each, under 256 MB in all */
#define TICK_S 0.02           /* interval of the periodic queue check */
#define RUNNER_CONNECTIONS 64 /* per runner, shared by all entry VMs */

static struct counter requests_total
    = { .name = "sassafras_proxy_requests_total", .help = "Requests of callers." };
static struct counter tries_total
    = { .name = "sassafras_proxy_tries_total", .help = "Requests sent to runners." };
static struct counter retries_total
    = { .name = "sassafras_proxy_retries_total", .help = "Tries after a failed one." };
static struct counter hedges_total
    = { .name = "sassafras_proxy_hedges_total", .help = "Second tries beside a slow one." };
static struct counter refused_total
    = { .name = "sassafras_proxy_refused_total", .help = "Requests answered as not run." };
static struct counter broken_total
    = { .name = "sassafras_proxy_broken_total", .help = "Answers that ended early." };
static struct counter open_requests = { .name = "sassafras_proxy_open_requests",
                                        .help = "Requests without a complete answer.",
                                        .is_gauge = true };

int64_t
proxy_now (const struct proxy *p)
{
  return clock_now_ms (p->config.clock);
}

static void
start_deferred (struct proxy *p)
{
  if (!ev_is_active (&p->deferred_timer))
    {
      ev_timer_set (&p->deferred_timer, 0.0, 0.0);
      ev_timer_start (p->loop, &p->deferred_timer);
    }
}

void
proxy_defer (struct proxy_call *call)
{
  struct proxy *p = call->proxy;
  if (call->deferred)
    return;
  call->deferred = true;
  STAILQ_INSERT_TAIL (&p->deferred, call, deferred_link);
  start_deferred (p);
}

void
proxy_schedule_dispatch (struct proxy *p)
{
  if (p->closing)
    return;
  p->dispatch_scheduled = true;
  start_deferred (p);
}

static void
dispatch_all (struct proxy *p)
{
  struct proxy_service *s;
  p->dispatch_scheduled = false;
  SLIST_FOREACH (s, &p->services, link)
  if (admission_queued (s->admission) > 0)
    service_dispatch (s);
}

static void
on_deferred (struct ev_loop *loop, ev_timer *w, int events)
{
  struct proxy *p = w->data;
  (void)loop;
  (void)events;
  while (!STAILQ_EMPTY (&p->deferred))
    {
      struct proxy_call *call = STAILQ_FIRST (&p->deferred);
      STAILQ_REMOVE_HEAD (&p->deferred, deferred_link);
      call->deferred = false;
      call_step (call);
      call_free_when_done (call);
    }
  if (p->dispatch_scheduled)
    dispatch_all (p);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  struct proxy *p = w->data;
  struct proxy_call *call;
  (void)loop;
  (void)events;
  dispatch_all (p);
  LIST_FOREACH (call, &p->calls, link)
  caller_watch (call);
  counter_set (&requests_total, (int64_t)p->stats.requests);
  counter_set (&tries_total, (int64_t)p->stats.tries);
  counter_set (&retries_total, (int64_t)p->stats.retries);
  counter_set (&hedges_total, (int64_t)p->stats.hedges);
  counter_set (&refused_total, (int64_t)p->stats.refused);
  counter_set (&broken_total, (int64_t)p->stats.broken);
  counter_set (&open_requests, p->stats.open);
}

static void
start_timers (struct proxy *p)
{
  ev_timer_init (&p->deferred_timer, on_deferred, 0.0, 0.0);
  ev_timer_init (&p->tick, on_tick, TICK_S, TICK_S);
  p->deferred_timer.data = p;
  p->tick.data = p;
  ev_timer_start (p->loop, &p->tick);
}

struct proxy *
proxy_open (struct ev_loop *loop, const struct proxy_config *config, struct status *st)
{
  struct sockaddr_in address;
  if (http_parse_address (config->address, &address, st) < 0)
    return NULL;
  struct proxy *p = xcalloc (1, sizeof *p);
  p->loop = loop;
  p->config = *config;
  if (p->config.max_requests == 0)
    p->config.max_requests = MAX_REQUESTS;
  rng_init (&p->rng, config->seed);
  STAILQ_INIT (&p->deferred);
  p->sockets = xcalloc (PROXY_MAX_FD, sizeof *p->sockets);
  p->daemon = caller_listen (p, &address);
  if (!p->daemon)
    {
      status_set (st, STATUS_INTERNAL, "cannot listen on %s", config->address);
      free (p->sockets);
      free (p);
      return NULL;
    }
  unsigned entries = config->router->config.entries;
  p->client = http_client_open (loop, (RUNNER_CONNECTIONS + (long)entries - 1) / (long)entries);
  p->http_loop = http_loop_open (loop, p->daemon);
  start_timers (p);
  return p;
}

static void
free_calls (struct proxy *p)
{
  while (!LIST_EMPTY (&p->calls))
    call_free (LIST_FIRST (&p->calls));
}

void
proxy_close (struct proxy *p)
{
  struct proxy_call *call;
  if (!p)
    return;
  p->closing = true;
  p->drained = NULL;
  LIST_FOREACH (call, &p->calls, link)
  caller_resume (call);
  http_loop_close (p->http_loop);
  p->http_loop = NULL;
  MHD_stop_daemon (p->daemon);
  free_calls (p);
  ev_timer_stop (p->loop, &p->tick);
  ev_timer_stop (p->loop, &p->deferred_timer);
  http_client_close (p->client);
  while (p->idle_easy_count > 0)
    curl_easy_cleanup (p->idle_easy[--p->idle_easy_count]);
  service_free_all (p);
  free (p->sockets);
  free (p);
}

int
proxy_port (const struct proxy *p)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (p->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

void
proxy_wake (struct proxy *p)
{
  proxy_schedule_dispatch (p);
}

/* The kernel has accepted the connections in the backlog: a drain serves them as in flight.  */
static void
accept_backlog (struct proxy *p, MHD_socket listener)
{
  struct sockaddr_storage address;
  socklen_t len = sizeof address;
  int fd;
  while ((fd = accept4 (listener, (struct sockaddr *)&address, &len, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (p->daemon, fd, (struct sockaddr *)&address, len);
      len = sizeof address;
    }
  close (listener);
}

void
proxy_check_drained (struct proxy *p)
{
  if (!p->draining || p->closing || !p->drained || p->stats.open > 0 || p->stats.connections > 0)
    return;
  proxy_drained_fn *done = p->drained;
  p->drained = NULL;
  log_line (LOG_INFO, "proxy drained");
  done (p->drained_arg);
}

void
proxy_drain (struct proxy *p, proxy_drained_fn *done, void *arg)
{
  struct proxy_connection *c;
  if (p->draining)
    return;
  p->draining = true;
  p->drained = done;
  p->drained_arg = arg;
  log_line (LOG_INFO, "proxy draining: %u requests open, %u connections", p->stats.open,
            p->stats.connections);
  MHD_socket listener = MHD_quiesce_daemon (p->daemon);
  if (listener != MHD_INVALID_SOCKET)
    accept_backlog (p, listener);
  LIST_FOREACH (c, &p->connections, link)
  if (!c->busy)
    {
      c->receive_closed = true;
      shutdown (c->fd, SHUT_RD);
    }
  http_loop_wake (p->http_loop);
  proxy_check_drained (p);
}

void
proxy_stats (const struct proxy *p, struct proxy_stats *out)
{
  const struct proxy_service *s;
  *out = p->stats;
  out->queued = 0;
  SLIST_FOREACH (s, &p->services, link)
  out->queued += admission_queued (s->admission);
}
