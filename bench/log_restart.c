/* Restart time and data folder size of a single voter after 100,000 changes.

   Usage: bench_log_restart FOLDER   The folder must be empty or absent; its files are removed.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "group.h"
#include "log.h"

#define CHANGES 100000
#define BATCH 100
#define KEYS 4096 /* the state holds one value per key */
#define VALUE_BYTES 200

struct table
{
  struct machine machine; /* first member: the vtable */
  char values[KEYS][VALUE_BYTES];
};

static struct table table;
static uint64_t committed_count;

static void
apply (struct machine *m, uint64_t index, const void *command, size_t len, struct buffer *result)
{
  struct table *t = (struct table *)m;
  (void)result;
  memcpy (t->values[index % KEYS], command, len < VALUE_BYTES ? len : VALUE_BYTES);
}

static bool
save (struct machine *m, struct buffer *out)
{
  buffer_append (out, ((struct table *)m)->values, sizeof table.values);
  return true;
}

static int
load (struct machine *m, const void *data, size_t len, struct status *st)
{
  if (len != sizeof table.values)
    return status_set (st, STATUS_INTERNAL, "snapshot of %zu bytes", len);
  memcpy (((struct table *)m)->values, data, len);
  return 0;
}

static const struct machine_ops ops = { apply, save, load };

static double
now_s (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
ignore_message (void *arg, const raft_message *m)
{
  (void)arg;
  (void)m;
}

static void
on_committed (void *arg, const struct status *st, const void *result, size_t len)
{
  (void)arg;
  (void)result;
  (void)len;
  committed_count += st->kind == STATUS_OK;
}

/* Opens the group and runs it until it is leader and has applied its log.  */
static struct group *
open_leader (const char *folder, struct rng *rng)
{
  raft_member self = { .node = 1, .voter = true };
  raft_members members = { { 1, &self } };
  struct status st;
  memset (table.values, 0, sizeof table.values);
  table.machine.ops = &ops;
  struct group_config c = { .id = 1,
                            .node = 1,
                            .name = folder,
                            .members = &members,
                            .store = journal_open (journal_folder_io (folder, &st), folder, &st),
                            .machine = &table.machine,
                            .rng = rng,
                            .events = { .send = ignore_message } };
  struct group *g = c.store ? group_open (&c, 0, &st) : NULL;
  if (!g)
    {
      fprintf (stderr, "%s\n", st.message);
      exit (1);
    }
  while (!group_is_leader (g) || group_needs_flush (g))
    {
      group_tick (g, 1);
      group_flush (g);
    }
  return g;
}

static long long
file_bytes (const char *folder, const char *name)
{
  char path[512];
  struct stat sb;
  snprintf (path, sizeof path, "%s/%s", folder, name);
  return stat (path, &sb) ? 0 : (long long)sb.st_size;
}

int
main (int argc, char **argv)
{
  static const char *const names[] = { "log", "snapshot", "lock" };
  struct log_config quiet = { .level = LOG_ERROR };
  char command[VALUE_BYTES];
  struct rng rng;
  if (argc != 2)
    {
      fprintf (stderr, "usage: bench_log_restart FOLDER\n");
      return 2;
    }
  log_configure (&quiet);
  rng_init (&rng, 1);
  struct group *g = open_leader (argv[1], &rng);
  double begin = now_s ();
  long long largest = 0;
  for (int i = 0; i < CHANGES; i++)
    {
      memset (command, i, sizeof command);
      group_propose (g, command, sizeof command, on_committed, NULL);
      if (i % BATCH != BATCH - 1)
        continue;
      group_flush (g);
      long long size = file_bytes (argv[1], "log") + file_bytes (argv[1], "snapshot");
      largest = size > largest ? size : largest;
    }
  printf ("%llu changes of %d bytes in batches of %d: %.2f s\n",
          (unsigned long long)committed_count, VALUE_BYTES, BATCH, now_s () - begin);
  group_close (g);
  printf ("data folder: log %lld, snapshot %lld bytes; largest during the run %lld\n",
          file_bytes (argv[1], "log"), file_bytes (argv[1], "snapshot"), largest);
  begin = now_s ();
  g = open_leader (argv[1], &rng);
  printf ("restart to leader with all applied: %.1f ms, commit index %llu\n",
          (now_s () - begin) * 1000, (unsigned long long)group_commit_index (g));
  group_close (g);
  for (size_t i = 0; i < 3; i++)
    {
      char path[512];
      snprintf (path, sizeof path, "%s/%s", argv[1], names[i]);
      unlink (path);
    }
  rmdir (argv[1]);
  return 0;
}
