/* router: chooses the runner for one try of a request.

   A runner has capacity while this entry's requests on it are below its equal share of the runner's
   connections and below the adaptive limit, and while either this entry uses less than its equal
   share of the slots or the estimated load from all entries is below the slots.  Among runners with
   capacity the local data centre is preferred, then near ones, then far ones within a byte budget;
   at equal distance the less loaded of two random candidates is chosen.  NULL means that the
   request has to wait in the admission queue.

   The adaptive limit decreases when a runner refuses requests or times out, which indicates
   overload, or instead of an ejection over the maximum; other failures count towards ejection.

   Failing runners are ejected for a time that doubles, at most ROUTER_MAX_EJECTED_PERCENT of a
   service at once; a returning runner starts with one request at a time and ramps up over
   ROUTER_SLOW_START_MS.  A runner most of whose answers take several times the median latency of
   its service gets only probes while others have capacity.

   Deterministic: time is now_ms, randomness is seeded.  Source: design page section 7.  */

#ifndef SASSAFRAS_ROUTER_H
#define SASSAFRAS_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include "rng.h"
#include "runner_table.h"

#define ROUTER_EJECT_BASE_MS 1000
#define ROUTER_EJECT_MAX_MS 30000
#define ROUTER_EJECT_IN_ROW 5
#define ROUTER_MAX_EJECTED_PERCENT 34
#define ROUTER_SLOW_START_MS 5000
#define ROUTER_SHARE_GROWTH_DELAY_MS 5000
#define ROUTER_MAX_NEAR 16
#define ROUTER_FAR_BYTES_PER_S (30 * 1000 * 1000 / 8 / 2) /* requests: half of a 30 Mbit/s link */

enum router_policy
{
  ROUTER_LEAST_LOADED, /* the policy described above */
  ROUTER_ROUND_ROBIN,  /* baseline for benchmarks: live runners in turn */
  ROUTER_RANDOM,       /* baseline for benchmarks: any live runner */
};

enum router_distance
{
  ROUTER_LOCAL, /* this data centre */
  ROUTER_NEAR,  /* another one in the region */
  ROUTER_FAR,   /* another region */
};

enum router_outcome
{
  ROUTER_OK,          /* a complete answer under 500 */
  ROUTER_FAILED,      /* 5xx or broken answer */
  ROUTER_TIMED_OUT,   /* no answer in time */
  ROUTER_REFUSED,     /* the runner reported that the request did not run */
  ROUTER_UNREACHABLE, /* no connection */
  ROUTER_ABANDONED,   /* cancelled by the proxy; counts only if it was already late */
};

struct router_config
{
  char data_centre[RUNNER_NAME_BYTES];           /* of this entry */
  char near[ROUTER_MAX_NEAR][RUNNER_NAME_BYTES]; /* other data centres of the region */
  unsigned near_count;
  unsigned entries;        /* entry VMs that share the runners */
  unsigned rank;           /* of this entry among them, from 0 */
  int64_t far_bytes_per_s; /* byte budget for far runners */
  enum router_policy policy;
  uint64_t seed;
};

struct router_service; /* index of the runners of one service */

struct router
{
  struct router_config config;
  struct rng rng;
  struct runner_table *table;
  uint64_t turn;    /* round-robin position */
  double far_bytes; /* bytes left in the budget for far runners, may be negative */
  int64_t far_updated_ms;
  unsigned previous_entries; /* before the change; caps each share until share_growth_ms */
  unsigned previous_rank;
  int64_t share_growth_ms;
  struct router_service *services;
};

void router_init (struct router *r, const struct router_config *config, struct runner_table *table,
                  int64_t now_ms);    /* Routes to the runners of TABLE. */
void router_close (struct router *r); /* Frees the service indexes. */
void router_set_entries (struct router *r, unsigned entries, unsigned rank,
                         int64_t now_ms); /* Shares shrink at once and grow after 5 s. */
struct runner *router_pick (struct router *r, const char *service, const struct runner *avoid,
                            int64_t now_ms); /* NULL when none has capacity; AVOID may be NULL. */
void router_start (struct router *r, struct runner *runner, size_t bytes,
                   int64_t now_ms); /* A try starts; takes a reference. */
/* A try ended; INCARNATION is that of the runner when it started, LATENCY_MS the time to the first
   byte, 0 if none.  */
void router_finish (struct router *r, struct runner *runner, uint64_t incarnation,
                    enum router_outcome outcome, double latency_ms, size_t bytes, int64_t now_ms);
unsigned router_share (const struct router *r, const struct runner *runner,
                       int64_t now_ms); /* Connections of RUNNER that this entry may use. */
unsigned router_capacity (struct router *r, const char *service,
                          int64_t now_ms); /* This entry's share of the slots of SERVICE. */
unsigned router_live (const struct router *r, const char *service,
                      int64_t now_ms); /* Live runners of SERVICE, ejected ones included. */
bool router_may_return (const struct router *r, const char *service,
                        int64_t now_ms); /* A runner of SERVICE expired a moment ago. */
enum router_distance router_distance (const struct router *r,
                                      const char *data_centre); /* From this entry. */

#endif
