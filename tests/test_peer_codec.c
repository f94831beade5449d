/* Guards against a decoder that crashes, reads past the record, allocates without bound or accepts
   a corrupt message.  Out-of-bounds reads show in the sanitizer build.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "peer_codec.h"
#include "peer_net.h"
#include "rng.h"

#define SEED 20261204
#define RANDOM_RECORDS 200000
#define MUTATIONS 100000
#define SMALL 4096

static char name_text[] = "vm-1";
static char data_text[] = "some command bytes";

static char *
encode_raft (size_t *len)
{
  static raft_entry entries[2];
  static raft_member members[2] = { { 1, TRUE, 0 }, { 2, FALSE, 7 } };
  raft_message m = { .group = 1, .type = RAFT_APPEND_REQUEST, .from = 1, .to = 2, .term = 7 };
  for (int i = 0; i < 2; i++)
    {
      entries[i].index = 10 + (u_quad_t)i;
      entries[i].kind = RAFT_ENTRY_COMMAND;
      entries[i].data.data_len = sizeof data_text;
      entries[i].data.data_val = data_text;
    }
  m.entries.entries_len = 2;
  m.entries.entries_val = entries;
  m.chunk_members.members.members_len = 2;
  m.chunk_members.members.members_val = members;
  return peer_encode_call (42, PEER_RAFT, &m, PEER_MAX_RECORD_BYTES, len, NULL);
}

static char *
encode_runners (size_t *len)
{
  static runner_entry runners[3];
  runner_digest digest = { .table_version = 5, .full = TRUE };
  for (int i = 0; i < 3; i++)
    {
      runners[i].id = runners[i].service = runners[i].data_centre = name_text;
      runners[i].address = name_text;
    }
  digest.runners.runners_len = 3;
  digest.runners.runners_val = runners;
  return peer_encode_call (43, PEER_RUNNERS, &digest, PEER_MAX_RECORD_BYTES, len, NULL);
}

/* Decodes a record as the daemon does and frees it; returns whether it was accepted.  */
static bool
decode_and_free (char *data, size_t len)
{
  struct peer_record record;
  struct peer_header h;
  union peer_body body;
  bool accepted = false;
  if (peer_record_next (data, len, SMALL, &record) <= 0)
    return false;
  if (peer_decode_header (record.data, record.len, &h) == 0)
    {
      const char *at = record.data + h.body_offset;
      size_t left = record.len - h.body_offset;
      uint32_t proc = h.is_call ? h.proc : PEER_PROPOSE;
      accepted = (h.is_call ? peer_decode_args (proc, at, left, &body)
                            : peer_decode_result (proc, at, left, &body))
                 == 0;
      if (accepted && h.is_call)
        peer_free_args (proc, &body);
      else if (accepted)
        peer_free_result (proc, &body);
    }
  peer_record_free (&record);
  return accepted;
}

static void
test_round_trip (void **state)
{
  size_t len;
  struct peer_record record;
  struct peer_header h;
  union peer_body body;
  (void)state;
  char *bytes = encode_raft (&len);
  assert_int_equal (peer_record_next (bytes, len, SMALL, &record), 1);
  assert_int_equal (record.used, len);
  assert_int_equal (peer_decode_header (record.data, record.len, &h), 0);
  assert_true (h.is_call && h.proc == PEER_RAFT && h.xid == 42);
  assert_int_equal (
      peer_decode_args (PEER_RAFT, record.data + h.body_offset, record.len - h.body_offset, &body),
      0);
  assert_int_equal (body.raft.entries.entries_len, 2);
  assert_int_equal (body.raft.entries.entries_val[1].index, 11);
  assert_string_equal (body.raft.entries.entries_val[1].data.data_val, data_text);
  assert_int_equal (body.raft.chunk_members.members.members_val[0].voter, TRUE);
  peer_free_args (PEER_RAFT, &body);
  free (bytes);
}

static void
test_failures_round_trip (void **state)
{
  size_t len;
  struct peer_header h;
  (void)state;
  for (int outcome = PEER_UNKNOWN_PROCEDURE; outcome <= PEER_DENIED; outcome++)
    for (int denial = 0; denial < PEER_DENIAL_COUNT; denial++)
      {
        char *bytes
            = peer_encode_failure (9, (enum peer_outcome)outcome, (enum peer_denial)denial, &len);
        assert_int_equal (peer_decode_header (bytes + PEER_MARK_BYTES, len - PEER_MARK_BYTES, &h),
                          0);
        assert_int_equal (h.outcome, outcome);
        assert_int_equal (h.xid, 9);
        if (outcome == PEER_DENIED)
          assert_int_equal (h.denial, denial);
        free (bytes);
      }
}

/* A record split into fragments must be joined; each strict prefix must be incomplete.  */
static void
test_fragments (void **state)
{
  size_t len;
  (void)state;
  char *bytes = encode_runners (&len);
  size_t body = len - PEER_MARK_BYTES;
  size_t first = body / 3;
  char *cut = xmalloc (len + PEER_MARK_BYTES);
  uint32_t mark = htonl ((uint32_t)first);
  memcpy (cut, &mark, sizeof mark);
  memcpy (cut + PEER_MARK_BYTES, bytes + PEER_MARK_BYTES, first);
  mark = htonl (0x80000000U | (uint32_t)(body - first));
  memcpy (cut + PEER_MARK_BYTES + first, &mark, sizeof mark);
  memcpy (cut + 2 * PEER_MARK_BYTES + first, bytes + PEER_MARK_BYTES + first, body - first);
  for (size_t n = 0; n < len + PEER_MARK_BYTES; n++)
    {
      struct peer_record record;
      assert_int_equal (peer_record_next (cut, n, SMALL, &record), 0);
    }
  assert_true (decode_and_free (cut, len + PEER_MARK_BYTES));
  free (cut);
  free (bytes);
}

/* Endless empty or tiny fragments and oversized records must be refused, not buffered.  */
static void
test_record_bounds (void **state)
{
  struct peer_record record;
  char many[(PEER_MAX_FRAGMENTS + 1) * 5] = { 0 };
  uint32_t big = htonl (0x80000000U | (SMALL + 1));
  uint32_t one = htonl (1);
  (void)state;
  assert_int_equal (peer_record_next (many, sizeof many, SMALL, &record), -1);
  assert_int_equal (peer_record_next ((char *)&big, sizeof big, SMALL, &record), -1);
  for (size_t i = 0; i < sizeof many; i += 5)
    memcpy (many + i, &one, sizeof one);
  assert_int_equal (peer_record_next (many, sizeof many, SMALL, &record), -1);
}

/* Messages over the sender's bounds must not be encoded.  */
static void
test_encode_bounds (void **state)
{
  char long_name[PEER_NAME_BYTES + 2];
  struct status st;
  size_t len;
  peer_hello hello = { .deployment = long_name, .vm = name_text, .data_centre = name_text };
  propose_args args = { .group = 0 };
  (void)state;
  memset (long_name, 'a', sizeof long_name - 1);
  long_name[sizeof long_name - 1] = '\0';
  assert_null (peer_encode_call (1, PEER_HELLO, &hello, PEER_MAX_RECORD_BYTES, &len, &st));
  assert_int_equal (st.kind, STATUS_BAD_REQUEST);
  args.command.command_len = SMALL;
  args.command.command_val = xcalloc (1, SMALL);
  assert_null (peer_encode_call (1, PEER_PROPOSE, &args, SMALL, &len, &st));
  assert_int_equal (st.kind, STATUS_TOO_LARGE);
  free (args.command.command_val);
}

/* XDR decodes any integer as an enum and ignores bytes after the last field; the codec must not. */
static void
test_unknown_enum_and_trailing_bytes (void **state)
{
  size_t len;
  struct peer_header h;
  union peer_body body;
  (void)state;
  char *bytes = encode_raft (&len);
  char *record = bytes + PEER_MARK_BYTES;
  size_t record_len = len - PEER_MARK_BYTES;
  assert_int_equal (peer_decode_header (record, record_len, &h), 0);
  char *args = record + h.body_offset;
  size_t args_len = record_len - h.body_offset;
  assert_int_equal (peer_decode_args (PEER_RAFT, args, args_len - 4, &body), -1);
  args[11] = 77; /* last byte of the message type, after the 8 bytes of the group */
  assert_int_equal (peer_decode_args (PEER_RAFT, args, args_len, &body), -1);
  args[11] = RAFT_APPEND_REQUEST;
  char *longer = xcalloc (1, args_len + 4);
  memcpy (longer, args, args_len);
  assert_int_equal (peer_decode_args (PEER_RAFT, longer, args_len + 4, &body), -1);
  assert_int_equal (peer_decode_args (PEER_RAFT, longer, args_len, &body), 0);
  peer_free_args (PEER_RAFT, &body);
  free (longer);
  free (bytes);
}

static void
test_random_bytes (void **state)
{
  struct rng rng;
  (void)state;
  rng_init (&rng, SEED);
  for (int i = 0; i < RANDOM_RECORDS; i++)
    {
      size_t len = PEER_MARK_BYTES + 4 * rng_below (&rng, 40);
      char *bytes = xmalloc (len);
      for (size_t j = 0; j < len; j++)
        bytes[j] = rng_chance (&rng, 0.5) ? 0 : (char)rng_below (&rng, 256);
      uint32_t mark = htonl (0x80000000U | (uint32_t)(len - PEER_MARK_BYTES));
      memcpy (bytes, &mark, sizeof mark);
      decode_and_free (bytes, len);
      free (bytes);
    }
}

/* Valid messages with changed bytes, wrong lengths and truncation.  */
static void
test_mutations (void **state)
{
  struct rng rng;
  size_t sizes[2];
  char *originals[2] = { encode_raft (&sizes[0]), encode_runners (&sizes[1]) };
  int accepted = 0;
  (void)state;
  rng_init (&rng, SEED);
  for (int i = 0; i < MUTATIONS; i++)
    {
      size_t which = rng_below (&rng, 2);
      size_t len = sizes[which];
      char *bytes = xmalloc (len);
      memcpy (bytes, originals[which], len);
      for (uint64_t n = rng_below (&rng, 4); n > 0; n--)
        bytes[PEER_MARK_BYTES + rng_below (&rng, len - PEER_MARK_BYTES)]
            = (char)rng_below (&rng, 256);
      if (rng_chance (&rng, 0.2))
        {
          uint32_t huge = htonl ((uint32_t)rng_next (&rng));
          memcpy (bytes + 4 * (1 + rng_below (&rng, len / 4 - 1)), &huge, sizeof huge);
        }
      accepted += decode_and_free (bytes, rng_chance (&rng, 0.1) ? len - 4 : len);
      free (bytes);
    }
  /* Both accepted and refused messages must occur.  */
  assert_true (accepted > MUTATIONS / 10 && accepted < MUTATIONS * 9 / 10);
  free (originals[0]);
  free (originals[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_round_trip),    cmocka_unit_test (test_failures_round_trip),
    cmocka_unit_test (test_fragments),     cmocka_unit_test (test_record_bounds),
    cmocka_unit_test (test_encode_bounds), cmocka_unit_test (test_unknown_enum_and_trailing_bytes),
    cmocka_unit_test (test_random_bytes),  cmocka_unit_test (test_mutations),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
