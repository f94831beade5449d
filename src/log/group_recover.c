/* Failed writes, and the return of a group whose disk works again.  */

#include "group_internal.h"

#include "counters.h"
#include "log.h"

#define RECOVERY_RETRY_MS 500 /* each attempt writes the whole state */

static struct counter disk_failures
    = { .name = "sassafras_log_disk_failures_total", .help = "Groups stopped by their disk." };
static struct counter disk_recoveries
    = { .name = "sassafras_log_disk_recoveries_total", .help = "Groups that returned after it." };

bool
group_has_failed (const struct group *g)
{
  return !status_ok (&g->failure);
}

void
group_fail (struct group *g, const struct status *st)
{
  log_line (LOG_ERROR, "group %s: %s", g->config.name, st->message);
  counter_add (&disk_failures, 1);
  g->failure = *st;
  g->next_recovery_ms = g->now_ms + RECOVERY_RETRY_MS;
  raft_step_down (g->raft, g->now_ms);
  group_report_changes (g);
}

/* Writes everything to new files: a failed sync leaves unknown which parts of the old ones are on
   the disk.  */
static int
write_everything (struct group *g, const struct raft_output *out, struct status *st)
{
  return out->install ? group_install (g, out, st) : group_save_state (g, st);
}

void
group_recover (struct group *g)
{
  struct raft_output out;
  struct status st;
  if (g->now_ms < g->next_recovery_ms)
    return;
  g->next_recovery_ms = g->now_ms + RECOVERY_RETRY_MS;
  /* The messages of OUT are replies from before the failure; their senders have moved on.  */
  raft_output (g->raft, &out, g->now_ms);
  if (write_everything (g, &out, &st))
    {
      log_line (LOG_DEBUG, "group %s: %s", g->config.name, st.message);
      return;
    }
  raft_written (g->raft, g->now_ms);
  status_clear (&g->failure);
  counter_add (&disk_recoveries, 1);
  log_line (LOG_INFO, "group %s: the disk works again", g->config.name);
}
