/* permit: start permits of the cells.

   A cell starts tasks only while it holds a permit.  The registry leader grants permits of 3 s to
   cells whose data centre is in; the holder asks every second and counts the 3 s from the moment it
   asked, so that a delayed grant never lasts longer than the granter assumes.

   The granter grants only on a leadership confirmed by a quorum round that began at C, and shortens
   the life by the time since C.  So no permit of an earlier leader outlives the moment its
   successor was elected by more than 3 s, and a successor assumes that permits are outstanding for
   that long.

   An out command is in force once every permit of the data centre has surely expired or was given
   up by the node that held it.  Pure: times are monotonic ms of the caller's clock.  */

#ifndef SASSAFRAS_PERMIT_H
#define SASSAFRAS_PERMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "registry_proto.h"

#define PERMIT_LIFE_MS 3000
#define PERMIT_RENEW_MS 1000 /* between two requests of a holder */
#define PERMIT_RETRY_MS 300  /* after a request that was not answered with a grant */
#define PERMIT_DRIFT_MS 30   /* the holder gives up this early: clock rates may differ by 1% */

struct permit_granter; /* soft state of the registry leader */

/* An answer to one request.  */
struct permit
{
  bool granted;
  uint32_t life_ms; /* counted by the holder from when it asked */
  uint64_t epoch;   /* cell epoch the permit is for */
};

/* When an out command is in force.  */
struct permit_in_force
{
  bool in_force;
  registry_in_force_reason reason; /* set when in force */
  int64_t wait_ms;                 /* upper bound of the wait that is left; 0 when in force */
};

struct permit_granter *permit_granter_new (void);    /* Not leading. */
void permit_granter_free (struct permit_granter *g); /* NULL is allowed. */
void permit_granter_become_leader (struct permit_granter *g,
                                   int64_t now_ms); /* Elected: earlier permits may live for 3 s. */
void permit_granter_step_down (struct permit_granter *g);     /* Grants nothing any more. */
bool permit_granter_leading (const struct permit_granter *g); /* Between lead and step_down. */
void permit_granter_confirm (struct permit_granter *g,
                             int64_t began_ms); /* A quorum answered the round begun then. */
struct permit permit_granter_request (struct permit_granter *g, const registry_data_centre *dc,
                                      uint64_t node, int64_t now_ms); /* DC may be NULL: refused. */
struct permit_in_force permit_granter_in_force (const struct permit_granter *g,
                                                const registry_data_centre *dc, int64_t now_ms);

bool
permit_granter_next_in_force (const struct permit_granter *g, const registry_data_centre *list,
                              size_t count, int64_t now_ms,
                              registry_in_force *out); /* An out command to be recorded as in force;
                                                          OUT borrows the name from LIST. */

/* The holder: the leader of a cell.  */
struct permit_holder
{
  int64_t requested_ms;    /* last request; INT64_MIN before the first */
  int64_t next_request_ms; /* when to ask again */
  int64_t valid_until_ms;
  uint64_t epoch;           /* of the last grant */
  int64_t ignored_until_ms; /* answers to requests asked at or before this are ignored */
};

void permit_holder_init (struct permit_holder *h); /* Holds nothing and asks at once. */
bool permit_holder_due (const struct permit_holder *h, int64_t now_ms); /* Time to ask. */
int64_t permit_holder_request (struct permit_holder *h,
                               int64_t now_ms); /* Notes the request; returns the token to send. */
void permit_holder_handle_answer (struct permit_holder *h, int64_t asked, const struct permit *p,
                                  int64_t now_ms); /* ASKED is the echoed token. */
void permit_holder_release (struct permit_holder *h,
                            int64_t now_ms); /* Data centre out or leadership lost: gives it up. */
int64_t permit_holder_left_ms (const struct permit_holder *h,
                               int64_t now_ms); /* Life left; 0: start nothing. */

#endif
