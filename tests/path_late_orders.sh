#!/usr/bin/env bash
# Guards against orders that are executed after their senders gave them up, with real processes on loopback: an
# order read late by a VM that was frozen undoes what was acknowledged meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
folder=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -9 "$p" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap cleanup EXIT
fail() { echo "FAILED: $1"; tail -n 5 "$folder"/*.log; exit 1; }
first=$((21000 + $$ % 8000))
net=127.$((1 + $$ % 250)).11 # other test runs on the machine have other networks
seeds=$net.1:8166,$net.2:8166,$net.3:8166
declare -A core front
for i in 1 2 3; do
  "$build/sassafras-platform" --role=core --vm="core-$i" --data-centre="z$i" --ip="$net.$i" \
    --listen-control="$net.$i:8166" --ports="$first,$((first + 5))" --seeds=$seeds --first-start=true \
    --data-dir="$folder/core-$i" --lease-ms=4000 >"$folder/core-$i.log" 2>&1 &
  core[$i]=$!
  disown
  pids+=($!)
done
for i in 1 2; do
  "$build/sassafras-platform" --role=front --vm="front-$i" --data-centre="z$i" --ip="$net.1$i" \
    --listen-customers="$net.1$i:8161" --listen-ready="$net.1$i:8167" --ports="$first,$((first + 5))" \
    --seeds=$seeds >"$folder/front-$i.log" 2>&1 &
  front[$i]=$!
  disown
  pids+=($!)
done
curl_() { curl -s -m 1 -o "$folder/answer" -w '%{http_code}' "$@" || true; }
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
# Repeats COMMAND while it is not answered or answered 5xx: the first other code must be CODE.
answers() { # CODE COMMAND...
  local code end=$((SECONDS + 10))
  while [ $SECONDS -lt $end ]; do
    code=$("${@:2}")
    case $code in 000 | 5*) sleep 0.1 ;; *) break ;; esac
  done
  [ "$code" = "$1" ]
}
config='{"version":3,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"pool","max_attempts":3,"stretch":2}],"services":[{"name":"pool","rejects_overload":true}],"limits":{}}'
put() { [ "$(curl_ -X PUT -H 'Content-Type: application/json' -d "$config" "http://$net.2:8166/sassafrasstall/config")" = 200 ]; }
wait_for 20 put || fail "the configuration was not accepted"
zone() { curl_ -X "$1" "http://$net.$2:8166/sassafrasstall/evacuate/z1"; } # METHOD CORE
leader() {
  for i in 1 2 3; do
    [ "$(curl_ -H 'Sassafras-Relayed: 1' "http://$net.$i:$((first + 1))/v1/leader")" = 200 ] && echo $i && return 0
  done
  return 1
}
executed() { cat "$folder"/core-*.log | grep -c "event=change-ended.*method=$1 path=/sassafrasstall/evacuate/z1 outcome=ok" || true; }
# The order reaches a frozen VM, once a follower and once the leader, and another one acknowledges it.
for round in follower leader; do
  lead=$(leader) || fail "no leader"
  frozen=$lead
  [ $round = leader ] || frozen=$((lead % 3 + 1))
  awake=$((frozen % 3 + 1))
  ordered() { [ "$(zone "$1" "$awake")" = 200 ]; }
  wait_for 5 ordered POST || fail "the first order was not acknowledged"
  kill -STOP "${core[$frozen]}"
  [ "$(zone DELETE "$frozen")" = 000 ] || fail "a frozen VM answered"
  wait_for 10 ordered DELETE || fail "the withdrawal was not acknowledged"
  wait_for 5 ordered POST || fail "the second order was not acknowledged"
  before=$(executed DELETE)
  kill -CONT "${core[$frozen]}"
  sleep 3
  after=$(executed DELETE)
  [ "$before" = "$after" ] || fail "an old withdrawal was executed when the frozen $round woke ($before, $after)"
done
# A front freezes with a submission in its socket; the client gives up and cancels through another front.
worker_report='{"service":"pool","address":"'$net'.21:8080","zone":"z1","slots":8,"state":"ready","capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},"labels":["a","r1-1"],"clock_ms":5000,"seq":1,"born":1000}'
job='{"spec":"150","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":150}]}'
customer() { curl_ -X "$1" -H 'Host: h.example' "${@:4}" "http://$net.1$2:8161/q/$3"; } # METHOD FRONT ID
report() { [ "$(curl_ -X PUT -d "$worker_report" "http://$net.2:8166/sassafrasstall/instances/w1")" = 200 ]; }
submitted() { report && [ "$(customer POST 2 0000000000000001 -d "$job")" = 200 ]; }
wait_for 10 submitted || fail "a job was not accepted"
kill -STOP "${front[1]}"
[ "$(customer POST 1 0000000000000002 -d "$job")" = 000 ] || fail "a frozen front answered"
answers 410 customer DELETE 2 0000000000000002 || fail "the cancel of an unknown job was not answered with 410"
kill -CONT "${front[1]}"
sleep 2
answers 410 customer GET 2 0000000000000002 || fail "a job was accepted after its cancel"
# The same submission when it is late for another reason: the cancelled id stays cancelled.
answers 404 customer POST 2 0000000000000002 -d "$job" || fail "a job was accepted after its cancel"
answers 410 customer GET 2 0000000000000002 || fail "a job was accepted after its cancel"
wait_for 5 leader >/dev/null || fail "no leader at the end"
# The close of a sender that gave up behind a partition follows its order a moment later.
before=$(executed DELETE)
for i in 1 2 3; do
  exec 3<>"/dev/tcp/$net.$i/8166"
  printf 'DELETE /sassafrasstall/evacuate/z1 HTTP/1.1\r\nHost: h\r\n\r\n' >&3
  sleep 0.05
  exec 3>&-
done
sleep 1
[ "$before" = "$(executed DELETE)" ] || fail "a withdrawal was executed although its sender had gone"
grep -q 'event=\(request\|relay\)-abandoned' "$folder"/core-*.log || fail "no VM noticed that a sender had gone"
echo "old orders were not executed: $(cat "$folder"/core-*.log | grep -c 'event=\(request\|relay\)-abandoned') dropped"
