/* worker_link: interface for orders to workers that the leader calls.

   The caller gets the outcome of each order by a worker_outcome_fn, later and exactly once.
   Strings in an order are valid during the call only.  An implementation must not report an
   outcome from inside an order.  */

#ifndef SASSAFRAS_WORKER_LINK_H
#define SASSAFRAS_WORKER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "orders_proto.h"
#include "workflow_proto.h"

/* Result of an order.  In all but OK, UNKNOWN and NO_LISTENER the worker did nothing, and won't. */
enum worker_call_result
{
  WORKER_CALL_OK,
  WORKER_CALL_FENCED,       /* a newer leader has called this worker */
  WORKER_CALL_OLD_RUN,      /* this or a later run was stopped or ended there */
  WORKER_CALL_LATE,         /* the deadline had passed */
  WORKER_CALL_NO_ROOM,      /* not enough free capacity */
  WORKER_CALL_NO_TICKET,    /* the advice that allows this worker is missing */
  WORKER_CALL_REFUSED,      /* malformed, or the worker is unhealthy */
  WORKER_CALL_OTHER_WORKER, /* another worker id has the address; the intended one is gone */
  WORKER_CALL_UNKNOWN,      /* no answer: may have been executed, or be executed later */
  WORKER_CALL_NO_LISTENER,  /* as UNKNOWN, and then the address refused a connection; holds only */
  WORKER_CALL_NOT_SENT,     /* no connection, so that no byte was written; starts only */
};

struct worker_address
{
  const char *worker;  /* id of the intended worker */
  const char *address; /* ip:port */
  const char *zone;    /* data centre of the worker */
  uint64_t fence;      /* the worker ignores orders with a lower fence than it has seen */
  void *tag;           /* of the caller; returned with the outcome */
};

struct worker_start
{
  struct worker_address to;
  workflow_task_ref task;
  uint32_t run;
  const char *payload;
  const char *checkpoint; /* "" is none */
  int64_t deadline_ms;    /* lease, on the worker's clock */
  bool on_new_connection; /* an unreachable worker then gives NOT_SENT rather than UNKNOWN */
};

struct worker_stop
{
  struct worker_address to;
  workflow_task_ref task;
  uint32_t run;
};

struct worker_pace
{
  struct worker_address to;
  workflow_task_ref task;
  uint32_t run;
  uint32_t percent; /* share of its work that the task may do */
};

/* Renews the lease and requests the lists of running and ended runs.  */
struct worker_hold
{
  struct worker_address to;
  uint64_t mark;         /* returned with the answer */
  uint64_t acknowledged; /* ends up to this number are committed */
  int64_t deadline_ms;   /* lease, on the worker's clock; 0 renews nothing */
  uint32_t wait_ms;      /* the worker delays the answer this long for an end */
};

struct worker_link;

struct worker_link_ops
{
  void (*start) (struct worker_link *l, const struct worker_start *order);
  void (*stop) (struct worker_link *l, const struct worker_stop *order);
  void (*pace) (struct worker_link *l, const struct worker_pace *order);
  void (*hold) (struct worker_link *l, const struct worker_hold *order);
};

struct worker_link
{
  const struct worker_link_ops *ops;
};

/* Running run in a worker's answer.  */
struct reported_run
{
  workflow_task_ref task;
  uint32_t run;
  const char *checkpoint;
  uint32_t percent; /* of its work; a lasting task serves at 100 */
  uint32_t measure; /* lasting: tail response time in ms; else millicores in use */
};

/* Ended run in a worker's answer.  */
struct reported_end
{
  uint64_t number; /* from 1 in each incarnation of the worker */
  workflow_task_ref task;
  uint32_t run;
  enum workflow_outcome outcome;
  const char *checkpoint;
};

/* Answer to a hold.  */
struct worker_lists
{
  uint64_t mark;
  int64_t clock_ms; /* of the worker */
  int64_t born_ms;  /* Unix time of the incarnation's start; 0 when not sent */
  const struct reported_run *running;
  size_t running_len;
  const struct reported_end *ended;
  size_t ended_len;
  bool complete; /* all runs and ends are in the lists */
};

/* Outcome of one order.  */
struct worker_outcome
{
  worker_order_kind kind;
  const char *worker;
  void *tag; /* as in the order */
  workflow_task_ref task;
  uint32_t run;
  uint32_t percent; /* as ordered; ORDER_PACE only */
  enum worker_call_result result;
  const struct worker_lists *lists; /* ORDER_HOLD with WORKER_CALL_OK only */
};

typedef void worker_outcome_fn (void *arg, int64_t now_ms, const struct worker_outcome *o);

#define WORKER_MAX_LABELS 8

/* A worker's report of its own state.  */
struct worker_report
{
  const char *id;
  const char *address;
  const char *zone;
  const char *pool;
  const char *const *labels; /* kind and rack */
  size_t labels_len;
  bool draining;
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  int64_t clock_ms; /* of the worker */
  int64_t born_ms;  /* 0 when not sent */
  uint64_t sequence;
};

#endif
