/* The operator removes a route for a few seconds and adds it again unchanged.  A job of that queue
   whose tasks end `failed` once meanwhile is shown as `failed`, although max_attempts is 4 (rule
   LOST).  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define ROUTE(name, prefix)                                                                        \
  "{\"name\":\"" name "\",\"host\":\"works.example\",\"path_prefix\":\"" prefix                    \
  "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,"   \
  "\"service\":\"pool\",\"max_attempts\":4,\"stretch\":1.5}"
#define REST "],\"services\":[{\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{}}"
#define BOTH "\"routes\":[" ROUTE ("r-1", "/q/") "," ROUTE ("r-2", "/other/") REST
#define ONE "\"routes\":[" ROUTE ("r-2", "/other/") REST
#define JOB "/q/00000000000030aa"

static int
count_ends (const char *how)
{
  const struct event *e;
  size_t n = copy_events (&e);
  int count = 0;
  for (size_t i = 0; i < n; i++)
    count += !e[i].is_start && strcmp (e[i].how, how) == 0;
  return count;
}

int
main (void)
{
  char answer[4096] = "";
  rig_open ();
  put_config_until_accepted ("{\"version\":1," BOTH);
  for (int i = 0; i < 6; i++)
    runner_open (i, 1 + i % 3);
  sleep_until (10000);
  /* Each task fails in its first run, after 5 s, and is done in the second one.  */
  if (client ("POST", JOB,
              "{\"spec\":\"ms=5000 cpu=1000 failing-runs=1\",\"steps\":[{\"count\":3,\"cpu\":1000,"
              "\"mem_mb\":100,\"estimate_ms\":5000}]}",
              0, NULL, 0)
      != 200)
    finish (2, "the job was not accepted");
  sleep_until (11000);
  if (trouble && order ("PUT", "/sassafrasstall/config", "{\"version\":4," ONE, 1) != 200)
    finish (2, "version 4 was not acknowledged");
  sleep_until (20000);
  if (trouble && order ("PUT", "/sassafrasstall/config", "{\"version\":9," BOTH, 2) != 200)
    finish (2, "version 9 was not acknowledged");
  /* Judged once version 9 has to be in force.  */
  sleep_until (20000 + CONFIG_APPLY_MS + 1000);
  for (int i = 0; i < 15; i++)
    {
      int code = client ("GET", JOB, "", i % FRONTS, answer, sizeof answer);
      record ("state of the job: %d %s", code, answer);
      if (code == 200 && (strstr (answer, "completed") || strstr (answer, "failed")))
        break;
      sleep_until (now_ms () + 2000);
    }
  record ("ends failed: %d (3 tasks, 4 attempts each), done: %d", count_ends ("failed"),
          count_ends ("done"));
  if (strstr (answer, "failed") && count_ends ("failed") < 4)
    finish (1, "LOST broken: the job is shown as failed, each task has ended failed once at most");
  if (!strstr (answer, "completed"))
    finish (1, "LOST broken: the job is not completed");
  finish (0, "LOST held");
}
