/* CPU time of what client accounts add to a call and to the leader, without network and log.

   Usage: bench_account_calls

   A call is the lookup of its key.  An update is what the leader does five times a second for all
   accounts; a configuration is checked and put in force as a whole.  The lowest of REPEATS is
   reported: other load only adds time.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "accounts.h"
#include "buffer.h"

#define CALLS 1000000
#define REPEATS 3
#define US_PER_S 1e6
#define NS_PER_S 1e9

static double
cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / NS_PER_S;
}

static void
make_definition (workflow_accounts *d, u_int count)
{
  char text[64];
  memset (d, 0, sizeof *d);
  d->list.list_val = xcalloc (count, sizeof (workflow_account));
  d->list.list_len = count;
  for (u_int i = 0; i < count; i++)
    {
      workflow_account *a = &d->list.list_val[i];
      snprintf (text, sizeof text, "account-%u", i);
      a->name = xstrdup (text);
      a->weight_milli = 1000;
      a->keys.keys_val = xcalloc (1, sizeof (workflow_name));
      a->keys.keys_len = 1;
      snprintf (text, sizeof text, "key-%u-of-twenty-bytes", i);
      a->keys.keys_val[0] = xstrdup (text);
    }
}

static double
time_calls (const struct accounts *a, u_int count, const char *format)
{
  char (*keys)[64] = xcalloc (1024, sizeof *keys);
  struct account *found;
  unsigned known = 0;
  for (u_int i = 0; i < 1024; i++)
    snprintf (keys[i], sizeof keys[i], format, (unsigned)(i * 2654435761u) % count);
  double began_s = cpu_s ();
  for (u_int i = 0; i < CALLS; i++)
    known += accounts_identify (a, keys[i % 1024], "queue", &found) == ACCOUNT_ACCESS_KNOWN;
  double ns = (cpu_s () - began_s) / CALLS * NS_PER_S;
  free (keys);
  return known <= CALLS ? ns : 0;
}

static double
time_updates (struct accounts *a)
{
  struct account *account;
  double began_s = cpu_s ();
  for (int64_t now_ms = 200; now_ms <= 20000; now_ms += 200)
    {
      double served = 0;
      LIST_FOREACH (account, &a->list, link)
      {
        account_share_add_service (&account->share, now_ms, 0.001);
        served += account->share.served;
      }
      LIST_FOREACH (account, &a->list, link)
      account->level = account_share_level (&account->share, account->weight_milli, served);
    }
  return (cpu_s () - began_s) / 100 * US_PER_S;
}

static double
least (double a, double b)
{
  return a < b ? a : b;
}

int
main (void)
{
  static const u_int counts[] = { 20, 110, 1000, 10000 };
  printf ("%8s %14s %16s %12s %18s\n", "accounts", "call, ns", "unknown key, ns", "update, us",
          "configuration, ms");
  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      double known = INFINITY;
      double unknown = INFINITY;
      double update = INFINITY;
      double configure = INFINITY;
      for (int k = 0; k < REPEATS; k++)
        {
          struct accounts a;
          struct status st;
          workflow_accounts d;
          accounts_init (&a, 7);
          make_definition (&d, counts[i]);
          double began_s = cpu_s ();
          if (accounts_check (&d, &st) < 0)
            return 1;
          accounts_configure (&a, &d);
          configure = least (configure, (cpu_s () - began_s) * 1e3);
          known = least (known, time_calls (&a, counts[i], "key-%u-of-twenty-bytes"));
          unknown = least (unknown, time_calls (&a, counts[i], "no-key-%u-of-twenty-b"));
          update = least (update, time_updates (&a));
          accounts_close (&a);
        }
      printf ("%8u %14.0f %16.0f %12.1f %18.2f\n", counts[i], known, unknown, update, configure);
    }
  return 0;
}
