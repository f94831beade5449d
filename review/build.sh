#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin; needs gcc and libjansson.  The programs under test are built by the
# build command of deploy/system.toml, into target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in last_list foreign_heartbeat late_order route_removed unread_post; do
  gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o "bin/$case" "rig/$case.c" rig/rig.c -ljansson -pthread
done
