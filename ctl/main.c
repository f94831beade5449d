#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <argtable2.h>

#include "clock.h"
#include "ctl.h"
#include "http_server.h"
#include "settings.h"

#define MAX_ARGS 1002 /* jobs cancel takes up to 1,000 ids */
#define MAX_TIMEOUT_MS 3600000
#define REQUEST_ID_BYTES 16
#define MAX_FLAG_ERRORS 20
#define DEFAULT_LIMIT 100
#define MAX_LIMIT 10000
#define DEFAULT_SERVER "127.0.0.1:7402"

struct command
{
  const char *name;
  const char *help;
  int (*run) (struct ctl *c);
  bool local; /* runs without a server */
};

static const struct command commands[] = {
  { "check", "PLANS CUSTOMERS            check both lists without a server", command_check, true },
  { "diff", "PLANS CUSTOMERS             compare with the accepted lists", command_diff, false },
  { "apply", "PLANS CUSTOMERS --if-version N  replace version N; waits until in force",
    command_apply, false },
  { "show", "[vms|plans|customers]       what is in force on which VM, or an accepted list",
    command_show, false },
  { "data-centre", "[list|out NAME|return NAME|close-epoch NAME EPOCH]", command_data_centre,
    false },
  { "drain", "VM [--off]                 mark a VM as draining", command_drain, false },
  { "jobs", "[list|submit FILE|show ID|cancel ID...]", command_jobs, false },
  { "members", "[list|file|add FILE|replace FILE|remove VM]", command_members, false },
  { "state", "                           state of one VM", command_state, false },
  { "counters", "                        counters of one VM", command_counters, false },
  { "accounts", "                        client accounts of a workflow group, from its leader",
    command_accounts, false },
  { "explain",
    "FILE                      where a task would start now, and why, without sending it",
    command_explain, false },
};

struct flags
{
  struct arg_lit *help;
  struct arg_lit *print_version;
  struct arg_lit *json;
  struct arg_lit *no_wait;
  struct arg_lit *off;
  struct arg_str *server;
  struct arg_str *token_file;
  struct arg_str *timeout;
  struct arg_str *request_id;
  struct arg_str *if_version;
  struct arg_str *customer;
  struct arg_str *data_centre;
  struct arg_str *limit;
  struct arg_str *args;
  struct arg_end *end;
};

static void
make_flags (struct flags *f)
{
  f->help = arg_lit0 (NULL, "help", "print this text and exit");
  f->print_version = arg_lit0 (NULL, "version", "print the program's version and exit");
  f->json = arg_lit0 (NULL, "json", "machine-readable output");
  f->no_wait = arg_lit0 (NULL, "no-wait", "do not wait until a change is in force");
  f->off = arg_lit0 (NULL, "off", "drain: end the drain");
  f->server = arg_strn (NULL, "server", "<ip:port,...>", 0, CTL_MAX_SERVERS,
                        "operators' address of one or several VMs (default: " DEFAULT_SERVER ")");
  f->token_file = arg_str0 (NULL, "token-file", "<file>", "operators' token");
  f->timeout = arg_str0 (NULL, "timeout", "<ms>", "for the whole command (default: 15000)");
  f->request_id = arg_str0 (NULL, "request-id", "<id>", "retry an earlier command");
  f->if_version = arg_str0 (NULL, "if-version", "<number>", "change only this version");
  f->customer = arg_str0 (NULL, "customer", "<id>", "jobs list: of this customer");
  f->data_centre = arg_str0 (NULL, "data-centre", "<name>", "jobs list: of this cell");
  f->limit = arg_str0 (NULL, "limit", "<number>", "jobs list: at most (default: 100)");
  f->args = arg_strn (NULL, NULL, "<command>", 0, MAX_ARGS, "command and its arguments");
  f->end = arg_end (MAX_FLAG_ERRORS);
}

static void
print_help (struct flags *f)
{
  fputs ("Usage: sassafrasctl", stdout);
  arg_print_syntax (stdout, (void **)f, "\n");
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    printf ("  %s %s\n", commands[i].name, commands[i].help);
  arg_print_glossary (stdout, (void **)f, "  %-28s %s\n");
  puts ("SASSAFRAS_SERVER, SASSAFRAS_TOKEN_FILE and SASSAFRAS_TIMEOUT set defaults.");
}

static const char *
flag_or_env (const struct arg_str *flag, const char *env)
{
  return flag->count > 0 ? flag->sval[0] : getenv (env);
}

static int
read_number (const char *text, int64_t lo, int64_t hi, int64_t *out)
{
  char *end;
  long long number = strtoll (text, &end, 10);
  if (end == text || *end || number < lo || number > hi)
    return -1;
  *out = number;
  return 0;
}

static int
add_servers (struct ctl *c, const char *list)
{
  struct sockaddr_in address;
  struct status st;
  while (*list)
    {
      size_t len = strcspn (list, ",");
      if (c->server_count >= CTL_MAX_SERVERS || len >= CTL_ADDRESS_BYTES)
        return ctl_usage_error (c, "--server: at most %d addresses of up to %d bytes",
                                CTL_MAX_SERVERS, CTL_ADDRESS_BYTES - 1);
      char *slot = c->servers[c->server_count];
      memcpy (slot, list, len);
      slot[len] = '\0';
      if (http_parse_address (slot, &address, &st) < 0)
        return ctl_usage_error (c, "--server: %s", st.message);
      c->server_count++;
      list += len + (list[len] == ',' ? 1 : 0);
    }
  return 0;
}

static int
read_servers (struct ctl *c, const struct flags *f)
{
  const char *env = getenv ("SASSAFRAS_SERVER");
  int code = 0;
  for (int i = 0; i < f->server->count && code == 0; i++)
    code = add_servers (c, f->server->sval[i]);
  if (code == 0 && c->server_count == 0)
    code = add_servers (c, env && env[0] ? env : DEFAULT_SERVER);
  return code;
}

static int
read_token (struct ctl *c, const struct flags *f)
{
  const char *path = flag_or_env (f->token_file, "SASSAFRAS_TOKEN_FILE");
  struct buffer text;
  struct status st;
  if (!path || !path[0])
    return 0;
  buffer_init (&text);
  if (settings_read_file (path, SETTINGS_TOKEN_BYTES, &text, &st) < 0)
    return ctl_fail (c, &st, NULL);
  int len = text.data ? (int)strcspn (text.data, "\r\n") : 0;
  snprintf (c->authorization, sizeof c->authorization, "Authorization: Bearer %.*s", len,
            text.data ? text.data : "");
  buffer_close (&text);
  return 0;
}

static int
read_request_id (struct ctl *c, const struct flags *f)
{
  unsigned char bytes[REQUEST_ID_BYTES];
  if (f->request_id->count > 0)
    {
      if (!json_name_valid (f->request_id->sval[0]))
        return ctl_usage_error (c, "--request-id: 1 to 63 letters, digits, '.', '_' or '-'");
      snprintf (c->request_id, sizeof c->request_id, "%s", f->request_id->sval[0]);
      return 0;
    }
  if (getrandom (bytes, sizeof bytes, 0) != (ssize_t)sizeof bytes)
    return ctl_usage_error (c, "no random bytes for a request id; use --request-id");
  for (size_t i = 0; i < sizeof bytes; i++)
    snprintf (c->request_id + 2 * i, 3, "%02x", bytes[i]);
  return 0;
}

static int
read_numbers (struct ctl *c, const struct flags *f)
{
  const char *timeout = flag_or_env (f->timeout, "SASSAFRAS_TIMEOUT");
  int64_t number = CTL_TIMEOUT_MS;
  if (timeout && timeout[0] && read_number (timeout, 1, MAX_TIMEOUT_MS, &number) < 0)
    return ctl_usage_error (c, "--timeout: '%s' is out of range, allowed: 1 to %d ms", timeout,
                            MAX_TIMEOUT_MS);
  c->timeout_ms = (long)number;
  c->version = -1;
  if (f->if_version->count > 0
      && read_number (f->if_version->sval[0], 0, INT64_MAX, &c->version) < 0)
    return ctl_usage_error (c, "--if-version: '%s' is out of range, allowed: 0 and up",
                            f->if_version->sval[0]);
  return 0;
}

static int
read_filters (struct ctl *c, const struct flags *f)
{
  c->customer = f->customer->count > 0 ? f->customer->sval[0] : NULL;
  c->data_centre = f->data_centre->count > 0 ? f->data_centre->sval[0] : NULL;
  if (c->customer && !json_name_valid (c->customer))
    return ctl_usage_error (c, "--customer: '%s' is no name", c->customer);
  if (c->data_centre && !json_name_valid (c->data_centre))
    return ctl_usage_error (c, "--data-centre: '%s' is no name", c->data_centre);
  c->limit = DEFAULT_LIMIT;
  if (f->limit->count > 0 && read_number (f->limit->sval[0], 1, MAX_LIMIT, &c->limit) < 0)
    return ctl_usage_error (c, "--limit: '%s' is out of range, allowed: 1 to %d", f->limit->sval[0],
                            MAX_LIMIT);
  return 0;
}

static int
read_flags (struct ctl *c, const struct flags *f)
{
  int code = read_numbers (c, f);
  if (code == 0)
    code = read_filters (c, f);
  c->json = f->json->count > 0;
  c->wait = f->no_wait->count == 0;
  c->off = f->off->count > 0;
  c->args = (char **)f->args->sval;
  c->arg_count = f->args->count;
  if (code == 0)
    code = read_servers (c, f);
  if (code == 0)
    code = read_token (c, f);
  return code == 0 ? read_request_id (c, f) : code;
}

static int
run_command (struct ctl *c)
{
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    {
      if (strcmp (commands[i].name, c->args[0]) != 0)
        continue;
      c->loop = ev_default_loop (0);
      c->client = http_client_open (c->loop, 0);
      c->deadline_ms = clock_now_ms (clock_real ()) + c->timeout_ms;
      int code = commands[i].run (c);
      http_client_close (c->client);
      ev_loop_destroy (c->loop);
      return code;
    }
  return ctl_usage_error (c, "unknown command '%s'; see --help", c->args[0]);
}

static int
run (struct flags *f, int errors, struct ctl *c)
{
  if (f->help->count > 0)
    {
      print_help (f);
      return 0;
    }
  if (f->print_version->count > 0)
    {
      printf ("sassafrasctl %s\n", SASSAFRAS_VERSION);
      return 0;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, f->end, "sassafrasctl");
      return status_answer (STATUS_BAD_REQUEST)->exit_code;
    }
  if (f->args->count == 0)
    return ctl_usage_error (c, "no command; see --help");
  int code = read_flags (c, f);
  return code == 0 ? run_command (c) : code;
}

int
main (int argc, char **argv)
{
  struct flags flags;
  struct ctl *c = xcalloc (1, sizeof *c);
  make_flags (&flags);
  int errors = arg_parse (argc, argv, (void **)&flags);
  int code = run (&flags, errors, c);
  arg_freetable ((void **)&flags, sizeof flags / sizeof (void *));
  free (c);
  return code;
}
