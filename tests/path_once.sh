#!/usr/bin/env bash
# Guards against a second run of an unrepeatable request: the entry VM is killed while the request
# runs, the caller retries it through other VMs, and the leader of its home cell is killed as well.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:2 b:2 c:2"
RUNNER=127.$NET.91.1:8080
RUN_MS=8000 # longer than the wait for the start of a request, shorter than its deadline
start_runner r1 a --listen="$RUNNER"

# send KEY VM MS: one unrepeatable request; prints the HTTP code and the body.
send ()
{
  curl -s -m 12 -X POST -d 'pallet 7' -H 'Sassafras-Customer: schools' \
    -H 'Sassafras-Unrepeatable: 1' -H "Idempotency-Key: $1" -w ' %{http_code}' \
    "http://${VM_ADDRESS[$2]}:7400/v1/call/echo/book?ms=$3" || true
}

executions ()
{
  curl -s -m 2 "http://$RUNNER/standin/executions?key=$1" | tr -cd '0-9'
}

executed ()
{
  [ "$(executions "$1")" = 1 ]
}

wait_for 5 curl -sf -m 2 -H 'Sassafras-Customer: schools' \
  "http://${VM_ADDRESS[b2]}:7400/v1/call/echo/x" || fail "no runner is known"
for n in $(seq 1 6); do
  vm=b2
  send "key-$n" "$vm" "$RUN_MS" >"$WORK/first" &
  first=$!
  wait_for 5 executed "key-$n" || fail "request $n did not reach the runner: $(cat "$WORK/first")"
  cluster_kill "$vm" KILL
  wait "$first"
  [ "$(cat "$WORK/first")" = " 000" ] \
    || fail "request $n was answered before $vm was killed: $(cat "$WORK/first")"
  if [ "$n" = 3 ]; then
    cluster_kill c2 KILL
    cluster_start c2
  fi
  for other in a1 c1 a2; do
    answer=$(send "key-$n" "$other" "$RUN_MS")
    case $answer in
      *'"ran":"unknown"'*) ;;
      *'"ran":"no"'*50[34]) ;;
      *) fail "the retry of request $n through $other got: $answer" ;;
    esac
    [ "$(executions "key-$n")" = 1 ] \
      || fail "request $n ran $(executions "key-$n") times, with the retry through $other"
  done
  cluster_start "$vm"
  wait_for 15 healthy "$vm" || fail "$vm is not healthy after its restart"
done

# Ten concurrent retries through all VMs: one run, the others get its answer or have to wait.
for vm in a1 a2 b1 b2 c1 c2 a1 b1 c1 a2; do
  send burst "$vm" 300 >>"$WORK/burst" &
done
for job in $(jobs -p); do
  case " ${PIDS[*]} " in *" $job "*) ;; *) wait "$job" || true ;; esac
done
[ "$(executions burst)" = 1 ] || fail "ten concurrent retries ran $(executions burst) times"
echo "1 passed, 0 failed"
