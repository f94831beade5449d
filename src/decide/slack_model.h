/* slack_model: predicts how much fill-in tasks slow the lasting tasks on the same worker, per pair
   of images.  Pure.

   Load pattern: lasting tasks with a response-time target and a load of their own that varies by
   half; fill-in images of which some slow some serving images strongly and others hardly.  Samples
   are coarse and delayed.

   The slack of a lasting task is its target divided by its tail response time: 1 is at the target,
   higher is better.  Response times grow as 1 / (1 - load), so the slack falls linearly with the
   load and with the interference: slack = slack alone - sum over fill-in images of coefficient x
   share, where the share is the image's processors divided by the worker's.  Each serving image has
   its own least-squares fit with decaying sums.  Ridge regression pulls pairs without samples to
   SLACK_LOSS_PRIOR.

   src/scheduler/interference.h isn't used here: its step corrects every coefficient by its part of
   one sample's error, and here the task's own load causes nearly all of that error.

   Method: Hoerl and Kennard, "Ridge regression", 1970.  */

#ifndef SASSAFRAS_SLACK_MODEL_H
#define SASSAFRAS_SLACK_MODEL_H

#include <stdbool.h>
#include <stddef.h>

#define SLACK_MAX_IMAGES 32  /* of each kind; further images share the last entry */
#define SLACK_LOSS_PRIOR 2.0 /* a tenth of a worker costs a fifth of the target in slack */
#define SLACK_MIN 1.25       /* kept by placement: tails at four fifths of the target */

struct slack_model;

/* Fill-in load of one image on one worker.  */
struct fill_share
{
  int fill_image; /* id of the image */
  double share;   /* of the worker's processors */
};

struct slack_model *slack_model_new (void);
void slack_model_free (struct slack_model *m);
int slack_model_serving_id (struct slack_model *m, const char *image); /* Adds a new image.  */
int slack_model_fill_id (struct slack_model *m, const char *image);    /* Adds a new image.  */
bool slack_model_knows_fill (const struct slack_model *m, const char *image);
void slack_model_add_sample (struct slack_model *m, int serving, const struct fill_share *mix,
                             size_t count, double slack);
double slack_model_coefficient (const struct slack_model *m, int serving, int fill_image);
/* Predicted slack lost to MIX.  */
double slack_model_loss (const struct slack_model *m, int serving, const struct fill_share *mix,
                         size_t count);
/* Largest loss that leaves SLACK_MIN at the peak of the image's own load.  */
double slack_model_max_loss (const struct slack_model *m, int serving);

#endif
