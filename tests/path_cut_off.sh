#!/usr/bin/env bash
# Guards against task starts in a data centre that was taken out while it is partitioned or its
# leader is paused, and against lost work in a partitioned data centre.  The partition is simulated
# by pausing the processes on the other side.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:2 b:2 c:2"

pause ()
{
  local vm
  for vm in "$@"; do
    kill -STOP "${PIDS[$vm]}"
  done
}

resume ()
{
  local vm
  for vm in "$@"; do
    kill -CONT "${PIDS[$vm]}"
  done
}

call_c ()
{
  curl -sf -m 3 -H 'Sassafras-Customer: schools' "http://${VM_ADDRESS[c1]}:7400/v1/call/echo/x"
}

c_starts ()
{
  grep -c ' start .* wc' "$WORK/events" || true
}

start_worker wc1 c
start_runner rc1 c
start_worker wa1 a
sleep 1

# 1. Data centre c is partitioned from the majority: it serves requests, keeps its task, starts none.
job=$(submit_job schools 1 12000 '"data_centre":"c"')
wait_for 5 job_in_state "$job" running || fail "job $job does not run"
pause a1 a2 b1 b2
sleep 4
[ "$(c_starts)" = 1 ] || fail "expected 1 task start 4 s into the partition, got $(c_starts)"
curl -s -m 8 -X POST -d '{"request_id":"cut","customer":"schools","kind":"batch","class":"k","millicores":100,"memory_mb":10,"run_time_ms":100,"data_centre":"c"}' \
  "http://${VM_ADDRESS[c1]}:7402/v1/jobs" >/dev/null || true
for n in 1 2 3 4 5; do
  call_c >/dev/null || fail "a partitioned data centre does not serve request $n"
done
sleep 3
[ "$(c_starts)" = 1 ] || fail "a partitioned data centre started a task without a permit"
! grep -q 'lapse' "$WORK/events" || fail "the lease of the running task lapsed: $(cat "$WORK/events")"
resume a1 a2 b1 b2
wait_for 20 job_in_state "$job" "done" || fail "the task that ran during the partition was not recorded as done"

# 2. Data centre c is taken out while its VMs are paused: the command is in force within 3 s (the
#    check allows 6 s), and no task starts there when they resume.
pause c1 c2
from=$(date +%s%3N)
CTL_SERVERS="${VM_ADDRESS[a1]}:7402,${VM_ADDRESS[b1]}:7402"
ctl data-centre out c >"$WORK/out" || fail "taking data centre c out failed: $(cat "$WORK/out")"
took=$(($(date +%s%3N) - from))
before=$(c_starts)
resume c1 c2
submit_job schools 2 300 '"data_centre":"c"' >"$WORK/moved" || true
sleep 4
[ "$(c_starts)" = "$before" ] || fail "a task started in data centre c while it is out"
echo "out of a paused data centre in force after $took ms: $(tail -n 1 "$WORK/out")"
[ "$took" -lt 6000 ] || fail "taking data centre c out took $took ms"
wait_for 20 job_in_state "$(cat "$WORK/moved")" "done" || fail "the job was not completed in another data centre"

# 3. Two operators return c while it is out; the second may be refused. Tasks start there again.
ctl data-centre return c >/dev/null || fail "returning data centre c failed"
ctl data-centre return c >/dev/null || true
job=$(submit_job schools 1 100 '"data_centre":"c"')
wait_for 10 job_in_state "$job" "done" || fail "job $job did not complete after the return"
check_events
echo "1 passed, 0 failed"
