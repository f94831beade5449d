#include "json_check.h"

#include <string.h>

/* Position in a text that jansson has accepted; every read is still checked against the end.  */
struct cursor
{
  const char *text;
  size_t len;
  size_t at;
};

static char
peek (const struct cursor *c)
{
  return c->at < c->len ? c->text[c->at] : '\0';
}

static bool
one_of (char ch, const char *set)
{
  return ch != '\0' && strchr (set, ch) != NULL;
}

static void
skip_space (struct cursor *c)
{
  while (one_of (peek (c), " \t\r\n"))
    c->at++;
}

static void
skip_string (struct cursor *c)
{
  c->at++;
  while (c->at < c->len && c->text[c->at] != '"')
    c->at += c->text[c->at] == '\\' ? 2 : 1;
  c->at++;
}

/* Skips one value of any kind without recursion.  */
static void
skip_value (struct cursor *c)
{
  size_t open = 0;
  while (c->at < c->len)
    {
      char ch = peek (c);
      if (open == 0 && one_of (ch, ",]} \t\r\n"))
        return;
      if (ch == '"')
        skip_string (c);
      else
        c->at++;
      if (ch == '{' || ch == '[')
        open++;
      else if (ch == '}' || ch == ']')
        open--;
      if (open == 0 && one_of (ch, "\"]}"))
        return;
    }
}

/* Moves behind the separator of the current element; false at the end of the container.  */
static bool
next_element (struct cursor *c)
{
  skip_space (c);
  if (peek (c) != ',')
    return false;
  c->at++;
  skip_space (c);
  return true;
}

static bool
find_index (struct cursor *c, size_t index)
{
  if (peek (c) != '[')
    return false;
  c->at++;
  skip_space (c);
  if (peek (c) == ']')
    return false;
  for (size_t i = 0; i < index; i++)
    {
      skip_value (c);
      if (!next_element (c))
        return false;
    }
  return true;
}

/* Compares the raw text of a key; a key written with escapes does not match.  */
static bool
key_is (const struct cursor *c, size_t start, const char *key)
{
  size_t len = strlen (key);
  return c->at >= start + len + 2 && c->at <= c->len && c->at - start == len + 2
         && memcmp (c->text + start + 1, key, len) == 0;
}

static bool
find_key (struct cursor *c, const char *key, size_t *key_at)
{
  if (peek (c) != '{')
    return false;
  c->at++;
  skip_space (c);
  while (peek (c) == '"')
    {
      *key_at = c->at;
      skip_string (c);
      bool found = key_is (c, *key_at, key);
      skip_space (c);
      c->at++;
      skip_space (c);
      if (found)
        return true;
      skip_value (c);
      if (!next_element (c))
        return false;
    }
  return false;
}

static int
line_of (const char *text, size_t at)
{
  int line = 1;
  const char *p = text;
  const char *end = text + at;
  while ((p = memchr (p, '\n', (size_t)(end - p))))
    {
      line++;
      p++;
    }
  return line;
}

/* The line of the deepest part of the path that exists.  */
int
json_locate (const char *text, size_t len, const struct json_step *steps, size_t depth)
{
  struct cursor c = { text, len, 0 };
  size_t found;
  skip_space (&c);
  found = c.at;
  for (size_t i = 0; i < depth; i++)
    {
      size_t key_at = c.at;
      if (steps[i].key ? !find_key (&c, steps[i].key, &key_at) : !find_index (&c, steps[i].index))
        break;
      found = steps[i].key ? key_at : c.at;
    }
  return line_of (text, found < len ? found : len);
}
