#!/bin/sh
# Builds the stand-ins of review 3 into target/review-3/. They are a Go module of their own
# (standard library only), so that `./...` of CI does not reach it.
set -eu
cd "$(dirname "$0")/standin3"
mkdir -p ../../target/review-3
go build -o ../../target/review-3/standin3 .
