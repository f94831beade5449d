#include "withdrawn_ids.h"

#include <stdlib.h>

#include "buffer.h"

void
withdrawn_ids_init (struct withdrawn_ids *s)
{
  cell_map_init (&s->map);
  STAILQ_INIT (&s->list);
}

static void
drop_oldest (struct withdrawn_ids *s)
{
  struct withdrawn_id *oldest = STAILQ_FIRST (&s->list);
  STAILQ_REMOVE_HEAD (&s->list, link);
  cell_map_remove (&s->map, &oldest->node);
  free (oldest);
}

void
withdrawn_ids_clear (struct withdrawn_ids *s)
{
  while (!STAILQ_EMPTY (&s->list))
    drop_oldest (s);
}

void
withdrawn_ids_close (struct withdrawn_ids *s)
{
  withdrawn_ids_clear (s);
  cell_map_close (&s->map);
}

bool
withdrawn_ids_has (const struct withdrawn_ids *s, uint64_t id)
{
  for (struct cell_map_node *n = cell_map_first (&s->map, cell_hash_id (id)); n;
       n = cell_map_next (n))
    if (CELL_CONTAINER (n, struct withdrawn_id, node)->id == id)
      return true;
  return false;
}

void
withdrawn_ids_add (struct withdrawn_ids *s, uint64_t id)
{
  if (withdrawn_ids_has (s, id))
    return;
  if (s->map.count == WORKFLOW_MAX_WITHDRAWN)
    drop_oldest (s);
  struct withdrawn_id *w = xcalloc (1, sizeof *w);
  w->id = id;
  cell_map_add (&s->map, &w->node, cell_hash_id (id));
  STAILQ_INSERT_TAIL (&s->list, w, link);
}
