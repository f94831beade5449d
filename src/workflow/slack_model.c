#include "slack_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define NAME_BYTES 257
#define TERMS (SLACK_MAX_IMAGES + 1) /* the last is the slack alone */
#define ALONE SLACK_MAX_IMAGES
#define RIDGE 0.03      /* weight of the prior: three samples at a share of a tenth */
#define ALONE_RIDGE 1.0 /* one sample */
#define ALONE_PRIOR 2.0 /* half of the target */
#define DECAY 0.97      /* per fit: samples count for about 2,000 more of them */
#define SOLVE_EVERY 64  /* samples */
#define MAX_COEFFICIENT 60.0
#define MAX_SLACK 6.0    /* an idle task's tail; beyond it a sample says nothing more */
#define LOW_QUANTILE 0.1 /* of the slack alone, when its own load peaks */
#define LOW_STEP 0.02
#define LEAST_ALLOWED 0.05 /* some harmless work may always run */

struct fit
{
  double a[TERMS][TERMS];
  double b[TERMS];
  double coefficient[TERMS];
  double low; /* low quantile of the slack alone */
  unsigned samples;
};

struct names
{
  char name[SLACK_MAX_IMAGES][NAME_BYTES];
  int count;
};

struct slack_model
{
  struct names serving;
  struct names filling;
  struct fit *fits[SLACK_MAX_IMAGES];
};

static int
names_id (struct names *n, const char *name)
{
  for (int i = 0; i < n->count; i++)
    if (strcmp (n->name[i], name) == 0)
      return i;
  if (n->count == SLACK_MAX_IMAGES)
    return SLACK_MAX_IMAGES - 1;
  snprintf (n->name[n->count], NAME_BYTES, "%s", name);
  return n->count++;
}

static struct fit *
new_fit (void)
{
  struct fit *f = xcalloc (1, sizeof *f);
  for (int i = 0; i < SLACK_MAX_IMAGES; i++)
    f->coefficient[i] = SLACK_LOSS_PRIOR;
  f->coefficient[ALONE] = ALONE_PRIOR;
  f->low = ALONE_PRIOR;
  return f;
}

struct slack_model *
slack_model_new (void)
{
  return xcalloc (1, sizeof (struct slack_model));
}

void
slack_model_free (struct slack_model *m)
{
  for (int i = 0; i < SLACK_MAX_IMAGES; i++)
    free (m->fits[i]);
  free (m);
}

int
slack_model_serving_id (struct slack_model *m, const char *image)
{
  int id = names_id (&m->serving, image);
  if (!m->fits[id])
    m->fits[id] = new_fit ();
  return id;
}

int
slack_model_fill_id (struct slack_model *m, const char *image)
{
  return names_id (&m->filling, image);
}

/* Solves (A + ridge) x = B + ridge x prior by elimination with pivots.  */
static void
solve (const struct fit *f, int terms[TERMS], int n, double x[TERMS])
{
  double m[TERMS][TERMS + 1];
  for (int i = 0; i < n; i++)
    {
      bool alone = terms[i] == ALONE;
      double ridge = alone ? ALONE_RIDGE : RIDGE;
      for (int k = 0; k < n; k++)
        m[i][k] = f->a[terms[i]][terms[k]] + (i == k ? ridge : 0);
      /* The loss counts against the slack: its prior is negative here.  */
      m[i][n] = f->b[terms[i]] + ridge * (alone ? ALONE_PRIOR : -SLACK_LOSS_PRIOR);
    }
  for (int i = 0; i < n; i++)
    {
      int pivot = i;
      for (int r = i + 1; r < n; r++)
        if (fabs (m[r][i]) > fabs (m[pivot][i]))
          pivot = r;
      for (int k = 0; k <= n; k++)
        {
          double swap = m[i][k];
          m[i][k] = m[pivot][k];
          m[pivot][k] = swap;
        }
      for (int r = 0; r < n; r++)
        {
          double factor = r == i ? 0 : m[r][i] / m[i][i];
          for (int k = i; factor != 0 && k <= n; k++)
            m[r][k] -= factor * m[i][k];
        }
    }
  for (int i = 0; i < n; i++)
    x[terms[i]] = m[i][n] / m[i][i];
}

static void
update (struct fit *f, int fillings)
{
  int terms[TERMS];
  double x[TERMS];
  int n = 0;
  for (int i = 0; i < fillings; i++)
    terms[n++] = i;
  terms[n++] = ALONE;
  solve (f, terms, n, x);
  for (int i = 0; i < fillings; i++)
    f->coefficient[i] = fmin (fmax (-x[i], 0), MAX_COEFFICIENT);
  f->coefficient[ALONE] = x[ALONE];
}

/* Older samples count less, once for SOLVE_EVERY new ones.  */
static void
decay (struct fit *f)
{
  for (int i = 0; i < TERMS; i++)
    {
      f->b[i] *= DECAY;
      for (int k = 0; k < TERMS; k++)
        f->a[i][k] *= DECAY;
    }
}

void
slack_model_add_sample (struct slack_model *m, int serving, const struct fill_share *mix,
                        size_t count, double slack)
{
  struct fit *f = m->fits[serving];
  double x[TERMS] = { 0 };
  double seen = fmin (slack, MAX_SLACK);
  for (size_t i = 0; i < count; i++)
    x[mix[i].filling] += mix[i].share;
  x[ALONE] = 1;
  double alone = seen + slack_model_loss (m, serving, mix, count);
  f->low += alone < f->low ? -LOW_STEP * (1 - LOW_QUANTILE) : LOW_STEP * LOW_QUANTILE;
  for (int i = 0; i < TERMS; i++)
    {
      if (x[i] == 0)
        continue;
      f->b[i] += x[i] * seen;
      for (int k = 0; k < TERMS; k++)
        f->a[i][k] += x[i] * x[k];
    }
  if (++f->samples % SOLVE_EVERY != 0)
    return;
  decay (f);
  update (f, m->filling.count);
}

double
slack_model_coefficient (const struct slack_model *m, int serving, int filling)
{
  return m->fits[serving]->coefficient[filling];
}

double
slack_model_loss (const struct slack_model *m, int serving, const struct fill_share *mix,
                  size_t count)
{
  double loss = 0;
  for (size_t i = 0; i < count; i++)
    loss += m->fits[serving]->coefficient[mix[i].filling] * mix[i].share;
  return loss;
}

double
slack_model_max_loss (const struct slack_model *m, int serving)
{
  return fmax (m->fits[serving]->low - SLACK_MIN, LEAST_ALLOWED);
}
