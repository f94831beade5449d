#!/usr/bin/env bash
# Guards against a task that runs in two places, is resumed by two cells, or is lost in a hand-off.
# Usage: spec/check_tasks.sh WORK-DIR
set -euo pipefail
source "$(dirname "$0")/check_model.bash"
check_model tasks "$1" NO_LEASE_WAIT NO_EPOCH_CHECK SENDER_FORGETS_EARLY \
  COPY_WITHOUT_CLOSED_EPOCH COPY_WITHOUT_WAIT REFUSAL_KEEPS_COPY CLOSED_TASK_IS_RENEWED \
  NEW_LEADER_RENEWS
