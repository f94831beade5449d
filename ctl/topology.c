/* Commands data-centre, drain and members.  */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

#define PATH_BYTES 256
#define MEMBER_FILE_BYTES 65536

static bool
valid_name (struct ctl *c, const char *name, int *code)
{
  if (json_name_valid (name))
    return true;
  *code = ctl_usage_error (c, "'%s' is no name: 1 to 63 letters, digits, '.', '_' or '-'", name);
  return false;
}

static void
print_data_centre (const json_t *dc)
{
  char since[CTL_TIME_BYTES];
  char in_force[CTL_TIME_BYTES];
  printf ("%-16s %-4s version %" PRId64 " since %s", ctl_text (dc, "data_centre"),
          ctl_text (dc, "state"), ctl_int (dc, "version"),
          ctl_format_time (ctl_int (dc, "since_ms"), since));
  if (strcmp (ctl_text (dc, "state"), "out") == 0)
    printf (", in force %s (%s)", ctl_format_time (ctl_int (dc, "in_force_at_ms"), in_force),
            ctl_text (dc, "in_force_reason"));
  putchar ('\n');
}

static void
print_data_centres (const json_t *body)
{
  const json_t *list = json_object_get (body, "data_centres");
  for (size_t i = 0; i < json_array_size (list); i++)
    print_data_centre (json_array_get (list, i));
}

static bool
is_out_in_force (const json_t *body, int64_t version)
{
  return ctl_int (body, "version") == version && ctl_int (body, "in_force_at_ms") > 0;
}

/* Waits until the out command of VERSION is in force; REPLY is overwritten by later answers.  */
static int
wait_out_in_force (struct ctl *c, const char *name, struct ctl_reply *reply)
{
  char path[PATH_BYTES];
  char when[CTL_TIME_BYTES];
  struct status st;
  int64_t version = ctl_int (reply->body, "version");
  json_t *accepted = json_incref (json_object_get (reply->body, "accepted_at_ms"));
  int code = 0;
  ctl_progress (c, "accepted at %s, in force at the latest at about 3 s after that; waiting",
                ctl_format_time (json_integer_value (accepted), when));
  snprintf (path, sizeof path, "/v1/data-centres/%s", name);
  while (!is_out_in_force (reply->body, version) && ctl_time_left (c))
    {
      ctl_sleep (c, CTL_POLL_INTERVAL_MS);
      ctl_reply_close (reply);
      ctl_call (c, "GET", path, NULL, reply);
      if (ctl_int (reply->body, "version") > version)
        break;
    }
  if (is_out_in_force (reply->body, version))
    {
      json_object_set (reply->body, "accepted_at_ms", accepted);
      if (c->json)
        ctl_print_json (reply->body);
      else
        {
          printf ("accepted %s, in force", ctl_format_time (json_integer_value (accepted), when));
          printf (" %s (%s)\n", ctl_format_time (ctl_int (reply->body, "in_force_at_ms"), when),
                  ctl_text (reply->body, "in_force_reason"));
        }
    }
  else if (ctl_int (reply->body, "version") > version)
    {
      status_set (&st, STATUS_VERSION_CONFLICT,
                  "accepted, but data centre '%s' was changed again meanwhile (version %" PRId64
                  ")",
                  name, ctl_int (reply->body, "version"));
      code = ctl_fail (c, &st, NULL);
    }
  else
    {
      status_set (&st, STATUS_TIMEOUT, "accepted, but not known to be in force after %ld ms",
                  c->timeout_ms);
      code = ctl_fail (c, &st, NULL);
    }
  json_decref (accepted);
  return code;
}

static void
print_accepted (const json_t *body)
{
  char when[CTL_TIME_BYTES];
  printf ("accepted %s", ctl_format_time (ctl_int (body, "accepted_at_ms"), when));
  if (json_object_get (body, "version"))
    printf (", version %" PRId64, ctl_int (body, "version"));
  if (json_object_get (body, "node"))
    printf (", VM %s, node %" PRId64, ctl_text (body, "vm"), ctl_int (body, "node"));
  if (json_object_get (body, "note"))
    printf (" (%s)", ctl_text (body, "note"));
  putchar ('\n');
}

/* Counts the VMs that answered, and those of them that have applied the log up to INDEX.  */
static size_t
count_applied (struct ctl *c, int64_t index, size_t *reached, size_t *member_count)
{
  struct ctl_probe *probes = xcalloc (CTL_MAX_VMS, sizeof *probes);
  json_t *members;
  size_t applied = 0;
  *reached = 0;
  *member_count = ctl_query_members (c, probes, &members);
  for (size_t i = 0; i < *member_count; i++)
    {
      bool answered = status_ok (&probes[i].reply.status) && probes[i].reply.body;
      *reached += answered ? 1 : 0;
      if (answered && ctl_int (probes[i].reply.body, "registry_applied") >= index)
        applied++;
      ctl_reply_close (&probes[i].reply);
    }
  json_decref (members);
  free (probes);
  return applied;
}

/* Waits until each VM that answers has applied the change, so that a later command to any of them
   reads state that includes it.  */
static int
wait_applied (struct ctl *c, const json_t *answer)
{
  struct status st;
  int64_t index = ctl_int (answer, "registry_index");
  size_t reached = 0;
  size_t total = 0;
  size_t last = SIZE_MAX;
  do
    {
      size_t applied = count_applied (c, index, &reached, &total);
      if (applied != last)
        ctl_progress (c, "accepted; known on %zu of %zu VMs, %zu do not answer", applied, total,
                      total - reached);
      last = applied;
      if (applied == reached && reached > 0)
        return 0;
      if (ctl_time_left (c))
        ctl_sleep (c, CTL_POLL_INTERVAL_MS);
    }
  while (ctl_time_left (c));
  status_set (&st, STATUS_TIMEOUT, "accepted, but after %ld ms known on %zu of %zu VMs",
              c->timeout_ms, last, total);
  return ctl_fail (c, &st, NULL);
}

/* Sends a change and prints the answer, if c->wait after all VMs that answer have applied it.  */
static int
finish_change (struct ctl *c, const char *path, const json_t *body)
{
  struct ctl_reply reply;
  int code = 0;
  if (ctl_call (c, "POST", path, body, &reply) < 0)
    code = ctl_fail (c, &reply.status, &reply);
  else if (c->wait)
    code = wait_applied (c, reply.body);
  if (code == 0 && c->json)
    ctl_print_json (reply.body);
  else if (code == 0)
    print_accepted (reply.body);
  ctl_reply_close (&reply);
  return code;
}

static int
change_data_centre (struct ctl *c, const char *verb, const char *name)
{
  char path[PATH_BYTES];
  struct ctl_reply reply = { 0 };
  int code = 0;
  json_t *body = json_pack ("{s:s}", "request_id", c->request_id);
  if (c->version >= 0)
    json_object_set_new (body, "version", json_integer (c->version));
  snprintf (path, sizeof path, "/v1/data-centres/%s/%s", name, verb);
  if (!c->wait || strcmp (verb, "return") == 0)
    code = finish_change (c, path, body);
  else if (ctl_call (c, "POST", path, body, &reply) < 0)
    code = ctl_fail (c, &reply.status, &reply);
  else
    code = wait_out_in_force (c, name, &reply);
  json_decref (body);
  ctl_reply_close (&reply);
  return code;
}

static int
close_epoch (struct ctl *c, const char *name, const char *epoch)
{
  char path[PATH_BYTES];
  char *end;
  long long number = strtoll (epoch, &end, 10);
  if (*end || end == epoch || number < 1)
    return ctl_usage_error (c, "epoch '%s' is out of range, allowed: 1 and up", epoch);
  json_t *body = json_pack ("{s:s, s:I}", "request_id", c->request_id, "epoch", (json_int_t)number);
  snprintf (path, sizeof path, "/v1/data-centres/%s/close-epoch", name);
  int code = finish_change (c, path, body);
  json_decref (body);
  return code;
}

int
command_data_centre (struct ctl *c)
{
  int code = 0;
  const char *verb = c->arg_count > 1 ? c->args[1] : "list";
  const char *name = c->arg_count > 2 ? c->args[2] : NULL;
  if (strcmp (verb, "list") == 0 && !name)
    return ctl_call_and_print (c, "GET", "/v1/data-centres", NULL, print_data_centres);
  if (name && !valid_name (c, name, &code))
    return code;
  if (c->arg_count == 3 && (strcmp (verb, "out") == 0 || strcmp (verb, "return") == 0))
    return change_data_centre (c, verb, name);
  if (c->arg_count == 4 && strcmp (verb, "close-epoch") == 0)
    return close_epoch (c, name, c->args[3]);
  return ctl_usage_error (c, "usage: sassafrasctl data-centre [list | out NAME | return NAME | "
                             "close-epoch NAME EPOCH]");
}

int
command_drain (struct ctl *c)
{
  int code = 0;
  if (c->arg_count != 2)
    return ctl_usage_error (c, "usage: sassafrasctl drain VM [--off]");
  if (!valid_name (c, c->args[1], &code))
    return code;
  json_t *body = json_pack ("{s:s, s:s, s:b}", "request_id", c->request_id, "vm", c->args[1],
                            "draining", (int)!c->off);
  code = finish_change (c, "/v1/drain", body);
  json_decref (body);
  return code;
}

static void
print_members (const json_t *body)
{
  const json_t *list = json_object_get (body, "members");
  printf ("%5s %-20s %-16s %-22s %-22s %s\n", "NODE", "VM", "DATA CENTRE", "PEER", "OPERATORS",
          "VOTES IN");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *m = json_array_get (list, i);
      const json_t *cells = json_object_get (m, "cells");
      printf ("%5" PRId64 " %-20s %-16s %-22s %-22s", ctl_int (m, "node"), ctl_text (m, "vm"),
              ctl_text (m, "data_centre"), ctl_text (m, "peer"), ctl_text (m, "operators"));
      if (json_is_true (json_object_get (m, "registry_voter")))
        printf (" registry");
      for (size_t k = 0; k < json_array_size (cells); k++)
        printf (" %s", json_string_value (json_array_get (cells, k)));
      putchar ('\n');
    }
  list = json_object_get (body, "draining");
  for (size_t i = 0; i < json_array_size (list); i++)
    printf ("draining: %s\n", json_string_value (json_array_get (list, i)));
}

/* Prints the members as the members file that each VM is started with.  */
static void
print_members_file (const json_t *body)
{
  json_t *file = json_pack ("{s:O}", "members", json_object_get (body, "members"));
  ctl_print_json (file);
  json_decref (file);
}

/* Adds or replaces the member described in FILE.  */
static int
put_member (struct ctl *c, const char *verb, const char *file)
{
  struct buffer text;
  struct status st;
  json_error_t error;
  char path[PATH_BYTES] = "/v1/members";
  int code = 0;
  buffer_init (&text);
  if (settings_read_file (file, MEMBER_FILE_BYTES, &text, &st) < 0)
    return ctl_fail (c, &st, NULL);
  json_t *member
      = json_loadb (text.data ? text.data : "", text.len, JSON_REJECT_DUPLICATES, &error);
  const char *vm = ctl_text (member, "vm");
  if (!member)
    code = ctl_usage_error (c, "%s:%d: %s", file, error.line, error.text);
  else if (strcmp (verb, "replace") == 0 && valid_name (c, vm, &code))
    snprintf (path, sizeof path, "/v1/members/%s/replace", vm);
  if (code == 0)
    {
      json_t *body = json_pack ("{s:s, s:O}", "request_id", c->request_id, "member", member);
      code = finish_change (c, path, body);
      json_decref (body);
    }
  json_decref (member);
  buffer_close (&text);
  return code;
}

static int
remove_member (struct ctl *c, const char *vm)
{
  char path[PATH_BYTES];
  int code = 0;
  if (!valid_name (c, vm, &code))
    return code;
  json_t *body = json_pack ("{s:s}", "request_id", c->request_id);
  snprintf (path, sizeof path, "/v1/members/%s/remove", vm);
  code = finish_change (c, path, body);
  json_decref (body);
  return code;
}

int
command_members (struct ctl *c)
{
  const char *verb = c->arg_count > 1 ? c->args[1] : "list";
  if (strcmp (verb, "list") == 0 && c->arg_count <= 2)
    return ctl_call_and_print (c, "GET", "/v1/members", NULL, print_members);
  if (strcmp (verb, "file") == 0 && c->arg_count == 2)
    {
      c->json = false;
      return ctl_call_and_print (c, "GET", "/v1/members", NULL, print_members_file);
    }
  if (c->arg_count == 3 && (strcmp (verb, "add") == 0 || strcmp (verb, "replace") == 0))
    return put_member (c, verb, c->args[2]);
  if (c->arg_count == 3 && strcmp (verb, "remove") == 0)
    return remove_member (c, c->args[2]);
  return ctl_usage_error (c, "usage: sassafrasctl members [list | file | add FILE | replace FILE | "
                             "remove VM]");
}
