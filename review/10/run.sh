#!/usr/bin/env bash
# See claim.txt.  TROUBLE=0: the same without the job that can never be done.
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/lib.sh
begin review/10
deployment
for i in 1 2 3; do start_runner "r$i" 0; done
sleep 1
id() { printf '%016x' "$1"; }
# A job that lasts.  Its tasks work well for 20 s, then they fail, as tasks that last may at any time.
watch='{"spec":"fails 20000","steps":[{"count":3,"cpu":6000,"mem_mb":1000,"estimate_ms":500,"perpetual":true,"anti_affinity":1}]}'
wait_for 10 submit "$(id 1)" "$watch" || cannot "the job that lasts was not accepted"
at_work() { [ "$(grep -c " start $(id 1)" "$record")" -ge 3 ]; }
wait_for 10 at_work || cannot "the job that lasts does not run"
began=$SECONDS
while [ $((SECONDS - began)) -lt 12 ]; do sleep 0.1; done
# Within 3 s 20 ordinary jobs, and one whose tasks always fail.
good='{"spec":"short 300","steps":[{"count":1,"cpu":1000,"mem_mb":500,"estimate_ms":300}]}'
window_ms=$($rig now)
for n in $(seq 2 21); do wait_for 5 submit "$(id "$n")" "$good" || cannot "job $n was not accepted"; sleep 0.1; done
poison='{"spec":"fails 300","steps":[{"count":36,"cpu":1000,"mem_mb":500,"estimate_ms":300}]}'
if [ "${TROUBLE:-1}" != 0 ]; then
  wait_for 5 submit "$(id 99)" "$poison" || cannot "the job that can't be done was not accepted"
  window_ms=$(($($rig now) - window_ms))
  [ $window_ms -le 3000 ] || cannot "the jobs took $window_ms ms"
  note "21 jobs in $window_ms ms"
  sleep 1
  # Its owner cancels it: nothing of it is left.
  ask DELETE "$net.11:8161" "/q/$(id 99)" h.example
fi
while [ $((SECONDS - began)) -lt 45 ]; do sleep 0.1; done
ask GET "$net.11:8161" "/q/$(id 1)" h.example
ask GET "$net.11:8161" "/q/$(id 99)" h.example
# Time without a run of each task that lasts; the poison's last run has ended before.
gaps=$(sort -n -s -k1,1 "$record" | awk -v j="$(id 1)" 'index ($4, j)==1 && $3=="end" {e[$4]=$1}
  index ($4, j)==1 && $3=="start" && e[$4] {print $1-e[$4], $4; delete e[$4]} $1 ~ /^[0-9]+$/ {now=$1} END {for (t in e) print now-e[t], t}' | sort -rn)
echo "$gaps" | sed 's/^/ms without a run, task: /' >>"$record"
last=$(awk -v j="$(id 99)" 'index ($4, j)==1 && $3=="end" {e=$1} END {print e}' "$record")
note "the last run of the job that can't be done ended at ${last:--}"
worst=$(echo "$gaps" | head -1 | cut -d' ' -f1)
# From 6 s after its last run, for 3 s, and 1 s of margin.  The poison's last run ended over 3 s before.
[ "$worst" -lt 10000 ] || broken "a task that lasts had no run for $worst ms, with three idle runners that answer"
held "the longest time without a run was $worst ms"
