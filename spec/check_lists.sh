#!/usr/bin/env bash
# Guards against two winners for one version, different answers to a retry, a decreasing version.
# Usage: spec/check_lists.sh WORK-DIR
set -euo pipefail
source "$(dirname "$0")/check_model.bash"
check_model lists "$1" NO_REQUEST_IDS TABLE_NOT_IN_SNAPSHOT NO_VERSION_CHECK LOAD_OLD_SNAPSHOT
