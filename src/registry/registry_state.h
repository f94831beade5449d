/* registry_state: the struct behind struct registry, shared by registry*.c only.  */

#ifndef SASSAFRAS_REGISTRY_STATE_H
#define SASSAFRAS_REGISTRY_STATE_H

#include "registry.h"

/* The stored answers, a ring in the order in which they were given.  */
struct answer_ring
{
  registry_answer items[REGISTRY_MAX_ANSWERS];
  uint64_t ids[REGISTRY_MAX_ANSWERS]; /* xxhash of the request id, scanned before the strings */
  size_t first;                       /* oldest */
  size_t count;
};

struct registry
{
  struct machine machine;  /* first member: the vtable */
  registry_snapshot state; /* as in a snapshot, but without the answers */
  struct answer_ring answers;
  const struct plans *plans; /* parsed from the lists of the state */
  bool usable;               /* the lists of the state could be parsed */
  registry_observer *observer;
  void *observer_arg;
};

unsigned registry_execute (struct registry *r, const registry_command *command,
                           registry_result *result); /* One command; returns what it changed. */
int registry_set_status (registry_result *result, enum status_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 3, 4))); /* Fills the result; returns -1. */
registry_data_centre *registry_data_centre_entry (struct registry *r,
                                                  const char *name);         /* Or NULL. */
registry_member *registry_member_entry (struct registry *r, const char *vm); /* Or NULL. */

#endif
