/* status: the error kinds and the answer to each of them.

   Every function that can fail fills a struct status.  The kind determines the HTTP status, the
   exit code of sassafrasctl and what a caller may conclude about its request; the message is
   human-readable and names the refused value.  */

#ifndef SASSAFRAS_STATUS_H
#define SASSAFRAS_STATUS_H

#include <stdbool.h>
#include <stdint.h>

#define STATUS_MESSAGE_BYTES 256

enum status_kind
{
  STATUS_OK,
  STATUS_BAD_REQUEST,        /* malformed JSON, header or field */
  STATUS_TOO_LARGE,          /* body, header or field over its limit */
  STATUS_NOT_FOUND,          /* no such endpoint, job, VM or data centre */
  STATUS_METHOD_NOT_ALLOWED, /* the endpoint exists, the method does not */
  STATUS_UNAUTHORIZED,       /* operators' token missing or wrong */
  STATUS_UNKNOWN_CUSTOMER,   /* not in the list of customers */
  STATUS_UNKNOWN_PLAN,       /* customer names a plan that is not in the list */
  STATUS_INVALID_LIST,       /* a list failed its check */
  STATUS_VERSION_CONFLICT,   /* compare-and-set failed; the answer has the current version */
  STATUS_NOT_LEADER,         /* another VM leads the group */
  STATUS_NO_QUORUM,          /* not accepted: no leader or no majority */
  STATUS_OUTCOME_UNKNOWN,    /* may have been executed; repeat with the same request id */
  STATUS_IN_PROGRESS,        /* a request with this id is still running */
  STATUS_OVERLOADED,         /* queue full or capacity exhausted */
  STATUS_LIMIT_EXCEEDED,     /* the customer's plan limit is reached */
  STATUS_DEADLINE_EXCEEDED,  /* the caller's deadline passed */
  STATUS_NO_BACKEND,         /* no backend server can take the request */
  STATUS_BACKEND_FAILED,     /* the backend server failed the request */
  STATUS_BACKEND_TRUNCATED,  /* the backend server's answer ended early */
  STATUS_UNSATISFIABLE,      /* no worker or plan can ever fit the job */
  STATUS_DATA_CENTRE_OUT,    /* the data centre is out of service */
  STATUS_STALE_EPOCH,        /* report or command with an old epoch */
  STATUS_STALE_INCARNATION,  /* message from an earlier incarnation of a process */
  STATUS_SHUTTING_DOWN,      /* graceful shutdown has begun */
  STATUS_TIMEOUT,            /* no answer in time */
  STATUS_DISK_FAILED,        /* write or fsync failed; no further acknowledgements */
  STATUS_JOURNAL_DAMAGED,    /* a record inside the journal fails its checksum */
  STATUS_INVALID_SETTING,    /* flag or environment variable out of range */
  STATUS_INTERNAL,           /* bug in this program */
  STATUS_SENDER_GONE,        /* the sender closed the connection before its request was executed */
  STATUS_KINDS
};

/* What a caller may conclude about its request.  */
enum status_ran
{
  RAN_NO,      /* the work did not run */
  RAN_YES,     /* the work ran */
  RAN_UNKNOWN, /* the work may have run */
};

struct status
{
  enum status_kind kind;
  char message[STATUS_MESSAGE_BYTES]; /* empty when OK */
};

/* The answer to one kind of error.  */
struct status_answer
{
  const char *name;    /* stable name in JSON, for example "version-conflict" */
  int http_code;       /* HTTP status code */
  int exit_code;       /* exit code of sassafrasctl */
  enum status_ran ran; /* default conclusion for a caller */
  bool may_retry;      /* a later identical request may succeed */
};

const struct status_answer *status_answer (enum status_kind kind); /* Answer to KIND. */
enum status_kind
status_kind_from_name (const char *name); /* Inverse of name; STATUS_INTERNAL when unknown. */
const char *status_ran_name (enum status_ran ran); /* "no", "yes" or "unknown". */
void status_clear (struct status *st);             /* Sets OK and an empty message. */
bool status_ok (const struct status *st);          /* True when the kind is OK. */
int status_set (struct status *st, enum status_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 3,
                            4))); /* Sets kind and message (ST may be NULL); returns -1. */

#endif
