#!/usr/bin/env bash
# End-to-end test between callers, operators and backend servers: three data centres with real
# processes, lists applied, a request served through a VM of another region, an unrepeatable request
# answered twice but run once, a batch job completed, a data centre taken out and returned.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"

call ()
{
  local vm=$1 path=$2
  shift 2
  curl -s -m 10 -H "Sassafras-Customer: schools" "$@" "http://${VM_ADDRESS[$vm]}:7400/v1/call/echo/$path"
}

cluster_members "a:2+1 b:2+1 c:2"
cluster_start_all
wait_for 20 all_healthy || fail "not every VM became healthy"

ctl apply examples/lists/kigali-plans.json examples/lists/kigali-customers.json --if-version 0 ||
  fail "the lists were not applied"
if ctl apply examples/lists/huron-plans.json examples/lists/huron-customers.json --if-version 0; then
  fail "a second edit with the same version was accepted"
fi

RUNNER=127.$NET.91.1:8080
start_runner ra1 a --listen="$RUNNER"
start_worker wa1 a --rack=r1
start_worker wb1 b --rack=r1
start_worker wc1 c --rack=r1

for vm in "${VMS[@]}"; do
  wait_for 5 call "$vm" hello -f || fail "no answer through VM $vm"
done
first=$(call b2 book -X POST -d 'pallet 7' -H 'Sassafras-Unrepeatable: 1' -H 'Idempotency-Key: k1')
again=$(call c1 book -X POST -d 'pallet 7' -H 'Sassafras-Unrepeatable: 1' -H 'Idempotency-Key: k1' -D "$WORK/headers")
[ "$first" = "$again" ] || fail "the first answer was '$first', the retry got '$again'"
runs=$(curl -s -m 2 "http://$RUNNER/standin/executions?key=k1" | tr -cd '0-9')
[ "$runs" = 1 ] || fail "the unrepeatable request ran $runs times"
grep -qi '^sassafras-replayed: 1' "$WORK/headers" || fail "the retry was not answered from the recorded answer"
unknown=$(curl -s -m 5 -H 'Sassafras-Customer: nobody' "http://${VM_ADDRESS[a1]}:7400/v1/call/echo/x")
grep -q '"ran": *"no"' <<<"$unknown" || fail "an unknown customer got: $unknown"

cat >"$WORK/job.json" <<END
{"customer":"schools","kind":"batch","class":"reconcile","millicores":2000,"memory_mb":1000,
 "run_time_ms":500,"replicas":3}
END
job=$(ctl --json jobs submit "$WORK/job.json" | sed -n 's/.*"job": *\([0-9]*\).*/\1/p')
wait_for 15 job_in_state "$job" "done" || fail "job $job did not complete: $(ctl jobs show "$job")"
[ "$(grep -c ' start ' "$WORK/events")" = 3 ] || fail "not every task started exactly once"

ctl data-centre out c || fail "data centre c was not taken out"
ctl data-centre return c || fail "data centre c was not returned"
for vm in "${VMS[@]}"; do
  cluster_kill "$vm" TERM
done
echo "1 passed, 0 failed"
