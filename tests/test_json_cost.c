/* Guards against a short text that takes much memory once it is parsed.  */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <jansson.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "json_cost.h"
#include "rng.h"

#define VALUES 10000

static size_t live;
static size_t peak;

static void *
count_malloc (size_t size)
{
  void *p = malloc (size);
  live += malloc_usable_size (p) + sizeof (size_t);
  peak = live > peak ? live : peak;
  return p;
}

static void
count_free (void *p)
{
  if (p)
    live -= malloc_usable_size (p) + sizeof (size_t);
  free (p);
}

/* Most bytes that the parser holds at a time.  */
static size_t
parse (const char *text, size_t len)
{
  json_malloc_t old_malloc;
  json_free_t old_free;
  json_get_alloc_funcs (&old_malloc, &old_free);
  json_set_alloc_funcs (count_malloc, count_free);
  live = peak = 0;
  json_t *root = json_loadb (text, len, 0, NULL);
  assert_non_null (root);
  json_decref (root);
  json_set_alloc_funcs (old_malloc, old_free);
  return peak;
}

static void
test_the_cost_of_dense_values_is_not_underestimated (void **state)
{
  static const char *const units[]
      = { "{}", "[]", "0", "[{}]", "{\"a\":0}", "{\"a\":{},\"b\":[]}" };
  (void)state;
  for (size_t i = 0; i < sizeof units / sizeof units[0]; i++)
    {
      struct buffer b;
      buffer_init (&b);
      buffer_printf (&b, "[%s", units[i]);
      for (int n = 1; n < VALUES; n++)
        buffer_printf (&b, ",%s", units[i]);
      buffer_printf (&b, "]");
      size_t cost = json_parsed_bytes (b.data, b.len);
      size_t real = parse (b.data, b.len);
      assert_true (cost >= real);
      assert_true (cost <= real * 3);
      buffer_close (&b);
    }
}

static void
test_the_characters_of_strings_are_no_values (void **state)
{
  const char *text = "[\"{},[]:,\\\"{{\\\\\"]";
  (void)state;
  assert_int_equal (json_parsed_bytes (text, strlen (text)), json_parsed_bytes ("[\"\"]", 4));
}

static void
test_malformed_text_is_read_to_its_end_only (void **state)
{
  static const char alphabet[] = "\"\\{}[]:,a";
  struct rng rng;
  (void)state;
  rng_init (&rng, 1);
  for (size_t len = 0; len < 500; len++)
    {
      char *text = xmalloc (len);
      for (size_t i = 0; i < len; i++)
        text[i] = alphabet[rng_next (&rng) % (sizeof alphabet - 1)];
      assert_true (json_parsed_bytes (text, len) > 0);
      free (text);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_the_cost_of_dense_values_is_not_underestimated),
          cmocka_unit_test (test_the_characters_of_strings_are_no_values),
          cmocka_unit_test (test_malformed_text_is_read_to_its_end_only) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
