/* members: the members file (JSON), and members as JSON in the operator API.

   { "members": [ { "vm": "huron-a-1", "data_centre": "huron-a", "region": "huron",
                    "peer": "10.0.1.1:7403", "backend": "10.0.1.1:7401",
                    "operators": "10.0.1.1:7402", "registry_voter": true, "cells": ["huron-a"],
                    "node": 1 } ] }

   "cells" lists the data centres in whose cells the VM votes (default: none), "node" is the member
   id (default: the position in the file, from 1).  All faults of a file are reported at once.  */

#ifndef SASSAFRAS_MEMBERS_H
#define SASSAFRAS_MEMBERS_H

#include <stddef.h>

#include "json_check.h"
#include "registry_proto.h"

struct member_list
{
  registry_member *items;
  size_t count;
};

int members_parse (const struct json_source *source, struct member_list *out,
                   struct json_faults *faults); /* -1 and FAULTS when invalid. */
void members_close (struct member_list *list);  /* Frees the list. */
const registry_member *members_find (const struct member_list *list,
                                     const char *vm); /* By VM name; NULL: none. */
json_t *member_json (const registry_member *m);       /* New object in the file's format. */
int member_from_json (const json_t *json, registry_member *out,
                      struct json_faults *faults);                    /* Free with member_free. */
void member_copy (registry_member *out, const registry_member *from); /* Deep copy. */
void member_free (registry_member *m);                                /* Frees the fields. */

#endif
