/* Measures the proxy on loopback: one entry process, four runner stand-ins, and callers on
   keep-alive connections, each sending its next request when the answer is complete.

   Usage: bench_request_loopback [REQUESTS [CONNECTIONS [BYTES [METHOD [CUSTOMER]]]]]

   Customer "small" is limited to one request at a time; further requests are refused, which shows
   the cost of a refusal.  Prints requests per second of wall clock time and of the entry's CPU
   time, latencies, and the entry's resident memory during the run.  Under valgrind
   --tool=callgrind, the output file with the entry's printed pid holds its instruction counts.  */
#include "../tests/proxy_fixture.h"

#include <fcntl.h>
#include <poll.h>

#define BENCH_RUNNERS 4
#define MAX_CONNECTIONS 256
#define MEMORY_SAMPLES 5

struct caller
{
  int fd;
  struct buffer in;
  int64_t sent_us;
};

static int64_t
now_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* User and system CPU time of a process, in seconds.  */
static double
cpu_s (pid_t pid)
{
  char path[64];
  char text[1024] = "";
  unsigned long user = 0;
  unsigned long kernel = 0;
  snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  FILE *f = fopen (path, "r");
  if (!f)
    return 0.0;
  if (fgets (text, sizeof text, f))
    {
      const char *p = strrchr (text, ')');
      if (p)
        sscanf (p + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &kernel);
    }
  fclose (f);
  return (double)(user + kernel) / (double)sysconf (_SC_CLK_TCK);
}

static long
resident_kb (pid_t pid)
{
  char path[64];
  long size = 0;
  long pages = 0;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  FILE *f = fopen (path, "r");
  if (!f)
    return 0;
  if (fscanf (f, "%ld %ld", &size, &pages) != 2)
    pages = 0;
  fclose (f);
  return pages * (sysconf (_SC_PAGESIZE) / 1024);
}

static bool
answer_complete (struct buffer *in, bool *succeeded)
{
  char *end = in->data ? strstr (in->data, "\r\n\r\n") : NULL;
  if (!end)
    return false;
  const char *length = find_header (in->data, "Content-Length");
  size_t answer_len = (size_t)(end - in->data) + 4 + (length ? strtoul (length, NULL, 10) : 0);
  if (in->len < answer_len)
    return false;
  *succeeded = strncmp (in->data, "HTTP/1.1 200", 12) == 0;
  buffer_consume (in, answer_len);
  return true;
}

static int
compare_us (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

struct bench
{
  struct child entry;
  struct caller callers[MAX_CONNECTIONS];
  struct pollfd polls[MAX_CONNECTIONS];
  int connections;
  char request[512];
  size_t request_len;
  long total;
  long sent;
  long done;
  long failed;
  int64_t *latencies;
};

static void
send_next (struct bench *b, struct caller *c)
{
  if (b->sent == b->total)
    return;
  b->sent++;
  c->sent_us = now_us ();
  send_all (c->fd, b->request, b->request_len);
}

static void
read_answer (struct bench *b, struct caller *c)
{
  bool succeeded = false;
  if (!receive (c->fd, &c->in))
    {
      fprintf (stderr, "the entry closed a connection\n");
      exit (1);
    }
  if (!answer_complete (&c->in, &succeeded))
    return;
  b->latencies[b->done++] = now_us () - c->sent_us;
  b->failed += !succeeded;
  if (b->done % (b->total / MEMORY_SAMPLES) == 0)
    printf ("  after %ld requests: entry holds %ld KB\n", b->done, resident_kb (b->entry.pid));
  send_next (b, c);
}

static void
run_callers (struct bench *b)
{
  for (int i = 0; i < b->connections; i++)
    {
      b->callers[i].fd = dial (b->entry.port);
      b->polls[i] = (struct pollfd){ .fd = b->callers[i].fd, .events = POLLIN };
      send_next (b, &b->callers[i]);
    }
  while (b->done < b->total)
    {
      poll (b->polls, (nfds_t)b->connections, -1);
      for (int i = 0; i < b->connections; i++)
        if (b->polls[i].revents)
          read_answer (b, &b->callers[i]);
    }
  for (int i = 0; i < b->connections; i++)
    {
      close (b->callers[i].fd);
      buffer_close (&b->callers[i].in);
    }
}

static double
quantile_ms (const struct bench *b, double q)
{
  size_t rank = (size_t)(q * (double)(b->total - 1));
  return (double)b->latencies[rank] / 1000.0;
}

static void
print_result (struct bench *b, double seconds, double used_cpu_s)
{
  qsort (b->latencies, (size_t)b->total, sizeof *b->latencies, compare_us);
  printf ("%ld requests on %d connections: %.0f/s, %.0f per processor second of the entry, "
          "%.1f us each, p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, not 200: %ld\n",
          b->total, b->connections, (double)b->total / seconds, (double)b->total / used_cpu_s,
          used_cpu_s * 1e6 / (double)b->total, quantile_ms (b, 0.5), quantile_ms (b, 0.99),
          quantile_ms (b, 0.999), b->failed);
  printf ("tries per request %.4f\n",
          (double)statistic (b->entry.admin_port, "/stats", "tries") / (double)b->total);
}

int
main (int argc, char **argv)
{
  static struct bench b;
  struct child runners[BENCH_RUNNERS];
  b.total = argc > 1 ? strtol (argv[1], NULL, 10) : 100000;
  b.connections = argc > 2 ? (int)strtol (argv[2], NULL, 10) : 32;
  long bytes = argc > 3 ? strtol (argv[3], NULL, 10) : 500;
  const char *method = argc > 4 ? argv[4] : "GET";
  const char *customer = argc > 5 ? argv[5] : "huron";
  if (b.total < MEMORY_SAMPLES || b.connections < 1 || b.connections > MAX_CONNECTIONS)
    return 2;
  b.latencies = xcalloc ((size_t)b.total, sizeof *b.latencies);
  b.request_len = (size_t)snprintf (b.request, sizeof b.request,
                                    "%s /v1/call/echo/price?bytes=%ld HTTP/1.1\r\nHost: entry\r\n"
                                    "Sassafras-Customer: %s\r\nContent-Length: 0\r\n\r\n",
                                    method, bytes, customer);
  b.entry = start_entry ();
  for (int i = 0; i < BENCH_RUNNERS; i++)
    runners[i] = start_runner (&b.entry, NULL);
  if (!wait_statistic (b.entry.admin_port, "/stats", "live", BENCH_RUNNERS))
    return 1;
  printf ("entry pid %d, resident %ld KB\n", (int)b.entry.pid, resident_kb (b.entry.pid));
  double start_cpu_s = cpu_s (b.entry.pid);
  int64_t start = now_us ();
  run_callers (&b);
  print_result (&b, (double)(now_us () - start) / 1e6, cpu_s (b.entry.pid) - start_cpu_s);
  for (int i = 0; i < BENCH_RUNNERS; i++)
    end_child (&runners[i], SIGKILL);
  int status = end_child (&b.entry, SIGTERM);
  free (b.latencies);
  return WIFEXITED (status) ? WEXITSTATUS (status) : 1;
}
