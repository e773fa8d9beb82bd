#!/bin/sh
# Builds the stand-ins of review 3 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin3 ./review/standin3
