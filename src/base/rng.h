/* rng: seeded generator (splitmix64), passed as an argument so that runs are reproducible.  */

#ifndef SASSAFRAS_RNG_H
#define SASSAFRAS_RNG_H

#include <stdbool.h>
#include <stdint.h>

struct rng
{
  uint64_t state;
};

void rng_init (struct rng *r, uint64_t seed);       /* Seeds the generator. */
uint64_t rng_next (struct rng *r);                  /* Next 64 random bits. */
uint64_t rng_below (struct rng *r, uint64_t bound); /* Uniform in [0, BOUND); 0 when BOUND is 0. */
double rng_unit (struct rng *r);                    /* Uniform in [0, 1). */
int64_t rng_between (struct rng *r, int64_t lo, int64_t hi); /* Uniform in [LO, HI]. */
bool rng_chance (struct rng *r, double p);                   /* True with probability P. */
double rng_exponential (struct rng *r, double mean);         /* Exponential with the given MEAN. */

#endif
