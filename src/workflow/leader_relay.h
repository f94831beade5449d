/* leader_relay: brings HTTP requests to the VM that leads, wherever that is, and its answers back.

   The relay sends a request to the VM it believes to lead.  A VM that does not lead answers 307
   with the leader's address, or 421 when it knows none; neither has done anything.  While no leader
   is known requests wait here, and one probe at a time asks the candidates in turn.  Every relayed
   request must be safe to repeat: an attempt without an answer is made again until the time is up,
   each with twice the time of the last.

   When the time is up the answer says what is known: 503 with Retry-After when no attempt can have
   reached a leader, else 504, because the request may have been carried out.  The former comes
   RELAY_HOLD_MS after the request when no leader has been heard for RELAY_LOST_MS: the caller may
   come back, and no time of his is lost.

   A candidate that did not answer is tried last for RELAY_AVOID_MS.  */

#ifndef SASSAFRAS_LEADER_RELAY_H
#define SASSAFRAS_LEADER_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "seeded_group.h"

#define RELAY_HEADER "Sassafras-Relayed" /* on relayed requests: answer 307 or 421, don't relay */
/* A leader across regions answers in 150 ms; two attempts fit into the second of a control call. */
#define RELAY_ATTEMPT_MS 450
#define RELAY_PAUSE_MS 40   /* between probes when nobody leads: an election takes about 1.5 s */
#define RELAY_LOST_MS 4000  /* without a leader: two elections; then something else is wrong */
#define RELAY_HOLD_MS 500   /* from then on: ten probes */
#define RELAY_AVOID_MS 1500 /* a candidate that didn't answer */
#define RELAY_JOIN_PATH "/v1/join/"   /* and the IP of the VM that asks */
#define RELAY_PROBE_PATH "/v1/leader" /* answered 200 by the leader */
#define RELAY_MAX_CANDIDATES 32
#define RELAY_MAX_HEADERS 4 /* passed on from the request */

struct leader_relay;

struct leader_relay_config
{
  struct ev_loop *loop;
  struct clock *clock;
  const char *own_ip; /* never a target */
  int port;           /* of the relayed interface on every candidate */
  char seeds[SEEDED_GROUP_MAX_SEEDS][SEEDED_GROUP_IP_BYTES];
  size_t seed_count;
  const char *const *headers; /* names passed on, ended by NULL */
  /* Fills IP with the leader as this VM knows it; NULL for a VM outside the group.  */
  bool (*leader) (void *arg, char ip[SEEDED_GROUP_IP_BYTES]);
  void (*answered) (void *arg, const char *ip); /* IP took a probe, so it leads; may be NULL */
  void *arg;
};

struct leader_relay *leader_relay_open (const struct leader_relay_config *config);
void leader_relay_close (struct leader_relay *r); /* Open requests get no answer. */
void leader_relay_send (struct leader_relay *r, struct http_request *req,
                        int64_t budget_ms); /* Answers REQ within BUDGET_MS. */
void leader_relay_finish_by (struct leader_relay *r,
                             int64_t last_ms); /* Answers all, also later ones, by LAST_MS. */
void leader_relay_probe (struct leader_relay *r, const char *method,
                         const char *path); /* A request of this VM's own to the leader. */
int64_t leader_relay_heard_ms (const struct leader_relay *r); /* Last answer of a leader. */
void leader_relay_refuse (struct http_request *req, const char *leader_ip,
                          int port); /* 307 to LEADER_IP, or 421 when it is NULL. */

#endif
