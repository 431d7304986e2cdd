#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-lab ./review/testdata/lab
