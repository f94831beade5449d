/* Estimates learned from polls and ended runs: interference, sizes, run times, health.  */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "scheduler_internal.h"

#define URGENT_STABLE_MS 30000
#define RATIO_RISE_PER_POLL 0.5
#define RATIO_FALL_PER_POLL 0.02
#define USAGE_RATE_PER_POLL 0.1
#define MAX_MIX 64
/* A batch task that raises a service's predicted slowdown by less is not refused for it.  */
#define NEGLIGIBLE_ADDED_SLOWDOWN 0.005
#define URGENT_MAX_CRASHES 8
#define BATCH_MAX_CRASHES 6

double
sched_expected_use (const struct sched_task *st)
{
  double millicores = (double)st->allocated.millicores * st->cls->usage_ratio;
  if (st->limit_millicores && millicores > st->limit_millicores)
    return st->limit_millicores;
  return millicores;
}

static struct sched_mix_entry *
find_mix_entry (struct sched_mix_entry *list, size_t *count, int id, bool make)
{
  for (size_t i = 0; i < *count; i++)
    if (list[i].id == id)
      return &list[i];
  if (!make || *count == SCHED_MIX_SIZE)
    return NULL;
  struct sched_mix_entry *e = &list[(*count)++];
  memset (e, 0, sizeof *e);
  e->id = id;
  return e;
}

void
sched_mix_add (struct sched_worker *w, const struct sched_task *st)
{
  struct sched_task *own = (struct sched_task *)st;
  own->mix_millicores = sched_expected_use (st);
  w->used_millicores += st->mix_millicores;
  struct sched_mix_entry *e
      = st->cls->urgent ? find_mix_entry (w->services, &w->service_count, st->cls->id, true)
                        : find_mix_entry (w->classes, &w->class_count, st->cls->id, true);
  if (!e)
    return;
  e->count++;
  e->millicores += st->mix_millicores;
}

void
sched_mix_remove (struct sched_worker *w, const struct sched_task *st)
{
  struct sched_mix_entry *list = st->cls->urgent ? w->services : w->classes;
  size_t *count = st->cls->urgent ? &w->service_count : &w->class_count;
  w->used_millicores = fmax (w->used_millicores - st->mix_millicores, 0);
  struct sched_mix_entry *e = find_mix_entry (list, count, st->cls->id, false);
  if (!e)
    return;
  e->millicores = fmax (e->millicores - st->mix_millicores, 0);
  if (--e->count == 0)
    *e = list[--*count];
}

static size_t
mix_of (const struct sched_worker *w, struct interference_load *mix)
{
  for (size_t i = 0; i < w->class_count; i++)
    {
      mix[i].class_id = w->classes[i].id;
      mix[i].share = w->classes[i].millicores / (double)w->total.millicores;
    }
  return w->class_count;
}

double
sched_batch_interference (struct scheduler *s, const struct sched_worker *w,
                          const struct sched_task *st)
{
  if (w->service_count == 0 || w->total.millicores == 0)
    return 0;
  struct interference_load mix[SCHED_MIX_SIZE + 1];
  size_t count = mix_of (w, mix);
  double total = (double)w->total.millicores;
  double millicores = (double)sched_need (s, st).millicores * st->cls->usage_ratio;
  mix[count].class_id = st->cls->id;
  mix[count].share = millicores / total;
  double load = w->used_millicores / total;
  double interference = 0;
  for (size_t i = 0; i < w->service_count; i++)
    {
      int service = w->services[i].id;
      double before = interference_predict (s->model, service, mix, count, load);
      double after
          = interference_predict (s->model, service, mix, count + 1, load + millicores / total);
      if (after > INTERFERENCE_SLOWDOWN_LIMIT && after - before > NEGLIGIBLE_ADDED_SLOWDOWN)
        return PLACEMENT_REFUSED;
      interference += w->services[i].count * fmax (after - before, 0);
    }
  return interference;
}

double
sched_urgent_interference (struct scheduler *s, const struct sched_worker *w,
                           const struct sched_task *st)
{
  struct interference_load mix[SCHED_MIX_SIZE];
  if (w->total.millicores == 0)
    return PLACEMENT_REFUSED;
  size_t count = mix_of (w, mix);
  double load = (w->used_millicores + (double)sched_need (s, st).millicores * st->cls->usage_ratio)
                / (double)w->total.millicores;
  double slowdown = interference_predict (s->model, st->cls->id, mix, count, load);
  return slowdown > INTERFERENCE_SLOWDOWN_LIMIT ? PLACEMENT_REFUSED : slowdown - 1;
}

double
sched_worst_predicted (const struct scheduler *s, const struct sched_worker *w)
{
  struct interference_load mix[SCHED_MIX_SIZE];
  size_t count = mix_of (w, mix);
  double load = w->used_millicores / (double)w->total.millicores;
  double worst = 1;
  for (size_t i = 0; i < w->service_count; i++)
    worst = fmax (worst, interference_predict (s->model, w->services[i].id, mix, count, load));
  return worst;
}

double
sched_task_interference (struct scheduler *s, const struct sched_worker *w,
                         const struct sched_task *st)
{
  double load = w->used_millicores / (double)w->total.millicores;
  double share = st->mix_millicores / (double)w->total.millicores;
  double interference = 0;
  for (size_t i = 0; i < w->service_count; i++)
    interference += w->services[i].count * share
                    * interference_coefficient (s->model, w->services[i].id, st->cls->id, load);
  return interference;
}

/* Batch load of W at AT_MS, when the sample was taken.  */
static size_t
mix_at (const struct sched_worker *w, int64_t at_ms, struct interference_load *mix)
{
  size_t count = 0;
  const struct sched_task *st;
  double total = (double)w->total.millicores;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    if (st->cls->urgent || st->run_from_ms == 0 || st->run_from_ms > at_ms || count == MAX_MIX)
      continue;
    mix[count].class_id = st->cls->id;
    mix[count++].share = (st->used_millicores ? st->used_millicores : st->mix_millicores) / total;
  }
  for (size_t i = 0; i < SCHED_RECENT_RUNS && count < MAX_MIX; i++)
    {
      const struct sched_recent_run *r = &w->recent[i];
      if (r->from_ms == 0 || r->from_ms > at_ms || r->to_ms <= at_ms)
        continue;
      mix[count].class_id = r->class_id;
      mix[count++].share = r->millicores / total;
    }
  return count;
}

static void
update_ratio (double *ratio, double seen)
{
  *ratio += (seen > *ratio ? RATIO_RISE_PER_POLL : RATIO_FALL_PER_POLL) * (seen - *ratio);
}

static void
learn_size (const struct sched_task *st)
{
  struct sched_class *c = st->cls;
  const cell_size *size = &st->t->job->spec.size;
  if (st->used_millicores == 0 || st->allocated.millicores == 0)
    return;
  c->usage_ratio
      += USAGE_RATE_PER_POLL
         * ((double)st->used_millicores / (double)st->allocated.millicores - c->usage_ratio);
  if (c->urgent)
    return;
  /* The usage of a throttled task shows its limit, not its demand.  */
  if (st->throttle_reason == SCHED_THROTTLE_NONE || st->used_millicores > st->limit_millicores)
    update_ratio (&c->processor_ratio, (double)st->used_millicores / size->millicores);
  if (st->used_memory_mb > 0)
    update_ratio (&c->memory_ratio, (double)st->used_memory_mb / size->memory_mb);
}

static void
record_stable_run (struct scheduler *s, struct sched_worker *w, struct sched_task *st)
{
  if (st->stable || st->run_from_ms == 0 || s->now_ms - st->run_from_ms < URGENT_STABLE_MS)
    return;
  st->stable = true;
  class_health_record (&st->cls->health, true);
  if (!w->health.quarantined)
    worker_health_on_success (&w->health);
}

void
sched_learn_poll (struct scheduler *s, struct sched_worker *w, const struct worker_poll *p)
{
  int64_t at_ms = s->now_ms - p->measured_ago_ms;
  struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  if (st->cls->urgent && st->listed == CELL_REPORT_RUNNING && st->listed_poll == w->sequence)
    record_stable_run (s, w, st);
  if (sched_has_policy (s, SCHEDULER_NO_LEARNING) || at_ms <= w->learned_ms
      || w->total.millicores == 0)
    return;
  w->learned_ms = at_ms;
  struct interference_load mix[MAX_MIX];
  size_t count = mix_at (w, at_ms, mix);
  double load = p->used_millicores / (double)w->total.millicores;
  TAILQ_FOREACH (st, &w->tasks, link)
  {
    if (st->listed_poll != w->sequence || st->run_from_ms == 0 || st->run_from_ms > at_ms)
      continue;
    learn_size (st);
    if (st->cls->urgent && st->slowdown_milli > 0)
      interference_learn (s->model, st->cls->id, mix, count, load, st->slowdown_milli / 1000.0);
  }
}

void
sched_learn_done (struct scheduler *s, struct sched_task *st)
{
  struct sched_worker *w = st->worker;
  class_health_record (&st->cls->health, true);
  if (w && worker_health_on_success (&w->health))
    {
      s->quarantined--;
      log_line (LOG_INFO, "worker %s left quarantine", w->id);
    }
  if (w)
    sched_update_row (s, w);
  if (sched_has_policy (s, SCHEDULER_NO_LEARNING) || st->cls->urgent || st->run_from_ms == 0
      || st->throttle_reason != SCHED_THROTTLE_NONE)
    return;
  uint64_t ran = st->start_progress_ms + (uint64_t)(s->now_ms - st->run_from_ms);
  run_time_record (&st->cls->run, st->t->job->spec.run_ms, ran);
}

static bool
healthy_worker (const struct scheduler *s, const char *id)
{
  const struct sched_worker *w = sched_find_worker (s, id);
  return !w || !w->health.quarantined;
}

static void
fail_job (struct scheduler *s, struct sched_task *st, uint32_t workers)
{
  cell_command cmd;
  char reason[CELL_REASON_BYTES];
  memset (&cmd, 0, sizeof cmd);
  cmd.kind = CELL_FAIL_JOB;
  cmd.cell_command_u.fail_job.job = st->t->job->id;
  snprintf (reason, sizeof reason, "failed %u times, on %u healthy workers; last: %.128s",
            st->t->failures, workers, st->reason ? st->reason : "no reason given");
  cmd.cell_command_u.fail_job.reason = xstrdup (reason);
  s->stats.failed_jobs++;
  sched_propose (s, &cmd, NULL);
}

/* Fails a job that failed on several healthy workers; a service has to crash more often.  */
static void
fail_job_if_failing (struct scheduler *s, struct sched_task *st)
{
  const struct cell_task *t = st->t;
  uint32_t workers = 0;
  for (int i = 0; i < CELL_FAILED_WORKERS; i++)
    if (t->failed_on[i][0] && healthy_worker (s, t->failed_on[i]))
      workers++;
  uint32_t required_workers = WORKER_HEALTH_JOB_FAILED_WORKERS;
  if (s->worker_count < required_workers)
    required_workers = (uint32_t)s->worker_count;
  bool crashed_often = t->failures >= (st->cls->urgent ? URGENT_MAX_CRASHES : BATCH_MAX_CRASHES);
  if (workers < required_workers && !(crashed_often && workers > 0))
    return;
  if (st->cls->urgent && !crashed_often)
    return;
  fail_job (s, st, workers);
}

void
sched_learn_failed (struct scheduler *s, struct sched_task *st)
{
  struct sched_worker *w = st->worker;
  if (w && !sched_has_policy (s, SCHEDULER_NO_QUARANTINE))
    {
      bool may_quarantine = (double)s->quarantined + 1
                            <= WORKER_HEALTH_MAX_QUARANTINED_SHARE * (double)s->worker_count + 1;
      if (worker_health_on_failure (&w->health, &st->cls->health, s->now_ms, may_quarantine))
        {
          s->quarantined++;
          s->stats.quarantines++;
          log_line (LOG_WARN, "worker %s is quarantined: %u failures in a row", w->id,
                    w->health.failures);
        }
      sched_update_row (s, w);
    }
  class_health_record (&st->cls->health, false);
  fail_job_if_failing (s, st);
}

void
sched_record_run_end (struct scheduler *s, struct sched_task *st)
{
  struct sched_worker *w = st->worker;
  if (w->probe_task == st->t->id)
    {
      worker_health_cancel_probe (&w->health, s->now_ms);
      w->probe_task = 0;
    }
  if (st->cls->urgent || st->run_from_ms == 0)
    return;
  struct sched_recent_run *r = &w->recent[w->recent_next++ % SCHED_RECENT_RUNS];
  r->class_id = st->cls->id;
  r->millicores = st->used_millicores ? st->used_millicores : st->mix_millicores;
  r->from_ms = st->run_from_ms;
  r->to_ms = s->now_ms;
}
