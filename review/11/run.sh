#!/usr/bin/env bash
# A job that lasts has run on three runners that crashed, one at a time and each at work a few seconds
# before: it is shown as failed for good, though no run of it has ended `failed`.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../rig-3/lib.sh"
rig_begin "$here"
TROUBLE=${TROUBLE:-1}
job=5c0e7a21d94b36f8
task=$job.0.0.0
for i in 1 2 3; do start_core $i true; done
start_front
# Eight runners: one of them is 0.125 of the service, under the largest share of srv_crash (0.14).
for i in 1 2 3 4 5 6 7 8; do start_worker "i-$i-0" $((20 + i)) "z$((1 + i % 3))" "a,r1-$i" 16; done
wait_ready
put_config 1 7
sleep 6 # heartbeats of all runners have arrived
submit $job '{"spec":"forever","steps":[{"count":1,"cpu":2000,"mem_mb":1000,"estimate_ms":500,"perpetual":true,"image":"img-a","target_ms":300,"max_unavailable":1}]}'
say "job $job accepted: one task that lasts"
wait_running() { # SECONDS
  local i
  for ((i = 0; i < $1 * 10; i++)); do
    at=$(runs_on $task)
    [ -z "$at" ] || return 0
    sleep 0.1
  done
  return 1
}
life=0
for round in 1 2 3; do
  if ! wait_running 12; then
    say "the task does not run; the job is shown as $(state_of $job)"
    break
  fi
  worker=${at%% *}
  say "round $round: the task runs on $worker (${at#* }); the job is shown as $(state_of $job)"
  sleep 3
  if [ "$TROUBLE" = 1 ]; then
    n=${worker#i-}
    n=${n%%-*}
    kill_worker "$worker"
    say "runner $worker crashes"
    sleep 4.5 # srv_crash, for_s = 4.5
    life=$((life + 1))
    start_worker "i-$n-$life" $((20 + n)) "z$((1 + n % 3))" "a,r1-$n" 16
    say "a runner starts again at its address as i-$n-$life"
  fi
  sleep 2
done
sleep 6
state=$(state_of $job)
failed=$(worker_log | grep -c "how=failed" || true)
starts=$(worker_log | grep -c " start $task" || true)
say "the job is shown as $state; starts of its task: $starts; runs that ended failed: $failed; it runs on: $(runs_on $task)"
case $state in
  failed | cancelled) say "LOST: shown as $state, though nobody cancelled it and $failed runs ended failed"; exit 1 ;;
  running) exit 0 ;;
  *) say "unexpected state"; exit 2 ;;
esac
