#!/usr/bin/env bash
# Measures dispatch decisions under load with real processes: 3 VMs and the service
# pool of experiments/dispatch. Each EXPERIMENT names a file there, without .jsonc.
# Usage: scripts/dispatch.sh fair|fifo OUT EXPERIMENT...
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
export LAB_ORDER=$1
dir=$2
shift 2
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT

# cpu_seconds : prints the CPU seconds used so far by all dispatchers of this run.
cpu_seconds() {
  local pid ticks=0
  for pid in $(pgrep -f "bin/hq-dispatch --config $dir/"); do
    ticks=$((ticks + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
  done
  awk "BEGIN {print $ticks / $(getconf CLK_TCK)}"
}

lab_up "$dir" 3 experiments/dispatch/deployment.jsonc || exit 1
sleep 2
for name in "$@"; do
  echo "== $LAB_ORDER $name"
  before=$(cpu_seconds)
  bin/hq-load run --config "experiments/dispatch/$name.jsonc" --lab "$dir/load.jsonc" --json "$dir/$name.json"
  echo "dispatchers' CPU: $(awk "BEGIN {print $(cpu_seconds) - $before}") s"
  for target in $(seq 1 10); do
    curl -fsS -o /dev/null -X PUT -H 'Content-Type: application/json' -d '{}' "$STANDIN/targets/pool-$target/faults"
  done
done
lab_stop
