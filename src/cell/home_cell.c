#include "home_cell.h"

#include <string.h>

#include <xxhash.h>

static uint64_t
rendezvous_score (const char *data_centre, const char *customer, const char *request_id)
{
  uint64_t h = XXH64 (data_centre, strlen (data_centre) + 1, 0);
  h = XXH64 (customer, strlen (customer) + 1, h);
  return XXH64 (request_id, strlen (request_id) + 1, h);
}

uint64_t
home_cell (const struct registry *r, const char *customer, const char *request_id)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (r, &all);
  uint64_t best = 0;
  uint64_t best_score = 0;
  for (size_t i = 0; i < n; i++)
    {
      uint64_t s = rendezvous_score (all[i].name, customer, request_id);
      if (!all[i].home || (best != 0 && s <= best_score))
        continue;
      best = i + 1;
      best_score = s;
    }
  return best;
}

const char *
cell_data_centre_name (const struct registry *r, uint64_t cell)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (r, &all);
  return cell >= 1 && cell <= n ? all[cell - 1].name : NULL;
}

uint64_t
cell_of_data_centre (const struct registry *r, const char *data_centre)
{
  const registry_data_centre *all;
  size_t n = registry_data_centres (r, &all);
  for (size_t i = 0; i < n; i++)
    if (strcmp (all[i].name, data_centre) == 0)
      return i + 1;
  return 0;
}

bool
member_votes_in_cell (const registry_member *m, const char *data_centre)
{
  for (u_int i = 0; i < m->cells.cells_len; i++)
    if (strcmp (m->cells.cells_val[i], data_centre) == 0)
      return true;
  return false;
}
