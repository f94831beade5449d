/* account_fixture: configurations with client accounts and jobs of theirs.  */

#ifndef ACCOUNT_FIXTURE_H
#define ACCOUNT_FIXTURE_H

#include "workflow_fixture.h"

/* An account with one key, "key-NAME".  */
struct fixture_account
{
  char *name;
  uint64_t weight;     /* jobs a second */
  uint64_t millicores; /* cap; 0: none */
  bool without_key;
};

/* The configuration of fixture_configure with COUNT accounts; the queue is public if IS_PUBLIC.  */
static inline bool
fixture_configure_accounts (struct fixture *f, uint64_t version, const struct fixture_account *list,
                            size_t count, bool is_public)
{
  workflow_queue q = { .name = "queue",
                       .host = "host",
                       .path_prefix = "/q/",
                       .pool = "pool",
                       .max_attempts = 2,
                       .stretch_milli = 2000,
                       .target_ms = 1000,
                       .timeout_ms = 3000 };
  workflow_pool p = { .name = "pool", .guards_room = true };
  workflow_name public_queue = "queue";
  workflow_command c = { .kind = WORKFLOW_CONFIGURE_ACCOUNTS };
  workflow_configuration *config = &c.workflow_command_u.accounts.configuration;
  workflow_accounts *accounts = &c.workflow_command_u.accounts.accounts;
  char keys[64][32];
  workflow_name names[64];
  workflow_account rows[64];
  config->revision = version;
  config->queues.queues_val = &q;
  config->queues.queues_len = 1;
  config->pools.pools_val = &p;
  config->pools.pools_len = 1;
  assert_true (count <= 64);
  for (size_t i = 0; i < count; i++)
    {
      snprintf (keys[i], sizeof keys[i], "key-%s", list[i].name);
      names[i] = keys[i];
      rows[i] = (workflow_account){ .name = list[i].name,
                                    .weight_milli = list[i].weight * 1000,
                                    .millicores = list[i].millicores };
      rows[i].keys.keys_val = &names[i];
      rows[i].keys.keys_len = !list[i].without_key;
    }
  accounts->list.list_val = rows;
  accounts->list.list_len = (u_int)count;
  accounts->public_queues.public_queues_val = &public_queue;
  accounts->public_queues.public_queues_len = is_public;
  return fixture_change (f, &c);
}

/* Submits a job of one step for ACCOUNT ("": none).  */
static inline bool
fixture_submit_as (struct fixture *f, const char *account, uint64_t id, uint32_t count,
                   uint32_t millicores, uint32_t flags)
{
  workflow_step step = { .count = count,
                         .millicores = millicores,
                         .memory_mb = 1,
                         .estimate_ms = 500,
                         .flags = flags,
                         .required_label = "",
                         .data_rack = "",
                         .image = "" };
  workflow_command c = { .kind = WORKFLOW_SUBMIT_AS };
  c.workflow_command_u.submission.account = (char *)account;
  workflow_spec *spec = &c.workflow_command_u.submission.spec;
  spec->id = id;
  spec->queue = "queue";
  spec->payload = "";
  spec->steps.steps_val = &step;
  spec->steps.steps_len = 1;
  return fixture_change (f, &c);
}

#endif
