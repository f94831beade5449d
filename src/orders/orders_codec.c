#include "orders_codec.h"

#include <stdlib.h>
#include <string.h>

#include "checkpoint.h"
#include "xdr_append.h"

#define BATCH_BYTES (512u * 1024) /* a quarter of the maximum message size */
#define BATCH_ITEMS 1024          /* a quarter of ORDERS_MOST */
#define COUNT_BYTES 4             /* length word of an XDR array */
/* Of one answer, so that it fits into a message beside a full batch.  Runs beyond it are listed
   without checkpoint, ends beyond it come with a later answer.  */
#define RUN_CHECKPOINT_BYTES (256u * 1024)
#define END_ROWS_BYTES (512u * 1024)
#define END_ROW_BYTES 64 /* at least that of a row without its checkpoint */

void
orders_items_init (struct orders_items *items)
{
  buffer_init (&items->bytes);
  items->count = 0;
}

void
orders_items_close (struct orders_items *items)
{
  buffer_close (&items->bytes);
}

bool
orders_items_full (const struct orders_items *items)
{
  return items->bytes.len >= BATCH_BYTES || items->count >= BATCH_ITEMS;
}

bool
orders_add_order (struct orders_items *items, const relayed_order *order)
{
  if (!xdr_append (&items->bytes, (xdrproc_t)xdr_relayed_order, order))
    return false;
  items->count++;
  return true;
}

/* The first checkpoints to be copied are those of row FIRST and later ones, so that none is left
   out for ever.  */
static u_int
copy_running (const struct worker_lists *lists, size_t first, listed_run *out)
{
  u_int n = lists->running_len < ORDERS_MOST_RUNS ? (u_int)lists->running_len : ORDERS_MOST_RUNS;
  size_t bytes = 0;
  for (u_int k = 0; k < n; k++)
    {
      size_t i = (first + k) % n;
      const struct reported_run *h = &lists->running[i];
      bool fits = checkpoint_fits (h->checkpoint)
                  && bytes + strlen (h->checkpoint) <= RUN_CHECKPOINT_BYTES;
      const char *checkpoint = fits ? h->checkpoint : "";
      bytes += strlen (checkpoint);
      out[i] = (listed_run){ .task = h->task,
                             .run = h->run,
                             .checkpoint = (char *)(uintptr_t)checkpoint,
                             .percent = h->percent,
                             .measure = h->measure };
    }
  return n;
}

static u_int
copy_ended (const struct worker_lists *lists, const char *worker, listed_end_row *out)
{
  u_int n = 0;
  size_t bytes = 0;
  for (size_t i = 0; i < lists->ended_len && n < ORDERS_MOST_ENDS; i++)
    {
      const struct reported_end *h = &lists->ended[i];
      const char *checkpoint = checkpoint_fits (h->checkpoint) ? h->checkpoint : "";
      bytes += END_ROW_BYTES + strlen (checkpoint);
      if (n > 0 && bytes > END_ROWS_BYTES)
        break;
      if (checkpoint != h->checkpoint)
        checkpoint_dropped (&h->task, h->run, worker, h->checkpoint, "too long");
      out[n++] = (listed_end_row){ .number = h->number,
                                   .task = h->task,
                                   .run = h->run,
                                   .outcome = h->outcome,
                                   .checkpoint = (char *)(uintptr_t)checkpoint };
    }
  return n;
}

void
orders_add_answer (struct orders_items *items, uint64_t call, const char *worker,
                   enum worker_call_result result, const struct worker_lists *lists)
{
  relayed_answer a = { .call = call, .result = result };
  relayed_lists copy = { 0 };
  if (lists)
    {
      copy.clock_ms = lists->clock_ms;
      copy.born_ms = lists->born_ms;
      copy.running.running_val = xcalloc (lists->running_len + 1, sizeof (listed_run));
      copy.running.running_len = copy_running (lists, call, copy.running.running_val);
      copy.ended.ended_val = xcalloc (lists->ended_len + 1, sizeof (listed_end_row));
      copy.ended.ended_len = copy_ended (lists, worker, copy.ended.ended_val);
      /* Else missing runs would count as not running.  */
      copy.complete = lists->complete && copy.running.running_len == lists->running_len
                      && copy.ended.ended_len == lists->ended_len;
      a.lists = &copy;
    }
  if (!xdr_append (&items->bytes, (xdrproc_t)xdr_relayed_answer, &a))
    {
      relayed_answer unknown = { .call = call, .result = WORKER_CALL_UNKNOWN };
      xdr_append (&items->bytes, (xdrproc_t)xdr_relayed_answer, &unknown);
    }
  items->count++;
  free (copy.running.running_val);
  free (copy.ended.ended_val);
}

/* HEAD is the message without items; its last word, the item count, is overwritten.  */
static void
encode_message (struct orders_items *items, const orders_message *head, struct buffer *out)
{
  XDR xdr;
  xdr_append (out, (xdrproc_t)xdr_orders_message, head);
  xdrmem_create (&xdr, out->data + out->len - COUNT_BYTES, COUNT_BYTES, XDR_ENCODE);
  xdr_u_int (&xdr, &items->count);
  xdr_destroy (&xdr);
  buffer_append (out, items->bytes.data, items->bytes.len);
  items->bytes.len = 0;
  items->count = 0;
}

void
orders_encode_orders (struct orders_items *items, uint64_t echo, struct buffer *out)
{
  orders_message head = { .kind = ORDERS_TO_CALL };
  head.orders_message_u.orders.echo = echo;
  encode_message (items, &head, out);
}

void
orders_encode_answers (struct orders_items *items, uint64_t clock, bool stopping,
                       struct buffer *out)
{
  orders_message head = { .kind = ORDERS_ANSWERED };
  head.orders_message_u.answers.clock = clock;
  head.orders_message_u.answers.stopping = stopping;
  encode_message (items, &head, out);
}

static bool
answer_valid (const relayed_answer *a)
{
  if (a->result > WORKER_CALL_NOT_SENT)
    return false;
  for (u_int i = 0; a->lists && i < a->lists->ended.ended_len; i++)
    {
      workflow_outcome outcome = a->lists->ended.ended_val[i].outcome;
      if (outcome < WORKFLOW_DONE || outcome > WORKFLOW_NOT_STARTED)
        return false;
    }
  return true;
}

/* Checks enum values, since XDR accepts any integer as an enum.  */
static bool
enums_valid (const orders_message *m)
{
  if (m->kind != ORDERS_ANSWERED)
    return true;
  const answer_batch *batch = &m->orders_message_u.answers;
  for (u_int i = 0; i < batch->answers.answers_len; i++)
    if (!answer_valid (&batch->answers.answers_val[i]))
      return false;
  return true;
}

bool
orders_decode (const void *data, size_t len, orders_message *out)
{
  XDR xdr;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  bool ok = xdr_orders_message (&xdr, out) && xdr_getpos (&xdr) == len && enums_valid (out);
  xdr_destroy (&xdr);
  if (!ok)
    orders_free (out);
  return ok;
}

void
orders_free (orders_message *message)
{
  xdr_free ((xdrproc_t)xdr_orders_message, (char *)message);
}
