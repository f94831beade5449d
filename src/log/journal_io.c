/* The files of one folder on a real file system.  */

#include "journal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define FOLDER_MODE 0700
#define FILE_MODE 0600

struct folder_io
{
  struct journal_io io; /* first member: the vtable */
  int folder;           /* file descriptor of the folder */
  int lock;             /* file descriptor that holds the lock, or -1 */
};

static int
folder_open (struct journal_io *io, const char *name, bool create)
{
  struct folder_io *f = (struct folder_io *)io;
  int flags = O_RDWR | O_CLOEXEC | (create ? O_CREAT | O_TRUNC : 0);
  return openat (f->folder, name, flags, FILE_MODE);
}

static ssize_t
folder_read (struct journal_io *io, int file, uint64_t offset, void *data, size_t len)
{
  (void)io;
  size_t done = 0;
  while (done < len)
    {
      ssize_t n = pread (file, (char *)data + done, len - done, (off_t)(offset + done));
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return -1;
      if (n == 0)
        break;
      done += (size_t)n;
    }
  return (ssize_t)done;
}

static ssize_t
folder_write (struct journal_io *io, int file, uint64_t offset, const void *data, size_t len)
{
  (void)io;
  size_t done = 0;
  while (done < len)
    {
      ssize_t n = pwrite (file, (const char *)data + done, len - done, (off_t)(offset + done));
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return -1;
      done += (size_t)n;
    }
  return (ssize_t)done;
}

static int64_t
folder_size (struct journal_io *io, int file)
{
  struct stat sb;
  (void)io;
  return fstat (file, &sb) ? -1 : (int64_t)sb.st_size;
}

static int
folder_truncate (struct journal_io *io, int file, uint64_t size)
{
  (void)io;
  return ftruncate (file, (off_t)size);
}

static int
folder_sync (struct journal_io *io, int file)
{
  (void)io;
  return fdatasync (file);
}

static int
folder_rename (struct journal_io *io, const char *from, const char *to)
{
  struct folder_io *f = (struct folder_io *)io;
  return renameat (f->folder, from, f->folder, to);
}

static int
folder_sync_folder (struct journal_io *io)
{
  return fsync (((struct folder_io *)io)->folder);
}

static int
folder_lock (struct journal_io *io)
{
  struct folder_io *f = (struct folder_io *)io;
  f->lock = openat (f->folder, "lock", O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
  if (f->lock < 0)
    return -1;
  return flock (f->lock, LOCK_EX | LOCK_NB);
}

static void
folder_close (struct journal_io *io, int file)
{
  (void)io;
  close (file);
}

static void
folder_free (struct journal_io *io)
{
  struct folder_io *f = (struct folder_io *)io;
  if (f->lock >= 0)
    close (f->lock);
  close (f->folder);
  free (f);
}

static const struct journal_io_ops folder_ops = {
  folder_open,   folder_read,        folder_write, folder_size,  folder_truncate, folder_sync,
  folder_rename, folder_sync_folder, folder_lock,  folder_close, folder_free,
};

/* Syncs the folder that contains FOLDER, so that a new FOLDER survives a crash.  */
static void
sync_parent (const char *folder)
{
  char *path = xstrdup (folder);
  size_t len = strlen (path);
  while (len > 1 && path[len - 1] == '/')
    path[--len] = '\0';
  char *slash = strrchr (path, '/');
  if (slash)
    slash[slash == path ? 1 : 0] = '\0';
  int fd = open (slash ? path : ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd >= 0)
    {
      fsync (fd);
      close (fd);
    }
  free (path);
}

struct journal_io *
journal_folder_io (const char *folder, struct status *st)
{
  if (mkdir (folder, FOLDER_MODE) == 0)
    sync_parent (folder);
  else if (errno != EEXIST)
    {
      status_set (st, STATUS_DISK_FAILED, "cannot create folder %s: %s", folder, strerror (errno));
      return NULL;
    }
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    {
      status_set (st, STATUS_DISK_FAILED, "cannot open folder %s: %s", folder, strerror (errno));
      return NULL;
    }
  struct folder_io *f = xcalloc (1, sizeof *f);
  f->io.ops = &folder_ops;
  f->folder = fd;
  f->lock = -1;
  return &f->io;
}
