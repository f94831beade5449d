#include "xdr_append.h"

#include <limits.h>

bool
xdr_append (struct buffer *out, xdrproc_t proc, const void *value)
{
  /* XDR routines take mutable data for encoding and decoding; encoding only reads it.  */
  void *data = (void *)(uintptr_t)value;
  XDR xdr;
  unsigned long size = xdr_sizeof (proc, data);
  if (size == 0 || size > UINT_MAX)
    return false;
  buffer_reserve (out, size);
  xdrmem_create (&xdr, out->data + out->len, (u_int)size, XDR_ENCODE);
  bool ok = proc (&xdr, data);
  xdr_destroy (&xdr);
  if (ok)
    out->len += size;
  return ok;
}
