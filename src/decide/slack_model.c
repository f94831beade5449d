#include "slack_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"

#define IMAGE_NAME_BYTES 257
#define MAX_TERMS (SLACK_MAX_IMAGES + 1) /* the last is the slack without fill-in tasks */
#define ALONE_TERM SLACK_MAX_IMAGES
#define COEFFICIENT_RIDGE 0.03 /* prior weighs as three samples at a share of 0.1 */
#define ALONE_RIDGE 1.0        /* prior weighs as one sample */
#define ALONE_PRIOR 2.0        /* tail at half of the target */
#define DECAY_PER_FIT 0.97     /* a sample counts for about 2,000 further samples */
#define SAMPLES_PER_FIT 64
#define MAX_COEFFICIENT 60.0  /* slack lost per whole worker of fill-in load */
#define MAX_SLACK 6.0         /* of an idle task; higher samples carry no more information */
#define LOW_QUANTILE 0.1      /* of the slack alone: the peak of the task's own load */
#define LOW_STEP 0.02         /* of slack; scales the change of the quantile per sample */
#define LOSS_LIMIT_FLOOR 0.05 /* some work that hardly interferes may always run */

struct fit
{
  double a[MAX_TERMS][MAX_TERMS];
  double b[MAX_TERMS];
  double coefficient[MAX_TERMS];
  double low_slack; /* low quantile of the slack alone */
  unsigned samples;
};

struct image_table
{
  char name[SLACK_MAX_IMAGES][IMAGE_NAME_BYTES];
  int count;
};

struct slack_model
{
  struct image_table serving_images;
  struct image_table fill_images;
  struct fit *fits[SLACK_MAX_IMAGES];
};

static int
find_or_add_image (struct image_table *n, const char *name)
{
  for (int i = 0; i < n->count; i++)
    if (strcmp (n->name[i], name) == 0)
      return i;
  if (n->count == SLACK_MAX_IMAGES)
    return SLACK_MAX_IMAGES - 1;
  snprintf (n->name[n->count], IMAGE_NAME_BYTES, "%s", name);
  return n->count++;
}

static struct fit *
new_fit (void)
{
  struct fit *f = xcalloc (1, sizeof *f);
  for (int i = 0; i < SLACK_MAX_IMAGES; i++)
    f->coefficient[i] = SLACK_LOSS_PRIOR;
  f->coefficient[ALONE_TERM] = ALONE_PRIOR;
  f->low_slack = ALONE_PRIOR;
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
  int id = find_or_add_image (&m->serving_images, image);
  if (!m->fits[id])
    m->fits[id] = new_fit ();
  return id;
}

int
slack_model_fill_id (struct slack_model *m, const char *image)
{
  return find_or_add_image (&m->fill_images, image);
}

bool
slack_model_knows_fill (const struct slack_model *m, const char *image)
{
  for (int i = 0; i < m->fill_images.count; i++)
    if (strcmp (m->fill_images.name[i], image) == 0)
      return true;
  return false;
}

/* Solves (A + ridge) x = B + ridge x prior by Gauss-Jordan elimination with partial pivoting.  */
static void
solve (const struct fit *f, int terms[MAX_TERMS], int n, double x[MAX_TERMS])
{
  double m[MAX_TERMS][MAX_TERMS + 1];
  for (int i = 0; i < n; i++)
    {
      bool alone = terms[i] == ALONE_TERM;
      double ridge = alone ? ALONE_RIDGE : COEFFICIENT_RIDGE;
      for (int k = 0; k < n; k++)
        m[i][k] = f->a[terms[i]][terms[k]] + (i == k ? ridge : 0);
      /* Coefficients reduce the slack, so their prior is negative here.  */
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
update_coefficients (struct fit *f, int fill_image_count)
{
  int terms[MAX_TERMS];
  double x[MAX_TERMS];
  int n = 0;
  for (int i = 0; i < fill_image_count; i++)
    terms[n++] = i;
  terms[n++] = ALONE_TERM;
  solve (f, terms, n, x);
  for (int i = 0; i < fill_image_count; i++)
    f->coefficient[i] = fmin (fmax (-x[i], 0), MAX_COEFFICIENT);
  f->coefficient[ALONE_TERM] = x[ALONE_TERM];
}

/* Reduces the weight of older samples, once per SAMPLES_PER_FIT new ones.  */
static void
decay (struct fit *f)
{
  for (int i = 0; i < MAX_TERMS; i++)
    {
      f->b[i] *= DECAY_PER_FIT;
      for (int k = 0; k < MAX_TERMS; k++)
        f->a[i][k] *= DECAY_PER_FIT;
    }
}

void
slack_model_add_sample (struct slack_model *m, int serving, const struct fill_share *mix,
                        size_t count, double slack)
{
  struct fit *f = m->fits[serving];
  double x[MAX_TERMS] = { 0 };
  double bounded = fmin (slack, MAX_SLACK);
  for (size_t i = 0; i < count; i++)
    x[mix[i].fill_image] += mix[i].share;
  x[ALONE_TERM] = 1;
  double alone = bounded + slack_model_loss (m, serving, mix, count);
  f->low_slack += alone < f->low_slack ? -LOW_STEP * (1 - LOW_QUANTILE) : LOW_STEP * LOW_QUANTILE;
  for (int i = 0; i < MAX_TERMS; i++)
    {
      if (x[i] == 0)
        continue;
      f->b[i] += x[i] * bounded;
      for (int k = 0; k < MAX_TERMS; k++)
        f->a[i][k] += x[i] * x[k];
    }
  if (++f->samples % SAMPLES_PER_FIT != 0)
    return;
  decay (f);
  update_coefficients (f, m->fill_images.count);
}

double
slack_model_coefficient (const struct slack_model *m, int serving, int fill_image)
{
  return m->fits[serving]->coefficient[fill_image];
}

double
slack_model_loss (const struct slack_model *m, int serving, const struct fill_share *mix,
                  size_t count)
{
  double loss = 0;
  for (size_t i = 0; i < count; i++)
    loss += m->fits[serving]->coefficient[mix[i].fill_image] * mix[i].share;
  return loss;
}

double
slack_model_max_loss (const struct slack_model *m, int serving)
{
  return fmax (m->fits[serving]->low_slack - SLACK_MIN, LOSS_LIMIT_FLOOR);
}
