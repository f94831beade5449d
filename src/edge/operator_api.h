/* operator_api: HTTP endpoints for lists, data centres, members and the state of this VM.

   GET/PUT /v1/lists, GET /v1/data-centres[/<name>],
   POST /v1/data-centres/<name>/out|return, POST /v1/data-centres/<name>/close-epoch,
   GET/POST /v1/members, POST /v1/members/<vm>/replace|remove, POST /v1/drain, GET /v1/state,
   GET /metrics.  Fields and errors: docs/api.md.

   Reads are answered from this VM's replica of the registry, which may lag; changes go through the
   proposer.  After a lost answer it is safe to retry with the same request id.  */

#ifndef SASSAFRAS_OPERATOR_API_H
#define SASSAFRAS_OPERATOR_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "http_server.h"
#include "permit.h"
#include "registry.h"
#include "status.h"

#define OPERATOR_API_MAX_BODY_BYTES (4 * 1024 * 1024) /* 1 MB of lists with every byte escaped */

/* Outcome of a proposal; RESULT is set only if ST is OK.  Called exactly once, maybe at once.  */
typedef void propose_done (void *arg, const struct status *st, const void *result, size_t len);

struct proposer;

struct proposer_ops
{
  /* Commits COMMAND through the leader of GROUP, whichever VM that is; the leader sets the time.
     STATUS_NOT_LEADER and STATUS_NO_QUORUM: definitely not accepted.  STATUS_OUTCOME_UNKNOWN: retry
     with the same request id.  */
  void (*propose) (struct proposer *p, uint64_t group, const void *command, size_t len,
                   propose_done *done, void *arg);
};

struct proposer
{
  const struct proposer_ops *ops;
};

struct operator_api_config
{
  struct registry *registry;
  struct proposer *proposer;
  struct clock *clock;
  const char *vm;
  const char *data_centre;
  const char *token;                            /* NULL or "": not required */
  void (*add_state) (void *arg, json_t *state); /* adds the state of other modules; or NULL */
  void *add_state_arg;
  registry_observer *on_change; /* called after each change; may be NULL */
  void *on_change_arg;
};

struct operator_api;

struct operator_api *operator_api_open (const struct operator_api_config *config); /* Observes. */
void operator_api_close (struct operator_api *api); /* Pending requests get no answer. */
bool operator_api_handle (struct operator_api *api,
                          struct http_request *req); /* False for other endpoints. */
bool operator_api_authorized (const struct operator_api *api,
                              struct http_request *req);     /* When false, has answered 401. */
json_t *operator_api_state (const struct operator_api *api); /* Body of GET /v1/state. */

#endif
