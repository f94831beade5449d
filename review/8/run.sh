#!/usr/bin/env bash
# See claim.txt.  TROUBLE=0: the new version keeps the name of the route and changes its time-out only.
cd "$(dirname "$0")/../.." || exit 2
. review/rig-2/lib.sh
begin review/8
deployment
for i in 1 2 3; do start_runner "r$i" 0; done
job='{"spec":"two steps 3000","steps":[{"count":3,"cpu":1000,"mem_mb":500,"estimate_ms":3000},{"count":3,"cpu":1000,"mem_mb":500,"estimate_ms":3000,"after":[0]}]}'
first_task=0.0.0
watch_id=00000000000000c2
watch='{"spec":"watch 100000000","steps":[{"count":2,"cpu":1000,"mem_mb":500,"estimate_ms":500,"perpetual":true}]}'
wait_for 10 submit 00000000000000c1 "$job" || cannot "the first job was not accepted"
wait_for 10 submit 00000000000000c2 "$watch" || cannot "the second job was not accepted"
wait_for 10 state_is 00000000000000c1 running || cannot "the first job does not run"
sleep 1
# Version 4 removes the route q and adds the route q-renamed, with the host and the prefix that q had.
name=q-renamed
[ "${TROUBLE:-1}" != 0 ] || name=q
routes=$(route $name /q/)
wait_for 10 configured "$(configuration 4 "${routes/\"timeout_ms\":3000/\"timeout_ms\":2500}")" || cannot "version 4 was not accepted"
sleep 10
ask GET "$net.11:8161" /q/00000000000000c1 h.example
first="$CODE $BODY"
ask GET "$net.11:8161" /q/00000000000000c2 h.example
second="$CODE $BODY"
ask DELETE "$net.11:8161" /q/00000000000000c2 h.example
cancelled=$CODE
sleep 5
started=$(grep -c ' start 00000000000000c1.0.1' "$record")
left=$(runner_of "$watch_id.$first_task")
note "tasks of the second step started: $started; a task of the cancelled job runs on: ${left:-none}"
[[ $first != 410* && $second != 410* ]] || broken "accepted jobs that nobody cancelled were answered: $first, $second; 5 s after the cancel's $cancelled a task of it runs on ${left:-none}; second step started: $started of 3"
[ "$started" = 3 ] || broken "the second step did not start"
[ -z "$left" ] || broken "a task runs on 5 s after its job was cancelled"
held "both jobs are known, all tasks started, the cancelled one ended"
