/* interference: how much batch classes slow down services, learned from delayed measurements.

   The slowdown of a service on a worker is modelled as 1 + the sum over the batch classes on that
   worker of coefficient x share, where share is the processors of the class divided by those of the
   worker.  There is one coefficient per (service, class, load band).  Each sample corrects the
   coefficients of the classes that ran when it was taken (normalized least mean squares).
   Confidence decays, so that an old estimate is tested again.

   Source of the method: the least mean squares rule of Widrow and Hoff.  */

#ifndef SASSAFRAS_INTERFERENCE_H
#define SASSAFRAS_INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define INTERFERENCE_MAX_SERVICES 128
#define INTERFERENCE_MAX_CLASSES 256
#define INTERFERENCE_LOAD_BANDS 3        /* load below 50%, below 80%, above */
#define INTERFERENCE_SLOWDOWN_LIMIT 1.12 /* highest prediction accepted; the objective is 1.2 */

struct interference;

/* Load of one batch class on a worker.  LOAD below is the used share of all its processors.  */
struct interference_load
{
  int class_id;
  double share; /* processors used / processors of the worker */
};

struct interference *interference_new (void);
void interference_free (struct interference *m);
int interference_service (struct interference *m,
                          const char *name); /* Id; names beyond the limit share the last. */
int interference_class (struct interference *m,
                        const char *name); /* Id; names beyond the limit share the last. */
void interference_learn (struct interference *m, int service, const struct interference_load *mix,
                         size_t count, double load,
                         double slowdown); /* MIX and LOAD at the time of the sample. */
double interference_predict (const struct interference *m, int service,
                             const struct interference_load *mix, size_t count,
                             double load); /* Predicted slowdown, 1 is none. */
double interference_coefficient (const struct interference *m, int service, int class_id,
                                 double load);
double interference_max_coefficient (const struct interference *m,
                                     int class_id); /* Largest over services, highest load band. */
bool interference_is_confident (const struct interference *m, int service,
                                int class_id); /* True with enough recent samples. */
void interference_decay (struct interference *m,
                         double factor); /* Multiplies the confidence by FACTOR. */

#endif
