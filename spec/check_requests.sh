#!/usr/bin/env bash
# Guards against unrepeatable work that runs twice and against a false "not run" answer.
# Usage: spec/check_requests.sh WORK-DIR
set -euo pipefail
source "$(dirname "$0")/check_model.bash"
check_model requests "$1" SEND_BEFORE_INTENT RETRY_AFTER_SENT NOT_RUN_AFTER_SENT \
  NOT_RUN_WHEN_UNREACHABLE
