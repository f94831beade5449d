#include "propose_command.h"

#include <stdbool.h>

#include "buffer.h"
#include "cell.h"
#include "registry.h"

void
propose_cell_command (struct proposer *p, uint64_t cell, cell_command *command, propose_done *done,
                      void *arg)
{
  struct buffer entry;
  buffer_init (&entry);
  cell_encode (NULL, 0, command, 1, &entry);
  p->ops->propose (p, cell, entry.data, entry.len, done, arg);
  buffer_close (&entry);
}

int
propose_registry_command (struct proposer *p, const registry_command *command, propose_done *done,
                          void *arg, struct status *st)
{
  struct buffer encoded;
  buffer_init (&encoded);
  int rc = registry_encode (command, &encoded, st);
  if (rc == 0)
    p->ops->propose (p, REGISTRY_GROUP, encoded.data, encoded.len, done, arg);
  buffer_close (&encoded);
  return rc;
}

void
propose_clear_flag (void *flag, const struct status *st, const void *result, size_t len)
{
  (void)st;
  (void)result;
  (void)len;
  *(bool *)flag = false;
}
