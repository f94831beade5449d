/* waiting_order: order in which waiting tasks get capacity.  Pure.

   Load patterns.  Lasting tasks declare nearly all processors, so the first task in the order gets
   the gaps that short tasks leave.  Value per processor second falls in this order: short tasks in
   time, lasting tasks, fill-in tasks in time, late tasks.  Jobs that have no value any more go
   last.

   A lasting task that lost its worker serves no requests until it restarts.  Behind short tasks,
   which take each gap as it opens, it would wait as long as they keep coming; so it goes first once
   it has waited WAITING_RESTART_MS.

   Fill-in tasks often request two to three times the available capacity, for tens of seconds.  By
   latest start time all jobs would share the capacity, each would start only just in time, and most
   would end late.  So jobs that have started go first, even when late, then the newest job that can
   still be in time, of the size class with the lowest started ratio.  Jobs that have waited longest
   are the ones left out, and no size class starves.

   Client accounts.  Among tasks of one rank and priority whose jobs have not started, those of the
   account that was served least for its weight go first; what an account sends beyond its weight
   goes behind all work that others can still use.  */

#ifndef SASSAFRAS_WAITING_ORDER_H
#define SASSAFRAS_WAITING_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#define WAITING_EXPIRED_FACTOR 3 /* a job older than this many objectives has no value */
/* Capacity for a restart mostly opens earlier; a restart may wait 3 s.  */
#define WAITING_RESTART_MS 1000

enum waiting_rank
{
  WAITING_RESTART, /* a lasting task that ran before */
  WAITING_SHORT,
  WAITING_LASTING,
  WAITING_FILL,
  WAITING_LATE,
  WAITING_BEYOND,  /* beyond the weight of its client account */
  WAITING_EXPIRED, /* the job has no value any more */
};

/* Inputs of the order: a waiting task and its job.  */
struct waiting_facts
{
  int64_t now_ms;
  int64_t seen_ms;      /* arrival of the job */
  int64_t objective_ms; /* after the arrival, for the end of the job */
  int64_t remain_ms;    /* critical path from this task's step to the job's end */
  uint32_t priority;    /* of the queue; 0 comes first */
  int64_t since_ms;     /* start of the wait */
  bool has_run;
  bool is_lasting;
  bool is_fill;
  bool started;         /* a task of the job has started */
  double started_ratio; /* of the job's size class (size_share) */
  bool beyond;          /* the weight of its client account (account_share) */
  int account_level;    /* what that account was served; the same for all jobs without accounts */
};

struct waiting_key
{
  enum waiting_rank rank; /* smaller goes first */
  uint32_t priority;
  bool is_fill;
  bool started;
  int account_level;
  double started_ratio;
  int64_t latest_start_ms; /* the job is late when this task starts later */
};

struct waiting_key waiting_key_of (const struct waiting_facts *f);
/* Negative: A goes first.  */
int waiting_compare (const struct waiting_key *a, const struct waiting_key *b);

#endif
