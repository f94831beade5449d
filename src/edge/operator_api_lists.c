#include <stdlib.h>
#include <string.h>

#include "operator_api_internal.h"

void
api_get_lists (struct operator_api *api, struct http_request *req, const char *subject)
{
  struct registry_lists lists = registry_lists (api->config.registry);
  (void)subject;
  json_t *body = json_pack ("{s:I, s:I, s:b, s:s, s:s}", "version", (json_int_t)lists.version,
                            "accepted_at_ms", (json_int_t)lists.since_ms, "usable",
                            (int)lists.usable, "plans", lists.plans, "customers", lists.customers);
  http_reply_json (req, MHD_HTTP_OK, body);
}

/* Returns a list given as file text or as a JSON object; the caller frees it.  */
static char *
list_text (struct json_check *c, const json_t *root, const char *key)
{
  const json_t *value = json_object_get (root, key);
  if (!value)
    {
      json_check_fault (c, "field '%s' is missing", key);
      return NULL;
    }
  if (json_is_string (value))
    return xstrdup (json_string_value (value));
  if (json_is_object (value))
    return json_dumps (value, JSON_INDENT (2));
  json_check_fault_at (c, key, "must be the text of the file or an object");
  return NULL;
}

static void
check_lists (struct api_body *b, const char *plans_text, const char *customers_text)
{
  struct json_source plans = { "plans", plans_text, plans_text ? strlen (plans_text) : 0 };
  struct json_source customers
      = { "customers", customers_text, customers_text ? strlen (customers_text) : 0 };
  plans_unref (plans_parse (&plans, &customers, &b->faults));
}

static void
render_lists (struct operator_api *api, const registry_result *result, const char *subject,
              json_t *answer)
{
  (void)api;
  (void)subject;
  if (result->status == STATUS_OK || result->status == STATUS_VERSION_CONFLICT)
    json_object_set_new (answer, "version", json_integer ((json_int_t)result->current));
}

void
api_put_lists (struct operator_api *api, struct http_request *req, const char *subject)
{
  static const char *const fields[] = { "request_id", "version", "plans", "customers", NULL };
  struct api_body b;
  int64_t version = 0;
  char *plans = NULL;
  char *customers = NULL;
  if (api_body_open (&b, req, fields) == 0)
    {
      json_check_int (&b.check, b.root, "version", 0, INT64_MAX, &version);
      plans = list_text (&b.check, b.root, "plans");
      customers = list_text (&b.check, b.root, "customers");
    }
  if (api_body_finish (&b, req, STATUS_BAD_REQUEST))
    {
      check_lists (&b, plans, customers);
      if (api_body_finish (&b, req, STATUS_INVALID_LIST))
        {
          registry_command command = { .request_id = b.request_id };
          registry_set_lists *set = &command.body.registry_body_u.lists;
          command.body.kind = REGISTRY_SET_LISTS;
          set->expected = (uint64_t)version;
          set->plans = plans;
          set->customers = customers;
          api_propose (api, req, &command, render_lists, subject);
        }
    }
  free (plans);
  free (customers);
  api_body_close (&b);
}
