/* json_cost: what the values of a JSON text take in memory once it is parsed.

   An empty object takes two bytes of text and a hundred times as much when it is parsed, so that a
   limit of bytes does not bound the memory for parsing.  */

#ifndef SASSAFRAS_JSON_COST_H
#define SASSAFRAS_JSON_COST_H

#include <stddef.h>

/* Bytes that jansson takes about for the values of TEXT, apart from the characters of strings; by
   one pass over the text, which may be malformed.  */
size_t json_parsed_bytes (const char *text, size_t len);

#endif
