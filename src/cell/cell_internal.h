/* cell_internal: declarations shared by the files of the cell module.  */

#ifndef SASSAFRAS_CELL_INTERNAL_H
#define SASSAFRAS_CELL_INTERNAL_H

#include "cell.h"

#define CELL_EPOCH_SHIFT 40 /* task epochs: cell epoch above, placement counter below */
/* First placement counter of a started standby copy: above the epochs that a returning owner
   assigns under the same cell epoch, so two offers of one task never have the same epoch.  */
#define CELL_STANDBY_EPOCH_BASE (1ULL << 32)

/* Jobs and tasks.  */
struct cell_job *
cell_new_job (struct cell *c, uint64_t id, cell_job_spec *spec,
              int64_t deadline_left_ms); /* Takes over the strings of SPEC and zeroes it. */
struct cell_task *cell_new_task (struct cell *c, struct cell_job *j, uint64_t id, uint32_t index,
                                 enum cell_task_state state);
void cell_set_state (struct cell *c, struct cell_task *t,
                     enum cell_task_state state); /* Also finishes or reopens the job. */
void cell_set_checkpoint (struct cell_task *t, const char *checkpoint,
                          uint64_t progress_ms); /* Ignored if its progress is older. */
void cell_notify_changed (struct cell *c, struct cell_task *t);
void cell_expire_finished_jobs (struct cell *c); /* Frees jobs over the age or count limit. */
void cell_free_all (struct cell *c);
uint64_t cell_next_epoch (const struct cell *c, uint64_t epoch);
uint64_t cell_allocate_id (struct cell *c);
void cell_end_run (struct cell *c, struct cell_task *t); /* The run on the worker has ended. */
bool cell_cancel_job (struct cell *c, uint64_t id); /* False when there is nothing to cancel. */
void cell_set_error (cell_result *r, enum status_kind kind, const char *message);

/* Commands.  */
void cell_apply_submit (struct cell *c, cell_job_spec *spec, cell_result *r);
void cell_apply_cancel (struct cell *c, const cell_cancel *a, cell_result *r);
void cell_apply_place (struct cell *c, const cell_place *a, cell_result *r);
void cell_apply_report (struct cell *c, const cell_report *a, cell_result *r);
void cell_apply_stop (struct cell *c, const cell_stop *a, cell_result *r);
void cell_apply_lost (struct cell *c, const cell_lost *a, cell_result *r);
void cell_apply_fail_job (struct cell *c, const cell_fail_job *a, cell_result *r);
void cell_apply_offer (struct cell *c, const cell_offer *a, cell_result *r);
void cell_apply_accept (struct cell *c, cell_transfer *a, cell_result *r);
void cell_apply_refuse (struct cell *c, const cell_transfer *a, cell_result *r);
void cell_apply_handoff_done (struct cell *c, const cell_handoff_end *a, cell_result *r);
void cell_apply_handoff_abort (struct cell *c, const cell_handoff_end *a, cell_result *r);
void cell_apply_replica_add (struct cell *c, cell_transfer *a, cell_result *r);
void cell_apply_replaced (struct cell *c, const cell_handoff_end *a, cell_result *r);
void cell_apply_standby_sent (struct cell *c, const cell_offer *a, cell_result *r);
void cell_apply_standby_put (struct cell *c, cell_transfer *a, cell_result *r);
void cell_apply_standby_start (struct cell *c, const cell_standby_start *a, cell_result *r);
void cell_apply_standby_drop (struct cell *c, const cell_standby_drop *a, cell_result *r);
void cell_apply_epoch_closed (struct cell *c, const cell_epoch_closed *a, cell_result *r);
void cell_apply_intent_begin (struct cell *c, const cell_intent_begin *a, cell_result *r);
void cell_apply_intent_finish (struct cell *c, cell_intent_finish *a, cell_result *r);
void cell_expire_handoffs (struct cell *c); /* Frees expired records. */
void cell_expire_intents (struct cell *c);  /* Frees expired intents. */
void cell_free_handoffs (struct cell *c);
void cell_free_intents (struct cell *c);
void cell_add_intent (struct cell *c, struct cell_intent *i);
void cell_add_handoff (struct cell *c, struct cell_handoff *h);
struct cell_handoff *cell_find_handoff (const struct cell *c, uint64_t task);

/* Snapshot.  */
bool cell_save (struct machine *m, struct buffer *out);
int cell_load (struct machine *m, const void *data, size_t len, struct status *st);

#endif
