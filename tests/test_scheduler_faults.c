/* Guards against invariant violations under seeded faults: lost, late, repeated and reordered
   messages, worker crashes and restarts, a leader change that the old leader does not notice, and
   permit loss.  After every step: accounting and sizes (scheduler_check), no task running twice, no
   worker running more than its size, no start outside a permit, no start of a placement that is not
   committed.  After the faults stop every job must end.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "../bench/fake_worker.h"
#include "rng.h"

#define STEP_MS 20
#define WORKERS 10
#define NODES 2
#define MAX_MESSAGES 4096
#define MAX_JOBS 400
#define FAULTS_MS 90000
#define RECOVERY_MS 240000
#define SEEDS 40

struct message
{
  bool used;
  int64_t at_ms;
  bool to_worker;
  size_t worker;
  int node;
  uint64_t incarnation;
  uint64_t sequence;
  bool announce;
  int64_t poll_sent_ms;
  struct fake_task tasks[64];
  size_t count;
  uint32_t lease_ms;
  uint32_t covered_ms;
  struct fake_command *commands;
};

struct entry
{
  struct buffer bytes;
  int node;
  uint64_t proposal;
  int64_t commit_ms;
};

struct world
{
  struct rng rng;
  int64_t now_ms;
  struct cell cells[NODES];
  struct scheduler *scheds[NODES];
  size_t applied[NODES];
  bool thinks_leader[NODES];
  int64_t confirmed_ms[NODES];
  int leader; /* the node that can commit */
  struct entry *log;
  size_t log_count;
  size_t log_capacity;
  size_t committed;
  struct fake_worker workers[WORKERS];
  struct message *messages;
  int64_t permit_ms;
  bool permit_on;
  bool faults;
  uint32_t jobs;
  uint64_t job_ids[MAX_JOBS];
  int64_t old_leader_until_ms;
  int64_t down_until_ms[WORKERS];
  int64_t handled_sent_ms[NODES][WORKERS]; /* when the last handled poll was sent */
};

static struct message *
new_message (struct world *w)
{
  for (size_t i = 0; i < MAX_MESSAGES; i++)
    if (!w->messages[i].used)
      {
        struct message *m = &w->messages[i];
        memset (m, 0, sizeof *m);
        m->used = true;
        return m;
      }
  fail_msg ("too many messages");
  return NULL;
}

static int64_t
delay (struct world *w)
{
  if (w->faults && rng_chance (&w->rng, 0.03))
    return rng_between (&w->rng, 1000, 8000);
  return rng_between (&w->rng, 1, 40);
}

static bool
lost (struct world *w)
{
  return w->faults && rng_chance (&w->rng, 0.08);
}

static void
send_copy (struct world *w, const struct message *from)
{
  if (lost (w))
    return;
  struct message *m = new_message (w);
  *m = *from;
  m->used = true;
  m->at_ms = w->now_ms + delay (w);
  if (from->commands)
    {
      m->commands = xcalloc (from->count, sizeof *m->commands);
      memcpy (m->commands, from->commands, from->count * sizeof *m->commands);
    }
}

static void
send_message (struct world *w, const struct message *m)
{
  send_copy (w, m);
  if (w->faults && rng_chance (&w->rng, 0.05))
    send_copy (w, m);
}

/* Workers.  */

static void
worker_send (struct world *w, size_t i)
{
  struct fake_worker *f = &w->workers[i];
  struct message m;
  memset (&m, 0, sizeof m);
  m.worker = i;
  m.node = w->leader;
  for (int n = 0; n < NODES; n++)
    if (n != w->leader && w->thinks_leader[n] && rng_chance (&w->rng, 0.5))
      m.node = n;
  m.incarnation = f->incarnation;
  m.count = f->count < 64 ? f->count : 64;
  memcpy (m.tasks, f->tasks, m.count * sizeof *m.tasks);
  m.announce = !f->announced;
  if (f->announced)
    m.sequence = ++f->sequence;
  m.poll_sent_ms = w->now_ms;
  f->poll_sent_ms = w->now_ms;
  f->poll_pending = true;
  send_message (w, &m);
}

static void
step_worker (struct world *w, size_t i)
{
  struct fake_worker *f = &w->workers[i];
  if (!f->up)
    {
      f->up = w->now_ms >= w->down_until_ms[i];
      return;
    }
  bool ended = fake_step (f, w->now_ms, STEP_MS);
  if (w->faults && rng_chance (&w->rng, 0.0005))
    {
      fake_kill (f);
      w->down_until_ms[i] = w->now_ms + rng_between (&w->rng, 20, 20000);
      return;
    }
  if (!f->poll_pending || ended || w->now_ms - f->poll_sent_ms > 4000)
    worker_send (w, i);
}

static void
check_start (struct world *w, const struct fake_command *c)
{
  const struct cell_task *t = cell_find_task (&w->cells[w->leader], c->c.task);
  assert_non_null (t);
  assert_true (c->c.epoch <= t->epoch);
}

/* A worker may drop a report only after the log has recorded the end of that run.  */
static void
check_forget (struct world *w, const struct fake_command *c)
{
  const struct cell_task *t = cell_find_task (&w->cells[w->leader], c->c.task);
  if (!t)
    return;
  assert_true (t->epoch > c->c.epoch || (t->epoch == c->c.epoch && !cell_task_on_worker (t)));
}

static void
deliver_to_worker (struct world *w, struct message *m)
{
  struct fake_worker *f = &w->workers[m->worker];
  if (!f->up || m->incarnation != f->incarnation)
    return;
  if (m->announce)
    {
      f->announced = m->lease_ms != 0;
      f->poll_pending = false;
      return;
    }
  /* A late answer to an abandoned poll still carries epochs: a worker may act on its commands.  */
  fake_renew (f, m->lease_ms, m->covered_ms, m->poll_sent_ms);
  for (size_t i = 0; i < m->count; i++)
    {
      uint64_t before = f->started;
      if (m->commands[i].c.kind == WORKER_FORGET)
        check_forget (w, &m->commands[i]);
      fake_command_apply (f, &m->commands[i], w->now_ms, m->poll_sent_ms);
      if (f->started == before)
        continue;
      check_start (w, &m->commands[i]);
      assert_true (w->now_ms < w->permit_ms);
    }
  if (m->poll_sent_ms == f->poll_sent_ms)
    f->poll_pending = false;
}

/* Nodes.  */

static void
fill_list (struct message *m, struct worker_task *list)
{
  struct fake_worker f;
  memset (&f, 0, sizeof f);
  memcpy (f.tasks, m->tasks, m->count * sizeof *m->tasks);
  f.count = m->count;
  fake_list (&f, list);
  for (size_t i = 0; i < m->count; i++)
    list[i].checkpoint = m->tasks[i].checkpoint;
}

static void
deliver_to_node (struct world *w, struct message *m)
{
  struct worker_task list[64];
  struct status st;
  const struct fake_worker *f = &w->workers[m->worker];
  struct scheduler *s = w->scheds[m->node];
  fill_list (m, list);
  if (m->announce)
    {
      struct worker_announce a = {
        f->id, f->rack, m->incarnation, f->size.millicores, f->size.memory_mb, f->size.accelerators,
        list,  m->count
      };
      struct message reply = { .to_worker = true, .worker = m->worker, .announce = true };
      reply.incarnation = m->incarnation;
      reply.lease_ms = scheduler_announce (s, w->now_ms, &a, &st) == 0;
      send_message (w, &reply);
      return;
    }
  struct worker_poll p = { f->id, m->incarnation, m->sequence, 200, 0, list, m->count };
  if (scheduler_poll (s, w->now_ms, &p, &st) == 0)
    {
      w->handled_sent_ms[m->node][m->worker] = m->poll_sent_ms;
      return;
    }
  if (st.kind != STATUS_NOT_FOUND)
    return;
  struct message reply = { .to_worker = true, .worker = m->worker, .announce = true };
  reply.incarnation = m->incarnation;
  send_message (w, &reply);
}

static void
answer_polls (struct world *w, int node)
{
  const char *id;
  struct worker_answer a;
  struct status st;
  while ((id = scheduler_next_ready (w->scheds[node])))
    {
      size_t i = (size_t)atoi (id + 1);
      if (scheduler_answer (w->scheds[node], w->now_ms, id, &a, &st) != 0)
        continue;
      struct message m = { .to_worker = true, .worker = i, .node = node };
      m.incarnation = a.incarnation;
      m.poll_sent_ms = w->handled_sent_ms[node][i];
      m.lease_ms = a.lease_ms;
      m.covered_ms = a.covered_lease_ms;
      m.count = a.count;
      m.commands = xcalloc (a.count, sizeof *m.commands);
      for (size_t k = 0; k < a.count; k++)
        fake_copy_command (&m.commands[k], &a.commands[k]);
      send_message (w, &m);
      free (m.commands);
    }
}

static void
propose (struct world *w, int node, struct buffer bytes, uint64_t proposal)
{
  if (node != w->leader)
    {
      buffer_close (&bytes);
      return;
    }
  if (w->log_count == w->log_capacity)
    {
      w->log_capacity = w->log_capacity ? 2 * w->log_capacity : 1024;
      w->log = xrealloc (w->log, w->log_capacity * sizeof *w->log);
    }
  struct entry *e = &w->log[w->log_count++];
  e->bytes = bytes;
  e->node = node;
  e->proposal = proposal;
  e->commit_ms = w->now_ms + rng_between (&w->rng, 2, w->faults ? 200 : 10);
}

static void
apply_entry (struct world *w, int node, size_t index)
{
  const struct entry *e = &w->log[index];
  struct buffer out;
  buffer_init (&out);
  struct machine *m = &w->cells[node].machine;
  m->ops->apply (m, index, e->bytes.data, e->bytes.len, &out);
  buffer_close (&out);
  if (e->node == node && e->proposal)
    scheduler_proposal_done (w->scheds[node], w->now_ms, e->proposal, true);
}

static void
commit (struct world *w)
{
  while (w->committed < w->log_count && w->log[w->committed].commit_ms <= w->now_ms)
    w->committed++;
  for (int n = 0; n < NODES; n++)
    while (w->applied[n] < w->committed && (n == w->leader || !w->thinks_leader[n]))
      apply_entry (w, n, w->applied[n]++);
}

static void
step_node (struct world *w, int node)
{
  if (!w->thinks_leader[node])
    return;
  struct scheduler *s = w->scheds[node];
  struct scheduler_proposal p;
  if (node == w->leader)
    w->confirmed_ms[node] = w->now_ms + 500;
  scheduler_confirm_leadership (s, w->confirmed_ms[node]);
  scheduler_extend_permit (s, w->permit_ms);
  scheduler_tick (s, w->now_ms);
  while (scheduler_next_proposal (s, w->now_ms, &p))
    propose (w, node, p.entry, p.id);
  answer_polls (w, node);
  scheduler_check (s);
}

/* Uncommitted entries are lost; the old leader may not notice the change for a while.  */
static void
change_leader (struct world *w)
{
  int old = w->leader;
  if (w->thinks_leader[1 - old] || w->now_ms < w->confirmed_ms[old])
    return;
  for (size_t i = w->committed; i < w->log_count; i++)
    buffer_close (&w->log[i].bytes);
  w->log_count = w->committed;
  w->leader = 1 - old;
  w->old_leader_until_ms = w->now_ms + rng_between (&w->rng, 0, 15000);
  while (w->applied[w->leader] < w->committed)
    apply_entry (w, w->leader, w->applied[w->leader]++);
  w->thinks_leader[w->leader] = true;
  scheduler_set_leader (w->scheds[w->leader], w->now_ms, true);
}

static void
step_leadership (struct world *w)
{
  int other = 1 - w->leader;
  if (w->thinks_leader[other] && w->now_ms >= w->old_leader_until_ms)
    {
      w->thinks_leader[other] = false;
      scheduler_set_leader (w->scheds[other], w->now_ms, false);
    }
  if (w->faults && rng_chance (&w->rng, 0.001))
    {
      /* The old leader loses its quorum first, so it is no longer confirmed.  */
      w->confirmed_ms[w->leader] = w->now_ms;
      change_leader (w);
    }
}

/* Jobs.  */

static void
submit (struct world *w)
{
  static char customer[] = "huron";
  static char customer2[] = "kigali";
  char request[32];
  char text[64];
  char service[16];
  uint32_t index = w->jobs;
  snprintf (request, sizeof request, "r%u", index);
  snprintf (service, sizeof service, "c%u", index % 5);
  cell_command cmd = { .kind = CELL_SUBMIT };
  cell_job_spec *s = &cmd.cell_command_u.submit;
  s->customer = index % 2 ? customer : customer2;
  s->request_id = request;
  s->service = service;
  s->kind = index % 7 == 0 ? CELL_URGENT : CELL_BATCH;
  s->size = (cell_size){ 500 * (1 + index % 4), 300 * (1 + index % 5), index % 11 == 0 };
  s->replicas = 1 + index % 3;
  s->repeat_elsewhere = index % 5 == 0;
  s->checkpoint_ms = index % 2 ? 100 : 0;
  snprintf (text, sizeof text, "run=%u", (unsigned)rng_between (&w->rng, 200, 15000));
  s->payload = text;
  struct buffer entry;
  buffer_init (&entry);
  cell_encode (&w->cells[w->leader], w->now_ms, &cmd, 1, &entry);
  propose (w, w->leader, entry, 0);
  w->jobs++;
}

static void
check_world (struct world *w)
{
  for (size_t i = 0; i < WORKERS; i++)
    {
      const struct fake_worker *f = &w->workers[i];
      cell_size used = { 0, 0, 0 };
      for (size_t k = 0; k < f->count; k++)
        {
          const struct fake_task *t = &f->tasks[k];
          if (!f->up || !fake_running (t))
            continue;
          used.millicores += t->size.millicores;
          used.memory_mb += t->size.memory_mb;
          used.accelerators += t->size.accelerators;
          for (size_t j = i + 1; j < WORKERS; j++)
            for (size_t l = 0; l < w->workers[j].count; l++)
              if (w->workers[j].up && w->workers[j].tasks[l].task == t->task
                  && fake_running (&w->workers[j].tasks[l]))
                fail_msg ("task %llx runs on %s and %s", (unsigned long long)t->task, f->id,
                          w->workers[j].id);
        }
      assert_true (used.millicores <= f->size.millicores);
      assert_true (used.memory_mb <= f->size.memory_mb);
      assert_true (used.accelerators <= f->size.accelerators);
    }
}

static void
deliver (struct world *w)
{
  for (size_t i = 0; i < MAX_MESSAGES; i++)
    {
      struct message *m = &w->messages[i];
      if (!m->used || m->at_ms > w->now_ms)
        continue;
      m->used = false;
      struct message copy = *m;
      m->commands = NULL;
      if (copy.to_worker)
        deliver_to_worker (w, &copy);
      else
        deliver_to_node (w, &copy);
      free (copy.commands);
    }
}

static void
step (struct world *w)
{
  w->now_ms += STEP_MS;
  if (w->faults && rng_chance (&w->rng, 0.002))
    w->permit_on = !w->permit_on;
  if (!w->faults)
    w->permit_on = true;
  if (w->permit_on)
    w->permit_ms = w->now_ms + 3000;
  step_leadership (w);
  deliver (w);
  for (size_t i = 0; i < WORKERS; i++)
    step_worker (w, i);
  commit (w);
  for (int n = 0; n < NODES; n++)
    step_node (w, n);
  check_world (w);
}

static void
open_world (struct world *w, uint64_t seed)
{
  memset (w, 0, sizeof *w);
  rng_init (&w->rng, seed);
  w->now_ms = 1000000;
  w->messages = xcalloc (MAX_MESSAGES, sizeof *w->messages);
  w->faults = true;
  w->permit_on = true;
  for (int n = 0; n < NODES; n++)
    {
      cell_init (&w->cells[n], 1);
      struct scheduler_config config = { .cell = &w->cells[n], .seed = seed + (uint64_t)n };
      w->scheds[n] = scheduler_new (&config);
    }
  scheduler_set_leader (w->scheds[0], w->now_ms, true);
  w->thinks_leader[0] = true;
  for (size_t i = 0; i < WORKERS; i++)
    {
      struct fake_worker *f = &w->workers[i];
      snprintf (f->id, sizeof f->id, "w%zu", i);
      snprintf (f->rack, sizeof f->rack, "rack%zu", i / 4);
      f->size = (cell_size){ 4000, 4000, 2 };
      f->incarnation = 1;
      f->up = true;
    }
}

static void
close_world (struct world *w)
{
  for (int n = 0; n < NODES; n++)
    {
      scheduler_free (w->scheds[n]);
      cell_close (&w->cells[n]);
    }
  for (size_t i = 0; i < w->log_count; i++)
    buffer_close (&w->log[i].bytes);
  for (size_t i = 0; i < MAX_MESSAGES; i++)
    free (w->messages[i].commands);
  free (w->messages);
  free (w->log);
}

static bool
all_settled (const struct world *w)
{
  const struct cell_job *j;
  const struct cell_task *t;
  TAILQ_FOREACH (j, &w->cells[w->leader].job_list, link)
  {
    if (j->spec.kind == CELL_BATCH)
      return false;
    STAILQ_FOREACH (t, &j->tasks, link)
    if (t->state != CELL_RUNNING && !cell_task_final (t))
      return false;
  }
  return true;
}

static void
check_same_state (struct world *w)
{
  struct buffer a;
  struct buffer b;
  buffer_init (&a);
  buffer_init (&b);
  while (w->thinks_leader[1 - w->leader])
    step (w);
  step (w);
  for (int n = 0; n < NODES; n++)
    while (w->applied[n] < w->committed)
      apply_entry (w, n, w->applied[n]++);
  w->cells[0].machine.ops->save (&w->cells[0].machine, &a);
  w->cells[1].machine.ops->save (&w->cells[1].machine, &b);
  assert_int_equal (a.len, b.len);
  assert_memory_equal (a.data, b.data, a.len);
  buffer_close (&a);
  buffer_close (&b);
}

static void
run_seed (uint64_t seed)
{
  static struct world w;
  open_world (&w, seed);
  int64_t end = w.now_ms + FAULTS_MS;
  while (w.now_ms < end)
    {
      if (w.jobs < 120 && rng_chance (&w.rng, 0.05))
        submit (&w);
      step (&w);
    }
  w.faults = false;
  end = w.now_ms + RECOVERY_MS;
  while (w.now_ms < end && !all_settled (&w))
    step (&w);
  if (!all_settled (&w))
    {
      struct buffer out;
      buffer_init (&out);
      scheduler_dump (w.scheds[w.leader], &out);
      fail_msg ("seed %llu: jobs did not end\n%s", (unsigned long long)seed, out.data);
    }
  check_same_state (&w);
  close_world (&w);
}

static void
test_seeds (void **state)
{
  (void)state;
  const char *one = getenv ("SEED");
  if (one)
    {
      run_seed (strtoull (one, NULL, 10));
      return;
    }
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      print_message ("seed %llu\n", (unsigned long long)seed);
      run_seed (seed);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_seeds),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
