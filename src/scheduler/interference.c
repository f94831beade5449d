#include "interference.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define NAME_BYTES 65
/* An unknown pair is assumed to be mildly harmful, so that it is tried beside urgent work only in
   small shares: at 0.3 a class may take 40% of a worker under the target of 1.12.  */
#define PRIOR 0.3
#define STEP 0.4
#define KNOWN_SAMPLES 4.0
#define MAX_SAMPLES 50.0
#define MAX_COEFFICIENT 20.0
#define MAX_SLOWDOWN 20.0
/* Below this share a class explains too little of a sample to be corrected by it.  */
#define MIN_SHARE 0.005

struct pair
{
  double coefficient[INTERFERENCE_BANDS];
  double samples[INTERFERENCE_BANDS];
};

struct names
{
  char (*name)[NAME_BYTES];
  int count;
  int limit;
};

struct interference
{
  struct names services;
  struct names classes;
  struct pair *pairs[INTERFERENCE_SERVICES];
};

static void
names_init (struct names *n, int limit)
{
  n->name = xcalloc ((size_t)limit, NAME_BYTES);
  n->count = 0;
  n->limit = limit;
}

static int
names_id (struct names *n, const char *name)
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
  names_init (&m->services, INTERFERENCE_SERVICES);
  names_init (&m->classes, INTERFERENCE_CLASSES);
  return m;
}

void
interference_free (struct interference *m)
{
  for (int i = 0; i < INTERFERENCE_SERVICES; i++)
    free (m->pairs[i]);
  free (m->services.name);
  free (m->classes.name);
  free (m);
}

int
interference_service (struct interference *m, const char *name)
{
  int id = names_id (&m->services, name);
  if (m->pairs[id])
    return id;
  m->pairs[id] = xcalloc (INTERFERENCE_CLASSES, sizeof (struct pair));
  for (int c = 0; c < INTERFERENCE_CLASSES; c++)
    for (int b = 0; b < INTERFERENCE_BANDS; b++)
      m->pairs[id][c].coefficient[b] = PRIOR;
  return id;
}

int
interference_class (struct interference *m, const char *name)
{
  return names_id (&m->classes, name);
}

static int
band_of (double load)
{
  return load < 0.5 ? 0 : load < 0.8 ? 1 : 2;
}

/* A band without samples borrows from the nearest band that has some, the higher one first.  */
static int
band_with_samples (const struct pair *p, int band)
{
  if (p->samples[band] >= 1)
    return band;
  for (int b = INTERFERENCE_BANDS - 1; b >= 0; b--)
    if (p->samples[b] >= 1)
      return b;
  return band;
}

static double
coefficient_at (const struct pair *p, int band)
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
interference_noise (const struct interference *m, int class_id)
{
  double noise = 0;
  for (int i = 0; i < m->services.count; i++)
    noise = fmax (noise, coefficient_at (&m->pairs[i][class_id], INTERFERENCE_BANDS - 1));
  return noise;
}

static void
correct (struct pair *p, int band, double change)
{
  /* A band's first sample starts from what the other bands say.  */
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
  double seen = fmin (fmax (slowdown, 1), MAX_SLOWDOWN);
  double error = seen - interference_predict (m, service, mix, count, load);
  int band = band_of (load);
  for (size_t i = 0; i < count; i++)
    if (mix[i].share >= MIN_SHARE)
      correct (&m->pairs[service][mix[i].class_id], band, STEP * error * mix[i].share / norm);
}

bool
interference_known (const struct interference *m, int service, int class_id)
{
  const struct pair *p = &m->pairs[service][class_id];
  return p->samples[0] + p->samples[1] + p->samples[2] >= KNOWN_SAMPLES;
}

void
interference_decay (struct interference *m, double factor)
{
  for (int s = 0; s < m->services.count; s++)
    for (int c = 0; c < m->classes.count; c++)
      for (int b = 0; b < INTERFERENCE_BANDS; b++)
        m->pairs[s][c].samples[b] *= factor;
}
