#!/usr/bin/env bash
# Usage: tests/bodies/bodies.sh BUILD PROCESS KIND   PROCESS: front, core or daemon; KIND: see body_sender.c.
# Guards against clients that end a process by what they send: real processes on loopback, on a machine with little memory
# and few descriptors. During and after the crowd the process lives, stays within its machine and answers ordinary requests.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
process=$2
kind=$3
memory_mb=128 # of the machine; limits.memory_mb of the platform's settings
max_fds=256   # of the process; limits.max_fds
senders=2     # the limit of descriptors holds for each of them too
connections=60
[ "$kind" != idle ] || max_fds=96
export SASSAFRAS_MEMORY_MB=$memory_mb
ulimit -n $max_fds
. scripts/cluster.sh
cluster_init "$build"
# The sanitizer's shadow and quarantine are not memory of the process on a real machine.
sanitized=no
[ "$(nm "$BUILD/sassafrasd" | grep -c ' __asan_init')" = 0 ] || sanitized=yes
net=127.$NET.8
first=$((21000 + $$ % 8000))
curl_() { curl -s -m 3 -o "$WORK/answer" -w '%{http_code}' "$@" || true; }
gets() { # CODE CURL-ARGUMENT...
  local code=$1
  shift
  [ "$(curl_ "$@")" = "$code" ]
}

start_platform() { # NAME FLAG...
  local name=$1
  shift
  "$BUILD/sassafras-platform" --vm="$name" --data-centre=z1 --ports="$first,$((first + 5))" --seeds=$net.1:8166 "$@" \
    >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}
write_configuration() { # ROUTES   of about 880 bytes
  version=$((version + 1))
  awk -v version=$version -v routes="$1" 'BEGIN {
    more = "\"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000," \
           "\"priority\":0,\"service\":\"pool\",\"max_attempts\":3,\"stretch\":2.5,\"allowed_regions\":[]}"
    printf "{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",%s", version, more
    for (i = 1; i < routes; i++)
      printf ",{\"name\":\"r%d\",\"host\":\"h%d.example\",\"filler\":\"%0650d\",%s", i, i, 0, more
    printf "],\"services\":[{\"name\":\"pool\",\"rejects_overload\":true}],\"limits\":{\"max_body_bytes\":262144}}"
  }' >"$WORK/config.json"
}
version=0
configure() { gets 200 -X PUT --data-binary "@$WORK/config.json" "http://$net.1:8166/sassafrasstall/config"; }
pad() { # FILE BYTES   appends blanks
  head -c $(($2 - $(stat -c %s "$1"))) /dev/zero | tr '\0' ' ' >>"$1"
}
job='{"spec":"150","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":150}]}'
report='{"service":"pool","address":"'$net'.200:8080","zone":"z1","state":"ready","capacity":{"cpu":1000,"mem_mb":100},"seq":1,"born":1,"clock_ms":1}'
job_number=0
submit() { # BODY
  local id
  printf -v id '%016x' $((++job_number))
  gets 200 -X POST -H 'Host: h.example' -H 'Deadline-Ms: 3000' --data-binary "$1" "http://$net.10:8161/q/$id"
}

start_front() {
  start_core
  start_platform front --role=front --ip=$net.10 --listen-customers=$net.10:8161 --listen-ready=$net.10:8167
  main=front
  targets=("POST:/q/00000000000000ff@$net.10:8161" "POST:/sassafrasstall/ready@$net.10:8167" "POST:/metrics@$net.10:9464")
}
ordinary_front() {
  submit "$job" && gets 200 "http://$net.10:8167/sassafrasstall/ready" && gets 200 "http://$net.10:9464/metrics"
}
large_front() { # max_body_bytes of the configuration
  printf '%s' "$job" >"$WORK/large"
  pad "$WORK/large" 262144
  submit "@$WORK/large"
}

start_core() {
  start_platform core --role=core --ip=$net.1 --listen-control=$net.1:8166 --first-start=true --data-dir="$WORK/core" --lease-ms=4000
  main=core
  targets=("PUT:/sassafrasstall/instances/odd@$net.1:8166" "POST:/v1/leader@$net.1:$((first + 1))" "POST:/metrics@$net.1:9464")
  [ "$kind" != unread ] || targets[0]="GET:/sassafrasstall/config@$net.1:8166"
  [ "$kind" != frames ] || targets=("POST:/@$net.1:$first")
  write_configuration 1
  wait_for 20 configure || fail "the configuration was not accepted"
}
ordinary_core() {
  configure && gets 200 "http://$net.1:8166/sassafrasstall/config" && gets 200 "http://$net.1:9464/metrics" \
    && gets 200 -H 'Sassafras-Relayed: 1' "http://$net.1:$((first + 1))/v1/leader"
}
large_core() { # the largest report of a worker, a large configuration
  printf '%s' "$report" >"$WORK/large"
  pad "$WORK/large" $((4 * 1024 * 1024 - 1))
  gets 200 -X PUT --data-binary "@$WORK/large" "http://$net.1:8166/sassafrasstall/instances/i-large" || return 1
  write_configuration 1000
  configure
}

start_daemon() {
  cluster_ready "a:1"
  start_runner r1 a --listen="127.$NET.91.1:8080"
  main=a1
  vm=${VM_ADDRESS[a1]}
  targets=("POST:/v1/call/echo/x@$vm:7400" "POST:/v1/runners/announce@$vm:7401" "POST:/v1/jobs@$vm:7402")
  [ "$kind" != unread ] || targets[2]="GET:/v1/state@$vm:7402"
  [ "$kind" != frames ] || targets=("POST:/@$vm:7403")
}
ordinary_daemon() {
  gets 200 -H 'Sassafras-Customer: schools' -d 'pallet 7' "http://$vm:7400/v1/call/echo/x" \
    && gets 400 -d '{}' "http://$vm:7401/v1/runners/announce" && gets 200 "http://$vm:7402/healthz"
}
large_daemon() { # the stated limits of the ports for operators and backend servers; requests of callers are streamed
  printf '{}' >"$WORK/large"
  pad "$WORK/large" $((1024 * 1024 - 1))
  gets 400 --data-binary "@$WORK/large" "http://$vm:7401/v1/runners/announce" || return 1
  gets 200 -H 'Sassafras-Customer: schools' --data-binary "@$WORK/large" "http://$vm:7400/v1/call/echo/x" || return 1
  pad "$WORK/large" $((4 * 1024 * 1024 - 1))
  gets 400 --data-binary "@$WORK/large" "http://$vm:7402/v1/jobs"
}

faults=0
fault() {
  echo "FAULT: $1"
  faults=$((faults + 1))
}
check() { # WHEN
  local pid=${PIDS[$main]} peak_kb=0 open_fds=0
  if ! kill -0 "$pid" 2>/dev/null; then
    fault "$1: the process has ended"
    return
  fi
  peak_kb=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$pid/status")
  open_fds=$(ls "/proc/$pid/fd" | wc -l)
  echo "$1: peak $((peak_kb / 1024)) of $memory_mb MB, $open_fds of $max_fds descriptors"
  [ "$sanitized" = yes ] || [ "$peak_kb" -le $((memory_mb * 1024)) ] || fault "$1: over the memory of the machine"
  [ "$open_fds" -lt "$max_fds" ] || fault "$1: no descriptor is left"
  wait_for 40 "ordinary_$process" || fault "$1: an ordinary request is not answered"
}

"start_$process"
wait_for 20 "ordinary_$process" || fail "an ordinary request is not answered in calm"
wait_for 20 "large_$process" || fail "a request inside the limits is not served in calm"
check "in calm"
if [ "$kind" = answers ]; then
  "$BUILD/body_sender" answers $((first + 4)) >"$WORK/sender1" &
  PIDS[sender1]=$!
  for i in $(seq 1 $((senders * connections))); do
    wait_for 10 gets 200 -X PUT -d "${report/$net.200:8080/127.$NET.9.$i:$((first + 4))}" \
      "http://$net.1:8166/sassafrasstall/instances/i-$i" || fault "worker $i is not registered"
  done
  sleep 5 # the calls to the workers
else
  for n in $(seq 1 $senders); do
    "$BUILD/body_sender" "$kind" $connections "${targets[@]}" >"$WORK/sender$n" &
    PIDS[sender$n]=$!
  done
  for n in $(seq 1 $senders); do
    wait_for 60 grep -q settled "$WORK/sender$n" || echo "sender $n does not settle"
  done
fi
cat "$WORK"/sender*
check "beside the crowd"
for id in "${!PIDS[@]}"; do
  case $id in sender*) kill "${PIDS[$id]}" && unset "PIDS[$id]" ;; esac
done
check "after the crowd"
[ $faults = 0 ] || fail "$process, $kind: $faults faults"
