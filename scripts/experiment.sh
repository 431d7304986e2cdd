#!/usr/bin/env bash
# Runs one experiment on this machine against newly started processes.
# Usage: scripts/experiment.sh EXPERIMENT.jsonc [VMS] [OUT]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
experiment=$1
dir=${3:-out/$(basename "$experiment" .jsonc)}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT
lab_up "$dir" "${2:-9}" examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
sleep 2
bin/hq-load run --config "$experiment" --lab "$dir/load.jsonc" --json "$dir/report.json" --plots "$dir"
result=$?
lab_stop || { echo "a process did not stop gracefully; see $dir" >&2; result=1; }
exit $result
