/* leader_place: whether leadership should move to a voter that is nearer to the others.  Pure.

   Load pattern: short jobs of a few steps, whose objective is some hundred milliseconds longer than
   their work, and voters in several regions.  Each start and each end waits for a commit, so a
   leader that is a region away from its quorum adds a round trip between regions to every task.

   A voter cannot know how far the others are from each other.  So a leader whose rounds are all
   slow hands over to the voter whose answer completed them, which is in the region of the quorum if
   one region has it.  Where no voter is nearer each of them tries once, then rests: the rest
   doubles.  */

#ifndef SASSAFRAS_LEADER_PLACE_H
#define SASSAFRAS_LEADER_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#define LEADER_PLACE_ROUNDS 4             /* rounds of a leadership that are looked at first */
#define LEADER_PLACE_FAR_MS 25            /* users' zones are 1.4 ms apart, their regions 30 ms */
#define LEADER_PLACE_REST_MS 300000       /* after a move; a move costs a second or two of starts */
#define LEADER_PLACE_MOST_REST_MS 3600000 /* limit of the doubling */

struct leader_place
{
  unsigned rounds;     /* of this leadership */
  int64_t shortest_ms; /* of them */
  int64_t rest_ms;     /* of the next rest */
  int64_t rest_until_ms;
};

void leader_place_init (struct leader_place *p);   /* No move was made. */
void leader_place_gained (struct leader_place *p); /* A leadership of this VM begins. */
bool leader_place_round (struct leader_place *p, int64_t now_ms,
                         int64_t took_ms); /* A quorum answered; true: hand over now. */

#endif
