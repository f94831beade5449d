/* soak: a randomized fault-injection test of the real programs.

   Starts core and front VMs as separate processes, simulates their workers and clients, connects
   them through a loopback proxy and injects faults: connections that are delayed, blocked in one
   direction or reset; processes that are paused, stopped, killed and restarted; disks that are
   lost; workers that crash or execute orders late.  Invariants are checked from what clients and
   workers observe.

   Apart from process scheduling, a run is determined by its seed.  */

#ifndef SASSAFRAS_SOAK_H
#define SASSAFRAS_SOAK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>
#include <sys/types.h>

#include <ev.h>

#include "http_client.h"
#include "http_server.h"
#include "rng.h"

#define SOAK_CORES 3
#define SOAK_FRONTS 2
#define SOAK_WORKERS 6
#define SOAK_LEASE_MS 4000 /* longest lease that workers accept */
#define SOAK_MAX_JOBS 400
#define SOAK_ADDRESS_BYTES 64
#define SOAK_PATH_BYTES 256
#define FIRST_STEP_TASKS 3
#define JOB_TASKS 5 /* of two steps; the second waits for the first */

struct soak;

/* soak_proxy.c: forwards connections from one listening address to another.  */
enum link_mode
{
  LINK_FORWARD,
  LINK_BLOCK_IN,  /* data from the client is held back */
  LINK_BLOCK_OUT, /* data to the client is held back */
  LINK_BLOCK,     /* both directions */
  LINK_RESET,     /* open and new connections are reset */
};

struct proxy_link;
struct proxy_link *proxy_open (struct ev_loop *loop, const char *listen_address,
                               const char *target);
void proxy_close (struct proxy_link *l);
void proxy_set (struct proxy_link *l, enum link_mode mode, int64_t delay_ms);

/* soak_vm.c: the VM processes under test.  */
enum vm_role
{
  VM_CORE,
  VM_FRONT,
};

struct soak_vm
{
  struct soak *soak;
  enum vm_role role;
  int number; /* from 1 */
  pid_t pid;  /* 0 while it is down */
  bool paused;
  bool ending;      /* the test has sent a terminating signal */
  bool disk_lost;   /* remove its data before the next start */
  bool first_start; /* core: value of --first-start; false once its disk was lost */
  int64_t up_at_ms; /* time of the next start; 0: it is up */
  int64_t resume_at_ms;
  ev_child exited;
  struct proxy_link *links[2]; /* core: peers, relayed requests */
  int64_t links_heal_at_ms;
};

void vm_start (struct soak_vm *vm);
void vm_end (struct soak_vm *vm, int sig, int64_t down_ms); /* Restarts it after DOWN_MS. */
void vm_pause (struct soak_vm *vm, int64_t for_ms);
void vm_lose_disk (struct soak_vm *vm, int64_t down_ms);
void vm_set_link_fault (struct soak_vm *vm, enum link_mode mode, int64_t delay_ms, int64_t for_ms);
void vm_tick (struct soak_vm *vm); /* Performs restarts, resumes and link repairs that are due. */
void vm_heal (struct soak_vm *vm); /* Performs them at once. */

/* soak_worker.c: a simulated worker, which receives orders by HTTP.  */
struct soak_worker;
struct soak_worker *worker_open (struct soak *s, int number);
void worker_close (struct soak_worker *w);
void worker_tick (struct soak_worker *w);
void worker_crash (struct soak_worker *w, int64_t down_ms); /* Restarts as a new incarnation. */
void worker_delay (struct soak_worker *w, int64_t order_delay_ms, int64_t for_ms);
void worker_set_link_fault (struct soak_worker *w, enum link_mode mode, int64_t delay_ms,
                            int64_t for_ms);
void worker_heal (struct soak_worker *w);

/* soak_jobs.c: simulated clients and operator; the invariants.  */
void jobs_tick (struct soak *s);    /* Submits, retries, cancels and reads jobs. */
bool jobs_settled (struct soak *s); /* Every accepted job has completed or was cancelled. */
void jobs_report (struct soak *s);  /* Prints the counts to standard output. */
void config_tick (struct soak *s);  /* Updates and reads the configuration. */
bool config_settled (struct soak *s);
void task_started (struct soak *s, const char *task, int run);
void task_ended (struct soak *s, const char *task, bool done);
void task_end_acknowledged (struct soak *s, const char *task,
                            int run); /* The completion of RUN was acknowledged. */
void report_violation (struct soak *s, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* An invariant is violated: the run fails. */

struct soak_task
{
  int running;
  int starts;
  int last_run;          /* highest run number that started */
  bool done;             /* a run has completed */
  bool end_acknowledged; /* a completion was acknowledged */
};

enum job_state
{
  JOB_SENDING,
  JOB_ACCEPTED,
  JOB_REFUSED, /* every attempt was refused: it must never run */
  JOB_UNKNOWN, /* no definite answer in time */
  JOB_COMPLETED,
};

struct soak_job
{
  struct soak *soak;
  uint64_t id;
  enum job_state state;
  unsigned attempts;
  bool outcome_unknown; /* an attempt had no definite answer */
  bool call_pending;
  int64_t next_ms;
  bool wants_cancel;
  int64_t cancel_at_ms;
  int64_t cancelled_ms; /* time of the acknowledgement, 0: none */
  struct soak_task tasks[JOB_TASKS];
};

struct soak
{
  struct ev_loop *loop;
  struct rng rng;
  struct http_client *client;
  const char *build;
  char folder[SOAK_PATH_BYTES];
  char net[16]; /* first three octets of every address */
  int64_t now_ms;
  bool use_helpers; /* core VMs call workers on behalf of the leader, as with many workers */
  bool faults_over;
  unsigned violations;
  struct soak_vm cores[SOAK_CORES];
  struct soak_vm fronts[SOAK_FRONTS];
  struct soak_worker *workers[SOAK_WORKERS];
  struct soak_job jobs[SOAK_MAX_JOBS];
  size_t job_count;
  int64_t next_job_ms;
  /* Configuration.  */
  bool config_pending, read_pending, key_pending;
  int sent_version;
  int acknowledged_version;
  int64_t acknowledged_ms;
  int min_read_version; /* acknowledged at least CONFIG_APPLY_LIMIT_MS before the pending read */
  int64_t next_config_ms, next_read_ms;
  int read_version; /* version in the last read */
};

#define CONTROL_PORT 8166
#define CUSTOMER_PORT 8161
#define FIRST_PORT 7000

static inline void
soak_address (const struct soak *s, int host, int port, char out[SOAK_ADDRESS_BYTES])
{
  snprintf (out, SOAK_ADDRESS_BYTES, "%s.%d:%d", s->net, host, port);
}

/* Last octets of the addresses.  The proxy listens on the advertised one, the process on TARGET. */
#define HOST_CORE(n) (n)
#define HOST_CORE_TARGET(n) (100 + (n))
#define HOST_FRONT(n) (50 + (n))
#define HOST_WORKER(n) (150 + (n))
#define HOST_WORKER_TARGET(n) (200 + (n))

#endif
