#!/usr/bin/env bash
# Prints the slopes from which docs/CAPACITY.md is calculated: runs each benchmark
# BenchmarkSlope* at three or more sizes and fits a line through the results.
# Usage: scripts/slopes.sh [REGEXP of benchmarks] [PACKAGES...]
set -euo pipefail
cd "$(dirname "$0")/.."
pattern=${1:-BenchmarkSlope}
shift || true
packages=("$@")
if [ ${#packages[@]} -eq 0 ]; then
  mapfile -t packages < <(grep -rl 'func BenchmarkSlope' --include='*_test.go' internal | xargs -n1 dirname | sort -u | sed 's|^|./|')
fi
# Runs one package at a time, so that packages do not affect each other's measurements.
go test -p 1 -cpu 1 -run '^$' -bench "$pattern" -benchtime 200ms -timeout 5m "${packages[@]}" |
  tee >(grep -E -A3 '^(--- FAIL|FAIL|panic)' >&2) | go run ./internal/capacity/slopes
