#!/usr/bin/env bash
# End-to-end test of client accounts with real processes on loopback. Guards against a key that works after it was taken away, also
# right after the leader was paused or killed, against keys in logs and reports, and against false "not run" answers.
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
net=127.$((1 + $$ % 250)).9
seeds=$net.1:8166,$net.2:8166,$net.3:8166
declare -A core
start_core() { # NUMBER FIRST-START
  "$build/sassafras-platform" --role=core --vm="core-$1" --data-centre="z$1" --ip="$net.$1" --metrics-port="$((first + 10))" \
    --listen-control="$net.$1:8166" --ports="$first,$((first + 5))" --seeds=$seeds --first-start="$2" \
    --data-dir="$folder/core-$1" --lease-ms=4000 --memory-mb=256 >>"$folder/core-$1.log" 2>&1 &
  core[$1]=$!
  disown
  pids+=($!)
}
for i in 1 2 3; do start_core $i true; done
for i in 1 2; do
  "$build/sassafras-platform" --role=front --vm=front-$i --data-centre=z1 --ip=$net.1$i --metrics-port="$((first + 10))" \
    --listen-customers=$net.1$i:8161 --listen-ready=$net.1$i:8167 --ports="$first,$((first + 5))" --seeds=$seeds >"$folder/front-$i.log" 2>&1 &
  pids+=($!)
  disown
done
"$build/called_worker" w1 "$net.21:8080" pool z1 $net.1:8166 $net.2:8166 $net.3:8166 >"$folder/worker.log" 2>&1 &
pids+=($!)
disown
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
curl_() { curl -s -m 3 -o "$folder/answer" -w '%{http_code}' "$@" || true; }
ready() { [ "$(curl_ "http://$net.11:8167/sassafrasstall/ready")" = 200 ]; }
wait_for 20 ready || fail "the front is not ready"
account() { echo "{\"name\":\"$1\",\"api_keys\":[$2],\"weight\":100,\"cap\":{\"cpu\":$3,\"mem_mb\":0,\"gpu\":0}}"; }
operator=2 # number of the core VM that gets configurations
put() { # VERSION ACCOUNTS
  curl_ -X PUT -H 'Content-Type: application/json' --data-binary @- "http://$net.$operator:8166/sassafrasstall/config" <<END
{"version":$1,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":1000,"service":"pool","max_attempts":3,"stretch":2}],
"services":[{"name":"pool","rejects_overload":true}],"tenants":[$2],"limits":{}}
END
}
accepted() { [ "$(put "$@")" = 200 ]; }
alder=$(account alder '"kalder-secret"' 1000)
birch=$(account birch '"kbirch-secret"' 0)
wait_for 10 accepted 3 "$alder,$birch" || fail "the configuration was not accepted"
[ "$(put 4 "$alder,$(account birch '"kalder-secret"' 0)")" = 422 ] || fail "one key in two accounts was not refused"
grep -q 'alder.*birch' "$folder/answer" || fail "the refusal does not name the accounts"
job='{"spec":"150","steps":[{"count":2,"cpu":600,"mem_mb":1,"estimate_ms":150}]}'
id() { printf '%016x' "$1"; }
call() { # FRONT METHOD KEY JOB [BODY]
  local key=()
  [ -z "$3" ] || key=(-H "X-Api-Key: $3")
  curl_ -X "$2" -H 'Host: h.example' -H 'Deadline-Ms: 2500' "${key[@]}" ${5:+-d "$5"} "http://$net.1$1:8161/q/$(id "$4")"
}
submitted() { [ "$(call "$1" POST "$2" "$3" "$job")" = 200 ]; }
wait_for 10 submitted 1 kalder-secret 1 || fail "a job with a key was not accepted"
[ "$(call 2 POST '' 2 "$job")" = 401 ] || fail "a call without a key was not refused"
[ "$(call 2 POST kalder-secre 2 "$job")" = 401 ] || fail "a part of a key was not refused"
grep -q '"ran"' "$folder/answer" && fail "a refused key is said to have run nothing"
[ "$(call 1 GET kbirch-secret 1)" = 410 ] || fail "another account can read a job"
[ "$(call 1 DELETE kbirch-secret 1)" = 410 ] || fail "another account can cancel a job"
[ "$(call 1 POST kbirch-secret 1 "$job")" = 409 ] || fail "another account can submit under a job's id"
[ "$(call 2 POST kalder-secret 3 '{"spec":"1","steps":[{"count":1,"cpu":1001}]}')" = 503 ] || fail "a task above the cap was not refused"
grep -q 'cap of its client account' "$folder/answer" || fail "the refusal does not name the cap"
completed() {
  [ "$(call 1 GET "$1" "$2")" = 200 ] && grep -q '"completed"' "$folder/answer"
}
wait_for 20 completed kalder-secret 1 || fail "the job is not completed"
# The key is taken away while the leader is paused, then while it is killed, and never works again.
leader() {
  for i in 1 2 3; do
    [ "$(curl_ "http://$net.$i:$((first + 10))/v1/accounts")" = 200 ] && echo "$i" && return 0
  done
  return 1
}
has_leader() { leader >/dev/null; }
lead=$(leader) || fail "no leader"
operator=$((1 + lead % 3))
kill -STOP "${core[$lead]}"
wait_for 15 accepted 5 "$(account alder '' 1000),$birch" || fail "the key was not taken away while the leader was paused"
for i in 1 2 3 4 5; do
  [ "$(call $((1 + i % 2)) GET kalder-secret 1)" != 200 ] || fail "a key works after it was taken away"
done
kill -CONT "${core[$lead]}"
for i in $(seq 1 20); do
  [ "$(call $((1 + i % 2)) GET kalder-secret 1)" != 200 ] || fail "a key works on a VM that was paused when it was taken away"
done
wait_for 10 has_leader || fail "no leader after the pause"
lead=$(leader)
operator=$((1 + lead % 3))
kill -9 "${core[$lead]}"
for i in $(seq 1 20); do
  [ "$(call $((1 + i % 2)) GET kalder-secret 1)" != 200 ] || fail "a key works after the leader was killed"
done
start_core "$lead" false
refused() { [ "$(call 1 GET kalder-secret 1)" = 401 ]; }
wait_for 10 refused || fail "the key is not refused after a restart"
wait_for 10 accepted 6 "$(account alder '"knew-secret"' 1000),$birch" || fail "a new key was not accepted"
wait_for 5 completed knew-secret 1 || fail "the job is not known with the account's new key"
servers=$net.1:$((first + 10)),$net.2:$((first + 10)),$net.3:$((first + 10))
"$build/sassafrasctl" --server "$servers" accounts >"$folder/accounts" || fail "sassafrasctl accounts failed"
grep -qE '^alder +100 ' "$folder/accounts" || fail "the account is not listed"
"$build/sassafrasctl" --server "$servers" --json accounts >>"$folder/accounts"
echo '{"queue":"q","account":"birch","millicores":600,"memory_mb":1,"estimate_ms":150}' >"$folder/task.json"
"$build/sassafrasctl" --server "$servers" explain "$folder/task.json" >"$folder/explained" || fail "sassafrasctl explain failed"
grep -q '^starts on: w1 ' "$folder/explained" || fail "the explanation names no worker: $(cat "$folder/explained")"
echo '{"queue":"none"}' >"$folder/task.json"
! "$build/sassafrasctl" --server "$servers" explain "$folder/task.json" 2>"$folder/explained" || fail "an unknown queue was explained"
grep -q "'none'" "$folder/explained" || fail "the error does not name the queue"
! grep -h 'secret' "$folder"/*.log "$folder/accounts" || fail "a key is in a log or a report"
echo "accounts: keys refused after pause, kill and restart; $(grep -c account-key-refused "$folder"/core-*.log | paste -sd' ')"
