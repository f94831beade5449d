/* Runs a replicated registry with a single voter in this process, its journal in FOLDER, takes a
   data centre out and prints the answer with its log index.  Usage: example_single_group FOLDER  */
#include <stdio.h>

#include "sassafras.h"

static void
on_done (void *arg, const struct status *st, const void *data, size_t len)
{
  registry_result result;
  struct status decoded;
  (void)arg;
  if (!status_ok (st) || registry_decode_result (data, len, &result, &decoded) < 0)
    {
      printf ("failed: %s\n", st->message);
      return;
    }
  printf ("%s at index %llu: %s\n", status_answer ((enum status_kind)result.status)->name,
          (unsigned long long)result.index, result.message);
  registry_result_free (&result);
}

int
main (int argc, char **argv)
{
  struct status st;
  struct rng rng;
  raft_member self = { .node = 1, .voter = true };
  const raft_members members = { { 1, &self } };
  struct journal_io *io = argc == 2 ? journal_folder_io (argv[1], &st) : NULL;
  if (!io)
    {
      fprintf (stderr, "usage: single_group FOLDER\n");
      return 2;
    }
  rng_init (&rng, 1);
  struct registry *r = registry_new ();
  const struct group_config config = { .id = REGISTRY_GROUP,
                                       .node = 1,
                                       .name = "registry",
                                       .members = &members,
                                       .store = journal_open (io, "registry", &st),
                                       .machine = registry_machine (r),
                                       .rng = &rng };
  struct group *g = config.store ? group_open (&config, 0, &st) : NULL;
  if (!g)
    {
      fprintf (stderr, "%s\n", st.message);
      return 1;
    }
  for (int64_t now_ms = 0; !group_is_leader (g); now_ms += 10)
    {
      group_tick (g, now_ms);
      group_flush (g);
    }
  registry_command c = { .request_id = (char *)"example" };
  struct buffer command;
  buffer_init (&command);
  c.body.kind = REGISTRY_DATA_CENTRE;
  c.body.registry_body_u.data_centre.data_centre = (char *)"a";
  c.body.registry_body_u.data_centre.out = true;
  if (registry_encode (&c, &command, &st) == 0)
    group_propose (g, command.data, command.len, on_done, NULL);
  group_flush (g);
  group_close (g);
  registry_free (r);
  buffer_close (&command);
  return 0;
}
