/* peer_net: typed messages between the daemons, as ONC RPC calls with record marking over TCP.

   Every VM dials each of its peers and sends its own calls on that connection; the peer answers on
   the same connection.  Two VMs therefore share two connections, one per direction.  The first call
   on a connection is the hello.  It is refused, and counted, when it names another deployment, a
   VM that is not in the list of peers, a node that belongs to another VM, or an incarnation lower
   than one already seen.

   A peer is addressed by its node.  The node of a peer may be configured as 0 when it is unknown;
   its hello sets the node, and replaces it when the peer returns with a new disk.

   Delivery: raft messages and orders are one-way; they may be dropped, but are never reordered on
   one connection.  A call reports its result exactly once, from the loop and never from within the
   function that started it.  The status kind of a failed call tells whether it may have been
   executed.  Not executed: NOT_FOUND (no such peer), NO_QUORUM (no connection, or lost before the
   call was sent), OVERLOADED (the queue was full, or the peer refused), TOO_LARGE (over the record
   limit), BAD_REQUEST (the peer could not decode or serve it).  Possibly executed: OUTCOME_UNKNOWN
   (sent, but the call timed out or the connection was lost before an answer).

   Bounds: a record has at most PEER_MAX_RECORD_BYTES, the queue of a peer at most
   PEER_QUEUE_BYTES and PEER_QUEUE_RECORDS.  A connection on which nothing arrives for
   PEER_RECEIVE_TIMEOUT_MS is closed; one without answers gets a null call every PEER_KEEPALIVE_MS,
   also when one-way messages are sent on it.

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

#define PEER_MAX_RECORD_BYTES (4 * 1024 * 1024) /* maximum size of a call or reply */
#define PEER_QUEUE_BYTES (8 * 1024 * 1024)      /* queued for one peer */
#define PEER_QUEUE_RECORDS 4096                 /* messages queued for one peer */
#define PEER_MAX_OPEN_CALLS 1024                /* unanswered calls per peer and direction */
#define PEER_RECEIVE_TIMEOUT_MS 3000            /* a connection without input this long is closed */
#define PEER_KEEPALIVE_MS 1000                  /* null call after this time without input */

struct peer_net;   /* one listening address and its peers */
struct peer_reply; /* an incoming call that awaits its answer */

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
  uint64_t refused_hellos; /* hellos and hello replies refused, of the peer or of this VM */
  uint64_t connects;       /* connections whose hello the peer accepted */
  uint64_t silent_closes;  /* connections closed by the receive timeout */
  /* Shortest time until a hello or null call was answered, INT64_MAX before the first: the distance
     of the peer, as some of these calls find both VMs idle.  */
  int64_t shortest_answer_ms;
};

struct peer_info
{
  const char *name;
  const char *data_centre; /* "" before the first hello */
  uint64_t node;           /* 0 when unknown */
  uint64_t incarnation;    /* highest seen, 0 before the first hello */
  bool initialized;        /* from the last hello */
  bool connected;          /* calls to the peer can be sent */
  struct peer_stats stats;
};

/* Handlers of incoming messages.  A NULL handler refuses its calls.  Calls to propose, permit and
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
  const char *listen_address;      /* "ip:port"; port 0 selects a free port */
  const struct peer_config *peers; /* an entry with this VM's name is ignored */
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
void peer_net_close (struct peer_net *net);         /* Drops open calls without callbacks.  */
int peer_net_port (const struct peer_net *net);     /* Listening port. */
void peer_net_tick (struct peer_net *net);          /* Timeouts and dialing; called every 50 ms. */
void peer_net_set_identity (struct peer_net *net, uint64_t node,
                            bool initialized); /* Used by later hellos. */
int peer_net_set_peer (struct peer_net *net, const struct peer_config *peer,
                       struct status *st); /* Adds a peer or changes its address. */
void peer_net_remove_peer (struct peer_net *net, const char *name); /* No lost callback. */
size_t peer_net_peer_count (const struct peer_net *net);            /* Peers in the list. */
bool peer_net_peer_at (const struct peer_net *net, size_t i,
                       struct peer_info *out); /* The I-th peer; strings valid until it changes. */
bool peer_net_peer (const struct peer_net *net, uint64_t node,
                    struct peer_info *out);              /* The peer with this node. */
uint64_t peer_net_refusals (const struct peer_net *net); /* Handshakes refused, either way. */

void peer_send_raft (struct peer_net *net, const raft_message *message); /* To MESSAGE->to. */
bool peer_send_orders (struct peer_net *net, uint64_t node,
                       const peer_orders *orders); /* False: definitely not sent. */
void peer_call_propose (struct peer_net *net, uint64_t node, const propose_args *args,
                        int64_t timeout_ms, peer_propose_done *done,
                        void *arg); /* Proposes a command. */
void peer_call_permit (struct peer_net *net, uint64_t node, const permit_request *request,
                       int64_t timeout_ms, peer_permit_done *done,
                       void *arg); /* Requests a permit. */
void peer_call_runners (struct peer_net *net, uint64_t node, const runner_digest *digest,
                        int64_t timeout_ms, peer_runners_done *done,
                        void *arg); /* Sends the runner table. */

void peer_reply_propose (struct peer_reply *reply, const propose_reply *result);
void peer_reply_permit (struct peer_reply *reply, const permit_grant *grant);
void peer_reply_runners (struct peer_reply *reply, const runner_digest_reply *result);
void peer_reply_refuse (struct peer_reply *reply); /* Not executed; may be repeated. */

#endif
