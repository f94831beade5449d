/* Commit rate, fsyncs and CPU time per commit of a group with three voters.  Each voter has its
   journal in a folder on disk; messages are passed in memory.

   Usage: bench_log_commit FOLDER   The folder must be empty or absent; its files are removed.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "group.h"
#include "log.h"

#define VOTERS 3
#define RUN_MS 1500
#define MAX_COMMAND 16384
#define QUEUE 4096

struct null_machine
{
  struct machine machine; /* first member: the vtable */
  uint64_t applied;
};

struct node
{
  struct group *group;
  struct null_machine machine;
  char folder[256];
  double cpu_s; /* CPU time of this node's flushes and messages */
};

static struct node nodes[VOTERS + 1];
static struct buffer queue[QUEUE];
static size_t queue_head;
static size_t queue_tail;
static uint64_t committed_count;

static void
apply (struct machine *m, uint64_t index, const void *command, size_t len, struct buffer *result)
{
  (void)index;
  (void)command;
  (void)len;
  (void)result;
  ((struct null_machine *)m)->applied++;
}

static bool
save (struct machine *m, struct buffer *out)
{
  struct null_machine *n = (struct null_machine *)m;
  buffer_append (out, &n->applied, sizeof n->applied);
  return true;
}

static int
load (struct machine *m, const void *data, size_t len, struct status *st)
{
  (void)st;
  memcpy (&((struct null_machine *)m)->applied, data, len);
  return 0;
}

static const struct machine_ops ops = { apply, save, load };

static double
seconds (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static int64_t
now_ms (void)
{
  return (int64_t)(seconds (CLOCK_MONOTONIC) * 1000);
}

static void
send_message (void *arg, const raft_message *m)
{
  XDR xdr;
  (void)arg;
  if (queue_tail - queue_head == QUEUE)
    return;
  struct buffer *b = &queue[queue_tail++ % QUEUE];
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_raft_message, (void *)m);
  b->len = 0;
  buffer_reserve (b, size);
  xdrmem_create (&xdr, b->data, size, XDR_ENCODE);
  xdr_raft_message (&xdr, (raft_message *)m);
  xdr_destroy (&xdr);
  b->len = size;
}

static void
deliver_messages (void)
{
  while (queue_head != queue_tail)
    {
      struct buffer *b = &queue[queue_head++ % QUEUE];
      raft_message m;
      XDR xdr;
      memset (&m, 0, sizeof m);
      double start = seconds (CLOCK_PROCESS_CPUTIME_ID);
      xdrmem_create (&xdr, b->data, (u_int)b->len, XDR_DECODE);
      if (xdr_raft_message (&xdr, &m))
        group_receive (nodes[m.to].group, &m, now_ms ());
      nodes[m.to].cpu_s += seconds (CLOCK_PROCESS_CPUTIME_ID) - start;
      xdr_free ((xdrproc_t)xdr_raft_message, (char *)&m);
    }
}

static void
run_round (void)
{
  for (int i = 1; i <= VOTERS; i++)
    {
      double start = seconds (CLOCK_PROCESS_CPUTIME_ID);
      group_tick (nodes[i].group, now_ms ());
      group_flush (nodes[i].group);
      nodes[i].cpu_s += seconds (CLOCK_PROCESS_CPUTIME_ID) - start;
    }
  deliver_messages ();
}

static void
on_committed (void *arg, const struct status *st, const void *result, size_t len)
{
  (void)arg;
  (void)result;
  (void)len;
  if (st->kind == STATUS_OK)
    committed_count++;
}

static int
open_nodes (const char *folder, struct rng *rng)
{
  raft_member list[VOTERS];
  for (int i = 0; i < VOTERS; i++)
    list[i] = (raft_member){ .node = (uint64_t)i + 1, .voter = true };
  raft_members members = { { VOTERS, list } };
  for (int i = 1; i <= VOTERS; i++)
    {
      struct node *n = &nodes[i];
      struct status st;
      snprintf (n->folder, sizeof n->folder, "%s/%d", folder, i);
      n->machine.machine.ops = &ops;
      struct group_config c
          = { .id = 1,
              .node = (uint64_t)i,
              .name = n->folder,
              .members = &members,
              .store = journal_open (journal_folder_io (n->folder, &st), n->folder, &st),
              .machine = &n->machine.machine,
              .rng = rng,
              .events = { .send = send_message } };
      n->group = c.store ? group_open (&c, now_ms (), &st) : NULL;
      if (!n->group)
        {
          fprintf (stderr, "%s\n", st.message);
          return -1;
        }
    }
  return 0;
}

static struct node *
leader (void)
{
  for (int i = 1; i <= VOTERS; i++)
    if (group_is_leader (nodes[i].group))
      return &nodes[i];
  return NULL;
}

static void
measure (size_t command_bytes, uint64_t batch)
{
  static char command[MAX_COMMAND];
  struct group_stats before;
  struct group_stats after;
  struct node *n = leader ();
  group_stats (n->group, &before);
  uint64_t first = committed_count;
  uint64_t proposed = committed_count;
  double cpu = seconds (CLOCK_PROCESS_CPUTIME_ID);
  double leader_cpu = n->cpu_s;
  double start = seconds (CLOCK_MONOTONIC);
  while (seconds (CLOCK_MONOTONIC) - start < RUN_MS / 1000.0)
    {
      double propose_start = seconds (CLOCK_PROCESS_CPUTIME_ID);
      while (proposed - committed_count < batch)
        {
          group_propose (n->group, command, command_bytes, on_committed, NULL);
          proposed++;
        }
      n->cpu_s += seconds (CLOCK_PROCESS_CPUTIME_ID) - propose_start;
      run_round ();
    }
  double elapsed = seconds (CLOCK_MONOTONIC) - start;
  cpu = seconds (CLOCK_PROCESS_CPUTIME_ID) - cpu;
  leader_cpu = n->cpu_s - leader_cpu;
  group_stats (n->group, &after);
  double commits = (double)(committed_count - first);
  printf ("%8zu %8llu %12.0f %14.4f %14.2f %14.2f\n", command_bytes, (unsigned long long)batch,
          commits / elapsed, (double)(after.syncs - before.syncs) / commits, cpu / commits * 1e6,
          leader_cpu / commits * 1e6);
  while (committed_count < proposed)
    run_round ();
}

static void
remove_files (void)
{
  static const char *const names[] = { "log", "snapshot", "lock" };
  char path[320];
  for (int i = 1; i <= VOTERS; i++)
    {
      group_close (nodes[i].group);
      for (size_t k = 0; k < 3; k++)
        {
          snprintf (path, sizeof path, "%s/%s", nodes[i].folder, names[k]);
          unlink (path);
        }
      rmdir (nodes[i].folder);
    }
}

int
main (int argc, char **argv)
{
  static const uint64_t batches[] = { 1, 4, 16, 64, 256, 1024 };
  static const size_t sizes[] = { 64, 1024, 16384 };
  struct log_config quiet = { .level = LOG_ERROR };
  struct rng rng;
  if (argc != 2)
    {
      fprintf (stderr, "usage: bench_log_commit FOLDER\n");
      return 2;
    }
  log_configure (&quiet);
  rng_init (&rng, 1);
  struct status st;
  struct journal_io *top = journal_folder_io (argv[1], &st);
  if (!top || open_nodes (argv[1], &rng))
    return 1;
  top->ops->free (top);
  while (!leader ())
    {
      run_round ();
      usleep (1000);
    }
  for (int i = 0; i < 100; i++)
    run_round ();
  printf ("%8s %8s %12s %14s %14s %14s\n", "bytes", "batch", "commits/s", "fsync/commit",
          "us cpu, all 3", "us cpu, leader");
  for (size_t i = 0; i < sizeof batches / sizeof batches[0]; i++)
    measure (256, batches[i]);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure (sizes[i], 64);
  remove_files ();
  for (size_t i = 0; i < QUEUE; i++)
    buffer_close (&queue[i]);
  return 0;
}
