#include "members.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

static const char *const member_fields[]
    = { "vm",        "data_centre",    "region", "peer", "backend",
        "operators", "registry_voter", "cells",  "node", NULL };
static const char *const file_fields[] = { "members", NULL };

#define MAX_PORT 65535

/* True for "ip:port" with an IPv4 address and a port above 0.  */
static bool
address_valid (const char *text)
{
  char host[INET_ADDRSTRLEN];
  struct in_addr address;
  char *end;
  const char *colon = strrchr (text, ':');
  if (!colon || (size_t)(colon - text) >= sizeof host || colon[1] < '0' || colon[1] > '9')
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  long port = strtol (colon + 1, &end, 10);
  return inet_pton (AF_INET, host, &address) == 1 && !*end && port >= 1 && port <= MAX_PORT;
}

static char *
read_address (struct json_check *c, const json_t *object, const char *key)
{
  const char *text = json_check_string (c, object, key, REGISTRY_ADDRESS_BYTES);
  if (text && !address_valid (text))
    {
      json_check_fault_at (c, key, "'%s' is not ip:port with a port from 1 to %d", text, MAX_PORT);
    }
  return xstrdup (text ? text : "");
}

static char *
read_name (struct json_check *c, const json_t *object, const char *key)
{
  char name[REGISTRY_NAME_BYTES];
  json_check_name (c, object, key, name, sizeof name);
  return xstrdup (name);
}

static void
read_cells (struct json_check *c, const json_t *object, registry_member *m)
{
  json_t *list = json_check_array (c, object, "cells", false, REGISTRY_MAX_CELLS);
  size_t count = json_array_size (list);
  m->cells.cells_val = xcalloc (count, sizeof *m->cells.cells_val);
  json_check_key (c, "cells");
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (list, i));
      json_check_index (c, i);
      if (!name || !json_name_valid (name))
        json_check_fault (c, "must be the name of a data centre");
      json_check_leave (c);
      m->cells.cells_val[i] = xstrdup (name ? name : "");
      m->cells.cells_len++;
    }
  json_check_leave (c);
}

static void
read_member (struct json_check *c, const json_t *item, int64_t default_node, registry_member *m)
{
  bool voter;
  int64_t node = default_node;
  memset (m, 0, sizeof *m);
  if (!json_check_object (c, item, member_fields))
    return;
  m->vm = read_name (c, item, "vm");
  m->data_centre = read_name (c, item, "data_centre");
  m->region = read_name (c, item, "region");
  m->peer = read_address (c, item, "peer");
  m->backend = read_address (c, item, "backend");
  m->operators = read_address (c, item, "operators");
  json_check_bool (c, item, "registry_voter", false, &voter);
  m->registry_voter = voter;
  read_cells (c, item, m);
  if (json_object_get (item, "node"))
    json_check_int (c, item, "node", 1, INT64_MAX - 1, &node);
  m->node = (uint64_t)node;
}

static bool
set_and_equal (const char *a, const char *b)
{
  return a && b && a[0] && strcmp (a, b) == 0;
}

/* Reports conflicts of member I with earlier members.  */
static void
check_against_earlier (struct json_check *c, const struct member_list *list, size_t i)
{
  const registry_member *m = &list->items[i];
  for (size_t k = 0; k < i; k++)
    {
      const registry_member *other = &list->items[k];
      if (set_and_equal (m->vm, other->vm))
        json_check_fault_at (c, "vm", "VM '%s' is listed twice", m->vm);
      if (m->node != 0 && m->node == other->node)
        json_check_fault_at (c, "node", "members %zu and %zu have the same node", k, i);
      if (set_and_equal (m->peer, other->peer))
        json_check_fault_at (c, "peer", "VM '%s' has the same address", other->vm);
      if (set_and_equal (m->data_centre, other->data_centre)
          && strcmp (m->region, other->region) != 0)
        json_check_fault_at (c, "region", "VM '%s' of the same data centre is in region '%s'",
                             other->vm, other->region);
    }
}

static bool
has_data_centre (const struct member_list *list, const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (set_and_equal (list->items[i].data_centre, name))
      return true;
  return false;
}

static void
check_cells (struct json_check *c, const struct member_list *list, const registry_member *m)
{
  json_check_key (c, "cells");
  for (unsigned i = 0; i < m->cells.cells_len; i++)
    {
      json_check_index (c, i);
      if (m->cells.cells_val[i][0] && !has_data_centre (list, m->cells.cells_val[i]))
        json_check_fault (c, "no member is in data centre '%s'", m->cells.cells_val[i]);
      json_check_leave (c);
    }
  json_check_leave (c);
}

static void
check_list (struct json_check *c, const struct member_list *list)
{
  bool voter = false;
  json_check_key (c, "members");
  for (size_t i = 0; i < list->count; i++)
    {
      json_check_index (c, i);
      check_against_earlier (c, list, i);
      check_cells (c, list, &list->items[i]);
      json_check_leave (c);
      voter = voter || list->items[i].registry_voter;
    }
  if (!voter)
    json_check_fault (c, "no member is a voter of the registry");
  json_check_leave (c);
}

static void
read_list (struct json_check *c, const json_t *root, struct member_list *out)
{
  if (!json_check_object (c, root, file_fields))
    return;
  json_t *list = json_check_array (c, root, "members", true, REGISTRY_MAX_MEMBERS);
  if (!list)
    return;
  out->items = xcalloc (json_array_size (list), sizeof *out->items);
  json_check_key (c, "members");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      json_check_index (c, i);
      read_member (c, json_array_get (list, i), (int64_t)i + 1, &out->items[out->count++]);
      json_check_leave (c);
    }
  json_check_leave (c);
  check_list (c, out);
}

int
members_parse (const struct json_source *source, struct member_list *out,
               struct json_faults *faults)
{
  struct json_check check;
  size_t before = faults->count + faults->dropped;
  memset (out, 0, sizeof *out);
  json_t *root = json_check_load (&check, source, faults);
  if (root)
    read_list (&check, root, out);
  json_decref (root);
  if (faults->count + faults->dropped == before)
    return 0;
  members_close (out);
  return -1;
}

void
members_close (struct member_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    member_free (&list->items[i]);
  free (list->items);
  memset (list, 0, sizeof *list);
}

const registry_member *
members_find (const struct member_list *list, const char *vm)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcmp (list->items[i].vm, vm) == 0)
      return &list->items[i];
  return NULL;
}

json_t *
member_json (const registry_member *m)
{
  json_t *cells = json_array ();
  for (unsigned i = 0; i < m->cells.cells_len; i++)
    json_array_append_new (cells, json_string (m->cells.cells_val[i]));
  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:o, s:I}", "vm", m->vm, "data_centre",
                    m->data_centre, "region", m->region, "peer", m->peer, "backend", m->backend,
                    "operators", m->operators, "registry_voter", m->registry_voter, "cells", cells,
                    "node", (json_int_t)m->node);
}

int
member_from_json (const json_t *json, registry_member *out, struct json_faults *faults)
{
  char *text = json_dumps (json, JSON_ENCODE_ANY | JSON_INDENT (1));
  struct json_source source = { "member", text ? text : "", text ? strlen (text) : 0 };
  struct json_check check = { .source = &source, .faults = faults };
  size_t before = faults->count + faults->dropped;
  read_member (&check, json, 0, out);
  free (text);
  if (faults->count + faults->dropped == before)
    return 0;
  member_free (out);
  return -1;
}

static char *
copy_text (const char *text)
{
  return xstrdup (text ? text : "");
}

void
member_copy (registry_member *out, const registry_member *from)
{
  *out = *from;
  out->vm = copy_text (from->vm);
  out->data_centre = copy_text (from->data_centre);
  out->region = copy_text (from->region);
  out->peer = copy_text (from->peer);
  out->backend = copy_text (from->backend);
  out->operators = copy_text (from->operators);
  out->cells.cells_val = xcalloc (from->cells.cells_len, sizeof *out->cells.cells_val);
  for (unsigned i = 0; i < from->cells.cells_len; i++)
    out->cells.cells_val[i] = copy_text (from->cells.cells_val[i]);
}

void
member_free (registry_member *m)
{
  free (m->vm);
  free (m->data_centre);
  free (m->region);
  free (m->peer);
  free (m->backend);
  free (m->operators);
  for (unsigned i = 0; i < m->cells.cells_len; i++)
    free (m->cells.cells_val[i]);
  free (m->cells.cells_val);
  memset (m, 0, sizeof *m);
}
