#!/usr/bin/env bash
# See claim.txt.  TROUBLE=0: the same without crashes.
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/lib.sh
begin review/8
deployment
for i in 1 2 3 4 5 6 7 8 9 10; do start_runner "r$i" 0; done
sleep 1
id() { printf '%016x' "$1"; }
# Two jobs that last, of ten tasks each, at most one on a runner.
watch='{"spec":"watch 100000000","steps":[{"count":10,"cpu":6000,"mem_mb":1000,"estimate_ms":500,"perpetual":true,"anti_affinity":1}]}'
for n in 1 2; do wait_for 10 submit "$(id "$n")" "$watch" || cannot "job $n was not accepted"; done
at_work() { [ "$(grep -c ' start ' "$record")" -ge 20 ]; }
wait_for 15 at_work || cannot "the jobs do not run"
sleep 2
# One of ten runners goes down and up by turns for 6.5 s, with a period of 1.4 s, under its id.
if [ "${TROUBLE:-1}" != 0 ]; then
  for _ in 1 2 3 4 5; do
    crash_runner r7
    sleep 0.3
    start_runner r7 0
    sleep 1.1
  done
fi
sleep 10
bad=0
for n in 1 2; do
  ask GET "$net.11:8161" "/q/$(id "$n")" h.example
  [[ $BODY == *'"failed"'* ]] && bad=$((bad + 1))
done
fails=$(grep -c ' end .* failed$' "$record")
grep -h 'event=task-given-up' "$work"/core-*.log | sed 's/^/log: /' >>"$record"
[ $bad = 0 ] || broken "$bad of 2 lasting jobs are shown as failed, while $fails runs have ended failed"
held "no job is shown as failed"
