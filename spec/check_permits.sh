#!/usr/bin/env bash
# Guards against starts in a data centre that is out: delayed grants and start commands, deposed leaders.
# Usage: spec/check_permits.sh WORK-DIR
set -euo pipefail
source "$(dirname "$0")/check_model.bash"
check_model permits "$1" LIFE_FROM_RECEIPT NO_WAIT_FOR_EARLIER_LEADER NO_VALIDITY NO_CONFIRM \
  REPORT_STOP_EARLY
