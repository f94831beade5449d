/* proxy_internal: state shared by the files of the proxy.

   proxy.c opens, drains and closes; proxy_caller.c is the server side (libmicrohttpd) towards
   callers; proxy_call.c is the state machine of a request; proxy_try.c is the client side (libcurl)
   towards runners; proxy_service.c has the queue, retry budget and latencies of each service.

   A call exists from its request line until MHD has completed the request, or longer while its
   intent is being recorded or an unrepeatable request's answer is awaited for the record.  */

#ifndef SASSAFRAS_PROXY_INTERNAL_H
#define SASSAFRAS_PROXY_INTERNAL_H

#include <stdbool.h>
#include <sys/queue.h>

#include "admission.h"
#include "http_client.h"
#include "http_server.h"
#include "proxy.h"
#include "proxy_head.h"
#include "retry.h"

#define PROXY_CALL_TRIES 2 /* concurrent tries: the first and its hedge */
#define PROXY_MAX_SERVICES 1024
#define PROXY_BUFFERED_MAX_BYTES 16384 /* largest Content-Length sent only when complete */
#define PROXY_SOCKET_HINTS 4096
#define PROXY_MAX_FD 16384 /* only sockets with a lower descriptor are checked for excess bytes */
#define PROXY_DISCARD_BYTES (16 * 1024 * 1024) /* of an upload after its request has ended */

enum call_stage
{
  CALL_READING,   /* the request is being read */
  CALL_INTENT,    /* the intent is being recorded */
  CALL_QUEUED,    /* waiting for a runner */
  CALL_TRYING,    /* one or two tries, no answer yet */
  CALL_BACKOFF,   /* waiting before the next try */
  CALL_ANSWERING, /* the winning try's answer is being received */
  CALL_ENDED,     /* no answer is expected from a runner any more */
};

enum answer_end
{
  ANSWER_OPEN,
  ANSWER_COMPLETE,
  ANSWER_BROKEN,
};

/* One request sent to one runner.  */
struct proxy_try
{
  struct proxy_call *call;
  struct runner *runner;
  uint64_t incarnation; /* of the runner when the try started */
  CURL *easy;
  struct curl_slist *fields;
  struct head head;
  bool sent;           /* a byte of the request may have reached the runner */
  bool head_discarded; /* aborted after the answer's head: another try replaces it */
  bool stale_runner;   /* the runner departed before the request was sent */
  bool upload_paused;
  bool download_paused;
  size_t upload_pos;        /* bytes of the request body passed to libcurl */
  uint64_t body_bytes;      /* bytes of the answer body received */
  int opened_fd;            /* the socket opened for it, -1 when one is reused */
  int fd;                   /* its socket, -1 when unknown or closed */
  uint64_t received_before; /* bytes the socket had received before this request */
  uint64_t received;        /* bytes the socket had received when the answer ended */
  int64_t started_ms;
};

/* A socket to a runner.  libcurl identifies a reused one only by its addresses.  */
struct proxy_socket
{
  bool open;
  int local_port; /* 0 until the first request goes out */
  int remote_port;
  char remote_ip[40];
  struct proxy_try *current; /* the try that uses it */
};

struct proxy_service
{
  char name[RUNNER_NAME_BYTES];
  struct proxy *proxy;
  struct admission *admission;
  struct retry_budget budget;
  struct retry_latency latency[2]; /* [0] batch, [1] urgent */
  unsigned calls;                  /* calls that refer to it */
  int64_t no_runner_since_ms;      /* start of the time without a live runner, else 0 */
  SLIST_ENTRY (proxy_service) link;
};

/* One caller's connection.  */
struct proxy_connection
{
  struct proxy *proxy;
  int fd;
  struct limited_connection limited;
  bool busy;           /* a request is in progress on it */
  bool receive_closed; /* shut down for reading by the drain */
  LIST_ENTRY (proxy_connection) link;
};

struct proxy_call
{
  struct proxy *proxy;
  struct proxy_connection *caller;
  struct MHD_Connection *connection; /* NULL after MHD has completed the request */
  int64_t arrived_ms;
  int64_t deadline_ms;
  char *target;     /* as received */
  const char *path; /* in target: path sent to the runner, without the slash */
  char *key;        /* Idempotency-Key or NULL */
  char method[16];
  char service_name[RUNNER_NAME_BYTES];
  char customer[RUNNER_NAME_BYTES];
  struct head request;

  struct buffer body; /* from body_base on */
  size_t body_base;   /* bytes dropped; a retry is impossible when not 0 */
  size_t discarded;   /* body bytes discarded after the request ended */

  struct proxy_service *service;
  struct admission_item item;
  struct proxy_try *tries[PROXY_CALL_TRIES];
  struct proxy_try *winner;
  struct runner *last_runner; /* of the last failed try; compared, never dereferenced */
  int64_t retry_at_ms;
  int64_t first_sent_ms; /* when the first try started */
  int64_t progress_ms;   /* when a byte of the answer was last received or passed to MHD */
  uint64_t fingerprint;  /* of the request, for the intent store */
  struct buffer stored;  /* copy of the answer body for the intent store */

  struct buffer out;   /* answer bytes not yet passed to MHD */
  uint64_t out_total;  /* bytes passed to MHD */
  uint64_t out_length; /* of the complete answer, or MHD_SIZE_UNKNOWN */
  struct MHD_Response *response;
  ev_timer timer;
  ev_io disconnect_watch; /* the caller's socket while MHD has it suspended */
  LIST_ENTRY (proxy_call) link;
  STAILQ_ENTRY (proxy_call) deferred_link;
  struct status failure; /* of the last try */

  enum call_stage stage;
  enum answer_end end;
  int response_code;
  unsigned tries_started;
  bool parsed;
  bool urgent;
  bool unrepeatable;
  bool idempotent;
  bool body_complete;
  bool limit_held;       /* counted by limit_enter */
  bool serving;          /* popped from the queue and in service */
  bool may_have_run;     /* a try was sent and not reported as not run */
  bool try_timers_off;   /* neither a hedge nor a try timeout is due any more */
  bool retry_granted;    /* the next try's token was spent */
  bool intent_pending;   /* the intent store has not called back */
  bool intent_open;      /* recorded and not finished */
  bool stored_too_large; /* the answer is too large for the intent store */
  bool suspended;        /* MHD has the connection suspended */
  bool upload_suspended; /* suspended until the body buffer has space */
  bool queued_response;
  bool buffered; /* the answer is sent only when it is complete */
  bool deferred; /* in the deferred queue */
};

struct proxy
{
  struct ev_loop *loop;
  struct proxy_config config;
  struct MHD_Daemon *daemon;
  struct http_loop *http_loop;
  struct http_client *client;
  struct rng rng;
  struct proxy_stats stats;
  LIST_HEAD (, proxy_call) calls;
  LIST_HEAD (, proxy_connection) connections;
  SLIST_HEAD (, proxy_service) services;
  STAILQ_HEAD (, proxy_call) deferred; /* calls to process outside libcurl's callbacks */
  ev_timer deferred_timer;
  ev_timer tick;
  bool dispatch_scheduled;
  bool draining;
  bool closing;
  proxy_drained_fn *drained;
  void *drained_arg;
  struct proxy_socket *sockets;         /* by file descriptor, PROXY_MAX_FD of them */
  int socket_hints[PROXY_SOCKET_HINTS]; /* by local port: descriptor to check first */
  int max_fd;
  CURL *idle_easy[64]; /* easy handles for reuse */
  unsigned idle_easy_count;
};

/* proxy.c */
int64_t proxy_now (const struct proxy *p);      /* The configured clock. */
void proxy_defer (struct proxy_call *call);     /* Runs call_step from the event loop. */
void proxy_schedule_dispatch (struct proxy *p); /* Dispatches from the event loop. */
void proxy_check_drained (struct proxy *p);     /* Reports the end of a drain. */

/* proxy_caller.c */
struct MHD_Daemon *caller_listen (struct proxy *p,
                                  const struct sockaddr_in *address); /* Or NULL. */
void caller_resume (struct proxy_call *call);        /* Resumes the connection in MHD. */
void caller_resume_upload (struct proxy_call *call); /* The body buffer has space. */
void caller_watch (struct proxy_call *call);        /* Detects that a waiting caller disconnects. */
void caller_begin_answer (struct proxy_call *call); /* The winner's head is complete,
                                                         or its answer when it is buffered. */
void caller_reply_error (struct proxy_call *call, enum status_kind kind, enum status_ran ran,
                         int64_t retry_after_ms, const char *message); /* A JSON error. */
void caller_reply_stored (struct proxy_call *call,
                          const struct intent_outcome *outcome); /* A recorded answer. */
struct proxy_call *call_new (struct proxy *p, struct MHD_Connection *connection,
                             const char *target); /* At the request line. */

/* proxy_call.c */
void call_start (struct proxy_call *call); /* The body, or a full buffer of it, was read. */
void call_fail (struct proxy_call *call, enum status_kind kind,
                const char *message); /* Answers with an error; ends the call. */
void call_launch (struct proxy_call *call, struct runner *runner); /* Popped from the queue. */
void call_step (struct proxy_call *call); /* Work deferred until libcurl has returned. */
void call_head_complete (struct proxy_call *call, struct proxy_try *t); /* From libcurl. */
void call_try_done (struct proxy_call *call, struct proxy_try *t, CURLcode result); /* T ended. */
void call_request_completed (struct proxy_call *call); /* MHD completed it, answered or not. */
void call_arm_timer (struct proxy_call *call);         /* For the next timeout, hedge or retry. */
void call_end_service (struct proxy_call *call, bool answered); /* Releases its slot. */
void call_free_when_done (struct proxy_call *call);             /* Frees it when unreferenced. */
void call_free (struct proxy_call *call);                       /* Frees it unconditionally. */

/* proxy_try.c */
struct proxy_try *try_start (struct proxy_call *call,
                             struct runner *runner);                /* Sends CALL to RUNNER. */
void try_cancel (struct proxy_try *t, enum router_outcome outcome); /* Discards its answer. */
void try_free (struct proxy_try *t);            /* After its removal from libcurl. */
void try_resume_upload (struct proxy_try *t);   /* More of the body was read. */
void try_resume_download (struct proxy_try *t); /* The answer buffer has space. */
bool try_overlong (const struct proxy_try *t);  /* The runner sent more than it announced. */

/* proxy_intent.c */
void call_begin_intent (struct proxy_call *call); /* Records the intent, then enqueues. */
void call_finish_intent (struct proxy_call *call,
                         enum intent_result result); /* Records the outcome. */
void call_enqueue (struct proxy_call *call);         /* Adds it to the queue of its service. */

/* proxy_service.c */
struct proxy_service *service_get (struct proxy *p, const char *name); /* NULL: unknown service. */
void service_release (struct proxy_service *s);  /* Drops a call's reference. */
void service_dispatch (struct proxy_service *s); /* Assigns runners to queued requests. */
void service_free_all (struct proxy *p);         /* When the proxy closes. */

#endif
