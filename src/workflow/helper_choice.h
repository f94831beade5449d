/* helper_choice: which VM calls a worker for the leader.

   Load pattern: hundreds of workers, a thousand starts a second and as many looks at workers.  The
   calls take three quarters of the leader's processor (docs/CAPACITY.md, section 8), while the
   other core VMs are idle.

   A worker is called by a VM of its own data centre, which also saves traffic between data centres:
   by the leader itself or by a helper there.  Workers of a data centre without a usable helper are
   spread over all usable helpers and the leader.  Few workers are all called by the leader: one VM
   less that can fail on the way.

   Pure: no I/O, no time.  */

#ifndef SASSAFRAS_HELPER_CHOICE_H
#define SASSAFRAS_HELPER_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HELPER_ZONE_BYTES 65

struct helper_option
{
  char zone[HELPER_ZONE_BYTES]; /* data centre of the VM */
  bool usable;                  /* it answers */
};

/* Index of the helper, or COUNT when the leader calls the worker itself.  HASH is of the worker, so
   that its VM stays the same while the options do.  */
size_t helper_choose (const struct helper_option *options, size_t count, const char *own_zone,
                      const char *worker_zone, uint64_t hash);

#endif
