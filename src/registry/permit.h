/* permit: start permits, short leases under which cells start tasks.

   A cell starts tasks only while it holds a permit.  The registry leader grants permits of 3 s to
   cells whose data centre is in service; the holder renews every second and counts the 3 s from the
   time of its request, so that a delayed grant never lasts longer than the granter assumes.

   The granter requires a leadership confirmed by a quorum round that started at C, and shortens the
   permit by the time since C.  Hence no permit of an earlier leader is valid for more than 3 s
   after its successor was elected, and the successor assumes outstanding permits for that long.

   An out command is in force once every permit of the data centre has certainly expired or was
   released by its holder.  No I/O: times are monotonic ms of the caller's clock.  */

#ifndef SASSAFRAS_PERMIT_H
#define SASSAFRAS_PERMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "registry_proto.h"

#define PERMIT_LIFE_MS 3000
#define PERMIT_RENEW_MS 1000 /* between requests of a holder */
#define PERMIT_RETRY_MS 300  /* after a refused request */
#define PERMIT_DRIFT_MS 30   /* safety margin of the holder: clock rates may differ by 1% */

struct permit_granter; /* soft state of the registry leader */

/* The answer to one request.  */
struct permit
{
  bool granted;
  uint32_t life_ms; /* counted by the holder from its request */
  uint64_t epoch;   /* cell epoch that the permit is for */
};

/* Whether an out command is in force.  */
struct permit_in_force
{
  bool in_force;
  registry_in_force_reason reason; /* set when in force */
  int64_t wait_ms;                 /* upper bound of the remaining wait; 0 when in force */
};

struct permit_granter *permit_granter_new (void);    /* Starts as a follower. */
void permit_granter_free (struct permit_granter *g); /* G may be NULL. */
void permit_granter_become_leader (struct permit_granter *g,
                                   int64_t now_ms); /* Earlier permits may be valid for 3 s more. */
void permit_granter_step_down (struct permit_granter *g); /* Stops granting. */
bool
permit_granter_leading (const struct permit_granter *g); /* Between become_leader and step_down. */
void permit_granter_confirm (struct permit_granter *g,
                             int64_t started_ms); /* A quorum answered the round started then. */
struct permit permit_granter_request (struct permit_granter *g, const registry_data_centre *dc,
                                      uint64_t node, int64_t now_ms); /* Refused if DC is NULL. */
struct permit_in_force permit_granter_in_force (const struct permit_granter *g,
                                                const registry_data_centre *dc, int64_t now_ms);

bool permit_granter_find_unrecorded (
    const struct permit_granter *g, const registry_data_centre *list, size_t count, int64_t now_ms,
    registry_in_force *out); /* An out command in force, not yet recorded so;
                                OUT borrows the name from LIST. */

/* The holder: the leader of a cell.  */
struct permit_holder
{
  int64_t requested_ms;    /* time of the last request; INT64_MIN before the first */
  int64_t next_request_ms; /* time of the next request */
  int64_t valid_until_ms;
  uint64_t epoch;           /* cell epoch of the last grant */
  int64_t ignored_until_ms; /* answers to requests made at or before this are ignored */
};

void permit_holder_init (struct permit_holder *h); /* Holds no permit; a request is due. */
bool permit_holder_due (const struct permit_holder *h, int64_t now_ms); /* A request is due. */
int64_t permit_holder_request (struct permit_holder *h,
                               int64_t now_ms); /* Records it; returns its time, to be sent. */
void permit_holder_handle_answer (struct permit_holder *h, int64_t requested_ms,
                                  const struct permit *p,
                                  int64_t now_ms); /* REQUESTED_MS as echoed. */
void permit_holder_release (struct permit_holder *h,
                            int64_t now_ms); /* On data centre out or leadership loss. */
int64_t permit_holder_left_ms (const struct permit_holder *h,
                               int64_t now_ms); /* Remaining validity; 0: start no tasks. */

#endif
