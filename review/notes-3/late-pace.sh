#!/usr/bin/env bash
# A task that fills is paced to 0 beside a task that serves, while the users of that one press it.  One order
# to pace it to 0 is left unanswered and carried out 8 s later, when the share is 100 again.  The leader
# takes it that the run works at its full share and never raises it again.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../rig-3/lib.sh"
rig_begin "$here"
TROUBLE=${TROUBLE:-1}
serving=5c0e7a21d94b0001
filling=5c0e7a21d94b0002
task=$filling.0.0.0
for i in 1 2 3; do start_core $i true; done
start_front
for i in 1 2 3 4; do start_worker i-$i $((20 + i)) "z$((1 + i % 3))" "$([ $i = 1 ] && echo b || echo a),r1-$i" 16; done
wait_ready
put_config 1 7
sleep 6 # heartbeats of all runners have arrived
submit $serving '{"spec":"forever","steps":[{"count":1,"cpu":4000,"mem_mb":1000,"estimate_ms":500,"perpetual":true,"image":"img-serve","target_ms":300,"requires":"b"}]}'
sleep 2
submit $filling '{"spec":"work 14000","steps":[{"count":1,"cpu":4000,"mem_mb":1000,"estimate_ms":14000,"fills":true,"image":"img-fill","requires":"b"}]}'
say "two jobs accepted: one task that serves, one that fills beside it (14 s of work)"
for ((k = 0; k < 100; k++)); do [ -n "$(runs_on $task)" ] && break; sleep 0.05; done
say "the task that fills runs on $(runs_on $task)"
last_pace() { worker_log | awk -v t=$task '$3 == "pace" && $4 == t {sub(/percent=/, "", $6); p = $6} END {print p}'; }
sleep 1
[ "$TROUBLE" != 1 ] || touch "$folder/worker-i-1.log.late"
touch "$folder/worker-i-1.log.load"
say "the users of the serving task press it: its tail is 600 ms, its target 300 ms"
for ((k = 0; k < 160; k++)); do [ "$(last_pace)" = 0 ] && break; sleep 0.05; done
[ "$(last_pace)" = 0 ] || { say "the task that fills was not paced to 0"; exit 2; }
say "the task that fills is paced to 0"
rm "$folder/worker-i-1.log.load"
say "the press ends: the tail of the serving task is 100 ms again"
sleep 35 # for less than 14 s of work
before=$(state_of $filling)
sleep 17 # finish_s = 14, and 3 s
state=$(state_of $filling)
say "the job that fills was shown as $before, and 17 s later as $state; its share: $(last_pace) percent; the serving job: $(state_of $serving)"
if [ "$state" != completed ]; then
  say "LOST: nothing of the accepted job works; its runner has nothing else to do but the serving task"
  exit 1
fi
exit 0
