#include "run_workers.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

void
run_workers_init (struct run_workers *s)
{
  cell_map_init (&s->map);
  TAILQ_INIT (&s->draining);
  s->draining_count = 0;
}

void
run_workers_close (struct run_workers *s)
{
  cell_map_close (&s->map);
}

struct run_worker *
run_workers_find (const struct run_workers *s, const char *id)
{
  uint64_t hash = cell_hash_names (id, "");
  for (struct cell_map_node *n = cell_map_first (&s->map, hash); n; n = cell_map_next (n))
    {
      struct run_worker *w = CELL_CONTAINER (n, struct run_worker, node);
      if (strcmp (w->id, id) == 0)
        return w;
    }
  return NULL;
}

struct run_worker *
run_workers_add_run (struct run_workers *s, const char *id)
{
  struct run_worker *w = run_workers_find (s, id);
  if (!w)
    {
      w = xcalloc (1, sizeof *w);
      w->id = xstrdup (id);
      cell_map_add (&s->map, &w->node, cell_hash_names (id, ""));
    }
  w->runs++;
  return w;
}

void
run_workers_clear_drain (struct run_workers *s, struct run_worker *w)
{
  if (!w->drain)
    return;
  TAILQ_REMOVE (&s->draining, w, link);
  s->draining_count--;
  xdr_free ((xdrproc_t)xdr_workflow_drain, (char *)w->drain);
  free (w->drain);
  w->drain = NULL;
  w->seen_ms = 0;
}

void
run_workers_remove_run (struct run_workers *s, struct run_worker *w)
{
  if (--w->runs > 0)
    return;
  run_workers_clear_drain (s, w);
  cell_map_remove (&s->map, &w->node);
  free (w->id);
  free (w);
}

static enum status_kind
check_drain (const struct run_workers *s, const struct run_worker *w, const workflow_drain *drain)
{
  if (!w)
    return STATUS_NOT_FOUND;
  if (w->drain && w->drain->born_ms > drain->born_ms)
    return STATUS_STALE_EPOCH;
  return w->drain || s->draining_count < WORKFLOW_MAX_DRAINING ? STATUS_OK : STATUS_TOO_LARGE;
}

struct run_worker *
run_workers_set_drain (struct run_workers *s, workflow_drain *drain, enum status_kind *why)
{
  struct run_worker *w = run_workers_find (s, drain->worker);
  *why = check_drain (s, w, drain);
  if (*why != STATUS_OK)
    return NULL;
  /* Its long leases ended by what was known first.  */
  int64_t seen_ms = w->drain && w->drain->born_ms == drain->born_ms ? w->seen_ms : 0;
  run_workers_clear_drain (s, w);
  w->drain = xmalloc (sizeof *w->drain);
  *w->drain = *drain;
  memset (drain, 0, sizeof *drain);
  w->seen_ms = seen_ms;
  TAILQ_INSERT_TAIL (&s->draining, w, link);
  s->draining_count++;
  return w;
}
