/* Command accounts: the client accounts of a workflow group, as its leader sees them.  */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>

/* "used/cap"; without a cap "used/-".  */
static void
print_used (const json_t *row, const char *resource)
{
  char text[48];
  int64_t cap = ctl_int (json_object_get (row, "cap"), resource);
  int64_t used = ctl_int (json_object_get (row, "running"), resource);
  if (cap > 0)
    snprintf (text, sizeof text, "%" PRId64 "/%" PRId64, used, cap);
  else
    snprintf (text, sizeof text, "%" PRId64 "/-", used);
  printf (" %-21s", text);
}

static void
print_keys (const json_t *keys)
{
  for (size_t i = 0; i < json_array_size (keys); i++)
    printf ("%s%s", i > 0 ? "," : " ", json_string_value (json_array_get (keys, i)));
  puts (json_array_size (keys) > 0 ? "" : " -");
}

static void
print_accounts (const json_t *body)
{
  const json_t *list = json_object_get (body, "accounts");
  if (!json_is_true (json_object_get (body, "in_force")))
    puts ("no client accounts are in force: every call is served");
  printf ("%-20s %10s %-21s %-21s %-21s %6s %7s %5s %8s %-15s %s\n", "ACCOUNT", "WEIGHT",
          "MILLICORES", "MEMORY_MB", "ACCELERATORS", "RUNS", "WAITING", "HELD", "SERVED",
          "REFUSED CAP/WT", "KEYS");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      char refused[32];
      const json_t *row = json_array_get (list, i);
      printf ("%-20s %10g", ctl_text (row, "account"),
              json_number_value (json_object_get (row, "weight")));
      print_used (row, "millicores");
      print_used (row, "memory_mb");
      print_used (row, "accelerators");
      snprintf (refused, sizeof refused, "%" PRId64 "/%" PRId64, ctl_int (row, "refused_by_cap"),
                ctl_int (row, "refused_by_weight"));
      printf (" %6" PRId64 " %7" PRId64 " %5" PRId64 " %8.2f %-15s", ctl_int (row, "runs"),
              ctl_int (row, "waiting"), ctl_int (row, "held_by_cap"),
              json_number_value (json_object_get (row, "served")), refused);
      print_keys (json_object_get (row, "keys"));
    }
}

int
command_accounts (struct ctl *c)
{
  if (c->arg_count != 1)
    return ctl_usage_error (c, "accounts takes no arguments");
  return ctl_call_and_print (c, "GET", "/v1/accounts", NULL, print_accounts);
}
