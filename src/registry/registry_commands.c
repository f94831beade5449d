#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "members.h"
#include "registry_state.h"

int
registry_set_status (registry_result *result, enum status_kind kind, const char *format, ...)
{
  char message[REGISTRY_MESSAGE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  result->status = kind;
  free (result->message);
  result->message = xstrdup (message);
  return -1;
}

registry_data_centre *
registry_data_centre_entry (struct registry *r, const char *name)
{
  for (unsigned i = 0; i < r->state.data_centres.data_centres_len; i++)
    if (strcmp (r->state.data_centres.data_centres_val[i].name, name) == 0)
      return &r->state.data_centres.data_centres_val[i];
  return NULL;
}

registry_member *
registry_member_entry (struct registry *r, const char *vm)
{
  for (unsigned i = 0; i < r->state.members.members_len; i++)
    if (strcmp (r->state.members.members_val[i].vm, vm) == 0)
      return &r->state.members.members_val[i];
  return NULL;
}

static void
replace_text (char **field, const char *text)
{
  free (*field);
  *field = xstrdup (text);
}

static unsigned
set_lists (struct registry *r, const registry_set_lists *c, int64_t time_ms,
           registry_result *result)
{
  result->current = r->state.lists_version;
  if (c->expected != r->state.lists_version)
    {
      registry_set_status (result, STATUS_VERSION_CONFLICT,
                           "the edit is for version %" PRIu64 ", the current version is %" PRIu64,
                           (uint64_t)c->expected, (uint64_t)r->state.lists_version);
      return 0;
    }
  if (strlen (c->plans) + strlen (c->customers) > REGISTRY_LIST_BYTES)
    {
      registry_set_status (result, STATUS_TOO_LARGE, "both lists together are over %d bytes",
                           REGISTRY_LIST_BYTES);
      return 0;
    }
  replace_text (&r->state.plans, c->plans);
  replace_text (&r->state.customers, c->customers);
  r->state.lists_version++;
  r->state.lists_since_ms = time_ms;
  result->current = r->state.lists_version;
  return REGISTRY_CHANGED_LISTS;
}

static bool
all_out (const struct registry *r)
{
  for (unsigned i = 0; i < r->state.data_centres.data_centres_len; i++)
    if (!r->state.data_centres.data_centres_val[i].out)
      return false;
  return true;
}

/* Taking out a data centre that is out, or returning one that is in, changes nothing and answers
   with the current state.  Taking out the last data centre is allowed; the answer says so.  */
static unsigned
change_data_centre (struct registry *r, const registry_data_centre_change *c, int64_t time_ms,
                    registry_result *result)
{
  registry_data_centre *dc = registry_data_centre_entry (r, c->data_centre);
  if (!dc)
    {
      registry_set_status (result, STATUS_NOT_FOUND, "no data centre '%s'", c->data_centre);
      return 0;
    }
  result->current = dc->state_version;
  result->epoch = dc->epoch;
  if (c->compare && c->expected != dc->state_version)
    {
      registry_set_status (result, STATUS_VERSION_CONFLICT,
                           "the command is for version %" PRIu64
                           " of data centre '%s', the current "
                           "version is %" PRIu64,
                           (uint64_t)c->expected, dc->name, (uint64_t)dc->state_version);
      return 0;
    }
  if (!dc->out == !c->out)
    {
      registry_set_status (result, STATUS_OK, "data centre '%s' is already %s", dc->name,
                           dc->out ? "out" : "in");
      return 0;
    }
  dc->out = c->out;
  dc->state_version++;
  dc->since_ms = time_ms;
  dc->in_force = REGISTRY_NOT_IN_FORCE;
  dc->in_force_ms = 0;
  result->current = dc->state_version;
  if (all_out (r))
    registry_set_status (result, STATUS_OK, "every data centre is out: no task starts anywhere");
  return REGISTRY_CHANGED_DATA_CENTRES;
}

/* Returns the data centre if the out command of VERSION is its current state.  Otherwise NULL: a
   command about an earlier out command must have no effect.  */
static registry_data_centre *
out_at_version (struct registry *r, const char *name, uint64_t version, registry_result *result)
{
  registry_data_centre *dc = registry_data_centre_entry (r, name);
  if (!dc)
    registry_set_status (result, STATUS_NOT_FOUND, "no data centre '%s'", name);
  else if (!dc->out || dc->state_version != version)
    {
      registry_set_status (result, STATUS_VERSION_CONFLICT,
                           "data centre '%s' is %s at version %" PRIu64 ", not out at %" PRIu64,
                           name, dc->out ? "out" : "in", (uint64_t)dc->state_version, version);
      dc = NULL;
    }
  return dc;
}

static unsigned
apply_stopped (struct registry *r, const registry_stopped *c, registry_result *result)
{
  registry_data_centre *dc = out_at_version (r, c->data_centre, c->out_version, result);
  if (!dc)
    return 0;
  result->current = dc->state_version;
  if (dc->stopped_version == c->out_version && dc->stopped_node == c->node)
    return 0;
  dc->stopped_version = c->out_version;
  dc->stopped_node = c->node;
  return REGISTRY_CHANGED_DATA_CENTRES;
}

static unsigned
apply_in_force (struct registry *r, const registry_in_force *c, int64_t time_ms,
                registry_result *result)
{
  registry_data_centre *dc = out_at_version (r, c->data_centre, c->out_version, result);
  if (!dc)
    return 0;
  result->current = dc->state_version;
  if (dc->in_force != REGISTRY_NOT_IN_FORCE)
    return 0;
  if (c->reason != REGISTRY_ACKNOWLEDGED && c->reason != REGISTRY_PERMIT_EXPIRED)
    {
      registry_set_status (result, STATUS_BAD_REQUEST, "reason %d is unknown", (int)c->reason);
      return 0;
    }
  dc->in_force = c->reason;
  dc->in_force_ms = time_ms;
  return REGISTRY_CHANGED_DATA_CENTRES;
}

static unsigned
close_epoch (struct registry *r, const registry_close_epoch *c, int64_t time_ms,
             registry_result *result)
{
  registry_data_centre *dc = registry_data_centre_entry (r, c->data_centre);
  if (!dc)
    {
      registry_set_status (result, STATUS_NOT_FOUND, "no data centre '%s'", c->data_centre);
      return 0;
    }
  result->epoch = dc->epoch;
  result->current = dc->state_version;
  if (c->epoch != dc->epoch)
    {
      registry_set_status (result, STATUS_STALE_EPOCH,
                           "epoch %" PRIu64 " of data centre '%s' is not open, epoch %" PRIu64
                           " is",
                           (uint64_t)c->epoch, dc->name, (uint64_t)dc->epoch);
      return 0;
    }
  dc->epoch++;
  dc->epoch_since_ms = time_ms;
  result->epoch = dc->epoch;
  return REGISTRY_CHANGED_DATA_CENTRES;
}

static bool
check_name (const char *name, const char *what, registry_result *result)
{
  if (json_name_valid (name))
    return true;
  registry_set_status (result, STATUS_BAD_REQUEST, "the %s is no valid name", what);
  return false;
}

static unsigned
count_voters (const struct registry *r)
{
  unsigned count = 0;
  for (unsigned i = 0; i < r->state.members.members_len; i++)
    count += r->state.members.members_val[i].registry_voter ? 1 : 0;
  return count;
}

/* A data centre is created with its first member and never removed: its versions never decrease. */
static int
ensure_data_centre (struct registry *r, const registry_member *m, int64_t time_ms,
                    registry_result *result)
{
  unsigned count = r->state.data_centres.data_centres_len;
  registry_data_centre *list = r->state.data_centres.data_centres_val;
  if (registry_data_centre_entry (r, m->data_centre))
    return 0;
  if (count >= REGISTRY_MAX_DATA_CENTRES)
    return registry_set_status (result, STATUS_LIMIT_EXCEEDED, "there are already %d data centres",
                                REGISTRY_MAX_DATA_CENTRES);
  list = xrealloc (list, (count + 1) * sizeof *list);
  r->state.data_centres.data_centres_val = list;
  r->state.data_centres.data_centres_len = count + 1;
  memset (&list[count], 0, sizeof list[count]);
  list[count].name = xstrdup (m->data_centre);
  list[count].region = xstrdup (m->region);
  list[count].state_version = 1;
  list[count].since_ms = time_ms;
  list[count].epoch = 1;
  list[count].epoch_since_ms = time_ms;
  return 0;
}

static bool
check_member (const registry_member *m, registry_result *result)
{
  if (!check_name (m->vm, "VM", result) || !check_name (m->data_centre, "data centre", result)
      || !check_name (m->region, "region", result))
    return false;
  for (unsigned i = 0; i < m->cells.cells_len; i++)
    if (!check_name (m->cells.cells_val[i], "cell", result))
      return false;
  return true;
}

/* Node ids are never reused: a node with an empty disk must not vote under the id of a lost one. */
static int
assign_node_id (struct registry *r, uint64_t wanted, uint64_t *node, registry_result *result)
{
  *node = wanted != 0 ? wanted : r->state.next_node;
  if (*node < r->state.next_node || *node >= (uint64_t)INT64_MAX)
    return registry_set_status (result, STATUS_BAD_REQUEST,
                                "node %" PRIu64 " was already used, the next free one is %" PRIu64,
                                *node, (uint64_t)r->state.next_node);
  return 0;
}

static void
fill_member (struct registry *r, registry_member *slot, const registry_member *m, uint64_t node,
             int64_t time_ms)
{
  member_copy (slot, m);
  slot->node = node;
  slot->draining = FALSE;
  slot->since_ms = time_ms;
  r->state.next_node = node + 1;
}

static int
add_member (struct registry *r, const registry_member *m, int64_t time_ms, registry_result *result)
{
  unsigned count = r->state.members.members_len;
  registry_member *list = r->state.members.members_val;
  uint64_t node;
  if (!check_member (m, result))
    return -1;
  if (registry_member_entry (r, m->vm))
    return registry_set_status (result, STATUS_BAD_REQUEST, "VM '%s' is already a member", m->vm);
  if (count >= REGISTRY_MAX_MEMBERS)
    return registry_set_status (result, STATUS_LIMIT_EXCEEDED, "there are already %d members",
                                REGISTRY_MAX_MEMBERS);
  if (assign_node_id (r, m->node, &node, result) < 0
      || ensure_data_centre (r, m, time_ms, result) < 0)
    return -1;
  list = xrealloc (list, (count + 1) * sizeof *list);
  r->state.members.members_val = list;
  r->state.members.members_len = count + 1;
  fill_member (r, &list[count], m, node, time_ms);
  result->node = node;
  return 0;
}

#define MEMBER_CHANGES (REGISTRY_CHANGED_MEMBERS | REGISTRY_CHANGED_DATA_CENTRES)

static int
compare_nodes (const void *a, const void *b)
{
  const registry_member *x = a;
  const registry_member *y = b;
  return x->node < y->node ? -1 : x->node > y->node;
}

/* Undoes a refused init: without members there is no data centre either.  */
static void
clear_members (struct registry *r)
{
  for (unsigned i = 0; i < r->state.members.members_len; i++)
    member_free (&r->state.members.members_val[i]);
  r->state.members.members_len = 0;
  for (unsigned i = 0; i < r->state.data_centres.data_centres_len; i++)
    xdr_free ((xdrproc_t)xdr_registry_data_centre,
              (char *)&r->state.data_centres.data_centres_val[i]);
  r->state.data_centres.data_centres_len = 0;
  r->state.next_node = 1;
}

/* Only the first data centres are homes: a later one would move the home of recorded requests.  */
static void
mark_home_cells (struct registry *r)
{
  for (unsigned i = 0; i < r->state.data_centres.data_centres_len; i++)
    r->state.data_centres.data_centres_val[i].home = true;
}

/* Adds the first members: all or none, and only once.  They are added in the order of their node
   ids, independent of the file order.  Every VM may propose this; the first proposal wins.  */
static unsigned
init_members (struct registry *r, registry_init *c, int64_t time_ms, registry_result *result)
{
  unsigned i = 0;
  if (r->state.members.members_len > 0)
    {
      registry_set_status (result, STATUS_OK, "the registry already has members");
      return 0;
    }
  if (c->members.members_len > 0)
    qsort (c->members.members_val, c->members.members_len, sizeof *c->members.members_val,
           compare_nodes);
  while (i < c->members.members_len
         && add_member (r, &c->members.members_val[i], time_ms, result) == 0)
    i++;
  if (i == c->members.members_len && count_voters (r) > 0)
    {
      mark_home_cells (r);
      return MEMBER_CHANGES;
    }
  if (result->status == STATUS_OK)
    registry_set_status (result, STATUS_BAD_REQUEST, "no member is a voter of the registry");
  clear_members (r);
  return 0;
}

static unsigned
replace_member (struct registry *r, const registry_member *m, int64_t time_ms,
                registry_result *result)
{
  registry_member *old = registry_member_entry (r, m->vm);
  uint64_t node;
  if (!check_member (m, result))
    return 0;
  if (!old)
    {
      registry_set_status (result, STATUS_NOT_FOUND, "no member '%s'", m->vm);
      return 0;
    }
  if (strcmp (old->data_centre, m->data_centre) != 0)
    {
      registry_set_status (result, STATUS_BAD_REQUEST, "VM '%s' is in data centre '%s', not '%s'",
                           m->vm, old->data_centre, m->data_centre);
      return 0;
    }
  if (old->registry_voter && !m->registry_voter && count_voters (r) == 1)
    {
      registry_set_status (result, STATUS_BAD_REQUEST, "VM '%s' is the last voter of the registry",
                           m->vm);
      return 0;
    }
  if (assign_node_id (r, m->node, &node, result) < 0)
    return 0;
  member_free (old);
  fill_member (r, old, m, node, time_ms);
  result->node = node;
  return REGISTRY_CHANGED_MEMBERS;
}

static unsigned
remove_member (struct registry *r, const char *vm, registry_result *result)
{
  registry_member *m = registry_member_entry (r, vm);
  if (!m)
    {
      registry_set_status (result, STATUS_NOT_FOUND, "no member '%s'", vm);
      return 0;
    }
  if (m->registry_voter && count_voters (r) == 1)
    {
      registry_set_status (result, STATUS_BAD_REQUEST, "VM '%s' is the last voter of the registry",
                           vm);
      return 0;
    }
  result->node = m->node;
  size_t after = (size_t)(r->state.members.members_val + r->state.members.members_len - (m + 1));
  member_free (m);
  memmove (m, m + 1, after * sizeof *m);
  r->state.members.members_len--;
  return REGISTRY_CHANGED_MEMBERS;
}

static unsigned
drain_member (struct registry *r, const registry_drain *c, int64_t time_ms, registry_result *result)
{
  registry_member *m = registry_member_entry (r, c->vm);
  if (!m)
    {
      registry_set_status (result, STATUS_NOT_FOUND, "no member '%s'", c->vm);
      return 0;
    }
  result->node = m->node;
  if (!m->draining == !c->draining)
    return 0;
  m->draining = c->draining;
  m->since_ms = time_ms;
  return REGISTRY_CHANGED_MEMBERS;
}

unsigned
registry_execute (struct registry *r, const registry_command *command, registry_result *result)
{
  const registry_body *body = &command->body;
  int64_t now = command->time_ms;
  switch (body->kind)
    {
    case REGISTRY_INIT:
      return init_members (r, (registry_init *)&body->registry_body_u.init, now, result);
    case REGISTRY_SET_LISTS:
      return set_lists (r, &body->registry_body_u.lists, now, result);
    case REGISTRY_DATA_CENTRE:
      return change_data_centre (r, &body->registry_body_u.data_centre, now, result);
    case REGISTRY_STOPPED:
      return apply_stopped (r, &body->registry_body_u.stopped, result);
    case REGISTRY_IN_FORCE:
      return apply_in_force (r, &body->registry_body_u.in_force, now, result);
    case REGISTRY_MEMBER_ADD:
      return add_member (r, &body->registry_body_u.add, now, result) < 0 ? 0 : MEMBER_CHANGES;
    case REGISTRY_MEMBER_REPLACE:
      return replace_member (r, &body->registry_body_u.replace, now, result);
    case REGISTRY_MEMBER_REMOVE:
      return remove_member (r, body->registry_body_u.remove, result);
    case REGISTRY_MEMBER_DRAIN:
      return drain_member (r, &body->registry_body_u.drain, now, result);
    case REGISTRY_CLOSE_EPOCH:
      return close_epoch (r, &body->registry_body_u.close_epoch, now, result);
    }
  registry_set_status (result, STATUS_BAD_REQUEST, "unknown kind of command %d", (int)body->kind);
  return 0;
}
