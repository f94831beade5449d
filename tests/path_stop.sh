#!/usr/bin/env bash
# Guards against requests that a planned stop interrupts: slow requests are in flight through a VM
# and on a runner while both get SIGTERM, and new ones arrive meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:3"
start_runner r1 a
start_runner r2 a

call ()
{
  curl -s -m 20 -o /dev/null -H 'Sassafras-Customer: schools' \
    -w '%{http_code} %{size_download} %{exitcode}\n' \
    "http://${VM_ADDRESS[$1]}:7400/v1/call/echo/x?bytes=300&ms=$2" || true
}

wait_for 5 curl -sf -m 2 -H 'Sassafras-Customer: schools' \
  "http://${VM_ADDRESS[a1]}:7400/v1/call/echo/x" || fail "no runner is known"
sleep 1
calls=()
for n in $(seq 1 12); do
  call "a$((n % 3 + 1))" 4000 >>"$WORK/slow" &
  calls+=($!)
done
sleep 1
kill -TERM "${PIDS[a2]}" "${PIDS[r2]}"
if [ -n "${PAUSE_S:-}" ]; then # set by path_pause.sh
  kill -STOP "${PIDS[a1]}"
  sleep "$PAUSE_S"
  kill -CONT "${PIDS[a1]}"
else
  sleep 0.3
fi
if healthy a2; then
  fail "the health check of a stopping VM still passes"
fi
for n in $(seq 1 30); do
  call "a$((n % 2 * 2 + 1))" 20 >>"$WORK/fast"
done
wait "${calls[@]}"
[ "$(grep -c '^200 300 0$' "$WORK/slow")" = 12 ] || fail "slow requests were interrupted: $(cat "$WORK/slow")"
[ "$(grep -c '^200 300 0$' "$WORK/fast")" = 30 ] || fail "requests failed: $(cat "$WORK/fast")"
wait "${PIDS[a2]}" || fail "the stopped VM exited with $?"
wait "${PIDS[r2]}" || fail "the departed runner exited with $?"
unset "PIDS[a2]" "PIDS[r2]"
echo "1 passed, 0 failed"
