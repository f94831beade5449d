/* Unrepeatable requests with an Idempotency-Key: intent recorded, run once, outcome recorded.  */
#include "proxy_internal.h"

#include <string.h>

#include <xxhash.h>

#include "counters.h"

static struct counter finish_failures
    = { .name = "sassafras_intent_finish_failures_total",
        .help = "Outcomes of unrepeatable requests that could not be recorded." };

/* Requests with one key are the same when method, target and the start of the body are equal.  */
static uint64_t
fingerprint (const struct proxy_call *call)
{
  uint64_t h = XXH64 (call->method, strlen (call->method), 0);
  h = XXH64 (call->target, strlen (call->target), h);
  h = XXH64 (&call->request.content_length, sizeof call->request.content_length, h);
  return XXH64 (call->body.len > 0 ? call->body.data : "", call->body.len, h);
}

static void
answer_done (struct proxy_call *call, const struct intent_outcome *o)
{
  if (o && o->result == INTENT_ANSWERED && o->body)
    {
      caller_reply_stored (call, o);
      return;
    }
  bool ran = o && o->result == INTENT_ANSWERED;
  caller_reply_error (call, STATUS_OUTCOME_UNKNOWN, ran ? RAN_YES : RAN_UNKNOWN, 0,
                      ran ? "the request ran; its answer was too large to store"
                          : "the request was sent before and no whole answer came");
}

static void
on_begun (void *arg, enum intent_state state, const struct intent_outcome *outcome)
{
  struct proxy_call *call = arg;
  call->intent_pending = false;
  call->intent_open = state == INTENT_NEW;
  if (!call->connection || call->stage != CALL_INTENT) /* disconnected, or answered as not run */
    {
      call_finish_intent (call, INTENT_NOT_RUN);
      call_free_when_done (call);
      return;
    }
  switch (state)
    {
    case INTENT_NEW:
      call_enqueue (call);
      break;
    case INTENT_IN_PROGRESS:
      caller_reply_error (call, STATUS_IN_PROGRESS, RAN_UNKNOWN, 0,
                          "a request with this Idempotency-Key is in progress");
      break;
    case INTENT_DONE:
      answer_done (call, outcome);
      break;
    case INTENT_KEY_REUSED:
      call_fail (call, STATUS_BAD_REQUEST, "the Idempotency-Key stands for a different request");
      break;
    case INTENT_UNAVAILABLE:
      /* This attempt was not sent, but an earlier one with the same key may have run.  */
      caller_reply_error (call, STATUS_NO_QUORUM, RAN_UNKNOWN, 0,
                          "the intent cannot be recorded now; this attempt was not sent");
      break;
    }
}

void
call_begin_intent (struct proxy_call *call)
{
  struct intent_store *store = call->proxy->config.intents;
  if (!store)
    {
      call_fail (call, STATUS_NO_QUORUM, "intents are not recorded here");
      return;
    }
  call->stage = CALL_INTENT;
  call->fingerprint = fingerprint (call);
  struct intent_key key = { call->customer, call->key, call->fingerprint };
  call->intent_pending = true;
  store->ops->begin (store, &key, on_begun, call);
}

static void
on_finished (void *arg, int result)
{
  (void)arg;
  if (result < 0)
    counter_add (&finish_failures, 1);
}

void
call_finish_intent (struct proxy_call *call, enum intent_result result)
{
  struct intent_store *store = call->proxy->config.intents;
  struct intent_outcome outcome = { .result = result };
  if (!call->intent_open)
    return;
  call->intent_open = false;
  if (result == INTENT_ANSWERED && call->winner)
    {
      const struct head *head = &call->winner->head;
      bool fits
          = !call->stored_too_large && head->lines.len + call->stored.len <= INTENT_ANSWER_BYTES;
      outcome.code = head->code;
      outcome.headers = fits && head->lines.data ? head->lines.data : "";
      outcome.headers_len = fits ? head->lines.len : 0;
      outcome.body = !fits ? NULL : call->stored.data ? call->stored.data : "";
      outcome.body_len = fits ? call->stored.len : 0;
    }
  struct intent_key key = { call->customer, call->key, call->fingerprint };
  store->ops->finish (store, &key, &outcome, on_finished, NULL);
}
