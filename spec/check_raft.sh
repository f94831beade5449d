#!/usr/bin/env bash
# Guards against an election or commit rule that loses committed entries or allows two leaders.
# Usage: spec/check_raft.sh WORK-DIR
set -euo pipefail
source "$(dirname "$0")/check_model.bash"
check_model raft "$1" VOTE_NOT_DURABLE COMMIT_OLD_TERM NO_LOG_CHECK CHANGE_TWO
