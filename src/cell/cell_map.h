/* cell_map: chained hash table with intrusive nodes.

   An element embeds a struct cell_map_node.  The caller compares keys: it iterates over the nodes
   with a given hash by cell_map_first and cell_map_next.  The table doubles at load factor 1 and
   never shrinks.  */

#ifndef SASSAFRAS_CELL_MAP_H
#define SASSAFRAS_CELL_MAP_H

#include <stddef.h>
#include <stdint.h>

struct cell_map_node
{
  uint64_t hash;
  struct cell_map_node *next;
};

struct cell_map
{
  struct cell_map_node **buckets;
  size_t size; /* power of two */
  size_t count;
};

#define CELL_CONTAINER(ptr, type, member) ((type *)((char *)(ptr)-offsetof (type, member)))

void cell_map_init (struct cell_map *m);  /* Empty table. */
void cell_map_close (struct cell_map *m); /* Frees the buckets, not the elements. */
void cell_map_add (struct cell_map *m, struct cell_map_node *n, uint64_t hash); /* Links N. */
void cell_map_remove (struct cell_map *m, struct cell_map_node *n);             /* Unlinks N. */
struct cell_map_node *cell_map_first (const struct cell_map *m,
                                      uint64_t hash); /* First node with HASH. */
struct cell_map_node *
cell_map_next (const struct cell_map_node *n);           /* Next node with the same hash. */
uint64_t cell_hash_id (uint64_t id);                     /* SplitMix64 of an id. */
uint64_t cell_hash_names (const char *a, const char *b); /* Hash of a pair of names. */

#endif
