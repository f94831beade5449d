/* orders_codec: encodes and decodes the messages of orders_proto.x.

   A batch is encoded item by item, because the strings of an item are valid only during the call
   that adds it; the message header is added when the batch is sent.  */

#ifndef SASSAFRAS_ORDERS_CODEC_H
#define SASSAFRAS_ORDERS_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "worker_link.h"

/* Encoded items of a batch that has not been sent.  */
struct orders_items
{
  struct buffer bytes;
  uint32_t count;
};

void orders_items_init (struct orders_items *items);
void orders_items_close (struct orders_items *items);
bool orders_items_full (const struct orders_items *items); /* Send before adding another item. */
bool orders_add_order (struct orders_items *items,
                       const relayed_order *order); /* False: a field is over its limit. */
/* LISTS, of WORKER, may be NULL.  An end that doesn't fit comes with the answer to a later hold. */
void orders_add_answer (struct orders_items *items, uint64_t call, const char *worker,
                        enum worker_call_result result, const struct worker_lists *lists);
/* Append the complete message to OUT and clear ITEMS.  */
void orders_encode_orders (struct orders_items *items, uint64_t echo, struct buffer *out);
void orders_encode_answers (struct orders_items *items, uint64_t clock, bool stopping,
                            struct buffer *out);
bool orders_decode (const void *data, size_t len,
                    orders_message *out); /* False if malformed; else release by orders_free. */
void orders_free (orders_message *message);

#endif
