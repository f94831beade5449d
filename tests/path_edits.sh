#!/usr/bin/env bash
# Guards against accepted edits that are lost, applied twice or reverted: the leader of the registry
# is killed twice during a burst of edits, commands are retried with their request ids, two operators
# race with equal versions, and every VM restarts after hundreds of changes.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:2+1 b:2+1 c:2"
EDITS=${EDITS:-200}

put_lists ()
{
  local version=$1 weight=$2 id=$3 vm=$4
  printf '{"request_id":"%s","version":%d,"plans":"{\\"plans\\":[{\\"id\\":\\"p\\",\\"weight\\":%d,' \
    "$id" "$version" "$weight" >"$WORK/body.$id"
  printf '\\"urgent_concurrency\\":1,\\"requests_per_s\\":1,\\"batch_millicores\\":1,' >>"$WORK/body.$id"
  printf '\\"memory_mb\\":1,\\"accelerators\\":0,\\"evictions_per_hour\\":1}]}",' >>"$WORK/body.$id"
  printf '"customers":"{\\"customers\\":[{\\"id\\":\\"c\\",\\"plan\\":\\"p\\"}]}"}' >>"$WORK/body.$id"
  curl -s -m 6 -X PUT -d "@$WORK/body.$id" -w '\n%{http_code}\n' \
    "http://${VM_ADDRESS[$vm]}:7402/v1/lists" || true
}

# Retries one command through the VMs in turn until it has an outcome; prints the HTTP code.
edit ()
{
  local n=$1 tries=0 code vm
  while [ "$tries" -lt 40 ]; do
    vm=${VMS[$(((n + tries) % ${#VMS[@]}))]}
    tries=$((tries + 1))
    [ -n "${PIDS[$vm]:-}" ] || continue
    code=$(put_lists "$n" "$((n % 900 + 1))" "edit-$n" "$vm" | tail -n 1)
    case $code in 200 | 409) echo "$code" ; return ;; esac
    sleep 0.1
  done
  echo "none"
}

on_version ()
{
  [ "$(vm_state "$1" | grep -o '"version_in_force": *[0-9]*' | tr -cd '0-9')" = "$2" ]
}

for ((n = 1; n <= EDITS; n++)); do
  code=$(edit "$n")
  [ "$code" = 200 ] || fail "edit $n got $code"
  if [ "$n" = 60 ] || [ "$n" = 120 ]; then
    leader=$(leader_of registry) || fail "no leader of the registry"
    cluster_kill "$leader" KILL
    killed=$leader
    from=$(date +%s%3N)
    [ "$(edit $((n + 1)))" = 200 ] || fail "the first edit without a leader failed"
    echo "edit accepted $(($(date +%s%3N) - from)) ms after the leader $leader was killed"
    cluster_start "$killed"
  fi
done

again=$(put_lists 5 6 edit-5 "${VMS[7]}" | head -n 1)
grep -q '"version": *6' <<<"$again" || fail "a retried command got a different answer: $again"

put_lists "$((EDITS + 1))" 10 race-1 a1 >"$WORK/race.1" &
first=$!
put_lists "$((EDITS + 1))" 20 race-2 c2 >"$WORK/race.2" &
second=$!
wait "$first" "$second"
[ "$(cat "$WORK"/race.[12] | grep -c '^200$')" = 1 ] || fail "not exactly one of two racing edits won"
[ "$(cat "$WORK"/race.[12] | grep -c '^409$')" = 1 ] || fail "the losing edit got no version conflict"

for vm in "${VMS[@]}"; do
  wait_for 5 on_version "$vm" "$((EDITS + 2))" || fail "VM $vm did not reach version $((EDITS + 2)): $(vm_state "$vm" | head -c 300)"
done
for vm in "${VMS[@]}"; do
  cluster_kill "$vm" KILL
done
from=$(date +%s%3N)
for vm in "${VMS[@]}"; do
  cluster_start "$vm"
done
for vm in "${VMS[@]}"; do
  wait_for 20 on_version "$vm" "$((EDITS + 2))" || fail "VM $vm lost edits after a restart"
done
echo "all VMs on version $((EDITS + 2)) $(($(date +%s%3N) - from)) ms after a restart of all"
echo "1 passed, 0 failed"
