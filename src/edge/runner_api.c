#include "runner_api.h"

#include <string.h>

#define RENEW_INTERVAL_MS 500

static int
copy_name (json_t *body, const char *field, const char *fallback, char *out, struct status *st)
{
  const char *value = json_string_value (json_object_get (body, field));
  if (!value)
    value = fallback;
  if (!value || strlen (value) >= RUNNER_NAME_BYTES)
    return status_set (st, STATUS_BAD_REQUEST, "field '%s' is missing or over %d bytes", field,
                       PEER_NAME_BYTES);
  memcpy (out, value, strlen (value) + 1);
  return 0;
}

static int
copy_number (json_t *body, const char *field, json_int_t max, json_int_t *out, struct status *st)
{
  const json_t *value = json_object_get (body, field);
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > max)
    return status_set (st, STATUS_BAD_REQUEST, "field '%s' is not an integer from 0 to %lld", field,
                       (long long)max);
  *out = json_integer_value (value);
  return 0;
}

static int
parse_info (const struct runner_api *api, json_t *body, struct runner_info *info, struct status *st)
{
  json_int_t slots = 0;
  json_int_t connections = 0;
  json_int_t in_flight = 0;
  json_int_t incarnation = 0;
  memset (info, 0, sizeof *info);
  if (copy_name (body, "id", NULL, info->id, st) < 0
      || copy_name (body, "service", NULL, info->service, st) < 0
      || copy_name (body, "address", NULL, info->address, st) < 0
      || copy_name (body, "data_centre", api->data_centre, info->data_centre, st) < 0
      || copy_number (body, "slots", RUNNER_MAX_SLOTS, &slots, st) < 0
      || copy_number (body, "connections", RUNNER_MAX_SLOTS, &connections, st) < 0
      || copy_number (body, "in_flight", UINT32_MAX, &in_flight, st) < 0
      || copy_number (body, "incarnation", INT64_MAX, &incarnation, st) < 0)
    return -1;
  info->slots = (uint32_t)slots;
  info->connections = (uint32_t)connections;
  info->in_flight = (uint32_t)in_flight;
  info->incarnation = (uint64_t)incarnation;
  return 0;
}

static int
announce (struct runner_api *api, struct http_request *req, struct status *st)
{
  struct runner_info info;
  json_t *body = http_body_json (req, st);
  int result = body ? parse_info (api, body, &info, st) : -1;
  json_decref (body);
  if (result < 0)
    return -1;
  return runner_table_announce (api->table, &info, clock_now_ms (api->clock), st);
}

static int
depart (struct runner_api *api, struct http_request *req, struct status *st)
{
  char id[RUNNER_NAME_BYTES] = "";
  json_int_t incarnation = 0;
  json_t *body = http_body_json (req, st);
  int result = -1;
  if (body && copy_name (body, "id", NULL, id, st) == 0
      && copy_number (body, "incarnation", INT64_MAX, &incarnation, st) == 0)
    result = runner_table_depart (api->table, id, (uint64_t)incarnation, clock_now_ms (api->clock),
                                  st);
  json_decref (body);
  return result;
}

static void
answer (struct runner_api *api, struct http_request *req, int result, const struct status *st)
{
  if (result < 0)
    {
      http_reply_status (req, st);
      return;
    }
  if (api->changed)
    api->changed (api->changed_arg);
  http_reply_json (req, 200, json_pack ("{s:i}", "renew_ms", RENEW_INTERVAL_MS));
}

void
runner_api_announce (struct runner_api *api, struct http_request *req)
{
  struct status st;
  status_clear (&st);
  answer (api, req, announce (api, req, &st), &st);
}

void
runner_api_depart (struct runner_api *api, struct http_request *req)
{
  struct status st;
  status_clear (&st);
  answer (api, req, depart (api, req, &st), &st);
}
