#!/usr/bin/env bash
# Runs the platform setup on one machine: a simulated store and targets, three
# gateways and a load generator. The first gateway, which may be the grantor, is shut
# down under load. Exits 0 only if every answer was complete and every process stopped gracefully.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lab.sh
dir=out/demo-platform
trap 'lab_stop; exit 130' INT TERM
trap 'lab_stop' EXIT
rm -rf "$dir"
mkdir -p "$dir"
lab_start "$dir/standin.log" bin/hq-standin platform --dir "$dir" --vms 3
for _ in $(seq 1 100); do
  [ -s "$dir/load.jsonc" ] && break
  sleep 0.1
done
for vm in 1 2 3; do
  lab_start "$dir/vm-$vm.log" bin/hq-gateway --config "$dir/vm-$vm.jsonc"
done
for vm in 1 2 3; do
  lab_wait "http://$(lab_admin "$dir/vm-$vm.jsonc")/readyz" || exit 1
done
sleep 2 # Time for the keys to be granted.
first=${LAB_PIDS[1]}
(
  sleep 3
  kill -TERM "$first"
) &
bin/hq-load path --config "$dir/load.jsonc" --duration "${DEMO_SECONDS:-10}s" --complete
result=$?
wait "$first" || { echo "vm-1 did not stop gracefully; see $dir" >&2; result=1; }
unset 'LAB_PIDS[1]'
LAB_PIDS=("${LAB_PIDS[@]}")
lab_stop || { echo "a process did not stop gracefully; see $dir" >&2; result=1; }
exit $result
