/* sassafras: overview of all modules.  Each header can be included alone and documents each of its
   declarations.  Pure modules do no I/O and take the time as now_ms.  */

#ifndef SASSAFRAS_H
#define SASSAFRAS_H

/* Base.  */
#include "buffer.h"      /* growable byte string */
#include "clock.h"       /* real and manual clock in milliseconds */
#include "incarnation.h" /* a number that increases with every start */
#include "counters.h"    /* counters, histograms, Prometheus text */
#include "json_check.h"  /* validates hand-edited files, reports all faults */
#include "json_fields.h" /* fields of a JSON object, reports the first fault */
#include "log.h"         /* logger with levels, for state changes */
#include "rng.h"         /* seeded random numbers */
#include "settings.h"    /* flags, environment, members file */
#include "status.h"      /* error kinds and the answer to each */

/* Replicated state.  */
#include "group.h"       /* raft + journal + state machine */
#include "journal.h"     /* durable log and snapshot of one group */
#include "machine.h"     /* state machine of a log */
#include "member_sync.h" /* members of a group as the registry lists them */
#include "raft.h"        /* pure: the protocol as a step function */

/* Registry: lists, data centres, members.  */
#include "permit.h"           /* pure: start permits, granter and holder */
#include "plans.h"            /* pure: the two lists */
#include "registry.h"         /* pure: state machine */
#include "registry_service.h" /* runs the registry's group */

/* Cell: jobs, tasks, workers.  */
#include "cell.h"           /* pure: state machine */
#include "cell_service.h"   /* runs a cell's group */
#include "cell_transfers.h" /* transfers tasks between cells */
#include "eviction.h"       /* pure: selects the batch task to stop */
#include "held_polls.h"     /* pure: polls that wait for commands */
#include "home_cell.h"      /* pure: home of a request id */
#include "interference.h"   /* pure: slowdown per service and class */
#include "placement.h"      /* pure: selects a worker */
#include "scheduler.h"      /* pure: places and stops tasks */
#include "task_queue.h"     /* pure: shares and deadlines */
#include "worker_health.h"  /* pure: failing workers and jobs */

/* Workflow: jobs with steps, on workers that the leader calls.  */
#include "dispatcher.h"       /* pure: placement, leases, outcomes of orders */
#include "leader_placement.h" /* pure: when to transfer leadership closer to its quorum */
#include "size_share.h"       /* pure: how often jobs of each size start */
#include "waiting_order.h"    /* pure: order of the waiting tasks */
#include "slack_model.h"      /* pure: how fill-in images lower the slack of serving ones */
#include "leader_relay.h"     /* relays requests to the leader */
#include "pacing.h"           /* pure: share of fill-in work on a worker */
#include "seeded_group.h"     /* a group that bootstraps from seeds */
#include "worker_select.h"    /* pure: selects the worker for a task */
#include "voter_plan.h"       /* pure: which members vote */
#include "worker_link.h"      /* interface: orders to workers */
#include "workflow.h"         /* pure: state machine */
#include "workflow_service.h" /* runs the workflow's group */

/* Requests of callers.  */
#include "admission.h"    /* pure: bounded queue */
#include "intent_log.h"   /* intents over the replicated log */
#include "limit.h"        /* pure: limits of customers across all entry VMs */
#include "proxy.h"        /* forwards requests of callers to runners */
#include "retry.h"        /* pure: safe retries, budget, timeouts */
#include "router.h"       /* pure: selects a runner */
#include "runner_table.h" /* pure: runners known to this VM */

/* Edges.  */
#include "daemon.h"          /* the process */
#include "http_client.h"     /* libcurl multi on libev */
#include "http_server.h"     /* libmicrohttpd on libev */
#include "job_api.h"         /* endpoints for jobs */
#include "operator_api.h"    /* endpoints for operators */
#include "peer_net.h"        /* ONC RPC between the daemons */
#include "propose_command.h" /* proposes a typed command to its group */
#include "proposal_router.h" /* routes commands to the leader of their group */
#include "runner_api.h"      /* endpoints for runners */
#include "worker_api.h"      /* endpoints for workers */

#endif
