/* harm_model: how much tasks that fill slow the lasting tasks beside them, by pair of images. Pure.

   Load pattern: lasting tasks with response times that must stay under a target, a load of their
   own that swings by half, and fill-in tasks of which some images disturb some serving images
   heavily and others hardly; samples are rough and lag.

   The slack of a lasting task is its target over the tail of its response times: 1 is at the
   target, more is better.  Response times grow as 1 / (1 - load), so the slack falls linearly with
   the load and with what disturbs: slack = alone - sum over fill-in images of coefficient x share,
   where the share is the image's processors over the worker's.  For each serving image the sums of
   a linear least-squares fit are kept and decay; a pair without samples has HARM_PRIOR (ridge
   regression).

   Why not the interference module: its step corrects every coefficient by its part of one sample's
   error, and here the own load takes nearly all of it.

   Source of the method: Hoerl and Kennard, "Ridge regression", 1970.  */

#ifndef SASSAFRAS_HARM_MODEL_H
#define SASSAFRAS_HARM_MODEL_H

#include <stdbool.h>
#include <stddef.h>

#define HARM_IMAGES 32  /* of each kind; further ones share the last place */
#define HARM_PRIOR 2.0  /* a tenth of a worker takes a fifth of the target from the slack */
#define HARM_SLACK 1.25 /* slack that placement keeps: tails at four fifths of the target */

struct harm_model;

/* What fills on one worker.  */
struct harm_share
{
  int filling;  /* id of the image */
  double share; /* of the worker's processors */
};

struct harm_model *harm_model_new (void);
void harm_model_free (struct harm_model *m);
int harm_model_serving (struct harm_model *m, const char *image); /* Id, made when new. */
int harm_model_filling (struct harm_model *m, const char *image); /* Id, made when new. */
void harm_model_learn (struct harm_model *m, int serving, const struct harm_share *mix,
                       size_t count, double slack); /* One sample. */
double harm_model_coefficient (const struct harm_model *m, int serving, int filling);
double harm_model_loss (const struct harm_model *m, int serving, const struct harm_share *mix,
                        size_t count); /* Slack that the mix takes. */
double harm_model_allowed (const struct harm_model *m,
                           int serving); /* Loss that keeps HARM_SLACK when its own load peaks. */

#endif
