#include "leader_relay.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "counters.h"
#include "log.h"

#define CODE_OK 200
#define CODE_REDIRECT 307
#define CODE_UNAUTHORIZED 401
#define CODE_NOT_FOUND 404
#define CODE_MISDIRECTED 421
#define CODE_TOO_MANY 429
#define CODE_UNAVAILABLE 503
#define CODE_GATEWAY_TIMEOUT 504
/* No attempt with less time left: at least half of them need a round trip between regions.  */
#define MIN_ATTEMPT_MS 30
#define ANSWER_MARGIN_MS 60 /* reserved for sending the answer to the caller */
#define MS_PER_S 1000.0
#define MAX_REDIRECTS 3 /* VMs that redirect to each other know no leader */
#define URL_BYTES 2048
#define HEADER_BYTES 512
#define REPORT_PERIOD_MS 1000 /* between lines leader-awaited */

static struct counter relayed
    = { .name = "sassafras_relay_requests_total", .help = "Requests relayed to the leader." };
static struct counter repeated
    = { .name = "sassafras_relay_repeats_total", .help = "Attempts after the first." };
static struct counter unanswered
    = { .name = "sassafras_relay_given_up_total", .help = "Requests without a leader's answer." };
static struct counter denials
    = { .name = "sassafras_relay_denials_total",
        .help = "Requests and probes answered by a VM that did not lead." };
static struct counter failures = { .name = "sassafras_relay_failures_total",
                                   .help = "Requests and probes that were not answered." };
static struct counter abandoned
    = { .name = "sassafras_relay_abandoned_total", .help = "Requests whose sender had gone." };
static struct histogram relay_times
    = { .name = "sassafras_relay_ms", .help = "Time until the answer of a relayed request." };

/* Outcome of an attempt that did not end its request.  */
enum attempt_outcome
{
  OUTCOME_NONE,       /* no attempt yet */
  OUTCOME_DENIED,     /* the target knows no leader */
  OUTCOME_REDIRECTED, /* the target named another VM */
  OUTCOME_REFUSED,    /* the request was not sent */
  OUTCOME_SILENT,     /* sent and not answered */
  OUTCOME_DEPOSED,    /* the target lost its leadership before the outcome was known */
};

/* What is known of the VM that is taken for the leader.  */
enum leader_state
{
  LEADER_USABLE, /* requests are sent to it */
  LEADER_NAMED,  /* by the answer to a probe: the next probe asks it */
  LEADER_DENIED, /* it denied or did not answer: probes ask it and the candidates by turns */
};

struct candidate
{
  char ip[SEEDED_GROUP_IP_BYTES];
  int64_t backoff_until_ms;
};

struct relay_call
{
  LIST_ENTRY (relay_call) link;
  struct leader_relay *relay;
  struct http_request *request; /* NULL if answered before the current attempt ended */
  int64_t began_ms;
  int64_t deadline_ms;
  unsigned attempts;
  unsigned redirects; /* consecutive */
  bool may_have_run;  /* an attempt may have been executed */
  bool waiting;       /* for a leader; otherwise an attempt is in progress */
  enum attempt_outcome last_outcome;
  char target[SEEDED_GROUP_IP_BYTES];
  char headers[RELAY_MAX_HEADERS + 1][HEADER_BYTES];
  const char *header_list[RELAY_MAX_HEADERS + 2];
  ev_timer deadline_timer; /* fires when the request has to be answered */
};

LIST_HEAD (relay_calls, relay_call);

struct leader_relay
{
  struct leader_relay_config config;
  struct http_client *client;
  struct candidate candidates[RELAY_MAX_CANDIDATES];
  size_t count;
  bool probing;
  char probe_target[SEEDED_GROUP_IP_BYTES];
  unsigned probe_redirects;           /* consecutive; followed at once up to MAX_REDIRECTS */
  size_t next;                        /* next candidate to probe when no leader is known */
  bool denied_is_next;                /* the next probe asks the VM that denied */
  char leader[SEEDED_GROUP_IP_BYTES]; /* "" if unknown */
  enum leader_state leader_state;
  char group_leader[SEEDED_GROUP_IP_BYTES]; /* as last named by the group of this VM */
  int64_t last_answer_ms;
  int64_t finish_by_ms; /* upper limit of all deadlines */
  struct relay_calls calls;
  ev_timer lookup;           /* next leader lookup, active while requests wait */
  int64_t leader_awaited_ms; /* since when; 0 after an answer of a leader */
  enum attempt_outcome last_outcome;
  ev_timer report; /* next line leader-awaited */
};

static void start_attempt (struct relay_call *c);
static void lookup (struct leader_relay *r);
static void on_lookup (struct ev_loop *loop, ev_timer *w, int events);
static void on_report (struct ev_loop *loop, ev_timer *w, int events);

static struct candidate *
find_candidate (struct leader_relay *r, const char *ip)
{
  for (size_t i = 0; i < r->count; i++)
    if (strcmp (r->candidates[i].ip, ip) == 0)
      return &r->candidates[i];
  return NULL;
}

static struct candidate *
add_candidate (struct leader_relay *r, const char *ip)
{
  struct candidate *c = find_candidate (r, ip);
  if (c || strcmp (ip, r->config.own_ip) == 0 || r->count == RELAY_MAX_CANDIDATES)
    return c;
  c = &r->candidates[r->count++];
  *c = (struct candidate){ .backoff_until_ms = 0 };
  snprintf (c->ip, sizeof c->ip, "%s", ip);
  return c;
}

static void
add_seeds (struct leader_relay *r)
{
  for (size_t i = 0; i < r->config.seed_count; i++)
    add_candidate (r, r->config.seeds[i]);
}

struct leader_relay *
leader_relay_open (const struct leader_relay_config *config)
{
  struct leader_relay *r = xcalloc (1, sizeof *r);
  r->config = *config;
  r->client = http_client_open (config->loop, 0);
  r->last_answer_ms = INT64_MIN / 2;
  r->finish_by_ms = INT64_MAX;
  LIST_INIT (&r->calls);
  ev_init (&r->lookup, on_lookup);
  r->lookup.data = r;
  ev_init (&r->report, on_report);
  r->report.data = r;
  add_seeds (r);
  return r;
}

static bool
is_address (const char *text)
{
  struct in_addr address;
  return text && inet_pton (AF_INET, text, &address) == 1;
}

void
leader_relay_add_candidates (struct leader_relay *r, const char (*ips)[SEEDED_GROUP_IP_BYTES],
                             size_t count)
{
  for (size_t i = 0; i < count; i++)
    add_candidate (r, ips[i]);
}

/* Replaces the candidates by MEMBERS, a JSON array of addresses, and the seeds.  */
static void
set_candidates (struct leader_relay *r, const json_t *members)
{
  struct leader_relay old = *r;
  r->count = 0;
  for (size_t i = 0; i < json_array_size (members); i++)
    {
      const char *ip = json_string_value (json_array_get (members, i));
      if (is_address (ip))
        add_candidate (r, ip);
    }
  add_seeds (r);
  for (size_t k = 0; k < r->count; k++)
    {
      const struct candidate *known = find_candidate (&old, r->candidates[k].ip);
      if (known)
        r->candidates[k].backoff_until_ms = known->backoff_until_ms;
    }
}

/* Reads the members that the leader named in its answer to a probe.  */
static void
read_members (struct leader_relay *r, const struct buffer *body)
{
  json_t *answer = json_loadb (body->data, body->len, 0, NULL);
  const json_t *members = json_object_get (answer, "members");
  if (json_array_size (members) > 0)
    set_candidates (r, members);
  json_decref (answer);
}

static void
free_call (struct relay_call *c)
{
  ev_timer_stop (c->relay->config.loop, &c->deadline_timer);
  LIST_REMOVE (c, link);
  free (c);
}

void
leader_relay_close (struct leader_relay *r)
{
  struct relay_call *c;
  http_client_close (r->client);
  ev_timer_stop (r->config.loop, &r->lookup);
  ev_timer_stop (r->config.loop, &r->report);
  while ((c = LIST_FIRST (&r->calls)) != NULL)
    free_call (c);
  free (r);
}

int64_t
leader_relay_last_answer_ms (const struct leader_relay *r)
{
  return r->last_answer_ms;
}

void
leader_relay_refuse (struct http_request *req, const char *leader_ip, int port)
{
  char url[URL_BYTES];
  if (!leader_ip)
    {
      http_reply (req, CODE_MISDIRECTED, "text/plain", "", 0);
      return;
    }
  snprintf (url, sizeof url, "http://%s:%d/", leader_ip, port);
  http_reply_redirect (req, url);
}

void
leader_relay_confirm (struct http_request *req, const char (*members)[SEEDED_GROUP_IP_BYTES],
                      size_t count)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, json_string (members[i]));
  http_reply_json (req, CODE_OK, json_pack ("{s:o}", "members", list));
}

static void
set_leader (struct leader_relay *r, const char *ip, enum leader_state state)
{
  snprintf (r->leader, sizeof r->leader, "%s", ip);
  r->leader_state = state;
}

/* The group may go on naming a VM that denies: only a change says more than its answers.  */
static void
read_group_leader (struct leader_relay *r)
{
  char ip[SEEDED_GROUP_IP_BYTES] = "";
  if (!r->config.leader)
    return;
  if (!r->config.leader (r->config.arg, ip))
    ip[0] = '\0';
  if (strcmp (ip, r->group_leader) == 0)
    return;
  snprintf (r->group_leader, sizeof r->group_leader, "%s", ip);
  set_leader (r, ip, LEADER_USABLE);
}

/* The VM taken for the leader, or NULL if it is unknown or has recently failed.  */
static const char *
reachable_leader (struct leader_relay *r, int64_t now_ms)
{
  if (strcmp (r->leader, r->config.own_ip) == 0)
    return r->leader;
  const struct candidate *c = r->leader[0] ? add_candidate (r, r->leader) : NULL;
  return c && now_ms >= c->backoff_until_ms ? c->ip : NULL;
}

/* The VM to which requests are sent, or NULL.  */
static const char *
usable_leader (struct leader_relay *r, int64_t now_ms)
{
  read_group_leader (r);
  return r->leader_state == LEADER_USABLE ? reachable_leader (r, now_ms) : NULL;
}

static const char *
next_candidate (struct leader_relay *r, int64_t now_ms)
{
  for (size_t i = 0; i < r->count; i++)
    {
      const struct candidate *c = &r->candidates[r->next++ % r->count];
      if (now_ms >= c->backoff_until_ms)
        return c->ip;
    }
  return r->count > 0 ? r->candidates[r->next++ % r->count].ip : NULL;
}

static const char *
choose_probe_target (struct leader_relay *r, int64_t now_ms)
{
  read_group_leader (r);
  const char *leader = reachable_leader (r, now_ms);
  bool ask_leader = r->leader_state != LEADER_DENIED || r->denied_is_next;
  r->denied_is_next = r->leader_state == LEADER_DENIED && !r->denied_is_next;
  return leader && ask_leader ? leader : next_candidate (r, now_ms);
}

static const char *
ran_text (const struct relay_call *c)
{
  return c->may_have_run ? "unknown" : "no";
}

static const char *
outcome_text (enum attempt_outcome outcome)
{
  switch (outcome)
    {
    case OUTCOME_DENIED:
      return "denied";
    case OUTCOME_REDIRECTED:
      return "redirected";
    case OUTCOME_REFUSED:
      return "refused";
    case OUTCOME_SILENT:
      return "silent";
    case OUTCOME_DEPOSED:
      return "deposed";
    case OUTCOME_NONE:
      break;
    }
  return "none";
}

static void
fail_call (struct relay_call *c, int64_t now_ms)
{
  /* An attempt in progress may still be executed.  */
  c->may_have_run = c->may_have_run || !c->waiting;
  counter_add (&unanswered, 1);
  log_event (LOG_WARN, "relay-given-up",
             "path=%s attempts=%u after_ms=%lld last_target=%s last_answer=%s leader=%s ran=%s",
             c->request->path, c->attempts, (long long)(now_ms - c->began_ms), c->target,
             outcome_text (c->last_outcome), c->relay->leader, ran_text (c));
  http_reply_error (c->request, c->may_have_run ? STATUS_OUTCOME_UNKNOWN : STATUS_NO_QUORUM,
                    "no answer of a leader after %u attempts", c->attempts);
  c->request = NULL;
  if (c->waiting)
    free_call (c);
}

/* The sender of C has gone.  */
static void
abandon_call (struct relay_call *c)
{
  counter_add (&abandoned, 1);
  log_event (LOG_INFO, "relay-abandoned", "path=%s attempts=%u ran=%s", c->request->path,
             c->attempts, ran_text (c));
  http_reply_error (c->request, c->may_have_run ? STATUS_OUTCOME_UNKNOWN : STATUS_SENDER_GONE,
                    "the sender closed the connection");
  free_call (c);
}

static bool
is_abandoned (const struct relay_call *c)
{
  return c->relay->config.needs_sender && c->relay->config.needs_sender (c->request)
         && http_sender_is_gone (c->request);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int events)
{
  struct relay_call *c = w->data;
  (void)loop;
  (void)events;
  fail_call (c, clock_now_ms (c->relay->config.clock));
}

static int64_t
min_ms (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_ms (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Requests wait for an election to finish.  If it takes too long, a request that cannot have
   reached a leader is refused early, with a Retry-After.  A request that may have been executed
   waits for an answer until its deadline.  */
static void
arm_deadline (struct relay_call *c)
{
  struct leader_relay *r = c->relay;
  int64_t now_ms = clock_now_ms (r->config.clock);
  int64_t due_ms = min_ms (c->deadline_ms, r->finish_by_ms);
  if (c->waiting && !c->may_have_run)
    due_ms = min_ms (
        due_ms, max_ms (c->began_ms + RELAY_MIN_WAIT_MS, r->last_answer_ms + RELAY_LEADER_LOST_MS));
  ev_timer_stop (r->config.loop, &c->deadline_timer);
  ev_timer_set (&c->deadline_timer, (double)max_ms (due_ms - now_ms, 0) / MS_PER_S, 0.0);
  ev_timer_start (r->config.loop, &c->deadline_timer);
}

static unsigned
count_unanswered (const struct leader_relay *r)
{
  const struct relay_call *c;
  unsigned n = 0;
  LIST_FOREACH (c, &r->calls, link)
  n += c->request != NULL;
  return n;
}

static void
arm_report (struct leader_relay *r)
{
  ev_timer_set (&r->report, REPORT_PERIOD_MS / MS_PER_S, 0.0);
  ev_timer_start (r->config.loop, &r->report);
}

static void
on_report (struct ev_loop *loop, ev_timer *w, int events)
{
  struct leader_relay *r = w->data;
  int64_t since_ms = clock_now_ms (r->config.clock) - r->leader_awaited_ms;
  unsigned waiting = count_unanswered (r);
  (void)loop;
  (void)events;
  if (r->leader_awaited_ms == 0 || waiting == 0)
    return;
  log_event (LOG_WARN, "leader-awaited", "for_ms=%lld waiting=%u leader=%s last_answer=%s",
             (long long)since_ms, waiting, r->leader, outcome_text (r->last_outcome));
  arm_report (r);
}

static void
note_leader_awaited (struct leader_relay *r)
{
  if (r->leader_awaited_ms == 0)
    {
      r->leader_awaited_ms = clock_now_ms (r->config.clock);
      r->last_outcome = OUTCOME_NONE;
    }
  if (!ev_is_active (&r->report))
    arm_report (r);
}

/* Of a request or a probe.  */
static void
count_outcome (struct leader_relay *r, enum attempt_outcome outcome)
{
  bool answered = outcome == OUTCOME_DENIED || outcome == OUTCOME_REDIRECTED;
  counter_add (answered ? &denials : &failures, 1);
  r->last_outcome = outcome;
}

static void
record_outcome (struct relay_call *c, enum attempt_outcome outcome)
{
  note_leader_awaited (c->relay);
  count_outcome (c->relay, outcome);
  c->last_outcome = outcome;
}

static void
wait_for_leader (struct relay_call *c)
{
  struct leader_relay *r = c->relay;
  c->waiting = true;
  note_leader_awaited (r);
  arm_deadline (c);
  if (!ev_is_active (&r->lookup))
    lookup (r);
}

void
leader_relay_finish_by (struct leader_relay *r, int64_t finish_by_ms)
{
  struct relay_call *c;
  r->finish_by_ms = finish_by_ms;
  LIST_FOREACH (c, &r->calls, link)
  if (c->request)
    arm_deadline (c);
}

static void
resume_waiting (struct leader_relay *r)
{
  struct relay_call *c = LIST_FIRST (&r->calls);
  while (c)
    {
      struct relay_call *next = LIST_NEXT (c, link);
      if (c->waiting)
        start_attempt (c);
      c = next;
    }
}

static bool
any_waiting (const struct leader_relay *r)
{
  const struct relay_call *c;
  LIST_FOREACH (c, &r->calls, link)
  if (c->waiting)
    return true;
  return false;
}

static void
read_redirect (const char *location, char ip[SEEDED_GROUP_IP_BYTES])
{
  if (sscanf (location, "http://%15[0-9.]:", ip) != 1)
    ip[0] = '\0';
}

/* FROM does not lead.  Its answer may be older than what is known by now.  */
static void
deny_leader (struct leader_relay *r, const char *from)
{
  if (strcmp (r->leader, from) != 0)
    return;
  r->leader_state = LEADER_DENIED;
  r->denied_is_next = false;
}

/* FROM named the VM in LOCATION, which is then in STATE, unless another leader is known by now.  */
static void
store_redirect (struct leader_relay *r, const char *from, const char *location,
                enum leader_state state)
{
  char ip[SEEDED_GROUP_IP_BYTES];
  int64_t now_ms = clock_now_ms (r->config.clock);
  read_redirect (location, ip);
  if (!ip[0] || strcmp (ip, r->config.own_ip) == 0)
    deny_leader (r, from);
  else if (strcmp (r->leader, from) == 0 || !usable_leader (r, now_ms))
    {
      /* A VM that denied is asked again by probes only.  */
      bool denied = strcmp (r->leader, ip) == 0 && r->leader_state == LEADER_DENIED;
      set_leader (r, ip, denied && state == LEADER_USABLE ? LEADER_DENIED : state);
    }
}

/* IP answered as the leader, which may have been overtaken by news of another one.  */
static void
record_leader (struct leader_relay *r, const char *ip, int64_t now_ms)
{
  struct candidate *leader = find_candidate (r, ip);
  r->last_answer_ms = now_ms;
  r->leader_awaited_ms = 0;
  if (leader)
    leader->backoff_until_ms = 0;
  if (!usable_leader (r, now_ms))
    set_leader (r, ip, LEADER_USABLE);
}

static void
forward_answer (struct relay_call *c, const struct http_answer *a, int64_t now_ms)
{
  struct leader_relay *r = c->relay;
  char seconds[24];
  record_leader (r, c->target, now_ms);
  histogram_add (&relay_times, (double)(now_ms - c->began_ms));
  snprintf (seconds, sizeof seconds, "%ld", a->retry_after_s);
  http_reply_with (c->request, a->code, "application/json", a->body.data, a->body.len,
                   a->retry_after_s > 0 ? seconds : NULL);
  free_call (c);
}

/* Called when IP did not answer.  */
static void
back_off (struct leader_relay *r, const char *ip, int64_t now_ms)
{
  struct candidate *target = find_candidate (r, ip);
  if (target)
    target->backoff_until_ms = now_ms + RELAY_BACKOFF_MS;
  deny_leader (r, ip);
}

static enum attempt_outcome
failure_of (const struct http_answer *a)
{
  if (a->code == CODE_GATEWAY_TIMEOUT)
    return OUTCOME_DEPOSED;
  return a->sent ? OUTCOME_SILENT : OUTCOME_REFUSED;
}

static void
record_failure (struct relay_call *c, const struct http_answer *a, int64_t now_ms)
{
  c->may_have_run = c->may_have_run || a->sent;
  record_outcome (c, failure_of (a));
  back_off (c->relay, c->target, now_ms);
  log_event (LOG_INFO, "relay-attempt-failed", "path=%s target=%s attempt=%u sent=%d reason=\"%s\"",
             c->request->path, c->target, c->attempts, a->sent, a->status.message);
}

/* True if CODE says that this attempt was not executed, which an earlier one may have been.  A
   queue may have been removed in between, or a key taken away.  */
static bool
is_refusal (const struct relay_call *c, int code)
{
  bool reads = strcmp (c->request->method, "GET") == 0;
  bool changed = code == CODE_NOT_FOUND || code == CODE_UNAUTHORIZED;
  return code == CODE_TOO_MANY || code == CODE_UNAVAILABLE || (changed && !reads);
}

static void
on_answer (void *arg, const struct http_answer *a)
{
  struct relay_call *c = arg;
  struct leader_relay *r = c->relay;
  int64_t now_ms = clock_now_ms (r->config.clock);
  c->waiting = true; /* no attempt is in progress */
  c->may_have_run = c->may_have_run || a->sends > 1;
  if (!c->request)
    free_call (c);
  else if (a->code == CODE_REDIRECT && a->location && ++c->redirects < MAX_REDIRECTS)
    {
      record_outcome (c, OUTCOME_REDIRECTED);
      store_redirect (r, c->target, a->location, LEADER_USABLE);
      start_attempt (c);
    }
  else if (a->code == CODE_REDIRECT)
    {
      record_outcome (c, OUTCOME_REDIRECTED);
      deny_leader (r, c->target);
      c->redirects = 0;
      wait_for_leader (c);
    }
  else if (a->code == CODE_MISDIRECTED)
    {
      record_outcome (c, OUTCOME_DENIED);
      deny_leader (r, c->target);
      c->redirects = 0;
      start_attempt (c);
    }
  else if (a->code == 0 || !status_ok (&a->status) || a->code == CODE_GATEWAY_TIMEOUT)
    {
      /* A leader that was deposed answers 504: the request may have been executed.  */
      record_failure (c, a, now_ms);
      start_attempt (c);
    }
  else if (c->may_have_run && is_refusal (c, a->code))
    /* The refusal covers its own attempt only; an earlier one may still be executed.  */
    fail_call (c, now_ms);
  else
    forward_answer (c, a, now_ms);
}

/* Percent-encodes PATH, which the server has decoded, and appends it.  */
static void
append_path (char *url, size_t size, const char *path)
{
  size_t used = strlen (url);
  for (; *path && used + 4 < size; path++)
    {
      unsigned char byte = (unsigned char)*path;
      bool plain = byte > ' ' && byte < 0x7f && !strchr ("\"#%<>?\\^`{|}", byte);
      used += (size_t)snprintf (url + used, size - used, plain ? "%c" : "%%%02X", byte);
    }
}

static void
start_attempt (struct relay_call *c)
{
  struct leader_relay *r = c->relay;
  char url[URL_BYTES];
  int64_t now_ms = clock_now_ms (r->config.clock);
  int64_t left_ms = c->deadline_ms - now_ms;
  const char *target = usable_leader (r, now_ms);
  if (is_abandoned (c))
    {
      abandon_call (c);
      return;
    }
  if (left_ms < MIN_ATTEMPT_MS)
    {
      fail_call (c, now_ms);
      return;
    }
  if (!target)
    {
      wait_for_leader (c);
      return;
    }
  c->waiting = false;
  arm_deadline (c);
  /* Exponential timeout: a slow leader gets more time instead of many repeats.  */
  int64_t attempt_timeout_ms = (int64_t)RELAY_ATTEMPT_MS << (c->attempts < 3 ? c->attempts : 3);
  counter_add (c->attempts == 0 ? &relayed : &repeated, 1);
  c->attempts++;
  snprintf (c->target, sizeof c->target, "%s", target);
  snprintf (url, sizeof url, "http://%s:%d", target, r->config.port);
  append_path (url, sizeof url, c->request->path);
  const struct http_call call
      = { .method = c->request->method,
          .url = url,
          .headers = c->header_list,
          .body = c->request->body.data,
          .body_len = c->request->body.len,
          .timeout_ms = left_ms < attempt_timeout_ms ? left_ms : attempt_timeout_ms,
          .done = on_answer,
          .done_arg = c };
  http_client_send (r->client, &call);
}

static void
copy_headers (struct relay_call *c)
{
  const char *const *names = c->relay->config.headers;
  size_t n = 0;
  snprintf (c->headers[n], HEADER_BYTES, "%s: 1", RELAY_HEADER);
  c->header_list[n] = c->headers[n];
  n++;
  for (size_t i = 0; names[i] && n <= RELAY_MAX_HEADERS; i++)
    {
      const char *value = http_header (c->request, names[i]);
      if (!value)
        continue;
      snprintf (c->headers[n], HEADER_BYTES, "%s: %s", names[i], value);
      c->header_list[n] = c->headers[n];
      n++;
    }
}

void
leader_relay_send (struct leader_relay *r, struct http_request *req, int64_t budget_ms)
{
  struct relay_call *c = xcalloc (1, sizeof *c);
  c->relay = r;
  c->request = req;
  c->began_ms = clock_now_ms (r->config.clock);
  c->deadline_ms = c->began_ms + budget_ms - ANSWER_MARGIN_MS;
  c->waiting = true;
  ev_init (&c->deadline_timer, on_deadline);
  c->deadline_timer.data = c;
  copy_headers (c);
  LIST_INSERT_HEAD (&r->calls, c, link);
  start_attempt (c);
}

/* Load pattern: requests accumulate while there is no leader or it is slow.  One probe at a time
   finds the leader for all of them; one probe per request would load the VMs of the group so much
   that they could not elect a leader.  A member whose group names no leader waits for an election,
   without probes.  */
static void
lookup (struct leader_relay *r)
{
  ev_timer_set (&r->lookup, RELAY_PROBE_INTERVAL_MS / MS_PER_S, 0.0);
  ev_timer_start (r->config.loop, &r->lookup);
  r->probe_redirects = 0;
  if (!r->config.leader || r->leader[0])
    leader_relay_probe (r, "GET", RELAY_PROBE_PATH);
}

static void
on_lookup (struct ev_loop *loop, ev_timer *w, int events)
{
  struct leader_relay *r = w->data;
  (void)loop;
  (void)events;
  if (!any_waiting (r))
    return;
  if (usable_leader (r, clock_now_ms (r->config.clock)))
    resume_waiting (r);
  else
    lookup (r);
}

static void
continue_lookup (struct leader_relay *r, int64_t now_ms)
{
  if (!any_waiting (r))
    return;
  if (usable_leader (r, now_ms))
    resume_waiting (r);
  else if (r->leader_state == LEADER_NAMED && reachable_leader (r, now_ms)
           && r->probe_redirects++ < MAX_REDIRECTS)
    leader_relay_probe (r, "GET", RELAY_PROBE_PATH);
}

static void
on_probe_answer (void *arg, const struct http_answer *a)
{
  struct leader_relay *r = arg;
  int64_t now_ms = clock_now_ms (r->config.clock);
  r->probing = false;
  if (a->code == CODE_REDIRECT && a->location)
    {
      count_outcome (r, OUTCOME_REDIRECTED);
      store_redirect (r, r->probe_target, a->location, LEADER_NAMED);
    }
  else if (a->code == CODE_MISDIRECTED)
    {
      count_outcome (r, OUTCOME_DENIED);
      deny_leader (r, r->probe_target);
    }
  else if (a->code == 0)
    {
      count_outcome (r, failure_of (a));
      back_off (r, r->probe_target, now_ms);
    }
  else if (a->code == CODE_OK)
    {
      read_members (r, &a->body);
      record_leader (r, r->probe_target, now_ms);
      if (r->config.probe_answered)
        r->config.probe_answered (r->config.arg, r->probe_target);
    }
  else if (r->leader_state == LEADER_NAMED)
    deny_leader (r, r->probe_target);
  continue_lookup (r, now_ms);
}

void
leader_relay_probe (struct leader_relay *r, const char *method, const char *path)
{
  static const char *const headers[] = { RELAY_HEADER ": 1", NULL };
  char url[URL_BYTES];
  const char *target = r->probing ? NULL : choose_probe_target (r, clock_now_ms (r->config.clock));
  if (!target)
    return;
  r->probing = true;
  snprintf (r->probe_target, sizeof r->probe_target, "%s", target);
  snprintf (url, sizeof url, "http://%s:%d%s", target, r->config.port, path);
  const struct http_call call = { .method = method,
                                  .url = url,
                                  .headers = headers,
                                  .timeout_ms = RELAY_ATTEMPT_MS,
                                  .done = on_probe_answer,
                                  .done_arg = r };
  http_client_send (r->client, &call);
}
