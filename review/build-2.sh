#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build command of deploy/system.toml. Case 6 is a day for the bench
# and starts none.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-refusals ./review/testdata/refusals
