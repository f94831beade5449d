/* plans_internal: definition of struct plans, private to plans.c and plans_parse.c.  */

#ifndef SASSAFRAS_PLANS_INTERNAL_H
#define SASSAFRAS_PLANS_INTERNAL_H

#include "plans.h"

/* Open-addressing index from name to array position; a slot holds position + 1, 0 if free.  */
struct name_index
{
  uint32_t *slots;
  size_t mask;
};

/* Returns the name of element I of the indexed array.  */
typedef const char *name_at_fn (const struct plans *p, size_t i);

struct plans
{
  unsigned refs;
  struct plan *plans;
  size_t plan_count;
  struct worker_shape *shapes;
  size_t shape_count;
  struct customer *customers;
  size_t customer_count;
  struct name_index by_plan;
  struct name_index by_customer;
};

void name_index_init (struct name_index *ix, size_t count); /* Allocates slots for COUNT names. */
bool name_index_add (struct name_index *ix, const struct plans *p, name_at_fn *name_at,
                     size_t i); /* False if the name of element I is already present. */
bool name_index_find (const struct name_index *ix, const struct plans *p, name_at_fn *name_at,
                      const char *name, size_t *out);              /* Finds the position of NAME. */
const char *plans_plan_name (const struct plans *p, size_t i);     /* For by_plan. */
const char *plans_customer_name (const struct plans *p, size_t i); /* For by_customer. */

#endif
