/* proxy_internal: state shared by the files of the proxy.

   proxy.c opens, drains and closes; proxy_caller.c is the callers' side (libmicrohttpd);
   proxy_call.c decides what happens to a request; proxy_try.c is the runners' side (libcurl);
   proxy_service.c keeps queue, budget and latencies of each service.

   A call lives from its request line until MHD has finished with it, or longer while an intent is
   being recorded or the answer of an unrepeatable request is still awaited for the record.  */

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

#define PROXY_CALL_TRIES 2 /* at the same time: the try and its hedge */
#define PROXY_MAX_SERVICES 1024
#define PROXY_WHOLE_BYTES 16384 /* answers announced as no longer are sent when they are whole */
#define PROXY_SOCKET_HINTS 4096
#define PROXY_MAX_FD 16384                     /* sockets whose received bytes are checked */
#define PROXY_DISCARD_BYTES (16 * 1024 * 1024) /* of an upload that nobody reads any more */

enum call_stage
{
  CALL_READING,   /* the request is being read */
  CALL_INTENT,    /* the intent is being recorded */
  CALL_QUEUED,    /* waiting for a runner */
  CALL_TRYING,    /* one or two tries, no answer yet */
  CALL_BACKOFF,   /* waiting before the next try */
  CALL_ANSWERING, /* the answer of the winning try is streamed */
  CALL_ENDED,     /* nothing more will come from a runner */
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
  CURL *easy;
  struct curl_slist *fields;
  struct head head;
  bool sent;         /* a byte of the request may have reached the runner */
  bool gave_up;      /* we end it ourselves: its answer is not wanted */
  bool stale_runner; /* the runner departed before anything was sent */
  bool upload_paused;
  bool download_paused;
  size_t upload_pos;        /* bytes of the request's body handed to libcurl */
  uint64_t body_bytes;      /* bytes of the answer's body received */
  int opened_fd;            /* the socket opened for it, -1 when it reuses one */
  int fd;                   /* its socket, -1 when unknown or closed */
  uint64_t received_before; /* bytes the socket had received before this request */
  uint64_t received;        /* and when the answer was over */
  int64_t started_ms;
};

/* A socket to a runner.  libcurl tells a reused one only by its addresses.  */
struct proxy_socket
{
  bool open;
  int local_port; /* 0 until the first request goes out */
  int remote_port;
  char remote_ip[40];
  struct proxy_try *current; /* whose request it carries */
};

struct proxy_service
{
  char name[RUNNER_NAME_BYTES];
  struct proxy *proxy;
  struct admission *admission;
  struct retry_budget budget;
  struct retry_latency latency[2]; /* of batch and of urgent requests */
  unsigned calls;                  /* that refer to it */
  int64_t empty_since_ms;          /* without a live runner, 0 when there is one */
  SLIST_ENTRY (proxy_service) link;
};

/* One caller's connection.  */
struct proxy_connection
{
  struct proxy *proxy;
  int fd;
  bool busy; /* a request is open on it */
  bool shut; /* its receiving side was closed by the drain */
  LIST_ENTRY (proxy_connection) link;
};

struct proxy_call
{
  struct proxy *proxy;
  struct proxy_connection *caller;
  struct MHD_Connection *connection; /* NULL once the caller is gone */
  int64_t arrived_ms;
  int64_t deadline_ms;
  char *target;     /* as received */
  const char *path; /* in target: what the runner sees, without the leading slash */
  char *key;        /* Idempotency-Key or NULL */
  char method[16];
  char service_name[RUNNER_NAME_BYTES];
  char customer[RUNNER_NAME_BYTES];
  struct head request;

  struct buffer body; /* from body_base on */
  size_t body_base;   /* bytes dropped, after which no other try is possible */
  size_t discarded;   /* of a body that nobody reads any more */

  struct proxy_service *service;
  struct admission_item item;
  struct proxy_try *tries[PROXY_CALL_TRIES];
  struct proxy_try *winner;
  struct runner *last_runner; /* of the last failed try; compared, never followed */
  int64_t retry_at_ms;
  int64_t first_sent_ms; /* when the first try started */
  int64_t progress_ms;   /* last byte of the answer */
  uint64_t fingerprint;  /* of the request, for the intent store */
  struct buffer stored;  /* copy of the answer's body for the store */

  struct buffer out;   /* answer not yet given to MHD */
  uint64_t out_total;  /* bytes given to MHD */
  uint64_t out_length; /* of the whole answer, or MHD_SIZE_UNKNOWN */
  struct MHD_Response *response;
  ev_timer timer;
  ev_io gone_watch; /* the caller's socket while MHD does not look at it */
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
  bool limited;          /* counted by limit_enter */
  bool serving;          /* popped from the queue and not ended */
  bool maybe_ran;        /* some try was sent and did not say that it did not run */
  bool hedged;           /* no hedge and no timeout of a try any more */
  bool retry_granted;    /* the next try's token has been taken */
  bool intent_pending;   /* the store has not called back */
  bool intent_open;      /* recorded, to be finished */
  bool stored_overflow;  /* the answer is too large for the store */
  bool suspended;        /* MHD waits for us */
  bool upload_suspended; /* the caller has to wait until there is room */
  bool queued_response;
  bool buffered; /* nothing of the answer is sent before it has proved whole */
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
  STAILQ_HEAD (, proxy_call) deferred; /* calls to be stepped outside libcurl's callbacks */
  ev_timer deferred_timer;
  ev_timer tick;
  bool pump_wanted;
  bool draining;
  bool closing;
  proxy_drained_fn *drained;
  void *drained_arg;
  struct proxy_socket *sockets;         /* by file descriptor, PROXY_MAX_FD of them */
  int socket_hints[PROXY_SOCKET_HINTS]; /* by local port: where to look first */
  int max_fd;
  CURL *spare[64]; /* easy handles to be used again */
  unsigned spares;
};

/* proxy.c */
int64_t proxy_now (const struct proxy *p);  /* The configured clock. */
void proxy_defer (struct proxy_call *call); /* Steps CALL from the loop. */
void proxy_want_pump (struct proxy *p);     /* Looks at the queues from the loop. */
void proxy_check_drained (struct proxy *p); /* Reports the end of a drain. */

/* proxy_caller.c */
struct MHD_Daemon *caller_listen (struct proxy *p,
                                  const struct sockaddr_in *address); /* Or NULL. */
void caller_resume (struct proxy_call *call);        /* MHD goes on with the connection. */
void caller_resume_upload (struct proxy_call *call); /* There is room for more of the body. */
void caller_watch (struct proxy_call *call); /* Notices when the caller of a waiting call leaves. */
void caller_begin_answer (struct proxy_call *call); /* The winner's head is complete,
                                                         or its answer when it is buffered. */
void caller_reply_error (struct proxy_call *call, enum status_kind kind, enum status_ran ran,
                         int64_t retry_after_ms, const char *message); /* A JSON error. */
void caller_reply_stored (struct proxy_call *call,
                          const struct intent_outcome *outcome); /* A recorded answer. */
struct proxy_call *call_new (struct proxy *p, struct MHD_Connection *connection,
                             const char *target); /* At the request line. */

/* proxy_call.c */
void call_start (struct proxy_call *call); /* The body, or enough of it, is there. */
void call_fail (struct proxy_call *call, enum status_kind kind,
                const char *message); /* Answers with an error; ends the call. */
void call_launch (struct proxy_call *call, struct runner *runner); /* Popped from the queue. */
void call_step (struct proxy_call *call); /* Work put off until libcurl has returned. */
void call_head_complete (struct proxy_call *call, struct proxy_try *t); /* From libcurl. */
void call_try_done (struct proxy_call *call, struct proxy_try *t, CURLcode result); /* It ended. */
void call_caller_gone (struct proxy_call *call); /* MHD has finished with the connection. */
void call_arm_timer (struct proxy_call *call);   /* For the next timeout, hedge or retry. */
void call_end_service (struct proxy_call *call, bool answered); /* Its slot is free. */
void call_free_when_done (struct proxy_call *call);             /* Frees what nobody refers to. */
void call_free (struct proxy_call *call);                       /* Frees in any case. */

/* proxy_try.c */
struct proxy_try *try_start (struct proxy_call *call, struct runner *runner); /* Sends it. */
void try_cancel (struct proxy_try *t, enum router_outcome outcome); /* Its answer is dropped. */
void try_free (struct proxy_try *t);            /* After it was taken from libcurl. */
void try_resume_upload (struct proxy_try *t);   /* More of the body has come. */
void try_resume_download (struct proxy_try *t); /* There is room for more of the answer. */
bool try_overlong (const struct proxy_try *t);  /* The runner sent more than it announced. */

/* proxy_intent.c */
void call_begin_intent (struct proxy_call *call); /* Records the intent, then queues the call. */
void call_finish_intent (struct proxy_call *call, enum intent_result result); /* Records the end. */
void call_enqueue (struct proxy_call *call); /* Into the queue of its service. */

/* proxy_service.c */
struct proxy_service *service_get (struct proxy *p, const char *name); /* NULL: unknown service. */
void service_release (struct proxy_service *s); /* One call less refers to it. */
void service_pump (struct proxy_service *s);    /* Gives runners to waiting requests. */
void service_free_all (struct proxy *p);        /* At the end. */

#endif
