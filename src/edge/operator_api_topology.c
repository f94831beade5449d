/* Endpoints for data centres and members.  */
#include <stdlib.h>
#include <string.h>

#include "members.h"
#include "operator_api_internal.h"

static const char *
in_force_reason_name (registry_in_force_reason reason)
{
  if (reason == REGISTRY_ACKNOWLEDGED)
    return "acknowledged";
  return reason == REGISTRY_PERMIT_EXPIRED ? "permit-expired" : NULL;
}

static int64_t
local_since_ms (const struct operator_api *api, const registry_data_centre *dc)
{
  for (size_t i = 0; i < api->data_centre_count; i++)
    if (strcmp (api->data_centres[i].name, dc->name) == 0)
      return api->data_centres[i].since_ms;
  return 0;
}

json_t *
api_data_centre_json (const struct operator_api *api, const registry_data_centre *dc)
{
  const char *reason = in_force_reason_name (dc->in_force);
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I}", "data_centre", dc->name, "region", dc->region,
      "state", dc->out ? "out" : "in", "version", (json_int_t)dc->state_version, "since_ms",
      (json_int_t)dc->since_ms, "epoch", (json_int_t)dc->epoch, "epoch_since_ms",
      (json_int_t)dc->epoch_since_ms, "here_since_ms", (json_int_t)local_since_ms (api, dc));
  if (!dc->out)
    return body;
  json_object_set_new (body, "in_force_at_ms",
                       reason ? json_integer (dc->in_force_ms) : json_null ());
  json_object_set_new (body, "in_force_reason", reason ? json_string (reason) : json_null ());
  return body;
}

void
api_get_data_centres (struct operator_api *api, struct http_request *req, const char *subject)
{
  const registry_data_centre *list;
  size_t count = registry_data_centres (api->config.registry, &list);
  json_t *centres = json_array ();
  (void)subject;
  for (size_t i = 0; i < count; i++)
    json_array_append_new (centres, api_data_centre_json (api, &list[i]));
  http_reply_json (req, MHD_HTTP_OK, json_pack ("{s:o}", "data_centres", centres));
}

void
api_get_data_centre (struct operator_api *api, struct http_request *req, const char *subject)
{
  const registry_data_centre *dc = registry_find_data_centre (api->config.registry, subject);
  if (dc)
    http_reply_json (req, MHD_HTTP_OK, api_data_centre_json (api, dc));
  else
    http_reply_error (req, STATUS_NOT_FOUND, "no such data centre");
}

static void
render_return (struct operator_api *api, const registry_result *result, const char *subject,
               json_t *answer)
{
  (void)api;
  json_object_set_new (answer, "data_centre", json_string (subject));
  if (result->status != STATUS_OK && result->status != STATUS_VERSION_CONFLICT)
    return;
  json_object_set_new (answer, "version", json_integer ((json_int_t)result->current));
  json_object_set_new (answer, "epoch", json_integer ((json_int_t)result->epoch));
  if (result->status == STATUS_OK)
    json_object_set_new (answer, "state", json_string ("in"));
}

/* Adds in_force_at_ms, null until known, and in_force_by_ms, PERMIT_LIFE_MS (3 s) after acceptance,
   if the registry keeps its leader.  This VM may not have applied the command yet.  */
static void
render_out (struct operator_api *api, const registry_result *result, const char *subject,
            json_t *answer)
{
  const registry_data_centre *dc = registry_find_data_centre (api->config.registry, subject);
  const char *reason = NULL;
  render_return (api, result, subject, answer);
  if (result->status != STATUS_OK)
    return;
  if (dc && dc->out && dc->state_version == result->current)
    reason = in_force_reason_name (dc->in_force);
  json_object_set_new (answer, "state", json_string ("out"));
  json_object_set_new (answer, "in_force_at_ms",
                       reason ? json_integer (dc->in_force_ms) : json_null ());
  json_object_set_new (answer, "in_force_reason", reason ? json_string (reason) : json_null ());
  json_object_set_new (answer, "in_force_by_ms",
                       json_integer (result->accepted_ms + PERMIT_LIFE_MS));
}

static void
change_data_centre (struct operator_api *api, struct http_request *req, const char *subject,
                    bool out)
{
  static const char *const fields[] = { "request_id", "version", NULL };
  struct api_body b;
  int64_t version = 0;
  bool compare = false;
  if (api_body_open (&b, req, fields) == 0 && json_object_get (b.root, "version"))
    compare = json_check_int (&b.check, b.root, "version", 1, INT64_MAX, &version);
  if (api_body_finish (&b, req, STATUS_BAD_REQUEST))
    {
      registry_command command = { .request_id = b.request_id };
      registry_data_centre_change *c = &command.body.registry_body_u.data_centre;
      command.body.kind = REGISTRY_DATA_CENTRE;
      c->data_centre = (char *)subject;
      c->out = out;
      c->compare = compare;
      c->expected = (uint64_t)version;
      api_propose (api, req, &command, out ? render_out : render_return, subject);
    }
  api_body_close (&b);
}

void
api_data_centre_out (struct operator_api *api, struct http_request *req, const char *subject)
{
  change_data_centre (api, req, subject, true);
}

void
api_data_centre_return (struct operator_api *api, struct http_request *req, const char *subject)
{
  change_data_centre (api, req, subject, false);
}

static void
render_epoch (struct operator_api *api, const registry_result *result, const char *subject,
              json_t *answer)
{
  (void)api;
  json_object_set_new (answer, "data_centre", json_string (subject));
  if (result->status == STATUS_OK || result->status == STATUS_STALE_EPOCH)
    json_object_set_new (answer, "epoch", json_integer ((json_int_t)result->epoch));
}

void
api_close_epoch (struct operator_api *api, struct http_request *req, const char *subject)
{
  static const char *const fields[] = { "request_id", "epoch", NULL };
  struct api_body b;
  int64_t epoch = 0;
  if (api_body_open (&b, req, fields) == 0)
    json_check_int (&b.check, b.root, "epoch", 1, INT64_MAX, &epoch);
  if (api_body_finish (&b, req, STATUS_BAD_REQUEST))
    {
      registry_command command = { .request_id = b.request_id };
      command.body.kind = REGISTRY_CLOSE_EPOCH;
      command.body.registry_body_u.close_epoch.data_centre = (char *)subject;
      command.body.registry_body_u.close_epoch.epoch = (uint64_t)epoch;
      api_propose (api, req, &command, render_epoch, subject);
    }
  api_body_close (&b);
}

void
api_get_members (struct operator_api *api, struct http_request *req, const char *subject)
{
  const registry_member *list;
  size_t count = registry_members (api->config.registry, &list);
  json_t *members = json_array ();
  json_t *draining = json_array ();
  (void)subject;
  for (size_t i = 0; i < count; i++)
    {
      json_array_append_new (members, member_json (&list[i]));
      if (list[i].draining)
        json_array_append_new (draining, json_string (list[i].vm));
    }
  http_reply_json (req, MHD_HTTP_OK,
                   json_pack ("{s:o, s:o}", "members", members, "draining", draining));
}

static void
render_member (struct operator_api *api, const registry_result *result, const char *subject,
               json_t *answer)
{
  (void)api;
  json_object_set_new (answer, "vm", json_string (subject));
  if (result->status == STATUS_OK)
    json_object_set_new (answer, "node", json_integer ((json_int_t)result->node));
}

/* Reads the member from the body; the paths of its faults are relative to the member.  */
static bool
read_member (struct api_body *b, registry_member *out)
{
  const json_t *value = json_object_get (b->root, "member");
  memset (out, 0, sizeof *out);
  if (!value)
    json_check_fault (&b->check, "field 'member' is missing");
  return value && member_from_json (value, out, &b->faults) == 0;
}

/* Adds a member, or replaces SUBJECT.  */
static void
put_member (struct operator_api *api, struct http_request *req, const char *subject)
{
  static const char *const fields[] = { "request_id", "member", NULL };
  bool replace = subject[0] != '\0';
  struct api_body b;
  registry_member member = { 0 };
  if (api_body_open (&b, req, fields) == 0 && read_member (&b, &member) && replace
      && strcmp (member.vm, subject) != 0)
    json_check_fault_at (&b.check, "member", "is VM '%s', the path names '%s'", member.vm, subject);
  if (api_body_finish (&b, req, STATUS_BAD_REQUEST))
    {
      registry_command command = { .request_id = b.request_id };
      command.body.kind = replace ? REGISTRY_MEMBER_REPLACE : REGISTRY_MEMBER_ADD;
      if (replace)
        command.body.registry_body_u.replace = member;
      else
        command.body.registry_body_u.add = member;
      api_propose (api, req, &command, render_member, member.vm);
    }
  member_free (&member);
  api_body_close (&b);
}

void
api_add_member (struct operator_api *api, struct http_request *req, const char *subject)
{
  put_member (api, req, subject);
}

void
api_replace_member (struct operator_api *api, struct http_request *req, const char *subject)
{
  put_member (api, req, subject);
}

void
api_remove_member (struct operator_api *api, struct http_request *req, const char *subject)
{
  static const char *const fields[] = { "request_id", NULL };
  struct api_body b;
  api_body_open (&b, req, fields);
  if (api_body_finish (&b, req, STATUS_BAD_REQUEST))
    {
      registry_command command = { .request_id = b.request_id };
      command.body.kind = REGISTRY_MEMBER_REMOVE;
      command.body.registry_body_u.remove = (char *)subject;
      api_propose (api, req, &command, render_member, subject);
    }
  api_body_close (&b);
}

static void
render_drain (struct operator_api *api, const registry_result *result, const char *subject,
              json_t *answer)
{
  const registry_member *m = registry_find_member (api->config.registry, subject);
  render_member (api, result, subject, answer);
  if (m)
    json_object_set_new (answer, "draining", json_boolean (m->draining));
}

void
api_drain (struct operator_api *api, struct http_request *req, const char *subject)
{
  static const char *const fields[] = { "request_id", "vm", "draining", NULL };
  struct api_body b;
  char vm[REGISTRY_NAME_BYTES] = "";
  bool draining = true;
  (void)subject;
  if (api_body_open (&b, req, fields) == 0)
    {
      json_check_name (&b.check, b.root, "vm", vm, sizeof vm);
      json_check_bool (&b.check, b.root, "draining", true, &draining);
    }
  if (api_body_finish (&b, req, STATUS_BAD_REQUEST))
    {
      registry_command command = { .request_id = b.request_id };
      command.body.kind = REGISTRY_MEMBER_DRAIN;
      command.body.registry_body_u.drain.vm = vm;
      command.body.registry_body_u.drain.draining = draining;
      api_propose (api, req, &command, render_drain, vm);
    }
  api_body_close (&b);
}
