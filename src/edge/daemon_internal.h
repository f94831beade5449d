/* daemon_internal: state and functions shared by the files of the daemon.  */

#ifndef SASSAFRAS_DAEMON_INTERNAL_H
#define SASSAFRAS_DAEMON_INTERNAL_H

#include <sys/queue.h>

#include <ev.h>

#include "cell_service.h"
#include "daemon.h"
#include "group.h"
#include "http_server.h"
#include "intent_log.h"
#include "job_api.h"
#include "limit.h"
#include "operator_api.h"
#include "peer_net.h"
#include "proposal_router.h"
#include "proxy.h"
#include "registry_service.h"
#include "router.h"
#include "runner_api.h"
#include "runner_table.h"
#include "worker_api.h"

/* One replicated group on this VM.  */
struct daemon_group
{
  struct daemon *daemon;
  uint64_t id;
  struct group *group;
  struct cell_service *cell; /* NULL for the registry */
};

struct digest_call;

struct daemon
{
  const struct settings *settings;
  struct ev_loop *loop;
  struct clock *clock;
  struct rng rng;
  uint64_t node;
  uint64_t incarnation;
  const registry_member *self; /* in the members file */
  bool has_disk;               /* this VM stores state on disk */

  struct connection_limit connections; /* of all servers */
  struct memory_budget bodies;         /* of all servers but the proxy */
  struct peer_net *net;
  struct registry *registry;
  struct registry_service *registry_service;
  struct proposal_router *proposals;
  struct daemon_group groups[PROPOSAL_MAX_GROUPS];
  size_t group_count;
  bool groups_open;
  struct cell_service *cells[PROPOSAL_MAX_GROUPS];
  size_t cell_count;
  bool initialized;              /* this VM has stored state; reported to the peers */
  bool registry_known;           /* has caught up with a leader of the registry since the start */
  int64_t registry_caught_up_ms; /* time since which all known commits are applied */

  struct runner_table *runners;
  LIST_HEAD (, digest_call) digest_calls; /* without an answer */
  struct router router;
  struct limit *limit;
  struct intent_log intents;
  struct proxy *proxy;
  struct http_server *backend_server;
  struct http_server *operator_server;
  struct runner_api runner_api;
  struct worker_api worker_api;
  struct job_api job_api;
  struct operator_api *operator_api;
  uint64_t runners_generation;

  ev_timer tick;
  ev_timer drain_timer;
  ev_prepare flush;
  ev_idle flush_idle; /* no-op; keeps the loop from blocking while a group needs a flush */
  ev_signal on_term;
  ev_signal on_int;
  ev_signal on_dump;
  bool stopping;
  bool proxy_drained;
  int64_t stop_deadline_ms;
  int64_t next_transfer_ms; /* while this VM is draining */
};

/* daemon_groups.c */
int daemon_open_peers (struct daemon *d, struct status *st); /* Transport and bootstrap. */
int daemon_bootstrap (struct daemon *d,
                      struct status *st);    /* Opens the groups once known whether they exist. */
void daemon_flush_groups (struct daemon *d); /* Disk writes and messages. */
void daemon_tick_groups (struct daemon *d, int64_t now_ms); /* Timers of groups and services. */
void daemon_close_groups (struct daemon *d);                /* Groups, then services. */
void daemon_update_peers (struct daemon *d);                /* Peer addresses. */
bool daemon_leads_any_group (const struct daemon *d);       /* Leads any group. */
bool daemon_is_draining (const struct daemon *d);           /* Drained by operators. */
void daemon_transfer_leadership (struct daemon *d);         /* All groups led by this VM. */

/* daemon_requests.c */
int daemon_open_requests (struct daemon *d, struct status *st); /* Opens the caller side. */
void daemon_tick_requests (struct daemon *d, int64_t now_ms);   /* Runner table and digests. */
void daemon_update_entries (struct daemon *d);                  /* Recounts the entry VMs. */
void daemon_receive_runners (struct daemon *d, const struct peer_info *from,
                             const runner_digest *digest, struct peer_reply *reply);
void daemon_peer_connected (struct daemon *d, const struct peer_info *peer);
void daemon_close_requests (struct daemon *d);

/* daemon_http.c */
int daemon_open_http (struct daemon *d, struct status *st); /* Backend and operator servers. */
void daemon_close_http (struct daemon *d);
json_t *daemon_state (struct daemon *d); /* Complete state, for operators. */

#endif
