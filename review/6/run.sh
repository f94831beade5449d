#!/usr/bin/env bash
# See claim.txt.  TROUBLE=0: the one job that can't be done asks for no more tasks than the system allows.
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/lib.sh
begin review/6
deployment
for i in 1 2 3; do start_runner "r$i" 0; done
id() { printf '%016x' "$1"; }
good='{"spec":"1500","steps":[{"count":6,"cpu":1000,"mem_mb":500,"estimate_ms":1500}]}'
for n in $(seq 1 20); do
  wait_for 10 submit "$(id "$n")" "$good" || cannot "job $n was not accepted"
done
# 4 steps of 2^31 tasks, 2^31 times, the first time in a minute: no deployment can ever do it.
count=2147483648
times=2147483648
if [ "${TROUBLE:-1}" = 0 ]; then count=6 times=8; fi
step="{\"count\":$count,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":1500}"
submit "$(id 99)" "{\"spec\":\"1500\",\"repetitions\":$times,\"start_at_ms\":$(($($rig now) + 60000)),\"period_ms\":1000,\"steps\":[$step,$step,$step,$step]}"
# The platform starts a process that has ended again after a short delay.
restarts=0
for _ in $(seq 1 30); do
  for i in 1 2 3; do
    kill -0 "${core[$i]}" 2>/dev/null && continue
    note "core-$i has ended by itself; started again"
    restarts=$((restarts + 1))
    start_core $i false
  done
  sleep 1
done
# The traffic ended over finish_s (14 s) ago: each accepted job has to be known.
answered() { quiet_ask GET "$net.11:8161" "/q/$1" h.example; [ "$CODE" = 200 ]; }
lost=0
wait_for 10 answered "$(id 1)"
for n in $(seq 1 20); do
  ask GET "$net.11:8161" "/q/$(id "$n")" h.example
  [ "$CODE" = 200 ] || lost=$((lost + 1))
done
ask GET "$net.2:8166" /sassafrasstall/config control
grep -hE 'out of memory|event=started' "$work"/core-*.log | tail -n 5 | sed 's/^/log: /' >>"$record"
[ $lost = 0 ] || broken "$lost of 20 accepted jobs get no answer; core VMs ended by themselves $restarts times; configuration: $CODE"
held "20 of 20 accepted jobs are known, core VMs ended by themselves $restarts times, configuration: $CODE"
