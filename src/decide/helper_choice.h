/* helper_choice: selects the VM that calls a worker on behalf of the leader.

   Load pattern: hundreds of workers, 1000 task starts and as many holds per second.
   Without helpers these calls use three quarters of the leader's CPU (docs/CAPACITY.md, section 8),
   while the other core VMs are idle.

   A worker is called from its own data centre, by the leader or by a helper there, which also
   avoids traffic between data centres.  Workers in a data centre without a usable helper are
   distributed over the leader and all usable helpers.  If there are fewer workers than
   order_relay_config.helper_min_workers, the leader calls all of them: one VM less that can fail.

   Pure: no I/O, no clock.  */

#ifndef SASSAFRAS_HELPER_CHOICE_H
#define SASSAFRAS_HELPER_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HELPER_ZONE_BYTES 65

struct helper_option
{
  char zone[HELPER_ZONE_BYTES]; /* data centre of the VM */
  bool usable;                  /* answers, so it may be given orders */
};

/* Returns the index of the helper, or COUNT if the leader calls the worker itself.  HASH identifies
   the worker, so the choice is stable as long as the options do not change.  */
size_t helper_choose (const struct helper_option *options, size_t count, const char *own_zone,
                      const char *worker_zone, uint64_t hash);

#endif
