#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review/standin .
