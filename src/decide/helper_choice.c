#include "helper_choice.h"

#include <string.h>

/* Index of the N-th usable option, counted from 0; COUNT if there are fewer.  */
static size_t
nth_usable (const struct helper_option *options, size_t count, size_t n)
{
  for (size_t i = 0; i < count; i++)
    if (options[i].usable && n-- == 0)
      return i;
  return count;
}

size_t
helper_choose (const struct helper_option *options, size_t count, const char *own_zone,
               const char *worker_zone, uint64_t hash)
{
  size_t usable = 0;
  if (strcmp (own_zone, worker_zone) == 0)
    return count;
  for (size_t i = 0; i < count; i++)
    {
      if (!options[i].usable)
        continue;
      if (strcmp (options[i].zone, worker_zone) == 0)
        return i;
      usable++;
    }
  return nth_usable (options, count, hash % (usable + 1));
}
