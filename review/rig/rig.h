/* rig: starts a small deployment of sassafras-platform on loopback addresses and plays the clients,
   the operator and the runners of the users' platform as their pages describe them.  Used by the
   cases in review/; needs the C library and libjansson only.  */

#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define CORES 3
#define FRONTS 2
#define MAX_RUNNERS 16
#define NAME_BYTES 64
#define BODY_BYTES 65536
#define CONTROL_PORT 8166
#define CUSTOMER_PORT 8161
/* Bounds of the site hsgr-rounds.  */
#define HEARTBEAT_MS 1500
#define CONTACT_MS 4000
#define EVACUATE_MS 5000
#define CANCEL_MS 3000
#define CONFIG_APPLY_MS 3000
#define STOP_GRACE_MS 400
#define MAX_HOLD_MS 6000

struct run
{
  struct run *next;
  char task[NAME_BYTES];
  int run;
  int64_t end_ms;  /* rig time; INT64_MAX: lasts */
  int64_t stop_ms; /* a stop takes effect then; 0: none */
  bool fails;
  int cpu;
};

struct ended
{
  struct ended *next;
  int64_t number;
  char task[NAME_BYTES];
  int run;
  const char *how;
};

struct refused
{
  struct refused *next;
  char task[NAME_BYTES];
  int run;
};

struct runner
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int number;
  char id[NAME_BYTES];
  char zone[8];
  char ip[32];
  char address[48];
  bool up;
  bool draining;
  int64_t list_delay_ms; /* answers to holds that list an end arrive that much later */
  int life;
  int listener;
  int fds[64]; /* open connections of this life */
  int64_t born_ms, clock_zero_ms, lease_ms, fence, ends, seq;
  struct run *runs;
  struct ended *ended, **ended_tail;
  struct refused *refused;
};

/* One start or end on a runner, as its stand-in saw it.  */
struct event
{
  int64_t at_ms;
  int runner;
  bool is_start;
  char task[NAME_BYTES];
  int run;
  const char *how;
};

extern char core_ip[CORES][20], front_ip[FRONTS][20];
extern pid_t core_pid[CORES], front_pid[FRONTS];
extern struct runner runners[MAX_RUNNERS];
extern bool trouble;
extern const char *checkpoint_text;

int64_t now_ms (void); /* since the start of the rig */
void sleep_until (int64_t at_ms);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void rig_open (void);  /* starts cores and fronts; data centre of number n is z(n) */
void rig_close (void); /* ends all processes, removes the temporary folder */
void runner_open (int number, int zone);
void runner_crash (int number);                /* its process is gone; connections are reset */
void runner_drain (int number);                /* reports draining, at once */
void runner_leave (int number);                /* sends its DELETE, then its process ends */
void runner_restart (int number);              /* a new incarnation with a new id, same address */
size_t copy_events (const struct event **out); /* all so far; stable while the rig runs */

int call (const char *address, const char *method, const char *path, const char *host,
          const char *body, int timeout_ms, char *answer, size_t size); /* status; 0: none */
/* An order of the operator: FIRST is the core that it picks first; 1 s each, next node on failure.
   Returns the code that ends it, or 0.  */
int order (const char *method, const char *path, const char *body, int first);
/* A client's request through front FIRST; repeated at the other on no response, 502 and 504.  */
int client (const char *method, const char *path, const char *body, int first, char *answer,
            size_t size);
void put_config_until_accepted (const char *body);
_Noreturn void finish (int code, const char *verdict);

#endif
