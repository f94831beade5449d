/* placement: filters the workers for one task and picks the one with the best score.

   The table holds one compact row per worker, which the scheduler keeps current.  The search starts
   at a random row and scores PLACEMENT_SAMPLE_SIZE rows that pass the filter, so its cost does not
   grow with the number of workers while there is free capacity.  */

#ifndef SASSAFRAS_PLACEMENT_H
#define SASSAFRAS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rng.h"
#include "task_queue.h"

#define PLACEMENT_SAMPLE_SIZE 64
#define PLACEMENT_NONE SIZE_MAX
#define PLACEMENT_REFUSED 1e9 /* added slowdown at which a worker is not used at all */

struct placement_row
{
  uint32_t free_millicores;
  uint32_t free_memory_mb;
  uint32_t free_accelerators;
  uint32_t total_millicores;
  uint32_t total_memory_mb;
  uint16_t rack;
  bool usable;        /* announced, alive, and healthy or due for a probe */
  uint8_t urgent;     /* urgent tasks on this worker, at most 255 */
  float health_score; /* from worker_health; 0 is healthy */
};

struct placement_request
{
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  bool urgent;
  double noise;                /* batch: from 0 (harmless) to 1 (noisy neighbour) */
  uint32_t max_per_rack;       /* 0: no limit */
  const uint32_t *rack_counts; /* tasks of the job per rack, or NULL */
  bool first_fit;              /* baseline policy */
  /* Predicted added slowdown of urgent work on worker ROW, or PLACEMENT_REFUSED; NULL: none.  */
  double (*interference) (void *ctx, size_t row);
  /* True when the task must not use worker ROW because it failed there; NULL: never.  */
  bool (*avoid) (void *ctx, size_t row);
  void *ctx;
};

bool placement_fits (const struct placement_row *r,
                     const struct placement_request *q); /* True when Q fits into R. */
double placement_score (const struct placement_row *r, const struct placement_request *q,
                        double interference); /* Lower is better. */
size_t placement_choose (const struct placement_row *rows, size_t count,
                         const struct placement_request *q,
                         struct rng *rng); /* Index of the row, or PLACEMENT_NONE. */

#endif
