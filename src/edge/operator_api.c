#include "operator_api.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "operator_api_internal.h"

#define BEARER "Bearer "

static struct counter unauthorized_total
    = { .name = "sassafras_operator_unauthorized_total",
        .help = "Requests of operators without the right token." };

struct route
{
  const char *method;
  const char *pattern; /* '*' matches one path component */
  route_fn *fn;
};

static void
get_state (struct operator_api *api, struct http_request *req, const char *subject)
{
  (void)subject;
  http_reply_json (req, MHD_HTTP_OK, operator_api_state (api));
}

static void
get_metrics (struct operator_api *api, struct http_request *req, const char *subject)
{
  struct buffer text;
  (void)api;
  (void)subject;
  buffer_init (&text);
  counters_write (&text);
  http_reply (req, MHD_HTTP_OK, "text/plain; version=0.0.4", text.data ? text.data : "", text.len);
  buffer_close (&text);
}

static const struct route routes[] = {
  { "GET", "/v1/lists", api_get_lists },
  { "PUT", "/v1/lists", api_put_lists },
  { "GET", "/v1/data-centres", api_get_data_centres },
  { "GET", "/v1/data-centres/*", api_get_data_centre },
  { "POST", "/v1/data-centres/*/out", api_data_centre_out },
  { "POST", "/v1/data-centres/*/return", api_data_centre_return },
  { "POST", "/v1/data-centres/*/close-epoch", api_close_epoch },
  { "GET", "/v1/members", api_get_members },
  { "POST", "/v1/members", api_add_member },
  { "POST", "/v1/members/*/replace", api_replace_member },
  { "POST", "/v1/members/*/remove", api_remove_member },
  { "POST", "/v1/drain", api_drain },
  { "GET", "/v1/state", get_state },
  { "GET", "/metrics", get_metrics },
};

/* Copies the path component that matches '*'; false if PATH does not match.  */
static bool
path_matches (const char *pattern, const char *path, char *subject, size_t size)
{
  const char *star = strchr (pattern, '*');
  subject[0] = '\0';
  if (!star)
    return strcmp (pattern, path) == 0;
  size_t prefix = (size_t)(star - pattern);
  if (strncmp (pattern, path, prefix) != 0)
    return false;
  size_t len = strcspn (path + prefix, "/");
  if (len == 0 || len >= size || strcmp (path + prefix + len, star + 1) != 0)
    return false;
  memcpy (subject, path + prefix, len);
  subject[len] = '\0';
  return true;
}

/* Compares in a time that does not depend on the position of the first difference.  */
static bool
token_equal (const char *a, const char *b)
{
  size_t len = strlen (b);
  unsigned char difference = strlen (a) == len ? 0 : 1;
  for (size_t i = 0; i < len && a[i]; i++)
    difference |= (unsigned char)(a[i] ^ b[i]);
  return difference == 0;
}

bool
operator_api_authorized (const struct operator_api *api, struct http_request *req)
{
  const char *token = api->config.token;
  if (!token || !token[0])
    return true;
  const char *header = http_header (req, "Authorization");
  if (header && strncmp (header, BEARER, strlen (BEARER)) == 0
      && token_equal (header + strlen (BEARER), token))
    return true;
  counter_add (&unauthorized_total, 1);
  http_reply_error (req, STATUS_UNAUTHORIZED, "the operators' token is missing or wrong");
  return false;
}

bool
operator_api_handle (struct operator_api *api, struct http_request *req)
{
  char subject[REGISTRY_NAME_BYTES];
  bool known = false;
  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    {
      if (!path_matches (routes[i].pattern, req->path, subject, sizeof subject))
        continue;
      known = true;
      if (strcmp (routes[i].method, req->method) != 0)
        continue;
      if (operator_api_authorized (api, req))
        routes[i].fn (api, req, subject);
      return true;
    }
  if (known)
    http_reply_error (req, STATUS_METHOD_NOT_ALLOWED, "this path has no such method");
  return known;
}

int
api_body_open (struct api_body *b, struct http_request *req, const char *const *fields)
{
  memset (b, 0, sizeof *b);
  b->source.name = "body";
  b->source.text = req->body.data ? req->body.data : "";
  b->source.len = req->body.len;
  b->root = json_check_load (&b->check, &b->source, &b->faults);
  if (!b->root || !json_check_object (&b->check, b->root, fields))
    return -1;
  json_check_name (&b->check, b->root, "request_id", b->request_id, sizeof b->request_id);
  return 0;
}

bool
api_body_finish (struct api_body *b, struct http_request *req, enum status_kind kind)
{
  struct status st;
  if (b->faults.count == 0)
    return true;
  const struct json_fault *first = &b->faults.items[0];
  size_t more = b->faults.count + b->faults.dropped - 1;
  if (more > 0)
    status_set (&st, kind, "%s:%d: %s: %.150s (and %zu more)", first->file, first->line,
                first->path, first->reason, more);
  else
    status_set (&st, kind, "%s:%d: %s: %s", first->file, first->line, first->path, first->reason);
  json_t *body = http_status_json (&st);
  json_object_set_new (body, "faults", json_faults_json (&b->faults));
  http_reply_json (req, status_answer (kind)->http_code, body);
  return false;
}

void
api_body_close (struct api_body *b)
{
  json_decref (b->root);
  json_faults_close (&b->faults);
}

static json_t *
command_json (const registry_result *result, const struct pending_command *p)
{
  struct status st;
  json_t *body;
  if (result->status == STATUS_OK)
    body = json_object ();
  else
    {
      status_set (&st, (enum status_kind)result->status, "%s", result->message);
      body = http_status_json (&st);
    }
  json_object_set_new (body, "request_id", json_string (p->request_id));
  json_object_set_new (body, "accepted_at_ms",
                       result->status == STATUS_OK ? json_integer (result->accepted_ms)
                                                   : json_null ());
  if (result->status == STATUS_OK)
    json_object_set_new (body, "registry_index", json_integer ((json_int_t)result->index));
  if (result->status == STATUS_OK && result->message && result->message[0])
    json_object_set_new (body, "note", json_string (result->message));
  return body;
}

static void
reply_result (struct pending_command *p, const void *data, size_t len)
{
  registry_result result;
  struct status st;
  if (registry_decode_result (data, len, &result, &st) < 0)
    {
      http_reply_status (p->req, &st);
      return;
    }
  json_t *body = command_json (&result, p);
  p->render (p->api, &result, p->subject, body);
  http_reply_json (p->req, status_answer ((enum status_kind)result.status)->http_code, body);
  registry_result_free (&result);
}

static void
on_proposed (void *arg, const struct status *st, const void *result, size_t len)
{
  struct pending_command *p = arg;
  if (p->api)
    {
      LIST_REMOVE (p, link);
      if (status_ok (st))
        reply_result (p, result, len);
      else
        http_reply_status (p->req, st);
    }
  free (p);
}

void
api_propose (struct operator_api *api, struct http_request *req, registry_command *command,
             render_fn *render, const char *subject)
{
  struct buffer encoded;
  struct status st;
  /* A command that was read late must not undo what the operator has changed since through another
     VM; it has given up this request by then.  */
  if (http_sender_is_gone (req))
    {
      http_reply_error (req, STATUS_SENDER_GONE, "the sender closed the connection");
      return;
    }
  buffer_init (&encoded);
  if (registry_encode (command, &encoded, &st) < 0)
    {
      http_reply_status (req, &st);
      buffer_close (&encoded);
      return;
    }
  struct pending_command *p = xcalloc (1, sizeof *p);
  p->api = api;
  p->req = req;
  p->render = render;
  snprintf (p->subject, sizeof p->subject, "%s", subject);
  snprintf (p->request_id, sizeof p->request_id, "%s", command->request_id);
  LIST_INSERT_HEAD (&api->pending, p, link);
  struct proposer *proposer = api->config.proposer;
  proposer->ops->propose (proposer, REGISTRY_GROUP, encoded.data, encoded.len, on_proposed, p);
  buffer_close (&encoded);
}

static struct local_version *
find_local_version (struct operator_api *api, const char *name)
{
  for (size_t i = 0; i < api->data_centre_count; i++)
    if (strcmp (api->data_centres[i].name, name) == 0)
      return &api->data_centres[i];
  struct local_version *v = &api->data_centres[api->data_centre_count++];
  snprintf (v->name, sizeof v->name, "%s", name);
  return v;
}

static void
record_version (struct local_version *v, uint64_t version, int64_t now_ms)
{
  if (v->version == version)
    return;
  v->version = version;
  v->since_ms = now_ms;
}

/* Records since when each version has been in force on this VM.  */
static void
on_change (void *arg, struct registry *r, unsigned changes)
{
  struct operator_api *api = arg;
  const registry_data_centre *list;
  size_t count = registry_data_centres (r, &list);
  int64_t now_ms = clock_wall_ms ();
  struct registry_lists lists = registry_lists (r);
  if ((changes & REGISTRY_CHANGED_LISTS) && lists.usable)
    record_version (&api->lists, lists.version, now_ms);
  for (size_t i = 0; i < count; i++)
    record_version (find_local_version (api, list[i].name), list[i].state_version, now_ms);
  if (api->config.on_change)
    api->config.on_change (api->config.on_change_arg, r, changes);
}

struct operator_api *
operator_api_open (const struct operator_api_config *config)
{
  struct operator_api *api = xcalloc (1, sizeof *api);
  api->config = *config;
  LIST_INIT (&api->pending);
  on_change (api, config->registry,
             REGISTRY_CHANGED_LISTS | REGISTRY_CHANGED_DATA_CENTRES | REGISTRY_CHANGED_MEMBERS);
  registry_observe (config->registry, on_change, api);
  return api;
}

void
operator_api_close (struct operator_api *api)
{
  struct pending_command *p;
  if (!api)
    return;
  while ((p = LIST_FIRST (&api->pending)))
    {
      LIST_REMOVE (p, link);
      p->api = NULL;
    }
  registry_observe (api->config.registry, NULL, NULL);
  free (api);
}

json_t *
operator_api_state (const struct operator_api *api)
{
  const struct registry *r = api->config.registry;
  struct registry_lists lists = registry_lists (r);
  const registry_data_centre *list;
  size_t count = registry_data_centres (r, &list);
  json_t *centres = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (centres, api_data_centre_json (api, &list[i]));
  json_t *state = json_pack (
      "{s:s, s:s, s:I, s:I, s:{s:I, s:I, s:I, s:I, s:b}, s:o}", "vm", api->config.vm, "data_centre",
      api->config.data_centre, "time_ms", (json_int_t)clock_wall_ms (), "registry_applied",
      (json_int_t)registry_applied (r), "lists", "version", (json_int_t)lists.version,
      "accepted_at_ms", (json_int_t)lists.since_ms, "version_in_force",
      (json_int_t)api->lists.version, "in_force_here_at_ms", (json_int_t)api->lists.since_ms,
      "usable", (int)lists.usable, "data_centres", centres);
  if (api->config.add_state)
    api->config.add_state (api->config.add_state_arg, state);
  return state;
}
