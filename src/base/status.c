#include "status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const struct status_answer answers[STATUS_KINDS] = {
  [STATUS_OK] = { "ok", 200, 0, RAN_YES, false },
  [STATUS_BAD_REQUEST] = { "bad-request", 400, 2, RAN_NO, false },
  [STATUS_TOO_LARGE] = { "too-large", 413, 2, RAN_NO, false },
  [STATUS_NOT_FOUND] = { "not-found", 404, 3, RAN_NO, false },
  [STATUS_METHOD_NOT_ALLOWED] = { "method-not-allowed", 405, 2, RAN_NO, false },
  [STATUS_UNAUTHORIZED] = { "unauthorized", 401, 4, RAN_NO, false },
  [STATUS_UNKNOWN_CUSTOMER] = { "unknown-customer", 403, 3, RAN_NO, false },
  [STATUS_UNKNOWN_PLAN] = { "unknown-plan", 422, 3, RAN_NO, false },
  [STATUS_INVALID_LIST] = { "invalid-list", 422, 5, RAN_NO, false },
  [STATUS_VERSION_CONFLICT] = { "version-conflict", 409, 6, RAN_NO, false },
  [STATUS_NOT_LEADER] = { "not-leader", 503, 7, RAN_NO, true },
  [STATUS_NO_QUORUM] = { "no-quorum", 503, 7, RAN_NO, true },
  [STATUS_OUTCOME_UNKNOWN] = { "outcome-unknown", 504, 8, RAN_UNKNOWN, true },
  [STATUS_IN_PROGRESS] = { "in-progress", 409, 8, RAN_UNKNOWN, true },
  [STATUS_OVERLOADED] = { "overloaded", 503, 9, RAN_NO, true },
  [STATUS_LIMIT_EXCEEDED] = { "limit-exceeded", 429, 9, RAN_NO, true },
  [STATUS_DEADLINE_EXCEEDED] = { "deadline-exceeded", 504, 10, RAN_UNKNOWN, false },
  [STATUS_NO_BACKEND] = { "no-backend", 503, 9, RAN_NO, true },
  [STATUS_BACKEND_FAILED] = { "backend-failed", 502, 11, RAN_UNKNOWN, true },
  [STATUS_BACKEND_TRUNCATED] = { "backend-truncated", 502, 11, RAN_UNKNOWN, true },
  [STATUS_UNSATISFIABLE] = { "unsatisfiable", 422, 5, RAN_NO, false },
  [STATUS_DATA_CENTRE_OUT] = { "data-centre-out", 503, 9, RAN_NO, true },
  [STATUS_STALE_EPOCH] = { "stale-epoch", 409, 6, RAN_NO, false },
  [STATUS_STALE_INCARNATION] = { "stale-incarnation", 409, 6, RAN_NO, false },
  [STATUS_SHUTTING_DOWN] = { "shutting-down", 503, 9, RAN_NO, true },
  [STATUS_TIMEOUT] = { "timeout", 504, 10, RAN_UNKNOWN, true },
  [STATUS_DISK_FAILED] = { "disk-failed", 503, 12, RAN_NO, true },
  [STATUS_JOURNAL_DAMAGED] = { "journal-damaged", 500, 12, RAN_NO, false },
  [STATUS_INVALID_SETTING] = { "invalid-setting", 400, 2, RAN_NO, false },
  [STATUS_INTERNAL] = { "internal", 500, 13, RAN_UNKNOWN, false },
  [STATUS_SENDER_GONE] = { "sender-gone", 503, 9, RAN_NO, true },
};

const struct status_answer *
status_answer (enum status_kind kind)
{
  if ((unsigned)kind >= STATUS_KINDS)
    kind = STATUS_INTERNAL;
  return &answers[kind];
}

enum status_kind
status_kind_from_name (const char *name)
{
  for (int i = 0; i < STATUS_KINDS; i++)
    if (strcmp (answers[i].name, name) == 0)
      return (enum status_kind)i;
  return STATUS_INTERNAL;
}

const char *
status_ran_name (enum status_ran ran)
{
  static const char *const names[]
      = { [RAN_NO] = "no", [RAN_YES] = "yes", [RAN_UNKNOWN] = "unknown" };
  return names[ran];
}

void
status_clear (struct status *st)
{
  st->kind = STATUS_OK;
  st->message[0] = '\0';
}

bool
status_ok (const struct status *st)
{
  return st->kind == STATUS_OK;
}

int
status_set (struct status *st, enum status_kind kind, const char *format, ...)
{
  if (!st)
    return -1;
  va_list args;
  va_start (args, format);
  st->kind = kind;
  vsnprintf (st->message, sizeof st->message, format, args);
  va_end (args);
  return -1;
}
