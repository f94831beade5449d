#!/usr/bin/env bash
# End-to-end test of the platform adapter with real processes on loopback: a worker with a task that lasts drains and
# leaves while the leader is killed, stopped for some seconds, or stops as planned, at each point of the drain. The task
# must run elsewhere within 6 s after its last run, with leases of 10 s. Guards against a leader that does not know who
# drains.
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
net=127.$((1 + $$ % 250)).12 # other test runs on the machine have other networks
seeds=$net.1:8166,$net.2:8166,$net.3:8166
most_without_run_ms=6000
declare -A core worker
start_core() { # NUMBER FIRST-START
  "$build/sassafras-platform" --role=core --vm="core-$1" --data-centre="z$1" --ip="$net.$1" \
    --listen-control="$net.$1:8166" --ports="$first,$((first + 5))" --seeds=$seeds --first-start="$2" \
    --data-dir="$folder/core-$1" --lease-ms=10000 --memory-mb=256 >>"$folder/core-$1.log" 2>&1 &
  core[$1]=$!
  disown
  pids+=($!)
}
start_worker() { # NUMBER
  "$build/called_worker" "w$1" "$net.$((20 + $1)):8080" pool "z$(($1 % 3 + 1))" \
    $net.1:8166 $net.2:8166 $net.3:8166 >>"$folder/worker-$1.log" 2>&1 &
  worker[$1]=$!
  disown
  pids+=($!)
}
for i in 1 2 3; do start_core $i true; done
"$build/sassafras-platform" --role=front --vm=front-1 --data-centre=z1 --ip=$net.10 \
  --listen-customers=$net.10:8161 --listen-ready=$net.10:8167 --ports="$first,$((first + 5))" \
  --seeds=$seeds >"$folder/front.log" 2>&1 &
pids+=($!)
disown
for i in 1 2 3 4; do start_worker $i; done
curl_() { curl -s -m 3 -o "$folder/answer" -w '%{http_code}' "$@" || true; }
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.05; done
}
ready() { [ "$(curl_ "http://$net.10:8167/sassafrasstall/ready")" = 200 ]; }
wait_for 20 ready || fail "the front is not ready"
config='{"version":3,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"pool","max_attempts":3,"stretch":2}],"services":[{"name":"pool","rejects_overload":true}],"limits":{}}'
put() { [ "$(curl_ -X PUT -H 'Content-Type: application/json' -d "$config" "http://$net.2:8166/sassafrasstall/config")" = 200 ]; }
wait_for 10 put || fail "the configuration was not accepted"
id() { printf '%016x' "$1"; }
submit() {
  [ "$(curl_ -X POST -H 'Host: h.example' -H 'Deadline-Ms: 3000' \
    -d '{"spec":"100000","steps":[{"count":1,"cpu":1000,"mem_mb":100,"perpetual":true}]}' "http://$net.10:8161/q/$(id "$1")")" = 200 ]
}
leader() {
  for i in 1 2 3; do
    [ "$(curl_ -H 'Sassafras-Relayed: 1' "http://$net.$i:$((first + 1))/v1/leader")" = 200 ] && echo $i && return 0
  done
  return 1
}
cancel() { [ "$(curl_ -X DELETE -H 'Host: h.example' "http://$net.10:8161/q/$(id "$1")")" = 200 ]; }
has_leader() { leader >/dev/null; }
runs_on() { # JOB; the workers that have started it, one a line
  grep -l "^start $(id "$1")" "$folder"/worker-*.log | sed 's/.*worker-\([0-9]*\).log/\1/'
}
started() { [ -n "$(runs_on "$1")" ]; }
noted() { tail -n +"$3" "$folder/worker-$1.log" | grep -q "^$2 "; } # WORKER EVENT FROM-LINE
now_ms() { awk '{printf "%d\n", $1 * 1000}' /proc/uptime; }
starts_of() { cat "$folder"/worker-*.log | grep -c "^start $(id "$1")" || true; }
restarted() { [ "$(starts_of "$1")" -ge 2 ]; }

change_leader() { # HOW
  local lead
  lead=$(leader) || fail "no leader"
  case $1 in
    killed) kill -9 "${core[$lead]}"; sleep 0.2; start_core "$lead" false ;;
    stopped) kill -STOP "${core[$lead]}"; (sleep 4; kill -CONT "${core[$lead]}") & ;;
    planned) kill -TERM "${core[$lead]}"; wait_for 10 gone "${core[$lead]}" || fail "core-$lead does not end"; start_core "$lead" false ;;
  esac
}
gone() { ! kill -0 "$1" 2>/dev/null; }

n=0
drain_beside() { # POINT HOW: the leader changes at POINT
  n=$((n + 1))
  wait_for 10 has_leader || fail "no leader before case $n"
  wait_for 10 submit $n || fail "job $n was not accepted"
  wait_for 10 started $n || fail "job $n does not run"
  local w line left_ms
  w=$(runs_on $n)
  line=$(($(wc -l <"$folder/worker-$w.log") + 1))
  sleep 0.5 # it is listed
  if [ "$1" = before-drain ]; then kill -USR1 "${worker[$w]}"; change_leader "$2"; else kill -USR1 "${worker[$w]}"; fi
  wait_for 10 noted "$w" drain-acknowledged "$line" || fail "the drain was not acknowledged ($1, $2)"
  if [ "$1" = after-drain ]; then change_leader "$2"; fi
  kill -USR2 "${worker[$w]}"
  if [ "$1" = before-departure ]; then change_leader "$2"; fi
  wait_for 10 noted "$w" left "$line" || fail "the departure was not acknowledged ($1, $2)"
  left_ms=$(now_ms)
  if [ "$1" = after-departure ]; then change_leader "$2"; fi
  wait_for 15 restarted $n || fail "the task does not run again ($1, $2)"
  local took_ms=$(($(now_ms) - left_ms))
  echo "$1, $2: w$w left, the task runs again after $took_ms ms"
  [ $took_ms -le $most_without_run_ms ] || fail "the task had no run for $took_ms ms ($1, $2)"
  wait_for 10 cancel $n || fail "job $n can't be cancelled"
  start_worker "$w" # the next incarnation of the same id, which does not drain
}
drain_beside before-drain killed
drain_beside after-drain killed
drain_beside before-departure killed
drain_beside after-departure killed
drain_beside after-drain stopped
drain_beside after-departure stopped
drain_beside after-drain planned
sleep 2
for ((k = 1; k <= n; k++)); do
  [ "$(starts_of $k)" = 2 ] || fail "job $k was started $(starts_of $k) times"
done
grep -q 'event=drain-adopted' "$folder"/core-*.log || fail "no leader knew of a drain from the log"
echo "$n of $n tasks ran again in time"
