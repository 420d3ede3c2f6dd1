#!/usr/bin/env bash
# Runs the fault soak of the frontend daemons with a range of seeds. It prints the
# seeds that failed and keeps their logs.
#
#   scripts/soak.sh FIRST COUNT SECONDS [FOLDER]
set -u
cd "$(dirname "$0")/.."
first=${1:?first seed} count=${2:?number of seeds} seconds=${3:?seconds of faults a seed}
kept=${4:-$(mktemp -d)}
failed=()
for ((seed = first; seed < first + count; seed++)); do
  log=$kept/$seed.txt
  mkdir -p "$kept/$seed"
  if HYS_SOAK_SEED=$seed HYS_SOAK_SECONDS=$seconds HYS_SOAK_KEEP=$kept/$seed \
    go test -count=1 -timeout 10m -run TestSoak -v ./platform >"$log" 2>&1; then
    rm -rf "$log" "${kept:?}/$seed"
  else
    failed+=("$seed")
    grep -m 6 -E "violations|c[0-9]|recovered|127\.0\.0\." "$log"
  fi
done
echo "$count seeds of ${seconds} s, ${#failed[@]} failed: ${failed[*]-}"
[ "${#failed[@]}" = 0 ] || echo "logs in $kept"
[ "${#failed[@]}" = 0 ]
