#!/usr/bin/env bash
# Rolling restart of all VMs under load. On each VM in turn it stops entry, dispatch
# and agent in this order with SIGTERM, waits for each to exit and starts all three again.
# Usage: scripts/rolling.sh [VMS [SECONDS]]. Exits 0 only if every request was answered,
# all daemons stopped gracefully and every key has the same owner as before.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
vms=${1:-9}
seconds=${2:-50}
dir=out/${LAB_DIR:-rolling}
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT
# Makes load balancing too expensive to move keys: such moves could not be told from those that a restart causes.
lab_configure() { sed -i 's/"imbalance": [0-9.]*/"imbalance": 0.001/' "$dir"/objects/service.*.jsonc; }
lab_up "$dir" "$vms" examples/sjalfvirkni/deployment.jsonc examples/kalahari/deployment.jsonc || exit 1
failed=0

# pid_of FILE : prints the id of the process that was started with the settings file.
pid_of() {
  local pid
  for pid in "${LAB_PIDS[@]}"; do
    grep -qsF -- "$1" "/proc/$pid/cmdline" && echo "$pid" && return
  done
}

# stop_daemon FILE : stops the daemon that uses the settings file with SIGTERM and waits until it exits.
stop_daemon() {
  local pid
  pid=$(pid_of "$1")
  kill -TERM "$pid"
  wait "$pid" || { echo "$1: exit $?" >&2; failed=1; }
}

# owners VM : prints the owner of each group as the entry of the VM knows it.
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
  # Leaves time for the load balancer's next check before the next VM stops.
  sleep 0.5
done
echo "all $vms VMs replaced after ${SECONDS}s"
wait "$load" || failed=1
owners 1 >"$dir/owners.after"
if cmp -s "$dir/owners.before" "$dir/owners.after"; then echo "keys moved: 0"; else
  echo "owners differ:"; diff "$dir/owners.before" "$dir/owners.after"; failed=1
fi
# The processes stopped above have already been waited for; lab_stop gets only those that still run.
running=()
for pid in "${LAB_PIDS[@]}"; do kill -0 "$pid" 2>/dev/null && running+=("$pid"); done
LAB_PIDS=("${running[@]}")
lab_stop || failed=1
exit $failed
