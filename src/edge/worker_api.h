/* worker_api: POST /v1/workers/announce and POST /v1/workers/poll.

   Only the leader of the cell answers; other VMs redirect to it with 307.  The query parameter
   data_centre selects the cell; the default is the cell of the VM's own data centre.  A redirect
   includes it, because the leader may also be a member of another cell.  For fields and units see
   docs/api.md.  A poll with "wait": 1 is held until there are commands.  */

#ifndef SASSAFRAS_WORKER_API_H
#define SASSAFRAS_WORKER_API_H

#include <stdbool.h>

#include "cell_service.h"
#include "http_server.h"
#include "registry.h"

struct worker_api
{
  struct cell_service *const *cells; /* on this VM; that of its own data centre is first */
  const size_t *cell_count;          /* 0 until the groups are open */
  const struct registry *registry;
};

bool worker_api_handle (struct worker_api *api,
                        struct http_request *req); /* False for other endpoints. */

#endif
