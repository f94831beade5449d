/* incarnation: a number that grows with every start of a process on one VM.

   Peers refuse a VM whose incarnation is lower than the last one they saw, as an earlier life of
   it. With a disk the last one is kept in the file "incarnation", because the wall clock may step
   back between two starts; without one it is the wall clock's Unix time in ms.  */

#ifndef SASSAFRAS_INCARNATION_H
#define SASSAFRAS_INCARNATION_H

#include <stdint.h>

#include "status.h"

int incarnation_next (const char *data_dir, uint64_t *out,
                      struct status *st); /* DATA_DIR "": no disk. -1 when it can't be stored. */

#endif
