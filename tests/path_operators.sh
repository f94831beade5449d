#!/usr/bin/env bash
# Guards against a sassafrasctl that applies an edit twice after a lost answer, fails while another
# server could answer, returns a wrong exit code, or reports "in force" too early.
set -euo pipefail
build=$1
dir=$(mktemp -d)
pids=()
finish ()
{
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap finish EXIT

fail ()
{
  echo "FAIL: $*" >&2
  exit 1
}

# Usage: expect CODE ARGUMENT...   Runs sassafrasctl; its output goes to $dir/out and $dir/err.
expect ()
{
  local want=$1 got=0
  shift
  "$build/sassafrasctl" "$@" >"$dir/out" 2>"$dir/err" || got=$?
  [ "$got" = "$want" ] || fail "exit code $got instead of $want: sassafrasctl $*: $(cat "$dir/err")"
}

# Usage: start_server VM [lossy]   Sets $address; takes the first free port.
start_server ()
{
  for port in $(shuf -i 20000-30000 -n 20); do
    address=127.0.0.1:$port
    cat >"$dir/members.json" <<JSON
{ "members": [ { "vm": "a1", "data_centre": "a", "region": "r", "peer": "127.0.0.1:1",
  "backend": "127.0.0.1:2", "operators": "$address", "registry_voter": true, "cells": ["a"] } ] }
JSON
    "$build/example_operator_server" "$address" "$dir/members.json" "$@" 2>/dev/null &
    local pid=$!
    for _ in $(seq 50); do
      if SASSAFRAS_SERVER=$address "$build/sassafrasctl" members --timeout 300 >/dev/null 2>&1; then
        pids+=("$pid")
        return
      fi
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill "$pid" 2>/dev/null || true
  done
  fail "no server started"
}

lists=$(cd "$(dirname "$0")/../examples/lists" && pwd)
huron=("$lists/huron-plans.json" "$lists/huron-customers.json")
kigali=("$lists/kigali-plans.json" "$lists/kigali-customers.json")

# No server.
expect 0 check "${huron[@]}"
expect 0 check "${kigali[@]}"
sed 's/"plan": "nightly"/"plan": "nightli"/' "$lists/kigali-customers.json" >"$dir/bad.json"
expect 5 check "$lists/kigali-plans.json" "$dir/bad.json"
grep -q "bad.json:6: \$.customers\[3\].plan: unknown plan 'nightli'" "$dir/err" || fail "$(cat "$dir/err")"
expect 2 frobnicate
expect 2 show --timeout 0
expect 2 show --server nowhere:80
expect 10 state --server 127.0.0.1:1 --timeout 500
expect 7 drain a1 --server 127.0.0.1:1 --timeout 500

# One server; nothing listens on the first of the two addresses.
start_server a1
export SASSAFRAS_SERVER=127.0.0.1:1,$address
expect 5 apply "$lists/kigali-plans.json" "$dir/bad.json" --if-version 0
expect 2 apply "${huron[@]}"
expect 0 apply "${huron[@]}" --if-version 0 --request-id first
grep -q "version 1 is in force on every VM" "$dir/out" || fail "$(cat "$dir/out")"
expect 6 apply "${kigali[@]}" --if-version 0
expect 0 apply "${huron[@]}" --if-version 0 --request-id first
expect 2 apply "${kigali[@]}" --if-version 0 --request-id first
expect 0 diff "${huron[@]}"
grep -q "no difference" "$dir/out" || fail "$(cat "$dir/out")"
expect 0 show plans
cmp "$dir/out" "$lists/huron-plans.json"
expect 0 show
grep -Eq "^a1 +a +1 20" "$dir/out" || fail "$(cat "$dir/out")"

# Two concurrent edits of one version: exactly one wins.
for i in 1 2; do
  {
    code=0
    "$build/sassafrasctl" apply "${kigali[@]}" --if-version 1 --request-id "race-$i" \
      >/dev/null 2>&1 || code=$?
    echo "$code" >"$dir/code-$i"
  } &
  racers[i]=$!
done
wait "${racers[1]}" "${racers[2]}"
codes=$(sort -n "$dir/code-1" "$dir/code-2" | paste -sd' ')
[ "$codes" = "0 6" ] || fail "two edits of one version ended with $codes"

# The answer to out has accepted_at_ms and in_force_at_ms; a return after it is accepted at once.
expect 0 data-centre out a --json
accepted=$(sed -n 's/.*"accepted_at_ms": \([0-9]*\).*/\1/p' "$dir/out")
in_force=$(sed -n 's/.*"in_force_at_ms": \([0-9]*\).*/\1/p' "$dir/out")
grep -q '"state": "out"' "$dir/out" || fail "$(cat "$dir/out")"
[ "$accepted" -le "$in_force" ] && [ "$((in_force - accepted))" -le 4000 ] \
  || fail "accepted at $accepted, in force at $in_force"
expect 6 data-centre return a --if-version 1
expect 0 data-centre return a
expect 3 data-centre out nowhere
expect 0 drain a1
expect 0 members
grep -q "draining: a1" "$dir/out" || fail "$(cat "$dir/out")"
expect 0 drain a1 --off
expect 0 members file
cp "$dir/out" "$dir/members-again.json"
expect 0 members file
cmp "$dir/out" "$dir/members-again.json"
"$build/sassafrasd" --check --vm a1 --data-centre a --region r --deployment d --data-dir "$dir" \
  --members-file "$dir/members-again.json" >"$dir/out" || fail "members file: $(cat "$dir/out")"
expect 3 members remove nobody
expect 2 members remove a1
expect 3 jobs list
expect 0 counters

# Every other answer is lost after the command was applied.
start_server a1 lossy
export SASSAFRAS_SERVER=$address
expect 0 apply "${huron[@]}" --if-version 0
grep -q "version 1 is in force" "$dir/out" || fail "a retry did not get the first answer"
expect 0 show
grep -Eq "^a1 +a +1 20" "$dir/out" || fail "the edit was applied twice: $(cat "$dir/out")"
echo "path_operators: passed"
