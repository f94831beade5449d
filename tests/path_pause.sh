#!/usr/bin/env bash
# Guards against requests refused by a VM whose process stood for a second while a runner departed: it has
# lost sight of the runner that serves on, and answers 503 until the next digest, a tenth of a second later.
cd "$(dirname "$0")/.." || exit 1
PAUSE_S=1.2 exec bash tests/path_stop.sh "$@"
