/* Encoding and decoding of cell snapshots.  */
#include <stdlib.h>
#include <string.h>

#include "cell_internal.h"
#include "xdr_append.h"

#define IMAGE_FORMAT 1

static char empty_string[] = "";

static char *
or_empty (char *s)
{
  return s ? s : empty_string;
}

static void
save_task (struct cell_task *t, cell_task_image *out)
{
  out->id = t->id;
  out->index = t->index;
  out->state = t->state;
  out->epoch = t->epoch;
  out->worker = t->worker;
  out->incarnation = t->incarnation;
  out->state_ms = t->state_ms;
  out->not_before_ms = t->not_before_ms;
  out->progress_ms = t->progress_ms;
  out->checkpoint = or_empty (t->checkpoint);
  out->stop = t->stop;
  out->failures = t->failures;
  out->evictions = t->evictions;
  out->failed_on.failed_on_len = CELL_FAILED_WORKERS;
  out->failed_on.failed_on_val = xcalloc (CELL_FAILED_WORKERS, sizeof (cell_name));
  for (int i = 0; i < CELL_FAILED_WORKERS; i++)
    out->failed_on.failed_on_val[i] = t->failed_on[i];
  out->other_cell = t->other_cell;
  out->other_epoch = t->other_epoch;
  out->replaces = t->replaces;
}

static void
save_job (struct cell_job *j, cell_job_image *out)
{
  out->id = j->id;
  out->spec = j->spec;
  out->submitted_ms = j->submitted_ms;
  out->deadline_ms = j->deadline_ms;
  out->finished_ms = j->finished_ms;
  out->cancelled = j->cancelled;
  out->failed = j->reason != NULL;
  out->reason = or_empty (j->reason);
  u_int count = 0;
  struct cell_task *t;
  STAILQ_FOREACH (t, &j->tasks, link)
  count++;
  out->tasks.tasks_val = xcalloc (count, sizeof (cell_task_image));
  STAILQ_FOREACH (t, &j->tasks, link)
  save_task (t, &out->tasks.tasks_val[out->tasks.tasks_len++]);
}

static void
save_jobs (const struct cell *c, cell_image *image)
{
  struct cell_job *j;
  image->jobs.jobs_val = xcalloc (c->jobs.count, sizeof (cell_job_image));
  TAILQ_FOREACH (j, &c->job_list, link)
  save_job (j, &image->jobs.jobs_val[image->jobs.jobs_len++]);
  TAILQ_FOREACH (j, &c->finished, link)
  save_job (j, &image->jobs.jobs_val[image->jobs.jobs_len++]);
}

static void
save_intents (const struct cell *c, cell_image *image)
{
  struct cell_intent *i;
  image->intents.intents_val = xcalloc (c->intents.count, sizeof (cell_intent_image));
  TAILQ_FOREACH (i, &c->intent_list, link)
  {
    cell_intent_image *out = &image->intents.intents_val[image->intents.intents_len++];
    out->customer = i->customer;
    out->key = i->key;
    out->request_hash = i->request_hash;
    out->attempt = i->attempt;
    out->begun_ms = i->begun_ms;
    out->finished = i->finished;
    out->outcome = i->outcome;
    out->code = i->code;
    out->answer.answer_val = i->answer;
    out->answer.answer_len = (u_int)i->answer_len;
  }
}

static void
save_handoffs (const struct cell *c, cell_image *image)
{
  struct cell_handoff *h;
  image->handoffs.handoffs_val = xcalloc (c->handoffs.count, sizeof (cell_handoff_image));
  TAILQ_FOREACH (h, &c->handoff_list, link)
  {
    cell_handoff_image *out = &image->handoffs.handoffs_val[image->handoffs.handoffs_len++];
    out->task = h->task;
    out->epoch = h->epoch;
    out->accepted = h->accepted;
    out->local_task = h->local_task;
    out->at_ms = h->at_ms;
  }
}

/* Frees the arrays of IMAGE; its strings are borrowed from the cell.  */
static void
free_saved (cell_image *image)
{
  for (u_int i = 0; i < image->jobs.jobs_len; i++)
    {
      cell_job_image *j = &image->jobs.jobs_val[i];
      for (u_int k = 0; k < j->tasks.tasks_len; k++)
        free (j->tasks.tasks_val[k].failed_on.failed_on_val);
      free (j->tasks.tasks_val);
    }
  free (image->jobs.jobs_val);
  free (image->intents.intents_val);
  free (image->handoffs.handoffs_val);
}

bool
cell_save (struct machine *m, struct buffer *out)
{
  const struct cell *c = (const struct cell *)m;
  cell_image image;
  memset (&image, 0, sizeof image);
  image.format = IMAGE_FORMAT;
  image.cell = c->number;
  image.epoch = c->epoch;
  image.next_id = c->next_id;
  image.now_ms = c->now_ms;
  save_jobs (c, &image);
  save_intents (c, &image);
  save_handoffs (c, &image);
  bool ok = xdr_append (out, (xdrproc_t)xdr_cell_image, &image);
  free_saved (&image);
  return ok;
}

static void
load_task (struct cell *c, struct cell_job *j, const cell_task_image *in)
{
  struct cell_task *t = cell_new_task (c, j, in->id, in->index, in->state);
  t->epoch = in->epoch;
  snprintf (t->worker, sizeof t->worker, "%s", in->worker);
  t->incarnation = in->incarnation;
  t->state_ms = in->state_ms;
  t->not_before_ms = in->not_before_ms;
  t->progress_ms = in->progress_ms;
  t->checkpoint = in->checkpoint[0] ? xstrdup (in->checkpoint) : NULL;
  t->stop = in->stop;
  t->failures = in->failures;
  t->evictions = in->evictions;
  for (u_int i = 0; i < in->failed_on.failed_on_len; i++)
    snprintf (t->failed_on[i], sizeof t->failed_on[i], "%s", in->failed_on.failed_on_val[i]);
  t->other_cell = in->other_cell;
  t->other_epoch = in->other_epoch;
  t->replaces = in->replaces;
}

static void
load_job (struct cell *c, cell_job_image *in)
{
  struct cell_job *j = cell_new_job (c, in->id, &in->spec, 0);
  j->submitted_ms = in->submitted_ms;
  j->deadline_ms = in->deadline_ms;
  j->cancelled = in->cancelled;
  j->reason = in->failed ? xstrdup (in->reason) : NULL;
  for (u_int i = 0; i < in->tasks.tasks_len; i++)
    load_task (c, j, &in->tasks.tasks_val[i]);
  if (j->open_tasks > 0)
    return;
  TAILQ_REMOVE (&c->job_list, j, link);
  TAILQ_INSERT_TAIL (&c->finished, j, link);
  c->finished_count++;
  j->in_finished = true;
  j->finished_ms = in->finished_ms;
}

static void
load_intent (struct cell *c, cell_intent_image *in)
{
  struct cell_intent *i = xcalloc (1, sizeof *i);
  i->customer = xstrdup (in->customer);
  i->key = xstrdup (in->key);
  i->request_hash = in->request_hash;
  i->attempt = in->attempt;
  i->begun_ms = in->begun_ms;
  i->finished = in->finished;
  i->outcome = in->outcome;
  i->code = in->code;
  i->answer = in->answer.answer_val;
  i->answer_len = in->answer.answer_len;
  in->answer.answer_val = NULL;
  in->answer.answer_len = 0;
  cell_add_intent (c, i);
}

static void
load_handoff (struct cell *c, const cell_handoff_image *in)
{
  struct cell_handoff *h = xcalloc (1, sizeof *h);
  h->task = in->task;
  h->epoch = in->epoch;
  h->accepted = in->accepted;
  h->local_task = in->local_task;
  h->at_ms = in->at_ms;
  cell_add_handoff (c, h);
}

static void
load_image (struct cell *c, cell_image *image)
{
  c->number = image->cell;
  c->epoch = image->epoch;
  c->next_id = image->next_id;
  c->now_ms = image->now_ms;
  for (u_int i = 0; i < image->jobs.jobs_len; i++)
    load_job (c, &image->jobs.jobs_val[i]);
  for (u_int i = 0; i < image->intents.intents_len; i++)
    load_intent (c, &image->intents.intents_val[i]);
  for (u_int i = 0; i < image->handoffs.handoffs_len; i++)
    load_handoff (c, &image->handoffs.handoffs_val[i]);
}

int
cell_load (struct machine *m, const void *data, size_t len, struct status *st)
{
  struct cell *c = (struct cell *)m;
  XDR xdr;
  cell_image image;
  memset (&image, 0, sizeof image);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  bool ok = xdr_cell_image (&xdr, &image) && image.format == IMAGE_FORMAT;
  if (ok)
    {
      cell_free_all (c);
      load_image (c, &image);
      if (c->observer.reloaded)
        c->observer.reloaded (c->observer.ctx);
    }
  xdr_free ((xdrproc_t)xdr_cell_image, (char *)&image);
  return ok ? 0 : status_set (st, STATUS_JOURNAL_DAMAGED, "the cell snapshot cannot be decoded");
}
