#!/usr/bin/env bash
# Measures the slopes in docs/CAPACITY.md. It passes its options to hyscapacity.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/ ./tools/hyscapacity
bin/hyscapacity peer &
peer=$!
trap 'kill -TERM "$peer"; wait "$peer"' EXIT
sleep 0.5
bin/hyscapacity "$@"
