/* machine: the state machine of a replicated log.

   A machine embeds struct machine as its first member.  apply is deterministic: it depends on the
   state and the command only; the time it uses is the leader's time carried by the command.  */

#ifndef SASSAFRAS_MACHINE_H
#define SASSAFRAS_MACHINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "status.h"

struct machine;

struct machine_ops
{
  /* Applies the command at INDEX (encoded by XDR) and appends the encoded result to RESULT.  */
  void (*apply) (struct machine *m, uint64_t index, const void *command, size_t len,
                 struct buffer *result);
  /* Appends the whole state to OUT, for a snapshot; false: a part of it is over the limits of its
     encoding, and OUT is without use.  */
  bool (*save) (struct machine *m, struct buffer *out);
  /* Replaces the whole state by a snapshot; -1 when it cannot be decoded.  */
  int (*load) (struct machine *m, const void *data, size_t len, struct status *st);
};

struct machine
{
  const struct machine_ops *ops;
};

#endif
