#!/usr/bin/env bash
# Usage: bench/daemon_cost.sh [BUILD-DIR [VMS [WORKERS [RUNNERS [SECONDS]]]]]
# Resource use of daemons on loopback: starts the VMs of VMS ("a:2+1 b:2+1 c:2": in a, two VMs with a
# disk and one without) and prints CPU time, memory and bytes per second between VMs for each daemon
# in three phases: idle; with WORKERS and RUNNERS, distributed over the data centres; and, if there
# are both, under a bounded load of calls and batch jobs.  Without workers and runners only the idle
# phase runs.
#
# CPU time is the process's own (/proc/PID/stat, ticks of 10 ms), which other load hardly affects;
# bytes are from the peer counters in /v1/state.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
VMS_SPEC=${2:-a:2+1 b:2+1 c:2}
WORKERS=${3:-50}
RUNNERS=${4:-50}
SECONDS_PER_PHASE=${5:-15}
CALLERS=${CALLERS:-4}
TICKS_PER_S=$(getconf CLK_TCK)

# Five registry voters over the first three data centres, as in a deployment.
is_registry_voter ()
{
  case $1 in
    a1 | a2 | b1 | b2 | c1) echo true ;;
    *) echo false ;;
  esac
}

cpu_ticks ()
{
  sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

memory_kb ()
{
  awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# Sums one counter over all peers of a VM.
peer_bytes ()
{
  vm_state "$1" | grep -o "\"$2\": *[0-9]*" | awk -F: '{ s += $2 } END { printf "%d\n", s }'
}

take_sample ()
{
  local vm
  for vm in "${VMS[@]}"; do
    printf '%s %s %s %s %s\n' "$vm" "$(cpu_ticks "${PIDS[$vm]}")" "$(memory_kb "${PIDS[$vm]}")" \
      "$(peer_bytes "$vm" sent_bytes)" "$(peer_bytes "$vm" received_bytes)"
  done >"$1"
}

client_ticks ()
{
  local id total=0 kb=0 n=0
  for id in "${!PIDS[@]}"; do
    case $id in
      "$1"-*)
        total=$((total + $(cpu_ticks "${PIDS[$id]}")))
        kb=$((kb + $(memory_kb "${PIDS[$id]}")))
        n=$((n + 1))
        ;;
    esac
  done
  echo "$total $kb $n"
}

now_ms ()
{
  date +%s%3N
}

# measure LABEL COMMAND...   runs COMMAND (which takes about one phase) between two samples.
measure ()
{
  local label=$1 start end workers runners
  shift
  take_sample "$WORK/before"
  start=$(now_ms)
  workers=$(client_ticks w)
  runners=$(client_ticks r)
  "$@"
  end=$(now_ms)
  echo "$workers $(client_ticks w) $(((end - start)))" >"$WORK/workers"
  echo "$runners $(client_ticks r) $(((end - start)))" >"$WORK/runners"
  take_sample "$WORK/after"
  echo "$label, $(((end - start) / 1000)) s:"
  paste -d' ' "$WORK/before" "$WORK/after" | awk -v ms=$((end - start)) -v hz="$TICKS_PER_S" '
    { cpu = ($7 - $2) / hz / (ms / 1000) * 100; sent = ($9 - $4) / ms; got = ($10 - $5) / ms
      printf "  %-4s %6.2f%% of a core %7.1f MB %8.2f KB/s sent %8.2f KB/s received\n", $1, cpu, $8 / 1000, sent, got
      c += cpu; s += sent; n++; if (cpu > mc) mc = cpu; if ($8 > mm) mm = $8; if (sent > ms_) ms_ = sent }
    END { printf "  mean %5.2f%% of a core, most %.2f%%; memory at most %.1f MB; mean %.2f KB/s sent, most %.2f; %d VMs\n", c / n, mc, mm / 1000, s / n, ms_, n }'
  awk -v hz="$TICKS_PER_S" '
    $3 > 0 { printf "  %s: %d processes, each %.3f%% of a core, %.1f MB\n", FILENAME, $3, ($4 - $1) / hz / ($7 / 1000) / $3 * 100, $5 / $6 / 1000 }' \
    "$WORK/workers" "$WORK/runners" | sed "s|$WORK/||"
}

start_clients ()
{
  local i dc
  for ((i = 0; i < WORKERS; i++)); do
    dc=${DCS[$((i % ${#DCS[@]}))]}
    start_worker "w-$i" "$dc" --rack="rack-$((i / 8))"
  done
  for ((i = 0; i < RUNNERS; i++)); do
    dc=${DCS[$((i % ${#DCS[@]}))]}
    start_runner "r-$i" "$dc" --service=echo --listen="127.$NET.$((100 + i % ${#DCS[@]})).$((1 + i)):8080"
  done
}

all_runners_live ()
{
  [ "$(vm_state "${VMS[0]}" | grep -o '"live": *true' | wc -l)" -ge "$RUNNERS" ]
}

# Sends calls of 200 bytes to the VMs in turn, at most 50 per second and caller, with one connection
# per batch of calls.
caller ()
{
  local id=$1 end=$(($(date +%s) + SECONDS_PER_PHASE)) n=0 vm
  while [ "$(date +%s)" -lt "$end" ]; do
    vm=${VMS[$(((id + n) % ${#VMS[@]}))]}
    n=$((n + 1))
    curl -s -m 10 -H 'Sassafras-Customer: schools' -w '%{http_code}\n' -o /dev/null \
      "http://${VM_ADDRESS[$vm]}:7400/v1/call/echo/price?ms=5&bytes=200&n=[1-50]" >>"$WORK/calls.$id" || true
    sleep 1
  done
}

run_load ()
{
  local callers=() i
  for ((i = 0; i < CALLERS; i++)); do
    caller "$i" &
    callers+=($!)
  done
  for ((i = 0; i < 5; i++)); do
    submit_job depot-reconciliation 40 2000 >>"$WORK/jobs"
    sleep 1
  done
  wait "${callers[@]}"
}

cluster_ready "$VMS_SPEC"
sleep 5
measure "idle, ${#VMS[@]} VMs" sleep "$SECONDS_PER_PHASE"
[ "$((WORKERS + RUNNERS))" -gt 0 ] || exit 0
start_clients
wait_for 20 all_runners_live || fail "fewer than $RUNNERS runners are live on ${VMS[0]} after 20 s"
sleep 4
measure "$WORKERS workers, $RUNNERS runners, no load" sleep "$SECONDS_PER_PHASE"
if [ "$WORKERS" = 0 ] || [ "$RUNNERS" = 0 ]; then
  exit 0
fi
measure "calls and jobs" run_load
echo "  calls: $(sort "$WORK"/calls.* | uniq -c | awk '{ printf "%s with %s; ", $1, $2 }')task starts: $(count_task_starts)"
