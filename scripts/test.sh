#!/usr/bin/env bash
# Runs all tests, passing its options to 'go test'. It prints the failures that
# KNOWN-RED.txt lists, and passes over these and no others. The tests with crowds
# of clients measure whole processes, so they run one at a time, after the others.
set -u
cd "$(dirname "$0")/.."
output=$(mktemp)
trap 'rm -f "$output"' EXIT
code=0
GINKGO_NO_COLOR=TRUE go test -p 4 -count=1 -timeout 10m -skip '^TestCrowd' "$@" ./... >"$output" 2>&1 || code=$?
go test -p 1 -count=1 -timeout 10m -run '^TestCrowd' "$@" ./platform ./io/hysdaemon >>"$output" 2>&1 || code=$?
cat "$output"
[ "$code" = 0 ] && exit 0
scripts/known-red.sh "${KNOWN_RED:-KNOWN-RED.txt}" "$output"
