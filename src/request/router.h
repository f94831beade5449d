/* router: chooses the runner for one try of a request.

   A runner has room while this entry's requests on it stay under its equal share of the runner's
   connections and under the adaptive limit, and while either this entry uses less than its equal
   share of the slots or the estimated load of all entries is under the slots.  Among the runners
   with room the local data centre comes first, then near ones, then far ones under a byte budget;
   within one distance the least loaded of a few random candidates is taken.  NULL means that the
   request has to wait in the admission queue.

   The adaptive limit shrinks when a runner refuses requests or does not answer in time, which are
   signs of overload; other failures only count towards ejection.

   Failing runners are ejected for a time that doubles, at most ROUTER_MAX_EJECTED_PERCENT of a
   service at once; a returning runner starts with one request at a time and grows over
   ROUTER_SLOW_START_MS.  A runner most of whose answers take several times the median latency of
   its service gets only probes while others have room.

   Pure: time is now_ms, randomness comes from the seed.  Source: design page section 7.  */

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
#define ROUTER_FAR_BYTES_PER_S (30 * 1000 * 1000 / 8 / 2) /* half the link, for requests */

enum router_policy
{
  ROUTER_LEAST_LOADED, /* the policy described above */
  ROUTER_ROUND_ROBIN,  /* baseline for benchmarks: next live runner in turn */
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
  ROUTER_OK,          /* a whole answer under 500 */
  ROUTER_FAILED,      /* 5xx or broken answer */
  ROUTER_TIMED_OUT,   /* no answer in time */
  ROUTER_REFUSED,     /* the runner said that it did not run the request */
  ROUTER_UNREACHABLE, /* no connection */
  ROUTER_ABANDONED,   /* we gave up the try; counts only if it was already slow */
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
  uint64_t turn;    /* round robin position */
  double far_bytes; /* bytes left in the budget, may be negative */
  int64_t far_updated_ms;
  unsigned entries_before; /* shares in force until growth_ms */
  unsigned rank_before;
  int64_t growth_ms;
  struct router_service *services;
};

void router_init (struct router *r, const struct router_config *config, struct runner_table *table,
                  int64_t now_ms);    /* Routes to the runners of TABLE. */
void router_close (struct router *r); /* Frees the indexes. */
void router_set_entries (struct router *r, unsigned entries, unsigned rank,
                         int64_t now_ms); /* Shares shrink at once and grow 5 s later. */
struct runner *router_pick (struct router *r, const char *service, const struct runner *avoid,
                            int64_t now_ms); /* NULL: none has room; AVOID may be NULL. */
void router_start (struct router *r, struct runner *runner, size_t bytes,
                   int64_t now_ms); /* A try begins; takes a reference. */
void router_finish (struct router *r, struct runner *runner, enum router_outcome outcome,
                    double latency_ms, size_t bytes,
                    int64_t now_ms); /* It ended; LATENCY to the first byte, 0 if none. */
unsigned router_share (const struct router *r, const struct runner *runner,
                       int64_t now_ms); /* Connections of RUNNER that this entry may use. */
unsigned router_capacity (struct router *r, const char *service,
                          int64_t now_ms); /* Slots of this entry's part of SERVICE. */
unsigned router_live (const struct router *r, const char *service,
                      int64_t now_ms); /* Live runners of SERVICE, ejected ones included. */
enum router_distance router_distance (const struct router *r,
                                      const char *data_centre); /* From this entry. */

#endif
