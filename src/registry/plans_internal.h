/* plans_internal: the struct behind struct plans, shared by plans.c and plans_parse.c only.  */

#ifndef SASSAFRAS_PLANS_INTERNAL_H
#define SASSAFRAS_PLANS_INTERNAL_H

#include "plans.h"

/* Open-addressing index from names to array positions; a slot holds position + 1, 0 when free.  */
struct name_index
{
  uint32_t *slots;
  size_t mask;
};

/* Name of element I of the array that an index is about.  */
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

void name_index_init (struct name_index *ix, size_t count); /* Room for COUNT names. */
bool name_index_add (struct name_index *ix, const struct plans *p, name_at_fn *name_at,
                     size_t i); /* False when the name of element I is there already. */
bool name_index_find (const struct name_index *ix, const struct plans *p, name_at_fn *name_at,
                      const char *name, size_t *out);              /* Position of NAME. */
const char *plans_plan_name (const struct plans *p, size_t i);     /* For by_plan. */
const char *plans_customer_name (const struct plans *p, size_t i); /* For by_customer. */

#endif
