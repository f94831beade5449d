#include "intent_log.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "cell.h"
#include "counters.h"
#include "home_cell.h"

#define KEY_TEXT_BYTES (CELL_NAME_BYTES + 1)
#define LENGTH_BYTES 4
#define MAX_PROPOSALS 3 /* proposals of one begin or finish */

struct intent_attempt
{
  struct cell_map_node node; /* in running, by customer and key */
  struct intent_log *log;
  char *customer;
  char key[KEY_TEXT_BYTES];
  uint64_t home; /* cell */
  uint64_t number;
  unsigned proposals; /* of the current begin or finish */
  struct buffer entry;
  intent_begin_fn *begin_done; /* NULL after the begin has ended */
  intent_finish_fn *finish_done;
  void *arg;
  int64_t begun_ms; /* when begin was first proposed */
  int64_t retry_ms; /* next proposal while waiting */
  bool waiting;
  TAILQ_ENTRY (intent_attempt) link; /* in waiting */
};

static struct counter unavailable
    = { .name = "sassafras_intents_unavailable_total",
        .help = "Unrepeatable requests refused because their home cell was not reachable." };

/* Keys of CELL_NAME_BYTES or more are recorded as their 128-bit hash.  */
static void
key_text (const char *key, char out[KEY_TEXT_BYTES])
{
  size_t len = strlen (key);
  if (len < CELL_NAME_BYTES)
    {
      memcpy (out, key, len + 1);
      return;
    }
  XXH128_hash_t h = XXH3_128bits (key, len);
  snprintf (out, KEY_TEXT_BYTES, "xxh128:%016llx%016llx", (unsigned long long)h.high64,
            (unsigned long long)h.low64);
}

static void
propose (struct intent_attempt *a, propose_done *done)
{
  struct proposer *p = a->log->proposer;
  a->proposals++;
  p->ops->propose (p, a->home, a->entry.data, a->entry.len, done, a);
}

static void
set_command (struct intent_attempt *a, cell_command *command)
{
  buffer_close (&a->entry);
  cell_encode (NULL, 0, command, 1, &a->entry);
  a->proposals = 0;
}

static struct intent_attempt *
new_attempt (struct intent_log *l, const struct intent_key *key)
{
  struct intent_attempt *a = xcalloc (1, sizeof *a);
  a->log = l;
  a->customer = xstrdup (key->customer);
  key_text (key->key, a->key);
  a->home = home_cell (l->registry, key->customer, key->key);
  a->number = rng_next (l->rng);
  cell_map_add (&l->running, &a->node, cell_hash_names (a->customer, a->key));
  return a;
}

static void
free_attempt (struct intent_attempt *a)
{
  cell_map_remove (&a->log->running, &a->node);
  if (a->waiting)
    TAILQ_REMOVE (&a->log->waiting, a, link);
  buffer_close (&a->entry);
  free (a->customer);
  free (a);
}

/* The attempt for this key that got INTENT_NEW; attempts with a pending begin or finish are
   skipped.  */
static struct intent_attempt *
find_attempt (struct intent_log *l, const char *customer, const char *key)
{
  struct cell_map_node *n = cell_map_first (&l->running, cell_hash_names (customer, key));
  for (; n; n = cell_map_next (n))
    {
      struct intent_attempt *a = CELL_CONTAINER (n, struct intent_attempt, node);
      if (!a->begin_done && !a->finish_done && strcmp (a->customer, customer) == 0
          && strcmp (a->key, key) == 0)
        return a;
    }
  return NULL;
}

/* Splits a recorded answer; a malformed one is treated as too large to replay.  */
static void
unpack_answer (const cell_result *r, struct intent_outcome *out)
{
  const char *data = r->answer.answer_val;
  size_t len = r->answer.answer_len;
  uint32_t headers;
  if (len < LENGTH_BYTES + 1)
    return;
  memcpy (&headers, data, LENGTH_BYTES);
  headers = ntohl (headers);
  if (headers > len - LENGTH_BYTES - 1)
    return;
  out->headers = data + LENGTH_BYTES;
  out->headers_len = headers;
  if (data[LENGTH_BYTES + headers] == 0)
    return;
  out->body = data + LENGTH_BYTES + headers + 1;
  out->body_len = len - LENGTH_BYTES - headers - 1;
}

static void
pack_answer (const struct intent_outcome *o, struct buffer *out)
{
  uint32_t headers = htonl ((uint32_t)o->headers_len);
  bool fits = o->headers_len + o->body_len + LENGTH_BYTES + 1 <= CELL_ANSWER_BYTES;
  char has_body = o->body != NULL && fits;
  if (!fits)
    headers = 0;
  buffer_append (out, &headers, sizeof headers);
  if (fits)
    buffer_append (out, o->headers, o->headers_len);
  buffer_append (out, &has_body, 1);
  if (has_body)
    buffer_append (out, o->body, o->body_len);
}

/* Maps the cell's result of a begin to an intent_state.  */
static enum intent_state
begun_state (const cell_result *r, struct intent_outcome *outcome)
{
  switch (r->intent)
    {
    case CELL_INTENT_NEW:
      return INTENT_NEW;
    case CELL_INTENT_IN_PROGRESS:
      return INTENT_IN_PROGRESS;
    case CELL_INTENT_KEY_REUSED:
      return INTENT_KEY_REUSED;
    case CELL_INTENT_DONE:
      outcome->code = (int)r->code;
      outcome->result = r->outcome == RAN_YES ? INTENT_ANSWERED : INTENT_UNKNOWN;
      unpack_answer (r, outcome);
      return INTENT_DONE;
    default:
      return INTENT_UNAVAILABLE;
    }
}

/* True when the begin waits for an earlier attempt to end and will be proposed again.  */
static bool
wait_for_earlier_attempt (struct intent_attempt *a)
{
  if (a->log->now_ms - a->begun_ms >= INTENT_WAIT_MS)
    return false;
  a->retry_ms = a->log->now_ms + INTENT_REPEAT_MS;
  a->waiting = true;
  TAILQ_INSERT_TAIL (&a->log->waiting, a, link);
  return true;
}

static void
end_begin (struct intent_attempt *a, const cell_result *r)
{
  struct intent_outcome outcome = { 0 };
  enum intent_state state = begun_state (r, &outcome);
  if (state == INTENT_IN_PROGRESS && wait_for_earlier_attempt (a))
    return;
  intent_begin_fn *begin_done = a->begin_done;
  void *arg = a->arg;
  a->begin_done = NULL;
  if (state == INTENT_UNAVAILABLE)
    counter_add (&unavailable, 1);
  if (state != INTENT_NEW)
    free_attempt (a);
  begin_done (arg, state, state == INTENT_DONE ? &outcome : NULL);
}

/* When the outcome stays unknown, the intent may be recorded as in progress.  INTENT_UNAVAILABLE is
   still correct for the caller, because nothing ran.  */
static void
on_begun (void *arg, const struct status *st, const void *result, size_t len)
{
  struct intent_attempt *a = arg;
  cell_results results;
  const cell_result none = { 0 };
  if (st->kind == STATUS_OUTCOME_UNKNOWN && a->proposals < MAX_PROPOSALS)
    propose (a, on_begun);
  else if (!status_ok (st) || cell_decode_results (result, len, &results, NULL) < 0)
    end_begin (a, &none);
  else
    {
      end_begin (a, results.results.results_len ? &results.results.results_val[0] : &none);
      cell_free_results (&results);
    }
}

static void
begin (struct intent_store *s, const struct intent_key *key, intent_begin_fn *done, void *arg)
{
  struct intent_attempt *a = new_attempt ((struct intent_log *)s, key);
  cell_command c = { .kind = CELL_INTENT_BEGIN };
  c.cell_command_u.intent_begin.customer = a->customer;
  c.cell_command_u.intent_begin.key = a->key;
  c.cell_command_u.intent_begin.request_hash = key->fingerprint;
  c.cell_command_u.intent_begin.attempt = a->number;
  set_command (a, &c);
  a->begin_done = done;
  a->arg = arg;
  a->begun_ms = a->log->now_ms;
  propose (a, on_begun);
}

/* A failed finish is proposed again: until it is recorded, repeats of the request get an unknown
   outcome.  */
static void
on_finished (void *arg, const struct status *st, const void *result, size_t len)
{
  struct intent_attempt *a = arg;
  (void)result;
  (void)len;
  if (!status_ok (st) && a->proposals < MAX_PROPOSALS)
    {
      propose (a, on_finished);
      return;
    }
  intent_finish_fn *finish_done = a->finish_done;
  void *finished_arg = a->arg;
  bool ok = status_ok (st);
  free_attempt (a);
  finish_done (finished_arg, ok ? 0 : -1);
}

static void
finish (struct intent_store *s, const struct intent_key *key, const struct intent_outcome *o,
        intent_finish_fn *done, void *arg)
{
  static const enum status_ran ran[]
      = { [INTENT_ANSWERED] = RAN_YES, [INTENT_UNKNOWN] = RAN_UNKNOWN, [INTENT_NOT_RUN] = RAN_NO };
  struct buffer answer;
  char text[KEY_TEXT_BYTES];
  key_text (key->key, text);
  struct intent_attempt *a = find_attempt ((struct intent_log *)s, key->customer, text);
  if (!a)
    {
      done (arg, -1);
      return;
    }
  buffer_init (&answer);
  pack_answer (o, &answer);
  cell_command c = { .kind = CELL_INTENT_FINISH };
  c.cell_command_u.intent_finish.customer = a->customer;
  c.cell_command_u.intent_finish.key = a->key;
  c.cell_command_u.intent_finish.attempt = a->number;
  c.cell_command_u.intent_finish.outcome = ran[o->result];
  c.cell_command_u.intent_finish.code = (u_int)o->code;
  c.cell_command_u.intent_finish.answer.answer_val = answer.data;
  c.cell_command_u.intent_finish.answer.answer_len = (u_int)answer.len;
  set_command (a, &c);
  buffer_close (&answer);
  a->finish_done = done;
  a->arg = arg;
  propose (a, on_finished);
}

static const struct intent_store_ops ops = { .begin = begin, .finish = finish };

void
intent_log_init (struct intent_log *l, struct proposer *proposer, const struct registry *registry,
                 struct rng *rng)
{
  l->store.ops = &ops;
  l->proposer = proposer;
  l->registry = registry;
  l->rng = rng;
  cell_map_init (&l->running);
  TAILQ_INIT (&l->waiting);
}

void
intent_log_tick (struct intent_log *l, int64_t now_ms)
{
  struct intent_attempt *a;
  l->now_ms = now_ms;
  while ((a = TAILQ_FIRST (&l->waiting)) && a->retry_ms <= now_ms)
    {
      TAILQ_REMOVE (&l->waiting, a, link);
      a->waiting = false;
      a->proposals = 0;
      propose (a, on_begun);
    }
}

void
intent_log_close (struct intent_log *l)
{
  for (size_t i = 0; i < l->running.size; i++)
    while (l->running.buckets[i])
      free_attempt (CELL_CONTAINER (l->running.buckets[i], struct intent_attempt, node));
  cell_map_close (&l->running);
}
