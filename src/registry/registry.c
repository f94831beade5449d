#include "registry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "counters.h"
#include "log.h"
#include "registry_state.h"
#include "xdr_append.h"

#define ALL_CHANGES                                                                                \
  (REGISTRY_CHANGED_LISTS | REGISTRY_CHANGED_DATA_CENTRES | REGISTRY_CHANGED_MEMBERS)

static struct counter commands_total
    = { .name = "sassafras_registry_commands_total", .help = "Registry commands applied." };
static struct counter refused_total
    = { .name = "sassafras_registry_refused_total", .help = "Registry commands refused." };
static struct counter repeated_total
    = { .name = "sassafras_registry_repeated_total",
        .help = "Registry commands answered from a stored answer." };
static struct counter stale_total
    = { .name = "sassafras_registry_stale_total",
        .help = "Entries and snapshots ignored because they were already applied." };
static struct counter unusable_total
    = { .name = "sassafras_registry_unusable_lists_total",
        .help = "Accepted lists that this program version cannot parse." };
static struct counter version_gauge = { .name = "sassafras_registry_lists_version",
                                        .help = "Version of the lists in force on this VM.",
                                        .is_gauge = true };

static const char *
text_or_empty (const char *text)
{
  return text ? text : "";
}

/* Parses the lists in the state.  If this program cannot parse them, which happens when a newer
   version accepted them during an upgrade, the previous plans stay in force.  */
static void
parse_lists (struct registry *r)
{
  struct json_faults faults = { 0 };
  const char *plans_text = text_or_empty (r->state.plans);
  const char *customers_text = text_or_empty (r->state.customers);
  struct json_source plans = { "plans", plans_text, strlen (plans_text) };
  struct json_source customers = { "customers", customers_text, strlen (customers_text) };
  counter_set (&version_gauge, (int64_t)r->state.lists_version);
  r->usable = true;
  if (r->state.lists_version == 0)
    return;
  const struct plans *parsed = plans_parse (&plans, &customers, &faults);
  if (parsed)
    {
      plans_unref (r->plans);
      r->plans = parsed;
    }
  else
    {
      r->usable = false;
      counter_add (&unusable_total, 1);
      log_line (LOG_ERROR, "lists of version %" PRIu64 " cannot be parsed: %s:%d: %s: %s",
                (uint64_t)r->state.lists_version, faults.items[0].file, faults.items[0].line,
                faults.items[0].path, faults.items[0].reason);
    }
  json_faults_close (&faults);
}

static void
notify_observer (struct registry *r, unsigned changes)
{
  if (changes & REGISTRY_CHANGED_LISTS)
    parse_lists (r);
  if (changes != 0 && r->observer)
    r->observer (r->observer_arg, r, changes);
}

static void
free_answer (registry_answer *a)
{
  xdr_free ((xdrproc_t)xdr_registry_answer, (char *)a);
  memset (a, 0, sizeof *a);
}

static const registry_answer *
find_answer (const struct answer_ring *ring, const char *request_id)
{
  uint64_t hash = XXH3_64bits (request_id, strlen (request_id));
  for (size_t i = 0; i < ring->count; i++)
    {
      size_t at = (ring->first + i) % REGISTRY_MAX_ANSWERS;
      if (ring->id_hashes[at] == hash && strcmp (ring->items[at].request_id, request_id) == 0)
        return &ring->items[at];
    }
  return NULL;
}

/* Takes ownership of ANSWER; evicts the oldest answer if the ring is full.  */
static void
store_answer (struct answer_ring *ring, const registry_answer *answer)
{
  size_t at = (ring->first + ring->count) % REGISTRY_MAX_ANSWERS;
  if (ring->count == REGISTRY_MAX_ANSWERS)
    {
      free_answer (&ring->items[at]);
      ring->first = (ring->first + 1) % REGISTRY_MAX_ANSWERS;
    }
  else
    ring->count++;
  ring->items[at] = *answer;
  ring->id_hashes[at] = XXH3_64bits (answer->request_id, strlen (answer->request_id));
}

static void
clear_answers (struct answer_ring *ring)
{
  for (size_t i = 0; i < ring->count; i++)
    free_answer (&ring->items[(ring->first + i) % REGISTRY_MAX_ANSWERS]);
  ring->first = 0;
  ring->count = 0;
}

/* Hash of the command without its time; tells a repeat from a reused request id.  */
static uint64_t
command_digest (const void *command, size_t len)
{
  const size_t skip = sizeof (int64_t);
  return len > skip ? XXH3_64bits ((const char *)command + skip, len - skip) : 0;
}

static void
encode_result (const registry_result *result, struct buffer *out)
{
  char scratch[REGISTRY_MESSAGE_BYTES + 64];
  XDR xdrs;
  registry_result copy = *result;
  if (!copy.message)
    copy.message = "";
  xdrmem_create (&xdrs, scratch, sizeof scratch, XDR_ENCODE);
  if (xdr_registry_result (&xdrs, &copy))
    buffer_append (out, scratch, xdr_getpos (&xdrs));
  xdr_destroy (&xdrs);
}

/* Answers a repeated command from the stored answer; false if the request id is new.  */
static bool
answer_repeated_command (struct registry *r, const registry_command *command, uint64_t digest,
                         struct buffer *out)
{
  const registry_answer *stored = find_answer (&r->answers, command->request_id);
  registry_result refusal = { 0 };
  if (!stored)
    return false;
  counter_add (&repeated_total, 1);
  if (stored->digest == digest)
    {
      encode_result (&stored->result, out);
      return true;
    }
  registry_set_status (&refusal, STATUS_BAD_REQUEST,
                       "request id '%s' was already used for a different command",
                       command->request_id);
  encode_result (&refusal, out);
  registry_result_free (&refusal);
  return true;
}

static void
apply_new_command (struct registry *r, uint64_t index, const registry_command *command,
                   uint64_t digest, struct buffer *out)
{
  registry_answer answer = { 0 };
  answer.result.accepted_ms = command->time_ms;
  answer.result.index = index;
  unsigned changes = registry_execute (r, command, &answer.result);
  if (!answer.result.message)
    answer.result.message = xstrdup ("");
  if (answer.result.status != STATUS_OK)
    counter_add (&refused_total, 1);
  encode_result (&answer.result, out);
  if (command->request_id[0])
    {
      answer.request_id = xstrdup (command->request_id);
      answer.digest = digest;
      store_answer (&r->answers, &answer);
    }
  else
    registry_result_free (&answer.result);
  notify_observer (r, changes);
}

static void
refuse_entry (enum status_kind kind, const char *reason, uint64_t index, struct buffer *out)
{
  registry_result result = { 0 };
  result.index = index;
  registry_set_status (&result, kind, "%s", reason);
  encode_result (&result, out);
  registry_result_free (&result);
}

static void
registry_apply (struct machine *m, uint64_t index, const void *data, size_t len, struct buffer *out)
{
  struct registry *r = (struct registry *)m;
  registry_command command = { 0 };
  XDR xdrs;
  if (index <= r->state.applied)
    {
      counter_add (&stale_total, 1);
      refuse_entry (STATUS_INTERNAL, "this index was already applied", index, out);
      return;
    }
  r->state.applied = index;
  counter_add (&commands_total, 1);
  xdrmem_create (&xdrs, (char *)data, (unsigned)len, XDR_DECODE);
  bool valid = xdr_registry_command (&xdrs, &command) && xdr_getpos (&xdrs) == len;
  xdr_destroy (&xdrs);
  uint64_t digest = command_digest (data, len);
  if (!valid)
    refuse_entry (STATUS_BAD_REQUEST, "the command cannot be decoded", index, out);
  else if (!command.request_id[0] || !answer_repeated_command (r, &command, digest, out))
    apply_new_command (r, index, &command, digest, out);
  xdr_free ((xdrproc_t)xdr_registry_command, (char *)&command);
}

/* Encodes the state; the snapshot holds the answers as an array, oldest first.  */
static bool
registry_save (struct machine *m, struct buffer *out)
{
  struct registry *r = (struct registry *)m;
  registry_snapshot s = r->state;
  s.plans = (char *)text_or_empty (s.plans);
  s.customers = (char *)text_or_empty (s.customers);
  s.answers.answers_len = (unsigned)r->answers.count;
  s.answers.answers_val = xcalloc (r->answers.count, sizeof *s.answers.answers_val);
  for (size_t i = 0; i < r->answers.count; i++)
    s.answers.answers_val[i] = r->answers.items[(r->answers.first + i) % REGISTRY_MAX_ANSWERS];
  bool ok = xdr_append (out, (xdrproc_t)xdr_registry_snapshot, &s);
  free (s.answers.answers_val);
  return ok;
}

static int
decode_snapshot (const void *data, size_t len, registry_snapshot *s, struct status *st)
{
  XDR xdrs;
  memset (s, 0, sizeof *s);
  xdrmem_create (&xdrs, (char *)data, (unsigned)len, XDR_DECODE);
  bool valid = xdr_registry_snapshot (&xdrs, s) && xdr_getpos (&xdrs) == len;
  xdr_destroy (&xdrs);
  if (valid && s->format == REGISTRY_SNAPSHOT_FORMAT)
    return 0;
  if (valid)
    status_set (st, STATUS_JOURNAL_DAMAGED, "registry snapshot has format %u, not %u", s->format,
                REGISTRY_SNAPSHOT_FORMAT);
  else
    status_set (st, STATUS_JOURNAL_DAMAGED, "registry snapshot of %zu bytes cannot be decoded",
                len);
  xdr_free ((xdrproc_t)xdr_registry_snapshot, (char *)s);
  return -1;
}

static int
registry_load (struct machine *m, const void *data, size_t len, struct status *st)
{
  struct registry *r = (struct registry *)m;
  registry_snapshot s;
  if (decode_snapshot (data, len, &s, st) < 0)
    return -1;
  if (s.applied < r->state.applied)
    {
      counter_add (&stale_total, 1);
      status_set (st, STATUS_STALE_EPOCH,
                  "registry snapshot of index %" PRIu64 " is older than the state at %" PRIu64,
                  (uint64_t)s.applied, (uint64_t)r->state.applied);
      xdr_free ((xdrproc_t)xdr_registry_snapshot, (char *)&s);
      return -1;
    }
  clear_answers (&r->answers);
  for (unsigned i = 0; i < s.answers.answers_len; i++)
    store_answer (&r->answers, &s.answers.answers_val[i]);
  free (s.answers.answers_val);
  s.answers.answers_val = NULL;
  s.answers.answers_len = 0;
  xdr_free ((xdrproc_t)xdr_registry_snapshot, (char *)&r->state);
  r->state = s;
  notify_observer (r, ALL_CHANGES);
  return 0;
}

static const struct machine_ops registry_ops = { registry_apply, registry_save, registry_load };

struct registry *
registry_new (void)
{
  struct registry *r = xcalloc (1, sizeof *r);
  r->machine.ops = &registry_ops;
  r->state.format = REGISTRY_SNAPSHOT_FORMAT;
  r->state.next_node = 1;
  r->plans = plans_empty ();
  r->usable = true;
  return r;
}

void
registry_free (struct registry *r)
{
  if (!r)
    return;
  clear_answers (&r->answers);
  xdr_free ((xdrproc_t)xdr_registry_snapshot, (char *)&r->state);
  plans_unref (r->plans);
  free (r);
}

struct machine *
registry_machine (struct registry *r)
{
  return &r->machine;
}

void
registry_observe (struct registry *r, registry_observer *fn, void *arg)
{
  r->observer = fn;
  r->observer_arg = arg;
}

uint64_t
registry_applied (const struct registry *r)
{
  return r->state.applied;
}

const struct plans *
registry_plans (const struct registry *r)
{
  return r->plans;
}

struct registry_lists
registry_lists (const struct registry *r)
{
  struct registry_lists lists = {
    .version = r->state.lists_version,
    .since_ms = r->state.lists_since_ms,
    .plans = text_or_empty (r->state.plans),
    .customers = text_or_empty (r->state.customers),
    .usable = r->usable,
  };
  return lists;
}

const registry_data_centre *
registry_find_data_centre (const struct registry *r, const char *name)
{
  return registry_data_centre_entry ((struct registry *)r, name);
}

size_t
registry_data_centres (const struct registry *r, const registry_data_centre **out)
{
  *out = r->state.data_centres.data_centres_val;
  return r->state.data_centres.data_centres_len;
}

const registry_member *
registry_find_member (const struct registry *r, const char *vm)
{
  return registry_member_entry ((struct registry *)r, vm);
}

const registry_member *
registry_find_node (const struct registry *r, uint64_t node)
{
  for (unsigned i = 0; i < r->state.members.members_len; i++)
    if (r->state.members.members_val[i].node == node)
      return &r->state.members.members_val[i];
  return NULL;
}

size_t
registry_members (const struct registry *r, const registry_member **out)
{
  *out = r->state.members.members_val;
  return r->state.members.members_len;
}

bool
registry_is_in (const struct registry *r, const char *data_centre)
{
  const registry_data_centre *dc = registry_find_data_centre (r, data_centre);
  return dc && !dc->out;
}
