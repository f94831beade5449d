/* daemon: state with the lifetime of the process, and the main loop.

   Start: settings, peer transport, then the replicated groups.  A VM with an empty disk opens its
   groups only once it knows whether they exist: if any peer has state, it joins as a new store; if
   a majority of the registry's other voters have no state, it bootstraps.

   Planned stop (SIGTERM, SIGINT): the health check fails immediately, leadership is transferred,
   and after DAEMON_DRAIN_DELAY_MS no new connection is accepted; the process exits when all
   requests in flight are answered.  A second signal makes it exit immediately.  SIGUSR1 writes the
   state as one line of JSON to standard output.  */

#ifndef SASSAFRAS_DAEMON_H
#define SASSAFRAS_DAEMON_H

#include "settings.h"
#include "status.h"

#define DAEMON_TICK_MS 20
#define DAEMON_DRAIN_DELAY_MS 1000 /* lets the platform's load balancer see the failed check */

struct daemon;

struct daemon *daemon_open (const struct settings *settings,
                            struct status *st); /* Borrows SETTINGS; NULL and ST on failure. */
int daemon_run (struct daemon *d);              /* Runs until stopped; returns the exit code. */
void daemon_close (struct daemon *d);           /* Frees everything. */

#endif
