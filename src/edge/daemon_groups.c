/* Replicated groups of one VM: bootstrap, transport, disk writes and leadership.  */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "counters.h"
#include "daemon_internal.h"
#include "home_cell.h"
#include "log.h"

#define LEADERSHIP_TRANSFER_INTERVAL_MS 2000 /* retries of a draining VM */
#define REGISTRY_SETTLE_MS 100
#define FLUSH_MAX_ROUNDS 8 /* the results of a flush often cause further proposals */

static struct counter raft_sent
    = { .name = "sassafras_raft_messages_sent_total", .help = "Raft messages sent to peers." };

static struct daemon_group *
find_group (struct daemon *d, uint64_t id)
{
  for (size_t i = 0; i < d->group_count; i++)
    if (d->groups[i].id == id)
      return &d->groups[i];
  return NULL;
}

static void
on_raft (void *arg, const struct peer_info *from, const raft_message *m)
{
  struct daemon *d = arg;
  struct daemon_group *g = find_group (d, m->group);
  if (g && m->from == from->node)
    group_receive (g->group, m, clock_now_ms (d->clock));
}

static void
on_propose (void *arg, const struct peer_info *from, const propose_args *args,
            struct peer_reply *reply)
{
  struct daemon *d = arg;
  (void)from;
  proposal_router_receive (d->proposals, args, reply);
}

static void
on_permit_granted (void *arg, const permit_grant *grant)
{
  peer_reply_permit (arg, grant);
}

static void
on_permit (void *arg, const struct peer_info *from, const permit_request *request,
           struct peer_reply *reply)
{
  struct daemon *d = arg;
  registry_service_permit (d->registry_service, from->node, request, on_permit_granted, reply);
}

static void
on_runners (void *arg, const struct peer_info *from, const runner_digest *digest,
            struct peer_reply *reply)
{
  daemon_receive_runners (arg, from, digest, reply);
}

static void
on_hello (void *arg, const struct peer_info *peer)
{
  struct daemon *d = arg;
  for (size_t i = 0; i < d->group_count; i++)
    group_peer_connected (d->groups[i].group, peer->node);
  daemon_peer_connected (d, peer);
}

static bool
has_stored_state (const struct daemon *d)
{
  char path[SETTINGS_PATH_BYTES + 32];
  struct stat info;
  snprintf (path, sizeof path, "%s/registry/log", d->settings->data_dir);
  if (stat (path, &info) == 0 && info.st_size > 0)
    return true;
  snprintf (path, sizeof path, "%s/registry/snapshot", d->settings->data_dir);
  return stat (path, &info) == 0;
}

int
daemon_open_peers (struct daemon *d, struct status *st)
{
  const struct member_list *members = &d->settings->members;
  struct peer_config *peers = xcalloc (members->count, sizeof *peers);
  for (size_t i = 0; i < members->count; i++)
    peers[i] = (struct peer_config){ .name = members->items[i].vm,
                                     .node = members->items[i].node,
                                     .address = members->items[i].peer };
  d->initialized = d->has_disk && has_stored_state (d);
  const struct peer_net_config config = {
    .deployment = d->settings->deployment,
    .vm = d->settings->vm,
    .data_centre = d->settings->data_centre,
    .node = d->node,
    .incarnation = d->incarnation,
    .initialized = d->initialized,
    .listen_address = d->settings->peers,
    .peers = peers,
    .peer_count = members->count,
    .clock = d->clock,
    .seed = rng_next (&d->rng),
    .handlers = { .raft = on_raft,
                  .propose = on_propose,
                  .permit = on_permit,
                  .runners = on_runners,
                  .hello = on_hello },
    .handler_arg = d,
  };
  d->net = peer_net_open (d->loop, &config, st);
  free (peers);
  return d->net ? 0 : -1;
}

static void
send_raft (void *arg, const raft_message *m)
{
  struct daemon_group *g = arg;
  counter_add (&raft_sent, 1);
  peer_send_raft (g->daemon->net, m);
}

static void
on_leader_changed (void *arg, struct group *group)
{
  (void)group;
  struct daemon_group *g = arg;
  if (!g->group)
    return;
  if (g->cell)
    cell_service_leader_changed (g->cell);
  else
    registry_service_leader_changed (g->daemon->registry_service);
}

static struct store *
open_store (struct daemon *d, const char *name, struct status *st)
{
  char path[SETTINGS_PATH_BYTES + 80];
  if (!d->has_disk)
    return memory_store_open ();
  if (mkdir (d->settings->data_dir, 0700) < 0 && errno != EEXIST)
    {
      status_set (st, STATUS_DISK_FAILED, "cannot create %s: %s", d->settings->data_dir,
                  strerror (errno));
      return NULL;
    }
  snprintf (path, sizeof path, "%s/%s", d->settings->data_dir, name);
  struct journal_io *io = journal_folder_io (path, st);
  return io ? journal_open (io, name, st) : NULL;
}

/* Initial members of a group: all VMs for the registry; the voters and the VMs of its data centre
   for a cell.  */
static size_t
initial_members (const struct daemon *d, const char *data_centre, raft_member *out)
{
  const struct member_list *all = &d->settings->members;
  size_t n = 0;
  for (size_t i = 0; i < all->count && n < PEER_MAX_MEMBERS; i++)
    {
      const registry_member *m = &all->items[i];
      bool voter = data_centre ? member_votes_in_cell (m, data_centre) : m->registry_voter;
      if (!data_centre || voter || strcmp (m->data_centre, data_centre) == 0)
        out[n++] = (raft_member){ .node = m->node, .voter = voter };
    }
  return n;
}

static int
open_group (struct daemon *d, uint64_t id, const char *data_centre, struct machine *machine,
            struct cell_service *cell, bool join, struct status *st)
{
  char name[SETTINGS_NAME_BYTES + 8];
  raft_member list[PEER_MAX_MEMBERS];
  struct daemon_group *g = &d->groups[d->group_count];
  const raft_members members = { { (u_int)initial_members (d, data_centre, list), list } };
  snprintf (name, sizeof name, "%s%s", data_centre ? "cell-" : "registry",
            data_centre ? data_centre : "");
  struct store *store = open_store (d, name, st);
  if (!store)
    return -1;
  *g = (struct daemon_group){ .daemon = d, .id = id, .cell = cell };
  const struct group_config config
      = { .id = id,
          .node = d->node,
          .name = cell ? cell_service_data_centre (cell) : "registry",
          .initialized = join || !d->has_disk,
          .members = &members,
          .store = store,
          .machine = machine,
          .rng = &d->rng,
          .events = { .send = send_raft, .leader_changed = on_leader_changed, .arg = g } };
  g->group = group_open (&config, clock_now_ms (d->clock), st);
  if (!g->group)
    return -1;
  d->group_count++;
  return 0;
}

static int
prepare_registry (void *arg, void *command, size_t len, struct status *st)
{
  (void)arg;
  if (registry_stamp (command, len, clock_wall_ms ()) == 0)
    return 0;
  return status_set (st, STATUS_BAD_REQUEST, "malformed registry command");
}

static int
open_cell (struct daemon *d, uint64_t number, const char *data_centre, bool join, struct status *st)
{
  const struct cell_service_config config = { .number = number,
                                              .data_centre = data_centre,
                                              .node = d->node,
                                              .registry = d->registry,
                                              .registry_service = d->registry_service,
                                              .registry_group = d->groups[0].group,
                                              .proposer = proposal_router_proposer (d->proposals),
                                              .net = d->net,
                                              .clock = d->clock,
                                              .seed = rng_next (&d->rng),
                                              .registry_known = &d->registry_known };
  struct cell_service *cell = cell_service_open (&config);
  d->cells[d->cell_count++] = cell;
  if (open_group (d, number, data_centre, cell_service_machine (cell), cell, join, st) < 0)
    return -1;
  struct group *g = d->groups[d->group_count - 1].group;
  cell_service_set_group (cell, g);
  proposal_router_add (d->proposals, number, g, cell_service_prepare, cell);
  return 0;
}

static int
compare_nodes (const void *a, const void *b)
{
  const registry_member *x = *(const registry_member *const *)a;
  const registry_member *y = *(const registry_member *const *)b;
  return x->node < y->node ? -1 : x->node > y->node;
}

/* Lists data centres in the order in which the registry adds them, by the lowest node id of their
   VMs.  The position of a data centre determines its cell number.  */
static size_t
list_data_centres (const struct daemon *d, const char **out)
{
  const struct member_list *all = &d->settings->members;
  const registry_member **sorted = xcalloc (all->count, sizeof (const registry_member *));
  size_t n = 0;
  for (size_t i = 0; i < all->count; i++)
    sorted[i] = &all->items[i];
  qsort (sorted, all->count, sizeof (const registry_member *), compare_nodes);
  for (size_t i = 0; i < all->count; i++)
    {
      size_t k = 0;
      while (k < n && strcmp (out[k], sorted[i]->data_centre) != 0)
        k++;
      if (k == n && n < PROPOSAL_MAX_GROUPS - 1)
        out[n++] = sorted[i]->data_centre;
    }
  free (sorted);
  return n;
}

static int
open_groups (struct daemon *d, bool join, struct status *st)
{
  const char *centres[PROPOSAL_MAX_GROUPS];
  size_t n = list_data_centres (d, centres);
  if (open_group (d, REGISTRY_GROUP, NULL, registry_machine (d->registry), NULL, join, st) < 0)
    return -1;
  registry_service_set_group (d->registry_service, d->groups[0].group);
  proposal_router_add (d->proposals, REGISTRY_GROUP, d->groups[0].group, prepare_registry, d);
  for (int local = 1; local >= 0; local--)
    for (size_t i = 0; i < n; i++)
      {
        bool is_local = strcmp (centres[i], d->settings->data_centre) == 0;
        if (is_local != (local == 1) || !(is_local || member_votes_in_cell (d->self, centres[i])))
          continue;
        if (open_cell (d, i + 1, centres[i], join, st) < 0)
          return -1;
      }
  d->groups_open = true;
  log_line (LOG_INFO, "groups are open: %s", join ? "joined" : "started");
  return 0;
}

/* Any majority of the registry's N voters that could have formed the group shares a member, other
   than this VM, with any N - N/2 of the other voters.  If that many have no state, no group exists
   in which an earlier disk of this VM may have voted.  */
static bool
is_new_deployment (size_t voters, size_t others_without_state)
{
  return others_without_state >= voters - voters / 2;
}

/* True if this VM must join existing groups; *KNOWN is false while this is undetermined.  */
static bool
must_join (const struct daemon *d, bool *known)
{
  const struct member_list *all = &d->settings->members;
  size_t voters = 0;
  size_t without_state = 0;
  *known = true;
  for (size_t i = 0; i < all->count; i++)
    {
      struct peer_info info;
      const registry_member *m = &all->items[i];
      voters += m->registry_voter;
      if (m == d->self || !peer_net_peer (d->net, m->node, &info) || info.incarnation == 0)
        continue;
      if (info.initialized)
        return true;
      without_state += m->registry_voter;
    }
  bool alone = voters == 1 && d->self->registry_voter;
  *known = alone || is_new_deployment (voters, without_state);
  return false;
}

int
daemon_bootstrap (struct daemon *d, struct status *st)
{
  bool known;
  if (d->groups_open)
    return 0;
  if (!d->has_disk || d->initialized)
    return open_groups (d, true, st);
  bool join = must_join (d, &known);
  return known ? open_groups (d, join, st) : 0;
}

void
daemon_flush_groups (struct daemon *d)
{
  bool again = true;
  for (int round = 0; round < FLUSH_MAX_ROUNDS && again; round++)
    {
      again = false;
      for (size_t i = 0; i < d->group_count; i++)
        {
          if (!group_needs_flush (d->groups[i].group))
            continue;
          group_flush (d->groups[i].group);
          again = true;
        }
    }
  if (again)
    ev_idle_start (d->loop, &d->flush_idle);
  else
    ev_idle_stop (d->loop, &d->flush_idle);
}

/* Reports stored state to the peers once any group of this VM has taken part in an election.  */
static void
publish_stored_state (struct daemon *d)
{
  if (d->initialized || !d->has_disk)
    return;
  for (size_t i = 0; i < d->group_count; i++)
    if (group_term (d->groups[i].group) > 0)
      {
        d->initialized = true;
        peer_net_set_identity (d->net, d->node, true);
        return;
      }
}

void
daemon_update_peers (struct daemon *d)
{
  const registry_member *all;
  size_t n = registry_members (d->registry, &all);
  for (size_t i = 0; i < n; i++)
    {
      struct status st;
      const struct peer_config peer
          = { .name = all[i].vm, .node = all[i].node, .address = all[i].peer };
      if (strcmp (all[i].vm, d->settings->vm) != 0 && peer_net_set_peer (d->net, &peer, &st) < 0)
        log_line (LOG_WARN, "cannot use the address of peer %s: %s", all[i].vm, st.message);
    }
}

bool
daemon_is_draining (const struct daemon *d)
{
  const registry_member *self = registry_find_node (d->registry, d->node);
  return self && self->draining;
}

/* The registry counts as known when its leader is known and all known commits have been applied for
   REGISTRY_SETTLE_MS, because a VM without a disk receives the log in several batches.  */
static void
update_registry_known (struct daemon *d, int64_t now_ms)
{
  if (d->registry_known || !d->groups_open)
    return;
  const struct group *g = d->groups[0].group;
  bool caught_up = group_leader_node (g) != 0 && registry_applied (d->registry) > 0
                   && group_applied_index (g) == group_commit_index (g);
  if (!caught_up)
    d->registry_caught_up_ms = now_ms;
  d->registry_known = caught_up && now_ms - d->registry_caught_up_ms >= REGISTRY_SETTLE_MS;
}

/* A draining VM transfers leadership; a group without another voter keeps its leader.  */
static void
transfer_while_draining (struct daemon *d, int64_t now_ms)
{
  struct status st;
  if (!daemon_is_draining (d) || now_ms < d->next_transfer_ms)
    return;
  d->next_transfer_ms = now_ms + LEADERSHIP_TRANSFER_INTERVAL_MS;
  for (size_t i = 0; i < d->group_count; i++)
    if (group_is_leader (d->groups[i].group))
      group_transfer_leadership (d->groups[i].group, 0, &st);
}

void
daemon_tick_groups (struct daemon *d, int64_t now_ms)
{
  for (size_t i = 0; i < d->group_count; i++)
    group_tick (d->groups[i].group, now_ms);
  publish_stored_state (d);
  update_registry_known (d, now_ms);
  registry_service_tick (d->registry_service, now_ms);
  for (size_t i = 0; i < d->cell_count; i++)
    cell_service_tick (d->cells[i], now_ms);
  proposal_router_tick (d->proposals, now_ms);
  transfer_while_draining (d, now_ms);
}

bool
daemon_leads_any_group (const struct daemon *d)
{
  for (size_t i = 0; i < d->group_count; i++)
    if (group_is_leader (d->groups[i].group))
      return true;
  return false;
}

void
daemon_transfer_leadership (struct daemon *d)
{
  struct status st;
  for (size_t i = 0; i < d->cell_count; i++)
    cell_service_stop (d->cells[i]);
  for (size_t i = 0; i < d->group_count; i++)
    if (group_is_leader (d->groups[i].group)
        && group_transfer_leadership (d->groups[i].group, 0, &st) < 0)
      log_line (LOG_INFO, "group %llu: cannot start the leadership transfer: %s",
                (unsigned long long)d->groups[i].id, st.message);
}

void
daemon_close_groups (struct daemon *d)
{
  for (size_t i = 0; i < d->group_count; i++)
    group_close (d->groups[i].group);
  for (size_t i = 0; i < d->cell_count; i++)
    cell_service_close (d->cells[i]);
  d->group_count = 0;
  d->cell_count = 0;
  registry_service_close (d->registry_service);
}
