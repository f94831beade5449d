/* Another writer sends one heartbeat of a service that isn't named in the configuration, with the
   address of a runner that is up.  The runner's tasks are started again elsewhere while they run
   (rule TWICE).  */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "rig.h"

#define RUNNERS 6

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"works.example\",\"path_prefix\":"
      "\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,"
      "\"priority\":0,\"service\":\"pool\",\"max_attempts\":4,\"stretch\":1.5}],\"services\":[{"
      "\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{}}";

/* The runner that the first task was started on.  */
static int
busy_runner (void)
{
  const struct event *e;
  size_t n = copy_events (&e);
  for (size_t i = 0; i < n; i++)
    if (e[i].is_start)
      return e[i].runner;
  finish (2, "nothing runs");
}

static int
send_foreign_heartbeat (void)
{
  char body[1024], address[64];
  snprintf (body, sizeof body,
            "{\"service\":\"other\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\","
            "\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":16000,"
            "\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r9-1\"],\"clock_ms\":5000,\"seq\":1,"
            "\"born\":%lld}",
            runners[busy_runner ()].address, (long long)time (NULL) * 1000);
  int code = 0;
  for (int i = 0; i < 6 && code != 200; i++)
    {
      snprintf (address, sizeof address, "%s:%d", core_ip[i % CORES], CONTROL_PORT);
      code
          = call (address, "PUT", "/sassafrasstall/instances/x-other-1", NULL, body, 1000, NULL, 0);
      record ("other writer PUT /sassafrasstall/instances/x-other-1 to core %d: %d; %s",
              i % CORES + 1, code, body);
    }
  return code;
}

/* Starts of a task while another run of it is at work on a runner that is up.  */
static int
count_double_runs (void)
{
  const struct event *e;
  size_t n = copy_events (&e);
  int count = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (!e[i].is_start)
        continue;
      for (size_t k = 0; k < i; k++)
        {
          bool ended = !e[k].is_start || strcmp (e[k].task, e[i].task) != 0;
          for (size_t m = k + 1; m < i && !ended; m++)
            ended = !e[m].is_start && e[m].runner == e[k].runner && e[m].run == e[k].run
                    && strcmp (e[m].task, e[k].task) == 0;
          if (ended)
            continue;
          record ("TWICE: %s run %d starts on runner %d at %lld ms, run %d is at work on runner %d",
                  e[i].task, e[i].run, e[i].runner, (long long)e[i].at_ms, e[k].run, e[k].runner);
          count++;
        }
    }
  return count;
}

int
main (void)
{
  char path[64];
  rig_open ();
  put_config_until_accepted (config);
  for (int i = 0; i < RUNNERS; i++)
    runner_open (i, 1 + i % 3);
  sleep_until (8000);
  for (int i = 0; i < 4; i++)
    {
      snprintf (path, sizeof path, "/q/%016x", 0x5000 + i);
      if (client ("POST", path,
                  "{\"spec\":\"ms=12000 cpu=4000\",\"steps\":[{\"count\":5,\"cpu\":4000,"
                  "\"mem_mb\":100,\"estimate_ms\":12000}]}",
                  i % FRONTS, NULL, 0)
          != 200)
        finish (2, "a job was not accepted");
    }
  sleep_until (12000);
  if (trouble)
    send_foreign_heartbeat ();
  sleep_until (40000);
  for (int i = 0; i < 4; i++)
    {
      snprintf (path, sizeof path, "/q/%016x", 0x5000 + i);
      client ("GET", path, "", i % FRONTS, NULL, 0);
    }
  int doubles = count_double_runs ();
  record ("starts of a task that was at work elsewhere: %d", doubles);
  if (doubles > 0)
    finish (1, "TWICE broken: tasks run on two runners at the same time");
  finish (0, "TWICE held");
}
