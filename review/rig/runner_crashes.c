/* Runners crash one after the other; accepted jobs none of whose runs ended `failed` are shown as
   `failed` (rule LOST).  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define RUNNERS 8
#define JOBS 4
#define CRASH_PERIOD_MS 3000
#define DOWN_MS 2000
#define CRASHES_BEGIN_MS 14000
#define CRASHES_END_MS 86000

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"works.example\",\"path_prefix\":"
      "\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":3000,"
      "\"priority\":0,\"service\":\"pool\",\"max_attempts\":3,\"stretch\":2.2}],\"services\":[{"
      "\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{}}";

static int
failed_ends_of (const char *id)
{
  const struct event *e;
  size_t n = copy_events (&e);
  int count = 0;
  for (size_t i = 0; i < n; i++)
    if (!e[i].is_start && strncmp (e[i].task, id, 16) == 0 && strcmp (e[i].how, "failed") == 0)
      count++;
  return count;
}

static int
lost_runs_of (const char *id)
{
  const struct event *e;
  size_t n = copy_events (&e);
  int count = 0;
  for (size_t i = 0; i < n; i++)
    if (!e[i].is_start && strncmp (e[i].task, id, 16) == 0 && strstr (e[i].how, "lost"))
      count++;
  return count;
}

int
main (void)
{
  char path[64], id[20], answer[4096];
  unsigned random = 12345;
  int broken = 0;
  int last = -1;
  rig_open ();
  put_config_until_accepted (config);
  for (int i = 0; i < RUNNERS; i++)
    runner_open (i, 1 + i % 3);
  sleep_until (8000);
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (path, sizeof path, "/q/%016x", 0x2000 + i);
      if (client ("POST", path,
                  "{\"spec\":\"ms=0 cpu=2000\",\"steps\":[{\"count\":6,\"cpu\":2000,\"mem_mb\":100,"
                  "\"estimate_ms\":500,\"perpetual\":true}]}",
                  i % FRONTS, NULL, 0)
          != 200)
        finish (2, "a job was not accepted");
    }
  for (int64_t at_ms = CRASHES_BEGIN_MS; at_ms < CRASHES_END_MS; at_ms += CRASH_PERIOD_MS)
    {
      sleep_until (at_ms);
      if (!trouble)
        continue;
      int next;
      do
        {
          random = random * 1103515245 + 12345;
          next = (int)(random >> 16) % RUNNERS;
        }
      while (next == last);
      last = next;
      runner_crash (next);
      sleep_until (at_ms + DOWN_MS);
      runner_restart (next);
    }
  sleep_until (CRASHES_END_MS + 6000);
  for (int i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "%016x", 0x2000 + i);
      snprintf (path, sizeof path, "/q/%s", id);
      int code = client ("GET", path, "", i % FRONTS, answer, sizeof answer);
      record ("job %s: %d %s; runs that ended failed: %d, lost with their runner: %d", id, code,
              answer, failed_ends_of (id), lost_runs_of (id));
      if (code == 200 && strstr (answer, "\"failed\"") && failed_ends_of (id) == 0)
        broken++;
    }
  if (broken > 0)
    finish (1, "LOST broken: accepted jobs are shown as failed, none of their runs ended failed");
  finish (0, "LOST held");
}
