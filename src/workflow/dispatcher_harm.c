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

static bool
serves (const struct dispatch_run *r)
{
  const workflow_step *s = workflow_step_of (r->task);
  return (s->flags & WORKFLOW_STEP_LASTING) && s->target_ms > 0;
}

static void
add_share (struct harm_share *mix, size_t *count, int filling, double share)
{
  for (size_t i = 0; i < *count; i++)
    if (mix[i].filling == filling)
      {
        mix[i].share += share;
        return;
      }
  if (*count < MAX_MIX)
    mix[(*count)++] = (struct harm_share){ .filling = filling, .share = share };
}

/* What fills on W now; PACED counts it at its present pace.  */
static size_t
present_mix (struct dispatcher *d, const struct dispatch_worker *w, bool paced,
             struct harm_share *mix)
{
  const struct dispatch_run *r;
  size_t count = 0;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    if (!fills (r) || w->millicores == 0 || (paced && r->state != DISPATCH_RUNNING))
      continue;
    const workflow_step *s = workflow_step_of (r->task);
    double share = (double)s->millicores / w->millicores;
    add_share (mix, &count, harm_model_filling (d->harm, s->image),
               paced ? share * r->paced / PACING_FULL : share);
  }
  return count;
}

void
dispatch_note_mix (struct dispatcher *d, struct dispatch_worker *w)
{
  struct harm_share now[MAX_MIX];
  size_t count = present_mix (d, w, true, now);
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
  const workflow_step *s = workflow_step_of (r->task);
  if (!serves (r) || r->measure == 0)
    return;
  harm_model_learn (d->harm, harm_model_serving (d->harm, s->image), w->mix, w->mix_count,
                    (double)s->target_ms / r->measure);
}

/* Ids of the images that serve on W, each once.  */
static size_t
list_serving (struct dispatcher *d, const struct dispatch_worker *w, int serving[MAX_SERVING])
{
  const struct dispatch_run *r;
  size_t count = 0;
  TAILQ_FOREACH (r, &w->runs, link)
  {
    size_t i = 0;
    if (!serves (r))
      continue;
    int id = harm_model_serving (d->harm, workflow_step_of (r->task)->image);
    while (i < count && serving[i] != id)
      i++;
    if (i == count && count < MAX_SERVING)
      serving[count++] = id;
  }
  return count;
}

double
dispatch_harm_after (struct dispatcher *d, const struct dispatch_worker *w, const workflow_step *s)
{
  struct harm_share mix[MAX_MIX + 1];
  int serving[MAX_SERVING];
  double worst = 0;
  size_t n = list_serving (d, w, serving);
  if (n == 0 || w->millicores == 0)
    return 0;
  size_t count = present_mix (d, w, false, mix);
  mix[count++] = (struct harm_share){ .filling = harm_model_filling (d->harm, s->image),
                                      .share = (double)s->millicores / w->millicores };
  for (size_t i = 0; i < n; i++)
    worst = fmax (worst, harm_model_loss (d->harm, serving[i], mix, count)
                             / harm_model_allowed (d->harm, serving[i]));
  return worst;
}

bool
dispatch_is_harmful (struct dispatcher *d, const struct dispatch_worker *w, const workflow_step *s)
{
  int serving[MAX_SERVING];
  struct harm_share mix[MAX_MIX];
  int filling = harm_model_filling (d->harm, s->image);
  size_t n = list_serving (d, w, serving);
  size_t count = present_mix (d, w, false, mix);
  for (size_t i = 0; i < n; i++)
    {
      double own = harm_model_coefficient (d->harm, serving[i], filling);
      double most = 0;
      for (size_t k = 0; k < count; k++)
        most = fmax (most, harm_model_coefficient (d->harm, serving[i], mix[k].filling));
      if (own >= HARMFUL_PART * most)
        return true;
    }
  return false;
}
