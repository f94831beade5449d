/* peer_codec: ONC RPC messages of the program SASSAFRAS_PEER as bytes, without any I/O.

   A record is a 4-byte mark (length and last-fragment bit) followed by an RPC call or reply with
   its XDR body, as RFC 5531 sections 9 and 11 describe.  Received records may come in fragments;
   records we send have one.  Decoding accepts nothing that is longer than its bound, has bytes left
   over, or holds an enum value that peer_proto.x does not name.  Strings to be encoded must not be
   NULL.  */

#ifndef SASSAFRAS_PEER_CODEC_H
#define SASSAFRAS_PEER_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer_proto.h"
#include "status.h"

#define PEER_MARK_BYTES 4     /* record mark in front of each fragment */
#define PEER_MAX_FRAGMENTS 64 /* fragments of one received record */

/* Any argument or result of the program.  */
union peer_body
{
  peer_hello hello;
  raft_message raft;
  propose_args propose;
  propose_reply propose_reply;
  permit_request permit;
  permit_grant permit_grant;
  runner_digest runners;
  runner_digest_reply runners_reply;
  peer_orders orders;
};

/* How a reply ends, apart from its body.  */
enum peer_outcome
{
  PEER_SUCCESS,      /* a body follows */
  PEER_UNKNOWN_CALL, /* no such program, version or procedure */
  PEER_GARBAGE_ARGS, /* the arguments could not be decoded */
  PEER_REFUSED,      /* not run: queue full or no handler */
  PEER_DENIED,       /* the hello was not accepted, or is missing */
};

enum peer_denial
{
  PEER_DENIED_DEPLOYMENT,  /* another deployment */
  PEER_DENIED_STRANGER,    /* not in the list of peers */
  PEER_DENIED_INCARNATION, /* an earlier incarnation */
  PEER_DENIED_NO_HELLO,    /* a call before the hello */
  PEER_DENIALS
};

/* The part of a message before its body.  */
struct peer_header
{
  bool is_call;
  uint32_t xid;
  uint32_t proc;             /* calls: PEER_HELLO, ... */
  enum peer_outcome outcome; /* replies; calls: SUCCESS, or UNKNOWN_CALL when it must be refused */
  enum peer_denial denial;   /* replies with PEER_DENIED */
  size_t body_offset;        /* where the body starts */
};

/* One whole record inside a larger run of bytes.  */
struct peer_record
{
  char *data;     /* malloc'd when it was joined from fragments, else inside the input */
  size_t len;     /* without marks */
  size_t used;    /* bytes of input it took, with marks */
  bool allocated; /* data must be freed */
};

const char *peer_proc_name (uint32_t proc);             /* "hello", "raft", ...; "unknown". */
const char *peer_denial_name (enum peer_denial denial); /* For log lines. */

/* A call as one malloc'd record of *LEN bytes; NULL and ST when ARGS break a bound.  */
char *peer_encode_call (uint32_t xid, uint32_t proc, const void *args, size_t max, size_t *len,
                        struct status *st);
/* A reply with a body, likewise.  */
char *peer_encode_result (uint32_t xid, uint32_t proc, const void *result, size_t max, size_t *len,
                          struct status *st);
/* A reply without a body; DENIAL counts for PEER_DENIED only.  */
char *peer_encode_failure (uint32_t xid, enum peer_outcome outcome, enum peer_denial denial,
                           size_t *len);

/* 1 and OUT when INPUT starts with a whole record, 0 when bytes are missing, -1 when it can never
   become a record of at most MAX bytes.  */
int peer_record_next (char *input, size_t len, size_t max, struct peer_record *out);
void peer_record_free (struct peer_record *record); /* Frees what joining allocated. */
int peer_decode_header (const char *data, size_t len,
                        struct peer_header *out); /* -1: not an RPC message. */
/* The arguments or the result of PROC; -1 when malformed, and OUT needs no freeing then.  */
int peer_decode_args (uint32_t proc, const char *data, size_t len, union peer_body *out);
int peer_decode_result (uint32_t proc, const char *data, size_t len, union peer_body *out);
void peer_free_args (uint32_t proc, union peer_body *args);     /* Frees decoded arguments. */
void peer_free_result (uint32_t proc, union peer_body *result); /* Frees a decoded result. */

#endif
