#!/usr/bin/env bash
# Signals during startup, while the process still opens its disk: a reload must not end it, a planned
# stop must be executed once it is up. The first file it reads is a FIFO, which blocks the startup.
# Found by the soak test: seeds 101 and 127 (a process "ended unexpectedly").
set -euo pipefail
build=$1
folder=$(mktemp -d)
trap 'kill -9 "${pid:-}" 2>/dev/null || true; rm -rf "$folder"' EXIT
fail() { echo "FAILED: $1"; cat "$folder/log"; exit 1; }
net=127.$((1 + $$ % 250)).7 # other test runs on the machine have other networks
mkdir "$folder/disk"
mkfifo "$folder/disk/incarnation"
"$build/sassafras-platform" --role=core --vm=core-1 --data-centre=z1 --ip=$net.1 --listen-control=$net.1:8166 \
  --ports=7000,7009 --seeds=$net.1:8166 --first-start=true --data-dir="$folder/disk" >"$folder/log" 2>&1 &
pid=$!
# The writer's open returns once the process has opened the FIFO and so blocks during its startup.
exec 9>"$folder/disk/incarnation"
kill -HUP $pid
sleep 0.3
kill -0 $pid 2>/dev/null || fail "a reload ended the process during startup"
kill -TERM $pid
sleep 0.3
kill -0 $pid 2>/dev/null || fail "a stop killed the process during startup"
echo 1 >&9
exec 9>&-
for _ in $(seq 100); do kill -0 $pid 2>/dev/null || break; sleep 0.1; done
code=0
wait $pid || code=$?
[ $code = 0 ] || fail "exit code $code after a planned stop"
grep -q event=reload "$folder/log" || fail "the reload was lost"
grep -q event=stopping "$folder/log" || fail "the stop was lost"
echo "reload and stop sent during startup were executed after startup"
