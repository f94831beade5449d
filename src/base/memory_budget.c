#include "memory_budget.h"

#include <assert.h>
#include <unistd.h>

#define MACHINE_SHARE 8 /* bodies are copied when they are relayed, and parsed */
#define BYTES_PER_MB (1 << 20)

static uint64_t
physical_bytes (void)
{
  long pages = sysconf (_SC_PHYS_PAGES);
  long page_bytes = sysconf (_SC_PAGESIZE);
  return pages > 0 && page_bytes > 0 ? (uint64_t)pages * (uint64_t)page_bytes : 0;
}

uint64_t
memory_machine_bytes (int64_t machine_mb)
{
  return machine_mb > 0 ? (uint64_t)machine_mb * BYTES_PER_MB : physical_bytes ();
}

void
memory_budget_init (struct memory_budget *b, int64_t machine_mb)
{
  size_t limit = (size_t)(memory_machine_bytes (machine_mb) / MACHINE_SHARE);
  if (limit < MEMORY_BUDGET_MIN_BYTES)
    limit = MEMORY_BUDGET_MIN_BYTES;
  *b = (struct memory_budget){ .limit = limit, .large_limit = limit / 4 * 3 };
}

void
memory_budget_close (struct memory_budget *b)
{
  assert (b->used == 0 && b->large_used == 0);
  *b = (struct memory_budget){ 0 };
}

static size_t
large_part (size_t bytes)
{
  return bytes > MEMORY_BUDGET_SMALL_BYTES ? bytes : 0;
}

bool
memory_budget_reserve (struct memory_budget *b, size_t held, size_t wanted)
{
  size_t used = b->used - held;
  size_t large_used = b->large_used - large_part (held);
  if (wanted > b->limit - used)
    return false;
  if (large_part (wanted) > 0 && wanted > b->large_limit - large_used)
    return false;
  b->used = used + wanted;
  b->large_used = large_used + large_part (wanted);
  return true;
}

bool
memory_budget_is_scarce (const struct memory_budget *b)
{
  return b->large_used > b->large_limit / 2;
}

void
memory_budget_release (struct memory_budget *b, size_t held)
{
  b->used -= held;
  b->large_used -= large_part (held);
}
