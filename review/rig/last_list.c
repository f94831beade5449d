/* A runner that drains lists the end of its last run and leaves; its DELETE overtakes the list. The
   task, which has ended `done`, is started again (rule TWICE).  */
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define LIST_DELAY_MS 300
#define JOB "/q/00000000000070aa"
#define TASK "00000000000070aa.0.0.0"

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"works.example\",\"path_prefix\":"
      "\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,"
      "\"priority\":0,\"service\":\"pool\",\"max_attempts\":4,\"stretch\":1.5}],\"services\":[{"
      "\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{}}";

/* The first event of that kind of the task, or NULL.  */
static const struct event *
find_event (bool is_start, int run, const char *how)
{
  const struct event *e;
  size_t n = copy_events (&e);
  for (size_t i = 0; i < n; i++)
    if (e[i].is_start == is_start && e[i].run == run && strcmp (e[i].task, TASK) == 0
        && (!how || strcmp (e[i].how, how) == 0))
      return &e[i];
  return NULL;
}

int
main (void)
{
  const struct event *started;
  const struct event *done;
  rig_open ();
  put_config_until_accepted (config);
  for (int i = 0; i < 4; i++)
    runner_open (i, 1 + i % 3);
  sleep_until (9000);
  if (client ("POST", JOB,
              "{\"spec\":\"ms=4500 cpu=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,"
              "\"estimate_ms\":4500}]}",
              0, NULL, 0)
      != 200)
    finish (2, "the job was not accepted");
  sleep_until (9800);
  started = find_event (true, 1, NULL);
  if (!started)
    {
      finish (2, "the task was not started");
      return 2;
    }
  int number = started->runner;
  if (trouble)
    runners[number].list_delay_ms = LIST_DELAY_MS;
  runner_drain (number);
  while (!(done = find_event (false, 1, "done")) && now_ms () < 20000)
    sleep_until (now_ms () + 5);
  if (!done)
    {
      finish (2, "the first run did not end done");
      return 2;
    }
  /* drain_ms has passed since the acknowledgement; the end is listed, nothing runs.  */
  sleep_until (done->at_ms + 20);
  runner_leave (number);
  sleep_until (done->at_ms + 8000);
  client ("GET", JOB, "", 0, NULL, 0);
  const struct event *again = find_event (true, 2, NULL);
  if (again && again->at_ms > done->at_ms + 100)
    {
      record ("TWICE: run 1 ended done at %lld ms and was listed; run 2 starts at %lld ms",
              (long long)done->at_ms, (long long)again->at_ms);
      finish (1, "TWICE broken: a start after a run of the task ended done and was listed");
    }
  finish (0, "TWICE held");
}
