/* sassafras: all modules at a glance.  Each header can be used alone; its declarations carry a
   one-line comment each.  Pure modules do no I/O and take the time as now_ms.  */

#ifndef SASSAFRAS_H
#define SASSAFRAS_H

/* Base.  */
#include "buffer.h"      /* growable byte string */
#include "clock.h"       /* real and manual clock, milliseconds */
#include "incarnation.h" /* a number that grows with every start */
#include "counters.h"    /* counters, histograms, Prometheus text */
#include "json_check.h"  /* files that people edit, every fault reported */
#include "json_fields.h" /* fields of a JSON object, the first fault named */
#include "log.h"         /* leveled lines for changes of state */
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
#include "registry_service.h" /* the group at work */

/* Cell: jobs, tasks, workers.  */
#include "cell.h"           /* pure: state machine */
#include "cell_service.h"   /* the group at work */
#include "cell_transfers.h" /* tasks between cells */
#include "eviction.h"       /* pure: which batch task stops */
#include "held_polls.h"     /* pure: polls that wait for commands */
#include "home_cell.h"      /* pure: home of a request id */
#include "interference.h"   /* pure: slowdown per service and class */
#include "placement.h"      /* pure: which worker */
#include "scheduler.h"      /* pure: what runs where */
#include "task_queue.h"     /* pure: shares and deadlines */
#include "worker_health.h"  /* pure: failing workers and failing jobs */

/* Workflow: jobs with steps on workers that the leader calls.  */
#include "dispatcher.h"       /* pure: what runs where, leases, settled orders */
#include "leader_placement.h" /* pure: when leadership moves closer to its quorum */
#include "size_share.h"       /* pure: how often jobs of each size start */
#include "waiting_order.h"    /* pure: which waiting task goes first */
#include "slack_model.h"      /* pure: how fill-in images lower the slack of serving ones */
#include "leader_relay.h"     /* requests to the leader */
#include "pacing.h"           /* pure: share of fill-in work on a worker */
#include "seeded_group.h"     /* a group that bootstraps from seeds */
#include "worker_select.h"    /* pure: which worker gets a task */
#include "voter_plan.h"       /* pure: which members vote */
#include "worker_link.h"      /* interface: orders to workers */
#include "workflow.h"         /* pure: state machine */
#include "workflow_service.h" /* the group at work */

/* Requests of callers.  */
#include "admission.h"    /* pure: bounded queue */
#include "intent_log.h"   /* intents over the replicated log */
#include "limit.h"        /* pure: limits of customers over all entries */
#include "proxy.h"        /* from the caller to a runner and back */
#include "retry.h"        /* pure: safe retries, budget, timeouts */
#include "router.h"       /* pure: which runner */
#include "runner_table.h" /* pure: runners known here */

/* Edges.  */
#include "daemon.h"          /* the process */
#include "http_client.h"     /* libcurl multi on libev */
#include "http_server.h"     /* libmicrohttpd on libev */
#include "job_api.h"         /* endpoints for jobs */
#include "operator_api.h"    /* endpoints for operators */
#include "peer_net.h"        /* ONC RPC between the daemons */
#include "propose_command.h" /* one typed command to its group */
#include "proposal_router.h" /* commands to the leader of their group */
#include "runner_api.h"      /* endpoints for runners */
#include "worker_api.h"      /* endpoints for workers */

#endif
