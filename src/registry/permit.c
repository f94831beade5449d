#include "permit.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "buffer.h"

/* Upper bound of the expiry of the permits of one node for one data centre.  */
struct grant
{
  char data_centre[REGISTRY_NAME_BYTES + 1];
  uint64_t node;
  int64_t expires_ms;
  LIST_ENTRY (grant) link;
};

struct permit_granter
{
  bool leading;
  int64_t elected_ms;
  bool confirmed;                 /* a quorum answered a round of this leadership */
  int64_t confirmed_ms;           /* start of the latest such round */
  int64_t prior_permits_until_ms; /* permits of earlier leaders have certainly expired by then */
  LIST_HEAD (grant_list, grant) grants;
};

struct permit_granter *
permit_granter_new (void)
{
  struct permit_granter *g = xcalloc (1, sizeof *g);
  LIST_INIT (&g->grants);
  return g;
}

static void
free_grants (struct permit_granter *g)
{
  struct grant *grant;
  while ((grant = LIST_FIRST (&g->grants)))
    {
      LIST_REMOVE (grant, link);
      free (grant);
    }
}

void
permit_granter_free (struct permit_granter *g)
{
  if (!g)
    return;
  free_grants (g);
  free (g);
}

void
permit_granter_become_leader (struct permit_granter *g, int64_t now_ms)
{
  free_grants (g);
  g->leading = true;
  g->confirmed = false;
  g->elected_ms = now_ms;
  g->prior_permits_until_ms = now_ms + PERMIT_LIFE_MS;
}

void
permit_granter_step_down (struct permit_granter *g)
{
  g->leading = false;
  g->confirmed = false;
}

bool
permit_granter_leading (const struct permit_granter *g)
{
  return g->leading;
}

void
permit_granter_confirm (struct permit_granter *g, int64_t started_ms)
{
  /* A round of an earlier leadership of this VM does not rule out other leaders in between.  */
  if (!g->leading || started_ms < g->elected_ms || (g->confirmed && started_ms <= g->confirmed_ms))
    return;
  g->confirmed = true;
  g->confirmed_ms = started_ms;
}

static void
free_expired_grants (struct permit_granter *g, int64_t now_ms)
{
  struct grant *grant = LIST_FIRST (&g->grants);
  while (grant)
    {
      struct grant *next = LIST_NEXT (grant, link);
      if (grant->expires_ms <= now_ms)
        {
          LIST_REMOVE (grant, link);
          free (grant);
        }
      grant = next;
    }
}

static void
record_grant (struct permit_granter *g, const char *data_centre, uint64_t node, int64_t expires_ms)
{
  struct grant *grant;
  LIST_FOREACH (grant, &g->grants, link)
  if (grant->node == node && strcmp (grant->data_centre, data_centre) == 0)
    {
      if (grant->expires_ms < expires_ms)
        grant->expires_ms = expires_ms;
      return;
    }
  grant = xcalloc (1, sizeof *grant);
  strncpy (grant->data_centre, data_centre, sizeof grant->data_centre - 1);
  grant->node = node;
  grant->expires_ms = expires_ms;
  LIST_INSERT_HEAD (&g->grants, grant, link);
}

struct permit
permit_granter_request (struct permit_granter *g, const registry_data_centre *dc, uint64_t node,
                        int64_t now_ms)
{
  struct permit permit = { 0 };
  int64_t life_ms = g->confirmed ? PERMIT_LIFE_MS - (now_ms - g->confirmed_ms) : 0;
  free_expired_grants (g, now_ms);
  if (life_ms > PERMIT_LIFE_MS)
    life_ms = PERMIT_LIFE_MS;
  if (!g->leading || !dc || dc->out || life_ms <= 0)
    return permit;
  record_grant (g, dc->name, node, now_ms + life_ms);
  permit.granted = true;
  permit.life_ms = (uint32_t)life_ms;
  permit.epoch = dc->epoch;
  return permit;
}

/* A node that reported that it stopped for this out command holds no permit: none was granted
   since, because the data centre has been out.  */
static bool
has_stopped (const registry_data_centre *dc, uint64_t node)
{
  return dc->stopped_version == dc->state_version && dc->stopped_node == node;
}

struct permit_in_force
permit_granter_in_force (const struct permit_granter *g, const registry_data_centre *dc,
                         int64_t now_ms)
{
  struct permit_in_force answer = { .reason = REGISTRY_NOT_IN_FORCE };
  const struct grant *grant;
  int64_t until = g->prior_permits_until_ms;
  if (!dc->out)
    return answer;
  if (dc->in_force != REGISTRY_NOT_IN_FORCE)
    {
      answer.in_force = true;
      answer.reason = dc->in_force;
      return answer;
    }
  if (!g->leading)
    {
      answer.wait_ms = PERMIT_LIFE_MS;
      return answer;
    }
  LIST_FOREACH (grant, &g->grants, link)
  if (strcmp (grant->data_centre, dc->name) == 0 && !has_stopped (dc, grant->node)
      && grant->expires_ms > until)
    until = grant->expires_ms;
  answer.in_force = now_ms >= until;
  answer.wait_ms = answer.in_force ? 0 : until - now_ms;
  if (answer.in_force)
    answer.reason = dc->stopped_version == dc->state_version ? REGISTRY_ACKNOWLEDGED
                                                             : REGISTRY_PERMIT_EXPIRED;
  return answer;
}

bool
permit_granter_find_unrecorded (const struct permit_granter *g, const registry_data_centre *list,
                                size_t count, int64_t now_ms, registry_in_force *out)
{
  for (size_t i = 0; i < count && g->leading; i++)
    {
      const registry_data_centre *dc = &list[i];
      struct permit_in_force state = permit_granter_in_force (g, dc, now_ms);
      if (!state.in_force || dc->in_force != REGISTRY_NOT_IN_FORCE)
        continue;
      out->data_centre = dc->name;
      out->out_version = dc->state_version;
      out->reason = state.reason;
      return true;
    }
  return false;
}

void
permit_holder_init (struct permit_holder *h)
{
  h->requested_ms = INT64_MIN;
  h->next_request_ms = INT64_MIN;
  h->valid_until_ms = INT64_MIN;
  h->ignored_until_ms = INT64_MIN;
  h->epoch = 0;
}

bool
permit_holder_due (const struct permit_holder *h, int64_t now_ms)
{
  return now_ms >= h->next_request_ms;
}

int64_t
permit_holder_request (struct permit_holder *h, int64_t now_ms)
{
  h->requested_ms = now_ms;
  h->next_request_ms = now_ms + PERMIT_RENEW_MS;
  return now_ms;
}

static void
apply_grant (struct permit_holder *h, int64_t requested_ms, const struct permit *p)
{
  int64_t life_ms = p->life_ms < PERMIT_LIFE_MS ? (int64_t)p->life_ms : PERMIT_LIFE_MS;
  int64_t until = requested_ms + life_ms - PERMIT_DRIFT_MS;
  if (p->epoch < h->epoch)
    return;
  if (p->epoch > h->epoch || until > h->valid_until_ms)
    h->valid_until_ms = until;
  h->epoch = p->epoch;
}

void
permit_holder_handle_answer (struct permit_holder *h, int64_t requested_ms, const struct permit *p,
                             int64_t now_ms)
{
  if (requested_ms > h->requested_ms || requested_ms <= h->ignored_until_ms)
    return;
  if (p->granted)
    apply_grant (h, requested_ms, p);
  else if (h->next_request_ms > now_ms + PERMIT_RETRY_MS)
    h->next_request_ms = now_ms + PERMIT_RETRY_MS;
}

void
permit_holder_release (struct permit_holder *h, int64_t now_ms)
{
  h->valid_until_ms = INT64_MIN;
  h->ignored_until_ms = now_ms;
}

int64_t
permit_holder_left_ms (const struct permit_holder *h, int64_t now_ms)
{
  return now_ms < h->valid_until_ms ? h->valid_until_ms - now_ms : 0;
}
