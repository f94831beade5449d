#include "rng.h"

#include <math.h>

void
rng_init (struct rng *r, uint64_t seed)
{
  r->state = seed;
}

uint64_t
rng_next (struct rng *r)
{
  uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint64_t
rng_below (struct rng *r, uint64_t bound)
{
  if (bound == 0)
    return 0;
  return (uint64_t)(((unsigned __int128)rng_next (r) * bound) >> 64);
}

double
rng_unit (struct rng *r)
{
  return (double)(rng_next (r) >> 11) * 0x1.0p-53;
}

int64_t
rng_between (struct rng *r, int64_t lo, int64_t hi)
{
  return lo + (int64_t)rng_below (r, (uint64_t)(hi - lo) + 1);
}

bool
rng_chance (struct rng *r, double p)
{
  return rng_unit (r) < p;
}

double
rng_exponential (struct rng *r, double mean)
{
  return -mean * log1p (-rng_unit (r));
}
