/* proxy: forwards callers' requests to runners and streams the answers back.

   ANY /v1/call/<service>/<path...> with Sassafras-Customer, Sassafras-Class: urgent|batch,
   Sassafras-Unrepeatable: 1, Idempotency-Key and Sassafras-Deadline-Ms.  The deadline covers the
   time to the first byte of the answer; after that a stream may pause for PROXY_STALL_MS.

   Answers.  A caller gets the complete answer of one try, or a JSON error with "ran", or its
   connection is closed before the end of the answer.  "ran" is "no" only when no byte was sent to a
   runner or the runner answered 503 with Sassafras-Not-Run: 1.  An answer without Content-Length or
   chunked framing is refused, since its end cannot be told from a truncation.  HTTP/1.0 callers are
   refused for the same reason.

   Runners may report their load with Sassafras-In-Flight in each answer.

   Memory per request: PROXY_BODY_BYTES each way and PROXY_HEADER_BYTES of headers.

   Errors: see status.h.  Source: design page sections 1.2, 6, 7.  */

#ifndef SASSAFRAS_PROXY_H
#define SASSAFRAS_PROXY_H

#include <stdint.h>

#include <ev.h>

#include "clock.h"
#include "intent_store.h"
#include "limit.h"
#include "router.h"
#include "runner_table.h"
#include "status.h"

#define PROXY_BODY_BYTES 65536
#define PROXY_HEADER_BYTES 32768
#define PROXY_STALL_MS 30000
#define PROXY_URGENT_DEADLINE_MS 10000
#define PROXY_BATCH_DEADLINE_MS 60000
#define PROXY_MAX_DEADLINE_MS 600000

struct connection_limit;

struct proxy_config
{
  const char *address;   /* "ip:port" to listen on; port 0 selects a free one */
  unsigned max_queued;   /* queue length per service; 0 selects the default */
  unsigned max_requests; /* maximum open requests; 0 selects the default */
  struct clock *clock;
  struct runner_table *table;
  struct router *router;
  struct limit *limit;
  struct intent_store *intents; /* NULL: requests with a key are refused as unavailable */
  uint64_t seed;
  struct connection_limit *connections; /* shared by the servers of a process; NULL: none */
  double retry_tokens;                  /* initial retry budget of each service; 0 in production */
};

struct proxy_stats
{
  uint64_t requests;
  uint64_t tries;
  uint64_t retries;
  uint64_t hedges;
  uint64_t refused; /* answered as not run */
  uint64_t broken;  /* answers that ended early */
  unsigned open;    /* requests not yet finished */
  unsigned queued;
  unsigned connections; /* caller connections */
};

typedef void proxy_drained_fn (void *arg);

struct proxy;

struct proxy *proxy_open (struct ev_loop *loop, const struct proxy_config *config,
                          struct status *st); /* Starts to listen; NULL and ST on failure. */
void proxy_close (struct proxy *p); /* Aborts all requests; the store must not call back later. */
int proxy_port (const struct proxy *p); /* The listening port. */
void proxy_wake (struct proxy *p);      /* Runners or limits changed: dispatches queued requests. */
void proxy_drain (struct proxy *p, proxy_drained_fn *done,
                  void *arg); /* Stops accepting; DONE is called when all requests have finished. */
void proxy_stats (const struct proxy *p, struct proxy_stats *out); /* Current statistics. */

#endif
