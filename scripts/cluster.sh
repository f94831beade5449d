# Functions that run a deployment on loopback; sourced by the demo, benchmarks and tests/path_*.sh.
#
# Each VM has its own address, 127.NET.DC.VM; all VMs use the same ports.  All files are under $WORK.
# cluster_stop ends all processes started here.
#
#   cluster_init BUILD-DIR        sets BUILD, NET and WORK
#   cluster_members "a:2+1 b:2+1 c:2"   per data centre: VMs with and without a disk
#   cluster_start VM | cluster_start_all | cluster_kill VM [SIGNAL] | cluster_stop
#   start_worker ID DC [FLAG...] | start_runner ID DC [FLAG...]
#   ctl ARG...                    sassafrasctl against the VMs that CTL_SERVERS names
#   wait_for SECONDS COMMAND...   repeats COMMAND until it succeeds

declare -A PIDS
declare -A VM_ADDRESS VM_DC VM_DISK
VMS=()
DCS=()

# True if a socket is open on 127.NET.*.*.  /proc/net/tcp lists addresses in hexadecimal, last byte
# first.
net_in_use ()
{
  grep -q "[0-9A-F]\{4\}$(printf '%02X' "$1")7F:" /proc/net/tcp
}

cluster_init ()
{
  BUILD=$(cd "$1" && pwd)
  NET=$((1 + $$ % 250))
  while net_in_use "$NET"; do
    NET=$((1 + NET % 250))
  done
  WORK=$(mktemp -d "${TMPDIR:-/tmp}/loopback-cluster.XXXXXX")
  trap cluster_stop EXIT
}

# Region one: data centres a and b; region two: others.  Registry voters: all VMs of a single data
# centre; otherwise, of at most three, two VMs with disks of the first and second, one of a third.
cluster_members ()
{
  local dc_index=0 node=0 spec name with_disk diskless region vm i registry cells voters first=""
  for spec in $1; do
    dc_index=$((dc_index + 1))
    name=${spec%%:*}
    with_disk=${spec#*:}
    diskless=0
    case $with_disk in *+*) diskless=${with_disk#*+}; with_disk=${with_disk%+*} ;; esac
    DCS+=("$name")
    for ((i = 1; i <= with_disk + diskless; i++)); do
      vm=$name$i
      VMS+=("$vm")
      VM_ADDRESS[$vm]=127.$NET.$dc_index.$i
      VM_DC[$vm]=$name
      VM_DISK[$vm]=$((i <= with_disk))
    done
  done
  {
    echo '{ "members": ['
    for vm in "${VMS[@]}"; do
      node=$((node + 1))
      region=one
      case ${VM_DC[$vm]} in a | b) ;; *) region=two ;; esac
      voters=$(is_registry_voter "$vm")
      cells=$(cells_of "$vm")
      [ -z "$first" ] || echo ','
      first=no
      printf '{"vm":"%s","data_centre":"%s","region":"%s","node":%d,' "$vm" "${VM_DC[$vm]}" \
        "$region" "$node"
      printf '"peer":"%s:7403","backend":"%s:7401","operators":"%s:7402",' "${VM_ADDRESS[$vm]}" \
        "${VM_ADDRESS[$vm]}" "${VM_ADDRESS[$vm]}"
      printf '"registry_voter":%s,"cells":[%s]}' "$voters" "$cells"
    done
    echo ']}'
  } >"$WORK/members.json"
}

is_registry_voter ()
{
  local vm=$1 dc=${VM_DC[$1]} n=${1#"${VM_DC[$1]}"}
  if [ "${#DCS[@]}" = 1 ]; then
    echo true
  elif [ "${VM_DISK[$vm]}" = 1 ] && { [ "$n" = 1 ] || { [ "$n" = 2 ] && [ "$dc" != "${DCS[2]:-}" ]; }; }; then
    echo true
  else
    echo false
  fi
}

# A cell's voters are the local VMs with a disk; with fewer than three, the first VM of the next
# data centre is a voter too.
cells_of ()
{
  local vm=$1 out="" i next count other
  if [ "${VM_DISK[$vm]}" != 1 ]; then
    return
  fi
  out="\"${VM_DC[$vm]}\""
  for ((i = 0; i < ${#DCS[@]}; i++)); do
    next=${DCS[$(((i + 1) % ${#DCS[@]}))]}
    count=0
    for other in "${VMS[@]}"; do
      if [ "${VM_DC[$other]}" = "${DCS[$i]}" ] && [ "${VM_DISK[$other]}" = 1 ]; then
        count=$((count + 1))
      fi
    done
    if [ "$count" -lt 3 ] && [ "$vm" = "${next}1" ] && [ "$next" != "${DCS[$i]}" ]; then
      out="$out,\"${DCS[$i]}\""
    fi
  done
  echo "$out"
}

cluster_start ()
{
  local vm=$1 data="" dc=${VM_DC[$1]} region
  shift
  region=$(sed -n "s/.*\"vm\":\"$vm\".*\"region\":\"\([a-z]*\)\".*/\1/p" "$WORK/members.json")
  if [ "${VM_DISK[$vm]}" = 1 ]; then
    data=$WORK/$vm
    mkdir -p "$data"
  fi
  "$BUILD/sassafrasd" --vm="$vm" --data-centre="$dc" --region="$region" --deployment=loopback \
    --members-file="$WORK/members.json" --listen-callers="${VM_ADDRESS[$vm]}:7400" \
    ${data:+--data-dir="$data"} "$@" >>"$WORK/$vm.out" 2>>"$WORK/$vm.log" &
  PIDS[$vm]=$!
}

cluster_start_all ()
{
  local vm
  for vm in "${VMS[@]}"; do
    cluster_start "$vm"
  done
  CTL_SERVERS=$(printf '%s\n' "${VMS[@]}" | while read -r vm; do printf '%s:7402,' "${VM_ADDRESS[$vm]}"; done)
  CTL_SERVERS=${CTL_SERVERS%,}
}

cluster_kill ()
{
  kill "-${2:-KILL}" "${PIDS[$1]}"
  case ${2:-KILL} in
    KILL | TERM) wait "${PIDS[$1]}" 2>/dev/null || true ; unset "PIDS[$1]" ;;
  esac
}

cluster_stop ()
{
  local id
  for id in "${!PIDS[@]}"; do
    kill -KILL "${PIDS[$id]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -n "${KEEP_WORK:-}" ]; then
    echo "files are kept in $WORK"
  else
    rm -rf "$WORK"
  fi
}

entries_of ()
{
  local dc=$1 vm out=""
  for vm in "${VMS[@]}"; do
    if [ "${VM_DC[$vm]}" = "$dc" ]; then
      out="$out,${VM_ADDRESS[$vm]}:7401"
    fi
  done
  echo "${out#,}"
}

start_worker ()
{
  local id=$1 dc=$2
  shift 2
  "$BUILD/worker_standin" --id="$id" --entries="$(entries_of "$dc")" \
    --events="$WORK/events" "$@" 2>>"$WORK/$id.log" &
  PIDS[$id]=$!
}

start_runner ()
{
  local id=$1 dc=$2
  shift 2
  "$BUILD/runner_standin" --id="$id" --entries="$(entries_of "$dc")" \
    --data-centre="$dc" "$@" 2>>"$WORK/$id.log" >>"$WORK/$id.out" &
  PIDS[$id]=$!
}

ctl ()
{
  "$BUILD/sassafrasctl" --server="$CTL_SERVERS" "$@"
}

wait_for ()
{
  local seconds=$1 end
  shift
  end=$(($(date +%s) + seconds))
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$end" ]; then
      echo "timed out after $seconds s: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

healthy ()
{
  curl -sf -m 1 "http://${VM_ADDRESS[$1]}:7402/healthz"
}

all_healthy ()
{
  local vm
  for vm in "${VMS[@]}"; do
    healthy "$vm" || return 1
  done
}

fail ()
{
  echo "FAIL: $*"
  tail -n 5 "$WORK"/*.log
  exit 1
}

# Starts a deployment with the kigali lists of examples/lists applied and waits until it is ready.
cluster_ready ()
{
  cluster_members "$1"
  cluster_start_all
  wait_for 20 all_healthy || fail "not every VM became healthy"
  ctl apply examples/lists/kigali-plans.json examples/lists/kigali-customers.json \
    --if-version 0 >/dev/null || fail "the lists were not applied"
}

vm_state ()
{
  curl -sf -m 2 "http://${VM_ADDRESS[$1]}:7402/v1/state"
}

# The VM that reports itself as leader of a group (registry, or the name of a data centre).
leader_of ()
{
  local vm text
  for vm in "${VMS[@]}"; do
    [ -n "${PIDS[$vm]:-}" ] || continue
    text=$(vm_state "$vm") || continue
    if grep -q "\"name\": *\"$1\", *\"leads\": *true" <<<"$text"; then
      echo "$vm"
      return
    fi
  done
  return 1
}

# submit_job CUSTOMER REPLICAS RUN_MS [FURTHER-FIELDS]   prints the job's id.
submit_job ()
{
  cat >"$WORK/job.json" <<END
{"customer":"$1","kind":"batch","class":"reconcile","millicores":2000,"memory_mb":1000,
 "replicas":$2,"run_time_ms":$3,"checkpoint":true${4:+,$4}}
END
  ctl --json jobs submit "$WORK/job.json" | sed -n 's/.*"job": *\([0-9]*\).*/\1/p'
}

# Matches only the state of the job, which precedes its list of tasks.
job_in_state ()
{
  local text
  text=$(ctl --json jobs show "$1") || return 1
  grep -q "\"state\": *\"$2\"" <<<"${text%%\"tasks\"*}"
}

count_task_starts ()
{
  grep -c " start " "$WORK/events" 2>/dev/null || true
}

# Checks from the events of all workers that no task ran on two workers at once.
check_events ()
{
  awk -v out=0 -v back=0 -f demo/check-events.awk "$WORK/events" >"$WORK/verdict"
  ! grep -q VIOLATION "$WORK/verdict" || fail "$(cat "$WORK/verdict")"
}
