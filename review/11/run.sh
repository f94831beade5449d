#!/usr/bin/env bash
# One job is cancelled while its task runs on a runner whose checkpoints have 300 bytes.  The end of that
# run is never taken note of, so the runner's list of ends grows up to the 500 that it can show, and the
# jobs whose tasks end there after that are never completed.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../rig-3/lib.sh"
rig_begin "$here"
TROUBLE=${TROUBLE:-1}
first=5c0e7a21d94b0000
for i in 1 2 3; do start_core $i true; done
start_front
start_worker i-1 21 z1 b,r1-1 300
start_worker i-2 22 z2 a,r1-2 300
start_worker i-3 23 z3 a,r1-3 300
wait_ready
put_config 1 7
sleep 6 # heartbeats of all runners have arrived
submit $first '{"spec":"work 1500","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":1500,"requires":"b","checkpointing":true}]}'
say "job $first accepted: one task of 1.5 s of work, which saves at a stop and after 2 s of work"
for ((k = 0; k < 100; k++)); do [ -n "$(runs_on $first.0.0.0)" ] && break; sleep 0.05; done
say "its task runs on $(runs_on $first.0.0.0)"
if [ "$TROUBLE" = 1 ]; then
  sleep 0.4
  say "the client cancels job $first: $(cancel $first)"
fi
sleep 2
jobs=()
for ((n = 1; n <= 22; n++)); do
  id=$(printf '5c0e7a21d94b%04x' $n)
  submit "$id" '{"spec":"work 100","steps":[{"count":30,"cpu":100,"mem_mb":10,"estimate_ms":100,"requires":"b"}]}'
  jobs+=("$id")
done
say "22 jobs of 30 tasks of 0.1 s accepted; all can run on i-1 only, which takes 160 at once"
finish_s=14
sleep $finish_s
sleep 3
open=0
for id in "${jobs[@]}"; do
  state=$(state_of "$id")
  [ "$state" = completed ] && continue
  open=$((open + 1))
  [ $open -gt 5 ] || say "job $id is shown as $state"
done
started=$(worker_log | grep -c " i-1 start " || true)
done_runs=$(worker_log | grep -c "how=done" || true)
last_start=$(worker_log | awk '$3 == "start" {t = $1} END {print t}')
last_ack=$(worker_log | awk '$2 == "i-1" && $3 == "acknowledged" {sub(/up to=/, "") ; print $4, $5, $6}' | tail -n 1)
say "state of $first: $(state_of $first); starts on i-1: $started, ended done: $done_runs; last acknowledgement: ${last_ack:-none}"
idle_ms=$(($(now_ms) - last_start))
if [ $open -gt 0 ]; then
  say "LOST: $open of ${#jobs[@]} jobs are not completed; nothing has been started for $idle_ms ms, and the runners are idle"
  exit 1
fi
say "all ${#jobs[@]} jobs are completed"
exit 0
