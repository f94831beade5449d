/* Lookup, validation and encoding of workflow state and commands.  */
#include "workflow.h"

#include <stdlib.h>
#include <string.h>

#include "workflow_internal.h"
#include "xdr_append.h"

/* With the part of the leader, and the copy while a snapshot is written.  */
#define JOB_BYTES 1500
#define STEP_BYTES 800
#define TASK_BYTES 320

struct workflow_job *
workflow_find_job (const struct workflow *w, uint64_t id)
{
  for (struct cell_map_node *n = cell_map_first (&w->jobs, cell_hash_id (id)); n;
       n = cell_map_next (n))
    {
      struct workflow_job *j = CELL_CONTAINER (n, struct workflow_job, node);
      if (j->spec.id == id)
        return j;
    }
  return NULL;
}

const workflow_queue *
workflow_find_queue (const struct workflow *w, const char *name)
{
  const workflow_configuration *c = &w->configuration;
  for (u_int i = 0; i < c->queues.queues_len; i++)
    if (strcmp (c->queues.queues_val[i].name, name) == 0)
      return &c->queues.queues_val[i];
  return NULL;
}

const workflow_queue *
workflow_queue_of (const struct workflow *w, const struct workflow_job *j)
{
  return job_origin_queue (j->origin, &w->configuration);
}

const workflow_queue *
workflow_match_queue (const struct workflow *w, const char *host, const char *path)
{
  const workflow_configuration *c = &w->configuration;
  const workflow_queue *best = NULL;
  size_t best_len = 0;
  for (u_int i = 0; i < c->queues.queues_len; i++)
    {
      const workflow_queue *q = &c->queues.queues_val[i];
      size_t len = strlen (q->path_prefix);
      if (strcmp (q->host, host) != 0 || strncmp (path, q->path_prefix, len) != 0)
        continue;
      if (best && len <= best_len)
        continue;
      best = q;
      best_len = len;
    }
  return best;
}

const workflow_pool *
workflow_find_pool (const struct workflow *w, const char *name)
{
  const workflow_configuration *c = &w->configuration;
  for (u_int i = 0; i < c->pools.pools_len; i++)
    if (strcmp (c->pools.pools_val[i].name, name) == 0)
      return &c->pools.pools_val[i];
  return NULL;
}

bool
workflow_zone_is_out (const struct workflow *w, const char *zone)
{
  for (size_t i = 0; i < w->zone_count; i++)
    if (strcmp (w->zones_out[i], zone) == 0)
      return true;
  return false;
}

struct workflow_task *
workflow_find_task (const struct workflow *w, const workflow_task_ref *ref)
{
  const struct workflow_job *j = workflow_find_job (w, ref->job);
  if (!j || ref->occurrence >= j->occurrences || ref->step >= j->spec.steps.steps_len
      || ref->index >= j->spec.steps.steps_val[ref->step].count)
    return NULL;
  return &j->stages[(size_t)ref->occurrence * j->spec.steps.steps_len + ref->step]
              .tasks[ref->index];
}

workflow_task_ref
workflow_ref (const struct workflow_task *t)
{
  return (workflow_task_ref){
    .job = t->job->spec.id, .occurrence = t->occurrence, .step = t->step, .index = t->index
  };
}

const workflow_step *
workflow_step_of (const struct workflow_task *t)
{
  return &t->job->spec.steps.steps_val[t->step];
}

struct workflow_stage *
workflow_stage_of (const struct workflow_task *t)
{
  return &t->job->stages[(size_t)t->occurrence * t->job->spec.steps.steps_len + t->step];
}

struct workflow_run *
workflow_find_run (const struct workflow_task *t, uint32_t run)
{
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    if (t->runs[i] && t->runs[i]->run == run)
      return t->runs[i];
  return NULL;
}

bool
workflow_job_placed (const struct workflow_job *j)
{
  return j->started > 0;
}

bool
workflow_job_started (const struct workflow_job *j)
{
  return j->has_begun;
}

static int
check_step (const workflow_spec *spec, u_int i, struct status *st)
{
  const workflow_step *s = &spec->steps.steps_val[i];
  if (s->count == 0)
    return status_set (st, STATUS_BAD_REQUEST, "step %u has no tasks", i);
  if (s->count > WORKFLOW_MAX_TASKS)
    return status_set (st, STATUS_BAD_REQUEST, "step %u has %u tasks, limit %d", i, s->count,
                       WORKFLOW_MAX_TASKS);
  for (u_int k = 0; k < s->after.after_len; k++)
    if (s->after.after_val[k] >= i)
      return status_set (st, STATUS_BAD_REQUEST, "step %u waits for step %u, which is not earlier",
                         i, s->after.after_val[k]);
  return 0;
}

static uint32_t
occurrences_of (const workflow_spec *spec)
{
  return spec->repetitions > 0 ? spec->repetitions : 1;
}

int
workflow_check_size (const workflow_spec *spec, struct status *st)
{
  uint64_t tasks = 0; /* at most WORKFLOW_MAX_STEPS x WORKFLOW_MAX_TASKS, times 2^32 */
  if (spec->steps.steps_len == 0 || spec->steps.steps_len > WORKFLOW_MAX_STEPS)
    return status_set (st, STATUS_BAD_REQUEST, "%u steps, allowed are 1 to %d",
                       spec->steps.steps_len, WORKFLOW_MAX_STEPS);
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      if (check_step (spec, i, st) < 0)
        return -1;
      tasks += spec->steps.steps_val[i].count;
    }
  tasks *= occurrences_of (spec);
  if (tasks > WORKFLOW_MAX_TASKS)
    return status_set (st, STATUS_BAD_REQUEST, "%llu tasks, limit %d", (unsigned long long)tasks,
                       WORKFLOW_MAX_TASKS);
  return 0;
}

uint64_t
workflow_job_bytes (const workflow_spec *spec)
{
  uint64_t bytes = JOB_BYTES + 2 * strlen (spec->payload);
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    bytes += STEP_BYTES
             + (uint64_t)spec->steps.steps_val[i].count * occurrences_of (spec) * TASK_BYTES;
  return bytes;
}

int64_t
workflow_start_ms (const workflow_spec *spec, uint32_t occurrence)
{
  int64_t offset_ms;
  int64_t start_ms;
  if (__builtin_mul_overflow (spec->period_ms, occurrence, &offset_ms)
      || __builtin_add_overflow (spec->first_start_ms, offset_ms, &start_ms))
    return INT64_MAX;
  return start_ms;
}

int
workflow_check_spec (const workflow_spec *spec, struct status *st)
{
  if (workflow_check_size (spec, st) < 0)
    return -1;
  if (workflow_start_ms (spec, occurrences_of (spec) - 1) > WORKFLOW_MAX_START_MS)
    return status_set (st, STATUS_BAD_REQUEST, "occurrence %u starts after the year 9999",
                       occurrences_of (spec) - 1);
  return 0;
}

static bool
has_pool (const workflow_configuration *c, const char *name)
{
  for (u_int i = 0; i < c->pools.pools_len; i++)
    if (strcmp (c->pools.pools_val[i].name, name) == 0)
      return true;
  return false;
}

static int
compare_routes (const void *a, const void *b)
{
  const workflow_queue *x = *(const workflow_queue *const *)a;
  const workflow_queue *y = *(const workflow_queue *const *)b;
  int hosts = strcmp (x->host, y->host);
  return hosts ? hosts : strcmp (x->path_prefix, y->path_prefix);
}

static int
compare_queue_names (const void *a, const void *b)
{
  const workflow_queue *x = *(const workflow_queue *const *)a;
  const workflow_queue *y = *(const workflow_queue *const *)b;
  return strcmp (x->name, y->name);
}

static int
check_unique (const workflow_configuration *c, const char *what,
              int (*compare) (const void *, const void *), struct status *st)
{
  u_int n = c->queues.queues_len;
  const workflow_queue **sorted = xcalloc (n + 1, sizeof (const workflow_queue *));
  int result = 0;
  for (u_int i = 0; i < n; i++)
    sorted[i] = &c->queues.queues_val[i];
  qsort (sorted, n, sizeof (const workflow_queue *), compare);
  for (u_int i = 1; i < n && result == 0; i++)
    if (compare (&sorted[i - 1], &sorted[i]) == 0)
      result = status_set (st, STATUS_INVALID_LIST, "queues '%s' and '%s' have the same %s",
                           sorted[i - 1]->name, sorted[i]->name, what);
  free (sorted);
  return result;
}

int
workflow_check_configuration (const workflow_configuration *c, struct status *st)
{
  for (u_int i = 0; i < c->queues.queues_len; i++)
    {
      const workflow_queue *q = &c->queues.queues_val[i];
      if (!has_pool (c, q->pool))
        return status_set (st, STATUS_INVALID_LIST, "queue '%s' names unknown pool '%s'", q->name,
                           q->pool);
      if (q->timeout_ms == 0)
        return status_set (st, STATUS_INVALID_LIST, "queue '%s' has a timeout of 0 ms", q->name);
    }
  if (check_unique (c, "host and path", compare_routes, st) < 0)
    return -1;
  return check_unique (c, "name", compare_queue_names, st);
}

bool
workflow_encode (const workflow_command *c, struct buffer *out)
{
  return xdr_append (out, (xdrproc_t)xdr_workflow_command, c);
}

bool
workflow_decode_result (const void *data, size_t len, workflow_result *out)
{
  XDR xdr;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  bool ok = xdr_workflow_result (&xdr, out);
  xdr_destroy (&xdr);
  return ok;
}
