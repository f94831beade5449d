/* Intents and recorded outcomes of non-idempotent (unrepeatable) requests.  */
#include <stdlib.h>
#include <string.h>

#include "cell_internal.h"

const struct cell_intent *
cell_find_intent (const struct cell *c, const char *customer, const char *key)
{
  struct cell_map_node *n = cell_map_first (&c->intents, cell_hash_names (customer, key));
  for (; n; n = cell_map_next (n))
    {
      const struct cell_intent *i = CELL_CONTAINER (n, struct cell_intent, node);
      if (strcmp (i->customer, customer) == 0 && strcmp (i->key, key) == 0)
        return i;
    }
  return NULL;
}

void
cell_add_intent (struct cell *c, struct cell_intent *i)
{
  cell_map_add (&c->intents, &i->node, cell_hash_names (i->customer, i->key));
  TAILQ_INSERT_TAIL (&c->intent_list, i, link);
  c->intent_count++;
  c->intent_bytes += (int64_t)i->answer_len;
}

static void
free_intent (struct cell *c, struct cell_intent *i)
{
  cell_map_remove (&c->intents, &i->node);
  TAILQ_REMOVE (&c->intent_list, i, link);
  c->intent_count--;
  c->intent_bytes -= (int64_t)i->answer_len;
  free (i->customer);
  free (i->key);
  free (i->answer);
  free (i);
}

void
cell_expire_intents (struct cell *c)
{
  struct cell_intent *i;
  while ((i = TAILQ_FIRST (&c->intent_list)) && c->now_ms - i->begun_ms > CELL_INTENT_RETENTION_MS)
    free_intent (c, i);
}

void
cell_free_intents (struct cell *c)
{
  struct cell_intent *i;
  while ((i = TAILQ_FIRST (&c->intent_list)))
    free_intent (c, i);
}

/* R borrows the recorded answer, so it must be encoded before the next change.  */
static void
fill_recorded_outcome (const struct cell_intent *i, cell_result *r)
{
  r->repeated = true;
  r->intent = CELL_INTENT_DONE;
  r->outcome = i->outcome;
  r->code = i->code;
  r->answer.answer_val = i->answer;
  r->answer.answer_len = (u_int)i->answer_len;
}

/* The request is known not to have run, so the key can be reused.  The intent moves to the tail
   because the list is ordered by begun_ms.  */
static void
reopen_intent (struct cell *c, struct cell_intent *i, uint64_t attempt)
{
  c->intent_bytes -= (int64_t)i->answer_len;
  free (i->answer);
  i->answer = NULL;
  i->answer_len = 0;
  i->finished = false;
  i->attempt = attempt;
  i->begun_ms = c->now_ms;
  TAILQ_REMOVE (&c->intent_list, i, link);
  TAILQ_INSERT_TAIL (&c->intent_list, i, link);
}

void
cell_apply_intent_begin (struct cell *c, const cell_intent_begin *a, cell_result *r)
{
  struct cell_intent *old
      = (struct cell_intent *)(uintptr_t)cell_find_intent (c, a->customer, a->key);
  if (old && old->request_hash != a->request_hash)
    r->intent = CELL_INTENT_KEY_REUSED;
  else if (old && old->finished && old->outcome == RAN_NO && old->attempt != a->attempt)
    {
      reopen_intent (c, old, a->attempt);
      r->intent = CELL_INTENT_NEW;
    }
  else if (old && old->finished)
    fill_recorded_outcome (old, r);
  else if (old && old->attempt == a->attempt)
    r->intent = CELL_INTENT_NEW;
  else if (old)
    r->intent = CELL_INTENT_IN_PROGRESS;
  if (old)
    {
      r->repeated = true;
      return;
    }
  if (c->intent_count >= CELL_MAX_INTENTS || c->intent_bytes >= CELL_MAX_INTENT_BYTES)
    {
      cell_set_error (r, STATUS_OVERLOADED, "too many unrepeatable requests are recorded");
      return;
    }
  struct cell_intent *i = xcalloc (1, sizeof *i);
  i->customer = xstrdup (a->customer);
  i->key = xstrdup (a->key);
  i->request_hash = a->request_hash;
  i->attempt = a->attempt;
  i->begun_ms = c->now_ms;
  cell_add_intent (c, i);
  r->intent = CELL_INTENT_NEW;
}

void
cell_apply_intent_finish (struct cell *c, cell_intent_finish *a, cell_result *r)
{
  struct cell_intent *i
      = (struct cell_intent *)(uintptr_t)cell_find_intent (c, a->customer, a->key);
  if (!i)
    {
      cell_set_error (r, STATUS_NOT_FOUND, "no such intent");
      return;
    }
  if (i->attempt != a->attempt)
    {
      cell_set_error (r, STATUS_STALE_EPOCH, "another attempt may run this request");
      return;
    }
  if (i->finished)
    {
      fill_recorded_outcome (i, r);
      return;
    }
  i->finished = true;
  i->outcome = a->outcome;
  i->code = a->code;
  i->answer = a->answer.answer_val;
  i->answer_len = a->answer.answer_len;
  a->answer.answer_val = NULL;
  a->answer.answer_len = 0;
  c->intent_bytes += (int64_t)i->answer_len;
  fill_recorded_outcome (i, r);
  r->repeated = false;
}
