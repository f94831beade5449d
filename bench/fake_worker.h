/* fake_worker: simulated worker for tests and benchmarks of the scheduler.  It obeys the rules of
   scheduler.h: lease, validity of starts, epochs, complete lists.  The payload of a task sets its
   behaviour: "run=MS use=MILLICORES mem=MB fail=MS".  The caller may set the
   reported usage (delayed samples) and the reported slowdown.  */

#ifndef SASSAFRAS_FAKE_WORKER_H
#define SASSAFRAS_FAKE_WORKER_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler.h"

#define FAKE_MAX_TASKS 256
#define FAKE_SEEN_EPOCHS 1024
#define FAKE_HISTORY_S 8 /* length of the measurement history */

struct fake_task
{
  uint64_t task;
  uint64_t epoch;
  enum cell_report_kind state;
  bool urgent;
  bool covered;
  cell_size size; /* declared */
  char service[64];
  uint32_t index;
  uint32_t checkpoint_ms;
  uint32_t used_millicores; /* when not throttled */
  uint32_t used_memory_mb;
  uint32_t limit_millicores;
  uint64_t run_ms;          /* total work; 0: runs until stopped */
  uint64_t fail_ms;         /* work after which the task fails; 0: never */
  double work_ms;           /* work done, including that of the checkpoint */
  double uncheckpointed_ms; /* work since the last checkpoint, lost at a stop */
  uint64_t checkpointed_ms; /* work covered by the last checkpoint */
  uint32_t slowdown_milli;
  uint32_t reported_millicores; /* delayed usage sample; 0: reports the current usage */
  uint32_t slowdown_history[FAKE_HISTORY_S]; /* one per second, a ring */
  uint32_t usage_history[FAKE_HISTORY_S];
  int64_t started_ms;
  int64_t stop_at_ms; /* when the checkpoint of a requested stop, and the task, end; 0: none */
  int64_t checkpoint_at_ms;
  char checkpoint[32];
};

struct fake_worker
{
  char id[32];
  char rack[32];
  uint64_t incarnation;
  uint64_t sequence;
  cell_size size;
  bool up;
  bool announced;
  bool fails_tasks; /* every started task fails immediately */
  int64_t poll_sent_ms;
  bool poll_pending; /* a poll is in flight or held by the scheduler */
  int64_t lease_until_ms;
  int64_t covered_until_ms;
  struct fake_task tasks[FAKE_MAX_TASKS];
  size_t count;
  struct
  {
    uint64_t task;
    uint64_t epoch;
  } seen[FAKE_SEEN_EPOCHS]; /* highest epoch per task, a ring */
  size_t seen_next;
  uint64_t started;
  uint64_t done;
  double lost_core_ms;
  double done_core_ms;
};

/* A command in transit, with its own copy of the job fields.  */
struct fake_command
{
  struct worker_command c;
  struct fake_task task;
};

static inline void
fake_parse_payload (struct fake_task *f, const cell_job_spec *spec)
{
  const char *p = spec->payload;
  unsigned long long run = 0;
  unsigned long long use = spec->size.millicores;
  unsigned long long mem = spec->size.memory_mb;
  unsigned long long fail = 0;
  const char *at;
  if ((at = strstr (p, "run=")))
    run = strtoull (at + 4, NULL, 10);
  if ((at = strstr (p, "use=")))
    use = strtoull (at + 4, NULL, 10);
  if ((at = strstr (p, "mem=")))
    mem = strtoull (at + 4, NULL, 10);
  if ((at = strstr (p, "fail=")))
    fail = strtoull (at + 5, NULL, 10);
  f->run_ms = run;
  f->used_millicores = (uint32_t)use;
  f->used_memory_mb = (uint32_t)mem;
  f->fail_ms = fail;
}

static inline void
fake_copy_command (struct fake_command *out, const struct worker_command *c)
{
  memset (out, 0, sizeof *out);
  out->c = *c;
  if (c->kind != WORKER_START)
    return;
  struct fake_task *f = &out->task;
  f->task = c->task;
  f->epoch = c->epoch;
  f->urgent = c->spec->kind == CELL_URGENT;
  f->covered = c->covered;
  f->size = c->spec->size;
  snprintf (f->service, sizeof f->service, "%.60s", c->spec->service);
  f->index = c->index;
  f->checkpoint_ms = c->spec->checkpoint_ms;
  f->work_ms = (double)c->progress_ms;
  f->checkpointed_ms = c->progress_ms;
  snprintf (f->checkpoint, sizeof f->checkpoint, "%.30s", c->checkpoint ? c->checkpoint : "");
  fake_parse_payload (f, c->spec);
}

static inline struct fake_task *
fake_find (struct fake_worker *w, uint64_t task, uint64_t epoch)
{
  for (size_t i = 0; i < w->count; i++)
    if (w->tasks[i].task == task && w->tasks[i].epoch == epoch)
      return &w->tasks[i];
  return NULL;
}

static inline bool
fake_running (const struct fake_task *f)
{
  return f->state == CELL_REPORT_RUNNING;
}

static inline bool
fake_epoch_seen (const struct fake_worker *w, uint64_t task, uint64_t epoch)
{
  for (size_t i = 0; i < FAKE_SEEN_EPOCHS; i++)
    if (w->seen[i].task == task && w->seen[i].epoch >= epoch)
      return true;
  return false;
}

static inline void
fake_record_epoch (struct fake_worker *w, uint64_t task, uint64_t epoch)
{
  w->seen[w->seen_next % FAKE_SEEN_EPOCHS].task = task;
  w->seen[w->seen_next++ % FAKE_SEEN_EPOCHS].epoch = epoch;
}

static inline void
fake_end (struct fake_worker *w, struct fake_task *f, enum cell_report_kind state)
{
  f->state = state;
  if (state == CELL_REPORT_DONE)
    {
      w->done++;
      return;
    }
  double lost = f->work_ms - (double)f->checkpointed_ms;
  if (!f->urgent)
    w->lost_core_ms += lost * f->size.millicores / 1000.0;
}

static inline void
fake_checkpoint (struct fake_task *f)
{
  f->checkpointed_ms = (uint64_t)f->work_ms;
  snprintf (f->checkpoint, sizeof f->checkpoint, "ck%llu", (unsigned long long)f->checkpointed_ms);
}

static inline void
fake_start (struct fake_worker *w, const struct fake_command *c, int64_t now_ms,
            int64_t poll_sent_ms)
{
  bool already_running = false;
  for (size_t i = 0; i < w->count; i++)
    already_running
        = already_running || (w->tasks[i].task == c->c.task && fake_running (&w->tasks[i]));
  if (fake_find (w, c->c.task, c->c.epoch) || w->count == FAKE_MAX_TASKS)
    return;
  bool seen = fake_epoch_seen (w, c->c.task, c->c.epoch);
  fake_record_epoch (w, c->c.task, c->c.epoch);
  struct fake_task *f = &w->tasks[w->count++];
  *f = c->task;
  f->state = CELL_REPORT_RUNNING;
  f->started_ms = now_ms;
  if (seen || already_running || now_ms >= poll_sent_ms + c->c.valid_ms
      || now_ms >= w->lease_until_ms || (f->covered && now_ms >= w->covered_until_ms))
    f->state = CELL_REPORT_REFUSED;
  else
    w->started++;
  if (fake_running (f) && w->fails_tasks)
    f->fail_ms = 1;
}

static inline void
fake_stop (struct fake_worker *w, const struct fake_command *c, int64_t now_ms)
{
  struct fake_task *f = fake_find (w, c->c.task, c->c.epoch);
  if (!f && w->count < FAKE_MAX_TASKS)
    {
      fake_record_epoch (w, c->c.task, c->c.epoch);
      f = &w->tasks[w->count++];
      memset (f, 0, sizeof *f);
      f->task = c->c.task;
      f->epoch = c->c.epoch;
      f->state = CELL_REPORT_STOPPED;
      return;
    }
  if (!f || !fake_running (f) || f->stop_at_ms)
    return;
  if (c->c.grace_ms == 0 || f->checkpoint_ms == 0)
    fake_end (w, f, CELL_REPORT_STOPPED);
  else
    f->stop_at_ms = now_ms + f->checkpoint_ms;
}

static inline void
fake_forget (struct fake_worker *w, uint64_t task, uint64_t epoch)
{
  struct fake_task *f = fake_find (w, task, epoch);
  if (f && !fake_running (f))
    *f = w->tasks[--w->count];
}

static inline void
fake_command_apply (struct fake_worker *w, const struct fake_command *c, int64_t now_ms,
                    int64_t poll_sent_ms)
{
  struct fake_task *f = fake_find (w, c->c.task, c->c.epoch);
  if (c->c.kind == WORKER_START)
    fake_start (w, c, now_ms, poll_sent_ms);
  else if (c->c.kind == WORKER_STOP)
    fake_stop (w, c, now_ms);
  else if (c->c.kind == WORKER_FORGET)
    fake_forget (w, c->c.task, c->c.epoch);
  else if (f && c->c.kind == WORKER_THROTTLE)
    f->limit_millicores = c->c.limit_millicores;
  else if (f && c->c.kind == WORKER_CHECKPOINT && !f->checkpoint_at_ms)
    f->checkpoint_at_ms = now_ms + f->checkpoint_ms;
}

static inline uint32_t
fake_usage (const struct fake_task *f)
{
  if (f->limit_millicores && f->limit_millicores < f->used_millicores)
    return f->limit_millicores;
  return f->used_millicores;
}

/* Renews the leases from POLL_SENT_MS, the time at which the answered poll was sent.  */
static inline void
fake_renew (struct fake_worker *w, uint32_t lease_ms, uint32_t covered_ms, int64_t poll_sent_ms)
{
  if (lease_ms && poll_sent_ms + lease_ms > w->lease_until_ms)
    w->lease_until_ms = poll_sent_ms + lease_ms;
  if (covered_ms && poll_sent_ms + covered_ms > w->covered_until_ms)
    w->covered_until_ms = poll_sent_ms + covered_ms;
}

/* Ratio of demanded to available processors, at least 1; all tasks run slower by this factor.  */
static inline double
fake_contention (const struct fake_worker *w)
{
  double used = 0;
  for (size_t i = 0; i < w->count; i++)
    if (fake_running (&w->tasks[i]))
      used += fake_usage (&w->tasks[i]);
  return used > w->size.millicores ? used / w->size.millicores : 1;
}

static inline void
fake_step_task (struct fake_worker *w, struct fake_task *f, int64_t now_ms, int64_t step_ms,
                double contention)
{
  uint32_t use = f->used_millicores ? f->used_millicores : 1;
  double speed = (double)fake_usage (f) / use / contention;
  f->work_ms += speed * (double)step_ms;
  if (!f->urgent)
    w->done_core_ms += speed * (double)step_ms * f->size.millicores / 1000.0;
  if (f->checkpoint_at_ms && now_ms >= f->checkpoint_at_ms)
    {
      fake_checkpoint (f);
      f->checkpoint_at_ms = 0;
    }
  if (now_ms >= w->lease_until_ms || (f->covered && now_ms >= w->covered_until_ms))
    fake_end (w, f, CELL_REPORT_STOPPED);
  else if (f->fail_ms && f->work_ms >= (double)f->fail_ms)
    fake_end (w, f, CELL_REPORT_FAILED);
  else if (f->run_ms && f->work_ms >= (double)f->run_ms)
    fake_end (w, f, CELL_REPORT_DONE);
  else if (f->stop_at_ms && now_ms >= f->stop_at_ms)
    {
      fake_checkpoint (f);
      fake_end (w, f, CELL_REPORT_STOPPED);
    }
}

/* Advances by STEP_MS to NOW_MS; returns true if a task ended, which calls for a new poll.  */
static inline bool
fake_step (struct fake_worker *w, int64_t now_ms, int64_t step_ms)
{
  bool ended = false;
  double contention = fake_contention (w);
  for (size_t i = 0; i < w->count; i++)
    if (fake_running (&w->tasks[i]))
      {
        fake_step_task (w, &w->tasks[i], now_ms, step_ms, contention);
        ended = ended || !fake_running (&w->tasks[i]);
      }
  return ended;
}

/* Lists the tasks in OUT; its strings point into W.  Returns their number.  */
static inline size_t
fake_list (struct fake_worker *w, struct worker_task *out)
{
  for (size_t i = 0; i < w->count; i++)
    {
      struct fake_task *f = &w->tasks[i];
      memset (&out[i], 0, sizeof out[i]);
      out[i].task = f->task;
      out[i].epoch = f->epoch;
      out[i].state = f->state;
      out[i].used_millicores = f->reported_millicores ? f->reported_millicores : fake_usage (f);
      out[i].used_memory_mb = f->used_memory_mb;
      out[i].slowdown_milli = f->slowdown_milli;
      out[i].progress_ms = f->checkpointed_ms;
      out[i].checkpoint = f->checkpoint;
      out[i].reason = f->state == CELL_REPORT_FAILED ? "exit status 1" : "";
    }
  return w->count;
}

/* Ends the worker process and all its tasks; the next start is a new incarnation.  */
static inline void
fake_kill (struct fake_worker *w)
{
  for (size_t i = 0; i < w->count; i++)
    if (fake_running (&w->tasks[i]))
      fake_end (w, &w->tasks[i], CELL_REPORT_STOPPED);
  w->count = 0;
  w->up = false;
  w->announced = false;
  w->poll_pending = false;
  w->incarnation++;
  w->sequence = 0;
  w->lease_until_ms = 0;
  w->covered_until_ms = 0;
}

#endif
