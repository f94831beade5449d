/* Cost of the transport between daemons: CPU time and bytes per message for three sizes and three
   numbers of peers, and the cost of an idle connection.  All endpoints run in this process on
   loopback, so the CPU time of a message includes its sender and its receiver.

   For each number of peers it prints a linear fit over the sizes, CPU time = fixed part + slope *
   bytes, and the largest relative error of a measured point.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "buffer.h"
#include "log.h"
#include "peer_net.h"

#define MAX_PEERS 7
#define SIZES 3
#define BATCH 16 /* messages per peer between loop runs, far below the queue limit */
#define BYTES_PER_POINT (256LL * 1024 * 1024)
#define MAX_MESSAGES 200000
#define REPEATS 3 /* the lowest CPU time is reported: other load only adds time */
#define IDLE_S 5
#define US_PER_S 1e6

static const size_t sizes[SIZES] = { 64, 4096, 65536 };
static const int peer_counts[] = { 1, 3, 7 };

static struct ev_loop *loop;
static struct peer_net *hub;
static struct peer_net *endpoints[MAX_PEERS];
static uint64_t received;

struct point
{
  double cpu_us;
  double bytes;
};

static void
on_raft (void *arg, const struct peer_info *from, const raft_message *m)
{
  (void)arg;
  (void)from;
  (void)m;
  received++;
}

static double
cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static struct peer_net *
open_endpoint (const char *vm, uint64_t node)
{
  struct status st;
  struct peer_net_config config = {
    .deployment = "bench",
    .vm = vm,
    .data_centre = "dc",
    .node = node,
    .incarnation = 1,
    .listen_address = "127.0.0.1:0",
    .seed = node,
    .handlers = { .raft = on_raft },
  };
  struct peer_net *net = peer_net_open (loop, &config, &st);
  if (!net)
    {
      fprintf (stderr, "%s\n", st.message);
      exit (1);
    }
  return net;
}

static void
add_peer (struct peer_net *net, const char *vm, uint64_t node, int port)
{
  char address[32];
  struct peer_config peer = { .name = vm, .node = node, .address = address };
  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  peer_net_set_peer (net, &peer, NULL);
}

static bool
all_connected (int peers)
{
  for (int i = 0; i < peers; i++)
    {
      struct peer_info info;
      if (!peer_net_peer (hub, (uint64_t)i + 2, &info) || !info.connected)
        return false;
    }
  return true;
}

static void
open_all (int peers)
{
  hub = open_endpoint ("hub", 1);
  for (int i = 0; i < peers; i++)
    {
      char vm[16];
      snprintf (vm, sizeof vm, "vm-%d", i);
      endpoints[i] = open_endpoint (vm, (uint64_t)i + 2);
      add_peer (endpoints[i], "hub", 1, peer_net_port (hub));
      add_peer (hub, vm, (uint64_t)i + 2, peer_net_port (endpoints[i]));
    }
  while (!all_connected (peers))
    ev_run (loop, EVRUN_ONCE);
}

static void
close_all (int peers)
{
  peer_net_close (hub);
  for (int i = 0; i < peers; i++)
    peer_net_close (endpoints[i]);
}

static uint64_t
sent_bytes (void)
{
  uint64_t bytes = 0;
  for (size_t i = 0; i < peer_net_peer_count (hub); i++)
    {
      struct peer_info info;
      if (peer_net_peer_at (hub, i, &info))
        bytes += info.stats.sent_bytes;
    }
  return bytes;
}

static struct point
measure (int peers, size_t size)
{
  long messages = (long)(BYTES_PER_POINT / (long long)size);
  raft_message m = { .type = RAFT_SNAPSHOT_CHUNK, .from = 1 };
  if (messages > MAX_MESSAGES)
    messages = MAX_MESSAGES;
  messages -= messages % (BATCH * peers);
  m.chunk.chunk_len = (u_int)size;
  m.chunk.chunk_val = xcalloc (1, size);
  uint64_t bytes = sent_bytes ();
  double cpu = cpu_s ();
  received = 0;
  for (long sent = 0; sent < messages;)
    {
      for (int i = 0; i < BATCH * peers; i++, sent++)
        {
          m.to = (uint64_t)(i % peers) + 2;
          peer_send_raft (hub, &m);
        }
      while (received < (uint64_t)sent)
        ev_run (loop, EVRUN_ONCE);
    }
  struct point p = { (cpu_s () - cpu) * US_PER_S / (double)messages,
                     (double)(sent_bytes () - bytes) / (double)messages };
  free (m.chunk.chunk_val);
  return p;
}

static struct point
measure_best (int peers, size_t size)
{
  struct point best = measure (peers, size);
  for (int i = 1; i < REPEATS; i++)
    {
      struct point p = measure (peers, size);
      if (p.cpu_us < best.cpu_us)
        best = p;
    }
  return best;
}

/* Least squares with weight 1 / y^2, so that relative errors count alike at all sizes.  */
static void
fit (const struct point *p, double *fixed, double *slope, double *error)
{
  double w = 0;
  double wx = 0;
  double wy = 0;
  double wxx = 0;
  double wxy = 0;
  for (int i = 0; i < SIZES; i++)
    {
      double weight = 1 / (p[i].cpu_us * p[i].cpu_us);
      w += weight;
      wx += weight * p[i].bytes;
      wy += weight * p[i].cpu_us;
      wxx += weight * p[i].bytes * p[i].bytes;
      wxy += weight * p[i].bytes * p[i].cpu_us;
    }
  *slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
  *fixed = (wy - *slope * wx) / w;
  *error = 0;
  for (int i = 0; i < SIZES; i++)
    *error = fmax (*error, fabs (*fixed + *slope * p[i].bytes - p[i].cpu_us) / p[i].cpu_us * 100.0);
}

static void
on_idle_end (struct ev_loop *l, ev_timer *w, int events)
{
  (void)w;
  (void)events;
  ev_break (l, EVBREAK_ALL);
}

static void
measure_idle (int peers)
{
  ev_timer timer;
  double cpu = cpu_s ();
  uint64_t bytes = sent_bytes ();
  ev_timer_init (&timer, on_idle_end, IDLE_S, 0.0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  printf ("idle, %d peers: %.0f bytes/s sent by one end, %.3f%% of a core for %d ends\n", peers,
          (double)(sent_bytes () - bytes) / IDLE_S, (cpu_s () - cpu) / IDLE_S * 100.0, peers + 1);
}

int
main (void)
{
  struct log_config quiet = { .level = LOG_ERROR };
  log_configure (&quiet);
  loop = ev_default_loop (0);
  for (size_t n = 0; n < sizeof peer_counts / sizeof peer_counts[0]; n++)
    {
      struct point points[SIZES];
      double fixed;
      double slope;
      double error;
      open_all (peer_counts[n]);
      for (int s = 0; s < SIZES; s++)
        {
          points[s] = measure_best (peer_counts[n], sizes[s]);
          printf ("%d peers, %5zu bytes of data: %7.2f us CPU, %7.0f bytes per message\n",
                  peer_counts[n], sizes[s], points[s].cpu_us, points[s].bytes);
        }
      fit (points, &fixed, &slope, &error);
      printf ("%d peers: %.2f us + %.3f ns per byte, largest error %.0f%%\n", peer_counts[n], fixed,
              slope * 1000.0, error);
      measure_idle (peer_counts[n]);
      close_all (peer_counts[n]);
    }
  ev_loop_destroy (loop);
  return 0;
}
