/* memory_budget: how much memory the bodies of requests may take in a process, over all its
   servers.

   The budget is an eighth of the machine's memory, at least MEMORY_BUDGET_MIN_BYTES.  Holdings of
   up to MEMORY_BUDGET_SMALL_BYTES may use all of it, larger ones three quarters, so that large
   bodies never keep ordinary requests out.  Bodies are parsed one at a time, which may take LIMIT
   bytes beyond the budget.  */

#ifndef SASSAFRAS_MEMORY_BUDGET_H
#define SASSAFRAS_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MEMORY_BUDGET_SMALL_BYTES ((size_t)16 << 10)
#define MEMORY_BUDGET_MIN_BYTES ((size_t)12 << 20) /* for two bodies of the largest size, 4 MiB */

struct memory_budget
{
  size_t limit;       /* bytes */
  size_t large_limit; /* bytes of LIMIT that large holdings may use */
  size_t used;
  size_t large_used; /* part of USED */
};

/* MACHINE_MB: memory of the machine in MiB; 0 takes that of the operating system.  */
uint64_t memory_machine_bytes (int64_t machine_mb);
void memory_budget_init (struct memory_budget *b, int64_t machine_mb);
void memory_budget_close (struct memory_budget *b); /* Everything must have been released. */

/* Changes a holding from HELD to WANTED bytes; false, without a change, when there is no room.  */
bool memory_budget_reserve (struct memory_budget *b, size_t held, size_t wanted);
bool memory_budget_is_scarce (
    const struct memory_budget *b); /* Large holdings use more than half of their part. */
void memory_budget_release (struct memory_budget *b,
                            size_t held); /* Ends a holding of HELD bytes. */

#endif
