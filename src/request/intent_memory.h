/* intent_memory: an intent_store in the memory of one process, for tests and examples.  */

#ifndef SASSAFRAS_INTENT_MEMORY_H
#define SASSAFRAS_INTENT_MEMORY_H

#include <stdbool.h>

#include "intent_store.h"

struct intent_store *intent_memory_open (void);    /* An empty store. */
void intent_memory_close (struct intent_store *s); /* Frees it. */
void intent_memory_set_available (struct intent_store *s,
                                  bool available); /* false: begin and finish fail. */

#endif
