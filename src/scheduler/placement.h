/* placement: filters the workers for one task and picks the best score.

   The table holds one compact row per worker, kept current by the scheduler.  A choice looks at
   rows from a random offset until PLACEMENT_SAMPLE of them pass the filter, so its cost does not
   grow with the number of workers while there is room.  */

#ifndef SASSAFRAS_PLACEMENT_H
#define SASSAFRAS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "order.h"
#include "rng.h"

#define PLACEMENT_SAMPLE 64
#define PLACEMENT_NONE SIZE_MAX
#define PLACEMENT_REFUSED 1e9 /* harm at which a worker is not used at all */

struct placement_row
{
  uint32_t free_millicores;
  uint32_t free_memory_mb;
  uint32_t free_accelerators;
  uint32_t total_millicores;
  uint32_t total_memory_mb;
  uint16_t rack;
  bool usable;    /* announced, alive, healthy or due for a probe */
  uint8_t urgent; /* urgent tasks there, at most 255 */
  float failures; /* health score */
};

struct placement_request
{
  uint32_t millicores;
  uint32_t memory_mb;
  uint32_t accelerators;
  bool urgent;
  double noise;                /* batch: 0 harmless to 1 noisy */
  uint32_t max_per_rack;       /* 0 is no limit */
  const uint32_t *rack_counts; /* tasks of the job per rack; NULL is none */
  bool first_fit;              /* baseline */
  /* Predicted harm to urgent work on worker ROW; NULL is none.  */
  double (*harm) (void *ctx, size_t row);
  /* True when the task must not use worker ROW (it failed there); NULL is never.  */
  bool (*avoid) (void *ctx, size_t row);
  void *ctx;
};

bool placement_fits (const struct placement_row *r,
                     const struct placement_request *q); /* The filter. */
double placement_score (const struct placement_row *r, const struct placement_request *q,
                        double harm); /* Smaller is better. */
size_t placement_choose (const struct placement_row *rows, size_t count,
                         const struct placement_request *q,
                         struct rng *rng); /* Row, or PLACEMENT_NONE. */

#endif
