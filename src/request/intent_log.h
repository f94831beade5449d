/* intent_log: struct intent_store over the replicated log of the request's home cell.

   An answer is recorded as one byte string: four bytes of header length (network order), the
   headers, one byte that tells whether a body follows, the body.  For an answer too large to record
   only the status code is kept, and a repeat gets an error that its body was not stored.

   Every begin has a random attempt number.  A begin with unknown outcome is proposed again with the
   same number, which the cell treats as a duplicate; a finish is recorded only for the attempt that
   may run the request, so that a late finish never ends a later attempt.

   A caller may repeat a request before the finish of the first is committed.  A begin that meets
   such an intent is therefore proposed again every INTENT_REPEAT_MS, up to INTENT_WAIT_MS, before
   INTENT_IN_PROGRESS is returned.  */

#ifndef SASSAFRAS_INTENT_LOG_H
#define SASSAFRAS_INTENT_LOG_H

#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "intent_store.h"
#include "operator_api.h"
#include "registry.h"
#include "rng.h"

struct intent_attempt; /* one request from its begin until its finish is recorded */

#define INTENT_REPEAT_MS 100
#define INTENT_WAIT_MS 1000

struct intent_log
{
  struct intent_store store; /* first member: the vtable */
  struct proposer *proposer;
  const struct registry *registry;
  struct rng *rng;
  struct cell_map running; /* attempts between begin and finish, by customer and key */
  TAILQ_HEAD (intent_wait_list, intent_attempt) waiting; /* begins to be proposed again */
  int64_t now_ms;                                        /* of the last tick */
};

void intent_log_init (struct intent_log *l, struct proposer *proposer,
                      const struct registry *registry,
                      struct rng *rng); /* RNG generates attempt numbers. */
void intent_log_tick (struct intent_log *l,
                      int64_t now_ms); /* Proposes waiting begins that are due. */
void intent_log_close (struct intent_log *l);

#endif
