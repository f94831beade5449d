#include "cell.h"

#include <stdlib.h>
#include <string.h>

#include "cell_internal.h"

#define UNDECODABLE_ENTRY_MESSAGE "the entry cannot be decoded"

static char empty_string[] = "";

void
cell_set_error (cell_result *r, enum status_kind kind, const char *message)
{
  r->status = kind;
  if (r->message != empty_string)
    free (r->message);
  r->message = xstrdup (message);
}

static void
apply_transfer (struct cell *c, cell_command *cmd, cell_result *r)
{
  cell_transfer *a = &cmd->cell_command_u.transfer;
  if (cmd->kind == CELL_HANDOFF_ACCEPT)
    cell_apply_accept (c, a, r);
  else if (cmd->kind == CELL_HANDOFF_REFUSE)
    cell_apply_refuse (c, a, r);
  else if (cmd->kind == CELL_REPLICA_ADD)
    cell_apply_replica_add (c, a, r);
  else
    cell_apply_standby_put (c, a, r);
}

static void
apply_handoff_end (struct cell *c, const cell_command *cmd, cell_result *r)
{
  const cell_handoff_end *a = &cmd->cell_command_u.handoff_end;
  if (cmd->kind == CELL_HANDOFF_DONE)
    cell_apply_handoff_done (c, a, r);
  else if (cmd->kind == CELL_HANDOFF_ABORT)
    cell_apply_handoff_abort (c, a, r);
  else
    cell_apply_replaced (c, a, r);
}

static void
apply_command (struct cell *c, cell_command *cmd, cell_result *r)
{
  switch (cmd->kind)
    {
    case CELL_SUBMIT:
      cell_apply_submit (c, &cmd->cell_command_u.submit, r);
      break;
    case CELL_CANCEL:
      cell_apply_cancel (c, &cmd->cell_command_u.cancel, r);
      break;
    case CELL_PLACE:
      cell_apply_place (c, &cmd->cell_command_u.place, r);
      break;
    case CELL_REPORT:
      cell_apply_report (c, &cmd->cell_command_u.report, r);
      break;
    case CELL_STOP:
      cell_apply_stop (c, &cmd->cell_command_u.stop, r);
      break;
    case CELL_LOST:
      cell_apply_lost (c, &cmd->cell_command_u.lost, r);
      break;
    case CELL_FAIL_JOB:
      cell_apply_fail_job (c, &cmd->cell_command_u.fail_job, r);
      break;
    case CELL_HANDOFF_OFFER:
      cell_apply_offer (c, &cmd->cell_command_u.offer, r);
      break;
    case CELL_STANDBY_SENT:
      cell_apply_standby_sent (c, &cmd->cell_command_u.offer, r);
      break;
    case CELL_HANDOFF_ACCEPT:
    case CELL_HANDOFF_REFUSE:
    case CELL_REPLICA_ADD:
    case CELL_STANDBY_PUT:
      apply_transfer (c, cmd, r);
      break;
    case CELL_HANDOFF_DONE:
    case CELL_HANDOFF_ABORT:
    case CELL_REPLICA_REPLACED:
      apply_handoff_end (c, cmd, r);
      break;
    case CELL_STANDBY_START:
      cell_apply_standby_start (c, &cmd->cell_command_u.standby_start, r);
      break;
    case CELL_STANDBY_DROP:
      cell_apply_standby_drop (c, &cmd->cell_command_u.standby_drop, r);
      break;
    case CELL_EPOCH_CLOSED:
      cell_apply_epoch_closed (c, &cmd->cell_command_u.epoch_closed, r);
      break;
    case CELL_INTENT_BEGIN:
      cell_apply_intent_begin (c, &cmd->cell_command_u.intent_begin, r);
      break;
    case CELL_INTENT_FINISH:
      cell_apply_intent_finish (c, &cmd->cell_command_u.intent_finish, r);
      break;
    }
}

static void
append_xdr (struct buffer *out, xdrproc_t proc, void *value)
{
  size_t size = xdr_sizeof (proc, value);
  XDR xdr;
  buffer_reserve (out, size);
  xdrmem_create (&xdr, out->data + out->len, (u_int)size, XDR_ENCODE);
  bool ok = proc (&xdr, value);
  xdr_destroy (&xdr);
  if (!ok)
    abort ();
  out->len += size;
  out->data[out->len] = '\0';
}

static void
encode_results (cell_results *results, struct buffer *out)
{
  append_xdr (out, (xdrproc_t)xdr_cell_results, results);
  for (u_int i = 0; i < results->results.results_len; i++)
    {
      cell_result *r = &results->results.results_val[i];
      if (r->message != empty_string)
        free (r->message);
    }
  free (results->results.results_val);
}

static void
init_results (cell_results *results, u_int count)
{
  results->results.results_len = count;
  results->results.results_val = xcalloc (count, sizeof (cell_result));
  for (u_int i = 0; i < count; i++)
    results->results.results_val[i].message = empty_string;
}

static void
cell_apply (struct machine *m, uint64_t index, const void *command, size_t len,
            struct buffer *result)
{
  struct cell *c = (struct cell *)m;
  (void)index;
  XDR xdr;
  cell_batch batch;
  cell_results results;
  memset (&batch, 0, sizeof batch);
  xdrmem_create (&xdr, (char *)(uintptr_t)command, (u_int)len, XDR_DECODE);
  if (!xdr_cell_batch (&xdr, &batch))
    {
      init_results (&results, 1);
      cell_set_error (&results.results.results_val[0], STATUS_BAD_REQUEST,
                      UNDECODABLE_ENTRY_MESSAGE);
      xdr_free ((xdrproc_t)xdr_cell_batch, (char *)&batch);
      encode_results (&results, result);
      return;
    }
  if (batch.now_ms > c->now_ms)
    c->now_ms = batch.now_ms;
  cell_expire_finished_jobs (c);
  cell_expire_intents (c);
  cell_expire_handoffs (c);
  init_results (&results, batch.commands.commands_len);
  for (u_int i = 0; i < batch.commands.commands_len; i++)
    apply_command (c, &batch.commands.commands_val[i], &results.results.results_val[i]);
  encode_results (&results, result);
  xdr_free ((xdrproc_t)xdr_cell_batch, (char *)&batch);
}

static const struct machine_ops cell_ops = { cell_apply, cell_save, cell_load };

void
cell_init (struct cell *c, uint64_t number)
{
  memset (c, 0, sizeof *c);
  c->machine.ops = &cell_ops;
  c->number = number;
  c->epoch = 1;
  c->next_id = 1;
  cell_map_init (&c->tasks);
  cell_map_init (&c->jobs);
  cell_map_init (&c->requests);
  cell_map_init (&c->intents);
  cell_map_init (&c->handoffs);
  TAILQ_INIT (&c->job_list);
  TAILQ_INIT (&c->finished);
  TAILQ_INIT (&c->intent_list);
  TAILQ_INIT (&c->handoff_list);
}

void
cell_close (struct cell *c)
{
  cell_free_all (c);
  cell_map_close (&c->tasks);
  cell_map_close (&c->jobs);
  cell_map_close (&c->requests);
  cell_map_close (&c->intents);
  cell_map_close (&c->handoffs);
}

void
cell_set_observer (struct cell *c, const struct cell_observer *o)
{
  if (o)
    c->observer = *o;
  else
    memset (&c->observer, 0, sizeof c->observer);
}

void
cell_set_leader_time (struct cell *c, int64_t now_ms)
{
  c->time_base_ms = c->now_ms - now_ms;
}

int64_t
cell_log_time (const struct cell *c, int64_t now_ms)
{
  int64_t t = now_ms + c->time_base_ms;
  return t > c->now_ms ? t : c->now_ms;
}

void
cell_encode (const struct cell *c, int64_t now_ms, cell_command *commands, size_t count,
             struct buffer *out)
{
  cell_batch batch;
  batch.now_ms = c ? cell_log_time (c, now_ms) : 0;
  batch.commands.commands_len = (u_int)count;
  batch.commands.commands_val = commands;
  append_xdr (out, (xdrproc_t)xdr_cell_batch, &batch);
}

int
cell_decode_results (const void *data, size_t len, cell_results *out, struct status *st)
{
  XDR xdr;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  if (xdr_cell_results (&xdr, out))
    return 0;
  cell_free_results (out);
  return status_set (st, STATUS_INTERNAL, "the result of a cell entry cannot be decoded");
}

void
cell_free_results (cell_results *r)
{
  xdr_free ((xdrproc_t)xdr_cell_results, (char *)r);
  memset (r, 0, sizeof *r);
}

void
cell_stamp (const struct cell *c, int64_t now_ms, void *entry, size_t len)
{
  XDR xdr;
  int64_t time_ms = cell_log_time (c, now_ms);
  xdrmem_create (&xdr, entry, (u_int)len, XDR_ENCODE);
  xdr_int64_t (&xdr, &time_ms);
  xdr_destroy (&xdr);
}

int
cell_decode_batch (const void *data, size_t len, cell_batch *out, struct status *st)
{
  XDR xdr;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  if (xdr_cell_batch (&xdr, out))
    return 0;
  cell_free_batch (out);
  return status_set (st, STATUS_BAD_REQUEST, "malformed command of a cell");
}

void
cell_free_batch (cell_batch *b)
{
  xdr_free ((xdrproc_t)xdr_cell_batch, (char *)b);
}
