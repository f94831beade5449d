/* Answers to polls: commands result from comparing the log with the worker's task list.  */
#include <string.h>

#include "scheduler_internal.h"

/* A command is repeated after this time unless a poll shows that it was executed.  */
#define RETRY_MS 500
#define THROTTLE_REPEATS 3
#define PREEMPT_GRACE_MS 500
#define HARM_OR_CLOSED_GRACE_MS 10000
#define DRAIN_GRACE_MS 30000
#define SERVICE_GRACE_MS 5000

static struct worker_command *
add_command (struct scheduler *s, enum worker_command_kind kind, uint64_t task, uint64_t epoch)
{
  if (s->command_count == s->command_capacity)
    {
      s->command_capacity = s->command_capacity ? 2 * s->command_capacity : 64;
      s->commands = xrealloc (s->commands, s->command_capacity * sizeof *s->commands);
    }
  struct worker_command *c = &s->commands[s->command_count++];
  memset (c, 0, sizeof *c);
  c->kind = kind;
  c->task = task;
  c->epoch = epoch;
  return c;
}

/* A leader that was replaced without noticing may lag behind the log.  It must not make a worker
   drop a report that the log lacks.  It therefore acts only on epochs that its own log has reached,
   and on tasks it does not know only while a quorum confirms it.  */
static void
answer_unmatched (struct scheduler *s, const struct sched_worker *w)
{
  bool confirmed = s->confirmed_until_ms >= s->now_ms;
  for (size_t i = 0; i < w->unmatched_count; i++)
    {
      const struct sched_unmatched *g = &w->unmatched_tasks[i];
      if (g->epoch_in_log || (g->unknown && confirmed))
        add_command (s, g->running ? WORKER_STOP : WORKER_FORGET, g->task, g->epoch);
    }
}

static bool
other_epoch_runs (const struct sched_worker *w, uint64_t task)
{
  for (size_t i = 0; i < w->unmatched_count; i++)
    if (w->unmatched_tasks[i].running && w->unmatched_tasks[i].task == task)
      return true;
  return false;
}

static bool
is_due (struct scheduler *s, struct sched_worker *w, int64_t *sent_ms)
{
  w->retry_at_ms = s->now_ms + RETRY_MS;
  if (*sent_ms != 0 && s->now_ms - *sent_ms < RETRY_MS)
    return false;
  *sent_ms = s->now_ms;
  return true;
}

static void
answer_start (struct scheduler *s, struct sched_worker *w, struct sched_task *st)
{
  const struct cell_task *t = st->t;
  if (!sched_may_start (s) || t->incarnation != w->incarnation || other_epoch_runs (w, t->id))
    return;
  /* A stop or loss of this placement may already be in the log.  */
  if (st->in_flight)
    return;
  if (!is_due (s, w, &st->start_sent_ms))
    return;
  struct worker_command *c = add_command (s, WORKER_START, t->id, t->epoch);
  c->valid_ms = (uint32_t)((s->now_ms - w->handled_ms) + (s->permit_until_ms - s->now_ms));
  c->covered = t->job->spec.repeat_elsewhere;
  c->spec = &t->job->spec;
  c->checkpoint = t->checkpoint;
  c->progress_ms = t->progress_ms;
  c->index = t->index;
  s->stats.starts++;
}

/* Time to write a checkpoint before the stop; 0 when the checkpoint would take too long.  */
static uint32_t
stop_grace (const struct cell_task *t)
{
  uint32_t limit = DRAIN_GRACE_MS;
  if (t->stop == CELL_STOP_CANCEL)
    return 0;
  if (t->stop == CELL_STOP_REPLACED)
    return SERVICE_GRACE_MS;
  if (t->stop == CELL_STOP_PREEMPT)
    limit = PREEMPT_GRACE_MS;
  else if (t->stop == CELL_STOP_HARM || t->stop == CELL_STOP_CLOSED)
    limit = HARM_OR_CLOSED_GRACE_MS;
  return t->job->spec.checkpoint_ms <= limit ? t->job->spec.checkpoint_ms : 0;
}

static void
answer_stop (struct scheduler *s, struct sched_worker *w, struct sched_task *st)
{
  if (!is_due (s, w, &st->stop_sent_ms))
    return;
  struct worker_command *c = add_command (s, WORKER_STOP, st->t->id, st->t->epoch);
  c->grace_ms = stop_grace (st->t);
}

static void
answer_running (struct scheduler *s, struct sched_task *st)
{
  const struct cell_task *t = st->t;
  if (st->checkpoint_due)
    {
      add_command (s, WORKER_CHECKPOINT, t->id, t->epoch);
      st->checkpoint_due = false;
    }
  if (st->limit_sent != st->limit_millicores)
    {
      st->limit_sent = st->limit_millicores;
      st->throttle_repeats = THROTTLE_REPEATS;
    }
  else if (st->throttle_repeats == 0)
    return;
  else
    st->throttle_repeats--;
  struct worker_command *c = add_command (s, WORKER_THROTTLE, t->id, t->epoch);
  c->limit_millicores = st->limit_millicores ? st->limit_millicores : t->job->spec.size.millicores;
}

static void
answer_task (struct scheduler *s, struct sched_worker *w, struct sched_task *st)
{
  const struct cell_task *t = st->t;
  if (st->allocated_epoch == 0 || !cell_task_on_worker (t))
    return;
  bool listed = st->listed_epoch == t->epoch;
  if (listed && st->listed >= CELL_REPORT_DONE)
    return;
  if (t->state == CELL_STOPPING)
    answer_stop (s, w, st);
  else if (!listed && t->state == CELL_PLACED)
    answer_start (s, w, st);
  else if (listed)
    answer_running (s, st);
}

/* True while W may run a task that a standby copy took over: its covered lease must expire.  */
static bool
runs_closed_task (const struct sched_worker *w)
{
  const struct sched_task *st;
  TAILQ_FOREACH (st, &w->tasks, link)
  if (st->t->state == CELL_STOPPING && st->t->stop == CELL_STOP_CLOSED)
    return true;
  return false;
}

int
scheduler_answer (struct scheduler *s, int64_t now_ms, const char *worker,
                  struct worker_answer *out, struct status *st)
{
  if (now_ms > s->now_ms)
    s->now_ms = now_ms;
  memset (out, 0, sizeof *out);
  if (!s->leading)
    return status_set (st, STATUS_NOT_LEADER, "this VM does not lead the cell");
  struct sched_worker *w = sched_find_worker (s, worker);
  if (!w || !w->poll_open)
    return status_set (st, STATUS_NOT_FOUND, "worker %s has no open poll", worker);
  w->poll_open = false;
  if (w->ready)
    TAILQ_REMOVE (&s->ready, w, ready_link);
  w->ready = false;
  s->command_count = 0;
  answer_unmatched (s, w);
  struct sched_task *task;
  TAILQ_FOREACH (task, &w->tasks, link)
  answer_task (s, w, task);
  out->incarnation = w->incarnation;
  out->commands = s->commands;
  out->count = s->command_count;
  if (s->confirmed_until_ms < s->now_ms)
    return 0;
  out->lease_ms = SCHEDULER_LEASE_MS;
  int64_t covered = s->permit_until_ms + CELL_ISOLATION_GRACE_MS - s->now_ms;
  if (covered > SCHEDULER_LEASE_MS)
    covered = SCHEDULER_LEASE_MS;
  out->covered_lease_ms = covered > 0 && !runs_closed_task (w) ? (uint32_t)covered : 0;
  if (w->lease_until_ms < w->handled_ms + SCHEDULER_LEASE_MS)
    w->lease_until_ms = w->handled_ms + SCHEDULER_LEASE_MS;
  return 0;
}
