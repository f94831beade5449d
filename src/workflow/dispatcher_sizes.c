/* Size classes of the jobs of each queue, for the order of waiting tasks.  */
#include <stdlib.h>
#include <string.h>

#include "dispatcher_internal.h"

static struct queue_sizes *
sizes_of (struct dispatcher *d, const char *queue)
{
  struct queue_sizes *q;
  SLIST_FOREACH (q, &d->sizes, link)
  if (strcmp (q->queue, queue) == 0)
    return q;
  q = xcalloc (1, sizeof *q);
  q->queue = xstrdup (queue);
  size_share_init (&q->share, d->now_ms);
  SLIST_INSERT_HEAD (&d->sizes, q, link);
  return q;
}

static double
declared_work (const workflow_spec *spec)
{
  double work = 0;
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      const workflow_step *s = &spec->steps.steps_val[i];
      work += (double)s->count * s->millicores * s->estimate_ms;
    }
  return work;
}

void
dispatch_register_job (struct dispatcher *d, struct workflow_job *j)
{
  struct queue_sizes *q = sizes_of (d, j->spec.queue);
  j->sizes = q;
  j->seen_ms = d->now_ms;
  j->beyond_weight = false;
  j->size = size_share_add_arrival (&q->share, d->now_ms, declared_work (&j->spec));
  j->start_counted = workflow_job_placed (j);
  if (j->start_counted)
    size_share_add_start (&q->share, d->now_ms, j->size);
}

void
dispatch_record_start (struct dispatcher *d, struct workflow_job *j)
{
  if (j->start_counted)
    return;
  j->start_counted = true;
  size_share_add_start (&j->sizes->share, d->now_ms, j->size);
}

double
dispatch_started_ratio (const struct workflow_job *j)
{
  return size_share_started_ratio (&j->sizes->share, j->size);
}

void
dispatch_clear_sizes (struct dispatcher *d)
{
  struct queue_sizes *q;
  while ((q = SLIST_FIRST (&d->sizes)) != NULL)
    {
      SLIST_REMOVE_HEAD (&d->sizes, link);
      free (q->queue);
      free (q);
    }
}
