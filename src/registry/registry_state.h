/* registry_state: definition of struct registry, private to registry*.c.  */

#ifndef SASSAFRAS_REGISTRY_STATE_H
#define SASSAFRAS_REGISTRY_STATE_H

#include "registry.h"

/* Ring buffer of stored answers, oldest first.  */
struct answer_ring
{
  registry_answer items[REGISTRY_MAX_ANSWERS];
  uint64_t id_hashes[REGISTRY_MAX_ANSWERS]; /* of the request ids (xxHash), compared first */
  size_t first;                             /* oldest */
  size_t count;
};

struct registry
{
  struct machine machine;  /* first member: the vtable */
  registry_snapshot state; /* as in a snapshot, without the answers */
  struct answer_ring answers;
  const struct plans *plans; /* parsed from the lists in state */
  bool usable;               /* the lists in state could be parsed */
  registry_observer *observer;
  void *observer_arg;
};

unsigned registry_execute (struct registry *r, const registry_command *command,
                           registry_result *result); /* Runs one command; returns the changes. */
int registry_set_status (registry_result *result, enum status_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* Sets status and message; returns -1. */
registry_data_centre *registry_data_centre_entry (struct registry *r,
                                                  const char *name);         /* Or NULL. */
registry_member *registry_member_entry (struct registry *r, const char *vm); /* Or NULL. */

#endif
