#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -buildvcs=false -o ../target/review/ ./...
