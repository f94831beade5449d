/* peer_codec: encodes and decodes ONC RPC messages of the program SASSAFRAS_PEER; does no I/O.

   A record is a 4-byte mark (length and last-fragment bit) followed by an RPC call or reply with
   its XDR body, see RFC 5531, sections 9 and 11.  Received records may consist of several
   fragments; encoded records have one.  Decoding fails when a field exceeds its bound, when bytes
   follow the last field, or when an enum value is not defined in peer_proto.x.  Strings to be
   encoded must not be NULL.  */

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

/* Outcome of a call as its reply header gives it.  */
enum peer_outcome
{
  PEER_SUCCESS,           /* a body follows */
  PEER_UNKNOWN_PROCEDURE, /* no such program, version or procedure */
  PEER_GARBAGE_ARGS,      /* the arguments could not be decoded */
  PEER_REFUSED,           /* not executed: queue full or no handler */
  PEER_DENIED,            /* the hello was refused or is missing */
};

enum peer_denial
{
  PEER_DENIED_DEPLOYMENT,   /* another deployment */
  PEER_DENIED_UNKNOWN_PEER, /* not in the list of peers */
  PEER_DENIED_INCARNATION,  /* an earlier incarnation */
  PEER_DENIED_NO_HELLO,     /* a call before the hello */
  PEER_DENIAL_COUNT,
  PEER_NOT_DENIED = PEER_DENIAL_COUNT
};

/* Decoded header of a message.  */
struct peer_header
{
  bool is_call;
  uint32_t xid;
  uint32_t proc;             /* calls: PEER_HELLO, ... */
  enum peer_outcome outcome; /* replies; calls: SUCCESS, or UNKNOWN_PROCEDURE to refuse it */
  enum peer_denial denial;   /* replies with PEER_DENIED */
  size_t body_offset;        /* offset of the body */
};

/* A complete record found in the input.  */
struct peer_record
{
  char *data;     /* malloc'd when joined from fragments, else points into the input */
  size_t len;     /* without record marks */
  size_t used;    /* bytes of input consumed, with record marks */
  bool allocated; /* data must be freed */
};

const char *peer_proc_name (uint32_t proc);             /* "hello", "raft", ...; "unknown". */
const char *peer_denial_name (enum peer_denial denial); /* For log lines. */

/* Encodes a call as one malloc'd record of *LEN bytes; NULL and ST when ARGS exceed a bound.  */
char *peer_encode_call (uint32_t xid, uint32_t proc, const void *args, size_t max, size_t *len,
                        struct status *st);
/* Encodes a reply with a body in the same way.  */
char *peer_encode_result (uint32_t xid, uint32_t proc, const void *result, size_t max, size_t *len,
                          struct status *st);
/* Encodes a reply without a body; DENIAL is used for PEER_DENIED only.  */
char *peer_encode_failure (uint32_t xid, enum peer_outcome outcome, enum peer_denial denial,
                           size_t *len);

/* Returns 1 and fills OUT when INPUT starts with a complete record, 0 when more bytes are needed,
   -1 when INPUT cannot become a record of at most MAX bytes.  */
int peer_record_next (char *input, size_t len, size_t max, struct peer_record *out);
void peer_record_free (struct peer_record *record); /* Frees joined fragments. */
int peer_decode_header (const char *data, size_t len,
                        struct peer_header *out); /* -1: not an RPC message. */
/* Decodes the arguments or the result of PROC; -1 when malformed; OUT then needs no freeing.  */
int peer_decode_args (uint32_t proc, const char *data, size_t len, union peer_body *out);
int peer_decode_result (uint32_t proc, const char *data, size_t len, union peer_body *out);
void peer_free_args (uint32_t proc, union peer_body *args);     /* Frees decoded arguments. */
void peer_free_result (uint32_t proc, union peer_body *result); /* Frees a decoded result. */

#endif
