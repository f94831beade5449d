/* State machine of one request: tries, retries, hedges, timeouts and completion.  */
#include "proxy_internal.h"

#include <stdlib.h>
#include <string.h>

#include "counters.h"

#define NO_RUNNER_WAIT_MS 10 /* interval at which a retry looks for a runner with capacity */

static struct histogram first_byte = { .name = "sassafras_first_byte_ms",
                                       .help = "Time of a try to the first byte of the answer." };

static struct retry_latency *
latency_of (const struct proxy_call *call)
{
  return &call->service->latency[call->urgent ? 1 : 0];
}

static unsigned
tries_open (const struct proxy_call *call)
{
  unsigned n = 0;
  for (int i = 0; i < PROXY_CALL_TRIES; i++)
    n += call->tries[i] ? 1 : 0;
  return n;
}

static void
detach_try (struct proxy_call *call, const struct proxy_try *t)
{
  for (int i = 0; i < PROXY_CALL_TRIES; i++)
    if (call->tries[i] == t)
      call->tries[i] = NULL;
}

static void
cancel_tries (struct proxy_call *call, const struct proxy_try *except, enum router_outcome outcome)
{
  for (int i = 0; i < PROXY_CALL_TRIES; i++)
    {
      struct proxy_try *t = call->tries[i];
      if (!t || t == except)
        continue;
      call->tries[i] = NULL;
      call->may_have_run |= t->sent;
      call->last_runner = t->runner;
      try_cancel (t, outcome);
    }
}

static struct retry_request
retry_view (const struct proxy_call *call)
{
  struct retry_request q = { .idempotent = call->idempotent,
                             .replayable = call->body_base == 0,
                             .answer_begun = call->winner && !call->buffered,
                             .tries = call->tries_started,
                             .deadline_ms = call->deadline_ms };
  return q;
}

void
call_start (struct proxy_call *call)
{
  if (call->unrepeatable && call->key)
    call_begin_intent (call);
  else
    call_enqueue (call);
}

void
call_enqueue (struct proxy_call *call)
{
  struct status st;
  struct admission_item *evicted;
  int64_t now = proxy_now (call->proxy);
  if (admission_push (call->service->admission, &call->item, call->customer, call->urgent,
                      call->deadline_ms, now, &evicted, &st)
      < 0)
    {
      call_fail (call, st.kind, st.message);
      return;
    }
  call->stage = CALL_QUEUED;
  call_arm_timer (call);
  if (evicted)
    call_fail ((struct proxy_call *)(void *)((char *)evicted - offsetof (struct proxy_call, item)),
               STATUS_OVERLOADED, "an urgent request took the place in the queue");
  service_dispatch (call->service);
}

static void
start_try (struct proxy_call *call, struct runner *runner)
{
  for (int i = 0; i < PROXY_CALL_TRIES; i++)
    if (!call->tries[i])
      {
        call->tries_started++;
        call->stage = CALL_TRYING;
        call->tries[i] = try_start (call, runner);
        break;
      }
  call_arm_timer (call);
}

void
call_launch (struct proxy_call *call, struct runner *runner)
{
  call->serving = true;
  call->first_sent_ms = proxy_now (call->proxy);
  retry_budget_request (&call->service->budget);
  start_try (call, runner);
}

void
call_end_service (struct proxy_call *call, bool answered)
{
  if (!call->service)
    return;
  if (call->item.queued)
    admission_remove (call->service->admission, &call->item);
  if (!call->serving)
    return;
  call->serving = false;
  int64_t now = proxy_now (call->proxy);
  admission_served (call->service->admission, &call->item, answered,
                    (double)(now - call->first_sent_ms), now);
  proxy_schedule_dispatch (call->proxy);
}

void
call_fail (struct proxy_call *call, enum status_kind kind, const char *message)
{
  int64_t wait = 0;
  call->stage = CALL_ENDED;
  call->winner = NULL;
  cancel_tries (call, NULL, ROUTER_ABANDONED);
  if (call->service)
    wait = admission_wait_ms (call->service->admission, call->urgent, 0);
  call_end_service (call, false);
  call_finish_intent (call, call->may_have_run ? INTENT_UNKNOWN : INTENT_NOT_RUN);
  ev_timer_stop (call->proxy->loop, &call->timer);
  caller_reply_error (call, kind, call->may_have_run ? RAN_UNKNOWN : RAN_NO, wait, message);
}

static bool
status_retryable (int code)
{
  return code == 500 || code == 502 || code == 503 || code == 504;
}

/* Whether an answer is discarded after its head because another try replaces it.  */
static bool
should_discard_head (struct proxy_call *call, struct proxy_try *t)
{
  if (call->winner)
    return true;
  if (!status_retryable (t->head.code))
    return false;
  if (t->head.code == 503 && t->head.not_run)
    return true;
  if (tries_open (call) > 1)
    return true;
  struct retry_request q = retry_view (call);
  if (!retry_allowed (&q, RETRY_FAILED, proxy_now (call->proxy))
      || !retry_budget_take (&call->service->budget))
    return false;
  call->retry_granted = true;
  return true;
}

void
call_head_complete (struct proxy_call *call, struct proxy_try *t)
{
  int64_t now = proxy_now (call->proxy);
  if (t->head.in_flight >= 0 && t->incarnation == t->runner->info.incarnation)
    runner_table_report (t->runner, (uint32_t)t->head.in_flight, now);
  if (!head_bodyless (&t->head, call->method) && t->head.content_length < 0 && !t->head.chunked)
    {
      t->head.fault = "the end of the answer could not be recognized";
      return;
    }
  t->head_discarded = should_discard_head (call, t);
  if (t->head_discarded)
    return;
  call->winner = t;
  call->buffered
      = head_bodyless (&t->head, call->method)
        || (t->head.content_length >= 0 && t->head.content_length <= PROXY_BUFFERED_MAX_BYTES);
  call->stage = CALL_ANSWERING;
  call->progress_ms = now;
  if (tries_open (call) > 1)
    proxy_defer (call);
  call_arm_timer (call);
  if (!call->buffered)
    caller_begin_answer (call);
}

void
call_step (struct proxy_call *call)
{
  if (call->winner || call->stage == CALL_ENDED)
    cancel_tries (call, call->winner, ROUTER_ABANDONED);
}

static enum router_outcome
outcome_of (const struct proxy_try *t, CURLcode result, bool complete)
{
  if (t->stale_runner)
    return ROUTER_ABANDONED;
  if (!t->sent)
    return ROUTER_UNREACHABLE;
  if (t->head.complete && t->head.code == 503 && t->head.not_run)
    return ROUTER_REFUSED;
  if (t->call->winner && t->call->winner != t && t->head_discarded)
    return ROUTER_ABANDONED;
  return result == CURLE_OK && complete && t->head.code < 500 ? ROUTER_OK : ROUTER_FAILED;
}

static double
first_byte_ms (const struct proxy_try *t)
{
  curl_off_t us = 0;
  curl_easy_getinfo (t->easy, CURLINFO_STARTTRANSFER_TIME_T, &us);
  return (double)us / 1000.0;
}

static bool
answer_complete (const struct proxy_try *t, CURLcode result)
{
  if (result != CURLE_OK || !t->head.complete || try_overlong (t))
    return false;
  return head_bodyless (&t->head, t->call->method) || t->head.chunked
         || t->body_bytes == (uint64_t)t->head.content_length;
}

static void
end_answer (struct proxy_call *call, bool complete)
{
  struct proxy *p = call->proxy;
  cancel_tries (call, NULL, ROUTER_ABANDONED);
  call->stage = CALL_ENDED;
  call->end = complete ? ANSWER_COMPLETE : ANSWER_BROKEN;
  call->may_have_run = true;
  call_finish_intent (call, complete ? INTENT_ANSWERED : INTENT_UNKNOWN);
  call_end_service (call, complete);
  if (!complete)
    p->stats.broken++;
  if (call->buffered)
    caller_begin_answer (call);
  else
    caller_resume (call);
  call->winner = NULL;
}

static void
record_failure (struct proxy_call *call, const struct proxy_try *t, CURLcode result)
{
  struct status *st = &call->failure;
  if (t->stale_runner)
    status_set (st, STATUS_NO_BACKEND, "the runner departed");
  else if (!t->sent)
    status_set (st, STATUS_NO_BACKEND, "no connection to the runner: %s",
                curl_easy_strerror (result));
  else if (t->head.not_run)
    status_set (st, STATUS_NO_BACKEND, "the runner refused the request before it ran");
  else if (t->head.fault)
    status_set (st, STATUS_BACKEND_FAILED, "invalid answer: %s", t->head.fault);
  else if (t->head_discarded)
    status_set (st, STATUS_BACKEND_FAILED, "the runner answered %d", t->head.code);
  else if (result == CURLE_OK)
    status_set (st, STATUS_BACKEND_FAILED, "the answer is longer than announced");
  else if (result == CURLE_GOT_NOTHING || result == CURLE_RECV_ERROR
           || result == CURLE_PARTIAL_FILE)
    status_set (st, STATUS_BACKEND_TRUNCATED, "%s", curl_easy_strerror (result));
  else
    status_set (st, STATUS_BACKEND_FAILED, "%s", curl_easy_strerror (result));
}

static enum retry_cause
cause_of (const struct proxy_try *t)
{
  if (!t->sent)
    return RETRY_NOT_SENT;
  if (t->head.complete && t->head.code == 503 && t->head.not_run)
    return RETRY_NOT_RUN;
  return RETRY_FAILED;
}

static void
schedule_retry (struct proxy_call *call, enum retry_cause cause)
{
  int64_t now = proxy_now (call->proxy);
  int64_t wait = cause == RETRY_NOT_SENT && call->tries_started == 1
                     ? 0
                     : retry_backoff_ms (&call->proxy->rng, call->tries_started);
  call->proxy->stats.retries++;
  call->retry_granted = false;
  call->stage = CALL_BACKOFF;
  call->retry_at_ms = now + wait;
  call_arm_timer (call);
}

static void
after_failed_try (struct proxy_call *call, enum retry_cause cause)
{
  struct retry_request q = retry_view (call);
  if (cause == RETRY_FAILED)
    call->may_have_run = true;
  if (call->stage == CALL_ENDED || tries_open (call) > 0)
    return;
  bool allowed = call->connection && retry_allowed (&q, cause, proxy_now (call->proxy));
  if (allowed && (call->retry_granted || retry_budget_take (&call->service->budget)))
    schedule_retry (call, cause);
  else
    call_fail (call, call->failure.kind, call->failure.message);
}

void
call_try_done (struct proxy_call *call, struct proxy_try *t, CURLcode result)
{
  struct proxy *p = call->proxy;
  bool complete = answer_complete (t, result);
  bool won = call->winner == t;
  enum router_outcome outcome = outcome_of (t, result, complete);
  double latency = first_byte_ms (t);
  int64_t now = proxy_now (p);
  detach_try (call, t);
  router_finish (p->config.router, t->runner, t->incarnation, outcome, latency, t->body_bytes, now);
  call->last_runner = t->runner;
  if (outcome == ROUTER_OK)
    {
      retry_latency_add (latency_of (call), latency, now);
      histogram_add (&first_byte, latency);
    }
  if (won && call->buffered && !complete)
    {
      call->winner = NULL;
      call->stage = CALL_TRYING;
      buffer_close (&call->out);
      buffer_close (&call->stored);
      won = false;
    }
  if (won)
    end_answer (call, complete);
  else
    {
      record_failure (call, t, result);
      after_failed_try (call, cause_of (t));
    }
  try_free (t);
  proxy_schedule_dispatch (p);
  call_free_when_done (call);
}

static void
fail_stalled (struct proxy_call *call)
{
  call->stage = CALL_ENDED;
  call->end = ANSWER_BROKEN;
  call->winner = NULL;
  call->proxy->stats.broken++;
  cancel_tries (call, NULL, ROUTER_TIMED_OUT);
  call_finish_intent (call, INTENT_UNKNOWN);
  call_end_service (call, false);
  if (call->response)
    caller_resume (call);
  else
    caller_reply_error (call, STATUS_TIMEOUT, RAN_UNKNOWN, 0, "the runner stopped answering");
}

static bool
try_times_out (const struct proxy_call *call, int64_t *at)
{
  struct retry_request q = retry_view (call);
  const struct proxy_try *t = call->tries[0] ? call->tries[0] : call->tries[1];
  if (call->stage != CALL_TRYING || tries_open (call) != 1 || call->try_timers_off
      || !retry_allowed (&q, RETRY_FAILED, t->started_ms))
    return false;
  *at = t->started_ms + retry_try_timeout_ms (latency_of (call));
  return true;
}

static bool
hedge_due (const struct proxy_call *call, int64_t *at)
{
  struct retry_request q = retry_view (call);
  int64_t delay = call->service ? retry_hedge_delay_ms (latency_of (call)) : 0;
  if (call->stage != CALL_TRYING || call->try_timers_off || tries_open (call) != 1 || delay == 0
      || !call->body_complete || !retry_hedge_allowed (&q, call->urgent))
    return false;
  *at = call->first_sent_ms + delay;
  return true;
}

static void
start_hedge (struct proxy_call *call, int64_t now)
{
  struct proxy *p = call->proxy;
  const struct proxy_try *first = call->tries[0] ? call->tries[0] : call->tries[1];
  call->try_timers_off = true;
  struct runner *runner = router_pick (p->config.router, call->service_name, first->runner, now);
  if (!runner || runner == first->runner || !retry_budget_take (&call->service->budget))
    return;
  p->stats.hedges++;
  start_try (call, runner);
}

static void
time_out_try (struct proxy_call *call, int64_t now)
{
  if (!retry_budget_take (&call->service->budget))
    {
      call->try_timers_off = true; /* no token: the try continues until the deadline */
      return;
    }
  call->retry_granted = true;
  for (int i = 0; i < PROXY_CALL_TRIES; i++)
    if (call->tries[i])
      retry_latency_add_timeout (latency_of (call), now - call->tries[i]->started_ms, now);
  cancel_tries (call, NULL, ROUTER_TIMED_OUT);
  status_set (&call->failure, STATUS_TIMEOUT, "no answer in time");
  schedule_retry (call, RETRY_FAILED);
}

static void
retry_now (struct proxy_call *call, int64_t now)
{
  struct proxy *p = call->proxy;
  struct runner *runner
      = router_pick (p->config.router, call->service_name, call->last_runner, now);
  if (runner)
    start_try (call, runner);
  else
    call->retry_at_ms = now + NO_RUNNER_WAIT_MS;
}

static void
run_timeouts (struct proxy_call *call, int64_t now)
{
  int64_t at;
  if (call->stage == CALL_ENDED)
    return;
  if (call->stage == CALL_ANSWERING && !call->buffered)
    {
      if (!call->winner->download_paused && now - call->progress_ms >= PROXY_STALL_MS)
        fail_stalled (call);
      return;
    }
  if (now >= call->deadline_ms)
    call_fail (call, STATUS_DEADLINE_EXCEEDED, "the deadline passed before an answer came");
  else if (call->stage == CALL_BACKOFF && now >= call->retry_at_ms)
    retry_now (call, now);
  else if (hedge_due (call, &at) && now >= at)
    start_hedge (call, now);
  else if (try_times_out (call, &at) && now >= at)
    time_out_try (call, now);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  struct proxy_call *call = w->data;
  (void)loop;
  (void)events;
  run_timeouts (call, proxy_now (call->proxy));
  call_arm_timer (call);
  call_free_when_done (call);
}

static int64_t
next_timeout (const struct proxy_call *call)
{
  int64_t at;
  int64_t next = call->deadline_ms;
  if (call->stage == CALL_ANSWERING && !call->buffered)
    return call->progress_ms + PROXY_STALL_MS;
  if (call->stage == CALL_BACKOFF && call->retry_at_ms < next)
    next = call->retry_at_ms;
  if (hedge_due (call, &at) && at < next)
    next = at;
  if (try_times_out (call, &at) && at < next)
    next = at;
  return next;
}

void
call_arm_timer (struct proxy_call *call)
{
  struct ev_loop *loop = call->proxy->loop;
  if (call->stage == CALL_ENDED)
    {
      ev_timer_stop (loop, &call->timer);
      return;
    }
  int64_t wait = next_timeout (call) - proxy_now (call->proxy);
  ev_timer_stop (loop, &call->timer);
  ev_timer_init (&call->timer, on_timer, (double)(wait > 1 ? wait : 1) / 1000.0, 0.0);
  call->timer.data = call;
  ev_timer_start (loop, &call->timer);
}

/* Cancels what still runs, in case the caller disconnected, unless the request is unrepeatable and
   its intent is recorded: then the answer is still awaited, so that a repeat gets it.  */
void
call_request_completed (struct proxy_call *call)
{
  bool awaited = call->intent_open && tries_open (call) > 0;
  ev_io_stop (call->proxy->loop, &call->disconnect_watch);
  call->connection = NULL;
  call->suspended = false;
  buffer_close (&call->out);
  if (awaited && call->body_complete)
    {
      if (call->winner)
        try_resume_download (call->winner);
      return;
    }
  if (call->stage != CALL_ENDED)
    {
      call->stage = CALL_ENDED;
      call->winner = NULL;
      cancel_tries (call, NULL, ROUTER_ABANDONED);
      call_finish_intent (call, call->may_have_run ? INTENT_UNKNOWN : INTENT_NOT_RUN);
      call_end_service (call, false);
    }
  call_free_when_done (call);
}

void
call_free_when_done (struct proxy_call *call)
{
  if (call->connection || call->intent_pending || tries_open (call) > 0
      || call->stage != CALL_ENDED)
    return;
  call_free (call);
}

void
call_free (struct proxy_call *call)
{
  struct proxy *p = call->proxy;
  cancel_tries (call, NULL, ROUTER_ABANDONED);
  call_end_service (call, false);
  ev_timer_stop (p->loop, &call->timer);
  ev_io_stop (p->loop, &call->disconnect_watch);
  if (call->deferred)
    STAILQ_REMOVE (&p->deferred, call, proxy_call, deferred_link);
  if (call->limit_held)
    limit_leave (p->config.limit, call->customer);
  if (call->service)
    service_release (call->service);
  if (call->response)
    MHD_destroy_response (call->response);
  LIST_REMOVE (call, link);
  p->stats.open--;
  head_close (&call->request);
  buffer_close (&call->body);
  buffer_close (&call->out);
  buffer_close (&call->stored);
  free (call->target);
  free (call->key);
  free (call);
  proxy_check_drained (p);
}
