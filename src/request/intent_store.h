/* intent_store: records that an unrepeatable request with an Idempotency-Key is about to run.

   begin records the intent before any byte is sent to a runner; finish records the outcome.  The
   daemon implements the interface over the replicated log of the customer's home cell;
   intent_memory keeps it in memory for tests.

   Each callback runs once, during the call or later.  Strings are valid only during the call.
   After begin reported INTENT_NEW, finish is called exactly once, unless the process dies: then the
   intent stays in progress, and a repeat gets INTENT_IN_PROGRESS instead of running again.  */

#ifndef SASSAFRAS_INTENT_STORE_H
#define SASSAFRAS_INTENT_STORE_H

#include <stddef.h>
#include <stdint.h>

#define INTENT_ANSWER_BYTES 65536 /* of headers and body stored with an outcome */
#define INTENT_KEY_BYTES 255      /* maximum length of an Idempotency-Key */

enum intent_state
{
  INTENT_NEW,         /* newly recorded: the request may be sent */
  INTENT_IN_PROGRESS, /* recorded before, not finished */
  INTENT_DONE,        /* finished before; outcome is set */
  INTENT_KEY_REUSED,  /* the key was used for a different request */
  INTENT_UNAVAILABLE, /* the home cell cannot be reached; nothing was recorded */
};

enum intent_result
{
  INTENT_ANSWERED, /* the runner sent a complete answer */
  INTENT_UNKNOWN,  /* sent, but no complete answer was received */
  INTENT_NOT_RUN,  /* did not run: the key may be used again */
};

struct intent_key
{
  const char *customer;
  const char *key;
  uint64_t fingerprint; /* of method, service, path and the body's length or its first bytes */
};

/* Recorded end of a request.  */
struct intent_outcome
{
  enum intent_result result;
  int code;            /* HTTP status of the answer */
  const char *headers; /* "Name: value\n" lines of the answer */
  size_t headers_len;
  const char *body; /* NULL when the answer was too large to store */
  size_t body_len;
};

typedef void intent_begin_fn (void *arg, enum intent_state state,
                              const struct intent_outcome *outcome);
typedef void intent_finish_fn (void *arg, int result); /* 0 when recorded, else -1 */

struct intent_store;

struct intent_store_ops
{
  void (*begin) (struct intent_store *s, const struct intent_key *key, intent_begin_fn *done,
                 void *arg);
  void (*finish) (struct intent_store *s, const struct intent_key *key,
                  const struct intent_outcome *outcome, intent_finish_fn *done, void *arg);
};

struct intent_store
{
  const struct intent_store_ops *ops;
};

#endif
