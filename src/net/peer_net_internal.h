/* peer_net_internal: what the files of peer_net share; no other module includes it.

   A connection (struct conn) is either outbound (we dialed; carries our calls and their answers) or
   inbound (the peer dialed; carries its calls and our answers).  Closing a connection only unlinks
   it: the memory of connections and removed peers is released by the deferred watcher, so that code
   up the call stack may still look at conn->closed.  */

#ifndef SASSAFRAS_PEER_NET_INTERNAL_H
#define SASSAFRAS_PEER_NET_INTERNAL_H

#include <sys/queue.h>

#include "buffer.h"
#include "counters.h"
#include "peer_codec.h"
#include "peer_net.h"
#include "rng.h"

#define TICK_MS 50
#define READ_BYTES (256 * 1024) /* read from one connection before others get their turn */

enum conn_state
{
  CONN_CONNECTING, /* outbound: connect () is under way */
  CONN_HELLO,      /* outbound: hello sent; inbound: hello awaited */
  CONN_READY,      /* the hello was accepted */
  CONN_DRAINING,   /* inbound: refused; closes once the refusal is written */
};

enum record_kind
{
  RECORD_CONTROL, /* hello, keepalive, answers */
  RECORD_RAFT,    /* may be dropped while it waits */
  RECORD_CALL,
};

struct call;

/* One encoded message that waits to be written.  */
struct record
{
  enum record_kind kind;
  char *bytes;
  size_t len;
  size_t written;
  struct call *call; /* of RECORD_CALL, NULL once the call ended */
  TAILQ_ENTRY (record) link;
};

union call_done
{
  peer_propose_done *propose;
  peer_permit_done *permit;
  peer_runners_done *runners;
};

/* One of our calls, on its connection's list or on the list of ended calls.  */
struct call
{
  uint32_t xid;
  uint32_t proc;
  int64_t deadline_ms;
  struct record *record; /* while it waits to be written */
  bool sent;             /* a byte of it was written */
  struct status status;
  union peer_body result; /* when status is OK */
  union call_done done;
  void *arg;
  TAILQ_ENTRY (call) link;
};

TAILQ_HEAD (call_list, call);
TAILQ_HEAD (record_list, record);

struct peer_reply
{
  struct conn *conn; /* NULL once the connection ended */
  uint32_t xid;
  uint32_t proc;
  LIST_ENTRY (peer_reply) link;
};

struct conn
{
  struct peer_net *net;
  struct peer *peer; /* inbound: NULL before the hello */
  bool outbound;
  bool closed;
  bool dirty; /* on the list of connections to write */
  enum conn_state state;
  int events; /* what io watches */
  ev_io io;
  struct buffer in; /* bytes of an incomplete record */
  struct record_list out;
  size_t out_bytes;
  unsigned out_records;
  int64_t received_ms;  /* when a byte last arrived, or the connection began */
  int64_t keepalive_ms; /* when the last keepalive was sent */
  uint32_t hello_xid;
  uint64_t incarnation; /* of the peer, as this connection's hello said */
  struct call_list calls;
  unsigned open_calls;
  LIST_HEAD (reply_list, peer_reply) replies;
  unsigned open_replies;
  LIST_ENTRY (conn) link;
  STAILQ_ENTRY (conn) dirty_link;
};

LIST_HEAD (conn_list, conn);

struct peer
{
  char *name;
  char *address;
  char *data_centre;
  uint64_t node;
  uint64_t incarnation;
  bool initialized;
  bool lost;           /* the lost callback is due */
  bool refusal_logged; /* one line per row of refusals */
  struct conn *out;
  struct conn *in;
  int64_t dial_ms;    /* when to dial next */
  int64_t backoff_ms; /* upper end of the next delay */
  struct peer_stats stats;
  TAILQ_ENTRY (peer) link;
};

TAILQ_HEAD (peer_list, peer);

struct peer_net
{
  struct ev_loop *loop;
  struct peer_net_config config;
  struct clock *clock;
  struct rng rng;
  char *deployment;
  char *vm;
  char *data_centre;
  int listen_fd;
  int port;
  ev_io accept_io;
  ev_timer timer;
  ev_prepare flush;    /* never started; fed when connections have something to write */
  ev_prepare deferred; /* never started; fed when callbacks or memory are due */
  struct peer_list peers;
  size_t peer_count;
  struct peer_list removed; /* freed by the deferred watcher */
  struct conn_list conns;
  struct conn_list dead; /* freed by the deferred watcher */
  STAILQ_HEAD (dirty_list, conn) dirty;
  struct call_list ended; /* their callback is due */
  unsigned greeting;      /* inbound connections before their hello */
  uint32_t next_xid;
  uint64_t refused;
  int64_t ticked_ms;
  char last_refusal[PEER_NAME_BYTES + 1]; /* name in the last log line about a refusal */
  char *scratch;                          /* READ_BYTES, for one read */
};

extern struct counter peer_sent_bytes;
extern struct counter peer_sent_messages;
extern struct counter peer_received_bytes;
extern struct counter peer_received_messages;
extern struct counter peer_dropped_raft;
extern struct counter peer_failed_calls;
extern struct counter peer_refused_hellos;
extern struct counter peer_silent_closes;
extern struct counter peer_malformed;

/* peer_net.c */
struct peer *peer_find_name (struct peer_net *net, const char *name); /* NULL: none. */
struct peer *peer_find_node (struct peer_net *net, uint64_t node);    /* NULL: none. */
void peer_fill_info (const struct peer *p, struct peer_info *out);    /* For callbacks. */
void peer_defer (struct peer_net *net);   /* Feeds the deferred watcher. */
void peer_deliver (struct peer_net *net); /* Runs the callbacks that are due. */

/* peer_net_conn.c */
struct conn *conn_open (struct peer_net *net, int fd, struct peer *peer,
                        enum conn_state state);       /* Inbound when PEER is NULL. */
void conn_close (struct conn *c, const char *reason); /* Ends its calls; REASON is logged. */
void conn_free (struct conn *c);                      /* Releases a closed connection. */
int conn_queue (struct conn *c, enum record_kind kind, char *bytes, size_t len,
                struct call *call);                   /* Takes BYTES; -1 when the queue is full. */
void conn_unqueue (struct conn *c, struct record *r); /* Drops a record. */
void conn_watch (struct conn *c, int events);         /* Sets the events of io. */
void conn_flush_dirty (struct peer_net *net);         /* Writes what is queued. */

/* peer_net_link.c */
void link_connected (struct conn *c); /* connect () has ended. */
void link_dial_due (struct peer_net *net, struct peer *p, int64_t now_ms); /* Dials if due. */
void link_back_off (struct peer_net *net, struct peer *p); /* Sets the next dial time. */
void link_keepalive (struct conn *c, int64_t now_ms);      /* Null call when idle. */
int link_receive_hello (struct conn *c, const struct peer_header *h, const char *body,
                        size_t len); /* Inbound. */
int link_receive_hello_reply (struct conn *c, const struct peer_header *h, const char *body,
                              size_t len); /* Outbound. */

/* peer_net_calls.c */
int calls_receive (struct conn *c, const char *data, size_t len); /* -1: malformed. */
void calls_fail_all (struct conn *c, const char *reason);         /* The connection ended. */
void calls_expire (struct conn *c, int64_t now_ms);               /* Deadlines passed. */
void calls_deliver (struct call *call);                           /* Runs its callback, frees it. */
void calls_free (struct call *call);                              /* Frees without a callback. */

#endif
