/* Answers to orders.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "dispatcher_internal.h"

#define US_PER_MS 1000

static struct counter outdated
    = { .name = "sassafras_answers_outdated_total",
        .help = "Answers to orders of an earlier term or worker incarnation." };

static const char *
result_name (enum worker_call_result result)
{
  static const char *const names[]
      = { "ok",      "fenced",     "old-run", "late",        "no-room", "no-ticket",
          "refused", "other-life", "unknown", "no-listener", "not-sent" };
  return names[result];
}

/* Where ends may be lost, a run is stopped as soon as it is known to run: long before it can be
   done, and its end shows whether ends are listed.  */
static void
mark_running (struct dispatcher *d, struct dispatch_run *r)
{
  if (r->worker->may_lose_ends && !dispatch_is_repeatable (r->task))
    r->stop_requested = true;
  dispatch_add_stage (d, r, SHORT_STAGE_START, r->sent_ms);
  r->state = DISPATCH_RUNNING;
  r->task->job->has_begun = true;
  r->running_ms = d->now_ms;
  r->inherited = false;
  r->settled_mark = ++d->mark;
}

/* Outcome unknown: the next hold shows whether the run started; a listed run needs no stop.  */
void
dispatch_mark_uncertain (struct dispatcher *d, struct dispatch_run *r)
{
  r->state = DISPATCH_UNCERTAIN;
  r->settled_mark = ++d->mark;
  r->worker->hold_now = true;
}

static void
end_not_started (struct dispatcher *d, struct dispatch_run *r, enum worker_call_result result)
{
  r->task->retry_ms = d->now_ms + START_RETRY_MS;
  if (result == WORKER_CALL_NO_ROOM || result == WORKER_CALL_REFUSED)
    r->worker->no_room_until_ms = d->now_ms + NO_ROOM_PAUSE_MS;
  dispatch_propose_end (d, r, WORKFLOW_NOT_STARTED, NULL, result_name (result));
}

void
dispatcher_start_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                         const workflow_task_ref *task, uint32_t run,
                         enum worker_call_result result)
{
  d->now_ms = now_ms;
  struct dispatch_run *r = dispatch_find_run (d, worker, task, run);
  log_event (LOG_INFO, "start-answered",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s result=%s", task->job, task->step,
             task->index, run, worker, result_name (result));
  if (!r)
    return;
  dispatch_note_answer (d, r->worker, result);
  bool is_first = r->start_pending;
  r->start_pending = false;
  if (is_first && result == WORKER_CALL_OK)
    overdue_add_answer (&d->start_overdue, now_ms - r->sent_ms);
  /* An overdue start is as certain as any other until a stop for it was sent.  */
  bool overdue = is_first && r->state == DISPATCH_UNCERTAIN && !r->stop_requested;
  if (r->state != DISPATCH_SENT && !overdue)
    return;
  switch (result)
    {
    case WORKER_CALL_OK:
      mark_running (d, r);
      break;
    case WORKER_CALL_UNKNOWN:
      dispatch_mark_uncertain (d, r);
      break;
    case WORKER_CALL_OLD_RUN:
      dispatch_mark_uncertain (d, r);
      r->stop_settled = true;
      break;
    case WORKER_CALL_OTHER_WORKER:
      end_not_started (d, r, result);
      dispatch_mark_crashed (d, r->worker, "another worker has its address");
      break;
    default:
      end_not_started (d, r, result);
      break;
    }
}

void
dispatcher_stop_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                        const workflow_task_ref *task, uint32_t run, enum worker_call_result result)
{
  d->now_ms = now_ms;
  struct dispatch_run *r = dispatch_find_run (d, worker, task, run);
  log_event (LOG_INFO, "stop-answered",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s result=%s", task->job, task->step,
             task->index, run, worker, result_name (result));
  if (!r)
    return;
  dispatch_note_answer (d, r->worker, result);
  r->stop_pending = false;
  r->stop_next_ms = now_ms + STOP_RETRY_MS;
  if (result == WORKER_CALL_OTHER_WORKER)
    dispatch_mark_crashed (d, r->worker, "another worker has its address");
  if (result != WORKER_CALL_OK)
    return;
  r->stop_settled = true;
  r->settled_mark = ++d->mark;
  r->worker->hold_now = true;
}

void
dispatcher_pace_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                        const workflow_task_ref *task, uint32_t run, uint32_t percent,
                        enum worker_call_result result)
{
  d->now_ms = now_ms;
  struct dispatch_run *r = dispatch_find_run (d, worker, task, run);
  if (!r)
    return;
  r->pace_pending = false;
  if (result == WORKER_CALL_OK)
    {
      r->paced_percent = percent;
      r->pace_unknown = now_ms < r->pace_late_ms;
      r->pace_repeat_ms = percent < PACING_FULL_PERCENT ? now_ms + PACE_REPEAT_MS : r->pace_late_ms;
    }
  else if (result == WORKER_CALL_UNKNOWN)
    {
      r->pace_unknown = true;
      r->pace_late_ms = now_ms + ORDER_MAX_DELAY_MS;
    }
  else
    r->pace_next_ms = now_ms + PACE_RETRY_MS;
}

static void
stop_unknown_run (struct dispatcher *d, const struct dispatch_worker *w,
                  const struct reported_run *h)
{
  const struct worker_stop order = { .to = dispatch_address (w), .task = h->task, .run = h->run };
  log_event (LOG_WARN, "stranger-stopped", "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s",
             h->task.job, h->task.step, h->task.index, h->run, w->id);
  d->config.link->ops->stop (d->config.link, &order);
}

/* Stores the measure; for a lasting task with a target, raises WORST to its tail / target.  */
static void
update_measure (struct dispatch_run *r, const struct reported_run *h, double *worst)
{
  const workflow_step *s = workflow_step_of (r->task);
  r->measure = h->measure;
  if (!(s->flags & WORKFLOW_STEP_LASTING) || s->target_ms == 0)
    return;
  double tail = (double)h->measure / s->target_ms;
  if (tail > *worst)
    *worst = tail;
}

/* R is in LISTS, so end_unlisted_runs must skip it.  */
static void
mark_listed (struct dispatch_run *r, const struct worker_lists *lists)
{
  r->crash_outcome = 0;
  if (r->settled_mark < lists->mark)
    r->settled_mark = lists->mark;
}

/* Share of their work that the fill-in runs of an earlier leader do on W, by the processors that
   they use: this leader goes on from there.  Other work may leave them less than their share, which
   then grows again.  */
static void
adopt_pace (struct dispatcher *d, struct dispatch_worker *w, const struct worker_lists *lists)
{
  uint64_t used = 0;
  uint64_t wanted = 0;
  for (size_t i = 0; i < lists->running_len; i++)
    {
      const struct reported_run *h = &lists->running[i];
      const struct dispatch_run *r = dispatch_find_run (d, w->id, &h->task, h->run);
      if (!r || !r->is_fill || !r->pace_unknown)
        continue;
      used += h->measure;
      wanted += workflow_step_of (r->task)->millicores;
    }
  if (w->lasting_millicores == 0 || used >= wanted)
    return;
  w->pacing.percent = (uint32_t)(used * PACING_FULL_PERCENT / wanted);
  w->pacing.changed_ms = d->now_ms;
  log_event (LOG_INFO, "pace-adopted", "worker=%s percent=%u", w->id, w->pacing.percent);
}

static void
process_running (struct dispatcher *d, struct dispatch_worker *w, const struct worker_lists *lists)
{
  double worst = 0;
  dispatch_update_mix (d, w);
  for (size_t i = 0; i < lists->running_len; i++)
    {
      const struct reported_run *h = &lists->running[i];
      struct dispatch_run *r = dispatch_find_run (d, w->id, &h->task, h->run);
      if (!r)
        {
          stop_unknown_run (d, w, h);
          continue;
        }
      mark_listed (r, lists);
      if (r->state == DISPATCH_UNCERTAIN && !r->stop_settled)
        mark_running (d, r);
      dispatch_note_checkpoint (d, r, h->checkpoint);
      update_measure (r, h, &worst);
      dispatch_add_tail_sample (d, w, r);
    }
  if (pacing_add_sample (&w->pacing, d->now_ms, worst))
    log_event (LOG_INFO, "pace-changed", "worker=%s percent=%u worst_tail=%.2f", w->id,
               w->pacing.percent, worst);
}

static struct listed_end *
find_or_add_end (struct dispatch_worker *w, uint64_t number)
{
  struct listed_end *e;
  STAILQ_FOREACH (e, &w->ends, link)
  if (e->number == number)
    return e;
  e = xcalloc (1, sizeof *e);
  e->number = number;
  STAILQ_INSERT_TAIL (&w->ends, e, link);
  return e;
}

/* Advances the cursor over committed ends, up to the first that isn't.  */
static void
advance_cursor (struct dispatch_worker *w)
{
  struct listed_end *e;
  while ((e = STAILQ_FIRST (&w->ends)) != NULL && e->recorded)
    {
      w->acknowledged = e->number;
      STAILQ_REMOVE_HEAD (&w->ends, link);
      free (e);
    }
}

void
dispatch_note_recorded (struct dispatch_worker *w, uint64_t number)
{
  struct listed_end *e;
  STAILQ_FOREACH (e, &w->ends, link)
  if (e->number == number)
    e->recorded = true;
  advance_cursor (w);
}

/* H is the end of a run that has another end in the log, or proposed to it.  Returns true while it
   must be committed before it is acknowledged.  */
static bool
record_late_end (struct dispatcher *d, const struct dispatch_worker *w,
                 const struct reported_end *h)
{
  static char empty[] = "";
  struct workflow_task *t = workflow_find_task (d->config.workflow, &h->task);
  bool open = t && t->job->state == WORKFLOW_JOB_OPEN && t->state != WORKFLOW_TASK_DONE
              && t->state != WORKFLOW_TASK_FAILED;
  if (!open || h->outcome != WORKFLOW_DONE || h->run > t->last_run
      || (workflow_step_of (t)->flags & WORKFLOW_STEP_LASTING))
    return false;
  workflow_command c = { .kind = WORKFLOW_END };
  c.workflow_command_u.end = (workflow_end){
    .task = h->task, .run = h->run, .outcome = h->outcome, .checkpoint = empty
  };
  log_event (LOG_INFO, "run-done-late",
             "job=%016" PRIx64 " step=%u task=%u run=%u worker=%s last_run=%u", h->task.job,
             h->task.step, h->task.index, h->run, w->id, t->last_run);
  dispatch_propose (d, &c);
  t->done_until_ms = d->now_ms + LATE_DONE_WAIT_MS;
  return true;
}

static void
process_ends (struct dispatcher *d, struct dispatch_worker *w, const struct worker_lists *lists)
{
  for (size_t i = 0; i < lists->ended_len; i++)
    {
      const struct reported_end *h = &lists->ended[i];
      if (h->number <= w->acknowledged)
        continue;
      struct listed_end *e = find_or_add_end (w, h->number);
      struct dispatch_run *r = dispatch_find_run (d, w->id, &h->task, h->run);
      if (!r)
        {
          e->recorded = !record_late_end (d, w, h);
          continue;
        }
      e->recorded = false;
      mark_listed (r, lists);
      if (r->state == DISPATCH_ENDING && r->proposed_outcome != WORKFLOW_DONE)
        record_late_end (d, w, h);
      dispatch_propose_end (d, r, h->outcome, h->checkpoint, "the worker listed its end");
      r->end_number = r->proposed_outcome == h->outcome ? h->number : 0;
    }
  advance_cursor (w);
}

/* Ends the runs that the lists should contain and don't.  */
static void
end_unlisted_runs (struct dispatcher *d, struct dispatch_worker *w,
                   const struct worker_lists *lists)
{
  struct dispatch_run *r;
  if (!lists->complete)
    return;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    if (r->settled_mark >= lists->mark)
      continue;
    if (r->state == DISPATCH_RUNNING)
      dispatch_propose_end (d, r, r->crash_outcome ? r->crash_outcome : WORKFLOW_LAPSED, NULL,
                            "the worker no longer lists it");
    else if (r->state == DISPATCH_UNCERTAIN && r->inherited)
      {
        /* Without any run or end it may have restarted under the earlier leader, which alone knew
           what was on its way.  */
        w->may_lose_ends = w->may_lose_ends || (lists->running_len == 0 && lists->ended_len == 0);
        dispatch_propose_end (d, r, WORKFLOW_LAPSED, NULL, "not listed after the fence was raised");
      }
    else if (r->state == DISPATCH_UNCERTAIN && r->stop_settled)
      dispatch_propose_end (d, r, r->crash_outcome ? r->crash_outcome : WORKFLOW_NOT_STARTED, NULL,
                            "not listed after a stop");
    else if (r->state == DISPATCH_UNCERTAIN)
      r->stop_requested = true;
  }
}

/* The hold with MARK was answered: what it acknowledged is forgotten there.  */
static void
note_acknowledged (struct dispatcher *d, struct dispatch_worker *w, uint64_t mark)
{
  if (mark == w->ack_mark)
    {
      w->confirmed = w->ack_number;
      w->ack_mark = 0;
    }
  if (d->now_ms - w->ack_lost_ms >= ORDER_MAX_DELAY_MS)
    w->ack_lost_ms = 0;
}

static void
process_lists (struct dispatcher *d, struct dispatch_worker *w, const struct worker_lists *lists)
{
  if (lists->born_ms > 0 && lists->born_ms < w->born_ms)
    return;
  /* A hold to the earlier incarnation did not raise the fence of this one.  */
  if (dispatch_update_incarnation (d, w, lists->born_ms))
    return;
  note_acknowledged (d, w, lists->mark);
  if (lists->ended_len > 0)
    w->may_lose_ends = false;
  dispatch_update_clock (d, w, lists->clock_ms);
  if (lists->clock_ms < w->listed_clock_ms)
    return;
  /* No earlier report or list of this worker could show that the report was late.  */
  if (!w->fenced && lists->clock_ms - w->reported_clock_ms >= REPORT_MAX_AGE_MS)
    w->reported = false;
  if (!w->fenced)
    adopt_pace (d, w, lists);
  if (!w->fenced)
    log_event (LOG_INFO, "worker-heard", "worker=%s running=%zu ended=%zu report_age_ms=%" PRId64,
               w->id, lists->running_len, lists->ended_len, lists->clock_ms - w->reported_clock_ms);
  w->listed_clock_ms = lists->clock_ms;
  w->last_answer_ms = d->now_ms;
  if (lists->mark > w->answered_mark)
    w->answered_mark = lists->mark;
  w->fenced = true;
  w->named_incarnation = lists->born_ms > 0 && lists->born_ms == w->born_ms;
  w->last_hold_answered = true;
  dispatch_note_hold (d, w, WORKER_CALL_OK);
  process_running (d, w, lists);
  process_ends (d, w, lists);
  end_unlisted_runs (d, w, lists);
}

/* Load patterns.  Several ends a second on each of hundreds of workers: a hold per end takes all of
   the leader's processor time and delays everything else; with longer gaps, ends share a hold.  A
   step of a dozen short tasks ends with the last of them, and its objective leaves a few hundred
   milliseconds: where short tasks run the next hold follows at once.  */
static int64_t
hold_gap_ms (const struct dispatcher *d, const struct dispatch_worker *w)
{
  int64_t turn_us = (int64_t)d->workers.count * HOLD_GAP_PER_WORKER_US;
  int64_t gap_ms = HOLD_GAP_MS + (int64_t)(HOLD_GAP_LAG_FACTOR * d->tick_lag_ms);
  if (w->short_millicores == 0)
    gap_ms += turn_us / US_PER_MS;
  return gap_ms < MAX_HOLD_GAP_MS ? gap_ms : MAX_HOLD_GAP_MS;
}

void
dispatcher_hold_answer (struct dispatcher *d, int64_t now_ms, const char *worker,
                        enum worker_call_result result, const struct worker_lists *lists)
{
  d->now_ms = now_ms;
  struct dispatch_worker *w = dispatch_find_worker (d, worker);
  if (!w)
    return;
  dispatch_note_answer (d, w, result);
  if (w->holds > 0)
    w->holds--;
  w->hold_next_ms = now_ms + hold_gap_ms (d, w);
  if (result == WORKER_CALL_OK)
    {
      process_lists (d, w, lists);
      return;
    }
  w->hold_next_ms = now_ms + HOLD_RETRY_MS;
  w->last_hold_answered = false;
  if (w->ack_mark > 0 && (result == WORKER_CALL_UNKNOWN || result == WORKER_CALL_NO_LISTENER))
    w->ack_lost_ms = w->ack_sent_ms;
  w->ack_mark = 0;
  log_event (LOG_INFO, "hold-failed", "worker=%s result=%s silent_ms=%" PRId64, worker,
             result_name (result), w->fenced ? now_ms - w->last_answer_ms : 0);
  if (result == WORKER_CALL_OTHER_WORKER)
    dispatch_mark_crashed (d, w, "another worker has its address");
  else
    dispatch_note_hold (d, w, result);
}

/* An answer to an order of an earlier term proves nothing about the present one: that order did not
   raise the fence, so orders of the terms between may still be executed.  The same holds for an
   order to an earlier incarnation of the worker.  */
static bool
is_current (const struct dispatcher *d, const struct worker_outcome *o)
{
  static const char *const kinds[] = {
    [ORDER_START] = "start", [ORDER_STOP] = "stop", [ORDER_PACE] = "pace", [ORDER_HOLD] = "hold"
  };
  const struct dispatch_worker *w = dispatch_find_worker (d, o->worker);
  if (!w)
    return false;
  if (w->order_epoch == (uintptr_t)o->tag)
    return true;
  counter_add (&outdated, 1);
  log_event (LOG_INFO, "answer-outdated", "worker=%s order=%s result=%s", o->worker, kinds[o->kind],
             result_name (o->result));
  return false;
}

void
dispatcher_outcome (void *dispatcher, int64_t now_ms, const struct worker_outcome *o)
{
  struct dispatcher *d = dispatcher;
  if (!is_current (d, o))
    return;
  switch (o->kind)
    {
    case ORDER_START:
      dispatcher_start_answer (d, now_ms, o->worker, &o->task, o->run, o->result);
      break;
    case ORDER_STOP:
      dispatcher_stop_answer (d, now_ms, o->worker, &o->task, o->run, o->result);
      break;
    case ORDER_PACE:
      dispatcher_pace_answer (d, now_ms, o->worker, &o->task, o->run, o->percent, o->result);
      break;
    case ORDER_HOLD:
      dispatcher_hold_answer (d, now_ms, o->worker, o->result, o->lists);
      break;
    }
}
