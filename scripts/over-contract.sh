#!/usr/bin/env bash
# Runs experiments/limits/over-contract.jsonc on three VMs: one customer sends ten
# times its contracted rate through all entries.
# Usage: scripts/over-contract.sh [DIR]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=${1:-out/over-contract}
trap 'lab_stop' EXIT
lab_up "$dir" 3 examples/kalahari/deployment.jsonc || exit 1
sleep 2
bin/hq-load run --config experiments/limits/over-contract.jsonc --lab "$dir/load.jsonc" --json "$dir/report.json"
