/* seeded_group: a replicated group whose members discover each other through seed addresses.

   A VM is identified by its IPv4 address: the text is its peer name, the number its member id, and
   its peer address is that IP with the peer port, which is the same on all VMs.  The member list in
   the log is therefore sufficient to connect to all members.

   Bootstrap: with FIRST_START and an empty disk the initial members are the seeds.  With an empty
   disk but without FIRST_START the store joins under a new store id.  A store that is not empty
   ignores the seeds (see group.h).

   The leader promotes members to voters as voter_plan decides.  A member whose disk was replaced
   becomes a learner and, once it has caught up, a voter with its new store.  */

#ifndef SASSAFRAS_SEEDED_GROUP_H
#define SASSAFRAS_SEEDED_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "clock.h"
#include "group.h"
#include "leader_placement.h"
#include "status.h"

#define SEEDED_GROUP_IP_BYTES 16
#define SEEDED_GROUP_MAX_SEEDS 16

struct seeded_group;

struct seeded_group_config
{
  struct ev_loop *loop;
  struct clock *clock;
  const char *deployment;  /* the same name on all VMs */
  const char *data_centre; /* of this VM */
  const char *ip;          /* of this VM */
  const char *bind_ip;     /* listen address; NULL: use IP */
  int peer_port;
  char seeds[SEEDED_GROUP_MAX_SEEDS][SEEDED_GROUP_IP_BYTES];
  size_t seed_count;
  const char *data_dir;
  bool first_start;
  bool any_voters; /* votes stay with the members that have them, near or not */
  struct machine *machine;
  void (*leader_changed) (void *arg);
  /* Both callbacks may be NULL.  */
  void (*peer) (void *arg, uint64_t node, const char *data_centre,
                bool connected); /* A member connected or disconnected. */
  void (*orders) (void *arg, uint64_t from, const void *data, size_t len); /* See orders_codec.h. */
  void *arg;
};

struct seeded_group *seeded_group_open (const struct seeded_group_config *config,
                                        struct status *st); /* NULL and ST set on failure. */
void seeded_group_close (struct seeded_group *s);
struct group *seeded_group_group (struct seeded_group *s);
void seeded_group_tick (struct seeded_group *s);  /* Call every 10 to 50 ms. */
bool seeded_group_flush (struct seeded_group *s); /* True: call again before blocking. */
bool seeded_group_send_orders (void *seeded_group, uint64_t node, const void *data,
                               size_t len);                  /* Implements orders_send_fn. */
bool seeded_group_needs_join (const struct seeded_group *s); /* No leader known recently. */
int seeded_group_join (struct seeded_group *s, const char *ip,
                       struct status *st); /* Leader only: adds IP as a learner. */
void seeded_group_add_peer (struct seeded_group *s,
                            const char *ip); /* IP accepted this VM's join: lets it connect. */
/* Distance of the voters other than this VM; returns their number, at most SIZE.  */
size_t seeded_group_voter_distances (const struct seeded_group *s, struct voter_distance *out,
                                     size_t size);
/* Stores the addresses of the members, voters first; returns their number, at most SIZE.  */
size_t seeded_group_members (const struct seeded_group *s, char (*ips)[SEEDED_GROUP_IP_BYTES],
                             size_t size);
bool seeded_group_leader (const struct seeded_group *s,
                          char ip[SEEDED_GROUP_IP_BYTES]); /* False if unknown. */

#endif
