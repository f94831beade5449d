#!/usr/bin/env bash
# Guards against a key that is served after it was taken away: deposed, paused, restarted and new leaders.
# Usage: spec/check_keys.sh WORK-DIR
set -euo pipefail
source "$(dirname "$0")/check_model.bash"
check_model keys "$1" NO_CONFIRMATION NO_WAIT_FOR_LOG
