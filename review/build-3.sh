#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 and later, in target/.  Needs what deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
# shellcheck disable=SC2046
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review-rig-3 review/rig-3/rig.c $(pkg-config --cflags --libs jansson) -pthread
