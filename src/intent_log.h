/* intent_log: struct intent_store over the replicated log of the request's home cell.

   An answer is recorded as one byte string: four bytes of header length (network order), the
   headers, one byte that tells whether a body follows, the body.  An answer too large to record is
   kept as its code alone, and a repeat is told that the outcome can't be given again.

   Every begin draws an attempt number.  A begin whose outcome is unknown is proposed again under
   the same number, which the cell takes as the same begin; a finish is recorded only for the
   attempt that may run the request, so that a late one never ends a later attempt.  */

#ifndef SASSAFRAS_INTENT_LOG_H
#define SASSAFRAS_INTENT_LOG_H

#include "cell_map.h"
#include "intent_store.h"
#include "operator_api.h"
#include "registry.h"
#include "rng.h"

struct intent_log
{
  struct intent_store store; /* first member: the vtable */
  struct proposer *proposer;
  const struct registry *registry;
  struct rng *rng;
  struct cell_map running; /* attempts between begin and finish, by customer and key */
};

void intent_log_init (struct intent_log *l, struct proposer *proposer,
                      const struct registry *registry,
                      struct rng *rng);       /* RNG draws attempt numbers. */
void intent_log_close (struct intent_log *l); /* Frees what is kept of running requests. */

#endif
