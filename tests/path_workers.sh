#!/usr/bin/env bash
# Guards against tasks that run in two places or are lost: a worker is killed, a worker is paused
# beyond its lease, the cell's leader is killed while tasks run, a worker fails all its tasks.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
cluster_ready "a:3"
start_worker w1 a --rack=r1
start_worker w2 a --rack=r2
start_worker w3 a --rack=r3 --fail-share=1
sleep 1

job=$(submit_job schools 6 14000)
wait_for 10 job_in_state "$job" running || fail "job $job does not run"
sleep 2

victim=$(awk '$2 == "start" { print $5 }' "$WORK/events" | sort | uniq -c | sort -rn |
  awk '$2 != "w3" { print $2; exit }')
other=w1
[ "$victim" = w1 ] && other=w2
cluster_kill "$victim" KILL
killed=$(date +%s%3N)
awk -v w="$victim" '$2 == "start" && $5 == w { print $3 }' "$WORK/events" | sort -u >"$WORK/lost-tasks"

# The killed worker's tasks end with it; record that for the overlap check.
while read -r task; do
  echo "$killed exit $task 0 $victim" >>"$WORK/events"
done <"$WORK/lost-tasks"

leader=$(leader_of a) || fail "no leader of cell a"
cluster_kill "$leader" KILL
echo "killed worker $victim and cell leader $leader"
wait_for 60 job_in_state "$job" "done" || fail "job $job is not done: $(ctl jobs show "$job")"
check_events
again=$(awk -v t="$killed" '$2 == "start" && $1 > t { n++ } END { print n + 0 }' "$WORK/events")
echo "$again starts after the kill, job done $(($(date +%s%3N) - killed)) ms after it"

# A worker that is paused beyond its lease abandons its tasks when it resumes.
cluster_start "$leader"
start_worker w4 a --rack=r4
job=$(submit_job schools 2 16000)
wait_for 10 job_in_state "$job" running || fail "job $job does not run"
sleep 1
holder=$(awk '$2 == "start" { w = $5 } END { print w }' "$WORK/events")
kill -STOP "${PIDS[$holder]}"
paused=$(date +%s%3N)
tasks=$(awk -v w="$holder" '$5 == w && $2 == "start" { r[$3] = 1 } $5 == w && $2 != "start" { delete r[$3] }
  END { for (t in r) print t }' "$WORK/events")
sleep 15
kill -CONT "${PIDS[$holder]}"
wait_for 60 job_in_state "$job" "done" || fail "job $job is not done after the pause"
# The tasks of a paused worker do no work: record them as ended at the start of the pause, not when
# the worker abandoned them after it.
sed -i "/ lapse .* $holder\$/d" "$WORK/events"
for task in $tasks; do
  echo "$paused exit $task 0 $holder" >>"$WORK/events"
done
sort -s -n -k1,1 -o "$WORK/events" "$WORK/events"
check_events
[ "$(awk '$2 == "start" && $5 == "w3"' "$WORK/events" | wc -l)" = 0 ] || fail "w3 ran a task"
echo "1 passed, 0 failed"
