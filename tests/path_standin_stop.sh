#!/usr/bin/env bash
# Guards against a runner stand-in that never exits after SIGTERM because clients keep connections
# open: its last request ends after the period in which it still accepts new requests, and no one
# closes a connection after that.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}"
"$BUILD/runner_standin" --id=r1 --entries=127.0.0.1:9 >"$WORK/r1.out" 2>>"$WORK/r1.log" &
PIDS[r1]=$!
wait_for 5 grep -q '^listening ' "$WORK/r1.out"
port=$(sed -n 's/^listening .*://p' "$WORK/r1.out")
exec 3<>"/dev/tcp/127.0.0.1/$port"
printf 'GET /x?ms=3500&bytes=7 HTTP/1.1\r\nHost: x\r\n\r\n' >&3
sleep 0.3
kill -TERM "${PIDS[r1]}"
answer=$(timeout 6 head -n 1 <&3)
[[ "$answer" == "HTTP/1.1 200"* ]] || fail "the request in flight was not answered: $answer"
ended ()
{
  ! kill -0 "${PIDS[r1]}"
}
wait_for 5 ended || fail "the stand-in still runs 5 s after its last answer"
wait "${PIDS[r1]}" || fail "the stand-in exited with $?"
unset "PIDS[r1]"
echo "1 passed, 0 failed"
