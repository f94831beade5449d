#include "memory_disk.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NAMES 8
#define MAX_FILES 64
#define NAME_BYTES 32

struct pending_write
{
  uint64_t offset;
  struct buffer data;
  bool truncate; /* truncates the file to OFFSET; DATA is unused */
};

struct disk_file
{
  struct buffer durable;
  struct buffer current;
  struct pending_write *writes;
  size_t writes_len;
};

struct disk_name
{
  char name[NAME_BYTES];
  int file; /* -1: removed */
};

struct memory_disk
{
  struct journal_io io; /* first member: the vtable */
  struct rng *rng;
  struct disk_file files[MAX_FILES];
  int files_len;
  struct disk_name current[MAX_NAMES];
  struct disk_name durable[MAX_NAMES];
  struct disk_name changes[MAX_FILES]; /* names not yet durable, in order */
  int changes_len;
  int calls;
  int crash_at;
  int fail_at;
  bool full;
  bool crashed;
};

static struct memory_disk *
disk_of (struct journal_io *io)
{
  return (struct memory_disk *)io;
}

static struct disk_name *
find_name (struct disk_name *names, const char *name)
{
  struct disk_name *unused = NULL;
  for (int i = 0; i < MAX_NAMES; i++)
    {
      if (strcmp (names[i].name, name) == 0)
        return &names[i];
      if (!unused && names[i].name[0] == '\0')
        unused = &names[i];
    }
  return unused;
}

static void
set_name (struct disk_name *names, const char *name, int file)
{
  struct disk_name *n = find_name (names, name);
  strncpy (n->name, name, sizeof n->name - 1);
  n->file = file;
}

static void
change_name (struct memory_disk *d, const char *name, int file)
{
  set_name (d->current, name, file);
  struct disk_name *c = &d->changes[d->changes_len++];
  strncpy (c->name, name, sizeof c->name - 1);
  c->file = file;
}

static void
put_bytes (struct buffer *b, uint64_t offset, const void *data, size_t len)
{
  if (b->len < offset + len)
    {
      size_t old = b->len;
      buffer_reserve (b, offset + len - old);
      memset (b->data + old, 0, offset + len - old);
      b->len = offset + len;
    }
  if (len > 0)
    memcpy (b->data + offset, data, len);
}

static void
clear_writes (struct disk_file *f)
{
  for (size_t i = 0; i < f->writes_len; i++)
    buffer_close (&f->writes[i].data);
  f->writes_len = 0;
}

static void
make_durable (struct disk_file *f)
{
  for (size_t i = 0; i < f->writes_len; i++)
    {
      struct pending_write *w = &f->writes[i];
      if (!w->truncate)
        put_bytes (&f->durable, w->offset, w->data.data, w->data.len);
      else if (f->durable.len > w->offset)
        f->durable.len = w->offset;
    }
  clear_writes (f);
}

static void
persist_partially (struct memory_disk *d, struct disk_file *f)
{
  for (size_t i = 0; i < f->writes_len; i++)
    {
      struct pending_write *w = &f->writes[i];
      uint64_t outcome = rng_below (d->rng, 3);
      size_t len = outcome == 0 ? 0 : w->data.len;
      if (outcome == 1)
        len = (size_t)rng_below (d->rng, w->data.len + 1);
      if (w->truncate && outcome != 0 && f->durable.len > w->offset)
        f->durable.len = w->offset;
      else if (!w->truncate)
        put_bytes (&f->durable, w->offset, w->data.data, len);
    }
  clear_writes (f);
  f->current.len = 0;
  buffer_append (&f->current, f->durable.data, f->durable.len);
}

static void
lose_power (struct memory_disk *d)
{
  int kept = (int)rng_below (d->rng, (uint64_t)d->changes_len + 1);
  for (int i = 0; i < kept; i++)
    set_name (d->durable, d->changes[i].name, d->changes[i].file);
  d->changes_len = 0;
  memcpy (d->current, d->durable, sizeof d->current);
  for (int i = 0; i < d->files_len; i++)
    persist_partially (d, &d->files[i]);
}

/* Counts one write call; true when it must fail without taking effect.  */
static bool
inject_fault (struct memory_disk *d)
{
  errno = EIO;
  if (d->crashed)
    return true;
  d->calls++;
  if (d->crash_at > 0 && --d->crash_at == 0)
    {
      d->crashed = true;
      return rng_chance (d->rng, 0.5); /* half of the crashes come after the call's effect */
    }
  if ((d->fail_at > 0 && --d->fail_at == 0) || d->full)
    {
      errno = ENOSPC;
      return true;
    }
  return false;
}

static int
call_result (struct memory_disk *d)
{
  errno = EIO;
  return d->crashed ? -1 : 0;
}

static int
disk_open (struct journal_io *io, const char *name, bool create)
{
  struct memory_disk *d = disk_of (io);
  struct disk_name *n = find_name (d->current, name);
  if (!create)
    {
      errno = ENOENT;
      return n && n->name[0] && n->file >= 0 ? n->file : -1;
    }
  if (inject_fault (d))
    return -1;
  int file = -1;
  for (int i = 0; i < d->files_len && file < 0; i++)
    {
      bool used = false;
      for (int k = 0; k < MAX_NAMES; k++)
        used |= (d->current[k].name[0] && d->current[k].file == i)
                || (d->durable[k].name[0] && d->durable[k].file == i);
      for (int k = 0; k < d->changes_len; k++)
        used |= d->changes[k].file == i;
      if (!used)
        file = i;
    }
  if (file < 0)
    file = d->files_len++;
  struct disk_file *f = &d->files[file];
  clear_writes (f);
  f->durable.len = 0;
  f->current.len = 0;
  change_name (d, name, file);
  return call_result (d) ? -1 : file;
}

static ssize_t
disk_read (struct journal_io *io, int file, uint64_t offset, void *data, size_t len)
{
  struct buffer *b = &disk_of (io)->files[file].current;
  if (offset >= b->len)
    return 0;
  if (len > b->len - offset)
    len = b->len - offset;
  memcpy (data, b->data + offset, len);
  return (ssize_t)len;
}

static struct pending_write *
add_write (struct disk_file *f)
{
  f->writes = xrealloc (f->writes, (f->writes_len + 1) * sizeof *f->writes);
  struct pending_write *w = &f->writes[f->writes_len++];
  memset (w, 0, sizeof *w);
  return w;
}

static ssize_t
disk_write (struct journal_io *io, int file, uint64_t offset, const void *data, size_t len)
{
  struct memory_disk *d = disk_of (io);
  struct disk_file *f = &d->files[file];
  if (inject_fault (d))
    return -1;
  struct pending_write *w = add_write (f);
  w->offset = offset;
  buffer_append (&w->data, data, len);
  put_bytes (&f->current, offset, data, len);
  return call_result (d) ? -1 : (ssize_t)len;
}

static int64_t
disk_size (struct journal_io *io, int file)
{
  return (int64_t)disk_of (io)->files[file].current.len;
}

static int
disk_truncate (struct journal_io *io, int file, uint64_t size)
{
  struct memory_disk *d = disk_of (io);
  struct disk_file *f = &d->files[file];
  if (inject_fault (d))
    return -1;
  struct pending_write *w = add_write (f);
  w->offset = size;
  w->truncate = true;
  if (f->current.len > size)
    f->current.len = size;
  return call_result (d);
}

static int
disk_sync (struct journal_io *io, int file)
{
  struct memory_disk *d = disk_of (io);
  if (inject_fault (d))
    {
      if (!d->crashed)
        clear_writes (&d->files[file]);
      return -1;
    }
  make_durable (&d->files[file]);
  return call_result (d);
}

static int
disk_rename (struct journal_io *io, const char *from, const char *to)
{
  struct memory_disk *d = disk_of (io);
  if (inject_fault (d))
    return -1;
  change_name (d, to, find_name (d->current, from)->file);
  set_name (d->current, from, -1);
  return call_result (d);
}

static int
disk_sync_folder (struct journal_io *io)
{
  struct memory_disk *d = disk_of (io);
  if (inject_fault (d))
    return -1;
  for (int i = 0; i < d->changes_len; i++)
    set_name (d->durable, d->changes[i].name, d->changes[i].file);
  d->changes_len = 0;
  return call_result (d);
}

static int
disk_lock (struct journal_io *io)
{
  (void)io;
  return 0;
}

static void
disk_close (struct journal_io *io, int file)
{
  (void)io;
  (void)file;
}

static void
disk_release (struct journal_io *io)
{
  (void)io;
}

static const struct journal_io_ops disk_ops = {
  disk_open,   disk_read,        disk_write, disk_size,  disk_truncate, disk_sync,
  disk_rename, disk_sync_folder, disk_lock,  disk_close, disk_release,
};

struct memory_disk *
memory_disk_create (struct rng *rng)
{
  struct memory_disk *d = xcalloc (1, sizeof *d);
  d->io.ops = &disk_ops;
  d->rng = rng;
  return d;
}

void
memory_disk_free (struct memory_disk *d)
{
  if (!d)
    return;
  for (int i = 0; i < d->files_len; i++)
    {
      clear_writes (&d->files[i]);
      free (d->files[i].writes);
      buffer_close (&d->files[i].durable);
      buffer_close (&d->files[i].current);
    }
  free (d);
}

struct journal_io *
memory_disk_io (struct memory_disk *d)
{
  return &d->io;
}

void
memory_disk_crash_at (struct memory_disk *d, int calls)
{
  d->crash_at = calls;
}

void
memory_disk_fail_at (struct memory_disk *d, int calls)
{
  d->fail_at = calls;
}

void
memory_disk_set_full (struct memory_disk *d, bool full)
{
  d->full = full;
}

bool
memory_disk_is_full (const struct memory_disk *d)
{
  return d->full;
}

bool
memory_disk_crashed (const struct memory_disk *d)
{
  return d->crashed;
}

void
memory_disk_restart (struct memory_disk *d)
{
  if (d->crashed)
    lose_power (d);
  d->crashed = false;
  d->crash_at = 0;
  d->fail_at = 0;
}

void
memory_disk_crash (struct memory_disk *d)
{
  d->crashed = true;
  memory_disk_restart (d);
}

int
memory_disk_calls (const struct memory_disk *d)
{
  return d->calls;
}

struct buffer *
memory_disk_file (struct memory_disk *d, const char *name)
{
  struct disk_name *n = find_name (d->current, name);
  return n && n->name[0] && n->file >= 0 ? &d->files[n->file].current : NULL;
}
