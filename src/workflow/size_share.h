/* size_share: how often jobs of each size get to start, among the jobs of one queue.  Pure.

   Load pattern: a queue whose jobs differ in work by ten times, and more of them than can run.  By
   chance or by the room that they find, large jobs may start much more seldom than small ones.  The
   jobs fall into three classes by their work among the last jobs of the queue: the largest tenth,
   the fifth below it, and the others.  Whoever orders the queue takes the class next that has had
   the smallest share.  Old jobs count less: half after SIZE_SHARE_HALF_LIFE_MS.  */

#ifndef SASSAFRAS_SIZE_SHARE_H
#define SASSAFRAS_SIZE_SHARE_H

#include <stddef.h>
#include <stdint.h>

#define SIZE_SHARE_WINDOW_JOBS 64       /* jobs that sizes are compared with */
#define SIZE_SHARE_HALF_LIFE_MS 20000.0 /* two objectives of a usual job that fills */

enum size_class
{
  SIZE_OTHER,
  SIZE_NEXT_FIFTH,
  SIZE_LARGEST_TENTH,
  SIZE_CLASSES,
};

struct size_share
{
  double work[SIZE_SHARE_WINDOW_JOBS]; /* of the last jobs, in the order of arrival */
  size_t seen;
  double arrived[SIZE_CLASSES];
  double started[SIZE_CLASSES];
  int64_t decayed_ms;
};

void size_share_init (struct size_share *s, int64_t now_ms); /* No job was seen. */
enum size_class size_share_add_arrival (struct size_share *s, int64_t now_ms,
                                        double work); /* A job came; WORK in any one unit. */
void size_share_add_start (struct size_share *s, int64_t now_ms,
                           enum size_class class); /* A job of CLASS started. */
double
size_share_started_ratio (const struct size_share *s,
                          enum size_class class); /* Started over arrived; 0 before the first. */

#endif
