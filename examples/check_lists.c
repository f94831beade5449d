/* Validates two lists and prints every error: example_check_lists PLANS CUSTOMERS  */
#include <stdio.h>

#include "sassafras.h"

int
main (int argc, char **argv)
{
  struct buffer plans, customers, text;
  struct json_faults errors = { 0 };
  struct status st;
  if (argc != 3 || settings_read_file (argv[1], PLANS_LIST_BYTES, &plans, &st) < 0
      || settings_read_file (argv[2], PLANS_LIST_BYTES, &customers, &st) < 0)
    {
      fprintf (stderr, "usage: check_lists PLANS CUSTOMERS\n");
      return 2;
    }
  const struct json_source a = { argv[1], plans.data, plans.len };
  const struct json_source b = { argv[2], customers.data, customers.len };
  struct plans *p = plans_parse (&a, &b, &errors);
  buffer_init (&text);
  json_faults_write (&errors, &text);
  printf ("%s%zu plans, %zu customers\n", text.data ? text.data : "", p ? plans_count (p) : 0,
          p ? plans_customer_count (p) : 0);
  plans_unref (p);
  json_faults_close (&errors);
  buffer_close (&text);
  return p ? 0 : 1;
}
