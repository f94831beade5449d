/* accounts_report: the client accounts as operators see them, without their keys.

   Counts of what runs and waits are those of this VM's dispatcher and mean something on the leader
   only.  */

#ifndef SASSAFRAS_ACCOUNTS_REPORT_H
#define SASSAFRAS_ACCOUNTS_REPORT_H

#include <jansson.h>

#include "workflow.h"

json_t *accounts_report (const struct workflow *w); /* New reference. */

#endif
