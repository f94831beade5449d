/* connection_limit: keeps descriptors free while clients hold connections without a request.

   Shared by the servers of a process.  When the descriptor of a new connection is among the last
   ones, the two connections that have been idle for the longest time are shut down, which their
   servers see as the end of the client.  A connection is idle until a complete request has arrived
   on it, and again after the answer; one whose request is being handled is never closed.  Half of
   the descriptors, at most 256, stay free for files and outgoing connections.  */

#ifndef SASSAFRAS_CONNECTION_LIMIT_H
#define SASSAFRAS_CONNECTION_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

TAILQ_HEAD (limited_connections, limited_connection);

struct limited_connection
{
  int fd;
  bool handling; /* a request; not in the list of idle ones */
  bool shut;     /* shut down; in no list */
  TAILQ_ENTRY (limited_connection) link;
};

struct connection_limit
{
  int first_spare;                 /* lowest descriptor that is kept free */
  struct limited_connections idle; /* the one idle for the longest time first */
};

void connection_limit_init (struct connection_limit *l,
                            int max_files); /* 0 takes the process's limit, RLIMIT_NOFILE. */
void connection_limit_close (struct connection_limit *l); /* All connections have been removed. */

/* All functions may be called with L == NULL: no limit.  */
void connection_limit_add (struct connection_limit *l, struct limited_connection *c,
                           int fd); /* A new, idle connection. */
bool connection_limit_begin (
    struct connection_limit *l,
    struct limited_connection *c); /* Its request is complete; false if it was shut down. */
void connection_limit_end (struct connection_limit *l,
                           struct limited_connection *c); /* Its request has been answered. */
void connection_limit_shut (struct connection_limit *l,
                            struct limited_connection *c); /* Shuts down one that is idle. */
void connection_limit_remove (struct connection_limit *l,
                              struct limited_connection *c); /* Before its descriptor is closed. */

#endif
