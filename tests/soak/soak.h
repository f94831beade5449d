/* soak: a randomized run of the real programs under faults that come from outside them.

   Starts core and front VMs as separate processes, plays their workers and callers itself, stands
   between them with a loopback proxy, and injects faults: connections that are delayed, silenced
   one way or reset; processes that are paused, stopped, killed and restarted; disks that are lost;
   workers that crash or carry orders out late.  Promises are checked from what callers and workers
   see.

   Everything follows from the seed but the scheduling of the machine.  */

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
#define SOAK_MAX_JOBS 400
#define SOAK_ADDRESS_BYTES 64
#define SOAK_PATH_BYTES 256
#define FIRST_STEP_TASKS 3
#define JOB_TASKS 5 /* of two steps; the second waits for the first */

struct soak;

/* soak_proxy.c: one listening address whose connections go on to another.  */
enum link_mode
{
  LINK_PASSES,
  LINK_SILENT_IN,  /* nothing of the caller arrives */
  LINK_SILENT_OUT, /* no answer arrives */
  LINK_SILENT,     /* both */
  LINK_REFUSES,    /* resets open and new connections */
};

struct proxy_link;
struct proxy_link *proxy_open (struct ev_loop *loop, const char *listen_address,
                               const char *target);
void proxy_close (struct proxy_link *l);
void proxy_set (struct proxy_link *l, enum link_mode mode, int64_t delay_ms);

/* soak_vm.c: processes of the product.  */
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
  bool ending;      /* we sent a signal that ends it */
  bool disk_lost;   /* remove its disk before the next start */
  bool first_start; /* its disk has content, or the whole system starts */
  int64_t up_at_ms; /* start it then; 0: it is up */
  int64_t resume_at_ms;
  ev_child exited;
  struct proxy_link *links[2]; /* core: peers, relayed requests */
  int64_t links_heal_at_ms;
};

void vm_start (struct soak_vm *vm);
void vm_end (struct soak_vm *vm, int sig, int64_t down_ms); /* Restarted DOWN_MS later. */
void vm_pause (struct soak_vm *vm, int64_t for_ms);
void vm_lose_disk (struct soak_vm *vm, int64_t down_ms);
void vm_disturb (struct soak_vm *vm, enum link_mode mode, int64_t delay_ms, int64_t for_ms);
void vm_tick (struct soak_vm *vm); /* Restarts, resumes and heals what is due. */
void vm_heal (struct soak_vm *vm); /* Does so at once. */

/* soak_worker.c: a worker of the users' platform, which is called.  */
struct soak_worker;
struct soak_worker *worker_open (struct soak *s, int number);
void worker_close (struct soak_worker *w);
void worker_tick (struct soak_worker *w);
void worker_crash (struct soak_worker *w, int64_t down_ms); /* Comes back as another life. */
void worker_delay (struct soak_worker *w, int64_t orders_late_ms, int64_t for_ms);
void worker_disturb (struct soak_worker *w, enum link_mode mode, int64_t delay_ms, int64_t for_ms);
void worker_heal (struct soak_worker *w);

/* soak_jobs.c: callers, the operator, and the promises.  */
void jobs_tick (struct soak *s);    /* Submits, repeats, cancels, reads. */
bool jobs_settled (struct soak *s); /* All that was accepted has been completed. */
void jobs_report (struct soak *s);  /* Counts on standard output. */
void config_tick (struct soak *s);  /* Changes and reads the configuration. */
bool config_settled (struct soak *s);
void task_started (struct soak *s, const char *task, int run);
void task_ended (struct soak *s, const char *task, bool done);
void task_end_noted (struct soak *s, const char *task,
                     int run); /* The done end of RUN was acknowledged. */
void violated (struct soak *s, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* A promise is broken: the run fails. */

struct soak_task
{
  int running;
  int starts;
  int last_run; /* the highest that started */
  bool done;    /* a run has ended done */
  bool noted;   /* such an end was acknowledged */
};

enum job_state
{
  JOB_SENDING,
  JOB_ACCEPTED,
  JOB_REFUSED, /* every attempt was: it must never run */
  JOB_UNCLEAR, /* no clear answer in time */
  JOB_COMPLETED,
};

struct soak_job
{
  struct soak *soak;
  uint64_t id;
  enum job_state state;
  unsigned attempts;
  bool unclear; /* an attempt had no clear answer */
  bool call_open;
  int64_t next_ms;
  bool wants_cancel;
  int64_t cancel_at_ms;
  int64_t cancelled_ms; /* acknowledged; 0 is not */
  struct soak_task tasks[JOB_TASKS];
};

struct soak
{
  struct ev_loop *loop;
  struct rng rng;
  struct http_client *client;
  const char *build;
  char folder[SOAK_PATH_BYTES];
  char net[16]; /* first three numbers of every address */
  int64_t now_ms;
  bool helped; /* core VMs call workers for the leader, as with many workers */
  bool faults_over;
  unsigned violations;
  struct soak_vm cores[SOAK_CORES];
  struct soak_vm fronts[SOAK_FRONTS];
  struct soak_worker *workers[SOAK_WORKERS];
  struct soak_job jobs[SOAK_MAX_JOBS];
  size_t job_count;
  int64_t next_job_ms;
  /* Configuration.  */
  bool config_open, read_open;
  int sent_version;
  int acknowledged_version;
  int64_t acknowledged_ms;
  int bound_version; /* acknowledged when the open read was sent, long enough before */
  int64_t next_config_ms, next_read_ms;
  int read_version; /* of the last read */
};

#define CONTROL_PORT 8166
#define CUSTOMER_PORT 8161
#define FIRST_PORT 7000

static inline void
soak_address (const struct soak *s, int host, int port, char out[SOAK_ADDRESS_BYTES])
{
  snprintf (out, SOAK_ADDRESS_BYTES, "%s.%d:%d", s->net, host, port);
}

/* Last numbers of the addresses; a proxy listens where others are told to call.  */
#define HOST_CORE(n) (n)
#define HOST_CORE_BEHIND(n) (100 + (n))
#define HOST_FRONT(n) (50 + (n))
#define HOST_WORKER(n) (150 + (n))
#define HOST_WORKER_BEHIND(n) (200 + (n))

#endif
