#!/usr/bin/env bash
# Runs the router on one machine: a simulated store and targets, the daemons of three
# VMs and the load of both example deployments. Exits 0 only if every answer was complete
# and belonged to its request, and every process stopped gracefully.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=out/demo
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT
lab_up "$dir" 3 examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
sleep 2
bin/hq-load run --config "$dir/load.jsonc" --json "$dir/report.json" --duration "${DEMO_SECONDS:-20}s" --complete
result=$?
lab_stop || { echo "a process did not stop gracefully; see $dir" >&2; result=1; }
exit $result
