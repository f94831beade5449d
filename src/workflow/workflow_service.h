/* workflow_service: runs a workflow group on one VM.

   Connects the state machine, its group and the dispatcher: notifies the dispatcher of leadership
   changes, renews its authority by quorum rounds and commits its proposals.  The owner opens the
   group with workflow_service_machine, passes it to workflow_service_set_group and calls
   workflow_service_tick every DISPATCHER_TICK_MS.

   Outcomes of changes: STATUS_OK, a refusal by the state machine, STATUS_NOT_LEADER (certainly not
   accepted) or STATUS_OUTCOME_UNKNOWN (possibly accepted; every change is idempotent).  */

#ifndef SASSAFRAS_WORKFLOW_SERVICE_H
#define SASSAFRAS_WORKFLOW_SERVICE_H

#include <stdbool.h>

#include "clock.h"
#include "dispatcher.h"
#include "group.h"
#include "leader_placement.h"
#include "workflow.h"

struct workflow_service;

struct workflow_service_config
{
  struct clock *clock;
  struct worker_link *link;
  int64_t lease_ms; /* see dispatcher_config */
  int64_t status_ms;
  uint64_t max_job_bytes; /* memory for all jobs; 0: no limit */
  bool ignore_weights;    /* see dispatcher_config, also for the next two */
  bool await_timeouts;
  double remote_run_factor;
  /* Distances of the other voters, see seeded_group_voter_distances; may be NULL.  */
  size_t (*voter_distances) (void *arg, struct voter_distance *out, size_t size);
  void *arg;
};

/* KNOWN: the submitted job already existed.  */
typedef void workflow_change_done (void *arg, const struct status *st, bool known);

/* The state may be read during this call; ST is not OK if this VM certainly no longer leads.  */
typedef void workflow_read_done (void *arg, const struct status *st);

struct workflow_service *
workflow_service_open (const struct workflow_service_config *config); /* No group yet. */
void workflow_service_close (struct workflow_service *s); /* Call after closing the group. */
struct machine *workflow_service_machine (struct workflow_service *s);
struct workflow *workflow_service_state (struct workflow_service *s);
struct dispatcher *workflow_service_dispatcher (struct workflow_service *s);
void workflow_service_set_group (struct workflow_service *s, struct group *g);
void workflow_service_leader_changed (struct workflow_service *s); /* On the group's event. */
void workflow_service_tick (struct workflow_service *s);
bool workflow_service_leads (const struct workflow_service *s); /* Confirmed, log applied. */
void workflow_service_transfer_leadership (
    struct workflow_service *s); /* Planned stop: no more orders. */
void workflow_service_change (struct workflow_service *s, const workflow_command *c,
                              workflow_change_done *done, void *arg); /* Commits C. */
bool workflow_service_is_submitting (const struct workflow_service *s,
                                     uint64_t job); /* A submission may still be committed. */
bool workflow_service_has_room (
    const struct workflow_service *s,
    const workflow_spec *spec); /* Beside all jobs and the submissions that may be committed. */
/* After a report that WORKER drains, or its departure: calls DONE once the log says so, or when
   there is no need to wait: it has no runs, or does not answer.  ST is not OK if the commit is
   late.  */
void workflow_service_await_drain (struct workflow_service *s, const char *worker,
                                   workflow_read_done *done, void *arg);
void workflow_service_read (struct workflow_service *s, workflow_read_done *done,
                            void *arg); /* Confirms leadership, then calls DONE. */

#endif
