# Functions of the scripts in review/11 and later; sourced.  Starts the programs with the command lines
# of deploy/system.toml: three core machines in three zones and one front machine, as in a small
# deployment, each with an address of its own on the loopback network.
#
#   rig_begin CASE-FOLDER     sets folder, net, record; ends everything at exit
#   start_core N BOOTSTRAP | kill_core N | start_front | wait_ready
#   put_config ADDRESS-NUMBER VERSION [MORE-ROUTES]
#   start_worker NAME ADDRESS-NUMBER ZONE LABELS CHECKPOINT-BYTES | kill_worker NAME
#   leader_core               number of the core machine that leads
#   cut NAME | join NAME      cuts a runner off, and joins it again
#   pending_count             of the queue
#   submit ID JSON | cancel ID | state_of ID
#   say TEXT                  a line of the record, with the time since the start in ms
#   cannot_run TEXT           exit 2

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
rig=$root/target/review-rig-3
declare -A core_pid worker_pid
all_pids=()
HOST=nony24.example
PREFIX=/lohu930/
SERVICE=huvo11a

now_ms() { date +%s%3N; }
say() { printf '%7d %s\n' $(($(now_ms) - began_ms)) "$*" | tee -a "$record"; }
cannot_run() { say "cannot run: $*"; exit 2; }

cleanup() {
  local pid
  for pid in "${all_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  # What the runners did belongs to the record.
  if ls "$folder"/worker-*.log >/dev/null 2>&1; then
    { echo "--- runners: Unix ms, runner, event"; sort -n "$folder"/worker-*.log; } >>"$record"
  fi
  rm -rf "$folder"
}

rig_begin() {
  record=$1/record.txt
  began_ms=$(now_ms)
  : >"$record"
  [ -x "$root/target/sassafras-platform" ] && [ -x "$rig" ] || cannot_run "target/sassafras-platform or target/review-rig-3 is missing"
  folder=$(mktemp -d)
  net=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250))
  first_port=$((20000 + $$ % 20000))
  trap cleanup EXIT
  trap 'exit 2' INT TERM
  cd "$root" || exit 2
}

# The command of a role in deploy/system.toml, with its placeholders filled in from the array `field`.
command_of() { # ROLE
  local line key
  line=$(awk -v role="[roles.$1]" '$0 == role {on = 1; next} /^\[/ {on = 0} on && /^run = / {sub(/^run = "/, ""); sub(/"$/, ""); print; exit}' "$root/deploy/system.toml")
  for key in "${!field[@]}"; do line=${line//"{{$key}}"/${field[$key]}}; done
  case $line in *'{{'*|'') cannot_run "placeholder without a value: $line" ;; esac
  printf '%s' "$line"
}

declare -A field
common_fields() {
  field=([port_range]=$first_port,$((first_port + 15)) [seeds]=$net.1:8166,$net.2:8166,$net.3:8166
    [bounds.grace_s]=6 [bounds.max_hold_ms]=10000 [bounds.status_s]=120 [bounds.remote_factor]=2 [limits.memory_mb]=256)
}

start_core() { # NUMBER BOOTSTRAP
  local words
  common_fields
  field[node]=core-$1 field[zone]=z$1 field[ip]=$net.$1 field[listen.control]=$net.$1:8166
  field[bootstrap]=$2 field[data_dir]=$folder/data-$1
  read -ra words <<<"$(command_of core)"
  mkdir -p "$folder/data-$1"
  SASSAFRAS_REMOTE_RUN_FACTOR=2 "${words[@]}" >>"$folder/core-$1.log" 2>&1 &
  core_pid[$1]=$!
  all_pids+=($!)
  disown
}

start_front() {
  local words
  common_fields
  field[node]=front-1 field[zone]=z1 field[ip]=$net.11 field[listen.front]=$net.11:8161
  field[listen.ready]=$net.11:8167 field[limits.memory_mb]=260
  read -ra words <<<"$(command_of front)"
  "${words[@]}" >>"$folder/front.log" 2>&1 &
  all_pids+=($!)
  disown
}

http() { "$rig" http "$@"; } # METHOD ADDRESS PATH HOST [BODY [TIMEOUT-MS]]

# The core machine that answers as the leader itself, or nothing.
leader_core() {
  local i
  for i in 1 2 3; do
    case $(RIG_HEADER='Sassafras-Relayed: 1' http GET "$net.$i:$((first_port + 1))" /v1/leader x "" 500) in 200*) echo "$i"; return 0 ;; esac
  done
}

wait_ready() {
  local i
  for ((i = 0; i < 150; i++)); do
    case $(http GET "$net.11:8167" /sassafrasstall/ready x "" 900) in 200*) return 0 ;; esac
    sleep 0.1
  done
  cannot_run "the front is not ready"
}

put_config() { # CORE VERSION
  local i body
  body='{"version":'$2',"routes":[{"name":"r-3hwrr6x","host":"'$HOST'","path_prefix":"'$PREFIX'","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"'$SERVICE'","max_attempts":3,"stretch":1.5,"allowed_regions":[]}],"services":[{"name":"'$SERVICE'","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"rejects_overload":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
  for ((i = 0; i < 50; i++)); do
    case $(http PUT "$net.$1:8166" /sassafrasstall/config x "$body" 1000) in 200*) say "configuration $2 acknowledged"; return 0 ;; esac
    sleep 0.2
  done
  cannot_run "the configuration was not accepted"
}

start_worker() { # NAME ADDRESS-NUMBER ZONE LABELS CHECKPOINT-BYTES
  "$rig" worker "$1" "$net.$2:8080" $SERVICE "$3" "$folder/worker-$1.log" 16000 64000 "$4" "$5" "$net.1:8166" "$net.2:8166" "$net.3:8166" &
  worker_pid[$1]=$!
  all_pids+=($!)
  disown
}

kill_worker() { kill -9 "${worker_pid[$1]}"; }
kill_core() { kill -9 "${core_pid[$1]}"; }

submit() { # ID JSON
  local i answer
  for ((i = 0; i < 8; i++)); do
    answer=$(http POST "$net.11:8161" "$PREFIX$1" $HOST "$2" 3000)
    case $answer in
      200*) return 0 ;;
      000*|502*|504*|503*|429*) sleep 0.3 ;;
      *) cannot_run "job $1 was answered $answer" ;;
    esac
  done
  cannot_run "job $1 was not accepted: $answer"
}

cancel() { # ID; prints the status code
  local answer
  answer=$(http DELETE "$net.11:8161" "$PREFIX$1" $HOST "" 3000)
  echo "${answer%% *}"
}

state_of() { # ID; prints the state, or the status code if it is not 200
  local answer
  answer=$(http GET "$net.11:8161" "$PREFIX$1" $HOST "" 3000)
  case $answer in
    200*) sed 's/.*"state":"\([a-z]*\)".*/\1/' <<<"$answer" ;;
    *) echo "${answer%% *}" ;;
  esac
}

cut() { touch "$folder/worker-$1.log.cut"; }
join() { rm -f "$folder/worker-$1.log.cut"; }

# The pending count of the queue, or nothing without an answer.
pending_count() {
  local answer
  answer=$(http GET "$net.11:8161" "$PREFIX" $HOST "" 3000)
  case $answer in 200*) sed 's/.*"pending_count": *\([0-9]*\).*/\1/' <<<"$answer" ;; esac
}

worker_log() { cat "$folder"/worker-*.log 2>/dev/null | sort -n; }
# The runner that started TASK last and the run, or nothing after its end.  A crash is no end.
runs_on() { # TASK
  worker_log | awk -v t="$1" '$4 == t && $3 == "start" {on = $2 " " $5} $4 == t && $3 == "end" {on = ""} END {print on}'
}
