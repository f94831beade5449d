/* runner_api: POST /v1/runners/announce and POST /v1/runners/depart.

   announce: {"id","service","address","slots","connections","in_flight","incarnation"} and an
   optional "data_centre", by default that of the entry VM.  Answer: 200 {"renew_ms"}.
   depart: {"id","incarnation"}.  Errors: BAD_REQUEST, STALE_INCARNATION, OVERLOADED after a pause
   of the process.  */

#ifndef SASSAFRAS_RUNNER_API_H
#define SASSAFRAS_RUNNER_API_H

#include "clock.h"
#include "http_server.h"
#include "runner_table.h"

struct runner_api
{
  struct runner_table *table;
  struct clock *clock;
  const char *data_centre;     /* of this entry VM */
  void (*changed) (void *arg); /* wakes queues and sends digests after a change; or NULL */
  void *changed_arg;
};

void runner_api_announce (struct runner_api *api, struct http_request *req); /* Answers REQ. */
void runner_api_depart (struct runner_api *api, struct http_request *req);   /* Answers REQ. */

#endif
