/* peer_net: typed messages between the daemons, as ONC RPC calls with record marking over TCP.

   Every VM dials each of its peers and sends its own calls on that connection; answers come back on
   the same connection.  Two VMs thus share two connections, one for each direction.  The first call
   on a connection is the hello.  It is refused, and counted, when it names another deployment, a
   VM that is not in the list of peers, a node that belongs to another VM, or an earlier incarnation
   than one already seen.

   A peer is addressed by its node.  The node of a peer may be given as 0 when it is not known yet;
   its hello sets it, and replaces it when the peer comes back with a new disk.

   Delivery: raft messages and orders are one-way and may be dropped, never reordered on one
   connection.  A call reports its result exactly once, from the loop and never from inside the
   function that started it.  When a call fails, the kind of the status tells whether it may have
   run.  These did not run: NOT_FOUND (no such peer), NO_QUORUM (no connection, or lost before it
   was sent), OVERLOADED (the queue was full, or the peer refused), TOO_LARGE (over the record
   limit), BAD_REQUEST (the peer could not decode or serve it).  OUTCOME_UNKNOWN may have run: it
   was sent, then no answer came in time or the link was lost.

   Bounds: records have at most PEER_MAX_RECORD_BYTES, the queue of a peer at most
   PEER_QUEUE_BYTES and PEER_QUEUE_RECORDS.  A connection on which nothing arrives for
   PEER_SILENCE_MS is closed; when idle, a null call goes out every PEER_KEEPALIVE_MS.

   Handlers and callbacks run on the loop.  They may call any function of this header except
   peer_net_close.  Arguments are valid only until the handler returns.  Strings in messages to be
   sent must not be NULL, except the message of a propose_reply.  */

#ifndef SASSAFRAS_PEER_NET_H
#define SASSAFRAS_PEER_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "clock.h"
#include "peer_proto.h"
#include "status.h"

#define PEER_MAX_RECORD_BYTES (4 * 1024 * 1024) /* largest call or reply */
#define PEER_QUEUE_BYTES (8 * 1024 * 1024)      /* waiting to be sent to one peer */
#define PEER_QUEUE_RECORDS 4096                 /* messages waiting to be sent to one peer */
#define PEER_MAX_OPEN_CALLS 1024                /* unanswered calls, each way, for one peer */
#define PEER_SILENCE_MS 3000                    /* a connection silent for longer is closed */
#define PEER_KEEPALIVE_MS 1000                  /* null call after this long without input */

struct peer_net;   /* one listening address and its peers */
struct peer_reply; /* an incoming call that waits for its answer */

struct peer_config
{
  const char *name;    /* VM name */
  uint64_t node;       /* member id, 0 when unknown */
  const char *address; /* "ip:port" */
};

struct peer_stats
{
  uint64_t sent_messages;
  uint64_t sent_bytes; /* with record marks, without TCP and IP headers */
  uint64_t received_messages;
  uint64_t received_bytes;
  uint64_t dropped_raft;   /* raft messages dropped: queue full or no connection */
  uint64_t failed_calls;   /* calls that ended without a reply */
  uint64_t refused_hellos; /* hellos under this VM's name that were refused */
  uint64_t connects;       /* connections whose hello the peer accepted */
  uint64_t silent_closes;  /* connections closed because nothing arrived */
};

struct peer_info
{
  const char *name;
  const char *data_centre; /* "" before the first hello */
  uint64_t node;           /* 0 when unknown */
  uint64_t incarnation;    /* highest seen, 0 before the first hello */
  bool initialized;        /* as in the last hello */
  bool connected;          /* calls to the peer can be sent */
  struct peer_stats stats;
};

/* Incoming messages.  A NULL handler refuses its calls.  Each call handed to propose, permit or
   runners must be answered exactly once, now or later, by the matching peer_reply function.  */
struct peer_handlers
{
  void (*raft) (void *arg, const struct peer_info *from, const raft_message *message);
  void (*propose) (void *arg, const struct peer_info *from, const propose_args *args,
                   struct peer_reply *reply);
  void (*permit) (void *arg, const struct peer_info *from, const permit_request *request,
                  struct peer_reply *reply);
  void (*runners) (void *arg, const struct peer_info *from, const runner_digest *digest,
                   struct peer_reply *reply);
  void (*orders) (void *arg, const struct peer_info *from, const peer_orders *orders);
  /* The connection to PEER became usable, or PEER showed a new incarnation.  */
  void (*hello) (void *arg, const struct peer_info *peer);
  /* The usable connection to PEER ended.  */
  void (*lost) (void *arg, const struct peer_info *peer);
};

struct peer_net_config
{
  const char *deployment;
  const char *vm;
  const char *data_centre;
  uint64_t node;
  uint64_t incarnation;
  bool initialized;
  const char *listen_address;      /* "ip:port"; port 0 takes a free one */
  const struct peer_config *peers; /* an entry with our own name is ignored */
  size_t peer_count;
  struct clock *clock; /* NULL: clock_real () */
  uint64_t seed;       /* of the backoff jitter */
  struct peer_handlers handlers;
  void *handler_arg;
};

/* Results of calls: REPLY is NULL unless ST is OK.  */
typedef void peer_propose_done (void *arg, const struct status *st, const propose_reply *reply);
typedef void peer_permit_done (void *arg, const struct status *st, const permit_grant *grant);
typedef void peer_runners_done (void *arg, const struct status *st,
                                const runner_digest_reply *reply);

struct peer_net *peer_net_open (struct ev_loop *loop, const struct peer_net_config *config,
                                struct status *st); /* Copies CONFIG; NULL and ST on failure. */
void peer_net_close (struct peer_net *net);         /* Frees; open calls end without a callback.  */
int peer_net_port (const struct peer_net *net);     /* Port in use. */
void peer_net_tick (struct peer_net *net); /* Runs what is due; the loop calls it every 50 ms. */
void peer_net_set_identity (struct peer_net *net, uint64_t node,
                            bool initialized); /* For the hellos sent from now on. */
int peer_net_set_peer (struct peer_net *net, const struct peer_config *peer,
                       struct status *st); /* Adds a peer or changes its address. */
void peer_net_remove_peer (struct peer_net *net, const char *name); /* No lost callback. */
size_t peer_net_peer_count (const struct peer_net *net);            /* Peers in the list. */
bool peer_net_peer_at (const struct peer_net *net, size_t i,
                       struct peer_info *out); /* The I-th peer; strings live until it changes. */
bool peer_net_peer (const struct peer_net *net, uint64_t node,
                    struct peer_info *out);             /* The peer with this node. */
uint64_t peer_net_refused (const struct peer_net *net); /* Refused hellos of any sender. */

void peer_send_raft (struct peer_net *net, const raft_message *message); /* To MESSAGE->to. */
bool peer_send_orders (struct peer_net *net, uint64_t node,
                       const peer_orders *orders); /* False: surely not sent. */
void peer_call_propose (struct peer_net *net, uint64_t node, const propose_args *args,
                        int64_t timeout_ms, peer_propose_done *done, void *arg); /* Proposes. */
void peer_call_permit (struct peer_net *net, uint64_t node, const permit_request *request,
                       int64_t timeout_ms, peer_permit_done *done, void *arg); /* Asks. */
void peer_call_runners (struct peer_net *net, uint64_t node, const runner_digest *digest,
                        int64_t timeout_ms, peer_runners_done *done, void *arg); /* Announces. */

void peer_reply_propose (struct peer_reply *reply, const propose_reply *result); /* Answers. */
void peer_reply_permit (struct peer_reply *reply, const permit_grant *grant);    /* Answers. */
void peer_reply_runners (struct peer_reply *reply,
                         const runner_digest_reply *result); /* Answers. */
void peer_reply_refuse (struct peer_reply *reply);           /* Not run; the caller may repeat. */

#endif
