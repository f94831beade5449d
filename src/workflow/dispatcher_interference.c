/* What fill-in tasks do to the lasting tasks beside them, as the dispatcher learns and predicts it.
 */
#include <math.h>
#include <string.h>

#include "dispatcher_internal.h"

#define LEAST_SHARE 0.002 /* a smoothed share below it is dropped */
#define HARMFUL_PART 0.3  /* of the worst image's coefficient: what is paced with it */

static bool
fills (const struct dispatch_run *r)
{
  return workflow_step_of (r->task)->flags & WORKFLOW_STEP_FILL;
}

int
dispatch_image (struct dispatcher *d, const workflow_step *s)
{
  if (s->flags & WORKFLOW_STEP_FILL)
    return slack_model_fill_id (d->harm, s->image);
  bool serves = (s->flags & WORKFLOW_STEP_LASTING) && s->target_ms > 0;
  return serves ? slack_model_serving_id (d->harm, s->image) : -1;
}

static void
add_share (struct fill_share *mix, size_t *count, int filling, double share)
{
  for (size_t i = 0; i < *count; i++)
    if (mix[i].filling == filling)
      {
        mix[i].share += share;
        return;
      }
  if (*count < MAX_MIX)
    mix[(*count)++] = (struct fill_share){ .filling = filling, .share = share };
}

/* What fills on W at its present pace.  */
static size_t
paced_mix (const struct dispatch_worker *w, struct fill_share *mix)
{
  const struct dispatch_run *r;
  size_t count = 0;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    if (!fills (r) || w->millicores == 0 || r->state != DISPATCH_RUNNING)
      continue;
    double share = (double)workflow_step_of (r->task)->millicores / w->millicores;
    add_share (mix, &count, r->image, share * r->paced / PACING_FULL);
  }
  return count;
}

/* What fills on W, or was placed there, at full pace; with room for one more.  */
static size_t
present_mix (const struct dispatch_worker *w, struct fill_share *mix)
{
  size_t count = 0;
  for (int i = 0; i < SLACK_MAX_IMAGES && count < MAX_MIX && w->millicores > 0; i++)
    if (w->filling_of[i] > 0)
      mix[count++]
          = (struct fill_share){ .filling = i, .share = (double)w->filling_of[i] / w->millicores };
  return count;
}

void
dispatch_note_mix (struct dispatcher *d, struct dispatch_worker *w)
{
  struct fill_share now[MAX_MIX];
  size_t count = paced_mix (w, now);
  double keep = exp (-(double)(d->now_ms - w->mix_ms) / MIX_LAG_MS);
  size_t kept = 0;
  for (size_t i = 0; i < w->mix_count; i++)
    {
      w->mix[i].share *= keep;
      if (w->mix[i].share >= LEAST_SHARE)
        w->mix[kept++] = w->mix[i];
    }
  w->mix_count = kept;
  for (size_t i = 0; i < count; i++)
    add_share (w->mix, &w->mix_count, now[i].filling, now[i].share * (1 - keep));
  w->mix_ms = d->now_ms;
}

void
dispatch_learn_tail (struct dispatcher *d, struct dispatch_worker *w, const struct dispatch_run *r)
{
  if (fills (r) || r->image < 0 || r->measure == 0)
    return;
  slack_model_add_sample (d->harm, r->image, w->mix, w->mix_count,
                          (double)workflow_step_of (r->task)->target_ms / r->measure);
}

double
dispatch_harm_after (struct dispatcher *d, const struct dispatch_worker *w, int filling,
                     uint32_t millicores)
{
  struct fill_share mix[MAX_MIX + 1];
  double worst = 0;
  size_t count = present_mix (w, mix);
  if (w->millicores == 0)
    return 0;
  mix[count++]
      = (struct fill_share){ .filling = filling, .share = (double)millicores / w->millicores };
  for (int i = 0; i < SLACK_MAX_IMAGES; i++)
    if (w->serving_of[i] > 0)
      worst = fmax (worst,
                    slack_model_loss (d->harm, i, mix, count) / slack_model_max_loss (d->harm, i));
  return worst;
}

bool
dispatch_is_harmful (struct dispatcher *d, const struct dispatch_worker *w, int filling)
{
  for (int i = 0; i < SLACK_MAX_IMAGES; i++)
    {
      double most = 0;
      if (w->serving_of[i] == 0)
        continue;
      for (int k = 0; k < SLACK_MAX_IMAGES; k++)
        if (w->filling_of[k] > 0)
          most = fmax (most, slack_model_coefficient (d->harm, i, k));
      if (slack_model_coefficient (d->harm, i, filling) >= HARMFUL_PART * most)
        return true;
    }
  return false;
}
