/* slack_model: how much tasks that fill slow the lasting tasks beside them, by pair of
   images. Pure.

   Load pattern: lasting tasks with response times that must stay under a target, a load of their
   own that swings by half, and fill-in tasks of which some images disturb some serving images
   heavily and others hardly; samples are rough and lag.

   The slack of a lasting task is its target over the tail of its response times: 1 is at the
   target, more is better.  Response times grow as 1 / (1 - load), so the slack falls linearly with
   the load and with what disturbs: slack = alone - sum over fill-in images of coefficient x share,
   where the share is the image's processors over the worker's.  For each serving image the sums of
   a linear least-squares fit are kept and decay; a pair without samples has SLACK_LOSS_PRIOR
   (ridge regression).

   Why not the interference module: its step corrects every coefficient by its part of one sample's
   error, and here the own load takes nearly all of it.

   Source of the method: Hoerl and Kennard, "Ridge regression", 1970.  */

#ifndef SASSAFRAS_SLACK_MODEL_H
#define SASSAFRAS_SLACK_MODEL_H

#include <stdbool.h>
#include <stddef.h>

#define SLACK_MAX_IMAGES 32 /* of each kind; further ones share the last place */
#define SLACK_LOSS_PRIOR                                                                           \
  2.0                  /* a tenth of a worker takes a fifth of the target from the slack           \
                        */
#define SLACK_MIN 1.25 /* slack that placement keeps: tails at four fifths of the target */

struct slack_model;

/* What fills on one worker.  */
struct fill_share
{
  int fill_image; /* id of the image */
  double share;   /* of the worker's processors */
};

struct slack_model *slack_model_new (void);
void slack_model_free (struct slack_model *m);
int slack_model_serving_id (struct slack_model *m, const char *image); /* Id, made when new. */
int slack_model_fill_id (struct slack_model *m, const char *image);    /* Id, made when new. */
void slack_model_add_sample (struct slack_model *m, int serving, const struct fill_share *mix,
                             size_t count, double slack); /* One sample. */
double slack_model_coefficient (const struct slack_model *m, int serving, int fill_image);
double slack_model_loss (const struct slack_model *m, int serving, const struct fill_share *mix,
                         size_t count); /* Slack that the mix takes. */
double slack_model_max_loss (const struct slack_model *m,
                             int serving); /* Loss that keeps SLACK_MIN when its own load peaks. */

#endif
