/* waiting_order: which waiting task gets the next room.  Pure.

   Load patterns.  Lasting tasks declare nearly all processors, so whoever goes first gets the gaps
   that short tasks leave; worth per processor second falls in this order: short tasks in time,
   lasting tasks, tasks that fill in time, what is late.  A job past its last worth goes last.

   A lasting task that ran and lost its worker serves nobody meanwhile.  Behind short tasks, which
   take each gap as it opens, it would wait as long as they keep coming; so it goes first once it
   has waited WAITING_RESTART_MS.

   Tasks that fill often want two to three times the room that there is, for tens of seconds.  By
   latest start, all jobs would share the room, each starting when it is only just in time, and most
   would end late.  So the jobs that have started go on first, also when they are late, and then the
   newest job that can be in time, of the size that has started most seldom: what is not served is
   what has waited longest, and no size goes short.  */

#ifndef SASSAFRAS_WAITING_ORDER_H
#define SASSAFRAS_WAITING_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#define WAITING_LATE_FACTOR 3 /* a job earns nothing after this many objectives (users' rules) */

#define WAITING_RESTART_MS                                                                         \
  1000 /* room for a restart mostly opens before; of the 3 s it may wait                           \
        */

enum waiting_rank
{
  WAITING_RESTART, /* a lasting task that ran before */
  WAITING_SHORT,
  WAITING_LASTING,
  WAITING_FILL,
  WAITING_LATE,
  WAITING_EXPIRED,
};

/* What is known of a waiting task and its job.  */
struct waiting_facts
{
  int64_t now_ms;
  int64_t seen_ms;      /* when the job came */
  int64_t objective_ms; /* it should end this long after it came */
  int64_t remain_ms;    /* longest chain of run times from this task's step to the job's end */
  uint32_t priority;    /* of the queue; 0 comes first */
  int64_t since_ms;     /* since when the task waits */
  bool ran;             /* the task has run before */
  bool lasts;
  bool fills;
  bool started; /* a task of the job has started */
  double share; /* of the jobs of about its size that got to start (size_share) */
};

struct waiting_key
{
  enum waiting_rank rank; /* smaller goes first */
  uint32_t priority;
  bool fills;
  bool started;
  double share;
  int64_t latest_start_ms; /* the job is late when this task starts later */
};

struct waiting_key waiting_key_of (const struct waiting_facts *f);
int waiting_compare (const struct waiting_key *a,
                     const struct waiting_key *b); /* Negative: A goes first. */

#endif
