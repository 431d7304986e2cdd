#!/usr/bin/env bash
# Replaces all VMs one after the other under load: SIGTERM to entry, dispatch and
# agent in this order, each awaited, then all three are started again.
# Usage: rolling.sh [VMS [SECONDS]]. Exits 0 only if every request was answered,
# all daemons stopped gracefully and no key has another owner than before.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
vms=${1:-9}
seconds=${2:-50}
dir=out/${LAB_DIR:-rolling}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT
# Moves for load would hide moves for the replacement: their price is set too high.
lab_configure() { sed -i 's/"imbalance": [0-9.]*/"imbalance": 0.001/' "$dir"/objects/service.*.jsonc; }
lab_up "$dir" "$vms" examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
failed=0

# pid_of FILE : the process that runs with the settings file.
pid_of() {
  local pid
  for pid in "${LAB_PIDS[@]}"; do
    grep -qsF -- "$1" "/proc/$pid/cmdline" && echo "$pid" && return
  done
}

# stop_daemon FILE : graceful stop, awaited.
stop_daemon() {
  local pid
  pid=$(pid_of "$1")
  kill -TERM "$pid"
  wait "$pid" || { echo "$1: exit $?" >&2; failed=1; }
}

owners() {
  curl -fsS "http://$(lab_admin "$dir/vm$1/entry.jsonc")/dump" |
    jq -S '[.sections[]|select(.name=="view").value.grants[]|{s:.Service,g:.Group,t:.Target}]'
}

sleep 3
owners 1 >"$dir/owners.before"
bin/hq-load run --config "$dir/load.jsonc" --json "$dir/report.json" --duration "${seconds}s" --complete &
load=$!
sleep 2
for vm in $(seq 1 "$vms"); do
  for p in entry dispatch agent; do stop_daemon "$dir/vm$vm/$p.jsonc"; done
  for p in agent dispatch entry; do
    lab_start "$dir/vm$vm/$p.log" "bin/hq-$p" --config "$dir/vm$vm/$p.jsonc"
  done
  for p in agent dispatch entry; do lab_wait "http://$(lab_admin "$dir/vm$vm/$p.jsonc")/readyz" || failed=1; done
  # The balancer looks again before the next VM goes.
  sleep 0.5
done
echo "all $vms VMs replaced after ${SECONDS}s"
wait "$load" || failed=1
owners 1 >"$dir/owners.after"
if cmp -s "$dir/owners.before" "$dir/owners.after"; then echo "keys moved: 0"; else
  echo "owners differ:"; diff "$dir/owners.before" "$dir/owners.after"; failed=1
fi
# Replaced processes have been awaited; only those that run are stopped at the end.
running=()
for pid in "${LAB_PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && running+=("$pid"); done
LAB_PIDS=("${running[@]}")
lab_stop || failed=1
exit $failed
