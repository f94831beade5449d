#include <arpa/inet.h>
#include <string.h>

#include "registry.h"

#define MAX_COMMAND_BYTES (1024 * 1024)

int
registry_encode (const registry_command *command, struct buffer *out, struct status *st)
{
  XDR xdrs;
  size_t size = xdr_sizeof ((xdrproc_t)xdr_registry_command, (void *)command);
  if (size == 0 || size > MAX_COMMAND_BYTES)
    return status_set (st, STATUS_TOO_LARGE, "a field of the command is over its limit");
  buffer_reserve (out, size);
  xdrmem_create (&xdrs, out->data + out->len, (unsigned)size, XDR_ENCODE);
  bool valid = xdr_registry_command (&xdrs, (registry_command *)command);
  if (valid)
    out->len += xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  out->data[out->len] = '\0';
  return valid ? 0 : status_set (st, STATUS_TOO_LARGE, "a field of the command is over its limit");
}

/* XDR encodes a hyper as two big-endian words, high word first.  */
int
registry_stamp (void *command, size_t len, int64_t time_ms)
{
  uint32_t words[2];
  if (len < sizeof words)
    return -1;
  words[0] = htonl ((uint32_t)((uint64_t)time_ms >> 32));
  words[1] = htonl ((uint32_t)(uint64_t)time_ms);
  memcpy (command, words, sizeof words);
  return 0;
}

int
registry_decode_result (const void *data, size_t len, registry_result *out, struct status *st)
{
  XDR xdrs;
  memset (out, 0, sizeof *out);
  xdrmem_create (&xdrs, (char *)data, (unsigned)len, XDR_DECODE);
  bool valid = xdr_registry_result (&xdrs, out) && xdr_getpos (&xdrs) == len;
  xdr_destroy (&xdrs);
  if (valid)
    return 0;
  registry_result_free (out);
  return status_set (st, STATUS_INTERNAL, "result of %zu bytes cannot be decoded", len);
}

void
registry_result_free (registry_result *result)
{
  xdr_free ((xdrproc_t)xdr_registry_result, (char *)result);
  memset (result, 0, sizeof *result);
}
