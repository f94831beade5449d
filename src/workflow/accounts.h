/* accounts: the client accounts of a configuration, by name and by key.

   An account that a configuration removes stays here while jobs of it exist; it has no keys then.
   What runs for an account is counted by the dispatcher of the leader (dispatcher_accounts.c).

   Keys are secrets.  They are found by a hash with a seed of this process and compared in a time
   that does not depend on where they differ; what is printed is their fingerprint.

   Load pattern: thousands of accounts and of calls a second.  A call costs one lookup.  */

#ifndef SASSAFRAS_ACCOUNTS_H
#define SASSAFRAS_ACCOUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "account_share.h"
#include "cell_map.h"
#include "status.h"
#include "workflow_proto.h"

#define ACCOUNT_FINGERPRINT_BYTES 9 /* 8 hex digits and the end */

struct account_amounts
{
  uint64_t millicores;
  uint64_t memory_mb;
  uint64_t accelerators;
};

struct account
{
  LIST_ENTRY (account) link;
  struct cell_map_node node; /* by name */
  char *name;
  bool in_force; /* the configuration has it */
  uint32_t jobs; /* open or kept */
  uint64_t weight_milli;
  struct account_amounts cap; /* 0: no limit */

  /* Of the leader.  */
  struct account_amounts running; /* all runs without a committed end, and proposed ones */
  struct account_amounts shared;  /* of them those that don't last: they compete for the pool */
  uint32_t runs;                  /* counted in RUNNING */
  struct account_share share;
  int level;                  /* of SHARE, see account_share_level */
  uint64_t counted_tick;      /* of the next two */
  uint32_t waiting;           /* tasks without a worker */
  uint32_t held_by_cap;       /* those of them that only the cap keeps from starting */
  uint64_t refused_by_cap;    /* jobs, since this VM knows the account */
  uint64_t refused_by_weight; /* the same */
};

LIST_HEAD (account_list, account);

enum account_access
{
  ACCOUNT_ACCESS_OPEN,   /* accounts are not in force */
  ACCOUNT_ACCESS_KNOWN,  /* the key is of an account */
  ACCOUNT_ACCESS_PUBLIC, /* no account, on a public queue */
  ACCOUNT_ACCESS_DENIED,
};

struct accounts
{
  workflow_accounts *definition; /* of the configuration; NULL: not in force */
  struct account_list list;
  struct cell_map names;
  struct cell_map keys;
  uint64_t seed; /* of the hashes of keys */
};

void accounts_init (struct accounts *a, uint64_t seed); /* SEED: unpredictable. */
void accounts_close (struct accounts *a);               /* No job may refer to an account. */
/* Names and keys are unique and printable; -1 and ST, which names accounts and no key.  */
int accounts_check (const workflow_accounts *d, struct status *st);
/* Puts *D, which has passed accounts_check, in force and clears it; NULL ends the enforcement.  */
void accounts_configure (struct accounts *a, workflow_accounts *d);
/* The account called NAME, added if it is not known, with one job more; NULL for "".  */
struct account *accounts_add_job (struct accounts *a, const char *name);
void accounts_remove_job (struct accounts *a, struct account *account);     /* NULL: no account. */
struct account *accounts_find (const struct accounts *a, const char *name); /* Or NULL. */
/* Who calls QUEUE with KEY (NULL: none); stores the account or NULL.  */
enum account_access accounts_identify (const struct accounts *a, const char *key, const char *queue,
                                       struct account **out);
/* Whether CALLER (NULL: none) may see and cancel a job of OWNER (NULL: none).  */
bool accounts_may_use (const struct account *caller, const struct account *owner);
void accounts_fingerprint (const char *key, char out[ACCOUNT_FINGERPRINT_BYTES]);

#endif
