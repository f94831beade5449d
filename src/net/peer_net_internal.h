/* peer_net_internal: private declarations shared by the files of peer_net.

   A connection (struct conn) is either outbound (dialed by this VM; carries its calls and their
   answers) or inbound (dialed by the peer; carries the peer's calls and the answers to them).
   conn_close only unlinks a connection: the deferred watcher frees connections and removed peers,
   so that callers up the stack can still read conn->closed.  */

#ifndef SASSAFRAS_PEER_NET_INTERNAL_H
#define SASSAFRAS_PEER_NET_INTERNAL_H

#include <sys/queue.h>

#include "buffer.h"
#include "counters.h"
#include "peer_codec.h"
#include "peer_net.h"
#include "rng.h"

#define TICK_MS 50
#define READ_BYTES (256 * 1024) /* bytes read from one connection per event, for fairness */

enum conn_state
{
  CONN_CONNECTING, /* outbound: connect () in progress */
  CONN_HELLO,      /* outbound: hello sent; inbound: awaiting the hello */
  CONN_READY,      /* the hello was accepted */
  CONN_DRAINING,   /* inbound: refused; closed once the refusal is written */
};

enum record_kind
{
  RECORD_CONTROL, /* hello, keepalive, answers */
  RECORD_RAFT,    /* may be dropped while queued */
  RECORD_CALL,
};

struct call;

/* An encoded message in the send queue.  */
struct record
{
  enum record_kind kind;
  char *bytes;
  size_t len;
  size_t written;
  struct call *call; /* RECORD_CALL only; NULL once the call has ended */
  TAILQ_ENTRY (record) link;
};

union call_done
{
  peer_propose_done *propose;
  peer_permit_done *permit;
  peer_runners_done *runners;
};

/* An outgoing call, linked to its connection or to peer_net.ended_calls.  */
struct call
{
  uint32_t xid;
  uint32_t proc;
  int64_t deadline_ms;
  struct record *record; /* while queued */
  bool sent;             /* at least one byte was written */
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
  struct conn *conn; /* NULL once the connection is closed */
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
  bool dirty; /* linked to peer_net.dirty */
  enum conn_state state;
  int events; /* events that io watches */
  ev_io io;
  struct buffer input; /* bytes of an incomplete record */
  struct record_list send_queue;
  size_t queued_bytes;
  unsigned queued_records;
  int64_t last_received_ms;  /* time of the last input, or of the opening */
  int64_t last_keepalive_ms; /* time of the last keepalive sent */
  uint32_t hello_xid;
  uint32_t probe_xid;    /* of the last hello or keepalive */
  int64_t probe_sent_ms; /* 0 once it is answered */
  uint64_t incarnation;  /* of the peer, from this connection's hello */
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
  bool lost;           /* the lost callback is pending */
  bool refusal_logged; /* consecutive refusals are logged once */
  struct conn *out;
  struct conn *in;
  int64_t next_dial_ms; /* time of the next attempt */
  int64_t backoff_ms;   /* upper bound of the next delay */
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
  ev_prepare flush;    /* never started; fed when connections have output queued */
  ev_prepare deferred; /* never started; fed when callbacks or frees are pending */
  struct peer_list peers;
  size_t peer_count;
  struct peer_list removed; /* freed by the deferred watcher */
  struct conn_list conns;
  struct conn_list closed_conns; /* freed by the deferred watcher */
  STAILQ_HEAD (dirty_list, conn) dirty;
  struct call_list ended_calls; /* their callbacks are pending */
  unsigned awaiting_hello;      /* inbound connections before their hello */
  uint32_t next_xid;
  uint64_t refused_hellos;
  int64_t last_tick_ms;
  char last_refusal[PEER_NAME_BYTES + 1]; /* sender in the last log line about a refusal */
  char *scratch;                          /* read buffer of READ_BYTES */
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
void peer_defer (struct peer_net *net);         /* Schedules the deferred watcher. */
void peer_run_callbacks (struct peer_net *net); /* Runs pending callbacks. */

/* peer_net_conn.c */
struct conn *conn_open (struct peer_net *net, int fd, struct peer *peer,
                        enum conn_state state);       /* Inbound when PEER is NULL. */
void conn_close (struct conn *c, const char *reason); /* Fails its calls; REASON is logged. */
void conn_free (struct conn *c);                      /* Frees a closed connection. */
int conn_queue (struct conn *c, enum record_kind kind, char *bytes, size_t len,
                struct call *call);                   /* Takes ownership of BYTES; -1 when full. */
void conn_dequeue (struct conn *c, struct record *r); /* Removes and frees R. */
void conn_watch (struct conn *c, int events);         /* Sets the events of io. */
void conn_flush_dirty (struct peer_net *net);         /* Writes queued output. */

/* peer_net_link.c */
void link_connected (struct conn *c); /* connect () has completed. */
void link_dial_due (struct peer_net *net, struct peer *p, int64_t now_ms); /* Dials if due. */
void link_back_off (struct peer_net *net, struct peer *p); /* Schedules the next dial. */
void link_answered (struct conn *c, uint32_t xid);         /* A call with XID was answered. */
void link_keepalive (struct conn *c, int64_t now_ms);      /* Sends a null call when idle. */
int link_receive_hello (struct conn *c, const struct peer_header *h, const char *body,
                        size_t len); /* Inbound. */
int link_receive_hello_reply (struct conn *c, const struct peer_header *h, const char *body,
                              size_t len); /* Outbound. */

/* peer_net_calls.c */
int calls_receive (struct conn *c, const char *data, size_t len); /* -1: malformed. */
void calls_fail_all (struct conn *c, const char *reason);         /* Fails all open calls. */
void calls_expire (struct conn *c, int64_t now_ms);               /* Fails overdue calls. */
void calls_complete (struct call *call); /* Runs the callback, then frees. */
void calls_free (struct call *call);     /* Frees without a callback. */

#endif
