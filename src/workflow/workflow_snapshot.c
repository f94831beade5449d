/* Snapshots of the workflow state.  */
#include <stdlib.h>
#include <string.h>

#include "workflow_internal.h"
#include "xdr_append.h"

static char empty_string[] = "";

static uint32_t
task_count (const struct workflow_job *j)
{
  uint32_t count = 0;
  for (u_int i = 0; i < j->spec.steps.steps_len; i++)
    count += j->spec.steps.steps_val[i].count;
  return count * j->occurrences;
}

/* The I-th task of J, ordered by occurrence, then by step.  */
static struct workflow_task *
task_at (const struct workflow_job *j, uint32_t i)
{
  uint32_t stage = 0;
  uint32_t count;
  while (i >= (count = j->spec.steps.steps_val[stage % j->spec.steps.steps_len].count))
    {
      i -= count;
      stage++;
    }
  return &j->stages[stage].tasks[i];
}

static void
save_task (const struct workflow_task *t, workflow_task_image *out)
{
  out->state = t->state;
  out->last_run = t->last_run;
  out->failures = t->failures;
  out->checkpoint = t->checkpoint ? t->checkpoint : empty_string;
  out->runs.runs_val = xcalloc (WORKFLOW_MAX_RUNS, sizeof (workflow_run_image));
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    if (t->runs[i])
      out->runs.runs_val[out->runs.runs_len++]
          = (workflow_run_image){ .run = t->runs[i]->run, .worker = t->runs[i]->on->id };
}

static void
save_job (const struct workflow_job *j, workflow_job_image *out)
{
  uint32_t count = task_count (j);
  out->spec = j->spec;
  out->state = j->state;
  out->started = j->started;
  out->tasks.tasks_len = count;
  out->tasks.tasks_val = xcalloc (count, sizeof (workflow_task_image));
  for (uint32_t i = 0; i < count; i++)
    save_task (task_at (j, i), &out->tasks.tasks_val[i]);
}

static void
free_job_image (workflow_job_image *image)
{
  for (u_int i = 0; i < image->tasks.tasks_len; i++)
    free (image->tasks.tasks_val[i].runs.runs_val);
  free (image->tasks.tasks_val);
}

static void
add_blames (const struct workflow_job *j, workflow_blame_image *out)
{
  uint32_t count = task_count (j);
  for (uint32_t i = 0; i < count && out->blames.blames_len < WORKFLOW_MAX_BLAMES; i++)
    {
      const struct workflow_task *t = task_at (j, i);
      u_int n = out->blames.blames_len;
      if (t->blame.points == 0)
        continue;
      if ((n & (n - 1)) == 0)
        out->blames.blames_val
            = xrealloc (out->blames.blames_val, (n ? 2 * n : 1) * sizeof (workflow_blame));
      out->blames.blames_val[out->blames.blames_len++] = (workflow_blame){
        .task = workflow_ref (t), .points = t->blame.points, .crashes = t->blame.crashes
      };
    }
}

/* Blame is rare, so it follows the image as a list of its own.  */
static bool
save_blames (const struct workflow *w, struct buffer *out)
{
  workflow_blame_image image = { .blames.blames_len = 0 };
  const struct workflow_job *j;
  TAILQ_FOREACH (j, &w->open, link)
  add_blames (j, &image);
  bool ok = xdr_append (out, (xdrproc_t)xdr_workflow_blame_image, &image);
  free (image.blames.blames_val);
  return ok;
}

static bool
save_withdrawn (const struct workflow *w, struct buffer *out)
{
  workflow_withdrawn_image image = { .ids.ids_len = 0 };
  const struct withdrawn_id *id;
  image.ids.ids_val = xcalloc (w->withdrawn.map.count + 1, sizeof *image.ids.ids_val);
  STAILQ_FOREACH (id, &w->withdrawn.list, link)
  image.ids.ids_val[image.ids.ids_len++] = id->id;
  bool ok = xdr_append (out, (xdrproc_t)xdr_workflow_withdrawn_image, &image);
  free (image.ids.ids_val);
  return ok;
}

static bool
save_origins (const struct workflow *w, struct buffer *out)
{
  workflow_origin_image image = { .origins.origins_len = 0 };
  const struct workflow_job *j;
  image.origins.origins_val = xcalloc (w->jobs.count + 1, sizeof (workflow_origin));
  TAILQ_FOREACH (j, &w->open, link)
  image.origins.origins_val[image.origins.origins_len++]
      = (workflow_origin){ .host = j->origin->host, .path_prefix = j->origin->path_prefix };
  TAILQ_FOREACH (j, &w->finished, link)
  image.origins.origins_val[image.origins.origins_len++]
      = (workflow_origin){ .host = j->origin->host, .path_prefix = j->origin->path_prefix };
  bool ok = xdr_append (out, (xdrproc_t)xdr_workflow_origin_image, &image);
  free (image.origins.origins_val);
  return ok;
}

static bool
has_owners (const struct workflow *w)
{
  const struct account *a;
  LIST_FOREACH (a, &w->accounts.list, link)
  if (a->jobs > 0)
    return true;
  return false;
}

/* Without accounts and drains the snapshot ends as that of an earlier build.  */
static bool
save_accounts (const struct workflow *w, struct buffer *out)
{
  workflow_account_image image = { .accounts = w->accounts.definition };
  const struct workflow_job *j;
  if (!w->accounts.definition && !has_owners (w) && w->run_workers.draining_count == 0)
    return true;
  image.owners.owners_val = xcalloc (w->jobs.count + 1, sizeof (workflow_name));
  TAILQ_FOREACH (j, &w->open, link)
  image.owners.owners_val[image.owners.owners_len++] = j->account ? j->account->name : empty_string;
  TAILQ_FOREACH (j, &w->finished, link)
  image.owners.owners_val[image.owners.owners_len++] = j->account ? j->account->name : empty_string;
  bool ok = xdr_append (out, (xdrproc_t)xdr_workflow_account_image, &image);
  free (image.owners.owners_val);
  return ok;
}

static bool
save_drains (const struct workflow *w, struct buffer *out)
{
  workflow_drain_image image = { .drains.drains_len = 0 };
  const struct run_worker *r;
  if (w->run_workers.draining_count == 0)
    return true;
  image.drains.drains_val = xcalloc (w->run_workers.draining_count, sizeof (workflow_drain));
  TAILQ_FOREACH (r, &w->run_workers.draining, link)
  image.drains.drains_val[image.drains.drains_len++] = *r->drain;
  bool ok = xdr_append (out, (xdrproc_t)xdr_workflow_drain_image, &image);
  free (image.drains.drains_val);
  return ok;
}

bool
workflow_save (struct machine *m, struct buffer *out)
{
  struct workflow *w = (struct workflow *)m;
  workflow_image image = { .format = WORKFLOW_SNAPSHOT_FORMAT, .configuration = w->configuration };
  const struct workflow_job *j;
  image.zones_out.zones_out_val = w->zones_out;
  image.zones_out.zones_out_len = (u_int)w->zone_count;
  image.jobs.jobs_val = xcalloc (w->jobs.count + 1, sizeof (workflow_job_image));
  TAILQ_FOREACH (j, &w->open, link)
  save_job (j, &image.jobs.jobs_val[image.jobs.jobs_len++]);
  TAILQ_FOREACH (j, &w->finished, link)
  save_job (j, &image.jobs.jobs_val[image.jobs.jobs_len++]);
  bool ok = xdr_append (out, (xdrproc_t)xdr_workflow_image, &image);
  for (u_int i = 0; i < image.jobs.jobs_len; i++)
    free_job_image (&image.jobs.jobs_val[i]);
  free (image.jobs.jobs_val);
  return ok && save_blames (w, out) && save_withdrawn (w, out) && save_origins (w, out)
         && save_accounts (w, out) && save_drains (w, out);
}

static void
load_task (struct workflow *w, struct workflow_task *t, const workflow_task_image *in)
{
  t->state = in->state;
  t->last_run = in->last_run;
  t->failures = in->failures;
  workflow_set_checkpoint (w, t, in->checkpoint);
  for (u_int i = 0; i < in->runs.runs_len; i++)
    workflow_add_run (w, t, in->runs.runs_val[i].run, in->runs.runs_val[i].worker);
  if (t->state == WORKFLOW_TASK_DONE)
    workflow_stage_of (t)->done++;
}

static bool
load_job (struct workflow *w, workflow_job_image *in)
{
  struct status st;
  if (workflow_check_size (&in->spec, &st) < 0 || in->state > WORKFLOW_JOB_CANCELLED)
    return false;
  struct workflow_job *j = workflow_add_job (w, &in->spec);
  if (in->tasks.tasks_len != task_count (j))
    return false;
  for (u_int i = 0; i < in->tasks.tasks_len; i++)
    load_task (w, task_at (j, i), &in->tasks.tasks_val[i]);
  for (uint32_t i = 0; i < j->occurrences * j->spec.steps.steps_len; i++)
    if (j->stages[i].done == j->spec.steps.steps_val[i % j->spec.steps.steps_len].count)
      j->stages_done++;
  j->started = in->started;
  workflow_update_ready (w, j);
  workflow_set_job_state (w, j, in->state);
  return true;
}

static bool
load_image (struct workflow *w, workflow_image *image)
{
  if (image->format != WORKFLOW_SNAPSHOT_FORMAT)
    return false;
  workflow_free_all (w);
  w->configuration = image->configuration;
  memset (&image->configuration, 0, sizeof image->configuration);
  for (u_int i = 0; i < image->zones_out.zones_out_len; i++)
    workflow_set_zone (w, image->zones_out.zones_out_val[i], true);
  for (u_int i = 0; i < image->jobs.jobs_len; i++)
    if (!load_job (w, &image->jobs.jobs_val[i]))
      return false;
  return true;
}

static bool
load_blames (struct workflow *w, XDR *xdr, size_t len)
{
  workflow_blame_image image = { .blames.blames_len = 0 };
  if (xdr_getpos (xdr) == len)
    return true;
  bool ok = xdr_workflow_blame_image (xdr, &image);
  for (u_int i = 0; ok && i < image.blames.blames_len; i++)
    {
      const workflow_blame *b = &image.blames.blames_val[i];
      struct workflow_task *t = workflow_find_task (w, &b->task);
      if (t)
        t->blame = (struct crash_blame){ .points = b->points, .crashes = b->crashes };
    }
  xdr_free ((xdrproc_t)xdr_workflow_blame_image, (char *)&image);
  return ok;
}

static bool
load_withdrawn (struct workflow *w, XDR *xdr, size_t len)
{
  workflow_withdrawn_image image = { .ids.ids_len = 0 };
  if (xdr_getpos (xdr) == len)
    return true;
  bool ok = xdr_workflow_withdrawn_image (xdr, &image);
  for (u_int i = 0; ok && i < image.ids.ids_len; i++)
    withdrawn_ids_add (&w->withdrawn, image.ids.ids_val[i]);
  xdr_free ((xdrproc_t)xdr_workflow_withdrawn_image, (char *)&image);
  return ok;
}

/* The jobs are in the lists in the order in which they were saved.  */
static bool
load_origins (struct workflow *w, XDR *xdr, size_t len)
{
  workflow_origin_image image = { .origins.origins_len = 0 };
  struct workflow_job *j;
  u_int n = 0;
  if (xdr_getpos (xdr) == len)
    return true;
  bool ok = xdr_workflow_origin_image (xdr, &image) && image.origins.origins_len == w->jobs.count;
  const workflow_origin *origins = image.origins.origins_val;
  if (ok)
    {
      TAILQ_FOREACH (j, &w->open, link)
      {
        workflow_set_origin (w, j, origins[n].host, origins[n].path_prefix);
        n++;
      }
      TAILQ_FOREACH (j, &w->finished, link)
      {
        workflow_set_origin (w, j, origins[n].host, origins[n].path_prefix);
        n++;
      }
    }
  xdr_free ((xdrproc_t)xdr_workflow_origin_image, (char *)&image);
  return ok;
}

/* The jobs are in the lists in the order in which they were saved.  */
static bool
load_accounts (struct workflow *w, XDR *xdr, size_t len)
{
  workflow_account_image image = { .accounts = NULL };
  struct workflow_job *j;
  u_int n = 0;
  if (xdr_getpos (xdr) == len)
    return true;
  bool ok = xdr_workflow_account_image (xdr, &image) && image.owners.owners_len == w->jobs.count;
  if (ok)
    {
      accounts_configure (&w->accounts, image.accounts);
      TAILQ_FOREACH (j, &w->open, link)
      workflow_set_owner (w, j, image.owners.owners_val[n++]);
      TAILQ_FOREACH (j, &w->finished, link)
      workflow_set_owner (w, j, image.owners.owners_val[n++]);
    }
  xdr_free ((xdrproc_t)xdr_workflow_account_image, (char *)&image);
  return ok;
}

static bool
load_drains (struct workflow *w, XDR *xdr, size_t len)
{
  workflow_drain_image image = { .drains.drains_len = 0 };
  if (xdr_getpos (xdr) == len)
    return true;
  bool ok = xdr_workflow_drain_image (xdr, &image);
  for (u_int i = 0; ok && i < image.drains.drains_len; i++)
    workflow_add_drain (w, &image.drains.drains_val[i]);
  xdr_free ((xdrproc_t)xdr_workflow_drain_image, (char *)&image);
  return ok;
}

int
workflow_load (struct machine *m, const void *data, size_t len, struct status *st)
{
  workflow_image image;
  XDR xdr;
  memset (&image, 0, sizeof image);
  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  bool ok = xdr_workflow_image (&xdr, &image) && load_image ((struct workflow *)m, &image)
            && load_blames ((struct workflow *)m, &xdr, len)
            && load_withdrawn ((struct workflow *)m, &xdr, len)
            && load_origins ((struct workflow *)m, &xdr, len)
            && load_accounts ((struct workflow *)m, &xdr, len)
            && load_drains ((struct workflow *)m, &xdr, len);
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_workflow_image, (char *)&image);
  return ok ? 0 : status_set (st, STATUS_JOURNAL_DAMAGED, "the snapshot of the jobs is malformed");
}
