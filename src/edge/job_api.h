/* job_api: HTTP endpoints for jobs.

   POST /v1/jobs submits a job, GET /v1/jobs lists the jobs of one cell, GET /v1/jobs/<id> shows a
   job, DELETE /v1/jobs/<id> cancels it, POST /v1/jobs/cancel cancels several.  See docs/api.md.

   A submission goes to the cell named by "data_centre", else to the home cell of its customer and
   request id, so that a retry through any VM finds the first submission.  Reads are answered from
   this VM's replica of the cell, which may lag, or redirected to a VM of its data centre.  */

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
  struct cell_service *const *cells; /* cells with a replica on this VM */
  const size_t *cell_count;
  const bool *registry_known; /* false until this VM has caught up with the lists */
};

bool job_api_handle (struct job_api *api,
                     struct http_request *req); /* False for other endpoints. */

#endif
