#include "proxy_head.h"

#include <string.h>
#include <strings.h>

void
head_init (struct head *h, bool answer)
{
  memset (h, 0, sizeof *h);
  h->answer = answer;
  h->content_length = -1;
  h->in_flight = -1;
}

void
head_close (struct head *h)
{
  buffer_close (&h->lines);
  buffer_close (&h->connection);
}

bool
head_number (const char *text, int64_t max, int64_t *out)
{
  int64_t n = 0;
  if (!*text)
    return false;
  for (const char *p = text; *p; p++)
    {
      if (*p < '0' || *p > '9' || n > (max - (*p - '0')) / 10)
        return false;
      n = n * 10 + (*p - '0');
    }
  *out = n;
  return true;
}

static bool
is_token (const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)text[i];
      if (c <= ' ' || c >= 0x7f || strchr ("()<>@,;:\\\"/[]?={}", c))
        return false;
    }
  return len > 0;
}

static bool
value_valid (const char *value, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)value[i];
      if ((c < ' ' && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static bool
hop_by_hop (const char *name)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade" };
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static void
add_length (struct head *h, const char *value)
{
  int64_t n;
  if (!head_number (value, INT64_MAX, &n))
    h->fault = "Content-Length is malformed";
  else if (h->content_length >= 0)
    h->fault = "Content-Length is repeated";
  else
    h->content_length = n;
}

static void
add_coding (struct head *h, const char *value)
{
  if (h->chunked || strcasecmp (value, "chunked") != 0)
    h->fault = "Transfer-Encoding is not 'chunked'";
  h->chunked = true;
}

/* Handles fields that the proxy uses; true when the field is not forwarded unchanged.  */
static bool
consume_field (struct head *h, const char *name, const char *value)
{
  if (strcasecmp (name, "Content-Length") == 0)
    add_length (h, value);
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    add_coding (h, value);
  else if (strcasecmp (name, "Connection") == 0)
    buffer_printf (&h->connection, "%s,", value);
  else if (h->answer && strcasecmp (name, "Sassafras-Not-Run") == 0)
    h->not_run = strcmp (value, "1") == 0;
  else if (h->answer && strcasecmp (name, "Sassafras-In-Flight") == 0)
    {
      if (!head_number (value, UINT32_MAX, &h->in_flight))
        h->in_flight = -1;
    }
  else if (!h->answer
           && (strcasecmp (name, "Host") == 0 || strcasecmp (name, "Expect") == 0
               || strcasecmp (name, "Sassafras-Deadline-Ms") == 0))
    return true;
  else
    return hop_by_hop (name);
  return true;
}

void
head_add (struct head *h, const char *name, const char *value, size_t value_len)
{
  if (!is_token (name, strlen (name)) || strlen (value) != value_len
      || !value_valid (value, value_len))
    {
      h->fault = "a field name or value contains characters that are not allowed";
      return;
    }
  if (consume_field (h, name, value))
    return;
  if (h->lines.len + strlen (name) + value_len > HEAD_MAX_BYTES)
    {
      h->fault = "the head is too large";
      return;
    }
  buffer_printf (&h->lines, "%s: %s\n", name, value);
}

/* Whether the comma-separated LIST contains the LEN bytes at NAME, ignoring case.  */
static bool
list_contains (const char *list, const char *name, size_t len)
{
  while (*list)
    {
      list += strspn (list, ", \t");
      size_t n = strcspn (list, ", \t");
      if (n == len && n > 0 && strncasecmp (list, name, n) == 0)
        return true;
      list += n;
    }
  return false;
}

static void
remove_named (struct head *h)
{
  struct buffer kept;
  const char *line = h->lines.data;
  buffer_init (&kept);
  while (line && *line)
    {
      size_t len = strcspn (line, "\n") + 1;
      if (!list_contains (h->connection.data, line, strcspn (line, ":")))
        buffer_append (&kept, line, len);
      line += len;
    }
  buffer_close (&h->lines);
  h->lines = kept;
}

void
head_finish (struct head *h)
{
  if (h->chunked && h->content_length >= 0)
    h->fault = "both Content-Length and Transfer-Encoding are given";
  if (h->connection.len > 0)
    remove_named (h);
  h->complete = true;
}

/* A status line starts a new head and discards the fields of an interim (1xx) answer.  */
static void
start_answer (struct head *h, const char *line, size_t len)
{
  size_t bytes = h->bytes;
  const char *fault = h->fault;
  head_close (h);
  head_init (h, true);
  h->bytes = bytes;
  h->fault = fault;
  if (len < 13 || strncmp (line, "HTTP/1.", 7) != 0 || line[8] != ' ')
    {
      h->fault = "the status line is malformed";
      return;
    }
  for (int i = 9; i < 12; i++)
    {
      if (line[i] < '0' || line[i] > '9')
        h->fault = "the status line is malformed";
      h->code = h->code * 10 + (line[i] - '0');
    }
  if (h->code < 100 || h->code > 599 || h->code == 101)
    h->fault = "the status code is not allowed";
}

static void
add_field_line (struct head *h, char *line)
{
  char *colon = strchr (line, ':');
  if (!colon || *line == ' ' || *line == '\t')
    {
      h->fault = "a field line is malformed";
      return;
    }
  *colon = '\0';
  char *value = colon + 1 + strspn (colon + 1, " \t");
  size_t len = strlen (value);
  while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
    value[--len] = '\0';
  head_add (h, line, value, len);
}

void
head_add_line (struct head *h, const char *line, size_t len)
{
  h->bytes += len;
  if (h->complete) /* trailers are not forwarded */
    return;
  if (len >= 5 && strncmp (line, "HTTP/", 5) == 0)
    {
      start_answer (h, line, len);
      return;
    }
  while (len > 0 && (line[len - 1] == '\n' || line[len - 1] == '\r'))
    len--;
  if (len == 0)
    {
      if (h->code >= 200)
        head_finish (h);
      return;
    }
  if (memchr (line, '\0', len) || h->bytes > 2 * (size_t)HEAD_MAX_BYTES)
    {
      h->fault = "the head is malformed or too large";
      return;
    }
  struct buffer copy;
  buffer_init (&copy);
  buffer_append (&copy, line, len);
  add_field_line (h, copy.data);
  buffer_close (&copy);
}

bool
head_bodyless (const struct head *h, const char *method)
{
  return strcmp (method, "HEAD") == 0 || h->code == 204 || h->code == 304;
}

void
head_each (const struct head *h, void (*visit) (void *arg, const char *name, const char *value),
           void *arg)
{
  struct buffer copy;
  buffer_init (&copy);
  buffer_append (&copy, h->lines.data, h->lines.len);
  char *line = copy.data;
  while (line && *line)
    {
      char *end = strchr (line, '\n');
      char *colon = strchr (line, ':');
      *end = '\0';
      *colon = '\0';
      visit (arg, line, colon + 2);
      line = end + 1;
    }
  buffer_close (&copy);
}

bool
head_target_valid (const char *target)
{
  if (*target != '/')
    return false;
  for (const char *p = target; *p; p++)
    if (*p <= ' ' || (unsigned char)*p >= 0x7f || *p == '#')
      return false;
  return true;
}
