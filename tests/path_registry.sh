#!/usr/bin/env bash
# Guards against an accepted edit that is lost, reverted or applied twice with real processes: two
# operators race through different VMs, the registry's leader is killed between edits, all processes
# restart, a VM with a disk is replaced.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"

fail ()
{
  local vm
  echo "FAIL: $*"
  for vm in "${VMS[@]}"; do
    echo "$vm: $(state_of "$vm")"
  done
  tail -n 5 "$WORK"/*.log
  exit 1
}

lists=(examples/lists/kigali-plans.json examples/lists/kigali-customers.json)

# Usage: operator VM ARGUMENT...   Runs sassafrasctl against one VM.
operator ()
{
  local vm=$1
  shift
  "$BUILD/sassafrasctl" --server="${VM_ADDRESS[$vm]}:7402" "$@"
}

# State of one VM on one line without spaces.  grep -q is not used at the end of a pipe: it closes the
# pipe early, and pipefail would then report the writer's SIGPIPE as a failure.
state_of ()
{
  operator "$1" --json --timeout 500 state 2>/dev/null | tr -d '\n '
}

# Prints the VM that leads the registry by the states of the VMs; empty if there is none.
registry_leader ()
{
  local vm state
  for vm in "${VMS[@]}"; do
    [ -n "${PIDS[$vm]:-}" ] || continue
    state=$(state_of "$vm") || continue
    if grep -q '"name":"registry","leads":true' <<<"$state"; then
      echo "$vm"
      return
    fi
  done
}

has_leader ()
{
  [ -n "$(registry_leader)" ]
}

version ()
{
  ctl --json diff "${lists[@]}" | sed -n 's/^  "version": \([0-9]*\).*/\1/p'
}

# Every running VM has version $1 in force.
all_have ()
{
  local vm state
  for vm in "${VMS[@]}"; do
    [ -n "${PIDS[$vm]:-}" ] || continue
    state=$(state_of "$vm") || return 1
    grep -q "\"version_in_force\":$1," <<<"$state" || return 1
  done
}

# Node $1 is a voter of the registry and follows its leader.
votes ()
{
  local registry
  registry=$(state_of "$(registry_leader)" | sed 's/.*"name":"registry"\([^]]*\)\].*/\1/')
  grep -q "\"node\":$1,\"voter\":true,\"active\":true" <<<"$registry"
}

cluster_members "a:2 b:2 c:1"
cluster_start_all
wait_for 20 all_healthy || fail "not every VM became healthy"
ctl apply "${lists[@]}" --if-version 0 --request-id first >/dev/null || fail "the first edit was not accepted"

# Rounds of two racing operators; after every second round the leader of the registry is killed.
expected=1
for round in 1 2 3 4; do
  racers=()
  for vm in a2 b2; do
    {
      code=0
      operator "$vm" apply "${lists[@]}" --if-version "$expected" --no-wait \
        --request-id "round-$round-$vm" >/dev/null 2>&1 || code=$?
      echo "$code" >"$WORK/code-$vm"
    } &
    racers+=($!)
  done
  wait "${racers[@]}"
  codes=$(sort -n "$WORK/code-a2" "$WORK/code-b2" | paste -sd' ')
  [ "$codes" = "0 6" ] || fail "round $round: two edits of version $expected ended with $codes"
  expected=$((expected + 1))
  if [ $((round % 2)) = 0 ]; then
    leader=$(registry_leader)
    [ -n "$leader" ] || fail "no leader of the registry"
    cluster_kill "$leader"
    wait_for 10 has_leader || fail "no new leader after $leader was killed"
    # A VM that still applies the log of the new leader may answer with the version before.
    wait_for 3 all_have "$expected" || fail "not every VM has version $expected after $leader was killed"
    [ "$(version)" = "$expected" ] || fail "the version is $(version) after $leader was killed"
    cluster_start "$leader"
    wait_for 15 all_healthy || fail "$leader is not healthy after its restart"
  fi
done
wait_for 15 all_have "$expected" || fail "not every VM has version $expected in force"

# A retry of the first command, after all processes were killed at once, gets the first answer.
for vm in "${VMS[@]}"; do
  cluster_kill "$vm"
done
cluster_start_all
wait_for 20 all_healthy || fail "not every VM is healthy after the restart"
repeat=$(ctl --json apply "${lists[@]}" --if-version 0 --request-id first --no-wait)
grep -q '"version": 1' <<<"$repeat" || fail "the retry got $repeat"
[ "$(version)" = "$expected" ] || fail "the version is $(version) after the restart"

# Replace b1, which has a disk and votes, as described in docs/operators.md.
cluster_kill b1
rm -rf "$WORK/b1"
operator a1 members file >"$WORK/before.json"
tr -d '\n' <"$WORK/before.json" | tr '{' '\n' | sed -n 's/^\(.*"vm": "b1".*\)\}.*/{\1}/p' |
  sed 's/, *"node": [0-9]*//; s/} *\(,\|\]\).*/}/' >"$WORK/b1.json"
ctl members replace "$WORK/b1.json" >"$WORK/replaced" || fail "replacing b1 failed: $(cat "$WORK/b1.json")"
grep -q "VM b1, node 6" "$WORK/replaced" || fail "replace answered $(cat "$WORK/replaced")"
operator a1 members file | tr -d '\n ' | sed 's/{"vm"/\n&/g' >"$WORK/members.json"
grep -q '"vm":"b1".*"node":6' "$WORK/members.json" || fail "the members still list the old b1"
cluster_start b1
wait_for 20 healthy b1 || fail "the replaced b1 is not healthy"
wait_for 15 all_have "$expected" || fail "the replaced b1 does not have version $expected"
wait_for 20 votes 6 || fail "node 6 does not vote"
ctl apply "${lists[@]}" --if-version "$expected" >/dev/null || fail "the edit after the replacement was not accepted"
echo "path_registry: passed"
