/* place_wait: whether a task waits for a worker near its data or its group.  Pure.

   Load pattern: a burst of tasks that want one rack, whose workers are full for a second while
   others have room; elsewhere such a task takes several times as long.  At once elsewhere, the rack
   stands empty soon after; always waiting, a rack that is wanted for long starves its callers.

   A task waits while the time it has waited and still will is below what the place gains, reduced
   by the load of the place: the slot that it waits for would else go to a later task that wants the
   same place, and then nothing is gained.  docs/design/place-wait.md has the alternatives.  */

#ifndef SASSAFRAS_PLACE_WAIT_H
#define SASSAFRAS_PLACE_WAIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLACE_HALF_LIFE_MS                                                                         \
  2000.0                     /* of the rate of tasks that want a place: a burst is over soon       \
                              */
#define PLACE_SMOOTHING 0.05 /* of run times: averages over about 20 runs */

/* Run time / estimate, learned.  */
struct place_run_times
{
  double near;
  double remote;
};

/* Tasks that want one place.  */
struct place_demand
{
  double tasks; /* decayed count */
  int64_t decayed_ms;
};

struct place_wait_facts
{
  int64_t waited_ms;    /* for this place */
  int64_t predicted_ms; /* until the place can take the task; INT64_MAX: not known */
  int64_t near_ms;      /* run time there */
  int64_t remote_ms;    /* run time elsewhere */
  int64_t left_ms;      /* until the task must end for its job to be in time; may be negative */
  double load;          /* of the place, see place_demand_load */
};

/* FACTOR: run time elsewhere / near, before any is known.  */
void place_run_times_init (struct place_run_times *r, double factor);
void place_run_times_add (struct place_run_times *r, bool near, int64_t run_ms,
                          int64_t estimate_ms);
void place_demand_add (struct place_demand *d, int64_t now_ms); /* One more task wants the place. */
/* What the tasks want of SLOTS that each take one for RUN_MS; 1: all of it.  */
double place_demand_load (const struct place_demand *d, int64_t now_ms, int64_t run_ms,
                          double slots);
/* Sorts the COUNT times in ENDS_MS and returns the one that the task behind AHEAD others takes, or
   INT64_MAX.  */
int64_t place_wait_predict (int64_t *ends_ms, size_t count, size_t ahead);
bool place_wait_pays (const struct place_wait_facts *f);

#endif
