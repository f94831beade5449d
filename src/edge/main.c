/* sassafrasd: the scheduler daemon, one on each entry VM.  */
#include <stdio.h>
#include <sys/resource.h>

#include <curl/curl.h>

#include "daemon.h"
#include "log.h"
#include "settings.h"

/* Each poll and each caller holds a connection; the usual soft limit of 1,024 files is too low.  */
static void
raise_file_limit (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) < 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) < 0)
    log_line (LOG_WARN, "cannot raise the open-file limit");
}

static int
run (const struct settings *settings)
{
  struct status st;
  log_configure (&settings->log);
  raise_file_limit ();
  struct daemon *d = daemon_open (settings, &st);
  if (!d)
    {
      log_line (LOG_ERROR, "cannot start: %s", st.message);
      return status_answer (st.kind)->exit_code;
    }
  int code = daemon_run (d);
  daemon_close (d);
  return code;
}

int
main (int argc, char **argv)
{
  struct settings settings;
  struct buffer out;
  int code = 0;
  buffer_init (&out);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  enum settings_action action = settings_read (&settings, argc, argv, &out);
  if (action == SETTINGS_RUN)
    code = run (&settings);
  else if (action == SETTINGS_EXIT)
    fputs (out.data ? out.data : "", stdout);
  else
    {
      fputs (out.data ? out.data : "", stderr);
      code = status_answer (STATUS_INVALID_SETTING)->exit_code;
    }
  settings_close (&settings);
  buffer_close (&out);
  curl_global_cleanup ();
  return code;
}
