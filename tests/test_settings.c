/* Guards against accepting a setting out of range, an environment variable that overrides a flag,
   faults reported one at a time, and a token that appears in a message.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "rng.h"
#include "settings.h"

#define MAX_ARGS 40
#define FUZZ_ROUNDS 500
#define MEMBERS                                                                                    \
  "{\"members\":[{\"vm\":\"x\",\"data_centre\":\"a\",\"region\":\"r\",\"peer\":\"10.0.0.1:1\","    \
  "\"backend\":\"10.0.0.1:2\",\"operators\":\"10.0.0.1:3\",\"registry_voter\":true,"               \
  "\"cells\":[\"a\"],\"node\":7}]}"

static char folder[] = "/tmp/test_settings_XXXXXX";
static char members_path[64];
static char token_path[64];

static void
write_file (const char *path, const char *text, mode_t mode)
{
  FILE *file = fopen (path, "w");
  assert_non_null (file);
  fputs (text, file);
  fclose (file);
  chmod (path, mode);
}

static int
open_folder (void **state)
{
  (void)state;
  if (!mkdtemp (folder))
    return -1;
  snprintf (members_path, sizeof members_path, "%s/members.json", folder);
  snprintf (token_path, sizeof token_path, "%s/token", folder);
  write_file (members_path, MEMBERS, 0644);
  write_file (token_path, "secret-token\n", 0600);
  return 0;
}

static int
close_folder (void **state)
{
  (void)state;
  unlink (members_path);
  unlink (token_path);
  return rmdir (folder);
}

/* Reads settings from valid flags plus MORE, which ends with NULL.  */
static enum settings_action
read_with (struct settings *s, struct buffer *out, const char *const *more)
{
  char *argv[MAX_ARGS]
      = { "sassafrasd", "--vm",       "x",    "--data-centre", "a", "--region",
          "r",          "--data-dir", folder, "--deployment",  "d", "--members-file",
          members_path };
  int argc = 13;
  while (*more && argc < MAX_ARGS)
    argv[argc++] = (char *)*more++;
  buffer_init (out);
  return settings_read (s, argc, argv, out);
}

static void
test_good_settings (void **state)
{
  struct settings s;
  struct buffer out;
  (void)state;
  assert_int_equal (read_with (&s, &out, (const char *[]){ "--token-file", token_path, NULL }),
                    SETTINGS_RUN);
  assert_int_equal (s.node, 7);
  assert_string_equal (s.peers, "10.0.0.1:1");
  assert_string_equal (s.callers, "127.0.0.1:7400");
  assert_string_equal (s.token, "secret-token");
  assert_string_equal (s.log.data_centre, "a");
  settings_close (&s);
  buffer_close (&out);
}

static void
test_flag_precedes_environment (void **state)
{
  struct settings s;
  struct buffer out;
  (void)state;
  setenv ("SASSAFRAS_LISTEN_CALLERS", "127.0.0.1:1111", 1);
  setenv ("SASSAFRAS_LOG_LEVEL", "debug", 1);
  assert_int_equal (
      read_with (&s, &out, (const char *[]){ "--listen-callers=127.0.0.1:2222", NULL }),
      SETTINGS_RUN);
  assert_string_equal (s.callers, "127.0.0.1:2222");
  assert_int_equal (s.log.level, LOG_DEBUG);
  settings_close (&s);
  buffer_close (&out);
  unsetenv ("SASSAFRAS_LISTEN_CALLERS");
  unsetenv ("SASSAFRAS_LOG_LEVEL");
}

static void
test_every_fault_is_named_at_once (void **state)
{
  static const char *const expected[]
      = { "SASSAFRAS_NODE: 'many' is out of range, allowed: 1 to ",
          "--listen-peers: '1.2.3.4' is not ip:port",
          "--log-level: 'loud' is unknown, allowed: error, warn, info, debug",
          "--log-format: 'xml' is unknown, allowed: text, json",
          "invalid option \"--no-such\"",
          "must hold one line" };
  struct settings s;
  struct buffer out;
  (void)state;
  write_file (token_path, "secret-token with spaces\n", 0600);
  setenv ("SASSAFRAS_NODE", "many", 1);
  const char *const flags[]
      = { "--listen-peers", "1.2.3.4",      "--log-level", "loud", "--log-format", "xml",
          "--no-such",      "--token-file", token_path,    NULL };
  assert_int_equal (read_with (&s, &out, flags), SETTINGS_REFUSE);
  for (size_t i = 0; i < sizeof expected / sizeof *expected; i++)
    if (!strstr (out.data, expected[i]))
      fail_msg ("'%s' is missing in:\n%s", expected[i], out.data);
  assert_null (strstr (out.data, "secret"));
  unsetenv ("SASSAFRAS_NODE");
  write_file (token_path, "secret-token\n", 0600);
  settings_close (&s);
  buffer_close (&out);
}

/* An invalid flag must be refused with the EXPECTED message.  */
static void
refuse (const char *flag, const char *value, const char *expected)
{
  struct settings s;
  struct buffer out;
  assert_int_equal (read_with (&s, &out, (const char *[]){ flag, value, NULL }), SETTINGS_REFUSE);
  if (!strstr (out.data, expected))
    fail_msg ("%s %s: '%s' is missing in:\n%s", flag, value, expected, out.data);
  settings_close (&s);
  buffer_close (&out);
}

static void
test_ranges (void **state)
{
  char long_name[80];
  (void)state;
  memset (long_name, 'x', sizeof long_name - 1);
  long_name[sizeof long_name - 1] = '\0';
  refuse ("--node", "0", "allowed: 1 to 9223372036854775806");
  refuse ("--node", "9223372036854775807", "out of range");
  refuse ("--node", "99999999999999999999", "out of range");
  refuse ("--node", "-1", "out of range");
  refuse ("--node", "8", "allowed: 7");
  refuse ("--listen-callers", "127.0.0.1:65536", "port from 0 to 65535");
  refuse ("--listen-callers", "localhost:80", "an IPv4 address");
  refuse ("--token-file", "/nonexistent", "No such file");
  write_file (token_path, "secret-token\n", 0644);
  refuse ("--token-file", token_path, "can be read by every user");
  write_file (token_path, "", 0600);
  refuse ("--token-file", token_path, "must hold one line");
  write_file (token_path, "secret-token\n", 0600);
  setenv ("SASSAFRAS_DEPLOYMENT", long_name, 1);
  struct settings s;
  struct buffer out = { 0 };
  assert_int_equal (settings_read (&s, 1, (char *[]){ "sassafrasd", NULL }, &out), SETTINGS_REFUSE);
  assert_non_null (strstr (out.data, "SASSAFRAS_DEPLOYMENT: 'xxx"));
  assert_non_null (strstr (out.data, "setting 'vm' is missing: use --vm or SASSAFRAS_VM"));
  unsetenv ("SASSAFRAS_DEPLOYMENT");
  settings_close (&s);
  buffer_close (&out);
}

static void
test_check_help_and_version (void **state)
{
  struct settings s;
  struct buffer out;
  (void)state;
  assert_int_equal (read_with (&s, &out, (const char *[]){ "--check", NULL }), SETTINGS_EXIT);
  assert_non_null (strstr (out.data, "settings are valid"));
  settings_close (&s);
  buffer_close (&out);
  assert_int_equal (
      read_with (&s, &out, (const char *[]){ "--check", "--plans-file", members_path, NULL }),
      SETTINGS_REFUSE);
  settings_close (&s);
  buffer_close (&out);
  assert_int_equal (read_with (&s, &out,
                               (const char *[]){ "--check", "--plans-file", members_path,
                                                 "--customers-file", members_path, NULL }),
                    SETTINGS_REFUSE);
  assert_non_null (strstr (out.data, "$.members: unknown field 'members'"));
  settings_close (&s);
  buffer_close (&out);
  assert_int_equal (read_with (&s, &out, (const char *[]){ "--help", NULL }), SETTINGS_EXIT);
  assert_non_null (strstr (out.data, "--members-file"));
  settings_close (&s);
  buffer_close (&out);
  assert_int_equal (read_with (&s, &out, (const char *[]){ "--version", NULL }), SETTINGS_EXIT);
  assert_string_equal (out.data, "sassafrasd " SASSAFRAS_VERSION "\n");
  settings_close (&s);
  buffer_close (&out);
}

static void
test_random_values (void **state)
{
  static const char *const flags[]
      = { "--vm",       "--node",       "--listen-peers", "--log-level",
          "--data-dir", "--token-file", "--log-format",   "--region" };
  struct rng rng;
  (void)state;
  rng_init (&rng, 3);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      struct settings s;
      struct buffer out;
      char value[64];
      size_t len = (size_t)rng_below (&rng, sizeof value);
      for (size_t k = 0; k < len; k++)
        value[k] = (char)(1 + rng_below (&rng, 255));
      value[len] = '\0';
      read_with (&s, &out, (const char *[]){ flags[rng_below (&rng, 8)], value, NULL });
      settings_close (&s);
      buffer_close (&out);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_good_settings),
    cmocka_unit_test (test_flag_precedes_environment),
    cmocka_unit_test (test_every_fault_is_named_at_once),
    cmocka_unit_test (test_ranges),
    cmocka_unit_test (test_check_help_and_version),
    cmocka_unit_test (test_random_values),
  };
  return cmocka_run_group_tests (tests, open_folder, close_folder);
}
