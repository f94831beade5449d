/* registry: replicated state machine of the registry group.

   Holds the two lists with their version, the data centres (in or out, epoch of the cell), the
   members, and the last 4,096 answers by request id.  Commands, results and the snapshot are XDR
   (registry_proto.x).  apply never refuses a list by its content: lists are validated before the
   command is proposed, because the rules may differ between program versions during a rolling
   upgrade.

   Versions increase by one with each accepted change and never decrease: an index that was already
   applied and a snapshot older than the state are ignored.  Times are the leader's Unix time in ms,
   for reports only; no decision depends on them.  */

#ifndef SASSAFRAS_REGISTRY_H
#define SASSAFRAS_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "registry_proto.h"
#include "machine.h"
#include "plans.h"
#include "status.h"

#define REGISTRY_GROUP 0 /* group number of the registry log */

struct registry; /* embeds struct machine as its first member */

/* Bit mask of changes, passed to the observer after apply and load.  */
enum registry_change
{
  REGISTRY_CHANGED_LISTS = 1 << 0,
  REGISTRY_CHANGED_DATA_CENTRES = 1 << 1,
  REGISTRY_CHANGED_MEMBERS = 1 << 2,
};

typedef void registry_observer (void *arg, struct registry *r, unsigned changes);

/* The lists as accepted.  */
struct registry_lists
{
  uint64_t version;  /* 0 before the first edit */
  int64_t since_ms;  /* Unix time of acceptance */
  const char *plans; /* text; "" before the first edit */
  const char *customers;
  bool usable; /* this program version can parse them */
};

struct registry *registry_new (void);                  /* Empty registry. */
void registry_free (struct registry *r);               /* R may be NULL. */
struct machine *registry_machine (struct registry *r); /* For the replicated log. */
void registry_observe (struct registry *r, registry_observer *fn,
                       void *arg); /* At most one observer. */

uint64_t registry_applied (const struct registry *r); /* Index of the last command applied. */
const struct plans *registry_plans (const struct registry *r);   /* In force here; borrowed. */
struct registry_lists registry_lists (const struct registry *r); /* Valid until the next apply. */
const registry_data_centre *registry_find_data_centre (const struct registry *r,
                                                       const char *name); /* Or NULL. */
size_t registry_data_centres (const struct registry *r,
                              const registry_data_centre **out); /* Array; valid until apply. */
const registry_member *registry_find_member (const struct registry *r,
                                             const char *vm);                        /* Or NULL. */
const registry_member *registry_find_node (const struct registry *r, uint64_t node); /* Or NULL. */
size_t registry_members (const struct registry *r,
                         const registry_member **out); /* Array; valid until apply. */
bool registry_is_in (const struct registry *r, const char *data_centre); /* Known and not out. */

int registry_encode (const registry_command *command, struct buffer *out,
                     struct status *st); /* Appends the encoding; -1 if a field is too large. */
int registry_stamp (void *command, size_t len,
                    int64_t time_ms); /* Sets the time of an encoded command; leader only. */
int registry_decode_result (const void *data, size_t len, registry_result *out,
                            struct status *st);      /* Free with registry_result_free. */
void registry_result_free (registry_result *result); /* Frees decoded memory. */

#endif
