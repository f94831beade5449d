/* Commands check, diff and apply, for the lists of plans and customers.  */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

/* The plans file and the customers file.  */
struct lists
{
  struct buffer plans_text;
  struct buffer customers_text;
  struct plans *plans; /* NULL when the check failed */
  struct json_faults faults;
};

static void
close_lists (struct lists *l)
{
  buffer_close (&l->plans_text);
  buffer_close (&l->customers_text);
  plans_unref (l->plans);
  json_faults_close (&l->faults);
}

static struct json_source
source_of (const char *name, const struct buffer *text)
{
  struct json_source source = { name, text->data ? text->data : "", text->len };
  return source;
}

static int
report_faults (struct ctl *c, struct lists *l)
{
  struct ctl_reply reply = { 0 };
  reply.body = json_pack ("{s:o}", "faults", json_faults_json (&l->faults));
  status_set (&reply.status, STATUS_INVALID_LIST, "%zu faults",
              l->faults.count + l->faults.dropped);
  int code = ctl_fail (c, &reply.status, &reply);
  ctl_reply_close (&reply);
  return code;
}

/* Reads and checks the files named by the command; 0, or the exit code.  */
static int
open_lists (struct ctl *c, struct lists *l)
{
  struct status st;
  memset (l, 0, sizeof *l);
  if (c->arg_count != 3)
    return ctl_usage_error (c, "usage: sassafrasctl %s PLANS-FILE CUSTOMERS-FILE", c->args[0]);
  if (settings_read_file (c->args[1], PLANS_LIST_BYTES, &l->plans_text, &st) < 0
      || settings_read_file (c->args[2], PLANS_LIST_BYTES, &l->customers_text, &st) < 0)
    return ctl_fail (c, &st, NULL);
  struct json_source plans = source_of (c->args[1], &l->plans_text);
  struct json_source customers = source_of (c->args[2], &l->customers_text);
  l->plans = plans_parse (&plans, &customers, &l->faults);
  return l->plans ? 0 : report_faults (c, l);
}

int
command_check (struct ctl *c)
{
  struct lists l;
  int code = open_lists (c, &l);
  if (code == 0 && c->json)
    printf ("{\"valid\": true, \"plans\": %zu, \"customers\": %zu}\n", plans_count (l.plans),
            plans_customer_count (l.plans));
  else if (code == 0)
    printf ("valid: %zu plans, %zu customers\n", plans_count (l.plans),
            plans_customer_count (l.plans));
  close_lists (&l);
  return code;
}

static const char *const change_names[] = {
  [PLANS_PLAN_ADDED] = "plan added",
  [PLANS_PLAN_REMOVED] = "plan removed",
  [PLANS_PLAN_CHANGED] = "plan changed",
  [PLANS_CUSTOMER_ADDED] = "customer added",
  [PLANS_CUSTOMER_REMOVED] = "customer removed",
  [PLANS_CUSTOMER_CHANGED] = "customer changed",
  [PLANS_SHAPE_ADDED] = "worker shape added",
  [PLANS_SHAPE_REMOVED] = "worker shape removed",
  [PLANS_SHAPE_CHANGED] = "worker shape changed",
};

static void
add_change (void *arg, const struct plans_change *change)
{
  json_t *item = json_pack ("{s:s, s:s}", "change", change_names[change->kind], "id", change->id);
  if (change->field)
    json_object_set_new (item, "field", json_string (change->field));
  if (change->before)
    json_object_set_new (item, "before", json_string (change->before));
  if (change->after)
    json_object_set_new (item, "after", json_string (change->after));
  json_array_append_new (arg, item);
}

static void
print_changes (const json_t *changes)
{
  for (size_t i = 0; i < json_array_size (changes); i++)
    {
      const json_t *item = json_array_get (changes, i);
      printf ("%s: %s", ctl_text (item, "change"), ctl_text (item, "id"));
      if (json_object_get (item, "field"))
        printf (" %s: %s -> %s", ctl_text (item, "field"), ctl_text (item, "before"),
                ctl_text (item, "after"));
      putchar ('\n');
    }
  if (json_array_size (changes) == 0)
    puts ("no difference");
}

/* Parses the accepted lists; empty when no version has been accepted yet.  */
static struct plans *
parse_accepted (const json_t *body)
{
  struct json_faults faults = { 0 };
  struct json_source plans = { "accepted plans", ctl_text (body, "plans"), 0 };
  struct json_source customers = { "accepted customers", ctl_text (body, "customers"), 0 };
  if (ctl_int (body, "version") == 0)
    return plans_empty ();
  plans.len = strlen (plans.text);
  customers.len = strlen (customers.text);
  struct plans *accepted = plans_parse (&plans, &customers, &faults);
  json_faults_close (&faults);
  return accepted;
}

int
command_diff (struct ctl *c)
{
  struct lists l;
  struct ctl_reply reply = { 0 };
  int code = open_lists (c, &l);
  if (code == 0 && ctl_call (c, "GET", "/v1/lists", NULL, &reply) < 0)
    code = ctl_fail (c, &reply.status, &reply);
  else if (code == 0)
    {
      struct plans *accepted = parse_accepted (reply.body);
      json_t *changes = json_array ();
      if (accepted)
        plans_diff (accepted, l.plans, add_change, changes);
      json_t *out = json_pack ("{s:I, s:O}", "version", (json_int_t)ctl_int (reply.body, "version"),
                               "changes", changes);
      if (!accepted)
        code = ctl_usage_error (c, "this program cannot read the accepted lists; is it too old?");
      else if (c->json)
        ctl_print_json (out);
      else
        {
          printf ("against version %" PRId64 "\n", ctl_int (reply.body, "version"));
          print_changes (changes);
        }
      json_decref (out);
      json_decref (changes);
      plans_unref (accepted);
    }
  ctl_reply_close (&reply);
  close_lists (&l);
  return code;
}

/* Counts the VMs on which VERSION is in force; LAGGING names some of the others.  */
static size_t
count_in_force (struct ctl *c, int64_t version, size_t *total, char *lagging, size_t size)
{
  struct ctl_probe *probes = xcalloc (CTL_MAX_VMS, sizeof *probes);
  json_t *members = NULL;
  size_t in_force = 0;
  *total = ctl_query_members (c, probes, &members);
  lagging[0] = '\0';
  for (size_t i = 0; i < *total; i++)
    {
      const json_t *lists = json_object_get (probes[i].reply.body, "lists");
      const char *vm = ctl_text (json_array_get (members, i), "vm");
      size_t used = strlen (lagging);
      if (ctl_int (lists, "version_in_force") >= version)
        in_force++;
      else if (used + strlen (vm) + 2 < size)
        snprintf (lagging + used, size - used, " %s", vm);
      ctl_reply_close (&probes[i].reply);
    }
  json_decref (members);
  free (probes);
  return in_force;
}

/* Waits until every member VM has VERSION in force.  */
static bool
wait_in_force (struct ctl *c, int64_t version, size_t *in_force, size_t *total, struct status *st)
{
  char lagging[128];
  size_t last = SIZE_MAX;
  do
    {
      *in_force = count_in_force (c, version, total, lagging, sizeof lagging);
      if (*in_force != last)
        ctl_progress (c, "version %" PRId64 " in force on %zu of %zu VMs%s%s", version, *in_force,
                      *total, lagging[0] ? ", not yet on" : "", lagging);
      last = *in_force;
      if (*in_force == *total && *total > 0)
        return true;
      if (ctl_time_left (c))
        ctl_sleep (c, CTL_POLL_INTERVAL_MS);
    }
  while (ctl_time_left (c));
  status_set (st, STATUS_TIMEOUT,
              "version %" PRId64
              " is accepted, but after %ld ms in force on %zu of %zu VMs; not on%s",
              version, c->timeout_ms, *in_force, *total, lagging);
  return false;
}

static int
finish_apply (struct ctl *c, struct ctl_reply *reply)
{
  char when[CTL_TIME_BYTES];
  struct status st;
  size_t in_force = 0;
  size_t total = 0;
  int64_t version = ctl_int (reply->body, "version");
  ctl_progress (c, "accepted as version %" PRId64 " at %s", version,
                ctl_format_time (ctl_int (reply->body, "accepted_at_ms"), when));
  if (c->wait && !wait_in_force (c, version, &in_force, &total, &st))
    return ctl_fail (c, &st, reply);
  if (c->json)
    {
      if (c->wait)
        json_object_set_new (reply->body, "in_force_on", json_integer ((json_int_t)in_force));
      ctl_print_json (reply->body);
    }
  else
    printf ("version %" PRId64 " %s\n", version,
            c->wait ? "is in force on every VM" : "is accepted");
  return 0;
}

int
command_apply (struct ctl *c)
{
  struct lists l;
  struct ctl_reply reply = { 0 };
  int code = open_lists (c, &l);
  if (code == 0 && c->version < 0)
    code = ctl_usage_error (c, "apply needs --if-version N, the version this edit was made from; "
                               "'sassafrasctl diff' prints the current one");
  if (code == 0)
    {
      json_t *body = json_pack ("{s:s, s:I, s:s, s:s}", "request_id", c->request_id, "version",
                                (json_int_t)c->version, "plans", l.plans_text.data, "customers",
                                l.customers_text.data);
      if (ctl_call (c, "PUT", "/v1/lists", body, &reply) < 0)
        code = ctl_fail (c, &reply.status, &reply);
      else
        code = finish_apply (c, &reply);
      json_decref (body);
    }
  ctl_reply_close (&reply);
  close_lists (&l);
  return code;
}
