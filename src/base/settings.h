/* settings: startup configuration of sassafrasd.

   Each flag --NAME is also read from the environment variable SASSAFRAS_NAME (upper case, hyphens
   as underscores); the flag takes precedence.  Every setting out of range is reported with its
   name, value and allowed range; no value is corrected silently.  Listen addresses that are not set
   default to those of this VM in the members file.  */

#ifndef SASSAFRAS_SETTINGS_H
#define SASSAFRAS_SETTINGS_H

#include <stdbool.h>

#include "buffer.h"
#include "log.h"
#include "members.h"
#include "status.h"

#define SASSAFRAS_VERSION "0.1.0"
#define SETTINGS_NAME_BYTES 64
#define SETTINGS_ADDRESS_BYTES 64
#define SETTINGS_PATH_BYTES 4096
#define SETTINGS_TOKEN_BYTES 256

struct settings
{
  char vm[SETTINGS_NAME_BYTES];
  char data_centre[SETTINGS_NAME_BYTES];
  char region[SETTINGS_NAME_BYTES];
  char deployment[SETTINGS_NAME_BYTES];
  uint64_t node;                        /* member id of this VM */
  char data_dir[SETTINGS_PATH_BYTES];   /* empty: no disk */
  char callers[SETTINGS_ADDRESS_BYTES]; /* listen addresses, ip:port */
  char backends[SETTINGS_ADDRESS_BYTES];
  char operators[SETTINGS_ADDRESS_BYTES];
  char peers[SETTINGS_ADDRESS_BYTES];
  char members_file[SETTINGS_PATH_BYTES];
  char token_file[SETTINGS_PATH_BYTES];     /* empty: operators need no token */
  char token[SETTINGS_TOKEN_BYTES];         /* read from token_file; never logged */
  char plans_file[SETTINGS_PATH_BYTES];     /* for --check only */
  char customers_file[SETTINGS_PATH_BYTES]; /* for --check only */
  int64_t memory_mb;                        /* of the machine; 0: ask the operating system */
  struct log_config log;
  struct member_list members; /* read from members_file */
};

/* Action after settings_read.  */
enum settings_action
{
  SETTINGS_RUN,   /* run the daemon */
  SETTINGS_EXIT,  /* --help, --version or a --check without faults: print OUT, exit 0 */
  SETTINGS_REFUSE /* print OUT (one line per fault) on standard error, exit 2 */
};

enum settings_action settings_read (struct settings *s, int argc, char **argv,
                                    struct buffer *out); /* From flags, environment and files. */
void settings_close (struct settings *s);                /* Frees the members. */
int
settings_read_file (const char *path, size_t limit, struct buffer *out,
                    struct status *st); /* Reads a file of at most LIMIT bytes; -1 on failure. */

#endif
