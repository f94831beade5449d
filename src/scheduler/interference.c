#include "interference.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define NAME_BYTES 65
/* A pair without samples counts as mildly interfering, so that it is tried beside urgent work in
   small shares: at 0.3 a class may take 40% of a worker within the limit of 1.12.  */
#define PRIOR_COEFFICIENT 0.3
#define LMS_STEP_SIZE 0.4
#define MIN_CONFIDENT_SAMPLES 4.0
#define MAX_SAMPLES 50.0
#define MAX_COEFFICIENT 20.0
#define MAX_SAMPLE_SLOWDOWN 20.0
/* A class with a smaller share explains too little of a sample to be corrected by it.  */
#define MIN_SHARE 0.005

struct pair_estimate
{
  double coefficient[INTERFERENCE_LOAD_BANDS];
  double samples[INTERFERENCE_LOAD_BANDS];
};

struct name_table
{
  char (*name)[NAME_BYTES];
  int count;
  int limit;
};

struct interference
{
  struct name_table services;
  struct name_table classes;
  struct pair_estimate *pairs[INTERFERENCE_MAX_SERVICES];
};

static void
name_table_init (struct name_table *n, int limit)
{
  n->name = xcalloc ((size_t)limit, NAME_BYTES);
  n->count = 0;
  n->limit = limit;
}

static int
name_table_id (struct name_table *n, const char *name)
{
  for (int i = 0; i < n->count; i++)
    if (strcmp (n->name[i], name) == 0)
      return i;
  if (n->count == n->limit)
    return n->limit - 1;
  snprintf (n->name[n->count], NAME_BYTES, "%s", name);
  return n->count++;
}

struct interference *
interference_new (void)
{
  struct interference *m = xcalloc (1, sizeof *m);
  name_table_init (&m->services, INTERFERENCE_MAX_SERVICES);
  name_table_init (&m->classes, INTERFERENCE_MAX_CLASSES);
  return m;
}

void
interference_free (struct interference *m)
{
  for (int i = 0; i < INTERFERENCE_MAX_SERVICES; i++)
    free (m->pairs[i]);
  free (m->services.name);
  free (m->classes.name);
  free (m);
}

int
interference_service (struct interference *m, const char *name)
{
  int id = name_table_id (&m->services, name);
  if (m->pairs[id])
    return id;
  m->pairs[id] = xcalloc (INTERFERENCE_MAX_CLASSES, sizeof (struct pair_estimate));
  for (int c = 0; c < INTERFERENCE_MAX_CLASSES; c++)
    for (int b = 0; b < INTERFERENCE_LOAD_BANDS; b++)
      m->pairs[id][c].coefficient[b] = PRIOR_COEFFICIENT;
  return id;
}

int
interference_class (struct interference *m, const char *name)
{
  return name_table_id (&m->classes, name);
}

static int
band_of (double load)
{
  return load < 0.5 ? 0 : load < 0.8 ? 1 : 2;
}

/* A band without samples uses the estimate of another band that has samples, the highest
   first.  */
static int
band_with_samples (const struct pair_estimate *p, int band)
{
  if (p->samples[band] >= 1)
    return band;
  for (int b = INTERFERENCE_LOAD_BANDS - 1; b >= 0; b--)
    if (p->samples[b] >= 1)
      return b;
  return band;
}

static double
coefficient_at (const struct pair_estimate *p, int band)
{
  return p->coefficient[band_with_samples (p, band)];
}

double
interference_coefficient (const struct interference *m, int service, int class_id, double load)
{
  return coefficient_at (&m->pairs[service][class_id], band_of (load));
}

double
interference_predict (const struct interference *m, int service,
                      const struct interference_load *mix, size_t count, double load)
{
  int band = band_of (load);
  double slowdown = 1;
  for (size_t i = 0; i < count; i++)
    slowdown += mix[i].share * coefficient_at (&m->pairs[service][mix[i].class_id], band);
  return slowdown;
}

double
interference_max_coefficient (const struct interference *m, int class_id)
{
  double largest = 0;
  for (int i = 0; i < m->services.count; i++)
    largest = fmax (largest, coefficient_at (&m->pairs[i][class_id], INTERFERENCE_LOAD_BANDS - 1));
  return largest;
}

static void
update_coefficient (struct pair_estimate *p, int band, double change)
{
  /* The first sample of a band starts from the estimate of the other bands.  */
  double start = coefficient_at (p, band);
  p->coefficient[band] = fmin (fmax (start + change, 0), MAX_COEFFICIENT);
  p->samples[band] = fmin (p->samples[band] + 1, MAX_SAMPLES);
}

void
interference_learn (struct interference *m, int service, const struct interference_load *mix,
                    size_t count, double load, double slowdown)
{
  double norm = 0;
  for (size_t i = 0; i < count; i++)
    norm += mix[i].share * mix[i].share;
  if (norm < MIN_SHARE * MIN_SHARE)
    return;
  double seen = fmin (fmax (slowdown, 1), MAX_SAMPLE_SLOWDOWN);
  double error = seen - interference_predict (m, service, mix, count, load);
  int band = band_of (load);
  for (size_t i = 0; i < count; i++)
    if (mix[i].share >= MIN_SHARE)
      update_coefficient (&m->pairs[service][mix[i].class_id], band,
                          LMS_STEP_SIZE * error * mix[i].share / norm);
}

bool
interference_is_confident (const struct interference *m, int service, int class_id)
{
  const struct pair_estimate *p = &m->pairs[service][class_id];
  return p->samples[0] + p->samples[1] + p->samples[2] >= MIN_CONFIDENT_SAMPLES;
}

void
interference_decay (struct interference *m, double factor)
{
  for (int s = 0; s < m->services.count; s++)
    for (int c = 0; c < m->classes.count; c++)
      for (int b = 0; b < INTERFERENCE_LOAD_BANDS; b++)
        m->pairs[s][c].samples[b] *= factor;
}
