/* ctl: shared by the commands of sassafrasctl.

   A command that changes state carries a request id.  When an answer is lost or permits a retry,
   the same request goes to the next server until the timeout expires; the request id makes sure
   that it takes effect at most once.  The exit code is that of the error kind (status.h).  */

#ifndef SASSAFRAS_CTL_H
#define SASSAFRAS_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <jansson.h>

#include "buffer.h"
#include "http_client.h"
#include "json_check.h"
#include "plans.h"
#include "status.h"

#define CTL_MAX_SERVERS 64
#define CTL_MAX_VMS 256
#define CTL_ADDRESS_BYTES 64
#define CTL_ATTEMPT_TIMEOUT_MS 1500 /* a silent server must leave time for the others */
#define CTL_POLL_INTERVAL_MS 200    /* while a command waits for its change to take effect */
#define CTL_TIMEOUT_MS 15000
#define CTL_TIME_BYTES 40

struct ctl
{
  struct ev_loop *loop;
  struct http_client *client;
  char servers[CTL_MAX_SERVERS][CTL_ADDRESS_BYTES];
  size_t server_count;
  size_t next_server;   /* index of the server to try first: the last that answered */
  long timeout_ms;      /* for the whole command */
  int64_t deadline_ms;  /* monotonic */
  bool json;            /* machine-readable output */
  bool wait;            /* until the change is in force */
  bool off;             /* drain: end the drain */
  int64_t version;      /* -1: not given */
  const char *customer; /* filters of jobs list; NULL: none */
  const char *data_centre;
  int64_t limit;
  char request_id[64];
  char authorization[300]; /* header line, or empty */
  char **args;             /* command and its arguments */
  int arg_count;
};

/* Answer to one request.  */
struct ctl_reply
{
  struct status status; /* OK, or the error in the answer */
  json_t *body;         /* NULL when the answer is not JSON */
  struct buffer text;   /* the unparsed body */
  bool maybe_sent;      /* an attempt without an answer may have reached a server */
};

/* One of several concurrent requests.  */
struct ctl_probe
{
  char url[128];
  struct ctl_reply reply;
};

int ctl_call (struct ctl *c, const char *method, const char *path, const json_t *body,
              struct ctl_reply *reply); /* 0 on success; REPLY is set in any case. */
void ctl_get_all (struct ctl *c, struct ctl_probe *probes, size_t count,
                  long timeout_ms);             /* Sends all requests concurrently. */
void ctl_sleep (struct ctl *c, long ms);        /* Runs the event loop for MS. */
bool ctl_time_left (const struct ctl *c);       /* The timeout has not expired. */
void ctl_reply_close (struct ctl_reply *reply); /* Frees it. */
int ctl_fail (struct ctl *c, const struct status *st,
              const struct ctl_reply *reply); /* Prints the error; returns its exit code. */
int ctl_usage_error (struct ctl *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Reports wrong arguments; returns the exit code. */
int ctl_call_and_print (struct ctl *c, const char *method, const char *path, const json_t *body,
                        void (*print) (const json_t *body)); /* Returns the exit code. */
void ctl_progress (struct ctl *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3))); /* Line on standard error; none with --json. */
void ctl_print_json (const json_t *body);    /* Indented, on standard output. */
const char *ctl_format_time (int64_t unix_ms, char out[CTL_TIME_BYTES]); /* UTC, "-" for 0. */
int64_t ctl_int (const json_t *object, const char *key);      /* Number, 0 when absent. */
const char *ctl_text (const json_t *object, const char *key); /* String, "-" when absent. */
size_t ctl_query_members (struct ctl *c, struct ctl_probe *probes,
                          json_t **members); /* State of each VM; *MEMBERS: new reference. */

int command_check (struct ctl *c);
int command_diff (struct ctl *c);
int command_apply (struct ctl *c);
int command_show (struct ctl *c);
int command_data_centre (struct ctl *c);
int command_drain (struct ctl *c);
int command_members (struct ctl *c);
int command_jobs (struct ctl *c);
int command_state (struct ctl *c);
int command_counters (struct ctl *c);
int command_accounts (struct ctl *c);
int command_explain (struct ctl *c);

#endif
