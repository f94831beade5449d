#!/usr/bin/env bash
# Guards against a core VM that stays outside its group: it was dropped while it was down, and all its
# seeds were gone when it returned. Its log still names members.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
folder=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap cleanup EXIT
fail() { echo "FAILED: $1"; tail -n 5 "$folder"/*.log; exit 1; }
first=$((21000 + $$ % 8000))
net=127.$((1 + $$ % 250)).19 # other test runs on the machine have other networks
declare -A core
start_core() { # NUMBER FIRST-START SEEDS
  "$build/sassafras-platform" --role=core --vm="core-$1" --data-centre="z$1" --ip="$net.$1" \
    --listen-control="$net.$1:8166" --ports="$first,$((first + 5))" --seeds="$3" --first-start="$2" \
    --data-dir="$folder/core-$1" --lease-ms=4000 >>"$folder/core-$1.log" 2>&1 &
  core[$1]=$!
  disown
  pids+=($!)
}
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
member() { # members in force as last logged by VM 2 contain VM 4
  grep 'event=members-in-force' "$folder/core-2.log" | tail -n 1 | grep -q " $net.4="
}
dropped() { ! member; }
joined() { # the answer to a join names the members of the group
  for i in 2 3; do
    curl -s -m 3 -X POST -H 'Sassafras-Relayed: 1' "http://$net.$i:$((first + 1))/v1/join/$net.2" |
      grep -q "\"members\".*$net.3" && return 0
  done
  return 1
}
seeds=$net.1:8166,$net.2:8166,$net.3:8166
for i in 1 2 3; do start_core $i true "$seeds"; done
start_core 4 false "$net.1:8166"
wait_for 20 member || fail "VM 4 did not join"
wait_for 10 grep -q "event=members-in-force.* $net.4=" "$folder/core-4.log" || fail "VM 4 has no member list"
kill -9 "${core[4]}"
wait_for 60 dropped || fail "VM 4 was not dropped"
kill -9 "${core[1]}"
start_core 4 false "$net.1:8166"
wait_for 20 member || fail "VM 4 did not join again"
wait_for 10 joined || fail "the answer to a join names no members"
echo "1 passed, 0 failed"
