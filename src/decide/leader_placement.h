/* leader_placement: decides when leadership should move closer to the quorum.  Pure.

   Load pattern: short jobs of a few steps, whose latency objective leaves a few hundred
   milliseconds beyond the run time, with voters in several regions.  Every task start and end waits
   for a commit, so a leader in another region than its quorum adds a cross-region round trip each.

   A voter cannot measure the distances between other voters.  A leader whose quorum rounds are all
   slow therefore transfers leadership to the voter that completes the quorum; if one region holds a
   quorum, that voter is in it.  If no voter is closer, each one tries a transfer once and then
   backs off, with the back-off doubled after every transfer.

   Failure pattern: rounds are also slow when the voters are busy, in any region.  A round therefore
   counts as slow only if the quorum is distant too, by the shortest answers to calls that need no
   disk write and no log entry (peer_net).  */

#ifndef SASSAFRAS_LEADER_PLACEMENT_H
#define SASSAFRAS_LEADER_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Rounds measured in a term before a decision, 300 ms apart: a new leader calls all workers once,
   1,100 in 2.75 s, and its rounds are slow meanwhile.  */
#define LEADER_PLACEMENT_MIN_ROUNDS 11
/* A round trip between the users' regions takes 60 ms, one within a region 2 ms and two disk writes
   of 6 ms.  */
#define LEADER_PLACEMENT_SLOW_MS 45
#define LEADER_PLACEMENT_BACKOFF_MS 300000      /* first one; a transfer costs 1 to 2 s of starts */
#define LEADER_PLACEMENT_MAX_BACKOFF_MS 3600000 /* upper limit of the back-off */

/* Another voter, and the shortest time in which it answered; INT64_MAX if unknown.  */
struct voter_distance
{
  uint64_t node;
  int64_t answer_ms;
};

struct leader_placement
{
  unsigned rounds;     /* quorum rounds in this term */
  int64_t shortest_ms; /* shortest of these rounds */
  int64_t backoff_ms;  /* back-off after the next transfer */
  int64_t backoff_until_ms;
};

void leader_placement_init (struct leader_placement *p);    /* No transfer so far. */
void leader_placement_elected (struct leader_placement *p); /* This VM became leader. */
bool leader_placement_round (struct leader_placement *p, int64_t now_ms,
                             int64_t duration_ms); /* A quorum answered; true: transfer now. */
/* The voter among OTHERS that completes a quorum together with this voter, by distance; sorts
   OTHERS, at least one.  */
struct voter_distance leader_placement_quorum (struct voter_distance *others, size_t count);
/* As leader_placement_round; the quorum is complete with a voter at that distance.  */
bool leader_placement_far_round (struct leader_placement *p, int64_t now_ms, int64_t duration_ms,
                                 int64_t distance_ms);

#endif
