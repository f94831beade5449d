#include "accounts.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "buffer.h"

#define FINGERPRINT_SHIFT 32 /* its upper half is printed */

struct account_key
{
  struct cell_map_node node; /* in accounts.keys */
  struct account *account;
  char text[WORKFLOW_NAME_BYTES + 1]; /* zeros behind its end */
};

void
accounts_init (struct accounts *a, uint64_t seed)
{
  memset (a, 0, sizeof *a);
  a->seed = seed;
  LIST_INIT (&a->list);
  cell_map_init (&a->names);
  cell_map_init (&a->keys);
}

static void
free_account (struct accounts *a, struct account *account)
{
  cell_map_remove (&a->names, &account->node);
  LIST_REMOVE (account, link);
  free (account->name);
  free (account);
}

static void
clear_keys (struct accounts *a)
{
  for (size_t i = 0; i < a->keys.size; i++)
    while (a->keys.buckets[i])
      {
        struct account_key *k = CELL_CONTAINER (a->keys.buckets[i], struct account_key, node);
        cell_map_remove (&a->keys, &k->node);
        explicit_bzero (k, sizeof *k);
        free (k);
      }
}

static void
clear_definition (struct accounts *a)
{
  if (!a->definition)
    return;
  xdr_free ((xdrproc_t)xdr_workflow_accounts, (char *)a->definition);
  free (a->definition);
  a->definition = NULL;
}

void
accounts_close (struct accounts *a)
{
  struct account *account;
  clear_keys (a);
  clear_definition (a);
  while ((account = LIST_FIRST (&a->list)) != NULL)
    free_account (a, account);
  cell_map_close (&a->names);
  cell_map_close (&a->keys);
}

static int
check_key (const workflow_account *account, u_int i, struct status *st)
{
  const char *key = account->keys.keys_val[i];
  bool ok = key[0] != '\0';
  for (const char *p = key; *p; p++)
    ok = ok && isgraph ((unsigned char)*p);
  if (ok)
    return 0;
  return status_set (st, STATUS_INVALID_LIST,
                     "key %u of account '%.64s' is empty or has characters that are not printable",
                     i, account->name);
}

/* A key, or with key NULL a name, and the account that has it.  */
struct claim
{
  const char *text;
  const workflow_account *account;
};

static int
compare_claims (const void *x, const void *y)
{
  return strcmp (((const struct claim *)x)->text, ((const struct claim *)y)->text);
}

/* Sorts CLAIMS and finds two accounts with the same text.  */
static bool
find_shared (struct claim *claims, size_t count, struct claim out[2])
{
  qsort (claims, count, sizeof *claims, compare_claims);
  for (size_t i = 1; i < count; i++)
    if (claims[i].account != claims[i - 1].account
        && strcmp (claims[i].text, claims[i - 1].text) == 0)
      {
        out[0] = claims[i - 1];
        out[1] = claims[i];
        return true;
      }
  return false;
}

static int
check_names (const workflow_accounts *d, struct status *st)
{
  struct claim shared[2];
  struct claim *claims = xcalloc (d->list.list_len + 1, sizeof *claims);
  for (u_int i = 0; i < d->list.list_len; i++)
    claims[i] = (struct claim){ d->list.list_val[i].name, &d->list.list_val[i] };
  bool found = find_shared (claims, d->list.list_len, shared);
  free (claims);
  if (!found)
    return 0;
  return status_set (st, STATUS_INVALID_LIST, "two accounts are called '%.64s'", shared[0].text);
}

static int
check_keys (const workflow_accounts *d, struct status *st)
{
  struct claim shared[2];
  size_t count = 0;
  for (u_int i = 0; i < d->list.list_len; i++)
    count += d->list.list_val[i].keys.keys_len;
  struct claim *claims = xcalloc (count + 1, sizeof *claims);
  count = 0;
  for (u_int i = 0; i < d->list.list_len; i++)
    for (u_int k = 0; k < d->list.list_val[i].keys.keys_len; k++)
      claims[count++]
          = (struct claim){ d->list.list_val[i].keys.keys_val[k], &d->list.list_val[i] };
  bool found = find_shared (claims, count, shared);
  free (claims);
  if (!found)
    return 0;
  return status_set (st, STATUS_INVALID_LIST, "accounts '%.64s' and '%.64s' have a key in common",
                     shared[0].account->name, shared[1].account->name);
}

int
accounts_check (const workflow_accounts *d, struct status *st)
{
  for (u_int i = 0; i < d->list.list_len; i++)
    {
      const workflow_account *account = &d->list.list_val[i];
      if (!account->name[0])
        return status_set (st, STATUS_INVALID_LIST, "account %u has no name", i);
      for (u_int k = 0; k < account->keys.keys_len; k++)
        if (check_key (account, k, st) < 0)
          return -1;
    }
  if (check_names (d, st) < 0)
    return -1;
  return check_keys (d, st);
}

struct account *
accounts_find (const struct accounts *a, const char *name)
{
  for (struct cell_map_node *n = cell_map_first (&a->names, cell_hash_names (name, "")); n;
       n = cell_map_next (n))
    {
      struct account *account = CELL_CONTAINER (n, struct account, node);
      if (strcmp (account->name, name) == 0)
        return account;
    }
  return NULL;
}

static struct account *
find_or_add (struct accounts *a, const char *name)
{
  struct account *account = accounts_find (a, name);
  if (account)
    return account;
  account = xcalloc (1, sizeof *account);
  account->name = xstrdup (name);
  account_share_init (&account->share);
  cell_map_add (&a->names, &account->node, cell_hash_names (name, ""));
  LIST_INSERT_HEAD (&a->list, account, link);
  return account;
}

static uint64_t
hash_key (const struct accounts *a, const char *key, size_t len)
{
  return XXH3_64bits_withSeed (key, len, a->seed);
}

static bool
is_same_key (const struct account_key *k, const char text[WORKFLOW_NAME_BYTES + 1])
{
  unsigned difference = 0;
  for (size_t i = 0; i <= WORKFLOW_NAME_BYTES; i++)
    difference |= (unsigned char)k->text[i] ^ (unsigned char)text[i];
  return difference == 0;
}

static struct account *
find_by_key (const struct accounts *a, const char *key)
{
  char text[WORKFLOW_NAME_BYTES + 1] = { 0 };
  struct account *found = NULL;
  size_t len = strlen (key);
  if (len == 0 || len > WORKFLOW_NAME_BYTES)
    return NULL;
  snprintf (text, sizeof text, "%s", key);
  for (struct cell_map_node *n = cell_map_first (&a->keys, hash_key (a, key, len)); n;
       n = cell_map_next (n))
    {
      const struct account_key *k = CELL_CONTAINER (n, struct account_key, node);
      if (is_same_key (k, text))
        found = k->account;
    }
  return found;
}

static void
add_key (struct accounts *a, struct account *account, const char *key)
{
  if (find_by_key (a, key))
    return;
  struct account_key *k = xcalloc (1, sizeof *k);
  k->account = account;
  snprintf (k->text, sizeof k->text, "%s", key);
  cell_map_add (&a->keys, &k->node, hash_key (a, key, strlen (key)));
}

static void
put_in_force (struct accounts *a, const workflow_account *in)
{
  struct account *account = find_or_add (a, in->name);
  account->in_force = true;
  account->weight_milli = in->weight_milli;
  account->cap = (struct account_amounts){ .millicores = in->millicores,
                                           .memory_mb = in->memory_mb,
                                           .accelerators = in->accelerators };
  for (u_int i = 0; i < in->keys.keys_len; i++)
    add_key (a, account, in->keys.keys_val[i]);
}

static void
free_unused (struct accounts *a)
{
  struct account *next;
  for (struct account *account = LIST_FIRST (&a->list); account; account = next)
    {
      next = LIST_NEXT (account, link);
      if (!account->in_force && account->jobs == 0)
        free_account (a, account);
    }
}

void
accounts_configure (struct accounts *a, workflow_accounts *d)
{
  struct account *account;
  clear_keys (a);
  clear_definition (a);
  LIST_FOREACH (account, &a->list, link)
  account->in_force = false;
  if (d)
    {
      a->definition = xmalloc (sizeof *a->definition);
      *a->definition = *d;
      memset (d, 0, sizeof *d);
      for (u_int i = 0; i < a->definition->list.list_len; i++)
        put_in_force (a, &a->definition->list.list_val[i]);
    }
  /* What an account that was removed has running ends without a limit.  */
  LIST_FOREACH (account, &a->list, link)
  if (!account->in_force)
    account->cap = (struct account_amounts){ 0 };
  free_unused (a);
}

struct account *
accounts_add_job (struct accounts *a, const char *name)
{
  if (!name[0])
    return NULL;
  struct account *account = find_or_add (a, name);
  account->jobs++;
  return account;
}

void
accounts_remove_job (struct accounts *a, struct account *account)
{
  if (account && --account->jobs == 0 && !account->in_force)
    free_account (a, account);
}

static bool
is_public (const struct accounts *a, const char *queue)
{
  for (u_int i = 0; i < a->definition->public_queues.public_queues_len; i++)
    if (strcmp (a->definition->public_queues.public_queues_val[i], queue) == 0)
      return true;
  return false;
}

enum account_access
accounts_identify (const struct accounts *a, const char *key, const char *queue,
                   struct account **out)
{
  *out = NULL;
  if (!a->definition)
    return ACCOUNT_ACCESS_OPEN;
  *out = key ? find_by_key (a, key) : NULL;
  if (*out)
    return ACCOUNT_ACCESS_KNOWN;
  return is_public (a, queue) ? ACCOUNT_ACCESS_PUBLIC : ACCOUNT_ACCESS_DENIED;
}

bool
accounts_may_use (const struct account *caller, const struct account *owner)
{
  return !caller || !owner || caller == owner;
}

void
accounts_fingerprint (const char *key, char out[ACCOUNT_FINGERPRINT_BYTES])
{
  uint64_t hash = XXH64 (key, strlen (key), 0);
  snprintf (out, ACCOUNT_FINGERPRINT_BYTES, "%08x", (unsigned)(hash >> FINGERPRINT_SHIFT));
}
