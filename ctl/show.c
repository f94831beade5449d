/* Commands show, state and counters: what is in force on which VM.  */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROBE_TIMEOUT_MS 2000

size_t
ctl_query_members (struct ctl *c, struct ctl_probe *probes, json_t **members)
{
  struct ctl_reply reply;
  size_t count = 0;
  *members = json_array ();
  if (ctl_call (c, "GET", "/v1/members", NULL, &reply) == 0)
    {
      json_decref (*members);
      *members = json_incref (json_object_get (reply.body, "members"));
      count = json_array_size (*members);
    }
  if (count > CTL_MAX_VMS)
    count = CTL_MAX_VMS;
  for (size_t i = 0; i < count; i++)
    snprintf (probes[i].url, sizeof probes[i].url, "http://%s/v1/state",
              ctl_text (json_array_get (*members, i), "operators"));
  ctl_reply_close (&reply);
  ctl_get_all (c, probes, count, PROBE_TIMEOUT_MS);
  return count;
}

/* The lists version in force on one VM, since when, and its lag behind the NEWEST version.  */
static json_t *
vm_row (const json_t *member, const struct ctl_probe *probe, int64_t newest)
{
  const json_t *lists = json_object_get (probe->reply.body, "lists");
  bool reached = status_ok (&probe->reply.status) && lists;
  int64_t version = ctl_int (lists, "version_in_force");
  json_t *row = json_pack ("{s:s, s:s, s:b}", "vm", ctl_text (member, "vm"), "data_centre",
                           ctl_text (member, "data_centre"), "reached", (int)reached);
  if (!reached)
    {
      json_object_set_new (row, "message", json_string (probe->reply.status.message));
      return row;
    }
  json_object_set_new (row, "lists_version", json_integer (version));
  json_object_set_new (row, "since_ms", json_integer (ctl_int (lists, "in_force_here_at_ms")));
  json_object_set_new (row, "behind", json_integer (newest - version));
  json_object_set_new (row, "registry_applied",
                       json_integer (ctl_int (probe->reply.body, "registry_applied")));
  json_object_set (row, "data_centres", json_object_get (probe->reply.body, "data_centres"));
  return row;
}

static void
print_out_centres (const json_t *row)
{
  const json_t *list = json_object_get (row, "data_centres");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *dc = json_array_get (list, i);
      if (strcmp (ctl_text (dc, "state"), "out") == 0)
        printf (" %s out", ctl_text (dc, "data_centre"));
    }
}

static void
print_rows (const json_t *rows)
{
  printf ("%-20s %-16s %8s %-25s %s\n", "VM", "DATA CENTRE", "LISTS", "IN FORCE SINCE", "STATE");
  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      const json_t *row = json_array_get (rows, i);
      char when[CTL_TIME_BYTES];
      int64_t behind = ctl_int (row, "behind");
      bool reached = json_is_true (json_object_get (row, "reached"));
      printf ("%-20s %-16s ", ctl_text (row, "vm"), ctl_text (row, "data_centre"));
      if (!reached)
        {
          printf ("%8s %-25s unreachable: %s\n", "?", "-", ctl_text (row, "message"));
          continue;
        }
      printf ("%8" PRId64 " %-25s", ctl_int (row, "lists_version"),
              ctl_format_time (ctl_int (row, "since_ms"), when));
      if (behind > 0)
        printf (" lags by %" PRId64, behind);
      print_out_centres (row);
      putchar ('\n');
    }
}

static int
show_vms (struct ctl *c)
{
  struct ctl_probe *probes = xcalloc (CTL_MAX_VMS, sizeof *probes);
  json_t *members;
  json_t *rows = json_array ();
  size_t count = ctl_query_members (c, probes, &members);
  int64_t newest = 0;
  struct status st;
  for (size_t i = 0; i < count; i++)
    {
      int64_t version
          = ctl_int (json_object_get (probes[i].reply.body, "lists"), "version_in_force");
      newest = version > newest ? version : newest;
    }
  for (size_t i = 0; i < count; i++)
    {
      json_array_append_new (rows, vm_row (json_array_get (members, i), &probes[i], newest));
      ctl_reply_close (&probes[i].reply);
    }
  if (c->json)
    ctl_print_json (rows);
  else if (count > 0)
    print_rows (rows);
  json_decref (rows);
  json_decref (members);
  free (probes);
  if (count > 0)
    return 0;
  status_set (&st, STATUS_TIMEOUT, "no server answered, or the registry has no members yet");
  return c->json ? status_answer (st.kind)->exit_code : ctl_fail (c, &st, NULL);
}

/* Prints one accepted list as it was applied, for version control.  */
static int
show_list (struct ctl *c, const char *which)
{
  struct ctl_reply reply;
  int code = 0;
  if (ctl_call (c, "GET", "/v1/lists", NULL, &reply) < 0)
    code = ctl_fail (c, &reply.status, &reply);
  else if (c->json)
    ctl_print_json (reply.body);
  else
    fputs (ctl_text (reply.body, which), stdout);
  ctl_reply_close (&reply);
  return code;
}

int
command_show (struct ctl *c)
{
  const char *what = c->arg_count > 1 ? c->args[1] : "vms";
  if (strcmp (what, "vms") == 0)
    return show_vms (c);
  if (strcmp (what, "plans") == 0 || strcmp (what, "customers") == 0)
    return show_list (c, what);
  return ctl_usage_error (c, "usage: sassafrasctl show [vms|plans|customers]");
}

int
command_state (struct ctl *c)
{
  return ctl_call_and_print (c, "GET", "/v1/state", NULL, NULL);
}

int
command_counters (struct ctl *c)
{
  struct ctl_reply reply;
  int code = 0;
  if (ctl_call (c, "GET", "/metrics", NULL, &reply) < 0)
    code = ctl_fail (c, &reply.status, &reply);
  else
    fputs (reply.text.data ? reply.text.data : "", stdout);
  ctl_reply_close (&reply);
  return code;
}
