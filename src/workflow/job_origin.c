#include "job_origin.h"

#include <stdlib.h>
#include <string.h>

#include "buffer.h"

struct job_origin *
job_origin_add_job (struct job_origins *all, const char *host, const char *path_prefix,
                    const char *name)
{
  struct job_origin *o;
  LIST_FOREACH (o, all, link)
  if (strcmp (o->name, name) == 0 && strcmp (o->path_prefix, path_prefix) == 0
      && strcmp (o->host, host) == 0)
    {
      o->jobs++;
      return o;
    }
  o = xcalloc (1, sizeof *o);
  o->host = xstrdup (host);
  o->path_prefix = xstrdup (path_prefix);
  o->name = xstrdup (name);
  o->jobs = 1;
  LIST_INSERT_HEAD (all, o, link);
  return o;
}

void
job_origin_remove_job (struct job_origin *o)
{
  if (--o->jobs > 0)
    return;
  LIST_REMOVE (o, link);
  free (o->host);
  free (o->path_prefix);
  free (o->name);
  free (o);
}

static const workflow_queue *
find_queue (const struct job_origin *o, const workflow_configuration *c)
{
  const workflow_queue *named = NULL;
  for (u_int i = 0; i < c->queues.queues_len; i++)
    {
      const workflow_queue *q = &c->queues.queues_val[i];
      if (strcmp (q->path_prefix, o->path_prefix) == 0 && strcmp (q->host, o->host) == 0)
        return q;
      if (strcmp (q->name, o->name) == 0)
        named = q;
    }
  return named;
}

const workflow_queue *
job_origin_queue (struct job_origin *o, const workflow_configuration *c)
{
  if (o->queue_revision != c->revision)
    {
      o->queue = find_queue (o, c);
      o->queue_revision = c->revision;
    }
  return o->queue;
}
