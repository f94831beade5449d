/* size_share: ratio of started to arrived jobs per size class, among the jobs of one queue.  Pure.

   Load pattern: a queue that gets more jobs than can run, with tenfold differences in work.  By
   chance, or because they fit in fewer places, large jobs may start much less often than small
   ones.  Jobs fall into three classes by their work, compared with the last jobs of the queue: the
   largest tenth, the fifth below it, and the rest.  The queue order starts the class with the
   lowest ratio first.  Counts decay with a half-life of SIZE_SHARE_HALF_LIFE_MS.  */

#ifndef SASSAFRAS_SIZE_SHARE_H
#define SASSAFRAS_SIZE_SHARE_H

#include <stddef.h>
#include <stdint.h>

#define SIZE_SHARE_WINDOW_JOBS 64       /* jobs that sizes are compared with */
#define SIZE_SHARE_HALF_LIFE_MS 20000.0 /* two objectives of a typical fill-in job */

enum size_class
{
  SIZE_OTHER,
  SIZE_NEXT_FIFTH,
  SIZE_LARGEST_TENTH,
  SIZE_CLASSES,
};

struct size_share
{
  double work[SIZE_SHARE_WINDOW_JOBS]; /* ring buffer of the last jobs */
  size_t arrivals;                     /* jobs since the start */
  double arrived[SIZE_CLASSES];
  double started[SIZE_CLASSES];
  int64_t decayed_ms;
};

void size_share_init (struct size_share *s, int64_t now_ms);
/* Counts an arrived job and returns its class; WORK may be in any unit, always the same.  */
enum size_class size_share_add_arrival (struct size_share *s, int64_t now_ms, double work);
void size_share_add_start (struct size_share *s, int64_t now_ms, enum size_class class);
/* Started / arrived; 0 before the first arrival.  */
double size_share_started_ratio (const struct size_share *s, enum size_class class);

#endif
