/* daemon: everything that lives as long as the process, and its main loop.

   Start: settings, peer transport, then the groups.  A VM with an empty disk opens its groups only
   when it knows whether they exist: any peer that has state makes it join as a new store, a
   majority of the registry's other voters without state lets it bootstrap.

   Planned stop (SIGTERM, SIGINT): the health check fails at once, leadership moves on, and after
   DAEMON_DRAIN_DELAY_MS no new connection is accepted; the process ends when every request in
   flight has its answer.  A second signal ends it at once.  SIGUSR1 writes the state as one line
   of JSON to standard output.  */

#ifndef SASSAFRAS_DAEMON_H
#define SASSAFRAS_DAEMON_H

#include "settings.h"
#include "status.h"

#define DAEMON_TICK_MS 20
#define DAEMON_DRAIN_DELAY_MS 1000 /* lets the platform's balancer see the failed health check */

struct daemon;

struct daemon *daemon_open (const struct settings *settings,
                            struct status *st); /* NULL and ST on failure; SETTINGS must live on. */
int daemon_run (struct daemon *d);              /* Until a planned stop; the exit code. */
void daemon_close (struct daemon *d);           /* Frees everything. */

#endif
