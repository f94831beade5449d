#include "crash_blame.h"

#define SUSPECT_POINTS 4
#define BESIDE_POINTS 2
#define BESIDE_AGAIN_POINTS 3 /* of a task that is suspected already */

void
crash_scene_init (struct crash_scene *s, int64_t stopped_ms)
{
  *s = (struct crash_scene){ .stopped_ms = stopped_ms,
                             .last_answered_ms = INT64_MIN / 2,
                             .unanswered_ms = INT64_MAX / 2 };
}

/* A start sent after the worker had stopped answering never reached it.  */
static bool
may_have_started (const struct crash_scene *s, const struct crash_run *r)
{
  return r->answered || r->sent_ms <= s->stopped_ms;
}

void
crash_scene_add (struct crash_scene *s, const struct crash_run *r)
{
  if (r->adopted || !may_have_started (s, r))
    return;
  if (r->answered && r->sent_ms > s->last_answered_ms)
    s->last_answered_ms = r->sent_ms;
  if (!r->answered && r->sent_ms < s->unanswered_ms)
    s->unanswered_ms = r->sent_ms;
}

/* The crash may have prevented the answer to the start that caused it; the starts without an answer
   that follow it found no worker.  */
enum workflow_outcome
crash_scene_outcome (const struct crash_scene *s, const struct crash_run *r)
{
  if (r->adopted)
    return WORKFLOW_LAPSED;
  if (!r->answered)
    return may_have_started (s, r) && r->sent_ms <= s->unanswered_ms + CRASH_SUSPECT_SPAN_MS
               ? WORKFLOW_CRASHED_UNANSWERED
               : WORKFLOW_NOT_STARTED;
  if (s->stopped_ms - r->sent_ms >= CRASH_PROBATION_MS)
    return WORKFLOW_OUTLIVED;
  bool is_last = r->sent_ms >= s->last_answered_ms - CRASH_SUSPECT_SPAN_MS;
  return is_last ? WORKFLOW_CRASHED : WORKFLOW_CRASHED_BESIDE;
}

void
crash_blame_add (struct crash_blame *b, enum workflow_outcome outcome)
{
  switch (outcome)
    {
    case WORKFLOW_CRASHED_UNANSWERED:
      b->points += SUSPECT_POINTS;
      break;
    case WORKFLOW_CRASHED:
      b->points += SUSPECT_POINTS;
      b->crashes++;
      break;
    case WORKFLOW_CRASHED_BESIDE:
      b->points += b->points >= CRASH_BLAME_ISOLATED ? BESIDE_AGAIN_POINTS : BESIDE_POINTS;
      b->crashes++;
      break;
    case WORKFLOW_DONE:
    case WORKFLOW_FAILED:
    case WORKFLOW_STOPPED:
    case WORKFLOW_OUTLIVED:
      *b = (struct crash_blame){ .points = 0 };
      break;
    default:
      break;
    }
}

bool
crash_blame_is_final (const struct crash_blame *b)
{
  return b->points >= CRASH_BLAME_MAX
         || (b->points >= CRASH_BLAME_LIMIT && b->crashes >= CRASH_MIN_CRASHES);
}
