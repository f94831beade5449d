#include "group_reporter.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "counters.h"
#include "log.h"

#define LINE_PERIOD_MS 1000

static struct counter without_leader = { .name = "sassafras_log_without_leader_ms",
                                         .help = "Time without a known leader until now.",
                                         .is_gauge = true };
static struct counter change_waits = { .name = "sassafras_log_member_change_waits_ms",
                                       .help = "Time for which a change of members has waited.",
                                       .is_gauge = true };
static struct counter voters
    = { .name = "sassafras_log_voters", .help = "Voters in the member list.", .is_gauge = true };

struct text
{
  char bytes[REPORTER_TEXT_BYTES];
  size_t len;
};

static void add (struct text *t, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

static void
add (struct text *t, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  int n = vsnprintf (t->bytes + t->len, sizeof t->bytes - t->len, format, args);
  va_end (args);
  if (n > 0 && (size_t)n < sizeof t->bytes - t->len)
    t->len += (size_t)n;
  else
    t->bytes[t->len] = '\0';
}

void
group_reporter_name (uint64_t node, char ip[REPORTER_IP_BYTES])
{
  struct in_addr address = { .s_addr = htonl ((uint32_t)node) };
  inet_ntop (AF_INET, &address, ip, REPORTER_IP_BYTES);
}

void
group_reporter_init (struct group_reporter *reporter)
{
  memset (reporter, 0, sizeof *reporter);
}

static void
report_members (struct group_reporter *reporter, const struct group *g)
{
  const raft_members *members = group_members (g);
  struct text t = { .len = 0 };
  int64_t count = 0;
  for (u_int i = 0; i < members->members.members_len; i++)
    {
      const raft_member *m = &members->members.members_val[i];
      char ip[REPORTER_IP_BYTES];
      group_reporter_name (m->node, ip);
      add (&t, " %s=%s:%llx", ip, m->voter ? "voter" : "learner", (unsigned long long)m->store);
      count += m->voter;
    }
  counter_set (&voters, count);
  if (strcmp (t.bytes, reporter->members) == 0)
    return;
  snprintf (reporter->members, sizeof reporter->members, "%s", t.bytes);
  log_state ("members-in-force", "term=%llu%s", (unsigned long long)group_term (g), t.bytes);
}

static const char *
answer_name (enum raft_vote_answer answer)
{
  switch (answer)
    {
    case RAFT_VOTE_GRANTED:
      return "granted";
    case RAFT_VOTE_OTHER_STORE:
      return "other-store";
    case RAFT_VOTE_LONGER_LOG:
      return "longer-log";
    case RAFT_VOTE_REFUSED:
      return "refused";
    case RAFT_VOTE_NO_ANSWER:
      break;
    }
  return "no-answer";
}

static void
report_no_leader (const struct group_stats *stats, int64_t since_ms)
{
  struct text t = { .len = 0 };
  for (size_t i = 0; i < stats->peers_len; i++)
    {
      char ip[REPORTER_IP_BYTES];
      if (!stats->peers[i].voter)
        continue;
      group_reporter_name (stats->peers[i].node, ip);
      add (&t, " %s=%s", ip, answer_name (stats->peers[i].vote_answer));
    }
  log_state ("no-leader", "for_ms=%lld term=%llu last=%llu may_vote=%s disk_failed=%s%s",
             (long long)since_ms, (unsigned long long)stats->term, (unsigned long long)stats->last,
             stats->may_vote ? "yes" : "no", stats->disk_failed ? "yes" : "no", t.bytes);
}

static const char *
wait_name (enum raft_change_wait wait)
{
  switch (wait)
    {
    case RAFT_CHANGE_COMMIT:
      return "commit";
    case RAFT_CHANGE_NO_REPLY:
      return "no-reply";
    case RAFT_CHANGE_NO_STORE:
      return "no-durable-store";
    case RAFT_CHANGE_SNAPSHOT:
      return "snapshot";
    case RAFT_CHANGE_CATCHING_UP:
      return "catching-up";
    case RAFT_CHANGE_NONE:
      break;
    }
  return "none";
}

static void
report_change (const struct raft_change_view *change, int64_t since_ms)
{
  char ip[REPORTER_IP_BYTES] = "";
  if (change->node != 0)
    group_reporter_name (change->node, ip);
  log_state ("member-change-waits",
             "for_ms=%lld reason=%s peer=%s entries_behind=%llu snapshot_sent=%llu snapshot=%llu",
             (long long)since_ms, wait_name (change->wait), ip,
             (unsigned long long)change->entries_behind, (unsigned long long)change->snapshot_sent,
             (unsigned long long)change->snapshot_bytes);
}

void
group_reporter_tick (struct group_reporter *reporter, const struct group *g, int64_t now_ms)
{
  struct group_stats stats;
  report_members (reporter, g);
  group_stats (g, &stats);
  if (stats.leader != 0 || reporter->leader_ms == 0)
    reporter->leader_ms = now_ms;
  if (stats.change.wait == RAFT_CHANGE_NONE)
    reporter->change_ms = now_ms;
  int64_t leaderless_ms = now_ms - reporter->leader_ms;
  int64_t waiting_ms = now_ms - reporter->change_ms;
  counter_set (&without_leader, leaderless_ms);
  counter_set (&change_waits, waiting_ms);
  if (now_ms < reporter->next_ms)
    return;
  if (leaderless_ms >= REPORTER_DELAY_MS)
    report_no_leader (&stats, leaderless_ms);
  else if (waiting_ms >= REPORTER_DELAY_MS)
    report_change (&stats.change, waiting_ms);
  else
    return;
  reporter->next_ms = now_ms + LINE_PERIOD_MS;
}
