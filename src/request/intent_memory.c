#include "intent_memory.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "buffer.h"

struct intent
{
  char *customer;
  char *key;
  uint64_t fingerprint;
  bool finished;
  struct intent_outcome outcome;
  struct buffer headers;
  struct buffer body;
  LIST_ENTRY (intent) link;
};

struct intent_memory
{
  struct intent_store store; /* first member: the vtable */
  bool available;
  LIST_HEAD (, intent) intents;
};

static struct intent *
find_intent (struct intent_memory *m, const struct intent_key *key)
{
  struct intent *i;
  LIST_FOREACH (i, &m->intents, link)
  if (strcmp (i->customer, key->customer) == 0 && strcmp (i->key, key->key) == 0)
    return i;
  return NULL;
}

static void
remove_intent (struct intent *i)
{
  LIST_REMOVE (i, link);
  buffer_close (&i->headers);
  buffer_close (&i->body);
  free (i->customer);
  free (i->key);
  free (i);
}

static void
memory_begin (struct intent_store *s, const struct intent_key *key, intent_begin_fn *done,
              void *arg)
{
  struct intent_memory *m = (struct intent_memory *)s;
  struct intent *i = find_intent (m, key);
  if (!m->available)
    done (arg, INTENT_UNAVAILABLE, NULL);
  else if (i && i->fingerprint != key->fingerprint)
    done (arg, INTENT_KEY_REUSED, NULL);
  else if (i)
    done (arg, i->finished ? INTENT_DONE : INTENT_IN_PROGRESS, i->finished ? &i->outcome : NULL);
  else
    {
      i = xcalloc (1, sizeof *i);
      i->customer = xstrdup (key->customer);
      i->key = xstrdup (key->key);
      i->fingerprint = key->fingerprint;
      LIST_INSERT_HEAD (&m->intents, i, link);
      done (arg, INTENT_NEW, NULL);
    }
}

static void
store_outcome (struct intent *i, const struct intent_outcome *outcome)
{
  i->finished = true;
  i->outcome = *outcome;
  if (outcome->headers)
    buffer_append (&i->headers, outcome->headers, outcome->headers_len);
  if (outcome->body)
    buffer_append (&i->body, outcome->body, outcome->body_len);
  i->outcome.headers = i->headers.data;
  i->outcome.body = outcome->body ? i->body.data : NULL;
}

static void
memory_finish (struct intent_store *s, const struct intent_key *key,
               const struct intent_outcome *outcome, intent_finish_fn *done, void *arg)
{
  struct intent_memory *m = (struct intent_memory *)s;
  struct intent *i = find_intent (m, key);
  if (!m->available || !i)
    {
      done (arg, -1);
      return;
    }
  if (outcome->result == INTENT_NOT_RUN)
    remove_intent (i);
  else
    store_outcome (i, outcome);
  done (arg, 0);
}

static const struct intent_store_ops memory_ops = { memory_begin, memory_finish };

struct intent_store *
intent_memory_open (void)
{
  struct intent_memory *m = xcalloc (1, sizeof *m);
  m->store.ops = &memory_ops;
  m->available = true;
  LIST_INIT (&m->intents);
  return &m->store;
}

void
intent_memory_close (struct intent_store *s)
{
  struct intent_memory *m = (struct intent_memory *)s;
  if (!m)
    return;
  while (!LIST_EMPTY (&m->intents))
    remove_intent (LIST_FIRST (&m->intents));
  free (m);
}

void
intent_memory_set_available (struct intent_store *s, bool available)
{
  ((struct intent_memory *)s)->available = available;
}
