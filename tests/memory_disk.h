/* memory_disk: a folder in memory for tests, which can fail or crash at each write point.

   NOTES
   Written data is durable after sync, created and renamed names after sync_folder.  A crash keeps a
   random part of the unsynced data: each write completely, as a prefix, or not at all, and a prefix
   of the pending name changes.  A sync that fails drops the unsynced data of its file, as a kernel
   does: it stays readable, and a later sync reports success without it.  */

#ifndef SASSAFRAS_MEMORY_DISK_H
#define SASSAFRAS_MEMORY_DISK_H

#include "journal.h"
#include "rng.h"

struct memory_disk;

struct memory_disk *memory_disk_create (struct rng *rng); /* An empty folder. */
void memory_disk_free (struct memory_disk *d);
struct journal_io *memory_disk_io (struct memory_disk *d);    /* For journal_open. */
void memory_disk_crash_at (struct memory_disk *d, int calls); /* Crash at the n-th write call. */
void memory_disk_fail_at (struct memory_disk *d, int calls);  /* That call fails, disk full. */
void memory_disk_set_full (struct memory_disk *d, bool full); /* While full all writes fail. */
bool memory_disk_is_full (const struct memory_disk *d);
bool memory_disk_crashed (const struct memory_disk *d);
void memory_disk_restart (struct memory_disk *d); /* After a crash: reads return what survived. */
void memory_disk_crash (struct memory_disk *d);   /* Power loss now, then restart. */
int memory_disk_calls (const struct memory_disk *d);                       /* Write calls so far. */
struct buffer *memory_disk_file (struct memory_disk *d, const char *name); /* NULL if absent. */

#endif
