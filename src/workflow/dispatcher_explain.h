/* dispatcher_explain: where a task would start now, and why, without a trace of the question.

   The request is a JSON object: "queue" and, all optional, "account", "kind" (short, lasting or
   fill), "millicores", "memory_mb", "accelerators", "estimate_ms", "max_per_worker",
   "required_label", "data_rack" and "image".  Errors: STATUS_NOT_LEADER; STATUS_BAD_REQUEST, with
   the field; STATUS_NOT_FOUND, with the queue or account that is not known.  */

#ifndef SASSAFRAS_DISPATCHER_EXPLAIN_H
#define SASSAFRAS_DISPATCHER_EXPLAIN_H

#include <jansson.h>

#include "dispatcher.h"

/* New reference; NULL and ST on error.  */
json_t *dispatcher_explain (struct dispatcher *d, int64_t now_ms, json_t *request,
                            struct status *st);

#endif
