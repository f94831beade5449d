#include "relocation.h"

bool
relocation_is_due (const struct relocation_facts *f)
{
  bool resumes = f->checkpointing || f->now_ms - f->running_ms <= RELOCATION_MAX_LOST_MS;
  return resumes && f->percent <= RELOCATION_MAX_PERCENT
         && f->run_number <= RELOCATION_MAX_RUN_NUMBER
         && f->now_ms - f->worker_move_ms >= RELOCATION_INTERVAL_MS;
}
