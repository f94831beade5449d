/* Main program of the soak test; see soak.h.

   Usage: soak BUILD-FOLDER SEED [SECONDS [workers]]
   With "workers" only workers fail, five times as often.
   Exit code 0: no invariant was violated.  1: some were; the logs stay in the printed folder.  */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "clock.h"
#include "soak.h"

#define TICK_S 0.01
#define DEFAULT_SECONDS 15
/* Time to complete all accepted jobs after the last fault: an election, lease expiry, the work.  */
#define SETTLE_MS 30000
#define STARTUP_MS 4000 /* to elect a leader, apply a configuration and register the workers */
#define FAULT_INTERVAL_MS 450
#define WORKER_FAULT_INTERVAL_MS 90
/* The system has to tolerate the loss of one disk.  The VM votes again a few seconds later if no
   other fault hits the core VMs; until then a second loss leaves less than a quorum with its
   data.  */
#define DISK_RECOVERY_MS 9000

enum fault
{
  CORE_KILL,
  CORE_STOP,
  CORE_PAUSE,
  CORE_DISK,
  CORE_LINK,
  CORE_LINK_2, /* same fault as CORE_LINK, which is thus twice as likely as the others */
  LAST_CORE_FAULT = CORE_LINK_2,
  FRONT_END,
  FRONT_PAUSE,
  RELOAD,
  FIRST_WORKER_FAULT,
  WORKER_LINK = FIRST_WORKER_FAULT,
  WORKER_CRASH,
  WORKER_LATE,
  FAULT_KINDS,
};

struct schedule
{
  struct soak *soak;
  bool workers_only;
  bool disk_was_lost;
  int64_t began_ms, faults_end_ms, settle_end_ms, next_fault_ms, next_disk_ms;
  ev_timer tick;
};

static void
inject_core_link_fault (struct soak *s, struct soak_vm *vm)
{
  static const enum link_mode modes[]
      = { LINK_FORWARD, LINK_BLOCK_IN, LINK_BLOCK_OUT, LINK_BLOCK, LINK_RESET };
  int64_t delay_ms = rng_chance (&s->rng, 0.4) ? rng_between (&s->rng, 10, 300) : 0;
  enum link_mode mode = modes[rng_below (&s->rng, 5)];
  vm_set_link_fault (vm, mode, delay_ms, rng_between (&s->rng, 200, 4000));
}

static void
inject_worker_link_fault (struct soak *s, struct soak_worker *w)
{
  static const enum link_mode modes[] = { LINK_FORWARD, LINK_BLOCK_IN, LINK_BLOCK_OUT, LINK_RESET };
  int64_t delay_ms = rng_chance (&s->rng, 0.3) ? rng_between (&s->rng, 10, 500) : 0;
  enum link_mode mode = modes[rng_below (&s->rng, 4)];
  worker_set_link_fault (w, mode, delay_ms, rng_between (&s->rng, 200, 7000));
}

static void
lose_disk (struct schedule *c, struct soak_vm *vm)
{
  if (c->soak->now_ms < c->next_disk_ms)
    return;
  for (int i = 0; i < SOAK_CORES; i++)
    if (!c->soak->cores[i].pid || c->soak->cores[i].paused)
      return;
  c->disk_was_lost = true;
  vm_lose_disk (vm, rng_between (&c->soak->rng, 100, 2000));
}

static void
inject_fault (struct schedule *c)
{
  struct soak *s = c->soak;
  struct soak_vm *core = &s->cores[rng_below (&s->rng, SOAK_CORES)];
  struct soak_vm *front = &s->fronts[rng_below (&s->rng, SOAK_FRONTS)];
  struct soak_worker *worker = s->workers[rng_below (&s->rng, SOAK_WORKERS)];
  int64_t span_ms = rng_between (&s->rng, 50, 3500);
  int first = c->workers_only ? FIRST_WORKER_FAULT : 0;
  enum fault kind = (enum fault) (first + (int)rng_below (&s->rng, FAULT_KINDS - first));
  if (c->disk_was_lost && kind <= LAST_CORE_FAULT)
    c->next_disk_ms = s->now_ms + DISK_RECOVERY_MS;
  switch (kind)
    {
    case CORE_KILL:
      vm_end (core, SIGKILL, span_ms);
      break;
    case CORE_STOP:
      vm_end (core, SIGTERM, span_ms);
      break;
    case CORE_PAUSE:
      vm_pause (core, span_ms);
      break;
    case CORE_DISK:
      lose_disk (c, core);
      break;
    case FRONT_END:
      vm_end (front, rng_chance (&s->rng, 0.5) ? SIGKILL : SIGTERM, span_ms);
      break;
    case FRONT_PAUSE:
      vm_pause (front, span_ms);
      break;
    case RELOAD:
      if (core->pid)
        kill (core->pid, SIGHUP);
      break;
    case CORE_LINK:
    case CORE_LINK_2:
      inject_core_link_fault (s, core);
      break;
    case WORKER_LINK:
      inject_worker_link_fault (s, worker);
      break;
    case WORKER_CRASH:
      worker_crash (worker, span_ms);
      break;
    case WORKER_LATE:
      worker_delay (worker, span_ms, rng_between (&s->rng, 500, 4000));
      break;
    default:
      break;
    }
}

static void
end_faults (struct soak *s)
{
  s->faults_over = true;
  for (int i = 0; i < SOAK_CORES; i++)
    vm_heal (&s->cores[i]);
  for (int i = 0; i < SOAK_FRONTS; i++)
    vm_heal (&s->fronts[i]);
  for (int i = 0; i < SOAK_WORKERS; i++)
    worker_heal (s->workers[i]);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  struct schedule *c = w->data;
  struct soak *s = c->soak;
  (void)events;
  s->now_ms = clock_now_ms (clock_real ());
  if (!s->faults_over && s->now_ms >= c->faults_end_ms)
    end_faults (s);
  if (!s->faults_over && s->now_ms >= c->next_fault_ms)
    {
      int mean_ms = c->workers_only ? WORKER_FAULT_INTERVAL_MS : FAULT_INTERVAL_MS;
      c->next_fault_ms = s->now_ms + (int64_t)rng_exponential (&s->rng, mean_ms);
      inject_fault (c);
    }
  for (int i = 0; i < SOAK_CORES; i++)
    vm_tick (&s->cores[i]);
  for (int i = 0; i < SOAK_FRONTS; i++)
    vm_tick (&s->fronts[i]);
  for (int i = 0; i < SOAK_WORKERS; i++)
    worker_tick (s->workers[i]);
  jobs_tick (s);
  config_tick (s);
  bool settled = s->faults_over && jobs_settled (s) && config_settled (s);
  if (settled || s->now_ms >= c->settle_end_ms)
    ev_break (loop, EVBREAK_ALL);
}

static void
open_core (struct soak *s, int n)
{
  struct soak_vm *vm = &s->cores[n - 1];
  *vm = (struct soak_vm){ .soak = s, .role = VM_CORE, .number = n, .first_start = true };
  for (int i = 0; i < 2; i++)
    {
      char listen_address[SOAK_ADDRESS_BYTES];
      char target[SOAK_ADDRESS_BYTES];
      soak_address (s, HOST_CORE (n), FIRST_PORT + i, listen_address);
      soak_address (s, HOST_CORE_TARGET (n), FIRST_PORT + i, target);
      vm->links[i] = proxy_open (s->loop, listen_address, target);
    }
  vm_start (vm);
}

static void
open_all (struct soak *s)
{
  s->loop = ev_default_loop (0);
  s->client = http_client_open (s->loop, 0);
  s->now_ms = clock_now_ms (clock_real ());
  for (int i = 1; i <= SOAK_CORES; i++)
    open_core (s, i);
  for (int i = 1; i <= SOAK_FRONTS; i++)
    {
      s->fronts[i - 1] = (struct soak_vm){ .soak = s, .role = VM_FRONT, .number = i };
      vm_start (&s->fronts[i - 1]);
    }
  for (int i = 1; i <= SOAK_WORKERS; i++)
    s->workers[i - 1] = worker_open (s, i);
}

static void
end_process (struct soak_vm *vm)
{
  vm->ending = true;
  if (vm->pid)
    kill (vm->pid, SIGKILL);
}

static void
run (struct soak *s, int64_t seconds, bool workers_only)
{
  struct schedule c = { .soak = s, .workers_only = workers_only };
  open_all (s);
  c.began_ms = s->now_ms;
  c.next_fault_ms = c.began_ms + STARTUP_MS;
  c.faults_end_ms = c.next_fault_ms + seconds * 1000;
  c.settle_end_ms = c.faults_end_ms + SETTLE_MS;
  ev_timer_init (&c.tick, on_tick, 0.0, TICK_S);
  c.tick.data = &c;
  ev_timer_start (s->loop, &c.tick);
  ev_run (s->loop, 0);
  printf ("settled %lld ms after the last fault\n", (long long)(s->now_ms - c.faults_end_ms));
  jobs_report (s);
  if (!config_settled (s))
    report_violation (s, "CONFIG: version %d was not acknowledged or not read back at the end",
                      s->sent_version);
  for (int i = 0; i < SOAK_CORES; i++)
    end_process (&s->cores[i]);
  for (int i = 0; i < SOAK_FRONTS; i++)
    end_process (&s->fronts[i]);
}

int
main (int argc, char **argv)
{
  static struct soak s;
  char command[SOAK_PATH_BYTES + 16];
  if (argc < 3)
    {
      fprintf (stderr, "usage: soak BUILD-FOLDER SEED [SECONDS [workers]]\n");
      return 2;
    }
  uint64_t seed = strtoull (argv[2], NULL, 10);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  rng_init (&s.rng, seed);
  s.use_helpers = seed % 2 == 0;
  s.build = argv[1];
  snprintf (s.net, sizeof s.net, "127.%d.%d", 10 + (int)(getpid () / 250 % 240),
            1 + (int)(getpid () % 250));
  snprintf (s.folder, sizeof s.folder, "/tmp/soak-XXXXXX");
  if (!mkdtemp (s.folder))
    return 2;
  run (&s, argc > 3 ? strtol (argv[3], NULL, 10) : DEFAULT_SECONDS,
       argc > 4 && strcmp (argv[4], "workers") == 0);
  printf ("seed %llu: %u invariant violations\n", (unsigned long long)seed, s.violations);
  if (s.violations > 0)
    {
      printf ("logs: %s\n", s.folder);
      return 1;
    }
  snprintf (command, sizeof command, "rm -rf '%s'", s.folder);
  return system (command) == 0 ? 0 : 2;
}
