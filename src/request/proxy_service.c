/* Queue, retry budget and latencies of each service.  */
#include "proxy_internal.h"

#include <stdlib.h>
#include <string.h>

#define MAX_QUEUED 1024
#define NO_RUNNER_GRACE_MS RUNNER_RETURN_MS

static unsigned
slots_of (void *arg, const char *customer)
{
  struct proxy_service *s = arg;
  struct proxy *p = s->proxy;
  unsigned capacity = router_capacity (p->config.router, s->name, proxy_now (p));
  return limit_slots (p->config.limit, customer, capacity);
}

static struct proxy_service *
service_new (struct proxy *p, const char *name)
{
  struct proxy_service *s = xcalloc (1, sizeof *s);
  struct admission_config config = {
    .max_queued = p->config.max_queued, .deadline_aware = true, .slots = slots_of, .slots_arg = s
  };
  if (config.max_queued == 0)
    config.max_queued = MAX_QUEUED;
  s->proxy = p;
  memcpy (s->name, name, strlen (name) + 1);
  s->admission = admission_open (&config);
  retry_budget_init (&s->budget);
  s->budget.tokens = p->config.retry_tokens;
  SLIST_INSERT_HEAD (&p->services, s, link);
  return s;
}

static void
service_free (struct proxy_service *s)
{
  SLIST_REMOVE (&s->proxy->services, s, proxy_service, link);
  admission_close (s->admission);
  free (s);
}

/* So that requests with many names cannot exhaust memory.  Returns the number of services left.  */
static unsigned
free_unused_services (struct proxy *p)
{
  struct proxy_service *s = SLIST_FIRST (&p->services);
  unsigned n = 0;
  while (s)
    {
      struct proxy_service *next = SLIST_NEXT (s, link);
      if (s->calls == 0 && router_live (p->config.router, s->name, proxy_now (p)) == 0)
        service_free (s);
      else
        n++;
      s = next;
    }
  return n;
}

/* A runner serves NAME, or may do so again in a moment.  */
static bool
is_served (const struct proxy *p, const char *name, int64_t now)
{
  return router_live (p->config.router, name, now) > 0
         || router_may_return (p->config.router, name, now)
         || runner_table_learning (p->config.table, now);
}

struct proxy_service *
service_get (struct proxy *p, const char *name)
{
  struct proxy_service *s;
  int64_t now = proxy_now (p);
  SLIST_FOREACH (s, &p->services, link)
  if (strcmp (s->name, name) == 0)
    break;
  if (!is_served (p, name, now))
    return NULL;
  if (!s && free_unused_services (p) >= PROXY_MAX_SERVICES)
    return NULL;
  if (!s)
    s = service_new (p, name);
  s->calls++;
  return s;
}

void
service_release (struct proxy_service *s)
{
  s->calls--;
}

static struct proxy_call *
call_of (struct admission_item *item)
{
  return (struct proxy_call *)(void *)((char *)item - offsetof (struct proxy_call, item));
}

static void
fail_expired (struct proxy_service *s, int64_t now)
{
  struct admission_item *item;
  while ((item = admission_pop_expired (s->admission, now)))
    call_fail (call_of (item), STATUS_DEADLINE_EXCEEDED, "no runner was free in time");
}

/* Requests wait only briefly for a service without runners: until this entry has learned the
   runners from its peers, or the only runner has restarted or is announced again.  */
static bool
fail_without_runner (struct proxy_service *s, int64_t now)
{
  struct proxy *p = s->proxy;
  struct admission_item *item;
  if (router_live (p->config.router, s->name, now) > 0)
    {
      s->no_runner_since_ms = 0;
      return false;
    }
  if (s->no_runner_since_ms == 0)
    s->no_runner_since_ms = now;
  if (now - s->no_runner_since_ms < NO_RUNNER_GRACE_MS
      || runner_table_learning (p->config.table, now))
    return false;
  while ((item = admission_pop_any (s->admission)))
    call_fail (call_of (item), STATUS_NO_BACKEND, "no backend server is left");
  return true;
}

void
service_dispatch (struct proxy_service *s)
{
  struct proxy *p = s->proxy;
  int64_t now = proxy_now (p);
  fail_expired (s, now);
  if (fail_without_runner (s, now))
    return;
  while (admission_queued (s->admission) > 0)
    {
      struct runner *runner = router_pick (p->config.router, s->name, NULL, now);
      if (!runner)
        return;
      struct admission_item *item = admission_pop (s->admission, now);
      if (!item)
        return;
      call_launch (call_of (item), runner);
    }
}

void
service_free_all (struct proxy *p)
{
  while (!SLIST_EMPTY (&p->services))
    service_free (SLIST_FIRST (&p->services));
}
