/* Stand-ins of the scripts in review/11 and later.

   rig worker ID IP:PORT SERVICE ZONE LOG CPU MEM_MB LABEL,... CHECKPOINT_BYTES CONTROL...
     A runner as PROTOCOL.md describes it, called by the system.  The spec of a task is "work MS"
     (it is done after that work, at the share that was set by /pace) or "forever".  LOG gets one
     line per event, with the Unix time in ms.  A checkpoint starts with 16 hexadecimal digits, the
     work done in ms, and is filled up to CHECKPOINT_BYTES.  A new one is listed with each 2 s of
     work and at a stop.  Tasks that last list a tail of 100 ms, and of 600 ms while LOG.load
   exists: their own users press them then.  While LOG.cut exists the runner is cut off: it runs on,
   but nothing reaches it and it reaches nobody; calls that it gets or answers then are lost.  While
     LOG.late exists, the first order to pace a task to 0 gets no answer and is carried out 8 s
   later. rig http METHOD IP:PORT PATH HOST [BODY [TIMEOUT_MS]] Sends one request, with the header
   RIG_HEADER of the environment if set; prints the status code, 000 without an answer, and the
   body.  */
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1100
#define SAVE_MS 2000
#define RESTORE_MS 250
#define STOP_MS 50
#define LATE_MS 8000
#define MAX_HOLD_MS 10000
#define MAX_ENDS_LISTED 500
#define MAX_RUNS 4096
#define MAX_TASKS 16384
#define MAX_BODY (4 << 20)
#define NAME 64

struct run
{
  char task[NAME];
  long run;
  long work_ms;   /* -1: forever */
  double done_ms; /* work done, with that of earlier runs */
  int share;      /* percent, set by /pace */
  int64_t began_ms;
  int64_t counted_ms; /* work is counted up to then */
  int64_t stop_ms;    /* when an ordered stop ends it; 0: none */
};

struct end
{
  long number;
  char task[NAME];
  long run;
  const char *how;
  char *saved;
};

struct task_seen
{
  char task[NAME];
  long run; /* highest that was stopped or ended */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct run runs[MAX_RUNS];
static size_t run_count;
static struct end *ends;
static size_t end_count, end_capacity;
static long last_end;
static struct task_seen seen[MAX_TASKS];
static size_t seen_count;
static int64_t fence, deadline_ms, born_ms, started_ms;
static int checkpoint_bytes;
static const char *id, *address, *service, *zone, *labels;
static int cpu, mem_mb;
static FILE *log_file;
static char load_file[512];
static char cut_file[512];
static char late_file[512];
static char drain_file[512];
static char leave_file[512];
static char late_task[NAME]; /* of an order that is carried out late */
static long late_run;
static int64_t late_ms; /* when; 0: none yet, -1: done */

static bool
is_cut (void)
{
  return cut_file[0] && access (cut_file, F_OK) == 0;
}

static int64_t
clock_of (clockid_t c)
{
  struct timespec t;
  clock_gettime (c, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* The runner's steady clock.  */
static int64_t
clock_ms (void)
{
  return clock_of (CLOCK_MONOTONIC) - started_ms + 1000;
}

static void
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (log_file, "%lld %s ", (long long)clock_of (CLOCK_REALTIME), id);
  vfprintf (log_file, format, args);
  fputc ('\n', log_file);
  fflush (log_file);
  va_end (args);
}

/* --- HTTP --- */

struct message
{
  char head[16384];
  char *body;
  size_t body_len;
};

static const char *
header (const struct message *m, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);
  for (const char *p = strstr (m->head, "\r\n"); p && p[2]; p = strstr (p + 2, "\r\n"))
    if (strncasecmp (p + 2, name, len) == 0 && p[2 + len] == ':')
      {
        const char *v = p + 3 + len;
        v += strspn (v, " ");
        snprintf (out, size, "%.*s", (int)strcspn (v, "\r"), v);
        return out;
      }
  return NULL;
}

static bool
read_some (int fd, char *to, size_t len, int64_t until_ms, size_t *got)
{
  struct pollfd p = { fd, POLLIN, 0 };
  int64_t left = until_ms ? until_ms - clock_of (CLOCK_MONOTONIC) : -1;
  if (until_ms && left <= 0)
    return false;
  if (poll (&p, 1, (int)left) <= 0)
    return false;
  ssize_t n = recv (fd, to, len, 0);
  if (n <= 0)
    return false;
  *got = (size_t)n;
  return true;
}

/* Reads one message; the other side sends nothing before it has an answer.  */
static bool
read_message (int fd, struct message *m, int64_t until_ms)
{
  size_t used = 0, got;
  char *end = NULL, text[64];
  m->body = NULL;
  m->body_len = 0;
  while (!end)
    {
      if (used + 1 >= sizeof m->head
          || !read_some (fd, m->head + used, sizeof m->head - 1 - used, until_ms, &got))
        return false;
      used += got;
      m->head[used] = '\0';
      end = strstr (m->head, "\r\n\r\n");
    }
  size_t head_len = (size_t)(end + 4 - m->head);
  size_t want = header (m, "Content-Length", text, sizeof text) ? strtoul (text, NULL, 10) : 0;
  if (want > MAX_BODY)
    return false;
  m->body = calloc (1, want + 1);
  size_t have = used - head_len < want ? used - head_len : want;
  memcpy (m->body, m->head + head_len, have);
  end[2] = '\0';
  while (have < want)
    {
      if (!read_some (fd, m->body + have, want - have, until_ms, &got))
        return false;
      have += got;
    }
  m->body_len = want;
  return true;
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

static bool
parse_address (const char *text, struct sockaddr_in *out)
{
  char host[64];
  int port;
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  if (sscanf (text, "%63[0-9.]:%d", host, &port) != 2
      || inet_pton (AF_INET, host, &out->sin_addr) != 1)
    return false;
  out->sin_port = htons ((uint16_t)port);
  return true;
}

static int
dial (const char *to, int timeout_ms)
{
  struct sockaddr_in a;
  if (!parse_address (to, &a))
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval t = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns the status code, 0 without an answer; *BODY is the caller's.  */
static int
request (const char *method, const char *to, const char *path, const char *host, const char *body,
         int timeout_ms, char **answer)
{
  int64_t until_ms = clock_of (CLOCK_MONOTONIC) + timeout_ms;
  struct message *m = calloc (1, sizeof *m);
  int code = 0;
  int fd = dial (to, timeout_ms);
  *answer = NULL;
  if (fd >= 0)
    {
      char *text;
      const char *more = getenv ("RIG_HEADER");
      int len = asprintf (
          &text,
          "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: "
          "%d\r\n%s%sContent-Length: %zu\r\nConnection: close\r\n\r\n%s",
          method, path, host, timeout_ms, more ? more : "", more ? "\r\n" : "", strlen (body),
          body);
      if (write_all (fd, text, (size_t)len) && read_message (fd, m, until_ms))
        {
          sscanf (m->head, "HTTP/1.%*d %d", &code);
          *answer = m->body;
          m->body = NULL;
        }
      free (text);
      close (fd);
    }
  free (m->body);
  free (m);
  return code;
}

/* --- runner --- */

static long
work_done (const struct run *r)
{
  return (long)r->done_ms;
}

static void
count_work (struct run *r, int64_t now)
{
  if (now > r->counted_ms)
    {
      r->done_ms += (double)(now - r->counted_ms) * r->share / 100;
      r->counted_ms = now;
    }
}

static char *
checkpoint_of (long work)
{
  char *text = malloc ((size_t)checkpoint_bytes + 32);
  int used = sprintf (text, "%016lx", work);
  while (used < checkpoint_bytes)
    text[used++] = 'c';
  text[used] = '\0';
  return text;
}

static char *
listed_checkpoint (const struct run *r)
{
  long saves = work_done (r) / SAVE_MS;
  return saves > 0 ? checkpoint_of (saves * SAVE_MS) : strdup ("");
}

static void
end_run (size_t i, const char *how)
{
  struct run r = runs[i];
  runs[i] = runs[--run_count];
  if (end_count == end_capacity)
    {
      end_capacity = end_capacity ? 2 * end_capacity : 64;
      struct end *larger = realloc (ends, end_capacity * sizeof *ends);
      if (!larger)
        abort ();
      ends = larger;
    }
  char *saved = strcmp (how, "done") == 0      ? strdup ("")
                : strcmp (how, "stopped") == 0 ? checkpoint_of (work_done (&r))
                                               : listed_checkpoint (&r);
  struct end e = { .number = ++last_end, .run = r.run, .how = how, .saved = saved };
  memcpy (e.task, r.task, sizeof e.task);
  ends[end_count++] = e;
  if (seen_count < MAX_TASKS)
    {
      memcpy (seen[seen_count].task, r.task, NAME);
      seen[seen_count++].run = r.run;
    }
  note ("end %s run=%ld how=%s number=%ld checkpoint_bytes=%zu", r.task, r.run, how, e.number,
        strlen (saved));
  pthread_cond_broadcast (&changed);
}

static void set_share (const char *task, long number, int percent);

static void *
keep_time (void *arg)
{
  bool lapsed = false;
  (void)arg;
  for (;;)
    {
      usleep (5000);
      pthread_mutex_lock (&lock);
      int64_t now = clock_ms ();
      if (now <= deadline_ms)
        lapsed = false;
      else if (!lapsed && deadline_ms > 0)
        {
          lapsed = true;
          note ("lease-over");
        }
      if (late_ms > 0 && now >= late_ms)
        {
          late_ms = -1;
          set_share (late_task, late_run, 0);
        }
      for (size_t i = 0; i < run_count;)
        {
          struct run *r = &runs[i];
          count_work (r, now);
          if (now > deadline_ms)
            end_run (i, "lapsed");
          else if (r->stop_ms > 0 && now >= r->stop_ms)
            end_run (i, "stopped");
          else if (r->work_ms >= 0 && work_done (r) >= r->work_ms)
            end_run (i, "done");
          else
            i++;
        }
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static json_t *
answer_fields (const char *reason)
{
  json_t *o
      = json_pack ("{s:I, s:I}", "clock_ms", (json_int_t)clock_ms (), "born", (json_int_t)born_ms);
  if (reason)
    json_object_set_new (o, "reason", json_string (reason));
  return o;
}

static void
adopt_deadline (const json_t *body)
{
  const json_t *v = json_object_get (body, "deadline_ms");
  if (!v)
    return;
  int64_t d = json_integer_value (v);
  int64_t most = clock_ms () + MAX_HOLD_MS;
  if (d > most)
    d = most;
  if (d > deadline_ms)
    deadline_ms = d;
}

static struct run *
find_run (const char *task, long number)
{
  for (size_t i = 0; i < run_count; i++)
    if (strcmp (runs[i].task, task) == 0 && (number == 0 || runs[i].run == number))
      return &runs[i];
  return NULL;
}

static long
highest_seen (const char *task)
{
  long run = 0;
  for (size_t i = 0; i < seen_count; i++)
    if (seen[i].run > run && strcmp (seen[i].task, task) == 0)
      run = seen[i].run;
  return run;
}

static int
start (const json_t *body, json_t **answer)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  const char *saved = json_string_value (json_object_get (body, "checkpoint"));
  long number = (long)json_integer_value (json_object_get (body, "run"));
  if (!task || !spec || number < 1 || strlen (task) >= NAME)
    {
      *answer = answer_fields (NULL);
      return 400;
    }
  if (find_run (task, number))
    {
      *answer = answer_fields (NULL);
      return 200;
    }
  if (json_integer_value (json_object_get (body, "deadline_ms")) < clock_ms ())
    {
      *answer = answer_fields ("late");
      return 409;
    }
  adopt_deadline (body);
  if (find_run (task, 0) || number <= highest_seen (task) || run_count == MAX_RUNS)
    {
      *answer = answer_fields ("old");
      return 409;
    }
  struct run *r = &runs[run_count++];
  *r = (struct run){
    .run = number, .work_ms = -1, .share = 100, .began_ms = clock_ms (), .counted_ms = clock_ms ()
  };
  snprintf (r->task, sizeof r->task, "%s", task);
  if (strncmp (spec, "work ", 5) == 0)
    r->work_ms = atol (spec + 5);
  if (saved && saved[0])
    {
      char digits[17];
      snprintf (digits, sizeof digits, "%s", saved);
      r->done_ms = (double)strtoll (digits, NULL, 16);
      r->counted_ms += RESTORE_MS;
    }
  note ("start %s run=%ld checkpoint_bytes=%zu", task, number, saved ? strlen (saved) : 0);
  *answer = answer_fields (NULL);
  return 200;
}

static int
stop (const json_t *body, json_t **answer)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  long number = (long)json_integer_value (json_object_get (body, "run"));
  *answer = answer_fields (NULL);
  if (!task || strlen (task) >= NAME)
    return 400;
  struct run *r = find_run (task, number);
  if (r && r->stop_ms == 0)
    {
      r->stop_ms = clock_ms () + STOP_MS;
      note ("stop-ordered %s run=%ld", task, number);
    }
  else if (!r && seen_count < MAX_TASKS && number > highest_seen (task))
    {
      snprintf (seen[seen_count].task, NAME, "%s", task);
      seen[seen_count++].run = number;
    }
  return 200;
}

static void
set_share (const char *task, long number, int percent)
{
  struct run *r = find_run (task, number);
  if (!r)
    return;
  count_work (r, clock_ms ());
  r->share = percent;
  note ("pace %s run=%ld percent=%d work_done_ms=%ld", task, number, percent, work_done (r));
}

static int
pace (const json_t *body, json_t **answer)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  long number = (long)json_integer_value (json_object_get (body, "run"));
  int percent = (int)json_integer_value (json_object_get (body, "percent"));
  *answer = answer_fields (NULL);
  if (!task || percent < 0 || percent > 100)
    return 400;
  if (percent == 0 && late_ms == 0 && strlen (task) < NAME && access (late_file, F_OK) == 0)
    {
      snprintf (late_task, NAME, "%s", task);
      late_run = number;
      late_ms = clock_ms () + LATE_MS;
      note ("unanswered-pace %s run=%ld percent=0", task, number);
      return 0;
    }
  set_share (task, number, percent);
  return 200;
}

/* Of a task that lasts, its tail in ms; of others, the processor in use.  */
static int
measure_of (const struct run *r)
{
  return r->work_ms < 0 ? (access (load_file, F_OK) == 0 ? 600 : 100) : 10 * r->share;
}

static json_t *
lists (void)
{
  json_t *o = answer_fields (NULL);
  json_t *running = json_array ();
  json_t *finished = json_array ();
  for (size_t i = 0; i < run_count; i++)
    {
      char *saved = listed_checkpoint (&runs[i]);
      int percent = runs[i].work_ms > 0 ? (int)(100 * work_done (&runs[i]) / runs[i].work_ms) : 100;
      json_array_append_new (running,
                             json_pack ("[s,I,s,i,i]", runs[i].task, (json_int_t)runs[i].run, saved,
                                        percent, measure_of (&runs[i])));
      free (saved);
    }
  for (size_t i = 0; i < end_count && i < MAX_ENDS_LISTED; i++)
    json_array_append_new (finished,
                           json_pack ("[I,s,I,s,s]", (json_int_t)ends[i].number, ends[i].task,
                                      (json_int_t)ends[i].run, ends[i].how, ends[i].saved));
  json_object_set_new (o, "running", running);
  json_object_set_new (o, "finished", finished);
  return o;
}

static int
hold (const json_t *body, json_t **answer)
{
  long cursor = (long)json_integer_value (json_object_get (body, "ack_cursor"));
  long wait_ms = (long)json_integer_value (json_object_get (body, "wait_ms"));
  adopt_deadline (body);
  size_t drop = 0;
  while (drop < end_count && ends[drop].number <= cursor)
    free (ends[drop++].saved);
  memmove (ends, ends + drop, (end_count - drop) * sizeof *ends);
  end_count -= drop;
  if (drop > 0)
    note ("acknowledged up to=%ld not_acknowledged=%zu", cursor, end_count);
  long known = last_end;
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += wait_ms % 1000 * 1000000;
  until.tv_sec += wait_ms / 1000 + until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  while (wait_ms > 0 && last_end == known)
    if (pthread_cond_timedwait (&changed, &lock, &until) == ETIMEDOUT)
      break;
  *answer = lists ();
  return 200;
}

static int
handle (const struct message *m, json_t **answer)
{
  char path[256] = "", expected[256];
  sscanf (m->head, "%*s %255s", path);
  json_t *body = json_loadb (m->body ? m->body : "", m->body_len, 0, NULL);
  int code = 404;
  pthread_mutex_lock (&lock);
  if (header (m, "Expect-Instance", expected, sizeof expected) && strcmp (expected, id) != 0)
    code = 421;
  else if (strncmp (path, "/sassafrasstall/", 16) == 0 && body)
    {
      int64_t f = json_integer_value (json_object_get (body, "fence"));
      if (f < fence)
        {
          *answer = answer_fields ("fence");
          code = 409;
        }
      else
        {
          fence = f;
          if (strcmp (path, "/sassafrasstall/run-start") == 0)
            code = start (body, answer);
          else if (strcmp (path, "/sassafrasstall/run-stop") == 0)
            code = stop (body, answer);
          else if (strcmp (path, "/sassafrasstall/hold") == 0)
            code = hold (body, answer);
          else if (strcmp (path, "/sassafrasstall/pace") == 0)
            code = pace (body, answer);
        }
    }
  if (!*answer)
    *answer = answer_fields (NULL);
  pthread_mutex_unlock (&lock);
  json_decref (body);
  return code;
}

static void *
serve (void *arg)
{
  int fd = (int)(intptr_t)arg;
  struct message *m = calloc (1, sizeof *m);
  bool lost = false;
  while (!lost && read_message (fd, m, 0))
    {
      json_t *answer = NULL;
      lost = is_cut ();
      int code = lost ? 0 : handle (m, &answer);
      lost = lost || is_cut () || code == 0;
      if (lost)
        {
          char byte;
          while (is_cut ())
            usleep (20000);
          while (code == 0 && recv (fd, &byte, 1, 0) > 0)
            ;
          json_decref (answer);
          break;
        }
      char *text = json_dumps (answer, JSON_COMPACT);
      char *out;
      int len = asprintf (
          &out, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
          code, strlen (text), text);
      bool ok = write_all (fd, out, (size_t)len);
      json_decref (answer);
      free (text);
      free (out);
      free (m->body);
      m->body = NULL;
      if (!ok)
        break;
    }
  free (m->body);
  free (m);
  close (fd);
  return NULL;
}

static void *
accept_all (void *arg)
{
  int listener = (int)(intptr_t)arg;
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      pthread_t t;
      if (fd >= 0 && pthread_create (&t, NULL, serve, (void *)(intptr_t)fd) == 0)
        pthread_detach (t);
    }
  return NULL;
}

static json_t *
label_list (void)
{
  json_t *list = json_array ();
  char *copy = strdup (labels), *save = NULL;
  for (char *p = strtok_r (copy, ",", &save); p; p = strtok_r (NULL, ",", &save))
    json_array_append_new (list, json_string (p));
  free (copy);
  return list;
}

static void
send_heartbeat (char *control, size_t size, long seq, char **all, int count)
{
  static int next;
  static bool told;
  bool drains = access (drain_file, F_OK) == 0;
  char path[256], *answer;
  json_t *o
      = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:o, s:I, s:I, s:I}",
                   "service", service, "address", address, "zone", zone, "version", "v1", "slots",
                   8, "state", drains ? "draining" : "ready", "cold_left_ms", 0, "capacity", "cpu",
                   cpu, "mem_mb", mem_mb, "gpu", 0, "labels", label_list (), "clock_ms",
                   (json_int_t)clock_ms (), "seq", (json_int_t)seq, "born", (json_int_t)born_ms);
  char *text = json_dumps (o, JSON_COMPACT);
  snprintf (path, sizeof path, "/sassafrasstall/instances/%s", id);
  for (int attempt = 0; attempt < 3; attempt++)
    {
      if (is_cut ())
        break;
      if (!control[0])
        snprintf (control, size, "%s", all[next++ % count]);
      int code = request ("PUT", control, path, control, text, 1000, &answer);
      json_t *a = answer ? json_loads (answer, 0, NULL) : NULL;
      const char *to = json_string_value (json_object_get (a, "heartbeat_addr"));
      if (code / 100 == 2 && to)
        snprintf (control, size, "%s", to);
      else if (code / 100 != 2)
        control[0] = '\0';
      json_decref (a);
      free (answer);
      if (code / 100 == 2 && drains && !told)
        {
          told = true;
          note ("drain-acknowledged");
        }
      if (code / 100 == 2)
        break;
    }
  free (text);
  json_decref (o);
}

/* Ends the process.  */
static void
leave (const char *control, char **all, int count)
{
  char path[256], *answer;
  int64_t until_ms = clock_ms () + 2000;
  int code = 0;
  snprintf (path, sizeof path, "/sassafrasstall/instances/%s", id);
  for (int i = -1; code / 100 != 2 && clock_ms () < until_ms; i++)
    {
      code = request ("DELETE", i < 0 && control[0] ? control : all[(i + 1) % count], path, "x", "",
                      1000, &answer);
      free (answer);
      if (code / 100 != 2)
        usleep (100000);
    }
  note ("ends departure=%03d", code);
  _exit (0);
}

static int
run_worker (int argc, char **argv)
{
  struct sockaddr_in a;
  pthread_t t;
  char control[64] = "";
  int one = 1;
  if (argc < 12)
    return 2;
  id = argv[2];
  address = argv[3];
  service = argv[4];
  zone = argv[5];
  log_file = fopen (argv[6], "a");
  snprintf (load_file, sizeof load_file, "%s.load", argv[6]);
  snprintf (cut_file, sizeof cut_file, "%s.cut", argv[6]);
  snprintf (late_file, sizeof late_file, "%s.late", argv[6]);
  snprintf (drain_file, sizeof drain_file, "%s.drain", argv[6]);
  snprintf (leave_file, sizeof leave_file, "%s.leave", argv[6]);
  cpu = atoi (argv[7]);
  mem_mb = atoi (argv[8]);
  labels = argv[9];
  checkpoint_bytes = atoi (argv[10]);
  born_ms = clock_of (CLOCK_REALTIME);
  started_ms = clock_of (CLOCK_MONOTONIC);
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (!log_file || !parse_address (address, &a) || bind (listener, (struct sockaddr *)&a, sizeof a)
      || listen (listener, 128))
    return 2;
  note ("born");
  pthread_create (&t, NULL, keep_time, NULL);
  pthread_create (&t, NULL, accept_all, (void *)(intptr_t)listener);
  for (long seq = 1;; seq++)
    {
      int64_t next_ms = clock_ms () + HEARTBEAT_MS;
      send_heartbeat (control, sizeof control, seq, argv + 11, argc - 11);
      bool drained = access (drain_file, F_OK) == 0;
      while (clock_ms () < next_ms && access (leave_file, F_OK) != 0
             && drained == (access (drain_file, F_OK) == 0))
        usleep (20000);
      if (access (leave_file, F_OK) == 0)
        leave (control, argv + 11, argc - 11);
    }
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc > 1 && strcmp (argv[1], "worker") == 0)
    return run_worker (argc, argv);
  if (argc < 6 || strcmp (argv[1], "http") != 0)
    return 2;
  char *answer;
  int code = request (argv[2], argv[3], argv[4], argv[5], argc > 6 ? argv[6] : "",
                      argc > 7 ? atoi (argv[7]) : 3000, &answer);
  printf ("%03d %s\n", code, answer ? answer : "");
  free (answer);
  return 0;
}
