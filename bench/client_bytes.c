/* Bytes per second on the wire between a worker or runner and its entry, counted by a minimal
   entry that answers according to docs/api.md.  TCP and IP headers are excluded.

   Usage: bench_client_bytes BUILD-DIR [SECONDS]

   Starts worker_standin with 0, 5, 10 and 40 tasks that run until the measurement ends, then
   runner_standin.  */
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "buffer.h"

#define MAX_CONNECTIONS 16
#define POLL_HOLD_MS 3000 /* a poll is held for one heartbeat interval */
#define SETTLE_MS 4000

struct connection
{
  int fd;
  struct buffer in;
  long long answer_at_ms; /* time at which the held poll is answered; 0 if none is held */
};

struct entry
{
  int listener;
  struct connection connections[MAX_CONNECTIONS];
  int count;
  int tasks;
  bool started; /* start commands have been sent */
  unsigned long long bytes;
  unsigned long requests;
};

static long long
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
send_answer (struct entry *e, struct connection *c, const char *body)
{
  struct buffer out = { 0 };
  buffer_printf (&out,
                 "HTTP/1.1 200 OK\r\nDate: Fri, 04 Dec 2026 07:00:00 GMT\r\n"
                 "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                 strlen (body), body);
  e->bytes += out.len;
  if (write (c->fd, out.data, out.len) != (ssize_t)out.len)
    abort ();
  buffer_close (&out);
}

static void
answer_poll (struct entry *e, struct connection *c)
{
  struct buffer b = { 0 };
  buffer_printf (&b, "{\"incarnation\":1,\"lease_ms\":10000,\"covered_lease_ms\":10000,"
                     "\"heartbeat_ms\":3000,\"commands\":[");
  for (int i = 0; i < e->tasks && !e->started; i++)
    buffer_printf (&b,
                   "%s{\"type\":\"start\",\"task\":%lld,\"epoch\":1,\"valid_ms\":2500,"
                   "\"covered\":false,\"customer\":\"schools\",\"service\":\"reconcile\","
                   "\"kind\":\"batch\",\"millicores\":100,\"memory_mb\":100,\"accelerators\":0,"
                   "\"run_time_ms\":3600000,\"payload\":\"\",\"checkpoint\":\"\","
                   "\"progress_ms\":0,\"index\":0}",
                   i ? "," : "", (1LL << 48) + 100000 + i);
  buffer_printf (&b, "]}");
  e->started = true;
  send_answer (e, c, b.data);
  buffer_close (&b);
  c->answer_at_ms = 0;
}

/* Handles the first complete request in the input; returns false if there is none.  */
static bool
handle_request (struct entry *e, struct connection *c)
{
  char *end = c->in.data ? strstr (c->in.data, "\r\n\r\n") : NULL;
  const char *length = end ? strcasestr (c->in.data, "content-length:") : NULL;
  if (!length)
    return false;
  size_t request_len = (size_t)(end - c->in.data) + 4 + strtoul (length + 15, NULL, 10);
  if (c->in.len < request_len)
    return false;
  bool poll_request = strncmp (c->in.data, "POST /v1/workers/poll", 21) == 0;
  bool wait = strstr (end, "\"wait\":1") != NULL;
  e->bytes += request_len;
  e->requests++;
  buffer_consume (&c->in, request_len);
  if (!poll_request)
    send_answer (e, c, "{\"heartbeat_ms\":3000}");
  else if (wait && e->started)
    c->answer_at_ms = now_ms () + POLL_HOLD_MS;
  else
    answer_poll (e, c);
  return true;
}

static void
read_input (struct entry *e, struct connection *c)
{
  char block[65536];
  ssize_t n = read (c->fd, block, sizeof block);
  if (n <= 0)
    {
      close (c->fd);
      c->fd = -1;
      return;
    }
  buffer_append (&c->in, block, (size_t)n);
  while (handle_request (e, c))
    continue;
}

static void
run_once (struct entry *e)
{
  struct pollfd p[MAX_CONNECTIONS + 1] = { { .fd = e->listener, .events = POLLIN } };
  int count = e->count;
  for (int i = 0; i < count; i++)
    p[i + 1] = (struct pollfd){ .fd = e->connections[i].fd, .events = POLLIN };
  poll (p, (nfds_t)count + 1, 10);
  for (int i = 0; i < count; i++)
    {
      if (p[i + 1].revents)
        read_input (e, &e->connections[i]);
      if (e->connections[i].fd >= 0 && e->connections[i].answer_at_ms
          && now_ms () >= e->connections[i].answer_at_ms)
        answer_poll (e, &e->connections[i]);
    }
  if (p[0].revents && e->count < MAX_CONNECTIONS)
    e->connections[e->count++] = (struct connection){ .fd = accept (e->listener, NULL, NULL) };
}

static void
run_for (struct entry *e, long long ms)
{
  long long end = now_ms () + ms;
  while (now_ms () < end)
    run_once (e);
}

static int
open_listener (char *address, size_t size)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) || listen (fd, MAX_CONNECTIONS)
      || getsockname (fd, (struct sockaddr *)&a, &len))
    abort ();
  snprintf (address, size, "--entries=127.0.0.1:%d", ntohs (a.sin_port));
  return fd;
}

static void
measure (const char *folder, const char *name, int tasks, int seconds)
{
  struct entry e = { .tasks = tasks };
  char program[4096];
  char entries[64];
  snprintf (program, sizeof program, "%s/%s", folder, name);
  e.listener = open_listener (entries, sizeof entries);
  pid_t pid = fork ();
  if (pid == 0)
    {
      execl (program, name, "--id=node-00001", entries, (char *)NULL);
      _exit (127);
    }
  run_for (&e, SETTLE_MS);
  e.bytes = 0;
  e.requests = 0;
  run_for (&e, (long long)seconds * 1000);
  printf ("%s, %d tasks: %.1f bytes/s both ways, %.2f requests/s\n", name, tasks,
          (double)e.bytes / seconds, (double)e.requests / seconds);
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
  for (int i = 0; i < e.count; i++)
    {
      if (e.connections[i].fd >= 0)
        close (e.connections[i].fd);
      buffer_close (&e.connections[i].in);
    }
  close (e.listener);
}

int
main (int argc, char **argv)
{
  static const int tasks[] = { 0, 5, 10, 40 };
  int seconds = argc > 2 ? atoi (argv[2]) : 12;
  if (argc < 2 || seconds < 1)
    {
      fprintf (stderr, "usage: bench_client_bytes BUILD-DIR [SECONDS]\n");
      return 2;
    }
  for (size_t i = 0; i < sizeof tasks / sizeof tasks[0]; i++)
    measure (argv[1], "worker_standin", tasks[i], seconds);
  measure (argv[1], "runner_standin", 0, seconds);
  return 0;
}
