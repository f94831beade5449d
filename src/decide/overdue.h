/* overdue: when an order that has no answer is taken for one that may get none.  Pure.

   Load pattern: some workers leave orders unanswered, while answers of the others take 10 to 150
   ms, and longer when the leader is busy.  A fixed limit is either too long for short tasks or
   takes thousands of orders of a busy leader for lost.  */

#ifndef SASSAFRAS_OVERDUE_H
#define SASSAFRAS_OVERDUE_H

#include <stdbool.h>
#include <stdint.h>

#define OVERDUE_FACTOR 4.0     /* times the smoothed time of recent answers */
#define OVERDUE_MIN_MS 350     /* five round trips between regions */
#define OVERDUE_SMOOTHING 0.05 /* averages over about 20 answers */

struct overdue
{
  double answer_ms; /* smoothed; 0 before the first answer */
};

void overdue_init (struct overdue *o);
void overdue_add_answer (struct overdue *o, int64_t took_ms);
bool overdue_is (const struct overdue *o, int64_t waited_ms);

#endif
