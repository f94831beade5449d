/* workflow_internal: private interface between the workflow*.c files of the state machine.  */

#ifndef SASSAFRAS_WORKFLOW_INTERNAL_H
#define SASSAFRAS_WORKFLOW_INTERNAL_H

#include "workflow.h"

struct workflow_job *workflow_add_job (struct workflow *w,
                                       workflow_spec *spec); /* Moves SPEC's content. */
/* The queue of J was at HOST and PATH_PREFIX when J was submitted; "" if that is not known.  */
void workflow_set_origin (struct workflow *w, struct workflow_job *j, const char *host,
                          const char *path_prefix);
void workflow_set_owner (struct workflow *w, struct workflow_job *j,
                         const char *account); /* "": none */
void workflow_free_job (struct workflow *w, struct workflow_job *j);
void workflow_free_all (struct workflow *w); /* Frees jobs, zones and configuration. */
struct workflow_run *workflow_add_run (struct workflow *w, struct workflow_task *t, uint32_t run,
                                       const char *worker);
void workflow_update_ready (struct workflow *w, struct workflow_job *j); /* Call after J changed. */
void workflow_set_job_state (struct workflow *w, struct workflow_job *j,
                             enum workflow_job_state state);
void workflow_set_checkpoint (struct workflow *w, struct workflow_task *t,
                              const char *checkpoint); /* "": none */
bool workflow_set_zone (struct workflow *w, const char *zone,
                        bool out); /* False: WORKFLOW_MAX_ZONES are out. */
/* Moves its content; else as run_workers_set_drain.  */
enum status_kind workflow_add_drain (struct workflow *w, workflow_drain *drain);
bool workflow_save (struct machine *m, struct buffer *out);
int workflow_load (struct machine *m, const void *data, size_t len, struct status *st);

#endif
