#include "cell_map.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "buffer.h"

#define INITIAL_BUCKETS 64

void
cell_map_init (struct cell_map *m)
{
  m->buckets = xcalloc (INITIAL_BUCKETS, sizeof (void *));
  m->size = INITIAL_BUCKETS;
  m->count = 0;
}

void
cell_map_close (struct cell_map *m)
{
  free (m->buckets);
  memset (m, 0, sizeof *m);
}

static void
grow (struct cell_map *m)
{
  size_t size = m->size * 2;
  struct cell_map_node **buckets = xcalloc (size, sizeof (void *));
  for (size_t i = 0; i < m->size; i++)
    {
      struct cell_map_node *n = m->buckets[i];
      while (n)
        {
          struct cell_map_node *next = n->next;
          struct cell_map_node **head = &buckets[n->hash & (size - 1)];
          n->next = *head;
          *head = n;
          n = next;
        }
    }
  free (m->buckets);
  m->buckets = buckets;
  m->size = size;
}

void
cell_map_add (struct cell_map *m, struct cell_map_node *n, uint64_t hash)
{
  if (m->count >= m->size)
    grow (m);
  struct cell_map_node **head = &m->buckets[hash & (m->size - 1)];
  n->hash = hash;
  n->next = *head;
  *head = n;
  m->count++;
}

void
cell_map_remove (struct cell_map *m, struct cell_map_node *n)
{
  struct cell_map_node **p = &m->buckets[n->hash & (m->size - 1)];
  while (*p && *p != n)
    p = &(*p)->next;
  if (!*p)
    return;
  *p = n->next;
  n->next = NULL;
  m->count--;
}

struct cell_map_node *
cell_map_first (const struct cell_map *m, uint64_t hash)
{
  struct cell_map_node *n = m->buckets[hash & (m->size - 1)];
  while (n && n->hash != hash)
    n = n->next;
  return n;
}

struct cell_map_node *
cell_map_next (const struct cell_map_node *n)
{
  uint64_t hash = n->hash;
  struct cell_map_node *next = n->next;
  while (next && next->hash != hash)
    next = next->next;
  return next;
}

uint64_t
cell_hash_id (uint64_t id)
{
  uint64_t z = id + 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint64_t
cell_hash_names (const char *a, const char *b)
{
  uint64_t h = XXH3_64bits (a, strlen (a));
  return XXH3_64bits_withSeed (b, strlen (b), h);
}
