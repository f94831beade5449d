/* job_api: HTTP endpoints for jobs.

   POST /v1/jobs submits, GET /v1/jobs lists the jobs of one cell, GET /v1/jobs/<id> shows one,
   DELETE /v1/jobs/<id> cancels one, POST /v1/jobs/cancel cancels many.  Fields: docs/api.md.

   A submission goes to the cell that "data_centre" names, else to the home cell of its customer and
   request id, so that a repeat through any VM finds the first submission.  Reads are answered from
   this VM's copy of the cell, which may lag, or redirected to a VM of the cell's data centre.  */

#ifndef SASSAFRAS_JOB_API_H
#define SASSAFRAS_JOB_API_H

#include <stdbool.h>

#include "cell_service.h"
#include "http_server.h"
#include "operator_api.h"
#include "registry.h"

struct job_api
{
  const struct registry *registry;
  struct proposer *proposer;
  struct cell_service *const *cells; /* cells that this VM has a copy of */
  const size_t *cell_count;
  const bool *registry_known; /* false: this VM has not caught up with the lists yet */
};

bool job_api_handle (struct job_api *api,
                     struct http_request *req); /* False: not one of these endpoints. */

#endif
