/* Tasks that run faster on one rack: which rack, and whether they wait for it.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "dispatcher_internal.h"

#define RACK_LABEL 1  /* labels are kind and rack */
#define MAX_ENDS 1024 /* of short tasks on one rack */
#define MAX_WORKER_ENDS 64
#define PLACE_RETENTION_MS 30000 /* of a rack after the last task that wanted it */

static struct counter began
    = { .name = "sassafras_place_waits_total", .help = "Tasks that began to wait for their rack." };
static struct counter placed_near
    = { .name = "sassafras_place_near_total", .help = "Tasks placed on the rack that they want." };
static struct counter placed_elsewhere = { .name = "sassafras_place_elsewhere_total",
                                           .help = "Tasks placed off the rack that they want." };
static struct histogram waits_near
    = { .name = "sassafras_place_wait_near_ms", .help = "Wait for a rack that ended on it." };
static struct histogram waits_elsewhere
    = { .name = "sassafras_place_wait_elsewhere_ms", .help = "Wait for a rack that was given up." };

static const char *
rack_of (const struct dispatch_worker *w)
{
  return w->label_count > RACK_LABEL ? w->labels[RACK_LABEL] : "";
}

/* The rack of the first run of T's step, or "".  */
static const char *
group_rack (const struct workflow_task *t)
{
  const struct workflow_stage *stage = workflow_stage_of (t);
  for (uint32_t i = 0; i < workflow_step_of (t)->count; i++)
    {
      const struct workflow_task *member = &stage->tasks[i];
      const struct dispatch_run *r = member->placing;
      for (int k = 0; k < WORKFLOW_MAX_RUNS && !r; k++)
        r = member->runs[k] ? member->runs[k]->dispatch : NULL;
      if (r && rack_of (r->worker)[0])
        return rack_of (r->worker);
    }
  return "";
}

static bool
is_on (const struct dispatcher *d)
{
  return d->config.remote_run_factor > 1;
}

const char *
dispatch_place_of (const struct dispatcher *d, const struct workflow_task *t)
{
  const workflow_step *s = workflow_step_of (t);
  if (s->data_rack[0] || !is_on (d) || !(s->flags & WORKFLOW_STEP_RACK_LOCAL))
    return s->data_rack;
  return group_rack (t);
}

bool
dispatch_is_at (const struct dispatch_worker *w, const char *rack)
{
  for (size_t i = 0; i < w->label_count; i++)
    if (strcmp (w->labels[i], rack) == 0)
      return true;
  return false;
}

static struct wanted_place *
find_place (const struct dispatcher *d, const char *rack)
{
  uint64_t hash = cell_hash_names (rack, "");
  for (struct cell_map_node *n = cell_map_first (&d->places, hash); n; n = cell_map_next (n))
    {
      struct wanted_place *p = CELL_CONTAINER (n, struct wanted_place, node);
      if (strcmp (p->rack, rack) == 0)
        return p;
    }
  return NULL;
}

static struct wanted_place *
find_or_add_place (struct dispatcher *d, const char *rack)
{
  struct wanted_place *p = find_place (d, rack);
  if (p)
    return p;
  p = xcalloc (1, sizeof *p);
  p->rack = xstrdup (rack);
  cell_map_add (&d->places, &p->node, cell_hash_names (rack, ""));
  return p;
}

static void
free_place (struct dispatcher *d, struct wanted_place *p)
{
  cell_map_remove (&d->places, &p->node);
  free (p->ends_ms);
  free (p->rack);
  free (p);
}

void
dispatch_add_demand (struct dispatcher *d, const struct workflow_task *t)
{
  const char *place = dispatch_place_of (d, t);
  if (is_on (d) && place[0])
    place_demand_add (&find_or_add_place (d, place)->demand, d->now_ms);
}

static bool
is_short_run (const struct dispatch_run *r)
{
  return !(workflow_step_of (r->task)->flags & (WORKFLOW_STEP_LASTING | WORKFLOW_STEP_FILL));
}

/* When R leaves its room, by its estimate, from now on.  */
static int64_t
expected_end_ms (const struct dispatcher *d, const struct dispatch_run *r)
{
  double ratio
      = r->wants_place && !r->near_place ? d->place_run_times.remote : d->place_run_times.near;
  int64_t run_ms = (int64_t)(ratio * workflow_step_of (r->task)->estimate_ms);
  int64_t since_ms = r->running_ms > 0 ? r->running_ms : r->sent_ms;
  int64_t left_ms = since_ms + run_ms - d->now_ms;
  return left_ms > 0 ? left_ms : 0;
}

struct expected_end
{
  int64_t after_ms;
  uint32_t millicores;
};

static int
compare_ends (const void *a, const void *b)
{
  const struct expected_end *x = a;
  const struct expected_end *y = b;
  return (x->after_ms > y->after_ms) - (x->after_ms < y->after_ms);
}

/* Adds to ENDS_MS when room for a task of S opens on W, once for each task that fits.  */
static size_t
add_openings (const struct dispatcher *d, const struct dispatch_worker *w, const workflow_step *s,
              int64_t ends_ms[MAX_ENDS], size_t count)
{
  struct expected_end ends[MAX_WORKER_ENDS] = { { 0 } };
  const struct dispatch_run *r;
  size_t n = 0;
  uint64_t declared = (uint64_t)w->lasting_millicores + w->short_millicores;
  uint64_t room = w->millicores > declared ? w->millicores - declared : 0;
  TAILQ_FOREACH (r, &w->runs, link)
  if (is_short_run (r) && n < sizeof ends / sizeof *ends)
    ends[n++] = (struct expected_end){ .after_ms = expected_end_ms (d, r),
                                       .millicores = workflow_step_of (r->task)->millicores };
  qsort (ends, n, sizeof *ends, compare_ends);
  for (size_t i = 0; i < n; i++)
    {
      room += ends[i].millicores;
      while (room >= s->millicores && s->millicores > 0 && count < MAX_ENDS)
        {
          room -= s->millicores;
          ends_ms[count++] = ends[i].after_ms;
        }
    }
  return count;
}

/* Load pattern: hundreds of equal tasks that want one rack; its workers are read once a tick.  */
static void
update_openings (struct dispatcher *d, struct wanted_place *p, const workflow_step *s)
{
  const struct dispatch_worker *w;
  if (p->ends_ms && p->openings_tick == d->ticks && p->opening_millicores == s->millicores)
    return;
  p->openings_tick = d->ticks;
  p->opening_millicores = s->millicores;
  p->openings = 0;
  if (!p->ends_ms)
    p->ends_ms = xcalloc (MAX_ENDS, sizeof *p->ends_ms);
  TAILQ_FOREACH (w, &d->worker_list, link)
  if (dispatch_is_at (w, p->rack) && dispatch_usable (d, w) && !dispatch_is_avoided (d, w))
    p->openings = add_openings (d, w, s, p->ends_ms, p->openings);
}

static struct place_wait_facts
facts_for (struct dispatcher *d, struct wanted_place *p, const struct workflow_task *t,
           int64_t left_ms)
{
  const workflow_step *s = workflow_step_of (t);
  const int64_t near_ms = (int64_t)(d->place_run_times.near * s->estimate_ms);
  update_openings (d, p, s);
  return (struct place_wait_facts){
    .waited_ms = t->place_since_ms > 0 ? d->now_ms - t->place_since_ms : 0,
    .predicted_ms = place_wait_predict (p->ends_ms, p->openings, p->held),
    .near_ms = near_ms,
    .remote_ms = (int64_t)(d->place_run_times.remote * s->estimate_ms),
    .left_ms = left_ms,
    .load = place_demand_load (&p->demand, d->now_ms, near_ms, (double)p->openings)
  };
}

bool
dispatch_waits_for_place (struct dispatcher *d, struct workflow_task *t, const char *place,
                          int64_t left_ms)
{
  struct wanted_place *p = find_or_add_place (d, place);
  const struct place_wait_facts facts = facts_for (d, p, t, left_ms);
  if (!place_wait_pays (&facts))
    return false;
  p->held++;
  if (t->place_since_ms == 0)
    {
      t->place_since_ms = d->now_ms;
      counter_add (&began, 1);
    }
  return true;
}

struct place_wait_facts
dispatch_place_facts (struct dispatcher *d, const struct workflow_task *t, const char *place,
                      int64_t left_ms)
{
  const struct wanted_place *known = find_place (d, place);
  struct wanted_place copy = { .rack = (char *)(uintptr_t)place };
  if (known)
    {
      copy.demand = known->demand;
      copy.held = known->held;
    }
  const struct place_wait_facts facts = facts_for (d, &copy, t, left_ms);
  free (copy.ends_ms);
  return facts;
}

/* Racks are named by callers, so those that nobody wants any more are forgotten.  */
void
dispatch_begin_places (struct dispatcher *d)
{
  for (size_t i = 0; i < d->places.size; i++)
    for (struct cell_map_node *n = d->places.buckets[i], *next; n; n = next)
      {
        struct wanted_place *p = CELL_CONTAINER (n, struct wanted_place, node);
        next = n->next;
        p->held = 0;
        if (d->now_ms - p->demand.decayed_ms > PLACE_RETENTION_MS)
          free_place (d, p);
      }
}

void
dispatch_note_place (struct dispatcher *d, struct dispatch_run *r, const char *place)
{
  struct workflow_task *t = r->task;
  if (!place[0])
    return;
  r->wants_place = true;
  r->near_place = dispatch_is_at (r->worker, place);
  counter_add (r->near_place ? &placed_near : &placed_elsewhere, 1);
  if (t->place_since_ms > 0)
    histogram_add (r->near_place ? &waits_near : &waits_elsewhere,
                   (double)(d->now_ms - t->place_since_ms));
  t->place_since_ms = 0;
}

/* A checkpoint or a change of leader hides a part of the run time: only whole runs count.  */
void
dispatch_add_place_run (struct dispatcher *d, const struct dispatch_run *r)
{
  if (r->wants_place && r->running_ms > 0 && !r->task->checkpoint && is_short_run (r))
    place_run_times_add (&d->place_run_times, r->near_place, d->now_ms - r->running_ms,
                         workflow_step_of (r->task)->estimate_ms);
}

size_t
dispatcher_wanted_places (const struct dispatcher *d)
{
  return d->places.count;
}

void
dispatch_clear_places (struct dispatcher *d)
{
  for (size_t i = 0; i < d->places.size; i++)
    while (d->places.buckets[i])
      free_place (d, CELL_CONTAINER (d->places.buckets[i], struct wanted_place, node));
  place_run_times_init (&d->place_run_times, d->config.remote_run_factor);
}

/* Called once a second.  */
void
dispatch_log_places (const struct dispatcher *d)
{
  for (size_t i = 0; i < d->places.size; i++)
    for (const struct cell_map_node *n = d->places.buckets[i]; n; n = n->next)
      {
        const struct wanted_place *p = CELL_CONTAINER (n, struct wanted_place, node);
        if (p->held > 0)
          log_event (LOG_INFO, "place-wanted",
                     "rack=%.64s waiting=%zu openings=%zu ratio_near=%.2f ratio_elsewhere=%.2f",
                     p->rack, p->held, p->openings, d->place_run_times.near,
                     d->place_run_times.remote);
      }
}
