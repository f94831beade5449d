#include "workflow_service.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "counters.h"
#include "leader_placement.h"
#include "log.h"

#define ROUND_INTERVAL_MS 300 /* quorum rounds of a leader; three per AUTHORITY_MS */
/* Voters elect no other leader for 1.3 s (election_min_ms) after a round began; less 200 ms.  */
#define AUTHORITY_MS 1100
#define DRAIN_WAIT_MS 400       /* for its commit; below the timeout of a relay attempt */
#define AUTHORITY_MARGIN_MS 100 /* subtracted in addition: timer delays of voters and this VM */

#define CHECKPOINT_DIVISOR 4   /* checkpoints may use this part of the memory for jobs */
#define TRANSFER_RETRY_MS 1500 /* if the target did not take over; the duration of an election */

static struct histogram change_times
    = { .name = "sassafras_workflow_change_ms", .help = "Time from a change to its outcome." };
static struct histogram read_times
    = { .name = "sassafras_workflow_read_ms", .help = "Time to confirm leadership for a read." };
static struct histogram round_times
    = { .name = "sassafras_workflow_round_ms", .help = "Time of a quorum round of the leader." };
static struct counter leaderships
    = { .name = "sassafras_workflow_leaderships_total", .help = "Times this VM became leader." };

static struct counter unencodable
    = { .name = "sassafras_workflow_commands_unencodable_total",
        .help = "Commands with a field over its limit, which were refused." };

/* A command proposed by the dispatcher whose outcome is pending.  */
struct proposal
{
  STAILQ_ENTRY (proposal) link; /* in outcomes */
  struct workflow_service *service;
  uint64_t token;
  enum dispatcher_proposal outcome;
};

STAILQ_HEAD (proposals, proposal);

struct pending_change
{
  LIST_ENTRY (pending_change) link;
  struct workflow_service *service;
  uint64_t submitted_job; /* id; 0 for changes that submit none */
  uint64_t job_bytes;
  workflow_change_done *done;
  void *arg;
  int64_t began_ms;
};

struct pending_read
{
  struct workflow_service *service;
  workflow_read_done *done;
  void *arg;
  int64_t began_ms;
};

/* Waits until the drain or departure of a worker is committed.  */
struct pending_drain
{
  TAILQ_ENTRY (pending_drain) link;
  char *worker;
  workflow_read_done *done;
  void *arg;
  int64_t until_ms;
};

struct workflow_service
{
  struct workflow_service_config config;
  struct workflow workflow;
  struct dispatcher *dispatcher;
  struct group *group;
  LIST_HEAD (, pending_change) changes; /* whose outcome is pending */
  uint64_t submitted_bytes;             /* of their jobs */
  uint64_t submissions;                 /* among them */
  TAILQ_HEAD (, pending_drain) drains;  /* not yet committed */
  struct proposals outcomes;            /* queued: the dispatcher is not reentrant */
  bool leading;
  bool stopping;
  bool transferring;        /* sends no more orders until another VM leads */
  int64_t next_transfer_ms; /* next transfer attempt */
  struct leader_placement leader_placement;
  bool round_pending;
  int64_t round_began_ms;
  int64_t next_round_ms;
};

static void
on_proposed (void *arg, const struct status *st, const void *result, size_t len)
{
  struct proposal *p = arg;
  workflow_result r;
  if (status_ok (st) && workflow_decode_result (result, len, &r))
    p->outcome = r.status == STATUS_OK ? PROPOSAL_APPLIED : PROPOSAL_REFUSED;
  else
    p->outcome = st->kind == STATUS_TOO_LARGE ? PROPOSAL_REFUSED : PROPOSAL_LOST;
  STAILQ_INSERT_TAIL (&p->service->outcomes, p, link);
}

static int
encode (const workflow_command *command, struct buffer *out, struct status *st)
{
  if (workflow_encode (command, out))
    return 0;
  counter_add (&unencodable, 1);
  log_event (LOG_ERROR, "command-not-encodable", "kind=%d", command->kind);
  return status_set (st, STATUS_TOO_LARGE, "a field of the command is over its limit");
}

static void
propose (void *arg, const workflow_command *command, uint64_t token)
{
  struct workflow_service *s = arg;
  struct proposal *p = xcalloc (1, sizeof *p);
  struct buffer entry;
  struct status st;
  p->service = s;
  p->token = token;
  buffer_init (&entry);
  if (encode (command, &entry, &st) == 0)
    group_propose (s->group, entry.data, entry.len, on_proposed, p);
  else
    on_proposed (p, &st, NULL, 0);
  buffer_close (&entry);
}

static void
deliver_outcomes (struct workflow_service *s)
{
  struct proposal *p;
  while ((p = STAILQ_FIRST (&s->outcomes)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&s->outcomes, link);
      dispatcher_proposed (s->dispatcher, clock_now_ms (s->config.clock), p->token, p->outcome);
      free (p);
    }
}

struct workflow_service *
workflow_service_open (const struct workflow_service_config *config)
{
  struct workflow_service *s = xcalloc (1, sizeof *s);
  s->config = *config;
  STAILQ_INIT (&s->outcomes);
  LIST_INIT (&s->changes);
  TAILQ_INIT (&s->drains);
  leader_placement_init (&s->leader_placement);
  workflow_init (&s->workflow);
  const struct dispatcher_config dispatcher
      = { .workflow = &s->workflow,
          .link = config->link,
          .clock = config->clock,
          .propose = propose,
          .propose_arg = s,
          .lease_ms = config->lease_ms,
          .status_ms = config->status_ms,
          .max_checkpoint_bytes = config->max_job_bytes / CHECKPOINT_DIVISOR,
          .remote_run_factor = config->remote_run_factor,
          .ignore_weights = config->ignore_weights,
          .await_timeouts = config->await_timeouts };
  s->dispatcher = dispatcher_new (&dispatcher);
  return s;
}

static void
free_drain (struct workflow_service *s, struct pending_drain *p)
{
  TAILQ_REMOVE (&s->drains, p, link);
  free (p->worker);
  free (p);
}

void
workflow_service_close (struct workflow_service *s)
{
  struct proposal *p;
  while (!TAILQ_EMPTY (&s->drains))
    free_drain (s, TAILQ_FIRST (&s->drains));
  while ((p = STAILQ_FIRST (&s->outcomes)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&s->outcomes, link);
      free (p);
    }
  dispatcher_free (s->dispatcher);
  workflow_close (&s->workflow);
  free (s);
}

struct machine *
workflow_service_machine (struct workflow_service *s)
{
  return &s->workflow.machine;
}

struct workflow *
workflow_service_state (struct workflow_service *s)
{
  return &s->workflow;
}

struct dispatcher *
workflow_service_dispatcher (struct workflow_service *s)
{
  return s->dispatcher;
}

void
workflow_service_set_group (struct workflow_service *s, struct group *g)
{
  s->group = g;
}

bool
workflow_service_leads (const struct workflow_service *s)
{
  return s->leading && !s->transferring;
}

void
workflow_service_leader_changed (struct workflow_service *s)
{
  if (!s->leading || group_is_leader (s->group))
    return;
  s->leading = false;
  s->transferring = s->stopping;
  dispatcher_resign (s->dispatcher);
  log_event (LOG_WARN, "leadership-lost", "term=%llu", (unsigned long long)group_term (s->group));
}

static void
become_leader (struct workflow_service *s, int64_t now_ms)
{
  s->leading = true;
  counter_add (&leaderships, 1);
  log_state ("leadership-gained", "term=%llu applied=%llu",
             (unsigned long long)group_term (s->group),
             (unsigned long long)group_applied_index (s->group));
  dispatcher_become_leader (s->dispatcher, now_ms, group_term (s->group) * DISPATCHER_FENCES);
  leader_placement_elected (&s->leader_placement);
}

/* A refused transfer tells no voter to take over: this VM goes on leading unless it stops.  */
static void
transfer_leadership (struct workflow_service *s, uint64_t to)
{
  struct status st;
  bool accepted = false;
  dispatcher_set_authority (s->dispatcher, 0);
  s->next_transfer_ms = clock_now_ms (s->config.clock) + TRANSFER_RETRY_MS;
  if (s->group && group_is_leader (s->group))
    {
      accepted = group_transfer_leadership (s->group, to, &st) == 0;
      if (!accepted)
        log_event (LOG_WARN, "no-hand-over", "reason=\"%s\"", st.message);
    }
  s->transferring = s->stopping || accepted;
}

/* The voter that completes a quorum by distance, or by its last answer if distances are unknown. */
static struct voter_distance
quorum_voter (struct workflow_service *s)
{
  struct voter_distance others[PEER_MAX_MEMBERS];
  struct voter_distance last
      = { .node = group_quorum_completed_by (s->group), .answer_ms = INT64_MAX };
  size_t count = 0;
  if (s->config.voter_distances)
    count = s->config.voter_distances (s->config.arg, others, PEER_MAX_MEMBERS);
  if (count == 0 || last.node == 0)
    return last;
  struct voter_distance nearest = leader_placement_quorum (others, count);
  return nearest.answer_ms < INT64_MAX ? nearest : last;
}

/* A transfer ends the sending of orders for the rest of the term: the target may be elected at any
   time from then on.  The target would also wait anew for the leases of silent workers, and of
   those that leave before it knows that they drain: their lasting tasks would have no run
   meanwhile.  */
static void
check_leader_placement (struct workflow_service *s, int64_t now_ms)
{
  if (dispatcher_awaits_workers (s->dispatcher, now_ms))
    return;
  int64_t duration_ms = now_ms - s->round_began_ms;
  struct voter_distance to = quorum_voter (s);
  if (to.node == 0
      || !leader_placement_far_round (&s->leader_placement, now_ms, duration_ms, to.answer_ms))
    return;
  log_state ("leadership-moves",
             "to=%llu reason=\"the quorum is distant\" shortest_ms=%lld rounds=%u",
             (unsigned long long)to.node, (long long)s->leader_placement.shortest_ms,
             s->leader_placement.rounds);
  transfer_leadership (s, to.node);
}

static void
on_round (void *arg, const struct status *st, const void *result, size_t len)
{
  struct workflow_service *s = arg;
  int64_t duration_ms = clock_now_ms (s->config.clock) - s->round_began_ms;
  (void)result;
  (void)len;
  s->round_pending = false;
  histogram_add (&round_times, (double)duration_ms);
  if (duration_ms > ROUND_INTERVAL_MS)
    log_state ("quorum-round-slow", "ms=%lld outcome=%s", (long long)duration_ms,
               status_answer (st->kind)->name);
  if (!status_ok (st) || s->transferring)
    return;
  if (!s->leading)
    become_leader (s, clock_now_ms (s->config.clock));
  dispatcher_set_authority (s->dispatcher, s->round_began_ms + AUTHORITY_MS - AUTHORITY_MARGIN_MS);
  check_leader_placement (s, clock_now_ms (s->config.clock));
}

static void
renew_authority (struct workflow_service *s, int64_t now_ms)
{
  if (s->round_pending || s->transferring || now_ms < s->next_round_ms
      || !group_is_leader (s->group))
    return;
  s->round_pending = true;
  s->round_began_ms = now_ms;
  s->next_round_ms = now_ms + ROUND_INTERVAL_MS;
  group_confirm_leadership (s->group, on_round, s);
}

/* True if P has been answered: with success where waiting longer is of no use.  */
static bool
answer_drain (struct workflow_service *s, struct pending_drain *p, int64_t now_ms)
{
  struct status st;
  bool is_proposed;
  bool leads = dispatcher_has_authority (s->dispatcher, now_ms);
  bool awaits = leads && dispatcher_awaits_drain (s->dispatcher, p->worker, &is_proposed);
  if (awaits && now_ms < p->until_ms)
    return false;
  status_clear (&st);
  if (!leads)
    status_set (&st, STATUS_NO_QUORUM, "no quorum has confirmed this leader lately");
  else if (awaits && is_proposed)
    status_set (&st, STATUS_NO_QUORUM, "the drain or departure is not committed yet");
  p->done (p->arg, &st);
  return true;
}

static void
answer_drains (struct workflow_service *s, int64_t now_ms)
{
  struct pending_drain *p;
  struct pending_drain *next;
  for (p = TAILQ_FIRST (&s->drains); p; p = next)
    {
      next = TAILQ_NEXT (p, link);
      if (answer_drain (s, p, now_ms))
        free_drain (s, p);
    }
}

void
workflow_service_await_drain (struct workflow_service *s, const char *worker,
                              workflow_read_done *done, void *arg)
{
  struct pending_drain *p = xcalloc (1, sizeof *p);
  int64_t now_ms = clock_now_ms (s->config.clock);
  *p = (struct pending_drain){
    .worker = xstrdup (worker), .done = done, .arg = arg, .until_ms = now_ms + DRAIN_WAIT_MS
  };
  TAILQ_INSERT_TAIL (&s->drains, p, link);
  if (answer_drain (s, p, now_ms))
    free_drain (s, p);
}

void
workflow_service_tick (struct workflow_service *s)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  if (!s->group)
    return;
  deliver_outcomes (s);
  renew_authority (s, now_ms);
  if (s->transferring && !s->stopping && now_ms >= s->next_transfer_ms)
    transfer_leadership (s, 0);
  if (s->leading)
    dispatcher_tick (s->dispatcher, now_ms, clock_wall_ms ());
  answer_drains (s, now_ms);
}

void
workflow_service_transfer_leadership (struct workflow_service *s)
{
  s->stopping = true;
  transfer_leadership (s, 0);
}

static void
on_changed (void *arg, const struct status *st, const void *result, size_t len)
{
  struct pending_change *c = arg;
  struct status outcome = *st;
  workflow_result r = { 0 };
  if (status_ok (st) && !workflow_decode_result (result, len, &r))
    status_set (&outcome, STATUS_INTERNAL, "the result of a change cannot be decoded");
  else if (status_ok (st) && r.status != STATUS_OK)
    status_set (&outcome, (enum status_kind)r.status, "refused by the state of the jobs");
  histogram_add (&change_times, (double)(clock_now_ms (c->service->config.clock) - c->began_ms));
  LIST_REMOVE (c, link);
  c->service->submitted_bytes -= c->job_bytes;
  c->service->submissions -= c->job_bytes > 0;
  c->done (c->arg, &outcome, r.known);
  free (c);
}

/* The job that COMMAND submits, or NULL.  */
static const workflow_spec *
submitted_spec (const workflow_command *command)
{
  if (command->kind == WORKFLOW_SUBMIT)
    return &command->workflow_command_u.spec;
  if (command->kind == WORKFLOW_SUBMIT_AS)
    return &command->workflow_command_u.submission.spec;
  return NULL;
}

void
workflow_service_change (struct workflow_service *s, const workflow_command *command,
                         workflow_change_done *done, void *arg)
{
  struct pending_change *c = xcalloc (1, sizeof *c);
  struct buffer entry;
  struct status st;
  *c = (struct pending_change){
    .service = s, .done = done, .arg = arg, .began_ms = clock_now_ms (s->config.clock)
  };
  const workflow_spec *spec = submitted_spec (command);
  if (spec)
    {
      c->submitted_job = spec->id;
      c->job_bytes = workflow_job_bytes (spec);
      s->submitted_bytes += c->job_bytes;
      s->submissions++;
    }
  LIST_INSERT_HEAD (&s->changes, c, link);
  buffer_init (&entry);
  if (encode (command, &entry, &st) == 0)
    group_propose (s->group, entry.data, entry.len, on_changed, c);
  else
    on_changed (c, &st, NULL, 0);
  buffer_close (&entry);
}

bool
workflow_service_is_submitting (const struct workflow_service *s, uint64_t job)
{
  const struct pending_change *c;
  LIST_FOREACH (c, &s->changes, link)
  if (c->submitted_job == job)
    return true;
  return false;
}

bool
workflow_service_has_room (const struct workflow_service *s, const workflow_spec *spec)
{
  uint64_t limit = s->config.max_job_bytes;
  if (s->workflow.jobs.count + s->submissions >= WORKFLOW_MAX_JOBS)
    return false;
  return limit == 0
         || s->workflow.job_bytes + s->workflow.checkpoint_bytes + s->submitted_bytes
                    + workflow_job_bytes (spec)
                <= limit;
}

static void
on_confirmed (void *arg, const struct status *st, const void *result, size_t len)
{
  struct pending_read *r = arg;
  (void)result;
  (void)len;
  histogram_add (&read_times, (double)(clock_now_ms (r->service->config.clock) - r->began_ms));
  r->done (r->arg, st);
  free (r);
}

void
workflow_service_read (struct workflow_service *s, workflow_read_done *done, void *arg)
{
  struct pending_read *r = xcalloc (1, sizeof *r);
  *r = (struct pending_read){
    .service = s, .done = done, .arg = arg, .began_ms = clock_now_ms (s->config.clock)
  };
  group_confirm_leadership (s->group, on_confirmed, r);
}
