#include "seeded_group.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>

#include "group_reporter.h"
#include "incarnation.h"
#include "log.h"
#include "member_sync.h"
#include "peer_net.h"
#include "voter_plan.h"

#define GROUP_ID 1
#define GROUP_NAME "workflow"
#define ADDRESS_BYTES 32
#define PATH_BYTES 4200
#define PLAN_TEXT_BYTES 512
/* Time without a leader; an election takes longer, but a needless join request does no harm.  */
#define JOIN_DELAY_MS 1000
#define NEAR_QUORUM_DELAY_MS 1500  /* of a leadership; its transfer follows after 3.3 s */
#define JOIN_REQUEST_VALID_MS 1500 /* a joining VM repeats its request several times per second */
#define MAX_FLUSH_ROUNDS 8         /* the results of a flush often cause further proposals */

struct peer_activity
{
  uint64_t node;
  int64_t last_active_ms;  /* last time it counted as active */
  int64_t join_request_ms; /* last one; 0 if none */
};

struct seeded_group
{
  struct seeded_group_config config;
  uint64_t node;
  uint64_t incarnation;
  struct rng rng;
  struct peer_net *net;
  struct group *group;
  struct member_sync sync;
  struct group_reporter reporter;
  struct peer_activity activity[PEER_MAX_MEMBERS];
  size_t activity_count;
  char last_plan[PLAN_TEXT_BYTES]; /* as last logged */
  int64_t leading_since_ms;        /* when this VM became leader; 0 while not leading */
  int64_t leader_known_ms;         /* last time a leader was known */
};

static uint64_t
node_of_ip (const char *ip)
{
  struct in_addr address;
  return inet_pton (AF_INET, ip, &address) == 1 ? ntohl (address.s_addr) : 0;
}

static void
on_raft (void *arg, const struct peer_info *from, const raft_message *m)
{
  struct seeded_group *s = arg;
  if (s->group && m->group == GROUP_ID && m->from == from->node)
    group_receive (s->group, m, clock_now_ms (s->config.clock));
}

static void
notify_peer_change (struct seeded_group *s, const struct peer_info *peer, bool connected)
{
  if (s->config.peer)
    s->config.peer (s->config.arg, peer->node, peer->data_centre, connected);
}

static void
on_hello (void *arg, const struct peer_info *peer)
{
  struct seeded_group *s = arg;
  log_event (LOG_INFO, "peer-connected", "peer=%s incarnation=%llu", peer->name,
             (unsigned long long)peer->incarnation);
  if (s->group)
    group_peer_connected (s->group, peer->node);
  notify_peer_change (s, peer, true);
}

static void
on_lost (void *arg, const struct peer_info *peer)
{
  struct seeded_group *s = arg;
  log_event (LOG_WARN, "peer-lost", "peer=%s", peer->name);
  notify_peer_change (s, peer, false);
}

static void
on_orders (void *arg, const struct peer_info *from, const peer_orders *orders)
{
  struct seeded_group *s = arg;
  if (s->config.orders)
    s->config.orders (s->config.arg, from->node, orders->data.data_val, orders->data.data_len);
}

static void
send_raft (void *arg, const raft_message *m)
{
  struct seeded_group *s = arg;
  peer_send_raft (s->net, m);
}

static void
on_leader_changed (void *arg, struct group *g)
{
  struct seeded_group *s = arg;
  char ip[SEEDED_GROUP_IP_BYTES] = "";
  if (!s->group)
    return;
  seeded_group_leader (s, ip);
  log_state ("leader-changed", "term=%llu leader=%s", (unsigned long long)group_term (g), ip);
  s->config.leader_changed (s->config.arg);
}

static void
add_peer (struct seeded_group *s, const char *ip)
{
  struct status st;
  char address[ADDRESS_BYTES];
  snprintf (address, sizeof address, "%s:%d", ip, s->config.peer_port);
  const struct peer_config peer = { .name = ip, .node = node_of_ip (ip), .address = address };
  if (strcmp (ip, s->config.ip) != 0 && peer_net_set_peer (s->net, &peer, &st) < 0)
    log_event (LOG_WARN, "peer-refused", "peer=%s reason=\"%s\"", ip, st.message);
}

static int
open_net (struct seeded_group *s, struct status *st)
{
  char listen[ADDRESS_BYTES];
  const char *bind_ip = s->config.bind_ip ? s->config.bind_ip : s->config.ip;
  snprintf (listen, sizeof listen, "%s:%d", bind_ip, s->config.peer_port);
  const struct peer_net_config config
      = { .deployment = s->config.deployment,
          .vm = s->config.ip,
          .data_centre = s->config.data_centre,
          .node = s->node,
          .incarnation = s->incarnation,
          .initialized = true,
          .listen_address = listen,
          .clock = s->config.clock,
          .seed = rng_next (&s->rng),
          .handlers = { .raft = on_raft, .orders = on_orders, .hello = on_hello, .lost = on_lost },
          .handler_arg = s };
  s->net = peer_net_open (s->config.loop, &config, st);
  if (!s->net)
    return -1;
  for (size_t i = 0; i < s->config.seed_count; i++)
    add_peer (s, s->config.seeds[i]);
  return 0;
}

static struct store *
open_store (struct seeded_group *s, struct status *st)
{
  char path[PATH_BYTES];
  snprintf (path, sizeof path, "%s/%s", s->config.data_dir, GROUP_NAME);
  struct journal_io *io = journal_folder_io (path, st);
  return io ? journal_open (io, GROUP_NAME, st) : NULL;
}

static int
open_group (struct seeded_group *s, struct status *st)
{
  raft_member list[SEEDED_GROUP_MAX_SEEDS];
  for (size_t i = 0; i < s->config.seed_count; i++)
    list[i] = (raft_member){ .node = node_of_ip (s->config.seeds[i]), .voter = true };
  const raft_members members = { { (u_int)s->config.seed_count, list } };
  struct store *store = open_store (s, st);
  if (!store)
    return -1;
  struct raft_timing timing = raft_default_timing ();
  /* The few learners are spares: the leader must know which of them are reachable.  */
  timing.learner_heartbeat_ms = timing.heartbeat_ms;
  const struct group_config config
      = { .id = GROUP_ID,
          .timing = timing,
          .node = s->node,
          .name = GROUP_NAME,
          .initialized = !s->config.first_start,
          .members = &members,
          .store = store,
          .machine = s->config.machine,
          .rng = &s->rng,
          .events = { .send = send_raft, .leader_changed = on_leader_changed, .arg = s } };
  s->group = group_open (&config, clock_now_ms (s->config.clock), st);
  return s->group ? 0 : -1;
}

static int
make_folder (const char *path, struct status *st)
{
  if (mkdir (path, 0700) == 0 || errno == EEXIST)
    return 0;
  return status_set (st, STATUS_DISK_FAILED, "cannot create %s: %s", path, strerror (errno));
}

struct seeded_group *
seeded_group_open (const struct seeded_group_config *config, struct status *st)
{
  struct seeded_group *s = xcalloc (1, sizeof *s);
  uint64_t seed;
  s->config = *config;
  s->node = node_of_ip (config->ip);
  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    seed = (uint64_t)clock_wall_ms () ^ s->node;
  rng_init (&s->rng, seed);
  if (make_folder (config->data_dir, st) < 0
      || incarnation_next (config->data_dir, &s->incarnation, st) < 0 || open_net (s, st) < 0
      || open_group (s, st) < 0)
    {
      seeded_group_close (s);
      return NULL;
    }
  member_sync_init (&s->sync, s->group, GROUP_NAME);
  group_reporter_init (&s->reporter);
  return s;
}

void
seeded_group_close (struct seeded_group *s)
{
  if (s->group)
    group_close (s->group);
  if (s->net)
    peer_net_close (s->net);
  free (s);
}

struct group *
seeded_group_group (struct seeded_group *s)
{
  return s->group;
}

/* Adds members in the log that the transport does not know yet.  */
static void
add_member_peers (struct seeded_group *s)
{
  const raft_members *members = group_members (s->group);
  for (u_int i = 0; i < members->members.members_len; i++)
    {
      struct peer_info info;
      char ip[SEEDED_GROUP_IP_BYTES];
      uint64_t node = members->members.members_val[i].node;
      if (node == s->node || peer_net_peer (s->net, node, &info))
        continue;
      group_reporter_name (node, ip);
      add_peer (s, ip);
    }
}

/* The activity record of NODE, created if it does not exist.  */
static struct peer_activity *
find_activity (struct seeded_group *s, uint64_t node, int64_t first_ms)
{
  for (size_t i = 0; i < s->activity_count; i++)
    if (s->activity[i].node == node)
      return &s->activity[i];
  size_t i = s->activity_count < PEER_MAX_MEMBERS ? s->activity_count++ : PEER_MAX_MEMBERS - 1;
  s->activity[i] = (struct peer_activity){ .node = node, .last_active_ms = first_ms };
  return &s->activity[i];
}

static void
update_activity (struct seeded_group *s, int64_t now_ms)
{
  struct group_stats stats;
  group_stats (s->group, &stats);
  for (size_t i = 0; i < stats.peers_len; i++)
    {
      struct peer_activity *activity = find_activity (s, stats.peers[i].node, s->leading_since_ms);
      if (stats.peers[i].active)
        activity->last_active_ms = now_ms;
    }
}

/* Not known during the first seconds of a leadership, when members may not be what they were.  */
static int64_t
distance_of (const struct seeded_group *s, uint64_t node, int64_t now_ms)
{
  struct peer_info info;
  if (node == s->node)
    return 0;
  if (s->config.any_voters || now_ms - s->leading_since_ms < NEAR_QUORUM_DELAY_MS
      || !peer_net_peer (s->net, node, &info))
    return INT64_MAX;
  return info.stats.shortest_answer_ms;
}

static bool
has_vote (const struct group_stats *stats, uint64_t node)
{
  for (size_t i = 0; i < stats->peers_len; i++)
    if (stats->peers[i].node == node)
      return stats->peers[i].has_vote;
  return false;
}

/* Lists the members in the log and the VMs that have requested to join.  */
static size_t
list_members (struct seeded_group *s, int64_t now_ms, struct plan_member *out)
{
  const raft_members *members = group_members (s->group);
  struct group_stats stats;
  size_t n = 0;
  group_stats (s->group, &stats);
  for (u_int i = 0; i < members->members.members_len; i++)
    {
      const raft_member *m = &members->members.members_val[i];
      int64_t last_active_ms
          = m->node == s->node ? now_ms
                               : find_activity (s, m->node, s->leading_since_ms)->last_active_ms;
      out[n++] = (struct plan_member){ .node = m->node,
                                       .self = m->node == s->node,
                                       .voter = m->voter,
                                       .inactive_ms = now_ms - last_active_ms,
                                       .has_vote = has_vote (&stats, m->node),
                                       .distance_ms = distance_of (s, m->node, now_ms) };
    }
  for (size_t i = 0; i < s->activity_count && n < PEER_MAX_MEMBERS; i++)
    if (!raft_members_find (members, s->activity[i].node) && s->activity[i].node != s->node
        && now_ms - s->activity[i].join_request_ms < JOIN_REQUEST_VALID_MS)
      out[n++] = (struct plan_member){ .node = s->activity[i].node, .distance_ms = INT64_MAX };
  return n;
}

/* Logs a plan only if it differs from the last one.  */
static void
log_plan (struct seeded_group *s, const struct plan_member *plan, size_t count)
{
  char text[PLAN_TEXT_BYTES] = "";
  size_t used = 0;
  for (size_t i = 0; i < count && used + 64 < sizeof text; i++)
    {
      char ip[SEEDED_GROUP_IP_BYTES];
      const char *role = plan[i].voter ? "voter" : "learner";
      group_reporter_name (plan[i].node, ip);
      used += (size_t)snprintf (text + used, sizeof text - used, " %s=%s", ip,
                                plan[i].dropped ? "dropped" : role);
    }
  if (strcmp (text, s->last_plan) == 0)
    return;
  snprintf (s->last_plan, sizeof s->last_plan, "%s", text);
  log_state ("members-planned", "%s", text);
}

static void
sync_members (struct seeded_group *s, int64_t now_ms)
{
  struct plan_member plan[PEER_MAX_MEMBERS];
  raft_member target[PEER_MAX_MEMBERS];
  size_t count = 0;
  if (!group_is_leader (s->group))
    {
      s->leading_since_ms = 0;
      return;
    }
  if (s->leading_since_ms == 0)
    {
      s->leading_since_ms = now_ms;
      s->activity_count = 0;
    }
  update_activity (s, now_ms);
  size_t n = list_members (s, now_ms, plan);
  voter_plan (plan, n);
  log_plan (s, plan, n);
  for (size_t i = 0; i < n; i++)
    if (!plan[i].dropped)
      target[count++] = (raft_member){ .node = plan[i].node, .voter = plan[i].voter };
  member_sync_tick (&s->sync, target, count, now_ms);
}

int
seeded_group_join (struct seeded_group *s, const char *ip, struct status *st)
{
  uint64_t node = node_of_ip (ip);
  int64_t now_ms = clock_now_ms (s->config.clock);
  if (node == 0)
    return status_set (st, STATUS_BAD_REQUEST, "'%s' is not an IPv4 address", ip);
  if (!group_is_leader (s->group))
    return status_set (st, STATUS_NOT_LEADER, "this VM does not lead");
  if (raft_members_find (group_members (s->group), node))
    return 0;
  log_event (LOG_INFO, "join-requested", "peer=%s", ip);
  add_peer (s, ip);
  find_activity (s, node, now_ms)->join_request_ms = now_ms;
  return 0;
}

void
seeded_group_add_peer (struct seeded_group *s, const char *ip)
{
  struct peer_info info;
  if (!peer_net_peer (s->net, node_of_ip (ip), &info))
    add_peer (s, ip);
}

bool
seeded_group_send_orders (void *seeded_group, uint64_t node, const void *data, size_t len)
{
  struct seeded_group *s = seeded_group;
  const peer_orders orders = { { (u_int)len, (char *)(uintptr_t)data } };
  return peer_send_orders (s->net, node, &orders);
}

bool
seeded_group_needs_join (const struct seeded_group *s)
{
  return clock_now_ms (s->config.clock) - s->leader_known_ms >= JOIN_DELAY_MS;
}

void
seeded_group_tick (struct seeded_group *s)
{
  int64_t now_ms = clock_now_ms (s->config.clock);
  group_tick (s->group, now_ms);
  add_member_peers (s);
  sync_members (s, now_ms);
  if (group_leader_node (s->group) != 0)
    s->leader_known_ms = now_ms;
  group_reporter_tick (&s->reporter, s->group, now_ms);
}

bool
seeded_group_flush (struct seeded_group *s)
{
  for (int round = 0; round < MAX_FLUSH_ROUNDS; round++)
    {
      if (!group_needs_flush (s->group))
        return false;
      group_flush (s->group);
    }
  return true;
}

size_t
seeded_group_voter_distances (const struct seeded_group *s, struct voter_distance *out, size_t size)
{
  const raft_members *members = group_members (s->group);
  size_t n = 0;
  for (u_int i = 0; i < members->members.members_len && n < size; i++)
    {
      const raft_member *m = &members->members.members_val[i];
      struct peer_info info;
      if (!m->voter || m->node == s->node)
        continue;
      bool known = peer_net_peer (s->net, m->node, &info);
      out[n++] = (struct voter_distance){ .node = m->node,
                                          .answer_ms
                                          = known ? info.stats.shortest_answer_ms : INT64_MAX };
    }
  return n;
}

size_t
seeded_group_members (const struct seeded_group *s, char (*ips)[SEEDED_GROUP_IP_BYTES], size_t size)
{
  const raft_members *members = group_members (s->group);
  size_t n = 0;
  for (int voters = 1; voters >= 0; voters--)
    for (u_int i = 0; i < members->members.members_len && n < size; i++)
      if (members->members.members_val[i].voter == voters)
        group_reporter_name (members->members.members_val[i].node, ips[n++]);
  return n;
}

bool
seeded_group_leader (const struct seeded_group *s, char ip[SEEDED_GROUP_IP_BYTES])
{
  uint64_t node = group_leader_node (s->group);
  if (node == 0)
    return false;
  group_reporter_name (node, ip);
  return true;
}
