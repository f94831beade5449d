/* Simulated clients and operator of the soak test, and the invariants that are checked.  */
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define JOB_INTERVAL_MS 120
#define DEADLINE_MS 3000
#define MAX_ATTEMPTS 12
#define STATE_INTERVAL_MS 700
#define CANCEL_PROBABILITY 0.1
#define CANCEL_LIMIT_MS 4000 /* specified bound after which a cancelled job starts no task */
#define CONFIG_INTERVAL_MS 1500
#define READ_INTERVAL_MS 400
#define CONFIG_APPLY_LIMIT_MS 3000 /* specified bound after which no older version is read */
#define BODY_BYTES 900

void
report_violation (struct soak *s, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (stdout, "VIOLATION at %" PRId64 " ms: ", s->now_ms);
  vfprintf (stdout, format, args);
  fprintf (stdout, "\n");
  va_end (args);
  s->violations++;
}

static struct soak_job *
find_job (struct soak *s, uint64_t id)
{
  for (size_t i = 0; i < s->job_count; i++)
    if (s->jobs[i].id == id)
      return &s->jobs[i];
  return NULL;
}

/* Finds the task named ID.K.STEP.INDEX; a task that was never submitted is a violation.  */
static struct soak_task *
find_task (struct soak *s, const char *name, struct soak_job **job, int *step)
{
  uint64_t id;
  int occurrence;
  int index;
  bool read = sscanf (name, "%16" SCNx64 ".%d.%d.%d", &id, &occurrence, step, &index) == 4;
  *job = read ? find_job (s, id) : NULL;
  int at = *step == 0 ? index : FIRST_STEP_TASKS + index;
  if (*job && occurrence == 0 && at >= 0 && at < JOB_TASKS)
    return &(*job)->tasks[at];
  report_violation (s, "UNREQUESTED: task %s", name);
  return NULL;
}

void
task_started (struct soak *s, const char *name, int run)
{
  struct soak_job *j;
  int step;
  struct soak_task *t = find_task (s, name, &j, &step);
  if (!t)
    return;
  if (++t->running > 1)
    report_violation (s, "TWICE: %s run %d starts while another run is active", name, run);
  if (t->done && t->end_acknowledged)
    report_violation (s, "TWICE: %s run %d starts after its end was acknowledged", name, run);
  t->last_run = run > t->last_run ? run : t->last_run;
  for (int i = 0; step > 0 && i < FIRST_STEP_TASKS; i++)
    if (!j->tasks[i].done)
      report_violation (s, "ORDER: %s run %d starts before task %d of the first step is done", name,
                        run, i);
  if (j->state == JOB_REFUSED)
    report_violation (s, "REFUSED: %s run %d starts", name, run);
  if (j->cancelled_ms && s->now_ms - j->cancelled_ms > CANCEL_LIMIT_MS)
    report_violation (s, "UNREQUESTED: %s run %d starts %" PRId64 " ms after the cancel", name, run,
                      s->now_ms - j->cancelled_ms);
  t->starts++;
}

void
task_ended (struct soak *s, const char *name, bool done)
{
  struct soak_job *j;
  int step;
  struct soak_task *t = find_task (s, name, &j, &step);
  if (!t)
    return;
  t->running--;
  t->done = t->done || done;
}

void
task_end_acknowledged (struct soak *s, const char *name, int run)
{
  struct soak_job *j;
  int step;
  struct soak_task *t = find_task (s, name, &j, &step);
  if (!t)
    return;
  if (t->last_run > run)
    report_violation (s, "TWICE: %s run %d started before the end of run %d was acknowledged", name,
                      t->last_run, run);
  t->end_acknowledged = true;
}

static void
call_front (struct soak_job *j, const char *method, const char *body, http_answer_fn *done)
{
  struct soak *s = j->soak;
  static const char *const headers[] = { "Host: h.example", "Content-Type: application/json",
                                         "Deadline-Ms: 3000", "X-Api-Key: lasting-key", NULL };
  char url[SOAK_PATH_BYTES];
  snprintf (url, sizeof url, "http://%s.%d:%d/q/%016" PRIx64, s->net,
            HOST_FRONT (1 + (int)rng_below (&s->rng, SOAK_FRONTS)), CUSTOMER_PORT, j->id);
  const struct http_call call = { .method = method,
                                  .url = url,
                                  .headers = headers,
                                  .body = body,
                                  .body_len = body ? strlen (body) : 0,
                                  .timeout_ms = DEADLINE_MS,
                                  .done = done,
                                  .done_arg = j };
  j->call_pending = true;
  http_client_send (s->client, &call);
}

static void
on_submitted (void *arg, const struct http_answer *a)
{
  struct soak_job *j = arg;
  struct soak *s = j->soak;
  bool refused = a->code == 429 || a->code == 503 || a->code == 404;
  j->call_pending = false;
  j->next_ms = s->now_ms + (a->retry_after_s > 0 ? a->retry_after_s * 1000 : 300);
  if (a->code == 200)
    j->state = JOB_ACCEPTED;
  else if (a->code == 400 || a->code == 401 || a->code == 500)
    report_violation (s, "job %016" PRIx64 " got answer %d", j->id, a->code);
  /* A request whose connection failed was never sent.  */
  j->outcome_unknown = j->outcome_unknown || (!refused && a->code != 200 && a->sent);
  if (j->state == JOB_SENDING && (++j->attempts >= MAX_ATTEMPTS || s->faults_over))
    j->state = j->outcome_unknown ? JOB_UNKNOWN : JOB_REFUSED;
}

static void
submit (struct soak_job *j)
{
  char body[BODY_BYTES];
  /* A retry must have the same body, so the run time of a task is derived from the id.  */
  snprintf (body, sizeof body,
            "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":1000,\"mem_mb\":100,"
            "\"estimate_ms\":200},{\"count\":%d,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":200,"
            "\"after\":[0]}]}",
            50 + (int)(j->id % 600), FIRST_STEP_TASKS, JOB_TASKS - FIRST_STEP_TASKS);
  call_front (j, "POST", body, on_submitted);
}

static void
on_cancelled (void *arg, const struct http_answer *a)
{
  struct soak_job *j = arg;
  j->call_pending = false;
  j->next_ms = j->soak->now_ms + 300;
  if (a->code == 200 || a->code == 410)
    j->cancelled_ms = j->soak->now_ms;
  /* Accepted jobs survive the faults, so 410 means that the job was cancelled before.  */
}

static bool
all_done (const struct soak_job *j)
{
  for (int i = 0; i < JOB_TASKS; i++)
    if (!j->tasks[i].done)
      return false;
  return true;
}

static void
on_state (void *arg, const struct http_answer *a)
{
  struct soak_job *j = arg;
  bool completed = a->code == 200 && a->body.data && strstr (a->body.data, "\"completed\"");
  bool cancelled = a->code == 200 && a->body.data && strstr (a->body.data, "\"cancelled\"");
  bool failed = a->code == 200 && a->body.data && strstr (a->body.data, "\"failed\"");
  j->call_pending = false;
  j->next_ms = j->soak->now_ms + STATE_INTERVAL_MS;
  if (completed && !all_done (j))
    report_violation (j->soak, "MIXED: job %016" PRIx64 " is reported as completed too early",
                      j->id);
  if (a->code == 410 || (cancelled && !j->wants_cancel) || failed)
    report_violation (j->soak, "LOST: job %016" PRIx64 " got answer %d %.60s", j->id, a->code,
                      a->body.data ? a->body.data : "");
  if (completed)
    j->state = JOB_COMPLETED;
}

static void
tick_job (struct soak_job *j)
{
  struct soak *s = j->soak;
  if (j->call_pending || s->now_ms < j->next_ms)
    return;
  if (j->state == JOB_SENDING)
    submit (j);
  else if (j->state == JOB_ACCEPTED && j->wants_cancel && s->now_ms >= j->cancel_at_ms
           && !j->cancelled_ms)
    call_front (j, "DELETE", NULL, on_cancelled);
  else if (j->state == JOB_ACCEPTED && !j->cancelled_ms)
    call_front (j, "GET", NULL, on_state);
}

static void
add_job (struct soak *s)
{
  struct soak_job *j = &s->jobs[s->job_count++];
  s->next_job_ms = s->now_ms + (int64_t)rng_exponential (&s->rng, JOB_INTERVAL_MS);
  j->soak = s;
  j->id = rng_next (&s->rng);
  j->wants_cancel = rng_chance (&s->rng, CANCEL_PROBABILITY);
  j->cancel_at_ms = s->now_ms + rng_between (&s->rng, 100, 1500);
}

void
jobs_tick (struct soak *s)
{
  if (!s->faults_over && s->acknowledged_version > 0 && s->now_ms >= s->next_job_ms
      && s->job_count < SOAK_MAX_JOBS)
    add_job (s);
  for (size_t i = 0; i < s->job_count; i++)
    tick_job (&s->jobs[i]);
}

bool
jobs_settled (struct soak *s)
{
  for (size_t i = 0; i < s->job_count; i++)
    {
      const struct soak_job *j = &s->jobs[i];
      if (j->state == JOB_SENDING || (j->state == JOB_ACCEPTED && !j->cancelled_ms))
        return false;
    }
  return true;
}

void
jobs_report (struct soak *s)
{
  unsigned count[JOB_COMPLETED + 1] = { 0 };
  unsigned cancelled = 0;
  int starts = 0;
  for (size_t i = 0; i < s->job_count; i++)
    {
      const struct soak_job *j = &s->jobs[i];
      count[j->state]++;
      cancelled += j->cancelled_ms != 0;
      for (int k = 0; k < JOB_TASKS; k++)
        starts += j->tasks[k].starts;
      if (j->state == JOB_ACCEPTED && !j->cancelled_ms)
        report_violation (s, "LOST: job %016" PRIx64 " was accepted but not completed", j->id);
    }
  printf ("%zu jobs: %u completed, %u cancelled, %u refused, %u unknown; %d starts; configuration "
          "%d sent, %d acknowledged, %d read\n",
          s->job_count, count[JOB_COMPLETED], cancelled, count[JOB_REFUSED], count[JOB_UNKNOWN],
          starts, s->sent_version, s->acknowledged_version, s->read_version);
}

static void
call_control (struct soak *s, const char *method, const char *body, http_answer_fn *done)
{
  char url[SOAK_PATH_BYTES];
  snprintf (url, sizeof url, "http://%s.%d:%d/sassafrasstall/config", s->net,
            HOST_CORE (1 + (int)rng_below (&s->rng, SOAK_CORES)), CONTROL_PORT);
  const struct http_call call = { .method = method,
                                  .url = url,
                                  .body = body,
                                  .body_len = body ? strlen (body) : 0,
                                  .timeout_ms = 1000,
                                  .done = done,
                                  .done_arg = s };
  http_client_send (s->client, &call);
}

static void
on_config_put (void *arg, const struct http_answer *a)
{
  struct soak *s = arg;
  s->config_pending = false;
  if (a->code == 400)
    report_violation (s, "CONFIG: version %d was refused as invalid", s->sent_version);
  if (a->code != 200)
    return;
  s->acknowledged_version = s->sent_version;
  s->acknowledged_ms = s->now_ms;
}

static void
on_config_read (void *arg, const struct http_answer *a)
{
  struct soak *s = arg;
  s->read_pending = false;
  const char *version
      = a->code == 200 && a->body.data ? strstr (a->body.data, "\"version\":") : NULL;
  if (!version)
    return;
  s->read_version = (int)strtol (version + strlen ("\"version\":"), NULL, 10);
  if (s->read_version < s->min_read_version)
    report_violation (s, "CONFIG: read version %d long after version %d was acknowledged",
                      s->read_version, s->min_read_version);
}

/* Resends the same version until it is acknowledged.  */
static void
put_config (struct soak *s)
{
  char body[BODY_BYTES];
  if (s->sent_version == s->acknowledged_version)
    s->sent_version++;
  snprintf (body, sizeof body,
            "{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"path_prefix\":"
            "\"/q/\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":0,\"service\":"
            "\"pool\",\"max_attempts\":3,\"stretch\":2}],\"services\":[{\"name\":\"pool\","
            "\"rejects_overload\":true}],\"tenants\":[{\"name\":\"callers\",\"api_keys\":"
            "[\"lasting-key\"],\"weight\":1000},{\"name\":\"changing\",\"api_keys\":[\"key-%d\"]}],"
            "\"limits\":{}}",
            s->sent_version, s->sent_version);
  s->config_pending = true;
  s->next_config_ms
      = s->now_ms + (s->acknowledged_version > 0 && !s->faults_over ? CONFIG_INTERVAL_MS : 300);
  call_control (s, "PUT", body, on_config_put);
}

static void
on_key_answered (void *arg, const struct http_answer *a)
{
  struct soak *s = arg;
  s->key_pending = false;
  if (a->code == 200 || a->code == 410)
    report_violation (s, "KEY: answer %d to a key that was taken away before the call", a->code);
}

/* Calls with the key that the acknowledged version took away.  */
static void
try_former_key (struct soak *s)
{
  char url[SOAK_PATH_BYTES];
  char key[40];
  const char *headers[] = { "Host: h.example", key, NULL };
  snprintf (key, sizeof key, "X-Api-Key: key-%d", s->acknowledged_version - 1);
  snprintf (url, sizeof url, "http://%s.%d:%d/q/%016x", s->net,
            HOST_FRONT (1 + (int)rng_below (&s->rng, SOAK_FRONTS)), CUSTOMER_PORT, 1u);
  const struct http_call call = { .method = "GET",
                                  .url = url,
                                  .headers = headers,
                                  .timeout_ms = DEADLINE_MS,
                                  .done = on_key_answered,
                                  .done_arg = s };
  s->key_pending = true;
  http_client_send (s->client, &call);
}

void
config_tick (struct soak *s)
{
  bool more = !s->faults_over || s->sent_version != s->acknowledged_version;
  if (!s->config_pending && more && s->now_ms >= s->next_config_ms)
    put_config (s);
  if (s->read_pending || s->now_ms < s->next_read_ms)
    return;
  if (s->now_ms - s->acknowledged_ms > CONFIG_APPLY_LIMIT_MS)
    s->min_read_version = s->acknowledged_version;
  if (!s->key_pending && s->acknowledged_version > 1)
    try_former_key (s);
  s->read_pending = true;
  s->next_read_ms = s->now_ms + READ_INTERVAL_MS;
  call_control (s, "GET", NULL, on_config_read);
}

bool
config_settled (struct soak *s)
{
  return s->sent_version == s->acknowledged_version && s->read_version >= s->acknowledged_version;
}
