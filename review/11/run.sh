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
# LOST as written: finish_s after the end of the traffic, for 3 s, a job has nothing running while a task's
# turn has come and there is capacity.  All tasks of these jobs may start at once, on i-1; a task that has
# ended `done` doesn't count as one whose turn has come.
idle_ms=$(($(now_ms) - last_start))
at_work=$(worker_log | awk '$3 == "start" {n++} $3 == "end" {n--} END {print n + 0}')
never=0
for id in "${jobs[@]}"; do
  begun=$(worker_log | awk -v j="$id." '$3 == "start" && index($4, j) == 1 {seen[$4] = 1} END {n = 0; for (t in seen) n++; print n}')
  state=$(state_of "$id")
  if [ "$begun" -lt 30 ] && [ "$state" != completed ] && [ "$state" != cancelled ]; then
    never=$((never + 1))
    say "job $id ($state): $((30 - begun)) of its 30 tasks have never been started, none of it runs"
  fi
done
say "$open of ${#jobs[@]} jobs are not completed; $at_work runs are at work on all runners; the last start was $idle_ms ms ago"
if [ $never -gt 0 ] && [ "$at_work" = 0 ] && [ $idle_ms -gt 3000 ]; then
  say "LOST: for over 3 s $never jobs have nothing running while tasks' turn has come, with all runners idle"
  exit 1
fi
exit 0
