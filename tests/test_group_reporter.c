/* Guards against a group that stays without a leader, or with too few voters, while its log does
   not tell why.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "group_reporter.h"
#include "log.h"
#include "log_sim.h"

#define LEADER_LIMIT_MS 5000

struct capture
{
  int file;
  int before;
};

static void
start_capture (struct capture *c)
{
  char path[] = "/tmp/test-group-reporter-XXXXXX";
  c->file = mkstemp (path);
  unlink (path);
  log_flush ();
  fflush (stdout);
  c->before = dup (STDOUT_FILENO);
  dup2 (c->file, STDOUT_FILENO);
}

/* Ends the capture and asserts that the log holds TEXT.  */
static void
assert_logged (struct capture *c, const char *text)
{
  char log[16384] = "";
  log_flush ();
  dup2 (c->before, STDOUT_FILENO);
  close (c->before);
  assert_true (pread (c->file, log, sizeof log - 1, 0) > 0);
  close (c->file);
  if (!strstr (log, text))
    fail_msg ("\"%s\" is not in the log:\n%s", text, log);
}

static void
report_for (struct sim *s, const struct sim_node *n, struct group_reporter *reporter, int64_t ms)
{
  int64_t until_ms = sim_now_ms (s) + ms;
  while (sim_now_ms (s) < until_ms)
    {
      sim_step (s);
      group_reporter_tick (reporter, n->group, sim_now_ms (s));
    }
}

static struct sim_node *
start_three (struct sim *s)
{
  const struct sim_config c = { .seed = 3, .voters = 3 };
  sim_init (s, &c);
  for (int i = 0; i < 3; i++)
    sim_start (s, &s->nodes[i]);
  while (!sim_leader (s) && sim_now_ms (s) < LEADER_LIMIT_MS)
    sim_step (s);
  assert_non_null (sim_leader (s));
  sim_run_ms (s, 1000);
  return sim_leader (s);
}

/* All lose power and two of three voters their disks; the third one asks both for their votes.  */
static void
test_lost_disks_of_voters_are_named (void **state)
{
  struct sim s;
  struct group_reporter reporter;
  struct capture c;
  (void)state;
  struct sim_node *last = start_three (&s);
  for (int i = 0; i < 3; i++)
    if (&s.nodes[i] != last)
      sim_wipe (&s, &s.nodes[i], 100);
  sim_crash (&s, last, 100);
  sim_run_ms (&s, 200);
  group_reporter_init (&reporter);
  start_capture (&c);
  report_for (&s, last, &reporter, 6000);
  char expected[64] = "";
  for (int i = 0; i < 3; i++)
    if (&s.nodes[i] != last)
      {
        char ip[REPORTER_IP_BYTES];
        group_reporter_name (s.nodes[i].id, ip);
        snprintf (expected + strlen (expected), sizeof expected - strlen (expected),
                  " %s=other-store", ip);
      }
  assert_logged (&c, expected);
  sim_close (&s);
}

static void
test_members_in_force_are_logged_with_their_stores (void **state)
{
  struct sim s;
  struct group_reporter reporter;
  struct capture c;
  (void)state;
  struct sim_node *leader = start_three (&s);
  group_reporter_init (&reporter);
  start_capture (&c);
  report_for (&s, leader, &reporter, 100);
  assert_logged (&c,
                 "event=members-in-force term=1 0.0.0.1=voter:0 0.0.0.2=voter:0 0.0.0.3=voter:0");
  sim_close (&s);
}

/* A learner that is to be promoted does not run.  */
static void
test_a_learner_that_holds_back_a_change_is_named (void **state)
{
  struct sim s;
  struct group_reporter reporter;
  struct capture c;
  raft_member list[4];
  (void)state;
  struct sim_node *leader = start_three (&s);
  sim_add_node (&s, false);
  for (int i = 0; i < 4; i++)
    list[i] = (raft_member){ .node = s.nodes[i].id, .voter = true };
  const raft_members target = { { 4, list } };
  sim_run_ms (&s, 100);
  group_change_members (leader->group, &target, NULL, NULL);
  group_reporter_init (&reporter);
  start_capture (&c);
  report_for (&s, leader, &reporter, 3000);
  assert_logged (&c, "reason=no-reply peer=0.0.0.4");
  sim_close (&s);
}

int
main (void)
{
  struct log_config config = { .level = LOG_INFO };
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_lost_disks_of_voters_are_named),
          cmocka_unit_test (test_members_in_force_are_logged_with_their_stores),
          cmocka_unit_test (test_a_learner_that_holds_back_a_change_is_named) };
  log_configure (&config);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
