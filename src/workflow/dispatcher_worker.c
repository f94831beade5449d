/* Workers: reports, incarnations, clocks, leases and holds.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "crash_blame.h"
#include "dispatcher_internal.h"

static struct counter crashed
    = { .name = "sassafras_workers_crashed_total", .help = "Workers that ended without leaving." };

struct dispatch_worker *
dispatch_find_worker (const struct dispatcher *d, const char *id)
{
  uint64_t hash = cell_hash_names (id, "");
  for (struct cell_map_node *n = cell_map_first (&d->workers, hash); n; n = cell_map_next (n))
    {
      struct dispatch_worker *w = CELL_CONTAINER (n, struct dispatch_worker, node);
      if (strcmp (w->id, id) == 0)
        return w;
    }
  return NULL;
}

/* The longest lease that was granted before FROM_MS and may still be valid ends then.  */
static int64_t
lease_end_after (int64_t from_ms, int64_t lease_ms)
{
  return from_ms + (int64_t)((double)lease_ms / MIN_CLOCK_RATE) + LEASE_MARGIN_MS;
}

static int64_t
draining_lease_ms (const struct dispatcher *d)
{
  return d->config.lease_ms < DRAINING_LEASE_MS ? d->config.lease_ms : DRAINING_LEASE_MS;
}

/* The record in the log that this incarnation of W drains; NULL: none.  */
static const workflow_drain *
recorded_drain (const struct dispatcher *d, const struct dispatch_worker *w)
{
  const struct run_worker *on = run_workers_find (&d->config.workflow->run_workers, w->id);
  const workflow_drain *r = on ? on->drain : NULL;
  return r && w->born_ms > 0 && r->born_ms == w->born_ms ? r : NULL;
}

/* Its earlier leaders granted short leases once the drain was in the log.  */
void
dispatch_adopt_drain (struct dispatcher *d, struct dispatch_worker *w)
{
  const struct run_worker *on = run_workers_find (&d->config.workflow->run_workers, w->id);
  const workflow_drain *r = on ? on->drain : NULL;
  if (!r)
    return;
  w->address = xstrdup (r->address);
  w->zone = xstrdup (r->zone);
  w->pool = xstrdup (r->pool);
  w->born_ms = r->born_ms;
  w->draining = true;
  w->left_ms = r->left ? d->lead_ms : 0;
  int64_t long_end_ms = lease_end_after (on->seen_ms, d->config.lease_ms);
  int64_t short_end_ms = lease_end_after (d->lead_ms, draining_lease_ms (d));
  w->lease_end_ms = long_end_ms > short_end_ms ? long_end_ms : short_end_ms;
  log_event (LOG_INFO, "drain-adopted", "worker=%s address=%s born=%" PRId64 " lease_ms=%" PRId64,
             w->id, w->address, w->born_ms, w->lease_end_ms - d->lead_ms);
}

struct dispatch_worker *
dispatch_add_worker (struct dispatcher *d, const char *id)
{
  struct dispatch_worker *w = xcalloc (1, sizeof *w);
  w->id = xstrdup (id);
  w->order_epoch = ++d->last_order_epoch;
  w->fence = d->last_fence; /* the worker may have been known before, with any lower one */
  /* The previous leader could grant leases until its authority ended, which was before this
     leader's began.  */
  w->lease_end_ms = lease_end_after (d->lead_ms, d->config.lease_ms);
  w->last_answer_ms = INT64_MIN / 2;
  TAILQ_INIT (&w->runs);
  STAILQ_INIT (&w->ends);
  pacing_init (&w->pacing);
  cell_map_add (&d->workers, &w->node, cell_hash_names (id, ""));
  TAILQ_INSERT_TAIL (&d->worker_list, w, link);
  return w;
}

static void
free_ends (struct dispatch_worker *w)
{
  struct listed_end *e;
  while ((e = STAILQ_FIRST (&w->ends)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&w->ends, link);
      free (e);
    }
}

static void
free_labels (struct dispatch_worker *w)
{
  while (w->label_count > 0)
    free (w->labels[--w->label_count]);
}

void
dispatch_free_worker (struct dispatcher *d, struct dispatch_worker *w)
{
  struct dispatch_run *r;
  while ((r = TAILQ_FIRST (&w->runs)) != NULL)
    dispatch_free_run (d, r);
  free_ends (w);
  free_labels (w);
  cell_map_remove (&d->workers, &w->node);
  TAILQ_REMOVE (&d->worker_list, w, link);
  free (w->id);
  free (w->address);
  free (w->zone);
  free (w->pool);
  free (w);
}

/* Lower bound of the worker's clock now, for a clock at MIN_CLOCK_RATE.  */
static int64_t
min_worker_clock (const struct dispatcher *d, const struct dispatch_worker *w)
{
  return w->clock_ms + (int64_t)((double)(d->now_ms - w->clock_at_ms) * MIN_CLOCK_RATE);
}

void
dispatch_update_clock (struct dispatcher *d, struct dispatch_worker *w, int64_t clock_ms)
{
  if (w->clock_known && clock_ms < min_worker_clock (d, w))
    return;
  w->clock_known = true;
  w->clock_ms = clock_ms;
  w->clock_at_ms = d->now_ms;
}

int64_t
dispatch_lease_deadline (struct dispatcher *d, struct dispatch_worker *w)
{
  if (!w->clock_known)
    return 0;
  int64_t lease_ms = w->draining ? draining_lease_ms (d) : d->config.lease_ms;
  int64_t deadline_ms = w->clock_ms + (d->now_ms - w->clock_at_ms) + lease_ms;
  if (deadline_ms > w->deadline_ms)
    w->deadline_ms = deadline_ms;
  return deadline_ms;
}

/* Neither a lease of this leader nor one of an earlier leader can still be valid.  */
static bool
lease_is_over (const struct dispatcher *d, const struct dispatch_worker *w)
{
  if (d->now_ms < w->lease_end_ms)
    return false;
  return !w->clock_known || min_worker_clock (d, w) > w->deadline_ms + LEASE_MARGIN_MS;
}

void
dispatch_note_answer (struct dispatcher *d, struct dispatch_worker *w,
                      enum worker_call_result result)
{
  bool answered = result != WORKER_CALL_UNKNOWN && result != WORKER_CALL_NO_LISTENER
                  && result != WORKER_CALL_NOT_SENT && result != WORKER_CALL_OTHER_WORKER;
  if (answered)
    w->failed_ms = 0;
  else if (w->failed_ms == 0)
    w->failed_ms = d->now_ms;
  w->unreached = !answered && (w->unreached || result == WORKER_CALL_NOT_SENT);
  w->was_unreached = w->was_unreached || w->unreached;
}

static struct crash_run
crash_run_of (const struct dispatcher *d, const struct dispatch_run *r)
{
  return (struct crash_run){ .sent_ms = r->sent_ms,
                             .answered = r->state == DISPATCH_RUNNING,
                             .adopted = r->sent_ms <= d->lead_ms };
}

/* Sets crash_outcome of the runs that the end of W's incarnation ended.  A worker that drains may
   end without having left.  */
static void
judge_runs (struct dispatcher *d, struct dispatch_worker *w)
{
  struct dispatch_run *r;
  struct crash_scene scene;
  if (w->draining)
    return;
  counter_add (&crashed, 1);
  crash_scene_init (&scene, w->failed_ms > 0 ? w->failed_ms : d->now_ms);
  TAILQ_FOREACH (r, &w->runs, link)
  if (r->state != DISPATCH_ENDING && r->state != DISPATCH_PLACING)
    {
      const struct crash_run run = crash_run_of (d, r);
      crash_scene_add (&scene, &run);
    }
  TAILQ_FOREACH (r, &w->runs, link)
  if (r->state != DISPATCH_ENDING && r->state != DISPATCH_PLACING)
    {
      const struct crash_run run = crash_run_of (d, r);
      r->crash_outcome = crash_scene_outcome (&scene, &run);
    }
}

void
dispatch_mark_crashed (struct dispatcher *d, struct dispatch_worker *w, const char *reason)
{
  if (!w->gone)
    judge_runs (d, w);
  dispatch_mark_gone (d, w, reason);
}

void
dispatch_mark_gone (struct dispatcher *d, struct dispatch_worker *w, const char *reason)
{
  struct dispatch_run *r;
  if (w->gone)
    return;
  log_event (LOG_WARN, "worker-gone", "worker=%s address=%s born=%" PRId64 " reason=\"%s\"", w->id,
             w->address ? w->address : "", w->born_ms, reason);
  w->gone = true;
  w->gone_ms = d->now_ms;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    bool ran = r->inherited || r->state == DISPATCH_RUNNING;
    enum workflow_outcome outcome = ran ? WORKFLOW_LAPSED : WORKFLOW_NOT_STARTED;
    if (w->holds > 0)
      r->task->retry_ms = d->now_ms + LAST_LIST_WAIT_MS;
    dispatch_propose_end (d, r, r->crash_outcome ? r->crash_outcome : outcome, NULL, reason);
  }
}

/* What the earlier incarnation answered about R says nothing about the new one.  A start may have
   been accepted by either, so only a list of the new one shows whether R runs.  */
static void
forget_answers (struct dispatcher *d, struct dispatch_run *r)
{
  if (r->state == DISPATCH_SENT)
    r->state = DISPATCH_UNCERTAIN;
  r->settled_mark = ++d->mark;
  r->end_number = 0;
  r->start_pending = false;
  r->stop_settled = false;
  r->stop_pending = false;
  r->stop_next_ms = d->now_ms;
  r->paced_percent = PACING_FULL_PERCENT;
  r->pace_pending = false;
}

/* A hold that acknowledged ends of the earlier incarnation may have been executed by the new one,
   or be executed before that has seen its fence.  The new one numbers its ends from 1, so it would
   forget its first ends before they are listed.  */
static void
reset_acknowledgements (struct dispatch_worker *w)
{
  if (w->ack_mark > 0)
    w->ack_lost_ms = w->ack_sent_ms;
  w->may_lose_ends = w->ack_lost_ms > 0;
  if (w->may_lose_ends)
    log_event (LOG_WARN, "ends-may-be-lost", "worker=%s born=%" PRId64 " acknowledged=%" PRIu64,
               w->id, w->born_ms, w->ack_number);
  w->acknowledged = 0;
  w->confirmed = 0;
  w->ack_mark = 0;
}

/* The worker restarted under its id: its earlier runs are gone, it has a new clock and has seen no
   fence.  An order to the earlier incarnation may still reach the new one, which refuses it once it
   has seen the higher fence of its own orders.  */
static void
begin_incarnation (struct dispatcher *d, struct dispatch_worker *w, int64_t born_ms)
{
  struct dispatch_run *r;
  log_event (LOG_INFO, "worker-restarted", "worker=%s born=%" PRId64 " before=%" PRId64, w->id,
             born_ms, w->born_ms);
  judge_runs (d, w);
  w->failed_ms = 0;
  w->unreached = false;
  w->was_unreached = false;
  w->born_ms = born_ms;
  w->reported = false;
  w->draining = false;
  w->left_ms = 0;
  w->refuses = false;
  w->sequence = 0;
  w->clock_known = false;
  w->deadline_ms = 0;
  w->listed_clock_ms = 0;
  w->fenced = false;
  w->named_incarnation = false;
  w->drain_token = 0;
  w->drain_refused = false;
  w->lease_end_ms = lease_end_after (d->now_ms, d->config.lease_ms);
  reset_acknowledgements (w);
  if (d->last_fence < d->first_fence + DISPATCHER_FENCES - 1)
    w->fence = ++d->last_fence;
  w->hold_now = true;
  w->order_epoch = ++d->last_order_epoch;
  w->holds = 0;
  free_ends (w);
  pacing_init (&w->pacing);
  TAILQ_FOREACH (r, &w->runs, link)
  forget_answers (d, r);
}

bool
dispatch_update_incarnation (struct dispatcher *d, struct dispatch_worker *w, int64_t born_ms)
{
  bool restarted = w->born_ms > 0 && born_ms > w->born_ms;
  if (restarted)
    begin_incarnation (d, w, born_ms);
  else if (w->born_ms == 0)
    w->born_ms = born_ms;
  return restarted;
}

static void
set_text (char **to, const char *text)
{
  if (*to && strcmp (*to, text) == 0)
    return;
  free (*to);
  *to = xstrdup (text);
}

static void
set_labels (struct dispatch_worker *w, const struct worker_report *r)
{
  free_labels (w);
  for (size_t i = 0; i < r->labels_len; i++)
    w->labels[w->label_count++] = xstrdup (r->labels[i]);
}

static bool
has_address (const struct dispatch_worker *w, const struct worker_report *r)
{
  return w && !w->gone && w->born_ms == r->born_ms && w->address
         && strcmp (w->address, r->address) == 0;
}

/* Two worker ids at one address are two starts of one process, or one of the reports is of another
   writer.  Who is there, only the address can tell: an order to the other id is answered with
   WORKER_CALL_OTHER_WORKER.  Until then the worker that had the address in its last report goes on,
   and the first report of one that is not the latest start is refused.  */
static int
check_address (struct dispatcher *d, const struct worker_report *r, struct status *st)
{
  struct dispatch_worker *w = dispatch_find_worker (d, r->id);
  if (has_address (w, r))
    return 0;
  TAILQ_FOREACH (w, &d->worker_list, link)
  {
    if (!w->address || w->gone || strcmp (w->address, r->address) != 0
        || strcmp (w->id, r->id) == 0)
      continue;
    if (r->born_ms < w->born_ms)
      return status_set (st, STATUS_STALE_INCARNATION, "worker %s took the address of %s", w->id,
                         r->id);
    w->hold_now = true;
  }
  return 0;
}

/* Refuses a report that names a pool of which the configuration knows nothing; it comes from
   another writer.  A known worker keeps its pool when the configuration drops it: its runs go on.
 */
static int
check_pool (const struct dispatcher *d, const struct dispatch_worker *w,
            const struct worker_report *r, struct status *st)
{
  const struct workflow *workflow = d->config.workflow;
  if (workflow->configuration.revision == 0 || workflow_find_pool (workflow, r->pool))
    return 0;
  if (w && (!w->pool || strcmp (w->pool, r->pool) == 0))
    return 0;
  return status_set (st, STATUS_BAD_REQUEST, "pool '%.64s' is not configured", r->pool);
}

/* A process keeps its address: another one under the same id and start is of another writer.  */
static int
check_same_address (const struct dispatch_worker *w, const struct worker_report *r,
                    struct status *st)
{
  if (!w->address || w->gone || w->born_ms == 0 || w->born_ms != r->born_ms
      || strcmp (w->address, r->address) == 0)
    return 0;
  return status_set (st, STATUS_BAD_REQUEST, "address '%.64s' is not that of worker %s, %s",
                     r->address, r->id, w->address);
}

/* Refuses a report of an ended incarnation or one older than the last report.  */
static int
check_report_age (struct dispatcher *d, const struct dispatch_worker *w,
                  const struct worker_report *r, struct status *st)
{
  if (r->born_ms < w->born_ms || (w->gone && r->born_ms == w->born_ms))
    return status_set (st, STATUS_STALE_INCARNATION, "that life of worker %s is over", r->id);
  if (r->born_ms > w->born_ms || !w->address)
    return 0;
  if (w->reported && r->sequence <= w->sequence)
    return status_set (st, STATUS_STALE_EPOCH, "report %llu of worker %s came after report %llu",
                       (unsigned long long)r->sequence, r->id, (unsigned long long)w->sequence);
  if (w->clock_known && r->clock_ms < min_worker_clock (d, w) - REPORT_MAX_AGE_MS)
    return status_set (st, STATUS_STALE_EPOCH, "report of worker %s is over %d ms old", r->id,
                       REPORT_MAX_AGE_MS);
  return 0;
}

/* W drains or has left, and the log does not say so.  */
static bool
needs_drain_record (const struct dispatcher *d, const struct dispatch_worker *w)
{
  if (!w->draining || w->gone || w->drain_refused || w->born_ms == 0 || TAILQ_EMPTY (&w->runs))
    return false;
  const workflow_drain *r = recorded_drain (d, w);
  return !r || (bool)r->left != (w->left_ms > 0);
}

/* A late report of another incarnation may say that it drains: only one that answers under this
   leader's fence is recorded.  */
static void
record_drain (struct dispatcher *d, struct dispatch_worker *w)
{
  if (w->drain_token > 0 || !needs_drain_record (d, w)
      || (!w->named_incarnation && !recorded_drain (d, w)))
    return;
  workflow_command c = { .kind = WORKFLOW_DRAIN };
  c.workflow_command_u.drain = (workflow_drain){ .worker = w->id,
                                                 .born_ms = w->born_ms,
                                                 .address = w->address,
                                                 .zone = w->zone,
                                                 .pool = w->pool,
                                                 .left = w->left_ms > 0 };
  w->drain_token = dispatch_propose (d, &c);
}

bool
dispatcher_awaits_drain (const struct dispatcher *d, const char *worker, bool *is_proposed)
{
  const struct dispatch_worker *w = dispatch_find_worker (d, worker);
  /* Once it is gone, the ends of its runs are proposed.  */
  bool ends = w && w->draining && w->gone && !TAILQ_EMPTY (&w->runs);
  bool awaits = ends || (w && needs_drain_record (d, w));
  *is_proposed = ends || (awaits && w->drain_token > 0);
  return awaits;
}

int
dispatcher_report (struct dispatcher *d, int64_t now_ms, const struct worker_report *r,
                   struct status *st)
{
  d->now_ms = now_ms;
  if (!d->leading)
    return status_set (st, STATUS_NOT_LEADER, "this VM does not lead");
  if (r->labels_len > WORKER_MAX_LABELS)
    return status_set (st, STATUS_BAD_REQUEST, "%zu labels, limit %d", r->labels_len,
                       WORKER_MAX_LABELS);
  /* The name is part of log entries.  */
  if (strlen (r->id) > WORKFLOW_NAME_BYTES || strlen (r->address) > WORKFLOW_NAME_BYTES)
    return status_set (st, STATUS_BAD_REQUEST, "the id or address of a worker is over %d bytes",
                       WORKFLOW_NAME_BYTES);
  struct dispatch_worker *w = dispatch_find_worker (d, r->id);
  if (check_pool (d, w, r, st) < 0)
    return -1;
  if (w && (check_report_age (d, w, r, st) < 0 || check_same_address (w, r, st) < 0))
    return -1;
  if (check_address (d, r, st) < 0)
    return -1;
  if (!w)
    w = dispatch_add_worker (d, r->id);
  dispatch_update_incarnation (d, w, r->born_ms);
  if (!w->address || w->draining != r->draining)
    log_event (LOG_INFO, "worker-reported",
               "worker=%s address=%s data_centre=%s pool=%s draining=%d sequence=%" PRIu64, r->id,
               r->address, r->zone, r->pool, r->draining, r->sequence);
  set_text (&w->address, r->address);
  set_text (&w->zone, r->zone);
  set_text (&w->pool, r->pool);
  set_labels (w, r);
  w->gone = false;
  w->left_undrained = false;
  w->reported = true;
  w->described = true;
  w->reported_clock_ms = r->clock_ms;
  /* An earlier report may come late, to a leader that knows only from the log that W drains.  */
  w->draining = r->draining || recorded_drain (d, w);
  w->sequence = r->sequence;
  w->millicores = r->millicores;
  w->memory_mb = r->memory_mb;
  w->accelerators = r->accelerators;
  dispatch_update_clock (d, w, r->clock_ms);
  record_drain (d, w);
  return 0;
}

/* A late report may name an earlier incarnation and its address.  What refuses calls there proves
   something about the runs only if it answered this leader as that incarnation, or if the log says
   that it drains: nothing was placed on a later one then.  */
static void
confirm_departure (struct dispatcher *d, struct dispatch_worker *w)
{
  bool is_known = w->named_incarnation || recorded_drain (d, w);
  /* An open hold may still bring its last list.  */
  if (w->left_ms > 0 && is_known && w->refuses && w->holds == 0)
    dispatch_mark_gone (d, w, "the worker left");
}

void
dispatcher_worker_left (struct dispatcher *d, int64_t now_ms, const char *worker)
{
  struct dispatch_worker *w = dispatch_find_worker (d, worker);
  d->now_ms = now_ms;
  if (!w || w->gone)
    return;
  /* The request names no incarnation and may come late from an earlier one, also while this one
     drains.  If it is of this one, its address refuses the next hold; else the lists or the lease
     show what becomes of its runs.  */
  w->hold_now = true;
  if (w->draining)
    {
      log_event (LOG_INFO, "departure-received", "worker=%s born=%" PRId64, worker, w->born_ms);
      w->left_ms = now_ms;
      w->left_mark = d->mark;
      confirm_departure (d, w);
      record_drain (d, w);
      return;
    }
  /* An incarnation drains before it leaves.  */
  log_event (LOG_WARN, "departure-unannounced", "worker=%s born=%" PRId64, worker, w->born_ms);
  w->left_undrained = true;
}

void
dispatch_note_hold (struct dispatcher *d, struct dispatch_worker *w, enum worker_call_result result)
{
  if (result == WORKER_CALL_OK)
    w->refuses = false;
  else if (result == WORKER_CALL_NO_LISTENER)
    w->refuses = true;
  if (result == WORKER_CALL_OK && w->left_ms > 0 && d->now_ms - w->left_ms >= DEPARTURE_END_MS)
    {
      log_event (LOG_WARN, "departure-refuted", "worker=%s born=%" PRId64, w->id, w->born_ms);
      w->left_ms = 0;
    }
  confirm_departure (d, w);
}

bool
dispatch_usable (const struct dispatcher *d, const struct dispatch_worker *w)
{
  return w->address && w->reported && w->fenced && !w->draining && !w->left_undrained && !w->gone
         && !w->unreached && d->now_ms - w->last_answer_ms < WORKER_SILENT_MS
         && d->now_ms >= w->no_room_until_ms && !workflow_zone_is_out (d->config.workflow, w->zone);
}

bool
dispatch_is_avoided (const struct dispatcher *d, const struct dispatch_worker *w)
{
  return d->now_ms < w->avoid_until_ms;
}

struct worker_address
dispatch_address (const struct dispatch_worker *w)
{
  return (struct worker_address){ .worker = w->id,
                                  .address = w->address,
                                  .zone = w->zone,
                                  .fence = w->fence,
                                  .tag = (void *)w->order_epoch };
}

/* Tails matter only where fill-in tasks share the worker with lasting ones.  */
static uint32_t
hold_wait_ms (const struct dispatch_worker *w)
{
  return w->fill_millicores > 0 && w->lasting_millicores > 0 ? HOLD_WAIT_MS : HOLD_IDLE_MS;
}

static void
send_hold (struct dispatcher *d, struct dispatch_worker *w)
{
  /* A worker whose answers are lost may still get holds: renew its lease only while it answers, and
   after its departure only if it has answered a hold that was sent later.  It may also have
   restarted, and numbers its ends from 1 again.  An acknowledgement is carried until
   a hold with it was answered, and by one hold at a time that doesn't wait, so that few of them are
   on their way when a worker restarts.  */
  bool has_left = w->left_ms > 0 && w->answered_mark <= w->left_mark;
  bool answers = !has_left && d->now_ms - w->last_answer_ms < RENEW_MAX_SILENCE_MS;
  bool acknowledges
      = answers && w->last_hold_answered && w->ack_mark == 0 && w->acknowledged > w->confirmed;
  bool waits = !w->hold_now && w->fenced && !acknowledges;
  const struct worker_hold order = { .to = dispatch_address (w),
                                     .mark = ++d->mark,
                                     .acknowledged = acknowledges ? w->acknowledged : 0,
                                     .deadline_ms = answers ? dispatch_lease_deadline (d, w) : 0,
                                     .wait_ms = waits ? hold_wait_ms (w) : 0 };
  if (acknowledges)
    {
      w->ack_mark = order.mark;
      w->ack_number = order.acknowledged;
      w->ack_sent_ms = d->now_ms;
    }
  w->hold_now = false;
  w->holds++;
  d->config.link->ops->hold (d->config.link, &order);
}

static bool
is_silent (const struct dispatch_worker *w, int64_t now_ms)
{
  return now_ms - w->last_answer_ms >= WORKER_SILENT_MS;
}

bool
dispatcher_awaits_workers (const struct dispatcher *d, int64_t now_ms)
{
  const struct dispatch_worker *w;
  TAILQ_FOREACH (w, &d->worker_list, link)
  if (!w->gone && !TAILQ_EMPTY (&w->runs) && (w->draining || is_silent (w, now_ms)))
    return true;
  return false;
}

static void
lapse_runs (struct dispatcher *d, struct dispatch_worker *w)
{
  struct dispatch_run *r;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    bool may_still_start = r->state == DISPATCH_UNCERTAIN
                           && d->now_ms - r->sent_ms < ORDER_MAX_DELAY_MS && !r->inherited;
    if ((r->state != DISPATCH_RUNNING && r->state != DISPATCH_UNCERTAIN) || may_still_start)
      continue;
    dispatch_propose_end (d, r, WORKFLOW_LAPSED, NULL,
                          "the worker is silent and its lease has expired");
  }
}

/* Load pattern: a new leader with hundreds of workers that have long lists.  If it asks all at
   once, reading the answers delays its heartbeats until the voters elect another leader, which then
   has the same load.  */
static bool
may_send_hold (struct dispatcher *d, const struct dispatch_worker *w)
{
  if (w->fenced)
    return true;
  if (d->first_holds == 0)
    return false;
  d->first_holds--;
  return true;
}

void
dispatch_tick_worker (struct dispatcher *d, struct dispatch_worker *w)
{
  bool idle = TAILQ_EMPTY (&w->runs);
  if (w->gone)
    {
      if (idle && w->holds == 0 && d->now_ms - w->gone_ms > GONE_RETENTION_MS)
        dispatch_free_worker (d, w);
      return;
    }
  if (is_silent (w, d->now_ms) && lease_is_over (d, w))
    {
      lapse_runs (d, w);
      if (idle && w->left_ms > 0)
        dispatch_mark_gone (d, w, "the worker left and is silent");
    }
  if (w->gone)
    return;
  record_drain (d, w);
  if (!w->address)
    {
      if (idle)
        dispatch_free_worker (d, w);
      return;
    }
  bool probe = w->hold_now && w->holds == 1;
  bool due = w->holds == 0 && (w->hold_now || d->now_ms >= w->hold_next_ms);
  if ((probe || due) && may_send_hold (d, w))
    send_hold (d, w);
}

size_t
dispatcher_worker_count (const struct dispatcher *d)
{
  return d->workers.count;
}
