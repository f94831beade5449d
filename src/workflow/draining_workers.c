#include "draining_workers.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

void
draining_workers_init (struct draining_workers *s)
{
  cell_map_init (&s->map);
  TAILQ_INIT (&s->list);
}

static void
drop (struct draining_workers *s, struct draining_worker *w)
{
  TAILQ_REMOVE (&s->list, w, link);
  cell_map_remove (&s->map, &w->node);
  xdr_free ((xdrproc_t)xdr_workflow_drain, (char *)&w->drain);
  free (w);
}

void
draining_workers_clear (struct draining_workers *s)
{
  while (!TAILQ_EMPTY (&s->list))
    drop (s, TAILQ_FIRST (&s->list));
}

void
draining_workers_close (struct draining_workers *s)
{
  draining_workers_clear (s);
  cell_map_close (&s->map);
}

struct draining_worker *
draining_workers_find (const struct draining_workers *s, const char *worker)
{
  uint64_t hash = cell_hash_names (worker, "");
  for (struct cell_map_node *n = cell_map_first (&s->map, hash); n; n = cell_map_next (n))
    {
      struct draining_worker *w = CELL_CONTAINER (n, struct draining_worker, node);
      if (strcmp (w->drain.worker, worker) == 0)
        return w;
    }
  return NULL;
}

void
draining_workers_remove (struct draining_workers *s, const char *worker)
{
  struct draining_worker *w = draining_workers_find (s, worker);
  if (w)
    drop (s, w);
}

struct draining_worker *
draining_workers_add (struct draining_workers *s, workflow_drain *drain)
{
  struct draining_worker *known = draining_workers_find (s, drain->worker);
  if (known && known->drain.born_ms > drain->born_ms)
    return NULL;
  /* Its long leases ended by what was known first.  */
  int64_t seen_ms = known && known->drain.born_ms == drain->born_ms ? known->seen_ms : 0;
  if (known)
    drop (s, known);
  else if (s->map.count == WORKFLOW_MAX_DRAINING)
    drop (s, TAILQ_FIRST (&s->list));
  struct draining_worker *w = xcalloc (1, sizeof *w);
  w->drain = *drain;
  w->seen_ms = seen_ms;
  memset (drain, 0, sizeof *drain);
  cell_map_add (&s->map, &w->node, cell_hash_names (w->drain.worker, ""));
  TAILQ_INSERT_TAIL (&s->list, w, link);
  return w;
}
