/* Command explain: where a task would start now, and why, without sending it.  */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>

static void
print_worker (const json_t *w)
{
  printf ("%-24s %-16s %-5s %s; millicores %" PRId64 " of %" PRId64 " lasting, %" PRId64
          " short, %" PRId64 " fill; heard %" PRId64 " ms ago\n",
          ctl_text (w, "worker"), ctl_text (w, "data_centre"),
          json_is_true (json_object_get (w, "near")) ? "near" : "far", ctl_text (w, "reason"),
          ctl_int (w, "lasting_millicores"), ctl_int (w, "millicores"),
          ctl_int (w, "short_millicores"), ctl_int (w, "fill_millicores"),
          ctl_int (w, "heard_ms_ago"));
}

static void
print_place (const json_t *place)
{
  printf ("place: rack %s, run time %" PRId64 " ms there and %" PRId64 " ms elsewhere: ",
          ctl_text (place, "rack"), ctl_int (place, "near_ms"), ctl_int (place, "elsewhere_ms"));
  if (json_is_true (json_object_get (place, "would_wait")))
    printf ("waits, for %" PRId64 " ms as far as known\n", ctl_int (place, "predicted_wait_ms"));
  else
    puts ("does not wait");
}

static void
print_explanation (const json_t *body)
{
  const json_t *worker = json_object_get (body, "worker");
  json_t *passed_over = json_object_get (body, "passed_over");
  const json_t *others = json_object_get (body, "others");
  const json_t *admission = json_object_get (body, "admission");
  printf ("queue %s, pool %s, account %s, configuration %" PRId64 "\n", ctl_text (body, "queue"),
          ctl_text (body, "pool"), ctl_text (body, "account"), ctl_int (body, "version"));
  printf ("admission: %s", ctl_text (admission, "outcome"));
  if (ctl_int (admission, "retry_after_ms") > 0)
    printf (", again in %" PRId64 " ms", ctl_int (admission, "retry_after_ms"));
  printf ("\nlongest wait of a task now: %" PRId64 " ms\n", ctl_int (body, "longest_wait_ms"));
  if (json_is_true (json_object_get (body, "held_by_cap")))
    puts ("the cap of the account holds it back");
  if (!json_is_true (json_object_get (body, "image_known")))
    puts ("no task had this image yet: what it does to others is left out");
  if (json_is_object (json_object_get (body, "place")))
    print_place (json_object_get (body, "place"));
  if (json_is_object (worker))
    {
      printf ("starts on: ");
      print_worker (worker);
    }
  else
    puts ("starts on no worker now: it waits");
  printf ("%" PRId64 " workers could take it, facts up to %" PRId64 " ms old\n",
          ctl_int (body, "fitting"), ctl_int (body, "oldest_fact_ms"));
  for (void *i = json_object_iter (passed_over); i; i = json_object_iter_next (passed_over, i))
    printf ("%" JSON_INTEGER_FORMAT " passed over: %s\n",
            json_integer_value (json_object_iter_value (i)), json_object_iter_key (i));
  for (size_t i = 0; i < json_array_size (others); i++)
    print_worker (json_array_get (others, i));
}

int
command_explain (struct ctl *c)
{
  struct status st;
  json_error_t error;
  if (c->arg_count != 2)
    return ctl_usage_error (c, "explain takes one file");
  json_t *request = json_load_file (c->args[1], JSON_REJECT_DUPLICATES, &error);
  if (!request)
    {
      status_set (&st, STATUS_BAD_REQUEST, "%s: line %d: %s", c->args[1], error.line, error.text);
      return ctl_fail (c, &st, NULL);
    }
  int code = ctl_call_and_print (c, "POST", "/v1/explain", request, print_explanation);
  json_decref (request);
  return code;
}
