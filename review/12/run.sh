#!/usr/bin/env bash
# A runner drains and leaves as the pages say; the leader is killed just before its departure.  The next
# leader doesn't know that it drains and takes its departure for that of an earlier life: the task that
# lasts, which ran there, has no run until a whole lease after the election is over.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../rig-3/lib.sh"
rig_begin "$here"
TROUBLE=${TROUBLE:-1}
job=5c0e7a21d94b36f8
task=$job.0.0.0
for i in 1 2 3; do start_core $i true; done
start_front
# Sixteen runners: one of them is 0.0625 of the service (scale_in: 0.065).
for ((i = 1; i <= 16; i++)); do start_worker i-$i $((20 + i)) "z$((1 + i % 3))" "a,r1-$i" 16; done
wait_ready
put_config 1 7
sleep 6 # heartbeats of all runners have arrived
submit $job '{"spec":"forever","steps":[{"count":1,"cpu":2000,"mem_mb":1000,"estimate_ms":500,"perpetual":true,"image":"img-a","target_ms":300,"max_unavailable":1}]}'
for ((k = 0; k < 100; k++)); do [ -n "$(runs_on $task)" ] && break; sleep 0.05; done
worker=$(runs_on $task)
worker=${worker%% *}
[ -n "$worker" ] || cannot_run "the task does not run"
say "job $job accepted: one task that lasts; it runs on $worker"
sleep 3
touch "$folder/worker-$worker.log.drain"
say "$worker reports that it drains"
for ((k = 0; k < 60; k++)); do worker_log | grep -q " $worker drain-acknowledged" && break; sleep 0.05; done
worker_log | grep -q " $worker drain-acknowledged" || cannot_run "the drain was not acknowledged"
say "its drain is acknowledged"
sleep 3.5 # drain_ms = 3,000 and a little longer
if [ "$TROUBLE" = 1 ]; then
  leader=$(leader_core)
  [ -n "$leader" ] || cannot_run "no leader"
  kill_core "$leader"
  say "core-$leader, which leads, is killed"
  sleep 0.1
fi
touch "$folder/worker-$worker.log.leave"
if [ "$TROUBLE" = 1 ]; then
  start_core "$leader" false
  started_ms=$(now_ms)
  say "core-$leader starts again"
fi
for ((k = 0; k < 100; k++)); do worker_log | grep -q " $worker ends " && break; sleep 0.05; done
ended_ms=$(worker_log | awk -v w="$worker" '$2 == w && $3 == "ends" {print $1}')
[ -n "$ended_ms" ] || cannot_run "the runner did not end"
say "$worker has left: $(worker_log | awk -v w="$worker" '$2 == w && $3 == "ends" {print $4}')"
# From 6 s after the last run, for 3 s, when these and the 4 s before are calm.  Calm is taken in its strictest
# sense: the core is stable, so contact_ms (4 s) have passed since the start of the killed process.
from_ms=$((ended_ms + 6000))
if [ "$TROUBLE" = 1 ] && [ $((started_ms + 8000)) -gt $from_ms ]; then from_ms=$((started_ms + 8000)); fi
next_ms=
for ((k = 0; k < 400; k++)); do
  next_ms=$(worker_log | awk -v t=$task -v w="$worker" '$3 == "start" && $4 == t && $2 != w {print $1; exit}')
  [ -z "$next_ms" ] || break
  sleep 0.05
done
say "the task starts again $((${next_ms:-$(now_ms)} - ended_ms)) ms after its last run${next_ms:+, on $(runs_on $task)}; the job is shown as $(state_of $job)"
if [ -z "$next_ms" ] || [ "$next_ms" -gt $((from_ms + 3000)) ]; then
  say "LOST: nothing of a task that lasts has run for 3 s, from $((from_ms - ended_ms)) ms after its last run on, with 15 idle runners"
  exit 1
fi
exit 0
