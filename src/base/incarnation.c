#include "incarnation.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"

#define FILE_NAME "incarnation"
#define TEXT_BYTES 32
#define PATH_BYTES 4200

static int
fail (struct status *st, const char *path, const char *what)
{
  return status_set (st, STATUS_DISK_FAILED, "cannot %s %s: %s", what, path, strerror (errno));
}

static uint64_t
read_last (const char *path)
{
  uint64_t last = 0;
  FILE *f = fopen (path, "r");
  if (!f)
    return 0;
  if (fscanf (f, "%" SCNu64, &last) != 1)
    last = 0;
  fclose (f);
  return last;
}

/* Writes and syncs a temporary file, then renames it over PATH.  */
static int
write_next (const char *path, uint64_t value, struct status *st)
{
  char text[TEXT_BYTES];
  char temporary[PATH_BYTES + 8];
  snprintf (temporary, sizeof temporary, "%s.new", path);
  int len = snprintf (text, sizeof text, "%" PRIu64 "\n", value);
  int file = open (temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0)
    return fail (st, temporary, "create");
  bool ok = write (file, text, (size_t)len) == len && fsync (file) == 0;
  close (file);
  if (!ok || rename (temporary, path) < 0)
    return fail (st, path, "write");
  return 0;
}

int
incarnation_next (const char *data_dir, uint64_t *out, struct status *st)
{
  char path[PATH_BYTES];
  *out = (uint64_t)clock_wall_ms ();
  if (!data_dir[0])
    return 0;
  snprintf (path, sizeof path, "%s/%s", data_dir, FILE_NAME);
  uint64_t last = read_last (path);
  if (*out <= last)
    *out = last + 1;
  return write_next (path, *out, st);
}
