/* Interference of fill-in tasks with lasting tasks on one worker: samples and predictions.  */
#include <math.h>
#include <string.h>

#include "dispatcher_internal.h"

#define MIN_SHARE 0.002             /* smoothed shares below it are dropped */
#define PACED_COEFFICIENT_RATIO 0.3 /* of the largest coefficient; images from it up are paced */
/* Below it all images are paced, as the model may be wrong.  Reached by three cuts in a row.  */
#define PACE_ALL_BELOW_PERCENT 13

static bool
is_fill (const struct dispatch_run *r)
{
  return r->is_fill;
}

int
dispatch_image_id (struct dispatcher *d, const workflow_step *s)
{
  if (s->flags & WORKFLOW_STEP_FILL)
    return slack_model_fill_id (d->slack_model, s->image);
  bool serves = (s->flags & WORKFLOW_STEP_LASTING) && s->target_ms > 0;
  return serves ? slack_model_serving_id (d->slack_model, s->image) : -1;
}

static void
add_share (struct fill_share *mix, size_t *count, int fill_image, double share)
{
  for (size_t i = 0; i < *count; i++)
    if (mix[i].fill_image == fill_image)
      {
        mix[i].share += share;
        return;
      }
  if (*count < MAX_MIX)
    mix[(*count)++] = (struct fill_share){ .fill_image = fill_image, .share = share };
}

/* Fill-in load of W at its current pace.  */
static size_t
paced_mix (const struct dispatch_worker *w, struct fill_share *mix)
{
  const struct dispatch_run *r;
  size_t count = 0;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    if (!is_fill (r) || w->millicores == 0 || r->state != DISPATCH_RUNNING)
      continue;
    double share = (double)workflow_step_of (r->task)->millicores / w->millicores;
    add_share (mix, &count, r->image, share * r->paced_percent / PACING_FULL_PERCENT);
  }
  return count;
}

void
dispatch_update_mix (struct dispatcher *d, struct dispatch_worker *w)
{
  struct fill_share now[MAX_MIX];
  size_t count = paced_mix (w, now);
  double keep = exp (-(double)(d->now_ms - w->mix_ms) / MIX_TIME_CONSTANT_MS);
  size_t kept = 0;
  for (size_t i = 0; i < w->mix_count; i++)
    {
      w->mix[i].share *= keep;
      if (w->mix[i].share >= MIN_SHARE)
        w->mix[kept++] = w->mix[i];
    }
  w->mix_count = kept;
  for (size_t i = 0; i < count; i++)
    add_share (w->mix, &w->mix_count, now[i].fill_image, now[i].share * (1 - keep));
  w->mix_ms = d->now_ms;
}

void
dispatch_add_tail_sample (struct dispatcher *d, struct dispatch_worker *w,
                          const struct dispatch_run *r)
{
  if (is_fill (r) || r->image < 0 || r->measure == 0)
    return;
  slack_model_add_sample (d->slack_model, r->image, w->mix, w->mix_count,
                          (double)workflow_step_of (r->task)->target_ms / r->measure);
}

/* Fill-in tasks of that image slow a lasting task of W about as much as any other image there.  */
static bool
is_paced_image (const struct dispatcher *d, const struct dispatch_worker *w, int fill_image)
{
  for (size_t i = 0; i < w->served_count; i++)
    if (slack_model_coefficient (d->slack_model, w->served[i].image, fill_image)
        >= PACED_COEFFICIENT_RATIO * w->served[i].max_coefficient)
      return true;
  return false;
}

static uint32_t
pace_of (const struct dispatcher *d, const struct dispatch_worker *w, int fill_image)
{
  uint32_t percent = w->pacing.percent;
  bool pace_all = percent < PACE_ALL_BELOW_PERCENT;
  if (percent < PACING_FULL_PERCENT && !pace_all && !is_paced_image (d, w, fill_image))
    return PACING_FULL_PERCENT;
  return percent;
}

/* Fill-in load that runs or was placed on W, at the pace of each image there.  */
static size_t
placed_mix (const struct dispatcher *d, const struct dispatch_worker *w, struct fill_share *mix)
{
  size_t count = 0;
  for (int i = 0; i < SLACK_MAX_IMAGES && count < MAX_MIX && w->millicores > 0; i++)
    {
      if (w->fill_millicores_of[i] == 0)
        continue;
      double share = (double)w->fill_millicores_of[i] / w->millicores;
      share *= (double)pace_of (d, w, i) / PACING_FULL_PERCENT;
      mix[count++] = (struct fill_share){ .fill_image = i, .share = share };
    }
  return count;
}

/* Lists the images of lasting tasks on W, with the largest coefficient among the fill-in images. */
static void
list_served (const struct dispatcher *d, struct dispatch_worker *w)
{
  w->served_count = 0;
  for (int i = 0; i < SLACK_MAX_IMAGES; i++)
    {
      if (w->serving_tasks_of[i] == 0)
        continue;
      struct served_image *served = &w->served[w->served_count++];
      *served = (struct served_image){ .image = i };
      for (int k = 0; k < SLACK_MAX_IMAGES; k++)
        if (w->fill_millicores_of[k] > 0)
          served->max_coefficient
              = fmax (served->max_coefficient, slack_model_coefficient (d->slack_model, i, k));
    }
}

/* Load pattern: dozens of steps a tick are compared with a thousand workers.  What depends on the
   worker only is computed once a tick, and again after a placement there.  */
static void
update_served (const struct dispatcher *d, struct dispatch_worker *w)
{
  struct fill_share mix[MAX_MIX];
  if (w->served_tick == d->ticks)
    return;
  w->served_tick = d->ticks;
  list_served (d, w);
  size_t count = placed_mix (d, w, mix);
  for (size_t i = 0; i < w->served_count; i++)
    {
      struct served_image *served = &w->served[i];
      served->loss = slack_model_loss (d->slack_model, served->image, mix, count);
      served->max_loss = slack_model_max_loss (d->slack_model, served->image);
    }
}

double
dispatch_predict_interference (const struct dispatcher *d, struct dispatch_worker *w,
                               int fill_image, uint32_t millicores)
{
  double worst = 0;
  if (w->millicores == 0)
    return 0;
  double share = (double)millicores / w->millicores;
  update_served (d, w);
  for (size_t i = 0; i < w->served_count; i++)
    {
      const struct served_image *served = &w->served[i];
      double coefficient = slack_model_coefficient (d->slack_model, served->image, fill_image);
      worst = fmax (worst, (served->loss + coefficient * share) / served->max_loss);
    }
  return worst;
}

uint32_t
dispatch_pace_of (const struct dispatcher *d, struct dispatch_worker *w, int fill_image)
{
  if (w->pacing.percent == PACING_FULL_PERCENT)
    return PACING_FULL_PERCENT;
  update_served (d, w);
  return pace_of (d, w, fill_image);
}
