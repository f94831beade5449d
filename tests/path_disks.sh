#!/usr/bin/env bash
# Guards against a voter that votes with an empty disk under its old identity, and against loss of
# accepted edits when a second VM fails right after the first was repaired.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:2 b:2 c:1"

version ()
{
  vm_state "$1" | grep -o '"version_in_force": *[0-9]*' | tr -cd '0-9'
}

on_version ()
{
  [ "$(version "$1")" = "$2" ]
}

apply_version ()
{
  ctl apply examples/lists/huron-plans.json examples/lists/huron-customers.json --no-wait --if-version "$1"
}

# The registry's leader reports node $1 as a voter with its own store that is up to date.
repaired ()
{
  local leader
  leader=$(leader_of registry) || return 1
  vm_state "$leader" | python3 -c '
import json, sys
node = int (sys.argv[1])
group = next (g for g in json.load (sys.stdin)["groups"] if g["name"] == "registry")
peer = next (p for p in group["peers"] if p["node"] == node)
ok = peer["voter"] and peer["active"] and not peer["wrong_store"] and peer["match"] == group["commit"]
sys.exit (0 if ok else 1)' "$1"
}

apply_version 1 || fail "edit 1 was not accepted"
cluster_kill b2 KILL
rm -rf "${WORK:?}/b2"
cluster_start b2
wait_for 10 grep -q 'groups are open: joined' "$WORK/b2.log" || fail "b2 did not join as a new store"
wait_for 10 repaired 4 || fail "b2 was not repaired: $(vm_state "$(leader_of registry)")"
echo "repaired"

# The registry leader is killed and loses its disk right after the repair; the other four VMs continue.
victim=$(leader_of registry)
cluster_kill "$victim" KILL
rm -rf "${WORK:?}/$victim"
apply_version 2 || fail "edit 2 was not accepted after the second loss"
cluster_start "$victim"
wait_for 10 repaired "$(grep -o "\"vm\":\"$victim\".*\"node\":[0-9]*" "$WORK/members.json" |
  sed 's/.*"node"://')" || fail "$victim was not repaired"
apply_version 3 || fail "edit 3 was not accepted after the second repair"
for vm in "${VMS[@]}"; do
  wait_for 10 on_version "$vm" 4 || fail "VM $vm has version $(version "$vm")"
done

# Both voters of one data centre fail: the others keep a majority.
cluster_kill a1 KILL
cluster_kill a2 KILL
rm -rf "${WORK:?}/a1" "${WORK:?}/a2"
apply_version 4 || fail "edit 4 was not accepted without data centre a"
echo "1 passed, 0 failed"
