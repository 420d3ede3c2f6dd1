#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
(cd review/standin-2 && GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standin2 .)
