/* interference: how much batch classes slow services, learned from lagging measurements.

   The slowdown of a service on a worker is modelled as 1 + sum over the batch classes there of
   coefficient x share, where share is the class's processors over the worker's.  There is one
   coefficient per (service, class, load band).  Each sample corrects the coefficients of the
   classes that ran when it was taken (normalized least mean squares).  Confidence decays, so that
   an estimate is tried again after a while.

   Source of the method: Widrow and Hoff's least mean squares rule.  */

#ifndef SASSAFRAS_INTERFERENCE_H
#define SASSAFRAS_INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define INTERFERENCE_SERVICES 128
#define INTERFERENCE_CLASSES 256
#define INTERFERENCE_BANDS 3     /* load below 50%, below 80%, above */
#define INTERFERENCE_TARGET 1.12 /* predicted slowdown that placement accepts; the aim is 1.2 */

struct interference;

/* One batch class on a worker.  */
struct interference_load
{
  int class_id;
  double share; /* processors used over the worker's processors */
};

struct interference *interference_new (void);
void interference_free (struct interference *m);
int interference_service (struct interference *m, const char *name); /* Id; the last is shared. */
int interference_class (struct interference *m, const char *name);   /* Id; the last is shared. */
void interference_learn (struct interference *m, int service, const struct interference_load *mix,
                         size_t count, double load, double slowdown); /* One matched sample. */
double interference_predict (const struct interference *m, int service,
                             const struct interference_load *mix, size_t count,
                             double load); /* Expected slowdown, 1 is none. */
double interference_coefficient (const struct interference *m, int service, int class_id,
                                 double load);
double interference_noise (const struct interference *m,
                           int class_id); /* Largest coefficient over the services. */
bool interference_known (const struct interference *m, int service,
                         int class_id); /* Enough recent samples. */
void interference_decay (struct interference *m,
                         double factor); /* Multiplies the confidence by FACTOR. */

#endif
