#include "plans.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "plans_internal.h"

#define MIN_SLOTS 8
#define NUMBER_BYTES 24

void
name_index_init (struct name_index *ix, size_t count)
{
  size_t slots = MIN_SLOTS;
  while (slots < count * 2)
    slots *= 2;
  ix->slots = xcalloc (slots, sizeof *ix->slots);
  ix->mask = slots - 1;
}

/* Returns the slot of NAME, or the free slot for inserting it.  */
static size_t
probe (const struct name_index *ix, const struct plans *p, name_at_fn *name_at, const char *name)
{
  size_t slot = (size_t)XXH3_64bits (name, strlen (name)) & ix->mask;
  while (ix->slots[slot] != 0 && strcmp (name_at (p, ix->slots[slot] - 1), name) != 0)
    slot = (slot + 1) & ix->mask;
  return slot;
}

bool
name_index_add (struct name_index *ix, const struct plans *p, name_at_fn *name_at, size_t i)
{
  size_t slot = probe (ix, p, name_at, name_at (p, i));
  if (ix->slots[slot] != 0)
    return false;
  ix->slots[slot] = (uint32_t)i + 1;
  return true;
}

bool
name_index_find (const struct name_index *ix, const struct plans *p, name_at_fn *name_at,
                 const char *name, size_t *out)
{
  size_t slot = probe (ix, p, name_at, name);
  if (ix->slots[slot] == 0)
    return false;
  *out = ix->slots[slot] - 1;
  return true;
}

const char *
plans_plan_name (const struct plans *p, size_t i)
{
  return p->plans[i].id;
}

const char *
plans_customer_name (const struct plans *p, size_t i)
{
  return p->customers[i].id;
}

struct plans *
plans_empty (void)
{
  struct plans *p = xcalloc (1, sizeof *p);
  p->refs = 1;
  name_index_init (&p->by_plan, 0);
  name_index_init (&p->by_customer, 0);
  return p;
}

const struct plans *
plans_ref (const struct plans *p)
{
  ((struct plans *)p)->refs++;
  return p;
}

void
plans_unref (const struct plans *p)
{
  struct plans *writable = (struct plans *)p;
  if (!writable || --writable->refs > 0)
    return;
  free (writable->plans);
  free (writable->shapes);
  free (writable->customers);
  free (writable->by_plan.slots);
  free (writable->by_customer.slots);
  free (writable);
}

const struct plan *
plans_for_customer (const struct plans *p, const char *customer)
{
  size_t i;
  if (!name_index_find (&p->by_customer, p, plans_customer_name, customer, &i))
    return NULL;
  return p->customers[i].plan;
}

const struct plan *
plans_find (const struct plans *p, const char *id)
{
  size_t i;
  return name_index_find (&p->by_plan, p, plans_plan_name, id, &i) ? &p->plans[i] : NULL;
}

size_t
plans_count (const struct plans *p)
{
  return p->plan_count;
}

const struct plan *
plans_at (const struct plans *p, size_t i)
{
  return &p->plans[i];
}

size_t
plans_shape_count (const struct plans *p)
{
  return p->shape_count;
}

const struct worker_shape *
plans_shape_at (const struct plans *p, size_t i)
{
  return &p->shapes[i];
}

size_t
plans_customer_count (const struct plans *p)
{
  return p->customer_count;
}

const struct customer *
plans_customer_at (const struct plans *p, size_t i)
{
  return &p->customers[i];
}

static bool
task_fits (const struct plan_size *task, const struct plan_size *limit)
{
  return task->millicores <= limit->millicores && task->memory_mb <= limit->memory_mb
         && task->accelerators <= limit->accelerators;
}

static bool
fits_any_shape (const struct plans *p, const struct plan_size *task)
{
  for (size_t i = 0; i < p->shape_count; i++)
    if (task_fits (task, &p->shapes[i].size))
      return true;
  return p->shape_count == 0;
}

/* Batch tasks are limited by the plan's processors and memory, urgent tasks by its concurrency; the
   accelerator limit applies to both.  */
static bool
fits_plan_limits (const struct plan *plan, const struct plan_size *task, bool urgent)
{
  if (task->accelerators > plan->accelerators)
    return false;
  if (urgent)
    return plan->urgent_concurrency > 0;
  return task->millicores <= plan->batch_millicores && task->memory_mb <= plan->memory_mb;
}

bool
plans_task_fits (const struct plans *p, const struct plan *plan, const struct plan_size *task,
                 bool urgent, struct status *st)
{
  const char *reason = NULL;
  if (!fits_plan_limits (plan, task, urgent))
    reason = "is over what the plan may use";
  else if (plan->has_largest_task && !task_fits (task, &plan->largest_task))
    reason = "is over the largest task of the plan";
  else if (!fits_any_shape (p, task))
    reason = "fits no worker shape";
  if (!reason)
    return true;
  status_set (st, STATUS_UNSATISFIABLE,
              "%s task of %" PRId64 " millicores, %" PRId64 " MB and %" PRId64
              " accelerators %s (plan '%s')",
              urgent ? "urgent" : "batch", task->millicores, task->memory_mb, task->accelerators,
              reason, plan->id);
  return false;
}

/* State of one plans_diff call.  */
struct diff
{
  plans_change_fn *fn;
  void *arg;
  size_t count;
};

static void
report (struct diff *d, enum plans_change_kind kind, const char *id, const char *field,
        const char *before, const char *after)
{
  struct plans_change change = { kind, id, field, before, after };
  d->count++;
  if (d->fn)
    d->fn (d->arg, &change);
}

static void
diff_number (struct diff *d, enum plans_change_kind kind, const char *id, const char *field,
             int64_t before, int64_t after)
{
  char old_text[NUMBER_BYTES];
  char new_text[NUMBER_BYTES];
  if (before == after)
    return;
  snprintf (old_text, sizeof old_text, "%" PRId64, before);
  snprintf (new_text, sizeof new_text, "%" PRId64, after);
  report (d, kind, id, field, old_text, new_text);
}

static void
diff_size (struct diff *d, enum plans_change_kind kind, const char *id, const char *const *fields,
           const struct plan_size *a, const struct plan_size *b)
{
  diff_number (d, kind, id, fields[0], a->millicores, b->millicores);
  diff_number (d, kind, id, fields[1], a->memory_mb, b->memory_mb);
  diff_number (d, kind, id, fields[2], a->accelerators, b->accelerators);
}

static void
diff_plan (struct diff *d, const struct plan *a, const struct plan *b)
{
  static const char *const largest[]
      = { "largest_task.millicores", "largest_task.memory_mb", "largest_task.accelerators" };
  const enum plans_change_kind kind = PLANS_PLAN_CHANGED;
  diff_number (d, kind, b->id, "weight", a->weight, b->weight);
  diff_number (d, kind, b->id, "urgent_concurrency", a->urgent_concurrency, b->urgent_concurrency);
  diff_number (d, kind, b->id, "requests_per_s", a->requests_per_s, b->requests_per_s);
  diff_number (d, kind, b->id, "batch_millicores", a->batch_millicores, b->batch_millicores);
  diff_number (d, kind, b->id, "memory_mb", a->memory_mb, b->memory_mb);
  diff_number (d, kind, b->id, "accelerators", a->accelerators, b->accelerators);
  diff_number (d, kind, b->id, "evictions_per_hour", a->evictions_per_hour, b->evictions_per_hour);
  if (a->has_largest_task != b->has_largest_task)
    report (d, kind, b->id, "largest_task", a->has_largest_task ? "set" : "none",
            b->has_largest_task ? "set" : "none");
  else
    diff_size (d, kind, b->id, largest, &a->largest_task, &b->largest_task);
}

static void
diff_plan_list (struct diff *d, const struct plans *before, const struct plans *after)
{
  for (size_t i = 0; i < before->plan_count; i++)
    if (!plans_find (after, before->plans[i].id))
      report (d, PLANS_PLAN_REMOVED, before->plans[i].id, NULL, NULL, NULL);
  for (const struct plan *p = after->plans; p && p < after->plans + after->plan_count; p++)
    {
      const struct plan *old = plans_find (before, p->id);
      if (old)
        diff_plan (d, old, p);
      else
        report (d, PLANS_PLAN_ADDED, p->id, NULL, NULL, NULL);
    }
}

static void
diff_customer_list (struct diff *d, const struct plans *before, const struct plans *after)
{
  for (size_t i = 0; i < before->customer_count; i++)
    if (!plans_for_customer (after, before->customers[i].id))
      report (d, PLANS_CUSTOMER_REMOVED, before->customers[i].id, "plan",
              before->customers[i].plan->id, NULL);
  for (size_t i = 0; i < after->customer_count; i++)
    {
      const struct customer *c = &after->customers[i];
      const struct plan *old = plans_for_customer (before, c->id);
      if (!old)
        report (d, PLANS_CUSTOMER_ADDED, c->id, "plan", NULL, c->plan->id);
      else if (strcmp (old->id, c->plan->id) != 0)
        report (d, PLANS_CUSTOMER_CHANGED, c->id, "plan", old->id, c->plan->id);
    }
}

static const struct worker_shape *
find_shape (const struct plans *p, const char *name)
{
  for (size_t i = 0; i < p->shape_count; i++)
    if (strcmp (p->shapes[i].name, name) == 0)
      return &p->shapes[i];
  return NULL;
}

static void
diff_shape_list (struct diff *d, const struct plans *before, const struct plans *after)
{
  static const char *const fields[] = { "millicores", "memory_mb", "accelerators" };
  for (size_t i = 0; i < before->shape_count; i++)
    if (!find_shape (after, before->shapes[i].name))
      report (d, PLANS_SHAPE_REMOVED, before->shapes[i].name, NULL, NULL, NULL);
  for (size_t i = 0; i < after->shape_count; i++)
    {
      const struct worker_shape *s = &after->shapes[i];
      const struct worker_shape *old = find_shape (before, s->name);
      if (old)
        diff_size (d, PLANS_SHAPE_CHANGED, s->name, fields, &old->size, &s->size);
      else
        report (d, PLANS_SHAPE_ADDED, s->name, NULL, NULL, NULL);
    }
}

size_t
plans_diff (const struct plans *before, const struct plans *after, plans_change_fn *fn, void *arg)
{
  struct diff d = { fn, arg, 0 };
  diff_shape_list (&d, before, after);
  diff_plan_list (&d, before, after);
  diff_customer_list (&d, before, after);
  return d.count;
}
