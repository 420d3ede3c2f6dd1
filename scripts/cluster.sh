# Functions that start and stop a small system on loopback. The demo and
# measurements source this file; no program of the project runs it.
#
# Needs: BIN (the folder of the programs) and RUN (an empty folder).
#
# The ports begin at HYS_BASE_PORT: the platform has the first, daemon N has
# base+100+N for callers, base+200+N for peers and base+300+N for operators,
# and the searchers begin at base+400.

BASE=${HYS_BASE_PORT:-7000}
PLATFORM=127.0.0.1:$BASE
PEER_SECRET=demo-peer-secret-0001
OPERATOR_SECRET=demo-operator-secret-0001
STOP_SECONDS=20
declare -A PIDS

caller() { echo "127.0.0.1:$((BASE + 100 + $1))"; }   # number
peer() { echo "127.0.0.1:$((BASE + 200 + $1))"; }     # number
operator() { echo "127.0.0.1:$((BASE + 300 + $1))"; } # number

# check_ports fails unless all ports of the given number of daemons, and the given
# number of searcher ports from each first port on, are free.
check_ports() { # daemons [first-port searchers]...
  local i addresses=("$PLATFORM")
  for ((i = 1; i <= $1; i++)); do addresses+=("$(caller "$i")" "$(peer "$i")" "$(operator "$i")"); done
  shift
  while [ $# -gt 0 ]; do
    for ((i = 0; i < $2; i++)); do addresses+=("127.0.0.1:$(($1 + i))"); done
    shift 2
  done
  if ! "$BIN/hysstandin" ports "${addresses[@]}"; then
    echo "Something else uses these ports. Choose others with, for example:" >&2
    echo "  HYS_BASE_PORT=$((BASE < 20000 ? BASE + 10000 : 12000)) make demo" >&2
    return 1
  fi
}

start() { # name command...
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  PIDS[$name]=$!
}

# stop_one asks a process to end and returns its exit code. It kills one that
# does not end in time.
stop_one() { # name
  local pid=${PIDS[$1]} end=$((SECONDS + STOP_SECONDS))
  unset "PIDS[$1]"
  kill -TERM "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do sleep 0.05; done
  kill -KILL "$pid" 2>/dev/null && echo "$1 did not end in $STOP_SECONDS s" >&2
  wait "$pid"
}

# kill_one ends a process as a crash would.
kill_one() { # name
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}

# stop_all ends what start began, by process id. It returns the number of
# processes that did not exit with 0.
stop_all() {
  local name failed=0
  for name in "${!PIDS[@]}"; do kill -TERM "${PIDS[$name]}" 2>/dev/null; done
  for name in "${!PIDS[@]}"; do
    if ! stop_one "$name"; then
      echo "$name did not exit with 0" >&2
      failed=$((failed + 1))
    fi
  done
  return "$failed"
}

wait_http() { # url seconds
  "$BIN/hysstandin" call --wait "$2s" "$1" >/dev/null
}

settings() { # number zone
  cat >"$RUN/entry-$1.hujson" <<SETTINGS
{
  // Written by the demo.
  "instance": "entry-$1",
  "zone": "accra-$2",
  "region": "accra",
  "caller-address": "$(caller "$1")",
  "peer-address": "$(peer "$1")",
  "operator-address": "$(operator "$1")",
  "store-address": "$PLATFORM",
  "peer-secret": "$PEER_SECRET",
  "operator-secret": "$OPERATOR_SECRET",
}
SETTINGS
}

start_daemon() { # number
  start "entry-$1" "$BIN/hyssopshore" serve --settings "$RUN/entry-$1.hujson"
}

start_searcher() { # service shard shards replica port
  start "$1-$2-$4" "$BIN/hysstandin" searcher --address "127.0.0.1:$5" \
    --id "$1-$2-$4" --service "$1" --shard "$2" --shards "$3" --slots 2 --seed "$5"
}

# start_searchers starts the searchers of a service and adds them to SEARCHERS.
start_searchers() { # service shards replicas first-port
  local shard replica port=$4
  for ((shard = 0; shard < $2; shard++)); do
    for ((replica = 0; replica < $3; replica++)); do
      start_searcher "$1" "$shard" "$2" "$replica" "$port"
      SEARCHERS+=("{\"id\":\"$1-$shard-$replica\",\"service\":\"$1\",\"address\":\"127.0.0.1:$port\",\"zone\":\"accra-a\",\"region\":\"accra\"}")
      port=$((port + 1))
    done
  done
}

put_list() { # number of daemons
  local i instances=()
  for ((i = 1; i <= $1; i++)); do
    instances+=("{\"id\":\"entry-$i\",\"address\":\"$(peer "$i")\",\"zone\":\"accra-a\",\"region\":\"accra\"}")
  done
  local IFS=,
  "$BIN/hysstandin" call --method PUT "http://$PLATFORM/instances" \
    --body "{\"instances\":[${instances[*]}],\"searchers\":[${SEARCHERS[*]}]}"
}
