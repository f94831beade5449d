#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "plans.h"
#include "plans_internal.h"

#define MAX_AMOUNT 1000000000000 /* millicores or MB; 32,000 workers have about 4e9 MB */
#define MAX_RATE 10000000        /* per second, or concurrent */
#define MAX_EVICTIONS 1000000    /* per hour */
#define MAX_ACCELERATORS 1000000

struct bound
{
  const char *key;
  int64_t lo;
  int64_t hi;
  size_t offset; /* of the int64_t in struct plan or struct plan_size */
};

static const struct bound plan_bounds[] = {
  { "weight", 1, PLANS_MAX_WEIGHT, offsetof (struct plan, weight) },
  { "urgent_concurrency", 0, MAX_RATE, offsetof (struct plan, urgent_concurrency) },
  { "requests_per_s", 0, MAX_RATE, offsetof (struct plan, requests_per_s) },
  { "batch_millicores", 0, MAX_AMOUNT, offsetof (struct plan, batch_millicores) },
  { "memory_mb", 0, MAX_AMOUNT, offsetof (struct plan, memory_mb) },
  { "accelerators", 0, MAX_ACCELERATORS, offsetof (struct plan, accelerators) },
  { "evictions_per_hour", 0, MAX_EVICTIONS, offsetof (struct plan, evictions_per_hour) },
};

static const struct bound size_bounds[] = {
  { "millicores", 1, MAX_AMOUNT, offsetof (struct plan_size, millicores) },
  { "memory_mb", 1, MAX_AMOUNT, offsetof (struct plan_size, memory_mb) },
  { "accelerators", 0, MAX_ACCELERATORS, offsetof (struct plan_size, accelerators) },
};

static const char *const plan_fields[]
    = { "id",        "weight",       "urgent_concurrency", "requests_per_s", "batch_millicores",
        "memory_mb", "accelerators", "evictions_per_hour", "largest_task",   NULL };
static const char *const size_fields[] = { "millicores", "memory_mb", "accelerators", NULL };
static const char *const shape_fields[]
    = { "name", "millicores", "memory_mb", "accelerators", NULL };
static const char *const customer_fields[] = { "id", "plan", NULL };
static const char *const plans_file_fields[] = { "plans", "worker_shapes", NULL };
static const char *const customers_file_fields[] = { "customers", NULL };

#define ARRAY_SIZE(array) (sizeof (array) / sizeof *(array))

/* Returns true if every number is present and in range.  */
static bool
read_bounds (struct json_check *c, const json_t *object, const struct bound *bounds, size_t count,
             void *out)
{
  bool valid = true;
  for (size_t i = 0; i < count; i++)
    {
      int64_t *field = (int64_t *)((char *)out + bounds[i].offset);
      if (!json_check_int (c, object, bounds[i].key, bounds[i].lo, bounds[i].hi, field))
        valid = false;
    }
  return valid;
}

static void
read_shapes (struct json_check *c, const json_t *root, struct plans *p)
{
  json_t *list = json_check_array (c, root, "worker_shapes", false, PLANS_MAX_SHAPES);
  p->shapes = xcalloc (json_array_size (list), sizeof *p->shapes);
  json_check_key (c, "worker_shapes");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *item = json_array_get (list, i);
      struct worker_shape *shape = &p->shapes[p->shape_count];
      json_check_index (c, i);
      if (json_check_object (c, item, shape_fields))
        {
          bool named = json_check_name (c, item, "name", shape->name, sizeof shape->name);
          read_bounds (c, item, size_bounds, ARRAY_SIZE (size_bounds), &shape->size);
          for (size_t k = 0; named && k < p->shape_count; k++)
            if (strcmp (p->shapes[k].name, shape->name) == 0)
              json_check_fault_at (c, "name", "another worker shape has the same name");
          p->shape_count++;
        }
      json_check_leave (c);
    }
  json_check_leave (c);
}

static bool
fits_any_shape (const struct plans *p, const struct plan_size *task)
{
  for (size_t i = 0; i < p->shape_count; i++)
    {
      const struct plan_size *limit = &p->shapes[i].size;
      if (task->millicores <= limit->millicores && task->memory_mb <= limit->memory_mb
          && task->accelerators <= limit->accelerators)
        return true;
    }
  return p->shape_count == 0;
}

/* A task allowed by a plan must be able to run alone on some worker within the plan's limits.  */
static void
check_satisfiable (struct json_check *c, const struct plans *p, const struct plan *plan)
{
  const struct plan_size accelerator = { 0, 0, 1 };
  const struct plan_size *task = &plan->largest_task;
  if ((plan->batch_millicores > 0) != (plan->memory_mb > 0))
    json_check_fault_at (
        c, plan->memory_mb > 0 ? "batch_millicores" : "memory_mb",
        "no worker could ever run its batch tasks: processors and memory must both be zero "
        "or both be above zero");
  if ((plan->urgent_concurrency > 0) != (plan->requests_per_s > 0))
    json_check_fault_at (
        c, plan->requests_per_s > 0 ? "urgent_concurrency" : "requests_per_s",
        "no request could ever run: urgent_concurrency and requests_per_s must both be zero "
        "or both be above zero");
  if (plan->accelerators > 0 && !fits_any_shape (p, &accelerator))
    json_check_fault_at (c, "accelerators", "no worker shape has accelerators");
  if (!plan->has_largest_task)
    return;
  if (!fits_any_shape (p, task))
    json_check_fault_at (c, "largest_task", "fits no worker shape, so no worker could ever run it");
  if (plan->batch_millicores > 0
      && (task->millicores > plan->batch_millicores || task->memory_mb > plan->memory_mb))
    json_check_fault_at (c, "largest_task",
                         "is larger than all batch tasks of the plan together may be");
  if (task->accelerators > plan->accelerators)
    json_check_fault_at (c, "largest_task", "has more accelerators than the plan may use");
}

static bool
read_largest_task (struct json_check *c, const json_t *item, struct plan *plan)
{
  const json_t *task = json_object_get (item, "largest_task");
  bool valid = true;
  plan->has_largest_task = task != NULL;
  if (!task)
    return true;
  json_check_key (c, "largest_task");
  valid = json_check_object (c, task, size_fields)
          && read_bounds (c, task, size_bounds, ARRAY_SIZE (size_bounds), &plan->largest_task);
  json_check_leave (c);
  return valid;
}

static void
read_plan (struct json_check *c, const json_t *item, struct plans *p)
{
  struct plan *plan = &p->plans[p->plan_count];
  memset (plan, 0, sizeof *plan);
  if (!json_check_object (c, item, plan_fields))
    return;
  bool named = json_check_name (c, item, "id", plan->id, sizeof plan->id);
  bool valid = read_bounds (c, item, plan_bounds, ARRAY_SIZE (plan_bounds), plan);
  if (!read_largest_task (c, item, plan))
    valid = false;
  if (valid)
    check_satisfiable (c, p, plan);
  if (!named)
    return;
  p->plan_count++;
  if (name_index_add (&p->by_plan, p, plans_plan_name, p->plan_count - 1))
    return;
  json_check_fault_at (c, "id", "another plan has the same id");
  p->plan_count--;
}

static void
read_plans_file (struct json_check *c, const json_t *root, struct plans *p)
{
  if (!json_check_object (c, root, plans_file_fields))
    return;
  read_shapes (c, root, p);
  json_t *list = json_check_array (c, root, "plans", true, PLANS_MAX_PLANS);
  p->plans = xcalloc (json_array_size (list), sizeof *p->plans);
  name_index_init (&p->by_plan, json_array_size (list));
  json_check_key (c, "plans");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      json_check_index (c, i);
      read_plan (c, json_array_get (list, i), p);
      json_check_leave (c);
    }
  json_check_leave (c);
}

/* PLANS_KNOWN is false if the list of plans could not be read; plan names are not checked then.  */
static void
read_customer (struct json_check *c, const json_t *item, struct plans *p, bool plans_known)
{
  struct customer *customer = &p->customers[p->customer_count];
  char plan[PLANS_NAME_BYTES];
  memset (customer, 0, sizeof *customer);
  if (!json_check_object (c, item, customer_fields))
    return;
  bool named = json_check_name (c, item, "id", customer->id, sizeof customer->id);
  if (json_check_name (c, item, "plan", plan, sizeof plan))
    customer->plan = plans_find (p, plan);
  if (!customer->plan && plans_known && plan[0])
    {
      json_check_fault_at (c, "plan", "unknown plan '%s'", plan);
    }
  if (!named)
    return;
  p->customer_count++;
  if (name_index_add (&p->by_customer, p, plans_customer_name, p->customer_count - 1))
    return;
  json_check_fault_at (c, "id", "another entry has the same customer");
  p->customer_count--;
}

static void
read_customers_file (struct json_check *c, const json_t *root, struct plans *p, bool plans_known)
{
  if (!json_check_object (c, root, customers_file_fields))
    return;
  json_t *list = json_check_array (c, root, "customers", true, PLANS_MAX_CUSTOMERS);
  p->customers = xcalloc (json_array_size (list), sizeof *p->customers);
  name_index_init (&p->by_customer, json_array_size (list));
  json_check_key (c, "customers");
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      json_check_index (c, i);
      read_customer (c, json_array_get (list, i), p, plans_known);
      json_check_leave (c);
    }
  json_check_leave (c);
}

static void
check_total_size (const struct json_source *plans, const struct json_source *customers,
                  struct json_faults *faults)
{
  struct json_check c = { .source = plans, .faults = faults };
  if (plans->len + customers->len > PLANS_LIST_BYTES)
    json_check_fault (&c, "both lists together have %zu bytes, at most %d are allowed",
                      plans->len + customers->len, PLANS_LIST_BYTES);
}

static size_t
fault_total (const struct json_faults *faults)
{
  return faults->count + faults->dropped;
}

struct plans *
plans_parse (const struct json_source *plans, const struct json_source *customers,
             struct json_faults *faults)
{
  struct json_check check;
  struct plans *p = xcalloc (1, sizeof *p);
  size_t before = fault_total (faults);
  p->refs = 1;
  check_total_size (plans, customers, faults);
  json_t *root = json_check_load (&check, plans, faults);
  bool plans_known = json_is_array (json_object_get (root, "plans"));
  if (root)
    read_plans_file (&check, root, p);
  if (!p->by_plan.slots)
    name_index_init (&p->by_plan, 0);
  json_decref (root);
  root = json_check_load (&check, customers, faults);
  if (root)
    read_customers_file (&check, root, p, plans_known);
  json_decref (root);
  if (fault_total (faults) == before)
    return p;
  plans_unref (p);
  return NULL;
}
