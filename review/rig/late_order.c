/* A withdrawal of an evacuation that a frozen core process had not read takes effect after the next
   evacuation of the same zone was acknowledged (rule EVAC).  */
#include <signal.h>
#include <stdio.h>

#include "rig.h"

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"works.example\",\"path_prefix\":"
      "\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,"
      "\"priority\":0,\"service\":\"pool\",\"max_attempts\":4,\"stretch\":1.5}],\"services\":[{"
      "\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{}}";

static volatile int submitting = 1;

static void *
submit_jobs (void *arg)
{
  char path[64];
  (void)arg;
  for (int i = 0; submitting; i++)
    {
      snprintf (path, sizeof path, "/q/%016x", 0x1000 + i);
      client ("POST", path,
              "{\"spec\":\"ms=600 cpu=4000\",\"steps\":[{\"count\":7,\"cpu\":4000,"
              "\"mem_mb\":100,\"estimate_ms\":600}]}",
              i % FRONTS, NULL, 0);
      sleep_until (now_ms () + 250);
    }
  return NULL;
}

static int
starts_in_zone_since (int64_t since_ms, const char *zone)
{
  const struct event *e;
  size_t n = copy_events (&e);
  int count = 0;
  for (size_t i = 0; i < n; i++)
    if (e[i].is_start && e[i].at_ms > since_ms && runners[e[i].runner].zone[1] == zone[1])
      count++;
  return count;
}

int
main (void)
{
  pthread_t jobs;
  rig_open ();
  put_config_until_accepted (config);
  for (int i = 0; i < 6; i++)
    runner_open (i, 1 + i % 3);
  sleep_until (8000);
  pthread_create (&jobs, NULL, submit_jobs, NULL);
  sleep_until (12000);
  if (starts_in_zone_since (8000, "z1") == 0)
    finish (2, "nothing runs in z1 before the evacuation");
  if (order ("POST", "/sassafrasstall/evacuate/z1", "", 0) != 200)
    finish (2, "the first evacuation was not acknowledged");
  sleep_until (16000);
  if (trouble)
    {
      record ("core 2 freezes");
      kill (core_pid[1], SIGSTOP);
    }
  sleep_until (16200);
  if (order ("DELETE", "/sassafrasstall/evacuate/z1", "", 1) != 200)
    finish (2, "the withdrawal was not acknowledged");
  sleep_until (now_ms () + 500);
  if (order ("POST", "/sassafrasstall/evacuate/z1", "", 2) != 200)
    finish (2, "the second evacuation was not acknowledged");
  int64_t acknowledged_ms = now_ms ();
  sleep_until (22500);
  if (trouble)
    {
      record ("core 2 thaws");
      kill (core_pid[1], SIGCONT);
    }
  /* Judged: starts later than evacuate_ms after the acknowledgement, once all machines have been in
     touch again for contact_ms (and half a second more).  */
  int64_t judged_ms = acknowledged_ms + EVACUATE_MS;
  if (judged_ms < 22500 + CONTACT_MS + 500)
    judged_ms = 22500 + CONTACT_MS + 500;
  sleep_until (judged_ms + 12000);
  submitting = 0;
  int starts = starts_in_zone_since (judged_ms, "z1");
  int elsewhere = starts_in_zone_since (judged_ms, "z2") + starts_in_zone_since (judged_ms, "z3");
  record ("second evacuation of z1 acknowledged at %lld ms; judged from %lld ms: %d starts in z1, "
          "%d elsewhere",
          (long long)acknowledged_ms, (long long)judged_ms, starts, elsewhere);
  if (elsewhere == 0)
    finish (2, "nothing ran elsewhere");
  if (starts > 0)
    finish (1, "EVAC broken: tasks start in an evacuated zone");
  finish (0, "EVAC held");
}
