#!/usr/bin/env bash
# Guards against a VM that takes no part any more after its disk refused writes for some seconds, with real processes on
# loopback: each of three VMs in turn, then the leader. A limit on the size of its files stands for the full disk.
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
trap '' XFSZ # a write beyond the limit fails, as on a full disk, and doesn't end the process
fail() { echo "FAILED: $1"; tail -n 5 "$folder"/*.log; exit 1; }
first=$((21000 + $$ % 8000))
net=127.$((1 + $$ % 250)).12 # other test runs on the machine have other networks
seeds=$net.1:8166,$net.2:8166,$net.3:8166
declare -A core
for i in 1 2 3; do
  # The limit holds for the log too unless it goes through a pipe.
  "$build/sassafras-platform" --role=core --vm="core-$i" --data-centre="z$i" --ip="$net.$i" \
    --listen-control="$net.$i:8166" --ports="$first,$((first + 5))" --seeds=$seeds --first-start=true \
    --data-dir="$folder/core-$i" --lease-ms=4000 > >(cat >"$folder/core-$i.log") 2>&1 &
  core[$i]=$!
  disown
  pids+=($!)
done
curl_() { curl -s -m 1 -o "$folder/answer" -w '%{http_code}' "$@" || true; }
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
version=0
configure() { # CORE
  local config='{"version":'$version',"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"pool","max_attempts":3,"stretch":2}],"services":[{"name":"pool","rejects_overload":true}],"limits":{}}'
  [ "$(curl_ -X PUT -H 'Content-Type: application/json' -d "$config" "http://$net.$1:8166/sassafrasstall/config")" = 200 ]
}
next_version() { version=$((version + 1)); }
leader() {
  for i in 1 2 3; do
    [ "$(curl_ -H 'Sassafras-Relayed: 1' "http://$net.$i:$((first + 1))/v1/leader")" = 200 ] && echo $i && return 0
  done
  return 1
}
metric() { curl -s -m 1 "http://$net.$1:9464/metrics" | awk -v name="$2" '$1 == name { print $2 }'; } # CORE NAME
failed() { [ "$(metric "$1" sassafras_log_disk_failures_total)" = "$2" ]; }      # CORE COUNT
recovered() { [ "$(metric "$1" sassafras_log_disk_recoveries_total)" = "$2" ]; } # CORE COUNT
next_version
wait_for 20 configure 1 || fail "the configuration was not accepted"
declare -A count=([1]=0 [2]=0 [3]=0)
for full in 1 2 3 leader; do
  [ $full != leader ] || full=$(leader) || fail "no leader"
  prlimit --pid "${core[$full]}" --fsize=1:unlimited
  awake=$((full % 3 + 1))
  for _ in 1 2 3 4 5; do
    next_version
    wait_for 10 configure $awake || fail "nothing is accepted while the disk of core-$full is full"
    sleep 0.3
  done
  count[$full]=$((count[$full] + 1))
  wait_for 5 failed $full "${count[$full]}" || fail "core-$full did not notice its full disk"
  prlimit --pid "${core[$full]}" --fsize=unlimited:unlimited
  wait_for 5 recovered $full "${count[$full]}" || fail "core-$full does not return after its disk works again"
done
# Two VMs that had full disks are a quorum.
kill -9 "${core[1]}"
next_version
wait_for 10 configure 2 || fail "the VMs whose disks had been full do not make up a quorum"
for i in 2 3; do kill -0 "${core[$i]}" || fail "core-$i ended"; done
echo "version $version accepted after four full disks in series"
