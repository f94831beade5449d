/* workflow_fixture: a dispatcher on a manual clock, with a log that commits on request and workers
   that only record the orders they receive.  */

#ifndef WORKFLOW_FIXTURE_H
#define WORKFLOW_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatcher.h"

#ifndef FIXTURE_LEASE_MS
#define FIXTURE_LEASE_MS 6000
#endif
#define FIXTURE_MAX 4096
#define FIXTURE_CHECKPOINT_BYTES 40000

struct sent_start
{
  char worker[64];
  workflow_task_ref task;
  uint32_t run;
  int64_t deadline_ms;
  bool on_new_connection;
  char checkpoint[64];
};

struct sent_hold
{
  char worker[64];
  uint64_t mark;
  uint64_t acknowledged;
  uint64_t fence;
  int64_t deadline_ms;
  uint32_t wait_ms;
  void *tag;
};

struct sent_stop
{
  char worker[64];
  workflow_task_ref task;
  uint32_t run;
  void *tag;
};

struct logged
{
  struct buffer entry;
  uint64_t token;
};

struct fixture
{
  struct worker_link link; /* first member: the vtable */
  struct clock clock;      /* reads now_ms */
  struct workflow workflow;
  struct dispatcher *dispatcher;
  int64_t now_ms;
  struct logged log[FIXTURE_MAX];
  size_t log_count;
  struct sent_start starts[FIXTURE_MAX];
  size_t start_count;
  struct sent_hold holds[FIXTURE_MAX];
  size_t hold_count;
  struct sent_stop stops[FIXTURE_MAX];
  size_t stop_count;
  struct worker_pace paces[FIXTURE_MAX];
  size_t pace_count;
  uint32_t heavy_tail_ms; /* of test_fill_placement */
};

static inline void
fixture_start (struct worker_link *l, const struct worker_start *o)
{
  struct fixture *f = (struct fixture *)l;
  struct sent_start *s = &f->starts[f->start_count++];
  *s = (struct sent_start){ .task = o->task,
                            .run = o->run,
                            .deadline_ms = o->deadline_ms,
                            .on_new_connection = o->on_new_connection };
  snprintf (s->worker, sizeof s->worker, "%s", o->to.worker);
  snprintf (s->checkpoint, sizeof s->checkpoint, "%s", o->checkpoint);
}

static inline void
fixture_stop (struct worker_link *l, const struct worker_stop *o)
{
  struct fixture *f = (struct fixture *)l;
  struct sent_stop *s = &f->stops[f->stop_count++];
  *s = (struct sent_stop){ .task = o->task, .run = o->run, .tag = o->to.tag };
  snprintf (s->worker, sizeof s->worker, "%s", o->to.worker);
}

static inline void
fixture_pace (struct worker_link *l, const struct worker_pace *o)
{
  struct fixture *f = (struct fixture *)l;
  f->paces[f->pace_count++] = *o;
}

static inline void
fixture_hold (struct worker_link *l, const struct worker_hold *o)
{
  struct fixture *f = (struct fixture *)l;
  struct sent_hold *h = &f->holds[f->hold_count++ % FIXTURE_MAX];
  *h = (struct sent_hold){ .mark = o->mark,
                           .acknowledged = o->acknowledged,
                           .fence = o->to.fence,
                           .deadline_ms = o->deadline_ms,
                           .wait_ms = o->wait_ms,
                           .tag = o->to.tag };
  snprintf (h->worker, sizeof h->worker, "%s", o->to.worker);
}

static inline void
fixture_propose (void *arg, const workflow_command *c, uint64_t token)
{
  struct fixture *f = arg;
  struct logged *l = &f->log[f->log_count++];
  assert_true (f->log_count < FIXTURE_MAX);
  buffer_init (&l->entry);
  assert_true (workflow_encode (c, &l->entry));
  l->token = token;
}

static inline int64_t
fixture_now_ms (struct clock *c)
{
  return ((struct fixture *)((char *)c - offsetof (struct fixture, clock)))->now_ms;
}

/* Applies one command; true if it succeeded.  */
static inline bool
fixture_apply (struct fixture *f, const void *data, size_t len)
{
  struct buffer result;
  workflow_result r;
  buffer_init (&result);
  f->workflow.machine.ops->apply (&f->workflow.machine, 1, data, len, &result);
  assert_true (workflow_decode_result (result.data, result.len, &r));
  buffer_close (&result);
  return r.status == STATUS_OK;
}

static inline bool
fixture_change (struct fixture *f, const workflow_command *c)
{
  struct buffer entry;
  buffer_init (&entry);
  workflow_encode (c, &entry);
  bool ok = fixture_apply (f, entry.data, entry.len);
  buffer_close (&entry);
  return ok;
}

/* Commits all proposals, including those that result from a commit.  */
static inline void
fixture_commit (struct fixture *f)
{
  for (size_t i = 0; i < f->log_count; i++)
    {
      struct logged l = f->log[i];
      bool ok = fixture_apply (f, l.entry.data, l.entry.len);
      buffer_close (&l.entry);
      dispatcher_proposed (f->dispatcher, f->now_ms, l.token,
                           ok ? PROPOSAL_APPLIED : PROPOSAL_REFUSED);
    }
  f->log_count = 0;
}

static inline void
fixture_tick (struct fixture *f, int64_t ms)
{
  f->now_ms += ms;
  dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
  dispatcher_tick (f->dispatcher, f->now_ms, f->now_ms);
  fixture_commit (f);
}

/* A report of a worker whose clock equals the fixture's.  */
static inline struct worker_report
fixture_worker (const struct fixture *f, const char *id, const char *address)
{
  return (struct worker_report){ .id = id,
                                 .address = address,
                                 .zone = "a",
                                 .pool = "pool",
                                 .millicores = 16000,
                                 .memory_mb = 64000,
                                 .clock_ms = f->now_ms,
                                 .born_ms = 1000,
                                 .sequence = (uint64_t)f->now_ms };
}

/* The last hold sent to WORKER; fails if there is none.  */
static inline struct sent_hold
fixture_last_hold (const struct fixture *f, const char *worker)
{
  for (size_t i = f->hold_count; i > 0; i--)
    if (strcmp (f->holds[i - 1].worker, worker) == 0)
      return f->holds[i - 1];
  fail_msg ("no hold was sent to %s", worker);
  return f->holds[0];
}

/* Answers the last hold to WORKER, whose present incarnation began at BORN_MS.  */
static inline void
fixture_answer_as (struct fixture *f, const char *worker, int64_t born_ms,
                   const struct reported_run *running, size_t running_len,
                   const struct reported_end *ended, size_t ended_len)
{
  struct sent_hold h = fixture_last_hold (f, worker);
  const struct worker_lists lists = { .mark = h.mark,
                                      .clock_ms = f->now_ms,
                                      .born_ms = born_ms,
                                      .running = running,
                                      .running_len = running_len,
                                      .ended = ended,
                                      .ended_len = ended_len,
                                      .complete = true };
  dispatcher_hold_answer (f->dispatcher, f->now_ms, worker, WORKER_CALL_OK, &lists);
  fixture_commit (f);
}

static inline void
fixture_answer_hold (struct fixture *f, const char *worker, const struct reported_run *running,
                     size_t running_len, const struct reported_end *ended, size_t ended_len)
{
  fixture_answer_as (f, worker, 1000, running, running_len, ended, ended_len);
}

/* Registers a worker and answers its first hold with empty lists, which makes it usable.  */
static inline void
fixture_join (struct fixture *f, const char *id, const char *address)
{
  struct status st;
  struct worker_report r = fixture_worker (f, id, address);
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  fixture_tick (f, 1);
  fixture_answer_hold (f, id, NULL, 0, NULL, 0);
}

/* The worker drains and leaves.  */
static inline void
fixture_leave (struct fixture *f, const char *id, const char *address)
{
  struct status st;
  f->now_ms++;
  struct worker_report r = fixture_worker (f, id, address);
  r.draining = true;
  assert_int_equal (dispatcher_report (f->dispatcher, f->now_ms, &r, &st), 0);
  dispatcher_worker_left (f->dispatcher, f->now_ms, id);
}

/* The worker's process has ended: its open holds fail, and its address refuses connections.  */
static inline void
fixture_refuse_holds (struct fixture *f, const char *id)
{
  for (int i = 0; i < 2; i++) /* two holds are open at most */
    dispatcher_hold_answer (f->dispatcher, f->now_ms, id, WORKER_CALL_NO_LISTENER, NULL);
}

/* A configuration with one queue.  */
static inline void
fixture_configure_queue (struct fixture *f, uint64_t version, uint32_t attempts, char *name,
                         char *path_prefix)
{
  workflow_queue q = { .name = name,
                       .host = "host",
                       .path_prefix = path_prefix,
                       .pool = "pool",
                       .max_attempts = attempts,
                       .stretch_milli = 2000,
                       .target_ms = 1000,
                       .timeout_ms = 3000 };
  workflow_pool p = { .name = "pool", .guards_room = true };
  workflow_command c = { .kind = WORKFLOW_CONFIGURE };
  workflow_configuration *config = &c.workflow_command_u.configuration;
  config->revision = version;
  config->queues.queues_val = &q;
  config->queues.queues_len = 1;
  config->pools.pools_val = &p;
  config->pools.pools_len = 1;
  config->document.document_val = "{}";
  config->document.document_len = 2;
  assert_true (fixture_change (f, &c));
}

static inline void
fixture_configure (struct fixture *f, uint64_t version, uint32_t attempts)
{
  fixture_configure_queue (f, version, attempts, "queue", "/q/");
}

/* Submits a job with a chain of STEPS steps, each of COUNT single-core tasks.  */
static inline bool
fixture_submit (struct fixture *f, uint64_t id, uint32_t steps, uint32_t count, uint32_t flags)
{
  workflow_step list[8];
  u_int after[8];
  workflow_command c = { .kind = WORKFLOW_SUBMIT };
  workflow_spec *spec = &c.workflow_command_u.spec;
  spec->id = id;
  spec->queue = "queue";
  spec->payload = "payload";
  spec->steps.steps_val = list;
  spec->steps.steps_len = steps;
  for (uint32_t i = 0; i < steps; i++)
    {
      list[i] = (workflow_step){ .count = count,
                                 .millicores = 1000,
                                 .memory_mb = 100,
                                 .estimate_ms = 500,
                                 .flags = flags,
                                 .required_label = "",
                                 .data_rack = "",
                                 .image = "" };
      after[i] = i - 1;
      list[i].after.after_val = &after[i];
      list[i].after.after_len = i > 0;
    }
  return fixture_change (f, &c);
}

static inline bool
fixture_cancel (struct fixture *f, uint64_t id)
{
  workflow_command c = { .kind = WORKFLOW_CANCEL };
  c.workflow_command_u.cancel = id;
  return fixture_change (f, &c);
}

static inline struct reported_run
fixture_running (const struct sent_start *s)
{
  return (struct reported_run){ .task = s->task, .run = s->run, .checkpoint = "", .percent = 50 };
}

static inline struct reported_end
fixture_ended (const struct sent_start *s, uint64_t number, enum workflow_outcome outcome)
{
  return (struct reported_end){
    .number = number, .task = s->task, .run = s->run, .outcome = outcome, .checkpoint = ""
  };
}

static inline void
fixture_answer_start (struct fixture *f, const struct sent_start *s, enum worker_call_result r)
{
  dispatcher_start_answer (f->dispatcher, f->now_ms, s->worker, &s->task, s->run, r);
  fixture_commit (f);
}

static inline int
fixture_open (void **state)
{
  static const struct worker_link_ops ops = {
    .start = fixture_start, .stop = fixture_stop, .pace = fixture_pace, .hold = fixture_hold
  };
  static const struct clock_ops clock_ops = { fixture_now_ms };
  struct fixture *f = xcalloc (1, sizeof *f);
  f->link.ops = &ops;
  f->clock.ops = &clock_ops;
  f->now_ms = 100000;
  workflow_init (&f->workflow);
  const struct dispatcher_config config = { .workflow = &f->workflow,
                                            .link = &f->link,
                                            .clock = &f->clock,
                                            .propose = fixture_propose,
                                            .propose_arg = f,
                                            .lease_ms = FIXTURE_LEASE_MS,
                                            .status_ms = 120000,
                                            .max_checkpoint_bytes = FIXTURE_CHECKPOINT_BYTES };
  f->dispatcher = dispatcher_new (&config);
  dispatcher_become_leader (f->dispatcher, f->now_ms, 7);
  dispatcher_set_authority (f->dispatcher, f->now_ms + 1000);
  fixture_configure (f, 1, 2);
  *state = f;
  return 0;
}

static inline int
fixture_close (void **state)
{
  struct fixture *f = *state;
  for (size_t i = 0; i < f->log_count; i++)
    buffer_close (&f->log[i].entry);
  dispatcher_free (f->dispatcher);
  workflow_close (&f->workflow);
  free (f);
  return 0;
}

/* The fixture of the ROUND-th round of a test, opened anew but for the first, 0.  */
static inline struct fixture *
fixture_of_round (void **state, int round)
{
  if (round > 0)
    {
      fixture_close (state);
      fixture_open (state);
    }
  return *state;
}

#endif
