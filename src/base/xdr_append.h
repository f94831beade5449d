/* xdr_append: appends a value in its XDR encoding to a buffer.  */

#ifndef SASSAFRAS_XDR_APPEND_H
#define SASSAFRAS_XDR_APPEND_H

#include <rpc/rpc.h>
#include <stdbool.h>

#include "buffer.h"

/* False, with OUT as before, if a string or an array in VALUE is over the limit of its type.  */
bool xdr_append (struct buffer *out, xdrproc_t proc, const void *value);

#endif
