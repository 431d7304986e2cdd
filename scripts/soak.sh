#!/usr/bin/env bash
# Gateways as real processes under faults, one run for each seed, one at a time. Exits 0
# only if every promise was kept on all seeds. Only promises of safety are checked, so the
# verdict does not depend on how fast the computer is.
# Usage: scripts/soak.sh [FIRST [LAST [SPAN [PROFILE]]]], default one short run: 8 8 10s mixed
set -u
cd "$(dirname "$0")/.." || exit 1
first=${1:-8} last=${2:-${1:-8}} span=${3:-10s} profile=${4:-mixed} result=0
for seed in $(seq "$first" "$last"); do
  bin/hq-soak --profile "$profile" --seed "$seed" --span "$span" --dir "out/soak/$profile/$seed" || result=1
done
exit $result
