/* Serves the operator endpoints of one VM, with an unreplicated registry.
   Usage: example_operator_server IP:PORT MEMBERS-FILE VM [lossy]
   With "lossy", every other answer is dropped after its command was applied.  */
#include <stdio.h>
#include <string.h>

#include "operator_api.h"
#include "settings.h"

#define TICK_S 0.1

struct local_registry
{
  struct proposer proposer; /* first member: the vtable */
  struct registry *registry;
  struct permit_granter *granter;
  bool drops_answers;
  uint64_t index;
};

static void
propose (struct proposer *p, uint64_t group, const void *command, size_t len, propose_done *done,
         void *arg)
{
  struct local_registry *l = (struct local_registry *)p;
  struct machine *m = registry_machine (l->registry);
  struct buffer copy = { 0 };
  struct buffer result = { 0 };
  struct status st = { .kind = group == REGISTRY_GROUP ? STATUS_OK : STATUS_NOT_FOUND };
  buffer_append (&copy, command, len);
  registry_stamp (copy.data, copy.len, clock_wall_ms ());
  m->ops->apply (m, ++l->index, copy.data, copy.len, &result);
  if (l->drops_answers && l->index % 2 == 0)
    status_set (&st, STATUS_OUTCOME_UNKNOWN, "the answer was lost");
  if (done)
    done (arg, &st, result.data, result.len);
  buffer_close (&copy);
  buffer_close (&result);
}

static const struct proposer_ops ops = { propose };

static void
propose_body (struct local_registry *l, registry_command *command)
{
  struct buffer encoded = { 0 };
  command->request_id = "";
  if (registry_encode (command, &encoded, NULL) == 0)
    propose (&l->proposer, REGISTRY_GROUP, encoded.data, encoded.len, NULL, NULL);
  buffer_close (&encoded);
}

/* A single member is its own quorum, so leadership is always confirmed.  */
static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  struct local_registry *l = w->data;
  const registry_data_centre *list;
  size_t count = registry_data_centres (l->registry, &list);
  int64_t now_ms = clock_now_ms (clock_real ());
  registry_command command = { .body.kind = REGISTRY_IN_FORCE };
  (void)loop;
  (void)events;
  permit_granter_confirm (l->granter, now_ms);
  if (permit_granter_find_unrecorded (l->granter, list, count, now_ms,
                                      &command.body.registry_body_u.in_force))
    propose_body (l, &command);
}

static void
on_request (void *arg, struct http_request *req)
{
  struct status st;
  if (operator_api_handle (arg, req))
    return;
  status_set (&st, STATUS_NOT_FOUND, "no such endpoint");
  http_reply_status (req, &st);
}

static int
load_members (struct local_registry *l, const char *path)
{
  struct buffer text = { 0 };
  struct json_faults faults = { 0 };
  struct member_list members = { 0 };
  registry_command command = { .body.kind = REGISTRY_INIT };
  if (settings_read_file (path, PLANS_LIST_BYTES, &text, NULL) < 0)
    return -1;
  struct json_source source = { path, text.data, text.len };
  int result = members_parse (&source, &members, &faults);
  command.body.registry_body_u.init.members.members_len = (unsigned)members.count;
  command.body.registry_body_u.init.members.members_val = members.items;
  if (result == 0)
    propose_body (l, &command);
  members_close (&members);
  json_faults_close (&faults);
  buffer_close (&text);
  return result;
}

int
main (int argc, char **argv)
{
  struct status st;
  struct local_registry l = { .proposer.ops = &ops, .drops_answers = argc > 4 };
  struct ev_loop *loop = ev_default_loop (0);
  ev_timer tick;
  l.registry = registry_new ();
  l.granter = permit_granter_new ();
  if (argc < 4 || load_members (&l, argv[2]) < 0)
    return 2;
  struct operator_api_config config = { .registry = l.registry,
                                        .proposer = &l.proposer,
                                        .clock = clock_real (),
                                        .vm = argv[3],
                                        .data_centre = "" };
  struct operator_api *api = operator_api_open (&config);
  struct http_server_config http = { .address = argv[1],
                                     .max_body = OPERATOR_API_MAX_BODY_BYTES,
                                     .handler = on_request,
                                     .handler_arg = api };
  permit_granter_become_leader (l.granter, clock_now_ms (clock_real ()));
  if (!http_server_open (loop, &http, &st))
    return fprintf (stderr, "%s\n", st.message), 1;
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  tick.data = &l;
  ev_timer_start (loop, &tick);
  ev_run (loop, 0);
  return 0;
}
