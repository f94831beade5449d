/* rig: small stand-ins for the scripts in review/6 and later.

   rig runner ID IP:PORT SERVICE ZONE CPU CHECKPOINT-BYTES BEAT-MS MAX-HOLD-MS CONTROL...
       A runner.  The spec of a task is its run time in milliseconds, and may begin with a word and
   a space; after the word "fails" its runs end failed.  SIGTERM: it drains, leaves and ends.
   SIGKILL: a crash.  Each line on standard output is "MS RUNNER start TASK RUN", "MS RUNNER end
   TASK RUN HOW" or another event. rig proxy LISTEN TARGET Forwards connections.  SIGUSR1: a
   partition, bytes wait.  SIGUSR2: the partition heals. rig call TIMEOUT-MS METHOD IP:PORT PATH
   HOST [BODY] Prints the status code (000: no answer), a space and the body. rig now Prints the
   Unix time in milliseconds.  */
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define MAX_TASKS 4096
#define MAX_ENDS 8192
#define MAX_CONTROL 8
#define LIST_MAX 500
#define DRAIN_MS 3000
#define ANSWER_MS 1000 /* a call to control counts as failed after it */

static int64_t
read_ms (clockid_t id)
{
  struct timespec t;
  clock_gettime (id, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t
wall_ms (void)
{
  return read_ms (CLOCK_REALTIME);
}

static int64_t
steady_ms (void)
{
  return read_ms (CLOCK_MONOTONIC);
}

static void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };
  nanosleep (&t, NULL);
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  char ip[64];
  int port = 0;
  if (sscanf (text, "%63[^:]:%d", ip, &port) != 2 || inet_pton (AF_INET, ip, &a.sin_addr) != 1)
    {
      fprintf (stderr, "bad address %s\n", text);
      exit (2);
    }
  a.sin_port = htons ((uint16_t)port);
  return a;
}

static int
listen_on (const char *address)
{
  struct sockaddr_in a = parse_address (address);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) < 0 || listen (fd, 128) < 0)
    {
      perror (address);
      exit (2);
    }
  return fd;
}

static int
connect_to (const char *address, int timeout_ms)
{
  struct sockaddr_in a = parse_address (address);
  int one = 1;
  struct timeval t = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
write_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* A message with its head and its whole body.  */
struct message
{
  char *data;
  size_t len, head_len, body_len;
};

/* Length of the head and of the body once both are known to be whole; false while they are not.  */
static bool
is_whole (struct message *m)
{
  const char *end = m->len ? strstr (m->data, "\r\n\r\n") : NULL;
  if (!end)
    return false;
  m->head_len = (size_t)(end - m->data) + 4;
  m->body_len = 0;
  const char *field = strcasestr (m->data, "\r\nContent-Length:");
  if (field && field < end)
    m->body_len = strtoul (field + 17, NULL, 10);
  return m->len >= m->head_len + m->body_len;
}

/* Reads one message; DEADLINE is on the steady clock, 0: none.  */
static bool
read_message (int fd, struct message *m, int64_t deadline_ms)
{
  while (!is_whole (m))
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int64_t left_ms = deadline_ms ? deadline_ms - steady_ms () : -1;
      if (deadline_ms && left_ms <= 0)
        return false;
      if (poll (&p, 1, (int)left_ms) <= 0)
        return false;
      m->data = realloc (m->data, m->len + 65537);
      ssize_t n = recv (fd, m->data + m->len, 65536, 0);
      if (n <= 0)
        return false;
      m->len += (size_t)n;
      m->data[m->len] = '\0';
    }
  return true;
}

/* Sends a request; returns the status code, 0 without a whole answer.  *BODY is to be freed.  */
static int
call (int timeout_ms, const char *method, const char *address, const char *path, const char *host,
      const char *text, char **body)
{
  int64_t deadline_ms = steady_ms () + timeout_ms;
  struct message m = { 0 };
  char *head = NULL;
  int code = 0;
  *body = NULL;
  int fd = connect_to (address, timeout_ms);
  if (fd < 0)
    return 0;
  size_t len = text ? strlen (text) : 0;
  int n = asprintf (&head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                    "Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
                    method, path, host, timeout_ms, len);
  if (write_all (fd, head, (size_t)n) && write_all (fd, text, len)
      && read_message (fd, &m, deadline_ms))
    {
      code = atoi (m.data + 9);
      *body = strndup (m.data + m.head_len, m.body_len);
    }
  free (head);
  free (m.data);
  close (fd);
  return code;
}

/* ---- proxy ---- */

static volatile sig_atomic_t held;

static void
on_hold (int signal)
{
  held = signal == SIGUSR1;
}

struct pipe
{
  int from, to;
};

/* Copies bytes of one direction; while the partition lasts, bytes and closes wait.  */
static void *
copy_bytes (void *arg)
{
  struct pipe *p = arg;
  char data[16384];
  ssize_t n;
  while ((n = recv (p->from, data, sizeof data, 0)) > 0)
    {
      while (held)
        sleep_ms (20);
      if (!write_all (p->to, data, (size_t)n))
        break;
    }
  while (held)
    sleep_ms (20);
  shutdown (p->to, SHUT_WR);
  free (p);
  return NULL;
}

struct proxied
{
  int fd;
  const char *target;
};

static void *
serve_proxied (void *arg)
{
  struct proxied *c = arg;
  pthread_t threads[2];
  while (held)
    sleep_ms (20);
  int to = connect_to (c->target, 2000);
  if (to >= 0)
    {
      for (int i = 0; i < 2; i++)
        {
          struct pipe *p = malloc (sizeof *p);
          *p = i ? (struct pipe){ to, c->fd } : (struct pipe){ c->fd, to };
          pthread_create (&threads[i], NULL, copy_bytes, p);
        }
      for (int i = 0; i < 2; i++)
        pthread_join (threads[i], NULL);
      close (to);
    }
  close (c->fd);
  free (c);
  return NULL;
}

static void
run_proxy (char **args)
{
  signal (SIGUSR1, on_hold);
  signal (SIGUSR2, on_hold);
  int listener = listen_on (args[0]);
  for (;;)
    {
      pthread_t thread;
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        continue;
      struct proxied *c = malloc (sizeof *c);
      *c = (struct proxied){ fd, args[1] };
      pthread_create (&thread, NULL, serve_proxied, c);
      pthread_detach (thread);
    }
}

/* ---- runner ---- */

struct task
{
  char name[64];
  json_int_t run;
  int64_t started_ms, ends_ms;
  bool running, fails;
  json_int_t refused_run; /* the highest that was stopped or has ended here */
};

struct end
{
  json_int_t number, run;
  char name[64];
  const char *how;
};

static struct
{
  const char *id, *address, *service, *zone;
  const char *control[MAX_CONTROL];
  int control_count, next_control;
  int cpu, checkpoint_bytes, beat_ms, max_hold_ms;
  int64_t born_ms, steady_born_ms, lease_ms;
  json_int_t fence, last_end, acknowledged, sequence;
  struct task tasks[MAX_TASKS];
  int task_count;
  struct end ends[MAX_ENDS];
  int end_count;
  bool draining;
} w;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t ended = PTHREAD_COND_INITIALIZER;
static volatile sig_atomic_t stop_asked;

static void
record (const char *format, ...)
{
  char line[512];
  va_list ap;
  int n = snprintf (line, sizeof line, "%" PRId64 " %s ", wall_ms (), w.id);
  va_start (ap, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, format, ap);
  va_end (ap);
  line[n++] = '\n';
  if (write (1, line, (size_t)n) < 0)
    exit (2);
}

static int64_t
clock_of_runner (void)
{
  return 100000 + steady_ms () - w.steady_born_ms;
}

static void
end_task (struct task *t, const char *how)
{
  t->running = false;
  t->refused_run = t->run;
  struct end *e = &w.ends[w.end_count++ % MAX_ENDS];
  *e = (struct end){ .number = ++w.last_end, .run = t->run, .how = how };
  snprintf (e->name, sizeof e->name, "%s", t->name);
  record ("end %s %d %s", t->name, (int)t->run, how);
  pthread_cond_broadcast (&ended);
}

/* Ends what is over.  A lapsed lease ends everything.  */
static void
update (void)
{
  int64_t now_ms = clock_of_runner ();
  for (int i = 0; i < w.task_count; i++)
    if (w.tasks[i].running && (now_ms >= w.tasks[i].ends_ms || now_ms > w.lease_ms))
      end_task (&w.tasks[i], now_ms > w.lease_ms ? "lapsed" : w.tasks[i].fails ? "failed" : "done");
}

static void *
keep_time (void *arg)
{
  for (;;)
    {
      sleep_ms (5);
      pthread_mutex_lock (&lock);
      update ();
      pthread_mutex_unlock (&lock);
    }
  return arg;
}

static struct task *
find_task (const char *name)
{
  for (int i = 0; i < w.task_count; i++)
    if (strcmp (w.tasks[i].name, name) == 0)
      return &w.tasks[i];
  struct task *t = &w.tasks[w.task_count++];
  *t = (struct task){ .run = 0 };
  snprintf (t->name, sizeof t->name, "%s", name);
  return t;
}

static json_int_t
number_of (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
raise_lease (json_int_t deadline_ms)
{
  int64_t most_ms = clock_of_runner () + w.max_hold_ms;
  if (deadline_ms > most_ms)
    deadline_ms = most_ms;
  if (deadline_ms > w.lease_ms)
    w.lease_ms = deadline_ms;
}

static json_t *
refusal (const char *reason)
{
  return json_pack ("{s:I, s:s}", "clock_ms", (json_int_t)clock_of_runner (), "reason", reason);
}

static json_t *
plain_answer (void)
{
  return json_pack ("{s:I}", "clock_ms", (json_int_t)clock_of_runner ());
}

static int
start (const json_t *body, json_t **answer)
{
  const char *name = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  const char *checkpoint = json_string_value (json_object_get (body, "checkpoint"));
  json_int_t run = number_of (body, "run");
  json_int_t deadline_ms = number_of (body, "deadline_ms");
  if (!name || !spec)
    return 400;
  struct task *t = find_task (name);
  raise_lease (deadline_ms);
  if (t->running && t->run == run)
    return 200;
  if (run <= t->refused_run || t->running)
    {
      *answer = refusal ("old");
      return 409;
    }
  if (deadline_ms <= clock_of_runner ())
    {
      *answer = refusal ("late");
      return 409;
    }
  const char *text = strrchr (spec, ' ') ? strrchr (spec, ' ') + 1 : spec;
  t->run = run;
  t->running = true;
  t->fails = strncmp (spec, "fails ", 6) == 0;
  t->started_ms = clock_of_runner ();
  t->ends_ms = t->started_ms + atoll (text);
  record ("start %s %d fence=%d checkpoint_bytes=%zu", name, (int)run, (int)w.fence,
          checkpoint ? strlen (checkpoint) : 0);
  return 200;
}

static int
stop (const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "task"));
  json_int_t run = number_of (body, "run");
  if (!name)
    return 400;
  struct task *t = find_task (name);
  if (t->running && t->run == run)
    end_task (t, "stopped");
  else if (run > t->refused_run)
    t->refused_run = run;
  return 200;
}

static char *
checkpoint_of (const struct task *t)
{
  int bytes = t->running ? w.checkpoint_bytes : 0;
  char *text = calloc ((size_t)bytes + 1, 1);
  for (int i = 0; i < bytes; i++)
    text[i] = "0123456789abcdef"[(i + (int)t->run) % 16];
  return text;
}

static json_t *
lists (void)
{
  json_t *running = json_array ();
  json_t *finished = json_array ();
  for (int i = 0; i < w.task_count; i++)
    if (w.tasks[i].running)
      {
        char *saved = checkpoint_of (&w.tasks[i]);
        json_array_append_new (
            running, json_pack ("[s, I, s, i, i]", w.tasks[i].name, w.tasks[i].run, saved, 50, 1));
        free (saved);
      }
  int first = w.end_count > MAX_ENDS ? w.end_count - MAX_ENDS : 0;
  for (int i = first; i < w.end_count && json_array_size (finished) < LIST_MAX; i++)
    {
      const struct end *e = &w.ends[i % MAX_ENDS];
      if (e->number > w.acknowledged)
        json_array_append_new (
            finished, json_pack ("[I, s, I, s, s]", e->number, e->name, e->run, e->how, ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)clock_of_runner (), "born",
                    (json_int_t)w.born_ms, "running", running, "finished", finished);
}

static int
hold (const json_t *body, json_t **answer)
{
  json_int_t cursor = number_of (body, "ack_cursor");
  int64_t until_ms = steady_ms () + number_of (body, "wait_ms");
  raise_lease (number_of (body, "deadline_ms"));
  if (cursor > w.acknowledged)
    {
      w.acknowledged = cursor;
      record ("noted %d", (int)cursor);
    }
  while (w.last_end <= w.acknowledged && steady_ms () < until_ms)
    {
      struct timespec t;
      clock_gettime (CLOCK_REALTIME, &t);
      t.tv_nsec += 10000000;
      if (t.tv_nsec >= 1000000000)
        {
          t.tv_sec++;
          t.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&ended, &lock, &t);
    }
  *answer = lists ();
  return 200;
}

static int
handle (const struct message *m, json_t **answer)
{
  char method[16], path[256], expected[128] = "";
  if (sscanf (m->data, "%15s %255s", method, path) != 2)
    return 400;
  const char *field = strcasestr (m->data, "\r\nExpect-Instance:");
  if (field && field < m->data + m->head_len)
    sscanf (field + 18, " %127s", expected);
  if (expected[0] && strcmp (expected, w.id) != 0)
    return 421;
  if (strcmp (method, "GET") == 0)
    return 200;
  json_t *body = json_loadb (m->data + m->head_len, m->body_len, 0, NULL);
  if (!body)
    return 400;
  int code;
  pthread_mutex_lock (&lock);
  update ();
  if (number_of (body, "fence") < w.fence)
    {
      *answer = refusal ("fence");
      code = 409;
    }
  else
    {
      w.fence = number_of (body, "fence");
      if (strcmp (path, "/sassafrasstall/run-start") == 0)
        code = start (body, answer);
      else if (strcmp (path, "/sassafrasstall/run-stop") == 0)
        code = stop (body);
      else if (strcmp (path, "/sassafrasstall/hold") == 0)
        code = hold (body, answer);
      else if (strcmp (path, "/sassafrasstall/pace") == 0)
        code = 200;
      else
        code = 404;
    }
  if (!*answer)
    *answer = plain_answer ();
  pthread_mutex_unlock (&lock);
  json_decref (body);
  return code;
}

static void *
serve_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  struct message m = { 0 };
  bool open = true;
  while (open && read_message (fd, &m, 0))
    {
      json_t *answer = NULL;
      char *head = NULL;
      int code = handle (&m, &answer);
      char *text = answer ? json_dumps (answer, JSON_COMPACT) : strdup ("{}");
      int n = asprintf (&head,
                        "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        code, strlen (text), text);
      open = write_all (fd, head, (size_t)n);
      size_t used = m.head_len + m.body_len;
      memmove (m.data, m.data + used, m.len - used + 1);
      m.len -= used;
      free (head);
      free (text);
      json_decref (answer);
    }
  free (m.data);
  close (fd);
  return NULL;
}

static void *
serve (void *arg)
{
  int listener = (int)(intptr_t)arg;
  for (;;)
    {
      pthread_t thread;
      int one = 1;
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      pthread_create (&thread, NULL, serve_connection, (void *)(intptr_t)fd);
      pthread_detach (thread);
    }
  return arg;
}

/* Sends METHOD to the control addresses in turn, one attempt; true if one acknowledged it.  */
static bool
tell_control (const char *method, const char *text)
{
  char path[256];
  char *body;
  const char *target = w.control[w.next_control % w.control_count];
  snprintf (path, sizeof path, "/sassafrasstall/instances/%s", w.id);
  int code = call (ANSWER_MS, method, target, path, "control", text, &body);
  free (body);
  if (strcmp (method, "DELETE") == 0)
    record ("leave sent to %s, answer %d", target, code);
  if (code / 100 == 2)
    return true;
  w.next_control++;
  return false;
}

static bool
beat (void)
{
  json_t *r = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}", "service",
      w.service, "address", w.address, "zone", w.zone, "version", "v1", "slots", 8, "state",
      w.draining ? "draining" : "ready", "cold_left_ms", 0, "capacity", "cpu", w.cpu, "mem_mb",
      64000, "gpu", 0, "labels", "a", "r1-1", "clock_ms", (json_int_t)clock_of_runner (), "seq",
      ++w.sequence, "born", (json_int_t)w.born_ms);
  if (w.draining)
    json_object_set_new (r, "remaining_ms", json_integer (DRAIN_MS));
  char *text = json_dumps (r, JSON_COMPACT);
  bool ok = tell_control ("PUT", text);
  free (text);
  json_decref (r);
  return ok;
}

static void
on_term (int signal)
{
  stop_asked = signal;
}

/* Drains, leaves and ends: what still runs ends with the runner.  */
static void
leave (void)
{
  w.draining = true;
  while (!beat ())
    sleep_ms (50);
  record ("draining");
  int64_t end_ms = steady_ms () + DRAIN_MS + 200;
  while (steady_ms () < end_ms)
    {
      sleep_ms (w.beat_ms < 500 ? w.beat_ms : 500);
      beat ();
    }
  w.next_control = 0;
  for (int i = 0; i < 2 * w.control_count && !tell_control ("DELETE", NULL); i++)
    ;
  pthread_mutex_lock (&lock);
  for (int i = 0; i < w.task_count; i++)
    if (w.tasks[i].running)
      record ("end %s %d left", w.tasks[i].name, (int)w.tasks[i].run);
  record ("left");
  exit (0);
}

static int
run_runner (int argc, char **args)
{
  pthread_t thread;
  if (argc < 9)
    return 2;
  w.id = args[0];
  w.address = args[1];
  w.service = args[2];
  w.zone = args[3];
  w.cpu = atoi (args[4]);
  w.checkpoint_bytes = atoi (args[5]);
  w.beat_ms = atoi (args[6]);
  w.max_hold_ms = atoi (args[7]);
  for (int i = 8; i < argc && w.control_count < MAX_CONTROL; i++)
    w.control[w.control_count++] = args[i];
  w.born_ms = wall_ms ();
  w.steady_born_ms = steady_ms ();
  signal (SIGTERM, on_term);
  int listener = listen_on (w.address);
  record ("born");
  pthread_create (&thread, NULL, serve, (void *)(intptr_t)listener);
  pthread_create (&thread, NULL, keep_time, NULL);
  int64_t next_ms = 0;
  while (!stop_asked)
    {
      if (steady_ms () >= next_ms)
        next_ms = steady_ms () + (beat () ? w.beat_ms : 50);
      sleep_ms (10);
    }
  leave ();
  return 0;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc >= 2 && strcmp (argv[1], "now") == 0)
    {
      printf ("%" PRId64 "\n", wall_ms ());
      return 0;
    }
  if (argc >= 4 && strcmp (argv[1], "proxy") == 0)
    run_proxy (argv + 2);
  if (argc >= 7 && strcmp (argv[1], "call") == 0)
    {
      char *body;
      int code = call (atoi (argv[2]), argv[3], argv[4], argv[5], argv[6],
                       argc > 7 ? argv[7] : NULL, &body);
      printf ("%03d %s\n", code, body ? body : "");
      free (body);
      return 0;
    }
  if (argc >= 11 && strcmp (argv[1], "runner") == 0)
    return run_runner (argc - 2, argv + 2);
  fputs ("see the head of rig.c\n", stderr);
  return 2;
}
