/* held_polls: long polls of workers that wait for commands, one per worker.

   No I/O: the caller removes a poll and then answers it through the poll's callback.  */

#ifndef SASSAFRAS_HELD_POLLS_H
#define SASSAFRAS_HELD_POLLS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "cell_proto.h"
#include "scheduler.h"
#include "status.h"

/* Called with the answer to a poll.  ST is OK if ANSWER is set; ANSWER is valid during the call. */
typedef void cell_poll_fn (void *arg, const struct status *st, const struct worker_answer *answer);

/* A held poll, as added and as removed.  */
struct held_poll
{
  char worker[CELL_NAME_BYTES + 1];
  int64_t until_ms; /* deadline for the answer */
  cell_poll_fn *done;
  void *arg;
};

struct held_poll_entry;

struct held_polls
{
  struct cell_map by_worker;
  TAILQ_HEAD (held_poll_list, held_poll_entry) order; /* by until_ms */
};

void held_polls_init (struct held_polls *h);  /* Empty. */
void held_polls_close (struct held_polls *h); /* Frees all polls unanswered. */
void held_polls_add (struct held_polls *h,
                     const struct held_poll *poll); /* UNTIL_MS must not decrease. */
bool held_polls_take (struct held_polls *h, const char *worker,
                      struct held_poll *out); /* False if this worker has none. */
bool held_polls_take_due (struct held_polls *h, int64_t now_ms,
                          struct held_poll *out); /* Next poll past its deadline; false if none. */

#endif
