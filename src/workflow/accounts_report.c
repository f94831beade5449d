#include "accounts_report.h"

#include <stdlib.h>
#include <string.h>

#define MILLI 1000.0

static json_t *
amounts (const struct account_amounts *a)
{
  return json_pack ("{s:I, s:I, s:I}", "millicores", (json_int_t)a->millicores, "memory_mb",
                    (json_int_t)a->memory_mb, "accelerators", (json_int_t)a->accelerators);
}

static json_t *
fingerprints (const struct accounts *a, const char *name)
{
  json_t *list = json_array ();
  for (u_int i = 0; a->definition && i < a->definition->list.list_len; i++)
    {
      const workflow_account *row = &a->definition->list.list_val[i];
      if (strcmp (row->name, name) != 0)
        continue;
      for (u_int k = 0; k < row->keys.keys_len; k++)
        {
          char text[ACCOUNT_FINGERPRINT_BYTES];
          accounts_fingerprint (row->keys.keys_val[k], text);
          json_array_append_new (list, json_string (text));
        }
    }
  return list;
}

static json_t *
account_row (const struct accounts *all, const struct account *a)
{
  return json_pack (
      "{s:s, s:b, s:f, s:o, s:o, s:o, s:I, s:I, s:I, s:f, s:i, s:I, s:I}", "account", a->name,
      "in_force", (int)a->in_force, "weight", (double)a->weight_milli / MILLI, "keys",
      fingerprints (all, a->name), "cap", amounts (&a->cap), "running", amounts (&a->running),
      "runs", (json_int_t)a->runs, "waiting", (json_int_t)a->waiting, "held_by_cap",
      (json_int_t)a->held_by_cap, "served", a->share.served, "level", a->level, "refused_by_cap",
      (json_int_t)a->refused_by_cap, "refused_by_weight", (json_int_t)a->refused_by_weight);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp ((*(const struct account *const *)a)->name,
                 (*(const struct account *const *)b)->name);
}

json_t *
accounts_report (const struct workflow *w)
{
  const struct accounts *all = &w->accounts;
  const struct account **sorted = xcalloc (all->names.count + 1, sizeof (struct account *));
  const struct account *a;
  json_t *list = json_array ();
  size_t n = 0;
  LIST_FOREACH (a, &all->list, link)
  sorted[n++] = a;
  qsort (sorted, n, sizeof (const struct account *), compare_names);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, account_row (all, sorted[i]));
  free (sorted);
  return json_pack ("{s:b, s:I, s:o}", "in_force", (int)(all->definition != NULL), "version",
                    (json_int_t)w->configuration.revision, "accounts", list);
}
