#include "connection_limit.h"

#include <assert.h>
#include <limits.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "counters.h"

#define MAX_SPARE_FILES 256
#define CLOSED_PER_CONNECTION 2 /* more than one, so that the number recedes after a burst */

static struct counter idle_closed
    = { .name = "sassafras_http_idle_closed_total",
        .help = "Connections without a request closed to keep descriptors free." };

static int
process_max_files (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) < 0 || limit.rlim_cur > INT_MAX)
    return INT_MAX;
  return (int)limit.rlim_cur;
}

void
connection_limit_init (struct connection_limit *l, int max_files)
{
  int max = max_files > 0 ? max_files : process_max_files ();
  int spare = max / 2 < MAX_SPARE_FILES ? max / 2 : MAX_SPARE_FILES;
  l->first_spare = max - spare;
  TAILQ_INIT (&l->idle);
}

void
connection_limit_close (struct connection_limit *l)
{
  assert (TAILQ_EMPTY (&l->idle));
  l->first_spare = 0;
}

void
connection_limit_shut (struct connection_limit *l, struct limited_connection *c)
{
  if (c->shut || c->handling)
    return;
  if (l)
    TAILQ_REMOVE (&l->idle, c, link);
  c->shut = true;
  shutdown (c->fd, SHUT_RDWR);
}

static void
close_oldest (struct connection_limit *l)
{
  struct limited_connection *c = TAILQ_FIRST (&l->idle);
  if (!c)
    return;
  connection_limit_shut (l, c);
  counter_add (&idle_closed, 1);
}

void
connection_limit_add (struct connection_limit *l, struct limited_connection *c, int fd)
{
  *c = (struct limited_connection){ .fd = fd };
  if (!l)
    return;
  for (int i = 0; fd >= l->first_spare && i < CLOSED_PER_CONNECTION; i++)
    close_oldest (l);
  TAILQ_INSERT_TAIL (&l->idle, c, link);
}

bool
connection_limit_begin (struct connection_limit *l, struct limited_connection *c)
{
  if (c->shut)
    return false;
  if (!l || c->handling)
    return true;
  c->handling = true;
  TAILQ_REMOVE (&l->idle, c, link);
  return true;
}

void
connection_limit_end (struct connection_limit *l, struct limited_connection *c)
{
  if (!l || !c->handling)
    return;
  c->handling = false;
  TAILQ_INSERT_TAIL (&l->idle, c, link);
}

void
connection_limit_remove (struct connection_limit *l, struct limited_connection *c)
{
  if (l && !c->handling && !c->shut)
    TAILQ_REMOVE (&l->idle, c, link);
}
