/* incarnation: a number that increases with every start of a process on one VM.

   Peers refuse a VM whose incarnation is lower than the last one they have seen.  It is the wall
   clock's Unix time in ms.  With a disk, the last value is stored in the file "incarnation" and
   always exceeded, because the wall clock may step back between two starts.  */

#ifndef SASSAFRAS_INCARNATION_H
#define SASSAFRAS_INCARNATION_H

#include <stdint.h>

#include "status.h"

int incarnation_next (const char *data_dir, uint64_t *out,
                      struct status *st); /* DATA_DIR "": no disk. -1 when not stored. */

#endif
