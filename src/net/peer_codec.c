#include "peer_codec.h"

#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define LAST_FRAGMENT 0x80000000U
#define HEADER_BYTES 64 /* enough for every header sent: no credentials, empty verifier */

struct proc
{
  const char *name;
  xdrproc_t args;
  xdrproc_t result;
};

/* xdr_void with the signature of xdrproc_t.  */
static bool_t
xdr_nothing (XDR *xdr, ...)
{
  (void)xdr;
  return TRUE;
}

static const struct proc procs[] = {
  [PEER_NULL] = { "null", xdr_nothing, xdr_nothing },
  [PEER_HELLO] = { "hello", (xdrproc_t)xdr_peer_hello, (xdrproc_t)xdr_peer_hello },
  [PEER_RAFT] = { "raft", (xdrproc_t)xdr_raft_message, xdr_nothing },
  [PEER_PROPOSE] = { "propose", (xdrproc_t)xdr_propose_args, (xdrproc_t)xdr_propose_reply },
  [PEER_PERMIT] = { "permit", (xdrproc_t)xdr_permit_request, (xdrproc_t)xdr_permit_grant },
  [PEER_RUNNERS] = { "runners", (xdrproc_t)xdr_runner_digest, (xdrproc_t)xdr_runner_digest_reply },
  [PEER_ORDERS] = { "orders", (xdrproc_t)xdr_peer_orders, xdr_nothing },
};

#define PROC_COUNT (sizeof procs / sizeof procs[0])

/* Each denial maps to its own standard auth_stat, so that any ONC RPC tool can display it.  */
static const enum auth_stat denial_codes[PEER_DENIAL_COUNT] = {
  [PEER_DENIED_DEPLOYMENT] = AUTH_BADCRED,
  [PEER_DENIED_UNKNOWN_PEER] = AUTH_BADVERF,
  [PEER_DENIED_INCARNATION] = AUTH_REJECTEDCRED,
  [PEER_DENIED_NO_HELLO] = AUTH_TOOWEAK,
};

static const char *const denial_names[PEER_DENIAL_COUNT] = {
  [PEER_DENIED_DEPLOYMENT] = "another deployment",
  [PEER_DENIED_UNKNOWN_PEER] = "not in the list of peers",
  [PEER_DENIED_INCARNATION] = "earlier incarnation",
  [PEER_DENIED_NO_HELLO] = "no hello",
};

const char *
peer_proc_name (uint32_t proc)
{
  return proc < PROC_COUNT ? procs[proc].name : "unknown";
}

const char *
peer_denial_name (enum peer_denial denial)
{
  return denial_names[denial];
}

static void
write_mark (char *record, size_t len)
{
  uint32_t mark = htonl (LAST_FRAGMENT | (uint32_t)(len - PEER_MARK_BYTES));
  memcpy (record, &mark, sizeof mark);
}

/* Encodes HEADER followed by BODY, together at most MAX bytes.  */
static char *
encode_record (bool_t (*encode_header) (XDR *, struct rpc_msg *), struct rpc_msg *header,
               xdrproc_t proc, const void *body, size_t max, size_t *len, struct status *st)
{
  /* XDR routines take mutable data for encoding and decoding; encoding only reads it.  */
  void *data = (void *)(uintptr_t)body;
  size_t capacity = PEER_MARK_BYTES + HEADER_BYTES + xdr_sizeof (proc, data);
  XDR xdr;
  if (capacity > max + PEER_MARK_BYTES)
    {
      status_set (st, STATUS_TOO_LARGE, "message of %zu bytes is over %zu", capacity, max);
      return NULL;
    }
  char *record = xmalloc (capacity);
  xdrmem_create (&xdr, record + PEER_MARK_BYTES, (u_int)(capacity - PEER_MARK_BYTES), XDR_ENCODE);
  if (!encode_header (&xdr, header) || !proc (&xdr, data))
    {
      status_set (st, STATUS_BAD_REQUEST, "a field of the message is missing or over its limit");
      free (record);
      return NULL;
    }
  *len = PEER_MARK_BYTES + xdr_getpos (&xdr);
  write_mark (record, *len);
  return record;
}

char *
peer_encode_call (uint32_t xid, uint32_t proc, const void *args, size_t max, size_t *len,
                  struct status *st)
{
  struct rpc_msg header = { .rm_xid = xid, .rm_direction = CALL };
  header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  header.rm_call.cb_prog = SASSAFRAS_PEER;
  header.rm_call.cb_vers = SASSAFRAS_PEER_V1;
  header.rm_call.cb_proc = proc;
  header.rm_call.cb_cred = _null_auth;
  header.rm_call.cb_verf = _null_auth;
  return encode_record (xdr_callmsg, &header, procs[proc].args, args, max, len, st);
}

static struct rpc_msg
accepted_header (uint32_t xid, enum accept_stat stat)
{
  struct rpc_msg header = { .rm_xid = xid, .rm_direction = REPLY };
  header.rm_reply.rp_stat = MSG_ACCEPTED;
  header.acpted_rply.ar_verf = _null_auth;
  header.acpted_rply.ar_stat = stat;
  header.acpted_rply.ar_results.proc = xdr_nothing;
  return header;
}

char *
peer_encode_result (uint32_t xid, uint32_t proc, const void *result, size_t max, size_t *len,
                    struct status *st)
{
  struct rpc_msg header = accepted_header (xid, SUCCESS);
  return encode_record (xdr_replymsg, &header, procs[proc].result, result, max, len, st);
}

char *
peer_encode_failure (uint32_t xid, enum peer_outcome outcome, enum peer_denial denial, size_t *len)
{
  struct rpc_msg header = accepted_header (xid, SYSTEM_ERR);
  if (outcome == PEER_UNKNOWN_PROCEDURE)
    header.acpted_rply.ar_stat = PROC_UNAVAIL;
  if (outcome == PEER_GARBAGE_ARGS)
    header.acpted_rply.ar_stat = GARBAGE_ARGS;
  if (outcome == PEER_DENIED)
    {
      header.rm_reply.rp_stat = MSG_DENIED;
      header.rjcted_rply.rj_stat = AUTH_ERROR;
      header.rjcted_rply.rj_why = denial_codes[denial];
    }
  return encode_record (xdr_replymsg, &header, xdr_nothing, NULL, HEADER_BYTES * 2, len, NULL);
}

static uint32_t
read_mark (const char *data)
{
  uint32_t mark;
  memcpy (&mark, data, sizeof mark);
  return ntohl (mark);
}

static void
join_fragments (const char *input, struct peer_record *out)
{
  size_t at = 0;
  size_t filled = 0;
  out->data = xmalloc (out->len);
  out->allocated = true;
  while (at < out->used)
    {
      size_t size = read_mark (input + at) & ~LAST_FRAGMENT;
      memcpy (out->data + filled, input + at + PEER_MARK_BYTES, size);
      filled += size;
      at += PEER_MARK_BYTES + size;
    }
}

int
peer_record_next (char *input, size_t len, size_t max, struct peer_record *out)
{
  size_t at = 0;
  memset (out, 0, sizeof *out);
  for (int fragments = 1;; fragments++)
    {
      if (len - at < PEER_MARK_BYTES)
        return 0;
      uint32_t mark = read_mark (input + at);
      size_t size = mark & ~LAST_FRAGMENT;
      out->len += size;
      if (size == 0 || out->len > max || fragments > PEER_MAX_FRAGMENTS)
        return -1;
      if (len - at - PEER_MARK_BYTES < size)
        return 0;
      at += PEER_MARK_BYTES + size;
      if (!(mark & LAST_FRAGMENT))
        continue;
      out->used = at;
      out->data = input + PEER_MARK_BYTES;
      if (fragments > 1)
        join_fragments (input, out);
      return 1;
    }
}

void
peer_record_free (struct peer_record *record)
{
  if (record->allocated)
    free (record->data);
  record->data = NULL;
}

static void
read_call (const struct rpc_msg *message, struct peer_header *out)
{
  const struct call_body *call = &message->rm_call;
  out->is_call = true;
  out->proc = call->cb_proc;
  if (call->cb_prog != SASSAFRAS_PEER || call->cb_vers != SASSAFRAS_PEER_V1
      || call->cb_proc >= PROC_COUNT)
    out->outcome = PEER_UNKNOWN_PROCEDURE;
}

static void
read_denial (const struct rpc_msg *message, struct peer_header *out)
{
  out->outcome = PEER_DENIED;
  out->denial = PEER_DENIED_UNKNOWN_PEER;
  if (message->rjcted_rply.rj_stat != AUTH_ERROR)
    return;
  for (int i = 0; i < PEER_DENIAL_COUNT; i++)
    if (denial_codes[i] == message->rjcted_rply.rj_why)
      out->denial = (enum peer_denial)i;
}

static void
read_reply (const struct rpc_msg *message, struct peer_header *out)
{
  if (message->rm_reply.rp_stat == MSG_DENIED)
    {
      read_denial (message, out);
      return;
    }
  switch (message->acpted_rply.ar_stat)
    {
    case SUCCESS:
      out->outcome = PEER_SUCCESS;
      break;
    case GARBAGE_ARGS:
      out->outcome = PEER_GARBAGE_ARGS;
      break;
    case PROG_UNAVAIL:
    case PROG_MISMATCH:
    case PROC_UNAVAIL:
      out->outcome = PEER_UNKNOWN_PROCEDURE;
      break;
    default:
      out->outcome = PEER_REFUSED;
    }
}

int
peer_decode_header (const char *data, size_t len, struct peer_header *out)
{
  /* The decoder copies credentials into these buffers instead of allocating.  */
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg message = { 0 };
  XDR xdr;
  memset (out, 0, sizeof *out);
  if (len < 2 * BYTES_PER_XDR_UNIT)
    return -1;
  uint32_t direction = read_mark (data + BYTES_PER_XDR_UNIT);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  if (direction == CALL)
    {
      message.rm_call.cb_cred.oa_base = cred;
      message.rm_call.cb_verf.oa_base = verf;
      if (!xdr_callmsg (&xdr, &message))
        return -1;
      read_call (&message, out);
    }
  else
    {
      message.acpted_rply.ar_verf.oa_base = verf;
      message.acpted_rply.ar_results.proc = xdr_nothing;
      if (!xdr_replymsg (&xdr, &message))
        return -1;
      read_reply (&message, out);
    }
  out->xid = message.rm_xid;
  out->body_offset = xdr_getpos (&xdr);
  return 0;
}

/* XDR accepts any integer as an enum value, but handlers switch on these values.  */
static bool
raft_enums_known (const raft_message *m)
{
  if (m->type < RAFT_PRE_VOTE_REQUEST || m->type > RAFT_TIMEOUT_NOW)
    return false;
  for (u_int i = 0; i < m->entries.entries_len; i++)
    {
      raft_entry_kind kind = m->entries.entries_val[i].kind;
      if (kind < RAFT_ENTRY_COMMAND || kind > RAFT_ENTRY_MEMBERS)
        return false;
    }
  return true;
}

static int
decode_body (xdrproc_t proc, const char *data, size_t len, union peer_body *out)
{
  XDR xdr;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  if (proc (&xdr, out) && xdr_getpos (&xdr) == len)
    return 0;
  xdr_free (proc, out);
  memset (out, 0, sizeof *out);
  return -1;
}

int
peer_decode_args (uint32_t proc, const char *data, size_t len, union peer_body *out)
{
  if (proc >= PROC_COUNT || decode_body (procs[proc].args, data, len, out) < 0)
    return -1;
  if (proc != PEER_RAFT || raft_enums_known (&out->raft))
    return 0;
  peer_free_args (proc, out);
  return -1;
}

int
peer_decode_result (uint32_t proc, const char *data, size_t len, union peer_body *out)
{
  return proc < PROC_COUNT ? decode_body (procs[proc].result, data, len, out) : -1;
}

void
peer_free_args (uint32_t proc, union peer_body *args)
{
  xdr_free (procs[proc].args, args);
  memset (args, 0, sizeof *args);
}

void
peer_free_result (uint32_t proc, union peer_body *result)
{
  xdr_free (procs[proc].result, result);
  memset (result, 0, sizeof *result);
}
