#!/usr/bin/env bash
# Runs the whole system on loopback and checks each answer. It exits with 0
# only if every answer is what it should be.
#
# With HYS_KEEP=1 it stops after the system is ready and keeps it running until
# Enter is pressed, so that a second terminal can drive it.
set -u
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$(mktemp -d)
SEARCHERS=()
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh
trap 'stop_all >/dev/null 2>&1; rm -rf "$RUN"' EXIT
trap 'exit 130' INT TERM

fail() {
  echo "FAILED: $*" >&2
  tail -n 5 "$RUN"/entry-*.log >&2
  exit 1
}

# expect runs a command and prints the first lines of its output. It checks the
# exit code and that the output contains a text.
expect() { # code text command...
  local code=$1 text=$2 got output
  shift 2
  output=$("$@" 2>&1)
  got=$?
  printf "$ %s\n" "${*/#$BIN\//}"
  printf '%s\n' "$output" | head -n 4
  [ "$got" = "$code" ] || fail "exit code $got instead of $code: $output"
  case "$output" in *"$text"*) ;; *) fail "no '$text' in: $output" ;; esac
}

# eventually waits until a command exits with 0.
eventually() { # seconds command...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "in time: $*"
    sleep 0.1
  done
}

hys=$BIN/hyssopshore
desk=$((BASE + 400))
roll=$((BASE + 450))
export HYSSOPSHORE_SECRET_FILE=$RUN/operator.secret
echo "$OPERATOR_SECRET" >"$HYSSOPSHORE_SECRET_FILE"
check_ports 3 "$desk" 6 "$roll" 3 || exit 1

accra=(--group accra-ringers --service captains-desk)
kumasi=(--group kumasi-ringers --service captains-desk)
booking=(--group accra-ringers --service band-roll --non-idempotent --key treble --body '{"book":"treble on Sunday"}')

echo "== start the stand-ins and three daemons"
start platform "$BIN/hysstandin" platform --address "$PLATFORM"
start_searchers captains-desk 3 2 "$desk"
start_searchers band-roll 1 3 "$roll"
wait_http "http://$PLATFORM/counts" 10 || fail "the platform did not start"
put_list 3 || fail "the instance list was not taken"
for i in 1 2 3; do
  settings "$i" a
  expect 0 "no problems" "$hys" check "$RUN/entry-$i.hujson"
  start_daemon "$i"
done
for i in 1 2 3; do wait_http "http://$(operator "$i")/metrics" 10 || fail "entry-$i did not start"; done

echo "== a bad settings file starts nothing"
sed 's/"zone"/"zoone"/' "$RUN/entry-1.hujson" >"$RUN/bad.hujson"
expect 2 "line 4: zoone: unknown field" "$hys" serve --settings "$RUN/bad.hujson"

echo "== apply a ticket"
cat >"$RUN/ticket.hujson" <<'TICKET'
{
  "number": 1, "author": "demo", "reason": "first groups",
  "services": [
    {"name": "captains-desk", "latency-goal-ms": 1000},
    {"name": "band-roll", "searcher-connections": 110},
  ],
  "groups": [
    {"name": "accra-ringers", "weight": 2, "services": ["captains-desk", "band-roll"]},
    {"name": "kumasi-ringers", "services": ["captains-desk"]},
  ],
}
TICKET
expect 0 "accepted" "$hys" ticket apply --address "$(operator 1)" "$RUN/ticket.hujson"
expect 0 "already-accepted" "$hys" ticket apply --address "$(operator 2)" "$RUN/ticket.hujson"
sed 's/"weight": 2/"weight": 3/' "$RUN/ticket.hujson" >"$RUN/other.hujson"
expect 6 "conflict" "$hys" ticket apply --address "$(operator 3)" "$RUN/other.hujson"
for i in 1 2 3; do wait_http "http://$(caller "$i")/health" 10 || fail "entry-$i is not ready"; done
expect 0 "accra-ringers: weight 2" "$hys" group list --address "$(operator 3)"
expect 0 "band-roll: 2 slots, 110 connections" "$hys" service list --address "$(operator 2)"

if [ -n "${HYS_KEEP:-}" ]; then
  echo "The system is running. In a second terminal, in this folder:"
  echo "  export HYSSOPSHORE_SECRET_FILE=$HYSSOPSHORE_SECRET_FILE"
  echo "  bin/hyssopshore status --address $(operator 1)"
  echo "  bin/hyssopshore query --address $(caller 1) --group accra-ringers --service captains-desk --body '{\"find\":\"00001\"}'"
  echo "Press Enter to stop it."
  read -r _
  stop_all || fail "not every process stopped with 0"
  exit 0
fi

echo "== a lookup and a bundle search"
expect 0 "complete: snapshot 1, 3 of 3 shards, 11 hits" "$hys" query --address "$(caller 1)" "${accra[@]}" --body '{"find":"00001"}'
expect 0 "complete: snapshot 1, 3 of 3 shards, 300 hits" "$hys" query --address "$(caller 2)" "${kumasi[@]}" --class bulk --body '{}'
expect 4 "may not search" "$hys" query --address "$(caller 3)" --group kumasi-ringers --service band-roll --body '{}'

echo "== a booking, and its resend to another daemon"
output=$("$hys" query --address "$(caller 1)" "${booking[@]}") || fail "the booking: $output"
id=$(printf '%s\n' "$output" | sed -n 's/^request id: //p')
[ -n "$id" ] || fail "the booking had no request id: $output"
expect 0 "treble on Sunday" "$hys" query --address "$(caller 3)" "${booking[@]}" --request-id "$id"
runs=0
for ((port = roll; port < roll + 3; port++)); do
  list=$("$BIN/hysstandin" call "http://127.0.0.1:$port/runs") || fail "a searcher did not tell its runs"
  runs=$((runs + $(printf '%s' "$list" | grep -o "$id" | wc -l)))
done
[ "$runs" = 1 ] || fail "the booking ran $runs times"
echo "the booking ran once"

echo "== kill a searcher: the other replica of its shard answers"
kill_one captains-desk-0-0
expect 0 "complete: snapshot 1, 3 of 3 shards, 300 hits" "$hys" query --address "$(caller 1)" "${accra[@]}" --body '{}'
echo "== kill the other one too: the answer is partial and says so"
kill_one captains-desk-0-1
expect 3 "partial: snapshot 1, 2 of 3 shards" "$hys" query --address "$(caller 1)" "${accra[@]}" --body '{}'
echo "== start them again: the answer is whole again"
start_searcher captains-desk 0 3 0 "$desk"
start_searcher captains-desk 0 3 1 "$((desk + 1))"
eventually 15 "$hys" query --address "$(caller 1)" "${accra[@]}" --body '{}'
expect 0 "complete: snapshot 1, 3 of 3 shards, 300 hits" "$hys" query --address "$(caller 1)" "${accra[@]}" --body '{}'

echo "== replace a daemon"
stop_one entry-1 || fail "entry-1 did not exit with 0"
expect 0 "complete: snapshot 1, 3 of 3 shards, 300 hits" "$hys" query --address "$(caller 2)" "${accra[@]}" --body '{}'
start_daemon 1
wait_http "http://$(caller 1)/health" 10 || fail "entry-1 is not ready again"
expect 0 "complete: snapshot 1, 3 of 3 shards, 300 hits" "$hys" query --address "$(caller 1)" "${accra[@]}" --body '{}'
expect 0 "first groups" "$hys" ticket history --address "$(operator 1)"
expect 0 "ready true" "$hys" status --address "$(operator 1)"
metrics=$("$BIN/hysstandin" call "http://$(operator 2)/metrics") || fail "no metrics"
printf '%s\n' "$metrics" | grep -q 'hyssopshore_requests_total{class="bulk",group="kumasi-ringers",outcome="complete",service="captains-desk"} 1' ||
  fail "the metrics do not count the bundle search"

echo "== stop all"
stop_all || fail "not every process stopped with 0"
echo "demo: every answer was right, in $SECONDS s"
