/* plans: the two lists that operators edit, JSON files kept in version control.

   plans.json defines the limits of each plan, customers.json the plan of each customer.  An edit is
   validated as a whole and all errors are reported together, with file, line, JSON path and reason.
   The result is an immutable, reference-counted struct plans; a user that needs it beyond the
   current call takes a reference, so a request keeps the version that it started with.

   Units: processors in millicores, memory in MB (1024 * 1024 bytes), rates per second or hour.
   Zero means "none", never "unlimited".  */

#ifndef SASSAFRAS_PLANS_H
#define SASSAFRAS_PLANS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "json_check.h"
#include "status.h"

#define PLANS_NAME_BYTES 64      /* names of plans, customers and worker shapes, with NUL */
#define PLANS_LIST_BYTES 1000000 /* both files together */
#define PLANS_MAX_PLANS 1000
#define PLANS_MAX_CUSTOMERS 20000
#define PLANS_MAX_SHAPES 64
#define PLANS_MAX_WEIGHT 1000

/* Resources of one task or one worker.  */
struct plan_size
{
  int64_t millicores;
  int64_t memory_mb;
  int64_t accelerators;
};

struct plan
{
  char id[PLANS_NAME_BYTES];
  int64_t weight;                /* share of batch capacity, 1 to PLANS_MAX_WEIGHT */
  int64_t urgent_concurrency;    /* concurrent urgent requests and tasks */
  int64_t requests_per_s;        /* requests accepted per second */
  int64_t batch_millicores;      /* total of running batch tasks */
  int64_t memory_mb;             /* total of running batch tasks, in MB */
  int64_t accelerators;          /* total of all running tasks */
  int64_t evictions_per_hour;    /* evictions of its batch tasks allowed per hour */
  struct plan_size largest_task; /* largest single task; zeros if not set */
  bool has_largest_task;
};

struct customer
{
  char id[PLANS_NAME_BYTES];
  const struct plan *plan;
};

/* Capacity of one type of worker: the largest task that it can run.  */
struct worker_shape
{
  char name[PLANS_NAME_BYTES];
  struct plan_size size;
};

struct plans; /* one immutable version of both lists */

enum plans_change_kind
{
  PLANS_PLAN_ADDED,
  PLANS_PLAN_REMOVED,
  PLANS_PLAN_CHANGED,
  PLANS_CUSTOMER_ADDED,
  PLANS_CUSTOMER_REMOVED,
  PLANS_CUSTOMER_CHANGED,
  PLANS_SHAPE_ADDED,
  PLANS_SHAPE_REMOVED,
  PLANS_SHAPE_CHANGED,
};

/* One difference between two versions; strings are valid during the callback.  */
struct plans_change
{
  enum plans_change_kind kind;
  const char *id;    /* of the plan, customer or worker shape */
  const char *field; /* CHANGED only */
  const char *before;
  const char *after;
};

typedef void plans_change_fn (void *arg, const struct plans_change *change);

struct plans *plans_parse (const struct json_source *plans, const struct json_source *customers,
                           struct json_faults *faults); /* New reference, or NULL and FAULTS. */
struct plans *plans_empty (void);                       /* No plan and no customer. */
const struct plans *plans_ref (const struct plans *p);  /* Takes a reference. */
void plans_unref (const struct plans *p);               /* Releases a reference; P may be NULL. */
const struct plan *plans_for_customer (const struct plans *p,
                                       const char *customer);          /* NULL when unknown. */
const struct plan *plans_find (const struct plans *p, const char *id); /* Or NULL. */
size_t plans_count (const struct plans *p);                            /* Number of plans. */
const struct plan *plans_at (const struct plans *p, size_t i);         /* Plan I in file order. */
size_t plans_shape_count (const struct plans *p); /* Number of worker shapes. */
const struct worker_shape *plans_shape_at (const struct plans *p, size_t i); /* Shape I. */
size_t plans_customer_count (const struct plans *p); /* Number of customers. */
const struct customer *plans_customer_at (const struct plans *p, size_t i); /* Customer I. */
bool plans_task_fits (const struct plans *p, const struct plan *plan, const struct plan_size *task,
                      bool urgent,
                      struct status *st); /* If it can never run: false and UNSATISFIABLE. */
size_t plans_diff (const struct plans *before, const struct plans *after, plans_change_fn *fn,
                   void *arg); /* Calls FN for each difference; returns their number. */

#endif
