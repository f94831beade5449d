#include "json_check.h"

#include <string.h>

/* Position in a text that jansson has accepted; reads are bounds-checked nevertheless.  */
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
is_one_of (char ch, const char *set)
{
  return ch != '\0' && strchr (set, ch) != NULL;
}

static void
skip_space (struct cursor *c)
{
  while (is_one_of (peek (c), " \t\r\n"))
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
      if (open == 0 && is_one_of (ch, ",]} \t\r\n"))
        return;
      if (ch == '"')
        skip_string (c);
      else
        c->at++;
      if (ch == '{' || ch == '[')
        open++;
      else if (ch == '}' || ch == ']')
        open--;
      if (open == 0 && is_one_of (ch, "\"]}"))
        return;
    }
}

/* Advances past the separator to the next element; false at the end of the container.  */
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

/* Skips COUNT elements of an array.  */
static bool
skip_elements (struct cursor *c, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      skip_value (c);
      if (!next_element (c))
        return false;
    }
  return true;
}

static bool
find_index (struct cursor *c, size_t index)
{
  if (peek (c) != '[')
    return false;
  c->at++;
  skip_space (c);
  return peek (c) != ']' && skip_elements (c, index);
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
count_lines (const char *text, size_t from, size_t to)
{
  int lines = 0;
  const char *p = text + from;
  const char *end = text + to;
  while (p < end && (p = memchr (p, '\n', (size_t)(end - p))))
    {
      lines++;
      p++;
    }
  return lines;
}

/* True when the path leads to the element of LAST or to a later one.  */
static bool
can_resume (const struct json_position *last, const struct json_step *steps, size_t depth)
{
  return last && last->key && depth >= 2 && steps[0].key && !steps[1].key
         && strcmp (steps[0].key, last->key) == 0 && steps[1].index >= last->index;
}

/* Advances from LAST to the element that the first two steps name.  */
static bool
resume (struct cursor *c, struct json_position *last, const struct json_step *steps)
{
  c->at = last->at;
  return skip_elements (c, steps[1].index - last->index) && c->at < c->len;
}

static void
save_position (struct json_position *last, const struct json_step *steps, size_t at, int line)
{
  last->key = steps[0].key;
  last->index = steps[1].index;
  last->at = at;
  last->line = line;
}

/* Returns the line of the deepest existing part of the path.  */
int
json_locate (const char *text, size_t len, const struct json_step *steps, size_t depth,
             struct json_position *last)
{
  struct cursor c = { text, len, 0 };
  size_t from = 0;
  size_t i = 0;
  int line = 1;
  if (can_resume (last, steps, depth) && resume (&c, last, steps))
    {
      line = last->line + count_lines (text, last->at, c.at);
      from = c.at;
      save_position (last, steps, c.at, line);
      i = 2;
    }
  else
    {
      c.at = 0;
      skip_space (&c);
    }
  size_t found = c.at;
  for (; i < depth; i++)
    {
      size_t key_at = c.at;
      if (steps[i].key ? !find_key (&c, steps[i].key, &key_at) : !find_index (&c, steps[i].index))
        break;
      found = steps[i].key ? key_at : c.at;
      if (last && i == 1 && steps[0].key && !steps[1].key && found < len)
        save_position (last, steps, found, line + count_lines (text, from, found));
    }
  return line + count_lines (text, from, found < len ? found : len);
}
