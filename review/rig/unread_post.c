/* A front freezes with a client's request in its socket.  The client gives up and cancels its job
   through another front, which answers 410.  When the front thaws the job is stored and runs (rule
   UNASKED).  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "rig.h"

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"works.example\",\"path_prefix\":"
      "\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,"
      "\"priority\":0,\"service\":\"pool\",\"max_attempts\":4,\"stretch\":1.5}],\"services\":[{"
      "\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{}}";
static const char job[]
    = "{\"spec\":\"ms=0 cpu=1000\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":100,"
      "\"estimate_ms\":500,\"perpetual\":true}]}";

int
main (void)
{
  char address[64];
  int starts = 0;
  int late = 0;
  const struct event *e;
  rig_open ();
  put_config_until_accepted (config);
  for (int i = 0; i < 6; i++)
    runner_open (i, 1 + i % 3);
  sleep_until (10000);
  if (trouble)
    {
      record ("front 1 freezes");
      kill (front_pid[0], SIGSTOP);
    }
  sleep_until (10200);
  snprintf (address, sizeof address, "%s:%d", front_ip[0], CUSTOMER_PORT);
  int code = call (address, "POST", "/q/00000000000040aa", "works.example", job, 1000, NULL, 0);
  record ("client POST /q/00000000000040aa through front 1: %d", code);
  if (trouble != (code == 0))
    finish (2, "unexpected answer to the POST");
  if (code == 0)
    record ("the client leaves before its deadline");
  if (client ("DELETE", "/q/00000000000040aa", "", 1, NULL, 0) == 0)
    finish (2, "the DELETE was not answered");
  int64_t cancelled_ms = now_ms ();
  sleep_until (15800);
  if (trouble)
    {
      record ("front 1 thaws");
      kill (front_pid[0], SIGCONT);
    }
  sleep_until (26000);
  client ("GET", "/q/00000000000040aa", "", 1, NULL, 0);
  size_t n = copy_events (&e);
  for (size_t i = 0; i < n; i++)
    {
      starts += e[i].is_start;
      late += e[i].is_start && e[i].at_ms > cancelled_ms + CANCEL_MS;
    }
  record ("cancelling acknowledged at %lld ms; starts: %d, later than cancel_ms after it: %d",
          (long long)cancelled_ms, starts, late);
  if (late > 0)
    finish (1,
            "UNASKED broken: tasks start later than cancel_ms after the acknowledged cancelling");
  finish (0, "UNASKED held");
}
