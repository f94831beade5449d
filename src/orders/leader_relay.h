/* leader_relay: forwards HTTP requests to the current leader and returns its answers.

   A request is sent to the VM that is believed to lead.  A VM that is not the leader answers 307
   with the leader's address, or 421 if it knows none; in both cases it has not processed the
   request.  While no leader is known, requests wait here, and one probe at a time asks the
   candidates in turn.  Every relayed request must be idempotent: an unanswered attempt is repeated
   until the deadline, each time with twice the timeout of the previous one.

   What waits on a member when that member is elected is sent to its own port: the answer is judged
   as that of any other leader.

   A VM that denied a request or did not answer it is asked again by probes only, until it answers
   one as the leader or the group of this VM names another leader.

   At the deadline the status code tells what is known: 503 with Retry-After if no attempt can have
   reached a leader, else 504, because the request may have been executed.  The 503 is sent
   RELAY_MIN_WAIT_MS after the request arrived or RELAY_LEADER_LOST_MS after a leader's last answer,
   whichever is later, so that the caller can retry before its deadline.

   A request for which needs_sender holds is dropped before an attempt if its sender has closed the
   connection: it may be as old as a pause of this process, and undo what its sender did since.  At
   the leader an attempt that was given up here is recognized in the same way.

   A candidate that did not answer is tried last for RELAY_BACKOFF_MS.  The leader names the members
   of its group in each answer to a probe.  They and the seeds are the candidates from then on: the
   seeds may all be replaced while this VM runs.  A VM with a log knows members from it too.  */

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

#define RELAY_HEADER "Sassafras-Relayed" /* on relayed requests: answer 307 or 421, never relay */
/* A leader in another region answers in 150 ms; two attempts fit into the 1 s of a control call. */
#define RELAY_ATTEMPT_MS 450
#define RELAY_PROBE_INTERVAL_MS 40    /* without a leader; an election takes about 1.5 s */
#define RELAY_LEADER_LOST_MS 4000     /* two elections; beyond that another fault is likely */
#define RELAY_MIN_WAIT_MS 500         /* minimum wait before a 503; time for ten probes */
#define RELAY_BACKOFF_MS 1500         /* for a candidate that did not answer */
#define RELAY_JOIN_PATH "/v1/join/"   /* followed by the IP of the joining VM */
#define RELAY_PROBE_PATH "/v1/leader" /* answered 200 by the leader */
#define RELAY_MAX_CANDIDATES 32
#define RELAY_MAX_HEADERS 4 /* forwarded from the request */

struct leader_relay;

struct leader_relay_config
{
  struct ev_loop *loop;
  struct clock *clock;
  const char *own_ip; /* a target only while LEADER names it */
  int port;           /* of the relayed interface, the same on every candidate */
  char seeds[SEEDED_GROUP_MAX_SEEDS][SEEDED_GROUP_IP_BYTES];
  size_t seed_count;
  const char *const *headers; /* names of forwarded headers, NULL-terminated */
  /* Stores the leader known to this VM in IP, OWN_IP if this VM accepts requests as the leader;
     NULL on a VM outside the group.  */
  bool (*leader) (void *arg, char ip[SEEDED_GROUP_IP_BYTES]);
  /* REQ must not be executed once its sender has gone; NULL: holds for no request.  */
  bool (*needs_sender) (const struct http_request *req);
  void (*probe_answered) (void *arg, const char *ip); /* IP answered 200: it leads; may be NULL */
  void *arg;
};

struct leader_relay *leader_relay_open (const struct leader_relay_config *config);
void leader_relay_close (struct leader_relay *r); /* Pending requests are not answered. */
void leader_relay_send (struct leader_relay *r, struct http_request *req,
                        int64_t budget_ms); /* Answers REQ within BUDGET_MS. */
void leader_relay_finish_by (struct leader_relay *r,
                             int64_t finish_by_ms); /* For current and later requests. */
void leader_relay_add_candidates (struct leader_relay *r, const char (*ips)[SEEDED_GROUP_IP_BYTES],
                                  size_t count); /* Until the leader names its members. */
void leader_relay_probe (struct leader_relay *r, const char *method,
                         const char *path); /* One at a time; presumed leader or next candidate. */
int64_t leader_relay_last_answer_ms (const struct leader_relay *r); /* Leader's last answer. */
void leader_relay_refuse (struct http_request *req, const char *leader_ip,
                          int port); /* 307 to LEADER_IP, or 421 if it is NULL. */
void leader_relay_confirm (struct http_request *req, const char (*members)[SEEDED_GROUP_IP_BYTES],
                           size_t count); /* Leader's 200 to a probe; names MEMBERS. */

#endif
