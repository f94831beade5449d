#!/usr/bin/env bash
# Usage: bench/open_connections.sh [BUILD-DIR [COUNT]]
# Starts one daemon and counts the concurrent keep-alive connections that its backend address answers,
# up to COUNT (default 1500).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:1"
echo "open files allowed: $(ulimit -n)"
"$BUILD/bench_open_connections" "${VM_ADDRESS[a1]}" 7401 "${2:-1500}"
