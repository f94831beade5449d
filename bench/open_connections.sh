#!/usr/bin/env bash
# Usage: bench/open_connections.sh [BUILD-DIR [COUNT]]
# Opens COUNT (default 1500) keep-alive connections to the backend address of one daemon, sends a
# request on each and prints how many are answered.  A cell leader needs one for each worker, since
# every worker's poll is held open.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
COUNT=${2:-1500}
cluster_ready "a:1"
answered=0
while [ "$answered" -lt "$COUNT" ]; do
  exec {fd}<>"/dev/tcp/${VM_ADDRESS[a1]}/7401" || break
  printf 'GET /nothing HTTP/1.1\r\nHost: entry\r\n\r\n' >&"$fd"
  read -r -t 3 -u "$fd" _ || break
  answered=$((answered + 1))
done
echo "$answered of $COUNT connections answered; open files allowed $(ulimit -n)"
