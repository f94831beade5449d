#!/usr/bin/env bash
# End-to-end test of the platform adapter with real processes on loopback: a configuration, jobs with two
# steps through a front, the leader killed, all jobs completed, no task started while it runs or after
# its end, the configuration read back. Guards against faults between components that pass their own tests.
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
net=127.$((1 + $$ % 250)).8 # other test runs on the machine have other networks
seeds=$net.1:8166,$net.2:8166,$net.3:8166
start_core() { # NUMBER FIRST-START
  "$build/sassafras-platform" --role=core --vm="core-$1" --data-centre="z$1" --ip="$net.$1" \
    --listen-control="$net.$1:8166" --ports="$first,$((first + 5))" --seeds=$seeds --first-start="$2" \
    --data-dir="$folder/core-$1" --lease-ms=4000 --memory-mb=256 >>"$folder/core-$1.log" 2>&1 &
  core[$1]=$!
  disown
  pids+=($!)
}
declare -A core
for i in 1 2 3; do start_core $i true; done
"$build/sassafras-platform" --role=front --vm=front-1 --data-centre=z1 --ip=$net.10 \
  --listen-customers=$net.10:8161 --listen-ready=$net.10:8167 --ports="$first,$((first + 5))" \
  --seeds=$seeds >"$folder/front.log" 2>&1 &
pids+=($!)
disown
for i in 1 2 3 4; do
  "$build/called_worker" "w$i" "$net.$((20 + i)):8080" pool "z$((i % 3 + 1))" \
    $net.1:8166 $net.2:8166 $net.3:8166 >"$folder/worker-$i.log" 2>&1 &
  pids+=($!)
  disown
done
curl_() { curl -s -m 3 -o "$folder/answer" -w '%{http_code}' "$@" || true; }
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
ready() { [ "$(curl_ "http://$net.10:8167/sassafrasstall/ready")" = 200 ]; }
wait_for 20 ready || fail "the front is not ready"
config='{"version":3,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"pool","max_attempts":3,"stretch":2}],"services":[{"name":"pool","rejects_overload":true}],"limits":{}}'
put() { [ "$(curl_ -X PUT -H 'Content-Type: application/json' -d "$config" "http://$net.2:8166/sassafrasstall/config")" = 200 ]; }
wait_for 10 put || fail "the configuration was not accepted"
[ "$(curl_ -X PUT -d '{"version":4,"routes":[' "http://$net.1:8166/sassafrasstall/config")" = 400 ] || fail "a truncated configuration was not refused"
# Entries of another writer: refused by each VM, none ends, and the jobs below complete.
odd_report() { # CORE ADDRESS SERVICE MORE-FIELDS
  curl_ -X PUT -H 'Content-Type: application/json' "http://$net.$1:8166/sassafrasstall/instances/odd" --data-binary @- <<END
{"service":"$3","address":"$2","zone":"z1","state":"ready","capacity":{"cpu":1000,"mem_mb":100},"seq":1,"born":1,$4}
END
}
nested=$(printf '[%.0s' $(seq 1 20000))$(printf ']%.0s' $(seq 1 20000))
for i in 1 2 3; do
  for address in 127.0.0.1:99999 127.0.0.1:0 '[::1' 'http://127.0.0.1:9/' 'u@127.0.0.1:80' '127.0.0.1:80/x'; do
    [ "$(odd_report $i "$address" pool '"clock_ms":1')" = 400 ] || fail "the address $address was not refused"
  done
  [ "$(odd_report $i $net.21:8080 other '"clock_ms":1')" = 400 ] || fail "an unknown service was not refused"
  grep -q "pool 'other'" "$folder/answer" || fail "the refusal does not name the service"
  [ "$(odd_report $i $net.29:8080 pool '"clock_ms":18446744073709551616')" = 400 ] || fail "a huge number was not refused"
  [ "$(odd_report $i $net.29:8080 pool "\"clock_ms\":1,\"x\":$nested")" = 400 ] || fail "nested fields were not refused"
  kill -0 "${core[$i]}" || fail "a core VM ended after an odd entry"
done
job='{"spec":"150","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":150},{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":150,"after":[0]}]}'
id() { printf '%016x' "$1"; }
submit() { [ "$(curl_ -X POST -H 'Host: h.example' -H 'Deadline-Ms: 3000' -d "$job" "http://$net.10:8161/q/$(id "$1")")" = 200 ]; }
leader() {
  for i in 1 2 3; do
    [ "$(curl_ -H 'Sassafras-Relayed: 1' "http://$net.$i:$((first + 1))/v1/leader")" = 200 ] && echo $i && return 0
  done
  return 1
}
for n in $(seq 1 10); do wait_for 10 submit "$n" || fail "job $n was not accepted"; done
lead=$(leader) || fail "no leader"
kill -9 "${core[$lead]}"
for n in $(seq 11 20); do wait_for 15 submit "$n" || fail "job $n was not accepted after the leader was killed"; done
start_core "$lead" false
completed() {
  curl_ -H 'Host: h.example' "http://$net.10:8161/q/$(id "$1")" >/dev/null
  grep -q '"completed"' "$folder/answer"
}
for n in $(seq 1 20); do wait_for 30 completed "$n" || fail "job $n is not completed"; done
[ "$(curl_ -H 'Host: h.example' "http://$net.10:8161/q/$(id 99)")" = 410 ] || fail "an unknown job was not answered with 410"
[ "$(curl_ -H 'Host: h.example' "http://$net.10:8161/other/$(id 1)")" = 404 ] || fail "an unknown queue was not answered with 404"
curl_ "http://$net.$lead:8166/sassafrasstall/config" >/dev/null
grep -q '"version":3' "$folder/answer" || fail "the configuration was not read back"
# The queue gets another name: a job that lasts is known below the same path as before, and can be cancelled.
submit_lasting() {
  [ "$(curl_ -X POST -H 'Host: h.example' -H 'Deadline-Ms: 3000' -d '{"spec":"100000","steps":[{"count":1,"cpu":1000,"mem_mb":100,"perpetual":true}]}' \
    "http://$net.10:8161/q/$(id 30)")" = 200 ]
}
running() {
  curl_ -H 'Host: h.example' "http://$net.10:8161/q/$(id 30)" >/dev/null
  grep -q '"running"' "$folder/answer"
}
wait_for 10 submit_lasting || fail "the job that lasts was not accepted"
wait_for 10 running || fail "the job that lasts does not run"
config=${config/\"version\":3/\"version\":5}
config=${config/\"name\":\"q\"/\"name\":\"renamed\"}
wait_for 10 put || fail "the configuration with another name was not accepted"
running || fail "the job is not known after its queue was renamed: $(cat "$folder/answer")"
[ "$(curl_ -H 'Host: h.example' "http://$net.10:8161/q/$(id 1)")" = 200 ] || fail "an ended job is not known after its queue was renamed"
[ "$(curl_ -X DELETE -H 'Host: h.example' "http://$net.10:8161/q/$(id 30)")" = 200 ] || fail "the job can't be cancelled after its queue was renamed"
ended() { cat "$folder"/worker-*.log | grep -q "^end $(id 30)"; }
wait_for 10 ended || fail "a task runs on after its job was cancelled"
twice=$(cat "$folder"/worker-*.log | awk '$1=="start"{n[$2]++; if (n[$2]>1) print $2} $1=="end"{n[$2]--}' | head -3)
starts=$(cat "$folder"/worker-*.log | grep -c '^start')
# Jobs that together would take more than the memory for them are refused, with the time to come back, and no VM ends.
full='{"spec":"1","repetitions":1,"start_at_ms":4102444800000,"period_ms":1,"steps":[{"count":20000,"cpu":1000,"mem_mb":100}]}'
accepted=0
code=200
for n in $(seq 100 140); do
  code=$(curl_ -D "$folder/head" -X POST -H 'Host: h.example' -H 'Deadline-Ms: 3000' -d "$full" "http://$net.10:8161/q/$(id "$n")")
  [ "$code" = 200 ] || break
  accepted=$((accepted + 1))
done
[ "$code" = 503 ] || fail "$accepted jobs of 20,000 tasks were accepted on VMs of 256 MiB, then: $code"
grep -qi '^Retry-After: 30' "$folder/head" || fail "the refusal does not tell when to come back"
[ $accepted -ge 15 ] || fail "only $accepted jobs were accepted"
for i in 1 2 3; do
  kill -0 "${core[$i]}" || fail "a core VM ended"
  [ "$(awk '/VmRSS/ {print $2}' "/proc/${core[$i]}/status")" -lt 262144 ] || fail "core-$i takes over 256 MiB"
done
echo "$accepted jobs of 20,000 tasks accepted"
echo "20 of 20 jobs completed, $starts starts for 100 tasks, leader killed once"
[ -z "$twice" ] || echo "started on two workers (lines of different files are not in order): $twice"
[ "$starts" -ge 100 ] && [ "$starts" -le 130 ] || fail "$starts starts for 100 tasks"
grep -q 'event=job-submitted' "$folder"/core-*.log || fail "no decision was logged"
