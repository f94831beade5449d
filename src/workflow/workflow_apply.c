/* Applies committed commands.  */
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "workflow_internal.h"
#include "xdr_append.h"

static bool
is_lasting (const struct workflow_task *t)
{
  return workflow_step_of (t)->flags & WORKFLOW_STEP_LASTING;
}

static bool
stage_is_ready (const struct workflow_job *j, uint32_t occurrence, uint32_t step)
{
  const workflow_step *s = &j->spec.steps.steps_val[step];
  const struct workflow_stage *stages = &j->stages[(size_t)occurrence * j->spec.steps.steps_len];
  for (u_int i = 0; i < s->after.after_len; i++)
    {
      uint32_t before = s->after.after_val[i];
      if (stages[before].done < j->spec.steps.steps_val[before].count)
        return false;
    }
  return true;
}

static void
set_ready (struct workflow *w, struct workflow_task *t, bool ready)
{
  if (t->ready == ready)
    return;
  t->ready = ready;
  if (ready)
    TAILQ_INSERT_TAIL (&w->ready, t, link);
  else
    TAILQ_REMOVE (&w->ready, t, link);
}

static void
update_stage (struct workflow *w, struct workflow_job *j, uint32_t occurrence, uint32_t step)
{
  struct workflow_stage *stage = &j->stages[(size_t)occurrence * j->spec.steps.steps_len + step];
  bool is_ready = j->state == WORKFLOW_JOB_OPEN && stage_is_ready (j, occurrence, step);
  for (uint32_t i = 0; i < j->spec.steps.steps_val[step].count; i++)
    {
      struct workflow_task *t = &stage->tasks[i];
      set_ready (w, t, is_ready && t->state == WORKFLOW_TASK_WAITING);
    }
}

void
workflow_update_ready (struct workflow *w, struct workflow_job *j)
{
  for (uint32_t k = 0; k < j->occurrences; k++)
    for (uint32_t s = 0; s < j->spec.steps.steps_len; s++)
      update_stage (w, j, k, s);
}

/* Updates the steps that may depend on STEP, which has just completed.  */
static void
update_dependents (struct workflow *w, struct workflow_job *j, uint32_t occurrence, uint32_t step)
{
  for (uint32_t s = step + 1; s < j->spec.steps.steps_len; s++)
    update_stage (w, j, occurrence, s);
}

static size_t
text_bytes (const char *text)
{
  return text ? strlen (text) + 1 : 0;
}

void
workflow_set_checkpoint (struct workflow *w, struct workflow_task *t, const char *checkpoint)
{
  w->checkpoint_bytes -= text_bytes (t->checkpoint);
  free (t->checkpoint);
  t->checkpoint = checkpoint[0] ? xstrdup (checkpoint) : NULL;
  w->checkpoint_bytes += text_bytes (t->checkpoint);
}

static void
drop_checkpoints (struct workflow *w, struct workflow_job *j)
{
  for (uint32_t i = 0; i < j->occurrences * j->spec.steps.steps_len; i++)
    for (uint32_t k = 0; k < j->spec.steps.steps_val[i % j->spec.steps.steps_len].count; k++)
      workflow_set_checkpoint (w, &j->stages[i].tasks[k], "");
}

void
workflow_set_job_state (struct workflow *w, struct workflow_job *j, enum workflow_job_state state)
{
  if (j->state != WORKFLOW_JOB_OPEN || state == WORKFLOW_JOB_OPEN)
    return;
  j->state = state;
  TAILQ_REMOVE (&w->open, j, link);
  TAILQ_INSERT_TAIL (&w->finished, j, link);
  workflow_update_ready (w, j);
  drop_checkpoints (w, j);
  if (w->observer.job_ended)
    w->observer.job_ended (w->observer.arg, j);
}

struct workflow_run *
workflow_add_run (struct workflow *w, struct workflow_task *t, uint32_t run, const char *worker)
{
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    {
      if (t->runs[i])
        continue;
      struct workflow_run *r = xcalloc (1, sizeof *r);
      r->task = t;
      r->run = run;
      r->on = run_workers_add_run (&w->run_workers, worker);
      r->worker = r->on->id;
      t->runs[i] = r;
      t->job->runs++;
      TAILQ_INSERT_TAIL (&w->runs, r, link);
      return r;
    }
  return NULL;
}

static void
remove_run (struct workflow *w, struct workflow_run *r)
{
  struct workflow_task *t = r->task;
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    if (t->runs[i] == r)
      t->runs[i] = NULL;
  t->job->runs--;
  TAILQ_REMOVE (&w->runs, r, link);
  run_workers_remove_run (&w->run_workers, r->on);
  free (r);
}

static bool
has_runs (const struct workflow_task *t)
{
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    if (t->runs[i])
      return true;
  return false;
}

/* False while the configuration is without the job's queue, whose limit may come back with it.  */
static bool
has_used_its_attempts (const struct workflow *w, const struct workflow_task *t)
{
  if (t->failures == 0 || is_lasting (t))
    return false;
  const workflow_queue *q = workflow_queue_of (w, t->job);
  return q && t->failures >= (q->max_attempts > 0 ? q->max_attempts : 1);
}

static void
fail_task (struct workflow *w, struct workflow_task *t)
{
  t->state = WORKFLOW_TASK_FAILED;
  workflow_set_job_state (w, t->job, WORKFLOW_JOB_FAILED);
}

/* A configuration may allow fewer attempts than a task that waits for its next one has had.  */
static void
fail_exhausted_tasks (struct workflow *w)
{
  struct workflow_task *t = TAILQ_FIRST (&w->ready);
  while (t)
    if (has_used_its_attempts (w, t))
      {
        fail_task (w, t); /* removes all tasks of its job from the list */
        t = TAILQ_FIRST (&w->ready);
      }
    else
      t = TAILQ_NEXT (t, link);
}

/* ACCOUNTS is NULL for a configuration without client accounts.  */
static void
apply_configure (struct workflow *w, workflow_configuration *c, workflow_accounts *accounts,
                 workflow_result *r)
{
  struct status st;
  if (c->revision <= w->configuration.revision)
    {
      r->status = STATUS_VERSION_CONFLICT;
      return;
    }
  if (workflow_check_configuration (c, &st) < 0 || (accounts && accounts_check (accounts, &st) < 0))
    {
      r->status = STATUS_INVALID_LIST;
      return;
    }
  xdr_free ((xdrproc_t)xdr_workflow_configuration, (char *)&w->configuration);
  w->configuration = *c;
  memset (c, 0, sizeof *c);
  accounts_configure (&w->accounts, accounts);
  fail_exhausted_tasks (w);
}

bool
workflow_set_zone (struct workflow *w, const char *zone, bool out)
{
  for (size_t i = 0; i < w->zone_count; i++)
    {
      if (strcmp (w->zones_out[i], zone) != 0)
        continue;
      if (out)
        return true;
      free (w->zones_out[i]);
      w->zones_out[i] = w->zones_out[--w->zone_count];
      return true;
    }
  if (!out)
    return true;
  if (w->zone_count == WORKFLOW_MAX_ZONES)
    return false;
  w->zones_out[w->zone_count++] = xstrdup (zone);
  return true;
}

/* ACCOUNT: name, "" for none.  */
static void
apply_submit (struct workflow *w, workflow_spec *spec, const char *account, workflow_result *r)
{
  struct status st;
  const struct workflow_job *known = workflow_find_job (w, spec->id);
  const struct account *caller = account[0] ? accounts_find (&w->accounts, account) : NULL;
  if (account[0] && (!caller || !caller->in_force))
    {
      r->status = STATUS_UNAUTHORIZED;
      return;
    }
  if (known)
    {
      r->known = true;
      if (!accounts_may_use (caller, known->account))
        r->status = STATUS_IN_PROGRESS;
      return;
    }
  if (workflow_check_size (spec, &st) < 0)
    {
      r->status = STATUS_BAD_REQUEST;
      return;
    }
  if (!workflow_find_queue (w, spec->queue) || withdrawn_ids_has (&w->withdrawn, spec->id))
    {
      r->status = STATUS_NOT_FOUND;
      return;
    }
  struct workflow_job *j = workflow_add_job (w, spec);
  workflow_set_owner (w, j, account);
  workflow_update_ready (w, j);
}

static void
apply_cancel (struct workflow *w, uint64_t id, workflow_result *r)
{
  struct workflow_job *j = workflow_find_job (w, id);
  if (j)
    {
      workflow_set_job_state (w, j, WORKFLOW_JOB_CANCELLED);
      return;
    }
  withdrawn_ids_add (&w->withdrawn, id);
  r->status = STATUS_NOT_FOUND;
}

static bool
can_place (const struct workflow_task *t)
{
  if (t->job->state != WORKFLOW_JOB_OPEN)
    return false;
  if (t->state == WORKFLOW_TASK_WAITING)
    return t->ready;
  return t->state == WORKFLOW_TASK_PLACED
         && (workflow_step_of (t)->flags & WORKFLOW_STEP_SPECULATIVE);
}

static void
apply_place (struct workflow *w, const workflow_place *p, workflow_result *r)
{
  struct workflow_task *t = workflow_find_task (w, &p->task);
  if (!t)
    {
      r->status = STATUS_NOT_FOUND;
      return;
    }
  struct workflow_run *run = NULL;
  if (p->run == t->last_run + 1 && can_place (t))
    run = workflow_add_run (w, t, p->run, p->worker);
  if (!run)
    {
      r->status = STATUS_STALE_EPOCH;
      return;
    }
  run_workers_clear_drain (&w->run_workers, run->on);
  t->last_run = p->run;
  t->state = WORKFLOW_TASK_PLACED;
  t->job->started++;
  set_ready (w, t, false);
  if (w->observer.placed)
    w->observer.placed (w->observer.arg, run);
}

static void
finish_task (struct workflow *w, struct workflow_task *t)
{
  struct workflow_job *j = t->job;
  struct workflow_stage *stage = workflow_stage_of (t);
  t->state = WORKFLOW_TASK_DONE;
  workflow_set_checkpoint (w, t, "");
  if (++stage->done < workflow_step_of (t)->count)
    return;
  j->stages_done++;
  if (j->stages_done == j->occurrences * j->spec.steps.steps_len)
    workflow_set_job_state (w, j, WORKFLOW_JOB_COMPLETED);
  else
    update_dependents (w, j, t->occurrence, t->step);
}

/* Updates the state of T after a run of it ended and was removed.  */
static void
update_task (struct workflow *w, struct workflow_task *t, enum workflow_outcome outcome)
{
  if (t->state == WORKFLOW_TASK_DONE || t->state == WORKFLOW_TASK_FAILED)
    return;
  if (outcome == WORKFLOW_DONE && !is_lasting (t))
    {
      finish_task (w, t);
      return;
    }
  if (outcome == WORKFLOW_FAILED)
    t->failures++;
  if (has_used_its_attempts (w, t) || crash_blame_is_final (&t->blame))
    {
      fail_task (w, t);
      return;
    }
  if (has_runs (t))
    return;
  t->state = WORKFLOW_TASK_WAITING;
  set_ready (w, t, t->job->state == WORKFLOW_JOB_OPEN);
}

/* Accepts a DONE end of a run that had been marked as lapsed: the task needs no further run.  */
static bool
accept_late_end (struct workflow *w, struct workflow_task *t, const workflow_end *e)
{
  bool open = t->job->state == WORKFLOW_JOB_OPEN
              && (t->state == WORKFLOW_TASK_WAITING || t->state == WORKFLOW_TASK_PLACED);
  if (!open || e->outcome != WORKFLOW_DONE || e->run > t->last_run || is_lasting (t))
    return false;
  set_ready (w, t, false);
  finish_task (w, t);
  if (w->observer.done_late)
    w->observer.done_late (w->observer.arg, t);
  return true;
}

static void
apply_end (struct workflow *w, const workflow_end *e, workflow_result *r)
{
  struct workflow_task *t = workflow_find_task (w, &e->task);
  struct workflow_run *run = t ? workflow_find_run (t, e->run) : NULL;
  if (!run)
    {
      if (!t || !accept_late_end (w, t, e))
        r->status = t ? STATUS_STALE_EPOCH : STATUS_NOT_FOUND;
      return;
    }
  if (e->checkpoint[0] && t->job->state == WORKFLOW_JOB_OPEN)
    workflow_set_checkpoint (w, t, e->checkpoint);
  if (e->outcome == WORKFLOW_NOT_STARTED)
    t->job->started--;
  crash_blame_add (&t->blame, e->outcome);
  if (w->observer.ended)
    w->observer.ended (w->observer.arg, run, e->outcome);
  remove_run (w, run);
  update_task (w, t, e->outcome);
}

static void
apply_prune (struct workflow *w, const uint64_t *ids, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct workflow_job *j = workflow_find_job (w, ids[i]);
      if (j && j->state != WORKFLOW_JOB_OPEN && j->runs == 0)
        workflow_free_job (w, j);
    }
}

enum status_kind
workflow_add_drain (struct workflow *w, workflow_drain *drain)
{
  enum status_kind why;
  struct run_worker *on = run_workers_set_drain (&w->run_workers, drain, &why);
  if (on && w->observer.drained)
    w->observer.drained (w->observer.arg, on);
  return why;
}

static void
apply_command (struct workflow *w, workflow_command *c, workflow_result *r)
{
  switch (c->kind)
    {
    case WORKFLOW_CONFIGURE:
      apply_configure (w, &c->workflow_command_u.configuration, NULL, r);
      break;
    case WORKFLOW_CONFIGURE_ACCOUNTS:
      apply_configure (w, &c->workflow_command_u.accounts.configuration,
                       &c->workflow_command_u.accounts.accounts, r);
      break;
    case WORKFLOW_ZONE:
      if (!workflow_set_zone (w, c->workflow_command_u.zone.zone, c->workflow_command_u.zone.out))
        r->status = STATUS_TOO_LARGE;
      break;
    case WORKFLOW_SUBMIT:
      apply_submit (w, &c->workflow_command_u.spec, "", r);
      break;
    case WORKFLOW_SUBMIT_AS:
      apply_submit (w, &c->workflow_command_u.submission.spec,
                    c->workflow_command_u.submission.account, r);
      break;
    case WORKFLOW_CANCEL:
      apply_cancel (w, c->workflow_command_u.cancel, r);
      break;
    case WORKFLOW_PLACE:
      apply_place (w, &c->workflow_command_u.place, r);
      break;
    case WORKFLOW_END:
      apply_end (w, &c->workflow_command_u.end, r);
      break;
    case WORKFLOW_DRAIN:
      r->status = workflow_add_drain (w, &c->workflow_command_u.drain);
      break;
    case WORKFLOW_PRUNE:
      apply_prune (w, c->workflow_command_u.prune.prune_val, c->workflow_command_u.prune.prune_len);
      break;
    }
}

static void
workflow_apply (struct machine *m, uint64_t index, const void *command, size_t len,
                struct buffer *result)
{
  struct workflow *w = (struct workflow *)m;
  workflow_command c;
  workflow_result r = { .status = STATUS_OK };
  XDR xdr;
  (void)index;
  memset (&c, 0, sizeof c);
  xdrmem_create (&xdr, (char *)command, (u_int)len, XDR_DECODE);
  if (xdr_workflow_command (&xdr, &c))
    apply_command (w, &c, &r);
  else
    r.status = STATUS_BAD_REQUEST;
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_workflow_command, (char *)&c);
  xdr_append (result, (xdrproc_t)xdr_workflow_result, &r);
}

static const struct machine_ops ops
    = { .apply = workflow_apply, .save = workflow_save, .load = workflow_load };

/* Of the hashes of keys, which callers must not be able to predict.  */
static uint64_t
draw_seed (void)
{
  uint64_t seed = 0;
  if (getrandom (&seed, sizeof seed, GRND_NONBLOCK) != sizeof seed)
    seed = (uint64_t)time (NULL) << 32 ^ (uint64_t)getpid ();
  return seed;
}

void
workflow_init (struct workflow *w)
{
  memset (w, 0, sizeof *w);
  w->machine.ops = &ops;
  cell_map_init (&w->jobs);
  withdrawn_ids_init (&w->withdrawn);
  run_workers_init (&w->run_workers);
  accounts_init (&w->accounts, draw_seed ());
  LIST_INIT (&w->origins);
  TAILQ_INIT (&w->open);
  TAILQ_INIT (&w->finished);
  TAILQ_INIT (&w->ready);
  TAILQ_INIT (&w->runs);
}

static uint32_t
stage_count (const struct workflow_job *j)
{
  return j->occurrences * j->spec.steps.steps_len;
}

/* Estimates come from requests as they are; a path beyond UINT32_MAX ms (49 days) counts as that.
 */
static uint32_t
add_estimate (uint32_t path_ms, uint32_t estimate_ms)
{
  return estimate_ms < UINT32_MAX - path_ms ? path_ms + estimate_ms : UINT32_MAX;
}

/* Steps depend on earlier steps only, so a single pass from the last step suffices.  */
static void
compute_critical_path (struct workflow_job *j)
{
  u_int count = j->spec.steps.steps_len;
  j->remain_ms = xcalloc (count, sizeof *j->remain_ms);
  for (u_int i = count; i-- > 0;)
    {
      const workflow_step *s = &j->spec.steps.steps_val[i];
      j->remain_ms[i] = add_estimate (j->remain_ms[i], s->estimate_ms);
      if (j->remain_ms[i] > j->critical_path_ms)
        j->critical_path_ms = j->remain_ms[i];
      for (u_int k = 0; k < s->after.after_len; k++)
        {
          uint32_t *before = &j->remain_ms[s->after.after_val[k]];
          if (j->remain_ms[i] > *before)
            *before = j->remain_ms[i];
        }
    }
}

void
workflow_set_origin (struct workflow *w, struct workflow_job *j, const char *host,
                     const char *path_prefix)
{
  struct job_origin *before = j->origin;
  j->origin = job_origin_add_job (&w->origins, host, path_prefix, j->spec.queue);
  if (before)
    job_origin_remove_job (before);
}

void
workflow_set_owner (struct workflow *w, struct workflow_job *j, const char *account)
{
  struct account *before = j->account;
  j->account = accounts_add_job (&w->accounts, account);
  accounts_remove_job (&w->accounts, before);
}

struct workflow_job *
workflow_add_job (struct workflow *w, workflow_spec *spec)
{
  struct workflow_job *j = xcalloc (1, sizeof *j);
  j->spec = *spec;
  memset (spec, 0, sizeof *spec);
  const workflow_queue *q = workflow_find_queue (w, j->spec.queue);
  workflow_set_origin (w, j, q ? q->host : "", q ? q->path_prefix : "");
  j->occurrences = j->spec.repetitions > 0 ? j->spec.repetitions : 1;
  w->job_bytes += workflow_job_bytes (&j->spec);
  compute_critical_path (j);
  j->stages = xcalloc (stage_count (j), sizeof *j->stages);
  for (uint32_t i = 0; i < stage_count (j); i++)
    {
      uint32_t step = i % j->spec.steps.steps_len;
      uint32_t count = j->spec.steps.steps_val[step].count;
      j->stages[i].tasks = xcalloc (count, sizeof (struct workflow_task));
      for (uint32_t k = 0; k < count; k++)
        {
          struct workflow_task *t = &j->stages[i].tasks[k];
          t->job = j;
          t->occurrence = i / j->spec.steps.steps_len;
          t->step = step;
          t->index = k;
        }
    }
  cell_map_add (&w->jobs, &j->node, cell_hash_id (j->spec.id));
  TAILQ_INSERT_TAIL (&w->open, j, link);
  return j;
}

static void
free_task (struct workflow *w, struct workflow_task *t)
{
  for (int i = 0; i < WORKFLOW_MAX_RUNS; i++)
    if (t->runs[i])
      remove_run (w, t->runs[i]);
  set_ready (w, t, false);
  workflow_set_checkpoint (w, t, "");
}

void
workflow_free_job (struct workflow *w, struct workflow_job *j)
{
  for (uint32_t i = 0; i < stage_count (j); i++)
    {
      uint32_t count = j->spec.steps.steps_val[i % j->spec.steps.steps_len].count;
      for (uint32_t k = 0; k < count; k++)
        free_task (w, &j->stages[i].tasks[k]);
      free (j->stages[i].tasks);
    }
  w->job_bytes -= workflow_job_bytes (&j->spec);
  free (j->stages);
  free (j->remain_ms);
  job_origin_remove_job (j->origin);
  accounts_remove_job (&w->accounts, j->account);
  cell_map_remove (&w->jobs, &j->node);
  if (j->state == WORKFLOW_JOB_OPEN)
    TAILQ_REMOVE (&w->open, j, link);
  else
    TAILQ_REMOVE (&w->finished, j, link);
  xdr_free ((xdrproc_t)xdr_workflow_spec, (char *)&j->spec);
  free (j);
}

void
workflow_free_all (struct workflow *w)
{
  struct workflow_job *j;
  while ((j = TAILQ_FIRST (&w->open)) != NULL)
    workflow_free_job (w, j);
  while ((j = TAILQ_FIRST (&w->finished)) != NULL)
    workflow_free_job (w, j);
  while (w->zone_count > 0)
    free (w->zones_out[--w->zone_count]);
  withdrawn_ids_clear (&w->withdrawn);
  accounts_configure (&w->accounts, NULL);
  xdr_free ((xdrproc_t)xdr_workflow_configuration, (char *)&w->configuration);
  memset (&w->configuration, 0, sizeof w->configuration);
}

void
workflow_close (struct workflow *w)
{
  workflow_free_all (w);
  withdrawn_ids_close (&w->withdrawn);
  run_workers_close (&w->run_workers);
  accounts_close (&w->accounts);
  cell_map_close (&w->jobs);
}
