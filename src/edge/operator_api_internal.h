/* operator_api_internal: shared by the files of operator_api.  */

#ifndef SASSAFRAS_OPERATOR_API_INTERNAL_H
#define SASSAFRAS_OPERATOR_API_INTERNAL_H

#include <sys/queue.h>

#include "json_check.h"
#include "operator_api.h"

/* Version in force on this VM, and since when.  */
struct local_version
{
  char name[REGISTRY_NAME_BYTES + 1];
  uint64_t version;
  int64_t since_ms; /* Unix time */
};

struct operator_api
{
  struct operator_api_config config;
  struct local_version lists;
  struct local_version data_centres[REGISTRY_MAX_DATA_CENTRES];
  size_t data_centre_count;
  LIST_HEAD (pending_list, pending_command) pending;
};

/* Adds the fields of a committed command to the answer; RESULT may be a refusal.  */
typedef void render_fn (struct operator_api *api, const registry_result *result,
                        const char *subject, json_t *answer);

/* Command that waits for its commit.  */
struct pending_command
{
  struct operator_api *api; /* NULL after operator_api_close */
  struct http_request *req;
  render_fn *render;
  char subject[REGISTRY_NAME_BYTES + 1]; /* data centre or VM */
  char request_id[REGISTRY_NAME_BYTES + 1];
  LIST_ENTRY (pending_command) link;
};

/* Request body and the faults found in it.  */
struct api_body
{
  struct json_check check;
  struct json_source source;
  struct json_faults faults;
  json_t *root;
  char request_id[REGISTRY_NAME_BYTES];
};

/* Handles a request; SUBJECT is the path component that matches '*' in the route.  */
typedef void route_fn (struct operator_api *api, struct http_request *req, const char *subject);

int api_body_open (struct api_body *b, struct http_request *req,
                   const char *const *fields); /* Reads the body and request_id; see _finish. */
bool api_body_finish (struct api_body *b, struct http_request *req,
                      enum status_kind kind); /* False after answering KIND with the faults. */
void api_body_close (struct api_body *b);     /* Frees it. */
void api_propose (struct operator_api *api, struct http_request *req, registry_command *command,
                  render_fn *render, const char *subject); /* Proposes; answers later. */
json_t *api_data_centre_json (const struct operator_api *api,
                              const registry_data_centre *dc); /* New object. */
void api_get_lists (struct operator_api *api, struct http_request *req, const char *subject);
void api_put_lists (struct operator_api *api, struct http_request *req, const char *subject);
void api_get_data_centres (struct operator_api *api, struct http_request *req, const char *subject);
void api_get_data_centre (struct operator_api *api, struct http_request *req, const char *subject);
void api_data_centre_out (struct operator_api *api, struct http_request *req, const char *subject);
void api_data_centre_return (struct operator_api *api, struct http_request *req,
                             const char *subject);
void api_close_epoch (struct operator_api *api, struct http_request *req, const char *subject);
void api_get_members (struct operator_api *api, struct http_request *req, const char *subject);
void api_add_member (struct operator_api *api, struct http_request *req, const char *subject);
void api_replace_member (struct operator_api *api, struct http_request *req, const char *subject);
void api_remove_member (struct operator_api *api, struct http_request *req, const char *subject);
void api_drain (struct operator_api *api, struct http_request *req, const char *subject);

#endif
