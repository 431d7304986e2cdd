#!/usr/bin/env bash
# Runs gateways as real processes under fault injection, once for each seed, one run at a
# time. Exits 0 only if every guarantee held for all seeds. Only safety guarantees are
# checked, so the result does not depend on the speed of the machine, unless --rates follows.
# Usage: scripts/soak.sh [FIRST [LAST [SPAN [PROFILE [--rates]]]]]; default is one short run: 8 8 10s mixed
set -u
cd "$(dirname "$0")/.." || exit 1
first=${1:-8} last=${2:-${1:-8}} span=${3:-10s} profile=${4:-mixed} rates=${5:-} result=0
for seed in $(seq "$first" "$last"); do
  bin/hq-soak --profile "$profile" --seed "$seed" --span "$span" --dir "out/soak/$profile/$seed" $rates || result=1
done
exit $result
