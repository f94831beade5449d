#!/usr/bin/env bash
# Guards against requests refused by a VM whose process was paused for a second while a runner departed:
# the VM no longer lists the remaining runner and answers 503 until the next digest, 0.1 s later.
cd "$(dirname "$0")/.." || exit 1
PAUSE_S=1.2 exec bash tests/path_stop.sh "$@"
