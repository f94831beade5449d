/* seeded_group: one replicated group whose members find each other by seed addresses.

   A VM is named by its IPv4 address: the text is its peer name, the number its member id, and its
   peer address is that IP with the peer port, which is the same on all VMs.  So the members in the
   log are all that is needed to reach them.

   First start: with FIRST_START and an empty disk the first members are the seeds.  Without
   FIRST_START and with an empty disk the store joins under a new store id.  A store with content
   ignores the seeds (see group.h).

   While leading it makes a voter of every member: one whose disk was replaced becomes a learner
   and, once it has caught up, a voter with its new store.  */

#ifndef SASSAFRAS_SEEDED_GROUP_H
#define SASSAFRAS_SEEDED_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "clock.h"
#include "group.h"
#include "status.h"

#define SEEDED_GROUP_IP_BYTES 16
#define SEEDED_GROUP_MAX_SEEDS 16

struct seeded_group;

struct seeded_group_config
{
  struct ev_loop *loop;
  struct clock *clock;
  const char *deployment;  /* name that all VMs share */
  const char *data_centre; /* of this VM */
  const char *ip;          /* of this VM */
  const char *bind_ip;     /* to listen on; NULL: IP */
  int peer_port;
  char seeds[SEEDED_GROUP_MAX_SEEDS][SEEDED_GROUP_IP_BYTES];
  size_t seed_count;
  const char *data_dir;
  bool first_start;
  struct machine *machine;
  void (*leader_changed) (void *arg);
  /* Either may be NULL.  */
  void (*peer) (void *arg, uint64_t node, const char *data_centre,
                bool connected); /* The connection to a member was made or lost. */
  void (*orders) (void *arg, uint64_t from, const void *data, size_t len); /* See orders_codec.h. */
  void *arg;
};

struct seeded_group *seeded_group_open (const struct seeded_group_config *config,
                                        struct status *st); /* NULL and ST on failure. */
void seeded_group_close (struct seeded_group *s);
struct group *seeded_group_group (struct seeded_group *s);
void seeded_group_tick (struct seeded_group *s);  /* Every 10 to 50 ms. */
bool seeded_group_flush (struct seeded_group *s); /* True: flush again before blocking. */
bool seeded_group_send_orders (void *seeded_group, uint64_t node, const void *data,
                               size_t len);                     /* An orders_send_fn. */
bool seeded_group_wants_to_join (const struct seeded_group *s); /* No leader was heard lately. */
int seeded_group_join (struct seeded_group *s, const char *ip,
                       struct status *st); /* On the leader: IP becomes a learner. */
void seeded_group_meet (struct seeded_group *s,
                        const char *ip); /* IP took our request to join: no stranger. */
bool seeded_group_leader (const struct seeded_group *s,
                          char ip[SEEDED_GROUP_IP_BYTES]); /* False: not known. */

#endif
