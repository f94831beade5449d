/* clock: the time source of a process.

   All times are int64_t milliseconds on a monotonic scale with an arbitrary zero.  The real clock
   reads CLOCK_BOOTTIME, so that the time a VM spends suspended counts against its leases.  Pure
   modules never read a clock: they take now_ms as an argument.  Tests use the manual clock, which
   stands still until it is advanced.  */

#ifndef SASSAFRAS_CLOCK_H
#define SASSAFRAS_CLOCK_H

#include <stdint.h>

struct clock;

struct clock_ops
{
  int64_t (*now_ms) (struct clock *c); /* current time in milliseconds */
};

struct clock
{
  const struct clock_ops *ops;
};

struct manual_clock
{
  struct clock clock; /* first member: the vtable */
  int64_t time_ms;    /* what now_ms returns */
};

struct clock *clock_real (void); /* The process's boot-time clock. */
void manual_clock_init (struct manual_clock *c,
                        int64_t start); /* A paused clock that shows START. */
void manual_clock_advance (struct manual_clock *c,
                           int64_t ms); /* Moves the paused clock forward. */
int64_t clock_now_ms (struct clock *c); /* Reads C; never cached. */
int64_t clock_wall_ms (void);           /* Unix time in ms, for logs and reports only. */

#endif
