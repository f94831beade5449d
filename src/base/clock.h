/* clock: the time source of a process.

   All times are int64_t milliseconds on a monotonic scale with an arbitrary origin.  The real clock
   reads CLOCK_BOOTTIME, so that the time a VM is suspended counts against its leases.  Pure modules
   never read a clock; they take now_ms as an argument.  Tests use the manual clock, which changes
   only when it is advanced.  */

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
  struct clock clock; /* first member, so that pointers convert */
  int64_t time_ms;    /* returned by now_ms */
};

struct clock *clock_real (void);                                /* The CLOCK_BOOTTIME clock. */
void manual_clock_init (struct manual_clock *c, int64_t start); /* Starts at START ms. */
void manual_clock_advance (struct manual_clock *c, int64_t ms); /* Advances by MS. */
int64_t clock_now_ms (struct clock *c);                         /* Reads C; never cached. */
int64_t clock_wall_ms (void); /* Unix time in ms; may step back: no leases or timeouts. */

#endif
