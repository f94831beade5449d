/* held_polls: workers' polls that wait for commands, one for each worker.

   Pure: the caller answers a poll by the callback it gave, after taking it out.  */

#ifndef SASSAFRAS_HELD_POLLS_H
#define SASSAFRAS_HELD_POLLS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "cell_map.h"
#include "cell_proto.h"
#include "scheduler.h"
#include "status.h"

/* The answer to a held poll; ST is OK when ANSWER is set, which is valid during the call.  */
typedef void cell_poll_fn (void *arg, const struct status *st, const struct worker_answer *answer);

/* A poll after it was taken out.  */
struct held_poll
{
  char worker[CELL_NAME_BYTES + 1];
  int64_t until_ms; /* when it is answered at the latest */
  cell_poll_fn *done;
  void *arg;
};

struct held_poll_entry;

struct held_polls
{
  struct cell_map by_worker;
  TAILQ_HEAD (held_poll_list, held_poll_entry) order; /* by until_ms */
};

void held_polls_init (struct held_polls *h);  /* None. */
void held_polls_close (struct held_polls *h); /* Frees all; none is answered. */
void held_polls_add (struct held_polls *h, const struct held_poll *poll); /* Latest until_ms. */
bool held_polls_take (struct held_polls *h, const char *worker,
                      struct held_poll *out); /* False: none of this worker. */
bool held_polls_take_due (struct held_polls *h, int64_t now_ms,
                          struct held_poll *out); /* Next whose time is over. */

#endif
