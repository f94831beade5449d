/* Client accounts: what runs for them, their caps, and their shares of a full pool.  */
#include <inttypes.h>

#include "counters.h"
#include "dispatcher_internal.h"

#define UPDATE_MS 200        /* between two updates of what accounts were served */
#define MIN_FULL_WAIT_MS 500 /* of a task within its account's weight: the pool is full */
#define MAX_WAIT_MS 60000    /* that a refused caller is told, also if its weight is 0 */
#define MAX_CAP_LINES 20     /* accounts logged a second */
#define MILLI 1000.0

static struct counter jobs_beyond
    = { .name = "sassafras_jobs_beyond_weight_total",
        .help = "Accepted jobs beyond the weight of their client account." };

static struct account_amounts
amounts_of (const workflow_step *s)
{
  return (struct account_amounts){ .millicores = s->millicores,
                                   .memory_mb = s->memory_mb,
                                   .accelerators = s->accelerators };
}

static void
adjust (struct account_amounts *a, const struct account_amounts *task, int sign)
{
  a->millicores += (uint64_t)sign * task->millicores;
  a->memory_mb += (uint64_t)sign * task->memory_mb;
  a->accelerators += (uint64_t)sign * task->accelerators;
}

void
dispatch_adjust_account (const struct dispatch_run *r, int sign)
{
  struct account *a = r->task->job->account;
  const workflow_step *s = workflow_step_of (r->task);
  const struct account_amounts task = amounts_of (s);
  if (!a)
    return;
  adjust (&a->running, &task, sign);
  if (!(s->flags & WORKFLOW_STEP_LASTING))
    adjust (&a->shared, &task, sign);
  a->runs += (uint32_t)sign;
}

static bool
fits (const struct account_amounts *cap, const struct account_amounts *running,
      const struct account_amounts *task)
{
  return (cap->millicores == 0 || running->millicores + task->millicores <= cap->millicores)
         && (cap->memory_mb == 0 || running->memory_mb + task->memory_mb <= cap->memory_mb)
         && (cap->accelerators == 0
             || running->accelerators + task->accelerators <= cap->accelerators);
}

bool
dispatcher_fits_cap (const struct account *a, const workflow_spec *spec)
{
  const struct account_amounts none = { 0 };
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      const struct account_amounts task = amounts_of (&spec->steps.steps_val[i]);
      if (!fits (&a->cap, &none, &task))
        return false;
    }
  return true;
}

/* A task that was accepted before the cap fell below it runs while nothing else of its account
   does.  */
bool
dispatch_cap_allows (const struct workflow_task *t)
{
  const struct account *a = t->job->account;
  const struct account_amounts task = amounts_of (workflow_step_of (t));
  return !a || a->runs == 0 || fits (&a->cap, &a->running, &task);
}

static void
begin_counting (const struct dispatcher *d, struct account *a)
{
  if (a->counted_tick == d->ticks)
    return;
  a->counted_tick = d->ticks;
  a->waiting = 0;
  a->held_by_cap = 0;
}

void
dispatch_count_waiting (const struct dispatcher *d, const struct workflow_task *t, bool held_by_cap)
{
  struct account *a = t->job->account;
  if (!a)
    return;
  begin_counting (d, a);
  a->waiting++;
  a->held_by_cap += held_by_cap;
}

void
dispatch_count_job (struct dispatcher *d, struct workflow_job *j)
{
  struct account *a = j->account;
  if (!a || d->config.ignore_weights)
    return;
  j->beyond_weight = !account_share_add_job (&a->share, d->now_ms, a->weight_milli);
  counter_add (&jobs_beyond, j->beyond_weight);
}

int64_t
dispatcher_account_wait_ms (const struct dispatcher *d, int64_t now_ms, const struct account *a)
{
  int64_t wait_ms = account_share_wait_ms (&a->share, now_ms, a->weight_milli);
  if (d->config.ignore_weights || wait_ms == 0 || d->longest_wait_ms < MIN_FULL_WAIT_MS)
    return 0;
  return wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS;
}

static double
largest_share (const struct account_amounts *a, const struct account_amounts *total)
{
  double share = 0;
  if (total->millicores > 0)
    share = (double)a->millicores / (double)total->millicores;
  if (total->memory_mb > 0 && (double)a->memory_mb / (double)total->memory_mb > share)
    share = (double)a->memory_mb / (double)total->memory_mb;
  if (total->accelerators > 0 && (double)a->accelerators / (double)total->accelerators > share)
    share = (double)a->accelerators / (double)total->accelerators;
  return share < 1 ? share : 1;
}

static struct account_amounts
total_capacity (const struct dispatcher *d)
{
  struct account_amounts total = { 0 };
  const struct dispatch_worker *w;
  TAILQ_FOREACH (w, &d->worker_list, link)
  if (dispatch_usable (d, w))
    {
      total.millicores += w->millicores;
      total.memory_mb += w->memory_mb;
      total.accelerators += w->accelerators;
    }
  return total;
}

void
dispatch_update_accounts (struct dispatcher *d)
{
  const struct accounts *all = &d->config.workflow->accounts;
  struct account *a;
  double served = 0;
  double weights = 0;
  if (LIST_EMPTY (&all->list) || d->now_ms < d->accounts_next_ms)
    return;
  d->accounts_next_ms = d->now_ms + UPDATE_MS;
  const struct account_amounts total = total_capacity (d);
  LIST_FOREACH (a, &all->list, link)
  {
    account_share_add_service (&a->share, d->now_ms, largest_share (&a->shared, &total));
    if (!a->in_force)
      continue;
    served += a->share.served;
    weights += (double)a->weight_milli / MILLI;
  }
  LIST_FOREACH (a, &all->list, link)
  a->level = d->config.ignore_weights || weights <= 0
                 ? 0
                 : account_share_level (&a->share, a->weight_milli, served / weights);
}

void
dispatch_clear_accounts (struct dispatcher *d)
{
  struct account *a;
  d->accounts_next_ms = 0;
  LIST_FOREACH (a, &d->config.workflow->accounts.list, link)
  {
    account_share_init (&a->share);
    a->level = 0;
    a->waiting = 0;
    a->held_by_cap = 0;
  }
}

/* Called once a second.  */
void
dispatch_log_accounts (const struct dispatcher *d)
{
  const struct account *a;
  unsigned lines = 0;
  LIST_FOREACH (a, &d->config.workflow->accounts.list, link)
  if (a->held_by_cap > 0 && a->counted_tick == d->ticks && lines++ < MAX_CAP_LINES)
    log_event (LOG_INFO, "account-cap-binds",
               "account=%.64s waiting=%u held=%u millicores=%" PRIu64 "/%" PRIu64
               " memory_mb=%" PRIu64 "/%" PRIu64 " accelerators=%" PRIu64 "/%" PRIu64,
               a->name, a->waiting, a->held_by_cap, a->running.millicores, a->cap.millicores,
               a->running.memory_mb, a->cap.memory_mb, a->running.accelerators,
               a->cap.accelerators);
  if (lines > MAX_CAP_LINES)
    log_event (LOG_INFO, "account-caps-bind", "accounts=%u", lines);
}
