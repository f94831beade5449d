#include "cell_service.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "cell_transfers.h"
#include "counters.h"
#include "home_cell.h"
#include "log.h"
#include "member_sync.h"
#include "propose_command.h"

#define CONFIRM_INTERVAL_MS 800    /* between quorum rounds while this VM leads and has workers */
#define CONFIRMATION_VALID_MS 1100 /* from a round's start; no other leader is elected in it */
#define UNCONFIRMED_EXTRA_HOLD_MS 1000 /* extra hold of polls without confirmed leadership */
#define PERMIT_TIMEOUT_MS 1000
#define EPOCH_CLOSE_RETRY_MS 500
#define MAX_PROPOSALS_PER_FLUSH 64 /* proposals may complete immediately and cause others */

/* A scheduler proposal in flight.  */
struct pending_proposal
{
  struct cell_service *service;
  uint64_t id;
};

struct cell_service
{
  struct cell_service_config config;
  struct cell cell;
  struct group *group;
  struct scheduler *scheduler;
  struct cell_transfers *transfers;
  struct permit_holder permit;
  bool leading;  /* leadership confirmed, own log applied */
  bool stopping; /* planned stop has begun */
  bool out;      /* the data centre is out, as last passed to the scheduler */
  bool round_in_flight;
  int64_t round_started_ms;
  int64_t confirmed_until_ms; /* as passed to the scheduler */
  int64_t next_round_ms;
  bool closing_epoch;
  int64_t next_close_ms;
  bool out_ack_in_flight;
  int64_t starts_valid_until_ms; /* end of start commands sent before the data centre was out */
  uint64_t stopped_version;      /* acknowledged state version */
  bool leadership_transfer_in_flight;
  struct member_sync members;
  struct held_polls polls;
};

static struct counter starts_gauge = { .name = "sassafras_cell_starts_total",
                                       .help = "Task starts sent to workers.",
                                       .is_gauge = true };
static struct counter evictions_gauge = { .name = "sassafras_cell_evictions_total",
                                          .help = "Batch tasks evicted.",
                                          .is_gauge = true };
static struct counter workers_gauge = { .name = "sassafras_cell_workers",
                                        .help = "Workers alive in the cell led here.",
                                        .is_gauge = true };
static struct counter pending_gauge = { .name = "sassafras_cell_pending_tasks",
                                        .help = "Tasks that wait for a placement.",
                                        .is_gauge = true };
static struct counter permit_gauge = { .name = "sassafras_start_permit_left_ms",
                                       .help = "Life left of the start permit held here.",
                                       .is_gauge = true };

static bool
plan_quota (void *ctx, const char *customer, struct scheduler_quota *out)
{
  struct cell_service *s = ctx;
  const struct plan *p = plans_for_customer (registry_plans (s->config.registry), customer);
  if (!p)
    return false;
  out->weight = (double)p->weight;
  out->max_millicores = (uint64_t)p->batch_millicores;
  out->max_memory_mb = (uint64_t)p->memory_mb;
  out->max_accelerators = (uint64_t)p->accelerators;
  out->evictions_per_hour = (uint32_t)p->evictions_per_hour;
  return true;
}

struct cell_service *
cell_service_open (const struct cell_service_config *config)
{
  struct cell_service *s = xcalloc (1, sizeof *s);
  s->config = *config;
  cell_init (&s->cell, config->number);
  const struct scheduler_config sc
      = { .cell = &s->cell, .quota = plan_quota, .quota_ctx = s, .seed = config->seed };
  s->scheduler = scheduler_new (&sc);
  const struct cell_transfers_config tc = { .cell = &s->cell,
                                            .proposer = config->proposer,
                                            .registry = config->registry,
                                            .clock = config->clock };
  s->transfers = cell_transfers_open (&tc);
  permit_holder_init (&s->permit);
  held_polls_init (&s->polls);
  return s;
}

void
cell_service_close (struct cell_service *s)
{
  if (!s)
    return;
  held_polls_close (&s->polls);
  cell_transfers_close (s->transfers);
  scheduler_free (s->scheduler);
  cell_close (&s->cell);
  free (s);
}

struct machine *
cell_service_machine (struct cell_service *s)
{
  return &s->cell.machine;
}

void
cell_service_set_group (struct cell_service *s, struct group *g)
{
  s->group = g;
  member_sync_init (&s->members, g, s->config.data_centre);
}

/* Refuses a job that can never run, before it is logged.  The plan may allow less than the largest
   worker: a task above that limit would stay pending forever.  */
static int
check_plan (const struct cell_service *s, const cell_job_spec *spec, struct status *st)
{
  const struct plan *p = plans_for_customer (registry_plans (s->config.registry), spec->customer);
  const struct plan_size size = { .millicores = spec->size.millicores,
                                  .memory_mb = spec->size.memory_mb,
                                  .accelerators = spec->size.accelerators };
  if (!*s->config.registry_known)
    return status_set (st, STATUS_NO_QUORUM, "the lists are not known here yet");
  if (!p)
    return status_set (st, STATUS_UNKNOWN_CUSTOMER, "customer '%s' is not in the list of customers",
                       spec->customer);
  return plans_task_fits (registry_plans (s->config.registry), p, &size, spec->kind == CELL_URGENT,
                          st)
             ? 0
             : -1;
}

static int
admit_jobs (struct cell_service *s, const cell_batch *batch, struct status *st)
{
  for (u_int i = 0; i < batch->commands.commands_len; i++)
    {
      const cell_command *c = &batch->commands.commands_val[i];
      const cell_job_spec *spec = &c->cell_command_u.submit;
      if (c->kind == CELL_SUBMIT
          && (check_plan (s, spec, st) < 0 || scheduler_admit (s->scheduler, spec, st) < 0))
        return -1;
    }
  return 0;
}

int
cell_service_prepare (void *service, void *command, size_t len, struct status *st)
{
  struct cell_service *s = service;
  cell_batch batch;
  if (!s->leading)
    return status_set (st, STATUS_NOT_LEADER, "the leader is not ready yet");
  if (cell_decode_batch (command, len, &batch, st) < 0)
    return -1;
  int rc = admit_jobs (s, &batch, st);
  cell_free_batch (&batch);
  if (rc == 0)
    cell_stamp (&s->cell, clock_now_ms (s->config.clock), command, len);
  return rc;
}

/* Answers one poll with the scheduler's commands for its worker.  */
static void
answer_poll (struct cell_service *s, const char *worker, cell_poll_fn *done, void *arg)
{
  struct worker_answer answer = { 0 };
  struct status st;
  status_clear (&st);
  if (scheduler_answer (s->scheduler, clock_now_ms (s->config.clock), worker, &answer, &st) < 0)
    done (arg, &st, NULL);
  else
    done (arg, &st, &answer);
}

/* Answers the held poll of a worker that polls again: the scheduler answers only the newer poll, so
   the older one gets neither commands nor a lease.  */
static void
supersede_poll (struct cell_service *s, const struct worker_poll *newer)
{
  struct held_poll p;
  if (!held_polls_take (&s->polls, newer->id, &p))
    return;
  const struct worker_answer empty = { .incarnation = newer->incarnation };
  struct status st;
  status_clear (&st);
  p.done (p.arg, &st, &empty);
}

static void
refuse_all_polls (struct cell_service *s, enum status_kind kind, const char *message)
{
  struct held_poll p;
  struct status st;
  status_set (&st, kind, "%s", message);
  while (held_polls_take_due (&s->polls, INT64_MAX, &p))
    p.done (p.arg, &st, NULL);
}

static void
on_proposal_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct pending_proposal *p = arg;
  struct cell_service *s = p->service;
  (void)result;
  (void)len;
  /* With an unknown outcome the entry may still be applied: the scheduler waits for the log.  */
  if (st->kind != STATUS_OUTCOME_UNKNOWN)
    scheduler_proposal_done (s->scheduler, clock_now_ms (s->config.clock), p->id, status_ok (st));
  free (p);
}

static bool
propose_next (struct cell_service *s)
{
  struct scheduler_proposal next;
  if (!scheduler_next_proposal (s->scheduler, clock_now_ms (s->config.clock), &next))
    return false;
  struct pending_proposal *p = xcalloc (1, sizeof *p);
  p->service = s;
  p->id = next.id;
  group_propose (s->group, next.entry.data, next.entry.len, on_proposal_done, p);
  buffer_close (&next.entry);
  return true;
}

static void
answer_ready_workers (struct cell_service *s)
{
  const char *worker;
  struct held_poll p;
  while ((worker = scheduler_next_ready (s->scheduler)))
    if (held_polls_take (&s->polls, worker, &p))
      answer_poll (s, p.worker, p.done, p.arg);
}

static void
flush_scheduler (struct cell_service *s)
{
  if (!s->leading)
    return;
  for (int i = 0; i < MAX_PROPOSALS_PER_FLUSH && propose_next (s); i++)
    ;
  answer_ready_workers (s);
}

static void
flush_moves (struct cell_service *s, int64_t now_ms)
{
  struct scheduler_move move;
  while (scheduler_next_move (s->scheduler, &move))
    cell_transfers_move (s->transfers, &move, now_ms);
}

static void
lose_leadership (struct cell_service *s, int64_t now_ms)
{
  s->leading = false;
  permit_holder_release (&s->permit, now_ms);
  scheduler_extend_permit (s->scheduler, 0);
  scheduler_set_leader (s->scheduler, now_ms, false);
  cell_transfers_set_leader (s->transfers, false);
  refuse_all_polls (s, STATUS_NOT_LEADER, "the cell has a new leader");
}

static void
gain_leadership (struct cell_service *s, int64_t now_ms)
{
  s->leading = true;
  s->leadership_transfer_in_flight = false;
  scheduler_set_leader (s->scheduler, now_ms, true);
  cell_transfers_set_leader (s->transfers, true);
  log_line (LOG_INFO, "cell %s: this VM leads in term %llu", s->config.data_centre,
            (unsigned long long)group_term (s->group));
}

static void
on_round_done (void *arg, const struct status *st, const void *result, size_t len)
{
  struct cell_service *s = arg;
  (void)result;
  (void)len;
  s->round_in_flight = false;
  if (!status_ok (st) || s->stopping)
    return;
  if (!s->leading)
    gain_leadership (s, clock_now_ms (s->config.clock));
  if (!s->leadership_transfer_in_flight)
    {
      s->confirmed_until_ms = s->round_started_ms + CONFIRMATION_VALID_MS;
      scheduler_confirm_leadership (s->scheduler, s->confirmed_until_ms);
    }
}

static bool
has_workers (const struct cell_service *s)
{
  struct scheduler_stats stats;
  scheduler_stats (s->scheduler, &stats);
  return stats.workers > 0;
}

static void
confirm_leadership (struct cell_service *s, int64_t now_ms)
{
  if (s->round_in_flight || now_ms < s->next_round_ms || (s->leading && !has_workers (s)))
    return;
  s->round_in_flight = true;
  s->round_started_ms = now_ms;
  s->next_round_ms = now_ms + CONFIRM_INTERVAL_MS;
  group_confirm_leadership (s->group, on_round_done, s);
}

void
cell_service_leader_changed (struct cell_service *s)
{
  if (s->leading && !group_is_leader (s->group))
    lose_leadership (s, clock_now_ms (s->config.clock));
}

static void
accept_grant (struct cell_service *s, const permit_grant *grant)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  const struct permit p
      = { .granted = grant->granted, .life_ms = grant->life_ms, .epoch = grant->cell_epoch };
  permit_holder_handle_answer (&s->permit, (int64_t)grant->asked, &p, now_ms);
  cell_transfers_set_cells (s->transfers, grant->cells.cells_val, grant->cells.cells_len);
}

static void
on_permit_answer (void *arg, const permit_grant *grant)
{
  accept_grant (arg, grant);
}

static void
on_permit_reply (void *arg, const struct status *st, const permit_grant *grant)
{
  if (status_ok (st))
    accept_grant (arg, grant);
}

static cell_capacity
capacity_summary (const struct cell_service *s)
{
  struct scheduler_stats stats;
  scheduler_stats (s->scheduler, &stats);
  counter_set (&starts_gauge, (int64_t)stats.starts);
  counter_set (&evictions_gauge, (int64_t)stats.evictions);
  counter_set (&workers_gauge, stats.workers);
  counter_set (&pending_gauge, stats.pending);
  return (cell_capacity){ .data_centre = (char *)s->config.data_centre,
                          .free_millicores = stats.free_millicores,
                          .free_memory_mb = stats.free_memory_mb,
                          .free_accelerators = stats.free_accelerators,
                          .pending_tasks = stats.pending };
}

static void
request_permit (struct cell_service *s, int64_t now_ms)
{
  if (!permit_holder_due (&s->permit, now_ms))
    return;
  permit_request request = { .data_centre = (char *)s->config.data_centre,
                             .asked = (uint64_t)permit_holder_request (&s->permit, now_ms),
                             .capacity = capacity_summary (s) };
  uint64_t leader = group_leader_node (s->config.registry_group);
  if (leader == s->config.node)
    registry_service_permit (s->config.registry_service, s->config.node, &request, on_permit_answer,
                             s);
  else if (leader != 0)
    peer_call_permit (s->config.net, leader, &request, PERMIT_TIMEOUT_MS, on_permit_reply, s);
}

/* A permit is valid only for the cell epoch that it was granted for.  */
static void
update_start_permit (struct cell_service *s, int64_t now_ms)
{
  int64_t left = permit_holder_left_ms (&s->permit, now_ms);
  if (s->out || s->permit.epoch != s->cell.epoch)
    left = 0;
  counter_set (&permit_gauge, left);
  scheduler_extend_permit (s->scheduler, left > 0 ? now_ms + left : 0);
}

/* True while a worker may still execute a start command that was already sent.  */
static bool
start_outstanding (const struct cell_service *s, int64_t now_ms)
{
  const struct cell_job *job;
  const struct cell_task *task;
  if (now_ms >= s->starts_valid_until_ms)
    return false;
  TAILQ_FOREACH (job, &s->cell.job_list, link)
  STAILQ_FOREACH (task, &job->tasks, link)
  if (task->state == CELL_PLACED || task->state == CELL_STOPPING)
    return true;
  return false;
}

/* Reports to the registry that this cell starts no more tasks because the data centre is out.  */
static void
acknowledge_out (struct cell_service *s, const registry_data_centre *dc, int64_t now_ms)
{
  struct status st;
  if (s->out_ack_in_flight || dc->stopped_version == dc->state_version
      || start_outstanding (s, now_ms))
    return;
  registry_command command = { .request_id = (char *)"" };
  command.body.kind = REGISTRY_STOPPED;
  command.body.registry_body_u.stopped.data_centre = dc->name;
  command.body.registry_body_u.stopped.out_version = dc->state_version;
  command.body.registry_body_u.stopped.node = s->config.node;
  s->out_ack_in_flight = true;
  if (propose_registry_command (s->config.proposer, &command, propose_clear_flag,
                                &s->out_ack_in_flight, &st)
      < 0)
    s->out_ack_in_flight = false;
}

/* Applies a closing of this cell's epoch, e.g. while its data centre was unreachable.  */
static void
sync_cell_epoch (struct cell_service *s, const registry_data_centre *dc, int64_t now_ms)
{
  struct buffer entry;
  if (dc->epoch <= s->cell.epoch || s->closing_epoch || now_ms < s->next_close_ms)
    return;
  cell_command command = { .kind = CELL_EPOCH_CLOSED };
  command.cell_command_u.epoch_closed.closed_epoch = dc->epoch - 1;
  buffer_init (&entry);
  cell_encode (&s->cell, now_ms, &command, 1, &entry);
  s->closing_epoch = true;
  s->next_close_ms = now_ms + EPOCH_CLOSE_RETRY_MS;
  group_propose (s->group, entry.data, entry.len, propose_clear_flag, &s->closing_epoch);
  buffer_close (&entry);
}

static void
sync_data_centre_state (struct cell_service *s, int64_t now_ms)
{
  const registry_data_centre *dc
      = registry_find_data_centre (s->config.registry, s->config.data_centre);
  if (!dc)
    return;
  if (dc->out && !s->out)
    {
      s->starts_valid_until_ms = now_ms + permit_holder_left_ms (&s->permit, now_ms);
      permit_holder_release (&s->permit, now_ms);
    }
  s->out = dc->out;
  scheduler_set_data_centre_out (s->scheduler, now_ms, dc->out);
  if (dc->out)
    acknowledge_out (s, dc, now_ms);
  sync_cell_epoch (s, dc, now_ms);
}

/* A leader outside the data centre it schedules transfers the leadership to a local voter.  */
static void
transfer_leadership_to_local_voter (struct cell_service *s)
{
  const registry_member *self = registry_find_node (s->config.registry, s->config.node);
  if (s->leadership_transfer_in_flight || !self
      || strcmp (self->data_centre, s->config.data_centre) == 0)
    return;
  const raft_members *m = group_members (s->group);
  for (u_int i = 0; i < m->members.members_len; i++)
    {
      uint64_t node = m->members.members_val[i].node;
      const registry_member *other = registry_find_node (s->config.registry, node);
      struct status st;
      if (!m->members.members_val[i].voter || !other
          || strcmp (other->data_centre, s->config.data_centre) != 0)
        continue;
      if (group_transfer_leadership (s->group, node, &st) == 0)
        {
          s->leadership_transfer_in_flight = true;
          return;
        }
    }
}

/* Voters are the VMs that the registry lists for this cell; other VMs of its data centre learn.  */
static void
reconcile_members (struct cell_service *s, int64_t now_ms)
{
  const registry_member *all;
  size_t n = registry_members (s->config.registry, &all);
  raft_member list[PEER_MAX_MEMBERS];
  size_t count = 0;
  for (size_t i = 0; i < n && count < PEER_MAX_MEMBERS; i++)
    {
      bool voter = member_votes_in_cell (&all[i], s->config.data_centre);
      if (voter || strcmp (all[i].data_centre, s->config.data_centre) == 0)
        list[count++] = (raft_member){ .node = all[i].node, .voter = voter };
    }
  member_sync_tick (&s->members, list, count, now_ms);
}

static void
answer_due_polls (struct cell_service *s, int64_t now_ms)
{
  struct held_poll p;
  /* An answer without confirmed leadership renews no lease, so the poll is held longer instead.  */
  int64_t due_ms = now_ms <= s->confirmed_until_ms ? now_ms : now_ms - UNCONFIRMED_EXTRA_HOLD_MS;
  while (held_polls_take_due (&s->polls, due_ms, &p))
    answer_poll (s, p.worker, p.done, p.arg);
}

void
cell_service_tick (struct cell_service *s, int64_t now_ms)
{
  if (!s->group || !group_is_leader (s->group) || s->stopping)
    return;
  confirm_leadership (s, now_ms);
  if (!s->leading)
    return;
  sync_data_centre_state (s, now_ms);
  /* Also while the data centre is out: the answer lists the cells that can receive its tasks.  */
  request_permit (s, now_ms);
  update_start_permit (s, now_ms);
  scheduler_set_peer_cells (s->scheduler, cell_transfers_cells (s->transfers),
                            cell_transfers_cell_count (s->transfers));
  scheduler_tick (s->scheduler, now_ms);
  flush_scheduler (s);
  flush_moves (s, now_ms);
  cell_transfers_tick (s->transfers, now_ms);
  answer_due_polls (s, now_ms);
  reconcile_members (s, now_ms);
  transfer_leadership_to_local_voter (s);
}

void
cell_service_plans_changed (struct cell_service *s)
{
  scheduler_reload_quotas (s->scheduler, clock_now_ms (s->config.clock));
}

bool
cell_service_leading (const struct cell_service *s)
{
  return s->leading;
}

bool
cell_service_elected (const struct cell_service *s)
{
  return s->group && group_is_leader (s->group);
}

uint64_t
cell_service_leader (const struct cell_service *s)
{
  return s->group ? group_leader_node (s->group) : 0;
}

const struct cell *
cell_service_cell (const struct cell_service *s)
{
  return &s->cell;
}

uint64_t
cell_service_number (const struct cell_service *s)
{
  return s->config.number;
}

const char *
cell_service_data_centre (const struct cell_service *s)
{
  return s->config.data_centre;
}

int
cell_service_announce (struct cell_service *s, const struct worker_announce *a, struct status *st)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  if (scheduler_announce (s->scheduler, now_ms, a, st) < 0)
    return -1;
  scheduler_tick (s->scheduler, now_ms);
  flush_scheduler (s);
  return 0;
}

static void
hold_poll (struct cell_service *s, const char *worker, cell_poll_fn *done, void *arg)
{
  struct held_poll p = { .until_ms = clock_now_ms (s->config.clock) + CELL_POLL_HOLD_MS,
                         .done = done,
                         .arg = arg };
  snprintf (p.worker, sizeof p.worker, "%s", worker);
  held_polls_add (&s->polls, &p);
}

int
cell_service_poll (struct cell_service *s, const struct worker_poll *p, bool wait,
                   cell_poll_fn *done, void *arg, struct status *st)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  if (scheduler_poll (s->scheduler, now_ms, p, st) < 0)
    return -1;
  supersede_poll (s, p);
  if (wait)
    hold_poll (s, p->id, done, arg);
  scheduler_tick (s->scheduler, now_ms);
  flush_scheduler (s);
  if (!wait)
    answer_poll (s, p->id, done, arg);
  return 0;
}

void
cell_service_stop (struct cell_service *s)
{
  s->stopping = true;
  if (s->leading)
    lose_leadership (s, clock_now_ms (s->config.clock));
}

json_t *
cell_service_state (const struct cell_service *s)
{
  struct scheduler_stats stats;
  struct buffer dump;
  scheduler_stats (s->scheduler, &stats);
  buffer_init (&dump);
  scheduler_dump (s->scheduler, &dump);
  json_t *details = json_loadb (dump.data ? dump.data : "", dump.len, 0, NULL);
  buffer_close (&dump);
  return json_pack ("{s:s, s:I, s:b, s:b, s:I, s:I, s:i, s:i, s:I, s:I, s:i, s:o*}", "data_centre",
                    s->config.data_centre, "epoch", (json_int_t)s->cell.epoch, "leading",
                    s->leading ? 1 : 0, "out", s->out ? 1 : 0, "permit_left_ms",
                    (json_int_t)permit_holder_left_ms (&s->permit, clock_now_ms (s->config.clock)),
                    "tasks", (json_int_t)s->cell.task_count, "workers", (int)stats.workers,
                    "pending", (int)stats.pending, "starts", (json_int_t)stats.starts, "evictions",
                    (json_int_t)stats.evictions, "intents", (int)s->cell.intent_count, "scheduler",
                    details);
}
