# Functions of the scripts in review/6 and later; sourced after "cd" to the root of the repository.
# A small deployment with the bounds of hsgr-rounds: three core VMs, two fronts, on addresses of one loopback network, with the
# command lines of deploy/system.toml.  Runners, client, operator and proxy are target/review-rig-2.
#   begin FOLDER     temporary folder, free network; record.txt in FOLDER
#   start_cores; start_core N FIRST-START; start_fronts; start_runner ID [CONTROL...]
#   note TEXT        a line in the record
#   ask METHOD ADDRESS PATH HOST [BODY]   sets CODE and BODY, and records both
rig=target/review-rig-2
declare -A core runner_pid runner_address
pids=()
exit_code=2
finish() {
  local p
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
  [ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
  rm -rf "$work"
  exit $exit_code
}
begin() {
  local i
  [ -x target/sassafras-platform ] && [ -x $rig ] || { echo "not built: target/sassafras-platform, $rig"; exit 2; }
  work=$(mktemp -d)
  record=$1/record.txt
  for i in $(seq 1 250); do
    net=127.$((1 + (RANDOM + i) % 250)).$((20 + RANDOM % 200))
    grep -q "$(printf '[0-9A-F]\\{2\\}%02X%02X7F:' "${net##*.}" "$(echo "$net" | cut -d. -f2)")" /proc/net/tcp || break
  done
  first=$((21000 + RANDOM % 8000))
  zones=(- erie-east erie-west huron-owen)
  seeds=$net.1:8166,$net.2:8166,$net.3:8166
  : >"$record"
  trap finish EXIT
  trap 'exit 2' INT TERM
}
note() { echo "$($rig now) $1" >>"$record"; }
start_core() { # NUMBER FIRST-START
  target/sassafras-platform --role=core --vm="core-$1" --data-centre="${zones[$1]}" --ip="$net.$1" \
    --listen-control="$net.$1:8166" --ports="$first,$((first + 15))" --seeds="$seeds" --first-start="$2" \
    --data-dir="$work/core-$1" --lease-ms=6000 --status-s=120 --grace-s=6 --memory-mb=256 >>"$work/core-$1.log" 2>&1 &
  core[$1]=$!
  pids+=($!)
  disown
}
start_cores() { local i; for i in 1 2 3; do start_core $i true; done; }
start_fronts() {
  local i
  for i in 1 2; do
    target/sassafras-platform --role=front --vm="front-$i" --data-centre="${zones[$i]}" --ip="$net.1$i" \
      --listen-customers="$net.1$i:8161" --listen-ready="$net.1$i:8167" --ports="$first,$((first + 15))" \
      --seeds="$seeds" --grace-s=6 --memory-mb=260 >>"$work/front-$i.log" 2>&1 &
    pids+=($!)
    disown
  done
}
# The address of a runner follows from the number in its id.
start_runner() { # ID CHECKPOINT-BYTES [CONTROL...]
  local id=$1 saved=$2
  shift 2
  [ $# -gt 0 ] || set -- "$net.1:8166" "$net.2:8166" "$net.3:8166"
  runner_address[$id]=$net.$((30 + ${id//[!0-9]/})):8080
  $rig runner "$id" "${runner_address[$id]}" cullet-route "${zones[$((1 + ${id//[!0-9]/} % 3))]}" 16000 "$saved" 1100 6000 "$@" \
    >>"$record" 2>>"$work/runners.log" &
  runner_pid[$id]=$!
  pids+=($!)
  disown
}
crash_runner() { # ID
  kill -9 "${runner_pid[$1]}"
  note "$1 crash"
}
quiet_ask() {
  local out
  out=$($rig call "${TIMEOUT_MS:-3000}" "$@")
  CODE=${out%% *}
  BODY=${out#* }
}
ask() {
  quiet_ask "$@"
  note "client $1 $2$3 ${5:0:300} -> $CODE $BODY"
}
wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do [ $SECONDS -lt $end ] || return 1; sleep 0.1; done
}
cannot() { echo "the case couldn't run: $1"; note "couldn't run: $1"; exit_code=2; exit 2; }
route() { # NAME PREFIX
  echo "{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"$2\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"cullet-route\",\"max_attempts\":4,\"stretch\":2.0,\"allowed_regions\":[]}"
}
configuration() { # VERSION ROUTES
  echo "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"cullet-route\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"rejects_overload\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
}
configured() { # BODY
  ask PUT "$net.2:8166" /sassafrasstall/config control "$1"
  [ "$CODE" = 200 ]
}
front_ready() { quiet_ask GET "$net.$1:8167" /sassafrasstall/ready x; [ "$CODE" = 200 ]; }
# Starts all but the runners, with the queue /q/.
deployment() {
  start_cores
  start_fronts
  wait_for 20 front_ready 11 && wait_for 20 front_ready 12 || cannot "the fronts are not ready"
  wait_for 20 configured "$(configuration 3 "$(route q /q/)")" || cannot "no configuration was accepted"
}
submit() { # ID BODY [FRONT]
  ask POST "$net.${3:-11}:8161" "/q/$1" h.example "$2"
  [ "$CODE" = 200 ]
}
state_is() { # ID STATE
  quiet_ask GET "$net.11:8161" "/q/$1" h.example
  [ "$CODE" = 200 ] && [[ $BODY == *"\"$2\""* ]]
}
# A runner that has a run of the task, by the record.
runner_of() { # TASK
  awk -v t="$1" '$3=="start" && $4==t {on[$2]=1} $3=="end" && $4==t {delete on[$2]} $3=="crash"||$3=="left" {delete on[$2]}
    END {for (r in on) print r}' "$record" | head -1
}
broken() { echo "BROKEN: $1"; note "BROKEN: $1"; exit_code=1; exit 1; }
held() { echo "held: $1"; note "held: $1"; exit_code=0; exit 0; }
