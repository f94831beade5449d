#include "held_polls.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

struct held_poll_entry
{
  struct held_poll poll;
  struct cell_map_node node; /* in by_worker */
  TAILQ_ENTRY (held_poll_entry) link;
};

void
held_polls_init (struct held_polls *h)
{
  cell_map_init (&h->by_worker);
  TAILQ_INIT (&h->order);
}

static void
remove_entry (struct held_polls *h, struct held_poll_entry *e, struct held_poll *out)
{
  *out = e->poll;
  cell_map_remove (&h->by_worker, &e->node);
  TAILQ_REMOVE (&h->order, e, link);
  free (e);
}

void
held_polls_close (struct held_polls *h)
{
  struct held_poll_entry *e;
  struct held_poll poll;
  while ((e = TAILQ_FIRST (&h->order)))
    remove_entry (h, e, &poll);
  cell_map_close (&h->by_worker);
}

void
held_polls_add (struct held_polls *h, const struct held_poll *poll)
{
  struct held_poll_entry *e = xcalloc (1, sizeof *e);
  e->poll = *poll;
  cell_map_add (&h->by_worker, &e->node, cell_hash_names (poll->worker, ""));
  TAILQ_INSERT_TAIL (&h->order, e, link);
}

bool
held_polls_take (struct held_polls *h, const char *worker, struct held_poll *out)
{
  struct cell_map_node *n = cell_map_first (&h->by_worker, cell_hash_names (worker, ""));
  for (; n; n = cell_map_next (n))
    {
      struct held_poll_entry *e = CELL_CONTAINER (n, struct held_poll_entry, node);
      if (strcmp (e->poll.worker, worker) != 0)
        continue;
      remove_entry (h, e, out);
      return true;
    }
  return false;
}

bool
held_polls_take_due (struct held_polls *h, int64_t now_ms, struct held_poll *out)
{
  struct held_poll_entry *e = TAILQ_FIRST (&h->order);
  if (!e || e->poll.until_ms > now_ms)
    return false;
  remove_entry (h, e, out);
  return true;
}
